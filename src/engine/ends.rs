//! Writing what has ended: jobs that are done, progress of arrays, jobs that are cancelled and
//! gone, and the removal of records nobody needs any more. Batched, one transaction at a time.

use super::pipelines::write_step;
use super::records::{self, LEAD, WorkRecord};
use super::{Engine, Op, Retry, Role};
use crate::constants as k;
use crate::model::{Job, JobId, Ms, Phase};
use crate::store::{StoreCall, StoreError, StoreReply};
use crate::wire::store::Txn;
use crate::wire::user::JobState;
use std::collections::{BTreeSet, VecDeque};

#[derive(Debug, Default)]
pub(super) struct Ends {
    /// Jobs that are over.
    over: BTreeSet<JobId>,
    /// Arrays with completed tasks that are not on record.
    progress: BTreeSet<JobId>,
    /// Waiting jobs that may start, or are cancelled with one that they need.
    steps: BTreeSet<JobId>,
    removals: VecDeque<String>,
    retry: Retry,
    progress_at: Ms,
}

/// What one transaction wrote.
#[derive(Debug, Default)]
pub(super) struct Batch {
    /// With the records of progress that are of no use any more.
    over: Vec<(JobId, Vec<String>)>,
    /// Tasks, and the records that cover them.
    progress: Vec<(JobId, Vec<u32>, Vec<String>)>,
    steps: Vec<JobId>,
    removals: Vec<String>,
}

impl Ends {
    pub fn note(&mut self, job: &JobId, over: bool) {
        let set = if over {
            &mut self.over
        } else {
            &mut self.progress
        };
        set.insert(job.clone());
    }

    pub fn note_step(&mut self, job: &JobId) {
        self.steps.insert(job.clone());
    }

    pub fn remove(&mut self, key: String) {
        self.removals.push_back(key);
    }
}

/// A transaction in the making, and what it writes.
#[derive(Debug)]
struct Draft {
    txn: Txn,
    batch: Batch,
    /// Changes that a transaction may have.
    most: usize,
}

impl Draft {
    /// How many more changes fit.
    fn space(&self) -> usize {
        self.most.saturating_sub(self.txn.writes.len())
    }

    /// Adds what `write` puts into the transaction; whether it did.
    fn add(&mut self, write: impl FnOnce(Txn) -> Txn) -> bool {
        let before = self.txn.writes.len();
        self.txn = write(std::mem::take(&mut self.txn));
        self.txn.writes.len() > before
    }
}

/// Changes that the end of a job takes.
const CHANGES_OF_AN_END: usize = 2;

impl Engine {
    /// Writes one transaction of what has ended, if none is under way: jobs' ends first, then waiting
    /// jobs, and now and then progress and removals.
    pub(super) fn write_ends_when_due(&mut self) {
        let now = self.now;
        let most = self.settings.cluster.state.txn_ops;
        let Some(leader) = self.leader() else {
            return;
        };
        if !leader.ends.retry.due(now) {
            return;
        }
        let progress_is_due = now >= leader.ends.progress_at;
        let mut draft = Draft {
            txn: Txn::default().when(LEAD, leader.version),
            batch: Batch::default(),
            most,
        };
        self.draft_ends(&mut draft);
        self.draft_steps(&mut draft);
        if progress_is_due {
            self.draft_progress(&mut draft);
            self.draft_removals(&mut draft);
            self.schedule_progress();
        }
        if draft.txn.writes.is_empty() {
            return;
        }
        if let Some(leader) = self.leader_mut() {
            leader.ends.retry.busy = true;
        }
        self.store(Op::Ends(draft.batch), StoreCall::Commit(draft.txn));
    }

    /// Jobs that are done, or cancelled and gone from all machines.
    fn draft_ends(&mut self, draft: &mut Draft) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        while let Some(id) = leader.ends.over.pop_first() {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            if draft.space() < CHANGES_OF_AN_END {
                leader.ends.over.insert(id);
                break;
            }
            let tasks = u64::from(job.spec.tasks);
            let written = draft.add(|txn| match job.phase {
                Phase::Done { written: false } => {
                    records::end(txn, &id.0, job.version, JobState::Done, tasks)
                }
                Phase::Cancelled if job.live.is_empty() => txn.delete(records::job_key(&id.0)),
                _ => txn,
            });
            if written {
                // Named now: when the answer comes, the watch may have removed the job already.
                let keys = job.progress.keys().cloned().collect();
                draft.batch.over.push((id, keys));
            }
        }
    }

    /// Waiting jobs that may start, or are cancelled with one that they need.
    fn draft_steps(&mut self, draft: &mut Draft) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        while draft.space() >= CHANGES_OF_AN_END
            && let Some(id) = leader.ends.steps.pop_first()
        {
            if draft.add(|txn| write_step(&self.pipelines, &id, self.wall, txn)) {
                draft.batch.steps.push(id);
            }
        }
    }

    /// Completed tasks of arrays that are not on record. What does not fit is written the next time.
    fn draft_progress(&mut self, draft: &mut Draft) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        while let Some(id) = leader.ends.progress.pop_first() {
            let Some(job) = self.jobs.get(&id).filter(|job| job.is_open()) else {
                continue;
            };
            if !draft_progress_of(draft, &id, job) {
                leader.ends.progress.insert(id);
                break;
            }
        }
    }

    /// Records that nobody needs.
    fn draft_removals(&mut self, draft: &mut Draft) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        while draft.space() > 0
            && let Some(key) = leader.ends.removals.pop_front()
        {
            draft.add(|txn| txn.delete(&key));
            draft.batch.removals.push(key);
        }
    }

    fn schedule_progress(&mut self) {
        let rate = self.settings.cluster.state.write_rps;
        let pause = (1000.0 * k::PROGRESS_EVERY_CHANGES / rate) as u64;
        let at = self.now + k::PROGRESS_EVERY_MS.max(pause);
        if let Some(leader) = self.leader_mut() {
            leader.ends.progress_at = at;
        }
    }

    /// The outcome of such a transaction.
    pub(super) fn on_ends_written(&mut self, batch: Batch, result: Result<StoreReply, StoreError>) {
        match result {
            Ok(StoreReply::Committed { revision }) => {
                return self.on_batch_durable(batch, revision);
            }
            Err(StoreError::Conflict(failed)) if failed.iter().any(|f| f == LEAD) => {
                return self.step_down("a commit found another leader");
            }
            Err(StoreError::Bad(why)) => tracing::error!("ends refused: {why}"),
            // A write without an answer was carried out after all.
            Err(StoreError::Conflict(failed)) => {
                for key in failed.iter().filter(|key| key.starts_with(records::WORK)) {
                    let key = key.clone();
                    self.store(Op::Progress { key: key.clone() }, StoreCall::Get { key });
                }
            }
            _ => {}
        }
        self.write_batch_again(batch);
    }

    fn on_batch_durable(&mut self, batch: Batch, revision: u64) {
        let now = self.now;
        if let Some(leader) = self.leader_mut() {
            leader.ends.retry.worked(now);
        }
        for id in batch.steps {
            self.on_step_written(&id, revision);
        }
        for (id, tasks, keys) in batch.progress {
            if let Some(job) = self.jobs.get_mut(&id) {
                let keys = keys.into_iter().map(|key| (key, revision));
                job.progress.extend(keys);
                for index in tasks {
                    job.written.insert(index);
                }
            }
        }
        for (id, keys) in batch.over {
            self.on_over(&id);
            if let Some(leader) = self.leader_mut() {
                leader.ends.removals.extend(keys);
            }
        }
    }

    /// Not written, or not known to be: everything in it may be written twice.
    fn write_batch_again(&mut self, batch: Batch) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let ends = &mut leader.ends;
        ends.retry.failed(self.now, &mut self.rng);
        ends.over.extend(batch.over.into_iter().map(|(id, _)| id));
        let progress = batch.progress.into_iter().map(|(id, ..)| id);
        ends.progress.extend(progress);
        ends.steps.extend(batch.steps);
        ends.removals.extend(batch.removals);
    }

    pub(super) fn on_progress_read(&mut self, key: &str, result: Result<StoreReply, StoreError>) {
        let job = records::work_of_key(key).and_then(|(id, _)| self.jobs.get_mut(&id));
        // Unread, it fails the next write as well and is read again.
        if let (Ok(StoreReply::Got(item)), Some(job)) = (result, job) {
            let version = item.map_or(0, |item| item.version);
            job.progress.insert(key.to_owned(), version);
        }
    }

    /// The end of a job is on record.
    fn on_over(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let state = match &mut job.phase {
            Phase::Done { written } => {
                *written = true;
                JobState::Done
            }
            Phase::Cancelled => JobState::Cancelled,
            // What was written is not known any more: the final record tells.
            Phase::Open => return,
        };
        self.pipelines.note_end(id, state);
        tracing::debug!(job = %id, phase = ?job.phase, "job is over");
        if job.live.is_empty() {
            self.jobs.remove(id);
        }
    }
}

/// Adds the records that cover a job's tasks that are done and not on record; whether all of them fit.
fn draft_progress_of(draft: &mut Draft, id: &JobId, job: &Job) -> bool {
    let is_news = |index: &u32| !job.written.contains(*index);
    let part_of = |index: u32| index / k::DONE_PART;
    let parts: BTreeSet<u32> = job.done.iter().filter(is_news).map(part_of).collect();
    let fitting: BTreeSet<u32> = parts.iter().take(draft.space()).copied().collect();
    let mut keys = Vec::new();
    for part in &fitting {
        let record = WorkRecord {
            done: job.done.part_text(*part),
        };
        // An older write that is carried out late must not undo this one.
        let key = records::work_key(id, job.spec.tasks, *part);
        let version = job.progress.get(&key).copied().unwrap_or(0);
        draft.add(|txn| txn.when(&key, version).put(&key, records::value(&record)));
        keys.push(key);
    }
    let news = job.done.iter().filter(is_news);
    let news = news.filter(|index| fitting.contains(&part_of(*index)));
    draft
        .batch
        .progress
        .push((id.clone(), news.collect(), keys));
    fitting.len() == parts.len()
}

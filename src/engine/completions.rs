//! Writing what has ended: jobs that are done, progress of arrays, jobs that are cancelled and
//! gone, and the removal of records nobody needs any more. Batched, one transaction at a time.

use super::dependencies::add_blocked_job_update;
use super::records::{self, LEAD, WorkRecord};
use super::{Engine, PendingCall, Retry, Role};
use crate::constants;
use crate::model::{Job, JobId, JobPhase, Ms};
use crate::store::{StoreCall, StoreError, StoreReply};
use crate::wire::store::Transaction;
use crate::wire::user::JobState;
use std::collections::{BTreeSet, VecDeque};

#[derive(Debug, Default)]
pub(super) struct Completions {
    /// Jobs that are over.
    finished: BTreeSet<JobId>,
    /// Arrays with completed tasks that are not on record.
    progress: BTreeSet<JobId>,
    /// Waiting jobs that may start, or are cancelled with one that they need.
    unblocked: BTreeSet<JobId>,
    removals: VecDeque<String>,
    retry: Retry,
    progress_at: Ms,
}

/// What one transaction wrote.
#[derive(Debug, Default)]
pub(super) struct CompletionBatch {
    /// With the records of progress that are of no use any more.
    finished: Vec<(JobId, Vec<String>)>,
    /// Tasks, and the records that cover them.
    progress: Vec<(JobId, Vec<u32>, Vec<String>)>,
    unblocked: Vec<JobId>,
    removals: Vec<String>,
}

impl Completions {
    pub fn note(&mut self, job: &JobId, over: bool) {
        let set = if over {
            &mut self.finished
        } else {
            &mut self.progress
        };
        set.insert(job.clone());
    }

    pub fn mark_unblocked(&mut self, job: &JobId) {
        self.unblocked.insert(job.clone());
    }

    pub fn remove(&mut self, key: String) {
        self.removals.push_back(key);
    }
}

/// A transaction in the making, and what it writes.
#[derive(Debug)]
struct CompletionTransaction {
    txn: Transaction,
    batch: CompletionBatch,
    /// Changes that a transaction may have.
    most: usize,
}

impl CompletionTransaction {
    /// How many more changes fit.
    fn space(&self) -> usize {
        self.most.saturating_sub(self.txn.mutations.len())
    }

    /// Adds what `write` puts into the transaction; whether it did.
    fn add(&mut self, write: impl FnOnce(Transaction) -> Transaction) -> bool {
        let before = self.txn.mutations.len();
        self.txn = write(std::mem::take(&mut self.txn));
        self.txn.mutations.len() > before
    }
}

/// Changes that the end of a job takes.
const CHANGES_OF_AN_END: usize = 2;

impl Engine {
    /// Writes one transaction of what has ended, if none is under way: jobs' completions first, then waiting
    /// jobs, and now and then progress and removals.
    pub(super) fn write_completions_when_due(&mut self) {
        let now = self.now;
        let most = self.settings.cluster.state.txn_ops;
        let Some(leader) = self.leader() else {
            return;
        };
        if !leader.completions.retry.due(now) {
            return;
        }
        let progress_is_due = now >= leader.completions.progress_at;
        let mut draft = CompletionTransaction {
            txn: Transaction::default().compare(LEAD, leader.version),
            batch: CompletionBatch::default(),
            most,
        };
        self.add_finished_jobs(&mut draft);
        self.add_unblocked_jobs(&mut draft);
        if progress_is_due {
            self.add_progress(&mut draft);
            self.add_record_removals(&mut draft);
            self.schedule_progress();
        }
        if draft.txn.mutations.is_empty() {
            return;
        }
        if let Some(leader) = self.leader_mut() {
            leader.completions.retry.busy = true;
        }
        self.call_store(
            PendingCall::WriteCompletions(draft.batch),
            StoreCall::Commit(draft.txn),
        );
    }

    /// Jobs that are done, or cancelled and gone from all machines.
    fn add_finished_jobs(&mut self, draft: &mut CompletionTransaction) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        while let Some(id) = leader.completions.finished.pop_first() {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            if draft.space() < CHANGES_OF_AN_END {
                leader.completions.finished.insert(id);
                break;
            }
            let tasks = u64::from(job.spec.tasks);
            let written = draft.add(|txn| match job.phase {
                JobPhase::Done { recorded: false } => {
                    records::end(txn, &id.0, job.version, JobState::Done, tasks)
                }
                JobPhase::Cancelled if job.placements.is_empty() => {
                    txn.delete(records::job_key(&id.0))
                }
                _ => txn,
            });
            if written {
                // Named now: when the answer comes, the watch may have removed the job already.
                let keys = job.progress_records.keys().cloned().collect();
                draft.batch.finished.push((id, keys));
            }
        }
    }

    /// Waiting jobs that may start, or are cancelled with one that they need.
    fn add_unblocked_jobs(&mut self, draft: &mut CompletionTransaction) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        while draft.space() >= CHANGES_OF_AN_END
            && let Some(id) = leader.completions.unblocked.pop_first()
        {
            if draft.add(|txn| add_blocked_job_update(&self.dependencies, &id, self.unix_ms, txn)) {
                draft.batch.unblocked.push(id);
            }
        }
    }

    /// Completed tasks of arrays that are not on record. What does not fit is written the next time.
    fn add_progress(&mut self, draft: &mut CompletionTransaction) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        while let Some(id) = leader.completions.progress.pop_first() {
            let Some(job) = self.jobs.get(&id).filter(|job| job.is_open()) else {
                continue;
            };
            if !add_progress_of_job(draft, &id, job) {
                leader.completions.progress.insert(id);
                break;
            }
        }
    }

    /// Records that nobody needs.
    fn add_record_removals(&mut self, draft: &mut CompletionTransaction) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        while draft.space() > 0
            && let Some(key) = leader.completions.removals.pop_front()
        {
            draft.add(|txn| txn.delete(&key));
            draft.batch.removals.push(key);
        }
    }

    fn schedule_progress(&mut self) {
        let rate = self.settings.cluster.state.write_rps;
        let pause = (1000.0 * constants::PROGRESS_WRITE_INTERVAL_CHANGES / rate) as u64;
        let at = self.now + constants::PROGRESS_WRITE_INTERVAL_MS.max(pause);
        if let Some(leader) = self.leader_mut() {
            leader.completions.progress_at = at;
        }
    }

    /// The outcome of such a transaction.
    pub(super) fn on_completions_written(
        &mut self,
        batch: CompletionBatch,
        result: Result<StoreReply, StoreError>,
    ) {
        match result {
            Ok(StoreReply::Committed { revision }) => {
                return self.on_batch_durable(batch, revision);
            }
            Err(StoreError::Conflict(failed)) if failed.iter().any(|f| f == LEAD) => {
                return self.step_down("a commit found another leader");
            }
            Err(StoreError::Malformed(why)) => tracing::error!("completions refused: {why}"),
            // A write without an answer was carried out after all.
            Err(StoreError::Conflict(failed)) => {
                for key in failed.iter().filter(|key| key.starts_with(records::WORK)) {
                    let key = key.clone();
                    self.call_store(
                        PendingCall::ReadProgressRecord { key: key.clone() },
                        StoreCall::Get { key },
                    );
                }
            }
            _ => {}
        }
        self.write_batch_again(batch);
    }

    fn on_batch_durable(&mut self, batch: CompletionBatch, revision: u64) {
        let now = self.now;
        if let Some(leader) = self.leader_mut() {
            leader.completions.retry.worked(now);
        }
        for id in batch.unblocked {
            self.on_blocked_job_written(&id, revision);
        }
        for (id, tasks, keys) in batch.progress {
            if let Some(job) = self.jobs.get_mut(&id) {
                let keys = keys.into_iter().map(|key| (key, revision));
                job.progress_records.extend(keys);
                for index in tasks {
                    job.durable_completions.insert(index);
                }
            }
        }
        for (id, keys) in batch.finished {
            self.on_completion_recorded(&id);
            if let Some(leader) = self.leader_mut() {
                leader.completions.removals.extend(keys);
            }
        }
    }

    /// Not written, or not known to be: everything in it may be written twice.
    fn write_batch_again(&mut self, batch: CompletionBatch) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let completions = &mut leader.completions;
        completions.retry.failed(self.now, &mut self.rng);
        completions
            .finished
            .extend(batch.finished.into_iter().map(|(id, _)| id));
        let progress = batch.progress.into_iter().map(|(id, ..)| id);
        completions.progress.extend(progress);
        completions.unblocked.extend(batch.unblocked);
        completions.removals.extend(batch.removals);
    }

    pub(super) fn on_progress_read(&mut self, key: &str, result: Result<StoreReply, StoreError>) {
        let job = records::work_of_key(key).and_then(|(id, _)| self.jobs.get_mut(&id));
        // Unread, it fails the next write as well and is read again.
        if let (Ok(StoreReply::Item(item)), Some(job)) = (result, job) {
            let version = item.map_or(0, |item| item.version);
            job.progress_records.insert(key.to_owned(), version);
        }
    }

    /// The end of a job is on record.
    fn on_completion_recorded(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let state = match &mut job.phase {
            JobPhase::Done { recorded } => {
                *recorded = true;
                JobState::Done
            }
            JobPhase::Cancelled => JobState::Cancelled,
            // What was written is not known any more: the final record tells.
            JobPhase::Open => return,
        };
        self.dependencies.record_final_state(id, state);
        tracing::debug!(job = %id, phase = ?job.phase, "job is over");
        if job.placements.is_empty() {
            self.jobs.remove(id);
        }
    }
}

/// Adds the records that cover a job's tasks that are done and not on record; whether all of them fit.
fn add_progress_of_job(draft: &mut CompletionTransaction, id: &JobId, job: &Job) -> bool {
    let is_news = |index: &u32| !job.durable_completions.contains(*index);
    let part_of = |index: u32| index / constants::PROGRESS_RECORD_TASKS;
    let parts: BTreeSet<u32> = job.completed.iter().filter(is_news).map(part_of).collect();
    let fitting: BTreeSet<u32> = parts.iter().take(draft.space()).copied().collect();
    let mut keys = Vec::new();
    for part in &fitting {
        let record = WorkRecord {
            done: job.completed.part_text(*part),
        };
        // An older write that is carried out late must not undo this one.
        let key = records::work_key(id, job.spec.tasks, *part);
        let version = job.progress_records.get(&key).copied().unwrap_or(0);
        draft.add(|txn| {
            txn.compare(&key, version)
                .put(&key, records::value(&record))
        });
        keys.push(key);
    }
    let news = job.completed.iter().filter(is_news);
    let news = news.filter(|index| fitting.contains(&part_of(*index)));
    draft
        .batch
        .progress
        .push((id.clone(), news.collect(), keys));
    fitting.len() == parts.len()
}

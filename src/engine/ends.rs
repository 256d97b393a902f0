//! Writing what has ended: jobs that are done, progress of arrays, jobs that are cancelled and
//! gone, and the removal of records nobody needs any more. Batched, one transaction at a time.

use super::pipelines::write_step;
use super::records::{self, LEAD, WorkRecord};
use super::{Engine, Op, Retry, Role};
use crate::constants as k;
use crate::model::{JobId, Ms, Phase};
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

impl Engine {
    pub(super) fn write_ends_when_due(&mut self) {
        let now = self.now;
        let ops = self.settings.cluster.state.txn_ops;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let ends = &mut leader.ends;
        if !ends.retry.due(now) {
            return;
        }
        let mut txn = Txn::default().when(LEAD, leader.version);
        let mut batch = Batch::default();
        while let Some(id) = ends.over.pop_first() {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            if txn.writes.len() + 2 > ops {
                ends.over.insert(id);
                break;
            }
            txn = match job.phase {
                Phase::Done { written: false } => {
                    let tasks = u64::from(job.spec.tasks);
                    records::end(txn, &id.0, job.version, JobState::Done, tasks)
                }
                Phase::Cancelled if job.live.is_empty() => txn.delete(records::job_key(&id.0)),
                _ => continue,
            };
            // Named now: when the answer comes, the watch may have removed the job already.
            let keys = job.progress.keys().cloned();
            batch.over.push((id.clone(), keys.collect()));
        }
        while txn.writes.len() + 2 <= ops {
            let Some(id) = ends.steps.pop_first() else {
                break;
            };
            let writes = txn.writes.len();
            txn = write_step(&self.pipelines, &id, self.wall, txn);
            if txn.writes.len() > writes {
                batch.steps.push(id);
            }
        }
        if now >= ends.progress_at {
            while let Some(id) = ends.progress.pop_first() {
                let Some(job) = self.jobs.get(&id).filter(|job| job.is_open()) else {
                    continue;
                };
                let is_news = |i: &u32| !job.written.contains(*i);
                let part = |i: u32| i / k::DONE_PART;
                let parts: BTreeSet<u32> = job.done.iter().filter(is_news).map(part).collect();
                // What does not fit is written the next time.
                let now: BTreeSet<u32> =
                    parts.iter().take(ops - txn.writes.len()).copied().collect();
                let rest = now.len() < parts.len();
                let mut keys = Vec::new();
                for part in &now {
                    let record = WorkRecord {
                        done: job.done.part_text(*part),
                    };
                    // An older write that is carried out late must not undo this one.
                    let key = records::work_key(&id, job.spec.tasks, *part);
                    let version = job.progress.get(&key).copied().unwrap_or(0);
                    txn = txn.when(&key, version).put(&key, records::value(&record));
                    keys.push(key);
                }
                let news = job.done.iter().filter(is_news);
                let news = news.filter(|i| now.contains(&part(*i))).collect();
                batch.progress.push((id.clone(), news, keys));
                if rest {
                    ends.progress.insert(id);
                    break;
                }
            }
            while txn.writes.len() < ops {
                let Some(key) = ends.removals.pop_front() else {
                    break;
                };
                txn = txn.delete(&key);
                batch.removals.push(key);
            }
            let changes =
                1000.0 * k::PROGRESS_EVERY_CHANGES / self.settings.cluster.state.write_rps;
            ends.progress_at = now + k::PROGRESS_EVERY_MS.max(changes as u64);
        }
        if txn.writes.is_empty() {
            return;
        }
        ends.retry.busy = true;
        self.store(Op::Ends(batch), StoreCall::Commit(txn));
    }

    pub(super) fn on_ends_written(&mut self, batch: Batch, result: Result<StoreReply, StoreError>) {
        let now = self.now;
        if let Ok(StoreReply::Committed { revision }) = result {
            if let Role::Leader(leader) = &mut self.role {
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
                if let Role::Leader(leader) = &mut self.role {
                    leader.ends.removals.extend(keys);
                }
            }
            return;
        }
        if matches!(&result, Err(StoreError::Conflict(failed)) if failed.iter().any(|f| f == LEAD))
        {
            return self.step_down("a commit found another leader");
        }
        match &result {
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
        // Not written, or not known to be: everything in it may be written twice.
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        leader.ends.retry.failed(now, &mut self.rng);
        leader
            .ends
            .over
            .extend(batch.over.into_iter().map(|(id, _)| id));
        leader
            .ends
            .progress
            .extend(batch.progress.into_iter().map(|(id, ..)| id));
        leader.ends.steps.extend(batch.steps);
        leader.ends.removals.extend(batch.removals);
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

//! Writing what has ended: jobs that are done, progress of arrays, jobs that are cancelled and
//! gone, and the removal of records nobody needs any more. Batched, one transaction at a time.

use super::records::{self, FinalRecord, LEAD, WorkRecord};
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
    removals: VecDeque<String>,
    retry: Retry,
    progress_at: Ms,
}

/// What one transaction wrote.
#[derive(Debug, Default)]
pub(super) struct Batch {
    /// With the records of progress that are of no use any more.
    over: Vec<(JobId, Vec<String>)>,
    progress: Vec<(JobId, Vec<u32>)>,
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
            let live = records::job_key(&id.0);
            txn = match job.phase {
                Phase::Done { written: false } => {
                    let tasks = u64::from(job.spec.tasks);
                    let last = FinalRecord {
                        state: JobState::Done,
                        tasks,
                    };
                    // Whoever cancelled the job meanwhile has changed its record and wins.
                    txn.when(&live, job.version)
                        .put(records::final_key(&id.0), records::final_value(&last))
                        .delete(live)
                }
                Phase::Cancelled if job.live.is_empty() => txn.delete(live),
                _ => continue,
            };
            // Named now: when the answer comes, the watch may have removed the job already.
            let chunks: BTreeSet<u32> = job.written.iter().map(|i| i / k::DONE_CHUNK).collect();
            let keys = chunks
                .into_iter()
                .map(|chunk| records::work_key(&id, chunk));
            batch.over.push((id.clone(), keys.collect()));
        }
        if now >= ends.progress_at {
            while let Some(id) = ends.progress.pop_first() {
                let Some(job) = self.jobs.get(&id).filter(|job| job.is_open()) else {
                    continue;
                };
                let news: Vec<u32> = job
                    .done
                    .iter()
                    .filter(|i| !job.written.contains(*i))
                    .collect();
                let chunks: BTreeSet<u32> = news.iter().map(|i| i / k::DONE_CHUNK).collect();
                if txn.writes.len() + chunks.len() > ops {
                    ends.progress.insert(id);
                    break;
                }
                for chunk in chunks {
                    let record = WorkRecord {
                        done: job.done.chunk_text(chunk),
                    };
                    // An older write that is carried out late must not undo this one.
                    let version = job.progress_versions.get(&chunk).copied().unwrap_or(0);
                    let key = records::work_key(&id, chunk);
                    txn = txn.when(&key, version).put(key, records::value(&record));
                }
                batch.progress.push((id, news));
            }
            while txn.writes.len() < ops {
                let Some(key) = ends.removals.pop_front() else {
                    break;
                };
                txn = txn.delete(&key);
                batch.removals.push(key);
            }
            ends.progress_at = now + k::ENDS_EVERY_MS;
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
            for (id, tasks) in batch.progress {
                if let Some(job) = self.jobs.get_mut(&id) {
                    for index in tasks {
                        job.written.insert(index);
                        let chunk = index / k::DONE_CHUNK;
                        job.progress_versions.insert(chunk, revision);
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
                for (job, chunk) in failed.iter().filter_map(|key| records::work_of_key(key)) {
                    let key = records::work_key(&job, chunk);
                    self.store(Op::Progress { job, chunk }, StoreCall::Get { key });
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
            .extend(batch.progress.into_iter().map(|(id, _)| id));
        leader.ends.removals.extend(batch.removals);
    }

    pub(super) fn on_progress_read(
        &mut self,
        job: &JobId,
        chunk: u32,
        result: Result<StoreReply, StoreError>,
    ) {
        // Unread, it fails the next write as well and is read again.
        if let (Ok(StoreReply::Got(item)), Some(job)) = (result, self.jobs.get_mut(job)) {
            let version = item.map_or(0, |item| item.version);
            job.progress_versions.insert(chunk, version);
        }
    }

    /// The end of a job is on record.
    fn on_over(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if let Phase::Done { written } = &mut job.phase {
            *written = true;
        }
        tracing::debug!(job = %id, phase = ?job.phase, "job is over");
        if job.live.is_empty() {
            self.jobs.remove(id);
        }
    }
}

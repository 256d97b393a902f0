//! Queue of the changes to be written for completed and cancelled work: ends of jobs, progress of
//! arrays, jobs that are no longer blocked, and removals of records that are no longer needed. The
//! changes are written in batches, one transaction at a time.

use super::context::Context;
use super::dependencies::Dependencies;
use super::jobs::Jobs;
use super::records::{self, LEADER_KEY, ProgressRecord};
use super::retry::Retry;
use crate::constants;
use crate::model::{Job, JobId, JobPhase, Timestamp};
use crate::wire::store::Transaction;
use crate::wire::user::JobState;
use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

/// The changes that wait to be written.
#[derive(Debug, Default)]
pub(super) struct Completions {
    /// Jobs that are done, or cancelled without any task left on a machine.
    finished: BTreeSet<JobId>,
    /// Arrays with completed tasks that are not durable yet.
    progress: BTreeSet<JobId>,
    /// Blocked jobs whose dependencies are all done, or that are cancelled because a dependency is.
    unblocked: BTreeSet<JobId>,
    /// Keys of records that are no longer needed.
    removals: VecDeque<String>,
    retry: Retry,
    next_progress_at: Timestamp,
}

/// The changes that one transaction writes.
#[derive(Debug, Default)]
pub(super) struct CompletionBatch {
    pub(super) finished: Vec<FinishedJob>,
    pub(super) progress: Vec<WrittenProgress>,
    pub(super) unblocked: Vec<JobId>,
    removals: Vec<String>,
}

/// A job whose end is written by a transaction.
#[derive(Debug)]
pub(super) struct FinishedJob {
    pub(super) job: JobId,
    /// Keys of its progress records, which are no longer needed after the job's end.
    pub(super) progress_keys: Vec<String>,
}

/// Progress of an array that is written by a transaction.
#[derive(Debug)]
pub(super) struct WrittenProgress {
    pub(super) job: JobId,
    /// Completed tasks that were not durable before.
    pub(super) tasks: Vec<u32>,
    /// Keys of the progress records that cover these tasks.
    pub(super) keys: Vec<String>,
}

/// The state from which a transaction of completions is built.
#[derive(Debug, Clone, Copy)]
pub(super) struct CompletionSources<'a> {
    pub(super) jobs: &'a Jobs,
    pub(super) dependencies: &'a Dependencies,
    pub(super) context: &'a Context,
    /// Version of the leader's key, a condition of the transaction.
    pub(super) leader_version: u64,
}

/// A transaction being built, and the changes that it writes.
#[derive(Debug)]
struct CompletionTransaction {
    transaction: Transaction,
    batch: CompletionBatch,
    max_mutations: usize,
}

impl Completions {
    /// Queues the end of a job that is done, or cancelled without any task left on a machine.
    pub(super) fn add_finished(&mut self, job: &JobId) {
        self.finished.insert(job.clone());
    }

    /// Queues the progress of a job of which a task has completed, but not all tasks.
    pub(super) fn add_progress(&mut self, job: &JobId) {
        self.progress.insert(job.clone());
    }

    /// Queues blocked jobs whose dependencies are all done, or that are cancelled because a
    /// dependency is.
    pub(super) fn add_unblocked(&mut self, jobs: Vec<JobId>) {
        self.unblocked.extend(jobs);
    }

    /// Queues the removal of the record with this key, which is no longer needed.
    pub(super) fn add_removal(&mut self, key: String) {
        self.removals.push_back(key);
    }

    /// Reports whether no change waits to be written.
    fn is_empty(&self) -> bool {
        self.finished.is_empty()
            && self.progress.is_empty()
            && self.unblocked.is_empty()
            && self.removals.is_empty()
    }

    /// Begins the next transaction and returns it with the changes that it writes. Returns `None`
    /// if no change is due, a transaction is in flight, or a retry is not due yet.
    ///
    /// Ends of jobs come first, then jobs that are no longer blocked. Progress and removals are
    /// added at most once per progress interval.
    pub(super) fn next_transaction(
        &mut self,
        sources: CompletionSources<'_>,
    ) -> Option<(Transaction, CompletionBatch)> {
        let now = sources.context.now();
        if !self.retry.is_due(now) {
            return None;
        }
        let state = &sources.context.settings().cluster.state;
        let progress_is_due = now >= self.next_progress_at;
        if progress_is_due {
            self.next_progress_at = now + progress_interval(state.write_rps);
        }
        if self.is_empty() {
            return None;
        }
        let mut transaction = CompletionTransaction {
            transaction: Transaction::default().compare(LEADER_KEY, sources.leader_version),
            batch: CompletionBatch::default(),
            max_mutations: state.txn_ops,
        };
        self.write_finished_jobs(&mut transaction, sources);
        self.write_unblocked_jobs(&mut transaction, sources);
        if progress_is_due {
            self.write_progress(&mut transaction, sources);
            self.write_removals(&mut transaction);
        }
        if transaction.transaction.mutations.is_empty() {
            return None;
        }
        self.retry.begin();
        Some((transaction.transaction, transaction.batch))
    }

    fn write_finished_jobs(
        &mut self,
        transaction: &mut CompletionTransaction,
        sources: CompletionSources<'_>,
    ) {
        while let Some(id) = self.finished.pop_first() {
            let Some(job) = sources.jobs.get(&id) else {
                continue;
            };
            if transaction.remaining_mutations() < constants::MUTATIONS_PER_FINISHED_JOB {
                self.finished.insert(id);
                break;
            }
            if transaction.add(|transaction| add_end_of(transaction, &id, job)) {
                // The keys are collected now because the watch may remove the job before the
                // response arrives.
                let progress_keys = job.progress_records.keys().cloned().collect();
                transaction.batch.finished.push(FinishedJob {
                    job: id,
                    progress_keys,
                });
            }
        }
    }

    fn write_unblocked_jobs(
        &mut self,
        transaction: &mut CompletionTransaction,
        sources: CompletionSources<'_>,
    ) {
        let unix_time = sources.context.unix_time();
        while transaction.remaining_mutations() >= constants::MUTATIONS_PER_FINISHED_JOB
            && let Some(id) = self.unblocked.pop_first()
        {
            let dependencies = sources.dependencies;
            if transaction.add(|txn| dependencies.add_unblocked_job(&id, unix_time, txn)) {
                transaction.batch.unblocked.push(id);
            }
        }
    }

    /// Adds the completed tasks of arrays that are not durable yet. Tasks that do not fit stay
    /// queued for a later transaction.
    fn write_progress(
        &mut self,
        transaction: &mut CompletionTransaction,
        sources: CompletionSources<'_>,
    ) {
        while let Some(id) = self.progress.pop_first() {
            let Some(job) = sources.jobs.get(&id).filter(|job| job.is_open()) else {
                continue;
            };
            if !transaction.add_progress_of(&id, job) {
                self.progress.insert(id);
                break;
            }
        }
    }

    fn write_removals(&mut self, transaction: &mut CompletionTransaction) {
        while transaction.remaining_mutations() > 0
            && let Some(key) = self.removals.pop_front()
        {
            transaction.add(|transaction| transaction.delete(&key));
            transaction.batch.removals.push(key);
        }
    }

    /// Handles the success of the transaction in flight: its changes are durable.
    pub(super) fn on_committed(&mut self, now: Timestamp) {
        self.retry.record_success(now);
    }

    /// Handles the failure of the transaction in flight, which was not applied or whose outcome is
    /// unknown: all its changes are queued again.
    pub(super) fn on_failed(&mut self, batch: CompletionBatch, context: &mut Context) {
        self.retry.record_failure(context);
        let finished = batch.finished.into_iter();
        self.finished.extend(finished.map(|finished| finished.job));
        let progress = batch.progress.into_iter();
        self.progress.extend(progress.map(|progress| progress.job));
        self.unblocked.extend(batch.unblocked);
        self.removals.extend(batch.removals);
    }
}

/// Returns the minimum time between two writes of progress and removals for a state service that
/// allows `changes_per_second` changes per second.
fn progress_interval(changes_per_second: f64) -> Duration {
    let millis = (1000.0 * constants::CHANGES_PER_PROGRESS_WRITE / changes_per_second) as u64;
    constants::MIN_PROGRESS_WRITE_INTERVAL.max(Duration::from_millis(millis))
}

/// Adds a job's end to a transaction. Adds nothing if the job is open, its end is recorded already,
/// or it is cancelled and still has tasks on machines.
fn add_end_of(transaction: Transaction, id: &JobId, job: &Job) -> Transaction {
    match job.phase {
        JobPhase::Done { recorded: false } => {
            let tasks = u64::from(job.spec.tasks);
            records::add_job_end(transaction, &id.0, job.version, JobState::Done, tasks)
        }
        // The final record was written together with the cancellation.
        JobPhase::Cancelled if job.placements.is_empty() => {
            transaction.delete(records::job_key(&id.0))
        }
        _ => transaction,
    }
}

impl CompletionTransaction {
    /// Returns the number of further mutations that fit into the transaction.
    fn remaining_mutations(&self) -> usize {
        self.max_mutations
            .saturating_sub(self.transaction.mutations.len())
    }

    /// Adds mutations by calling `add_mutations`, and reports whether it added any.
    fn add(&mut self, add_mutations: impl FnOnce(Transaction) -> Transaction) -> bool {
        let before = self.transaction.mutations.len();
        self.transaction = add_mutations(std::mem::take(&mut self.transaction));
        self.transaction.mutations.len() > before
    }

    /// Adds the progress records that cover a job's completed tasks that are not durable yet, as
    /// far as they fit. Reports whether all of them did.
    fn add_progress_of(&mut self, id: &JobId, job: &Job) -> bool {
        let is_not_durable = |index: &u32| !job.durable_completions.contains(*index);
        let part_of = |index: u32| index / constants::PROGRESS_RECORD_TASKS;
        let parts: BTreeSet<u32> = job
            .completed
            .iter()
            .filter(is_not_durable)
            .map(part_of)
            .collect();
        let fitting_parts: BTreeSet<u32> = parts
            .iter()
            .take(self.remaining_mutations())
            .copied()
            .collect();
        let mut keys = Vec::new();
        for part in &fitting_parts {
            let record = ProgressRecord {
                done: job.completed.encode_part(*part),
            };
            // The version is compared so that an older write that is applied late can't overwrite
            // this one.
            let key = records::progress_key(id, job.spec.tasks, *part);
            let version = job.progress_records.get(&key).copied().unwrap_or(0);
            self.add(|transaction| {
                transaction
                    .compare(&key, version)
                    .put(&key, records::to_value(&record))
            });
            keys.push(key);
        }
        let new_tasks = job.completed.iter().filter(is_not_durable);
        let new_tasks = new_tasks.filter(|index| fitting_parts.contains(&part_of(*index)));
        self.batch.progress.push(WrittenProgress {
            job: id.clone(),
            tasks: new_tasks.collect(),
            keys,
        });
        fitting_parts.len() == parts.len()
    }
}

#[cfg(test)]
mod tests;

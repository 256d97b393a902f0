//! What has to be written of completed and cancelled work: ends of jobs, progress of arrays, jobs
//! that are not blocked any more, and the removal of records that nobody needs. Batched, one
//! transaction at a time.

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

/// What waits to be written.
#[derive(Debug, Default)]
pub(super) struct Completions {
    /// Jobs that are done, or cancelled and gone from all machines.
    finished: BTreeSet<JobId>,
    /// Arrays with completed tasks that are not durable.
    progress: BTreeSet<JobId>,
    /// Blocked jobs that may start, or are cancelled with a dependency.
    unblocked: BTreeSet<JobId>,
    /// Keys of records that nobody needs.
    removals: VecDeque<String>,
    retry: Retry,
    next_progress_at: Timestamp,
}

/// What one transaction wrote.
#[derive(Debug, Default)]
pub(super) struct CompletionBatch {
    pub(super) finished: Vec<FinishedJob>,
    pub(super) progress: Vec<WrittenProgress>,
    pub(super) unblocked: Vec<JobId>,
    removals: Vec<String>,
}

/// A job whose end was written.
#[derive(Debug)]
pub(super) struct FinishedJob {
    pub(super) job: JobId,
    /// Keys of its progress records, which nobody needs any more.
    pub(super) progress_keys: Vec<String>,
}

/// Progress of an array that was written.
#[derive(Debug)]
pub(super) struct WrittenProgress {
    pub(super) job: JobId,
    /// Completed tasks that are news.
    pub(super) tasks: Vec<u32>,
    /// Keys of the records that cover them.
    pub(super) keys: Vec<String>,
}

/// What a transaction of completions is made from.
#[derive(Debug, Clone, Copy)]
pub(super) struct CompletionSources<'a> {
    pub(super) jobs: &'a Jobs,
    pub(super) dependencies: &'a Dependencies,
    pub(super) context: &'a Context,
    /// Version of the leader's key.
    pub(super) leader_version: u64,
}

/// A transaction in the making, and what it writes.
#[derive(Debug)]
struct CompletionTransaction {
    transaction: Transaction,
    batch: CompletionBatch,
    max_mutations: usize,
}

impl Completions {
    /// The job is done, or cancelled and gone from all machines.
    pub(super) fn add_finished(&mut self, job: &JobId) {
        self.finished.insert(job.clone());
    }

    /// A task of the job, which is not done, has completed.
    pub(super) fn add_progress(&mut self, job: &JobId) {
        self.progress.insert(job.clone());
    }

    /// These blocked jobs may start, or are cancelled with a dependency.
    pub(super) fn add_unblocked(&mut self, jobs: Vec<JobId>) {
        self.unblocked.extend(jobs);
    }

    /// Nobody needs the record under that key any more.
    pub(super) fn add_removal(&mut self, key: String) {
        self.removals.push_back(key);
    }

    /// Whether nothing waits to be written.
    fn is_empty(&self) -> bool {
        self.finished.is_empty()
            && self.progress.is_empty()
            && self.unblocked.is_empty()
            && self.removals.is_empty()
    }

    /// The next transaction, if there is something to write and none is in flight: ends of jobs
    /// first, then jobs that are not blocked any more, and now and then progress and removals.
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
            if transaction.space() < constants::MUTATIONS_PER_FINISHED_JOB {
                self.finished.insert(id);
                break;
            }
            if transaction.add(|transaction| finish(transaction, &id, job)) {
                // Named now: when the response comes, the watch may have removed the job already.
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
        while transaction.space() >= constants::MUTATIONS_PER_FINISHED_JOB
            && let Some(id) = self.unblocked.pop_first()
        {
            let dependencies = sources.dependencies;
            if transaction.add(|txn| dependencies.add_unblocked_job(&id, unix_time, txn)) {
                transaction.batch.unblocked.push(id);
            }
        }
    }

    /// Completed tasks of arrays that are not durable. What does not fit is written the next time.
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
        while transaction.space() > 0
            && let Some(key) = self.removals.pop_front()
        {
            transaction.add(|transaction| transaction.delete(&key));
            transaction.batch.removals.push(key);
        }
    }

    /// The transaction in flight is durable.
    pub(super) fn on_committed(&mut self, now: Timestamp) {
        self.retry.record_success(now);
    }

    /// The transaction in flight is not durable, or not known to be: everything in it is written
    /// again.
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

/// Time between two writes of progress and removals, where so many changes a second are allowed.
fn progress_interval(changes_per_second: f64) -> Duration {
    let millis = (1000.0 * constants::CHANGES_PER_PROGRESS_WRITE / changes_per_second) as u64;
    constants::MIN_PROGRESS_WRITE_INTERVAL.max(Duration::from_millis(millis))
}

/// Adds a job's end to a transaction, if it has come to one.
fn finish(transaction: Transaction, id: &JobId, job: &Job) -> Transaction {
    match job.phase {
        JobPhase::Done { recorded: false } => {
            let tasks = u64::from(job.spec.tasks);
            records::finish_job(transaction, &id.0, job.version, JobState::Done, tasks)
        }
        // Its final record was written with the cancellation.
        JobPhase::Cancelled if job.placements.is_empty() => {
            transaction.delete(records::job_key(&id.0))
        }
        _ => transaction,
    }
}

impl CompletionTransaction {
    /// How many more mutations fit.
    fn space(&self) -> usize {
        self.max_mutations
            .saturating_sub(self.transaction.mutations.len())
    }

    /// Adds what `write` puts into the transaction; whether that was anything.
    fn add(&mut self, write: impl FnOnce(Transaction) -> Transaction) -> bool {
        let before = self.transaction.mutations.len();
        self.transaction = write(std::mem::take(&mut self.transaction));
        self.transaction.mutations.len() > before
    }

    /// Adds the progress records that cover a job's completed tasks that are not durable; whether
    /// all of them fit.
    fn add_progress_of(&mut self, id: &JobId, job: &Job) -> bool {
        let is_news = |index: &u32| !job.durable_completions.contains(*index);
        let part_of = |index: u32| index / constants::PROGRESS_RECORD_TASKS;
        let parts: BTreeSet<u32> = job.completed.iter().filter(is_news).map(part_of).collect();
        let fitting: BTreeSet<u32> = parts.iter().take(self.space()).copied().collect();
        let mut keys = Vec::new();
        for part in &fitting {
            let record = ProgressRecord {
                done: job.completed.part_text(*part),
            };
            // An older write that is carried out late must not undo this one.
            let key = records::progress_key(id, job.spec.tasks, *part);
            let version = job.progress_records.get(&key).copied().unwrap_or(0);
            self.add(|transaction| {
                transaction
                    .compare(&key, version)
                    .put(&key, records::to_value(&record))
            });
            keys.push(key);
        }
        let news = job.completed.iter().filter(is_news);
        let news = news.filter(|index| fitting.contains(&part_of(*index)));
        self.batch.progress.push(WrittenProgress {
            job: id.clone(),
            tasks: news.collect(),
            keys,
        });
        fitting.len() == parts.len()
    }
}

#[cfg(test)]
mod tests;

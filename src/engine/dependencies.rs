//! Blocked jobs, which wait for their dependencies. They are kept apart from the jobs that may run,
//! so that they hold no resources, preempt no tasks and cause no rentals.
//!
//! A job's record names its dependencies. Whether all of them are done follows from their final
//! records, which never change. The leader then removes the names from the record, on condition
//! that it still leads and that the record's version is unchanged; only this write allows a round
//! to start the job. A blocked job counts as cancelled as soon as one of its dependencies is
//! cancelled. Every node derives this from the records of the job's direct and transitive
//! dependencies, without a second write.

use super::context::Context;
use super::records::{self, JobRecord};
use super::retry::Retry;
use crate::constants;
use crate::model::dependencies::{
    DependencyGraph, DependencyState, UpstreamState, evaluate, inherit_urgency,
};
use crate::model::{InheritedUrgency, JobId, JobSpec, Timestamp, UnixTime};
use crate::wire::store::Transaction;
use crate::wire::user::JobState;
use std::collections::{BTreeMap, BTreeSet};

/// A job that waits for its dependencies, with its record as last seen.
#[derive(Debug)]
struct BlockedJob {
    record: JobRecord,
    version: u64,
    spec: JobSpec,
    depends_on: Vec<JobId>,
    state: DependencyState,
}

/// The blocked jobs and the known states of the jobs that they depend on.
#[derive(Debug, Default)]
pub(super) struct Dependencies {
    blocked: BTreeMap<JobId, BlockedJob>,
    /// Final states of jobs that blocked jobs depend on, as written or read by this node.
    final_states: BTreeMap<JobId, JobState>,
    /// Reads of final records of jobs whose state is unknown.
    final_record_reads: BTreeMap<JobId, Retry>,
    evaluation_requested: bool,
}

/// The result of evaluating all blocked jobs.
#[derive(Debug)]
pub(super) struct Evaluation {
    /// Urgency that jobs inherit from the blocked jobs that depend on them.
    pub(super) inherited: BTreeMap<JobId, InheritedUrgency>,
    /// Blocked jobs whose dependencies are all done, or that are cancelled because a dependency is.
    pub(super) unblocked: Vec<JobId>,
}

/// The outcome for a job that is no longer blocked.
#[derive(Debug)]
pub(super) enum UnblockedJob {
    /// All its dependencies are done: it may run, and this is its new record.
    Ready(Box<JobRecord>),
    /// It is cancelled because one of its dependencies is.
    Cancelled,
}

impl Dependencies {
    /// Returns the version of a blocked job's record; `None` if the job is not blocked.
    pub(super) fn version(&self, id: &JobId) -> Option<u64> {
        self.blocked.get(id).map(|job| job.version)
    }

    /// Returns the ids of the blocked jobs.
    pub(super) fn blocked_ids(&self) -> impl Iterator<Item = &JobId> {
        self.blocked.keys()
    }

    /// Returns the state of a blocked job's dependencies; `None` if the job is not blocked.
    pub(super) fn state(&self, id: &JobId) -> Option<DependencyState> {
        self.blocked.get(id).map(|job| job.state)
    }

    /// Adds a blocked job, or replaces its record, and requests an evaluation.
    pub(super) fn insert(&mut self, id: JobId, record: JobRecord, version: u64) {
        let depends_on = record.job.depends_on.iter();
        let job = BlockedJob {
            spec: JobSpec::from(&record.job),
            depends_on: depends_on.map(|id| JobId::from(id.as_str())).collect(),
            record,
            version,
            state: DependencyState::Unknown,
        };
        self.blocked.insert(id, job);
        self.evaluation_requested = true;
    }

    /// Removes a job that is no longer blocked or whose record was deleted.
    pub(super) fn remove(&mut self, id: &JobId) {
        self.evaluation_requested |= self.blocked.remove(id).is_some();
    }

    /// Requests an evaluation, because a job that blocked jobs may depend on has changed.
    pub(super) fn request_evaluation(&mut self) {
        self.evaluation_requested |= !self.blocked.is_empty();
    }

    /// Stores the durable final state of a job and requests an evaluation, if there are any blocked
    /// jobs, which may depend on it.
    pub(super) fn record_final_state(&mut self, id: &JobId, state: JobState) {
        if !self.blocked.is_empty() {
            self.final_states.insert(id.clone(), state);
            self.evaluation_requested = true;
        }
    }

    /// Returns the state of a job that is not blocked: its final state if that is known, or else
    /// the state that `live_state` returns.
    pub(super) fn upstream_state(
        &self,
        id: &JobId,
        live_state: impl Fn(&JobId) -> UpstreamState,
    ) -> UpstreamState {
        match self.final_states.get(id) {
            Some(JobState::Done) => UpstreamState::Done,
            Some(JobState::Cancelled) => UpstreamState::Cancelled,
            _ => live_state(id),
        }
    }

    /// Evaluates all blocked jobs. Returns `None` if nothing has changed since the last evaluation.
    /// `live_state` returns the state of a job that is not blocked, without regard to final states.
    pub(super) fn evaluate(
        &mut self,
        live_state: impl Fn(&JobId) -> UpstreamState,
    ) -> Option<Evaluation> {
        if !std::mem::take(&mut self.evaluation_requested) {
            return None;
        }
        let graph: DependencyGraph<'_> = self
            .blocked
            .iter()
            .map(|(id, job)| (id, &*job.depends_on))
            .collect();
        let order = evaluate(&graph, |id| self.upstream_state(id, &live_state));
        let inherited = inherit_urgency(&graph, &order, |id| self.own_urgency(id));
        let states: Vec<(JobId, DependencyState)> = order
            .into_iter()
            .map(|(id, state)| (id.clone(), state))
            .collect();
        self.update_final_record_reads(&live_state);
        let unblocked = self.update_states(states);
        Some(Evaluation {
            inherited,
            unblocked,
        })
    }

    fn own_urgency(&self, id: &JobId) -> Option<InheritedUrgency> {
        let job = self.blocked.get(id)?;
        Some(InheritedUrgency {
            priority: job.spec.priority,
            deadline: job.spec.deadline_at(job.record.submitted_at),
        })
    }

    /// Drops the final states and reads that no blocked job needs any more, and adds reads for the
    /// dependencies whose state is unknown.
    fn update_final_record_reads(&mut self, live_state: impl Fn(&JobId) -> UpstreamState) {
        let needed: BTreeSet<&JobId> = self
            .blocked
            .values()
            .flat_map(|job| &job.depends_on)
            .collect();
        let is_unknown = |id: &&&JobId| {
            !self.blocked.contains_key(**id)
                && self.upstream_state(id, &live_state) == UpstreamState::Unknown
        };
        let unknown: BTreeSet<JobId> = needed
            .iter()
            .filter(is_unknown)
            .map(|id| (*id).clone())
            .collect();
        self.final_states.retain(|id, _| needed.contains(id));
        self.final_record_reads.retain(|id, _| unknown.contains(id));
        for id in unknown {
            self.final_record_reads.entry(id).or_default();
        }
    }

    /// Stores the evaluated states, and returns the jobs whose dependencies are satisfied or
    /// cancelled.
    fn update_states(&mut self, states: Vec<(JobId, DependencyState)>) -> Vec<JobId> {
        let mut unblocked = Vec::new();
        for (id, state) in states {
            if let Some(job) = self.blocked.get_mut(&id) {
                job.state = state;
            }
            if matches!(
                state,
                DependencyState::Satisfied | DependencyState::Cancelled
            ) {
                unblocked.push(id);
            }
        }
        unblocked
    }

    /// Begins the reads of final records that are due, up to the limit of concurrent reads, and
    /// returns the ids of the jobs to read.
    pub(super) fn begin_final_record_reads(&mut self, now: Timestamp) -> Vec<JobId> {
        let reads = self.final_record_reads.values();
        let in_flight = reads.filter(|read| read.is_in_flight()).count();
        let available_reads = constants::MAX_FINAL_RECORD_READS.saturating_sub(in_flight);
        let due_reads = self
            .final_record_reads
            .iter_mut()
            .filter(|(_, read)| read.is_due(now));
        due_reads
            .take(available_reads)
            .map(|(id, read)| {
                read.begin();
                id.clone()
            })
            .collect()
    }

    /// Handles the result of reading a job's final record. `state` is `None` if the job has no
    /// final record or the read failed; the read is then retried.
    pub(super) fn on_final_record_read(
        &mut self,
        id: &JobId,
        state: Option<JobState>,
        context: &mut Context,
    ) {
        match (state, self.final_record_reads.get_mut(id)) {
            (Some(state), _) => {
                self.final_record_reads.remove(id);
                self.record_final_state(id, state);
            }
            // Either the watch has not delivered the job's live record yet, or the state service is
            // unreachable.
            (None, Some(read)) => read.record_failure(context),
            (None, None) => {}
        }
    }

    /// Adds to a transaction the write that unblocks a job: its record without dependencies if they
    /// are satisfied, or its end if a dependency is cancelled. Adds nothing if the job is still
    /// waiting or is not blocked.
    pub(super) fn add_unblocked_job(
        &self,
        id: &JobId,
        now: UnixTime,
        transaction: Transaction,
    ) -> Transaction {
        let Some(job) = self.blocked.get(id) else {
            return transaction;
        };
        match job.state {
            DependencyState::Satisfied => {
                let key = records::job_key(&id.0);
                let record = job.record.clone().ready(now);
                transaction
                    .compare(&key, job.version)
                    .put(key, records::job_value(&record))
            }
            DependencyState::Cancelled => {
                let tasks = job.record.job.tasks;
                let state = JobState::Cancelled;
                records::add_job_end(transaction, &id.0, job.version, state, tasks)
            }
            DependencyState::Waiting | DependencyState::Unknown => transaction,
        }
    }

    /// Removes a job from the blocked jobs after the write that
    /// [`Dependencies::add_unblocked_job`] added has become durable. Returns `None` if the job is
    /// not blocked.
    pub(super) fn on_unblocked_job_written(
        &mut self,
        id: &JobId,
        now: UnixTime,
    ) -> Option<UnblockedJob> {
        let job = self.blocked.remove(id)?;
        self.evaluation_requested = true;
        match job.state {
            DependencyState::Cancelled => {
                self.record_final_state(id, JobState::Cancelled);
                Some(UnblockedJob::Cancelled)
            }
            // This is a few ms later than the time in the stored record. The difference is too
            // small to matter for the order of jobs.
            _ => Some(UnblockedJob::Ready(Box::new(job.record.ready(now)))),
        }
    }
}

#[cfg(test)]
mod tests;

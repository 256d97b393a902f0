//! Jobs that wait for their dependencies. They are kept apart from those that may run, so that
//! they hold nothing, preempt nobody and have nothing rented for them.
//!
//! What a job depends on is in its own record. That all of it is done follows from final records,
//! which never change; the leader then takes the names out of the record, on condition of its
//! leadership and of the record's version, and only that makes the job one that a round may start.
//! That a dependency is cancelled follows from the records of those that it depends on itself, at
//! any node, with no second write.

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

/// A job that waits for its dependencies.
#[derive(Debug)]
struct BlockedJob {
    record: JobRecord,
    version: u64,
    spec: JobSpec,
    depends_on: Vec<JobId>,
    state: DependencyState,
}

/// The blocked jobs, and what is known of the jobs that they depend on.
#[derive(Debug, Default)]
pub(super) struct Dependencies {
    blocked: BTreeMap<JobId, BlockedJob>,
    /// Final states of jobs that blocked ones depend on, as written or read here.
    final_states: BTreeMap<JobId, JobState>,
    /// Reads of the final states that are not known.
    final_record_reads: BTreeMap<JobId, Retry>,
    evaluation_requested: bool,
}

/// What follows from an evaluation of all blocked jobs.
#[derive(Debug)]
pub(super) struct Evaluation {
    /// Urgency that jobs inherit from blocked ones.
    pub(super) inherited: BTreeMap<JobId, InheritedUrgency>,
    /// Blocked jobs that may start, or are cancelled with a dependency.
    pub(super) unblocked: Vec<JobId>,
}

/// A blocked job whose record was rewritten or replaced by a final one.
#[derive(Debug)]
pub(super) enum UnblockedJob {
    /// Its dependencies are done: it may run, by this record.
    Ready(Box<JobRecord>),
    /// It is cancelled with a dependency.
    Cancelled,
}

impl Dependencies {
    /// Version of a blocked job's record.
    pub(super) fn version(&self, id: &JobId) -> Option<u64> {
        self.blocked.get(id).map(|job| job.version)
    }

    /// The blocked jobs.
    pub(super) fn blocked_ids(&self) -> impl Iterator<Item = &JobId> {
        self.blocked.keys()
    }

    /// The state of a blocked job's dependencies; `None` if the job is not blocked.
    pub(super) fn state(&self, id: &JobId) -> Option<DependencyState> {
        self.blocked.get(id).map(|job| job.state)
    }

    /// Adds a blocked job, or replaces its record.
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

    /// The job is not blocked any more, or its record is gone.
    pub(super) fn remove(&mut self, id: &JobId) {
        self.evaluation_requested |= self.blocked.remove(id).is_some();
    }

    /// Something that blocked jobs may depend on has changed.
    pub(super) fn request_evaluation(&mut self) {
        self.evaluation_requested |= !self.blocked.is_empty();
    }

    /// The final state of a job is durable.
    pub(super) fn record_final_state(&mut self, id: &JobId, state: JobState) {
        if !self.blocked.is_empty() {
            self.final_states.insert(id.clone(), state);
            self.evaluation_requested = true;
        }
    }

    /// What is known of a job that is not blocked: its final state, or what `known` tells.
    pub(super) fn upstream_state(
        &self,
        id: &JobId,
        known: impl Fn(&JobId) -> UpstreamState,
    ) -> UpstreamState {
        match self.final_states.get(id) {
            Some(JobState::Done) => UpstreamState::Done,
            Some(JobState::Cancelled) => UpstreamState::Cancelled,
            _ => known(id),
        }
    }

    /// Evaluates all blocked jobs, if something has changed since the last time. `known` tells what
    /// is known of a job that is not blocked, apart from final states.
    pub(super) fn evaluate(
        &mut self,
        known: impl Fn(&JobId) -> UpstreamState,
    ) -> Option<Evaluation> {
        if !std::mem::take(&mut self.evaluation_requested) {
            return None;
        }
        let graph: DependencyGraph<'_> = self
            .blocked
            .iter()
            .map(|(id, job)| (id, &*job.depends_on))
            .collect();
        let order = evaluate(&graph, |id| self.upstream_state(id, &known));
        let inherited = inherit_urgency(&graph, &order, |id| self.own_urgency(id));
        let states: Vec<(JobId, DependencyState)> = order
            .into_iter()
            .map(|(id, state)| (id.clone(), state))
            .collect();
        self.update_final_record_reads(&known);
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

    /// Keeps the final states and the reads that blocked jobs still need, and adds reads of what is
    /// not known.
    fn update_final_record_reads(&mut self, known: impl Fn(&JobId) -> UpstreamState) {
        let needed: BTreeSet<&JobId> = self
            .blocked
            .values()
            .flat_map(|job| &job.depends_on)
            .collect();
        let is_unknown = |id: &&&JobId| {
            !self.blocked.contains_key(**id)
                && self.upstream_state(id, &known) == UpstreamState::Unknown
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

    /// Sets the states; the jobs that are not blocked any more by them.
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

    /// Begins the reads of final records that are due, within their bound; the jobs to read.
    pub(super) fn begin_final_record_reads(&mut self, now: Timestamp) -> Vec<JobId> {
        let reads = self.final_record_reads.values();
        let in_flight = reads.filter(|read| read.is_in_flight()).count();
        let free = constants::MAX_FINAL_RECORD_READS.saturating_sub(in_flight);
        let due = self
            .final_record_reads
            .iter_mut()
            .filter(|(_, read)| read.is_due(now));
        due.take(free)
            .map(|(id, read)| {
                read.begin();
                id.clone()
            })
            .collect()
    }

    /// The final record of a job was read; `None` if it has none or the read failed.
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
            // Its live record is on its way here, or the state service can't be asked.
            (None, Some(read)) => read.failed(context),
            (None, None) => {}
        }
    }

    /// Adds to a transaction what the state of a blocked job asks for: the record of a job that may
    /// start, or the end of one that is cancelled with a dependency.
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

    /// What [`Dependencies::add_unblocked_job`] added is durable: the job is not blocked any more.
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
            // Some ms after the time that was written: near enough for the order of jobs.
            _ => Some(UnblockedJob::Ready(Box::new(job.record.ready(now)))),
        }
    }
}

#[cfg(test)]
mod tests;

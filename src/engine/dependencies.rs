//! Jobs that wait for others to be done. They are kept apart from those that can run, so that they
//! hold nothing, preempt nobody and have nothing rented for them.
//!
//! What a job awaits is in its own record. That all of it is done follows from final records, which
//! never change; the leader then takes the names out of the record, on condition of its leadership and
//! of the record's version, and only that makes the job one that a round may start. That one is
//! cancelled follows from the records of those that it needs, at any node, with no second write.

use super::records::{self, JobRecord};
use super::{Engine, PendingCall, Reply, ReplyId, Retry};
use crate::constants;
use crate::model::dependencies::{self, DependencyGraph, DependencyState, UpstreamState};
use crate::model::{InheritedUrgency, Job, JobId, JobPhase, JobSpec, Ms};
use crate::store::{StoreCall, StoreError, StoreReply};
use crate::wire::store::Transaction;
use crate::wire::user::JobState;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Debug)]
struct BlockedJob {
    record: JobRecord,
    version: u64,
    spec: JobSpec,
    depends_on: Vec<JobId>,
    state: DependencyState,
}

/// A question that waits for news from the state service newer than itself.
#[derive(Debug)]
struct PendingQuery {
    job: JobId,
    reply: ReplyId,
    at: Ms,
    /// Refreshes begun before it.
    refreshes: u64,
}

#[derive(Debug, Default)]
pub(super) struct Dependencies {
    blocked: BTreeMap<JobId, BlockedJob>,
    /// Final states of jobs that steps name, as written or read here.
    final_states: BTreeMap<JobId, JobState>,
    /// Reads of the others.
    final_record_reads: BTreeMap<JobId, Retry>,
    changed: bool,
    queries: Vec<PendingQuery>,
    refreshes: u64,
    refreshing: bool,
    refresh_at: Ms,
}

impl Dependencies {
    pub fn version(&self, id: &JobId) -> Option<u64> {
        self.blocked.get(id).map(|blocked_job| blocked_job.version)
    }

    pub fn ids(&self) -> impl Iterator<Item = &JobId> {
        self.blocked.keys()
    }

    pub fn put(&mut self, id: JobId, record: JobRecord, version: u64) {
        let blocked_job = BlockedJob {
            spec: JobSpec::from(&record.job),
            depends_on: record
                .job
                .depends_on
                .iter()
                .map(|a| (&**a).into())
                .collect(),
            record,
            version,
            state: DependencyState::Unknown,
        };
        self.blocked.insert(id, blocked_job);
        self.changed = true;
    }

    /// The record of the job is another one now, or gone.
    pub fn remove(&mut self, id: &JobId) {
        self.changed |= self.blocked.remove(id).is_some();
    }

    /// Something that steps may depend on has changed.
    pub fn mark_changed(&mut self) {
        self.changed |= !self.blocked.is_empty();
    }

    /// The job's end is durable.
    pub fn record_final_state(&mut self, id: &JobId, state: JobState) {
        if !self.blocked.is_empty() {
            self.final_states.insert(id.clone(), state);
            self.changed = true;
        }
    }
}

/// Adds to a transaction what a step's standing asks for: the record of a job that may start, or
/// the end of one that is cancelled with another.
pub(super) fn add_blocked_job_update(
    dependencies: &Dependencies,
    id: &JobId,
    unix_ms: u64,
    txn: Transaction,
) -> Transaction {
    let Some(blocked_job) = dependencies.blocked.get(id) else {
        return txn;
    };
    match blocked_job.state {
        DependencyState::Satisfied => {
            let placements = records::job_key(&id.0);
            let record = blocked_job.record.clone().ready(unix_ms);
            txn.compare(&placements, blocked_job.version)
                .put(placements, records::job_value(&record))
        }
        DependencyState::Cancelled => {
            let tasks = blocked_job.record.job.tasks;
            records::end(txn, &id.0, blocked_job.version, JobState::Cancelled, tasks)
        }
        DependencyState::Waiting | DependencyState::Unknown => txn,
    }
}

impl Engine {
    /// Works out how all steps stand, if something has changed.
    pub(super) fn evaluate_dependencies(&mut self) {
        if !std::mem::take(&mut self.dependencies.changed) {
            return;
        }
        let blocked = &self.dependencies.blocked;
        let waiting: DependencyGraph<'_> = blocked
            .iter()
            .map(|(id, blocked_job)| (id, &*blocked_job.depends_on))
            .collect();
        let order = dependencies::evaluate(&waiting, |id| self.upstream_state(id));
        let own_urgency = |id: &JobId| {
            let blocked_job = blocked.get(id)?;
            Some(InheritedUrgency {
                priority: blocked_job.spec.priority,
                deadline: blocked_job.spec.deadline(blocked_job.record.at_ms),
            })
        };
        let inherited = dependencies::inherit_urgency(&waiting, &order, own_urgency);
        let named = || blocked.values().flat_map(|s| &s.depends_on);
        let unknown = named().filter(|id| {
            !blocked.contains_key(*id) && self.upstream_state(id) == UpstreamState::Unknown
        });
        let unknown: BTreeSet<JobId> = unknown.cloned().collect();
        let mut final_states = BTreeMap::new();
        for id in named() {
            if let Some(state) = self.dependencies.final_states.get(id) {
                final_states.insert(id.clone(), *state);
            }
        }
        let order: Vec<(JobId, DependencyState)> =
            order.into_iter().map(|(id, s)| (id.clone(), s)).collect();
        for (id, job) in &mut self.jobs {
            job.inherited = inherited.get(id).copied();
        }
        let dependencies = &mut self.dependencies;
        dependencies.final_states = final_states;
        dependencies
            .final_record_reads
            .retain(|id, _| unknown.contains(id));
        for id in unknown {
            dependencies.final_record_reads.entry(id).or_default();
        }
        let loaded = self.leader().is_some_and(|l| l.recovery.is_none());
        for (id, state) in order {
            if let Some(blocked_job) = self.dependencies.blocked.get_mut(&id) {
                blocked_job.state = state;
            }
            if loaded
                && matches!(
                    state,
                    DependencyState::Satisfied | DependencyState::Cancelled
                )
                && let Some(leader) = self.leader_mut()
            {
                leader.completions.mark_unblocked(&id);
            }
        }
        if let Some(leader) = self.leader_mut() {
            leader.needs_scheduling = true;
        }
    }

    /// What is known of a job that is no step.
    fn upstream_state(&self, id: &JobId) -> UpstreamState {
        match (self.dependencies.final_states.get(id), self.jobs.get(id)) {
            (Some(JobState::Done), _) => UpstreamState::Done,
            (Some(JobState::Cancelled), _) => UpstreamState::Cancelled,
            (_, Some(job)) if job.phase == JobPhase::Cancelled => UpstreamState::Cancelled,
            (_, Some(_)) => UpstreamState::Open,
            _ if self.unreadable.contains(&records::job_key(&id.0)) => UpstreamState::Open,
            _ => UpstreamState::Unknown,
        }
    }

    /// What [`write_step`] asked for is durable.
    pub(super) fn on_blocked_job_written(&mut self, id: &JobId, revision: u64) {
        let Some(blocked_job) = self.dependencies.blocked.remove(id) else {
            return;
        };
        self.dependencies.changed = true;
        match blocked_job.state {
            DependencyState::Cancelled => self
                .dependencies
                .record_final_state(id, JobState::Cancelled),
            // Some ms after the time that was written: near enough for the order of jobs.
            _ => self.admit(id, &blocked_job.record.ready(self.unix_ms), revision),
        }
    }

    /// A job that can run, seen for the first time.
    pub(super) fn admit(&mut self, id: &JobId, record: &JobRecord, version: u64) {
        let spec = JobSpec::from(&record.job);
        tracing::debug!(job = %id, class = %spec.class, tasks = spec.tasks, "job seen");
        let ready = record.ready_ms.unwrap_or(record.at_ms);
        self.arrival_history.record(ready, id, &spec);
        let mut job = Job::new(spec, version, record.at_ms, JobPhase::Open, self.now);
        job.ready_at = ready;
        self.jobs.insert(id.clone(), job);
        self.dependencies.mark_changed();
    }

    /// Reads what is not known, and has what is known made fresh for those who ask.
    pub(super) fn advance_dependencies(&mut self) {
        let now = self.now;
        self.evaluate_dependencies();
        let final_record_reads = &mut self.dependencies.final_record_reads;
        let busy = final_record_reads.values().filter(|read| read.busy).count();
        let due = final_record_reads
            .iter_mut()
            .filter(|(_, read)| read.due(now));
        let free = constants::MAX_FINAL_RECORD_READS.saturating_sub(busy);
        let due: Vec<JobId> = due
            .take(free)
            .map(|(id, read)| {
                read.busy = true;
                id.clone()
            })
            .collect();
        for job in due {
            let key = records::final_key(&job.0);
            self.call_store(PendingCall::ReadFinalRecord { job }, StoreCall::Get { key });
        }
        let dependencies = &mut self.dependencies;
        let fresh = |queries: &PendingQuery| queries.refreshes < dependencies.refreshes;
        let waits = dependencies.queries.iter().any(|queries| !fresh(queries));
        if waits && !dependencies.refreshing && now >= dependencies.refresh_at {
            let Some(after) = self.revision else {
                return self.answer_queries(|_| true);
            };
            dependencies.refreshing = true;
            dependencies.refresh_at = now + constants::REFRESH_INTERVAL_MS;
            let call = StoreCall::Watch {
                prefix: records::LIVE.into(),
                after,
                wait_ms: 0,
            };
            self.call_store(
                PendingCall::RefreshLiveRecords {
                    sent_at: now,
                    after,
                },
                call,
            );
        }
        self.answer_queries(|queries| now > queries.at + constants::MAX_QUERY_AGE_MS);
    }

    pub(super) fn on_final_record_read(
        &mut self,
        job: &JobId,
        result: Result<StoreReply, StoreError>,
    ) {
        let now = self.now;
        let record = match result {
            Ok(StoreReply::Item(Some(item))) => records::read_final(item.value),
            _ => None,
        };
        match (record, self.dependencies.final_record_reads.get_mut(job)) {
            (Some(record), _) => {
                self.dependencies.final_record_reads.remove(job);
                self.dependencies.record_final_state(job, record.state);
            }
            // Its live record is on its way here, or the state service can't be asked.
            (None, Some(read)) => read.failed(now, &mut self.rng),
            (None, None) => {}
        }
    }

    pub(super) fn on_blocked_job_query(&mut self, job: JobId, reply: ReplyId) {
        if self.dependencies.queries.len() >= constants::MAX_USER_CALLS {
            return self.reply(reply, Reply::Unavailable);
        }
        self.dependencies.queries.push(PendingQuery {
            job,
            reply,
            at: self.now,
            refreshes: self.dependencies.refreshes + u64::from(self.dependencies.refreshing),
        });
    }

    pub(super) fn on_refreshed(
        &mut self,
        sent_at: Ms,
        after: u64,
        result: Result<StoreReply, StoreError>,
    ) {
        self.dependencies.refreshing = false;
        // If the records are being listed anew, or were, the changes may not join what is known.
        let joins = self.revision.is_some_and(|known| known >= after);
        match result {
            Ok(StoreReply::Changes(changes)) if joins => {
                self.apply_changes(sent_at, changes);
                self.dependencies.refreshes += 1;
                self.evaluate_dependencies();
                self.answer_queries(|_| false);
            }
            _ => self.answer_queries(|_| true),
        }
    }

    /// Answers those whose jobs' standing is known by news newer than the question, and tells the
    /// others that it is not if `give_up` says so.
    fn answer_queries(&mut self, give_up: impl Fn(&PendingQuery) -> bool) {
        let mut rest = Vec::new();
        for queries in std::mem::take(&mut self.dependencies.queries) {
            let fresh = queries.refreshes < self.dependencies.refreshes;
            let blocked_job = self.dependencies.blocked.get(&queries.job);
            let known = match blocked_job.map(|blocked_job| blocked_job.state) {
                _ if !fresh => None,
                Some(DependencyState::Unknown) => None,
                Some(DependencyState::Cancelled) => {
                    Some(Reply::BlockedJobState(Some(JobState::Cancelled)))
                }
                Some(_) => Some(Reply::BlockedJobState(Some(JobState::Queued))),
                None => Some(Reply::BlockedJobState(None)),
            };
            match known {
                Some(answer) => self.reply(queries.reply, answer),
                None if give_up(&queries) => self.reply(queries.reply, Reply::Unavailable),
                None => rest.push(queries),
            }
        }
        self.dependencies.queries = rest;
    }

    /// Those of the jobs that are not known here to have been accepted.
    pub(super) fn on_find_unknown_jobs(&mut self, jobs: Vec<JobId>, reply: ReplyId) {
        let accepted = |id: &JobId| {
            self.dependencies.blocked.contains_key(id)
                || self.upstream_state(id) != UpstreamState::Unknown
        };
        let unknown = jobs.into_iter().filter(|id| !accepted(id)).collect();
        self.reply(reply, Reply::UnknownJobs(unknown));
    }
}

//! Evaluates the dependencies between jobs, and answers queries about blocked and unknown jobs.

use super::Engine;
use super::blocked_job_queries::GiveUp;
use super::dependencies::UnblockedJob;
use super::jobs::Jobs;
use super::live_view::{LiveView, watch_call};
use super::messages::{PendingCall, Reply, ReplyId};
use super::records;
use crate::model::dependencies::{DependencyState, UpstreamState};
use crate::model::{JobId, JobPhase, Timestamp};
use crate::store::{StoreCall, StoreError, StoreReply};
use crate::wire::user::JobState;
use std::time::Duration;

/// Returns the state of a job that is not blocked, as far as the live records show it.
fn live_state(jobs: &Jobs, live: &LiveView, id: &JobId) -> UpstreamState {
    match jobs.get(id) {
        Some(job) if job.phase == JobPhase::Cancelled => UpstreamState::Cancelled,
        Some(_) => UpstreamState::Open,
        None if live.is_unreadable(&records::job_key(&id.0)) => UpstreamState::Open,
        None => UpstreamState::Unknown,
    }
}

impl Engine {
    /// Evaluates the dependencies, requests the final records of dependencies whose state is
    /// unknown, begins a refresh of the live records if queries about blocked jobs wait for one,
    /// and sends the replies that are due.
    pub(super) fn advance_dependencies(&mut self) {
        let now = self.context.now();
        self.evaluate_dependencies();
        for job in self.dependencies.begin_final_record_reads(now) {
            let key = records::final_key(&job.0);
            let pending = PendingCall::ReadFinalRecord { job };
            self.outbox.call_store(pending, StoreCall::Get { key });
        }
        if self.queries.needs_refresh(now) {
            let Some(after) = self.live.revision() else {
                return self.answer_queries(GiveUp::Always);
            };
            self.queries.begin_refresh(now);
            let pending = PendingCall::RefreshLiveRecords {
                sent_at: now,
                after,
            };
            self.outbox
                .call_store(pending, watch_call(after, Duration::ZERO));
        }
        self.answer_queries(GiveUp::Expired);
    }

    /// Evaluates all blocked jobs if anything has changed, and applies the result.
    fn evaluate_dependencies(&mut self) {
        let live_state = |id: &JobId| live_state(&self.jobs, &self.live, id);
        let Some(evaluation) = self.dependencies.evaluate(live_state) else {
            return;
        };
        for (id, job) in self.jobs.iter_mut() {
            job.inherited = evaluation.inherited.get(id).copied();
        }
        let Some(leader) = self.leadership.leader_mut() else {
            return;
        };
        if leader.has_recovered() {
            leader.completions.add_unblocked(evaluation.unblocked);
        }
        leader.scheduling.request();
    }

    /// Handles the durable write that unblocked a job: admits the job if its dependencies are done.
    pub(super) fn on_unblocked_job_written(&mut self, id: &JobId, revision: u64) {
        let now = self.context.unix_time();
        match self.dependencies.on_unblocked_job_written(id, now) {
            Some(UnblockedJob::Ready(record)) => self.admit(id, &record, revision),
            Some(UnblockedJob::Cancelled) | None => {}
        }
    }

    /// Handles the result of reading the final record of a job that blocked jobs depend on.
    pub(super) fn on_final_record_read(
        &mut self,
        job: &JobId,
        result: Result<StoreReply, StoreError>,
    ) {
        let record = match result {
            Ok(StoreReply::Item(Some(item))) => records::decode_final(item.value),
            _ => None,
        };
        let state = record.map(|record| record.state);
        self.dependencies
            .on_final_record_read(job, state, &mut self.context);
    }

    /// Queues a user's query for the state of a blocked job. Replies with [`Reply::Unavailable`] if
    /// too many queries are pending.
    pub(super) fn on_blocked_job_query(&mut self, job: JobId, reply: ReplyId) {
        if !self.queries.add(job, reply, self.context.now()) {
            self.outbox.reply(reply, Reply::Unavailable);
        }
    }

    /// Handles the result of a refresh of the live records that was begun for pending queries.
    pub(super) fn on_live_records_refreshed(
        &mut self,
        sent_at: Timestamp,
        after: u64,
        result: Result<StoreReply, StoreError>,
    ) {
        self.queries.end_refresh();
        // If the records were listed again since, or are being listed, changes may be missing
        // between the revision known here and these changes.
        let is_contiguous = self.live.has_applied_revision(after);
        match result {
            Ok(StoreReply::Changes(changes)) if is_contiguous => {
                self.apply_changes(sent_at, changes);
                self.queries.complete_refresh();
                self.evaluate_dependencies();
                self.answer_queries(GiveUp::Never);
            }
            _ => self.answer_queries(GiveUp::Always),
        }
    }

    fn answer_queries(&mut self, give_up: GiveUp) {
        let dependencies = &self.dependencies;
        let answer = |id: &JobId| match dependencies.state(id) {
            Some(DependencyState::Unknown) => None,
            Some(DependencyState::Cancelled) => {
                Some(Reply::BlockedJobState(Some(JobState::Cancelled)))
            }
            Some(_) => Some(Reply::BlockedJobState(Some(JobState::Queued))),
            None => Some(Reply::BlockedJobState(None)),
        };
        let now = self.context.now();
        for (to, reply) in self.queries.take_replies(answer, give_up, now) {
            self.outbox.reply(to, reply);
        }
    }

    /// Replies with those of the given jobs that this node does not know to have been accepted.
    pub(super) fn on_find_unknown_jobs(&mut self, jobs: Vec<JobId>, reply: ReplyId) {
        let live_state = |id: &JobId| live_state(&self.jobs, &self.live, id);
        let is_unknown = |id: &JobId| {
            self.dependencies.state(id).is_none()
                && self.dependencies.upstream_state(id, live_state) == UpstreamState::Unknown
        };
        let unknown = jobs.into_iter().filter(is_unknown).collect();
        self.outbox.reply(reply, Reply::UnknownJobs(unknown));
    }
}

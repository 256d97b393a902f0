//! Applies the records under `live/` to the engine's components as they are listed and watched.

use super::Engine;
use super::leadership::ObservedLeader;
use super::live_view::page_call;
use super::records::{self, JOB_PREFIX, JobRecord, LEADER_KEY, LeaderRecord};
use crate::model::{Job, JobId, JobPhase, JobSpec, Timestamp};
use crate::store::{StoreError, StoreReply};
use crate::wire::store::{Changes, WatchEvent};
use crate::wire::user::JobState;
use rmpv::Value;

impl Engine {
    /// Lists or watches the records if a call is due.
    pub(super) fn follow_live_records(&mut self) {
        if let Some((pending, call)) = self.live.next_call(self.context.now()) {
            self.outbox.call_store(pending, call);
        }
    }

    /// Applies a listed page of the records, then requests the next page or ends the listing.
    /// `first_revision` is the revision of the first page, or `None` if this is the first page.
    pub(super) fn on_live_records_listed(
        &mut self,
        first_revision: Option<u64>,
        result: Result<StoreReply, StoreError>,
    ) {
        let Ok(StoreReply::Listing(page)) = result else {
            return self.live.on_call_failed(&mut self.context);
        };
        let first_revision = first_revision.unwrap_or(page.revision);
        let last_key = page.items.last().map(|item| item.key.clone());
        let mut names_leader = false;
        for item in page.items {
            names_leader |= item.key == LEADER_KEY;
            self.live.record_listed_key(&item.key);
            self.on_live_record_put(&item.key, item.value, item.version);
        }
        // The jobs' keys sort before the leader's key, which therefore is on the last page.
        if page.has_more && last_key.is_some() {
            let (pending, call) = page_call(Some(first_revision), last_key);
            return self.outbox.call_store(pending, call);
        }
        if !names_leader {
            self.on_leader_key_deleted(first_revision);
        }
        self.remove_unlisted_jobs(first_revision);
        self.live.finish_listing(first_revision, self.context.now());
    }

    fn remove_unlisted_jobs(&mut self, revision: u64) {
        let known_ids = self.jobs.keys().chain(self.dependencies.blocked_ids());
        let unlisted: Vec<JobId> = known_ids
            .filter(|id| !self.live.has_listed(id))
            .cloned()
            .collect();
        for id in unlisted {
            self.on_job_record_removed(&id, revision);
        }
    }

    /// Handles the outcome of a watch. Restarts the listing if the state service no longer has all
    /// changes since the watched revision.
    pub(super) fn on_live_records_watched(
        &mut self,
        sent_at: Timestamp,
        result: Result<StoreReply, StoreError>,
    ) {
        match result {
            Ok(StoreReply::Changes(changes)) => {
                self.apply_changes(sent_at, changes);
                self.live.on_watch_answered(self.context.now());
            }
            Err(StoreError::Compacted) => {
                tracing::info!("watch missed changes, listing all records");
                self.live.restart_listing(self.context.now());
            }
            other => {
                if let Err(error) = other {
                    tracing::debug!(%error, "watch failed");
                }
                self.live.on_call_failed(&mut self.context);
            }
        }
    }

    /// Applies all changes up to a revision. A response that arrives after a later one is ignored:
    /// its changes are already applied, and its values may be outdated.
    pub(super) fn apply_changes(&mut self, sent_at: Timestamp, changes: Changes) {
        self.live.record_contact(sent_at);
        if self.live.has_applied_revision(changes.revision) {
            return;
        }
        for event in changes.events {
            match event {
                WatchEvent::Put {
                    key,
                    value,
                    version,
                } => self.on_live_record_put(&key, value, version),
                WatchEvent::Delete { key, version } => self.on_live_record_deleted(&key, version),
            }
        }
        self.live.advance_to(changes.revision);
    }

    fn on_live_record_put(&mut self, key: &str, value: Value, version: u64) {
        if key == LEADER_KEY {
            self.on_leader_record(value, version);
        } else if let Some(id) = key.strip_prefix(JOB_PREFIX) {
            self.on_job_record(key, &JobId::from(id), value, version);
        }
    }

    fn on_live_record_deleted(&mut self, key: &str, version: u64) {
        if key == LEADER_KEY {
            self.on_leader_key_deleted(version);
        } else if let Some(id) = key.strip_prefix(JOB_PREFIX) {
            self.live.clear_unreadable(key);
            self.on_job_record_removed(&id.into(), version);
        }
    }

    fn on_leader_record(&mut self, value: Value, version: u64) {
        match records::from_value::<LeaderRecord>(value) {
            Some(record) => self.on_leader_observed(ObservedLeader {
                node: record.node,
                term: record.term,
                version,
            }),
            None => tracing::error!(
                key = LEADER_KEY,
                consequence = "the leader is unknown",
                "unreadable record"
            ),
        }
    }

    fn on_job_record(&mut self, key: &str, id: &JobId, value: Value, version: u64) {
        let applied = self.jobs.get(id).map(|job| job.version);
        let applied = applied.max(self.dependencies.version(id));
        if applied.is_some_and(|applied| applied >= version) {
            return;
        }
        let Some(record) = records::decode_job(value) else {
            if self.live.mark_unreadable(key) {
                let consequence = "the job is left alone";
                tracing::error!(key, consequence, "unreadable record");
            }
            return;
        };
        self.live.clear_unreadable(key);
        if record.is_blocked() {
            return self.dependencies.insert(id.clone(), record, version);
        }
        self.dependencies.remove(id);
        match self.jobs.get_mut(id) {
            Some(job) => job.version = version,
            None => self.admit(id, &record, version),
        }
        if record.cancelled {
            self.on_job_cancelled(id);
        }
        if let Some(leader) = self.leadership.leader_mut() {
            leader.scheduling.request();
        }
    }

    /// Adds a job that may run and was not known before.
    pub(super) fn admit(&mut self, id: &JobId, record: &JobRecord, version: u64) {
        let spec = JobSpec::from(&record.job);
        tracing::debug!(job = %id, class = %spec.class, tasks = spec.tasks, "job admitted");
        let ready_at = record.ready_at.unwrap_or(record.submitted_at);
        self.arrival_history.record(ready_at, id, &spec);
        let now = self.context.now();
        let mut job = Job::new(spec, version, record.submitted_at, JobPhase::Open, now);
        job.ready_at = ready_at;
        self.jobs.insert(id.clone(), job);
        self.dependencies.request_evaluation();
    }

    /// Applies a durable cancellation: no task of the job starts any more, and its running tasks
    /// are stopped immediately.
    pub(super) fn on_job_cancelled(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if matches!(
            job.phase,
            JobPhase::Cancelled | JobPhase::Done { recorded: true }
        ) {
            return;
        }
        job.phase = JobPhase::Cancelled;
        job.stop_all_tasks(0, self.context.now());
        self.withdraw_failures_of_faulty_job(id);
        self.dependencies.request_evaluation();
        self.send_stop_commands(id);
        self.finish_job_if_over(id);
    }

    /// Handles the removal of a job's record, which means that a leader has recorded the end of
    /// the job. `version` is the version or revision up to which the record no longer exists.
    fn on_job_record_removed(&mut self, id: &JobId, version: u64) {
        let blocked_version = self.dependencies.version(id);
        if blocked_version.is_some_and(|blocked_version| blocked_version <= version) {
            self.dependencies.remove(id);
        }
        self.dependencies.request_evaluation();
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.version > version {
            return;
        }
        if job.is_open() {
            // Only a leader removes a record, and this node still considers the job open, so
            // another leader has ended it. Tasks that are still placed are stopped, so that none
            // keeps running untracked.
            job.phase = JobPhase::Done { recorded: true };
            job.stop_all_tasks(0, self.context.now());
        } else if matches!(job.phase, JobPhase::Done { .. }) {
            job.phase = JobPhase::Done { recorded: true };
        }
        let cancelled = job.phase == JobPhase::Cancelled;
        if job.placements.is_empty() {
            self.jobs.remove(id);
        }
        if cancelled {
            self.dependencies
                .record_final_state(id, JobState::Cancelled);
        }
    }
}

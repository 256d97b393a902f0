//! Following the records under `live/`: who leads, and which jobs there are.

use super::records::{self, JOBS, LEAD, LIVE, LeadRecord};
use super::{Engine, ObservedLeader, PendingCall};
use crate::constants;
use crate::model::{JobId, JobPhase, Ms};
use crate::store::{StoreCall, StoreError, StoreReply};
use crate::wire::store::{Changes, WatchEvent};
use crate::wire::user::JobState;
use rmpv::Value;

impl Engine {
    pub(super) fn watch_when_due(&mut self) {
        if !self.watch.due(self.now) {
            return;
        }
        self.watch.busy = true;
        match self.revision {
            Some(after) => {
                // Without fresh news what counts is the first_revision answer, changes or none.
                let wait_ms = match self.store_reachable() {
                    true => constants::WATCH_TIMEOUT_MS,
                    false => 0,
                };
                let call = StoreCall::Watch {
                    prefix: LIVE.into(),
                    after,
                    wait_ms,
                };
                self.call_store(PendingCall::WatchLiveRecords { sent_at: self.now }, call);
            }
            None => {
                self.listed.clear();
                self.list_live(None, None);
            }
        }
    }

    fn list_live(&mut self, first_revision: Option<u64>, after: Option<String>) {
        let call = StoreCall::List {
            prefix: LIVE.into(),
            after,
        };
        self.call_store(PendingCall::ListLiveRecords { first_revision }, call);
    }

    pub(super) fn on_listed_live(
        &mut self,
        first_revision: Option<u64>,
        result: Result<StoreReply, StoreError>,
    ) {
        let Ok(StoreReply::Listing(page)) = result else {
            self.watch.failed(self.now, &mut self.rng);
            return;
        };
        // Later pages may be newer: the watch starts at the first_revision page's revision and goes
        // over what changed since again.
        let first_revision = first_revision.unwrap_or(page.revision);
        let last = page.items.last().map(|item| item.key.clone());
        let mut led = false;
        for item in page.items {
            led |= item.key == LEAD;
            if let Some(id) = item.key.strip_prefix(JOBS) {
                self.listed.insert(id.into());
            }
            self.on_put(&item.key, item.value, item.version);
        }
        // `live/job/...` sorts before `live/lead`, so the leader's key is on the last page.
        if page.has_more && last.is_some() {
            self.list_live(Some(first_revision), last);
            return;
        }
        if !led {
            self.on_leader_gone(first_revision);
        }
        let listed = &self.listed;
        self.unreadable.retain(|key| {
            let id = key.strip_prefix(JOBS);
            id.is_some_and(|id| listed.contains(&id.into()))
        });
        let missing: Vec<JobId> = self
            .jobs
            .keys()
            .chain(self.dependencies.ids())
            .filter(|id| !self.listed.contains(*id))
            .cloned()
            .collect();
        for id in missing {
            self.on_job_removed(&id, first_revision);
        }
        self.listed.clear();
        self.revision = Some(first_revision);
        self.watch.worked(self.now);
    }

    pub(super) fn on_watched(&mut self, sent_at: Ms, result: Result<StoreReply, StoreError>) {
        match result {
            Ok(StoreReply::Changes(changes)) => {
                self.apply_changes(sent_at, changes);
                self.watch.worked(self.now);
            }
            Err(StoreError::Compacted) => {
                tracing::info!("changes missed, reading all records again");
                self.revision = None;
                self.watch.worked(self.now);
            }
            other => {
                if let Err(e) = other {
                    tracing::debug!("watch: {e}");
                }
                self.watch.failed(self.now, &mut self.rng);
            }
        }
    }

    /// Takes in all changes up to a revision. An answer that another one has overtaken tells
    /// nothing new, and what it tells may be out of date.
    pub(super) fn apply_changes(&mut self, sent_at: Ms, changes: Changes) {
        self.fresh_at = self.fresh_at.max(Some(sent_at));
        if self.revision.is_some_and(|known| known >= changes.revision) {
            return;
        }
        for event in changes.events {
            match event {
                WatchEvent::Put {
                    key,
                    value,
                    version,
                } => self.on_put(&key, value, version),
                WatchEvent::Delete { key, version } => self.on_delete(&key, version),
            }
        }
        self.revision = Some(changes.revision);
    }

    fn on_put(&mut self, key: &str, value: Value, version: u64) {
        if key == LEAD {
            match records::read::<LeadRecord>(value) {
                Some(lead) => self.on_leader_seen(ObservedLeader {
                    node: lead.node,
                    term: lead.term,
                    version,
                }),
                None => tracing::error!(key, "record can't be read"),
            }
        } else if let Some(id) = key.strip_prefix(JOBS) {
            let id = JobId::from(id);
            let known = self.jobs.get(&id).map(|j| j.version);
            let known = known.max(self.dependencies.version(&id));
            if known.is_some_and(|v| v >= version) {
                return;
            }
            let Some(record) = records::read_job(value) else {
                if self.unreadable.insert(key.to_owned()) {
                    tracing::error!(key, "record can't be read, the job is left alone");
                }
                return;
            };
            self.unreadable.remove(key);
            if record.waits() {
                return self.dependencies.put(id, record, version);
            }
            self.dependencies.remove(&id);
            match self.jobs.get_mut(&id) {
                Some(job) => job.version = version,
                None => self.admit(&id, &record, version),
            }
            if record.cancelled {
                self.on_cancelled(&id);
            }
            if let Some(leader) = self.leader_mut() {
                leader.needs_scheduling = true;
            }
        }
    }

    fn on_delete(&mut self, key: &str, version: u64) {
        if key == LEAD {
            self.on_leader_gone(version);
        } else if let Some(id) = key.strip_prefix(JOBS) {
            self.unreadable.remove(key);
            self.on_job_removed(&id.into(), version);
        }
    }

    /// A cancellation is durable: nothing of the job may start, and what runs is stopped now.
    pub(super) fn on_cancelled(&mut self, id: &JobId) {
        let now = self.now;
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
        job.stop_all_tasks(0, now);
        self.dependencies.mark_changed();
        self.send_stops(id);
        self.finish_job_if_over(id);
    }

    /// A job's record is gone: the leader has written its end.
    fn on_job_removed(&mut self, id: &JobId, version: u64) {
        if self.dependencies.version(id).is_some_and(|v| v <= version) {
            self.dependencies.remove(id);
        }
        self.dependencies.mark_changed();
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.version > version {
            return;
        }
        if job.is_open() {
            // Only a leader removes a record, and this one believes the job open: a successor
            // has ended it. What is still placed is stopped rather than lost track of.
            job.phase = JobPhase::Done { recorded: true };
            job.stop_all_tasks(0, self.now);
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

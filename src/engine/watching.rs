//! Following the records under `live/`: who leads, and which jobs there are.

use super::records::{self, JOBS, LEAD, LIVE, LeadRecord};
use super::{Engine, Holder, Op};
use crate::constants as k;
use crate::model::{JobId, Ms, Phase};
use crate::store::{StoreCall, StoreError, StoreReply};
use crate::wire::store::{Changes, Event};
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
                // Without fresh news what counts is the first answer, changes or none.
                let wait_ms = match self.store_ok() {
                    true => k::WATCH_MS,
                    false => 0,
                };
                let call = StoreCall::Watch {
                    prefix: LIVE.into(),
                    after,
                    wait_ms,
                };
                self.store(Op::Watch { sent: self.now }, call);
            }
            None => {
                self.listed.clear();
                self.list_live(None, None);
            }
        }
    }

    fn list_live(&mut self, first: Option<u64>, after: Option<String>) {
        let call = StoreCall::List {
            prefix: LIVE.into(),
            after,
        };
        self.store(Op::ListLive { first }, call);
    }

    pub(super) fn on_listed_live(
        &mut self,
        first: Option<u64>,
        result: Result<StoreReply, StoreError>,
    ) {
        let Ok(StoreReply::Listed(page)) = result else {
            self.watch.failed(self.now, &mut self.rng);
            return;
        };
        // Later pages may be newer: the watch starts at the first page's revision and goes
        // over what changed since again.
        let first = first.unwrap_or(page.revision);
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
        if page.more && last.is_some() {
            self.list_live(Some(first), last);
            return;
        }
        if !led {
            self.on_leader_gone(first);
        }
        let listed = &self.listed;
        self.unreadable.retain(|key| {
            let id = key.strip_prefix(JOBS);
            id.is_some_and(|id| listed.contains(&id.into()))
        });
        let missing: Vec<JobId> = self
            .jobs
            .keys()
            .chain(self.pipelines.ids())
            .filter(|id| !self.listed.contains(*id))
            .cloned()
            .collect();
        for id in missing {
            self.on_job_removed(&id, first);
        }
        self.listed.clear();
        self.revision = Some(first);
        self.watch.worked(self.now);
    }

    pub(super) fn on_watched(&mut self, sent: Ms, result: Result<StoreReply, StoreError>) {
        match result {
            Ok(StoreReply::Changed(changes)) => {
                self.apply_changes(sent, changes);
                self.watch.worked(self.now);
            }
            Err(StoreError::TooOld) => {
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
    pub(super) fn apply_changes(&mut self, sent: Ms, changes: Changes) {
        self.fresh_at = self.fresh_at.max(Some(sent));
        if self.revision.is_some_and(|known| known >= changes.revision) {
            return;
        }
        for event in changes.events {
            match event {
                Event::Put {
                    put,
                    value,
                    version,
                } => self.on_put(&put, value, version),
                Event::Delete { delete, version } => self.on_delete(&delete, version),
            }
        }
        self.revision = Some(changes.revision);
    }

    fn on_put(&mut self, key: &str, value: Value, version: u64) {
        if key == LEAD {
            match records::read::<LeadRecord>(value) {
                Some(lead) => self.on_leader_seen(Holder {
                    node: lead.node,
                    term: lead.term,
                    version,
                }),
                None => tracing::error!(key, "record can't be read"),
            }
        } else if let Some(id) = key.strip_prefix(JOBS) {
            let id = JobId::from(id);
            let known = self.jobs.get(&id).map(|j| j.version);
            let known = known.max(self.pipelines.version(&id));
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
                return self.pipelines.put(id, record, version);
            }
            self.pipelines.remove(&id);
            match self.jobs.get_mut(&id) {
                Some(job) => job.version = version,
                None => self.admit(&id, &record, version),
            }
            if record.cancelled {
                self.on_cancelled(&id);
            }
            if let Some(leader) = self.leader_mut() {
                leader.dirty = true;
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
        if matches!(job.phase, Phase::Cancelled | Phase::Done { written: true }) {
            return;
        }
        job.phase = Phase::Cancelled;
        job.stop_all(0, now);
        self.pipelines.mark_changed();
        self.send_stops(id);
        self.settle_job(id);
    }

    /// A job's record is gone: the leader has written its end.
    fn on_job_removed(&mut self, id: &JobId, version: u64) {
        if self.pipelines.version(id).is_some_and(|v| v <= version) {
            self.pipelines.remove(id);
        }
        self.pipelines.mark_changed();
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.version > version {
            return;
        }
        if job.is_open() {
            // Only a leader removes a record, and this one believes the job open: a successor
            // has ended it. What is still placed is stopped rather than lost track of.
            job.phase = Phase::Done { written: true };
            job.stop_all(0, self.now);
        } else if matches!(job.phase, Phase::Done { .. }) {
            job.phase = Phase::Done { written: true };
        }
        let cancelled = job.phase == Phase::Cancelled;
        if job.live.is_empty() {
            self.jobs.remove(id);
        }
        if cancelled {
            self.pipelines.note_end(id, JobState::Cancelled);
        }
    }
}

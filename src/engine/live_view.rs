//! How far this node has followed the records under `live/`: the leader's key and the jobs that
//! are not over.
//!
//! The records are listed once, page by page, and then watched. [`LiveView`] holds only the
//! position; `live_records.rs` applies what is read to the other parts of the engine.

use super::context::Context;
use super::messages::PendingCall;
use super::records::{JOB_PREFIX, LIVE_PREFIX};
use super::retry::Retry;
use crate::constants;
use crate::model::{JobId, Timestamp};
use crate::store::StoreCall;
use std::collections::BTreeSet;
use std::time::Duration;

/// The position of this node in the changes of the records under `live/`.
#[derive(Debug, Default)]
pub(super) struct LiveView {
    /// Revision up to which the records are known; none while they have to be listed.
    revision: Option<u64>,
    /// Jobs that the listing in progress has named so far.
    listed: BTreeSet<JobId>,
    watch: Retry,
    /// Send time of the newest answered watch: all changes before it are known.
    fresh_at: Option<Timestamp>,
    /// Keys whose records can't be read: they are left alone.
    unreadable: BTreeSet<String>,
}

impl LiveView {
    /// The next call that follows the records, if one is due.
    pub(super) fn next_call(&mut self, now: Timestamp) -> Option<(PendingCall, StoreCall)> {
        if !self.watch.is_due(now) {
            return None;
        }
        self.watch.begin();
        match self.revision {
            Some(after) => {
                // Without fresh news what counts is the first response, changes or none.
                let wait = match self.is_fresh(now) {
                    true => constants::WATCH_TIMEOUT,
                    false => Duration::ZERO,
                };
                let pending = PendingCall::WatchLiveRecords { sent_at: now };
                Some((pending, watch_call(after, wait)))
            }
            None => {
                self.listed.clear();
                Some(page_call(None, None))
            }
        }
    }

    /// A call has failed; it is repeated after a pause.
    pub(super) fn on_call_failed(&mut self, context: &mut Context) {
        self.watch.record_failure(context);
    }

    /// A watch was answered.
    pub(super) fn on_watch_answered(&mut self, now: Timestamp) {
        self.watch.record_success(now);
    }

    /// Changes were missed: the records have to be listed again.
    pub(super) fn restart_listing(&mut self, now: Timestamp) {
        self.revision = None;
        self.watch.record_success(now);
    }

    /// The listing in progress names this key.
    pub(super) fn record_listed_key(&mut self, key: &str) {
        if let Some(id) = key.strip_prefix(JOB_PREFIX) {
            self.listed.insert(id.into());
        }
    }

    /// Whether the listing in progress has named the job.
    pub(super) fn has_listed(&self, id: &JobId) -> bool {
        self.listed.contains(id)
    }

    /// The listing is complete. Its pages may be newer than the first one: the watch goes over what
    /// has changed since that one again.
    pub(super) fn finish_listing(&mut self, first_revision: u64, now: Timestamp) {
        let listed = std::mem::take(&mut self.listed);
        self.unreadable.retain(|key| {
            let id = key.strip_prefix(JOB_PREFIX);
            id.is_some_and(|id| listed.contains(&id.into()))
        });
        self.revision = Some(first_revision);
        self.watch.record_success(now);
    }

    /// Revision up to which the records are known.
    pub(super) fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// Whether the records have been listed.
    pub(super) fn is_listed(&self) -> bool {
        self.revision.is_some()
    }

    /// Whether all changes up to that revision are known.
    pub(super) fn has_applied_revision(&self, revision: u64) -> bool {
        self.revision.is_some_and(|known| known >= revision)
    }

    /// A watch that was sent then has been answered.
    pub(super) fn record_contact(&mut self, sent_at: Timestamp) {
        self.fresh_at = self.fresh_at.max(Some(sent_at));
    }

    /// All changes up to that revision are known.
    pub(super) fn advance_to(&mut self, revision: u64) {
        self.revision = Some(revision);
    }

    /// Whether the state service has answered lately.
    pub(super) fn is_fresh(&self, now: Timestamp) -> bool {
        let slow = constants::WATCH_TIMEOUT + constants::WATCH_SLACK;
        self.fresh_at
            .is_some_and(|fresh_at| now.saturating_since(fresh_at) < slow)
    }

    /// Whether all changes are known up to some instant less than `duration` ago.
    pub(super) fn is_current_within(&self, duration: Duration, now: Timestamp) -> bool {
        self.fresh_at
            .is_some_and(|fresh_at| now < fresh_at + duration)
    }

    /// The record under the key can't be read; whether that is news.
    pub(super) fn mark_unreadable(&mut self, key: &str) -> bool {
        self.unreadable.insert(key.to_owned())
    }

    /// The record under the key can be read, or is gone.
    pub(super) fn clear_unreadable(&mut self, key: &str) {
        self.unreadable.remove(key);
    }

    /// Whether the record under the key can't be read.
    pub(super) fn is_unreadable(&self, key: &str) -> bool {
        self.unreadable.contains(key)
    }
}

/// The call that reads a page: the first one, or the one after that key.
pub(super) fn page_call(
    first_revision: Option<u64>,
    after: Option<String>,
) -> (PendingCall, StoreCall) {
    let call = StoreCall::List {
        prefix: LIVE_PREFIX.into(),
        after,
    };
    (PendingCall::ListLiveRecords { first_revision }, call)
}

/// The call that waits for changes after that revision.
pub(super) fn watch_call(after: u64, wait: Duration) -> StoreCall {
    StoreCall::Watch {
        prefix: LIVE_PREFIX.into(),
        after,
        wait,
    }
}

#[cfg(test)]
mod tests;

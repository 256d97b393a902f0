//! Tracks up to which revision this node has read the records under `live/`: the leader's key and
//! the jobs that are not over.
//!
//! The records are listed once, page by page, and then watched. [`LiveView`] holds only the
//! position; `live_records.rs` applies the records to the other components of the engine.

use super::context::Context;
use super::messages::PendingCall;
use super::records::{JOB_PREFIX, LIVE_PREFIX};
use super::retry::Retry;
use crate::constants;
use crate::model::{JobId, Timestamp};
use crate::store::StoreCall;
use std::collections::BTreeSet;
use std::time::Duration;

/// The position up to which this node has read the changes of the records under `live/`.
#[derive(Debug, Default)]
pub(super) struct LiveView {
    /// Revision up to which the records are known; `None` until a listing is complete.
    revision: Option<u64>,
    /// Jobs found so far by the listing in progress.
    listed: BTreeSet<JobId>,
    retry: Retry,
    /// Latest send time of an answered watch. All changes before that time are known.
    contact_sent_at: Option<Timestamp>,
    /// Keys whose records can't be decoded. Such records are neither changed nor deleted.
    unreadable: BTreeSet<String>,
}

impl LiveView {
    /// Returns the next call that lists or watches the records, if one is due, and marks the call
    /// as in flight.
    pub(super) fn next_call(&mut self, now: Timestamp) -> Option<(PendingCall, StoreCall)> {
        if !self.retry.is_due(now) {
            return None;
        }
        self.retry.begin();
        match self.revision {
            Some(after) => {
                // A view that is not fresh needs a response at once, even one without changes.
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

    /// Records that a call failed. The call is retried after a pause.
    pub(super) fn on_call_failed(&mut self, context: &mut Context) {
        self.retry.record_failure(context);
    }

    /// Records that a watch was answered. The next one is due at once.
    pub(super) fn on_watch_answered(&mut self, now: Timestamp) {
        self.retry.record_success(now);
    }

    /// Makes the next call list all records again, because changes were missed.
    pub(super) fn restart_listing(&mut self, now: Timestamp) {
        self.revision = None;
        self.retry.record_success(now);
    }

    /// Records a job whose key the listing in progress has found. Other keys are ignored.
    pub(super) fn record_listed_key(&mut self, key: &str) {
        if let Some(id) = key.strip_prefix(JOB_PREFIX) {
            self.listed.insert(id.into());
        }
    }

    /// Reports whether the listing in progress has found the job.
    pub(super) fn has_listed(&self, id: &JobId) -> bool {
        self.listed.contains(id)
    }

    /// Ends the listing. Later pages may be newer than the first one, so the watch starts at the
    /// revision of the first page and repeats the changes since then.
    pub(super) fn finish_listing(&mut self, first_revision: u64, now: Timestamp) {
        let listed = std::mem::take(&mut self.listed);
        self.unreadable.retain(|key| {
            let id = key.strip_prefix(JOB_PREFIX);
            id.is_some_and(|id| listed.contains(&id.into()))
        });
        self.revision = Some(first_revision);
        self.retry.record_success(now);
    }

    /// Returns the revision up to which the records are known.
    pub(super) fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// Reports whether the records have been listed completely.
    pub(super) fn is_listed(&self) -> bool {
        self.revision.is_some()
    }

    /// Reports whether all changes up to the revision have been applied.
    pub(super) fn has_applied_revision(&self, revision: u64) -> bool {
        self.revision.is_some_and(|applied| applied >= revision)
    }

    /// Records that a watch sent at `sent_at` was answered.
    pub(super) fn record_contact(&mut self, sent_at: Timestamp) {
        self.contact_sent_at = self.contact_sent_at.max(Some(sent_at));
    }

    /// Records that all changes up to the revision have been applied.
    pub(super) fn advance_to(&mut self, revision: u64) {
        self.revision = Some(revision);
    }

    /// Reports whether the state service has answered a recent watch: one sent less than the watch
    /// timeout plus the allowed slack ago.
    pub(super) fn is_fresh(&self, now: Timestamp) -> bool {
        let max_age = constants::WATCH_TIMEOUT + constants::WATCH_SLACK;
        self.contact_sent_at
            .is_some_and(|contact_sent_at| now.saturating_since(contact_sent_at) < max_age)
    }

    /// Reports whether all changes up to some time less than `duration` ago are known.
    pub(super) fn is_current_within(&self, duration: Duration, now: Timestamp) -> bool {
        self.contact_sent_at
            .is_some_and(|contact_sent_at| now < contact_sent_at + duration)
    }

    /// Records that the record under the key can't be decoded. Returns whether the key was not
    /// marked before.
    pub(super) fn mark_unreadable(&mut self, key: &str) -> bool {
        self.unreadable.insert(key.to_owned())
    }

    /// Clears the mark of a key whose record can be decoded or was deleted.
    pub(super) fn clear_unreadable(&mut self, key: &str) {
        self.unreadable.remove(key);
    }

    /// Reports whether the record under the key can't be decoded.
    pub(super) fn is_unreadable(&self, key: &str) -> bool {
        self.unreadable.contains(key)
    }
}

/// Returns the call that lists a page of the records: the page after the key `after`, or the first
/// page without one.
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

/// Returns the call that waits up to `wait` for changes after the revision `after`.
pub(super) fn watch_call(after: u64, wait: Duration) -> StoreCall {
    StoreCall::Watch {
        prefix: LIVE_PREFIX.into(),
        after,
        wait,
    }
}

#[cfg(test)]
mod tests;

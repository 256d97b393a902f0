//! Finds the records that finished or abandoned rounds have left in the state service.
//!
//! The state service may apply a transaction that got no response after the round's records were
//! removed. The record written that way starts no task, but it would stay until the next leader
//! reads it.

use super::Rounds;
use crate::constants;
use crate::engine::Engine;
use crate::engine::context::Context;
use crate::engine::messages::PendingCall;
use crate::engine::records::{self, ROUND_PREFIX};
use crate::engine::retry::Retry;
use crate::model::Timestamp;
use crate::store::{StoreCall, StoreError, StoreReply};
use crate::wire::store::Listing;

/// The schedule of searches for orphaned records, and the position of the search in progress.
#[derive(Debug, Default)]
pub(super) struct OrphanSearch {
    /// When the next search begins, or the search in progress began; `None` if no transaction may
    /// still be applied late.
    next_at: Option<Timestamp>,
    /// When a transaction last failed without a known outcome.
    last_unanswered_at: Timestamp,
    /// The last key that the search in progress has read; `None` before the first page.
    after: Option<String>,
    retry: Retry,
}

impl OrphanSearch {
    /// Schedules a search because a transaction got no response and may be applied late.
    pub(super) fn expect_late_write(&mut self, now: Timestamp) {
        self.last_unanswered_at = now;
        self.next_at
            .get_or_insert(now + constants::ORPHANED_ROUND_SEARCH_DELAY);
    }

    /// Returns the call that reads the next page of round records, if that is due.
    pub(super) fn next_call(&mut self, now: Timestamp) -> Option<StoreCall> {
        let due = self.next_at.is_some_and(|next_at| now >= next_at) && self.retry.is_due(now);
        if !due {
            return None;
        }
        self.retry.begin();
        Some(StoreCall::List {
            prefix: ROUND_PREFIX.into(),
            after: self.after.clone(),
        })
    }

    fn on_read_failed(&mut self, context: &mut Context) {
        self.retry.record_failure(context);
    }

    fn on_page_read(&mut self, page: &Listing, now: Timestamp) {
        self.retry.record_success(now);
        self.after = page.items.last().map(|item| item.key.clone());
        if !page.has_more || self.after.is_none() {
            self.finish();
        }
    }

    /// Ends the search that began at `next_at`, all records having been read. Schedules another one
    /// if a later transaction may still leave a record.
    fn finish(&mut self) {
        let next_search_at = self.last_unanswered_at + constants::ORPHANED_ROUND_SEARCH_DELAY;
        let began_before = self.next_at.filter(|began| *began < next_search_at);
        self.next_at = began_before.map(|_| next_search_at);
        self.after = None;
    }
}

impl Rounds {
    /// Reports whether the record with this key belongs to a finished or abandoned round of this
    /// term. Records of other terms never count: they were read when this term began, or were
    /// unreadable.
    fn is_orphaned(&self, key: &str, term: u64) -> bool {
        let number = records::parse_round_key(key);
        let number = number.filter(|number| number >> constants::ROUND_BITS == term);
        number.is_some_and(|number| !self.contains(number))
    }
}

impl Engine {
    /// Requests the next page of round records if a search for orphaned records is due.
    pub(super) fn search_orphaned_rounds(&mut self) {
        let now = self.context.now();
        let Some(leader) = self.leadership.leader_mut() else {
            return;
        };
        if let Some(call) = leader.rounds.orphans.next_call(now) {
            self.outbox
                .call_store(PendingCall::ListOrphanedRounds, call);
        }
    }

    /// Handles a page of round records, or the failure to read it: removes the orphaned records.
    pub(in crate::engine) fn on_orphaned_rounds_listed(
        &mut self,
        result: Result<StoreReply, StoreError>,
    ) {
        let now = self.context.now();
        let Some(leader) = self.leadership.leader_mut() else {
            return;
        };
        let search = &mut leader.rounds.orphans;
        let Ok(StoreReply::Listing(page)) = result else {
            return search.on_read_failed(&mut self.context);
        };
        search.on_page_read(&page, now);
        let term = leader.term();
        for item in page.items {
            if leader.rounds.is_orphaned(&item.key, term) {
                tracing::info!(key = item.key, "removing orphaned round record");
                leader.completions.add_removal(item.key);
            }
        }
    }
}

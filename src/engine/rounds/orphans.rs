//! Finds records of rounds that are over or were abandoned.
//!
//! A transaction without a response may be carried out after its round's records were removed; the
//! record that it leaves starts nothing, but would stay until the next leader reads it.

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

/// When to search, and how far a search has come.
#[derive(Debug, Default)]
pub(super) struct OrphanSearch {
    /// When to begin the next search; none while no transaction is unaccounted for.
    next_at: Option<Timestamp>,
    /// When the last transaction without a response was seen.
    last_unanswered_at: Timestamp,
    /// The last key read by the search in progress.
    after: Option<String>,
    retry: Retry,
}

impl OrphanSearch {
    /// A transaction has got no response and may be carried out late.
    pub(super) fn expect_late_write(&mut self, now: Timestamp) {
        self.last_unanswered_at = now;
        self.next_at
            .get_or_insert(now + constants::ORPHANED_ROUND_SEARCH_DELAY);
    }

    /// The call that reads the next page, if it is due.
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

    /// All records were read, by a search that began at `next_at`.
    fn finish(&mut self) {
        let again = self.last_unanswered_at + constants::ORPHANED_ROUND_SEARCH_DELAY;
        let began_earlier = self.next_at.filter(|began| *began < again);
        self.next_at = began_earlier.map(|_| again);
        self.after = None;
    }
}

impl Rounds {
    /// Whether the record under this key belongs to a round of this term that is over. Other
    /// leaders' rounds were read when this term began, or could not be read.
    fn is_orphaned(&self, key: &str, term: u64) -> bool {
        let number = records::parse_round_key(key);
        let number = number.filter(|number| number >> constants::ROUND_BITS == term);
        number.is_some_and(|number| !self.knows(number))
    }
}

impl Engine {
    /// Reads the next page of the rounds' records, if a search for orphaned ones is due.
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

    /// A page of the rounds' records was read, or could not be.
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

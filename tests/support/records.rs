//! What a state service written from the protocol holds, and how it replies: keys, conditional commits
//! and changes. The tests over HTTP and the load (`benches/load`) share it.

use axum::http::StatusCode;
use rmpv::Value;
use serde::Deserialize;
use std::collections::{BTreeMap, VecDeque};
use umbervale::wire::{encode, store as wire};

/// Changes that are kept for watches, as the protocol says.
const CHANGES_KEPT: usize = 10_000;

/// A status and a body.
pub(crate) type Reply = (StatusCode, Vec<u8>);

/// The query of a listing.
#[derive(Deserialize)]
pub(crate) struct ListQuery {
    under: String,
    after: Option<String>,
    page: usize,
}

/// The query of a watch.
#[derive(Deserialize)]
pub(crate) struct WatchQuery {
    pub(crate) under: String,
    pub(crate) after: u64,
    pub(crate) block_ms: u64,
}

/// A value with its version.
struct StoredValue {
    value: Value,
    version: u64,
}

/// A change, at the revision that it made.
struct LoggedChange {
    revision: u64,
    event: wire::WatchEvent,
}

/// Keys with their values and versions, and the changes that led there.
#[derive(Default)]
pub(crate) struct Records {
    values: BTreeMap<String, StoredValue>,
    revision: u64,
    changes: VecDeque<LoggedChange>,
    leases: u64,
}

impl Records {
    fn version(&self, key: &str) -> u64 {
        self.values.get(key).map_or(0, |stored| stored.version)
    }

    /// Writes a value without a change for watches; its version.
    #[allow(dead_code, reason = "only the tests over HTTP use it")]
    pub(crate) fn put_without_change(&mut self, key: &str, value: Value) -> u64 {
        self.revision += 1;
        self.store(key, value);
        self.revision
    }

    /// Deletes a key without a change for watches; whether it was there.
    #[allow(dead_code, reason = "only the tests over HTTP use it")]
    pub(crate) fn delete_without_change(&mut self, key: &str) -> bool {
        self.values.remove(key).is_some()
    }

    /// Stores a value at the present revision.
    fn store(&mut self, key: &str, value: Value) {
        let version = self.revision;
        let stored = StoredValue { value, version };
        self.values.insert(key.to_owned(), stored);
    }

    /// The key with its value.
    pub(crate) fn item(&self, key: &str) -> Option<wire::Item> {
        let stored = self.values.get(key)?;
        Some(wire::Item {
            key: key.to_owned(),
            value: stored.value.clone(),
            version: stored.version,
        })
    }

    /// The reply to a read of a key.
    pub(crate) fn read(&self, key: &str) -> Reply {
        match self.item(key) {
            Some(item) => (StatusCode::OK, encode(&item)),
            None => {
                let revision = self.revision;
                (StatusCode::NOT_FOUND, encode(&wire::Revision { revision }))
            }
        }
    }

    /// A page of the keys with a prefix, after that key if one is given.
    pub(crate) fn list_page(&self, query: &ListQuery) -> wire::Listing {
        let (under, after) = (&*query.under, query.after.as_deref());
        let from = after.unwrap_or(under);
        let mut keys = self
            .values
            .range(from.to_owned()..)
            .map(|(key, _)| key)
            .take_while(|key| key.starts_with(under))
            .filter(|key| after != Some(key));
        let items = keys.by_ref().take(query.page);
        let items = items.filter_map(|key| self.item(key)).collect();
        wire::Listing {
            items,
            has_more: keys.next().is_some(),
            revision: self.revision,
        }
    }

    /// Executes a transaction, and replies with the new revision or the keys whose comparison fails.
    pub(crate) fn commit(&mut self, transaction: wire::Transaction) -> Reply {
        let failed = transaction.comparisons.iter();
        let failed =
            failed.filter(|comparison| self.version(&comparison.key) != comparison.version);
        let failed_keys: Vec<String> = failed.map(|comparison| comparison.key.clone()).collect();
        if !failed_keys.is_empty() {
            return (
                StatusCode::CONFLICT,
                encode(&wire::Conflict { failed_keys }),
            );
        }
        self.revision += 1;
        for mutation in transaction.mutations {
            self.apply(mutation);
        }
        let revision = self.revision;
        (StatusCode::OK, encode(&wire::Revision { revision }))
    }

    fn apply(&mut self, mutation: wire::Mutation) {
        let version = self.revision;
        let event = match mutation {
            wire::Mutation::Put { key, value, .. } => {
                self.store(&key, value.clone());
                wire::WatchEvent::Put {
                    key,
                    value,
                    version,
                }
            }
            wire::Mutation::Delete { key } => {
                self.values.remove(&key);
                wire::WatchEvent::Delete { key, version }
            }
        };
        self.note_change(event);
    }

    /// Adds a change of the present revision for watches.
    pub(crate) fn note_change(&mut self, event: wire::WatchEvent) {
        let revision = self.revision;
        self.changes.push_back(LoggedChange { revision, event });
        if self.changes.len() > CHANGES_KEPT {
            self.changes.pop_front();
        }
    }

    /// The changes of keys with a prefix after that revision.
    pub(crate) fn changes_after(&self, under: &str, after: u64) -> wire::Changes {
        let is_under = |event: &wire::WatchEvent| match event {
            wire::WatchEvent::Put { key, .. } => key.starts_with(under),
            wire::WatchEvent::Delete { key, .. } => key.starts_with(under),
        };
        let newer = self.changes.iter().rev();
        let newer = newer.take_while(|change| change.revision > after);
        let mut events: Vec<_> = newer.map(|change| change.event.clone()).collect();
        events.reverse();
        events.retain(is_under);
        wire::Changes {
            revision: self.revision,
            events,
        }
    }

    /// Grants a new lease.
    pub(crate) fn grant_lease(&mut self) -> wire::LeaseGranted {
        self.leases += 1;
        wire::LeaseGranted { lease: self.leases }
    }
}

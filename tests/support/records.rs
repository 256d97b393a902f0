//! The data of a state service that is implemented from the protocol: its keys, conditional commits
//! and changes, and its responses. The HTTP tests and the load program (`benches/load`) share this
//! module.

use axum::http::StatusCode;
use rmpv::Value;
use serde::Deserialize;
use std::collections::{BTreeMap, VecDeque};
use umbervale::wire::{encode, store as wire};

/// Number of changes that are retained for watches, as the protocol requires.
const MAX_RETAINED_CHANGES: usize = 10_000;

/// The status and the body of an HTTP response.
pub(crate) type StatusAndBody = (StatusCode, Vec<u8>);

/// The query parameters of a listing.
#[derive(Deserialize)]
pub(crate) struct ListQuery {
    under: String,
    after: Option<String>,
    page: usize,
}

/// The query parameters of a watch.
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

/// A change with the revision that the change produced.
struct LoggedChange {
    revision: u64,
    event: wire::WatchEvent,
}

/// The stored keys with their values and versions, and the latest changes for watches.
#[derive(Default)]
pub(crate) struct Records {
    values: BTreeMap<String, StoredValue>,
    revision: u64,
    changes: VecDeque<LoggedChange>,
    leases: u64,
}

impl Records {
    /// Returns the version of a key, or 0 if the key does not exist.
    fn version(&self, key: &str) -> u64 {
        self.values.get(key).map_or(0, |stored| stored.version)
    }

    /// Writes a value without a change for watches and returns the new version.
    #[allow(dead_code, reason = "only the HTTP tests use this function")]
    pub(crate) fn put_without_change(&mut self, key: &str, value: Value) -> u64 {
        self.revision += 1;
        self.store(key, value);
        self.revision
    }

    /// Deletes a key without a change for watches and reports whether the key existed.
    #[allow(dead_code, reason = "only the HTTP tests use this function")]
    pub(crate) fn delete_without_change(&mut self, key: &str) -> bool {
        self.values.remove(key).is_some()
    }

    /// Stores a value with the current revision as its version.
    fn store(&mut self, key: &str, value: Value) {
        let version = self.revision;
        let stored = StoredValue { value, version };
        self.values.insert(key.to_owned(), stored);
    }

    /// Returns a key with its value and version.
    pub(crate) fn item(&self, key: &str) -> Option<wire::Item> {
        let stored = self.values.get(key)?;
        Some(wire::Item {
            key: key.to_owned(),
            value: stored.value.clone(),
            version: stored.version,
        })
    }

    /// Returns the response to a read of a key.
    pub(crate) fn read(&self, key: &str) -> StatusAndBody {
        match self.item(key) {
            Some(item) => (StatusCode::OK, encode(&item)),
            None => {
                let revision = self.revision;
                (StatusCode::NOT_FOUND, encode(&wire::Revision { revision }))
            }
        }
    }

    /// Returns a page of the keys with the prefix. If the query names a key `after`, the page starts
    /// after that key.
    pub(crate) fn list_page(&self, query: &ListQuery) -> wire::Listing {
        let (prefix, after) = (&*query.under, query.after.as_deref());
        let first_key = after.unwrap_or(prefix);
        let mut keys = self
            .values
            .range(first_key.to_owned()..)
            .map(|(key, _)| key)
            .take_while(|key| key.starts_with(prefix))
            .filter(|key| after != Some(key));
        let items = keys.by_ref().take(query.page);
        let items = items.filter_map(|key| self.item(key)).collect();
        wire::Listing {
            items,
            has_more: keys.next().is_some(),
            revision: self.revision,
        }
    }

    /// Applies a transaction if all of its comparisons hold. Returns the response: the new revision, or
    /// the keys whose comparison failed.
    pub(crate) fn commit(&mut self, transaction: wire::Transaction) -> StatusAndBody {
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

    /// Applies a mutation of the current revision and records its change for watches.
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
        self.append_change(event);
    }

    /// Appends a change of the current revision for watches and drops the oldest one beyond
    /// [`MAX_RETAINED_CHANGES`].
    pub(crate) fn append_change(&mut self, event: wire::WatchEvent) {
        let revision = self.revision;
        self.changes.push_back(LoggedChange { revision, event });
        if self.changes.len() > MAX_RETAINED_CHANGES {
            self.changes.pop_front();
        }
    }

    /// Returns the changes of keys with the prefix that follow the revision `after`.
    pub(crate) fn changes_after(&self, prefix: &str, after: u64) -> wire::Changes {
        let has_prefix = |event: &wire::WatchEvent| match event {
            wire::WatchEvent::Put { key, .. } => key.starts_with(prefix),
            wire::WatchEvent::Delete { key, .. } => key.starts_with(prefix),
        };
        let newer = self.changes.iter().rev();
        let newer = newer.take_while(|change| change.revision > after);
        let mut events: Vec<_> = newer.map(|change| change.event.clone()).collect();
        events.reverse();
        events.retain(has_prefix);
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

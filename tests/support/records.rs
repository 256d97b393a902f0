//! What a state service written from the protocol holds: keys, conditional commits and changes. The
//! tests over HTTP and the load (`benches/load`) share it.

use rmpv::Value;
use std::collections::{BTreeMap, VecDeque};
use umbervale::wire::store as wire;

/// Changes that are kept for watches, as the protocol says.
const CHANGES_KEPT: usize = 10_000;

/// Keys with their values and versions, and the changes that led there.
#[derive(Default)]
pub(crate) struct Records {
    pub(crate) values: BTreeMap<String, (Value, u64)>,
    pub(crate) revision: u64,
    changes: VecDeque<(u64, wire::WatchEvent)>,
    leases: u64,
}

impl Records {
    fn version(&self, key: &str) -> u64 {
        self.values.get(key).map_or(0, |(_, version)| *version)
    }

    /// The key with its value.
    pub(crate) fn item(&self, key: &str) -> Option<wire::Item> {
        let (value, version) = self.values.get(key)?;
        Some(wire::Item {
            key: key.to_owned(),
            value: value.clone(),
            version: *version,
        })
    }

    /// A page of the keys with a prefix, after that key if one is given.
    pub(crate) fn list(&self, under: &str, after: Option<&str>, page: usize) -> wire::Listing {
        let from = after.unwrap_or(under);
        let mut keys = self
            .values
            .range(from.to_owned()..)
            .map(|(key, _)| key)
            .take_while(|key| key.starts_with(under))
            .filter(|key| after != Some(key));
        let items = keys.by_ref().take(page);
        let items = items.filter_map(|key| self.item(key)).collect();
        wire::Listing {
            items,
            has_more: keys.next().is_some(),
            revision: self.revision,
        }
    }

    /// Carries a transaction out: the new revision, or the keys whose conditions fail.
    pub(crate) fn commit(&mut self, transaction: wire::Transaction) -> Result<u64, Vec<String>> {
        let failed = transaction.comparisons.iter();
        let failed = failed.filter(|condition| self.version(&condition.key) != condition.version);
        let failed: Vec<String> = failed.map(|condition| condition.key.clone()).collect();
        if !failed.is_empty() {
            return Err(failed);
        }
        self.revision += 1;
        for write in transaction.mutations {
            self.apply(write);
        }
        Ok(self.revision)
    }

    fn apply(&mut self, write: wire::Mutation) {
        let version = self.revision;
        let event = match write {
            wire::Mutation::Put { key, value, .. } => {
                let stored = (value.clone(), version);
                self.values.insert(key.clone(), stored);
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
        self.changes.push_back((self.revision, event));
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
        let newer = newer.take_while(|(at, _)| *at > after);
        let mut events: Vec<_> = newer.map(|(_, event)| event.clone()).collect();
        events.reverse();
        events.retain(is_under);
        wire::Changes {
            revision: self.revision,
            events,
        }
    }

    /// Grants a new lease.
    pub(crate) fn new_lease(&mut self) -> wire::LeaseGranted {
        self.leases += 1;
        wire::LeaseGranted { lease: self.leases }
    }
}

//! The simulated state service: versioned keys, leases and watches.

mod commits;
mod leases;
mod watches;

pub(super) use watches::Watch;

use super::events::Event;
use super::nodes::Caller;
use super::{Millis, SimulatedCluster};
use crate::constants;
use crate::engine::{Command, records};
use crate::model::whole_millis;
use crate::store::{StoreCall, StoreError, StoreReply};
use crate::wire::store::{Item, Listing, Transaction, WatchEvent};
use leases::Lease;
use std::collections::{BTreeMap, BTreeSet};

/// A value with its version and, if it has one, the lease that it is attached to.
struct StoredValue {
    value: rmpv::Value,
    version: u64,
    lease: Option<u64>,
}

impl StoredValue {
    fn item(&self, key: &str) -> Item {
        Item {
            key: key.into(),
            value: self.value.clone(),
            version: self.version,
        }
    }
}

/// A change of a key, with the revision that the change created.
struct LoggedChange {
    revision: u64,
    event: WatchEvent,
}

/// The data of the state service.
#[derive(Default)]
pub(super) struct StateService {
    values: BTreeMap<String, StoredValue>,
    revision: u64,
    leases: BTreeMap<u64, Lease>,
    /// All changes, oldest first.
    log: Vec<LoggedChange>,
    /// Keys that are attached to a lease.
    leased_keys: BTreeSet<String>,
    watches: Vec<Watch>,
    /// Number of commit requests received so far.
    commits: u64,
}

impl StateService {
    pub(super) fn value(&self, key: &str) -> Option<&rmpv::Value> {
        self.values.get(key).map(|stored| &stored.value)
    }

    pub(super) fn count_keys(&self, prefix: &str) -> usize {
        let keys = self.values.keys();
        keys.filter(|key| key.starts_with(prefix)).count()
    }

    /// Removes the watches of a node whose process has ended.
    pub(super) fn remove_watches_of_node(&mut self, node: usize) {
        self.watches
            .retain(|watch| watch.caller.process.node != node);
    }

    /// Returns a page of at most `page_items` items whose keys have the prefix, starting after the
    /// key `after` if one is given.
    fn list_page(&self, prefix: &str, after: Option<&String>, page_items: usize) -> Listing {
        let from = after.map_or(prefix, String::as_str);
        let mut values = self
            .values
            .range(from.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(key, _)| after != Some(*key));
        let page = values.by_ref().take(page_items);
        let items = page.map(|(key, stored)| stored.item(key)).collect();
        Listing {
            items,
            has_more: values.next().is_some(),
            revision: self.revision,
        }
    }

    /// Deletes a key, and logs the change if the key existed.
    fn delete(&mut self, key: &str, revision: u64) {
        self.leased_keys.remove(key);
        if self.values.remove(key).is_some() {
            let event = WatchEvent::Delete {
                key: key.into(),
                version: revision,
            };
            self.log.push(LoggedChange { revision, event });
        }
    }
}

impl SimulatedCluster {
    /// Executes a call and schedules its reply.
    ///
    /// # Panics
    ///
    /// Panics if an engine commits a transaction that does not compare the leader's key.
    pub(super) fn serve_store_call(&mut self, caller: Caller, call: &StoreCall) {
        let refused = self.is_refused(caller, call);
        if let StoreCall::Commit(transaction) = call {
            let comparisons = &transaction.comparisons;
            let compares_leader = comparisons
                .iter()
                .any(|comparison| comparison.key == records::LEADER_KEY);
            assert!(
                compares_leader,
                "transaction does not compare the leader's key: {transaction:?}"
            );
            if !refused && let Some(delay) = self.delay_of_commit(transaction) {
                return self.delay_commit(caller, transaction, delay);
            }
        }
        let result = if refused {
            Err(StoreError::NotExecuted("503".into()))
        } else {
            self.execute_store_call(call)
        };
        let reply_delays = &self.faults.store_reply_delay;
        let reply_delay = reply_delays.get(&caller.process.node).copied();
        let delay = self.next_latency() + reply_delay.unwrap_or(0);
        self.complete_store_call(caller, result, delay);
        self.serve_watches();
    }

    /// Reports whether a fault makes the state service refuse the call with status 503.
    fn is_refused(&self, caller: Caller, call: &StoreCall) -> bool {
        let faults = &self.faults;
        let lists_records = matches!(
            call,
            StoreCall::List { prefix, .. } if prefix == records::PROGRESS_PREFIX || prefix == records::ROUND_PREFIX
        );
        faults.store_unavailable
            || faults.nodes_without_store.contains(&caller.process.node)
            || (lists_records && faults.refuse_record_lists)
    }

    /// Schedules the execution of a transaction after a delay. Its sender gets no reply and times
    /// out.
    fn delay_commit(&mut self, caller: Caller, transaction: &Transaction, delay: Millis) {
        self.store.commits += 1;
        self.schedule(delay, Event::LateCommit(transaction.clone()));
        let timeout = constants::STORE_TIMEOUT.as_millis() as Millis;
        let result = Err(StoreError::UnknownOutcome("no answer".into()));
        self.complete_store_call(caller, result, timeout);
    }

    /// Schedules the arrival of the reply to a call after a delay.
    fn complete_store_call(
        &mut self,
        caller: Caller,
        result: Result<StoreReply, StoreError>,
        delay: Millis,
    ) {
        let command = Command::StoreCallCompleted {
            call_id: caller.call_id,
            result,
        };
        let process = caller.process;
        self.schedule(delay, Event::Command { process, command });
    }

    /// Executes a call that is not refused.
    fn execute_store_call(&mut self, call: &StoreCall) -> Result<StoreReply, StoreError> {
        match call {
            StoreCall::Get { key } => {
                let stored = self.store.values.get(key);
                Ok(StoreReply::Item(stored.map(|stored| stored.item(key))))
            }
            StoreCall::List { prefix, after } => {
                let listing = self
                    .store
                    .list_page(prefix, after.as_ref(), self.page_items);
                Ok(StoreReply::Listing(listing))
            }
            StoreCall::Commit(transaction) => self.commit_with_lost_reply(transaction),
            StoreCall::GrantLease { ttl } => {
                let lease = self.store.grant_lease(whole_millis(*ttl), self.now);
                Ok(StoreReply::LeaseGranted { lease })
            }
            StoreCall::KeepAlive { lease } => self.store.keep_alive(*lease, self.now),
            StoreCall::RevokeLease { lease } => {
                self.store.revoke_lease(*lease);
                self.expire_leases();
                Ok(StoreReply::LeaseUpdated)
            }
            StoreCall::Watch { .. } => unreachable!("watches are scheduled as separate events"),
        }
    }
}

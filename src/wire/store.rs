//! Messages between controller nodes and the state service, a consensus-backed key-value store.

use rmpv::Value;
use serde::{Deserialize, Serialize};

/// A key with its value, which is decoded as `V`; by default as a MessagePack value of any form.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Item<V = Value> {
    /// The key.
    #[serde(rename = "path")]
    pub key: String,
    /// Value of the key.
    #[serde(rename = "data")]
    pub value: V,
    /// Version of the key: the revision of its last change.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A page of keys with a common prefix.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Listing {
    /// Keys with their values, in key order.
    pub items: Vec<Item>,
    /// Whether further pages follow.
    #[serde(rename = "truncated", default)]
    pub has_more: bool,
    /// Revision of the service when the page was read.
    #[serde(rename = "ledger_rev")]
    pub revision: u64,
}

/// A condition of a transaction: the key must have the expected version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Comparison {
    /// The key.
    #[serde(rename = "path")]
    pub key: String,
    /// The expected version; 0 if the key must not exist.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// One change of a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Mutation {
    /// Sets the value of a key.
    Put {
        /// The key.
        #[serde(rename = "put")]
        key: String,
        /// Its new value.
        #[serde(rename = "data")]
        value: Value,
        /// The lease that the key is attached to, if any.
        #[serde(rename = "tenure", default, skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    /// Deletes a key.
    Delete {
        /// The key.
        #[serde(rename = "remove")]
        key: String,
    },
}

/// A compare-and-swap over several keys: all mutations are applied if all comparisons hold, and
/// none otherwise.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// Conditions that must hold.
    #[serde(rename = "when")]
    pub comparisons: Vec<Comparison>,
    /// Mutations that are applied atomically.
    #[serde(rename = "writes")]
    pub mutations: Vec<Mutation>,
}

impl Transaction {
    /// Adds the condition that `key` has `version`, or does not exist if `version` is 0.
    pub fn compare(mut self, key: impl Into<String>, version: u64) -> Self {
        self.comparisons.push(Comparison {
            key: key.into(),
            version,
        });
        self
    }

    /// Adds a mutation that sets a key without attaching it to a lease.
    pub fn put(mut self, key: impl Into<String>, value: Value) -> Self {
        self.mutations.push(Mutation::Put {
            key: key.into(),
            value,
            lease: None,
        });
        self
    }

    /// Adds a mutation that sets a key and attaches it to a lease.
    pub fn put_with_lease(mut self, key: impl Into<String>, value: Value, lease: u64) -> Self {
        self.mutations.push(Mutation::Put {
            key: key.into(),
            value,
            lease: Some(lease),
        });
        self
    }

    /// Adds a mutation that deletes a key.
    pub fn delete(mut self, key: impl Into<String>) -> Self {
        self.mutations.push(Mutation::Delete { key: key.into() });
        self
    }
}

/// The response to a committed transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Revision {
    /// Revision of the transaction's changes.
    #[serde(rename = "ledger_rev")]
    pub revision: u64,
}

/// The response to a transaction whose comparisons failed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// Keys whose version differs from the expected one.
    #[serde(rename = "failed")]
    pub failed_keys: Vec<String>,
}

/// A request for a new lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantLeaseRequest {
    /// Time to live of the lease in milliseconds.
    pub ttl_ms: u64,
}

/// The response to a granted lease request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseGranted {
    /// Id of the lease.
    #[serde(rename = "tenure")]
    pub lease: u64,
}

/// A change that a watch reports.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
// Keeps the error text for a malformed event, which contains the former name of the type.
#[serde(
    untagged,
    expecting = "data did not match any variant of untagged enum Event"
)]
pub enum WatchEvent {
    /// A key was set.
    Put {
        /// The key.
        #[serde(rename = "put")]
        key: String,
        /// Its new value.
        #[serde(rename = "data")]
        value: Value,
        /// Revision of the change.
        #[serde(rename = "stamp")]
        version: u64,
    },
    /// A key was deleted, or its lease expired.
    Delete {
        /// The key.
        #[serde(rename = "remove")]
        key: String,
        /// Revision of the change.
        #[serde(rename = "stamp")]
        version: u64,
    },
}

/// The response to a watch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Changes {
    /// Revision up to which `events` is complete.
    #[serde(rename = "ledger_rev")]
    pub revision: u64,
    /// Changes in the order of their revisions.
    pub events: Vec<WatchEvent>,
}

//! Controller nodes -> state service.

use rmpv::Value;
use serde::{Deserialize, Serialize};

/// A key with its value: of any form, or of the form that its reader expects.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Item<V = Value> {
    #[serde(rename = "path")]
    pub key: String,
    #[serde(rename = "data")]
    pub value: V,
    #[serde(rename = "stamp")]
    pub version: u64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Listing {
    pub items: Vec<Item>,
    #[serde(rename = "truncated", default)]
    pub more: bool,
    #[serde(rename = "ledger_rev")]
    pub revision: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    #[serde(rename = "path")]
    pub key: String,
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// One change of a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Write {
    Put {
        put: String,
        #[serde(rename = "data")]
        value: Value,
        #[serde(rename = "tenure", default, skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    Delete {
        #[serde(rename = "remove")]
        delete: String,
    },
}

#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Txn {
    #[serde(rename = "when")]
    pub conditions: Vec<Condition>,
    pub writes: Vec<Write>,
}

impl Txn {
    /// Adds the condition that `key` still has `version` (0: does not exist).
    pub fn when(mut self, key: impl Into<String>, version: u64) -> Self {
        self.conditions.push(Condition {
            key: key.into(),
            version,
        });
        self
    }

    pub fn put(mut self, key: impl Into<String>, value: Value) -> Self {
        self.writes.push(Write::Put {
            put: key.into(),
            value,
            lease: None,
        });
        self
    }

    pub fn put_leased(mut self, key: impl Into<String>, value: Value, lease: u64) -> Self {
        self.writes.push(Write::Put {
            put: key.into(),
            value,
            lease: Some(lease),
        });
        self
    }

    pub fn delete(mut self, key: impl Into<String>) -> Self {
        self.writes.push(Write::Delete { delete: key.into() });
        self
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Revision {
    #[serde(rename = "ledger_rev")]
    pub revision: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    pub failed: Vec<String>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TouchBody {
    pub ttl_ms: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    #[serde(rename = "tenure")]
    pub lease: u64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Event {
    Put {
        put: String,
        #[serde(rename = "data")]
        value: Value,
        #[serde(rename = "stamp")]
        version: u64,
    },
    Delete {
        #[serde(rename = "remove")]
        delete: String,
        #[serde(rename = "stamp")]
        version: u64,
    },
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Changes {
    #[serde(rename = "ledger_rev")]
    pub revision: u64,
    pub events: Vec<Event>,
}

//! The state service: the calls there are, and the client that carries them out.

mod client;

pub use client::StoreClient;

use crate::wire::store::{Changes, Item, Listing, Txn};

/// One call to the state service.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreCall {
    Get {
        key: String,
    },
    List {
        prefix: String,
        after: Option<String>,
    },
    Commit(Txn),
    Hold {
        ttl_ms: u64,
    },
    Touch {
        lease: u64,
    },
    Drop {
        lease: u64,
    },
    Watch {
        prefix: String,
        after: u64,
        wait_ms: u64,
    },
}

/// What it answered.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreReply {
    /// The key with its value, or nothing.
    Got(Option<Item>),
    Listed(Listing),
    Committed {
        revision: u64,
    },
    Held {
        lease: u64,
    },
    /// A renewal or an early end went through.
    Ok,
    Changed(Changes),
}

/// A record read from under a key.
#[derive(Debug, Clone, PartialEq)]
pub enum Record<T> {
    /// It has the expected form.
    Read { record: T, version: u64 },
    /// It is there, but is of another form.
    Unreadable { version: u64 },
}

#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// Conditions failed on these keys: not executed.
    #[error("conflict on {0:?}")]
    Conflict(Vec<String>),
    /// The lease is over.
    #[error("no such lease")]
    NoLease,
    /// The watch asks for changes that are no longer kept, or for more than is read at once.
    #[error("changes no longer kept, or too many")]
    TooOld,
    /// Refused, certainly not executed (429, 503, or no token of our own).
    #[error("not executed: {0}")]
    Refused(String),
    /// No answer: it may have been executed, or may still be.
    #[error("no answer: {0}")]
    Unknown(String),
    /// The service calls the request malformed, or its answer can't be read.
    #[error("bad request or answer: {0}")]
    Bad(String),
}

/// How a call stands towards the others when tokens are short.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Urgency {
    /// Renewals of the leader's lease: never wait.
    Lease,
    /// The engine's work: waits for a token.
    Engine,
    /// On behalf of a user: refused at once when tokens are short.
    User,
}

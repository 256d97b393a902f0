//! Access to the state service, a consensus-backed key-value store: its calls, replies and errors,
//! and the client that makes the calls.

mod client;
mod error;
mod limits;
mod request;
mod response;

pub use client::StoreClient;
pub use error::{MalformedCause, NotExecutedCause, StoreError, UnknownOutcomeCause};

use crate::wire::store::{Changes, Item, Listing, Transaction};
use std::time::Duration;

/// One call to the state service.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreCall {
    /// Reads one key.
    Get {
        /// The key to read.
        key: String,
    },
    /// Reads a page of the keys with a common prefix.
    List {
        /// Prefix of the keys.
        prefix: String,
        /// The last key of the previous page; `None` for the first page.
        after: Option<String>,
    },
    /// Commits a transaction.
    Commit(Transaction),
    /// Requests a new lease.
    GrantLease {
        /// Time to live of the lease.
        ttl: Duration,
    },
    /// Renews a lease.
    KeepAlive {
        /// Id of the lease.
        lease: u64,
    },
    /// Revokes a lease; the service deletes the keys attached to it.
    RevokeLease {
        /// Id of the lease.
        lease: u64,
    },
    /// Waits until a key with the prefix changes.
    Watch {
        /// Prefix of the keys.
        prefix: String,
        /// Revision after which changes are reported.
        after: u64,
        /// How long to wait for a change.
        wait: Duration,
    },
}

/// The state service's reply to a successful call.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreReply {
    /// The key with its value; `None` if it does not exist.
    Item(Option<Item>),
    /// A page of keys.
    Listing(Listing),
    /// The transaction was committed.
    Committed {
        /// Revision of the transaction's changes.
        revision: u64,
    },
    /// A lease was granted.
    LeaseGranted {
        /// Id of the lease.
        lease: u64,
    },
    /// A lease was renewed or revoked.
    LeaseUpdated,
    /// The changes that a watch reports.
    Changes(Changes),
}

/// A record read from a key.
#[derive(Debug, Clone, PartialEq)]
pub enum Record<T> {
    /// The value under the key has the expected form.
    Read {
        /// The decoded record.
        record: T,
        /// Version of the key.
        version: u64,
    },
    /// The key exists, but its value has another form.
    Unreadable {
        /// Version of the key.
        version: u64,
    },
}

/// Priority of a call, which determines how it is treated when rate-limit tokens run short.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallPriority {
    /// Calls that keeping the leadership depends on. They never wait for tokens.
    Leadership,
    /// The engine's other calls. They wait for tokens.
    Engine,
    /// Calls on behalf of a user. They are refused immediately if too few tokens are available.
    User,
}

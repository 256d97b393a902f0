//! The state service, a consensus-backed key-value store: its calls, and the client that carries
//! them out.

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
        /// The key.
        key: String,
    },
    /// Reads a page of keys.
    List {
        /// Prefix of the keys.
        prefix: String,
        /// The last key of the page before; none for the first page.
        after: Option<String>,
    },
    /// Commits a transaction.
    Commit(Transaction),
    /// Asks for a new lease.
    GrantLease {
        /// Time to live.
        ttl: Duration,
    },
    /// Renews a lease.
    KeepAlive {
        /// The lease.
        lease: u64,
    },
    /// Ends a lease; the keys attached to it are deleted.
    RevokeLease {
        /// The lease.
        lease: u64,
    },
    /// Waits until a key has changed.
    Watch {
        /// Prefix of the keys.
        prefix: String,
        /// Revision after which changes count.
        after: u64,
        /// How long to wait if nothing has changed.
        wait: Duration,
    },
}

/// The state service's reply to a call that succeeded.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreReply {
    /// The key with its value; `None` if it does not exist.
    Item(Option<Item>),
    /// A page of keys.
    Listing(Listing),
    /// The transaction is committed.
    Committed {
        /// Revision of its changes.
        revision: u64,
    },
    /// A lease was granted.
    LeaseGranted {
        /// The lease.
        lease: u64,
    },
    /// A lease was renewed or revoked.
    LeaseUpdated,
    /// What has changed.
    Changes(Changes),
}

/// A record read from a key.
#[derive(Debug, Clone, PartialEq)]
pub enum Record<T> {
    /// The record has the expected form.
    Read {
        /// The record.
        record: T,
        /// Version of its key.
        version: u64,
    },
    /// The key exists, but its value has another form.
    Unreadable {
        /// Version of the key.
        version: u64,
    },
}

/// How a call is treated when rate-limit tokens are short.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallPriority {
    /// Calls that leadership depends on: never wait.
    Leadership,
    /// The engine's other calls: wait for a token.
    Engine,
    /// On behalf of a user: refused at once when tokens are short.
    User,
}

//! Messages between controller nodes.
//!
//! The order of variants and fields determines the encoding. Nodes of other software versions read
//! it, so this order must not change.

use serde::{Deserialize, Serialize};

/// The state that a node announces to its peers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Name of the node.
    pub node: String,
    /// The term in which the node is leader; 0 if it is not the leader.
    pub term: u64,
    /// Whether the state service has recently answered the node.
    pub store_reachable: bool,
}

/// A message from one node to another, or the answer to it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Announces the sender's state; answered with the receiver's announcement.
    Announce(Announcement),
    /// Requests the numbers of completed and running tasks of a job; answered with
    /// [`Message::Counts`], or with [`Message::Nothing`] if the numbers are not known.
    Count {
        /// Id of the job.
        job: String,
    },
    /// Reports the numbers of a job's completed and running tasks.
    Counts {
        /// Number of completed tasks.
        done: u64,
        /// Number of running tasks.
        running: u64,
    },
    /// Acknowledges a message. Also the answer to [`Message::Count`] if the numbers are not known.
    Nothing,
    /// Announces that a job's cancellation is durable; answered with [`Message::Nothing`].
    Cancelled {
        /// Id of the job.
        job: String,
    },
}

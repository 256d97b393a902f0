//! Messages between nodes. Their encoding is the order of variants and fields: other versions
//! read it, so both stay as they are.

use serde::{Deserialize, Serialize};

/// What a node says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Name of the node.
    pub node: String,
    /// The term that it leads with; 0 if it does not lead.
    pub term: u64,
    /// Whether the state service has answered it lately.
    pub store_reachable: bool,
}

/// A message from one node to another, or the answer to it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Answered with the other node's announcement.
    Announce(Announcement),
    /// Asks how many tasks of a job have completed and run; answered with [`Message::Counts`].
    Count {
        /// Id of the job.
        job: String,
    },
    /// Numbers of a job's tasks.
    Counts {
        /// Completed tasks.
        done: u64,
        /// Running tasks.
        running: u64,
    },
    /// An acknowledgement, or the answer to a message that has none.
    Nothing,
    /// A job's cancellation is durable; answered with [`Message::Nothing`].
    Cancelled {
        /// Id of the job.
        job: String,
    },
}

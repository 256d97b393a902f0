//! The format of a recorded script: the commands to an engine process, and their effects.
//!
//! Nothing here names a type of the engine, so that the files stay readable whatever the engine's types
//! are called. Messages of the protocol are kept as their encoded bodies.

use serde::{Deserialize, Serialize};
use std::fmt;

/// All engine processes of one simulated cluster, in the order of their start.
#[derive(Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Script {
    pub(crate) processes: Vec<Process>,
}

/// One engine from its start to its end.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Process {
    /// The settings file, before node name, zone and peers are filled in.
    pub(crate) settings: String,
    /// Which of the nodes this one is, and how many there are.
    pub(crate) node: usize,
    pub(crate) nodes: usize,
    /// Seed of the engine's random generator.
    pub(crate) seed: u64,
    pub(crate) steps: Vec<Step>,
}

/// One call of the engine with its outcome.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Step {
    /// Milliseconds since the process started.
    pub(crate) now: u64,
    /// Time of day, milliseconds.
    pub(crate) unix_time: u64,
    pub(crate) commands: Vec<Command>,
    pub(crate) outcome: Outcome,
}

/// What a step produces.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Outcome {
    pub(crate) effects: Vec<Effect>,
    /// What the node shows of the engine after the step.
    pub(crate) status: Status,
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Command {
    Heartbeat { body: Body, reply: u64 },
    TaskCounts { job: String, reply: u64 },
    StoreAnswer { call: u64, answer: StoreAnswer },
    CloudAnswer { call: u64, answer: CloudAnswer },
    Announcement(Announcement),
    JobCancelled(String),
    BlockedJobState { job: String, reply: u64 },
    UnknownJobs { jobs: Vec<String>, reply: u64 },
}

/// A peer's announcement.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Announcement {
    pub(crate) node: String,
    pub(crate) term: u64,
    pub(crate) store_ok: bool,
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum StoreAnswer {
    Item(Option<Body>),
    Listing(Body),
    Committed { revision: u64 },
    LeaseGranted { lease: u64 },
    Done,
    Changes(Body),
    Conflict(Vec<String>),
    NoLease,
    TooOld,
    Refused(String),
    Unknown(String),
    Bad(String),
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum CloudAnswer {
    Types(Body),
    Rented(Vec<String>),
    Returned,
    Listed(Body),
    NoCapacity,
    Failed(String),
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Effect {
    Reply {
        to: u64,
        reply: Reply,
    },
    Store {
        call: u64,
        urgent: bool,
        request: StoreRequest,
    },
    Cloud {
        call: u64,
        request: CloudRequest,
    },
    WorkerCommands {
        address: String,
        body: Body,
    },
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Reply {
    HeartbeatAnswer(Body),
    Redirect(Option<String>),
    Unavailable,
    TaskCounts { done: u64, running: u64 },
    BlockedJobState(Option<Body>),
    UnknownJobs(Vec<String>),
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum StoreRequest {
    Get {
        key: String,
    },
    List {
        prefix: String,
        after: Option<String>,
    },
    Commit(Body),
    GrantLease {
        ttl_ms: u64,
    },
    RenewLease {
        lease: u64,
    },
    EndLease {
        lease: u64,
    },
    Watch {
        prefix: String,
        after: u64,
        wait_ms: u64,
    },
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum CloudRequest {
    Types,
    Rent(Body),
    Return(Vec<String>),
    List { after: Option<String> },
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Status {
    pub(crate) ready: bool,
    pub(crate) leading: bool,
    pub(crate) term: u64,
    pub(crate) leader: Option<String>,
    pub(crate) types_known: bool,
    pub(crate) store_ok: bool,
}

/// An encoded message of the protocol, kept as bytes and shown decoded.
#[derive(PartialEq, Serialize, Deserialize)]
pub(crate) struct Body(rmpv::Value);

impl Body {
    pub(crate) fn new(bytes: Vec<u8>) -> Body {
        Body(rmpv::Value::Binary(bytes))
    }

    pub(crate) fn bytes(&self) -> &[u8] {
        self.0.as_slice().unwrap()
    }

    pub(crate) fn decoded(&self) -> rmpv::Value {
        rmp_serde::from_slice(self.bytes()).unwrap()
    }
}

impl fmt::Debug for Body {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.decoded())
    }
}

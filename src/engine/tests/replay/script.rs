//! The file format of recorded scripts: the commands to each engine process and their effects.
//!
//! The format uses none of the engine's types, so that renaming those does not make the files
//! unreadable. Protocol messages are stored as their encoded bodies.

use serde::{Deserialize, Serialize};
use std::fmt;

/// All engine processes of one simulated cluster, in the order in which they were started.
#[derive(Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Script {
    pub(crate) processes: Vec<Process>,
}

/// One engine process from its start to its end.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Process {
    /// The settings file, before node name, zone and peers are filled in.
    pub(crate) settings: String,
    /// Index of the node among the `nodes` nodes of the cluster.
    pub(crate) node: usize,
    /// Number of nodes in the cluster.
    pub(crate) nodes: usize,
    /// Seed of the engine's random generator.
    pub(crate) seed: u64,
    pub(crate) steps: Vec<Step>,
}

/// One step of the engine: its input and its outcome.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Step {
    /// Milliseconds since the process started.
    pub(crate) now: u64,
    /// Unix time in milliseconds.
    pub(crate) unix_time: u64,
    pub(crate) commands: Vec<Command>,
    pub(crate) outcome: Outcome,
}

/// The result of a step.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Outcome {
    pub(crate) effects: Vec<Effect>,
    /// The engine's status after the step.
    pub(crate) status: Status,
}

/// A command to the engine.
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

/// The result of a call to the state service.
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

/// The result of a call to the cloud.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum CloudAnswer {
    Types(Body),
    Rented(Vec<String>),
    Returned,
    Listed(Body),
    NoCapacity,
    Failed(String),
}

/// An effect of a step.
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

/// A reply of the engine to a heartbeat or a query.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Reply {
    HeartbeatAnswer(Body),
    Redirect(Option<String>),
    Unavailable,
    TaskCounts { done: u64, running: u64 },
    BlockedJobState(Option<Body>),
    UnknownJobs(Vec<String>),
}

/// A call to the state service.
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

/// A call to the cloud.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum CloudRequest {
    Types,
    Rent(Body),
    Return(Vec<String>),
    List { after: Option<String> },
}

/// The status that the engine reports to its node.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Status {
    pub(crate) ready: bool,
    pub(crate) leading: bool,
    pub(crate) term: u64,
    pub(crate) leader: Option<String>,
    pub(crate) types_known: bool,
    pub(crate) store_ok: bool,
}

/// An encoded protocol message. It is stored as bytes; its `Debug` output shows it decoded.
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

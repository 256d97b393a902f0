//! A simulated cluster with a fake clock: real engines, and a state service, a cloud and workers
//! simulated according to the protocol.
//!
//! The simulation is deterministic: events are handled in the order of their due time, and events
//! with the same due time in the order in which they were scheduled. Invariants are checked against
//! the state of the workers and of the state service, and every violation is recorded.

mod cloud;
mod effects;
mod events;
mod faults;
mod inspection;
mod invariants;
mod network;
mod nodes;
mod recording;
mod settings;
mod state_service;
mod users;
mod workers;

pub(crate) use faults::{Faults, MachineListFault};
pub(crate) use settings::node_settings;
use workers::WorkerConditions;
pub(crate) use workers::{Worker, WorkerTask};

use super::replay::Recorder;
use crate::engine::{Reply, ReplyId};
use crate::wire::user::JobSubmission;
use events::Event;
use nodes::Node;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use state_service::StateService;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// An instant or a duration of the fake clock, in milliseconds.
pub(crate) type Millis = u64;

/// The GPU limit of a team from which on the team's usage is not checked.
pub(crate) const UNLIMITED_GPUS: f64 = 1e6;

/// Maximum number of items on a page of the state service's listings. It is small so that the tests
/// exercise paging.
const PAGE_ITEMS: usize = 5;
/// Maximum number of mutations in a transaction of the state service.
const MAX_MUTATIONS: usize = 24;
/// Maximum size of a value in the state service, in bytes.
const MAX_VALUE_BYTES: usize = 7 * 1024;

/// A worker's heartbeat that has not been answered yet.
struct PendingHeartbeat {
    machine: String,
    sequence: u64,
}

/// The simulated cluster, with its clock and its event queue.
pub(crate) struct SimulatedCluster {
    /// The current time of the fake clock.
    pub(crate) now: Millis,
    /// The last sequence number given to an event or a reply, in order of creation.
    last_sequence: u64,
    events: BTreeMap<(Millis, u64), Event>,
    nodes: Vec<Node>,
    store: StateService,
    /// The workers, by the name of their machine.
    pub(crate) workers: BTreeMap<String, Worker>,
    machines_rented: u64,
    /// The machines rented for each request, by request id. A repeated request gets the same
    /// machines.
    rent_requests: BTreeMap<String, Vec<String>>,
    pending_heartbeats: BTreeMap<ReplyId, PendingHeartbeat>,
    /// All replies except those to heartbeats for which a worker waits.
    query_replies: BTreeMap<ReplyId, Reply>,
    /// The faults that are currently in effect.
    pub(crate) faults: Faults,
    /// All submitted jobs, by id.
    pub(crate) jobs: BTreeMap<String, JobSubmission>,
    /// The cancellation time of each cancelled job.
    pub(crate) cancelled: BTreeMap<String, Millis>,
    /// Descriptions of the invariant violations found so far, each with its time.
    pub(crate) violations: Vec<String>,
    /// Total real time spent in engine steps. It is only measured; no assertion depends on it.
    pub(crate) engine_time: Duration,
    /// The longest engine step in real time, by kind of the step's first command. It is only
    /// measured; no assertion depends on it.
    pub(crate) longest_steps: BTreeMap<&'static str, Duration>,
    /// Number of tasks started on workers so far, counting each attempt.
    pub(crate) starts: u64,
    /// Ids of the tasks that have completed.
    pub(crate) completed_tasks: BTreeSet<String>,
    /// Time by which tasks run longer than their job's expected duration, by task id.
    pub(crate) extra_run_time: BTreeMap<String, Millis>,
    heartbeats_sent: u64,
    /// Number of pages of the machine list that the cloud has returned so far.
    pub(crate) listed_pages: u64,
    /// All machines on which each task has been started, by task id.
    machines_of_task: BTreeMap<String, BTreeSet<String>>,
    /// Ids of the jobs of which at least one task has been started.
    pub(crate) started_jobs: BTreeSet<String>,
    /// Machines returned to the cloud, in the order of their return.
    pub(crate) returned_machines: Vec<String>,
    /// How the workers fetch images and begin gangs.
    pub(crate) worker_conditions: WorkerConditions,
    /// The node to which the workers of new machines send their first heartbeat. If it is `None`,
    /// the nodes take turns.
    pub(crate) initial_node: Option<usize>,
    /// GPU limit of the only team.
    gpus_max: f64,
    /// Maximum number of items on a page of the state service's listings.
    pub(crate) page_items: usize,
    /// Maximum number of mutations in a transaction of the state service.
    pub(crate) max_mutations: usize,
    /// Maximum size of a value in the state service, in bytes.
    pub(crate) max_value_bytes: usize,
    /// TOML lines with the state service's upcoming limits, inserted into the settings file.
    upcoming_limits: &'static str,
    /// Random generator for the jitter of messages and calls.
    pub(crate) jitter_rng: SmallRng,
    /// Commands for one node that are due within this time arrive as one batch. If it is `None`,
    /// each command arrives separately.
    pub(crate) batch_window: Option<Millis>,
    /// Recorder of the engines' steps, while a recording is in progress.
    recorder: Option<Recorder>,
}

impl SimulatedCluster {
    /// Creates a cluster with the given number of nodes, all running, and one team with the given
    /// GPU limit.
    pub(crate) fn new(nodes: usize, gpus_max: f64) -> SimulatedCluster {
        SimulatedCluster::with_upcoming_limits(nodes, gpus_max, "")
    }

    /// Creates a cluster like [`SimulatedCluster::new`], with additional settings for upcoming
    /// limits of the state service.
    pub(crate) fn with_upcoming_limits(
        nodes: usize,
        gpus_max: f64,
        upcoming_limits: &'static str,
    ) -> SimulatedCluster {
        let text = settings::settings_text(gpus_max, upcoming_limits);
        let zone_of = |node| node_settings(&text, node, nodes).zone;
        let mut cluster = SimulatedCluster {
            now: 0,
            last_sequence: 0,
            events: BTreeMap::new(),
            nodes: (0..nodes).map(|node| Node::new(zone_of(node))).collect(),
            store: StateService::default(),
            workers: BTreeMap::new(),
            machines_rented: 0,
            rent_requests: BTreeMap::new(),
            pending_heartbeats: BTreeMap::new(),
            query_replies: BTreeMap::new(),
            faults: Faults::default(),
            jobs: BTreeMap::new(),
            cancelled: BTreeMap::new(),
            violations: Vec::new(),
            engine_time: Duration::ZERO,
            longest_steps: BTreeMap::new(),
            starts: 0,
            completed_tasks: BTreeSet::new(),
            extra_run_time: BTreeMap::new(),
            heartbeats_sent: 0,
            listed_pages: 0,
            machines_of_task: BTreeMap::new(),
            started_jobs: BTreeSet::new(),
            returned_machines: Vec::new(),
            worker_conditions: WorkerConditions::default(),
            initial_node: None,
            gpus_max,
            page_items: PAGE_ITEMS,
            max_mutations: MAX_MUTATIONS,
            max_value_bytes: MAX_VALUE_BYTES,
            upcoming_limits,
            jitter_rng: SmallRng::seed_from_u64(0),
            batch_window: None,
            recorder: None,
        };
        cluster.start_all_nodes();
        cluster
    }

    /// Returns the next sequence number for an event or a reply.
    fn next_sequence(&mut self) -> u64 {
        self.last_sequence += 1;
        self.last_sequence
    }
}

//! A cluster under a fake clock: engines, a state service, a cloud and workers, simulated from the
//! protocol.
//!
//! The simulation is deterministic: events are handled in the order of their time, and of their
//! scheduling where times are equal. It records violated invariants as the workers and the state
//! service see them.

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

/// An instant or a span of the fake clock, in milliseconds.
pub(crate) type Millis = u64;

/// A team's GPU limit from which on it is not checked.
pub(crate) const UNLIMITED_GPUS: f64 = 1e6;

/// Items on a page of the state service's lists: few, so that paging is exercised.
const PAGE_ITEMS: usize = 5;
/// The state service's limit on the mutations of a transaction.
const MAX_MUTATIONS: usize = 24;
/// The state service's limit on the size of a value, in bytes.
const MAX_VALUE_BYTES: usize = 7 * 1024;

/// A worker's heartbeat whose reply is still to come.
struct PendingHeartbeat {
    machine: String,
    sequence: u64,
}

/// The whole cluster, with its clock and its queue of events.
pub(crate) struct SimulatedCluster {
    /// The time now.
    pub(crate) now: Millis,
    /// Numbers events and replies in the order of their creation.
    last_sequence: u64,
    events: BTreeMap<(Millis, u64), Event>,
    nodes: Vec<Node>,
    store: StateService,
    /// The workers by the names of their machines.
    pub(crate) workers: BTreeMap<String, Worker>,
    machines_rented: u64,
    /// The machines of each rent request, which may be repeated.
    rent_requests: BTreeMap<String, Vec<String>>,
    pending_heartbeats: BTreeMap<ReplyId, PendingHeartbeat>,
    /// Replies to anything but heartbeats.
    query_replies: BTreeMap<ReplyId, Reply>,
    /// The faults that are in effect now.
    pub(crate) faults: Faults,
    /// All jobs that were submitted.
    pub(crate) jobs: BTreeMap<String, JobSubmission>,
    /// When each cancelled job was cancelled.
    pub(crate) cancelled: BTreeMap<String, Millis>,
    /// Invariants that were violated so far.
    pub(crate) violations: Vec<String>,
    /// Time that the engines took. Only measurements use it, no test depends on it.
    pub(crate) engine_time: Duration,
    /// The longest engine step by what it begins with; likewise.
    pub(crate) longest_steps: BTreeMap<&'static str, Duration>,
    /// Tasks started so far, each attempt counted.
    pub(crate) starts: u64,
    /// Tasks that have completed.
    pub(crate) completed_tasks: BTreeSet<String>,
    /// Tasks that run for this much longer than their job says.
    pub(crate) extra_run_time: BTreeMap<String, Millis>,
    heartbeats_sent: u64,
    /// Pages of the cloud's machine lists so far.
    pub(crate) listed_pages: u64,
    /// The machines on which each task was ever started.
    machines_of_task: BTreeMap<String, BTreeSet<String>>,
    /// Jobs of which some task was started.
    pub(crate) started_jobs: BTreeSet<String>,
    /// Machines that were returned to the cloud, in that order.
    pub(crate) returned_machines: Vec<String>,
    /// The node to which workers of new machines report first; none: any.
    pub(crate) initial_node: Option<usize>,
    /// GPU limit of the only team.
    gpus_max: f64,
    /// Items on a page of the state service's lists.
    pub(crate) page_items: usize,
    /// The state service's limit on the mutations of a transaction.
    pub(crate) max_mutations: usize,
    /// The state service's limit on the size of a value, in bytes.
    pub(crate) max_value_bytes: usize,
    /// Settings of the state service's upcoming limits, as text.
    upcoming_limits: &'static str,
    /// Decides by how much each message is delayed.
    pub(crate) jitter_rng: SmallRng,
    /// Commands for a node that are due within this time arrive in one batch; none: one by one.
    pub(crate) batch_window: Option<Millis>,
    /// Records the engines' steps, if asked to.
    recorder: Option<Recorder>,
}

impl SimulatedCluster {
    /// A cluster of that many nodes whose only team has that GPU limit.
    pub(crate) fn new(nodes: usize, gpus_max: f64) -> SimulatedCluster {
        SimulatedCluster::with_upcoming_limits(nodes, gpus_max, "")
    }

    /// The same, with settings for upcoming limits of the state service.
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

    /// The next number for an event or a reply.
    fn next_sequence(&mut self) -> u64 {
        self.last_sequence += 1;
        self.last_sequence
    }
}

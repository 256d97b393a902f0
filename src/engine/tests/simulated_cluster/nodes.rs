//! The simulated nodes: starts and crashes of their processes, and the steps of their engines.

use super::events::Event;
use super::settings::{node_name, node_settings, settings_text};
use super::{Millis, SimulatedCluster};
use crate::engine::{Command, Engine};
use crate::model::UnixTime;
use crate::peer::Announcement;
use crate::store::StoreReply;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time from the start of a process to its first announcement to its peers.
const FIRST_ANNOUNCEMENT_AFTER: Millis = 100;
/// Time between two announcements of a node.
const ANNOUNCEMENT_INTERVAL: Millis = 1_000;
/// In fleets of at least this many machines, the engine's snapshots are not checked after every
/// step, but once per [`SNAPSHOT_CHECK_EVENTS`].
const SMALL_FLEET_MACHINES: usize = 100;
/// Interval between two checks of the engine's snapshots in large fleets, counted in events and
/// replies.
const SNAPSHOT_CHECK_EVENTS: u64 = 200;

/// A node. Its process may be down.
pub(super) struct Node {
    /// The engine of the running process; `None` while the process is down.
    pub(super) engine: Option<Engine>,
    /// Number of starts and ends of the node's process so far.
    pub(super) epoch: u64,
    pub(super) zone: String,
    started_at: Millis,
}

impl Node {
    pub(super) fn new(zone: String) -> Node {
        Node {
            engine: None,
            epoch: 0,
            zone,
            started_at: 0,
        }
    }
}

/// Identifies one process of a node, between a start and the next end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ProcessId {
    pub(super) node: usize,
    pub(super) epoch: u64,
}

/// The process that waits for the reply to a call, and its id for the call.
#[derive(Debug, Clone, Copy)]
pub(super) struct Caller {
    pub(super) process: ProcessId,
    pub(super) call_id: u64,
}

/// Describes the first command of a step, or the lack of one.
fn step_kind(command: Option<&Command>) -> &'static str {
    match command {
        None => "a tick",
        Some(Command::Heartbeat { .. }) => "a heartbeat",
        Some(Command::StoreCallCompleted { result, .. }) => match result {
            Ok(StoreReply::Listing(_)) => "a page of records",
            Ok(StoreReply::Changes(_)) => "changes",
            Ok(StoreReply::Committed { .. }) => "a reply to a commit",
            _ => "another reply of the state service",
        },
        Some(Command::CloudCallCompleted { .. }) => "a reply of the cloud",
        Some(_) => "anything else",
    }
}

impl SimulatedCluster {
    /// Starts a node's process with a new engine.
    pub(crate) fn start(&mut self, node: usize) {
        let text = settings_text(self.gpus_max, self.upcoming_limits);
        let settings = Arc::new(node_settings(&text, node, self.nodes.len()));
        self.nodes[node].epoch += 1;
        self.nodes[node].started_at = self.now;
        let seed = self.seed_of(node);
        self.nodes[node].engine = Some(Engine::new(settings, seed));
        self.record_process_start(node);
        self.schedule(0, Event::Tick { node });
        self.schedule(FIRST_ANNOUNCEMENT_AFTER, Event::Announce { node });
    }

    /// Returns the seed for the engine of a node's current process. It depends only on the node and
    /// its epoch, so that every run of a test is the same.
    pub(super) fn seed_of(&self, node: usize) -> u64 {
        node as u64 * 1000 + self.nodes[node].epoch
    }

    /// Ends a node's process without a shutdown.
    pub(crate) fn crash(&mut self, node: usize) {
        self.nodes[node].engine = None;
        self.nodes[node].epoch += 1;
        self.store.remove_watches_of_node(node);
    }

    /// Ends the leader's process and returns its node.
    ///
    /// # Panics
    ///
    /// Panics if there is no leader.
    pub(crate) fn crash_leader(&mut self) -> usize {
        let leader = self.leader().unwrap();
        self.crash(leader);
        leader
    }

    /// Ends the processes of all nodes.
    pub(crate) fn crash_all_nodes(&mut self) {
        for node in 0..self.nodes.len() {
            self.crash(node);
        }
    }

    /// Starts the process of each node whose process is down.
    pub(crate) fn start_all_nodes(&mut self) {
        for node in 0..self.nodes.len() {
            if self.engine(node).is_none() {
                self.start(node);
            }
        }
    }

    /// Ends a node's process, lets the downtime pass, and starts the process again.
    pub(crate) fn restart(&mut self, node: usize, downtime: Millis) {
        self.crash(node);
        self.run(downtime);
        self.start(node);
    }

    /// Returns the leader: of the nodes that consider themselves leader, the one with the highest
    /// term.
    pub(crate) fn leader(&self) -> Option<usize> {
        (0..self.nodes.len())
            .filter(|node| {
                self.engine(*node)
                    .is_some_and(|engine| engine.status().leading)
            })
            .max_by_key(|node| self.engine(*node).map(|engine| engine.status().term))
    }

    /// Returns the leader's term, or 0 if there is no leader.
    pub(crate) fn term(&self) -> u64 {
        let leader = self.leader().and_then(|node| self.engine(node));
        leader.map_or(0, |engine| engine.status().term)
    }

    /// Returns the engine of a node, if its process is running.
    pub(crate) fn engine(&self, node: usize) -> Option<&Engine> {
        self.nodes[node].engine.as_ref()
    }

    /// Returns the id of a node's current process.
    pub(super) fn process_of(&self, node: usize) -> ProcessId {
        let epoch = self.nodes[node].epoch;
        ProcessId { node, epoch }
    }

    /// Sends a node's announcement to all peers that it can reach, and schedules the next one.
    pub(super) fn announce(&mut self, from: usize) {
        let Some(status) = self.engine(from).map(Engine::status) else {
            return;
        };
        for to in 0..self.nodes.len() {
            if to != from && self.are_peers_connected(from, to) {
                let announcement = Announcement {
                    node: node_name(from),
                    term: status.term,
                    store_reachable: status.store_reachable,
                };
                let process = self.process_of(to);
                let command = Command::PeerAnnounced(announcement);
                self.deliver(Event::Command { process, command });
            }
        }
        self.schedule(ANNOUNCEMENT_INTERVAL, Event::Announce { node: from });
    }

    /// Calls the engine of a process with a batch of commands and applies the effects. Does nothing
    /// if the process is no longer running.
    ///
    /// # Panics
    ///
    /// Panics if a machine's snapshot in the engine is stale.
    pub(super) fn step(&mut self, process: ProcessId, batch: Vec<Command>) {
        let node = &mut self.nodes[process.node];
        if node.epoch != process.epoch {
            return;
        }
        let Some(engine) = node.engine.as_mut() else {
            return;
        };
        // The monotonic clock of a process starts at 0 with the process.
        let (uptime, unix_time) = (self.now - node.started_at, self.now);
        let kind = step_kind(batch.first());
        let recording =
            super::recording::Recording::begin(self.recorder.as_mut(), uptime, unix_time, &batch);
        let begun_at = Instant::now();
        let effects = engine.step(
            Duration::from_millis(uptime),
            UnixTime::from_millis(unix_time),
            batch,
        );
        let duration = begun_at.elapsed();
        recording.finish(process.node, &effects, engine);
        self.engine_time += duration;
        let longest = self.longest_steps.entry(kind).or_default();
        *longest = duration.max(*longest);
        let is_small_fleet = self.workers.len() < SMALL_FLEET_MACHINES;
        if is_small_fleet || self.last_sequence.is_multiple_of(SNAPSHOT_CHECK_EVENTS) {
            assert!(engine.snapshots_agree(), "a machine's snapshot is stale");
        }
        for effect in effects {
            self.apply_effect(process, effect);
        }
    }
}

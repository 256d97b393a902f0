//! A rented machine as its leader knows it.

use super::{JobId, MachineId, TaskId, Timestamp};
use crate::constants::TOKEN_BITS;
use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Orders a machine's messages: a larger one is newer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct HeartbeatSequence {
    /// Incarnation of the worker.
    pub incarnation: u64,
    /// Number of the message within the incarnation.
    pub sequence: u64,
}

/// The right to give commands to workers, as they compare it: a leader's term, and below it a
/// count that the leader raises to make a worker send a heartbeat at once.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct FencingToken(pub u64);

impl FencingToken {
    /// The least token of a term.
    pub fn first_of_term(term: u64) -> Self {
        FencingToken(term << TOKEN_BITS)
    }

    /// The term that the token belongs to.
    pub fn term(self) -> u64 {
        self.0 >> TOKEN_BITS
    }

    /// A higher token of the same term; the same one if the term has no more.
    pub fn next(self) -> Self {
        let next = FencingToken(self.0 + 1);
        if next.term() == self.term() {
            next
        } else {
            self
        }
    }
}

/// Where a machine stands between its rental and its return.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachinePhase {
    /// Rented or listed; no heartbeat with this leader's token yet.
    Booting,
    /// Its heartbeats have confirmed this leader's token.
    Up,
    /// Its return is wanted or in flight; it accepts nothing.
    Returning,
}

/// A machine of the leader's fleet.
#[derive(Debug, Clone)]
pub struct Machine {
    /// Name of the machine.
    pub id: MachineId,
    /// Where its worker takes direct commands, once a heartbeat has told.
    pub address: Option<SocketAddr>,
    /// Machine type; empty until a heartbeat or the cloud's list has told.
    pub machine_type: Arc<str>,
    /// Zone; empty until a heartbeat or the cloud's list has told.
    pub zone: Arc<str>,
    /// Whether it is a spot instance.
    pub spot: bool,
    /// Where it stands.
    pub phase: MachinePhase,
    /// When it was rented, as far as known.
    pub rented_at: Timestamp,
    /// When it last proved that it is alive and receives responses, or became known.
    pub last_confirmed_at: Timestamp,
    /// The newest heartbeat.
    pub heartbeat_sequence: HeartbeatSequence,
    /// The highest token that it has seen or been sent in this leader's term.
    pub fencing_token: FencingToken,
    /// When it was last sent a higher token to make it send a heartbeat.
    pub heartbeat_requested_at: Option<Timestamp>,
    /// When its newest heartbeat came in. By itself no sign of life: heartbeats come late, and come
    /// from machines that responses don't reach.
    pub last_heartbeat_at: Timestamp,
    /// Whether its newest heartbeat proves that it is alive and receives responses. Without that
    /// it is given nothing to do.
    pub responsive: bool,
    /// Direct commands sent since its newest heartbeat; each that was executed raises its
    /// sequence number.
    pub direct_commands: u64,
    /// Whether the cloud has named it: else it may be known by a late heartbeat of a machine that
    /// is long gone.
    pub confirmed_by_cloud: bool,
    /// When the cloud takes a spot instance back, if it has given notice.
    pub preemption_at: Option<Timestamp>,
    /// Tasks placed on it.
    pub tasks: BTreeSet<TaskId>,
    /// Tasks in its newest heartbeat that are not placed there, with their attempts: they are
    /// being stopped.
    pub orphaned_tasks: BTreeSet<(TaskId, u64)>,
    /// Images that it has, with their sizes in GB; the most recently used is last.
    pub images: VecDeque<(Arc<str>, f64)>,
    /// Jobs whose tasks failed on it since a task last completed there.
    pub failed_jobs: BTreeSet<JobId>,
    /// Accepts nothing more because tasks fail on it; returned when empty.
    pub quarantined: bool,
    /// Accepts nothing more because its replicas move to other machines; returned when empty.
    pub draining: bool,
    /// Since when it holds nothing.
    pub idle_since: Timestamp,
}

impl Machine {
    /// A machine that became known at `now`, of which no heartbeat has come yet.
    pub fn new(
        id: MachineId,
        machine_type: Arc<str>,
        zone: Arc<str>,
        spot: bool,
        now: Timestamp,
    ) -> Self {
        Machine {
            id,
            address: None,
            machine_type,
            zone,
            spot,
            phase: MachinePhase::Booting,
            rented_at: now,
            last_confirmed_at: now,
            heartbeat_sequence: HeartbeatSequence::default(),
            fencing_token: FencingToken::default(),
            heartbeat_requested_at: None,
            last_heartbeat_at: now,
            responsive: false,
            direct_commands: 0,
            confirmed_by_cloud: false,
            preemption_at: None,
            tasks: BTreeSet::new(),
            orphaned_tasks: BTreeSet::new(),
            images: VecDeque::new(),
            failed_jobs: BTreeSet::new(),
            quarantined: false,
            draining: false,
            idle_since: now,
        }
    }

    /// A machine of which only the name is known: type and zone follow with its first heartbeat
    /// or with the cloud's list.
    pub fn unidentified(id: MachineId, spot: bool, now: Timestamp) -> Self {
        Machine::new(id, "".into(), "".into(), spot, now)
    }

    /// Records a heartbeat newer than all before. One that follows the last within `deadline`,
    /// with none to another node between, shows that the worker received the last response. Any
    /// other may be from a machine that responses don't reach (it asks other nodes in turn), or a
    /// late copy from one that is gone: it proves nothing.
    pub fn record_heartbeat(
        &mut self,
        sequence: HeartbeatSequence,
        token_confirmed: bool,
        now: Timestamp,
        deadline: Duration,
    ) {
        let first = token_confirmed && self.phase == MachinePhase::Booting;
        let next_expected = self.heartbeat_sequence.sequence + 1 + self.direct_commands;
        let follows = sequence.incarnation == self.heartbeat_sequence.incarnation
            && sequence.sequence <= next_expected
            && now <= self.last_heartbeat_at + deadline;
        self.responsive = token_confirmed && (first || follows);
        if self.responsive {
            self.last_confirmed_at = now;
        }
        self.heartbeat_sequence = sequence;
        self.last_heartbeat_at = now;
        self.direct_commands = 0;
    }

    /// Whether it has the image.
    pub fn has_image(&self, image: &str) -> bool {
        self.images.iter().any(|(name, _)| &**name == image)
    }

    /// Records that it has used an image, and evicts the least recently used ones beyond its cache.
    pub fn record_image_use(&mut self, image: &Arc<str>, image_gb: f64, cache_gb: f64) {
        self.images.retain(|(name, _)| name != image);
        self.images.push_back((image.clone(), image_gb));
        let mut total_gb: f64 = self.images.iter().map(|(_, gb)| gb).sum();
        while total_gb > cache_gb && self.images.len() > 1 {
            total_gb -= self.images.pop_front().map_or(0.0, |(_, gb)| gb);
        }
    }

    /// Whether nothing is on it, placed or orphaned.
    pub fn is_empty(&self) -> bool {
        self.tasks.is_empty() && self.orphaned_tasks.is_empty()
    }

    /// Whether it accepts new tasks, apart from available resources.
    pub fn accepts_tasks(&self) -> bool {
        self.phase == MachinePhase::Up
            && self.responsive
            && !self.quarantined
            && !self.draining
            && self.preemption_at.is_none()
            && self.orphaned_tasks.is_empty()
    }
}

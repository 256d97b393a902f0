//! A rented machine, with the state that the leader maintains for it.

use super::{JobId, MachineId, TaskId, Timestamp};
use crate::constants::TOKEN_BITS;
use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Position of a message in the order of a machine's messages; a larger value is newer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct HeartbeatSequence {
    /// Incarnation of the worker.
    pub incarnation: u64,
    /// Sequence number of the message within the incarnation.
    pub sequence: u64,
}

/// A fencing token, which workers compare to reject commands of superseded leaders.
///
/// The high bits hold the leader's term. The low [`TOKEN_BITS`] bits hold a counter that the leader
/// raises to make a worker send a heartbeat immediately.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct FencingToken(pub u64);

impl FencingToken {
    /// Returns the lowest token of a term.
    pub fn first_of_term(term: u64) -> Self {
        FencingToken(term << TOKEN_BITS)
    }

    /// Returns the term that the token belongs to.
    pub fn term(self) -> u64 {
        self.0 >> TOKEN_BITS
    }

    /// Returns the next higher token of the same term, or the token itself if it is the last of its
    /// term.
    pub fn next(self) -> Self {
        let next = FencingToken(self.0 + 1);
        if next.term() == self.term() {
            next
        } else {
            self
        }
    }
}

/// Phase of a machine's life cycle between its rental and its return.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachinePhase {
    /// The machine is rented or in the cloud's list, and no heartbeat has carried this leader's
    /// token yet.
    Booting,
    /// A heartbeat of the machine has confirmed this leader's token.
    Up,
    /// The return of the machine is planned or in progress; the machine accepts no tasks.
    Returning,
}

/// Why a machine is quarantined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Quarantine {
    /// Tasks of several jobs have failed on the machine. The jobs may be at fault.
    Suspected,
    /// A job has failed on the machine and then completed a task on another one.
    Proven,
}

/// A machine of the leader's fleet.
#[derive(Debug, Clone)]
pub struct Machine {
    /// Name of the machine, chosen by the cloud.
    pub id: MachineId,
    /// Address at which the worker takes direct commands; `None` until a heartbeat reports it.
    pub address: Option<SocketAddr>,
    /// Name of the machine type; empty until a heartbeat or the cloud's list reports it.
    pub machine_type: Arc<str>,
    /// Zone of the machine; empty until a heartbeat or the cloud's list reports it.
    pub zone: Arc<str>,
    /// Whether the machine is a spot instance.
    pub spot: bool,
    /// Phase of the machine's life cycle.
    pub phase: MachinePhase,
    /// When the machine was rented, or the best available estimate of that time.
    pub rented_at: Timestamp,
    /// When a heartbeat last proved that the machine is alive and receives responses; before the
    /// first such heartbeat, when the machine was first observed.
    pub last_confirmed_at: Timestamp,
    /// Sequence of the newest heartbeat.
    pub heartbeat_sequence: HeartbeatSequence,
    /// The highest token of this leader's term that the machine has seen or been sent.
    pub fencing_token: FencingToken,
    /// When the machine was last sent a higher token to make it send a heartbeat.
    pub heartbeat_requested_at: Option<Timestamp>,
    /// When the newest heartbeat arrived.
    ///
    /// This alone does not prove that the machine is alive: heartbeats may be delayed, and machines
    /// that do not receive responses send heartbeats too.
    pub last_heartbeat_at: Timestamp,
    /// Whether the newest heartbeat proves that the machine is alive and receives responses.
    /// Without this proof, no tasks are placed on the machine.
    pub responsive: bool,
    /// Number of direct commands sent since the newest heartbeat. The worker raises its sequence
    /// number with each command that it executes.
    pub direct_commands: u64,
    /// Whether the cloud has confirmed that the machine exists. If not, the only evidence may be a
    /// delayed heartbeat of a machine that was returned long ago.
    pub confirmed_by_cloud: bool,
    /// When the cloud preempts the spot instance, if it has given notice.
    pub preemption_at: Option<Timestamp>,
    /// Tasks placed on the machine.
    pub tasks: BTreeSet<TaskId>,
    /// Tasks in the newest heartbeat that are not placed on the machine, with their attempt
    /// numbers. They are being stopped.
    pub orphaned_tasks: BTreeSet<(TaskId, u64)>,
    /// Images cached on the machine with their sizes in GB, the most recently used last.
    pub images: VecDeque<(Arc<str>, f64)>,
    /// Jobs whose tasks have failed on the machine since a task last completed there, without those
    /// that have turned out to fail on every machine.
    pub failed_jobs: BTreeSet<JobId>,
    /// Why the machine is quarantined, if it is. A quarantined machine accepts no tasks and is
    /// returned when it is empty.
    pub quarantine: Option<Quarantine>,
    /// Whether the machine is being drained by moving its replicas to other machines. A draining
    /// machine accepts no tasks and is returned when it is empty.
    pub draining: bool,
    /// When a task was last placed on the machine, or when the machine was first observed or came
    /// up, whichever is latest. Idle time counts from then while the machine is empty.
    pub idle_since: Timestamp,
}

impl Machine {
    /// Creates a machine that is first observed at `now` and has sent no heartbeat yet.
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
            quarantine: None,
            draining: false,
            idle_since: now,
        }
    }

    /// Creates a machine without type and zone; the first heartbeat or the cloud's list supplies
    /// them.
    pub fn unidentified(id: MachineId, spot: bool, now: Timestamp) -> Self {
        Machine::new(id, "".into(), "".into(), spot, now)
    }

    /// Records a heartbeat that is newer than all earlier ones, and updates
    /// [`Machine::responsive`].
    ///
    /// A heartbeat proves that the machine is alive and receives responses if it confirms this
    /// leader's token and is either the first to do so or follows the previous heartbeat within
    /// `deadline`, without a heartbeat to another node in between. Any other heartbeat proves
    /// nothing: it may come from a machine that receives no responses and therefore tries the other
    /// nodes in turn, or be a delayed copy from a machine that no longer exists.
    pub fn record_heartbeat(
        &mut self,
        sequence: HeartbeatSequence,
        token_confirmed: bool,
        now: Timestamp,
        deadline: Duration,
    ) {
        let is_first_confirmation = token_confirmed && self.phase == MachinePhase::Booting;
        let max_next_sequence = self.heartbeat_sequence.sequence + 1 + self.direct_commands;
        let follows_previous = sequence.incarnation == self.heartbeat_sequence.incarnation
            && sequence.sequence <= max_next_sequence
            && now <= self.last_heartbeat_at + deadline;
        self.responsive = token_confirmed && (is_first_confirmation || follows_previous);
        if self.responsive {
            self.last_confirmed_at = now;
        }
        self.heartbeat_sequence = sequence;
        self.last_heartbeat_at = now;
        self.direct_commands = 0;
    }

    /// Reports whether the image is cached on the machine.
    pub fn has_image(&self, image: &str) -> bool {
        self.images.iter().any(|(name, _)| &**name == image)
    }

    /// Records the use of an image, and evicts the least recently used images while the total
    /// exceeds `cache_gb`. The image just used is never evicted.
    pub fn record_image_use(&mut self, image: &Arc<str>, image_gb: f64, cache_gb: f64) {
        self.images.retain(|(name, _)| name != image);
        self.images.push_back((image.clone(), image_gb));
        let mut total_gb: f64 = self.images.iter().map(|(_, gb)| gb).sum();
        while total_gb > cache_gb && self.images.len() > 1 {
            total_gb -= self.images.pop_front().map_or(0.0, |(_, gb)| gb);
        }
    }

    /// Reports whether no task, placed or orphaned, is on the machine.
    pub fn is_empty(&self) -> bool {
        self.tasks.is_empty() && self.orphaned_tasks.is_empty()
    }

    /// Reports whether the machine accepts new tasks, regardless of its available resources.
    pub fn accepts_tasks(&self) -> bool {
        self.phase == MachinePhase::Up
            && self.responsive
            && self.quarantine.is_none()
            && !self.draining
            && self.preemption_at.is_none()
            && self.orphaned_tasks.is_empty()
    }
}

//! A rented machine as this leader knows it.

use super::{JobId, MachineId, Ms, TaskId};
use crate::constants::TOKEN_BITS;
use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

/// Orders a machine's messages: a larger one is newer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct HeartbeatSequence {
    pub incarnation: u64,
    pub sequence: u64,
}

/// The right to give orders to workers, as they compare it: a leader's term, and a count below
/// it that the leader raises to make a worker report at once.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct FencingToken(pub u64);

impl FencingToken {
    /// The least token of a term.
    pub fn first_of_term(term: u64) -> Self {
        FencingToken(term << TOKEN_BITS)
    }

    pub fn term(self) -> u64 {
        self.0 >> TOKEN_BITS
    }

    /// A higher one of the same term; the same one if the term has no more.
    pub fn next(self) -> Self {
        let next = FencingToken(self.0 + 1);
        if next.term() == self.term() {
            next
        } else {
            self
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachinePhase {
    /// Rented or listed; no report with our token yet.
    Booting,
    /// Reports to us and has confirmed our token.
    Up,
    /// A return is asked for or under way; takes nothing.
    Returning,
}

#[derive(Debug, Clone)]
pub struct Machine {
    pub id: MachineId,
    pub address: Option<std::net::SocketAddr>,
    pub machine_type: Arc<str>,
    pub zone: Arc<str>,
    pub spot: bool,
    pub phase: MachinePhase,
    /// When it was rented, as far as known.
    pub rented_at: Ms,
    /// When it last proved that it is alive and that our answers reach it (or we learnt of it).
    pub last_confirmed_at: Ms,
    pub heartbeat_sequence: HeartbeatSequence,
    /// The highest token it has seen or been sent in this leader's term.
    pub fencing_token: FencingToken,
    /// When it was last sent a higher token to make it report.
    pub heartbeat_requested_at: Option<Ms>,
    /// When its newest report came in: by itself no sign of life, since reports come late, and
    /// come from machines that our answers don't reach.
    pub last_heartbeat_at: Ms,
    /// Whether its newest report is such a proof. Without one it is given nothing to do.
    pub responsive: bool,
    /// Orders sent directly since its newest report; each that was executed raises its seq_no.
    pub direct_commands: u64,
    /// The cloud has named it: it is more than a report of a machine that may be long gone.
    pub confirmed_by_cloud: bool,
    /// When the cloud takes it away.
    pub preemption_at: Option<Ms>,
    /// Tasks placed on it.
    pub tasks: BTreeSet<TaskId>,
    /// Tasks it reports that are not placed there, with their attempts: they are being stopped.
    pub orphaned_tasks: BTreeSet<(TaskId, u64)>,
    /// Images it has, most recently used last.
    pub images: VecDeque<(Arc<str>, f64)>,
    /// Jobs whose tasks failed here since a task last completed.
    pub failed_jobs: BTreeSet<JobId>,
    /// Takes nothing more, because tasks fail on it; returned when empty.
    pub quarantined: bool,
    /// Takes nothing more, because its replicas are moved to other machines; returned when empty.
    pub draining: bool,
    /// Since when it holds nothing.
    pub idle_since: Ms,
}

impl Machine {
    pub fn new(id: MachineId, machine_type: Arc<str>, zone: Arc<str>, spot: bool, now: Ms) -> Self {
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

    /// Takes note of a report newer than all before. One that follows the last within the time
    /// that a worker takes, with no report to anyone else between, shows that the worker took the
    /// last answer. Any other may be from a machine that our answers don't reach (it asks other
    /// nodes in turn), or a late copy from one that is gone: it proves nothing, and the next one
    /// is waited for.
    pub fn record_heartbeat(
        &mut self,
        heartbeat_sequence: HeartbeatSequence,
        confirmed: bool,
        now: Ms,
        on_time: Ms,
    ) {
        let first = confirmed && self.phase == MachinePhase::Booting;
        let next = heartbeat_sequence.incarnation == self.heartbeat_sequence.incarnation
            && heartbeat_sequence.sequence
                <= self.heartbeat_sequence.sequence + 1 + self.direct_commands
            && now <= self.last_heartbeat_at + on_time;
        self.responsive = confirmed && (first || next);
        if self.responsive {
            self.last_confirmed_at = now;
        }
        self.heartbeat_sequence = heartbeat_sequence;
        self.last_heartbeat_at = now;
        self.direct_commands = 0;
    }

    pub fn has_image(&self, image: &str) -> bool {
        self.images.iter().any(|(name, _)| &**name == image)
    }

    /// Notes that the machine has used an image; drops the least recently used past its cache.
    pub fn use_image(&mut self, image: &Arc<str>, gb: f64, cache_gb: f64) {
        self.images.retain(|(name, _)| name != image);
        self.images.push_back((image.clone(), gb));
        let mut total: f64 = self.images.iter().map(|(_, gb)| gb).sum();
        while total > cache_gb && self.images.len() > 1 {
            total -= self.images.pop_front().map_or(0.0, |(_, gb)| gb);
        }
    }

    /// Whether nothing is on it, placed or orphaned.
    pub fn is_empty(&self) -> bool {
        self.tasks.is_empty() && self.orphaned_tasks.is_empty()
    }

    /// Whether it takes new tasks, apart from room.
    pub fn accepts_tasks(&self) -> bool {
        self.phase == MachinePhase::Up
            && self.responsive
            && !self.quarantined
            && !self.draining
            && self.preemption_at.is_none()
            && self.orphaned_tasks.is_empty()
    }
}

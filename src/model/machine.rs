//! A rented machine as this leader knows it.

use super::{JobId, MachineId, Ms, TaskId};
use crate::constants::TOKEN_BITS;
use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

/// Orders a machine's messages: a larger one is newer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct SeqNo {
    pub session: u64,
    pub seq: u64,
}

/// The right to give orders to workers, as they compare it: a leader's term, and a count below
/// it that the leader raises to make a worker report at once.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Token(pub u64);

impl Token {
    /// The least token of a term.
    pub fn first(term: u64) -> Self {
        Token(term << TOKEN_BITS)
    }

    pub fn term(self) -> u64 {
        self.0 >> TOKEN_BITS
    }

    /// A higher one of the same term; the same one if the term has no more.
    pub fn next(self) -> Self {
        let next = Token(self.0 + 1);
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
    pub addr: Option<std::net::SocketAddr>,
    pub machine_type: Arc<str>,
    pub zone: Arc<str>,
    pub spot: bool,
    pub phase: MachinePhase,
    /// When it was rented, as far as known.
    pub rented: Ms,
    /// When it last proved that it is alive and that our answers reach it (or we learnt of it).
    pub seen: Ms,
    pub seq_no: SeqNo,
    /// The highest token it has seen or been sent in this leader's term.
    pub token: Token,
    /// When it was last sent a higher token to make it report.
    pub report_requested: Option<Ms>,
    /// When its newest report came in: by itself no sign of life, since reports come late, and
    /// come from machines that our answers don't reach.
    pub received: Ms,
    /// Whether its newest report is such a proof. Without one it is given nothing to do.
    pub heard: bool,
    /// Orders sent directly since its newest report; each that was executed raises its seq_no.
    pub direct: u64,
    /// The cloud has named it: it is more than a report of a machine that may be long gone.
    pub vouched: bool,
    /// When the cloud takes it away.
    pub taken_at: Option<Ms>,
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
            addr: None,
            machine_type,
            zone,
            spot,
            phase: MachinePhase::Booting,
            rented: now,
            seen: now,
            seq_no: SeqNo::default(),
            token: Token::default(),
            report_requested: None,
            received: now,
            heard: false,
            direct: 0,
            vouched: false,
            taken_at: None,
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
    pub fn note_report(&mut self, seq_no: SeqNo, confirmed: bool, now: Ms, on_time: Ms) {
        let first = confirmed && self.phase == MachinePhase::Booting;
        let next = seq_no.session == self.seq_no.session
            && seq_no.seq <= self.seq_no.seq + 1 + self.direct
            && now <= self.received + on_time;
        self.heard = confirmed && (first || next);
        if self.heard {
            self.seen = now;
        }
        self.seq_no = seq_no;
        self.received = now;
        self.direct = 0;
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
    pub fn takes_tasks(&self) -> bool {
        self.phase == MachinePhase::Up
            && self.heard
            && !self.quarantined
            && !self.draining
            && self.taken_at.is_none()
            && self.orphaned_tasks.is_empty()
    }
}

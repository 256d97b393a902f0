//! A job, its tasks, and where they are.

use crate::constants::{AGED_MS, FAILURES_AGED, NO_DEADLINE_MS};

use super::{MachineId, Ms, Resources, SeqNo, TaskSet};
use crate::wire::user::{self, Kind, Priority};
use crate::wire::worker::TaskState;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// A submission in whole units.
#[derive(Debug, Clone, PartialEq)]
pub struct Spec {
    pub class: Arc<str>,
    pub team: Arc<str>,
    pub kind: Kind,
    pub priority: Priority,
    pub tasks: u32,
    pub need: Resources,
    pub image: Arc<str>,
    pub image_gb: f64,
    pub types: Option<Vec<Arc<str>>>,
    pub zone: Option<Arc<str>>,
    pub one_zone: bool,
    pub spread: bool,
    pub spot: bool,
    pub estimate_ms: u64,
    pub deadline_ms: Option<u64>,
    pub checkpoint_ms: u64,
    pub save_s: f64,
}

impl Spec {
    pub fn read(job: &user::Job) -> Self {
        Spec {
            class: job.class.as_str().into(),
            team: job.team.as_str().into(),
            kind: job.kind,
            priority: job.priority,
            tasks: job.tasks.min(user::MAX_TASKS) as u32,
            need: Resources::demand(job.cpus, job.gpus, job.memory_gb),
            image: job.image.as_str().into(),
            image_gb: job.image_gb,
            types: job
                .types
                .as_ref()
                .map(|types| types.iter().map(|t| t.as_str().into()).collect()),
            zone: job.zone.as_deref().map(Into::into),
            one_zone: job.one_zone,
            spread: job.spread,
            spot: job.spot,
            estimate_ms: (job.estimate_s * 1000.0) as u64,
            deadline_ms: job.deadline_s.map(|s| (s * 1000.0) as u64),
            checkpoint_ms: (job.checkpoint_s * 1000.0) as u64,
            save_s: job.save_s,
        }
    }

    /// Most tasks that may be in one zone.
    pub fn zone_most(&self) -> u32 {
        if self.spread {
            self.tasks.div_ceil(2)
        } else {
            self.tasks
        }
    }

    /// Everything the job would use at once.
    pub fn whole(&self) -> Resources {
        self.need.times(u64::from(self.tasks))
    }

    /// What must fit within a team's limit for the job to be able to run at all.
    pub fn least(&self) -> Resources {
        match self.kind {
            Kind::Array => self.need,
            Kind::Gang | Kind::Service => self.whole(),
        }
    }

    /// When it should be complete if it was submitted then, time of day, ms.
    pub fn due(&self, submitted: u64) -> u64 {
        submitted.saturating_add(self.deadline_ms.unwrap_or(NO_DEADLINE_MS))
    }

    /// Grace for an orderly stop, s: enough to save.
    pub fn grace_s(&self) -> u64 {
        if self.checkpoint_ms == 0 {
            0
        } else {
            self.save_s.ceil() as u64 + 1
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Accepted; runs or waits.
    Open,
    /// Its user cancelled it; durable.
    Cancelled,
    /// All tasks are done; `written` once that is durable.
    Done { written: bool },
}

/// Where a placed task stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Its round is being written.
    Planned,
    /// Its round is durable. `sent`: the report whose response carried the start.
    Starting { sent: Option<SeqNo>, resends: u32 },
    /// A report named it.
    Up(TaskState),
}

/// An order to stop, repeated until the task is gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stop {
    pub grace_s: u64,
    pub at: Ms,
}

/// A task that is, or may be, on a machine. It counts for every rule until it surely is not.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Placement {
    pub machine: MachineId,
    pub attempt: u64,
    pub stage: Stage,
    pub since: Ms,
    pub stop: Option<Stop>,
}

#[derive(Debug, Clone)]
pub struct Job {
    pub spec: Spec,
    /// Version of its record in the state service.
    pub version: u64,
    pub phase: Phase,
    /// Time of day of its submission, ms; orders jobs across nodes.
    pub submitted: u64,
    /// Time of day from which it could run, ms: when it was submitted, or when the last job that it
    /// awaited was done.
    pub ready: u64,
    /// The highest priority and the earliest due time of the jobs that need it, directly or through
    /// others: users set both on the last job of a pipeline only.
    pub needed: Option<(Priority, u64)>,
    pub done: TaskSet,
    /// Tasks whose end is durable.
    pub written: TaskSet,
    /// The records of that, with their versions.
    pub progress: BTreeMap<String, u64>,
    /// Tasks that wait to be placed.
    pub pending: TaskSet,
    pub live: BTreeMap<u32, Placement>,
    /// Failures in a row, and when the job may start tasks again.
    pub failures: u32,
    pub not_before: Ms,
    /// Machines on which its tasks failed since one last completed.
    pub failed_on: BTreeSet<MachineId>,
    /// First known here at.
    pub seen: Ms,
}

impl Job {
    pub fn new(spec: Spec, version: u64, submitted: u64, phase: Phase, seen: Ms) -> Self {
        let pending = TaskSet::full(spec.tasks);
        Job {
            spec,
            version,
            phase,
            submitted,
            ready: submitted,
            needed: None,
            done: TaskSet::default(),
            written: TaskSet::default(),
            progress: BTreeMap::new(),
            pending,
            live: BTreeMap::new(),
            failures: 0,
            not_before: 0,
            failed_on: BTreeSet::new(),
            seen,
        }
    }

    /// When it should be complete, time of day, ms: by its owner, or long after submission; or when
    /// a job that needs it should be.
    pub fn due(&self) -> u64 {
        let own = self.spec.due(self.submitted);
        self.needed.map_or(own, |(_, due)| own.min(due))
    }

    /// Its own priority, or that of a job that needs it.
    pub fn priority(&self) -> Priority {
        let own = self.spec.priority;
        self.needed.map_or(own, |(priority, _)| own.max(priority))
    }

    /// Whether nothing of it has run or runs although it could have long before `wall` (time of
    /// day, ms). One that keeps failing waits for a reason of its own.
    pub fn is_aged(&self, wall: u64) -> bool {
        self.live.is_empty()
            && self.done.is_empty()
            && self.failures < FAILURES_AGED
            && wall.saturating_sub(self.ready) > AGED_MS
    }

    pub fn is_open(&self) -> bool {
        self.phase == Phase::Open
    }

    pub fn is_gang(&self) -> bool {
        self.spec.kind == Kind::Gang
    }

    /// What its placed tasks hold.
    pub fn held(&self) -> Resources {
        self.spec.need.times(self.live.len() as u64)
    }

    /// Records a task as completed; true if that completes the job.
    pub fn complete(&mut self, index: u32) -> bool {
        if index >= self.spec.tasks || self.spec.kind == Kind::Service || !self.is_open() {
            return false;
        }
        if self.is_gang() {
            // The tasks of a gang complete together.
            self.done = TaskSet::full(self.spec.tasks);
            self.pending = TaskSet::default();
        } else {
            self.done.insert(index);
            self.pending.remove(index);
        }
        let all = self.done.len() == u64::from(self.spec.tasks);
        if all {
            self.phase = Phase::Done { written: false };
        }
        all
    }

    /// Takes a task off its machine, to which it surely no longer belongs; it waits again
    /// unless it is done.
    pub fn take_off(&mut self, index: u32) -> Option<Placement> {
        let placement = self.live.remove(&index)?;
        if !self.done.contains(index) {
            self.pending.insert(index);
        }
        Some(placement)
    }

    /// Tells all placed tasks to stop (an earlier, shorter grace stands).
    pub fn stop_all(&mut self, grace_s: u64, now: Ms) {
        for placement in self.live.values_mut() {
            placement.order_stop(grace_s, now);
        }
    }

    pub fn running(&self) -> u64 {
        self.live
            .values()
            .filter(|p| matches!(p.stage, Stage::Up(TaskState::Running)))
            .count() as u64
    }
}

impl Placement {
    pub fn order_stop(&mut self, grace_s: u64, now: Ms) {
        match &mut self.stop {
            Some(stop) => stop.grace_s = stop.grace_s.min(grace_s),
            None => self.stop = Some(Stop { grace_s, at: now }),
        }
    }
}

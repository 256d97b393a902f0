//! A job, its tasks, and where they are.

use super::{
    JobSpec, MachineId, Placement, PlacementStage, Resources, TaskSet, Timestamp, UnixTime,
};
use crate::constants::{STARVATION_MAX_FAILURES, STARVATION_THRESHOLD};
use crate::wire::user::{JobKind, Priority};
use crate::wire::worker::TaskState;
use std::collections::{BTreeMap, BTreeSet};

/// Where a job stands between its submission and its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobPhase {
    /// Accepted; runs or waits.
    Open,
    /// Cancelled, durably.
    Cancelled,
    /// All tasks have completed.
    Done {
        /// Whether that is durable.
        recorded: bool,
    },
}

/// The highest priority and the earliest deadline of the jobs that depend on a job, directly or
/// through others: users set both on the last job of a pipeline only.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InheritedUrgency {
    /// Highest priority.
    pub priority: Priority,
    /// Earliest deadline.
    pub deadline: UnixTime,
}

impl InheritedUrgency {
    /// The more urgent of both in each respect.
    pub fn most_urgent(self, other: InheritedUrgency) -> InheritedUrgency {
        InheritedUrgency {
            priority: self.priority.max(other.priority),
            deadline: self.deadline.min(other.deadline),
        }
    }
}

/// A job that may run, as this node knows it.
#[derive(Debug, Clone)]
pub struct Job {
    /// What it asks for.
    pub spec: JobSpec,
    /// Version of its record in the state service.
    pub version: u64,
    /// Where it stands.
    pub phase: JobPhase,
    /// When it was submitted; orders jobs in the same way on all nodes.
    pub submitted_at: UnixTime,
    /// When it could first run: when it was submitted, or when its last dependency was done.
    pub ready_at: UnixTime,
    /// Urgency of the jobs that depend on it.
    pub inherited: Option<InheritedUrgency>,
    /// Tasks that have completed.
    pub completed: TaskSet,
    /// Tasks whose completion is durable.
    pub durable_completions: TaskSet,
    /// Keys of the records of durable completions, with their versions.
    pub progress_records: BTreeMap<String, u64>,
    /// Tasks that wait to be placed.
    pub pending: TaskSet,
    /// Tasks that are or may be on machines, by index.
    pub placements: BTreeMap<u32, Placement>,
    /// Task failures in a row.
    pub consecutive_failures: u32,
    /// No task starts before.
    pub backoff_until: Timestamp,
    /// Machines on which its tasks failed since one last completed.
    pub failed_on: BTreeSet<MachineId>,
    /// When this node first knew of it.
    pub first_seen_at: Timestamp,
}

impl Job {
    /// A job of which nothing is placed or completed.
    pub fn new(
        spec: JobSpec,
        version: u64,
        submitted_at: UnixTime,
        phase: JobPhase,
        first_seen_at: Timestamp,
    ) -> Self {
        let pending = TaskSet::full(spec.tasks);
        Job {
            spec,
            version,
            phase,
            submitted_at,
            ready_at: submitted_at,
            inherited: None,
            completed: TaskSet::default(),
            durable_completions: TaskSet::default(),
            progress_records: BTreeMap::new(),
            pending,
            placements: BTreeMap::new(),
            consecutive_failures: 0,
            backoff_until: Timestamp::default(),
            failed_on: BTreeSet::new(),
            first_seen_at,
        }
    }

    /// Forgets what only a leader knows: placements, completions and failures.
    pub fn forget_leader_state(&mut self) {
        let fresh = Job::new(
            self.spec.clone(),
            self.version,
            self.submitted_at,
            self.phase,
            self.first_seen_at,
        );
        *self = Job {
            ready_at: self.ready_at,
            inherited: self.inherited,
            ..fresh
        };
    }

    /// Its deadline: its own, or an earlier one of a job that depends on it.
    pub fn deadline(&self) -> UnixTime {
        let own = self.spec.deadline_at(self.submitted_at);
        self.inherited
            .map_or(own, |inherited| own.min(inherited.deadline))
    }

    /// Its own priority, or a higher one of a job that depends on it.
    pub fn priority(&self) -> Priority {
        let own = self.spec.priority;
        self.inherited
            .map_or(own, |inherited| own.max(inherited.priority))
    }

    /// Whether nothing of it has run or runs although it could have long before `now`. One
    /// that keeps failing waits for a reason of its own.
    pub fn is_starving(&self, now: UnixTime) -> bool {
        self.placements.is_empty()
            && self.completed.is_empty()
            && self.consecutive_failures < STARVATION_MAX_FAILURES
            && now.saturating_since(self.ready_at) > STARVATION_THRESHOLD
    }

    /// Whether it runs or waits.
    pub fn is_open(&self) -> bool {
        self.phase == JobPhase::Open
    }

    /// Whether its tasks start and complete together.
    pub fn is_gang(&self) -> bool {
        self.spec.kind == JobKind::Gang
    }

    /// Resources of its placed tasks.
    pub fn allocated(&self) -> Resources {
        self.spec.request.times(self.placements.len() as u64)
    }

    /// Records a task as completed; true if that completes the job.
    pub fn complete(&mut self, index: u32) -> bool {
        if index >= self.spec.tasks || self.spec.kind == JobKind::Service || !self.is_open() {
            return false;
        }
        if self.is_gang() {
            // The tasks of a gang complete together.
            self.completed = TaskSet::full(self.spec.tasks);
            self.pending = TaskSet::default();
        } else {
            self.completed.insert(index);
            self.pending.remove(index);
        }
        let all = self.completed.len() == u64::from(self.spec.tasks);
        if all {
            self.phase = JobPhase::Done { recorded: false };
        }
        all
    }

    /// Places a task that waits.
    pub fn place(&mut self, index: u32, placement: Placement) {
        self.pending.remove(index);
        self.placements.insert(index, placement);
    }

    /// Removes the placement of a task that surely is not on its machine any more; the task waits
    /// again unless it has completed.
    pub fn remove_placement(&mut self, index: u32) -> Option<Placement> {
        let placement = self.placements.remove(&index)?;
        if !self.completed.contains(index) {
            self.pending.insert(index);
        }
        Some(placement)
    }

    /// Asks all placed tasks to stop; an earlier request with a shorter grace stands.
    pub fn stop_all_tasks(&mut self, grace_s: u64, now: Timestamp) {
        for placement in self.placements.values_mut() {
            placement.request_stop(grace_s, now);
        }
    }

    /// Number of tasks that run.
    pub fn running(&self) -> u64 {
        self.placements
            .values()
            .filter(|placement| {
                matches!(
                    placement.stage,
                    PlacementStage::Reported(TaskState::Running)
                )
            })
            .count() as u64
    }
}

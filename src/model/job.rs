//! A job with the state and placement of its tasks.

use super::{
    JobSpec, MachineId, Placement, PlacementStage, Resources, TaskSet, Timestamp, UnixTime,
};
use crate::constants::{STARVATION_MAX_FAILURES, STARVATION_THRESHOLD};
use crate::wire::user::{JobKind, Priority};
use crate::wire::worker::TaskState;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Phase of a job's life cycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobPhase {
    /// The job is accepted; its tasks run or wait to be placed.
    Open,
    /// The job is cancelled, and this is recorded durably.
    Cancelled,
    /// All tasks have completed.
    Done {
        /// Whether the completion is recorded durably.
        recorded: bool,
    },
}

/// The highest priority and the earliest deadline of the jobs that depend on a job, directly or
/// transitively.
///
/// Users set both only on the last job of a pipeline, so the jobs before it inherit them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InheritedUrgency {
    /// Highest priority.
    pub priority: Priority,
    /// Earliest deadline.
    pub deadline: UnixTime,
}

impl InheritedUrgency {
    /// Returns the higher of the two priorities and the earlier of the two deadlines.
    pub fn most_urgent(self, other: InheritedUrgency) -> InheritedUrgency {
        InheritedUrgency {
            priority: self.priority.max(other.priority),
            deadline: self.deadline.min(other.deadline),
        }
    }
}

/// A job that may run, with its state as known to this node.
#[derive(Debug, Clone)]
pub struct Job {
    /// Specification of the job, from its submission.
    pub spec: JobSpec,
    /// Version of the job's record in the state service.
    pub version: u64,
    /// Phase of the job's life cycle.
    pub phase: JobPhase,
    /// When the job was submitted. All nodes order jobs by this time, so that they agree on the
    /// order.
    pub submitted_at: UnixTime,
    /// When the job could first run: at its submission, or when its last dependency was done.
    pub ready_at: UnixTime,
    /// Urgency inherited from the jobs that depend on this one.
    pub inherited: Option<InheritedUrgency>,
    /// Tasks that have completed.
    pub completed: TaskSet,
    /// Tasks whose completion is durable.
    pub durable_completions: TaskSet,
    /// Versions of the records that hold the durable completions, by key.
    pub progress_records: BTreeMap<String, u64>,
    /// Tasks that wait for placement.
    pub pending: TaskSet,
    /// Placements of the tasks that are or may be on machines, by task index.
    pub placements: BTreeMap<u32, Placement>,
    /// Number of task failures since a task of the job last completed.
    pub consecutive_failures: u32,
    /// Time before which no task of the job is planned. Set after a task failure, and after a round
    /// was abandoned because the job's record had changed.
    pub backoff_until: Timestamp,
    /// Machines on which tasks of the job have failed since one last completed.
    pub failed_machines: BTreeSet<MachineId>,
    /// When this node first observed the job.
    pub first_seen_at: Timestamp,
}

impl Job {
    /// Creates a job without placed or completed tasks.
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
            failed_machines: BTreeSet::new(),
            first_seen_at,
        }
    }

    /// Discards the state that only a leader maintains: placements, completions and failures.
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

    /// Returns the job's own deadline, or that of a dependent job if it is earlier.
    pub fn deadline(&self) -> UnixTime {
        let own = self.spec.deadline_at(self.submitted_at);
        self.inherited
            .map_or(own, |inherited| own.min(inherited.deadline))
    }

    /// Returns the job's own priority, or that of a dependent job if it is higher.
    pub fn priority(&self) -> Priority {
        let own = self.spec.priority;
        self.inherited
            .map_or(own, |inherited| own.max(inherited.priority))
    }

    /// Reports whether no task of the job is placed or has completed although the job has been
    /// ready for more than [`STARVATION_THRESHOLD`].
    ///
    /// A job with [`STARVATION_MAX_FAILURES`] or more consecutive failures does not count as
    /// starving: it waits because its tasks fail, not for lack of resources.
    pub fn is_starving(&self, now: UnixTime) -> bool {
        self.placements.is_empty()
            && self.completed.is_empty()
            && self.consecutive_failures < STARVATION_MAX_FAILURES
            && now.saturating_since(self.ready_at) > STARVATION_THRESHOLD
    }

    /// Reports whether the job is neither cancelled nor done.
    pub fn is_open(&self) -> bool {
        self.phase == JobPhase::Open
    }

    /// Reports whether the job's tasks start and complete together.
    pub fn is_gang(&self) -> bool {
        self.spec.kind == JobKind::Gang
    }

    /// Returns the total resources of the placed tasks.
    pub fn allocated(&self) -> Resources {
        self.spec.request.times(self.placements.len() as u64)
    }

    /// Records a task as completed and reports whether this completes the job.
    ///
    /// The call has no effect if the index is out of range, the job is a service, or the job is not
    /// open.
    pub fn complete_task(&mut self, index: u32) -> bool {
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
        let all_completed = self.completed.len() == u64::from(self.spec.tasks);
        if all_completed {
            self.phase = JobPhase::Done { recorded: false };
        }
        all_completed
    }

    /// Places a pending task.
    pub fn place(&mut self, index: u32, placement: Placement) {
        self.pending.remove(index);
        self.placements.insert(index, placement);
    }

    /// Removes and returns the placement of a task that is certainly no longer on its machine; the
    /// task becomes pending again unless it has completed.
    pub fn remove_placement(&mut self, index: u32) -> Option<Placement> {
        let placement = self.placements.remove(&index)?;
        if !self.completed.contains(index) {
            self.pending.insert(index);
        }
        Some(placement)
    }

    /// Requests all placed tasks to stop. If a task already has a stop request, the shorter of the
    /// two grace periods applies.
    pub fn stop_all_tasks(&mut self, grace_s: u64, now: Timestamp) {
        for placement in self.placements.values_mut() {
            placement.request_stop(grace_s, now);
        }
    }

    /// Returns the number of tasks that workers report as running.
    pub fn running_tasks(&self) -> u64 {
        self.tasks_reported_as(TaskState::Running)
    }

    /// Returns the number of tasks that workers report as waiting for their image.
    pub fn fetching_tasks(&self) -> u64 {
        self.tasks_reported_as(TaskState::Fetching)
    }

    /// Reports whether a task has been running for that time.
    pub fn has_run_for(&self, time: Duration, now: Timestamp) -> bool {
        let running = PlacementStage::Reported(TaskState::Running);
        let mut placements = self.placements.values();
        placements
            .any(|placement| placement.stage == running && now >= placement.state_since + time)
    }

    fn tasks_reported_as(&self, state: TaskState) -> u64 {
        let stages = self.placements.values().map(|placement| placement.stage);
        let reported = stages.filter(|stage| *stage == PlacementStage::Reported(state));
        reported.count() as u64
    }
}

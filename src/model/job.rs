//! A job, its tasks, and where they are.

use super::{HeartbeatSequence, MachineId, Resources, TaskSet, Timestamp, UnixTime};
use crate::constants::{DEFAULT_DEADLINE, STARVATION_AFTER, STARVATION_MAX_FAILURES};
use crate::wire::user::{self, JobKind, JobSubmission, Priority};
use crate::wire::worker::TaskState;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// What a job asks for: its submission in the units of the scheduler.
#[derive(Debug, Clone, PartialEq)]
pub struct JobSpec {
    /// Class of the job; service-level objectives name it.
    pub class: Arc<str>,
    /// Team that owns the job.
    pub team: Arc<str>,
    /// How the tasks belong together.
    pub kind: JobKind,
    /// The priority that its user gave it.
    pub priority: Priority,
    /// Number of tasks.
    pub tasks: u32,
    /// Resources that each task requests.
    pub request: Resources,
    /// Image that the tasks need.
    pub image: Arc<str>,
    /// Size of the image, GB.
    pub image_gb: f64,
    /// Machine types that the tasks may use; all if absent.
    pub machine_types: Option<Vec<Arc<str>>>,
    /// The only zone that the tasks may use; any if absent.
    pub zone: Option<Arc<str>>,
    /// Whether all tasks must be in one zone at any time.
    pub single_zone: bool,
    /// Whether at most half of the tasks, rounded up, may be in one zone.
    pub spread_zones: bool,
    /// Whether the tasks may use spot instances.
    pub allows_spot: bool,
    /// The owner's estimate of a task's run time.
    pub expected_duration: Duration,
    /// Time from the submission to the deadline, if there is one.
    pub deadline: Option<Duration>,
    /// Progress between two checkpoints; zero without checkpoints.
    pub checkpoint_interval: Duration,
    /// Time that writing a checkpoint takes, s.
    pub checkpoint_cost_s: f64,
}

/// Seconds of a submission as whole milliseconds.
fn whole_millis_of(seconds: f64) -> Duration {
    Duration::from_millis((seconds * 1000.0) as u64)
}

impl From<&JobSubmission> for JobSpec {
    fn from(job: &JobSubmission) -> Self {
        let machine_types = job.machine_types.as_ref();
        JobSpec {
            class: job.class.as_str().into(),
            team: job.team.as_str().into(),
            kind: job.kind,
            priority: job.priority,
            tasks: job.tasks.min(user::MAX_TASKS) as u32,
            request: Resources::demand(job.cpus, job.gpus, job.memory_gb),
            image: job.image.as_str().into(),
            image_gb: job.image_gb,
            machine_types: machine_types
                .map(|names| names.iter().map(|name| name.as_str().into()).collect()),
            zone: job.zone.as_deref().map(Into::into),
            single_zone: job.single_zone,
            spread_zones: job.spread_zones,
            allows_spot: job.allows_spot,
            expected_duration: whole_millis_of(job.expected_duration_s),
            deadline: job.deadline_s.map(whole_millis_of),
            checkpoint_interval: whole_millis_of(job.checkpoint_interval_s),
            checkpoint_cost_s: job.checkpoint_cost_s,
        }
    }
}

impl JobSpec {
    /// Most tasks that may be in one zone.
    pub fn max_tasks_per_zone(&self) -> u32 {
        if self.spread_zones {
            self.tasks.div_ceil(2)
        } else {
            self.tasks
        }
    }

    /// Resources of all tasks together.
    pub fn total_request(&self) -> Resources {
        self.request.times(u64::from(self.tasks))
    }

    /// What must fit within the team's limit for the job to be able to run at all.
    pub fn min_request(&self) -> Resources {
        match self.kind {
            JobKind::Array => self.request,
            JobKind::Gang | JobKind::Service => self.total_request(),
        }
    }

    /// The deadline of a job that was submitted then. A job without one stands behind all that are
    /// due within [`DEFAULT_DEADLINE`].
    pub fn deadline_at(&self, submitted_at: UnixTime) -> UnixTime {
        submitted_at.saturating_add(self.deadline.unwrap_or(DEFAULT_DEADLINE))
    }

    /// Grace for a stop, s: enough to write a checkpoint.
    pub fn checkpoint_grace_s(&self) -> u64 {
        if self.checkpoint_interval.is_zero() {
            0
        } else {
            self.checkpoint_cost_s.ceil() as u64 + 1
        }
    }
}

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

/// Where a placed task stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementStage {
    /// Its round is being written.
    Planned,
    /// Its round is durable; no heartbeat has named the task yet.
    Starting {
        /// The heartbeat whose response last carried the start.
        sent: Option<HeartbeatSequence>,
        /// How often the start was sent again.
        resends: u32,
    },
    /// A heartbeat named the task in this state.
    Reported(TaskState),
}

/// A request to stop a task, repeated until the task is gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopRequest {
    /// Seconds in which the task may write a checkpoint.
    pub grace_s: u64,
    /// When the task was first told to stop.
    pub requested_at: Timestamp,
}

/// A task that is, or may be, on a machine. It counts for every rule until it surely is not.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Placement {
    /// The machine.
    pub machine: MachineId,
    /// Number of the round that started the task.
    pub attempt: u64,
    /// Where the start stands.
    pub stage: PlacementStage,
    /// When the round was planned, when it became durable, or when a heartbeat first named the
    /// task, whichever came last.
    pub stage_since: Timestamp,
    /// Set while the task is being stopped.
    pub stop_request: Option<StopRequest>,
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
            && now.saturating_since(self.ready_at) > STARVATION_AFTER
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

impl Placement {
    /// Asks the task to stop; an earlier request with a shorter grace stands.
    pub fn request_stop(&mut self, grace_s: u64, now: Timestamp) {
        match &mut self.stop_request {
            Some(stop) => stop.grace_s = stop.grace_s.min(grace_s),
            None => {
                self.stop_request = Some(StopRequest {
                    grace_s,
                    requested_at: now,
                });
            }
        }
    }
}

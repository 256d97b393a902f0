//! The specification of a job.

use super::{Resources, UnixTime};
use crate::constants::DEFAULT_DEADLINE;
use crate::wire::user::{self, JobKind, JobSubmission, Priority};
use std::sync::Arc;
use std::time::Duration;

/// The specification of a job: its submission converted to the scheduler's units.
#[derive(Debug, Clone, PartialEq)]
pub struct JobSpec {
    /// Class of the job; service-level objectives name it.
    pub class: Arc<str>,
    /// Team that owns the job.
    pub team: Arc<str>,
    /// How the job's tasks are scheduled in relation to each other.
    pub kind: JobKind,
    /// The priority that the job's user set.
    pub priority: Priority,
    /// Number of tasks.
    pub tasks: u32,
    /// Resources that each task requests.
    pub request: Resources,
    /// Name of the image that the tasks need.
    pub image: Arc<str>,
    /// Size of the image, GB.
    pub image_gb: f64,
    /// Machine types that the tasks may use; `None` allows all types.
    pub machine_types: Option<Vec<Arc<str>>>,
    /// The only zone that the tasks may use; `None` allows all zones.
    pub zone: Option<Arc<str>>,
    /// Whether all tasks must be in one zone at any time.
    pub single_zone: bool,
    /// Whether at most half of the tasks, rounded up, may be in one zone.
    pub spread_zones: bool,
    /// Whether the tasks may use spot instances.
    pub allows_spot: bool,
    /// The owner's estimate of a task's run time.
    pub expected_duration: Duration,
    /// Time from the submission to the deadline, if the job has a deadline.
    pub deadline: Option<Duration>,
    /// Progress (run time) between two checkpoints; zero if the tasks write no checkpoints.
    pub checkpoint_interval: Duration,
    /// Time that writing a checkpoint takes, in seconds.
    pub checkpoint_cost_s: f64,
}

/// Converts seconds of a submission to a duration in whole milliseconds; fractions of a
/// millisecond are dropped.
fn duration_from_seconds(seconds: f64) -> Duration {
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
            expected_duration: duration_from_seconds(job.expected_duration_s),
            deadline: job.deadline_s.map(duration_from_seconds),
            checkpoint_interval: duration_from_seconds(job.checkpoint_interval_s),
            checkpoint_cost_s: job.checkpoint_cost_s,
        }
    }
}

impl JobSpec {
    /// Returns the maximum number of tasks that may be in one zone.
    pub fn max_tasks_per_zone(&self) -> u32 {
        if self.spread_zones {
            self.tasks.div_ceil(2)
        } else {
            self.tasks
        }
    }

    /// Returns the total resources that all tasks request.
    pub fn total_request(&self) -> Resources {
        self.request.times(u64::from(self.tasks))
    }

    /// Returns the least resources that must fit within the team's limit for the job to run: those
    /// of one task of an array, and those of all tasks of a gang or a service.
    pub fn min_request(&self) -> Resources {
        match self.kind {
            JobKind::Array => self.request,
            JobKind::Gang | JobKind::Service => self.total_request(),
        }
    }

    /// Returns the deadline of the job if it was submitted at `submitted_at`.
    ///
    /// A job without a deadline is treated as due [`DEFAULT_DEADLINE`] after its submission, so that
    /// it is ordered after all jobs that are due earlier.
    pub fn deadline_at(&self, submitted_at: UnixTime) -> UnixTime {
        submitted_at.saturating_add(self.deadline.unwrap_or(DEFAULT_DEADLINE))
    }

    /// Returns the grace period for stopping a task, in whole seconds: the time to write a
    /// checkpoint plus 1 s, or 0 if the tasks write no checkpoints.
    pub fn checkpoint_grace_s(&self) -> u64 {
        if self.checkpoint_interval.is_zero() {
            0
        } else {
            self.checkpoint_cost_s.ceil() as u64 + 1
        }
    }
}

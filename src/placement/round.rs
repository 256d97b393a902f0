//! The plan of a round that the planner returns, and the limits of a round.

use crate::model::{JobId, MachineId};

/// Limits of one round.
#[derive(Debug, Clone, Copy)]
pub struct RoundLimits {
    /// Maximum number of starts, which is the number that one transaction can write.
    pub max_starts: usize,
    /// Maximum number of jobs with starts. The round's transaction compares the version of each
    /// such job's record.
    pub max_jobs: usize,
    /// Whether a gang with more tasks than `max_starts` may be placed, in a separate round.
    pub allows_large_gang: bool,
}

/// The start of one task on a machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskStart {
    /// Job of the task.
    pub job: JobId,
    /// Index of the task within its job.
    pub index: u32,
    /// Machine on which the task starts.
    pub machine: MachineId,
}

/// Number of a job's tasks that its team's limit allows but that do not fit on the machines or in
/// the round.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnplacedTasks {
    /// Id of the job.
    pub job: JobId,
    /// Number of unplaced tasks, for an array or service at most [`MAX_UNPLACED_TASKS`].
    ///
    /// [`MAX_UNPLACED_TASKS`]: crate::constants::MAX_UNPLACED_TASKS
    pub tasks: u32,
}

/// Result of one planning pass over the waiting jobs.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct RoundPlan {
    /// Starts of the round that one transaction writes.
    pub starts: Vec<TaskStart>,
    /// Starts of one gang that has more tasks than one transaction can write. They form a separate
    /// round.
    pub large_gang: Vec<TaskStart>,
    /// Unplaced tasks of each job, in the order of service.
    pub unplaced: Vec<UnplacedTasks>,
}

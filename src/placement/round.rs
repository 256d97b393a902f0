//! A round as the planner returns it, and its limits.

use crate::model::{JobId, MachineId};

/// What one round may hold.
#[derive(Debug, Clone, Copy)]
pub struct RoundLimits {
    /// Starts that one transaction writes.
    pub max_starts: usize,
    /// Jobs with starts: the round's transaction compares the version of each.
    pub max_jobs: usize,
    /// Whether a gang with more tasks than `starts` may be placed in a round of its own.
    pub allows_large_gang: bool,
}

/// The start of one task on a machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskStart {
    /// The task's job.
    pub job: JobId,
    /// Number of the task in its job.
    pub index: u32,
    /// The machine on which it starts.
    pub machine: MachineId,
}

/// Tasks of a job that its team's limit allows but that find no room.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnplacedTasks {
    /// The job.
    pub job: JobId,
    /// Number of its tasks without room.
    pub tasks: u32,
}

/// The decisions of one pass over the waiting jobs.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct RoundPlan {
    /// Starts of a round that one transaction writes.
    pub starts: Vec<TaskStart>,
    /// Starts of one gang that one transaction cannot write: a round of its own.
    pub large_gang: Vec<TaskStart>,
    /// Tasks without room, by job in the order of service.
    pub unplaced: Vec<UnplacedTasks>,
}

//! Messages between users and controller nodes.

mod validation;

pub use validation::{InvalidSubmission, MAX_DEPENDENCIES, MAX_TASKS, is_valid_job_id};

use serde::{Deserialize, Deserializer, Serialize};
use std::collections::BTreeSet;

/// Kind of a job: how its tasks are scheduled in relation to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobKind {
    /// A job array: independent tasks that complete individually.
    #[serde(rename = "array")]
    Array,
    /// Tasks that start and complete together (gang scheduling).
    #[serde(rename = "ensemble")]
    Gang,
    /// A service: replicas that run until the job is cancelled.
    #[serde(rename = "standing")]
    Service,
}

/// Priority of a job. The variants are ordered from lowest to highest, which the derived comparison
/// relies on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Priority {
    /// The job runs only on resources that no job of a higher priority needs.
    #[serde(rename = "best_effort")]
    Low,
    /// The default priority.
    #[serde(rename = "normal")]
    Normal,
    /// The job takes precedence over jobs of normal and low priority.
    #[serde(rename = "urgent")]
    High,
    /// The job takes precedence over all other jobs.
    #[serde(rename = "production")]
    Production,
}

/// A job submission, as the user sends it and as it is stored in the state service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSubmission {
    /// The job's id, chosen by its user.
    #[serde(rename = "uid")]
    pub id: String,
    /// Class of the job; service-level objectives name it.
    #[serde(rename = "docket")]
    pub class: String,
    /// Team that owns the job.
    #[serde(rename = "crew")]
    pub team: String,
    /// Kind of the job.
    #[serde(rename = "form")]
    pub kind: JobKind,
    /// Priority of the job.
    #[serde(rename = "precedence")]
    pub priority: Priority,
    /// Number of tasks.
    #[serde(rename = "pieces")]
    pub tasks: u64,
    /// Number of CPU cores that each task requests.
    #[serde(rename = "vcpus")]
    pub cpus: f64,
    /// Number of GPUs that each task requests.
    pub gpus: f64,
    /// Memory that each task requests, GB.
    pub memory_gb: f64,
    /// Name of the image that the tasks need.
    #[serde(rename = "plate")]
    pub image: String,
    /// Size of the image, GB.
    pub image_gb: f64,
    /// Machine types that the tasks may use; `None` allows all types.
    #[serde(rename = "models", default)]
    pub machine_types: Option<Vec<String>>,
    /// The only zone that the tasks may use; `None` allows all zones.
    #[serde(rename = "yard", default)]
    pub zone: Option<String>,
    /// Whether all tasks must be in one zone at any time.
    #[serde(rename = "together")]
    pub single_zone: bool,
    /// Whether at most half of the tasks, rounded up, may be in one zone.
    #[serde(rename = "scatter")]
    pub spread_zones: bool,
    /// Whether the tasks may use spot instances.
    #[serde(rename = "loaners")]
    pub allows_spot: bool,
    /// The owner's estimate of a task's run time, in seconds.
    #[serde(rename = "expected_s")]
    pub expected_duration_s: f64,
    /// Progress (run time) between two checkpoints, in seconds; 0 if the tasks write no
    /// checkpoints.
    #[serde(rename = "bookmark_s")]
    pub checkpoint_interval_s: f64,
    /// Time that writing a checkpoint takes, in seconds.
    #[serde(rename = "bookmark_cost_s")]
    pub checkpoint_cost_s: f64,
    /// Seconds from the submission to the deadline of the job, if it has one.
    #[serde(rename = "due_s", default)]
    pub deadline_s: Option<f64>,
    /// Ids of the jobs that must be done before any task of this job starts, without duplicates.
    #[serde(
        rename = "awaits",
        default,
        deserialize_with = "deserialize_unique_names",
        skip_serializing_if = "Vec::is_empty"
    )]
    pub depends_on: Vec<String>,
}

/// Deserializes a list of names without duplicates, in the order of their first occurrence; null
/// yields an empty list.
fn deserialize_unique_names<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<String>, D::Error> {
    let names: Option<Vec<String>> = Option::deserialize(deserializer)?;
    let mut seen = BTreeSet::new();
    let mut names = names.unwrap_or_default();
    names.retain(|name| seen.insert(name.clone()));
    Ok(names)
}

/// State of a job as reported to its user.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobState {
    /// The job is accepted, and none of its tasks run.
    Queued,
    /// At least one task of the job runs.
    Running,
    /// All tasks of the job have completed.
    Done,
    /// The job was cancelled by its user or because a job that it depends on was cancelled.
    #[serde(rename = "aborted")]
    Cancelled,
}

/// The response to a user's status query for a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    /// The job's id.
    #[serde(rename = "uid")]
    pub id: String,
    /// State of the job.
    #[serde(rename = "status")]
    pub state: JobState,
    /// Number of completed tasks, if known.
    #[serde(rename = "done", default, skip_serializing_if = "Option::is_none")]
    pub completed_tasks: Option<u64>,
    /// Number of running tasks, if known.
    #[serde(rename = "running", default, skip_serializing_if = "Option::is_none")]
    pub running_tasks: Option<u64>,
}

/// The body of every response that refuses a request.
#[derive(Debug, Clone, Serialize)]
pub struct Refusal<'a> {
    /// The reason as human-readable text.
    pub error: &'a str,
}

#[cfg(test)]
pub(crate) mod tests;

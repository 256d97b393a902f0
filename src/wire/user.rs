//! Messages between users and controller nodes.

mod validation;

pub use validation::{InvalidSubmission, MAX_DEPENDENCIES, MAX_TASKS, is_valid_job_id};

use serde::{Deserialize, Deserializer, Serialize};
use std::collections::BTreeSet;

/// How a job's tasks belong together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobKind {
    /// A job array: independent tasks that each complete.
    #[serde(rename = "array")]
    Array,
    /// Tasks that start and complete together (gang scheduling).
    #[serde(rename = "ensemble")]
    Gang,
    /// Replicas that run until the job is cancelled.
    #[serde(rename = "standing")]
    Service,
}

/// Priorities, lowest first so that they compare.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Priority {
    /// Runs on what nobody else needs.
    #[serde(rename = "best_effort")]
    Low,
    /// The usual priority.
    #[serde(rename = "normal")]
    Normal,
    /// Before normal work.
    #[serde(rename = "urgent")]
    High,
    /// Before all other work.
    #[serde(rename = "production")]
    Production,
}

/// A submission as the user sends it, and as it is kept in the state service.
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
    /// How the tasks belong together.
    #[serde(rename = "form")]
    pub kind: JobKind,
    /// Priority.
    #[serde(rename = "precedence")]
    pub priority: Priority,
    /// Number of tasks.
    #[serde(rename = "pieces")]
    pub tasks: u64,
    /// CPU cores of each task.
    #[serde(rename = "vcpus")]
    pub cpus: f64,
    /// GPUs of each task.
    pub gpus: f64,
    /// Memory of each task, GB.
    pub memory_gb: f64,
    /// Image that the tasks need.
    #[serde(rename = "plate")]
    pub image: String,
    /// Size of the image, GB.
    pub image_gb: f64,
    /// Machine types that the tasks may use; all if absent.
    #[serde(rename = "models", default)]
    pub machine_types: Option<Vec<String>>,
    /// The only zone that the tasks may use; any if absent.
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
    /// The owner's estimate of a task's run time, s.
    #[serde(rename = "expected_s")]
    pub expected_duration_s: f64,
    /// Progress between two checkpoints, s; 0 without checkpoints.
    #[serde(rename = "bookmark_s")]
    pub checkpoint_interval_s: f64,
    /// Time that writing a checkpoint takes, s.
    #[serde(rename = "bookmark_cost_s")]
    pub checkpoint_cost_s: f64,
    /// Seconds from the submission to the time by which the job should be complete.
    #[serde(rename = "due_s", default)]
    pub deadline_s: Option<f64>,
    /// Jobs that have to be done before any task of this one starts, each named once.
    #[serde(
        rename = "awaits",
        default,
        deserialize_with = "without_repetitions",
        skip_serializing_if = "Vec::is_empty"
    )]
    pub depends_on: Vec<String>,
}

/// Reads a list and drops repetitions; null counts as an empty list.
fn without_repetitions<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<String>, D::Error> {
    let names: Option<Vec<String>> = Option::deserialize(deserializer)?;
    let mut seen = BTreeSet::new();
    let mut names = names.unwrap_or_default();
    names.retain(|name| seen.insert(name.clone()));
    Ok(names)
}

/// State of a job as its user sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobState {
    /// Accepted, and nothing of it runs.
    Queued,
    /// Some of its tasks run.
    Running,
    /// All of its tasks have completed.
    Done,
    /// Cancelled by its user, or with a job that it depends on.
    #[serde(rename = "aborted")]
    Cancelled,
}

/// The response to a user's question about a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    /// The job's id.
    #[serde(rename = "uid")]
    pub id: String,
    /// Its state.
    #[serde(rename = "status")]
    pub state: JobState,
    /// Tasks that have completed.
    #[serde(rename = "done", default, skip_serializing_if = "Option::is_none")]
    pub completed_tasks: Option<u64>,
    /// Tasks that run.
    #[serde(rename = "running", default, skip_serializing_if = "Option::is_none")]
    pub running_tasks: Option<u64>,
}

/// The body of every refusal.
#[derive(Debug, Clone, Serialize)]
pub struct Refusal<'a> {
    /// The reason, for people.
    pub error: &'a str,
}

#[cfg(test)]
pub(crate) mod tests;

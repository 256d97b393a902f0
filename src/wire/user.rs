//! Messages between users and controller nodes.

use serde::{Deserialize, Serialize};

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
fn without_repetitions<'de, D: serde::Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<String>, D::Error> {
    let names: Option<Vec<String>> = Option::deserialize(deserializer)?;
    let mut seen = std::collections::BTreeSet::new();
    let mut names = names.unwrap_or_default();
    names.retain(|name| seen.insert(name.clone()));
    Ok(names)
}

/// Most tasks of one job.
pub const MAX_TASKS: u64 = 100_000;
/// Most bytes of a text in a submission (names of teams, images, types); ids of keys stay below
/// the state service's 200 bytes.
const MAX_TEXT_BYTES: usize = 120;
/// Most jobs that one may depend on.
pub const MAX_DEPENDENCIES: usize = 64;
/// Most bytes of a list of machine types, with four bytes for each one's separators.
const MAX_MACHINE_TYPES_BYTES: usize = 2048;
/// Largest amount in a submission: far above any machine or day, far below where integer units
/// would overflow.
const MAX_AMOUNT: f64 = 1e9;
/// Most digits of a job id.
const MAX_ID_DIGITS: usize = 20;

/// What is wrong with a submission by itself. The texts name fields as on the wire: users see them.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum InvalidSubmission {
    /// The job's id does not have the form of one.
    #[error("uid: expected run- and digits")]
    JobId,
    /// A name is empty or too long.
    #[error("{field}: expected 1 to {MAX_TEXT_BYTES} bytes")]
    TextLength {
        /// The field's name on the wire.
        field: &'static str,
    },
    /// The number of tasks is 0 or too large.
    #[error("pieces: expected 1 to {MAX_TASKS}")]
    TaskCount,
    /// An amount is negative, too large or not a number.
    #[error("{field}: expected a number from 0 to 1e9")]
    Amount {
        /// The field's name on the wire.
        field: &'static str,
    },
    /// The list of machine types is too long.
    #[error("models: expected at most {MAX_MACHINE_TYPES_BYTES} bytes in all")]
    MachineTypesLength,
    /// The zone's name is too long.
    #[error("yard: expected at most {MAX_TEXT_BYTES} bytes")]
    ZoneLength,
    /// Too many dependencies, or one is not a job id.
    #[error("awaits: expected at most {MAX_DEPENDENCIES} job ids")]
    Dependencies,
}

impl JobSubmission {
    /// Checks everything that can be told from the submission alone.
    ///
    /// # Errors
    ///
    /// The first thing that is wrong.
    pub fn validate(&self) -> Result<(), InvalidSubmission> {
        if !is_valid_id(&self.id) {
            return Err(InvalidSubmission::JobId);
        }
        self.validate_names()?;
        if self.tasks == 0 || self.tasks > MAX_TASKS {
            return Err(InvalidSubmission::TaskCount);
        }
        self.validate_amounts()?;
        self.validate_lengths()
    }

    fn validate_names(&self) -> Result<(), InvalidSubmission> {
        let names = [
            ("docket", &self.class),
            ("crew", &self.team),
            ("plate", &self.image),
        ];
        for (field, text) in names {
            if text.is_empty() || text.len() > MAX_TEXT_BYTES {
                return Err(InvalidSubmission::TextLength { field });
            }
        }
        Ok(())
    }

    fn validate_amounts(&self) -> Result<(), InvalidSubmission> {
        let amounts = [
            ("vcpus", self.cpus),
            ("gpus", self.gpus),
            ("memory_gb", self.memory_gb),
            ("image_gb", self.image_gb),
            ("expected_s", self.expected_duration_s),
            ("bookmark_s", self.checkpoint_interval_s),
            ("bookmark_cost_s", self.checkpoint_cost_s),
            ("due_s", self.deadline_s.unwrap_or(0.0)),
        ];
        for (field, amount) in amounts {
            if !amount.is_finite() || !(0.0..=MAX_AMOUNT).contains(&amount) {
                return Err(InvalidSubmission::Amount { field });
            }
        }
        Ok(())
    }

    /// A record must fit into one value of the state service, whatever the user writes.
    fn validate_lengths(&self) -> Result<(), InvalidSubmission> {
        let machine_types = self.machine_types.iter().flatten();
        let machine_types_bytes: usize = machine_types.map(|name| name.len() + 4).sum();
        if machine_types_bytes > MAX_MACHINE_TYPES_BYTES {
            return Err(InvalidSubmission::MachineTypesLength);
        }
        let zone = self.zone.as_ref();
        if zone.is_some_and(|zone| zone.len() > MAX_TEXT_BYTES) {
            return Err(InvalidSubmission::ZoneLength);
        }
        let ids_are_valid = self.depends_on.iter().all(|id| is_valid_id(id));
        if self.depends_on.len() > MAX_DEPENDENCIES || !ids_are_valid {
            return Err(InvalidSubmission::Dependencies);
        }
        Ok(())
    }
}

/// Whether this is a job id as users form them: `run-` and digits.
pub fn is_valid_id(id: &str) -> bool {
    id.strip_prefix("run-").is_some_and(|digits| {
        !digits.is_empty()
            && digits.len() <= MAX_ID_DIGITS
            && digits.bytes().all(|byte| byte.is_ascii_digit())
    })
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

//! Users -> controller nodes.

use serde::{Deserialize, Serialize};

/// How a job's tasks belong together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    #[serde(rename = "array")]
    Array,
    #[serde(rename = "ensemble")]
    Gang,
    #[serde(rename = "standing")]
    Service,
}

/// Priorities, lowest first so that they compare.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Priority {
    #[serde(rename = "best_effort")]
    Low,
    #[serde(rename = "normal")]
    Normal,
    #[serde(rename = "urgent")]
    High,
    #[serde(rename = "production")]
    Production,
}

/// A submission as the user sends it, and as it is kept in the state service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Job {
    #[serde(rename = "uid")]
    pub id: String,
    #[serde(rename = "docket")]
    pub class: String,
    #[serde(rename = "crew")]
    pub team: String,
    #[serde(rename = "form")]
    pub kind: Kind,
    #[serde(rename = "precedence")]
    pub priority: Priority,
    #[serde(rename = "pieces")]
    pub tasks: u64,
    #[serde(rename = "vcpus")]
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
    #[serde(rename = "plate")]
    pub image: String,
    pub image_gb: f64,
    #[serde(rename = "models", default)]
    pub types: Option<Vec<String>>,
    #[serde(rename = "yard", default)]
    pub zone: Option<String>,
    #[serde(rename = "together")]
    pub one_zone: bool,
    #[serde(rename = "scatter")]
    pub spread: bool,
    #[serde(rename = "loaners")]
    pub spot: bool,
    #[serde(rename = "expected_s")]
    pub estimate_s: f64,
    #[serde(rename = "bookmark_s")]
    pub checkpoint_s: f64,
    #[serde(rename = "bookmark_cost_s")]
    pub save_s: f64,
    #[serde(rename = "due_s", default)]
    pub deadline_s: Option<f64>,
    /// Jobs that have to be done before any task of this one starts, each named once.
    #[serde(
        default,
        deserialize_with = "distinct",
        skip_serializing_if = "Vec::is_empty"
    )]
    pub awaits: Vec<String>,
}

/// A list without repetitions; null for none.
fn distinct<'de, D: serde::Deserializer<'de>>(from: D) -> Result<Vec<String>, D::Error> {
    let names: Option<Vec<String>> = Option::deserialize(from)?;
    let mut seen = std::collections::BTreeSet::new();
    let mut names = names.unwrap_or_default();
    names.retain(|name| seen.insert(name.clone()));
    Ok(names)
}

/// Most tasks of one job.
pub const MAX_TASKS: u64 = 100_000;
/// Longest text in a submission (names of teams, images, types); ids of keys stay below the
/// state service's 200 bytes.
const MAX_TEXT: usize = 120;
/// Most jobs that one may await.
pub const MAX_AWAITS: usize = 64;
/// Longest list of machine types, with four bytes for each one's marks.
const MAX_TYPES_TEXT: usize = 2048;

impl Job {
    /// Checks everything that can be told from the submission alone; the error is a short reason.
    pub fn check(&self) -> Result<(), String> {
        if !valid_id(&self.id) {
            return Err("uid: expected run- and digits".into());
        }
        for (name, text) in [
            ("docket", &self.class),
            ("crew", &self.team),
            ("plate", &self.image),
        ] {
            if text.is_empty() || text.len() > MAX_TEXT {
                return Err(format!("{name}: expected 1 to {MAX_TEXT} bytes"));
            }
        }
        if self.tasks == 0 || self.tasks > MAX_TASKS {
            return Err(format!("pieces: expected 1 to {MAX_TASKS}"));
        }
        let amounts = [
            ("vcpus", self.cpus),
            ("gpus", self.gpus),
            ("memory_gb", self.memory_gb),
            ("image_gb", self.image_gb),
            ("expected_s", self.estimate_s),
            ("bookmark_s", self.checkpoint_s),
            ("bookmark_cost_s", self.save_s),
            ("due_s", self.deadline_s.unwrap_or(0.0)),
        ];
        for (name, amount) in amounts {
            // Far above any machine or day, far below where integer units would overflow.
            if !amount.is_finite() || !(0.0..=1e9).contains(&amount) {
                return Err(format!("{name}: expected a number from 0 to 1e9"));
            }
        }
        // A record must fit into one value of the state service, whatever the user writes.
        let types = self
            .types
            .iter()
            .flatten()
            .map(|t| t.len() + 4)
            .sum::<usize>();
        if types > MAX_TYPES_TEXT {
            return Err(format!(
                "models: expected at most {MAX_TYPES_TEXT} bytes in all"
            ));
        }
        if self.zone.as_ref().is_some_and(|zone| zone.len() > MAX_TEXT) {
            return Err(format!("yard: expected at most {MAX_TEXT} bytes"));
        }
        if self.awaits.len() > MAX_AWAITS || !self.awaits.iter().all(|id| valid_id(id)) {
            return Err(format!("awaits: expected at most {MAX_AWAITS} job ids"));
        }
        Ok(())
    }
}

/// Whether this is a job id as users form them: `run-` and digits.
pub fn valid_id(id: &str) -> bool {
    id.strip_prefix("run-").is_some_and(|digits| {
        !digits.is_empty() && digits.len() <= 20 && digits.bytes().all(|b| b.is_ascii_digit())
    })
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobState {
    Queued,
    Running,
    Done,
    #[serde(rename = "aborted")]
    Cancelled,
}

/// What a user is told about a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    #[serde(rename = "uid")]
    pub id: String,
    #[serde(rename = "status")]
    pub state: JobState,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub done: Option<u64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub running: Option<u64>,
}

/// The body of every refusal.
#[derive(Debug, Clone, Serialize)]
pub struct Refusal<'a> {
    pub error: &'a str,
}

#[cfg(test)]
pub mod tests;

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
}

/// Most tasks of one job.
pub const MAX_TASKS: u64 = 100_000;
/// Longest text in a submission (names of teams, images, types); ids of keys stay below the
/// state service's 200 bytes.
const MAX_TEXT: usize = 120;
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
pub mod tests {
    use super::*;

    pub fn job(id: &str, kind: Kind, tasks: u64) -> Job {
        Job {
            id: id.into(),
            class: "train".into(),
            team: "vision".into(),
            kind,
            priority: Priority::Normal,
            tasks,
            cpus: 4.0,
            gpus: 1.0,
            memory_gb: 8.0,
            image: "img-1".into(),
            image_gb: 3.0,
            types: None,
            zone: None,
            one_zone: false,
            spread: false,
            spot: false,
            estimate_s: 60.0,
            checkpoint_s: 10.0,
            save_s: 2.0,
            deadline_s: None,
        }
    }

    #[test]
    fn submissions_are_checked() {
        assert!(job("run-000412", Kind::Array, 3).check().is_ok());
        let mut bad = vec![
            job("run-", Kind::Array, 1),
            job("run-12x", Kind::Array, 1),
            job("run-1", Kind::Array, 0),
            job("run-1", Kind::Array, 100_001),
        ];
        for cpus in [f64::NAN, f64::INFINITY, -1.0] {
            let mut one = job("run-1", Kind::Array, 1);
            one.cpus = cpus;
            bad.push(one);
        }
        let mut long = job("run-1", Kind::Array, 1);
        long.types = Some(vec!["x".repeat(3000)]);
        bad.push(long);
        for one in bad {
            assert!(one.check().is_err(), "{one:?}");
        }
    }

    #[test]
    fn numbers_may_be_whole_or_not_but_counts_are_whole() {
        let good = job("run-1", Kind::Gang, 2);
        let mut value: rmpv::Value = rmp_serde::from_slice(&crate::wire::encode(&good)).unwrap();
        let map = match &mut value {
            rmpv::Value::Map(m) => m,
            _ => panic!("not a map"),
        };
        let field = |map: &mut Vec<(rmpv::Value, rmpv::Value)>, name: &str, to: rmpv::Value| {
            for (k, v) in map.iter_mut() {
                if k.as_str() == Some(name) {
                    *v = to.clone();
                }
            }
        };
        field(map, "vcpus", rmpv::Value::from(4));
        let read: Job = crate::wire::decode(&crate::wire::encode(&value)).unwrap();
        assert_eq!(read.cpus, 4.0);
        let map = match &mut value {
            rmpv::Value::Map(m) => m,
            _ => panic!("not a map"),
        };
        field(map, "pieces", rmpv::Value::from(-2));
        assert!(crate::wire::decode::<Job>(&crate::wire::encode(&value)).is_err());
    }
}

//! The cluster's part of the platform's settings. The names of the types stand in error texts.

use super::Team;
use crate::constants;
use serde::Deserialize;
use std::time::Duration;

/// What a service-level objective measures.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ObjectiveKind {
    /// The time until a job's tasks run.
    Wait,
    /// Anything that no decision of the scheduler depends on.
    Other,
}

/// A service-level objective of the users.
#[derive(Debug, Clone, Deserialize)]
#[serde(from = "Objective")]
pub struct ServiceLevelObjective {
    /// What it measures.
    pub kind: ObjectiveKind,
    /// Class of the jobs that it is about; all if absent.
    pub class: Option<String>,
    /// Time within which it is met, if it is about a time.
    pub within: Option<Duration>,
}

/// A service-level objective as the platform's file has it.
#[derive(Debug, Clone, Deserialize)]
struct Objective {
    kind: String,
    #[serde(default)]
    class: Option<String>,
    #[serde(default)]
    within_s: Option<f64>,
}

impl From<Objective> for ServiceLevelObjective {
    fn from(objective: Objective) -> Self {
        let kind = match objective.kind.as_str() {
            "wait" => ObjectiveKind::Wait,
            _ => ObjectiveKind::Other,
        };
        // Whole milliseconds; a negative number or one that is not a number counts as 0.
        let duration = |seconds: f64| Duration::from_millis((seconds * 1000.0) as u64);
        ServiceLevelObjective {
            kind,
            class: objective.class,
            within: objective.within_s.map(duration),
        }
    }
}

/// The workers' heartbeats, and how long their tasks may run without them.
#[derive(Debug, Clone, Deserialize)]
pub struct Workers {
    /// Time between two heartbeats of a worker, s.
    pub report_s: f64,
    /// A worker's lease: after this time without a response to its heartbeats, it stops its tasks, s.
    pub lease_s: f64,
    /// How long the started tasks of a gang wait for the others, s.
    pub gang_wait_s: f64,
    /// How long the tasks of a gang run on when one of them is lost, s.
    pub gang_peer_s: f64,
    /// Time within which all tasks of a cancelled job must have stopped, s.
    pub cancel_s: f64,
}

/// Limits of the state service.
#[derive(Debug, Clone, Deserialize)]
pub struct State {
    /// Calls a second.
    pub rps: f64,
    /// Changes a second.
    pub write_rps: f64,
    /// Largest value, KiB.
    pub value_kb: f64,
    /// Changes in one transaction.
    pub txn_ops: usize,
    /// Limits that will apply from some moment on, without notice.
    #[serde(default)]
    pub(super) next: Option<NextState>,
}

/// Limits of the state service to come. What is left out stays as it is.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub(super) struct NextState {
    pub(super) rps: Option<f64>,
    pub(super) write_rps: Option<f64>,
    pub(super) value_kb: Option<f64>,
    pub(super) txn_ops: Option<usize>,
}

impl State {
    /// Lowers each limit to the one to come, if that is lower. Requests within both limits are
    /// accepted at any time, so that no node has to find out when the change takes effect.
    pub(super) fn apply_lower_limits(&mut self) {
        let next = self.next.take().unwrap_or_default();
        let lower = |limit: &mut f64, next: Option<f64>| {
            *limit = next.map_or(*limit, |next| next.min(*limit));
        };
        lower(&mut self.rps, next.rps);
        lower(&mut self.write_rps, next.write_rps);
        lower(&mut self.value_kb, next.value_kb);
        let txn_ops = next.txn_ops.unwrap_or(self.txn_ops);
        self.txn_ops = txn_ops.min(self.txn_ops);
    }
}

/// Limits of the cloud's API.
#[derive(Debug, Clone, Deserialize)]
pub struct Cloud {
    /// Calls a second.
    pub rps: f64,
    /// By how much the list of machines may be out of date, s.
    pub list_lag_s: f64,
}

/// What is the same for all nodes of a cluster.
#[derive(Debug, Clone, Deserialize)]
pub struct Cluster {
    /// Zones in which machines can be rented; at least one.
    pub zones: Vec<String>,
    /// Teams whose jobs are accepted.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// Service-level objectives of the users.
    #[serde(default)]
    pub objectives: Vec<ServiceLevelObjective>,
    /// Heartbeats and leases of the workers.
    pub workers: Workers,
    /// Limits of the state service.
    pub state: State,
    /// Limits of the cloud's API.
    pub cloud: Cloud,
    /// What a node's machine allows.
    #[serde(default)]
    pub machine_limits: MachineLimits,
}

/// What a node's machine allows.
#[derive(Debug, Clone, Deserialize)]
#[serde(default)]
pub struct MachineLimits {
    /// Sockets at once.
    pub max_connections: usize,
    /// Memory of the process, MB.
    pub mem_mb: f64,
    /// Share of a processor core; none if it is not limited.
    pub cpu_share: Option<f64>,
}

impl Default for MachineLimits {
    fn default() -> Self {
        MachineLimits {
            max_connections: constants::DEFAULT_CONNECTIONS,
            mem_mb: constants::DEFAULT_MEMORY_MB,
            cpu_share: None,
        }
    }
}

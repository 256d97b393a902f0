//! The cluster's part of the platform's settings.

use super::Team;
use crate::constants;
use serde::Deserialize;

/// What a service-level objective measures.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ObjectiveKind {
    /// The time until a job's tasks run.
    Wait,
    /// Anything that no decision of this program depends on.
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
    /// Time within which it is met, ms, if it is about a time.
    pub within_ms: Option<u64>,
}

/// A service-level objective as the platform's file has it. Its name stands in error texts.
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
        ServiceLevelObjective {
            kind,
            class: objective.class,
            within_ms: objective.within_s.map(|s| (s * 1000.0) as u64),
        }
    }
}

/// How workers report and how long their tasks may run unheard, s.
#[derive(Debug, Clone, Deserialize)]
pub struct Workers {
    pub report_s: f64,
    pub lease_s: f64,
    pub gang_wait_s: f64,
    pub gang_peer_s: f64,
    pub cancel_s: f64,
}

/// Limits of the state service: calls and changes a second, KiB a value, changes a transaction.
#[derive(Debug, Clone, Deserialize)]
pub struct State {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
    /// Limits that will hold from some moment on, without notice.
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
    /// The limits to keep to: the least of those of now and of later. Requests that fit the least of
    /// both fit at any time, so nobody has to find out when the change comes.
    pub(super) fn keep_to_least(&mut self) {
        let next = self.next.take().unwrap_or_default();
        let least = |now: &mut f64, next: Option<f64>| *now = next.map_or(*now, |n| now.min(n));
        least(&mut self.rps, next.rps);
        least(&mut self.write_rps, next.write_rps);
        least(&mut self.value_kb, next.value_kb);
        self.txn_ops = next.txn_ops.map_or(self.txn_ops, |n| n.min(self.txn_ops));
    }
}

/// The cloud's limit of calls a second, and by how many seconds its machine list may lag.
#[derive(Debug, Clone, Deserialize)]
pub struct Cloud {
    pub rps: f64,
    pub list_lag_s: f64,
}

/// What is the same for all nodes of a cluster.
#[derive(Debug, Clone, Deserialize)]
pub struct Cluster {
    pub zones: Vec<String>,
    #[serde(default)]
    pub teams: Vec<Team>,
    #[serde(default)]
    pub objectives: Vec<ServiceLevelObjective>,
    pub workers: Workers,
    pub state: State,
    pub cloud: Cloud,
    #[serde(default)]
    pub machine_limits: MachineLimits,
}

/// What this node's machine allows.
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

//! The cluster section of the platform's settings. Error texts contain the names of these types.

use super::Team;
use crate::constants;
use serde::Deserialize;
use std::time::Duration;

/// What a service-level objective measures.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ObjectiveKind {
    /// The time until a job's tasks run.
    Wait,
    /// Any other measure; the scheduler ignores it.
    Other,
}

/// A service-level objective of the users.
#[derive(Debug, Clone, Deserialize)]
#[serde(from = "Objective")]
pub struct ServiceLevelObjective {
    /// What the objective measures.
    pub kind: ObjectiveKind,
    /// Class of the jobs to which the objective applies; all classes if absent.
    pub class: Option<String>,
    /// Upper bound on the measured time, for objectives that measure a time.
    pub within: Option<Duration>,
}

/// A service-level objective in the form of the platform's file.
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
        // The time is cut to whole milliseconds; negative values and NaN become 0.
        let duration = |seconds: f64| Duration::from_millis((seconds * 1000.0) as u64);
        ServiceLevelObjective {
            kind,
            class: objective.class,
            within: objective.within_s.map(duration),
        }
    }
}

/// Times of the workers' heartbeats, leases and gangs.
#[derive(Debug, Clone, Deserialize)]
pub struct Workers {
    /// Time between two heartbeats of a worker, in seconds.
    pub report_s: f64,
    /// A worker's lease, in seconds: a worker that gets no response to its heartbeats for this long
    /// stops its tasks.
    pub lease_s: f64,
    /// Time for which the started tasks of a gang wait for the others, in seconds.
    pub gang_wait_s: f64,
    /// Time for which the tasks of a gang keep running after one of them is lost, in seconds.
    pub gang_peer_s: f64,
    /// Time within which all tasks of a cancelled job must have stopped, in seconds.
    pub cancel_s: f64,
}

/// Limits of the state service.
#[derive(Debug, Clone, Deserialize)]
pub struct State {
    /// Maximum number of calls per second.
    pub rps: f64,
    /// Maximum number of changes per second.
    pub write_rps: f64,
    /// Maximum size of a value, in KiB.
    pub value_kb: f64,
    /// Maximum number of changes in one transaction.
    pub txn_ops: usize,
    /// Limits that will replace these at some time, without notice.
    #[serde(default)]
    pub(super) next: Option<NextState>,
}

/// Future limits of the state service. A limit that is left out does not change.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub(super) struct NextState {
    pub(super) rps: Option<f64>,
    pub(super) write_rps: Option<f64>,
    pub(super) value_kb: Option<f64>,
    pub(super) txn_ops: Option<usize>,
}

impl State {
    /// Lowers each limit to its future value, if that is lower. Requests within both limits are
    /// accepted before and after the change, so that no node has to detect when the change takes
    /// effect.
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
    /// Maximum number of calls per second.
    pub rps: f64,
    /// Time by which the machine list may be out of date, in seconds.
    pub list_lag_s: f64,
}

/// Settings that all nodes of a cluster share.
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
    /// Times of the workers' heartbeats, leases and gangs.
    pub workers: Workers,
    /// Limits of the state service.
    pub state: State,
    /// Limits of the cloud's API.
    pub cloud: Cloud,
    /// Limits of the machine on which a node runs.
    #[serde(default)]
    pub machine_limits: MachineLimits,
}

/// Limits of the machine on which a node runs.
#[derive(Debug, Clone, Deserialize)]
#[serde(default)]
pub struct MachineLimits {
    /// Maximum number of open sockets.
    pub max_connections: usize,
    /// Memory limit of the process, in MB.
    pub mem_mb: f64,
    /// Share of a processor core; unlimited if absent.
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

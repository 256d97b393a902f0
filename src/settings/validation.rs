//! Checks on the values of the platform's settings, beyond their form.

use super::cluster::{Cluster, MachineLimits, State, Workers};
use super::{Settings, Team};
use crate::constants;

/// Least size of a value in the state service, KiB, and least number of changes of a transaction: a
/// submission without long lists, and a part of an array's progress, take less than the one; a change
/// of leader, a round or an end of a job fits into the other.
const VALUE_KB_MIN: f64 = 2.0;
const TXN_OPS_MIN: usize = 4;

/// Most bytes of a node's name.
const NODE_NAME_MAX: usize = 100;
/// Most that a duration, a rate or a size may be.
const AMOUNT_MAX: f64 = 1e6;
/// Most CPUs or GPUs of a team.
const TEAM_AMOUNT_MAX: f64 = 1e9;

/// A field whose value is not allowed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct InvalidField {
    /// The field's path within the file.
    pub field: String,
    /// What was expected.
    pub allowed: String,
}

impl InvalidField {
    fn new(field: impl Into<String>, allowed: impl Into<String>) -> Self {
        InvalidField {
            field: field.into(),
            allowed: allowed.into(),
        }
    }
}

type Validity = Result<(), InvalidField>;

/// Checks all values; the first that is not allowed is the error.
pub(super) fn validate(settings: &Settings) -> Validity {
    let cluster = &settings.cluster;
    validate_node_name(&settings.node)?;
    validate_zones(cluster)?;
    validate_positive_amounts(cluster)?;
    validate_state_minima(&cluster.state)?;
    validate_list_lag(cluster)?;
    validate_machine_limits(&cluster.machine_limits)?;
    for team in &cluster.teams {
        validate_team(team)?;
    }
    validate_cancellation_time(&cluster.workers)
}

fn validate_node_name(name: &str) -> Validity {
    if name.is_empty() || name.len() > NODE_NAME_MAX || name.contains(char::is_whitespace) {
        let allowed = "expected 1 to 100 bytes without spaces";
        return Err(InvalidField::new("node_name", allowed));
    }
    Ok(())
}

fn validate_zones(cluster: &Cluster) -> Validity {
    if cluster.zones.is_empty() {
        let allowed = "expected at least one zone";
        return Err(InvalidField::new("cluster.zones", allowed));
    }
    Ok(())
}

fn validate_positive_amounts(cluster: &Cluster) -> Validity {
    let workers = &cluster.workers;
    let state = &cluster.state;
    let next = state.next.clone().unwrap_or_default();
    let amounts = [
        ("cluster.workers.report_s", Some(workers.report_s)),
        ("cluster.workers.lease_s", Some(workers.lease_s)),
        ("cluster.workers.gang_wait_s", Some(workers.gang_wait_s)),
        ("cluster.workers.gang_peer_s", Some(workers.gang_peer_s)),
        ("cluster.workers.cancel_s", Some(workers.cancel_s)),
        ("cluster.state.rps", Some(state.rps)),
        ("cluster.state.write_rps", Some(state.write_rps)),
        ("cluster.state.value_kb", Some(state.value_kb)),
        ("cluster.cloud.rps", Some(cluster.cloud.rps)),
        ("cluster.state.next.rps", next.rps),
        ("cluster.state.next.write_rps", next.write_rps),
        ("cluster.state.next.value_kb", next.value_kb),
    ];
    for (field, amount) in amounts {
        if amount.is_some_and(|amount| !(amount > 0.0 && amount <= AMOUNT_MAX)) {
            let allowed = "expected a number above 0, at most 1e6";
            return Err(InvalidField::new(field, allowed));
        }
    }
    Ok(())
}

fn validate_state_minima(state: &State) -> Validity {
    let next = state.next.clone().unwrap_or_default();
    for (field, value_kb) in [
        ("cluster.state.value_kb", Some(state.value_kb)),
        ("cluster.state.next.value_kb", next.value_kb),
    ] {
        if value_kb.is_some_and(|kb| kb < VALUE_KB_MIN) {
            let allowed = format!("expected at least {VALUE_KB_MIN}");
            return Err(InvalidField::new(field, allowed));
        }
    }
    for (field, txn_ops) in [
        ("cluster.state.txn_ops", Some(state.txn_ops)),
        ("cluster.state.next.txn_ops", next.txn_ops),
    ] {
        if txn_ops.is_some_and(|ops| ops < TXN_OPS_MIN) {
            let allowed = format!("expected at least {TXN_OPS_MIN}");
            return Err(InvalidField::new(field, allowed));
        }
    }
    Ok(())
}

fn validate_list_lag(cluster: &Cluster) -> Validity {
    if !(0.0..=AMOUNT_MAX).contains(&cluster.cloud.list_lag_s) {
        let allowed = "expected a number from 0 to 1e6";
        return Err(InvalidField::new("cluster.cloud.list_lag_s", allowed));
    }
    Ok(())
}

fn validate_machine_limits(limits: &MachineLimits) -> Validity {
    let field = |name: &str| format!("cluster.machine_limits.{name}");
    if limits.max_connections < constants::MIN_CONNECTIONS {
        let allowed = format!("expected at least {}", constants::MIN_CONNECTIONS);
        return Err(InvalidField::new(field("max_connections"), allowed));
    }
    if !(constants::MIN_MEMORY_MB..=AMOUNT_MAX).contains(&limits.mem_mb) {
        let allowed = format!("expected a number from {} to 1e6", constants::MIN_MEMORY_MB);
        return Err(InvalidField::new(field("mem_mb"), allowed));
    }
    if limits
        .cpu_share
        .is_some_and(|share| !(share > 0.0 && share <= AMOUNT_MAX))
    {
        let allowed = "expected a number above 0, at most 1e6";
        return Err(InvalidField::new(field("cpu_share"), allowed));
    }
    Ok(())
}

fn validate_team(team: &Team) -> Validity {
    for (name, amount) in [
        ("cpus", team.cpus),
        ("cpus_max", team.cpus_max),
        ("gpus", team.gpus),
        ("gpus_max", team.gpus_max),
    ] {
        if !(0.0..=TEAM_AMOUNT_MAX).contains(&amount) {
            let field = format!("cluster.teams.{}.{name}", team.name);
            return Err(InvalidField::new(field, "expected a number from 0 to 1e9"));
        }
    }
    Ok(())
}

/// A cancellation must be able to outlast a worker's lease: see [`super::Timing::grace`].
fn validate_cancellation_time(workers: &Workers) -> Validity {
    let (cancel_s, lease_s) = (workers.cancel_s, workers.lease_s);
    if cancel_s < lease_s + constants::MIN_CANCEL_SLACK_S {
        let allowed = format!(
            "{cancel_s} given; expected at least lease_s ({lease_s}) and {} s more",
            constants::MIN_CANCEL_SLACK_S
        );
        return Err(InvalidField::new("cluster.workers.cancel_s", allowed));
    }
    Ok(())
}

//! Validates the values of the platform's settings after they have been parsed.

use super::cluster::{Cluster, MachineLimits, State, Workers};
use super::error::{InvalidField, Violation};
use super::{Settings, Team};
use crate::constants;

/// Minimum for the value limit of the state service, in KiB. A submission without long lists and a
/// progress record of an array take less.
const MIN_VALUE_KB: f64 = 2.0;
/// Minimum for the number of changes in a transaction. An election, a round or a completion needs
/// no more.
const MIN_TXN_OPS: usize = 4;

/// Maximum length of a node's name, in bytes.
pub(super) const MAX_NODE_NAME_BYTES: usize = 100;
/// Maximum value of a duration, a rate or a size, in the unit of its field.
pub(super) const MAX_AMOUNT: f64 = 1e6;
/// Maximum number of CPUs or GPUs of a team.
pub(super) const MAX_TEAM_AMOUNT: f64 = 1e9;

type ValidationResult = Result<(), InvalidField>;

/// Validates all values.
///
/// # Errors
///
/// Returns the first field whose value is not allowed.
pub(super) fn validate(settings: &Settings) -> ValidationResult {
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

fn validate_node_name(name: &str) -> ValidationResult {
    let is_too_long = name.len() > MAX_NODE_NAME_BYTES;
    if name.is_empty() || is_too_long || name.contains(char::is_whitespace) {
        return Err(InvalidField::new("node_name", Violation::NodeName));
    }
    Ok(())
}

fn validate_zones(cluster: &Cluster) -> ValidationResult {
    if cluster.zones.is_empty() {
        return Err(InvalidField::new("cluster.zones", Violation::NoZones));
    }
    Ok(())
}

fn validate_positive_amounts(cluster: &Cluster) -> ValidationResult {
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
        if amount.is_some_and(|amount| !is_positive(amount)) {
            return Err(InvalidField::new(field, Violation::NotPositive));
        }
    }
    Ok(())
}

fn is_positive(amount: f64) -> bool {
    amount > 0.0 && amount <= MAX_AMOUNT
}

fn validate_state_minima(state: &State) -> ValidationResult {
    let next = state.next.clone().unwrap_or_default();
    for (field, value_kb) in [
        ("cluster.state.value_kb", Some(state.value_kb)),
        ("cluster.state.next.value_kb", next.value_kb),
    ] {
        if value_kb.is_some_and(|value_kb| value_kb < MIN_VALUE_KB) {
            let minimum = MIN_VALUE_KB;
            return Err(InvalidField::new(
                field,
                Violation::BelowMinimum { minimum },
            ));
        }
    }
    for (field, txn_ops) in [
        ("cluster.state.txn_ops", Some(state.txn_ops)),
        ("cluster.state.next.txn_ops", next.txn_ops),
    ] {
        if txn_ops.is_some_and(|txn_ops| txn_ops < MIN_TXN_OPS) {
            let minimum = MIN_TXN_OPS as f64;
            return Err(InvalidField::new(
                field,
                Violation::BelowMinimum { minimum },
            ));
        }
    }
    Ok(())
}

fn validate_list_lag(cluster: &Cluster) -> ValidationResult {
    if !(0.0..=MAX_AMOUNT).contains(&cluster.cloud.list_lag_s) {
        let violation = Violation::OutOfRange { minimum: 0.0 };
        return Err(InvalidField::new("cluster.cloud.list_lag_s", violation));
    }
    Ok(())
}

fn validate_machine_limits(limits: &MachineLimits) -> ValidationResult {
    let field = |name: &str| format!("cluster.machine_limits.{name}");
    if limits.max_connections < constants::MIN_CONNECTIONS {
        let minimum = constants::MIN_CONNECTIONS as f64;
        let violation = Violation::BelowMinimum { minimum };
        return Err(InvalidField::new(field("max_connections"), violation));
    }
    if !(constants::MIN_MEMORY_MB..=MAX_AMOUNT).contains(&limits.mem_mb) {
        let minimum = constants::MIN_MEMORY_MB;
        let violation = Violation::OutOfRange { minimum };
        return Err(InvalidField::new(field("mem_mb"), violation));
    }
    if limits.cpu_share.is_some_and(|share| !is_positive(share)) {
        let violation = Violation::NotPositive;
        return Err(InvalidField::new(field("cpu_share"), violation));
    }
    Ok(())
}

fn validate_team(team: &Team) -> ValidationResult {
    for (name, amount) in [
        ("cpus", team.cpus),
        ("cpus_max", team.cpus_max),
        ("gpus", team.gpus),
        ("gpus_max", team.gpus_max),
    ] {
        if !(0.0..=MAX_TEAM_AMOUNT).contains(&amount) {
            let field = format!("cluster.teams.{}.{name}", team.name);
            return Err(InvalidField::new(field, Violation::TeamAmount));
        }
    }
    Ok(())
}

/// Validates the time allowed for a cancellation. A leader that has not received a cancellation
/// must stop renewing workers' leases early enough for the leases to expire within that time; see
/// [`super::Timing::leader_grace`].
fn validate_cancellation_time(workers: &Workers) -> ValidationResult {
    let (cancel_s, lease_s) = (workers.cancel_s, workers.lease_s);
    if cancel_s < lease_s + constants::MIN_CANCEL_SLACK_S {
        let violation = Violation::CancellationTime { cancel_s, lease_s };
        return Err(InvalidField::new("cluster.workers.cancel_s", violation));
    }
    Ok(())
}

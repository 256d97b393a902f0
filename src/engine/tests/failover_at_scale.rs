//! A failover of a busy fleet combined with a zone partition, hung machines and late machine lists:
//! with 200 machines, and with 4,000 machines in an ignored test.

use super::large_fleet::full_fleet;
use super::simulated_cluster::{Millis, SimulatedCluster};
use super::support::short_job;
use crate::wire::user::JobKind;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

/// How long the zones are partitioned: well within the grace period.
const PARTITION_MS: Millis = 8_000;
/// Time limit for all tasks to run again after the last fault.
const RECOVERY_LIMIT_MS: Millis = 240_000;

/// The measurements of one run of the scenario.
struct Outcome {
    /// Time from the leader's crash to the first start by its successor.
    first_start_ms: Millis,
    /// Time from the leader's crash until all tasks ran again.
    recovered_ms: Millis,
    /// Number of machines that hung.
    hung: usize,
}

/// Returns a fleet with `machines` machines that are full of tasks and a few that have just become
/// idle.
fn full_fleet_and_idle_machines(machines: usize) -> SimulatedCluster {
    let mut cluster = full_fleet(machines);
    cluster.run(30_000);
    // The machines of this job become idle, so that jobs that start after the failover do not wait
    // for a machine to boot.
    cluster.submit(short_job("run-8", JobKind::Array, 40));
    assert!(cluster.run_until(120_000, |cluster| cluster.is_done("run-8")));
    cluster
}

/// The machines of a fleet, divided into those that hang and the others.
struct Machines {
    hung: Vec<String>,
    alive: Vec<String>,
}

/// Partitions the zones, delays the cloud's machine lists, and makes `hung_count` randomly chosen
/// machines hang.
fn inject_faults(cluster: &mut SimulatedCluster, hung_count: usize, seed: u64) -> Machines {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut hung: Vec<String> = cluster.workers.keys().cloned().collect();
    hung.shuffle(&mut random);
    let alive = hung.split_off(hung_count);
    cluster.faults.hung_machines.extend(hung.iter().cloned());
    cluster.faults.zones_partitioned = true;
    cluster.faults.machine_list_delay = random.random_range(2_000..10_000);
    Machines { hung, alive }
}

/// Runs the scenario: the leader crashes, the zones are partitioned, a fifth of the machines hang,
/// and the cloud's machine lists are late. A job that is submitted right after the crash waits for
/// its first start.
fn run_scenario(machines: usize, seed: u64) -> Outcome {
    let mut cluster = full_fleet_and_idle_machines(machines);
    let tasks = cluster.all_running_tasks();
    let Machines { hung, alive } = inject_faults(&mut cluster, machines / 5, seed);
    let (starts, term, crashed_at) = (cluster.starts, cluster.term(), cluster.now);
    let leader = cluster.crash_leader();
    cluster.submit(short_job("run-9", JobKind::Array, 40));
    let has_started = |cluster: &SimulatedCluster| cluster.starts > starts;
    let during_partition = cluster
        .run_until(PARTITION_MS, has_started)
        .then_some(cluster.now);
    cluster.run((crashed_at + PARTITION_MS).saturating_sub(cluster.now));
    cluster.faults.zones_partitioned = false;
    cluster.start(leader);
    let started_in_time =
        during_partition.is_some() || cluster.run_until(RECOVERY_LIMIT_MS, has_started);
    assert!(started_in_time, "seed {seed}: no start");
    let first_start = during_partition.unwrap_or(cluster.now);
    let all_tasks_run = |cluster: &SimulatedCluster| {
        cluster.is_done("run-9") && cluster.all_running_tasks() == tasks
    };
    let recovered = cluster.run_until(RECOVERY_LIMIT_MS, all_tasks_run);
    let (running, returned) = (cluster.all_running_tasks(), cluster.returned_machines.len());
    assert!(
        recovered,
        "seed {seed}: {running} of {tasks} tasks run, {returned} returned"
    );
    assert!(cluster.term() > term, "seed {seed}: no failover");
    assert_eq!(cluster.waiting_jobs(), Vec::<String>::new(), "seed {seed}");
    let lost = alive
        .iter()
        .filter(|machine| cluster.returned_machines.contains(machine));
    assert_eq!(lost.count(), 0, "seed {seed}: live machines returned");
    assert_eq!(cluster.violations, Vec::<String>::new(), "seed {seed}");
    Outcome {
        first_start_ms: first_start - crashed_at,
        recovered_ms: cluster.now - crashed_at,
        hung: hung.len(),
    }
}

#[test]
fn failover_with_combined_faults_loses_no_task() {
    for seed in 1..=3 {
        let outcome = run_scenario(200, seed);
        assert_eq!(outcome.hung, 40);
        // The limit covers the election, the first heartbeats and the partition.
        assert!(
            outcome.first_start_ms < 30_000,
            "seed {seed}: first start too late"
        );
        assert!(
            outcome.recovered_ms < RECOVERY_LIMIT_MS,
            "seed {seed}: recovered too late"
        );
    }
}

/// Prints figures for `docs/measurements.md`. Run with
/// `cargo test --release -- --ignored --nocapture at_4000_machines`.
#[test]
#[ignore = "takes minutes"]
fn failover_at_4000_machines_loses_no_task() {
    for seed in 1..=3 {
        let outcome = run_scenario(4_000, seed);
        println!(
            "seed {seed}: {} machines hung, first start after {} ms, all tasks run after {} ms",
            outcome.hung, outcome.first_start_ms, outcome.recovered_ms
        );
    }
}

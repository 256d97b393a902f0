//! A failover of a busy fleet, combined with all other faults: in a small size, and by a command of its
//! own at 4,000 machines.

use super::large_fleet::fleet;
use super::simulated_cluster::{Millis, SimulatedCluster};
use super::support::short_job;
use crate::wire::user::JobKind;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

/// How long zones are partitioned: well within the grace period.
const PARTITION_MS: Millis = 8_000;
/// How long after the last fault all tasks have to run again.
const RECOVERY_MS: Millis = 240_000;

/// The result of a run.
struct Outcome {
    /// From the leader's crash to the first start by its successor.
    first_start_ms: Millis,
    /// From the leader's crash until all tasks ran again.
    recovered_ms: Millis,
    /// Machines that hung.
    hung: usize,
}

/// A fleet with tasks on all machines, and some that have just become idle.
fn busy_fleet(machines: usize) -> SimulatedCluster {
    let mut cluster = fleet(machines);
    cluster.run(30_000);
    // Jobs that start after the failover need not wait for a machine to boot.
    cluster.submit(short_job("run-8", JobKind::Array, 40));
    assert!(cluster.run_until(120_000, |w| w.is_done("run-8")));
    cluster
}

/// Machines by what becomes of them.
struct Machines {
    hung: Vec<String>,
    alive: Vec<String>,
}

/// Partitions the zones, makes the cloud's lists late, and lets that many machines hang.
fn inject_faults(cluster: &mut SimulatedCluster, hung_machines: usize, seed: u64) -> Machines {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut hung: Vec<String> = cluster.workers.keys().cloned().collect();
    hung.shuffle(&mut random);
    let alive = hung.split_off(hung_machines);
    cluster.faults.hung_machines.extend(hung.iter().cloned());
    cluster.faults.zones_partitioned = true;
    cluster.faults.machine_list_delay = random.random_range(2_000..10_000);
    Machines { hung, alive }
}

/// The leader crashes, a zone is partitioned, a fifth of the machines hang, and the cloud's lists
/// are late; a job that was just submitted waits for its first start.
fn play(machines: usize, seed: u64) -> Outcome {
    let mut cluster = busy_fleet(machines);
    let tasks = cluster.all_running_tasks();
    let Machines { hung, alive } = inject_faults(&mut cluster, machines / 5, seed);
    let (starts, term, crashed_at) = (cluster.starts, cluster.term(), cluster.now);
    let leader = cluster.crash_leader();
    cluster.submit(short_job("run-9", JobKind::Array, 40));
    let started = |w: &SimulatedCluster| w.starts > starts;
    let during_partition = cluster
        .run_until(PARTITION_MS, started)
        .then_some(cluster.now);
    cluster.run((crashed_at + PARTITION_MS).saturating_sub(cluster.now));
    cluster.faults.zones_partitioned = false;
    cluster.start(leader);
    let started_in_time = during_partition.is_some() || cluster.run_until(RECOVERY_MS, started);
    assert!(started_in_time, "seed {seed}: no start");
    let first_start = during_partition.unwrap_or(cluster.now);
    let all_run = |w: &SimulatedCluster| w.is_done("run-9") && w.all_running_tasks() == tasks;
    let recovered = cluster.run_until(RECOVERY_MS, all_run);
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
    assert_eq!(lost.count(), 0, "seed {seed}: returned though alive");
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
        let outcome = play(200, seed);
        assert_eq!(outcome.hung, 40);
        // The election, the first heartbeats, and the partition.
        assert!(outcome.first_start_ms < 30_000, "seed {seed}");
        assert!(outcome.recovered_ms < RECOVERY_MS, "seed {seed}");
    }
}

/// Figures for `docs/measurements.md`; `cargo test --release -- --ignored --nocapture at_4000_machines`
/// prints them.
#[test]
#[ignore = "takes minutes"]
fn failover_at_4000_machines_loses_no_task() {
    for seed in 1..=3 {
        let outcome = play(4_000, seed);
        println!(
            "seed {seed}: {} machines hung, first start after {} ms, all tasks run after {} ms",
            outcome.hung, outcome.first_start_ms, outcome.recovered_ms
        );
    }
}

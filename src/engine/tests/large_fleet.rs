//! Scenarios with large fleets.

use super::simulated_cluster::{SimulatedCluster, UNLIMITED_GPUS};
use super::support::{job_with_duration, short_job};
use crate::constants;
use crate::wire::user::{JobKind, Priority};
use crate::wire::worker::Heartbeat;
use std::time::Duration;

/// Returns a cluster in which `machines` machines run four tasks each. The tasks belong to services
/// of production priority and to arrays, whose tasks run for 3,000 s.
pub(crate) fn full_fleet(machines: usize) -> SimulatedCluster {
    let mut cluster = SimulatedCluster::new(3, UNLIMITED_GPUS);
    cluster.page_items = constants::STORE_LIST_PAGE_ITEMS as usize;
    cluster.run(2_000);
    let tasks = 4 * machines as u64;
    for number in 0..tasks / 80 {
        let mut service = short_job(&format!("run-1{number}"), JobKind::Service, 8);
        (service.priority, service.spread_zones) = (Priority::Production, true);
        let array = job_with_duration(&format!("run-2{number}"), JobKind::Array, 72, 3_000.0);
        cluster.submit(service);
        cluster.submit(array);
    }
    assert!(
        cluster.run_until(120_000, |cluster| cluster.all_running_tasks() as u64
            == tasks),
        "{} of {tasks} tasks run",
        cluster.all_running_tasks()
    );
    assert_eq!(cluster.starts, tasks);
    cluster
}

/// Prints figures for `docs/measurements.md`. Run with
/// `cargo test --release -- --ignored --nocapture`.
#[test]
#[ignore = "measures, decides nothing"]
fn measure_engine_time() {
    for machines in [240, 480, 960, 1_920] {
        let mut cluster = full_fleet(machines);
        let start = cluster.engine_time;
        cluster.engine_time = Duration::ZERO;
        cluster.run(30_000);
        let steady = cluster.engine_time / 30;
        cluster.engine_time = Duration::ZERO;
        for number in 0..40 {
            let mut gang = short_job(&format!("run-3{number}"), JobKind::Gang, 16);
            (gang.gpus, gang.single_zone) = (4.0, true);
            cluster.submit(gang);
        }
        cluster.faults.zone_capacity = Some(1);
        cluster.run(30_000);
        let without_capacity = cluster.engine_time / 30;
        for number in 0..960 {
            cluster.submit(short_job(&format!("run-4{number}"), JobKind::Array, 8));
        }
        cluster.engine_time = Duration::ZERO;
        cluster.run(30_000);
        let with_more_jobs = cluster.engine_time / 30;
        println!(
            "{machines} machines: start {start:?} in total; per second {steady:?} with heartbeats \
             alone, {without_capacity:?} with 40 large gangs for which there is no capacity, and \
             {with_more_jobs:?} with 960 more jobs"
        );
    }
}

/// Prints the longest engine steps by the kind of their first command, for the start of the fleet
/// and for a failover.
#[test]
#[ignore = "measures, decides nothing"]
fn measure_longest_engine_steps() {
    for machines in [200, 1_000, 4_000] {
        let mut cluster = full_fleet(machines);
        println!("{machines} machines, start: {:?}", cluster.longest_steps);
        cluster.longest_steps.clear();
        cluster.crash_leader();
        cluster.submit(short_job("run-9", JobKind::Array, 40));
        cluster.run(30_000);
        println!("{machines} machines, failover: {:?}", cluster.longest_steps);
    }
}

/// Returns the last heartbeat of each of these machines.
fn last_heartbeats<'a>(
    cluster: &SimulatedCluster,
    machines: impl IntoIterator<Item = &'a String>,
) -> Vec<Heartbeat> {
    let heartbeats = machines.into_iter();
    heartbeats
        .filter_map(|machine| cluster.heartbeats_of(machine).pop())
        .collect()
}

/// Guards against a new leader that is overloaded by a large fleet: all workers send heartbeats to
/// it within a second, and late copies of earlier heartbeats arrive among them. Each worker must
/// keep its lease and its tasks and get new ones, and no other node may be elected.
#[test]
fn large_fleet_keeps_leases_and_tasks_after_a_failover() {
    let mut cluster = full_fleet(1_900);
    // This is longer than a machine may take to boot.
    cluster.run(30_000);
    let (busy, starts, term) = (cluster.busy_machines(), cluster.starts, cluster.term());
    let late_copies = last_heartbeats(&cluster, &busy);
    cluster.crash_leader();
    cluster.run(3_000);
    cluster.schedule_all_heartbeats_within(1_000);
    for batch in late_copies.chunks(200) {
        cluster.redeliver_heartbeats(batch);
        cluster.run(200);
    }
    cluster.run(12_000);
    assert_eq!(cluster.term(), term + 1);
    cluster.submit(short_job("run-9", JobKind::Array, 40));
    assert!(cluster.run_until(60_000, |cluster| cluster.is_done("run-9")));
    assert_eq!(cluster.term(), term + 1, "no other node was elected");
    assert_eq!(
        (cluster.all_running_tasks(), cluster.starts),
        (7_600, starts + 40)
    );
    assert!(
        !cluster
            .returned_machines
            .iter()
            .any(|machine| busy.contains(machine))
    );
    assert_eq!(cluster.violations, Vec::<String>::new());
}

/// Half of the machines hang at once and are replaced, late copies of their heartbeats arrive, and
/// the leader crashes in the meantime. Every lost task must be placed again, services first, and no
/// task may run twice.
#[test]
fn tasks_of_hung_half_of_a_fleet_are_placed_again_services_first() {
    let mut cluster = full_fleet(1_000);
    let hung: Vec<String> = cluster.workers.keys().step_by(2).cloned().collect();
    let tasks_on = |machine: &String| cluster.workers[machine].tasks.len() as u64;
    let lost: u64 = hung.iter().map(tasks_on).sum();
    let starts = cluster.starts;
    let services = cluster.running_tasks_of_jobs("run-1");
    let late_copies = last_heartbeats(&cluster, &hung);
    cluster.faults.hung_machines.extend(hung.iter().cloned());
    cluster.run(17_500);
    let leader = cluster.crash_leader();
    cluster.run(300);
    cluster.start(leader);
    // Only the return of a hung machine proves that its tasks have ended.
    let mut running_at_recovery = None;
    for second in 0..120 {
        cluster.redeliver_heartbeats(&late_copies[second % late_copies.len()..][..1]);
        cluster.run(1_000);
        // Tasks on hung machines are not counted.
        if running_at_recovery.is_none() && cluster.running_tasks_of_jobs("run-1") == services {
            running_at_recovery = Some(cluster.all_running_tasks());
        }
        if cluster.all_running_tasks() == 4_000 {
            break;
        }
    }
    assert_eq!(
        cluster.all_running_tasks(),
        4_000,
        "{} returned",
        cluster.returned_machines.len()
    );
    assert!(
        running_at_recovery.is_some_and(|running| running < 4_000),
        "services are placed first"
    );
    assert_eq!(cluster.starts, starts + lost);
    assert!(
        hung.iter()
            .all(|machine| cluster.returned_machines.contains(machine))
    );
    assert_eq!(cluster.violations, Vec::<String>::new());
}

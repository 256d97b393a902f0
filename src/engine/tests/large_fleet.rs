//! Fleets of full size.

use super::simulated_cluster::{SimulatedCluster, UNLIMITED_GPUS};
use super::support::{job_with_duration, short_job};
use crate::constants;
use crate::wire::user::{JobKind, Priority};
use crate::wire::worker::Heartbeat;
use std::time::Duration;

/// A fleet with four tasks on each machine: services first, then arrays that run long.
pub(crate) fn fleet(machines: usize) -> SimulatedCluster {
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
        cluster.run_until(120_000, |w| w.all_running_tasks() as u64 == tasks),
        "{} of {tasks} tasks run",
        cluster.all_running_tasks()
    );
    assert_eq!(cluster.starts, tasks);
    cluster
}

/// Figures for `docs/measurements.md`; `cargo test --release -- --ignored --nocapture` prints
/// them.
#[test]
#[ignore = "measures, decides nothing"]
fn measure_engine_time() {
    for machines in [240, 480, 960, 1_920] {
        let mut cluster = fleet(machines);
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
            "{machines} machines: start {start:?} in all; a second of heartbeats alone \
             {steady:?}, with 40 large gangs for which there is no capacity {without_capacity:?}, and with 960 \
             more jobs {with_more_jobs:?}"
        );
    }
}

/// The longest steps by what they begin with, when the fleet starts and through a failover.
#[test]
#[ignore = "measures, decides nothing"]
fn measure_longest_engine_steps() {
    for machines in [200, 1_000, 4_000] {
        let mut cluster = fleet(machines);
        println!("{machines} machines, start: {:?}", cluster.longest_steps);
        cluster.longest_steps.clear();
        cluster.crash_leader();
        cluster.submit(short_job("run-9", JobKind::Array, 40));
        cluster.run(30_000);
        println!(
            "{machines} machines, change of leader: {:?}",
            cluster.longest_steps
        );
    }
}

/// The last heartbeat of each of these machines.
fn last_heartbeats<'a>(
    cluster: &SimulatedCluster,
    machines: impl IntoIterator<Item = &'a String>,
) -> Vec<Heartbeat> {
    let heartbeats = machines.into_iter();
    heartbeats
        .filter_map(|machine| cluster.heartbeats_of(machine).pop())
        .collect()
}

/// All workers find the new leader within a second, with late copies among their heartbeats. Each
/// keeps its lease and its tasks, and gets new ones; no other node is elected.
#[test]
fn large_fleet_reports_after_a_failover() {
    let mut cluster = fleet(1_900);
    // Longer than a machine may take to boot.
    cluster.run(30_000);
    let (busy, starts, term) = (cluster.busy_machines(), cluster.starts, cluster.term());
    let copies = last_heartbeats(&cluster, &busy);
    cluster.crash_leader();
    cluster.run(3_000);
    cluster.schedule_all_heartbeats_within(1_000);
    for copies in copies.chunks(200) {
        cluster.redeliver_heartbeats(copies);
        cluster.run(200);
    }
    cluster.run(12_000);
    assert_eq!(cluster.term(), term + 1);
    cluster.submit(short_job("run-9", JobKind::Array, 40));
    assert!(cluster.run_until(60_000, |w| w.is_done("run-9")));
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

/// Half of the fleet hangs at once and is replaced, late copies of its heartbeats arrive, and the
/// leader crashes meanwhile. Every task is placed again, services first, and none runs twice.
#[test]
fn tasks_of_half_a_large_fleet_are_placed_again() {
    let mut cluster = fleet(1_000);
    let hung: Vec<String> = cluster.workers.keys().step_by(2).cloned().collect();
    let tasks_on = |machine: &String| cluster.workers[machine].tasks.len() as u64;
    let lost: u64 = hung.iter().map(tasks_on).sum();
    let starts = cluster.starts;
    let services = cluster.running_tasks_of_jobs("run-1");
    let copies = last_heartbeats(&cluster, &hung);
    cluster.faults.hung_machines.extend(hung.iter().cloned());
    cluster.run(17_500);
    let leader = cluster.crash_leader();
    cluster.run(300);
    cluster.start(leader);
    // Nothing but a return proves that the tasks of a hung machine are gone.
    let mut services_at = None;
    for second in 0..120 {
        cluster.redeliver_heartbeats(&copies[second % copies.len()..][..1]);
        cluster.run(1_000);
        // Tasks on hung machines don't count.
        if services_at.is_none() && cluster.running_tasks_of_jobs("run-1") == services {
            services_at = Some(cluster.all_running_tasks());
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
        services_at.is_some_and(|running| running < 4_000),
        "services first"
    );
    assert_eq!(cluster.starts, starts + lost);
    assert!(
        hung.iter()
            .all(|machine| cluster.returned_machines.contains(machine))
    );
    assert_eq!(cluster.violations, Vec::<String>::new());
}

//! Machines that hang, fail, lose messages or restart.

use super::simulated_cluster::SimulatedCluster;
use super::support::{assert_completes, cluster_with, short_job};
use crate::wire::user::JobKind;

#[test]
fn hung_machine_is_replaced_without_duplicate_tasks() {
    let mut cluster = cluster_with(vec![short_job("run-1", JobKind::Service, 1)]);
    assert!(cluster.run_until(60_000, |w| w.running_tasks("run-1") == 1));
    let machine = cluster.first_machine_of_job("run-1").unwrap();
    cluster.faults.hung_machines.insert(machine.clone());
    cluster.faults.cloud_unavailable = true;
    cluster.run(60_000);
    assert_eq!(cluster.starts, 1, "missing heartbeats alone prove nothing");
    cluster.faults.cloud_unavailable = false;
    assert!(cluster.run_until(60_000, |w| w.running_tasks("run-1") == 1 && w.starts == 2));
    assert!(cluster.returned_machines.contains(&machine));
    assert_eq!(cluster.violations, Vec::<String>::new());
}

#[test]
fn failing_machines_are_quarantined_and_failing_jobs_back_off() {
    let mut cluster = cluster_with(vec![short_job("run-1", JobKind::Array, 1)]);
    assert_completes(&mut cluster, "run-1", 60_000);
    let machine = cluster.workers.keys().next().unwrap().clone();
    cluster.faults.failing_machines.insert(machine.clone());
    cluster.submit(short_job("run-2", JobKind::Array, 1));
    cluster.submit(short_job("run-3", JobKind::Array, 1));
    assert_completes(&mut cluster, "run-2", 120_000);
    assert_completes(&mut cluster, "run-3", 120_000);
    assert!(
        cluster.returned_machines.contains(&machine),
        "the failing machine is returned"
    );
    let returned_before = cluster.returned_machines.len();
    cluster.submit(short_job("run-4", JobKind::Array, 1));
    cluster.faults.failing_jobs.insert("run-4".into());
    let before = cluster.starts;
    cluster.run(100_000);
    assert!(
        cluster.starts - before <= 10,
        "{} starts of a job that fails",
        cluster.starts - before
    );
    let returned = cluster.returned_machines[returned_before..]
        .iter()
        .filter(|machine| cluster.first_machine_of_job("run-4").as_ref() == Some(*machine));
    assert_eq!(returned.count(), 0);
}

#[test]
fn duplicate_heartbeats_change_nothing() {
    let mut cluster = cluster_with(vec![
        short_job("run-1", JobKind::Service, 2),
        short_job("run-2", JobKind::Array, 2),
    ]);
    assert!(cluster.run_until(60_000, |w| w.running_tasks("run-1") == 2));
    let machine = cluster.first_machine_of_job("run-1").unwrap();
    for _ in 0..20 {
        cluster.redeliver_heartbeats(&cluster.heartbeats_of(&machine));
        cluster.run(700);
    }
    assert_eq!((cluster.running_tasks("run-1"), cluster.starts), (2, 4));
    assert_completes(&mut cluster, "run-2", 30_000);
}

#[test]
fn unknown_tasks_are_stopped() {
    let mut cluster = cluster_with(vec![short_job("run-1", JobKind::Service, 1)]);
    assert!(cluster.run_until(60_000, |w| w.running_tasks("run-1") == 1));
    let machine = cluster.first_machine_of_job("run-1").unwrap();
    cluster
        .jobs
        .insert("run-9".into(), short_job("run-9", JobKind::Service, 1));
    cluster.inject_task(&machine, "run-9/0");
    cluster.run(8_000);
    assert_eq!(cluster.running_tasks("run-9"), 0);
    assert_eq!(cluster.running_tasks("run-1"), 1);
}

/// Guards against a machine that counts as alive because its heartbeats arrive, although no reply
/// reaches it: it must get no tasks, and be returned.
#[test]
fn machine_without_replies_gets_no_tasks_and_is_replaced_once_returned() {
    let mut cluster = cluster_with(vec![short_job("run-1", JobKind::Service, 1)]);
    assert!(cluster.run_until(60_000, |w| w.running_tasks("run-1") == 1));
    cluster.run(10_000);
    let machine = cluster.first_machine_of_job("run-1").unwrap();
    cluster
        .faults
        .machines_without_replies
        .insert(machine.clone());
    cluster.run(10_000);
    // It has turned to another node meanwhile, which shows that it receives no replies.
    cluster.submit(short_job("run-2", JobKind::Array, 3));
    assert!(
        cluster.run_until(60_000, |w| w.is_done("run-2")),
        "{}",
        cluster.describe()
    );
    assert!(cluster.run_until(30_000, |w| w.returned_machines.contains(&machine)));
    assert!(cluster.run_until(60_000, |w| w.running_tasks("run-1") == 1));
    assert_eq!(cluster.starts, 5, "no start was sent to it");
    assert_eq!(cluster.violations, Vec::<String>::new());
}

/// The same for a machine that has received no reply from this leader, with a task from before the
/// failover.
#[test]
fn machine_without_replies_since_a_failover_is_replaced() {
    let mut cluster = cluster_with(vec![short_job("run-1", JobKind::Service, 1)]);
    assert!(cluster.run_until(60_000, |w| w.running_tasks("run-1") == 1));
    let machine = cluster.first_machine_of_job("run-1").unwrap();
    cluster.crash_leader();
    cluster
        .faults
        .machines_without_replies
        .insert(machine.clone());
    assert!(cluster.run_until(90_000, |w| w.returned_machines.contains(&machine)));
    assert!(cluster.run_until(60_000, |w| w.running_tasks("run-1") == 1));
    assert_eq!(cluster.violations, Vec::<String>::new());
}

/// Copies of heartbeats, seconds to several leases old, arrive at every node: at the leader that
/// had them, at a new one, and of a machine that is gone.
#[test]
fn stale_heartbeats_neither_keep_nor_restore_a_machine() {
    let mut cluster = cluster_with(vec![short_job("run-1", JobKind::Service, 1)]);
    assert!(cluster.run_until(60_000, |w| w.running_tasks("run-1") == 1));
    cluster.run(20_000);
    let machine = cluster.first_machine_of_job("run-1").unwrap();
    let heartbeats = cluster.heartbeats_of(&machine);
    cluster.faults.hung_machines.insert(machine.clone());
    for _ in 0..25 {
        cluster.redeliver_heartbeats(&heartbeats);
        cluster.run(1_000);
    }
    assert!(
        cluster.returned_machines.contains(&machine),
        "its lease expired in spite of the copies"
    );
    assert!(cluster.run_until(60_000, |w| w.running_tasks("run-1") == 1));
    cluster.crash_leader();
    cluster.run(6_000);
    cluster.submit(short_job("run-2", JobKind::Gang, 4));
    // A machine rented at once boots for 20 s; the image is fetched for 8 s, the tasks run for 10 s.
    for _ in 0..48 {
        // The new leader has no heartbeat of that machine: its resources must not count.
        cluster.redeliver_heartbeats(&heartbeats);
        cluster.run(1_000);
    }
    assert!(cluster.is_done("run-2"), "{}", cluster.describe());
    assert_eq!((cluster.running_tasks("run-1"), cluster.starts), (1, 6));
    assert_eq!(cluster.violations, Vec::<String>::new());
}

/// A worker restarts before its lease has expired: a new incarnation at the same address.
#[test]
fn restarted_worker_gets_its_tasks_again() {
    let mut cluster = cluster_with(vec![short_job("run-1", JobKind::Service, 3)]);
    assert!(cluster.run_until(60_000, |w| w.running_tasks("run-1") == 3));
    cluster.run(5_000);
    let machine = cluster.first_machine_of_job("run-1").unwrap();
    let old = cluster.heartbeats_of(&machine);
    cluster.restart_worker(&machine);
    cluster.redeliver_heartbeats(&old);
    assert!(cluster.run_until(40_000, |w| w.running_tasks("run-1") == 3));
    assert_eq!((cluster.starts, cluster.returned_machines.len()), (6, 0));
    assert_eq!(cluster.violations, Vec::<String>::new());
}

/// Guards against services that stay on half-empty machines after the tasks beside them have ended.
#[test]
fn half_empty_service_machines_are_consolidated() {
    let mut cluster = cluster_with(vec![
        short_job("run-1", JobKind::Service, 2),
        short_job("run-2", JobKind::Service, 2),
    ]);
    assert!(cluster.run_until(60_000, |w| w.running_tasks("run-1")
        + w.running_tasks("run-2")
        == 4));
    cluster.submit(short_job("run-3", JobKind::Service, 2));
    assert!(cluster.run_until(60_000, |w| w.running_tasks("run-3") == 2));
    assert_eq!(cluster.workers.len(), 2);
    cluster.cancel("run-1");
    let consolidated = cluster.run_until(150_000, |w| w.workers.len() == 1);
    assert!(consolidated, "{}", cluster.describe());
    let both = |w: &SimulatedCluster| w.running_tasks("run-2") + w.running_tasks("run-3") == 4;
    assert!(cluster.run_until(10_000, both), "{}", cluster.describe());
    assert_eq!(cluster.violations, Vec::<String>::new());
}

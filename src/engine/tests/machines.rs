//! Machines that hang, fail, lose messages or restart.

use super::simulated_cluster::SimulatedCluster;
use super::support::{assert_completes, cluster_with, short_job};
use crate::wire::user::JobKind;

#[test]
fn hung_machine_is_replaced_without_duplicate_tasks() {
    let mut cluster = cluster_with(vec![short_job("run-1", JobKind::Service, 1)]);
    assert!(cluster.run_until(60_000, |cluster| cluster.running_tasks("run-1") == 1));
    let machine = cluster.first_machine_of_job("run-1").unwrap();
    cluster.faults.hung_machines.insert(machine.clone());
    cluster.faults.cloud_unavailable = true;
    cluster.run(60_000);
    assert_eq!(
        cluster.starts, 1,
        "missing heartbeats alone do not prove that the task has ended"
    );
    cluster.faults.cloud_unavailable = false;
    assert!(
        cluster.run_until(60_000, |cluster| cluster.running_tasks("run-1") == 1
            && cluster.starts == 2)
    );
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
    let starts_before = cluster.starts;
    cluster.run(100_000);
    assert!(
        cluster.starts - starts_before <= 10,
        "{} starts of a job that fails",
        cluster.starts - starts_before
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
    assert!(cluster.run_until(60_000, |cluster| cluster.running_tasks("run-1") == 2));
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
    assert!(cluster.run_until(60_000, |cluster| cluster.running_tasks("run-1") == 1));
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
/// reaches it. The machine must get no tasks and must be returned.
#[test]
fn machine_without_replies_gets_no_tasks_and_is_replaced_once_returned() {
    let mut cluster = cluster_with(vec![short_job("run-1", JobKind::Service, 1)]);
    assert!(cluster.run_until(60_000, |cluster| cluster.running_tasks("run-1") == 1));
    cluster.run(10_000);
    let machine = cluster.first_machine_of_job("run-1").unwrap();
    cluster
        .faults
        .machines_without_replies
        .insert(machine.clone());
    cluster.run(10_000);
    // The machine's worker has switched to another node in the meantime, which shows that it
    // receives no replies.
    cluster.submit(short_job("run-2", JobKind::Array, 3));
    assert!(
        cluster.run_until(60_000, |cluster| cluster.is_done("run-2")),
        "{}",
        cluster.describe()
    );
    assert!(cluster.run_until(30_000, |cluster| {
        cluster.returned_machines.contains(&machine)
    }));
    assert!(cluster.run_until(60_000, |cluster| cluster.running_tasks("run-1") == 1));
    assert_eq!(
        cluster.starts, 5,
        "no start was sent to the machine without replies"
    );
    assert_eq!(cluster.violations, Vec::<String>::new());
}

/// Guards against a machine that counts as alive after a failover, although it has never received a
/// reply from the new leader. It still has a task from before the failover.
#[test]
fn machine_without_replies_since_a_failover_is_replaced() {
    let mut cluster = cluster_with(vec![short_job("run-1", JobKind::Service, 1)]);
    assert!(cluster.run_until(60_000, |cluster| cluster.running_tasks("run-1") == 1));
    let machine = cluster.first_machine_of_job("run-1").unwrap();
    cluster.crash_leader();
    cluster
        .faults
        .machines_without_replies
        .insert(machine.clone());
    assert!(cluster.run_until(90_000, |cluster| {
        cluster.returned_machines.contains(&machine)
    }));
    assert!(cluster.run_until(60_000, |cluster| cluster.running_tasks("run-1") == 1));
    assert_eq!(cluster.violations, Vec::<String>::new());
}

/// Copies of heartbeats that are seconds to several leases old arrive at every node: first at the
/// leader that had received the originals, and later, when the machine is gone, at a new leader.
#[test]
fn stale_heartbeats_neither_keep_nor_restore_a_machine() {
    let mut cluster = cluster_with(vec![short_job("run-1", JobKind::Service, 1)]);
    assert!(cluster.run_until(60_000, |cluster| cluster.running_tasks("run-1") == 1));
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
        "the machine's lease expires despite the copies"
    );
    assert!(cluster.run_until(60_000, |cluster| cluster.running_tasks("run-1") == 1));
    cluster.crash_leader();
    cluster.run(6_000);
    cluster.submit(short_job("run-2", JobKind::Gang, 4));
    // A machine that is rented at once boots for 20 s, fetches the image for 8 s and runs the tasks
    // for 10 s.
    for _ in 0..48 {
        // The new leader has received no heartbeat from that machine, so the machine's resources
        // must not count.
        cluster.redeliver_heartbeats(&heartbeats);
        cluster.run(1_000);
    }
    assert!(cluster.is_done("run-2"), "{}", cluster.describe());
    assert_eq!((cluster.running_tasks("run-1"), cluster.starts), (1, 6));
    assert_eq!(cluster.violations, Vec::<String>::new());
}

/// A worker restarts before its lease has expired, as a new incarnation at the same address.
#[test]
fn restarted_worker_gets_its_tasks_again() {
    let mut cluster = cluster_with(vec![short_job("run-1", JobKind::Service, 3)]);
    assert!(cluster.run_until(60_000, |cluster| cluster.running_tasks("run-1") == 3));
    cluster.run(5_000);
    let machine = cluster.first_machine_of_job("run-1").unwrap();
    let old_heartbeats = cluster.heartbeats_of(&machine);
    cluster.restart_worker(&machine);
    cluster.redeliver_heartbeats(&old_heartbeats);
    assert!(cluster.run_until(40_000, |cluster| cluster.running_tasks("run-1") == 3));
    assert_eq!((cluster.starts, cluster.returned_machines.len()), (6, 0));
    assert_eq!(cluster.violations, Vec::<String>::new());
}

/// Guards against services that stay on half-empty machines after the other tasks there have ended.
#[test]
fn half_empty_service_machines_are_consolidated() {
    let mut cluster = cluster_with(vec![
        short_job("run-1", JobKind::Service, 2),
        short_job("run-2", JobKind::Service, 2),
    ]);
    assert!(
        cluster.run_until(60_000, |cluster| cluster.running_tasks("run-1")
            + cluster.running_tasks("run-2")
            == 4)
    );
    cluster.submit(short_job("run-3", JobKind::Service, 2));
    assert!(cluster.run_until(60_000, |cluster| cluster.running_tasks("run-3") == 2));
    assert_eq!(cluster.workers.len(), 2);
    cluster.cancel("run-1");
    let consolidated = cluster.run_until(150_000, |cluster| cluster.workers.len() == 1);
    assert!(consolidated, "{}", cluster.describe());
    let both_run = |cluster: &SimulatedCluster| {
        cluster.running_tasks("run-2") + cluster.running_tasks("run-3") == 4
    };
    assert!(
        cluster.run_until(10_000, both_run),
        "{}",
        cluster.describe()
    );
    assert_eq!(cluster.violations, Vec::<String>::new());
}

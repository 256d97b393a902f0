//! Crashes of leaders, and of all nodes.

use super::simulated_cluster::SimulatedCluster;
use super::support::{
    assert_completes, cluster_with, job_with_duration, short_job, whole_machine_gang,
};
use crate::wire::user::JobKind;

#[test]
fn leader_crash_at_any_step_of_a_round_loses_no_work() {
    // From before the start is planned until the completion is durable.
    for crash_at in (20_000..52_000).step_by(370) {
        let mut cluster = cluster_with(vec![
            short_job("run-1", JobKind::Array, 6),
            short_job("run-2", JobKind::Gang, 2),
        ]);
        cluster.run(crash_at);
        if let Some(leader) = cluster.leader() {
            cluster.restart(leader, 4000);
        }
        assert_completes(&mut cluster, "run-1", 150_000);
        assert_completes(&mut cluster, "run-2", 150_000);
        assert!(cluster.starts <= 8, "crash at {crash_at}: tasks ran again");
    }
}

#[test]
fn crash_of_all_nodes_loses_no_job() {
    for (at, downtime) in [(1_500, 300), (24_000, 4_000), (31_000, 4_000)] {
        let mut cluster = cluster_with(vec![short_job("run-1", JobKind::Array, 4)]);
        cluster.run(at);
        cluster.crash_all_nodes();
        cluster.run(downtime);
        cluster.start_all_nodes();
        assert_completes(&mut cluster, "run-1", 150_000);
    }
}

/// Guards against a new leader that takes the age of the machines in the cloud's list for the time
/// since they should have booted, and returns them.
#[test]
fn failover_returns_no_busy_machine() {
    let mut cluster = cluster_with(vec![short_job("run-1", JobKind::Service, 1)]);
    assert!(cluster.run_until(60_000, |w| w.running_tasks("run-1") == 1));
    cluster.run(120_000);
    cluster.crash_leader();
    cluster.run(30_000);
    assert_eq!(cluster.returned_machines, Vec::<String>::new());
    assert_eq!((cluster.running_tasks("run-1"), cluster.starts), (1, 1));
}

/// Guards against a new leader that scales out although the machines are there, because they have
/// not sent a heartbeat to it yet.
#[test]
fn failover_with_queued_jobs_rents_no_duplicate_machines() {
    let first = job_with_duration("run-1", JobKind::Array, 4, 400.0);
    let mut cluster = cluster_with(vec![first]);
    assert!(cluster.run_until(60_000, |w| w.running_tasks("run-1") == 4));
    cluster.submit(short_job("run-2", JobKind::Array, 4));
    assert_completes(&mut cluster, "run-2", 60_000);
    cluster.run(15_000);
    let machines = cluster.workers.len() + cluster.returned_machines.len();
    cluster.crash_leader();
    cluster.submit(short_job("run-3", JobKind::Array, 4));
    assert_completes(&mut cluster, "run-3", 60_000);
    assert_eq!(
        cluster.workers.len() + cluster.returned_machines.len(),
        machines
    );
}

#[test]
fn largest_array_continues_after_a_failover() {
    let large = job_with_duration("run-1", JobKind::Array, 100_000, 0.5);
    let mut cluster = cluster_with(vec![large]);
    cluster.run(90_000);
    let (before, rounds) = (cluster.starts, cluster.count_keys("rounds/"));
    assert!(before > 40, "{before} starts");
    assert!(rounds < 20, "{rounds} open rounds");
    cluster.crash_leader();
    cluster.run(30_000);
    assert!(cluster.starts > before + 20);
    assert_eq!(cluster.violations, Vec::<String>::new());
}

/// Nodes restart in the middle of their own commits and elections: calls of the previous process
/// are still executed afterwards.
#[test]
fn immediate_restarts_tolerate_calls_in_flight() {
    for (store_delay, downtime) in [(40, 30), (250, 100), (600, 400)] {
        for at in [500, 2_300, 21_900, 24_700, 31_000, 35_500] {
            let mut cluster = cluster_with(vec![
                short_job("run-1", JobKind::Array, 5),
                short_job("run-2", JobKind::Gang, 2),
            ]);
            cluster.faults.store_delay = store_delay;
            cluster.run(at);
            // All three crash, and then each again, one after the other, during the election.
            for round in 0..2 {
                for node in 0..3 {
                    cluster.crash(node);
                    if round == 1 {
                        cluster.run(downtime);
                        cluster.start(node);
                        cluster.run(downtime);
                    }
                }
                cluster.run(downtime);
                cluster.start_all_nodes();
                cluster.run(downtime * 3);
            }
            assert_completes(&mut cluster, "run-1", 200_000);
            assert_completes(&mut cluster, "run-2", 200_000);
            assert!(
                cluster.starts <= 14,
                "delay {store_delay}, at {at}: {}",
                cluster.starts
            );
        }
    }
}

/// Guards against a leader that takes all machines to be as young as its own process, and keeps
/// idle ones for longer.
#[test]
fn idle_machines_are_returned_soon_after_a_restart_of_all_nodes() {
    let mut cluster = cluster_with(vec![
        short_job("run-1", JobKind::Array, 8),
        short_job("run-2", JobKind::Service, 1),
    ]);
    assert_completes(&mut cluster, "run-1", 60_000);
    cluster.crash_all_nodes();
    cluster.start_all_nodes();
    assert!(cluster.run_until(10_000, |w| w.leader().is_some()));
    assert!(cluster.workers.len() > 1);
    let soon = 30_000 + 10_000;
    assert!(
        cluster.run_until(soon, |w| w.workers.len() == 1),
        "{}",
        cluster.describe()
    );
    assert_eq!(cluster.running_tasks("run-2"), 1);
}

/// Each leader crashes after nine seconds, and one machine is dead: guards against leaders that
/// wait for its heartbeat longer than they live before they scale out.
#[test]
fn short_lived_leaders_still_scale_out() {
    let mut cluster = SimulatedCluster::new(3, 400.0);
    cluster.run(2_000);
    cluster.submit(short_job("run-1", JobKind::Service, 20));
    assert!(cluster.run_until(60_000, |w| w.running_tasks("run-1") == 20));
    // Longer than a machine may take to boot.
    cluster.run(30_000);
    let dead = cluster.first_machine_of_job("run-1").unwrap();
    cluster.faults.hung_machines.insert(dead);
    for round in 0..8 {
        let leader = cluster.crash_leader();
        if round == 1 {
            // It needs more whole machines than are kept for expected jobs.
            let gang = whole_machine_gang("run-2", 10);
            cluster.submit(gang);
        }
        cluster.run(100);
        cluster.start(leader);
        cluster.run(8_900);
    }
    assert!(
        cluster.started_jobs.contains("run-2"),
        "{}",
        cluster.describe()
    );
    assert_eq!(cluster.violations, Vec::<String>::new());
}

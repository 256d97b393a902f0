//! Commits, heartbeats and commands that are executed late.

use super::super::support::{assert_completes, cluster_with, cluster_with_two_services, short_job};
use super::assert_recovers;
use crate::wire::user::JobKind;

/// Guards against an older progress record of an array that overwrites a newer one.
#[test]
fn late_progress_record_loses_no_completion() {
    let mut cluster = cluster_with(vec![short_job("run-1", JobKind::Array, 4)]);
    for (task, extra_time) in [(1, 4_000), (2, 8_000), (3, 60_000)] {
        cluster
            .extra_run_time
            .insert(format!("run-1/{task}"), extra_time);
    }
    cluster.faults.delay_next_write = Some("work/run-1");
    assert!(cluster.run_until(60_000, |cluster| cluster.completed_tasks.len() == 3));
    cluster.run(15_000);
    cluster.crash_leader();
    assert_completes(&mut cluster, "run-1", 120_000);
    assert_eq!(cluster.starts, 4, "completed tasks ran again");
}

/// Guards against a progress record of a former leader that overwrites its successor's record.
#[test]
fn late_progress_record_of_a_former_leader_loses_no_completion() {
    let mut cluster = cluster_with(vec![short_job("run-1", JobKind::Array, 4)]);
    for (task, extra_time) in [(1, 6_000), (2, 7_000), (3, 60_000)] {
        cluster
            .extra_run_time
            .insert(format!("run-1/{task}"), extra_time);
    }
    cluster.faults.delay_next_write = Some("work/run-1");
    assert!(cluster.run_until(60_000, |cluster| cluster.faults.delay_next_write.is_none()));
    for _ in 0..2 {
        let leader = cluster.leader().unwrap();
        cluster.restart(leader, 15_000);
    }
    assert_completes(&mut cluster, "run-1", 120_000);
    assert_eq!(cluster.starts, 4, "completed tasks ran again");
}

/// Guards against transactions that are correct only if they are executed in order, or at all: some
/// commits of rounds, completions and elections get no reply and are executed late, also after a
/// failover.
#[test]
fn late_commits_violate_no_invariant() {
    for delay_commit_every in 2..6 {
        for crash_at in [21_000, 31_000, 36_000] {
            let mut cluster = cluster_with(vec![
                short_job("run-1", JobKind::Array, 5),
                short_job("run-2", JobKind::Gang, 2),
                short_job("run-3", JobKind::Service, 1),
            ]);
            cluster.faults.delay_commit_every = delay_commit_every;
            cluster.run(crash_at);
            if let Some(leader) = cluster.leader() {
                cluster.restart(leader, 500);
            }
            cluster.run(30_000);
            cluster.cancel("run-3");
            cluster.run(8_000);
            assert_completes(&mut cluster, "run-1", 240_000);
            assert_completes(&mut cluster, "run-2", 240_000);
            assert_eq!(cluster.running_tasks("run-3"), 0);
            assert_recovers(&mut cluster);
        }
    }
}

/// Guards against stale heartbeats that are treated as new: copies of heartbeats arrive some seconds
/// to two leases late, after newer heartbeats, at the node that leads by then.
#[test]
fn heartbeats_duplicated_across_failovers_change_nothing() {
    for duplicate_heartbeat_every in 1..4 {
        let mut cluster = cluster_with(vec![
            short_job("run-1", JobKind::Array, 6),
            short_job("run-2", JobKind::Service, 2),
        ]);
        cluster.faults.duplicate_heartbeat_every = duplicate_heartbeat_every;
        for _ in 0..5 {
            cluster.run(17_000);
            let leader = cluster.leader().unwrap();
            cluster.restart(leader, 1_000);
        }
        assert_completes(&mut cluster, "run-1", 60_000);
        assert_eq!(cluster.running_tasks("run-2"), 2);
        assert_eq!(cluster.starts, 8, "{}", cluster.describe());
    }
}

/// Guards against heartbeats that are accepted although they are older than the machine's last
/// heartbeat or than the leader's term: the machine is unreachable, and copies of its earlier
/// heartbeats arrive.
#[test]
fn stale_heartbeats_of_an_unreachable_machine_remove_no_task() {
    for leader_crashes in [false, true] {
        let mut cluster = cluster_with_two_services();
        let machine = cluster.first_machine_of_job("run-1").unwrap();
        // Only the heartbeats that were sent before the machine's first task are delivered again.
        let mut heartbeats = cluster.heartbeats_of(&machine);
        heartbeats.retain(|heartbeat| heartbeat.tasks.is_empty());
        assert!(heartbeats.len() > 1);
        cluster.run(4_000);
        cluster.faults.unreachable_machines.insert(machine);
        if leader_crashes {
            cluster.crash_leader();
        }
        for _ in 0..24 {
            cluster.run(500);
            cluster.redeliver_heartbeats(&heartbeats);
        }
        assert_eq!(
            cluster.starts,
            8,
            "leader crashes: {leader_crashes}\n{}",
            cluster.describe()
        );
        assert_eq!(cluster.violations, Vec::<String>::new());
        assert_recovers(&mut cluster);
    }
}

/// Guards against direct commands that have wrong effects when executed late: a machine hangs and
/// executes them when it resumes, also under another leader.
#[test]
fn direct_commands_executed_after_a_hang_violate_no_invariant() {
    for hang_time in [2_000, 6_000, 14_000, 25_000] {
        for leader_crashes in [false, true] {
            let mut cluster = cluster_with_two_services();
            let machine = cluster.first_machine_of_job("run-1").unwrap();
            cluster.faults.hung_machines.insert(machine);
            cluster.run(500);
            cluster.cancel("run-1");
            cluster.submit(short_job("run-3", JobKind::Array, 4));
            cluster.run(500);
            let leader = cluster.leader().unwrap();
            if leader_crashes {
                cluster.crash(leader);
            }
            cluster.run(hang_time);
            cluster.faults.hung_machines.clear();
            cluster.run(7_000);
            assert_eq!(
                cluster.running_tasks("run-1"),
                0,
                "hung for {hang_time} ms, leader crashes: {leader_crashes}"
            );
            assert_completes(&mut cluster, "run-3", 120_000);
            assert_recovers(&mut cluster);
        }
    }
}

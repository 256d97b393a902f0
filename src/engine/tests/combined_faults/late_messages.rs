//! Commits, heartbeats and commands that are executed late.

use super::super::support::{assert_completes, cluster_with, cluster_with_two_services, short_job};
use super::assert_recovers;
use crate::wire::user::JobKind;

/// Guards against an older record of an array's progress that is written over a newer one.
#[test]
fn late_progress_record_loses_no_completion() {
    let mut cluster = cluster_with(vec![short_job("run-1", JobKind::Array, 4)]);
    for (task, longer) in [(1, 4_000), (2, 8_000), (3, 60_000)] {
        cluster
            .extra_run_time
            .insert(format!("run-1/{task}"), longer);
    }
    cluster.faults.delay_next_write = Some("work/run-1");
    assert!(cluster.run_until(60_000, |w| w.completed_tasks.len() == 3));
    cluster.run(15_000);
    cluster.crash_leader();
    assert_completes(&mut cluster, "run-1", 120_000);
    assert_eq!(cluster.starts, 4, "completed tasks ran again");
}

/// The same for a record of a former leader, written over that of its successor.
#[test]
fn late_progress_record_of_a_former_leader_loses_no_completion() {
    let mut cluster = cluster_with(vec![short_job("run-1", JobKind::Array, 4)]);
    for (task, longer) in [(1, 6_000), (2, 7_000), (3, 60_000)] {
        cluster
            .extra_run_time
            .insert(format!("run-1/{task}"), longer);
    }
    cluster.faults.delay_next_write = Some("work/run-1");
    assert!(cluster.run_until(60_000, |w| w.faults.delay_next_write.is_none()));
    for _ in 0..2 {
        let leader = cluster.leader().unwrap();
        cluster.restart(leader, 15_000);
    }
    assert_completes(&mut cluster, "run-1", 120_000);
    assert_eq!(cluster.starts, 4, "completed tasks ran again");
}

/// Guards against transactions that rely on being executed in order, or at all: rounds, completions
/// and elections without a reply are executed late, across failovers.
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

/// Guards against stale heartbeats taken for new: copies arrive seconds to two leases later, after
/// newer ones, at whichever node leads by then.
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

/// Guards against heartbeats that are accepted although they are older than the machine's last, or
/// than the leader's term: the machine is unreachable, and copies of its heartbeats arrive.
#[test]
fn stale_heartbeats_of_an_unreachable_machine_remove_no_task() {
    for crash in [false, true] {
        let mut cluster = cluster_with_two_services();
        let machine = cluster.first_machine_of_job("run-1").unwrap();
        // Those sent before its first task.
        let mut heartbeats = cluster.heartbeats_of(&machine);
        heartbeats.retain(|heartbeat| heartbeat.tasks.is_empty());
        assert!(heartbeats.len() > 1);
        cluster.run(4_000);
        cluster.faults.unreachable_machines.insert(machine);
        if crash {
            cluster.crash_leader();
        }
        for _ in 0..24 {
            cluster.run(500);
            cluster.redeliver_heartbeats(&heartbeats);
        }
        assert_eq!(cluster.starts, 8, "crash {crash}: {}", cluster.describe());
        assert_eq!(cluster.violations, Vec::<String>::new());
        assert_recovers(&mut cluster);
    }
}

/// Guards against direct commands that do harm late: a machine hangs and executes them when it
/// resumes, under another leader.
#[test]
fn commands_executed_after_a_hang_are_harmless() {
    for hang in [2_000, 6_000, 14_000, 25_000] {
        for crash in [false, true] {
            let mut cluster = cluster_with_two_services();
            let machine = cluster.first_machine_of_job("run-1").unwrap();
            cluster.faults.hung_machines.insert(machine);
            cluster.run(500);
            cluster.cancel("run-1");
            cluster.submit(short_job("run-3", JobKind::Array, 4));
            cluster.run(500);
            let leader = cluster.leader().unwrap();
            if crash {
                cluster.crash(leader);
            }
            cluster.run(hang);
            cluster.faults.hung_machines.clear();
            cluster.run(7_000);
            assert_eq!(
                cluster.running_tasks("run-1"),
                0,
                "hung {hang}, crash {crash}"
            );
            assert_completes(&mut cluster, "run-3", 120_000);
            assert_recovers(&mut cluster);
        }
    }
}

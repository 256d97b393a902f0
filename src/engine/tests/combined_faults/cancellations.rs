//! Cancellations during faults, and at the moment of a start or of the job's end.

use super::super::simulated_cluster::SimulatedCluster;
use super::super::support::{
    JobSubmissionExt, cluster_with, cluster_with_two_services, move_leadership_east, short_job,
};
use super::assert_recovers;
use crate::wire::user::{JobKind, JobState};
use std::collections::BTreeSet;

/// Guards against a leader that accepts heartbeats for longer than it can know of all
/// cancellations: the state service refuses it alone, jobs are cancelled through other nodes, and
/// nothing reaches it.
#[test]
fn cancellation_while_the_leader_is_refused_and_then_all_nodes() {
    for outage in [10_000, 40_000, 64_000] {
        for gap in [200, 2_000] {
            // The cancellation is before, at and after the refusal, and at the time of the outage.
            for (early, late) in [(100, 0), (0, 0), (0, 100), (0, gap)] {
                for (peers, restarted) in [(true, false), (false, false), (true, true)] {
                    let mut cluster = cluster_with_two_services();
                    cluster.run(3_000);
                    let leader = cluster.leader().unwrap();
                    if early > 0 {
                        cluster.cancel("run-1");
                        cluster.run(early);
                    }
                    cluster.faults.nodes_without_store.insert(leader);
                    if !peers {
                        cluster.faults.nodes_without_peers.insert(leader);
                    }
                    cluster.run(late);
                    if early == 0 {
                        cluster.cancel("run-1");
                    }
                    cluster.run(gap - late);
                    cluster.faults.store_unavailable = true;
                    if restarted {
                        cluster.restart(leader, 700);
                    }
                    cluster.run(outage);
                    cluster.faults.store_unavailable = false;
                    cluster.run(5_000);
                    assert_recovers(&mut cluster);
                    assert_eq!(cluster.running_tasks("run-1"), 0);
                }
            }
        }
    }
}

/// Guards against leases extended for cancelled tasks, and against leadership given up because
/// records can't be read: leaders change while the records can't be listed for longer than the
/// limit of a cancellation, and workers send heartbeats all the while.
#[test]
fn leaders_without_readable_records_stop_only_cancelled_tasks() {
    for every in [12_000, 60_000] {
        let mut cluster = cluster_with_two_services();
        cluster.faults.refuse_record_lists = true;
        for _ in 0..60_000 / every {
            let leader = cluster.crash_leader();
            if !cluster.cancelled.contains_key("run-1") {
                cluster.cancel("run-1");
            }
            cluster.run(1_000);
            cluster.start(leader);
            cluster.run(every - 1_000);
        }
        assert_eq!(cluster.running_tasks("run-1"), 0, "{}", cluster.describe());
        assert_eq!((cluster.running_tasks("run-2"), cluster.starts), (4, 8));
        assert_recovers(&mut cluster);
    }
}

/// An announcement of a peer shortens the time to the stop, although nothing depends on it. The
/// state service refuses the leader alone.
#[test]
fn announced_cancellation_stops_tasks_of_a_refused_leader_at_once() {
    for announced in [false, true] {
        let mut cluster = cluster_with_two_services();
        let leader = cluster.leader().unwrap();
        cluster.faults.nodes_without_store.insert(leader);
        cluster.run(200);
        cluster.cancel("run-1");
        if announced {
            cluster.announce_cancellation(leader, "run-1");
        }
        cluster.run(1_000);
        assert_eq!(
            cluster.running_tasks("run-1"),
            if announced { 0 } else { 4 }
        );
        assert_recovers(&mut cluster);
    }
}

/// Machines with cancelled tasks hang during an outage, and resume within their lease or after it.
#[test]
fn cancelled_tasks_of_machines_hung_in_an_outage_stop_in_time() {
    for hang in [5_000, 12_000, 30_000] {
        let mut cluster = cluster_with_two_services();
        let leader = cluster.leader().unwrap();
        cluster.faults.nodes_without_store.insert(leader);
        cluster.run(300);
        cluster.cancel("run-1");
        cluster.cancel("run-2");
        cluster.run(700);
        cluster.faults.store_unavailable = true;
        // A minority of them: a leader without heartbeats from most machines steps down.
        cluster
            .faults
            .hung_machines
            .extend(cluster.first_machine_of_job("run-1"));
        cluster.run(hang);
        cluster.faults.hung_machines.clear();
        cluster.run(64_000 - hang);
        assert_eq!(cluster.all_running_tasks(), 0);
        assert_recovers(&mut cluster);
    }
}

/// Guards against a follower that keeps its zone's workers for longer than it can know of all
/// cancellations: the zone is partitioned, and the state service refuses its node.
#[test]
fn cancelled_tasks_of_an_isolated_zone_stop_in_time() {
    for wait in [0, 1_000, 20_000] {
        let service = short_job("run-1", JobKind::Service, 3).in_zone("west");
        let mut cluster = cluster_with(vec![service]);
        assert!(cluster.run_until(60_000, |w| w.running_tasks("run-1") == 3));
        move_leadership_east(&mut cluster);
        cluster.faults.zones_partitioned = true;
        cluster.faults.nodes_without_store.insert(1);
        // So that the leader can't return the machines without heartbeats.
        cluster.faults.cloud_unavailable = true;
        cluster.run(wait);
        cluster.cancel("run-1");
        cluster.run(70_000);
        assert_eq!(cluster.running_tasks("run-1"), 0);
        assert_recovers(&mut cluster);
    }
}

/// Guards against starts after a confirmed cancellation: it becomes durable just before the round
/// does.
#[test]
fn cancellation_racing_with_a_round_fails_the_round() {
    for after in (0..120).step_by(7) {
        let mut cluster = cluster_with_two_services();
        cluster.cancel("run-1");
        cluster.run(12_000);
        cluster.faults.store_delay = 60;
        cluster.submit(short_job("run-3", JobKind::Array, 2));
        cluster.run(after);
        cluster.cancel("run-3");
        assert_recovers(&mut cluster);
        assert_eq!(cluster.running_tasks("run-3"), 0);
    }
}

/// Guards against a job that is both done and cancelled: it is cancelled at every moment around the
/// completion of its last task.
#[test]
fn cancellation_racing_with_completion_leaves_one_final_state() {
    let mut outcomes = BTreeSet::new();
    for kind in [JobKind::Array, JobKind::Gang] {
        let ended = |w: &SimulatedCluster| w.completed_tasks.len() >= 2;
        let mut cluster = cluster_with(vec![short_job("run-1", kind, 2)]);
        assert!(cluster.run_until(60_000, ended));
        let end = cluster.now;
        for at in (end - 500..end + 3_500).step_by(97) {
            let mut cluster = cluster_with(vec![short_job("run-1", kind, 2)]);
            cluster.faults.store_delay = 40;
            cluster.run(at - cluster.now);
            if cluster.has_live_record("run-1") {
                cluster.cancel("run-1");
            }
            cluster.run(10_000);
            assert_eq!(cluster.violations, Vec::<String>::new());
            assert_eq!(cluster.count_keys("live/job/"), 0);
            outcomes.insert(format!("{:?}", cluster.final_state("run-1").unwrap()));
        }
    }
    assert_eq!(outcomes.len(), 2, "both outcomes occurred: {outcomes:?}");
    assert!(outcomes.contains(&format!("{:?}", JobState::Done)));
}

//! Cancellations during other faults, and cancellations that race with a start or with the job's
//! completion.

use super::super::simulated_cluster::SimulatedCluster;
use super::super::support::{
    JobSubmissionExt, cluster_with, cluster_with_two_services, move_leadership_east, short_job,
};
use super::assert_recovers;
use crate::wire::user::{JobKind, JobState};
use std::collections::BTreeSet;

/// Guards against a leader that accepts heartbeats for longer than it can be sure to know all
/// cancellations: the state service refuses only the leader, a job is cancelled through another
/// node, and the leader does not learn of the cancellation. Later the state service refuses all
/// nodes.
#[test]
fn cancelled_tasks_stop_while_the_leader_and_then_all_nodes_are_refused() {
    for outage in [10_000, 40_000, 64_000] {
        for outage_delay in [200, 2_000] {
            // The job is cancelled before the refusal, at the same time, after it, or when the
            // outage begins.
            for (ms_before_refusal, ms_after_refusal) in
                [(100, 0), (0, 0), (0, 100), (0, outage_delay)]
            {
                for (peers_reachable, leader_restarts) in
                    [(true, false), (false, false), (true, true)]
                {
                    let mut cluster = cluster_with_two_services();
                    cluster.run(3_000);
                    let leader = cluster.leader().unwrap();
                    if ms_before_refusal > 0 {
                        cluster.cancel("run-1");
                        cluster.run(ms_before_refusal);
                    }
                    cluster.faults.nodes_without_store.insert(leader);
                    if !peers_reachable {
                        cluster.faults.nodes_without_peers.insert(leader);
                    }
                    cluster.run(ms_after_refusal);
                    if ms_before_refusal == 0 {
                        cluster.cancel("run-1");
                    }
                    cluster.run(outage_delay - ms_after_refusal);
                    cluster.faults.store_unavailable = true;
                    if leader_restarts {
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

/// Guards against leaders that can't read the records and therefore extend leases for cancelled
/// tasks or give up leadership: leaders change while the records can't be listed for longer than
/// the time limit of a cancellation, and workers keep sending heartbeats.
#[test]
fn leaders_without_readable_records_stop_only_cancelled_tasks() {
    for crash_interval in [12_000, 60_000] {
        let mut cluster = cluster_with_two_services();
        cluster.faults.refuse_record_lists = true;
        for _ in 0..60_000 / crash_interval {
            let leader = cluster.crash_leader();
            if !cluster.cancelled.contains_key("run-1") {
                cluster.cancel("run-1");
            }
            cluster.run(1_000);
            cluster.start(leader);
            cluster.run(crash_interval - 1_000);
        }
        assert_eq!(cluster.running_tasks("run-1"), 0, "{}", cluster.describe());
        assert_eq!((cluster.running_tasks("run-2"), cluster.starts), (4, 8));
        assert_recovers(&mut cluster);
    }
}

/// A peer's announcement makes the leader stop cancelled tasks earlier, although the time limit of a
/// cancellation is kept without it. The state service refuses only the leader.
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

/// Machines with cancelled tasks hang during an outage, and resume before or after their lease has
/// expired.
#[test]
fn cancelled_tasks_of_machines_hung_in_an_outage_stop_in_time() {
    for hang_time in [5_000, 12_000, 30_000] {
        let mut cluster = cluster_with_two_services();
        let leader = cluster.leader().unwrap();
        cluster.faults.nodes_without_store.insert(leader);
        cluster.run(300);
        cluster.cancel("run-1");
        cluster.cancel("run-2");
        cluster.run(700);
        cluster.faults.store_unavailable = true;
        // Only a minority of the machines hang: a leader without heartbeats from most machines
        // steps down.
        cluster
            .faults
            .hung_machines
            .extend(cluster.first_machine_of_job("run-1"));
        cluster.run(hang_time);
        cluster.faults.hung_machines.clear();
        cluster.run(64_000 - hang_time);
        assert_eq!(cluster.all_running_tasks(), 0);
        assert_recovers(&mut cluster);
    }
}

/// Guards against a follower that keeps its zone's workers for longer than it can be sure to know
/// all cancellations: the zone is partitioned, and the state service refuses the zone's node.
#[test]
fn cancelled_tasks_of_an_isolated_zone_stop_in_time() {
    for cancellation_delay in [0, 1_000, 20_000] {
        let service = short_job("run-1", JobKind::Service, 3).in_zone("west");
        let mut cluster = cluster_with(vec![service]);
        assert!(cluster.run_until(60_000, |cluster| cluster.running_tasks("run-1") == 3));
        move_leadership_east(&mut cluster);
        cluster.faults.zones_partitioned = true;
        cluster.faults.nodes_without_store.insert(1);
        // Without the cloud, the leader can't return the machines that send it no heartbeats.
        cluster.faults.cloud_unavailable = true;
        cluster.run(cancellation_delay);
        cluster.cancel("run-1");
        cluster.run(70_000);
        assert_eq!(cluster.running_tasks("run-1"), 0);
        assert_recovers(&mut cluster);
    }
}

/// Guards against starts after a confirmed cancellation: the cancellation becomes durable just
/// before the round would.
#[test]
fn cancellation_racing_with_a_round_fails_the_round() {
    for cancellation_delay in (0..120).step_by(7) {
        let mut cluster = cluster_with_two_services();
        cluster.cancel("run-1");
        cluster.run(12_000);
        cluster.faults.store_delay = 60;
        cluster.submit(short_job("run-3", JobKind::Array, 2));
        cluster.run(cancellation_delay);
        cluster.cancel("run-3");
        assert_recovers(&mut cluster);
        assert_eq!(cluster.running_tasks("run-3"), 0);
    }
}

/// Guards against a job that is both done and cancelled: the job is cancelled at various times
/// around the completion of its last task.
#[test]
fn cancellation_racing_with_completion_leaves_one_final_state() {
    let mut outcomes = BTreeSet::new();
    for kind in [JobKind::Array, JobKind::Gang] {
        let tasks_completed = |cluster: &SimulatedCluster| cluster.completed_tasks.len() >= 2;
        let mut cluster = cluster_with(vec![short_job("run-1", kind, 2)]);
        assert!(cluster.run_until(60_000, tasks_completed));
        let completed_at = cluster.now;
        for cancelled_at in (completed_at - 500..completed_at + 3_500).step_by(97) {
            let mut cluster = cluster_with(vec![short_job("run-1", kind, 2)]);
            cluster.faults.store_delay = 40;
            cluster.run(cancelled_at - cluster.now);
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

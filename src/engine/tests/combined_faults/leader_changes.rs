//! Changes of leader during other faults.

use super::super::simulated_cluster::SimulatedCluster;
use super::super::support::{assert_completes, cluster_with, cluster_with_two_services, short_job};
use super::assert_recovers;
use super::followers;
use super::redirect_all_workers_to;
use crate::constants;
use crate::wire::user::JobKind;

/// Guards against starts by a leader that can't confirm its lease: its round is durable, its
/// machine sends a heartbeat only when the state service has refused the leader for longer than the
/// lease, and the job is cancelled.
#[test]
fn leader_with_an_unconfirmed_lease_sends_no_durable_start() {
    let mut cluster = cluster_with_two_services();
    cluster.cancel("run-1");
    assert!(cluster.run_until(12_000, |w| w.running_tasks("run-1") == 0));
    cluster.run(7_000);
    let leader = cluster.leader().unwrap();
    let machines: Vec<String> = cluster.workers.keys().cloned().collect();
    cluster.faults.unreachable_machines.extend(machines);
    let rounds = cluster.count_keys("rounds/");
    cluster.submit(short_job("run-3", JobKind::Array, 1));
    cluster.run(500);
    assert_eq!(
        cluster.count_keys("rounds/"),
        rounds + 1,
        "durable, and not yet sent"
    );
    cluster.faults.nodes_without_store.insert(leader);
    cluster.faults.nodes_without_peers.insert(leader);
    cluster.run(crate::model::whole_millis(constants::LEASE_TTL) + 100);
    cluster.cancel("run-3");
    cluster.faults.unreachable_machines.clear();
    redirect_all_workers_to(&mut cluster, leader);
    // The second heartbeat shows that the machine receives replies.
    cluster.run(4_000);
    assert!(!cluster.started_jobs.contains("run-3"));
    assert_recovers(&mut cluster);
}

/// Guards against a job whose record has changed, unknown to the leader, and fails the rounds of
/// other jobs.
#[test]
fn conflict_on_one_job_does_not_fail_the_rounds_of_others() {
    let mut cluster = cluster_with_two_services();
    cluster.run(10_000);
    let leader = cluster.leader().unwrap();
    cluster.submit(short_job("run-3", JobKind::Array, 1));
    cluster.cancel("run-1");
    cluster.run(2_000);
    // There is capacity for both; the leader learns of what follows with its next watch reply.
    cluster.submit(short_job("run-4", JobKind::Array, 1));
    cluster.submit(short_job("run-5", JobKind::Array, 1));
    cluster.run(20);
    cluster.faults.watch_delay.insert(leader, 2_500);
    cluster.cancel("run-4");
    assert!(cluster.run_until(2_000, |w| w.started_jobs.contains("run-5")));
    assert_recovers(&mut cluster);
}

/// Guards against starts that a new leader does not know of because its watch lags: a job whose
/// record it had not received when it read the rounds is placed already.
#[test]
fn leader_with_a_lagging_watch_places_no_task_twice() {
    let mut first = short_job("run-1", JobKind::Service, 6);
    first.spread_zones = true;
    let mut cluster = cluster_with(vec![first]);
    assert!(cluster.run_until(60_000, |w| w.running_tasks("run-1") == 6));
    cluster.run(10_000);
    let former_leader = cluster.leader().unwrap();
    let [fast_follower, slow_follower] = followers(&cluster);
    cluster.faults.nodes_without_store.insert(former_leader);
    cluster.faults.store_call_delay.insert(slow_follower, 1_400);
    while cluster.count_keys("live/lead") == 1 {
        cluster.run(1);
    }
    // It knows that there is no leader, and is a candidate; its later watch replies are late.
    cluster.faults.watch_delay.insert(slow_follower, 2_900);
    while cluster.count_keys("live/lead") == 0 {
        cluster.run(1);
    }
    assert_eq!(cluster.count_keys("live/job/"), 1);
    cluster.submit(short_job("run-2", JobKind::Service, 1));
    redirect_all_workers_to(&mut cluster, fast_follower);
    assert!(cluster.run_until(1_500, |w| w.started_jobs.contains("run-2")));
    // It has led for a second; after its restart the state service refuses it.
    cluster.crash(fast_follower);
    cluster.faults.nodes_without_store.insert(fast_follower);
    cluster.start(fast_follower);
    let machine = cluster.first_machine_of_job("run-2").unwrap();
    cluster.faults.unreachable_machines.insert(machine);
    // Its election is pending; later calls get their reply at once.
    cluster.run(2_200);
    cluster.faults.store_call_delay.clear();
    let leads = |w: &SimulatedCluster| w.engine(slow_follower).unwrap().status().leading;
    assert!(cluster.run_until(3_000, leads));
    redirect_all_workers_to(&mut cluster, slow_follower);
    cluster.run(12_000);
    assert_eq!(
        cluster.violations,
        Vec::<String>::new(),
        "{}",
        cluster.describe()
    );
    assert_recovers(&mut cluster);
}

/// Guards against completions that are lost, or taken for the whole job's, across failovers.
#[test]
fn tasks_completing_under_different_leaders_complete_their_job_once() {
    for kind in [JobKind::Array, JobKind::Gang] {
        for crash_at in (29_500..36_000).step_by(500) {
            let mut cluster = cluster_with(vec![short_job("run-1", kind, 3)]);
            if kind == JobKind::Array {
                cluster.extra_run_time.insert("run-1/1".into(), 30_000);
                cluster.extra_run_time.insert("run-1/2".into(), 70_000);
            }
            cluster.run(crash_at);
            for _ in 0..3 {
                let leader = cluster.leader().unwrap();
                cluster.restart(leader, 6_000);
                cluster.run(24_000);
            }
            assert_completes(&mut cluster, "run-1", 60_000);
            assert_eq!(cluster.starts, 3, "{kind:?}, crash at {crash_at}");
        }
    }
}

/// Guards against tasks taken for running, or for lost, after a time without leader longer than a
/// lease.
#[test]
fn all_nodes_down_for_longer_than_a_lease_lose_no_job() {
    for downtime in [18_000, 25_000, 70_000] {
        let mut cluster = cluster_with_two_services();
        cluster.submit(short_job("run-3", JobKind::Array, 2));
        let cut = cluster.first_machine_of_job("run-1").unwrap();
        cluster.crash_all_nodes();
        cluster.run(downtime - 2_000);
        // It is still unreachable when nodes are up again.
        cluster.faults.unreachable_machines.insert(cut);
        cluster.run(2_000);
        cluster.start(0);
        cluster.run(1_000);
        cluster.cancel("run-2");
        cluster.run(10_000);
        assert_recovers(&mut cluster);
        assert_completes(&mut cluster, "run-3", 60_000);
        assert_eq!(
            (
                cluster.running_tasks("run-1"),
                cluster.running_tasks("run-2")
            ),
            (4, 0)
        );
    }
}

/// Guards against state that lasts only as long as a leader: ten leaders in two minutes, also
/// during an outage, with jobs submitted and cancelled all the while.
#[test]
fn ten_leaders_in_two_minutes_violate_no_invariant() {
    for outage in [None, Some(2), Some(5)] {
        let mut cluster = cluster_with(vec![short_job("run-0", JobKind::Service, 2)]);
        assert!(cluster.run_until(60_000, |w| w.running_tasks("run-0") == 2));
        for round in 1..=10 {
            cluster.submit(short_job(&format!("run-{round}"), JobKind::Service, 1));
            let leads = cluster.leader().unwrap_or(round % 3);
            cluster.run(6_000);
            cluster.cancel(&format!("run-{round}"));
            cluster.faults.store_unavailable =
                outage.is_some_and(|first| (first..first + 2).contains(&round));
            cluster.restart(leads, 1_000);
            cluster.run(5_000);
        }
        assert_recovers(&mut cluster);
        assert_eq!(
            (cluster.all_running_tasks(), cluster.running_tasks("run-0")),
            (2, 2)
        );
    }
}

/// Guards against state that a node keeps from a former term: it transfers leadership, leads again,
/// all nodes crash, and one is back within a second.
#[test]
fn leadership_transferred_back_and_forth_keeps_state_consistent() {
    for downtime in [50, 400, 950] {
        let mut cluster = cluster_with_two_services();
        cluster.submit(short_job("run-3", JobKind::Array, 4));
        cluster.run(5_000);
        for _ in 0..2 {
            let leader = cluster.leader().unwrap();
            cluster.faults.nodes_without_workers = [leader].into();
            let has_successor =
                |w: &SimulatedCluster| w.leader().is_some_and(|successor| successor != leader);
            assert!(cluster.run_until(60_000, has_successor));
            cluster.faults.nodes_without_workers.clear();
            cluster.run(16_000);
        }
        cluster.cancel("run-1");
        let last = cluster.leader().unwrap();
        cluster.crash_all_nodes();
        cluster.run(downtime);
        cluster.start(last);
        cluster.run(30_000);
        assert_recovers(&mut cluster);
        assert_completes(&mut cluster, "run-3", 60_000);
        assert_eq!(
            (
                cluster.running_tasks("run-1"),
                cluster.running_tasks("run-2")
            ),
            (0, 4)
        );
    }
}

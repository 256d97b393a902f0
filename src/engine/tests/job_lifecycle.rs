//! Jobs from their submission to their end, without faults.

use super::simulated_cluster::SimulatedCluster;
use super::support::{assert_completes, cluster_with, job_with_duration, short_job};
use crate::wire::user::{JobKind, JobState};

#[test]
fn jobs_of_each_kind_complete_and_leave_no_records() {
    let mut cluster = cluster_with(vec![
        short_job("run-1", JobKind::Array, 5),
        short_job("run-2", JobKind::Gang, 2),
        short_job("run-3", JobKind::Service, 1),
    ]);
    assert_completes(&mut cluster, "run-1", 120_000);
    assert_completes(&mut cluster, "run-2", 120_000);
    assert_eq!(cluster.running_tasks("run-3"), 1);
    cluster.cancel("run-3");
    assert!(
        cluster.run_until(2_000, |w| w.running_tasks("run-3") == 0),
        "stopped at once"
    );
    assert!(
        cluster.run_until(150_000, |w| w.workers.is_empty()),
        "idle machines are returned"
    );
    assert_eq!(cluster.final_state("run-3"), Some(JobState::Cancelled));
    for prefix in ["rounds/", "work/", "live/job/"] {
        assert_eq!(cluster.count_keys(prefix), 0, "{prefix}");
    }
}

#[test]
fn team_quotas_hold_under_load() {
    let jobs = (1..6)
        .map(|number| short_job(&format!("run-{number}"), JobKind::Array, 6))
        .collect();
    let mut cluster = cluster_with(jobs);
    for number in 1..6 {
        assert_completes(&mut cluster, &format!("run-{number}"), 200_000);
    }
}

/// Guards against starts that wait for the machine's next heartbeat, half an interval on average.
#[test]
fn durable_start_is_delivered_without_waiting_for_a_heartbeat() {
    let mut cluster = cluster_with(vec![short_job("run-1", JobKind::Service, 1)]);
    assert!(cluster.run_until(60_000, |w| w.running_tasks("run-1") == 1));
    for number in 2..7 {
        // At various times within a heartbeat interval, and less often than early heartbeats are sent.
        cluster.run(9_000 + 500 * number);
        let id = format!("run-{number}");
        cluster.submit(short_job(&id, JobKind::Service, 1));
        let before = cluster.starts;
        assert!(
            cluster.run_until(800, |w| w.starts > before),
            "{id} is not started after 0.8 s"
        );
        cluster.cancel(&id);
    }
    assert_eq!(cluster.violations, Vec::<String>::new());
}

/// Guards against machines that boot while a round is planned for others, and lose a heartbeat
/// interval before they get tasks.
#[test]
fn machines_that_boot_together_all_get_tasks_at_once() {
    let mut cluster = SimulatedCluster::new(3, 40.0);
    cluster.run(2_000);
    for number in 0..10 {
        let job = job_with_duration(&format!("run-{number}"), JobKind::Array, 4, 300.0);
        cluster.submit(job);
    }
    assert!(cluster.run_until(60_000, |w| w.starts > 0));
    // Machines are rented for the first at once, for the others a second later: less than a
    // heartbeat interval.
    cluster.run(2_000);
    assert_eq!((cluster.workers.len(), cluster.starts), (10, 40));
}

/// A node that has not reached the cloud since its start knows no machine types: it becomes ready
/// all the same, so that status queries are answered.
#[test]
fn nodes_become_ready_without_machine_types() {
    let mut cluster = SimulatedCluster::new(3, 8.0);
    cluster.faults.cloud_unavailable = true;
    cluster.run(5_000);
    assert!((0..3).all(|node| !cluster.engine(node).unwrap().status().ready));
    cluster.run(10_000);
    assert!((0..3).all(|node| cluster.engine(node).unwrap().status().ready));
    cluster.faults.cloud_unavailable = false;
    cluster.run(5_000);
    cluster.submit(short_job("run-1", JobKind::Array, 1));
    assert_completes(&mut cluster, "run-1", 60_000);
}

/// A gang needs more starts than one record holds.
#[test]
fn starts_of_a_large_gang_span_several_records() {
    for lose_every in [0, 2] {
        let mut cluster = SimulatedCluster::new(3, 400.0);
        let gang = job_with_duration("run-1", JobKind::Gang, 300, 60.0);
        cluster.run(2_000);
        cluster.submit(gang);
        cluster.faults.lose_commit_reply_every = lose_every;
        assert!(cluster.run_until(60_000, |w| w.count_keys("rounds/") > 2));
        assert_eq!(cluster.term(), 1);
        cluster.crash_leader();
        assert_completes(&mut cluster, "run-1", 180_000);
        assert_eq!(cluster.starts, 300);
        cluster.faults.lose_commit_reply_every = 0;
        assert!(cluster.run_until(10_000, |w| w.count_keys("rounds/") == 0));
    }
}

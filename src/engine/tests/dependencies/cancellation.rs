//! Cancellations that propagate to dependents.

use super::super::simulated_cluster::SimulatedCluster;
use super::super::support::{assert_completes, cluster_with, dependent_job, short_job};
use super::job_chain;
use crate::wire::user::{JobKind, JobState};

/// Returns the state of a blocked job that each node reports.
fn blocked_job_states(cluster: &mut SimulatedCluster, id: &str) -> Vec<Option<JobState>> {
    (0..3)
        .map(|node| cluster.blocked_job_state(node, id))
        .collect()
}

/// Guards against dependents whose cancellation needs a second write: no write is possible for
/// longer than the time limit of a cancellation, and no node may report a dependent as queued
/// during the outage or after it.
#[test]
fn cancellation_propagates_to_dependents_during_an_outage() {
    let mut jobs = job_chain();
    jobs[0].expected_duration_s = 300.0;
    let mut cluster = cluster_with(jobs);
    assert!(cluster.run_until(60_000, |cluster| cluster.running_tasks("run-1") == 2));
    assert_eq!(
        blocked_job_states(&mut cluster, "run-4"),
        [Some(JobState::Queued); 3]
    );
    cluster.cancel("run-1");
    cluster.run(30);
    cluster.faults.store_unavailable = true;
    for _ in 0..12 {
        cluster.run(3_000);
        assert_eq!(blocked_job_states(&mut cluster, "run-3"), [None; 3]);
    }
    cluster.run(20_000);
    assert_eq!(cluster.all_running_tasks(), 0);
    cluster.faults.store_unavailable = false;
    cluster.run(3_000);
    for id in ["run-2", "run-3", "run-4"] {
        assert!(cluster.run_until(5_000, |cluster| cluster.final_state(id)
            == Some(JobState::Cancelled)));
    }
    cluster.run(5_000);
    assert_eq!((cluster.count_keys("live/job/"), cluster.starts), (0, 2));
    assert_eq!(cluster.violations, Vec::<String>::new());
}

/// Guards against a node whose reply is older than that of another node: each node must ask the state
/// service for changes newer than the query. There is no leader, so nobody writes the final records
/// of the dependents.
#[test]
fn all_nodes_report_a_dependents_cancellation_consistently() {
    let mut jobs = job_chain();
    jobs[0].expected_duration_s = 300.0;
    let mut cluster = cluster_with(jobs);
    assert!(cluster.run_until(60_000, |cluster| cluster.running_tasks("run-1") == 2));
    let leader = cluster.crash_leader();
    let followers: Vec<usize> = (0..3).filter(|node| *node != leader).collect();
    cluster.faults.watch_delay.insert(followers[1], 900);
    cluster.run(1_000);
    cluster.cancel("run-1");
    for node in followers {
        for id in ["run-2", "run-4"] {
            assert_eq!(
                cluster.blocked_job_state(node, id),
                Some(JobState::Cancelled)
            );
        }
    }
    assert_eq!(
        cluster.final_state("run-2"),
        None,
        "only the cancelled job's record decides"
    );
}

/// Jobs that depend on a cancelled job must be cancelled although that job's live record is deleted,
/// also if a node has just restarted.
#[test]
fn jobs_depending_on_a_cancelled_job_are_cancelled() {
    let mut cluster = cluster_with(vec![dependent_job("run-1", JobKind::Service, 1, &[])]);
    assert!(cluster.run_until(60_000, |cluster| cluster.running_tasks("run-1") == 1));
    cluster.cancel("run-1");
    assert!(cluster.run_until(20_000, |cluster| cluster.count_keys("live/job/") == 0));
    cluster.submit(dependent_job("run-2", JobKind::Array, 1, &["run-1"]));
    cluster.submit(dependent_job("run-3", JobKind::Array, 1, &["run-2"]));
    let leader = cluster.leader().unwrap();
    cluster.crash((leader + 1) % 3);
    cluster.start((leader + 1) % 3);
    for id in ["run-2", "run-3"] {
        assert!(cluster.run_until(10_000, |cluster| cluster.final_state(id)
            == Some(JobState::Cancelled)));
    }
    cluster.run(2_000);
    assert_eq!((cluster.count_keys("live/job/"), cluster.starts), (0, 1));
}

/// Guards against a cancellation that propagates backwards: the dependencies of the cancelled job,
/// and other dependents of these dependencies, must continue.
#[test]
fn cancelling_a_blocked_job_does_not_affect_its_dependencies() {
    let mut cluster = cluster_with(vec![
        short_job("run-1", JobKind::Array, 2),
        dependent_job("run-2", JobKind::Array, 1, &["run-1"]),
        dependent_job("run-3", JobKind::Array, 1, &["run-2"]),
        dependent_job("run-4", JobKind::Array, 1, &["run-1"]),
    ]);
    assert!(cluster.run_until(60_000, |cluster| cluster.running_tasks("run-1") == 2));
    cluster.cancel("run-2");
    assert_completes(&mut cluster, "run-4", 120_000);
    assert!(cluster.is_done("run-1"));
    for id in ["run-2", "run-3"] {
        assert_eq!(cluster.final_state(id), Some(JobState::Cancelled), "{id}");
    }
    assert_eq!(cluster.starts, 3);
}

/// Guards against a job that is released after its cancellation: the write that releases the job is
/// executed 12 s late.
#[test]
fn late_release_of_a_blocked_job_does_not_undo_its_cancellation() {
    let mut cluster = cluster_with(vec![
        short_job("run-1", JobKind::Array, 1),
        dependent_job("run-2", JobKind::Array, 1, &["run-1"]),
    ]);
    assert!(cluster.run_until(60_000, |cluster| cluster.running_tasks("run-1") == 1));
    cluster.faults.delay_next_write = Some("live/job/run-2");
    assert!(cluster.run_until(60_000, |cluster| cluster.faults.delay_next_write.is_none()));
    cluster.cancel("run-2");
    cluster.run(30_000);
    assert_eq!(cluster.final_state("run-2"), Some(JobState::Cancelled));
    assert_eq!((cluster.count_keys("live/job/"), cluster.starts), (0, 1));
    assert_eq!(cluster.violations, Vec::<String>::new());
}

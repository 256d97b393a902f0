//! Resources, priorities and times of jobs that wait for their dependencies.

use super::super::simulated_cluster::SimulatedCluster;
use super::super::support::{
    JobSubmissionExt, assert_completes, cluster_with, dependent_job, job_with_duration, short_job,
};
use crate::constants::STARVATION_THRESHOLD;
use crate::model::{Job, JobId, JobPhase, JobSpec, Timestamp, UnixTime};
use crate::wire::user::{JobKind, Priority};
use std::time::Duration;

/// The job as the leader knows it.
fn known_to_leader<'a>(cluster: &'a SimulatedCluster, id: &str) -> Option<&'a Job> {
    let leader = cluster.leader()?;
    cluster.engine(leader)?.jobs.get(&JobId::from(id))
}

/// Guards against resources reserved, or machines rented, for a job that can't start.
#[test]
fn blocked_job_reserves_no_resources() {
    let mut first = dependent_job("run-1", JobKind::Array, 1, &[]);
    first.expected_duration_s = 40.0;
    let waiting = dependent_job("run-2", JobKind::Array, 8, &["run-1"]);
    let mut cluster = cluster_with(vec![first, waiting]);
    assert!(cluster.run_until(60_000, |w| w.running_tasks("run-1") == 1));
    assert_eq!(cluster.workers.len(), 1, "no machine is rented for it");
    // It uses the rest of the team's quota, although the blocked job was submitted first.
    let other = dependent_job("run-3", JobKind::Gang, 7, &[]).with_priority(Priority::Low);
    cluster.submit(other);
    assert_completes(&mut cluster, "run-3", 60_000);
    assert_completes(&mut cluster, "run-2", 120_000);
}

#[test]
fn dependencies_inherit_priority_and_deadline() {
    let mut last = dependent_job("run-3", JobKind::Array, 1, &["run-2"]);
    (last.priority, last.deadline_s) = (Priority::High, Some(60.0));
    let mut low = dependent_job("run-1", JobKind::Array, 2, &[]);
    low.priority = Priority::Low;
    let mut normal = dependent_job("run-9", JobKind::Array, 2, &[]);
    for job in [&mut low, &mut normal] {
        (job.cpus, job.gpus) = (16.0, 4.0);
    }
    let mut cluster = SimulatedCluster::new(3, 8.0);
    cluster.faults.zone_capacity = Some(1);
    cluster.run(2_000);
    for job in [
        normal,
        low,
        dependent_job("run-2", JobKind::Array, 1, &["run-1"]),
        last,
    ] {
        cluster.submit(job);
    }
    // There is capacity for two tasks, one in each zone.
    assert!(cluster.run_until(60_000, |w| !w.started_jobs.is_empty()));
    assert!(
        cluster.started_jobs.contains("run-1"),
        "{:?}",
        cluster.started_jobs
    );
    assert!(!cluster.started_jobs.contains("run-9"));
    assert_completes(&mut cluster, "run-3", 120_000);
}

/// A job that was blocked for long has not starved.
#[test]
fn starvation_counts_from_readiness_and_deadline_from_submission() {
    let mut spec = JobSpec::from(&short_job("run-1", JobKind::Array, 1));
    spec.deadline = Some(Duration::from_secs(5));
    let mut job = Job::new(
        spec,
        1,
        UnixTime::from_millis(1_000),
        JobPhase::Open,
        Timestamp::default(),
    );
    let late = UnixTime::from_millis(1_000).saturating_add(2 * STARVATION_THRESHOLD);
    assert!(job.is_starving(late));
    job.ready_at = UnixTime::from_millis(late.as_millis() - 1_000);
    assert!(!job.is_starving(late));
    assert_eq!(job.deadline(), UnixTime::from_millis(6_000));
}

/// Guards against times that start again with a new leader, and against a deadline that is moved by
/// the wait: the deadline counts from the submission, starvation from when the job could start.
#[test]
fn times_of_a_blocked_job_survive_a_failover() {
    let first = job_with_duration("run-1", JobKind::Array, 1, 60.0);
    let mut last = dependent_job("run-2", JobKind::Service, 1, &["run-1"]);
    last.deadline_s = Some(900.0);
    let mut cluster = cluster_with(vec![first, last]);
    let submitted = cluster.now;
    assert!(cluster.run_until(180_000, |w| w.is_done("run-1")));
    let ended = cluster.now;
    assert!(cluster.run_until(5_000, |w| known_to_leader(w, "run-2").is_some()));
    for change_of_leader in [false, true] {
        if change_of_leader {
            let leader = cluster.crash_leader();
            cluster.run(6_000);
            // The other nodes know the blocked job; this one reads its record anew.
            for node in (0..3).filter(|node| *node != leader) {
                cluster.crash(node);
            }
            cluster.start(leader);
            assert!(cluster.run_until(20_000, |w| known_to_leader(w, "run-2").is_some()));
        }
        let job = known_to_leader(&cluster, "run-2").unwrap();
        assert_eq!(job.submitted_at.as_millis(), submitted);
        assert_eq!(job.deadline().as_millis(), submitted + 900_000);
        let told_of_the_end = ended - 1_000..ended + 2_000;
        let ready = job.ready_at.as_millis();
        assert!(
            told_of_the_end.contains(&ready),
            "ready at {ready}, ended at {ended}"
        );
    }
}

/// Guards against a guarantee used by a job that can't start: of two jobs that would use it up, the
/// later one that is not blocked gets it.
#[test]
fn blocked_job_uses_no_team_guarantee() {
    let first = job_with_duration("run-1", JobKind::Array, 1, 300.0);
    let waiting = dependent_job("run-2", JobKind::Array, 3, &["run-1"]);
    let mut cluster = cluster_with(vec![first, waiting]);
    cluster.run(100);
    cluster.submit(short_job("run-3", JobKind::Array, 3));
    assert!(cluster.run_until(10_000, |w| known_to_leader(w, "run-3").is_some()));
    let leader = cluster.leader().unwrap();
    let within_guarantee = cluster.engine(leader).unwrap().jobs_within_guarantee();
    let within_guarantee: Vec<&str> = within_guarantee.iter().map(|id| &*id.0).collect();
    assert_eq!(within_guarantee, ["run-1", "run-3"]);
}

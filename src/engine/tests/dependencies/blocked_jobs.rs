//! Resources, priorities and times of jobs that wait for their dependencies.

use super::super::simulated_cluster::SimulatedCluster;
use super::super::support::{
    JobSubmissionExt, assert_completes, cluster_with, dependent_job, job_with_duration, short_job,
};
use crate::constants::STARVATION_THRESHOLD;
use crate::model::{Job, JobId, JobPhase, JobSpec, Timestamp, UnixTime};
use crate::wire::user::{JobKind, Priority};
use std::time::Duration;

/// Returns the job as the leader holds it in memory. Returns `None` without a leader, or if the
/// leader does not have the job.
fn job_at_leader<'a>(cluster: &'a SimulatedCluster, id: &str) -> Option<&'a Job> {
    let leader = cluster.leader()?;
    cluster.engine(leader)?.jobs.get(&JobId::from(id))
}

/// Guards against resources that are reserved, and machines that are rented, for a job that can't
/// start.
#[test]
fn blocked_job_reserves_no_resources() {
    let mut dependency = dependent_job("run-1", JobKind::Array, 1, &[]);
    dependency.expected_duration_s = 40.0;
    let blocked = dependent_job("run-2", JobKind::Array, 8, &["run-1"]);
    let mut cluster = cluster_with(vec![dependency, blocked]);
    assert!(cluster.run_until(60_000, |cluster| cluster.running_tasks("run-1") == 1));
    assert_eq!(
        cluster.workers.len(),
        1,
        "no machine is rented for the blocked job"
    );
    // This job uses the rest of the team's quota, although the blocked job was submitted first.
    let unblocked = dependent_job("run-3", JobKind::Gang, 7, &[]).with_priority(Priority::Low);
    cluster.submit(unblocked);
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
    assert!(cluster.run_until(60_000, |cluster| !cluster.started_jobs.is_empty()));
    assert!(
        cluster.started_jobs.contains("run-1"),
        "started jobs: {:?}",
        cluster.started_jobs
    );
    assert!(!cluster.started_jobs.contains("run-9"));
    assert_completes(&mut cluster, "run-3", 120_000);
}

/// The time for which a job was blocked must not count towards its starvation.
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
    let starvation_time = UnixTime::from_millis(1_000).saturating_add(2 * STARVATION_THRESHOLD);
    assert!(job.is_starving(starvation_time));
    job.ready_at = UnixTime::from_millis(starvation_time.as_millis() - 1_000);
    assert!(!job.is_starving(starvation_time));
    assert_eq!(job.deadline(), UnixTime::from_millis(6_000));
}

/// Guards against times that start again with a new leader, and against a deadline that is postponed
/// while the job is blocked: the deadline counts from the submission, and starvation counts from the
/// time at which the job became ready.
#[test]
fn times_of_a_blocked_job_survive_a_failover() {
    let dependency = job_with_duration("run-1", JobKind::Array, 1, 60.0);
    let mut dependent = dependent_job("run-2", JobKind::Service, 1, &["run-1"]);
    dependent.deadline_s = Some(900.0);
    let mut cluster = cluster_with(vec![dependency, dependent]);
    let submitted_at = cluster.now;
    assert!(cluster.run_until(180_000, |cluster| cluster.is_done("run-1")));
    let dependency_done_at = cluster.now;
    assert!(cluster.run_until(5_000, |cluster| job_at_leader(cluster, "run-2").is_some()));
    for after_failover in [false, true] {
        if after_failover {
            let leader = cluster.crash_leader();
            cluster.run(6_000);
            // The other nodes hold the blocked job in memory, so they crash too; the former leader
            // has to read the job's record again.
            for node in (0..3).filter(|node| *node != leader) {
                cluster.crash(node);
            }
            cluster.start(leader);
            assert!(cluster.run_until(20_000, |cluster| job_at_leader(cluster, "run-2").is_some()));
        }
        let job = job_at_leader(&cluster, "run-2").unwrap();
        assert_eq!(job.submitted_at.as_millis(), submitted_at);
        assert_eq!(job.deadline().as_millis(), submitted_at + 900_000);
        let expected_ready_ms = dependency_done_at - 1_000..dependency_done_at + 2_000;
        let ready_ms = job.ready_at.as_millis();
        assert!(
            expected_ready_ms.contains(&ready_ms),
            "ready at {ready_ms}, dependency done at {dependency_done_at}"
        );
    }
}

/// Guards against a team's guarantee that is used by a job that can't start: each of two jobs would
/// use it up, and the later one, which is not blocked, must get it.
#[test]
fn blocked_job_uses_no_team_guarantee() {
    let dependency = job_with_duration("run-1", JobKind::Array, 1, 300.0);
    let blocked = dependent_job("run-2", JobKind::Array, 3, &["run-1"]);
    let mut cluster = cluster_with(vec![dependency, blocked]);
    cluster.run(100);
    cluster.submit(short_job("run-3", JobKind::Array, 3));
    assert!(cluster.run_until(10_000, |cluster| job_at_leader(cluster, "run-3").is_some()));
    let leader = cluster.leader().unwrap();
    let within_guarantee = cluster.engine(leader).unwrap().jobs_within_guarantee();
    let within_guarantee: Vec<&str> = within_guarantee.iter().map(|id| &*id.0).collect();
    assert_eq!(within_guarantee, ["run-1", "run-3"]);
}

//! Job submissions and simulated clusters that the engine's tests share.

use super::simulated_cluster::{Millis, SimulatedCluster};
use crate::wire::user::JobKind;
use crate::wire::user::tests::job_submission;
use crate::wire::user::{JobSubmission, Priority};

/// Returns a job whose tasks run for 10 s, or a service whose tasks run until they are stopped.
pub(crate) fn short_job(id: &str, kind: JobKind, tasks: u64) -> JobSubmission {
    let mut job = job_submission(id, kind, tasks);
    job.expected_duration_s = if kind == JobKind::Service { 0.0 } else { 10.0 };
    job
}

/// Returns a job whose tasks run for the given number of seconds.
pub(crate) fn job_with_duration(
    id: &str,
    kind: JobKind,
    tasks: u64,
    seconds: f64,
) -> JobSubmission {
    JobSubmission {
        expected_duration_s: seconds,
        ..short_job(id, kind, tasks)
    }
}

/// Returns a short job that depends on the jobs with the given ids.
pub(crate) fn dependent_job(
    id: &str,
    kind: JobKind,
    tasks: u64,
    dependencies: &[&str],
) -> JobSubmission {
    let mut job = short_job(id, kind, tasks);
    job.depends_on = dependencies.iter().map(|id| (*id).to_owned()).collect();
    job
}

/// Returns a gang whose tasks each need a whole machine.
pub(crate) fn whole_machine_gang(id: &str, tasks: u64) -> JobSubmission {
    JobSubmission {
        gpus: 4.0,
        cpus: 16.0,
        memory_gb: 64.0,
        ..short_job(id, JobKind::Gang, tasks)
    }
}

/// Builder-style changes to a job submission.
pub(crate) trait JobSubmissionExt {
    /// Returns the job with the given priority.
    fn with_priority(self, priority: Priority) -> JobSubmission;
    /// Returns the job restricted to the given zone.
    fn in_zone(self, zone: &str) -> JobSubmission;
}

impl JobSubmissionExt for JobSubmission {
    fn with_priority(self, priority: Priority) -> JobSubmission {
        JobSubmission { priority, ..self }
    }

    fn in_zone(self, zone: &str) -> JobSubmission {
        let zone = Some(zone.to_owned());
        JobSubmission { zone, ..self }
    }
}

/// Creates a cluster of three nodes whose team may use eight GPUs, and submits the jobs after 2 s,
/// when there is a leader.
///
/// The engines' log is shown if the tests are run with `--nocapture`.
pub(crate) fn cluster_with(jobs: Vec<JobSubmission>) -> SimulatedCluster {
    // Fails if another test has already installed the subscriber, which serves this test as well.
    let _ = tracing_subscriber::fmt().with_test_writer().try_init();
    let mut cluster = SimulatedCluster::new(3, 8.0);
    cluster.run(2000);
    for job in jobs {
        cluster.submit(job);
    }
    cluster
}

/// Creates a cluster in which all eight replicas of two services run, on machines of both zones.
pub(crate) fn cluster_with_two_services() -> SimulatedCluster {
    let mut jobs = vec![
        short_job("run-1", JobKind::Service, 4),
        short_job("run-2", JobKind::Service, 4),
    ];
    jobs[1].spread_zones = true;
    let mut cluster = cluster_with(jobs);
    assert!(
        cluster.run_until(60_000, |simulation| simulation.running_tasks("run-1")
            + simulation.running_tasks("run-2")
            == 8)
    );
    cluster
}

/// Asserts that the job completes within the timeout and that no invariant has been violated.
#[track_caller]
pub(crate) fn assert_completes(cluster: &mut SimulatedCluster, id: &str, timeout: Millis) {
    let done = cluster.run_until(timeout, |simulation| simulation.is_done(id));
    assert!(
        done,
        "{id} is not done at {}:\n{}",
        cluster.now,
        cluster.describe()
    );
    assert_eq!(cluster.violations, Vec::<String>::new());
}

/// Restarts node 1, the only node in the west zone, until it no longer leads.
pub(crate) fn move_leadership_east(cluster: &mut SimulatedCluster) {
    while cluster.leader() == Some(1) {
        cluster.restart(1, 10_000);
        cluster.run(3_000);
    }
    cluster.run(10_000);
}

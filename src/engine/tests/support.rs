//! Jobs and clusters that the scenarios share.

use super::simulated_cluster::{Millis, SimulatedCluster};
use crate::wire::user::JobKind;
use crate::wire::user::tests::job_submission;
use crate::wire::user::{JobSubmission, Priority};

/// A job that ends after ten seconds, or a service.
pub(crate) fn short_job(id: &str, kind: JobKind, tasks: u64) -> JobSubmission {
    let mut job = job_submission(id, kind, tasks);
    job.expected_duration_s = if kind == JobKind::Service { 0.0 } else { 10.0 };
    job
}

/// A job whose tasks run for that many seconds.
pub(crate) fn lasting_job(id: &str, kind: JobKind, tasks: u64, seconds: f64) -> JobSubmission {
    JobSubmission {
        expected_duration_s: seconds,
        ..short_job(id, kind, tasks)
    }
}

/// A job that depends on others.
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

/// A gang each task of which needs a whole machine.
pub(crate) fn whole_machine_gang(id: &str, tasks: u64) -> JobSubmission {
    JobSubmission {
        gpus: 4.0,
        cpus: 16.0,
        memory_gb: 64.0,
        ..short_job(id, JobKind::Gang, tasks)
    }
}

/// Changes to a job.
pub(crate) trait JobChanges {
    /// The job with that priority.
    fn with_priority(self, priority: Priority) -> JobSubmission;
    /// The job, to be placed in that zone.
    fn in_zone(self, zone: &str) -> JobSubmission;
}

impl JobChanges for JobSubmission {
    fn with_priority(self, priority: Priority) -> JobSubmission {
        JobSubmission { priority, ..self }
    }

    fn in_zone(self, zone: &str) -> JobSubmission {
        let zone = Some(zone.to_owned());
        JobSubmission { zone, ..self }
    }
}

/// Three nodes whose team has eight GPUs, with these jobs submitted once there is a leader.
///
/// Run with `--nocapture` to see what the engines log.
pub(crate) fn cluster_with(jobs: Vec<JobSubmission>) -> SimulatedCluster {
    // It fails if another test was first, which does no harm.
    let _ = tracing_subscriber::fmt().with_test_writer().try_init();
    let mut cluster = SimulatedCluster::new(3, 8.0);
    cluster.run(2000);
    for job in jobs {
        cluster.submit(job);
    }
    cluster
}

/// A cluster in which all eight replicas of two services run, on machines of both zones.
pub(crate) fn cluster_with_two_services() -> SimulatedCluster {
    let mut jobs = vec![
        short_job("run-1", JobKind::Service, 4),
        short_job("run-2", JobKind::Service, 4),
    ];
    jobs[1].spread_zones = true;
    let mut cluster = cluster_with(jobs);
    assert!(cluster.run_until(60_000, |w| w.running_tasks("run-1")
        + w.running_tasks("run-2")
        == 8));
    cluster
}

/// The job completes in time, and no invariant is violated.
#[track_caller]
pub(crate) fn assert_completes(cluster: &mut SimulatedCluster, id: &str, timeout: Millis) {
    let done = cluster.run_until(timeout, |w| w.is_done(id));
    assert!(
        done,
        "{id} is not done at {}:\n{}",
        cluster.now,
        cluster.describe()
    );
    assert_eq!(cluster.violations, Vec::<String>::new());
}

/// Restarts node 1, the only one in the west, until another node leads.
pub(crate) fn move_leadership_east(cluster: &mut SimulatedCluster) {
    while cluster.leader() == Some(1) {
        cluster.restart(1, 10_000);
        cluster.run(3_000);
    }
    cluster.run(10_000);
}

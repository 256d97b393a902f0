//! Gangs for which other tasks are stopped.

use super::simulated_cluster::{SimulatedCluster, UNLIMITED_GPUS};
use super::support::{JobSubmissionExt, job_with_duration, short_job, whole_machine_gang};
use crate::wire::user::{JobKind, JobSubmission, Priority};

/// Returns a job of low priority whose tasks run for ten minutes and take that many CPUs.
fn low_priority_job(id: &str, tasks: u64, cpus: f64) -> JobSubmission {
    let job = job_with_duration(id, JobKind::Array, tasks, 600.0);
    JobSubmission { cpus, ..job }.with_priority(Priority::Low)
}

/// Creates a full cluster of six machines, three in each zone. In the west only one machine has a
/// task of low priority, in the east each has two.
fn full_cluster() -> SimulatedCluster {
    let _ = tracing_subscriber::fmt().with_test_writer().try_init();
    let mut cluster = SimulatedCluster::new(3, UNLIMITED_GPUS);
    cluster.faults.zone_capacity = Some(3);
    cluster.run(2_000);
    let service = short_job("run-1", JobKind::Service, 2).with_priority(Priority::Production);
    let service = JobSubmission {
        cpus: 16.0,
        ..service
    };
    cluster.submit(service.in_zone("west"));
    cluster.submit(low_priority_job("run-2", 1, 16.0).in_zone("west"));
    cluster.submit(low_priority_job("run-3", 6, 8.0).in_zone("east"));
    assert!(cluster.run_until(90_000, |cluster| cluster.all_running_tasks() == 9));
    cluster.run(35_000);
    cluster
}

/// Returns a gang of three whole machines in one zone, of high priority.
fn single_zone_gang() -> JobSubmission {
    JobSubmission {
        single_zone: true,
        ..whole_machine_gang("run-4", 3).with_priority(Priority::High)
    }
}

/// Guards against a gang that never gets room because only the zone with the cheapest victim is
/// looked at, against tasks that are stopped in vain there, and against stopped tasks that take
/// back the machines that have been freed for the gang.
#[test]
fn tasks_are_stopped_for_a_gang_in_the_zone_where_it_fits() {
    let mut cluster = full_cluster();
    let starts = cluster.starts;
    cluster.submit(single_zone_gang());
    let begins = cluster.run_until(40_000, |cluster| cluster.running_tasks("run-4") == 3);
    assert!(begins, "the gang has not begun:\n{}", cluster.describe());
    assert_eq!(cluster.starts, starts + 3, "only the gang was started");
    assert_eq!(cluster.running_tasks("run-2"), 1, "stopped in vain");
    assert_eq!(cluster.violations, Vec::<String>::new());
}

/// Guards against machines that are kept for a gang that is cancelled while tasks are stopped for
/// it.
#[test]
fn stopped_tasks_run_again_if_the_gang_is_cancelled() {
    let mut cluster = full_cluster();
    cluster.submit(single_zone_gang());
    assert!(cluster.run_until(40_000, |cluster| cluster.running_tasks("run-3") < 6));
    cluster.cancel("run-4");
    assert!(cluster.run_until(30_000, |cluster| cluster.running_tasks("run-3") == 6));
    assert_eq!(cluster.violations, Vec::<String>::new());
}

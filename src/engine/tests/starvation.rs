//! Large jobs and jobs of low priority beside a stream of others.

use super::simulated_cluster::{Millis, SimulatedCluster};
use super::support::{
    JobSubmissionExt, assert_completes, job_with_duration, short_job, whole_machine_gang,
};
use crate::wire::user::{JobKind, Priority};

/// A gang needs sixteen whole machines in a zone of eighteen, beside a stream of small jobs that
/// would use each machine as it becomes free, and across a failover.
#[test]
fn largest_gang_starts_within_four_minutes_beside_small_jobs() {
    let mut cluster = SimulatedCluster::new(3, 400.0);
    cluster.faults.zone_capacity = Some(18);
    cluster.run(2_000);
    let mut submitted = 0;
    let mut submit_small_jobs = |cluster: &mut SimulatedCluster, duration: Millis| {
        for _ in 0..duration / 1_000 {
            for _ in 0..2 {
                submitted += 1;
                let job = job_with_duration(&format!("run-{submitted}"), JobKind::Array, 2, 20.0);
                cluster.submit(job);
            }
            cluster.run(1_000);
        }
    };
    submit_small_jobs(&mut cluster, 60_000);
    let mut large = whole_machine_gang("run-gang", 16);
    large.single_zone = true;
    cluster.submit(large);
    submit_small_jobs(&mut cluster, 60_000);
    let leader = cluster.crash_leader();
    submit_small_jobs(&mut cluster, 20_000);
    cluster.start(leader);
    submit_small_jobs(&mut cluster, 160_000);
    assert!(
        cluster.is_done("run-gang") || cluster.running_tasks("run-gang") == 16,
        "{}",
        cluster.describe()
    );
    assert_eq!(cluster.violations, Vec::<String>::new());
}

/// The largest array, of the lowest priority, and a large service, with less capacity than jobs of
/// high priority alone request.
#[test]
fn largest_array_and_service_start_within_four_minutes_beside_high_priority_jobs() {
    let mut cluster = SimulatedCluster::new(3, 400.0);
    cluster.faults.zone_capacity = Some(4);
    cluster.run(2_000);
    let array = short_job("run-array", JobKind::Array, 150).with_priority(Priority::Low);
    let mut service = short_job("run-service", JobKind::Service, 8);
    (service.priority, service.spread_zones) = (Priority::Normal, true);
    let mut urgent = 0;
    for second in 0..340 {
        // Twice what the eight machines can run.
        for _ in 0..2 {
            urgent += 1;
            let mut job = short_job(&format!("run-{urgent}"), JobKind::Array, 2);
            (job.priority, job.expected_duration_s) = (Priority::High, 16.0);
            cluster.submit(job);
        }
        if second == 100 {
            cluster.submit(array.clone());
            cluster.submit(service.clone());
        }
        cluster.run(1_000);
    }
    // Each start counts: no task is preempted within 30 s of it, but later it may be.
    for id in ["run-array", "run-service"] {
        assert!(
            cluster.started_jobs.contains(id),
            "{id}: {}",
            cluster.describe()
        );
    }
    assert_eq!(cluster.violations, Vec::<String>::new());
}

/// Guards against a pass that considers only as many jobs as a round may name: there are more jobs
/// than that which can't be placed, ahead of one that can.
#[test]
fn unplaceable_jobs_at_the_head_of_the_queue_do_not_block_others() {
    let mut cluster = SimulatedCluster::new(3, 400.0);
    cluster.faults.zone_capacity = Some(1);
    cluster.run(2_000);
    for number in 0..130 {
        let mut gang = short_job(&format!("run-1{number}"), JobKind::Gang, 16);
        (gang.gpus, gang.priority) = (4.0, Priority::High);
        cluster.submit(gang);
    }
    let low = short_job("run-2", JobKind::Array, 4).with_priority(Priority::Low);
    cluster.submit(low);
    assert_completes(&mut cluster, "run-2", 60_000);
}

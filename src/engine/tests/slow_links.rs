//! Slow links: each message is delayed independently, up to a bound, so that replies arrive late and
//! out of order. In one test the jobs also need more resources than are available.

use super::simulated_cluster::{Millis, SimulatedCluster};
use super::support::{JobSubmissionExt, job_with_duration, short_job, whole_machine_gang};
use crate::wire::user::{JobKind, JobSubmission, Priority};
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Maximum time that a job may wait for its start.
const MAX_WAIT: Millis = 240_000;
/// Maximum time that a job may wait although there is free capacity for it.
const MAX_WAIT_WITH_CAPACITY: Millis = 90_000;

/// Returns a large gang and a large array.
fn large_jobs() -> [JobSubmission; 2] {
    let mut gang = whole_machine_gang("run-gang", 8);
    gang.single_zone = true;
    let array = short_job("run-array", JobKind::Array, 150).with_priority(Priority::Low);
    [gang, array]
}

fn cluster_with_jitter(seed: u64, max_jitter: Millis) -> SimulatedCluster {
    let mut cluster = SimulatedCluster::new(3, 400.0);
    // Each zone has eight machines.
    cluster.faults.zone_capacity = Some(8);
    cluster.run(2_000);
    cluster.jitter_rng = SmallRng::seed_from_u64(seed);
    cluster.faults.max_jitter = max_jitter;
    cluster
}

/// For that many seconds, submits more small jobs each second than the machines can run. Every other
/// second the jobs have high priority.
fn run_overloaded(cluster: &mut SimulatedCluster, submitted: &mut u64, seconds: u64) {
    for second in 0..seconds {
        for _ in 0..3 {
            *submitted += 1;
            let mut job = job_with_duration(&format!("run-{submitted}"), JobKind::Array, 2, 16.0);
            if second % 2 == 0 {
                job.priority = Priority::High;
            }
            cluster.submit(job);
        }
        cluster.run(1_000);
    }
}

/// Asserts that all waiting jobs are placed within [`MAX_WAIT_WITH_CAPACITY`].
#[track_caller]
fn assert_all_placed(cluster: &mut SimulatedCluster, context: &str) {
    let end = cluster.now + MAX_WAIT_WITH_CAPACITY;
    while cluster.now < end && !cluster.waiting_jobs().is_empty() {
        cluster.run(1_000);
    }
    let waiting = cluster.waiting_jobs();
    assert!(
        waiting.is_empty(),
        "{context}: {waiting:?} wait\n{}",
        cluster.describe()
    );
}

/// Guards against starvation while the jobs, some of them of high priority, need more resources than
/// are available, links are slow and the leader crashes. The large gang and the large array must
/// start within four minutes of their submission, and all waiting jobs must start once the links are
/// fast and there is capacity.
#[test]
fn overload_with_slow_links_starves_no_job() {
    for (seed, max_jitter) in [(1, 250), (2, 600)] {
        let context = format!("seed {seed}, links slow by up to {max_jitter} ms");
        let mut cluster = cluster_with_jitter(seed, max_jitter);
        let mut submitted = 0;
        run_overloaded(&mut cluster, &mut submitted, 60);
        let submitted_at = cluster.now;
        for job in large_jobs() {
            cluster.submit(job);
        }
        run_overloaded(&mut cluster, &mut submitted, 60);
        if let Some(leader) = cluster.leader() {
            cluster.crash(leader);
            run_overloaded(&mut cluster, &mut submitted, 20);
            cluster.start(leader);
        }
        while cluster.now < submitted_at + MAX_WAIT {
            run_overloaded(&mut cluster, &mut submitted, 10);
        }
        for job in large_jobs() {
            assert!(
                cluster.started_jobs.contains(&job.id),
                "{context}: {} waits\n{}",
                job.id,
                cluster.describe()
            );
        }
        // The faults end. Now there is capacity for all remaining jobs, for a few tasks of each job
        // at a time.
        cluster.faults.max_jitter = 0;
        cluster.faults.zone_capacity = None;
        assert_all_placed(&mut cluster, &context);
        assert_eq!(cluster.violations, Vec::<String>::new(), "{context}");
    }
}

/// Guards against a job that waits despite free capacity because a message of its round was late:
/// links are slow, but there is capacity for all jobs.
#[test]
fn slow_links_keep_no_job_waiting_despite_free_capacity() {
    for (seed, max_jitter) in [(1, 250), (2, 600), (3, 700)] {
        let context = format!("seed {seed}, links slow by up to {max_jitter} ms");
        let mut cluster = cluster_with_jitter(seed, max_jitter);
        for number in 0..20 {
            let kind = [JobKind::Array, JobKind::Gang][number % 2];
            cluster.submit(short_job(&format!("run-{number}"), kind, 3));
            cluster.run(4_000);
            if number % 7 == 3
                && let Some(leader) = cluster.leader()
            {
                cluster.restart(leader, 1_000);
            }
        }
        assert_all_placed(&mut cluster, &context);
        assert_eq!(cluster.violations, Vec::<String>::new(), "{context}");
    }
}

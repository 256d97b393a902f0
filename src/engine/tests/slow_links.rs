//! Slow links: each message is delayed independently, up to a bound, so that replies come late and
//! overtake one another, with more tasks than resources.

use super::simulated_cluster::{Millis, SimulatedCluster};
use super::support::{JobSubmissionExt, job_with_duration, short_job, whole_machine_gang};
use crate::wire::user::{JobKind, JobSubmission, Priority};
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// The longest time that a job may wait for its start.
const MAX_WAIT: Millis = 240_000;
/// The longest time that a job may wait beside free capacity for it.
const MAX_WAIT_BESIDE_CAPACITY: Millis = 90_000;

/// The largest jobs of each kind.
fn large_jobs() -> [JobSubmission; 2] {
    let mut gang = whole_machine_gang("run-gang", 8);
    gang.single_zone = true;
    let array = short_job("run-array", JobKind::Array, 150).with_priority(Priority::Low);
    [gang, array]
}

fn cluster_with_jitter(seed: u64, max_jitter: Millis) -> SimulatedCluster {
    let mut cluster = SimulatedCluster::new(3, 400.0);
    // Eight machines in each zone.
    cluster.faults.zone_capacity = Some(8);
    cluster.run(2_000);
    cluster.jitter_rng = SmallRng::seed_from_u64(seed);
    cluster.faults.max_jitter = max_jitter;
    cluster
}

/// More tasks than resources for that many seconds: each second more small jobs, every other second
/// of high priority, than the machines can run.
fn overload(cluster: &mut SimulatedCluster, submitted: &mut u64, seconds: u64) {
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

/// All waiting jobs are placed within the longest time that they may wait beside free capacity.
#[track_caller]
fn assert_all_placed(cluster: &mut SimulatedCluster, context: &str) {
    let end = cluster.now + MAX_WAIT_BESIDE_CAPACITY;
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

/// Guards against starvation: more jobs than resources, of high priority and not, over slow links,
/// with a failover. The largest gang and array start within four minutes of their submission, and
/// all waiting jobs once the links are fast and there is capacity.
#[test]
fn overload_with_slow_links_starves_no_job() {
    for (seed, max_jitter) in [(1, 250), (2, 600)] {
        let context = format!("seed {seed}, links slow by up to {max_jitter} ms");
        let mut cluster = cluster_with_jitter(seed, max_jitter);
        let mut submitted = 0;
        overload(&mut cluster, &mut submitted, 60);
        let submitted_at = cluster.now;
        for job in large_jobs() {
            cluster.submit(job);
        }
        overload(&mut cluster, &mut submitted, 60);
        if let Some(leader) = cluster.leader() {
            cluster.crash(leader);
            overload(&mut cluster, &mut submitted, 20);
            cluster.start(leader);
        }
        while cluster.now < submitted_at + MAX_WAIT {
            overload(&mut cluster, &mut submitted, 10);
        }
        for job in large_jobs() {
            assert!(
                cluster.started_jobs.contains(&job.id),
                "{context}: {} waits\n{}",
                job.id,
                cluster.describe()
            );
        }
        // The faults end: there is capacity for all jobs that are left, a few tasks of each at a time.
        cluster.faults.max_jitter = 0;
        cluster.faults.zone_capacity = None;
        assert_all_placed(&mut cluster, &context);
        assert_eq!(cluster.violations, Vec::<String>::new(), "{context}");
    }
}

/// Guards against a job that waits beside free capacity because a message of its round was late:
/// links are slow, but there is capacity for all.
#[test]
fn no_job_waits_beside_free_capacity_with_slow_links() {
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

//! Slow links: each message takes a time of its own, up to a bound, so that answers come late and
//! overtake one another, with more work than room.

use super::simulated_cluster::{Millis, SimulatedCluster};
use super::support::{lasting_job, short_job, whole_machine_gang};
use crate::wire::user::{JobKind, JobSubmission, Priority};
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// The longest that anything may wait for its start.
const LONGEST_WAIT: Millis = 240_000;
/// The longest that a job may wait beside free room that it fits into.
const LONGEST_BESIDE_ROOM: Millis = 90_000;

/// The largest jobs of each kind, and when each was submitted.
fn large_jobs() -> [JobSubmission; 2] {
    let mut gang = whole_machine_gang("run-gang", 8);
    gang.single_zone = true;
    let mut array = short_job("run-array", JobKind::Array, 150);
    array.priority = Priority::Low;
    [gang, array]
}

fn cluster_with_jitter(seed: u64, slow_links: Millis) -> SimulatedCluster {
    let mut cluster = SimulatedCluster::new(3, 400.0);
    // Eight machines in each zone.
    cluster.faults.zone_capacity = Some(8);
    cluster.run(2_000);
    cluster.jitter = SmallRng::seed_from_u64(seed);
    cluster.faults.max_jitter = slow_links;
    cluster
}

/// More work than room for that many seconds: each second more small work, every other one urgent,
/// than the machines can do.
fn overload(cluster: &mut SimulatedCluster, submitted: &mut u64, seconds: u64) {
    for second in 0..seconds {
        for _ in 0..3 {
            *submitted += 1;
            let mut job = lasting_job(&format!("run-{submitted}"), JobKind::Array, 2, 16.0);
            if second % 2 == 0 {
                job.priority = Priority::High;
            }
            cluster.submit(job);
        }
        cluster.run(1_000);
    }
}

/// Whatever waits is placed within the longest time that it may wait beside room.
#[track_caller]
fn all_is_placed(cluster: &mut SimulatedCluster, of: &str) {
    let end = cluster.now + LONGEST_BESIDE_ROOM;
    while cluster.now < end && !cluster.waiting_jobs().is_empty() {
        cluster.run(1_000);
    }
    let waiting = cluster.waiting_jobs();
    assert!(
        waiting.is_empty(),
        "{of}: {waiting:?} wait\n{}",
        cluster.describe()
    );
}

/// Guards against work that waits for ever: more than there is room for, urgent and not, over slow
/// links, with a change of leader. The largest gang and array begin within four minutes of their
/// submission; after the trouble all that waits is placed.
#[test]
fn overload_with_slow_links_starves_no_job() {
    for (seed, slow_links) in [(1, 250), (2, 600)] {
        let of = format!("seed {seed}, links slow by up to {slow_links} ms");
        let mut cluster = cluster_with_jitter(seed, slow_links);
        let mut submitted = 0;
        overload(&mut cluster, &mut submitted, 60);
        let since = cluster.now;
        for job in large_jobs() {
            cluster.submit(job);
        }
        overload(&mut cluster, &mut submitted, 60);
        if let Some(leader) = cluster.leader() {
            cluster.crash(leader);
            overload(&mut cluster, &mut submitted, 20);
            cluster.start(leader);
        }
        while cluster.now < since + LONGEST_WAIT {
            overload(&mut cluster, &mut submitted, 10);
        }
        for job in large_jobs() {
            assert!(
                cluster.started_jobs.contains(&job.id),
                "{of}: {} waits\n{}",
                job.id,
                cluster.describe()
            );
        }
        // The trouble ends: room for all that is left, a few tasks of each job at a time.
        cluster.faults.max_jitter = 0;
        cluster.faults.zone_capacity = None;
        all_is_placed(&mut cluster, &of);
        assert_eq!(cluster.violations, Vec::<String>::new(), "{of}");
    }
}

/// Guards against a job that waits beside free room because a message of its round was late: links
/// are slow, but there is room for all.
#[test]
fn no_job_waits_beside_free_capacity_with_slow_links() {
    for (seed, slow_links) in [(1, 250), (2, 600), (3, 700)] {
        let of = format!("seed {seed}, links slow by up to {slow_links} ms");
        let mut cluster = cluster_with_jitter(seed, slow_links);
        for n in 0..20 {
            let kind = [JobKind::Array, JobKind::Gang][n % 2];
            cluster.submit(short_job(&format!("run-{n}"), kind, 3));
            cluster.run(4_000);
            if n % 7 == 3
                && let Some(leader) = cluster.leader()
            {
                cluster.restart(leader, 1_000);
            }
        }
        all_is_placed(&mut cluster, &of);
        assert_eq!(cluster.violations, Vec::<String>::new(), "{of}");
    }
}

//! Scenarios with jobs of all kinds, dependencies and cancellations.

use crate::engine::tests::simulated_cluster::SimulatedCluster;
use crate::engine::tests::support::{dependent_job, job_with_duration, short_job};
use crate::wire::user::JobKind;
use crate::wire::worker::ExitReason;

pub(super) fn all_job_kinds_and_a_leader_crash(cluster: &mut SimulatedCluster) {
    cluster.run(2_000);
    cluster.submit(short_job("run-1", JobKind::Array, 7));
    cluster.submit(short_job("run-2", JobKind::Gang, 3));
    cluster.submit(short_job("run-3", JobKind::Service, 2));
    cluster.run(26_000);
    let former_leader = cluster.crash_leader();
    cluster.run(1_000);
    cluster.submit(job_with_duration("run-4", JobKind::Array, 12, 4.0));
    cluster.run(9_000);
    cluster.start(former_leader);
    for node in 0..3 {
        cluster.request_task_counts(node, "run-4");
    }
    cluster.run(15_000);
    cluster.cancel("run-3");
    cluster.run(20_000);
    for (id, reason) in [
        ("run-5", ExitReason::GangPeerLost),
        ("run-6", ExitReason::GangIncomplete),
        ("run-7", ExitReason::InsufficientResources),
        ("run-8", ExitReason::AttemptConflict),
        ("run-9", ExitReason::UnknownTask),
    ] {
        cluster.faults.forced_exits.insert(id.into(), reason);
        cluster.submit(job_with_duration(id, JobKind::Gang, 2, 5.0));
    }
    cluster.run(20_000);
    cluster.faults.forced_exits.clear();
    cluster.run(60_000);
}

fn submit_dependent_jobs(cluster: &mut SimulatedCluster) {
    cluster.submit(dependent_job("run-1", JobKind::Array, 2, &[]));
    cluster.submit(dependent_job("run-2", JobKind::Array, 3, &["run-1"]));
    cluster.submit(dependent_job("run-3", JobKind::Gang, 2, &["run-2"]));
    cluster.submit(dependent_job(
        "run-4",
        JobKind::Array,
        1,
        &["run-1", "run-3"],
    ));
    cluster.submit(job_with_duration("run-5", JobKind::Array, 2, 300.0));
    cluster.submit(dependent_job("run-6", JobKind::Array, 2, &["run-5"]));
    cluster.submit(dependent_job(
        "run-7",
        JobKind::Gang,
        2,
        &["run-6", "run-4"],
    ));
}

pub(super) fn dependencies_and_cancellations(cluster: &mut SimulatedCluster) {
    cluster.run(2_000);
    submit_dependent_jobs(cluster);
    cluster.run(30_000);
    for node in 0..3 {
        cluster.blocked_job_state(node, "run-7");
        cluster.unknown_jobs(node, &["run-1", "run-7", "run-99"]);
    }
    // The queries follow each other so closely that many of them wait for the same refresh.
    let leader = cluster.leader().unwrap();
    for _ in 0..150 {
        cluster.request_blocked_job_state(leader, "run-7");
        cluster.run(20);
    }
    cluster.faults.delay_commit_every = 3;
    cluster.run(12_000);
    cluster.faults.delay_commit_every = 0;
    cluster.cancel("run-5");
    for node in 0..3 {
        cluster.announce_cancellation(node, "run-5");
        cluster.blocked_job_state(node, "run-7");
    }
    cluster.faults.store_unavailable = true;
    cluster.run(8_000);
    cluster.faults.store_unavailable = false;
    cluster.run(35_000);
    cluster.crash_leader();
    cluster.submit(dependent_job(
        "run-8",
        JobKind::Array,
        1,
        &["run-4", "run-7"],
    ));
    cluster.run(20_000);
}

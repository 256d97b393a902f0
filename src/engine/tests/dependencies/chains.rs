//! Chains and wide graphs of dependencies that run to completion.

use super::super::support::{assert_completes, cluster_with, dependent_job, short_job};
use super::job_chain;
use crate::wire::user::{JobKind, JobState};
use std::collections::BTreeSet;

/// Guards against a job that a leader starts because of what it holds in memory and not because of
/// durable records: the leader crashes at any step of a round, or of the write that releases the next
/// job, which may also be executed late.
#[test]
fn dependency_chain_runs_in_order_across_failovers() {
    for delay_commit_every in [0, 3] {
        for crash_at in (30_000..62_000).step_by(2_300) {
            let mut cluster = cluster_with(job_chain());
            cluster.faults.delay_commit_every = delay_commit_every;
            cluster.run(crash_at);
            if let Some(leader) = cluster.leader() {
                cluster.restart(leader, 800);
            }
            assert_completes(&mut cluster, "run-4", 300_000);
            cluster.faults.delay_commit_every = 0;
            cluster.run(20_000);
            assert_eq!(cluster.violations, Vec::<String>::new());
            assert_eq!(cluster.count_keys("live/job/"), 0);
        }
    }
}

/// A job's completion races with its cancellation. Only one of them becomes durable, and it must
/// decide whether the dependents run.
#[test]
fn durable_completion_or_cancellation_decides_whether_dependents_run() {
    let mut outcomes = BTreeSet::new();
    let mut uncancelled = cluster_with(job_chain());
    assert!(uncancelled.run_until(60_000, |cluster| cluster.completed_tasks.len() == 2));
    for cancelled_at in (uncancelled.now - 400..uncancelled.now + 4_000).step_by(173) {
        let mut cluster = cluster_with(job_chain());
        cluster.faults.store_delay = 40;
        cluster.run(cancelled_at - cluster.now);
        let is_cancelled = cluster.has_live_record("run-1");
        if is_cancelled {
            cluster.cancel("run-1");
        }
        let state = if is_cancelled {
            JobState::Cancelled
        } else {
            JobState::Done
        };
        outcomes.insert(is_cancelled);
        assert!(
            cluster.run_until(120_000, |cluster| cluster.final_state("run-4")
                == Some(state))
        );
        assert_eq!(cluster.final_state("run-1"), Some(state));
        assert_eq!(cluster.violations, Vec::<String>::new());
        assert_eq!(cluster.starts == 2, is_cancelled);
    }
    assert_eq!(outcomes.len(), 2, "both outcomes occurred");
}

/// Many jobs depend on one job, one job depends on many, and many jobs form a chain.
#[test]
fn wide_and_long_dependency_graphs_complete() {
    let mut cluster = cluster_with(vec![dependent_job("run-0", JobKind::Array, 1, &[])]);
    let job_id = |number: usize| format!("run-{number}");
    for number in 1..40 {
        cluster.submit(dependent_job(
            &job_id(number),
            JobKind::Array,
            1,
            &["run-0"],
        ));
    }
    let middle_jobs: Vec<String> = (1..40).map(job_id).collect();
    let middle_jobs: Vec<&str> = middle_jobs.iter().map(|id| &**id).collect();
    cluster.submit(dependent_job("run-100", JobKind::Array, 1, &middle_jobs));
    for number in 101..160 {
        let mut job = dependent_job(&job_id(number), JobKind::Array, 1, &[&*job_id(number - 1)]);
        job.expected_duration_s = 1.0;
        cluster.submit(job);
    }
    cluster.run(1_000);
    assert_eq!(
        cluster.unknown_jobs(0, &["run-0", "run-39", "run-159", "run-7777"]),
        ["run-7777"]
    );
    assert_completes(&mut cluster, "run-159", 600_000);
    assert_eq!(cluster.starts, 100);
}

/// A user submits the last job of a graph after the others have completed. No node holds these jobs
/// in memory anymore, and nodes that have restarted never held them.
#[test]
fn job_depending_on_long_completed_jobs_starts() {
    let mut cluster = cluster_with(vec![
        short_job("run-1", JobKind::Array, 1),
        short_job("run-2", JobKind::Gang, 2),
    ]);
    for id in ["run-1", "run-2"] {
        assert_completes(&mut cluster, id, 120_000);
    }
    cluster.run(5_000);
    assert_eq!(cluster.count_keys("live/job/"), 0);
    cluster.crash_all_nodes();
    cluster.run(6_000);
    cluster.start_all_nodes();
    assert!(cluster.run_until(20_000, |cluster| cluster.leader().is_some()));
    cluster.submit(dependent_job(
        "run-3",
        JobKind::Array,
        1,
        &["run-1", "run-2"],
    ));
    assert_completes(&mut cluster, "run-3", 120_000);
}

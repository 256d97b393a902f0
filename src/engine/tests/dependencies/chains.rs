//! Chains and wide graphs of dependencies, to their end.

use super::super::support::{assert_completes, cluster_with, dependent_job, short_job};
use super::job_chain;
use crate::wire::user::{JobKind, JobState};
use std::collections::BTreeSet;

/// Guards against a job started from what a leader remembers: the leader crashes at any step of a
/// round, and of the write that releases the next job, which may also be executed late.
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

/// A job's completion races with its cancellation: one of them is durable, and decides about the
/// dependents.
#[test]
fn completion_or_cancellation_decides_about_dependents() {
    let mut outcomes = BTreeSet::new();
    let mut first = cluster_with(job_chain());
    assert!(first.run_until(60_000, |w| w.completed_tasks.len() == 2));
    for at in (first.now - 400..first.now + 4_000).step_by(173) {
        let mut cluster = cluster_with(job_chain());
        cluster.faults.store_delay = 40;
        cluster.run(at - cluster.now);
        let open = cluster.has_live_record("run-1");
        if open {
            cluster.cancel("run-1");
        }
        let state = if open {
            JobState::Cancelled
        } else {
            JobState::Done
        };
        outcomes.insert(open);
        assert!(cluster.run_until(120_000, |w| w.final_state("run-4") == Some(state)));
        assert_eq!(cluster.final_state("run-1"), Some(state));
        assert_eq!(cluster.violations, Vec::<String>::new());
        assert_eq!(cluster.starts == 2, open);
    }
    assert_eq!(outcomes.len(), 2, "both outcomes occurred");
}

/// Many jobs depend on one, one on many, and many on each other in a row.
#[test]
fn wide_and_long_dependency_graphs_complete() {
    let mut cluster = cluster_with(vec![dependent_job("run-0", JobKind::Array, 1, &[])]);
    let name = |number: usize| format!("run-{number}");
    for number in 1..40 {
        cluster.submit(dependent_job(&name(number), JobKind::Array, 1, &["run-0"]));
    }
    let fan: Vec<String> = (1..40).map(name).collect();
    let fan: Vec<&str> = fan.iter().map(|id| &**id).collect();
    cluster.submit(dependent_job("run-100", JobKind::Array, 1, &fan));
    for number in 101..160 {
        let mut job = dependent_job(&name(number), JobKind::Array, 1, &[&*name(number - 1)]);
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

/// A user submits the last job of a graph when the others have completed: no node knows these any
/// more, and nodes that have restarted never did.
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
    assert!(cluster.run_until(20_000, |w| w.leader().is_some()));
    cluster.submit(dependent_job(
        "run-3",
        JobKind::Array,
        1,
        &["run-1", "run-2"],
    ));
    assert_completes(&mut cluster, "run-3", 120_000);
}

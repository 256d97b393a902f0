//! Chains and wide graphs of dependencies, to their end.

use super::super::support::{assert_completes, cluster_with, dependent_job, short_job};
use super::job_chain;
use crate::wire::user::JobKind;
use crate::wire::user::JobState;
use std::collections::BTreeSet;

/// Guards against a step started on what a leader remembers: it ends at any step of a round, and of
/// the write that lets the next step start, which may also be carried out late.
#[test]
fn dependency_chain_runs_in_order_across_failovers() {
    for late_every in [0, 3] {
        for crash_at in (30_000..62_000).step_by(2_300) {
            let mut cluster = cluster_with(job_chain());
            cluster.faults.delay_commit_every = late_every;
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

/// A step's end meets its cancellation: one of them is durable, and decides about the next steps.
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
    assert_eq!(outcomes.len(), 2, "both outcomes were met");
}

/// A wide fan costs no more than its records: what a hundred jobs await, and one that awaits many.
#[test]
fn wide_and_long_dependency_graphs_complete() {
    let mut cluster = cluster_with(vec![dependent_job("run-0", JobKind::Array, 1, &[])]);
    let name = |n: usize| format!("run-{n}");
    for n in 1..40 {
        cluster.submit(dependent_job(&name(n), JobKind::Array, 1, &["run-0"]));
    }
    let fan: Vec<String> = (1..40).map(name).collect();
    let fan: Vec<&str> = fan.iter().map(|id| &**id).collect();
    cluster.submit(dependent_job("run-100", JobKind::Array, 1, &fan));
    for n in 101..160 {
        let mut job = dependent_job(&name(n), JobKind::Array, 1, &[&*name(n - 1)]);
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

/// Users may submit the last job of a pipeline when the others are over: nobody knows these any
/// more, and nodes that have started since never did.
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

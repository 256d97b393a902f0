//! Races of a job's completion by the leader with its cancellation, the submission of its
//! dependents, and status queries about them.

use super::super::simulated_cluster::{Millis, SimulatedCluster};
use super::super::support::{assert_completes, cluster_with, short_job};
use super::event_orders::{dependent_on, submit_dependents};
use super::status_queries::{EventTimes, LEAF, ROOT, StatusQueries};
use crate::engine::records;
use crate::wire::user::{JobKind, JobState};
use std::collections::BTreeSet;

/// Returns a cluster in which the root is submitted and the state service executes each call, except
/// watches, 40 ms late.
fn cluster_with_root_and_slow_store() -> SimulatedCluster {
    let mut cluster = cluster_with(vec![short_job(ROOT, JobKind::Array, 1)]);
    cluster.faults.store_delay = 40;
    cluster
}

/// Returns the time at which the root's completion is durable if it is not cancelled.
fn completion_time() -> Millis {
    let mut cluster = cluster_with_root_and_slow_store();
    assert!(cluster.run_until(60_000, |cluster| cluster.is_done(ROOT)));
    cluster.now
}

/// The times at which the events of a race are due.
struct RaceCase {
    completed_at: Millis,
    cancelled_at: Millis,
    submitted_at: Millis,
}

/// Runs a race, and checks all answers to status queries. The root is not cancelled if its
/// completion is durable first.
fn run_race(case: &RaceCase, context: &str) -> (SimulatedCluster, EventTimes) {
    let mut cluster = cluster_with_root_and_slow_store();
    cluster.run(case.completed_at - 2_100 - cluster.now);
    let leader = cluster.leader().unwrap();
    let nodes = [leader, (leader + 1) % 3];
    cluster.faults.watch_delay.insert(nodes[1], 250);
    let mut queries = StatusQueries::default();
    let mut times = EventTimes::default();
    while cluster.now < case.completed_at + 3_000 {
        if times.submitted.is_none() && cluster.now >= case.submitted_at {
            submit_dependents(&mut cluster, &mut times);
        }
        let cancellation_is_due = times.cancelled.is_none() && cluster.now >= case.cancelled_at;
        if cancellation_is_due && cluster.has_live_record(ROOT) {
            cluster.cancel(ROOT);
            times.cancelled = Some(cluster.now);
        }
        queries.ask_repeatedly(&mut cluster, nodes, 1, 10);
    }
    cluster.faults = Default::default();
    queries.run(&mut cluster, 1_500);
    queries.check(&times, context);
    (cluster, times)
}

/// The leader's completion of the root races with the other events, and their times decide which of
/// them becomes durable first. All answers to status queries must be consistent.
#[test]
fn completion_races_give_consistent_answers_and_outcomes() {
    let root_done_at = completion_time();
    let mut outcomes = BTreeSet::new();
    for cancelled_at in (root_done_at - 180..root_done_at + 120).step_by(29) {
        for submitted_at in [
            root_done_at - 2_000,
            root_done_at - 130,
            root_done_at - 60,
            root_done_at + 20,
            root_done_at + 1_500,
        ] {
            let case = RaceCase {
                completed_at: root_done_at,
                cancelled_at,
                submitted_at,
            };
            let context = format!("cancelled at {cancelled_at}, submitted at {submitted_at}");
            let (mut cluster, times) = run_race(&case, &context);
            if times.cancelled.is_some() {
                let cancelled = Some(JobState::Cancelled);
                let is_cancelled =
                    |cluster: &SimulatedCluster| cluster.final_state(LEAF) == cancelled;
                assert!(cluster.run_until(10_000, is_cancelled), "{context}");
                assert_eq!(cluster.starts, 1, "{context}");
            } else {
                assert_completes(&mut cluster, LEAF, 120_000);
            }
            assert_eq!(cluster.violations, Vec::<String>::new(), "{context}");
            outcomes.insert(times.cancelled.is_some());
        }
    }
    assert_eq!(outcomes.len(), 2, "both outcomes occurred");
}

/// Guards against a former leader that misinterprets a late reply: its commit of a completion is
/// executed, but the reply arrives when the node no longer leads and has discarded the completion.
/// The node must not treat the job, and therefore its dependents, as cancelled.
#[test]
fn completion_acknowledged_after_leadership_was_lost_cancels_no_job() {
    let mut step_downs_before_reply = 0;
    // Nodes announce themselves at a fixed point of each second, and the extra run time shifts the
    // completion relative to it.
    for extra_run_time in (0..1_000).step_by(125) {
        let mut cluster = cluster_with(vec![
            short_job(ROOT, JobKind::Array, 1),
            dependent_on(LEAF, ROOT),
        ]);
        let task = format!("{ROOT}/0");
        cluster.extra_run_time.insert(task, extra_run_time);
        assert!(cluster.run_until(60_000, |cluster| !cluster.completed_tasks.is_empty()));
        let former_leader = cluster.leader().unwrap();
        cluster
            .faults
            .store_reply_delay
            .insert(former_leader, 1_400);
        cluster.faults.watch_delay.insert(former_leader, 2_500);
        // The successor can't read the records yet.
        cluster.faults.refuse_record_lists = true;
        while !cluster.is_done(ROOT) {
            cluster.run(1);
        }
        let completed_at = cluster.now;
        cluster.delete_record(records::LEADER_KEY);
        let stepped_down =
            |cluster: &SimulatedCluster| !cluster.engine(former_leader).unwrap().status().leading;
        step_downs_before_reply += usize::from(cluster.run_until(1_300, stepped_down));
        cluster.run(completed_at + 1_450 - cluster.now);
        cluster.faults.store_reply_delay.clear();
        cluster.faults.watch_delay.clear();
        let answer = cluster.blocked_job_state(former_leader, LEAF);
        assert_ne!(
            answer,
            Some(JobState::Cancelled),
            "runs {extra_run_time} ms longer"
        );
        cluster.faults.refuse_record_lists = false;
        assert_completes(&mut cluster, LEAF, 120_000);
    }
    assert!(
        step_downs_before_reply > 0,
        "leadership was always lost after the reply"
    );
}

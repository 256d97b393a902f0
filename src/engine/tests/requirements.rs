//! What users were promised about jobs that wait for others, each promise by itself.

use super::simulated_cluster::SimulatedCluster;
use super::{assert_completes, cluster_with, short_job};
use crate::model::{Job as ModelJob, JobId};
use crate::wire::user::{JobKind, JobState, JobSubmission};

fn waiting_for(id: &str, kind: JobKind, tasks: u64, awaits: &[&str]) -> JobSubmission {
    let mut job = short_job(id, kind, tasks);
    job.depends_on = awaits.iter().map(|id| (*id).to_owned()).collect();
    job
}

/// The job as the leader knows it.
fn known_to_leader<'a>(cluster: &'a SimulatedCluster, id: &str) -> Option<&'a ModelJob> {
    let leader = cluster.leader()?;
    cluster.engine(leader)?.jobs.get(&JobId::from(id))
}

/// Guards against times that start again with a new leader, and against a deadline that is put off
/// by the wait: the due time counts from the submission, the age from when the job could begin.
#[test]
fn times_of_a_blocked_job_survive_a_failover() {
    let mut first = short_job("run-1", JobKind::Array, 1);
    first.expected_duration_s = 60.0;
    let mut last = waiting_for("run-2", JobKind::Service, 1, &["run-1"]);
    last.deadline_s = Some(900.0);
    let mut cluster = cluster_with(vec![first, last]);
    let submitted = cluster.now;
    assert!(cluster.run_until(180_000, |w| w.is_done("run-1")));
    let ended = cluster.now;
    assert!(cluster.run_until(5_000, |w| known_to_leader(w, "run-2").is_some()));
    for change_of_leader in [false, true] {
        if change_of_leader {
            let leader = cluster.leader().unwrap();
            cluster.crash(leader);
            cluster.run(6_000);
            // All other nodes saw the job wait; this one reads its record anew.
            for node in (0..3).filter(|node| *node != leader) {
                cluster.crash(node);
            }
            cluster.start(leader);
            assert!(cluster.run_until(20_000, |w| known_to_leader(w, "run-2").is_some()));
        }
        let job = known_to_leader(&cluster, "run-2").unwrap();
        assert_eq!(job.submitted_at, submitted);
        assert_eq!(job.deadline(), submitted + 900_000);
        let told_of_the_end = ended - 1_000..ended + 2_000;
        let ready = job.ready_at;
        assert!(
            told_of_the_end.contains(&ready),
            "ready at {ready}, ended at {ended}"
        );
    }
}

/// Guards against a guarantee used up by what can't start: of two jobs that would fill it, the one
/// that came later and does not wait has it.
#[test]
fn blocked_job_uses_no_team_guarantee() {
    let mut first = short_job("run-1", JobKind::Array, 1);
    first.expected_duration_s = 300.0;
    let waiting = waiting_for("run-2", JobKind::Array, 3, &["run-1"]);
    let mut cluster = cluster_with(vec![first, waiting]);
    cluster.run(100);
    cluster.submit(short_job("run-3", JobKind::Array, 3));
    assert!(cluster.run_until(10_000, |w| known_to_leader(w, "run-3").is_some()));
    let leader = cluster.leader().unwrap();
    let within_guarantee = cluster.engine(leader).unwrap().within_guarantee();
    let within_guarantee: Vec<&str> = within_guarantee.iter().map(|id| &*id.0).collect();
    assert_eq!(within_guarantee, ["run-1", "run-3"]);
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
    for node in 0..3 {
        cluster.crash(node);
    }
    cluster.run(6_000);
    for node in 0..3 {
        cluster.start(node);
    }
    assert!(cluster.run_until(20_000, |w| w.leader().is_some()));
    cluster.submit(waiting_for("run-3", JobKind::Array, 1, &["run-1", "run-2"]));
    assert_completes(&mut cluster, "run-3", 120_000);
}

/// Guards against a cancellation that reaches back: what the cancelled job waited for, and what
/// waits for the same, goes on.
#[test]
fn cancelling_a_blocked_job_does_not_affect_its_dependencies() {
    let mut cluster = cluster_with(vec![
        short_job("run-1", JobKind::Array, 2),
        waiting_for("run-2", JobKind::Array, 1, &["run-1"]),
        waiting_for("run-3", JobKind::Array, 1, &["run-2"]),
        waiting_for("run-4", JobKind::Array, 1, &["run-1"]),
    ]);
    assert!(cluster.run_until(60_000, |w| w.running_tasks("run-1") == 2));
    cluster.cancel("run-2");
    assert_completes(&mut cluster, "run-4", 120_000);
    assert!(cluster.is_done("run-1"));
    for id in ["run-2", "run-3"] {
        assert_eq!(cluster.final_state(id), Some(JobState::Cancelled), "{id}");
    }
    assert_eq!(cluster.starts, 3);
}

/// Guards against a step let go by a leader that has meanwhile been told of its cancellation: the
/// write that lets it start, carried out 12 s late, must not bring it back.
#[test]
fn late_release_of_a_blocked_job_does_not_undo_its_cancellation() {
    let mut cluster = cluster_with(vec![
        short_job("run-1", JobKind::Array, 1),
        waiting_for("run-2", JobKind::Array, 1, &["run-1"]),
    ]);
    assert!(cluster.run_until(60_000, |w| w.running_tasks("run-1") == 1));
    cluster.faults.delay_next_write = Some("live/job/run-2");
    assert!(cluster.run_until(60_000, |w| w.faults.delay_next_write.is_none()));
    cluster.cancel("run-2");
    cluster.run(30_000);
    assert_eq!(cluster.final_state("run-2"), Some(JobState::Cancelled));
    assert_eq!((cluster.count_keys("live/job/"), cluster.starts), (0, 1));
    assert_eq!(cluster.violations, Vec::<String>::new());
}

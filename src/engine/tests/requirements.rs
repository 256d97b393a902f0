//! What users were promised about jobs that wait for others, each promise by itself.

use super::world::World;
use super::{ends_well, quick, world_with};
use crate::model::{Job as ModelJob, JobId};
use crate::wire::user::{JobKind, JobState, JobSubmission};

fn waiting_for(id: &str, kind: JobKind, tasks: u64, awaits: &[&str]) -> JobSubmission {
    let mut job = quick(id, kind, tasks);
    job.depends_on = awaits.iter().map(|id| (*id).to_owned()).collect();
    job
}

/// The job as the leader knows it.
fn known_to_leader<'a>(world: &'a World, id: &str) -> Option<&'a ModelJob> {
    let leader = world.leader()?;
    world.engine(leader)?.jobs.get(&JobId::from(id))
}

/// Guards against times that start again with a new leader, and against a deadline that is put off
/// by the wait: the due time counts from the submission, the age from when the job could begin.
#[test]
fn times_of_a_job_that_waited_survive_a_change_of_leader() {
    let mut first = quick("run-1", JobKind::Array, 1);
    first.expected_duration_s = 60.0;
    let mut last = waiting_for("run-2", JobKind::Service, 1, &["run-1"]);
    last.deadline_s = Some(900.0);
    let mut world = world_with(vec![first, last]);
    let submitted = world.now;
    assert!(world.run_until(180_000, |w| w.done("run-1")));
    let ended = world.now;
    assert!(world.run_until(5_000, |w| known_to_leader(w, "run-2").is_some()));
    for change_of_leader in [false, true] {
        if change_of_leader {
            let leader = world.leader().unwrap();
            world.crash(leader);
            world.run(6_000);
            // All other nodes saw the job wait; this one reads its record anew.
            for node in (0..3).filter(|node| *node != leader) {
                world.crash(node);
            }
            world.start(leader);
            assert!(world.run_until(20_000, |w| known_to_leader(w, "run-2").is_some()));
        }
        let job = known_to_leader(&world, "run-2").unwrap();
        assert_eq!(job.submitted_at.as_millis(), submitted);
        assert_eq!(job.deadline().as_millis(), submitted + 900_000);
        let told_of_the_end = ended - 1_000..ended + 2_000;
        let ready = job.ready_at.as_millis();
        assert!(
            told_of_the_end.contains(&ready),
            "ready at {ready}, ended at {ended}"
        );
    }
}

/// Guards against a guarantee used up by what can't start: of two jobs that would fill it, the one
/// that came later and does not wait has it.
#[test]
fn a_waiting_job_takes_no_part_of_its_teams_guarantee() {
    let mut first = quick("run-1", JobKind::Array, 1);
    first.expected_duration_s = 300.0;
    let waiting = waiting_for("run-2", JobKind::Array, 3, &["run-1"]);
    let mut world = world_with(vec![first, waiting]);
    world.run(100);
    world.submit(quick("run-3", JobKind::Array, 3));
    assert!(world.run_until(10_000, |w| known_to_leader(w, "run-3").is_some()));
    let leader = world.leader().unwrap();
    let within_guarantee = world.engine(leader).unwrap().jobs_within_guarantee();
    let within_guarantee: Vec<&str> = within_guarantee.iter().map(|id| &*id.0).collect();
    assert_eq!(within_guarantee, ["run-1", "run-3"]);
}

/// Users may submit the last job of a pipeline when the others are over: nobody knows these any
/// more, and nodes that have started since never did.
#[test]
fn a_job_that_names_jobs_long_done_starts() {
    let mut world = world_with(vec![
        quick("run-1", JobKind::Array, 1),
        quick("run-2", JobKind::Gang, 2),
    ]);
    for id in ["run-1", "run-2"] {
        ends_well(&mut world, id, 120_000);
    }
    world.run(5_000);
    assert_eq!(world.keys("live/job/"), 0);
    for node in 0..3 {
        world.crash(node);
    }
    world.run(6_000);
    for node in 0..3 {
        world.start(node);
    }
    assert!(world.run_until(20_000, |w| w.leader().is_some()));
    world.submit(waiting_for("run-3", JobKind::Array, 1, &["run-1", "run-2"]));
    ends_well(&mut world, "run-3", 120_000);
}

/// Guards against a cancellation that reaches back: what the cancelled job waited for, and what
/// waits for the same, goes on.
#[test]
fn cancelling_a_waiting_job_leaves_alone_what_it_waits_for() {
    let mut world = world_with(vec![
        quick("run-1", JobKind::Array, 2),
        waiting_for("run-2", JobKind::Array, 1, &["run-1"]),
        waiting_for("run-3", JobKind::Array, 1, &["run-2"]),
        waiting_for("run-4", JobKind::Array, 1, &["run-1"]),
    ]);
    assert!(world.run_until(60_000, |w| w.running("run-1") == 2));
    world.cancel("run-2");
    ends_well(&mut world, "run-4", 120_000);
    assert!(world.done("run-1"));
    for id in ["run-2", "run-3"] {
        assert_eq!(world.state(id), Some(JobState::Cancelled), "{id}");
    }
    assert_eq!(world.starts, 3);
}

/// Guards against a step let go by a leader that has meanwhile been told of its cancellation: the
/// write that lets it start, carried out 12 s late, must not bring it back.
#[test]
fn the_late_write_that_lets_a_step_start_brings_no_cancelled_job_back() {
    let mut world = world_with(vec![
        quick("run-1", JobKind::Array, 1),
        waiting_for("run-2", JobKind::Array, 1, &["run-1"]),
    ]);
    assert!(world.run_until(60_000, |w| w.running("run-1") == 1));
    world.faults.late_write = Some("live/job/run-2");
    assert!(world.run_until(60_000, |w| w.faults.late_write.is_none()));
    world.cancel("run-2");
    world.run(30_000);
    assert_eq!(world.state("run-2"), Some(JobState::Cancelled));
    assert_eq!((world.keys("live/job/"), world.starts), (0, 1));
    assert_eq!(world.broken, Vec::<String>::new());
}

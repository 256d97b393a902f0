//! Guards that matter only when messages cross: each test fails if its guard is taken out.

use super::world::World;
use super::{ends_well, quick, world_with};
use crate::engine::records;
use crate::wire::user::{JobKind, JobState};
use crate::wire::worker::{Task, TaskState};

/// How often the machine was returned.
fn returns(world: &World, machine: &str) -> usize {
    let same = |name: &&String| name.as_str() == machine;
    world.returned.iter().filter(same).count()
}

/// One machine has done its work and has been idle for nearly as long as it is kept.
fn world_with_one_idle_machine() -> (World, String) {
    let mut world = world_with(vec![quick("run-1", JobKind::Array, 1)]);
    ends_well(&mut world, "run-1", 60_000);
    let machines: Vec<String> = world.workers.keys().cloned().collect();
    assert_eq!(machines.len(), 1);
    (world, machines[0].clone())
}

/// Guards against room of a machine that has been returned: a report with the leader's own token
/// arrives after the return was answered, and brought the machine back as one that is up. Work placed
/// there waited until it was found silent, and it was returned again.
#[test]
fn a_late_report_brings_no_returned_machine_back() {
    let (mut world, machine) = world_with_one_idle_machine();
    let mut heartbeats = world.heartbeats(&machine);
    // The others name a lower token, or a task.
    heartbeats.drain(..heartbeats.len() - 1);
    assert!(world.run_until(120_000, |w| returns(w, &machine) == 1));
    world.run(1_000);
    world.repeat_heartbeats(&heartbeats);
    world.submit(quick("run-2", JobKind::Array, 1));
    // A machine boots in 20 s.
    assert!(
        world.run_until(24_000, |w| w.begun.contains("run-2")),
        "{}",
        world.describe()
    );
    ends_well(&mut world, "run-2", 60_000);
    assert_eq!(returns(&world, &machine), 1);
}

/// The same of the cloud's list, made before a return and answered after it.
#[test]
fn a_list_answered_late_brings_no_returned_machine_back() {
    let (mut world, machine) = world_with_one_idle_machine();
    // Longer than the pause between two lists: one is under way whenever a machine is returned.
    world.faults.slow_list = 7_000;
    assert!(world.run_until(120_000, |w| returns(w, &machine) == 1));
    world.run(60_000);
    assert_eq!(returns(&world, &machine), 1);
}

/// Guards against placements of an earlier office: what they name has ended under another leader, and
/// no round tells of it any more. The task counted as placed for ever.
#[test]
fn a_node_that_leads_again_has_forgotten_what_it_had_placed() {
    let mut world = world_with(vec![quick("run-1", JobKind::Service, 1)]);
    assert!(world.run_until(60_000, |w| w.running("run-1") == 1));
    let first = world.leader().unwrap();
    world.faults.store_refuses.insert(first);
    assert!(world.run_until(20_000, |w| {
        w.leader().is_some_and(|leader| leader != first)
    }));
    world.faults.store_refuses.clear();
    world.run(5_000);
    let machine = world.machine_of("run-1").unwrap();
    world.faults.hung.insert(machine.clone());
    world.faults.capacity = Some(0);
    assert!(world.run_until(60_000, |w| returns(w, &machine) == 1));
    assert!(world.run_until(20_000, |w| w.keys(records::ROUND_PREFIX) == 0));
    for node in (0..3).filter(|node| *node != first) {
        world.crash(node);
    }
    world.faults.capacity = None;
    assert!(world.run_until(20_000, |w| w.leader() == Some(first)));
    assert!(
        world.run_until(60_000, |w| w.running("run-1") == 1),
        "{}",
        world.describe()
    );
    assert_eq!(world.starts, 2);
    assert_eq!(world.broken, Vec::<String>::new());
}

/// Guards against an answer of the watch that a newer one has overtaken: taken in, it set the node
/// back to the older revision, and a question whose news came after the newer one got no answer.
#[test]
fn an_answer_of_the_watch_that_was_overtaken_changes_nothing() {
    const LATE: u64 = 900;
    for offset in [0, 130, 260, 390] {
        let mut first = quick("run-1", JobKind::Service, 1);
        first.expected_duration_s = 300.0;
        let mut second = quick("run-2", JobKind::Array, 1);
        second.depends_on = vec!["run-1".into()];
        let mut world = world_with(vec![first, second]);
        world.run(20_000);
        // Nobody writes the dependant's end.
        let leader = world.leader().unwrap();
        world.crash(leader);
        let node = (leader + 1) % 3;
        world.run(offset);
        world.faults.slow_watch.insert(node, LATE);
        // The watch tells of this, late.
        world.submit(quick("run-3", JobKind::Array, 1));
        world.faults.slow_watch.clear();
        world.cancel("run-1");
        let sent = world.now;
        let cancelled = Some(JobState::Cancelled);
        assert_eq!(world.step_state(node, "run-2"), cancelled);
        world.run(sent + LATE - 20 - world.now);
        // What answers this question comes after the watch's answer.
        world.faults.slow_watch.insert(node, 60);
        assert_eq!(
            world.step_state(node, "run-2"),
            cancelled,
            "offset {offset}"
        );
    }
}

/// Guards against room that is out of date: a task that was started is named for the first time, and
/// neither runs nor fetches, since its gang is not complete. The machine's lock was not taken off until
/// something else on it changed.
#[test]
fn a_started_task_that_only_waits_for_its_gang_unlocks_its_machine() {
    let (mut world, machine) = world_with_one_idle_machine();
    world.submit(quick("run-2", JobKind::Gang, 1));
    let started = |w: &World| w.workers[&machine].tasks.contains_key("run-2/0");
    let waits = (0..10_000).find(|_| {
        world.run(1);
        started(&world)
    });
    assert!(waits.is_some(), "not started");
    let mut heartbeat = world.heartbeats(&machine).pop().unwrap();
    heartbeat.sequence += 1;
    heartbeat.tasks = vec![Task {
        task: "run-2/0".into(),
        attempt: world.workers[&machine].tasks["run-2/0"].attempt,
        state: TaskState::WaitingForGang,
        exit_reason: None,
        checkpoint_saved: None,
    }];
    world.repeat_heartbeats(&[heartbeat]);
    let leader = world.leader().unwrap();
    assert!(world.engine(leader).unwrap().snapshots_agree());
    ends_well(&mut world, "run-2", 60_000);
}

/// Guards against tasks that are taken for present: a report is compared task by task only if it does
/// not name as many as are placed there, and here it names one less.
#[test]
fn a_single_task_that_its_machine_has_lost_is_placed_again() {
    for tasks in [1, 3] {
        let mut world = world_with(vec![quick("run-1", JobKind::Service, tasks)]);
        let all = |w: &World| w.running("run-1") as u64 == tasks;
        assert!(world.run_until(60_000, all));
        world.run(5_000);
        let starts = world.starts;
        let mut workers = world.workers.values_mut();
        assert!(workers.any(|worker| worker.tasks.remove("run-1/0").is_some()));
        assert!(world.run_until(30_000, |w| w.starts > starts && all(w)));
        assert_eq!(world.starts, starts + 1);
        assert_eq!(world.broken, Vec::<String>::new());
    }
}

/// Guards against stops that are sent directly only: none of them arrives here, and the answers to
/// reports carry them as well.
#[test]
fn stops_go_with_the_answers_to_reports_too() {
    let mut world = world_with(vec![quick("run-1", JobKind::Gang, 2)]);
    assert!(world.run_until(60_000, |w| w.running("run-1") == 2));
    world.faults.lose_direct = true;
    // One of the gang is gone: the other is stopped.
    let mut workers = world.workers.values_mut();
    assert!(workers.any(|worker| worker.tasks.remove("run-1/0").is_some()));
    let stopped = |w: &World| w.workers.values().all(|w| !w.tasks.contains_key("run-1/1"));
    assert!(world.run_until(12_000, stopped), "{}", world.describe());
    ends_well(&mut world, "run-1", 120_000);
}

//! Guards that matter only when messages cross: each test fails if its guard is taken out.

use super::simulated_cluster::SimulatedCluster;
use super::support::{assert_completes, cluster_with, lasting_job, short_job};
use crate::engine::records;
use crate::wire::user::{JobKind, JobState};
use crate::wire::worker::{Task, TaskState};

/// How often the machine was returned.
fn returns(cluster: &SimulatedCluster, machine: &str) -> usize {
    let same = |name: &&String| name.as_str() == machine;
    cluster.returned_machines.iter().filter(same).count()
}

/// One machine has done its work and has been idle for nearly as long as it is kept.
fn cluster_with_one_idle_machine() -> (SimulatedCluster, String) {
    let mut cluster = cluster_with(vec![short_job("run-1", JobKind::Array, 1)]);
    assert_completes(&mut cluster, "run-1", 60_000);
    let machines: Vec<String> = cluster.workers.keys().cloned().collect();
    assert_eq!(machines.len(), 1);
    (cluster, machines[0].clone())
}

/// Guards against room of a machine that has been returned: a report with the leader's own token
/// arrives after the return was answered, and brought the machine back as one that is up. Work placed
/// there waited until it was found silent, and it was returned again.
#[test]
fn late_heartbeat_does_not_restore_a_returned_machine() {
    let (mut cluster, machine) = cluster_with_one_idle_machine();
    let mut heartbeats = cluster.heartbeats_of(&machine);
    // The others name a lower token, or a task.
    heartbeats.drain(..heartbeats.len() - 1);
    assert!(cluster.run_until(120_000, |w| returns(w, &machine) == 1));
    cluster.run(1_000);
    cluster.redeliver_heartbeats(&heartbeats);
    cluster.submit(short_job("run-2", JobKind::Array, 1));
    // A machine boots in 20 s.
    assert!(
        cluster.run_until(24_000, |w| w.started_jobs.contains("run-2")),
        "{}",
        cluster.describe()
    );
    assert_completes(&mut cluster, "run-2", 60_000);
    assert_eq!(returns(&cluster, &machine), 1);
}

/// The same of the cloud's list, made before a return and answered after it.
#[test]
fn late_machine_list_does_not_restore_a_returned_machine() {
    let (mut cluster, machine) = cluster_with_one_idle_machine();
    // Longer than the pause between two lists: one is under way whenever a machine is returned.
    cluster.faults.machine_list_delay = 7_000;
    assert!(cluster.run_until(120_000, |w| returns(w, &machine) == 1));
    cluster.run(60_000);
    assert_eq!(returns(&cluster, &machine), 1);
}

/// Guards against placements of an earlier office: what they name has ended under another leader, and
/// no round tells of it any more. The task counted as placed for ever.
#[test]
fn reelected_leader_forgets_placements_of_its_former_term() {
    let mut cluster = cluster_with(vec![short_job("run-1", JobKind::Service, 1)]);
    assert!(cluster.run_until(60_000, |w| w.running_tasks("run-1") == 1));
    let first = cluster.leader().unwrap();
    cluster.faults.store_refuses.insert(first);
    assert!(cluster.run_until(20_000, |w| {
        w.leader().is_some_and(|leader| leader != first)
    }));
    cluster.faults.store_refuses.clear();
    cluster.run(5_000);
    let machine = cluster.machine_of("run-1").unwrap();
    cluster.faults.hung_machines.insert(machine.clone());
    cluster.faults.zone_capacity = Some(0);
    assert!(cluster.run_until(60_000, |w| returns(w, &machine) == 1));
    assert!(cluster.run_until(20_000, |w| w.count_keys(records::ROUNDS) == 0));
    for node in (0..3).filter(|node| *node != first) {
        cluster.crash(node);
    }
    cluster.faults.zone_capacity = None;
    assert!(cluster.run_until(20_000, |w| w.leader() == Some(first)));
    assert!(
        cluster.run_until(60_000, |w| w.running_tasks("run-1") == 1),
        "{}",
        cluster.describe()
    );
    assert_eq!(cluster.starts, 2);
    assert_eq!(cluster.violations, Vec::<String>::new());
}

/// Guards against an answer of the watch that a newer one has overtaken: taken in, it set the node
/// back to the older revision, and a question whose news came after the newer one got no answer.
#[test]
fn overtaken_watch_reply_changes_nothing() {
    const LATE: u64 = 900;
    for offset in [0, 130, 260, 390] {
        let first = lasting_job("run-1", JobKind::Service, 1, 300.0);
        let mut second = short_job("run-2", JobKind::Array, 1);
        second.depends_on = vec!["run-1".into()];
        let mut cluster = cluster_with(vec![first, second]);
        cluster.run(20_000);
        // Nobody writes the dependant's end.
        let leader = cluster.crash_leader();
        let node = (leader + 1) % 3;
        cluster.run(offset);
        cluster.faults.watch_delay.insert(node, LATE);
        // The watch tells of this, late.
        cluster.submit(short_job("run-3", JobKind::Array, 1));
        cluster.faults.watch_delay.clear();
        cluster.cancel("run-1");
        let sent = cluster.now;
        let cancelled = Some(JobState::Cancelled);
        assert_eq!(cluster.blocked_job_state(node, "run-2"), cancelled);
        cluster.run(sent + LATE - 20 - cluster.now);
        // What answers this question comes after the watch's answer.
        cluster.faults.watch_delay.insert(node, 60);
        assert_eq!(
            cluster.blocked_job_state(node, "run-2"),
            cancelled,
            "offset {offset}"
        );
    }
}

/// Guards against room that is out of date: a task that was started is named for the first time, and
/// neither runs nor fetches, since its gang is not complete. The machine's lock was not taken off until
/// something else on it changed.
#[test]
fn started_task_waiting_for_its_gang_unlocks_its_machine() {
    let (mut cluster, machine) = cluster_with_one_idle_machine();
    cluster.submit(short_job("run-2", JobKind::Gang, 1));
    let started = |w: &SimulatedCluster| w.workers[&machine].tasks.contains_key("run-2/0");
    let waits = (0..10_000).find(|_| {
        cluster.run(1);
        started(&cluster)
    });
    assert!(waits.is_some(), "not started");
    let mut heartbeat = cluster.heartbeats_of(&machine).pop().unwrap();
    heartbeat.sequence += 1;
    heartbeat.tasks = vec![Task {
        task: "run-2/0".into(),
        attempt: cluster.workers[&machine].tasks["run-2/0"].attempt,
        state: TaskState::WaitingForGang,
        exit_reason: None,
        checkpoint_saved: None,
    }];
    cluster.redeliver_heartbeats(&[heartbeat]);
    let leader = cluster.leader().unwrap();
    assert!(cluster.engine(leader).unwrap().snapshots_agree());
    assert_completes(&mut cluster, "run-2", 60_000);
}

/// Guards against tasks that are taken for present: a report is compared task by task only if it does
/// not name as many as are placed there, and here it names one less.
#[test]
fn lost_task_is_placed_again() {
    for tasks in [1, 3] {
        let mut cluster = cluster_with(vec![short_job("run-1", JobKind::Service, tasks)]);
        let all = |w: &SimulatedCluster| w.running_tasks("run-1") as u64 == tasks;
        assert!(cluster.run_until(60_000, all));
        cluster.run(5_000);
        let starts = cluster.starts;
        let mut workers = cluster.workers.values_mut();
        assert!(workers.any(|worker| worker.tasks.remove("run-1/0").is_some()));
        assert!(cluster.run_until(30_000, |w| w.starts > starts && all(w)));
        assert_eq!(cluster.starts, starts + 1);
        assert_eq!(cluster.violations, Vec::<String>::new());
    }
}

/// Guards against stops that are sent directly only: none of them arrives here, and the answers to
/// reports carry them as well.
#[test]
fn stops_are_also_sent_with_heartbeat_replies() {
    let mut cluster = cluster_with(vec![short_job("run-1", JobKind::Gang, 2)]);
    assert!(cluster.run_until(60_000, |w| w.running_tasks("run-1") == 2));
    cluster.faults.lose_direct_commands = true;
    // One of the gang is gone: the other is stopped.
    let mut workers = cluster.workers.values_mut();
    assert!(workers.any(|worker| worker.tasks.remove("run-1/0").is_some()));
    let stopped =
        |w: &SimulatedCluster| w.workers.values().all(|w| !w.tasks.contains_key("run-1/1"));
    assert!(cluster.run_until(12_000, stopped), "{}", cluster.describe());
    assert_completes(&mut cluster, "run-1", 120_000);
}

//! Late and overtaken messages. Each test fails if the guard against them is removed.

use super::simulated_cluster::{Millis, SimulatedCluster};
use super::support::{assert_completes, cluster_with, dependent_job, job_with_duration, short_job};
use crate::engine::records;
use crate::wire::user::{JobKind, JobState};
use crate::wire::worker::{Task, TaskState};

/// How often the machine was returned.
fn returns(cluster: &SimulatedCluster, machine: &str) -> usize {
    let same = |name: &&String| name.as_str() == machine;
    cluster.returned_machines.iter().filter(same).count()
}

/// A cluster whose only machine has completed its task and is idle.
fn cluster_with_one_idle_machine() -> (SimulatedCluster, String) {
    let mut cluster = cluster_with(vec![short_job("run-1", JobKind::Array, 1)]);
    assert_completes(&mut cluster, "run-1", 60_000);
    let machines: Vec<String> = cluster.workers.keys().cloned().collect();
    assert_eq!(machines.len(), 1);
    (cluster, machines[0].clone())
}

/// Guards against resources of a returned machine: a heartbeat with the leader's own fencing token
/// arrives after the return was confirmed, and must not restore the machine. Tasks placed there
/// would wait until its lease expires.
#[test]
fn late_heartbeat_does_not_restore_a_returned_machine() {
    let (mut cluster, machine) = cluster_with_one_idle_machine();
    let mut heartbeats = cluster.heartbeats_of(&machine);
    // The others name a lower fencing token, or a task.
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

/// The same for the cloud's machine list, made before a return and received after it.
#[test]
fn late_machine_list_does_not_restore_a_returned_machine() {
    let (mut cluster, machine) = cluster_with_one_idle_machine();
    // Longer than the pause between two lists: one is pending whenever a machine is returned.
    cluster.faults.machine_list_delay = 7_000;
    assert!(cluster.run_until(120_000, |w| returns(w, &machine) == 1));
    cluster.run(60_000);
    assert_eq!(returns(&cluster, &machine), 1);
}

/// Guards against placements of a former term: they ended under another leader, and no round names
/// them any more. Their tasks would count as placed for ever.
#[test]
fn reelected_leader_forgets_placements_of_its_former_term() {
    let mut cluster = cluster_with(vec![short_job("run-1", JobKind::Service, 1)]);
    assert!(cluster.run_until(60_000, |w| w.running_tasks("run-1") == 1));
    let first = cluster.leader().unwrap();
    cluster.faults.nodes_without_store.insert(first);
    assert!(cluster.run_until(20_000, |cluster| {
        cluster.leader().is_some_and(|leader| leader != first)
    }));
    cluster.faults.nodes_without_store.clear();
    cluster.run(5_000);
    let machine = cluster.first_machine_of_job("run-1").unwrap();
    cluster.faults.hung_machines.insert(machine.clone());
    cluster.faults.zone_capacity = Some(0);
    assert!(cluster.run_until(60_000, |w| returns(w, &machine) == 1));
    assert!(cluster.run_until(20_000, |w| w.count_keys(records::ROUND_PREFIX) == 0));
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

/// Guards against a watch reply that a newer one has overtaken: it must not set the node back to
/// the older revision, so that status queries that wait for the newer one get no reply.
#[test]
fn overtaken_watch_reply_changes_nothing() {
    const REPLY_DELAY: Millis = 900;
    for offset in [0, 130, 260, 390] {
        let first = job_with_duration("run-1", JobKind::Service, 1, 300.0);
        let second = dependent_job("run-2", JobKind::Array, 1, &["run-1"]);
        let mut cluster = cluster_with(vec![first, second]);
        cluster.run(20_000);
        // Without a leader no final record of the dependent is written.
        let leader = cluster.crash_leader();
        let node = (leader + 1) % 3;
        cluster.run(offset);
        cluster.faults.watch_delay.insert(node, REPLY_DELAY);
        // The watch reply with this change is late.
        cluster.submit(short_job("run-3", JobKind::Array, 1));
        cluster.faults.watch_delay.clear();
        cluster.cancel("run-1");
        let cancelled_at = cluster.now;
        let cancelled = Some(JobState::Cancelled);
        assert_eq!(cluster.blocked_job_state(node, "run-2"), cancelled);
        cluster.run(cancelled_at + REPLY_DELAY - 20 - cluster.now);
        // The change that this query waits for comes after the late watch reply.
        cluster.faults.watch_delay.insert(node, 60);
        assert_eq!(
            cluster.blocked_job_state(node, "run-2"),
            cancelled,
            "offset {offset}"
        );
    }
}

/// Guards against a stale snapshot: a started task is reported for the first time and neither runs
/// nor fetches, since its gang is incomplete. Its machine must be unlocked at once.
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

/// Guards against tasks taken for present: a heartbeat is compared task by task only if it names
/// another number of tasks than are placed there, and here it names one less.
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

/// Guards against stops that are sent directly only: direct commands are lost here, and heartbeat
/// replies carry them as well.
#[test]
fn stops_are_also_sent_with_heartbeat_replies() {
    let mut cluster = cluster_with(vec![short_job("run-1", JobKind::Gang, 2)]);
    assert!(cluster.run_until(60_000, |w| w.running_tasks("run-1") == 2));
    cluster.faults.lose_direct_commands = true;
    // One task of the gang is lost: the other is stopped.
    let mut workers = cluster.workers.values_mut();
    assert!(workers.any(|worker| worker.tasks.remove("run-1/0").is_some()));
    let stopped =
        |w: &SimulatedCluster| w.workers.values().all(|w| !w.tasks.contains_key("run-1/1"));
    assert!(cluster.run_until(12_000, stopped), "{}", cluster.describe());
    assert_completes(&mut cluster, "run-1", 120_000);
}

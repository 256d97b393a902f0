//! Late, reordered and lost messages. Each test fails if the engine's guard against its case is
//! removed.

use super::simulated_cluster::{Millis, SimulatedCluster};
use super::support::{assert_completes, cluster_with, dependent_job, job_with_duration, short_job};
use crate::engine::records;
use crate::wire::user::{JobKind, JobState};
use crate::wire::worker::{Task, TaskState};

/// Returns how often the machine was returned to the cloud.
fn return_count(cluster: &SimulatedCluster, machine: &str) -> usize {
    let is_machine = |name: &&String| name.as_str() == machine;
    cluster.returned_machines.iter().filter(is_machine).count()
}

/// Returns a cluster whose only machine has completed its task and is idle, and that machine's
/// name.
fn cluster_with_one_idle_machine() -> (SimulatedCluster, String) {
    let mut cluster = cluster_with(vec![short_job("run-1", JobKind::Array, 1)]);
    assert_completes(&mut cluster, "run-1", 60_000);
    let machines: Vec<String> = cluster.workers.keys().cloned().collect();
    assert_eq!(machines.len(), 1);
    (cluster, machines[0].clone())
}

/// Guards against tasks that are placed on a returned machine: a heartbeat with the leader's own
/// fencing token arrives after the return was confirmed and must not restore the machine. Tasks
/// placed there would wait until its lease expires.
#[test]
fn late_heartbeat_does_not_restore_a_returned_machine() {
    let (mut cluster, machine) = cluster_with_one_idle_machine();
    let mut heartbeats = cluster.heartbeats_of(&machine);
    // The earlier heartbeats carry a lower fencing token or name a task.
    heartbeats.drain(..heartbeats.len() - 1);
    assert!(cluster.run_until(120_000, |cluster| return_count(cluster, &machine) == 1));
    cluster.run(1_000);
    cluster.redeliver_heartbeats(&heartbeats);
    cluster.submit(short_job("run-2", JobKind::Array, 1));
    // A machine boots in 20 s.
    assert!(
        cluster.run_until(24_000, |cluster| cluster.started_jobs.contains("run-2")),
        "{}",
        cluster.describe()
    );
    assert_completes(&mut cluster, "run-2", 60_000);
    assert_eq!(return_count(&cluster, &machine), 1);
}

/// A machine list that the cloud made before the return of a machine and that arrives after it must
/// not restore the machine.
#[test]
fn late_machine_list_does_not_restore_a_returned_machine() {
    let (mut cluster, machine) = cluster_with_one_idle_machine();
    // The delay is longer than the pause between two lists, so that a list is pending whenever a
    // machine is returned.
    cluster.faults.machine_list_delay = 7_000;
    assert!(cluster.run_until(120_000, |cluster| return_count(cluster, &machine) == 1));
    cluster.run(60_000);
    assert_eq!(return_count(&cluster, &machine), 1);
}

/// Guards against a re-elected leader that keeps placements of its former term: they ended under
/// another leader, and no round names them anymore. Their tasks would count as placed forever.
#[test]
fn reelected_leader_discards_placements_of_its_former_term() {
    let mut cluster = cluster_with(vec![short_job("run-1", JobKind::Service, 1)]);
    assert!(cluster.run_until(60_000, |cluster| cluster.running_tasks("run-1") == 1));
    let reelected = cluster.leader().unwrap();
    cluster.faults.nodes_without_store.insert(reelected);
    assert!(cluster.run_until(20_000, |cluster| {
        cluster.leader().is_some_and(|leader| leader != reelected)
    }));
    cluster.faults.nodes_without_store.clear();
    cluster.run(5_000);
    let machine = cluster.first_machine_of_job("run-1").unwrap();
    cluster.faults.hung_machines.insert(machine.clone());
    cluster.faults.zone_capacity = Some(0);
    assert!(cluster.run_until(60_000, |cluster| return_count(cluster, &machine) == 1));
    assert!(
        cluster.run_until(20_000, |cluster| cluster.count_keys(records::ROUND_PREFIX)
            == 0)
    );
    for node in (0..3).filter(|node| *node != reelected) {
        cluster.crash(node);
    }
    cluster.faults.zone_capacity = None;
    assert!(cluster.run_until(20_000, |cluster| cluster.leader() == Some(reelected)));
    assert!(
        cluster.run_until(60_000, |cluster| cluster.running_tasks("run-1") == 1),
        "{}",
        cluster.describe()
    );
    assert_eq!(cluster.starts, 2);
    assert_eq!(cluster.violations, Vec::<String>::new());
}

/// Guards against a watch reply that arrives after a newer one: it must not set the node back to
/// the older revision, because status queries that wait for the newer revision would then get no
/// reply.
#[test]
fn watch_reply_older_than_the_last_one_changes_nothing() {
    const REPLY_DELAY: Millis = 900;
    for offset in [0, 130, 260, 390] {
        let dependency = job_with_duration("run-1", JobKind::Service, 1, 300.0);
        let dependent = dependent_job("run-2", JobKind::Array, 1, &["run-1"]);
        let mut cluster = cluster_with(vec![dependency, dependent]);
        cluster.run(20_000);
        // Without a leader no final record of the dependent is written.
        let leader = cluster.crash_leader();
        let node = (leader + 1) % 3;
        cluster.run(offset);
        cluster.faults.watch_delay.insert(node, REPLY_DELAY);
        // The watch reply that carries this change is late.
        cluster.submit(short_job("run-3", JobKind::Array, 1));
        cluster.faults.watch_delay.clear();
        cluster.cancel("run-1");
        let cancelled_at = cluster.now;
        let cancelled = Some(JobState::Cancelled);
        assert_eq!(cluster.blocked_job_state(node, "run-2"), cancelled);
        cluster.run(cancelled_at + REPLY_DELAY - 20 - cluster.now);
        // The change that this query waits for arrives after the late watch reply.
        cluster.faults.watch_delay.insert(node, 60);
        assert_eq!(
            cluster.blocked_job_state(node, "run-2"),
            cancelled,
            "offset {offset}"
        );
    }
}

/// Guards against a stale machine snapshot: the first heartbeat that names a started task reports
/// it as neither running nor fetching, because its gang is incomplete. The machine must be unlocked
/// at once.
#[test]
fn started_task_waiting_for_its_gang_unlocks_its_machine() {
    let (mut cluster, machine) = cluster_with_one_idle_machine();
    cluster.submit(short_job("run-2", JobKind::Gang, 1));
    let started =
        |cluster: &SimulatedCluster| cluster.workers[&machine].tasks.contains_key("run-2/0");
    let start_ms = (0..10_000).find(|_| {
        cluster.run(1);
        started(&cluster)
    });
    assert!(start_ms.is_some(), "run-2 is not started within 10 s");
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

/// Guards against lost tasks that count as present: a heartbeat is compared task by task only if the
/// number of tasks in it differs from the number of tasks placed on the machine. Here the heartbeat
/// names one task less.
#[test]
fn lost_task_is_placed_again() {
    for tasks in [1, 3] {
        let mut cluster = cluster_with(vec![short_job("run-1", JobKind::Service, tasks)]);
        let all = |cluster: &SimulatedCluster| cluster.running_tasks("run-1") as u64 == tasks;
        assert!(cluster.run_until(60_000, all));
        cluster.run(5_000);
        let starts = cluster.starts;
        let mut workers = cluster.workers.values_mut();
        assert!(workers.any(|worker| worker.tasks.remove("run-1/0").is_some()));
        assert!(cluster.run_until(30_000, |cluster| cluster.starts > starts && all(cluster)));
        assert_eq!(cluster.starts, starts + 1);
        assert_eq!(cluster.violations, Vec::<String>::new());
    }
}

/// Guards against stops that are sent only as direct commands: here, direct commands are lost, and
/// the stop must arrive in a heartbeat response.
#[test]
fn stops_are_also_sent_in_heartbeat_responses() {
    let mut cluster = cluster_with(vec![short_job("run-1", JobKind::Gang, 2)]);
    assert!(cluster.run_until(60_000, |cluster| cluster.running_tasks("run-1") == 2));
    cluster.faults.lose_direct_commands = true;
    // One task of the gang is lost, so the other one is stopped.
    let mut workers = cluster.workers.values_mut();
    assert!(workers.any(|worker| worker.tasks.remove("run-1/0").is_some()));
    let stopped = |cluster: &SimulatedCluster| {
        cluster
            .workers
            .values()
            .all(|worker| !worker.tasks.contains_key("run-1/1"))
    };
    assert!(cluster.run_until(12_000, stopped), "{}", cluster.describe());
    assert_completes(&mut cluster, "run-1", 120_000);
}

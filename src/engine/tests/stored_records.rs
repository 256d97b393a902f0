//! New leaders carry on from the records of commit 7111968, the first version with dependencies, given
//! as the bytes that it wrote.

use super::simulated_cluster::{SimulatedCluster, UNLIMITED_GPUS};
use super::support::{assert_completes, dependent_job, short_job};
use crate::engine::records::{self, RoundRecord, StartRecord};
use crate::model::TaskSet;
use crate::wire::user::{JobKind, JobState};
use rmpv::Value;

/// The number of the round that the fixtures `round`, `round1` and `round2` are records of.
const ROUND: u64 = 0x10_0001;
const GANG_TASKS: u64 = 300;
/// Tasks that the array's fixtures don't name as completed.
const INCOMPLETE_TASKS: [u32; 5] = [3, 64, 4_095, 4_097, 4_199];

macro_rules! stored {
    ($name:literal) => {
        rmp_serde::from_slice::<Value>(include_bytes!(concat!(
            "../../../tests/fixtures/pipelines/",
            $name,
            ".msgpack"
        )))
        .unwrap()
    };
}

/// Writes records while no node is up.
fn without_nodes(cluster: &mut SimulatedCluster, put_records: impl Fn(&mut SimulatedCluster)) {
    cluster.crash_all_nodes();
    cluster.run(6_000);
    put_records(cluster);
    cluster.start_all_nodes();
}

/// Writes a job's record, and makes the job known to the cluster's invariants.
fn put_job(cluster: &mut SimulatedCluster, record: Value) {
    let job = records::decode_job(record.clone()).unwrap().job;
    cluster.put_record(&records::job_key(&job.id), record);
    cluster.jobs.insert(job.id.clone(), job);
}

/// Writes the final record of `run-7`, on which others depend.
fn put_dependency_done(cluster: &mut SimulatedCluster) {
    cluster
        .jobs
        .insert("run-7".into(), short_job("run-7", JobKind::Array, 2));
    cluster
        .completed_tasks
        .extend(["run-7/0".to_owned(), "run-7/1".to_owned()]);
    cluster.put_record("final/run-7", stored!("final_done"));
}

/// The dependency completes or is cancelled, before the new leader is elected or after it.
#[test]
fn stored_blocked_job_is_released_or_cancelled_by_a_new_leader() {
    let mut before = SimulatedCluster::new(3, 8.0);
    without_nodes(&mut before, |cluster| {
        put_dependency_done(cluster);
        put_job(cluster, stored!("waiting"));
    });
    assert_completes(&mut before, "run-8", 120_000);
    assert_eq!(before.starts, 2);

    for cancelled in [false, true] {
        let mut after = SimulatedCluster::new(3, 8.0);
        without_nodes(&mut after, |cluster| {
            cluster.submit(short_job("run-7", JobKind::Array, 2));
            put_job(cluster, stored!("waiting"));
        });
        assert!(after.run_until(60_000, |w| w.running_tasks("run-7") == 2));
        assert_eq!(after.starts, 2);
        if cancelled {
            after.cancel("run-7");
            let ended = |w: &SimulatedCluster| w.final_state("run-8") == Some(JobState::Cancelled);
            assert!(after.run_until(10_000, ended));
        } else {
            assert_completes(&mut after, "run-8", 120_000);
        }
        after.run(5_000);
        assert_eq!(after.starts, if cancelled { 2 } else { 4 });
        assert_eq!(after.count_keys("live/job/"), 0);
        assert_eq!(after.violations, Vec::<String>::new());
    }
}

/// A released job depends on nothing more, although leaders crash one after the other.
#[test]
fn stored_released_job_is_started_once() {
    for crash_at in [500, 21_000, 24_000, 30_000] {
        let mut cluster = SimulatedCluster::new(3, 8.0);
        without_nodes(&mut cluster, |cluster| {
            put_dependency_done(cluster);
            put_job(cluster, stored!("ready"));
        });
        assert!(cluster.run_until(10_000, |w| w.leader().is_some()));
        cluster.run(crash_at);
        let leader = cluster.leader().unwrap();
        cluster.restart(leader, 800);
        assert_completes(&mut cluster, "run-8", 120_000);
        assert_eq!(cluster.starts, 2, "leader crashed after {crash_at} ms");
        assert!(cluster.run_until(10_000, |w| w.count_keys("rounds/")
            + w.count_keys("live/job/")
            == 0));
    }
}

/// A dependent's final state by another leader propagates to its own dependents, and stays; a
/// blocked job that was cancelled is removed, and its dependents with it.
#[test]
fn stored_final_states_propagate_to_dependents() {
    let mut cluster = SimulatedCluster::new(3, 8.0);
    without_nodes(&mut cluster, |cluster| {
        put_dependency_done(cluster);
        let aborted = dependent_job("run-10", JobKind::Array, 4, &["run-9"]);
        cluster.jobs.insert("run-10".into(), aborted);
        cluster.put_record("final/run-10", stored!("final_aborted_dependant"));
        // Cancelled, and not yet removed by a leader.
        put_job(cluster, stored!("waiting_cancelled"));
        cluster.cancelled.insert("run-9".into(), cluster.now);
        for (id, dependency) in [("run-11", "run-10"), ("run-12", "run-9")] {
            cluster.submit(dependent_job(id, JobKind::Array, 1, &[dependency]));
        }
    });
    for id in ["run-11", "run-12"] {
        let ended = |w: &SimulatedCluster| w.final_state(id) == Some(JobState::Cancelled);
        assert!(cluster.run_until(20_000, ended), "{id}");
    }
    cluster.run(20_000);
    assert_eq!(cluster.final_state("run-10"), Some(JobState::Cancelled));
    assert_eq!((cluster.count_keys("live/job/"), cluster.starts), (0, 0));
    assert_eq!(cluster.violations, Vec::<String>::new());
}

fn completed_in_progress_records() -> TaskSet {
    let mut done = TaskSet::full(4_200);
    for task in INCOMPLETE_TASKS {
        done.remove(task);
    }
    done
}

/// Two open rounds name all of the array's tasks, most of which are completed in its progress
/// records: only the others are started, once their machines are known to be gone.
#[test]
fn stored_array_continues_from_its_progress_records() {
    for crash_at in [3_000, 25_000, 31_000] {
        let mut cluster = SimulatedCluster::new(3, UNLIMITED_GPUS);
        without_nodes(&mut cluster, |cluster| {
            put_job(cluster, stored!("array"));
            let done = completed_in_progress_records();
            let done = done.iter().map(|task| format!("run-1/{task}"));
            cluster.completed_tasks.extend(done);
            for (key, record) in [
                ("work/run-1/0p", stored!("work0p")),
                ("work/run-1/1p", stored!("work1p")),
                ("rounds/0000000000100001", stored!("array_round_100001")),
                ("rounds/0000000000100001.1", stored!("array_round_100001.1")),
                ("rounds/0000000000100001.2", stored!("array_round_100001.2")),
                ("rounds/0000000000100001.3", stored!("array_round_100001.3")),
                ("rounds/000000000010000a", stored!("array_round_10000a")),
                ("rounds/000000000010000a.1", stored!("array_round_10000a.1")),
                ("rounds/000000000010000a.2", stored!("array_round_10000a.2")),
                ("rounds/000000000010000a.3", stored!("array_round_10000a.3")),
            ] {
                cluster.put_record(key, record);
            }
        });
        cluster.run(crash_at);
        let leader = cluster.leader().unwrap();
        cluster.restart(leader, 800);
        assert_completes(&mut cluster, "run-1", 180_000);
        assert_eq!(cluster.starts, INCOMPLETE_TASKS.len() as u64);
        let remaining = |cluster: &SimulatedCluster| {
            cluster.count_keys("work/")
                + cluster.count_keys("rounds/")
                + cluster.count_keys("live/job/")
        };
        assert!(cluster.run_until(20_000, |w| remaining(w) == 0));
    }
}

/// The round's starts: machine and task.
fn starts_of_round() -> Vec<(String, u32)> {
    let parts = [stored!("round"), stored!("round1"), stored!("round2")];
    let records = parts.map(|part| records::from_value::<RoundRecord>(part).unwrap());
    let starts = records.into_iter().flat_map(|record| record.starts);
    let on_machine = |StartRecord { machine, tasks, .. }| {
        tasks.into_iter().map(move |task| (machine.clone(), task))
    };
    starts.flat_map(on_machine).collect()
}

/// What became of the starts of a stored round.
#[derive(Clone, Copy, PartialEq, Debug)]
enum StoredStarts {
    /// All were executed.
    Run,
    /// Those on the machines of the last record were not.
    SomeNotExecuted,
    /// The machines are gone.
    MachinesGone,
}

/// A cluster with the machines that the round names, idle or gone, and the round's records.
fn cluster_with_stored_round(starts: StoredStarts) -> SimulatedCluster {
    let mut cluster = SimulatedCluster::new(3, 400.0);
    cluster.run(2_000);
    cluster.submit(short_job("run-99", JobKind::Array, GANG_TASKS));
    assert_completes(&mut cluster, "run-99", 120_000);
    assert!(cluster.run_until(20_000, |w| w.count_keys("rounds/") == 0));
    assert_eq!(cluster.starts, GANG_TASKS);
    without_nodes(&mut cluster, |cluster| {
        put_job(cluster, stored!("gang"));
        for (key, record) in [
            ("rounds/0000000000100001", stored!("round")),
            ("rounds/0000000000100001.1", stored!("round1")),
            ("rounds/0000000000100001.2", stored!("round2")),
        ] {
            cluster.put_record(key, record);
        }
        if starts == StoredStarts::MachinesGone {
            return cluster.workers.clear();
        }
        for (machine, task) in starts_of_round() {
            if starts == StoredStarts::SomeNotExecuted && task >= 256 {
                continue;
            }
            let task = format!("run-1/{task}");
            cluster.inject_task(&machine, &task);
            let worker = cluster.workers.get_mut(&machine).unwrap();
            worker.tasks.get_mut(&task).unwrap().attempt = ROUND;
        }
    });
    cluster
}

/// All records of the round count: tasks that run are not started again, although the next leader
/// crashes as well; tasks that were not started, or are lost with their machines, are started once
/// more, as a whole gang.
#[test]
fn stored_round_of_several_records_is_carried_on() {
    for starts in [
        StoredStarts::Run,
        StoredStarts::SomeNotExecuted,
        StoredStarts::MachinesGone,
    ] {
        for crash_at in [None, Some(3_000), Some(9_000)] {
            let mut cluster = cluster_with_stored_round(starts);
            if let Some(crash_at) = crash_at {
                cluster.run(crash_at);
                if let Some(leader) = cluster.leader() {
                    cluster.restart(leader, 800);
                }
            }
            assert_completes(&mut cluster, "run-1", 300_000);
            let repeated = if starts == StoredStarts::Run {
                0
            } else {
                GANG_TASKS
            };
            assert_eq!(
                cluster.starts,
                GANG_TASKS + repeated,
                "{starts:?} {crash_at:?}"
            );
            let remaining =
                |w: &SimulatedCluster| w.count_keys("rounds/") + w.count_keys("live/job/");
            assert!(cluster.run_until(20_000, |w| remaining(w) == 0));
        }
    }
}

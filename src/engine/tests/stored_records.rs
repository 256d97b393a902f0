//! New leaders continue from the records of commit 7111968, the first version with dependencies.
//! The fixtures hold the bytes that this version wrote.

use super::simulated_cluster::{SimulatedCluster, UNLIMITED_GPUS};
use super::support::{assert_completes, dependent_job, short_job};
use crate::engine::records::{self, RoundRecord, StartRecord};
use crate::model::TaskSet;
use crate::wire::user::{JobKind, JobState};
use rmpv::Value;

/// The number of the round whose records are the fixtures `round`, `round1` and `round2`.
const STORED_ROUND: u64 = 0x10_0001;
const GANG_TASKS: u64 = 300;
/// Tasks of the array that are not completed according to the fixtures.
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

/// Crashes all nodes, writes records while they are down, and starts them again.
fn write_while_nodes_are_down(
    cluster: &mut SimulatedCluster,
    put_records: impl Fn(&mut SimulatedCluster),
) {
    cluster.crash_all_nodes();
    cluster.run(6_000);
    put_records(cluster);
    cluster.start_all_nodes();
}

/// Writes a job's live record, and adds the job to the submitted jobs of the cluster, which the checks
/// of the invariants need.
fn put_job(cluster: &mut SimulatedCluster, record: Value) {
    let job = records::decode_job(record.clone()).unwrap().job;
    cluster.put_record(&records::job_key(&job.id), record);
    cluster.jobs.insert(job.id.clone(), job);
}

/// Writes the final record of `run-7`, a completed job on which others depend.
fn put_completed_dependency(cluster: &mut SimulatedCluster) {
    cluster
        .jobs
        .insert("run-7".into(), short_job("run-7", JobKind::Array, 2));
    cluster
        .completed_tasks
        .extend(["run-7/0".to_owned(), "run-7/1".to_owned()]);
    cluster.put_record("final/run-7", stored!("final_done"));
}

/// A stored blocked job's dependency has completed before the new leader is elected, or completes
/// or is cancelled under the new leader.
#[test]
fn stored_blocked_job_is_released_or_cancelled_by_a_new_leader() {
    let mut completed_before = SimulatedCluster::new(3, 8.0);
    write_while_nodes_are_down(&mut completed_before, |cluster| {
        put_completed_dependency(cluster);
        put_job(cluster, stored!("waiting"));
    });
    assert_completes(&mut completed_before, "run-8", 120_000);
    assert_eq!(completed_before.starts, 2);

    for cancelled in [false, true] {
        let mut ended_after = SimulatedCluster::new(3, 8.0);
        write_while_nodes_are_down(&mut ended_after, |cluster| {
            cluster.submit(short_job("run-7", JobKind::Array, 2));
            put_job(cluster, stored!("waiting"));
        });
        assert!(ended_after.run_until(60_000, |cluster| cluster.running_tasks("run-7") == 2));
        assert_eq!(ended_after.starts, 2);
        if cancelled {
            ended_after.cancel("run-7");
            let is_cancelled = |cluster: &SimulatedCluster| {
                cluster.final_state("run-8") == Some(JobState::Cancelled)
            };
            assert!(ended_after.run_until(10_000, is_cancelled));
        } else {
            assert_completes(&mut ended_after, "run-8", 120_000);
        }
        ended_after.run(5_000);
        assert_eq!(ended_after.starts, if cancelled { 2 } else { 4 });
        assert_eq!(ended_after.count_keys("live/job/"), 0);
        assert_eq!(ended_after.violations, Vec::<String>::new());
    }
}

/// A stored job that was released does not wait for its dependencies again, although the leader
/// crashes.
#[test]
fn stored_released_job_is_started_once() {
    for crash_at in [500, 21_000, 24_000, 30_000] {
        let mut cluster = SimulatedCluster::new(3, 8.0);
        write_while_nodes_are_down(&mut cluster, |cluster| {
            put_completed_dependency(cluster);
            put_job(cluster, stored!("ready"));
        });
        assert!(cluster.run_until(10_000, |cluster| cluster.leader().is_some()));
        cluster.run(crash_at);
        let leader = cluster.leader().unwrap();
        cluster.restart(leader, 800);
        assert_completes(&mut cluster, "run-8", 120_000);
        assert_eq!(cluster.starts, 2, "leader crashed after {crash_at} ms");
        assert!(
            cluster.run_until(10_000, |cluster| cluster.count_keys("rounds/")
                + cluster.count_keys("live/job/")
                == 0)
        );
    }
}

/// The final state that another leader wrote for a dependent must not change and must propagate to
/// that job's own dependents. A blocked job that was cancelled must be removed, and its dependents
/// with it.
#[test]
fn stored_final_states_propagate_to_dependents() {
    let mut cluster = SimulatedCluster::new(3, 8.0);
    write_while_nodes_are_down(&mut cluster, |cluster| {
        put_completed_dependency(cluster);
        let cancelled_dependent = dependent_job("run-10", JobKind::Array, 4, &["run-9"]);
        cluster.jobs.insert("run-10".into(), cancelled_dependent);
        cluster.put_record("final/run-10", stored!("final_aborted_dependant"));
        // This job was cancelled, and no leader has removed it yet.
        put_job(cluster, stored!("waiting_cancelled"));
        cluster.cancelled.insert("run-9".into(), cluster.now);
        for (id, dependency) in [("run-11", "run-10"), ("run-12", "run-9")] {
            cluster.submit(dependent_job(id, JobKind::Array, 1, &[dependency]));
        }
    });
    for id in ["run-11", "run-12"] {
        let is_cancelled =
            |cluster: &SimulatedCluster| cluster.final_state(id) == Some(JobState::Cancelled);
        assert!(cluster.run_until(20_000, is_cancelled), "{id}");
    }
    cluster.run(20_000);
    assert_eq!(cluster.final_state("run-10"), Some(JobState::Cancelled));
    assert_eq!((cluster.count_keys("live/job/"), cluster.starts), (0, 0));
    assert_eq!(cluster.violations, Vec::<String>::new());
}

fn completed_tasks_of_progress_records() -> TaskSet {
    let mut done = TaskSet::full(4_200);
    for task in INCOMPLETE_TASKS {
        done.remove(task);
    }
    done
}

/// Two open rounds name all of the array's tasks, and its progress records name most of these as
/// completed. Only the others may be started, once their machines are known to be gone.
#[test]
fn stored_array_continues_from_its_progress_records() {
    for crash_at in [3_000, 25_000, 31_000] {
        let mut cluster = SimulatedCluster::new(3, UNLIMITED_GPUS);
        write_while_nodes_are_down(&mut cluster, |cluster| {
            put_job(cluster, stored!("array"));
            let done = completed_tasks_of_progress_records();
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
        assert!(cluster.run_until(20_000, |cluster| remaining(cluster) == 0));
    }
}

/// Returns the machine and the task of each start of the stored round.
fn starts_of_round() -> Vec<(String, u32)> {
    let parts = [stored!("round"), stored!("round1"), stored!("round2")];
    let records = parts.map(|part| records::from_value::<RoundRecord>(part).unwrap());
    let starts = records.into_iter().flat_map(|record| record.starts);
    let on_machine = |StartRecord { machine, tasks, .. }| {
        tasks.into_iter().map(move |task| (machine.clone(), task))
    };
    starts.flat_map(on_machine).collect()
}

/// What happened to the starts of a stored round.
#[derive(Clone, Copy, PartialEq, Debug)]
enum StoredStarts {
    /// All starts were executed.
    AllExecuted,
    /// The starts on the machines of the last record were not executed.
    SomeExecuted,
    /// The machines no longer exist.
    MachinesGone,
}

/// Returns a cluster with the round's records and with the machines that the round names. `starts`
/// decides which tasks these machines run, and whether they still exist.
fn cluster_with_stored_round(starts: StoredStarts) -> SimulatedCluster {
    let mut cluster = SimulatedCluster::new(3, 400.0);
    cluster.run(2_000);
    cluster.submit(short_job("run-99", JobKind::Array, GANG_TASKS));
    assert_completes(&mut cluster, "run-99", 120_000);
    assert!(cluster.run_until(20_000, |cluster| cluster.count_keys("rounds/") == 0));
    assert_eq!(cluster.starts, GANG_TASKS);
    write_while_nodes_are_down(&mut cluster, |cluster| {
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
            if starts == StoredStarts::SomeExecuted && task >= 256 {
                continue;
            }
            let task = format!("run-1/{task}");
            cluster.inject_task(&machine, &task);
            let worker = cluster.workers.get_mut(&machine).unwrap();
            worker.tasks.get_mut(&task).unwrap().attempt = STORED_ROUND;
        }
    });
    cluster
}

/// A new leader must take all records of a round into account. Tasks that run must not be started
/// again, even if that leader crashes as well. If tasks were not started or are lost with their
/// machines, the whole gang must be started once more.
#[test]
fn stored_round_of_several_records_is_continued() {
    for starts in [
        StoredStarts::AllExecuted,
        StoredStarts::SomeExecuted,
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
            let repeated_starts = if starts == StoredStarts::AllExecuted {
                0
            } else {
                GANG_TASKS
            };
            assert_eq!(
                cluster.starts,
                GANG_TASKS + repeated_starts,
                "{starts:?} {crash_at:?}"
            );
            let remaining = |cluster: &SimulatedCluster| {
                cluster.count_keys("rounds/") + cluster.count_keys("live/job/")
            };
            assert!(cluster.run_until(20_000, |cluster| remaining(cluster) == 0));
        }
    }
}

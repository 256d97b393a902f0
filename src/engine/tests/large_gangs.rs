//! Gangs whose starts don't fit into one transaction, so that their rounds are written in several.

use super::simulated_cluster::{Millis, SimulatedCluster, UNLIMITED_GPUS};
use super::support::{JobSubmissionExt, assert_completes, job_with_duration, short_job};
use crate::wire::user::{JobKind, JobSubmission};

/// The lowest limits that the settings allow: 128 starts per transaction.
const LOWEST_LIMITS: &str = "[cluster.state.next]\nvalue_kb = 2.0\ntxn_ops = 4";
/// Number of records of the round of [`three_transaction_gang`] under these limits.
const ROUND_RECORDS: usize = 10;

/// Returns a gang whose round takes three transactions.
fn three_transaction_gang() -> JobSubmission {
    job_with_duration("run-1", JobKind::Gang, 300, 60.0)
}

/// Returns a cluster under [`LOWEST_LIMITS`].
fn cluster_with_lowest_limits() -> SimulatedCluster {
    let mut cluster = SimulatedCluster::with_upcoming_limits(3, UNLIMITED_GPUS, LOWEST_LIMITS);
    (cluster.max_mutations, cluster.max_value_bytes) = (4, 2 * 1024);
    cluster.page_items = 200;
    cluster.run(2_000);
    cluster
}

/// Runs until at least that many records of rounds are stored. Panics if this takes more than 90 s.
#[track_caller]
fn run_until_round_records(cluster: &mut SimulatedCluster, records: usize) {
    for _ in 0..90_000 {
        if cluster.count_keys("rounds/") >= records {
            return;
        }
        cluster.run(1);
    }
    panic!(
        "only {} of {records} records of rounds are stored",
        cluster.count_keys("rounds/")
    );
}

/// Asserts that all records of rounds, jobs and progress are deleted within that time.
#[track_caller]
fn assert_no_records_left(cluster: &mut SimulatedCluster, timeout: Millis) {
    let remaining = |cluster: &SimulatedCluster| {
        cluster.count_keys("rounds/")
            + cluster.count_keys("live/job/")
            + cluster.count_keys("work/")
    };
    let gone = cluster.run_until(timeout, |cluster| remaining(cluster) == 0);
    assert!(gone, "{} records are left", remaining(cluster));
}

/// A gang may need more starts than one transaction holds, and may have more than 512 tasks.
#[test]
fn gang_larger_than_a_transaction_is_placed_as_a_whole() {
    for tasks in [129, 600, 1_500] {
        let mut cluster = cluster_with_lowest_limits();
        cluster.submit(short_job("run-1", JobKind::Gang, tasks));
        assert_completes(&mut cluster, "run-1", 180_000);
        assert_eq!(cluster.starts, tasks);
        assert_no_records_left(&mut cluster, 60_000);
    }
}

/// The leader crashes once 4, 8 or all records of a round are durable, that is before the last
/// transaction or after it, and stays down or restarts soon. Its successor must count the starts
/// that it finds until their machines have sent heartbeats, and must start the whole gang.
#[test]
fn leader_crash_between_the_transactions_of_a_round_loses_no_work() {
    for records in [4, 8, ROUND_RECORDS] {
        for downtime in [Some(300), None] {
            let mut cluster = cluster_with_lowest_limits();
            cluster.submit(three_transaction_gang());
            run_until_round_records(&mut cluster, records);
            let starts = cluster.starts;
            assert_eq!(starts, 0, "no start before the whole round is durable");
            let leader = cluster.crash_leader();
            if let Some(downtime) = downtime {
                cluster.run(downtime);
                cluster.start(leader);
            }
            assert_completes(&mut cluster, "run-1", 240_000);
            assert_eq!(cluster.starts, 300);
            assert_no_records_left(&mut cluster, 60_000);
        }
    }
}

/// The leader crashes while the records of a finished round are deleted, a few at a time. The
/// remaining records name no live job, and the next leader must delete them.
#[test]
fn leader_crash_while_records_are_deleted_leaves_no_record() {
    let mut cluster = cluster_with_lowest_limits();
    cluster.submit(three_transaction_gang());
    assert_completes(&mut cluster, "run-1", 240_000);
    assert!(
        cluster.run_until(30_000, |cluster| cluster.count_keys("rounds/")
            < ROUND_RECORDS)
    );
    assert!(
        cluster.count_keys("rounds/") > 0,
        "the records are deleted in several transactions"
    );
    cluster.crash_leader();
    assert_no_records_left(&mut cluster, 60_000);
    assert_eq!(cluster.starts, 300);
}

/// A cancellation that becomes durable between two transactions of a round makes the later
/// transactions fail. No task may start, and the records that were already written must be deleted.
#[test]
fn cancellation_between_the_transactions_of_a_round_starts_no_task() {
    for records in [4, 8] {
        let mut cluster = cluster_with_lowest_limits();
        cluster.submit(three_transaction_gang());
        run_until_round_records(&mut cluster, records);
        cluster.cancel("run-1");
        assert_no_records_left(&mut cluster, 60_000);
        assert_eq!(cluster.starts, 0);
        assert_eq!(cluster.violations, Vec::<String>::new());
    }
}

/// A job submitted while a large round is written must not wait for that round if there is a
/// machine that the round does not use.
#[test]
fn other_rounds_are_committed_while_a_large_one_is_written() {
    let mut cluster = cluster_with_lowest_limits();
    cluster.submit(short_job("run-2", JobKind::Service, 1).in_zone("west"));
    assert!(cluster.run_until(60_000, |cluster| cluster.running_tasks("run-2") == 1));
    cluster.submit(short_job("run-1", JobKind::Gang, 1_500).in_zone("east"));
    run_until_round_records(&mut cluster, 5);
    // The round has 47 records in twelve transactions, and each transaction takes this long.
    cluster.faults.store_delay = 1_000;
    cluster.submit(short_job("run-3", JobKind::Array, 1).in_zone("west"));
    assert!(cluster.run_until(8_000, |cluster| cluster.started_jobs.contains("run-3")));
    assert!(!cluster.started_jobs.contains("run-1"));
    cluster.faults.store_delay = 0;
    assert_completes(&mut cluster, "run-1", 180_000);
}

/// Some transactions get no reply and are executed after newer ones. A record that such a late
/// commit leaves behind must start no task and must be deleted without a failover.
#[test]
fn late_commits_of_a_round_leave_no_record() {
    for delay_commit_every in [2, 3, 5] {
        let mut cluster = cluster_with_lowest_limits();
        cluster.faults.delay_commit_every = delay_commit_every;
        cluster.submit(three_transaction_gang());
        cluster.submit(short_job("run-2", JobKind::Service, 3));
        assert_completes(&mut cluster, "run-1", 300_000);
        assert_eq!(cluster.starts, 303);
        cluster.faults.delay_commit_every = 0;
        let term = cluster.term();
        let remaining = |cluster: &SimulatedCluster| cluster.count_keys("rounds/");
        // The record of the service's round remains while the service runs.
        assert!(
            cluster.run_until(150_000, |cluster| remaining(cluster) == 1),
            "{} records of rounds are left, expected 1",
            remaining(&cluster)
        );
        cluster.run(150_000);
        assert_eq!((remaining(&cluster), cluster.term()), (1, term));
    }
}

/// A machine is lost while the round of a gang is written. The gang must still complete, and must
/// not stay started in part.
#[test]
fn gang_completes_despite_machine_loss_while_its_round_is_written() {
    let mut cluster = cluster_with_lowest_limits();
    cluster.submit(three_transaction_gang());
    run_until_round_records(&mut cluster, 4);
    cluster.faults.store_unavailable = true;
    let lost = cluster.workers.keys().next().unwrap().clone();
    cluster.faults.hung_machines.insert(lost.clone());
    cluster.run(3_000);
    cluster.faults.store_unavailable = false;
    assert_completes(&mut cluster, "run-1", 300_000);
    assert!(cluster.returned_machines.contains(&lost));
    assert_no_records_left(&mut cluster, 60_000);
}

/// A round is committed, the reply is lost, and the job is cancelled before the transaction is
/// retried. The retry also fails on the round's own key, which shows that the record exists and has
/// to be deleted.
#[test]
fn round_with_a_lost_reply_is_deleted_after_a_cancellation() {
    let mut cluster = cluster_with_lowest_limits();
    cluster.submit(short_job("run-1", JobKind::Gang, 8));
    assert!(cluster.run_until(60_000, |cluster| !cluster.workers.is_empty()));
    cluster.faults.lose_commit_reply_every = 1;
    run_until_round_records(&mut cluster, 1);
    cluster.cancel("run-1");
    cluster.faults.lose_commit_reply_every = 0;
    // The time limit ends well before the next search for orphaned records.
    assert_no_records_left(&mut cluster, 20_000);
    assert_eq!(cluster.starts, 0);
    assert_eq!(cluster.violations, Vec::<String>::new());
}

/// A late copy of a round's transaction is executed after the round is over and its record is
/// deleted, while the job still waits because its tasks fail. The record that the late commit
/// leaves behind must be deleted without a failover.
#[test]
fn orphaned_record_of_a_late_commit_is_deleted() {
    let mut cluster = cluster_with_lowest_limits();
    cluster.submit(short_job("run-1", JobKind::Array, 1));
    assert_completes(&mut cluster, "run-1", 60_000);
    // The image is cached now, so that a start fails within seconds.
    cluster.faults.failing_jobs.insert("run-2".into());
    cluster.faults.delay_next_write = Some("rounds/");
    cluster.submit(short_job("run-2", JobKind::Array, 1));
    assert!(cluster.run_until(5_000, |cluster| cluster.faults.delay_next_write.is_none()));
    cluster.run(13_000);
    let term = cluster.term();
    cluster.faults.failing_jobs.clear();
    assert_completes(&mut cluster, "run-2", 120_000);
    cluster.run(3_000);
    assert_eq!(
        cluster.count_keys("rounds/"),
        1,
        "the record of the late commit is stored"
    );
    assert!(cluster.run_until(90_000, |cluster| cluster.count_keys("rounds/") == 0));
    assert_eq!(cluster.term(), term);
}

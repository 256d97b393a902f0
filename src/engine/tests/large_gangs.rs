//! Gangs whose starts don't fit into one transaction: their rounds are written in several.

use super::simulated_cluster::{Millis, SimulatedCluster, UNLIMITED_GPUS};
use super::support::{JobSubmissionExt, assert_completes, job_with_duration, short_job};
use crate::wire::user::{JobKind, JobSubmission};

/// The lowest limits that the settings allow: 128 starts per transaction.
const LOWEST_LIMITS: &str = "[cluster.state.next]\nvalue_kb = 2.0\ntxn_ops = 4";
/// Records of a round of [`gang`] under these limits.
const RECORDS: usize = 10;

/// A gang that takes three transactions.
fn gang() -> JobSubmission {
    job_with_duration("run-1", JobKind::Gang, 300, 60.0)
}

/// A cluster under the least limits.
fn cluster() -> SimulatedCluster {
    let mut cluster = SimulatedCluster::with_upcoming_limits(3, UNLIMITED_GPUS, LOWEST_LIMITS);
    (cluster.max_mutations, cluster.max_value_bytes) = (4, 2 * 1024);
    cluster.page_items = 200;
    cluster.run(2_000);
    cluster
}

/// Runs until there are that many records of rounds.
#[track_caller]
fn run_to_records(cluster: &mut SimulatedCluster, records: usize) {
    for _ in 0..90_000 {
        if cluster.count_keys("rounds/") >= records {
            return;
        }
        cluster.run(1);
    }
    panic!("{} records of rounds", cluster.count_keys("rounds/"));
}

/// All records are deleted in time.
#[track_caller]
fn assert_no_records_left(cluster: &mut SimulatedCluster, within: Millis) {
    let remaining = |cluster: &SimulatedCluster| {
        cluster.count_keys("rounds/")
            + cluster.count_keys("live/job/")
            + cluster.count_keys("work/")
    };
    let gone = cluster.run_until(within, |w| remaining(w) == 0);
    assert!(gone, "{} records are left", remaining(cluster));
}

/// A gang may be larger than one transaction, and than 512 tasks.
#[test]
fn gang_of_any_size_is_placed_as_a_whole() {
    for tasks in [129, 600, 1_500] {
        let mut cluster = cluster();
        cluster.submit(short_job("run-1", JobKind::Gang, tasks));
        assert_completes(&mut cluster, "run-1", 180_000);
        assert_eq!(cluster.starts, tasks);
        assert_no_records_left(&mut cluster, 60_000);
    }
}

/// The leader crashes after each number of durable records, before the last transaction or after
/// it, and stays down or restarts at once. Its successor counts the starts that it finds until
/// their machines have sent heartbeats, and starts the whole gang.
#[test]
fn leader_crash_between_the_transactions_of_a_round_loses_no_work() {
    for records in [4, 8, RECORDS] {
        for downtime in [Some(300), None] {
            let mut cluster = cluster();
            cluster.submit(gang());
            run_to_records(&mut cluster, records);
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

/// The leader crashes while the records of a finished round are deleted, a few at a time: the
/// remaining ones name no live job, and the next leader deletes them.
#[test]
fn leader_crash_while_records_are_deleted_leaves_no_record() {
    let mut cluster = cluster();
    cluster.submit(gang());
    assert_completes(&mut cluster, "run-1", 240_000);
    assert!(cluster.run_until(30_000, |w| w.count_keys("rounds/") < RECORDS));
    assert!(
        cluster.count_keys("rounds/") > 0,
        "deleted in several transactions"
    );
    cluster.crash_leader();
    assert_no_records_left(&mut cluster, 60_000);
    assert_eq!(cluster.starts, 300);
}

/// A cancellation that is durable between two transactions of a round makes the following ones
/// fail: no task starts, and the records that are there already are deleted.
#[test]
fn cancellation_between_the_transactions_of_a_round_starts_no_task() {
    for records in [4, 8] {
        let mut cluster = cluster();
        cluster.submit(gang());
        run_to_records(&mut cluster, records);
        cluster.cancel("run-1");
        assert_no_records_left(&mut cluster, 60_000);
        assert_eq!(cluster.starts, 0);
        assert_eq!(cluster.violations, Vec::<String>::new());
    }
}

/// A job submitted while a large round is written does not wait for it, if there is a machine that
/// the round does not use.
#[test]
fn other_rounds_are_committed_while_a_large_one_is_written() {
    let mut cluster = cluster();
    cluster.submit(short_job("run-2", JobKind::Service, 1).in_zone("west"));
    assert!(cluster.run_until(60_000, |w| w.running_tasks("run-2") == 1));
    cluster.submit(short_job("run-1", JobKind::Gang, 1_500).in_zone("east"));
    run_to_records(&mut cluster, 5);
    // 47 records in twelve transactions, each of which takes this long.
    cluster.faults.store_delay = 1_000;
    cluster.submit(short_job("run-3", JobKind::Array, 1).in_zone("west"));
    assert!(cluster.run_until(8_000, |w| w.started_jobs.contains("run-3")));
    assert!(!cluster.started_jobs.contains("run-1"));
    cluster.faults.store_delay = 0;
    assert_completes(&mut cluster, "run-1", 180_000);
}

/// Transactions get no reply, and some are executed after newer ones: a record that a late commit
/// leaves starts no task, and is deleted without a failover.
#[test]
fn late_commits_of_a_round_leave_no_record() {
    for delay_commit_every in [2, 3, 5] {
        let mut cluster = cluster();
        cluster.faults.delay_commit_every = delay_commit_every;
        cluster.submit(gang());
        cluster.submit(short_job("run-2", JobKind::Service, 3));
        assert_completes(&mut cluster, "run-1", 300_000);
        assert_eq!(cluster.starts, 303);
        cluster.faults.delay_commit_every = 0;
        let term = cluster.term();
        let remaining = |w: &SimulatedCluster| w.count_keys("rounds/");
        // The service's round stays while the service runs.
        assert!(
            cluster.run_until(150_000, |w| remaining(w) == 1),
            "{}",
            remaining(&cluster)
        );
        cluster.run(150_000);
        assert_eq!((remaining(&cluster), cluster.term()), (1, term));
    }
}

/// A machine is lost while the round is written: the gang is not started in part.
#[test]
fn machine_loss_while_a_large_round_is_written_costs_one_attempt_at_most() {
    let mut cluster = cluster();
    cluster.submit(gang());
    run_to_records(&mut cluster, 4);
    cluster.faults.store_unavailable = true;
    let lost = cluster.workers.keys().next().unwrap().clone();
    cluster.faults.hung_machines.insert(lost.clone());
    cluster.run(3_000);
    cluster.faults.store_unavailable = false;
    assert_completes(&mut cluster, "run-1", 300_000);
    assert!(cluster.returned_machines.contains(&lost));
    assert_no_records_left(&mut cluster, 60_000);
}

/// A round is committed, its reply is lost, and its job is cancelled before the transaction is
/// retried. The retry fails on the round's own key too, which tells that the record is there and
/// has to be deleted.
#[test]
fn round_with_a_lost_reply_is_deleted_after_a_cancellation() {
    let mut cluster = cluster();
    cluster.submit(short_job("run-1", JobKind::Gang, 8));
    assert!(cluster.run_until(60_000, |w| !w.workers.is_empty()));
    cluster.faults.lose_commit_reply_every = 1;
    run_to_records(&mut cluster, 1);
    cluster.cancel("run-1");
    cluster.faults.lose_commit_reply_every = 0;
    // Well before the next search for orphaned records.
    assert_no_records_left(&mut cluster, 20_000);
    assert_eq!(cluster.starts, 0);
    assert_eq!(cluster.violations, Vec::<String>::new());
}

/// A late copy of a round's transaction is executed after the round is over and its record deleted,
/// while the job still waits because its tasks fail. The record that it leaves is deleted without a
/// failover.
#[test]
fn orphaned_record_of_a_late_commit_is_deleted() {
    let mut cluster = cluster();
    cluster.submit(short_job("run-1", JobKind::Array, 1));
    assert_completes(&mut cluster, "run-1", 60_000);
    // The image is cached now, so that a start fails within seconds.
    cluster.faults.failing_jobs.insert("run-2".into());
    cluster.faults.delay_next_write = Some("rounds/");
    cluster.submit(short_job("run-2", JobKind::Array, 1));
    assert!(cluster.run_until(5_000, |w| w.faults.delay_next_write.is_none()));
    cluster.run(13_000);
    let term = cluster.term();
    cluster.faults.failing_jobs.clear();
    assert_completes(&mut cluster, "run-2", 120_000);
    cluster.run(3_000);
    assert_eq!(
        cluster.count_keys("rounds/"),
        1,
        "the record of the late commit"
    );
    assert!(cluster.run_until(90_000, |w| w.count_keys("rounds/") == 0));
    assert_eq!(cluster.term(), term);
}

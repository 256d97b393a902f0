//! Gangs whose starts one transaction does not hold: their rounds are written by several.

use super::world::Ms;
use super::world::{NO_LIMIT, World};
use super::{ends_well, quick};
use crate::wire::user::{JobKind, JobSubmission};

/// The least limits that the settings allow: 128 starts a transaction.
const LEAST_LIMITS: &str = "[cluster.state.next]\nvalue_kb = 2.0\ntxn_ops = 4";
/// Records of a round of [`gang`] under these limits.
const RECORDS: usize = 10;

/// A gang that takes three transactions.
fn gang() -> JobSubmission {
    let mut gang = quick("run-1", JobKind::Gang, 300);
    gang.expected_duration_s = 60.0;
    gang
}

fn world() -> World {
    let mut world = World::with_limits_to_come(3, NO_LIMIT, LEAST_LIMITS);
    (world.txn_ops, world.value_max) = (4, 2 * 1024);
    world.page = 200;
    world.run(2_000);
    world
}

/// Runs until so many records of rounds are there.
#[track_caller]
fn run_to_records(world: &mut World, records: usize) {
    for _ in 0..90_000 {
        if world.keys("rounds/") >= records {
            return;
        }
        world.run(1);
    }
    panic!("{} records of rounds", world.keys("rounds/"));
}

#[track_caller]
fn leaves_nothing(world: &mut World, within: Ms) {
    let left = |w: &World| w.keys("rounds/") + w.keys("live/job/") + w.keys("work/");
    let gone = world.run_until(within, |w| left(w) == 0);
    assert!(gone, "{} records are left", left(world));
}

/// A gang larger than one transaction, or than 512 tasks, was accepted and never placed.
#[test]
fn a_gang_of_any_size_is_placed_as_a_whole() {
    for tasks in [129, 600, 1_500] {
        let mut world = world();
        world.submit(quick("run-1", JobKind::Gang, tasks));
        ends_well(&mut world, "run-1", 180_000);
        assert_eq!(world.starts, tasks);
        leaves_nothing(&mut world, 60_000);
    }
}

/// The leader is lost after each number of durable records, before the last transaction or after it,
/// and is away for good or back at once. Its successor counts the starts that it finds until their
/// machines have reported, and starts the gang whole.
#[test]
fn a_leader_lost_between_the_transactions_of_a_round_breaks_nothing() {
    for records in [4, 8, RECORDS] {
        for away in [Some(300), None] {
            let mut world = world();
            world.submit(gang());
            run_to_records(&mut world, records);
            let starts = world.starts;
            assert_eq!(starts, 0, "no start before the whole round is durable");
            let leader = world.leader().unwrap();
            world.crash(leader);
            if let Some(away) = away {
                world.run(away);
                world.start(leader);
            }
            ends_well(&mut world, "run-1", 240_000);
            assert_eq!(world.starts, 300);
            leaves_nothing(&mut world, 60_000);
        }
    }
}

/// The leader is lost while the records of a finished round are removed, a few at a time: what is
/// left names nothing that is live, and the next leader removes it.
#[test]
fn a_leader_lost_while_records_are_removed_breaks_nothing() {
    let mut world = world();
    world.submit(gang());
    ends_well(&mut world, "run-1", 240_000);
    assert!(world.run_until(30_000, |w| w.keys("rounds/") < RECORDS));
    assert!(world.keys("rounds/") > 0, "removed in several transactions");
    let leader = world.leader().unwrap();
    world.crash(leader);
    leaves_nothing(&mut world, 60_000);
    assert_eq!(world.starts, 300);
}

/// A cancellation that is durable between two transactions of a round makes the rest of them fail:
/// nothing starts, and the records that are there already are removed.
#[test]
fn a_cancellation_between_the_transactions_of_a_round_starts_nothing() {
    for records in [4, 8] {
        let mut world = world();
        world.submit(gang());
        run_to_records(&mut world, records);
        world.cancel("run-1");
        leaves_nothing(&mut world, 60_000);
        assert_eq!(world.starts, 0);
        assert_eq!(world.broken, Vec::<String>::new());
    }
}

/// Work that comes while a large round is written does not wait for it, if it has a machine that the
/// round does not use.
#[test]
fn other_rounds_are_written_meanwhile() {
    let in_zone = |zone: &str, job: JobSubmission| JobSubmission {
        zone: Some(zone.into()),
        ..job
    };
    let mut world = world();
    world.submit(in_zone("west", quick("run-2", JobKind::Service, 1)));
    assert!(world.run_until(60_000, |w| w.running("run-2") == 1));
    world.submit(in_zone("east", quick("run-1", JobKind::Gang, 1_500)));
    run_to_records(&mut world, 5);
    // 47 records in twelve transactions, each answered after this time.
    world.faults.store_delay = 1_000;
    world.submit(in_zone("west", quick("run-3", JobKind::Array, 1)));
    assert!(world.run_until(8_000, |w| w.begun.contains("run-3")));
    assert!(!world.begun.contains("run-1"));
    world.faults.store_delay = 0;
    ends_well(&mut world, "run-1", 180_000);
}

/// Transactions without an answer, some carried out only after newer ones: a record that a late copy
/// leaves behind starts nothing, and does not stay until another node leads.
#[test]
fn late_copies_of_a_rounds_transactions_leave_nothing() {
    for late_every in [2, 3, 5] {
        let mut world = world();
        world.faults.late_every = late_every;
        world.submit(gang());
        world.submit(quick("run-2", JobKind::Service, 3));
        ends_well(&mut world, "run-1", 300_000);
        assert_eq!(world.starts, 303);
        world.faults.late_every = 0;
        let term = world.term();
        let left = |w: &World| w.keys("rounds/");
        // The service's round stays while it runs.
        assert!(
            world.run_until(150_000, |w| left(w) == 1),
            "{}",
            left(&world)
        );
        world.run(150_000);
        assert_eq!((left(&world), world.term()), (1, term));
    }
}

/// A machine is lost while the round is written: the gang is not started in part.
#[test]
fn a_machine_lost_while_a_large_round_is_written_costs_one_attempt_at_most() {
    let mut world = world();
    world.submit(gang());
    run_to_records(&mut world, 4);
    world.faults.store_down = true;
    let lost = world.workers.keys().next().unwrap().clone();
    world.faults.hung.insert(lost.clone());
    world.run(3_000);
    world.faults.store_down = false;
    ends_well(&mut world, "run-1", 300_000);
    assert!(world.returned.contains(&lost));
    leaves_nothing(&mut world, 60_000);
}

/// A round is carried out, its answer is lost, and its job is cancelled before the transaction is
/// repeated. The repeat fails on the round's own key too, which tells that the record is there and has
/// to be removed. (Without that condition it stayed until another node led.)
#[test]
fn a_round_whose_answer_is_lost_before_a_cancellation_is_removed() {
    let mut world = world();
    world.submit(quick("run-1", JobKind::Gang, 8));
    assert!(world.run_until(60_000, |w| !w.workers.is_empty()));
    world.faults.lose_every = 1;
    run_to_records(&mut world, 1);
    world.cancel("run-1");
    world.faults.lose_every = 0;
    // Well before orphaned records are looked for.
    leaves_nothing(&mut world, 20_000);
    assert_eq!(world.starts, 0);
    assert_eq!(world.broken, Vec::<String>::new());
}

/// A copy of a round's transaction is carried out after the round is over and its record removed, while
/// the job still waits: tasks of it fail at once. The record that it leaves is found and removed without
/// a change of leader.
#[test]
fn a_record_that_a_late_copy_leaves_is_found() {
    let mut world = world();
    world.submit(quick("run-1", JobKind::Array, 1));
    ends_well(&mut world, "run-1", 60_000);
    // The image is there now, so that a start fails within seconds.
    world.faults.faulty.insert("run-2".into());
    world.faults.late_write = Some("rounds/");
    world.submit(quick("run-2", JobKind::Array, 1));
    assert!(world.run_until(5_000, |w| w.faults.late_write.is_none()));
    world.run(13_000);
    let term = world.term();
    world.faults.faulty.clear();
    ends_well(&mut world, "run-2", 120_000);
    world.run(3_000);
    assert_eq!(world.keys("rounds/"), 1, "what the late copy has left");
    assert!(world.run_until(90_000, |w| w.keys("rounds/") == 0));
    assert_eq!(world.term(), term);
}

//! Slow links: each message takes a time of its own, up to a bound, so that answers come late and
//! overtake one another, with more work than room.

use super::quick;
use super::world::Ms;
use super::world::World;
use crate::wire::user::{JobKind, JobSubmission, Priority};
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// The longest that anything may wait for its start.
const LONGEST_WAIT: Ms = 240_000;
/// The longest that a job may wait beside free room that it fits into.
const LONGEST_BESIDE_ROOM: Ms = 90_000;

/// The largest jobs of each kind, and when each was submitted.
fn large_jobs() -> [JobSubmission; 2] {
    let mut gang = quick("run-gang", JobKind::Gang, 8);
    (gang.gpus, gang.single_zone) = (4.0, true);
    (gang.cpus, gang.memory_gb) = (16.0, 64.0);
    let mut array = quick("run-array", JobKind::Array, 150);
    array.priority = Priority::Low;
    [gang, array]
}

fn slow_world(seed: u64, slow_links: Ms) -> World {
    let mut world = World::new(3, 400.0);
    // Eight machines in each zone.
    world.faults.capacity = Some(8);
    world.run(2_000);
    world.links = SmallRng::seed_from_u64(seed);
    world.faults.slow_links = slow_links;
    world
}

/// More work than room for that many seconds: each second more small work, every other one urgent,
/// than the machines can do.
fn overload(world: &mut World, submitted: &mut u64, seconds: u64) {
    for second in 0..seconds {
        for _ in 0..3 {
            *submitted += 1;
            let mut job = quick(&format!("run-{submitted}"), JobKind::Array, 2);
            job.expected_duration_s = 16.0;
            if second % 2 == 0 {
                job.priority = Priority::High;
            }
            world.submit(job);
        }
        world.run(1_000);
    }
}

/// Whatever waits is placed within the longest time that it may wait beside room.
#[track_caller]
fn all_is_placed(world: &mut World, of: &str) {
    let end = world.now + LONGEST_BESIDE_ROOM;
    while world.now < end && !world.waiting().is_empty() {
        world.run(1_000);
    }
    let waiting = world.waiting();
    assert!(
        waiting.is_empty(),
        "{of}: {waiting:?} wait\n{}",
        world.describe()
    );
}

/// Guards against work that waits for ever: more than there is room for, urgent and not, over slow
/// links, with a change of leader. The largest gang and array begin within four minutes of their
/// submission; after the trouble all that waits is placed.
#[test]
fn more_work_than_room_over_slow_links_lets_nothing_wait_for_ever() {
    for (seed, slow_links) in [(1, 250), (2, 600)] {
        let of = format!("seed {seed}, links slow by up to {slow_links} ms");
        let mut world = slow_world(seed, slow_links);
        let mut submitted = 0;
        overload(&mut world, &mut submitted, 60);
        let since = world.now;
        for job in large_jobs() {
            world.submit(job);
        }
        overload(&mut world, &mut submitted, 60);
        if let Some(leader) = world.leader() {
            world.crash(leader);
            overload(&mut world, &mut submitted, 20);
            world.start(leader);
        }
        while world.now < since + LONGEST_WAIT {
            overload(&mut world, &mut submitted, 10);
        }
        for job in large_jobs() {
            assert!(
                world.begun.contains(&job.id),
                "{of}: {} waits\n{}",
                job.id,
                world.describe()
            );
        }
        // The trouble ends: room for all that is left, a few tasks of each job at a time.
        world.faults.slow_links = 0;
        world.faults.capacity = None;
        all_is_placed(&mut world, &of);
        assert_eq!(world.broken, Vec::<String>::new(), "{of}");
    }
}

/// Guards against a job that waits beside free room because a message of its round was late: links
/// are slow, but there is room for all.
#[test]
fn nothing_waits_beside_free_room_over_slow_links() {
    for (seed, slow_links) in [(1, 250), (2, 600), (3, 700)] {
        let of = format!("seed {seed}, links slow by up to {slow_links} ms");
        let mut world = slow_world(seed, slow_links);
        for n in 0..20 {
            let kind = [JobKind::Array, JobKind::Gang][n % 2];
            world.submit(quick(&format!("run-{n}"), kind, 3));
            world.run(4_000);
            if n % 7 == 3
                && let Some(leader) = world.leader()
            {
                world.restart(leader, 1_000);
            }
        }
        all_is_placed(&mut world, &of);
        assert_eq!(world.broken, Vec::<String>::new(), "{of}");
    }
}

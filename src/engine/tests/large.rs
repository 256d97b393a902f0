//! Fleets of the size that the service is built for.

use super::quick;
use super::world::{NO_LIMIT, World};
use crate::constants;
use crate::wire::user::{JobKind, Priority};
use std::time::Duration;

/// A fleet with four tasks on each machine: services first, then arrays that run long.
pub fn fleet(machines: usize) -> World {
    let mut world = World::new(3, NO_LIMIT);
    world.page = constants::STORE_LIST_PAGE_ITEMS as usize;
    world.run(2_000);
    let tasks = 4 * machines as u64;
    for n in 0..tasks / 80 {
        let mut service = quick(&format!("run-1{n}"), JobKind::Service, 8);
        (service.priority, service.spread_zones) = (Priority::Production, true);
        let mut array = quick(&format!("run-2{n}"), JobKind::Array, 72);
        array.expected_duration_s = 3_000.0;
        world.submit(service);
        world.submit(array);
    }
    assert!(
        world.run_until(120_000, |w| w.all_running() as u64 == tasks),
        "{} of {tasks} tasks run",
        world.all_running()
    );
    assert_eq!(world.starts, tasks);
    world
}

/// Figures for `docs/measurements.md`; `cargo test --release -- --ignored --nocapture` prints
/// them.
#[test]
#[ignore = "measures, decides nothing"]
fn time_that_the_engines_take() {
    for machines in [240, 480, 960, 1_920] {
        let mut world = fleet(machines);
        let start = world.spent;
        world.spent = Duration::ZERO;
        world.run(30_000);
        let steady = world.spent / 30;
        world.spent = Duration::ZERO;
        for n in 0..40 {
            let mut gang = quick(&format!("run-3{n}"), JobKind::Gang, 16);
            (gang.gpus, gang.single_zone) = (4.0, true);
            world.submit(gang);
        }
        world.faults.capacity = Some(1);
        world.run(30_000);
        let short = world.spent / 30;
        for n in 0..960 {
            world.submit(quick(&format!("run-4{n}"), JobKind::Array, 8));
        }
        world.spent = Duration::ZERO;
        world.run(30_000);
        let many = world.spent / 30;
        println!(
            "{machines} machines: start of the day {start:?} in all; a second of heartbeats alone \
             {steady:?}, with 40 large gangs for which there is no room {short:?}, and with 960 \
             more jobs {many:?}"
        );
    }
}

/// The longest steps by what they begin with, at the start of a day and through a change of leader.
#[test]
#[ignore = "measures, decides nothing"]
fn longest_steps_of_the_engines() {
    for machines in [200, 1_000, 4_000] {
        let mut world = fleet(machines);
        println!("{machines} machines, start of the day: {:?}", world.longest);
        world.longest.clear();
        let leader = world.leader().unwrap();
        world.crash(leader);
        world.submit(quick("run-9", JobKind::Array, 40));
        world.run(30_000);
        println!("{machines} machines, change of leader: {:?}", world.longest);
    }
}

/// All workers find the new leader within a second, with late copies among their reports. Each is
/// heard, keeps its lease and its tasks, and gets work; nobody else takes over.
#[test]
fn a_large_fleet_is_heard_after_a_take_over() {
    let mut world = fleet(1_900);
    // Until a machine that has not come up would be given up on.
    world.run(30_000);
    let (busy, starts, term) = (world.busy(), world.starts, world.term());
    let copies: Vec<_> = busy
        .iter()
        .flat_map(|m| world.heartbeats(m).pop())
        .collect();
    let leader = world.leader().unwrap();
    world.crash(leader);
    world.run(3_000);
    world.heartbeat_within(1_000);
    for copies in copies.chunks(200) {
        world.repeat_heartbeats(copies);
        world.run(200);
    }
    world.run(12_000);
    assert_eq!(world.term(), term + 1);
    world.submit(quick("run-9", JobKind::Array, 40));
    assert!(world.run_until(60_000, |w| w.done("run-9")));
    assert_eq!(world.term(), term + 1, "nobody else took over");
    assert_eq!((world.all_running(), world.starts), (7_600, starts + 40));
    assert!(!world.returned.iter().any(|m| busy.contains(m)));
    assert_eq!(world.broken, Vec::<String>::new());
}

/// Half of the fleet hangs at once, is replaced, and sends late copies meanwhile; the leader ends
/// in the midst of it. Every task is placed again, services first, and none runs twice.
#[test]
fn half_a_large_fleet_lost_at_once_is_placed_again() {
    let mut world = fleet(1_000);
    let dead: Vec<String> = world.workers.keys().step_by(2).cloned().collect();
    let lost: u64 = dead
        .iter()
        .map(|m| world.workers[m].tasks.len() as u64)
        .sum();
    let starts = world.starts;
    let services = world.all_running_of("run-1");
    let copies: Vec<_> = dead
        .iter()
        .flat_map(|m| world.heartbeats(m).pop())
        .collect();
    world.faults.hung.extend(dead.iter().cloned());
    world.run(17_500);
    let leader = world.leader().unwrap();
    world.crash(leader);
    world.run(300);
    world.start(leader);
    // Nothing but a return proves that the tasks of a hung machine are gone.
    let mut services_at = None;
    for second in 0..120 {
        world.repeat_heartbeats(&copies[second % copies.len()..][..1]);
        world.run(1_000);
        // Tasks on hung machines don't count.
        if services_at.is_none() && world.all_running_of("run-1") == services {
            services_at = Some(world.all_running());
        }
        if world.all_running() == 4_000 {
            break;
        }
    }
    assert_eq!(
        world.all_running(),
        4_000,
        "{} returned",
        world.returned.len()
    );
    assert!(
        services_at.is_some_and(|running| running < 4_000),
        "services first"
    );
    assert_eq!(world.starts, starts + lost);
    assert!(dead.iter().all(|m| world.returned.contains(m)));
    assert_eq!(world.broken, Vec::<String>::new());
}

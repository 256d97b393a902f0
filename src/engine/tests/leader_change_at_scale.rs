//! A fleet with work on all machines, through a change of leader with everything else going wrong at
//! once: in a small size, and by a command of its own at 4,000 machines.

use super::large::fleet;
use super::quick;
use super::world::World;
use crate::model::Ms;
use crate::wire::user::Kind;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

/// How long zones are cut off from each other: well within the grace.
const CUT_MS: Ms = 8_000;
/// How long after the last fault everything has to run again.
const RECOVERY_MS: Ms = 240_000;

/// What a run came to.
struct Outcome {
    /// From the leader's end to the first start that its successor sent.
    first_start_ms: Ms,
    /// From the leader's end until all tasks ran again.
    recovered_ms: Ms,
    /// Machines that hung.
    hung: usize,
}

/// The leader ends, a zone is cut, a fifth of the machines hang, and the cloud's lists lag; a job that
/// was just submitted waits for its first start.
fn play(machines: usize, seed: u64) -> Outcome {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut world = fleet(machines);
    world.run(30_000);
    let tasks = world.all_running();
    // Leaves machines with room, so that what begins after the change need not wait for a boot.
    world.submit(quick("run-8", Kind::Array, 40));
    assert!(world.run_until(120_000, |w| w.done("run-8")));
    let mut names: Vec<String> = world.workers.keys().cloned().collect();
    names.shuffle(&mut random);
    let hung = names[..machines / 5].to_vec();
    let alive = &names[machines / 5..];
    world.faults.hung.extend(hung.iter().cloned());
    world.faults.zones_cut = true;
    world.faults.slow_list = random.random_range(2_000..10_000);
    let (starts, term, ended_at) = (world.starts, world.term(), world.now);
    let leader = world.leader().unwrap();
    world.crash(leader);
    world.submit(quick("run-9", Kind::Array, 40));
    let cut_ends = ended_at + CUT_MS;
    let started = |w: &World| w.starts > starts;
    let mut first_start_ms = None;
    while world.now < cut_ends {
        world.run(100);
        if first_start_ms.is_none() && started(&world) {
            first_start_ms = Some(world.now - ended_at);
        }
    }
    world.faults.zones_cut = false;
    world.start(leader);
    if first_start_ms.is_none() {
        assert!(
            world.run_until(RECOVERY_MS, started),
            "seed {seed}: no start"
        );
        first_start_ms = Some(world.now - ended_at);
    }
    let all_run = |w: &World| w.done("run-9") && w.all_running() == tasks;
    let recovered = world.run_until(RECOVERY_MS, all_run);
    assert!(
        recovered,
        "seed {seed}: {} of {tasks} tasks run, {} returned",
        world.all_running(),
        world.returned.len()
    );
    assert!(world.term() > term, "seed {seed}: nobody took over");
    assert_eq!(world.waiting(), Vec::<String>::new(), "seed {seed}");
    let lost = alive.iter().filter(|m| world.returned.contains(m));
    assert_eq!(lost.count(), 0, "seed {seed}: returned though alive");
    assert_eq!(world.broken, Vec::<String>::new(), "seed {seed}");
    Outcome {
        first_start_ms: first_start_ms.unwrap_or(0),
        recovered_ms: world.now - ended_at,
        hung: hung.len(),
    }
}

#[test]
fn a_change_of_leader_with_everything_at_once_loses_nothing() {
    for seed in 1..=3 {
        let outcome = play(200, seed);
        assert_eq!(outcome.hung, 40);
        // An election, the first reports, and the cut.
        assert!(outcome.first_start_ms < 30_000, "seed {seed}");
        assert!(outcome.recovered_ms < RECOVERY_MS, "seed {seed}");
    }
}

/// Figures for `docs/measurements.md`; `cargo test --release -- --ignored --nocapture at_4000_machines`
/// prints them.
#[test]
#[ignore = "takes minutes"]
fn a_change_of_leader_at_4000_machines_loses_nothing() {
    for seed in 1..=3 {
        let outcome = play(4_000, seed);
        println!(
            "seed {seed}: {} machines hung, first start after {} ms, all tasks run after {} ms",
            outcome.hung, outcome.first_start_ms, outcome.recovered_ms
        );
    }
}

//! The simulated clusters whose engines are recorded.

use super::super::quick;
use super::super::world::{ListFault, World};
use super::script::Script;
use crate::wire::user::{JobKind, JobSubmission, Priority};
use crate::wire::worker::ExitReason;

/// A scenario with the name of its file.
pub struct Scenario {
    pub name: &'static str,
    /// The team's limit.
    gpus_max: f64,
    play: fn(&mut World),
}

impl Scenario {
    pub fn record(&self) -> Script {
        let mut world = World::new(3, self.gpus_max);
        world.record();
        (self.play)(&mut world);
        world.recorded()
    }
}

pub const SCENARIOS: [Scenario; 8] = [
    Scenario {
        name: "kinds",
        gpus_max: 12.0,
        play: jobs_of_all_kinds_and_a_leader_lost,
    },
    Scenario {
        name: "dependencies",
        gpus_max: 12.0,
        play: dependencies_and_cancellations,
    },
    Scenario {
        name: "preemption",
        gpus_max: 40.0,
        play: preemption_and_reclaimed_machines,
    },
    Scenario {
        name: "machines",
        gpus_max: 12.0,
        play: machines_lost_and_wrong_lists,
    },
    Scenario {
        name: "partitions",
        gpus_max: 12.0,
        play: partitions_and_unanswered_calls,
    },
    Scenario {
        name: "consolidation",
        gpus_max: 12.0,
        play: consolidation_of_half_empty_machines,
    },
    Scenario {
        name: "load",
        gpus_max: 48.0,
        play: load_in_batches,
    },
    Scenario {
        name: "starvation",
        gpus_max: 400.0,
        play: a_large_gang_under_a_stream_of_small_work,
    },
];

fn lasting(id: &str, kind: JobKind, tasks: u64, seconds: f64) -> JobSubmission {
    let mut job = quick(id, kind, tasks);
    job.expected_duration_s = seconds;
    job
}

fn awaiting(id: &str, kind: JobKind, tasks: u64, awaits: &[&str]) -> JobSubmission {
    let mut job = quick(id, kind, tasks);
    job.depends_on = awaits.iter().map(|id| (*id).to_owned()).collect();
    job
}

/// A gang that needs whole machines.
fn whole_machines(id: &str, tasks: u64, priority: Priority) -> JobSubmission {
    let mut gang = quick(id, JobKind::Gang, tasks);
    (gang.gpus, gang.cpus, gang.memory_gb) = (4.0, 16.0, 64.0);
    gang.priority = priority;
    gang
}

fn crash_leader(world: &mut World) -> usize {
    let leader = world.leader().unwrap();
    world.crash(leader);
    leader
}

fn jobs_of_all_kinds_and_a_leader_lost(world: &mut World) {
    world.run(2_000);
    world.submit(quick("run-1", JobKind::Array, 7));
    world.submit(quick("run-2", JobKind::Gang, 3));
    world.submit(quick("run-3", JobKind::Service, 2));
    world.run(26_000);
    let old = crash_leader(world);
    world.run(1_000);
    world.submit(lasting("run-4", JobKind::Array, 12, 4.0));
    world.run(9_000);
    world.start(old);
    for node in 0..3 {
        world.ask_counts(node, "run-4");
    }
    world.run(15_000);
    world.cancel("run-3");
    world.run(20_000);
    for (id, why) in [
        ("run-5", ExitReason::GangPeerLost),
        ("run-6", ExitReason::GangIncomplete),
        ("run-7", ExitReason::InsufficientResources),
        ("run-8", ExitReason::AttemptConflict),
        ("run-9", ExitReason::UnknownTask),
    ] {
        world.faults.exits.insert(id.into(), why);
        world.submit(lasting(id, JobKind::Gang, 2, 5.0));
    }
    world.run(20_000);
    world.faults.exits.clear();
    world.run(60_000);
}

fn dependencies_and_cancellations(world: &mut World) {
    world.run(2_000);
    world.submit(awaiting("run-1", JobKind::Array, 2, &[]));
    world.submit(awaiting("run-2", JobKind::Array, 3, &["run-1"]));
    world.submit(awaiting("run-3", JobKind::Gang, 2, &["run-2"]));
    world.submit(awaiting("run-4", JobKind::Array, 1, &["run-1", "run-3"]));
    world.submit(lasting("run-5", JobKind::Array, 2, 300.0));
    world.submit(awaiting("run-6", JobKind::Array, 2, &["run-5"]));
    world.submit(awaiting("run-7", JobKind::Gang, 2, &["run-6", "run-4"]));
    world.run(30_000);
    for node in 0..3 {
        world.step_state(node, "run-7");
        world.not_known(node, &["run-1", "run-7", "run-99"]);
    }
    // Questions close to each other: many wait for the same refresh.
    let leader = world.leader().unwrap();
    for _ in 0..150 {
        world.ask_step(leader, "run-7");
        world.run(20);
    }
    world.faults.late_every = 3;
    world.run(12_000);
    world.faults.late_every = 0;
    world.cancel("run-5");
    for node in 0..3 {
        world.tell_of_cancellation(node, "run-5");
        world.step_state(node, "run-7");
    }
    world.faults.store_down = true;
    world.run(8_000);
    world.faults.store_down = false;
    world.run(35_000);
    crash_leader(world);
    world.submit(awaiting("run-8", JobKind::Array, 1, &["run-4", "run-7"]));
    world.run(20_000);
}

fn preemption_and_reclaimed_machines(world: &mut World) {
    world.faults.capacity = Some(2);
    (world.faults.saves, world.faults.gathers) = (true, 1_500);
    world.run(2_000);
    let mut array = lasting("run-1", JobKind::Array, 20, 200.0);
    (array.priority, array.allows_spot) = (Priority::Low, true);
    world.submit(array);
    let mut service = quick("run-2", JobKind::Service, 2);
    (service.priority, service.spread_zones) = (Priority::Normal, true);
    world.submit(service);
    world.run(70_000);
    world.submit(whole_machines("run-3", 2, Priority::Production));
    world.run(40_000);
    let mut urgent = lasting("run-4", JobKind::Array, 4, 15.0);
    urgent.priority = Priority::High;
    world.submit(urgent);
    if let Some(machine) = world.machine_of("run-2") {
        world.faults.notices.insert(machine, 30.0);
    }
    world.run(40_000);
    if let Some(machine) = world.machine_of("run-1") {
        world.faults.notices.insert(machine.clone(), 5.0);
        world.run(3_500);
        world.faults.hung.insert(machine);
    }
    world.run(40_000);
}

fn machines_lost_and_wrong_lists(world: &mut World) {
    world.run(2_000);
    world.submit(quick("run-1", JobKind::Service, 4));
    world.submit(lasting("run-2", JobKind::Gang, 2, 90.0));
    world.run(45_000);
    let hung = world.machine_of("run-1").unwrap();
    world.faults.hung.insert(hung);
    world.faults.list = ListFault::Doubled;
    world.faults.copy_every = 5;
    world.run(40_000);
    world.faults.list = ListFault::Repeats;
    if let Some(deaf) = world.machine_of("run-1") {
        world.faults.deaf.insert(deaf);
    }
    world.submit(quick("run-3", JobKind::Array, 5));
    world.run(40_000);
    world.faults.list = ListFault::None;
    if let Some(sick) = world.machine_of("run-2") {
        world.faults.sick.insert(sick);
    }
    if let Some(restarted) = world.machine_of("run-1") {
        world.restart_worker(&restarted);
    }
    world.faults.faulty.insert("run-4".into());
    world.submit(quick("run-4", JobKind::Array, 2));
    world.faults.cloud_down = true;
    world.run(15_000);
    world.faults.cloud_down = false;
    world.run(40_000);
}

fn partitions_and_unanswered_calls(world: &mut World) {
    world.faults.slow_links = 400;
    world.run(3_000);
    world.submit(quick("run-1", JobKind::Service, 3));
    let mut west = quick("run-2", JobKind::Service, 2);
    west.zone = Some("west".into());
    world.submit(west);
    world.run(45_000);
    world.faults.zones_cut = true;
    world.faults.lose_every = 3;
    world.submit(quick("run-3", JobKind::Array, 5));
    world.run(15_000);
    world.faults.zones_cut = false;
    world.run(15_000);
    let refused = world.leader().unwrap();
    world.faults.store_refuses.insert(refused);
    world.run(15_000);
    world.faults.store_refuses.clear();
    world.faults.lose_every = 0;
    let unreachable = world.leader().unwrap();
    world.faults.no_workers.insert(unreachable);
    world.run(40_000);
    world.faults.no_workers.clear();
    let alone = world.leader().unwrap();
    world.faults.store_refuses.insert(alone);
    world.faults.no_peers.insert(alone);
    world.run(20_000);
    world.faults = Default::default();
    world.run(15_000);
}

fn consolidation_of_half_empty_machines(world: &mut World) {
    world.run(2_000);
    world.submit(quick("run-1", JobKind::Service, 2));
    world.submit(quick("run-2", JobKind::Service, 2));
    world.run(45_000);
    world.submit(quick("run-3", JobKind::Service, 2));
    world.run(45_000);
    world.cancel("run-1");
    world.run(130_000);
}

fn load_in_batches(world: &mut World) {
    world.batch_within = Some(25);
    world.faults.capacity = Some(5);
    (world.faults.saves, world.faults.gathers) = (true, 700);
    world.run(2_000);
    let priorities = [
        Priority::Low,
        Priority::Normal,
        Priority::High,
        Priority::Production,
    ];
    let kinds = [
        JobKind::Array,
        JobKind::Gang,
        JobKind::Array,
        JobKind::Service,
    ];
    for number in 0..40_u64 {
        let kind = kinds[number as usize % kinds.len()];
        let mut job = quick(&format!("run-{number}"), kind, 1 + number % 5);
        job.priority = priorities[number as usize / 3 % priorities.len()];
        job.gpus = [0.0, 1.0, 2.0][number as usize % 3];
        job.spread_zones = number % 7 == 3;
        job.single_zone = number % 5 == 2;
        job.image = format!("img-{}", number % 6);
        world.submit(job);
        world.run(1_500);
        if number >= 12 && number % 6 == 0 {
            let service = format!("run-{}", number - 9);
            world.cancel(&service);
            world.tell_of_cancellation(0, &service);
        }
        if number == 25 {
            let leader = crash_leader(world);
            world.run(700);
            world.start(leader);
        }
    }
    world.submit(whole_machines("run-100", 6, Priority::Production));
    world.run(40_000);
}

fn a_large_gang_under_a_stream_of_small_work(world: &mut World) {
    world.faults.capacity = Some(7);
    world.run(2_000);
    for second in 0..190 {
        let mut small = lasting(&format!("run-{second}"), JobKind::Array, 4, 30.0);
        small.zone = Some("east".into());
        world.submit(small);
        if second == 40 {
            let mut gang = whole_machines("run-1000", 5, Priority::Normal);
            gang.single_zone = true;
            world.submit(gang);
        }
        world.run(1_000);
    }
}

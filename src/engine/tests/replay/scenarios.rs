//! The simulated clusters whose engines are recorded.

use super::super::short_job;
use super::super::simulated_cluster::{ListFault, SimulatedCluster};
use super::script::Script;
use crate::wire::user::{JobKind, JobSubmission, Priority};
use crate::wire::worker::ExitReason;

/// A scenario with the name of its file.
pub struct Scenario {
    pub name: &'static str,
    /// The team's limit.
    gpus_max: f64,
    play: fn(&mut SimulatedCluster),
}

impl Scenario {
    pub fn record(&self) -> Script {
        let mut cluster = SimulatedCluster::new(3, self.gpus_max);
        cluster.start_recording();
        (self.play)(&mut cluster);
        cluster.finish_recording()
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
    let mut job = short_job(id, kind, tasks);
    job.expected_duration_s = seconds;
    job
}

fn awaiting(id: &str, kind: JobKind, tasks: u64, awaits: &[&str]) -> JobSubmission {
    let mut job = short_job(id, kind, tasks);
    job.depends_on = awaits.iter().map(|id| (*id).to_owned()).collect();
    job
}

/// A gang that needs whole machines.
fn whole_machines(id: &str, tasks: u64, priority: Priority) -> JobSubmission {
    let mut gang = short_job(id, JobKind::Gang, tasks);
    (gang.gpus, gang.cpus, gang.memory_gb) = (4.0, 16.0, 64.0);
    gang.priority = priority;
    gang
}

fn crash_leader(cluster: &mut SimulatedCluster) -> usize {
    let leader = cluster.leader().unwrap();
    cluster.crash(leader);
    leader
}

fn jobs_of_all_kinds_and_a_leader_lost(cluster: &mut SimulatedCluster) {
    cluster.run(2_000);
    cluster.submit(short_job("run-1", JobKind::Array, 7));
    cluster.submit(short_job("run-2", JobKind::Gang, 3));
    cluster.submit(short_job("run-3", JobKind::Service, 2));
    cluster.run(26_000);
    let old = crash_leader(cluster);
    cluster.run(1_000);
    cluster.submit(lasting("run-4", JobKind::Array, 12, 4.0));
    cluster.run(9_000);
    cluster.start(old);
    for node in 0..3 {
        cluster.request_task_counts(node, "run-4");
    }
    cluster.run(15_000);
    cluster.cancel("run-3");
    cluster.run(20_000);
    for (id, why) in [
        ("run-5", ExitReason::GangPeerLost),
        ("run-6", ExitReason::GangIncomplete),
        ("run-7", ExitReason::InsufficientResources),
        ("run-8", ExitReason::AttemptConflict),
        ("run-9", ExitReason::UnknownTask),
    ] {
        cluster.faults.forced_exits.insert(id.into(), why);
        cluster.submit(lasting(id, JobKind::Gang, 2, 5.0));
    }
    cluster.run(20_000);
    cluster.faults.forced_exits.clear();
    cluster.run(60_000);
}

fn dependencies_and_cancellations(cluster: &mut SimulatedCluster) {
    cluster.run(2_000);
    cluster.submit(awaiting("run-1", JobKind::Array, 2, &[]));
    cluster.submit(awaiting("run-2", JobKind::Array, 3, &["run-1"]));
    cluster.submit(awaiting("run-3", JobKind::Gang, 2, &["run-2"]));
    cluster.submit(awaiting("run-4", JobKind::Array, 1, &["run-1", "run-3"]));
    cluster.submit(lasting("run-5", JobKind::Array, 2, 300.0));
    cluster.submit(awaiting("run-6", JobKind::Array, 2, &["run-5"]));
    cluster.submit(awaiting("run-7", JobKind::Gang, 2, &["run-6", "run-4"]));
    cluster.run(30_000);
    for node in 0..3 {
        cluster.blocked_job_state(node, "run-7");
        cluster.unknown_jobs(node, &["run-1", "run-7", "run-99"]);
    }
    // Questions close to each other: many wait for the same refresh.
    let leader = cluster.leader().unwrap();
    for _ in 0..150 {
        cluster.request_blocked_job_state(leader, "run-7");
        cluster.run(20);
    }
    cluster.faults.delay_commit_every = 3;
    cluster.run(12_000);
    cluster.faults.delay_commit_every = 0;
    cluster.cancel("run-5");
    for node in 0..3 {
        cluster.announce_cancellation(node, "run-5");
        cluster.blocked_job_state(node, "run-7");
    }
    cluster.faults.store_unavailable = true;
    cluster.run(8_000);
    cluster.faults.store_unavailable = false;
    cluster.run(35_000);
    crash_leader(cluster);
    cluster.submit(awaiting("run-8", JobKind::Array, 1, &["run-4", "run-7"]));
    cluster.run(20_000);
}

fn preemption_and_reclaimed_machines(cluster: &mut SimulatedCluster) {
    cluster.faults.zone_capacity = Some(2);
    (cluster.faults.save_checkpoints, cluster.faults.gang_wait) = (true, 1_500);
    cluster.run(2_000);
    let mut array = lasting("run-1", JobKind::Array, 20, 200.0);
    (array.priority, array.allows_spot) = (Priority::Low, true);
    cluster.submit(array);
    let mut service = short_job("run-2", JobKind::Service, 2);
    (service.priority, service.spread_zones) = (Priority::Normal, true);
    cluster.submit(service);
    cluster.run(70_000);
    cluster.submit(whole_machines("run-3", 2, Priority::Production));
    cluster.run(40_000);
    let mut urgent = lasting("run-4", JobKind::Array, 4, 15.0);
    urgent.priority = Priority::High;
    cluster.submit(urgent);
    if let Some(machine) = cluster.machine_of("run-2") {
        cluster.faults.preemption_notices.insert(machine, 30.0);
    }
    cluster.run(40_000);
    if let Some(machine) = cluster.machine_of("run-1") {
        cluster
            .faults
            .preemption_notices
            .insert(machine.clone(), 5.0);
        cluster.run(3_500);
        cluster.faults.hung_machines.insert(machine);
    }
    cluster.run(40_000);
}

fn machines_lost_and_wrong_lists(cluster: &mut SimulatedCluster) {
    cluster.run(2_000);
    cluster.submit(short_job("run-1", JobKind::Service, 4));
    cluster.submit(lasting("run-2", JobKind::Gang, 2, 90.0));
    cluster.run(45_000);
    let hung = cluster.machine_of("run-1").unwrap();
    cluster.faults.hung_machines.insert(hung);
    cluster.faults.machine_list = ListFault::Doubled;
    cluster.faults.duplicate_heartbeat_every = 5;
    cluster.run(40_000);
    cluster.faults.machine_list = ListFault::Repeats;
    if let Some(deaf) = cluster.machine_of("run-1") {
        cluster.faults.machines_without_replies.insert(deaf);
    }
    cluster.submit(short_job("run-3", JobKind::Array, 5));
    cluster.run(40_000);
    cluster.faults.machine_list = ListFault::None;
    if let Some(sick) = cluster.machine_of("run-2") {
        cluster.faults.failing_machines.insert(sick);
    }
    if let Some(restarted) = cluster.machine_of("run-1") {
        cluster.restart_worker(&restarted);
    }
    cluster.faults.failing_jobs.insert("run-4".into());
    cluster.submit(short_job("run-4", JobKind::Array, 2));
    cluster.faults.cloud_unavailable = true;
    cluster.run(15_000);
    cluster.faults.cloud_unavailable = false;
    cluster.run(40_000);
}

fn partitions_and_unanswered_calls(cluster: &mut SimulatedCluster) {
    cluster.faults.max_jitter = 400;
    cluster.run(3_000);
    cluster.submit(short_job("run-1", JobKind::Service, 3));
    let mut west = short_job("run-2", JobKind::Service, 2);
    west.zone = Some("west".into());
    cluster.submit(west);
    cluster.run(45_000);
    cluster.faults.zones_partitioned = true;
    cluster.faults.lose_commit_reply_every = 3;
    cluster.submit(short_job("run-3", JobKind::Array, 5));
    cluster.run(15_000);
    cluster.faults.zones_partitioned = false;
    cluster.run(15_000);
    let refused = cluster.leader().unwrap();
    cluster.faults.store_refuses.insert(refused);
    cluster.run(15_000);
    cluster.faults.store_refuses.clear();
    cluster.faults.lose_commit_reply_every = 0;
    let unreachable = cluster.leader().unwrap();
    cluster.faults.nodes_without_workers.insert(unreachable);
    cluster.run(40_000);
    cluster.faults.nodes_without_workers.clear();
    let alone = cluster.leader().unwrap();
    cluster.faults.store_refuses.insert(alone);
    cluster.faults.nodes_without_peers.insert(alone);
    cluster.run(20_000);
    cluster.faults = Default::default();
    cluster.run(15_000);
}

fn consolidation_of_half_empty_machines(cluster: &mut SimulatedCluster) {
    cluster.run(2_000);
    cluster.submit(short_job("run-1", JobKind::Service, 2));
    cluster.submit(short_job("run-2", JobKind::Service, 2));
    cluster.run(45_000);
    cluster.submit(short_job("run-3", JobKind::Service, 2));
    cluster.run(45_000);
    cluster.cancel("run-1");
    cluster.run(130_000);
}

fn load_in_batches(cluster: &mut SimulatedCluster) {
    cluster.batch_window = Some(25);
    cluster.faults.zone_capacity = Some(5);
    (cluster.faults.save_checkpoints, cluster.faults.gang_wait) = (true, 700);
    cluster.run(2_000);
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
        let mut job = short_job(&format!("run-{number}"), kind, 1 + number % 5);
        job.priority = priorities[number as usize / 3 % priorities.len()];
        job.gpus = [0.0, 1.0, 2.0][number as usize % 3];
        job.spread_zones = number % 7 == 3;
        job.single_zone = number % 5 == 2;
        job.image = format!("img-{}", number % 6);
        cluster.submit(job);
        cluster.run(1_500);
        if number >= 12 && number % 6 == 0 {
            let service = format!("run-{}", number - 9);
            cluster.cancel(&service);
            cluster.announce_cancellation(0, &service);
        }
        if number == 25 {
            let leader = crash_leader(cluster);
            cluster.run(700);
            cluster.start(leader);
        }
    }
    cluster.submit(whole_machines("run-100", 6, Priority::Production));
    cluster.run(40_000);
}

fn a_large_gang_under_a_stream_of_small_work(cluster: &mut SimulatedCluster) {
    cluster.faults.zone_capacity = Some(7);
    cluster.run(2_000);
    for second in 0..190 {
        let mut small = lasting(&format!("run-{second}"), JobKind::Array, 4, 30.0);
        small.zone = Some("east".into());
        cluster.submit(small);
        if second == 40 {
            let mut gang = whole_machines("run-1000", 5, Priority::Normal);
            gang.single_zone = true;
            cluster.submit(gang);
        }
        cluster.run(1_000);
    }
}

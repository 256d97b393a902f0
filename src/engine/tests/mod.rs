//! The engine in a scripted world, under a fake clock.

mod cancellation_forward;
mod combined_faults;
mod dependencies;
mod guards;
mod large;
mod large_gangs;
mod leader_change_at_scale;
mod links;
mod machine_lists;
mod replay;
mod requirements;
mod stored;
mod world;

use crate::constants;
use crate::wire::user::{JobKind, JobState, JobSubmission, Priority, tests::job};
use world::World;

fn quick(id: &str, kind: JobKind, tasks: u64) -> JobSubmission {
    let mut job = job(id, kind, tasks);
    job.expected_duration_s = if kind == JobKind::Service { 0.0 } else { 10.0 };
    job
}

fn world_with(jobs: Vec<JobSubmission>) -> World {
    // LOG_LEVEL-like output of the engines, for whoever looks into a failure: run with --nocapture.
    let _ = tracing_subscriber::fmt().with_test_writer().try_init();
    let mut world = World::new(3, 8.0);
    world.run(2000);
    for job in jobs {
        world.submit(job);
    }
    world
}

/// All eight replicas run, on machines of both zones.
fn world_of_two_services() -> World {
    let mut jobs = vec![
        quick("run-1", JobKind::Service, 4),
        quick("run-2", JobKind::Service, 4),
    ];
    jobs[1].spread_zones = true;
    let mut world = world_with(jobs);
    assert!(world.run_until(60_000, |w| w.running("run-1") + w.running("run-2") == 8));
    world
}

#[track_caller]
fn ends_well(world: &mut World, id: &str, most_ms: u64) {
    let done = world.run_until(most_ms, |w| w.done(id));
    assert!(
        done,
        "{id} is not done at {}:\n{}",
        world.now,
        world.describe()
    );
    assert_eq!(world.broken, Vec::<String>::new());
}

#[test]
fn jobs_of_each_kind_run_and_leave_nothing_behind() {
    let mut world = world_with(vec![
        quick("run-1", JobKind::Array, 5),
        quick("run-2", JobKind::Gang, 2),
        quick("run-3", JobKind::Service, 1),
    ]);
    ends_well(&mut world, "run-1", 120_000);
    ends_well(&mut world, "run-2", 120_000);
    assert_eq!(world.running("run-3"), 1);
    world.cancel("run-3");
    assert!(
        world.run_until(2_000, |w| w.running("run-3") == 0),
        "stopped at once"
    );
    assert!(
        world.run_until(150_000, |w| w.workers.is_empty()),
        "idle machines are returned"
    );
    assert_eq!(world.state("run-3"), Some(JobState::Cancelled));
    for prefix in ["rounds/", "work/", "live/job/"] {
        assert_eq!(world.keys(prefix), 0, "{prefix}");
    }
}

#[test]
fn a_leader_lost_at_any_step_of_a_round_breaks_nothing() {
    // From before the start is planned until after its end is written.
    for crash_at in (20_000..52_000).step_by(370) {
        let mut world = world_with(vec![
            quick("run-1", JobKind::Array, 6),
            quick("run-2", JobKind::Gang, 2),
        ]);
        world.run(crash_at);
        if let Some(leader) = world.leader() {
            world.restart(leader, 4000);
        }
        ends_well(&mut world, "run-1", 150_000);
        ends_well(&mut world, "run-2", 150_000);
        assert!(
            world.starts <= 8,
            "crash at {crash_at}: work was done again"
        );
    }
}

#[test]
fn all_nodes_lost_at_once_lose_no_job() {
    for (at, pause) in [(1_500, 300), (24_000, 4_000), (31_000, 4_000)] {
        let mut world = world_with(vec![quick("run-1", JobKind::Array, 4)]);
        world.run(at);
        for node in 0..3 {
            world.crash(node);
        }
        world.run(pause);
        for node in 0..3 {
            world.start(node);
        }
        ends_well(&mut world, "run-1", 150_000);
    }
}

/// A new leader once took every machine's age from the list and returned the whole fleet as
/// never up.
#[test]
fn a_take_over_returns_no_machine_that_works() {
    let mut world = world_with(vec![quick("run-1", JobKind::Service, 1)]);
    assert!(world.run_until(60_000, |w| w.running("run-1") == 1));
    world.run(120_000);
    let leader = world.leader().unwrap();
    world.crash(leader);
    world.run(30_000);
    assert_eq!(world.returned, Vec::<String>::new());
    assert_eq!((world.running("run-1"), world.starts), (1, 1));
}

/// A new leader once rented a whole fleet again, because the machines had not reported to it.
#[test]
fn a_take_over_with_work_waiting_rents_nothing_that_is_there() {
    let mut first = quick("run-1", JobKind::Array, 4);
    first.expected_duration_s = 400.0;
    let mut world = world_with(vec![first]);
    assert!(world.run_until(60_000, |w| w.running("run-1") == 4));
    world.submit(quick("run-2", JobKind::Array, 4));
    ends_well(&mut world, "run-2", 60_000);
    world.run(15_000);
    let machines = world.workers.len() + world.returned.len();
    let leader = world.leader().unwrap();
    world.crash(leader);
    world.submit(quick("run-3", JobKind::Array, 4));
    ends_well(&mut world, "run-3", 60_000);
    assert_eq!(world.workers.len() + world.returned.len(), machines);
}

#[test]
fn commits_without_an_answer_are_found_out_about() {
    for every in 2..5 {
        let mut world = world_with(vec![
            quick("run-1", JobKind::Array, 6),
            quick("run-2", JobKind::Gang, 3),
        ]);
        world.faults.lose_every = every;
        ends_well(&mut world, "run-1", 240_000);
        ends_well(&mut world, "run-2", 240_000);
    }
}

#[test]
fn an_outage_of_the_state_service_stops_starts_but_not_work() {
    let mut world = world_with(vec![quick("run-1", JobKind::Service, 1)]);
    assert!(world.run_until(60_000, |w| w.running("run-1") == 1));
    world.submit(quick("run-2", JobKind::Array, 1));
    world.faults.store_down = true;
    world.run(15_000);
    assert_eq!(world.starts, 1, "nothing is started in doubt");
    assert_eq!(world.running("run-1"), 1, "what runs goes on");
    world.faults.store_down = false;
    ends_well(&mut world, "run-2", 60_000);
    assert_eq!(world.running("run-1"), 1);
}

#[test]
fn a_leader_that_alone_is_refused_gives_way() {
    let mut world = world_with(vec![quick("run-1", JobKind::Service, 1)]);
    assert!(world.run_until(60_000, |w| w.running("run-1") == 1));
    let old = world.leader().unwrap();
    world.faults.store_refuses.insert(old);
    assert!(
        world.run_until(2 * crate::model::whole_millis(constants::LEASE_TTL), |w| {
            w.leader().is_some_and(|l| l != old)
        })
    );
    world.run(2_000);
    assert!(!world.engine(old).unwrap().status().leading);
    world.submit(quick("run-2", JobKind::Array, 2));
    ends_well(&mut world, "run-2", 60_000);
    assert_eq!(world.starts, 3, "nothing was started again");
}

/// Cancelled through another node while the leader hears nothing from the state service and
/// nobody can take over: the leader stops answering in time for the worker's lease to end.
#[test]
fn a_cancellation_reaches_tasks_whose_leader_is_cut_off() {
    let mut world = world_with(vec![quick("run-1", JobKind::Service, 1)]);
    assert!(world.run_until(60_000, |w| w.running("run-1") == 1));
    let leader = world.leader().unwrap();
    for node in (0..3).filter(|n| *n != leader) {
        world.crash(node);
    }
    world.faults.store_refuses.insert(leader);
    world.run(500);
    world.cancel("run-1");
    world.run(60_000);
    assert_eq!(world.broken, Vec::<String>::new());
    assert_eq!(world.running("run-1"), 0);
}

#[test]
fn a_cut_zone_keeps_its_work_and_hears_of_cancellations() {
    let mut one = quick("run-1", JobKind::Service, 1);
    one.zone = Some("west".into());
    let mut other = quick("run-2", JobKind::Service, 1);
    other.zone = Some("west".into());
    let mut world = world_with(vec![one, other]);
    assert!(world.run_until(60_000, |w| w.running("run-1") + w.running("run-2") == 2));
    lead_from_the_east(&mut world);
    world.faults.zones_cut = true;
    world.run(15_000);
    world.cancel("run-2");
    world.run(15_000);
    assert_eq!(world.running("run-1"), 1, "{}", world.describe());
    assert_eq!(
        world.running("run-2"),
        0,
        "a node in the zone passes the cancellation on"
    );
    world.faults.zones_cut = false;
    world.run(20_000);
    assert_eq!((world.running("run-1"), world.starts), (1, 2));
    assert_eq!(
        world.returned,
        Vec::<String>::new(),
        "nor is it returned when the cut ends"
    );
    assert_eq!(world.broken, Vec::<String>::new());
}

/// Until node 1, the only one in the west, does not lead.
fn lead_from_the_east(world: &mut World) {
    while world.leader() == Some(1) {
        world.restart(1, 10_000);
        world.run(3_000);
    }
    world.run(10_000);
}

/// Cut off from the state service as well, the node of the zone once let its workers go after half
/// of the time that it may keep them.
#[test]
fn a_zone_cut_off_from_everything_keeps_its_work_for_the_whole_grace() {
    let mut service = quick("run-1", JobKind::Service, 3);
    service.zone = Some("west".into());
    let mut world = world_with(vec![service]);
    assert!(world.run_until(60_000, |w| w.running("run-1") == 3));
    lead_from_the_east(&mut world);
    world.faults.zones_cut = true;
    world.faults.store_refuses.insert(1);
    world.run(30_000);
    assert_eq!(world.running("run-1"), 3, "{}", world.describe());
    world.faults = Default::default();
    world.run(20_000);
    assert_eq!((world.running("run-1"), world.starts), (3, 3));
    assert_eq!(world.returned, Vec::<String>::new());
    assert_eq!(world.broken, Vec::<String>::new());
}

#[test]
fn a_leader_that_has_lost_the_workers_hands_over() {
    let mut world = world_of_two_services();
    world.run(5_000);
    let (old, busy) = (world.leader().unwrap(), world.busy());
    world.faults.no_workers.insert(old);
    world.run(45_000);
    assert_ne!(world.leader(), Some(old));
    assert!(!world.returned.iter().any(|m| busy.contains(m)));
    assert_eq!(world.starts, 8);
    assert_eq!(world.broken, Vec::<String>::new());
}

#[test]
fn a_hung_machine_is_replaced_without_running_twice() {
    let mut world = world_with(vec![quick("run-1", JobKind::Service, 1)]);
    assert!(world.run_until(60_000, |w| w.running("run-1") == 1));
    let machine = world.machine_of("run-1").unwrap();
    world.faults.hung.insert(machine.clone());
    world.faults.cloud_down = true;
    world.run(60_000);
    assert_eq!(world.starts, 1, "silence alone proves nothing");
    world.faults.cloud_down = false;
    assert!(world.run_until(60_000, |w| w.running("run-1") == 1 && w.starts == 2));
    assert!(world.returned.contains(&machine));
    assert_eq!(world.broken, Vec::<String>::new());
}

#[test]
fn failing_machines_are_put_aside_and_failing_jobs_slowed_down() {
    let mut world = world_with(vec![quick("run-1", JobKind::Array, 1)]);
    ends_well(&mut world, "run-1", 60_000);
    let machine = world.workers.keys().next().unwrap().clone();
    world.faults.sick.insert(machine.clone());
    world.submit(quick("run-2", JobKind::Array, 1));
    world.submit(quick("run-3", JobKind::Array, 1));
    ends_well(&mut world, "run-2", 120_000);
    ends_well(&mut world, "run-3", 120_000);
    assert!(
        world.returned.contains(&machine),
        "the sick machine is given back"
    );
    let healthy = world.returned.len();
    world.submit(quick("run-4", JobKind::Array, 1));
    world.faults.faulty.insert("run-4".into());
    let before = world.starts;
    world.run(100_000);
    assert!(
        world.starts - before <= 10,
        "{} starts of a job that fails",
        world.starts - before
    );
    let blamed = world.returned[healthy..]
        .iter()
        .filter(|m| world.machine_of("run-4") == Some((*m).clone()));
    assert_eq!(blamed.count(), 0);
}

#[test]
fn late_and_repeated_reports_change_nothing() {
    let mut world = world_with(vec![
        quick("run-1", JobKind::Service, 2),
        quick("run-2", JobKind::Array, 2),
    ]);
    assert!(world.run_until(60_000, |w| w.running("run-1") == 2));
    let machine = world.machine_of("run-1").unwrap();
    for _ in 0..20 {
        world.repeat_heartbeats(&world.heartbeats(&machine));
        world.run(700);
    }
    assert_eq!((world.running("run-1"), world.starts), (2, 4));
    ends_well(&mut world, "run-2", 30_000);
}

#[test]
fn unknown_tasks_are_stopped_before_their_machine_is_used() {
    let mut world = world_with(vec![quick("run-1", JobKind::Service, 1)]);
    assert!(world.run_until(60_000, |w| w.running("run-1") == 1));
    let machine = world.machine_of("run-1").unwrap();
    world
        .jobs
        .insert("run-9".into(), quick("run-9", JobKind::Service, 1));
    world.plant(&machine, "run-9/0");
    world.run(8_000);
    assert_eq!(world.running("run-9"), 0);
    assert_eq!(world.running("run-1"), 1);
}

#[test]
fn team_limits_hold_under_load() {
    let jobs = (1..6)
        .map(|n| quick(&format!("run-{n}"), JobKind::Array, 6))
        .collect();
    let mut world = world_with(jobs);
    for n in 1..6 {
        ends_well(&mut world, &format!("run-{n}"), 200_000);
    }
}

#[test]
fn the_largest_array_goes_on_after_a_take_over() {
    let mut large = quick("run-1", JobKind::Array, 100_000);
    large.expected_duration_s = 0.5;
    let mut world = world_with(vec![large]);
    world.run(90_000);
    let (before, rounds) = (world.starts, world.keys("rounds/"));
    assert!(before > 40, "{before} starts");
    assert!(rounds < 20, "{rounds} open rounds");
    let leader = world.leader().unwrap();
    world.crash(leader);
    world.run(30_000);
    assert!(world.starts > before + 20);
    assert_eq!(world.broken, Vec::<String>::new());
}

/// A machine whose reports arrive, but whom no answer reaches, once counted as heard: it was
/// given work again and again, and never returned.
#[test]
fn a_deaf_machine_gets_no_work_and_is_replaced_after_proof() {
    let mut world = world_with(vec![quick("run-1", JobKind::Service, 1)]);
    assert!(world.run_until(60_000, |w| w.running("run-1") == 1));
    world.run(10_000);
    let machine = world.machine_of("run-1").unwrap();
    world.faults.deaf.insert(machine.clone());
    world.run(10_000);
    // It asked another node meanwhile: from here on it can be seen that it hears nothing.
    world.submit(quick("run-2", JobKind::Array, 3));
    assert!(
        world.run_until(60_000, |w| w.done("run-2")),
        "{}",
        world.describe()
    );
    assert!(world.run_until(30_000, |w| w.returned.contains(&machine)));
    assert!(world.run_until(60_000, |w| w.running("run-1") == 1));
    assert_eq!(world.starts, 5, "nothing was sent to it");
    assert_eq!(world.broken, Vec::<String>::new());
}

/// The same for a machine that never heard this leader, with a task on it from before.
#[test]
fn a_machine_deaf_since_a_take_over_is_replaced() {
    let mut world = world_with(vec![quick("run-1", JobKind::Service, 1)]);
    assert!(world.run_until(60_000, |w| w.running("run-1") == 1));
    let machine = world.machine_of("run-1").unwrap();
    let leader = world.leader().unwrap();
    world.crash(leader);
    world.faults.deaf.insert(machine.clone());
    assert!(world.run_until(90_000, |w| w.returned.contains(&machine)));
    assert!(world.run_until(60_000, |w| w.running("run-1") == 1));
    assert_eq!(world.broken, Vec::<String>::new());
}

/// Copies of reports, seconds to several leases old, at every node: to the leader that had them,
/// to a new one, and of a machine that is gone.
#[test]
fn late_copies_are_no_sign_of_life_and_bring_nothing_back() {
    let mut world = world_with(vec![quick("run-1", JobKind::Service, 1)]);
    assert!(world.run_until(60_000, |w| w.running("run-1") == 1));
    world.run(20_000);
    let machine = world.machine_of("run-1").unwrap();
    let heartbeats = world.heartbeats(&machine);
    world.faults.hung.insert(machine.clone());
    for _ in 0..25 {
        world.repeat_heartbeats(&heartbeats);
        world.run(1_000);
    }
    assert!(
        world.returned.contains(&machine),
        "silent in spite of the copies"
    );
    assert!(world.run_until(60_000, |w| w.running("run-1") == 1));
    let leader = world.leader().unwrap();
    world.crash(leader);
    world.run(6_000);
    world.submit(quick("run-2", JobKind::Gang, 4));
    // A machine rented at once takes 20 s to boot; the image takes 8 s, the work 10 s.
    for _ in 0..48 {
        // The new leader has never heard of that machine: its room must not be counted on.
        world.repeat_heartbeats(&heartbeats);
        world.run(1_000);
    }
    assert!(world.done("run-2"), "{}", world.describe());
    assert_eq!((world.running("run-1"), world.starts), (1, 6));
    assert_eq!(world.broken, Vec::<String>::new());
}

/// A leader without state service and peers, but with its workers: it lets them go, and its
/// successor returns none of them meanwhile.
#[test]
fn a_leader_left_with_its_workers_alone_lets_them_go() {
    let mut world = world_of_two_services();
    world.run(10_000);
    let busy = world.busy();
    let old = world.leader().unwrap();
    world.faults.store_refuses.insert(old);
    world.faults.no_peers.insert(old);
    assert!(world.run_until(8_000, |w| w.leader() != Some(old) && w.leader().is_some()));
    world.run(8_000);
    let alone = world.engine(old).unwrap().status();
    assert!(!alone.leading, "it has given up within half of the grace");
    assert!(!alone.ready, "users are served elsewhere");
    world.cancel("run-2");
    world.run(12_000);
    assert_eq!((world.running("run-1"), world.running("run-2")), (4, 0));
    assert!(!world.returned.iter().any(|m| busy.contains(m)));
    assert_eq!(world.starts, 8);
    assert_eq!(world.broken, Vec::<String>::new());
    // A follower in the same state keeps nobody either.
    let follower = (0..3)
        .find(|n| *n != old && Some(*n) != world.leader())
        .unwrap();
    world.faults = Default::default();
    world.run(10_000);
    world.faults.store_refuses.insert(follower);
    world.faults.no_peers.insert(follower);
    world.run(20_000);
    assert!(!world.engine(follower).unwrap().status().ready);
    assert_eq!((world.running("run-1"), world.starts), (4, 8));
}

/// While connections between nodes were refused, followers stood in for a leader that was well,
/// kept the machines that came up, and had them taken for dead.
#[test]
fn peers_that_refuse_connections_keep_no_worker_from_its_leader() {
    let mut world = world_with(vec![quick("run-1", JobKind::Service, 1)]);
    assert!(world.run_until(60_000, |w| w.running("run-1") == 1));
    let (leader, term) = (world.leader(), world.term());
    world.faults.no_peers.extend([0, 1, 2]);
    world.run(5_000);
    // It needs a machine that is not there yet, and whose worker begins with a follower.
    world.first_node = leader.map(|l| (l + 1) % 3);
    world.submit(quick("run-2", JobKind::Gang, 7));
    ends_well(&mut world, "run-2", 60_000);
    world.run(30_000);
    assert_eq!((world.leader(), world.term()), (leader, term));
    assert_eq!((world.running("run-1"), world.starts), (1, 8));
}

/// Back at once, in the middle of its own commits and elections: what the predecessor sent is
/// still carried out after that.
#[test]
fn nodes_back_at_once_break_nothing_whatever_they_left_under_way() {
    for (delay, pause) in [(40, 30), (250, 100), (600, 400)] {
        for at in [500, 2_300, 21_900, 24_700, 31_000, 35_500] {
            let mut world = world_with(vec![
                quick("run-1", JobKind::Array, 5),
                quick("run-2", JobKind::Gang, 2),
            ]);
            world.faults.store_delay = delay;
            world.run(at);
            // All three, then each again, one after the other, in the middle of the election.
            for round in 0..2 {
                for node in 0..3 {
                    world.crash(node);
                    if round == 1 {
                        world.run(pause);
                        world.start(node);
                        world.run(pause);
                    }
                }
                world.run(pause);
                for node in 0..3 {
                    if world.engine(node).is_none() {
                        world.start(node);
                    }
                }
                world.run(pause * 3);
            }
            ends_well(&mut world, "run-1", 200_000);
            ends_well(&mut world, "run-2", 200_000);
            assert!(
                world.starts <= 14,
                "delay {delay}, at {at}: {}",
                world.starts
            );
        }
    }
}

/// A worker that restarts before anyone has missed it: a new session at the same address.
#[test]
fn a_worker_back_at_once_has_lost_its_tasks_and_gets_them_again() {
    let mut world = world_with(vec![quick("run-1", JobKind::Service, 3)]);
    assert!(world.run_until(60_000, |w| w.running("run-1") == 3));
    world.run(5_000);
    let machine = world.machine_of("run-1").unwrap();
    let old = world.heartbeats(&machine);
    world.restart_worker(&machine);
    world.repeat_heartbeats(&old);
    assert!(world.run_until(40_000, |w| w.running("run-1") == 3));
    assert_eq!((world.starts, world.returned.len()), (6, 0));
    assert_eq!(world.broken, Vec::<String>::new());
}

/// Sixteen whole machines in one zone, that has hardly more, under a stream of small work that
/// would take each machine as it comes free, and across a take-over.
#[test]
fn the_largest_gang_begins_within_four_minutes_under_a_stream_of_small_work() {
    let mut world = World::new(3, 400.0);
    world.faults.capacity = Some(18);
    world.run(2_000);
    let mut small = 0;
    let mut feed = |world: &mut World, ms: u64| {
        for _ in 0..ms / 1_000 {
            for _ in 0..2 {
                small += 1;
                let mut job = quick(&format!("run-{small}"), JobKind::Array, 2);
                job.expected_duration_s = 20.0;
                world.submit(job);
            }
            world.run(1_000);
        }
    };
    feed(&mut world, 60_000);
    let mut large = quick("run-gang", JobKind::Gang, 16);
    (large.gpus, large.single_zone) = (4.0, true);
    (large.cpus, large.memory_gb) = (16.0, 64.0);
    world.submit(large);
    feed(&mut world, 60_000);
    let leader = world.leader().unwrap();
    world.crash(leader);
    feed(&mut world, 20_000);
    world.start(leader);
    feed(&mut world, 160_000);
    assert!(
        world.done("run-gang") || world.running("run-gang") == 16,
        "{}",
        world.describe()
    );
    assert_eq!(world.broken, Vec::<String>::new());
}

/// Starts once waited for the machine's next report, on average half an interval.
#[test]
fn a_written_start_is_fetched_at_once() {
    let mut world = world_with(vec![quick("run-1", JobKind::Service, 1)]);
    assert!(world.run_until(60_000, |w| w.running("run-1") == 1));
    for n in 2..7 {
        // At various times within a report's interval; not more often than a worker reports so.
        world.run(9_000 + 500 * n);
        let id = format!("run-{n}");
        world.submit(quick(&id, JobKind::Service, 1));
        let before = world.starts;
        assert!(
            world.run_until(800, |w| w.starts > before),
            "{id} still waits after 0.8 s"
        );
        world.cancel(&id);
    }
    assert_eq!(world.broken, Vec::<String>::new());
}

/// Machines that came up while a round was being planned for others once lost one report's
/// interval each before they had anything to do.
#[test]
fn machines_that_come_up_together_all_get_work_at_once() {
    let mut world = World::new(3, 40.0);
    world.run(2_000);
    for n in 0..10 {
        let mut job = quick(&format!("run-{n}"), JobKind::Array, 4);
        job.expected_duration_s = 300.0;
        world.submit(job);
    }
    assert!(world.run_until(60_000, |w| w.starts > 0));
    // The first is rented for at once, the others a second later: less than a report's interval.
    world.run(2_000);
    assert_eq!((world.workers.len(), world.starts), (10, 40));
}

/// With the cloud out of reach since its start a node knows no machine types; it once was not
/// ready for as long, and no question was answered.
#[test]
fn questions_are_answered_although_the_machine_types_are_not_known() {
    let mut world = World::new(3, 8.0);
    world.faults.cloud_down = true;
    world.run(5_000);
    assert!((0..3).all(|n| !world.engine(n).unwrap().status().ready));
    world.run(10_000);
    assert!((0..3).all(|n| world.engine(n).unwrap().status().ready));
    world.faults.cloud_down = false;
    world.run(5_000);
    world.submit(quick("run-1", JobKind::Array, 1));
    ends_well(&mut world, "run-1", 60_000);
}

/// The largest array of the lowest priority, and a large service, with less capacity than urgent
/// work alone asks for.
#[test]
fn the_largest_array_and_service_begin_within_four_minutes_under_urgent_work() {
    let mut world = World::new(3, 400.0);
    world.faults.capacity = Some(4);
    world.run(2_000);
    let mut array = quick("run-array", JobKind::Array, 150);
    array.priority = Priority::Low;
    let mut service = quick("run-service", JobKind::Service, 8);
    (service.priority, service.spread_zones) = (Priority::Normal, true);
    let mut urgent = 0;
    for second in 0..340 {
        // Twice what the eight machines can do.
        for _ in 0..2 {
            urgent += 1;
            let mut job = quick(&format!("run-{urgent}"), JobKind::Array, 2);
            (job.priority, job.expected_duration_s) = (Priority::High, 16.0);
            world.submit(job);
        }
        if second == 100 {
            world.submit(array.clone());
            world.submit(service.clone());
        }
        world.run(1_000);
    }
    // Each start counts: nobody is stopped within 30 s of it. Later ones may be, for urgent work.
    for id in ["run-array", "run-service"] {
        assert!(world.begun.contains(id), "{id}: {}", world.describe());
    }
    assert_eq!(world.broken, Vec::<String>::new());
}

/// The jobs of a pass were once cut to as many as a round may name: behind that many for which
/// there was no room, nothing was placed.
#[test]
fn a_head_of_jobs_without_room_stops_nobody_behind_it() {
    let mut world = World::new(3, 400.0);
    world.faults.capacity = Some(1);
    world.run(2_000);
    for n in 0..130 {
        let mut gang = quick(&format!("run-1{n}"), JobKind::Gang, 16);
        (gang.gpus, gang.priority) = (4.0, Priority::High);
        world.submit(gang);
    }
    let mut low = quick("run-2", JobKind::Array, 4);
    low.priority = Priority::Low;
    world.submit(low);
    ends_well(&mut world, "run-2", 60_000);
}

/// A gang that needs more starts than one record holds was once accepted and never placed.
#[test]
fn the_starts_of_a_large_gang_are_written_in_several_records_as_one() {
    for lose_every in [0, 2] {
        let mut world = World::new(3, 400.0);
        let mut gang = quick("run-1", JobKind::Gang, 300);
        gang.expected_duration_s = 60.0;
        world.run(2_000);
        world.submit(gang);
        world.faults.lose_every = lose_every;
        assert!(world.run_until(60_000, |w| w.keys("rounds/") > 2));
        assert_eq!(world.term(), 1);
        let leader = world.leader().unwrap();
        world.crash(leader);
        ends_well(&mut world, "run-1", 180_000);
        assert_eq!(world.starts, 300);
        world.faults.lose_every = 0;
        assert!(world.run_until(10_000, |w| w.keys("rounds/") == 0));
    }
}

/// Once all controllers had been restarted, every machine was taken to be as young as the new
/// process: hundreds stood idle for another minute after each restart.
#[test]
fn idle_machines_are_returned_soon_after_a_restart() {
    let mut world = world_with(vec![
        quick("run-1", JobKind::Array, 8),
        quick("run-2", JobKind::Service, 1),
    ]);
    ends_well(&mut world, "run-1", 60_000);
    for node in 0..3 {
        world.crash(node);
    }
    for node in 0..3 {
        world.start(node);
    }
    assert!(world.run_until(10_000, |w| w.leader().is_some()));
    assert!(world.workers.len() > 1);
    let soon = 30_000 + 10_000;
    assert!(
        world.run_until(soon, |w| w.workers.len() == 1),
        "{}",
        world.describe()
    );
    assert_eq!(world.running("run-2"), 1);
}

/// Each leader ends after nine seconds, and one machine is dead: none of them ever rented, since
/// each waited longer than it lived for the last machine to report.
#[test]
fn leaders_that_end_one_after_the_other_still_rent() {
    let mut world = World::new(3, 400.0);
    world.run(2_000);
    world.submit(quick("run-1", JobKind::Service, 20));
    assert!(world.run_until(60_000, |w| w.running("run-1") == 20));
    // Long enough for none of the machines to be taken for booting.
    world.run(30_000);
    let dead = world.machine_of("run-1").unwrap();
    world.faults.hung.insert(dead);
    for round in 0..8 {
        let leader = world.leader().unwrap();
        world.crash(leader);
        if round == 1 {
            // More whole machines than are kept for what is expected.
            let mut gang = quick("run-2", JobKind::Gang, 10);
            (gang.gpus, gang.cpus, gang.memory_gb) = (4.0, 16.0, 64.0);
            world.submit(gang);
        }
        world.run(100);
        world.start(leader);
        world.run(8_900);
    }
    assert!(world.begun.contains("run-2"), "{}", world.describe());
    assert_eq!(world.broken, Vec::<String>::new());
}

/// When the work beside them had ended, services stood on half-empty machines until the end of the
/// day: each machine kept the next one's replicas company.
#[test]
fn half_empty_machines_of_services_are_joined_and_one_is_returned() {
    let mut world = world_with(vec![
        quick("run-1", JobKind::Service, 2),
        quick("run-2", JobKind::Service, 2),
    ]);
    assert!(world.run_until(60_000, |w| w.running("run-1") + w.running("run-2") == 4));
    world.submit(quick("run-3", JobKind::Service, 2));
    assert!(world.run_until(60_000, |w| w.running("run-3") == 2));
    assert_eq!(world.workers.len(), 2);
    world.cancel("run-1");
    let joined = world.run_until(150_000, |w| w.workers.len() == 1);
    assert!(joined, "{}", world.describe());
    let both = |w: &World| w.running("run-2") + w.running("run-3") == 4;
    assert!(world.run_until(10_000, both), "{}", world.describe());
    assert_eq!(world.broken, Vec::<String>::new());
}

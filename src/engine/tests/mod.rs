//! The engine in a scripted cluster, under a fake clock.

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
mod simulated_cluster;
mod stored;

use crate::constants;
use crate::wire::user::{JobKind, JobState, JobSubmission, Priority, tests::job};
use simulated_cluster::SimulatedCluster;

fn short_job(id: &str, kind: JobKind, tasks: u64) -> JobSubmission {
    let mut job = job(id, kind, tasks);
    job.expected_duration_s = if kind == JobKind::Service { 0.0 } else { 10.0 };
    job
}

fn cluster_with(jobs: Vec<JobSubmission>) -> SimulatedCluster {
    // LOG_LEVEL-like output of the engines, for whoever looks into a failure: run with --nocapture.
    let _ = tracing_subscriber::fmt().with_test_writer().try_init();
    let mut cluster = SimulatedCluster::new(3, 8.0);
    cluster.run(2000);
    for job in jobs {
        cluster.submit(job);
    }
    cluster
}

/// All eight replicas run, on machines of both zones.
fn cluster_with_two_services() -> SimulatedCluster {
    let mut jobs = vec![
        short_job("run-1", JobKind::Service, 4),
        short_job("run-2", JobKind::Service, 4),
    ];
    jobs[1].spread_zones = true;
    let mut cluster = cluster_with(jobs);
    assert!(cluster.run_until(60_000, |w| w.running_tasks("run-1")
        + w.running_tasks("run-2")
        == 8));
    cluster
}

#[track_caller]
fn assert_completes(cluster: &mut SimulatedCluster, id: &str, most_ms: u64) {
    let done = cluster.run_until(most_ms, |w| w.is_done(id));
    assert!(
        done,
        "{id} is not done at {}:\n{}",
        cluster.now,
        cluster.describe()
    );
    assert_eq!(cluster.violations, Vec::<String>::new());
}

#[test]
fn jobs_of_each_kind_complete_and_leave_no_records() {
    let mut cluster = cluster_with(vec![
        short_job("run-1", JobKind::Array, 5),
        short_job("run-2", JobKind::Gang, 2),
        short_job("run-3", JobKind::Service, 1),
    ]);
    assert_completes(&mut cluster, "run-1", 120_000);
    assert_completes(&mut cluster, "run-2", 120_000);
    assert_eq!(cluster.running_tasks("run-3"), 1);
    cluster.cancel("run-3");
    assert!(
        cluster.run_until(2_000, |w| w.running_tasks("run-3") == 0),
        "stopped at once"
    );
    assert!(
        cluster.run_until(150_000, |w| w.workers.is_empty()),
        "idle machines are returned"
    );
    assert_eq!(cluster.final_state("run-3"), Some(JobState::Cancelled));
    for prefix in ["rounds/", "work/", "live/job/"] {
        assert_eq!(cluster.count_keys(prefix), 0, "{prefix}");
    }
}

#[test]
fn leader_crash_at_any_step_of_a_round_loses_no_work() {
    // From before the start is planned until after its end is written.
    for crash_at in (20_000..52_000).step_by(370) {
        let mut cluster = cluster_with(vec![
            short_job("run-1", JobKind::Array, 6),
            short_job("run-2", JobKind::Gang, 2),
        ]);
        cluster.run(crash_at);
        if let Some(leader) = cluster.leader() {
            cluster.restart(leader, 4000);
        }
        assert_completes(&mut cluster, "run-1", 150_000);
        assert_completes(&mut cluster, "run-2", 150_000);
        assert!(
            cluster.starts <= 8,
            "crash at {crash_at}: work was done again"
        );
    }
}

#[test]
fn crash_of_all_nodes_loses_no_job() {
    for (at, pause) in [(1_500, 300), (24_000, 4_000), (31_000, 4_000)] {
        let mut cluster = cluster_with(vec![short_job("run-1", JobKind::Array, 4)]);
        cluster.run(at);
        for node in 0..3 {
            cluster.crash(node);
        }
        cluster.run(pause);
        for node in 0..3 {
            cluster.start(node);
        }
        assert_completes(&mut cluster, "run-1", 150_000);
    }
}

/// A new leader once took every machine's age from the list and returned the whole fleet as
/// never up.
#[test]
fn failover_returns_no_busy_machine() {
    let mut cluster = cluster_with(vec![short_job("run-1", JobKind::Service, 1)]);
    assert!(cluster.run_until(60_000, |w| w.running_tasks("run-1") == 1));
    cluster.run(120_000);
    let leader = cluster.leader().unwrap();
    cluster.crash(leader);
    cluster.run(30_000);
    assert_eq!(cluster.returned_machines, Vec::<String>::new());
    assert_eq!((cluster.running_tasks("run-1"), cluster.starts), (1, 1));
}

/// A new leader once rented a whole fleet again, because the machines had not reported to it.
#[test]
fn failover_with_queued_jobs_rents_no_duplicate_machines() {
    let mut first = short_job("run-1", JobKind::Array, 4);
    first.expected_duration_s = 400.0;
    let mut cluster = cluster_with(vec![first]);
    assert!(cluster.run_until(60_000, |w| w.running_tasks("run-1") == 4));
    cluster.submit(short_job("run-2", JobKind::Array, 4));
    assert_completes(&mut cluster, "run-2", 60_000);
    cluster.run(15_000);
    let machines = cluster.workers.len() + cluster.returned_machines.len();
    let leader = cluster.leader().unwrap();
    cluster.crash(leader);
    cluster.submit(short_job("run-3", JobKind::Array, 4));
    assert_completes(&mut cluster, "run-3", 60_000);
    assert_eq!(
        cluster.workers.len() + cluster.returned_machines.len(),
        machines
    );
}

#[test]
fn commits_without_a_reply_are_resolved() {
    for every in 2..5 {
        let mut cluster = cluster_with(vec![
            short_job("run-1", JobKind::Array, 6),
            short_job("run-2", JobKind::Gang, 3),
        ]);
        cluster.faults.lose_commit_reply_every = every;
        assert_completes(&mut cluster, "run-1", 240_000);
        assert_completes(&mut cluster, "run-2", 240_000);
    }
}

#[test]
fn state_service_outage_stops_starts_but_not_running_tasks() {
    let mut cluster = cluster_with(vec![short_job("run-1", JobKind::Service, 1)]);
    assert!(cluster.run_until(60_000, |w| w.running_tasks("run-1") == 1));
    cluster.submit(short_job("run-2", JobKind::Array, 1));
    cluster.faults.store_unavailable = true;
    cluster.run(15_000);
    assert_eq!(cluster.starts, 1, "nothing is started in doubt");
    assert_eq!(cluster.running_tasks("run-1"), 1, "what runs goes on");
    cluster.faults.store_unavailable = false;
    assert_completes(&mut cluster, "run-2", 60_000);
    assert_eq!(cluster.running_tasks("run-1"), 1);
}

#[test]
fn leader_refused_by_the_state_service_is_replaced() {
    let mut cluster = cluster_with(vec![short_job("run-1", JobKind::Service, 1)]);
    assert!(cluster.run_until(60_000, |w| w.running_tasks("run-1") == 1));
    let old = cluster.leader().unwrap();
    cluster.faults.store_refuses.insert(old);
    assert!(cluster.run_until(2 * constants::LEASE_TTL_MS, |w| {
        w.leader().is_some_and(|l| l != old)
    }));
    cluster.run(2_000);
    assert!(!cluster.engine(old).unwrap().view().leading);
    cluster.submit(short_job("run-2", JobKind::Array, 2));
    assert_completes(&mut cluster, "run-2", 60_000);
    assert_eq!(cluster.starts, 3, "nothing was started again");
}

/// Cancelled through another node while the leader hears nothing from the state service and
/// nobody can take over: the leader stops answering in time for the worker's lease to end.
#[test]
fn cancellation_stops_tasks_of_an_isolated_leader() {
    let mut cluster = cluster_with(vec![short_job("run-1", JobKind::Service, 1)]);
    assert!(cluster.run_until(60_000, |w| w.running_tasks("run-1") == 1));
    let leader = cluster.leader().unwrap();
    for node in (0..3).filter(|n| *n != leader) {
        cluster.crash(node);
    }
    cluster.faults.store_refuses.insert(leader);
    cluster.run(500);
    cluster.cancel("run-1");
    cluster.run(60_000);
    assert_eq!(cluster.violations, Vec::<String>::new());
    assert_eq!(cluster.running_tasks("run-1"), 0);
}

#[test]
fn partitioned_zone_keeps_tasks_and_receives_cancellations() {
    let mut one = short_job("run-1", JobKind::Service, 1);
    one.zone = Some("west".into());
    let mut other = short_job("run-2", JobKind::Service, 1);
    other.zone = Some("west".into());
    let mut cluster = cluster_with(vec![one, other]);
    assert!(cluster.run_until(60_000, |w| w.running_tasks("run-1")
        + w.running_tasks("run-2")
        == 2));
    move_leadership_east(&mut cluster);
    cluster.faults.zones_partitioned = true;
    cluster.run(15_000);
    cluster.cancel("run-2");
    cluster.run(15_000);
    assert_eq!(cluster.running_tasks("run-1"), 1, "{}", cluster.describe());
    assert_eq!(
        cluster.running_tasks("run-2"),
        0,
        "a node in the zone passes the cancellation on"
    );
    cluster.faults.zones_partitioned = false;
    cluster.run(20_000);
    assert_eq!((cluster.running_tasks("run-1"), cluster.starts), (1, 2));
    assert_eq!(
        cluster.returned_machines,
        Vec::<String>::new(),
        "nor is it returned when the cut ends"
    );
    assert_eq!(cluster.violations, Vec::<String>::new());
}

/// Until node 1, the only one in the west, does not lead.
fn move_leadership_east(cluster: &mut SimulatedCluster) {
    while cluster.leader() == Some(1) {
        cluster.restart(1, 10_000);
        cluster.run(3_000);
    }
    cluster.run(10_000);
}

/// Cut off from the state service as well, the node of the zone once let its workers go after half
/// of the time that it may keep them.
#[test]
fn isolated_zone_keeps_tasks_for_the_whole_grace_period() {
    let mut service = short_job("run-1", JobKind::Service, 3);
    service.zone = Some("west".into());
    let mut cluster = cluster_with(vec![service]);
    assert!(cluster.run_until(60_000, |w| w.running_tasks("run-1") == 3));
    move_leadership_east(&mut cluster);
    cluster.faults.zones_partitioned = true;
    cluster.faults.store_refuses.insert(1);
    cluster.run(30_000);
    assert_eq!(cluster.running_tasks("run-1"), 3, "{}", cluster.describe());
    cluster.faults = Default::default();
    cluster.run(20_000);
    assert_eq!((cluster.running_tasks("run-1"), cluster.starts), (3, 3));
    assert_eq!(cluster.returned_machines, Vec::<String>::new());
    assert_eq!(cluster.violations, Vec::<String>::new());
}

#[test]
fn leader_without_workers_transfers_leadership() {
    let mut cluster = cluster_with_two_services();
    cluster.run(5_000);
    let (old, busy) = (cluster.leader().unwrap(), cluster.busy_machines());
    cluster.faults.nodes_without_workers.insert(old);
    cluster.run(45_000);
    assert_ne!(cluster.leader(), Some(old));
    assert!(!cluster.returned_machines.iter().any(|m| busy.contains(m)));
    assert_eq!(cluster.starts, 8);
    assert_eq!(cluster.violations, Vec::<String>::new());
}

#[test]
fn hung_machine_is_replaced_without_duplicate_tasks() {
    let mut cluster = cluster_with(vec![short_job("run-1", JobKind::Service, 1)]);
    assert!(cluster.run_until(60_000, |w| w.running_tasks("run-1") == 1));
    let machine = cluster.machine_of("run-1").unwrap();
    cluster.faults.hung_machines.insert(machine.clone());
    cluster.faults.cloud_unavailable = true;
    cluster.run(60_000);
    assert_eq!(cluster.starts, 1, "silence alone proves nothing");
    cluster.faults.cloud_unavailable = false;
    assert!(cluster.run_until(60_000, |w| w.running_tasks("run-1") == 1 && w.starts == 2));
    assert!(cluster.returned_machines.contains(&machine));
    assert_eq!(cluster.violations, Vec::<String>::new());
}

#[test]
fn failing_machines_are_quarantined_and_failing_jobs_back_off() {
    let mut cluster = cluster_with(vec![short_job("run-1", JobKind::Array, 1)]);
    assert_completes(&mut cluster, "run-1", 60_000);
    let machine = cluster.workers.keys().next().unwrap().clone();
    cluster.faults.failing_machines.insert(machine.clone());
    cluster.submit(short_job("run-2", JobKind::Array, 1));
    cluster.submit(short_job("run-3", JobKind::Array, 1));
    assert_completes(&mut cluster, "run-2", 120_000);
    assert_completes(&mut cluster, "run-3", 120_000);
    assert!(
        cluster.returned_machines.contains(&machine),
        "the sick machine is given back"
    );
    let healthy = cluster.returned_machines.len();
    cluster.submit(short_job("run-4", JobKind::Array, 1));
    cluster.faults.failing_jobs.insert("run-4".into());
    let before = cluster.starts;
    cluster.run(100_000);
    assert!(
        cluster.starts - before <= 10,
        "{} starts of a job that fails",
        cluster.starts - before
    );
    let blamed = cluster.returned_machines[healthy..]
        .iter()
        .filter(|m| cluster.machine_of("run-4") == Some((*m).clone()));
    assert_eq!(blamed.count(), 0);
}

#[test]
fn duplicate_heartbeats_change_nothing() {
    let mut cluster = cluster_with(vec![
        short_job("run-1", JobKind::Service, 2),
        short_job("run-2", JobKind::Array, 2),
    ]);
    assert!(cluster.run_until(60_000, |w| w.running_tasks("run-1") == 2));
    let machine = cluster.machine_of("run-1").unwrap();
    for _ in 0..20 {
        cluster.redeliver_heartbeats(&cluster.heartbeats_of(&machine));
        cluster.run(700);
    }
    assert_eq!((cluster.running_tasks("run-1"), cluster.starts), (2, 4));
    assert_completes(&mut cluster, "run-2", 30_000);
}

#[test]
fn unknown_tasks_are_stopped() {
    let mut cluster = cluster_with(vec![short_job("run-1", JobKind::Service, 1)]);
    assert!(cluster.run_until(60_000, |w| w.running_tasks("run-1") == 1));
    let machine = cluster.machine_of("run-1").unwrap();
    cluster
        .jobs
        .insert("run-9".into(), short_job("run-9", JobKind::Service, 1));
    cluster.inject_task(&machine, "run-9/0");
    cluster.run(8_000);
    assert_eq!(cluster.running_tasks("run-9"), 0);
    assert_eq!(cluster.running_tasks("run-1"), 1);
}

#[test]
fn team_quotas_hold_under_load() {
    let jobs = (1..6)
        .map(|n| short_job(&format!("run-{n}"), JobKind::Array, 6))
        .collect();
    let mut cluster = cluster_with(jobs);
    for n in 1..6 {
        assert_completes(&mut cluster, &format!("run-{n}"), 200_000);
    }
}

#[test]
fn largest_array_continues_after_a_failover() {
    let mut large = short_job("run-1", JobKind::Array, 100_000);
    large.expected_duration_s = 0.5;
    let mut cluster = cluster_with(vec![large]);
    cluster.run(90_000);
    let (before, rounds) = (cluster.starts, cluster.count_keys("rounds/"));
    assert!(before > 40, "{before} starts");
    assert!(rounds < 20, "{rounds} open rounds");
    let leader = cluster.leader().unwrap();
    cluster.crash(leader);
    cluster.run(30_000);
    assert!(cluster.starts > before + 20);
    assert_eq!(cluster.violations, Vec::<String>::new());
}

/// A machine whose reports arrive, but whom no answer reaches, once counted as heard: it was
/// given work again and again, and never returned.
#[test]
fn machine_without_replies_gets_no_tasks_and_is_replaced_once_returned() {
    let mut cluster = cluster_with(vec![short_job("run-1", JobKind::Service, 1)]);
    assert!(cluster.run_until(60_000, |w| w.running_tasks("run-1") == 1));
    cluster.run(10_000);
    let machine = cluster.machine_of("run-1").unwrap();
    cluster
        .faults
        .machines_without_replies
        .insert(machine.clone());
    cluster.run(10_000);
    // It asked another node meanwhile: from here on it can be seen that it hears nothing.
    cluster.submit(short_job("run-2", JobKind::Array, 3));
    assert!(
        cluster.run_until(60_000, |w| w.is_done("run-2")),
        "{}",
        cluster.describe()
    );
    assert!(cluster.run_until(30_000, |w| w.returned_machines.contains(&machine)));
    assert!(cluster.run_until(60_000, |w| w.running_tasks("run-1") == 1));
    assert_eq!(cluster.starts, 5, "nothing was sent to it");
    assert_eq!(cluster.violations, Vec::<String>::new());
}

/// The same for a machine that never heard this leader, with a task on it from before.
#[test]
fn machine_without_replies_since_a_failover_is_replaced() {
    let mut cluster = cluster_with(vec![short_job("run-1", JobKind::Service, 1)]);
    assert!(cluster.run_until(60_000, |w| w.running_tasks("run-1") == 1));
    let machine = cluster.machine_of("run-1").unwrap();
    let leader = cluster.leader().unwrap();
    cluster.crash(leader);
    cluster
        .faults
        .machines_without_replies
        .insert(machine.clone());
    assert!(cluster.run_until(90_000, |w| w.returned_machines.contains(&machine)));
    assert!(cluster.run_until(60_000, |w| w.running_tasks("run-1") == 1));
    assert_eq!(cluster.violations, Vec::<String>::new());
}

/// Copies of reports, seconds to several leases old, at every node: to the leader that had them,
/// to a new one, and of a machine that is gone.
#[test]
fn stale_heartbeats_neither_keep_nor_restore_a_machine() {
    let mut cluster = cluster_with(vec![short_job("run-1", JobKind::Service, 1)]);
    assert!(cluster.run_until(60_000, |w| w.running_tasks("run-1") == 1));
    cluster.run(20_000);
    let machine = cluster.machine_of("run-1").unwrap();
    let heartbeats = cluster.heartbeats_of(&machine);
    cluster.faults.hung_machines.insert(machine.clone());
    for _ in 0..25 {
        cluster.redeliver_heartbeats(&heartbeats);
        cluster.run(1_000);
    }
    assert!(
        cluster.returned_machines.contains(&machine),
        "silent in spite of the copies"
    );
    assert!(cluster.run_until(60_000, |w| w.running_tasks("run-1") == 1));
    let leader = cluster.leader().unwrap();
    cluster.crash(leader);
    cluster.run(6_000);
    cluster.submit(short_job("run-2", JobKind::Gang, 4));
    // A machine rented at once takes 20 s to boot; the image takes 8 s, the work 10 s.
    for _ in 0..48 {
        // The new leader has never heard of that machine: its room must not be counted on.
        cluster.redeliver_heartbeats(&heartbeats);
        cluster.run(1_000);
    }
    assert!(cluster.is_done("run-2"), "{}", cluster.describe());
    assert_eq!((cluster.running_tasks("run-1"), cluster.starts), (1, 6));
    assert_eq!(cluster.violations, Vec::<String>::new());
}

/// A leader without state service and peers, but with its workers: it lets them go, and its
/// successor returns none of them meanwhile.
#[test]
fn leader_isolated_with_its_workers_gives_up_leadership() {
    let mut cluster = cluster_with_two_services();
    cluster.run(10_000);
    let busy = cluster.busy_machines();
    let old = cluster.leader().unwrap();
    cluster.faults.store_refuses.insert(old);
    cluster.faults.nodes_without_peers.insert(old);
    assert!(cluster.run_until(8_000, |w| w.leader() != Some(old) && w.leader().is_some()));
    cluster.run(8_000);
    let alone = cluster.engine(old).unwrap().view();
    assert!(!alone.leading, "it has given up within half of the grace");
    assert!(!alone.ready, "users are served elsewhere");
    cluster.cancel("run-2");
    cluster.run(12_000);
    assert_eq!(
        (
            cluster.running_tasks("run-1"),
            cluster.running_tasks("run-2")
        ),
        (4, 0)
    );
    assert!(!cluster.returned_machines.iter().any(|m| busy.contains(m)));
    assert_eq!(cluster.starts, 8);
    assert_eq!(cluster.violations, Vec::<String>::new());
    // A follower in the same state keeps nobody either.
    let follower = (0..3)
        .find(|n| *n != old && Some(*n) != cluster.leader())
        .unwrap();
    cluster.faults = Default::default();
    cluster.run(10_000);
    cluster.faults.store_refuses.insert(follower);
    cluster.faults.nodes_without_peers.insert(follower);
    cluster.run(20_000);
    assert!(!cluster.engine(follower).unwrap().view().ready);
    assert_eq!((cluster.running_tasks("run-1"), cluster.starts), (4, 8));
}

/// While connections between nodes were refused, followers stood in for a leader that was well,
/// kept the machines that came up, and had them taken for dead.
#[test]
fn unreachable_peers_do_not_keep_workers_from_the_leader() {
    let mut cluster = cluster_with(vec![short_job("run-1", JobKind::Service, 1)]);
    assert!(cluster.run_until(60_000, |w| w.running_tasks("run-1") == 1));
    let (leader, term) = (cluster.leader(), cluster.term());
    cluster.faults.nodes_without_peers.extend([0, 1, 2]);
    cluster.run(5_000);
    // It needs a machine that is not there yet, and whose worker begins with a follower.
    cluster.initial_node = leader.map(|l| (l + 1) % 3);
    cluster.submit(short_job("run-2", JobKind::Gang, 7));
    assert_completes(&mut cluster, "run-2", 60_000);
    cluster.run(30_000);
    assert_eq!((cluster.leader(), cluster.term()), (leader, term));
    assert_eq!((cluster.running_tasks("run-1"), cluster.starts), (1, 8));
}

/// Back at once, in the middle of its own commits and elections: what the predecessor sent is
/// still carried out after that.
#[test]
fn immediate_restarts_tolerate_calls_in_flight() {
    for (delay, pause) in [(40, 30), (250, 100), (600, 400)] {
        for at in [500, 2_300, 21_900, 24_700, 31_000, 35_500] {
            let mut cluster = cluster_with(vec![
                short_job("run-1", JobKind::Array, 5),
                short_job("run-2", JobKind::Gang, 2),
            ]);
            cluster.faults.store_delay = delay;
            cluster.run(at);
            // All three, then each again, one after the other, in the middle of the election.
            for round in 0..2 {
                for node in 0..3 {
                    cluster.crash(node);
                    if round == 1 {
                        cluster.run(pause);
                        cluster.start(node);
                        cluster.run(pause);
                    }
                }
                cluster.run(pause);
                for node in 0..3 {
                    if cluster.engine(node).is_none() {
                        cluster.start(node);
                    }
                }
                cluster.run(pause * 3);
            }
            assert_completes(&mut cluster, "run-1", 200_000);
            assert_completes(&mut cluster, "run-2", 200_000);
            assert!(
                cluster.starts <= 14,
                "delay {delay}, at {at}: {}",
                cluster.starts
            );
        }
    }
}

/// A worker that restarts before anyone has missed it: a new session at the same address.
#[test]
fn restarted_worker_gets_its_tasks_again() {
    let mut cluster = cluster_with(vec![short_job("run-1", JobKind::Service, 3)]);
    assert!(cluster.run_until(60_000, |w| w.running_tasks("run-1") == 3));
    cluster.run(5_000);
    let machine = cluster.machine_of("run-1").unwrap();
    let old = cluster.heartbeats_of(&machine);
    cluster.restart_worker(&machine);
    cluster.redeliver_heartbeats(&old);
    assert!(cluster.run_until(40_000, |w| w.running_tasks("run-1") == 3));
    assert_eq!((cluster.starts, cluster.returned_machines.len()), (6, 0));
    assert_eq!(cluster.violations, Vec::<String>::new());
}

/// Sixteen whole machines in one zone, that has hardly more, under a stream of small work that
/// would take each machine as it comes free, and across a take-over.
#[test]
fn largest_gang_starts_within_four_minutes_beside_small_jobs() {
    let mut cluster = SimulatedCluster::new(3, 400.0);
    cluster.faults.zone_capacity = Some(18);
    cluster.run(2_000);
    let mut small = 0;
    let mut feed = |cluster: &mut SimulatedCluster, ms: u64| {
        for _ in 0..ms / 1_000 {
            for _ in 0..2 {
                small += 1;
                let mut job = short_job(&format!("run-{small}"), JobKind::Array, 2);
                job.expected_duration_s = 20.0;
                cluster.submit(job);
            }
            cluster.run(1_000);
        }
    };
    feed(&mut cluster, 60_000);
    let mut large = short_job("run-gang", JobKind::Gang, 16);
    (large.gpus, large.single_zone) = (4.0, true);
    (large.cpus, large.memory_gb) = (16.0, 64.0);
    cluster.submit(large);
    feed(&mut cluster, 60_000);
    let leader = cluster.leader().unwrap();
    cluster.crash(leader);
    feed(&mut cluster, 20_000);
    cluster.start(leader);
    feed(&mut cluster, 160_000);
    assert!(
        cluster.is_done("run-gang") || cluster.running_tasks("run-gang") == 16,
        "{}",
        cluster.describe()
    );
    assert_eq!(cluster.violations, Vec::<String>::new());
}

/// Starts once waited for the machine's next report, on average half an interval.
#[test]
fn durable_start_is_delivered_without_waiting_for_a_heartbeat() {
    let mut cluster = cluster_with(vec![short_job("run-1", JobKind::Service, 1)]);
    assert!(cluster.run_until(60_000, |w| w.running_tasks("run-1") == 1));
    for n in 2..7 {
        // At various times within a report's interval; not more often than a worker reports so.
        cluster.run(9_000 + 500 * n);
        let id = format!("run-{n}");
        cluster.submit(short_job(&id, JobKind::Service, 1));
        let before = cluster.starts;
        assert!(
            cluster.run_until(800, |w| w.starts > before),
            "{id} still waits after 0.8 s"
        );
        cluster.cancel(&id);
    }
    assert_eq!(cluster.violations, Vec::<String>::new());
}

/// Machines that came up while a round was being planned for others once lost one report's
/// interval each before they had anything to do.
#[test]
fn machines_that_boot_together_all_get_tasks_at_once() {
    let mut cluster = SimulatedCluster::new(3, 40.0);
    cluster.run(2_000);
    for n in 0..10 {
        let mut job = short_job(&format!("run-{n}"), JobKind::Array, 4);
        job.expected_duration_s = 300.0;
        cluster.submit(job);
    }
    assert!(cluster.run_until(60_000, |w| w.starts > 0));
    // The first is rented for at once, the others a second later: less than a report's interval.
    cluster.run(2_000);
    assert_eq!((cluster.workers.len(), cluster.starts), (10, 40));
}

/// With the cloud out of reach since its start a node knows no machine types; it once was not
/// ready for as long, and no question was answered.
#[test]
fn nodes_become_ready_without_machine_types() {
    let mut cluster = SimulatedCluster::new(3, 8.0);
    cluster.faults.cloud_unavailable = true;
    cluster.run(5_000);
    assert!((0..3).all(|n| !cluster.engine(n).unwrap().view().ready));
    cluster.run(10_000);
    assert!((0..3).all(|n| cluster.engine(n).unwrap().view().ready));
    cluster.faults.cloud_unavailable = false;
    cluster.run(5_000);
    cluster.submit(short_job("run-1", JobKind::Array, 1));
    assert_completes(&mut cluster, "run-1", 60_000);
}

/// The largest array of the lowest priority, and a large service, with less capacity than urgent
/// work alone asks for.
#[test]
fn largest_array_and_service_start_within_four_minutes_beside_high_priority_jobs() {
    let mut cluster = SimulatedCluster::new(3, 400.0);
    cluster.faults.zone_capacity = Some(4);
    cluster.run(2_000);
    let mut array = short_job("run-array", JobKind::Array, 150);
    array.priority = Priority::Low;
    let mut service = short_job("run-service", JobKind::Service, 8);
    (service.priority, service.spread_zones) = (Priority::Normal, true);
    let mut urgent = 0;
    for second in 0..340 {
        // Twice what the eight machines can do.
        for _ in 0..2 {
            urgent += 1;
            let mut job = short_job(&format!("run-{urgent}"), JobKind::Array, 2);
            (job.priority, job.expected_duration_s) = (Priority::High, 16.0);
            cluster.submit(job);
        }
        if second == 100 {
            cluster.submit(array.clone());
            cluster.submit(service.clone());
        }
        cluster.run(1_000);
    }
    // Each start counts: nobody is stopped within 30 s of it. Later ones may be, for urgent work.
    for id in ["run-array", "run-service"] {
        assert!(
            cluster.started_jobs.contains(id),
            "{id}: {}",
            cluster.describe()
        );
    }
    assert_eq!(cluster.violations, Vec::<String>::new());
}

/// The jobs of a pass were once cut to as many as a round may name: behind that many for which
/// there was no room, nothing was placed.
#[test]
fn unplaceable_jobs_at_the_head_of_the_queue_do_not_block_others() {
    let mut cluster = SimulatedCluster::new(3, 400.0);
    cluster.faults.zone_capacity = Some(1);
    cluster.run(2_000);
    for n in 0..130 {
        let mut gang = short_job(&format!("run-1{n}"), JobKind::Gang, 16);
        (gang.gpus, gang.priority) = (4.0, Priority::High);
        cluster.submit(gang);
    }
    let mut low = short_job("run-2", JobKind::Array, 4);
    low.priority = Priority::Low;
    cluster.submit(low);
    assert_completes(&mut cluster, "run-2", 60_000);
}

/// A gang that needs more starts than one record holds was once accepted and never placed.
#[test]
fn starts_of_a_large_gang_span_several_records() {
    for lose_every in [0, 2] {
        let mut cluster = SimulatedCluster::new(3, 400.0);
        let mut gang = short_job("run-1", JobKind::Gang, 300);
        gang.expected_duration_s = 60.0;
        cluster.run(2_000);
        cluster.submit(gang);
        cluster.faults.lose_commit_reply_every = lose_every;
        assert!(cluster.run_until(60_000, |w| w.count_keys("rounds/") > 2));
        assert_eq!(cluster.term(), 1);
        let leader = cluster.leader().unwrap();
        cluster.crash(leader);
        assert_completes(&mut cluster, "run-1", 180_000);
        assert_eq!(cluster.starts, 300);
        cluster.faults.lose_commit_reply_every = 0;
        assert!(cluster.run_until(10_000, |w| w.count_keys("rounds/") == 0));
    }
}

/// Once all controllers had been restarted, every machine was taken to be as young as the new
/// process: hundreds stood idle for another minute after each restart.
#[test]
fn idle_machines_are_returned_soon_after_a_restart_of_all_nodes() {
    let mut cluster = cluster_with(vec![
        short_job("run-1", JobKind::Array, 8),
        short_job("run-2", JobKind::Service, 1),
    ]);
    assert_completes(&mut cluster, "run-1", 60_000);
    for node in 0..3 {
        cluster.crash(node);
    }
    for node in 0..3 {
        cluster.start(node);
    }
    assert!(cluster.run_until(10_000, |w| w.leader().is_some()));
    assert!(cluster.workers.len() > 1);
    let soon = 30_000 + 10_000;
    assert!(
        cluster.run_until(soon, |w| w.workers.len() == 1),
        "{}",
        cluster.describe()
    );
    assert_eq!(cluster.running_tasks("run-2"), 1);
}

/// Each leader ends after nine seconds, and one machine is dead: none of them ever rented, since
/// each waited longer than it lived for the last machine to report.
#[test]
fn short_lived_leaders_still_scale_out() {
    let mut cluster = SimulatedCluster::new(3, 400.0);
    cluster.run(2_000);
    cluster.submit(short_job("run-1", JobKind::Service, 20));
    assert!(cluster.run_until(60_000, |w| w.running_tasks("run-1") == 20));
    // Long enough for none of the machines to be taken for booting.
    cluster.run(30_000);
    let dead = cluster.machine_of("run-1").unwrap();
    cluster.faults.hung_machines.insert(dead);
    for round in 0..8 {
        let leader = cluster.leader().unwrap();
        cluster.crash(leader);
        if round == 1 {
            // More whole machines than are kept for what is expected.
            let mut gang = short_job("run-2", JobKind::Gang, 10);
            (gang.gpus, gang.cpus, gang.memory_gb) = (4.0, 16.0, 64.0);
            cluster.submit(gang);
        }
        cluster.run(100);
        cluster.start(leader);
        cluster.run(8_900);
    }
    assert!(
        cluster.started_jobs.contains("run-2"),
        "{}",
        cluster.describe()
    );
    assert_eq!(cluster.violations, Vec::<String>::new());
}

/// When the work beside them had ended, services stood on half-empty machines until the end of the
/// day: each machine kept the next one's replicas company.
#[test]
fn half_empty_service_machines_are_consolidated() {
    let mut cluster = cluster_with(vec![
        short_job("run-1", JobKind::Service, 2),
        short_job("run-2", JobKind::Service, 2),
    ]);
    assert!(cluster.run_until(60_000, |w| w.running_tasks("run-1")
        + w.running_tasks("run-2")
        == 4));
    cluster.submit(short_job("run-3", JobKind::Service, 2));
    assert!(cluster.run_until(60_000, |w| w.running_tasks("run-3") == 2));
    assert_eq!(cluster.workers.len(), 2);
    cluster.cancel("run-1");
    let joined = cluster.run_until(150_000, |w| w.workers.len() == 1);
    assert!(joined, "{}", cluster.describe());
    let both = |w: &SimulatedCluster| w.running_tasks("run-2") + w.running_tasks("run-3") == 4;
    assert!(cluster.run_until(10_000, both), "{}", cluster.describe());
    assert_eq!(cluster.violations, Vec::<String>::new());
}

//! Two troubles at once: each test brings about one such meeting.

use super::simulated_cluster::SimulatedCluster;
use super::{
    assert_completes, cluster_with, cluster_with_two_services, move_leadership_east, short_job,
};
use crate::constants;
use crate::wire::user::{JobKind, JobState};

/// All troubles end: whatever is open runs within 90 s, and no rule was broken.
#[track_caller]
fn assert_recovers(cluster: &mut SimulatedCluster) {
    cluster.faults = Default::default();
    for node in 0..3 {
        if cluster.engine(node).is_none() {
            cluster.start(node);
        }
    }
    let all = cluster.run_until(90_000, |w| w.waiting_jobs().is_empty());
    assert!(
        all,
        "{:?} wait: {}",
        cluster.waiting_jobs(),
        cluster.describe()
    );
    cluster.run(20_000);
    assert_eq!(cluster.violations, Vec::<String>::new());
}

/// The nodes that do not lead.
fn others(cluster: &SimulatedCluster) -> (usize, usize) {
    let leader = cluster.leader();
    let mut others = (0..3).filter(|n| Some(*n) != leader);
    (others.next().unwrap(), others.next().unwrap())
}

/// Which machines report to which node is up to the day: here all to this one, at once.
fn all_report_to(cluster: &mut SimulatedCluster, node: usize) {
    cluster.workers.values_mut().for_each(|w| w.node = node);
    cluster.heartbeat_all_within(300);
}

/// Guards against a leader that answers reports for longer than it can know of all cancellations:
/// it alone is refused, jobs are cancelled through others, and nobody can tell it.
#[test]
fn cancellation_while_the_leader_is_refused_and_then_all_nodes() {
    for outage in [10_000, 40_000, 64_000] {
        for gap in [200, 2_000] {
            // Before, at and after the refusal, and at the instant of the outage.
            for (early, late) in [(100, 0), (0, 0), (0, 100), (0, gap)] {
                for (peers, restarted) in [(true, false), (false, false), (true, true)] {
                    let mut cluster = cluster_with_two_services();
                    cluster.run(3_000);
                    let leader = cluster.leader().unwrap();
                    if early > 0 {
                        cluster.cancel("run-1");
                        cluster.run(early);
                    }
                    cluster.faults.store_refuses.insert(leader);
                    if !peers {
                        cluster.faults.nodes_without_peers.insert(leader);
                    }
                    cluster.run(late);
                    if early == 0 {
                        cluster.cancel("run-1");
                    }
                    cluster.run(gap - late);
                    cluster.faults.store_unavailable = true;
                    if restarted {
                        cluster.restart(leader, 700);
                    }
                    cluster.run(outage);
                    cluster.faults.store_unavailable = false;
                    cluster.run(5_000);
                    assert_recovers(&mut cluster);
                    assert_eq!(cluster.running_tasks("run-1"), 0);
                }
            }
        }
    }
}

/// Guards against leases renewed without a stop, and against office given up for a page that could
/// not be read: leaders change while the records can't be read for longer than a cancellation may
/// take, and reports are answered all the while.
#[test]
fn leaders_without_readable_records_stop_only_cancelled_tasks() {
    for every in [12_000, 60_000] {
        let mut cluster = cluster_with_two_services();
        cluster.faults.refuse_record_lists = true;
        for _ in 0..60_000 / every {
            let leader = cluster.leader().unwrap();
            cluster.crash(leader);
            if !cluster.cancelled.contains_key("run-1") {
                cluster.cancel("run-1");
            }
            cluster.run(1_000);
            cluster.start(leader);
            cluster.run(every - 1_000);
        }
        assert_eq!(cluster.running_tasks("run-1"), 0, "{}", cluster.describe());
        assert_eq!((cluster.running_tasks("run-2"), cluster.starts), (4, 8));
        assert_recovers(&mut cluster);
    }
}

/// What a peer says shortens the time to a stop; nothing rests on it. The leader alone is refused.
#[test]
fn announced_cancellation_stops_tasks_of_a_refused_leader_at_once() {
    for told in [false, true] {
        let mut cluster = cluster_with_two_services();
        let leader = cluster.leader().unwrap();
        cluster.faults.store_refuses.insert(leader);
        cluster.run(200);
        cluster.cancel("run-1");
        if told {
            cluster.announce_cancellation(leader, "run-1");
        }
        cluster.run(1_000);
        assert_eq!(cluster.running_tasks("run-1"), if told { 0 } else { 4 });
        assert_recovers(&mut cluster);
    }
}

/// Guards against starts of a leader in doubt: its round is written, its machine reports only when
/// the state service has refused the leader for longer than its lease, and the job is cancelled.
#[test]
fn leader_with_an_unconfirmed_lease_sends_no_durable_start() {
    let mut cluster = cluster_with_two_services();
    cluster.cancel("run-1");
    assert!(cluster.run_until(12_000, |w| w.running_tasks("run-1") == 0));
    cluster.run(7_000);
    let leader = cluster.leader().unwrap();
    let machines: Vec<String> = cluster.workers.keys().cloned().collect();
    cluster.faults.unreachable_machines.extend(machines);
    let rounds = cluster.count_keys("rounds/");
    cluster.submit(short_job("run-3", JobKind::Array, 1));
    cluster.run(500);
    assert_eq!(
        cluster.count_keys("rounds/"),
        rounds + 1,
        "written, and not yet sent"
    );
    cluster.faults.store_refuses.insert(leader);
    cluster.faults.nodes_without_peers.insert(leader);
    cluster.run(constants::LEASE_TTL_MS + 100);
    cluster.cancel("run-3");
    cluster.faults.unreachable_machines.clear();
    all_report_to(&mut cluster, leader);
    // The second report shows that the machine hears.
    cluster.run(4_000);
    assert!(!cluster.started_jobs.contains("run-3"));
    assert_recovers(&mut cluster);
}

/// Guards against one job whose record has changed unheard failing everybody's rounds.
#[test]
fn conflict_on_one_job_does_not_fail_the_rounds_of_others() {
    let mut cluster = cluster_with_two_services();
    cluster.run(10_000);
    let leader = cluster.leader().unwrap();
    cluster.submit(short_job("run-3", JobKind::Array, 1));
    cluster.cancel("run-1");
    cluster.run(2_000);
    // Room for both; the leader hears of what follows only with its next watch's answer.
    cluster.submit(short_job("run-4", JobKind::Array, 1));
    cluster.submit(short_job("run-5", JobKind::Array, 1));
    cluster.run(20);
    cluster.faults.watch_delay.insert(leader, 2_500);
    cluster.cancel("run-4");
    assert!(cluster.run_until(2_000, |w| w.started_jobs.contains("run-5")));
    assert_recovers(&mut cluster);
}

/// The same with machines of cancelled tasks that hang meanwhile and go on within their lease, or
/// after it.
#[test]
fn cancelled_tasks_of_machines_hung_in_an_outage_stop_in_time() {
    for hang in [5_000, 12_000, 30_000] {
        let mut cluster = cluster_with_two_services();
        let leader = cluster.leader().unwrap();
        cluster.faults.store_refuses.insert(leader);
        cluster.run(300);
        cluster.cancel("run-1");
        cluster.cancel("run-2");
        cluster.run(700);
        cluster.faults.store_unavailable = true;
        // Not most of them: a leader that hears hardly anyone gives way.
        cluster
            .faults
            .hung_machines
            .extend(cluster.machine_of("run-1"));
        cluster.run(hang);
        cluster.faults.hung_machines.clear();
        cluster.run(64_000 - hang);
        assert_eq!(cluster.all_running_tasks(), 0);
        assert_recovers(&mut cluster);
    }
}

/// Guards against a deputy that keeps workers for longer than it can know of all cancellations:
/// the node of a zone that is cut off from everything hears of none.
#[test]
fn cancelled_tasks_of_an_isolated_zone_stop_in_time() {
    for wait in [0, 1_000, 20_000] {
        let mut service = short_job("run-1", JobKind::Service, 3);
        service.zone = Some("west".into());
        let mut cluster = cluster_with(vec![service]);
        assert!(cluster.run_until(60_000, |w| w.running_tasks("run-1") == 3));
        move_leadership_east(&mut cluster);
        cluster.faults.zones_partitioned = true;
        cluster.faults.store_refuses.insert(1);
        // Else the leader has the silent machines returned by then.
        cluster.faults.cloud_unavailable = true;
        cluster.run(wait);
        cluster.cancel("run-1");
        cluster.run(70_000);
        assert_eq!(cluster.running_tasks("run-1"), 0);
        assert_recovers(&mut cluster);
    }
}

/// Guards against starts that a new leader does not know of, because its watch lags behind: a job
/// that it had not heard of when it read the rounds is placed already.
#[test]
fn leader_with_a_lagging_watch_places_no_task_twice() {
    let mut first = short_job("run-1", JobKind::Service, 6);
    first.spread_zones = true;
    let mut cluster = cluster_with(vec![first]);
    assert!(cluster.run_until(60_000, |w| w.running_tasks("run-1") == 6));
    cluster.run(10_000);
    let old = cluster.leader().unwrap();
    let (quick_one, slow_one) = others(&cluster);
    cluster.faults.store_refuses.insert(old);
    cluster.faults.store_call_delay.insert(slow_one, 1_400);
    while cluster.count_keys("live/lead") == 1 {
        cluster.run(1);
    }
    // It has heard that the office is vacant, and stands for it; all else it hears late.
    cluster.faults.watch_delay.insert(slow_one, 2_900);
    while cluster.count_keys("live/lead") == 0 {
        cluster.run(1);
    }
    assert_eq!(cluster.count_keys("live/job/"), 1);
    cluster.submit(short_job("run-2", JobKind::Service, 1));
    all_report_to(&mut cluster, quick_one);
    assert!(cluster.run_until(1_500, |w| w.started_jobs.contains("run-2")));
    // In office for a second; back, it is refused.
    cluster.crash(quick_one);
    cluster.faults.store_refuses.insert(quick_one);
    cluster.start(quick_one);
    let machine = cluster.machine_of("run-2").unwrap();
    cluster.faults.unreachable_machines.insert(machine);
    // Its candidacy is under way; what it calls after that is answered at once.
    cluster.run(2_200);
    cluster.faults.store_call_delay.clear();
    let leads = |w: &SimulatedCluster| w.engine(slow_one).unwrap().view().leading;
    assert!(cluster.run_until(3_000, leads));
    all_report_to(&mut cluster, slow_one);
    cluster.run(12_000);
    assert_eq!(
        cluster.violations,
        Vec::<String>::new(),
        "{}",
        cluster.describe()
    );
    assert_recovers(&mut cluster);
}

/// Guards against an older record of an array's progress that is carried out over a newer one.
#[test]
fn late_progress_record_loses_no_completion() {
    let mut cluster = cluster_with(vec![short_job("run-1", JobKind::Array, 4)]);
    for (task, longer) in [(1, 4_000), (2, 8_000), (3, 60_000)] {
        cluster
            .extra_run_time
            .insert(format!("run-1/{task}"), longer);
    }
    cluster.faults.delay_next_write = Some("work/run-1");
    assert!(cluster.run_until(60_000, |w| w.completed_tasks.len() == 3));
    cluster.run(15_000);
    let leader = cluster.leader().unwrap();
    cluster.crash(leader);
    assert_completes(&mut cluster, "run-1", 120_000);
    assert_eq!(cluster.starts, 4, "what was done is done again");
}

/// The same of an earlier leader's record over its successor's.
#[test]
fn late_progress_record_of_a_former_leader_loses_no_completion() {
    let mut cluster = cluster_with(vec![short_job("run-1", JobKind::Array, 4)]);
    for (task, longer) in [(1, 6_000), (2, 7_000), (3, 60_000)] {
        cluster
            .extra_run_time
            .insert(format!("run-1/{task}"), longer);
    }
    cluster.faults.delay_next_write = Some("work/run-1");
    assert!(cluster.run_until(60_000, |w| w.faults.delay_next_write.is_none()));
    for _ in 0..2 {
        let leader = cluster.leader().unwrap();
        cluster.restart(leader, 15_000);
    }
    assert_completes(&mut cluster, "run-1", 120_000);
    assert_eq!(cluster.starts, 4, "what was done is done again");
}

/// Guards against transactions that count on being carried out in order, or at all: rounds, ends
/// and candidacies without an answer come late, across leaders' changes.
#[test]
fn late_commits_violate_no_invariant() {
    for every in 2..6 {
        for crash_at in [21_000, 31_000, 36_000] {
            let mut cluster = cluster_with(vec![
                short_job("run-1", JobKind::Array, 5),
                short_job("run-2", JobKind::Gang, 2),
                short_job("run-3", JobKind::Service, 1),
            ]);
            cluster.faults.delay_commit_every = every;
            cluster.run(crash_at);
            if let Some(leader) = cluster.leader() {
                cluster.restart(leader, 500);
            }
            cluster.run(30_000);
            cluster.cancel("run-3");
            cluster.run(8_000);
            assert_completes(&mut cluster, "run-1", 240_000);
            assert_completes(&mut cluster, "run-2", 240_000);
            assert_eq!(cluster.running_tasks("run-3"), 0);
            assert_recovers(&mut cluster);
        }
    }
}

/// Guards against old reports taken for new: copies arrive seconds to two leases later, after
/// newer ones, and at whoever leads by then.
#[test]
fn heartbeats_duplicated_across_failovers_change_nothing() {
    for every in 1..4 {
        let mut cluster = cluster_with(vec![
            short_job("run-1", JobKind::Array, 6),
            short_job("run-2", JobKind::Service, 2),
        ]);
        cluster.faults.duplicate_heartbeat_every = every;
        for _ in 0..5 {
            cluster.run(17_000);
            let leader = cluster.leader().unwrap();
            cluster.restart(leader, 1_000);
        }
        assert_completes(&mut cluster, "run-1", 60_000);
        assert_eq!(cluster.running_tasks("run-2"), 2);
        assert_eq!(cluster.starts, 8, "{}", cluster.describe());
    }
}

/// Guards against reports that are believed though they are older than the machine's last, or
/// older than the leader: the machine itself is out of reach, what it once said is not.
#[test]
fn stale_heartbeats_of_an_unreachable_machine_remove_no_task() {
    for crash in [false, true] {
        let mut cluster = cluster_with_two_services();
        let machine = cluster.machine_of("run-1").unwrap();
        // From before its first start.
        let mut heartbeats = cluster.heartbeats_of(&machine);
        heartbeats.retain(|r| r.tasks.is_empty());
        assert!(heartbeats.len() > 1);
        cluster.run(4_000);
        cluster.faults.unreachable_machines.insert(machine);
        if crash {
            let leader = cluster.leader().unwrap();
            cluster.crash(leader);
        }
        for _ in 0..24 {
            cluster.run(500);
            cluster.redeliver_heartbeats(&heartbeats);
        }
        assert_eq!(cluster.starts, 8, "crash {crash}: {}", cluster.describe());
        assert_eq!(cluster.violations, Vec::<String>::new());
        assert_recovers(&mut cluster);
    }
}

/// Guards against stops that travel with answers only, and against taking a machine that can't
/// open connections for one that has stopped its tasks.
#[test]
fn machines_without_heartbeats_are_stopped_directly_and_replaced_once_returned() {
    let mut cluster = cluster_with_two_services();
    cluster.faults.machines_without_heartbeats = cluster.busy_machines();
    cluster.run(5_000);
    cluster.cancel("run-1");
    cluster.run(1_000);
    assert_eq!(cluster.running_tasks("run-1"), 0);
    let leader = cluster.leader().unwrap();
    cluster.crash(leader);
    cluster.run(60_000);
    assert_eq!(cluster.running_tasks("run-2"), 4, "{}", cluster.describe());
    assert_recovers(&mut cluster);
}

/// Guards against direct orders that do harm late: a machine hangs, executes them when it goes on,
/// and another leads by then.
#[test]
fn commands_executed_after_a_hang_are_harmless() {
    for hang in [2_000, 6_000, 14_000, 25_000] {
        for crash in [false, true] {
            let mut cluster = cluster_with_two_services();
            let machine = cluster.machine_of("run-1").unwrap();
            cluster.faults.hung_machines.insert(machine);
            cluster.run(500);
            cluster.cancel("run-1");
            cluster.submit(short_job("run-3", JobKind::Array, 4));
            cluster.run(500);
            let leader = cluster.leader().unwrap();
            if crash {
                cluster.crash(leader);
            }
            cluster.run(hang);
            cluster.faults.hung_machines.clear();
            cluster.run(7_000);
            assert_eq!(
                cluster.running_tasks("run-1"),
                0,
                "hung {hang}, crash {crash}"
            );
            assert_completes(&mut cluster, "run-3", 120_000);
            assert_recovers(&mut cluster);
        }
    }
}

/// Guards against room of a team that seems free because its holders can't be asked: at its limit,
/// the leader ends, machines are out of reach, and one job is cancelled.
#[test]
fn team_quota_holds_through_failover_and_cancellation() {
    for cut_for in [8_000, 15_000, 40_000] {
        let mut whole = short_job("run-0", JobKind::Service, 1);
        whole.cpus = 16.0;
        let mut cluster = cluster_with(vec![
            whole,
            short_job("run-1", JobKind::Service, 4),
            short_job("run-2", JobKind::Service, 3),
        ]);
        assert!(cluster.run_until(60_000, |w| w.all_running_tasks() == 8));
        cluster.cancel("run-0");
        cluster.run(1_000);
        // In the last room that the team has: the machine that was full is idle.
        cluster.submit(short_job("run-4", JobKind::Service, 1));
        assert!(cluster.run_until(10_000, |w| w.all_running_tasks() == 8));
        let busy = cluster.busy_machines();
        assert!(busy.len() < cluster.workers.len());
        cluster.submit(short_job("run-3", JobKind::Array, 4));
        cluster.run(3_000);
        let leader = cluster.leader().unwrap();
        cluster
            .faults
            .unreachable_machines
            .extend(cluster.machine_of("run-1"));
        cluster.crash(leader);
        cluster.run(2_000);
        cluster.cancel("run-1");
        cluster.run(cut_for);
        cluster.faults.unreachable_machines.clear();
        cluster.run(2_000);
        assert_recovers(&mut cluster);
        assert_completes(&mut cluster, "run-3", 60_000);
    }
}

/// Guards against ends that are lost or taken for the whole job's across changes of leader.
#[test]
fn tasks_completing_under_different_leaders_complete_their_job_once() {
    for kind in [JobKind::Array, JobKind::Gang] {
        for crash_at in (29_500..36_000).step_by(500) {
            let mut cluster = cluster_with(vec![short_job("run-1", kind, 3)]);
            if kind == JobKind::Array {
                cluster.extra_run_time.insert("run-1/1".into(), 30_000);
                cluster.extra_run_time.insert("run-1/2".into(), 70_000);
            }
            cluster.run(crash_at);
            for _ in 0..3 {
                let leader = cluster.leader().unwrap();
                cluster.restart(leader, 6_000);
                cluster.run(24_000);
            }
            assert_completes(&mut cluster, "run-1", 60_000);
            assert_eq!(cluster.starts, 3, "{kind:?}, crash at {crash_at}");
        }
    }
}

/// Guards against starts after a confirmed cancellation: it is durable just before the round is.
#[test]
fn cancellation_racing_with_a_round_fails_the_round() {
    for after in (0..120).step_by(7) {
        let mut cluster = cluster_with_two_services();
        cluster.cancel("run-1");
        cluster.run(12_000);
        cluster.faults.store_delay = 60;
        cluster.submit(short_job("run-3", JobKind::Array, 2));
        cluster.run(after);
        cluster.cancel("run-3");
        assert_recovers(&mut cluster);
        assert_eq!(cluster.running_tasks("run-3"), 0);
    }
}

/// Guards against a job called both done and cancelled: called off at every moment about the end
/// of its last task.
#[test]
fn cancellation_racing_with_completion_leaves_one_final_state() {
    let mut both = std::collections::BTreeSet::new();
    for kind in [JobKind::Array, JobKind::Gang] {
        let ended = |w: &SimulatedCluster| w.completed_tasks.len() >= 2;
        let mut cluster = cluster_with(vec![short_job("run-1", kind, 2)]);
        assert!(cluster.run_until(60_000, ended));
        let end = cluster.now;
        for at in (end - 500..end + 3_500).step_by(97) {
            let mut cluster = cluster_with(vec![short_job("run-1", kind, 2)]);
            cluster.faults.store_delay = 40;
            cluster.run(at - cluster.now);
            if cluster.has_live_record("run-1") {
                cluster.cancel("run-1");
            }
            cluster.run(10_000);
            assert_eq!(cluster.violations, Vec::<String>::new());
            assert_eq!(cluster.count_keys("live/job/"), 0);
            both.insert(format!("{:?}", cluster.final_state("run-1").unwrap()));
        }
    }
    assert_eq!(both.len(), 2, "both outcomes were met: {both:?}");
    assert!(both.contains(&format!("{:?}", JobState::Done)));
}

/// Guards against tasks taken for live, or for gone, after nobody has led for longer than a lease.
#[test]
fn all_nodes_down_for_longer_than_a_lease_lose_no_job() {
    for away in [18_000, 25_000, 70_000] {
        let mut cluster = cluster_with_two_services();
        cluster.submit(short_job("run-3", JobKind::Array, 2));
        let cut = cluster.machine_of("run-1").unwrap();
        for node in 0..3 {
            cluster.crash(node);
        }
        cluster.run(away - 2_000);
        // Out of reach when they return, too.
        cluster.faults.unreachable_machines.insert(cut);
        cluster.run(2_000);
        cluster.start(0);
        cluster.run(1_000);
        cluster.cancel("run-2");
        cluster.run(10_000);
        assert_recovers(&mut cluster);
        assert_completes(&mut cluster, "run-3", 60_000);
        assert_eq!(
            (
                cluster.running_tasks("run-1"),
                cluster.running_tasks("run-2")
            ),
            (4, 0)
        );
    }
}

/// Guards against anything that only lasts as long as a leader: ten in two minutes, also inside
/// an outage, with jobs submitted and cancelled all the while.
#[test]
fn ten_leaders_in_two_minutes_violate_no_invariant() {
    for outage in [None, Some(2), Some(5)] {
        let mut cluster = cluster_with(vec![short_job("run-0", JobKind::Service, 2)]);
        assert!(cluster.run_until(60_000, |w| w.running_tasks("run-0") == 2));
        for round in 1..=10 {
            cluster.submit(short_job(&format!("run-{round}"), JobKind::Service, 1));
            let leads = cluster.leader().unwrap_or(round % 3);
            cluster.run(6_000);
            cluster.cancel(&format!("run-{round}"));
            cluster.faults.store_unavailable =
                outage.is_some_and(|first| (first..first + 2).contains(&round));
            cluster.restart(leads, 1_000);
            cluster.run(5_000);
        }
        assert_recovers(&mut cluster);
        assert_eq!(
            (cluster.all_running_tasks(), cluster.running_tasks("run-0")),
            (2, 2)
        );
    }
}

/// Guards against what a node keeps from an earlier office: it hands over, leads again, all end,
/// and one returns within a second.
#[test]
fn leadership_transferred_back_and_forth_keeps_state_consistent() {
    for back in [50, 400, 950] {
        let mut cluster = cluster_with_two_services();
        cluster.submit(short_job("run-3", JobKind::Array, 4));
        cluster.run(5_000);
        for _ in 0..2 {
            let leader = cluster.leader().unwrap();
            cluster.faults.nodes_without_workers = [leader].into();
            let handed = |w: &SimulatedCluster| w.leader().is_some_and(|l| l != leader);
            assert!(cluster.run_until(60_000, handed));
            cluster.faults.nodes_without_workers.clear();
            cluster.run(16_000);
        }
        cluster.cancel("run-1");
        let last = cluster.leader().unwrap();
        for node in 0..3 {
            cluster.crash(node);
        }
        cluster.run(back);
        cluster.start(last);
        cluster.run(30_000);
        assert_recovers(&mut cluster);
        assert_completes(&mut cluster, "run-3", 60_000);
        assert_eq!(
            (
                cluster.running_tasks("run-1"),
                cluster.running_tasks("run-2")
            ),
            (0, 4)
        );
    }
}

/// Guards against jobs of one zone that are placed elsewhere, twice or never: the zone, with a
/// node in it, is cut off for longer than a lease, and machines of theirs are lost meanwhile.
#[test]
fn jobs_of_a_partitioned_zone_get_replacement_machines() {
    for cut_for in [20_000, 45_000, 90_000] {
        let mut jobs = vec![
            short_job("run-1", JobKind::Service, 2),
            short_job("run-2", JobKind::Array, 4),
        ];
        jobs[1].expected_duration_s = 300.0;
        for job in &mut jobs {
            job.zone = Some("west".into());
        }
        let mut cluster = cluster_with(jobs);
        assert!(cluster.run_until(60_000, |w| w.all_running_tasks() == 6));
        move_leadership_east(&mut cluster);
        cluster.faults.zones_partitioned = true;
        cluster.run(5_000);
        let lost = cluster.machine_of("run-2").unwrap();
        cluster.faults.hung_machines.insert(lost);
        cluster.run(cut_for);
        cluster.cancel("run-1");
        cluster.submit(short_job("run-3", JobKind::Service, 1));
        cluster.run(5_000);
        cluster.faults.zones_partitioned = false;
        let all = cluster.run_until(constants::LEASE_TTL_MS + 90_000, |w| {
            w.waiting_jobs().is_empty()
        });
        assert!(all, "{:?}: {}", cluster.waiting_jobs(), cluster.describe());
        assert_recovers(&mut cluster);
        assert_eq!(cluster.running_tasks("run-1"), 0);
    }
}

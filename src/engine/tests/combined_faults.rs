//! Two troubles at once: each test brings about one such meeting.

use super::world::World;
use super::{ends_well, lead_from_the_east, quick, world_of_two_services, world_with};
use crate::constants;
use crate::wire::user::{JobKind, JobState};

/// All troubles end: whatever is open runs within 90 s, and no rule was broken.
#[track_caller]
fn recovers(world: &mut World) {
    world.faults = Default::default();
    for node in 0..3 {
        if world.engine(node).is_none() {
            world.start(node);
        }
    }
    let all = world.run_until(90_000, |w| w.waiting().is_empty());
    assert!(all, "{:?} wait: {}", world.waiting(), world.describe());
    world.run(20_000);
    assert_eq!(world.broken, Vec::<String>::new());
}

/// The nodes that do not lead.
fn others(world: &World) -> (usize, usize) {
    let leader = world.leader();
    let mut others = (0..3).filter(|n| Some(*n) != leader);
    (others.next().unwrap(), others.next().unwrap())
}

/// Which machines report to which node is up to the day: here all to this one, at once.
fn all_report_to(world: &mut World, node: usize) {
    world.workers.values_mut().for_each(|w| w.node = node);
    world.heartbeat_within(300);
}

/// Guards against a leader that answers reports for longer than it can know of all cancellations:
/// it alone is refused, jobs are cancelled through others, and nobody can tell it.
#[test]
fn cancelled_while_the_leader_alone_is_refused_and_then_everyone() {
    for outage in [10_000, 40_000, 64_000] {
        for gap in [200, 2_000] {
            // Before, at and after the refusal, and at the instant of the outage.
            for (early, late) in [(100, 0), (0, 0), (0, 100), (0, gap)] {
                for (peers, restarted) in [(true, false), (false, false), (true, true)] {
                    let mut world = world_of_two_services();
                    world.run(3_000);
                    let leader = world.leader().unwrap();
                    if early > 0 {
                        world.cancel("run-1");
                        world.run(early);
                    }
                    world.faults.store_refuses.insert(leader);
                    if !peers {
                        world.faults.no_peers.insert(leader);
                    }
                    world.run(late);
                    if early == 0 {
                        world.cancel("run-1");
                    }
                    world.run(gap - late);
                    world.faults.store_down = true;
                    if restarted {
                        world.restart(leader, 700);
                    }
                    world.run(outage);
                    world.faults.store_down = false;
                    world.run(5_000);
                    recovers(&mut world);
                    assert_eq!(world.running("run-1"), 0);
                }
            }
        }
    }
}

/// Guards against leases renewed without a stop, and against office given up for a page that could
/// not be read: leaders change while the records can't be read for longer than a cancellation may
/// take, and reports are answered all the while.
#[test]
fn leaders_that_can_not_read_the_records_stop_what_is_cancelled_and_keep_the_rest() {
    for every in [12_000, 60_000] {
        let mut world = world_of_two_services();
        world.faults.no_records = true;
        for _ in 0..60_000 / every {
            let leader = world.leader().unwrap();
            world.crash(leader);
            if !world.cancelled.contains_key("run-1") {
                world.cancel("run-1");
            }
            world.run(1_000);
            world.start(leader);
            world.run(every - 1_000);
        }
        assert_eq!(world.running("run-1"), 0, "{}", world.describe());
        assert_eq!((world.running("run-2"), world.starts), (4, 8));
        recovers(&mut world);
    }
}

/// What a peer says shortens the time to a stop; nothing rests on it. The leader alone is refused.
#[test]
fn a_refused_leader_that_is_told_of_a_cancellation_stops_the_tasks_at_once() {
    for told in [false, true] {
        let mut world = world_of_two_services();
        let leader = world.leader().unwrap();
        world.faults.store_refuses.insert(leader);
        world.run(200);
        world.cancel("run-1");
        if told {
            world.tell_of_cancellation(leader, "run-1");
        }
        world.run(1_000);
        assert_eq!(world.running("run-1"), if told { 0 } else { 4 });
        recovers(&mut world);
    }
}

/// Guards against starts of a leader in doubt: its round is written, its machine reports only when
/// the state service has refused the leader for longer than its lease, and the job is cancelled.
#[test]
fn a_leader_in_doubt_sends_no_start_that_it_has_written() {
    let mut world = world_of_two_services();
    world.cancel("run-1");
    assert!(world.run_until(12_000, |w| w.running("run-1") == 0));
    world.run(7_000);
    let leader = world.leader().unwrap();
    let machines: Vec<String> = world.workers.keys().cloned().collect();
    world.faults.cut.extend(machines);
    let rounds = world.keys("rounds/");
    world.submit(quick("run-3", JobKind::Array, 1));
    world.run(500);
    assert_eq!(
        world.keys("rounds/"),
        rounds + 1,
        "written, and not yet sent"
    );
    world.faults.store_refuses.insert(leader);
    world.faults.no_peers.insert(leader);
    world.run(crate::model::whole_millis(constants::LEASE_TTL) + 100);
    world.cancel("run-3");
    world.faults.cut.clear();
    all_report_to(&mut world, leader);
    // The second report shows that the machine hears.
    world.run(4_000);
    assert!(!world.begun.contains("run-3"));
    recovers(&mut world);
}

/// Guards against one job whose record has changed unheard failing everybody's rounds.
#[test]
fn a_job_changed_unheard_keeps_no_other_from_its_round() {
    let mut world = world_of_two_services();
    world.run(10_000);
    let leader = world.leader().unwrap();
    world.submit(quick("run-3", JobKind::Array, 1));
    world.cancel("run-1");
    world.run(2_000);
    // Room for both; the leader hears of what follows only with its next watch's answer.
    world.submit(quick("run-4", JobKind::Array, 1));
    world.submit(quick("run-5", JobKind::Array, 1));
    world.run(20);
    world.faults.slow_watch.insert(leader, 2_500);
    world.cancel("run-4");
    assert!(world.run_until(2_000, |w| w.begun.contains("run-5")));
    recovers(&mut world);
}

/// The same with machines of cancelled tasks that hang meanwhile and go on within their lease, or
/// after it.
#[test]
fn cancelled_tasks_of_machines_that_hang_in_an_outage_end_in_time() {
    for hang in [5_000, 12_000, 30_000] {
        let mut world = world_of_two_services();
        let leader = world.leader().unwrap();
        world.faults.store_refuses.insert(leader);
        world.run(300);
        world.cancel("run-1");
        world.cancel("run-2");
        world.run(700);
        world.faults.store_down = true;
        // Not most of them: a leader that hears hardly anyone gives way.
        world.faults.hung.extend(world.machine_of("run-1"));
        world.run(hang);
        world.faults.hung.clear();
        world.run(64_000 - hang);
        assert_eq!(world.all_running(), 0);
        recovers(&mut world);
    }
}

/// Guards against a deputy that keeps workers for longer than it can know of all cancellations:
/// the node of a zone that is cut off from everything hears of none.
#[test]
fn cancelled_tasks_of_a_zone_cut_off_from_everything_end_in_time() {
    for wait in [0, 1_000, 20_000] {
        let mut service = quick("run-1", JobKind::Service, 3);
        service.zone = Some("west".into());
        let mut world = world_with(vec![service]);
        assert!(world.run_until(60_000, |w| w.running("run-1") == 3));
        lead_from_the_east(&mut world);
        world.faults.zones_cut = true;
        world.faults.store_refuses.insert(1);
        // Else the leader has the silent machines returned by then.
        world.faults.cloud_down = true;
        world.run(wait);
        world.cancel("run-1");
        world.run(70_000);
        assert_eq!(world.running("run-1"), 0);
        recovers(&mut world);
    }
}

/// Guards against starts that a new leader does not know of, because its watch lags behind: a job
/// that it had not heard of when it read the rounds is placed already.
#[test]
fn a_leader_whose_watch_lags_places_nothing_again() {
    let mut first = quick("run-1", JobKind::Service, 6);
    first.spread_zones = true;
    let mut world = world_with(vec![first]);
    assert!(world.run_until(60_000, |w| w.running("run-1") == 6));
    world.run(10_000);
    let old = world.leader().unwrap();
    let (quick_one, slow_one) = others(&world);
    world.faults.store_refuses.insert(old);
    world.faults.slow_calls.insert(slow_one, 1_400);
    while world.keys("live/lead") == 1 {
        world.run(1);
    }
    // It has heard that the office is vacant, and stands for it; all else it hears late.
    world.faults.slow_watch.insert(slow_one, 2_900);
    while world.keys("live/lead") == 0 {
        world.run(1);
    }
    assert_eq!(world.keys("live/job/"), 1);
    world.submit(quick("run-2", JobKind::Service, 1));
    all_report_to(&mut world, quick_one);
    assert!(world.run_until(1_500, |w| w.begun.contains("run-2")));
    // In office for a second; back, it is refused.
    world.crash(quick_one);
    world.faults.store_refuses.insert(quick_one);
    world.start(quick_one);
    let machine = world.machine_of("run-2").unwrap();
    world.faults.cut.insert(machine);
    // Its candidacy is under way; what it calls after that is answered at once.
    world.run(2_200);
    world.faults.slow_calls.clear();
    let leads = |w: &World| w.engine(slow_one).unwrap().status().leading;
    assert!(world.run_until(3_000, leads));
    all_report_to(&mut world, slow_one);
    world.run(12_000);
    assert_eq!(world.broken, Vec::<String>::new(), "{}", world.describe());
    recovers(&mut world);
}

/// Guards against an older record of an array's progress that is carried out over a newer one.
#[test]
fn progress_written_late_takes_nothing_back() {
    let mut world = world_with(vec![quick("run-1", JobKind::Array, 4)]);
    for (task, longer) in [(1, 4_000), (2, 8_000), (3, 60_000)] {
        world.longer.insert(format!("run-1/{task}"), longer);
    }
    world.faults.late_write = Some("work/run-1");
    assert!(world.run_until(60_000, |w| w.finished.len() == 3));
    world.run(15_000);
    let leader = world.leader().unwrap();
    world.crash(leader);
    ends_well(&mut world, "run-1", 120_000);
    assert_eq!(world.starts, 4, "what was done is done again");
}

/// The same of an earlier leader's record over its successor's.
#[test]
fn progress_of_an_earlier_leader_written_late_takes_nothing_back() {
    let mut world = world_with(vec![quick("run-1", JobKind::Array, 4)]);
    for (task, longer) in [(1, 6_000), (2, 7_000), (3, 60_000)] {
        world.longer.insert(format!("run-1/{task}"), longer);
    }
    world.faults.late_write = Some("work/run-1");
    assert!(world.run_until(60_000, |w| w.faults.late_write.is_none()));
    for _ in 0..2 {
        let leader = world.leader().unwrap();
        world.restart(leader, 15_000);
    }
    ends_well(&mut world, "run-1", 120_000);
    assert_eq!(world.starts, 4, "what was done is done again");
}

/// Guards against transactions that count on being carried out in order, or at all: rounds, ends
/// and candidacies without an answer come late, across leaders' changes.
#[test]
fn late_writes_break_nothing() {
    for every in 2..6 {
        for crash_at in [21_000, 31_000, 36_000] {
            let mut world = world_with(vec![
                quick("run-1", JobKind::Array, 5),
                quick("run-2", JobKind::Gang, 2),
                quick("run-3", JobKind::Service, 1),
            ]);
            world.faults.late_every = every;
            world.run(crash_at);
            if let Some(leader) = world.leader() {
                world.restart(leader, 500);
            }
            world.run(30_000);
            world.cancel("run-3");
            world.run(8_000);
            ends_well(&mut world, "run-1", 240_000);
            ends_well(&mut world, "run-2", 240_000);
            assert_eq!(world.running("run-3"), 0);
            recovers(&mut world);
        }
    }
}

/// Guards against old reports taken for new: copies arrive seconds to two leases later, after
/// newer ones, and at whoever leads by then.
#[test]
fn copies_of_reports_held_back_until_another_leads_change_nothing() {
    for every in 1..4 {
        let mut world = world_with(vec![
            quick("run-1", JobKind::Array, 6),
            quick("run-2", JobKind::Service, 2),
        ]);
        world.faults.copy_every = every;
        for _ in 0..5 {
            world.run(17_000);
            let leader = world.leader().unwrap();
            world.restart(leader, 1_000);
        }
        ends_well(&mut world, "run-1", 60_000);
        assert_eq!(world.running("run-2"), 2);
        assert_eq!(world.starts, 8, "{}", world.describe());
    }
}

/// Guards against reports that are believed though they are older than the machine's last, or
/// older than the leader: the machine itself is out of reach, what it once said is not.
#[test]
fn what_a_machine_out_of_reach_once_said_takes_no_task_off_it() {
    for crash in [false, true] {
        let mut world = world_of_two_services();
        let machine = world.machine_of("run-1").unwrap();
        // From before its first start.
        let mut heartbeats = world.heartbeats(&machine);
        heartbeats.retain(|r| r.tasks.is_empty());
        assert!(heartbeats.len() > 1);
        world.run(4_000);
        world.faults.cut.insert(machine);
        if crash {
            let leader = world.leader().unwrap();
            world.crash(leader);
        }
        for _ in 0..24 {
            world.run(500);
            world.repeat_heartbeats(&heartbeats);
        }
        assert_eq!(world.starts, 8, "crash {crash}: {}", world.describe());
        assert_eq!(world.broken, Vec::<String>::new());
        recovers(&mut world);
    }
}

/// Guards against stops that travel with answers only, and against taking a machine that can't
/// open connections for one that has stopped its tasks.
#[test]
fn mute_machines_are_stopped_directly_and_replaced_after_proof() {
    let mut world = world_of_two_services();
    world.faults.mute = world.busy();
    world.run(5_000);
    world.cancel("run-1");
    world.run(1_000);
    assert_eq!(world.running("run-1"), 0);
    let leader = world.leader().unwrap();
    world.crash(leader);
    world.run(60_000);
    assert_eq!(world.running("run-2"), 4, "{}", world.describe());
    recovers(&mut world);
}

/// Guards against direct orders that do harm late: a machine hangs, executes them when it goes on,
/// and another leads by then.
#[test]
fn orders_executed_after_a_machine_hung_do_no_harm() {
    for hang in [2_000, 6_000, 14_000, 25_000] {
        for crash in [false, true] {
            let mut world = world_of_two_services();
            let machine = world.machine_of("run-1").unwrap();
            world.faults.hung.insert(machine);
            world.run(500);
            world.cancel("run-1");
            world.submit(quick("run-3", JobKind::Array, 4));
            world.run(500);
            let leader = world.leader().unwrap();
            if crash {
                world.crash(leader);
            }
            world.run(hang);
            world.faults.hung.clear();
            world.run(7_000);
            assert_eq!(world.running("run-1"), 0, "hung {hang}, crash {crash}");
            ends_well(&mut world, "run-3", 120_000);
            recovers(&mut world);
        }
    }
}

/// Guards against room of a team that seems free because its holders can't be asked: at its limit,
/// the leader ends, machines are out of reach, and one job is cancelled.
#[test]
fn a_team_at_its_limit_stays_within_it_through_a_take_over_and_a_cancellation() {
    for cut_for in [8_000, 15_000, 40_000] {
        let mut whole = quick("run-0", JobKind::Service, 1);
        whole.cpus = 16.0;
        let mut world = world_with(vec![
            whole,
            quick("run-1", JobKind::Service, 4),
            quick("run-2", JobKind::Service, 3),
        ]);
        assert!(world.run_until(60_000, |w| w.all_running() == 8));
        world.cancel("run-0");
        world.run(1_000);
        // In the last room that the team has: the machine that was full is idle.
        world.submit(quick("run-4", JobKind::Service, 1));
        assert!(world.run_until(10_000, |w| w.all_running() == 8));
        let busy = world.busy();
        assert!(busy.len() < world.workers.len());
        world.submit(quick("run-3", JobKind::Array, 4));
        world.run(3_000);
        let leader = world.leader().unwrap();
        world.faults.cut.extend(world.machine_of("run-1"));
        world.crash(leader);
        world.run(2_000);
        world.cancel("run-1");
        world.run(cut_for);
        world.faults.cut.clear();
        world.run(2_000);
        recovers(&mut world);
        ends_well(&mut world, "run-3", 60_000);
    }
}

/// Guards against ends that are lost or taken for the whole job's across changes of leader.
#[test]
fn tasks_that_end_far_apart_across_leaders_end_their_job_once() {
    for kind in [JobKind::Array, JobKind::Gang] {
        for crash_at in (29_500..36_000).step_by(500) {
            let mut world = world_with(vec![quick("run-1", kind, 3)]);
            if kind == JobKind::Array {
                world.longer.insert("run-1/1".into(), 30_000);
                world.longer.insert("run-1/2".into(), 70_000);
            }
            world.run(crash_at);
            for _ in 0..3 {
                let leader = world.leader().unwrap();
                world.restart(leader, 6_000);
                world.run(24_000);
            }
            ends_well(&mut world, "run-1", 60_000);
            assert_eq!(world.starts, 3, "{kind:?}, crash at {crash_at}");
        }
    }
}

/// Guards against starts after a confirmed cancellation: it is durable just before the round is.
#[test]
fn a_cancellation_that_meets_a_round_makes_it_fail() {
    for after in (0..120).step_by(7) {
        let mut world = world_of_two_services();
        world.cancel("run-1");
        world.run(12_000);
        world.faults.store_delay = 60;
        world.submit(quick("run-3", JobKind::Array, 2));
        world.run(after);
        world.cancel("run-3");
        recovers(&mut world);
        assert_eq!(world.running("run-3"), 0);
    }
}

/// Guards against a job called both done and cancelled: called off at every moment about the end
/// of its last task.
#[test]
fn a_cancellation_that_meets_the_end_of_the_job_leaves_one_answer() {
    let mut both = std::collections::BTreeSet::new();
    for kind in [JobKind::Array, JobKind::Gang] {
        let ended = |w: &World| w.finished.len() >= 2;
        let mut world = world_with(vec![quick("run-1", kind, 2)]);
        assert!(world.run_until(60_000, ended));
        let end = world.now;
        for at in (end - 500..end + 3_500).step_by(97) {
            let mut world = world_with(vec![quick("run-1", kind, 2)]);
            world.faults.store_delay = 40;
            world.run(at - world.now);
            if world.is_live("run-1") {
                world.cancel("run-1");
            }
            world.run(10_000);
            assert_eq!(world.broken, Vec::<String>::new());
            assert_eq!(world.keys("live/job/"), 0);
            both.insert(format!("{:?}", world.state("run-1").unwrap()));
        }
    }
    assert_eq!(both.len(), 2, "both outcomes were met: {both:?}");
    assert!(both.contains(&format!("{:?}", JobState::Done)));
}

/// Guards against tasks taken for live, or for gone, after nobody has led for longer than a lease.
#[test]
fn all_nodes_away_for_longer_than_a_lease_lose_no_job() {
    for away in [18_000, 25_000, 70_000] {
        let mut world = world_of_two_services();
        world.submit(quick("run-3", JobKind::Array, 2));
        let cut = world.machine_of("run-1").unwrap();
        for node in 0..3 {
            world.crash(node);
        }
        world.run(away - 2_000);
        // Out of reach when they return, too.
        world.faults.cut.insert(cut);
        world.run(2_000);
        world.start(0);
        world.run(1_000);
        world.cancel("run-2");
        world.run(10_000);
        recovers(&mut world);
        ends_well(&mut world, "run-3", 60_000);
        assert_eq!((world.running("run-1"), world.running("run-2")), (4, 0));
    }
}

/// Guards against anything that only lasts as long as a leader: ten in two minutes, also inside
/// an outage, with jobs submitted and cancelled all the while.
#[test]
fn ten_leaders_in_two_minutes_break_nothing() {
    for outage in [None, Some(2), Some(5)] {
        let mut world = world_with(vec![quick("run-0", JobKind::Service, 2)]);
        assert!(world.run_until(60_000, |w| w.running("run-0") == 2));
        for round in 1..=10 {
            world.submit(quick(&format!("run-{round}"), JobKind::Service, 1));
            let leads = world.leader().unwrap_or(round % 3);
            world.run(6_000);
            world.cancel(&format!("run-{round}"));
            world.faults.store_down =
                outage.is_some_and(|first| (first..first + 2).contains(&round));
            world.restart(leads, 1_000);
            world.run(5_000);
        }
        recovers(&mut world);
        assert_eq!((world.all_running(), world.running("run-0")), (2, 2));
    }
}

/// Guards against what a node keeps from an earlier office: it hands over, leads again, all end,
/// and one returns within a second.
#[test]
fn offices_handed_over_and_back_and_one_node_back_at_once_break_nothing() {
    for back in [50, 400, 950] {
        let mut world = world_of_two_services();
        world.submit(quick("run-3", JobKind::Array, 4));
        world.run(5_000);
        for _ in 0..2 {
            let leader = world.leader().unwrap();
            world.faults.no_workers = [leader].into();
            let handed = |w: &World| w.leader().is_some_and(|l| l != leader);
            assert!(world.run_until(60_000, handed));
            world.faults.no_workers.clear();
            world.run(16_000);
        }
        world.cancel("run-1");
        let last = world.leader().unwrap();
        for node in 0..3 {
            world.crash(node);
        }
        world.run(back);
        world.start(last);
        world.run(30_000);
        recovers(&mut world);
        ends_well(&mut world, "run-3", 60_000);
        assert_eq!((world.running("run-1"), world.running("run-2")), (0, 4));
    }
}

/// Guards against jobs of one zone that are placed elsewhere, twice or never: the zone, with a
/// node in it, is cut off for longer than a lease, and machines of theirs are lost meanwhile.
#[test]
fn jobs_of_a_zone_cut_off_for_long_lose_machines_and_get_others() {
    for cut_for in [20_000, 45_000, 90_000] {
        let mut jobs = vec![
            quick("run-1", JobKind::Service, 2),
            quick("run-2", JobKind::Array, 4),
        ];
        jobs[1].expected_duration_s = 300.0;
        for job in &mut jobs {
            job.zone = Some("west".into());
        }
        let mut world = world_with(jobs);
        assert!(world.run_until(60_000, |w| w.all_running() == 6));
        lead_from_the_east(&mut world);
        world.faults.zones_cut = true;
        world.run(5_000);
        let lost = world.machine_of("run-2").unwrap();
        world.faults.hung.insert(lost);
        world.run(cut_for);
        world.cancel("run-1");
        world.submit(quick("run-3", JobKind::Service, 1));
        world.run(5_000);
        world.faults.zones_cut = false;
        let all = world.run_until(
            crate::model::whole_millis(constants::LEASE_TTL) + 90_000,
            |w| w.waiting().is_empty(),
        );
        assert!(all, "{:?}: {}", world.waiting(), world.describe());
        recovers(&mut world);
        assert_eq!(world.running("run-1"), 0);
    }
}

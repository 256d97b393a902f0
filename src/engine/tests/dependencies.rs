//! Pipelines: jobs that wait for others. The world counts a start before what its job awaits is done.

use super::world::World;
use super::{ends_well, quick, world_with};
use crate::model::{Job as Known, JobPhase, JobSpec, Timestamp, UnixTime};
use crate::wire::user::{JobKind, JobState, JobSubmission, Priority, tests::job};
use std::time::Duration;

fn step(id: &str, kind: JobKind, tasks: u64, awaits: &[&str]) -> JobSubmission {
    let mut job = quick(id, kind, tasks);
    job.depends_on = awaits.iter().map(|id| (*id).to_owned()).collect();
    job
}

/// Four steps in a row, of each kind that ends.
fn chain() -> Vec<JobSubmission> {
    vec![
        step("run-1", JobKind::Array, 2, &[]),
        step("run-2", JobKind::Array, 3, &["run-1"]),
        step("run-3", JobKind::Gang, 2, &["run-2"]),
        step("run-4", JobKind::Array, 1, &["run-1", "run-3"]),
    ]
}

/// What all nodes say of a job that waits.
fn said(world: &mut World, id: &str) -> Vec<Option<JobState>> {
    (0..3).map(|node| world.step_state(node, id)).collect()
}

/// Guards against a step started on what a leader remembers: it ends at any step of a round, and of
/// the write that lets the next step start, which may also be carried out late.
#[test]
fn steps_run_in_order_whoever_leads() {
    for late_every in [0, 3] {
        for crash_at in (30_000..62_000).step_by(2_300) {
            let mut world = world_with(chain());
            world.faults.late_every = late_every;
            world.run(crash_at);
            if let Some(leader) = world.leader() {
                world.restart(leader, 800);
            }
            ends_well(&mut world, "run-4", 300_000);
            world.faults.late_every = 0;
            world.run(20_000);
            assert_eq!(world.broken, Vec::<String>::new());
            assert_eq!(world.keys("live/job/"), 0);
        }
    }
}

/// Guards against a dependant whose end hangs on a second write: none can be made for longer than a
/// cancellation may take, and nobody may call it queued meanwhile, nor after that.
#[test]
fn a_cancellation_goes_forward_although_nothing_can_be_written() {
    let mut jobs = chain();
    jobs[0].expected_duration_s = 300.0;
    let mut world = world_with(jobs);
    assert!(world.run_until(60_000, |w| w.running("run-1") == 2));
    assert_eq!(said(&mut world, "run-4"), [Some(JobState::Queued); 3]);
    world.cancel("run-1");
    world.run(30);
    world.faults.store_down = true;
    for _ in 0..12 {
        world.run(3_000);
        assert_eq!(said(&mut world, "run-3"), [None; 3]);
    }
    world.run(20_000);
    assert_eq!(world.all_running(), 0);
    world.faults.store_down = false;
    world.run(3_000);
    for id in ["run-2", "run-3", "run-4"] {
        assert!(world.run_until(5_000, |w| w.state(id) == Some(JobState::Cancelled)));
    }
    world.run(5_000);
    assert_eq!((world.keys("live/job/"), world.starts), (0, 2));
    assert_eq!(world.broken, Vec::<String>::new());
}

/// Guards against an answer older than one that another node has given: each asks the state service
/// for what is newer than the question, and nobody leads to write the dependants' ends.
#[test]
fn every_node_says_cancelled_as_soon_as_one_does() {
    let mut jobs = chain();
    jobs[0].expected_duration_s = 300.0;
    let mut world = world_with(jobs);
    assert!(world.run_until(60_000, |w| w.running("run-1") == 2));
    let leader = world.leader().unwrap();
    world.crash(leader);
    let others: Vec<usize> = (0..3).filter(|n| *n != leader).collect();
    world.faults.slow_watch.insert(others[1], 900);
    world.run(1_000);
    world.cancel("run-1");
    for node in others {
        for id in ["run-2", "run-4"] {
            assert_eq!(world.step_state(node, id), Some(JobState::Cancelled));
        }
    }
    assert_eq!(
        world.state("run-2"),
        None,
        "by the cancelled job's record alone"
    );
}

/// Jobs that name a cancelled one after its records are gone, and one by a node that has just started.
#[test]
fn a_job_that_names_a_cancelled_one_is_cancelled_with_it() {
    let mut world = world_with(vec![step("run-1", JobKind::Service, 1, &[])]);
    assert!(world.run_until(60_000, |w| w.running("run-1") == 1));
    world.cancel("run-1");
    assert!(world.run_until(20_000, |w| w.keys("live/job/") == 0));
    world.submit(step("run-2", JobKind::Array, 1, &["run-1"]));
    world.submit(step("run-3", JobKind::Array, 1, &["run-2"]));
    let leader = world.leader().unwrap();
    world.crash((leader + 1) % 3);
    world.start((leader + 1) % 3);
    for id in ["run-2", "run-3"] {
        assert!(world.run_until(10_000, |w| w.state(id) == Some(JobState::Cancelled)));
    }
    world.run(2_000);
    assert_eq!((world.keys("live/job/"), world.starts), (0, 1));
}

/// A step's end meets its cancellation: one of them is durable, and decides about the next steps.
#[test]
fn the_end_of_a_step_or_its_cancellation_decides_about_the_next() {
    let mut outcomes = std::collections::BTreeSet::new();
    let mut first = world_with(chain());
    assert!(first.run_until(60_000, |w| w.finished.len() == 2));
    for at in (first.now - 400..first.now + 4_000).step_by(173) {
        let mut world = world_with(chain());
        world.faults.store_delay = 40;
        world.run(at - world.now);
        let open = world.is_live("run-1");
        if open {
            world.cancel("run-1");
        }
        let state = if open {
            JobState::Cancelled
        } else {
            JobState::Done
        };
        outcomes.insert(open);
        assert!(world.run_until(120_000, |w| w.state("run-4") == Some(state)));
        assert_eq!(world.state("run-1"), Some(state));
        assert_eq!(world.broken, Vec::<String>::new());
        assert_eq!(world.starts == 2, open);
    }
    assert_eq!(outcomes.len(), 2, "both outcomes were met");
}

/// Guards against room held, or rented, for what can't start.
#[test]
fn a_waiting_job_holds_nothing() {
    let mut first = step("run-1", JobKind::Array, 1, &[]);
    first.expected_duration_s = 40.0;
    let waiting = step("run-2", JobKind::Array, 8, &["run-1"]);
    let mut world = world_with(vec![first, waiting]);
    assert!(world.run_until(60_000, |w| w.running("run-1") == 1));
    assert_eq!(world.workers.len(), 1, "nothing is rented for it");
    // The rest of the team's limit, although the waiting job came first.
    let mut other = step("run-3", JobKind::Gang, 7, &[]);
    other.priority = Priority::Low;
    world.submit(other);
    ends_well(&mut world, "run-3", 60_000);
    ends_well(&mut world, "run-2", 120_000);
}

#[test]
fn priority_and_deadline_flow_back() {
    let mut last = step("run-3", JobKind::Array, 1, &["run-2"]);
    (last.priority, last.deadline_s) = (Priority::High, Some(60.0));
    let mut low = step("run-1", JobKind::Array, 2, &[]);
    low.priority = Priority::Low;
    let mut normal = step("run-9", JobKind::Array, 2, &[]);
    for job in [&mut low, &mut normal] {
        (job.cpus, job.gpus) = (16.0, 4.0);
    }
    let mut world = World::new(3, 8.0);
    world.faults.capacity = Some(1);
    world.run(2_000);
    for job in [
        normal,
        low,
        step("run-2", JobKind::Array, 1, &["run-1"]),
        last,
    ] {
        world.submit(job);
    }
    // There is room for two tasks, one in each zone.
    assert!(world.run_until(60_000, |w| !w.begun.is_empty()));
    assert!(world.begun.contains("run-1"), "{:?}", world.begun);
    assert!(!world.begun.contains("run-9"));
    ends_well(&mut world, "run-3", 120_000);
}

/// A job that waited long for others has not waited for room.
#[test]
fn age_counts_from_when_a_job_could_begin_and_the_deadline_from_its_submission() {
    let mut spec = JobSpec::from(&quick("run-1", JobKind::Array, 1));
    spec.deadline = Some(Duration::from_secs(5));
    let mut job = Known::new(
        spec,
        1,
        UnixTime::from_millis(1_000),
        JobPhase::Open,
        Timestamp::default(),
    );
    let late = UnixTime::from_millis(1_000).saturating_add(2 * crate::constants::STARVATION_AFTER);
    assert!(job.is_starving(late));
    job.ready_at = UnixTime::from_millis(late.as_millis() - 1_000);
    assert!(!job.is_starving(late));
    assert_eq!(job.deadline(), UnixTime::from_millis(6_000));
}

/// A wide fan costs no more than its records: what a hundred jobs await, and one that awaits many.
#[test]
fn wide_fans_and_long_chains_are_carried_through() {
    let mut world = world_with(vec![step("run-0", JobKind::Array, 1, &[])]);
    let name = |n: usize| format!("run-{n}");
    for n in 1..40 {
        world.submit(step(&name(n), JobKind::Array, 1, &["run-0"]));
    }
    let fan: Vec<String> = (1..40).map(name).collect();
    let fan: Vec<&str> = fan.iter().map(|id| &**id).collect();
    world.submit(step("run-100", JobKind::Array, 1, &fan));
    for n in 101..160 {
        let mut job = step(&name(n), JobKind::Array, 1, &[&*name(n - 1)]);
        job.expected_duration_s = 1.0;
        world.submit(job);
    }
    world.run(1_000);
    assert_eq!(
        world.not_known(0, &["run-0", "run-39", "run-159", "run-7777"]),
        ["run-7777"]
    );
    ends_well(&mut world, "run-159", 600_000);
    assert_eq!(world.starts, 100);
}

/// The limits to come hold from some moment on: whatever is under way then, nothing that is sent
/// later is too large. The records of jobs accepted before are larger than they allow.
#[test]
fn limits_that_come_in_at_any_moment_of_a_round_are_kept() {
    let next = "[cluster.state.next]\nvalue_kb = 2.0\ntxn_ops = 4\nwrite_rps = 15.0";
    for at in (500..40_000).step_by(3_100) {
        let mut world = World::with_limits_to_come(3, 64.0, next);
        let mut large = quick("run-9", JobKind::Service, 1);
        large.machine_types = Some(vec!["g8".into(), "x".repeat(2_000)]);
        world.submit(large);
        world.run(2_000);
        for job in chain() {
            world.submit(job);
        }
        world.submit(quick("run-5", JobKind::Gang, 40));
        world.submit(quick("run-6", JobKind::Array, 20));
        // They end together.
        for n in 20..32 {
            world.submit(quick(&format!("run-{n}"), JobKind::Array, 1));
        }
        world.run(at);
        (world.txn_ops, world.value_max) = (4, 2 * 1024);
        let leader = world.leader().unwrap();
        world.restart(leader, 1_000);
        for id in ["run-4", "run-5", "run-6"] {
            ends_well(&mut world, id, 200_000);
        }
        assert_eq!(world.running("run-9"), 1);
        world.cancel("run-9");
        assert!(world.run_until(20_000, |w| w.keys("live/job/") == 0));
    }
}

/// A record as the production version wrote it.
macro_rules! production {
    ($name:literal) => {
        rmp_serde::from_slice(include_bytes!(concat!(
            "../../../tests/fixtures/production/",
            $name,
            ".msgpack"
        )))
        .unwrap()
    };
}

fn all_restart(world: &mut World, meanwhile: impl Fn(&mut World)) {
    for node in 0..3 {
        world.crash(node);
    }
    world.run(6_000);
    meanwhile(world);
    for node in 0..3 {
        world.start(node);
    }
}

/// Leadership passes from the production version to the new one, back, and to the new one again. The
/// production version is played by what it wrote, and by what it does to a job whose record it can't
/// read: its user cancels it, and it deletes the record.
#[test]
fn what_leaders_of_the_production_version_left_is_carried_on() {
    let mut world = World::new(3, 8.0);
    all_restart(&mut world, |w| {
        let mut gang = job("run-7", JobKind::Gang, 2);
        gang.expected_duration_s = 20.0;
        w.jobs.insert("run-7".into(), gang);
        w.put("term", production!("term"));
        w.put("live/job/run-7", production!("open"));
        // Of its term, on a machine that is long gone.
        w.put("rounds/0000000000700001", production!("round"));
    });
    assert!(world.run_until(10_000, |w| w.leader().is_some()));
    assert!(world.term() > 7);
    for step in [
        step("run-8", JobKind::Array, 1, &["run-7"]),
        step("run-9", JobKind::Array, 1, &["run-7"]),
        step("run-10", JobKind::Array, 1, &["run-9"]),
    ] {
        world.submit(step);
    }
    assert!(world.run_until(90_000, |w| w.running("run-7") == 2));
    all_restart(&mut world, |w| {
        assert!(w.is_live("run-9"));
        w.remove("live/job/run-9");
        w.put("final/run-9", production!("final_aborted"));
    });
    ends_well(&mut world, "run-8", 120_000);
    assert!(world.done("run-7"));
    assert!(world.run_until(10_000, |w| w.state("run-10") == Some(JobState::Cancelled)));
    world.run(5_000);
    for prefix in ["live/job/", "rounds/"] {
        assert_eq!(world.keys(prefix), 0, "{prefix}");
    }
    assert_eq!(world.broken, Vec::<String>::new());
}

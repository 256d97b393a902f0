//! Pipelines: jobs that wait for others. The cluster counts a start before what its job awaits is done.

use super::simulated_cluster::SimulatedCluster;
use super::{assert_completes, cluster_with, short_job};
use crate::model::{Job as Known, JobPhase, JobSpec};
use crate::wire::user::{JobKind, JobState, JobSubmission, Priority, tests::job};

fn step(id: &str, kind: JobKind, tasks: u64, awaits: &[&str]) -> JobSubmission {
    let mut job = short_job(id, kind, tasks);
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
fn said(cluster: &mut SimulatedCluster, id: &str) -> Vec<Option<JobState>> {
    (0..3)
        .map(|node| cluster.blocked_job_state(node, id))
        .collect()
}

/// Guards against a step started on what a leader remembers: it ends at any step of a round, and of
/// the write that lets the next step start, which may also be carried out late.
#[test]
fn dependency_chain_runs_in_order_across_failovers() {
    for late_every in [0, 3] {
        for crash_at in (30_000..62_000).step_by(2_300) {
            let mut cluster = cluster_with(chain());
            cluster.faults.delay_commit_every = late_every;
            cluster.run(crash_at);
            if let Some(leader) = cluster.leader() {
                cluster.restart(leader, 800);
            }
            assert_completes(&mut cluster, "run-4", 300_000);
            cluster.faults.delay_commit_every = 0;
            cluster.run(20_000);
            assert_eq!(cluster.violations, Vec::<String>::new());
            assert_eq!(cluster.count_keys("live/job/"), 0);
        }
    }
}

/// Guards against a dependant whose end hangs on a second write: none can be made for longer than a
/// cancellation may take, and nobody may call it queued meanwhile, nor after that.
#[test]
fn cancellation_propagates_to_dependents_during_an_outage() {
    let mut jobs = chain();
    jobs[0].expected_duration_s = 300.0;
    let mut cluster = cluster_with(jobs);
    assert!(cluster.run_until(60_000, |w| w.running_tasks("run-1") == 2));
    assert_eq!(said(&mut cluster, "run-4"), [Some(JobState::Queued); 3]);
    cluster.cancel("run-1");
    cluster.run(30);
    cluster.faults.store_unavailable = true;
    for _ in 0..12 {
        cluster.run(3_000);
        assert_eq!(said(&mut cluster, "run-3"), [None; 3]);
    }
    cluster.run(20_000);
    assert_eq!(cluster.all_running_tasks(), 0);
    cluster.faults.store_unavailable = false;
    cluster.run(3_000);
    for id in ["run-2", "run-3", "run-4"] {
        assert!(cluster.run_until(5_000, |w| w.final_state(id) == Some(JobState::Cancelled)));
    }
    cluster.run(5_000);
    assert_eq!((cluster.count_keys("live/job/"), cluster.starts), (0, 2));
    assert_eq!(cluster.violations, Vec::<String>::new());
}

/// Guards against an answer older than one that another node has given: each asks the state service
/// for what is newer than the question, and nobody leads to write the dependants' ends.
#[test]
fn all_nodes_report_a_dependents_cancellation_consistently() {
    let mut jobs = chain();
    jobs[0].expected_duration_s = 300.0;
    let mut cluster = cluster_with(jobs);
    assert!(cluster.run_until(60_000, |w| w.running_tasks("run-1") == 2));
    let leader = cluster.leader().unwrap();
    cluster.crash(leader);
    let others: Vec<usize> = (0..3).filter(|n| *n != leader).collect();
    cluster.faults.watch_delay.insert(others[1], 900);
    cluster.run(1_000);
    cluster.cancel("run-1");
    for node in others {
        for id in ["run-2", "run-4"] {
            assert_eq!(
                cluster.blocked_job_state(node, id),
                Some(JobState::Cancelled)
            );
        }
    }
    assert_eq!(
        cluster.final_state("run-2"),
        None,
        "by the cancelled job's record alone"
    );
}

/// Jobs that name a cancelled one after its records are gone, and one by a node that has just started.
#[test]
fn job_depending_on_a_cancelled_one_is_cancelled() {
    let mut cluster = cluster_with(vec![step("run-1", JobKind::Service, 1, &[])]);
    assert!(cluster.run_until(60_000, |w| w.running_tasks("run-1") == 1));
    cluster.cancel("run-1");
    assert!(cluster.run_until(20_000, |w| w.count_keys("live/job/") == 0));
    cluster.submit(step("run-2", JobKind::Array, 1, &["run-1"]));
    cluster.submit(step("run-3", JobKind::Array, 1, &["run-2"]));
    let leader = cluster.leader().unwrap();
    cluster.crash((leader + 1) % 3);
    cluster.start((leader + 1) % 3);
    for id in ["run-2", "run-3"] {
        assert!(cluster.run_until(10_000, |w| w.final_state(id) == Some(JobState::Cancelled)));
    }
    cluster.run(2_000);
    assert_eq!((cluster.count_keys("live/job/"), cluster.starts), (0, 1));
}

/// A step's end meets its cancellation: one of them is durable, and decides about the next steps.
#[test]
fn completion_or_cancellation_decides_about_dependents() {
    let mut outcomes = std::collections::BTreeSet::new();
    let mut first = cluster_with(chain());
    assert!(first.run_until(60_000, |w| w.completed_tasks.len() == 2));
    for at in (first.now - 400..first.now + 4_000).step_by(173) {
        let mut cluster = cluster_with(chain());
        cluster.faults.store_delay = 40;
        cluster.run(at - cluster.now);
        let open = cluster.has_live_record("run-1");
        if open {
            cluster.cancel("run-1");
        }
        let state = if open {
            JobState::Cancelled
        } else {
            JobState::Done
        };
        outcomes.insert(open);
        assert!(cluster.run_until(120_000, |w| w.final_state("run-4") == Some(state)));
        assert_eq!(cluster.final_state("run-1"), Some(state));
        assert_eq!(cluster.violations, Vec::<String>::new());
        assert_eq!(cluster.starts == 2, open);
    }
    assert_eq!(outcomes.len(), 2, "both outcomes were met");
}

/// Guards against room held, or rented, for what can't start.
#[test]
fn blocked_job_reserves_no_resources() {
    let mut first = step("run-1", JobKind::Array, 1, &[]);
    first.expected_duration_s = 40.0;
    let waiting = step("run-2", JobKind::Array, 8, &["run-1"]);
    let mut cluster = cluster_with(vec![first, waiting]);
    assert!(cluster.run_until(60_000, |w| w.running_tasks("run-1") == 1));
    assert_eq!(cluster.workers.len(), 1, "nothing is rented for it");
    // The rest of the team's limit, although the waiting job came first.
    let mut other = step("run-3", JobKind::Gang, 7, &[]);
    other.priority = Priority::Low;
    cluster.submit(other);
    assert_completes(&mut cluster, "run-3", 60_000);
    assert_completes(&mut cluster, "run-2", 120_000);
}

#[test]
fn dependencies_inherit_priority_and_deadline() {
    let mut last = step("run-3", JobKind::Array, 1, &["run-2"]);
    (last.priority, last.deadline_s) = (Priority::High, Some(60.0));
    let mut low = step("run-1", JobKind::Array, 2, &[]);
    low.priority = Priority::Low;
    let mut normal = step("run-9", JobKind::Array, 2, &[]);
    for job in [&mut low, &mut normal] {
        (job.cpus, job.gpus) = (16.0, 4.0);
    }
    let mut cluster = SimulatedCluster::new(3, 8.0);
    cluster.faults.zone_capacity = Some(1);
    cluster.run(2_000);
    for job in [
        normal,
        low,
        step("run-2", JobKind::Array, 1, &["run-1"]),
        last,
    ] {
        cluster.submit(job);
    }
    // There is room for two tasks, one in each zone.
    assert!(cluster.run_until(60_000, |w| !w.started_jobs.is_empty()));
    assert!(
        cluster.started_jobs.contains("run-1"),
        "{:?}",
        cluster.started_jobs
    );
    assert!(!cluster.started_jobs.contains("run-9"));
    assert_completes(&mut cluster, "run-3", 120_000);
}

/// A job that waited long for others has not waited for room.
#[test]
fn starvation_counts_from_readiness_and_deadline_from_submission() {
    let mut spec = JobSpec::from(&short_job("run-1", JobKind::Array, 1));
    spec.deadline_ms = Some(5_000);
    let mut job = Known::new(spec, 1, 1_000, JobPhase::Open, 0);
    let late = 1_000 + 2 * crate::constants::STARVATION_AFTER_MS;
    assert!(job.is_starving(late));
    job.ready_at = late - 1_000;
    assert!(!job.is_starving(late));
    assert_eq!(job.deadline(), 6_000);
}

/// A wide fan costs no more than its records: what a hundred jobs await, and one that awaits many.
#[test]
fn wide_and_long_dependency_graphs_complete() {
    let mut cluster = cluster_with(vec![step("run-0", JobKind::Array, 1, &[])]);
    let name = |n: usize| format!("run-{n}");
    for n in 1..40 {
        cluster.submit(step(&name(n), JobKind::Array, 1, &["run-0"]));
    }
    let fan: Vec<String> = (1..40).map(name).collect();
    let fan: Vec<&str> = fan.iter().map(|id| &**id).collect();
    cluster.submit(step("run-100", JobKind::Array, 1, &fan));
    for n in 101..160 {
        let mut job = step(&name(n), JobKind::Array, 1, &[&*name(n - 1)]);
        job.expected_duration_s = 1.0;
        cluster.submit(job);
    }
    cluster.run(1_000);
    assert_eq!(
        cluster.unknown_jobs(0, &["run-0", "run-39", "run-159", "run-7777"]),
        ["run-7777"]
    );
    assert_completes(&mut cluster, "run-159", 600_000);
    assert_eq!(cluster.starts, 100);
}

/// The limits to come hold from some moment on: whatever is under way then, nothing that is sent
/// later is too large. The records of jobs accepted before are larger than they allow.
#[test]
fn upcoming_limits_are_kept_from_any_moment_on() {
    let next = "[cluster.state.next]\nvalue_kb = 2.0\ntxn_ops = 4\nwrite_rps = 15.0";
    for at in (500..40_000).step_by(3_100) {
        let mut cluster = SimulatedCluster::with_upcoming_limits(3, 64.0, next);
        let mut large = short_job("run-9", JobKind::Service, 1);
        large.machine_types = Some(vec!["g8".into(), "x".repeat(2_000)]);
        cluster.submit(large);
        cluster.run(2_000);
        for job in chain() {
            cluster.submit(job);
        }
        cluster.submit(short_job("run-5", JobKind::Gang, 40));
        cluster.submit(short_job("run-6", JobKind::Array, 20));
        // They end together.
        for n in 20..32 {
            cluster.submit(short_job(&format!("run-{n}"), JobKind::Array, 1));
        }
        cluster.run(at);
        (cluster.max_mutations, cluster.max_value_bytes) = (4, 2 * 1024);
        let leader = cluster.leader().unwrap();
        cluster.restart(leader, 1_000);
        for id in ["run-4", "run-5", "run-6"] {
            assert_completes(&mut cluster, id, 200_000);
        }
        assert_eq!(cluster.running_tasks("run-9"), 1);
        cluster.cancel("run-9");
        assert!(cluster.run_until(20_000, |w| w.count_keys("live/job/") == 0));
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

fn all_restart(cluster: &mut SimulatedCluster, meanwhile: impl Fn(&mut SimulatedCluster)) {
    for node in 0..3 {
        cluster.crash(node);
    }
    cluster.run(6_000);
    meanwhile(cluster);
    for node in 0..3 {
        cluster.start(node);
    }
}

/// Leadership passes from the production version to the new one, back, and to the new one again. The
/// production version is played by what it wrote, and by what it does to a job whose record it can't
/// read: its user cancels it, and it deletes the record.
#[test]
fn records_of_production_version_leaders_are_carried_on() {
    let mut cluster = SimulatedCluster::new(3, 8.0);
    all_restart(&mut cluster, |w| {
        let mut gang = job("run-7", JobKind::Gang, 2);
        gang.expected_duration_s = 20.0;
        w.jobs.insert("run-7".into(), gang);
        w.put_record("term", production!("term"));
        w.put_record("live/job/run-7", production!("open"));
        // Of its term, on a machine that is long gone.
        w.put_record("rounds/0000000000700001", production!("round"));
    });
    assert!(cluster.run_until(10_000, |w| w.leader().is_some()));
    assert!(cluster.term() > 7);
    for step in [
        step("run-8", JobKind::Array, 1, &["run-7"]),
        step("run-9", JobKind::Array, 1, &["run-7"]),
        step("run-10", JobKind::Array, 1, &["run-9"]),
    ] {
        cluster.submit(step);
    }
    assert!(cluster.run_until(90_000, |w| w.running_tasks("run-7") == 2));
    all_restart(&mut cluster, |w| {
        assert!(w.has_live_record("run-9"));
        w.delete_record("live/job/run-9");
        w.put_record("final/run-9", production!("final_aborted"));
    });
    assert_completes(&mut cluster, "run-8", 120_000);
    assert!(cluster.is_done("run-7"));
    assert!(cluster.run_until(10_000, |w| w.final_state("run-10")
        == Some(JobState::Cancelled)));
    cluster.run(5_000);
    for prefix in ["live/job/", "rounds/"] {
        assert_eq!(cluster.count_keys(prefix), 0, "{prefix}");
    }
    assert_eq!(cluster.violations, Vec::<String>::new());
}

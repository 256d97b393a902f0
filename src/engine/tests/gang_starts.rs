//! Gangs whose machines have the image at different times, further apart than a task waits for its
//! gang.

use super::combined_faults::assert_recovers;
use super::simulated_cluster::{Millis, SimulatedCluster};
use super::support::{assert_completes, whole_machine_gang};
use crate::model::MachineId;
use crate::wire::user::JobSubmission;
use crate::wire::worker::ExitReason;

/// Time for which a task waits for its gang, as in the settings of the simulated nodes.
const GANG_TIMEOUT: Millis = 30_000;
/// Time that the first machine takes to fetch an image.
const FAST_FETCH: Millis = 37_500;
/// Time that the second machine takes to fetch an image.
const SLOW_FETCH: Millis = 75_000;
/// Times at which faults begin, counted from the start of both tasks: while both fetch, while the
/// first task waits, right after its exit, and right before and after the end of the slow fetch.
const MOMENTS: [Millis; 5] = [20_000, 50_000, 69_000, 73_500, 76_500];

/// Size of the gangs' images, which takes 50 s to fetch at the nominal rate of the machines.
const IMAGE_GB: f64 = 20.0;

/// Returns a gang with a large image whose tasks each need a whole machine.
fn gang(tasks: u64) -> JobSubmission {
    JobSubmission {
        image_gb: IMAGE_GB,
        ..whole_machine_gang("run-1", tasks)
    }
}

/// Creates a cluster whose gangs have a timeout, and runs it until all tasks of a gang are fetching.
/// The machine of the gang's task `n` fetches the image in `fetch_times[n]`.
fn cluster_with_fetching_gang(fetch_times: &[Millis]) -> SimulatedCluster {
    cluster_with_fetching_gang_of(IMAGE_GB, fetch_times)
}

/// Like [`cluster_with_fetching_gang`], with an image of that size.
fn cluster_with_fetching_gang_of(image_gb: f64, fetch_times: &[Millis]) -> SimulatedCluster {
    let _ = tracing_subscriber::fmt().with_test_writer().try_init();
    let mut cluster = SimulatedCluster::new(3, 4.0 * fetch_times.len() as f64);
    cluster.worker_conditions.gang_timeout = Some(GANG_TIMEOUT);
    cluster.run(2_000);
    cluster.submit(JobSubmission {
        image_gb,
        ..gang(fetch_times.len() as u64)
    });
    let all_started = |cluster: &SimulatedCluster| cluster.starts == fetch_times.len() as u64;
    assert!(cluster.run_until(60_000, all_started));
    for (index, time) in fetch_times.iter().enumerate() {
        let machine = machine_of(&cluster, index);
        cluster.worker_conditions.fetch_times.insert(machine, *time);
    }
    cluster
}

/// Returns the machine that has the task of the gang with the given index, in any state.
fn find_machine(cluster: &SimulatedCluster, index: usize) -> Option<String> {
    let task = format!("run-1/{index}");
    let mut workers = cluster.workers.iter();
    let machine = workers.find(|(_, worker)| worker.tasks.contains_key(&task));
    machine.map(|(name, _)| name.clone())
}

/// Returns the machine that has the task of the gang with the given index.
fn machine_of(cluster: &SimulatedCluster, index: usize) -> String {
    find_machine(cluster, index).unwrap()
}

/// Returns the attempts that are on the machines.
fn attempts(cluster: &SimulatedCluster) -> Vec<u64> {
    let tasks = cluster
        .workers
        .values()
        .flat_map(|worker| worker.tasks.values());
    let mut attempts: Vec<u64> = tasks.map(|task| task.attempt).collect();
    attempts.sort_unstable();
    attempts.dedup();
    attempts
}

/// Guards against a gang that never begins: the exit of the task that had its image first stopped
/// the task that was still fetching, and every attempt met the same difference again.
#[test]
fn gang_whose_images_arrive_far_apart_begins_in_its_first_attempt() {
    let mut cluster = cluster_with_fetching_gang(&[FAST_FETCH, SLOW_FETCH]);
    let first_attempt = attempts(&cluster);
    let begins = cluster.run_until(SLOW_FETCH + 10_000, |cluster| {
        cluster.running_tasks("run-1") == 2
    });
    assert!(begins, "the gang has not begun:\n{}", cluster.describe());
    assert_eq!(attempts(&cluster), first_attempt);
    assert_completes(&mut cluster, "run-1", 30_000);
    assert_eq!(cluster.starts, 3, "only the exited task was started again");
}

/// Guards against the tasks of a large gang that exit and are started again one after the other, so
/// that there is always one missing: their machines have the image at different times throughout
/// more than the time for which a task waits.
#[test]
fn large_gang_whose_images_arrive_throughout_a_minute_begins_in_its_first_attempt() {
    let tasks = 60;
    let step = (SLOW_FETCH - FAST_FETCH) / (tasks - 1);
    let fetch_times: Vec<Millis> = (0..tasks).map(|index| FAST_FETCH + index * step).collect();
    let mut cluster = cluster_with_fetching_gang(&fetch_times);
    let first_attempt = attempts(&cluster);
    let begins = cluster.run_until(SLOW_FETCH + GANG_TIMEOUT + 15_000, |cluster| {
        cluster.running_tasks("run-1") as u64 == tasks
    });
    assert!(begins, "the gang has not begun:\n{}", cluster.describe());
    assert_eq!(attempts(&cluster), first_attempt);
    assert_completes(&mut cluster, "run-1", 30_000);
}

/// Guards against a difference between machines that have the image in their cache and others that
/// fetch it, in the attempt that follows the loss of a machine.
#[test]
fn gang_with_one_cached_image_begins() {
    let mut cluster = cluster_with_fetching_gang(&[0, SLOW_FETCH]);
    let begins = cluster.run_until(SLOW_FETCH + GANG_TIMEOUT, |cluster| {
        cluster.running_tasks("run-1") == 2
    });
    assert!(begins, "the gang has not begun:\n{}", cluster.describe());
    cluster.restart_worker(&machine_of(&cluster, 0));
    assert_completes(&mut cluster, "run-1", 180_000);
}

/// Guards against a gang that fetches its image anew on other machines after it has lost a task,
/// because the leader believed that only machines on which the gang had run have the image.
#[test]
fn machine_of_a_waiting_task_is_known_to_have_the_image() {
    let mut cluster = cluster_with_fetching_gang(&[FAST_FETCH, SLOW_FETCH]);
    let machine = MachineId::from(machine_of(&cluster, 0).as_str());
    let image = cluster.jobs["run-1"].image.clone();
    let has_image = |cluster: &SimulatedCluster| {
        let engine = cluster.engine(cluster.leader().unwrap()).unwrap();
        let leader = engine.leadership.leader().unwrap();
        leader.machines.get(&machine).unwrap().has_image(&image)
    };
    assert!(!has_image(&cluster));
    cluster.run(FAST_FETCH + 4_000);
    assert!(has_image(&cluster));
}

/// Guards against a gang that waits without end for a fetch that never ends.
#[test]
fn gang_is_placed_anew_if_a_fetch_never_ends() {
    let mut cluster = cluster_with_fetching_gang(&[FAST_FETCH, Millis::MAX / 2]);
    let first_attempt = attempts(&cluster);
    cluster.run(140_000);
    assert_eq!(attempts(&cluster), first_attempt);
    let is_placed_anew = |cluster: &SimulatedCluster| attempts(cluster) > first_attempt;
    assert!(cluster.run_until(40_000, is_placed_anew));
    cluster.worker_conditions.fetch_times.clear();
    assert_completes(&mut cluster, "run-1", 120_000);
}

/// Guards against an overflow in the time limit of a fetch, by a gang whose image is too large for
/// any limit that a clock can represent.
#[test]
fn gang_with_an_immense_image_waits_for_it() {
    let mut cluster = cluster_with_fetching_gang_of(1e300, &[FAST_FETCH, 400_000]);
    let first_attempt = attempts(&cluster);
    cluster.run(390_000);
    assert_eq!(attempts(&cluster), first_attempt);
    assert_completes(&mut cluster, "run-1", 60_000);
}

/// Guards against a gang that is started again without end on machines on which it can't begin for
/// another reason than its images.
#[test]
fn gang_is_placed_anew_after_a_few_restarts() {
    let mut cluster = cluster_with_fetching_gang(&[FAST_FETCH, FAST_FETCH]);
    let alone = ExitReason::GangIncomplete;
    cluster.faults.forced_exits.insert("run-1".into(), alone);
    let first_attempt = attempts(&cluster);
    let is_placed_anew = |cluster: &SimulatedCluster| attempts(cluster) > first_attempt;
    assert!(cluster.run_until(FAST_FETCH + 30_000, is_placed_anew));
    let restarts = 2 * u64::from(crate::constants::MAX_GANG_RESTARTS);
    assert!((2 + restarts..=4 + restarts).contains(&cluster.starts));
    cluster.faults.forced_exits.clear();
    assert_completes(&mut cluster, "run-1", 120_000);
}

/// A fault or another event that may happen while a gang waits for an image.
type GangEvent = (&'static str, fn(&mut SimulatedCluster));

/// Applies `fault` to the machine that has the task with the given index, if one has it.
fn on_machine(
    cluster: &mut SimulatedCluster,
    index: usize,
    fault: fn(&mut SimulatedCluster, String),
) {
    if let Some(machine) = find_machine(cluster, index) {
        fault(cluster, machine);
    }
}

fn crash_leader(cluster: &mut SimulatedCluster) -> Option<usize> {
    let leader = cluster.leader()?;
    cluster.crash(leader);
    Some(leader)
}

fn restart_leader(cluster: &mut SimulatedCluster) {
    if let Some(leader) = crash_leader(cluster) {
        cluster.run(300);
        cluster.start(leader);
    }
}

fn hang(cluster: &mut SimulatedCluster, machine: String) {
    cluster.faults.hung_machines.insert(machine);
}

fn isolate(cluster: &mut SimulatedCluster, machine: String) {
    cluster.faults.unreachable_machines.insert(machine);
}

fn lose_replies(cluster: &mut SimulatedCluster, machine: String) {
    cluster.faults.machines_without_replies.insert(machine);
}

fn announce_preemption(cluster: &mut SimulatedCluster, machine: String) {
    cluster.faults.preemption_notices.insert(machine, 30.0);
}

const EVENTS: [GangEvent; 17] = [
    ("the leader crashes", |cluster| {
        crash_leader(cluster);
    }),
    ("the leader restarts", restart_leader),
    ("the state service is out", |cluster| {
        cluster.faults.store_unavailable = true;
    }),
    ("the state service refuses the leader", |cluster| {
        let leader = cluster.leader();
        cluster.faults.nodes_without_store.extend(leader);
    }),
    ("direct commands are lost", |cluster| {
        cluster.faults.lose_direct_commands = true;
    }),
    ("the zones are partitioned", |cluster| {
        cluster.faults.zones_partitioned = true;
    }),
    ("no machine can open connections", |cluster| {
        cluster.faults.machines_without_heartbeats = cluster.busy_machines();
    }),
    ("heartbeats arrive twice", |cluster| {
        cluster.faults.duplicate_heartbeat_every = 2;
    }),
    ("commits are applied late", |cluster| {
        cluster.faults.delay_commit_every = 2;
    }),
    ("the first worker restarts", |cluster| {
        on_machine(cluster, 0, |cluster, machine| {
            cluster.restart_worker(&machine)
        });
    }),
    ("the second worker restarts", |cluster| {
        on_machine(cluster, 1, |cluster, machine| {
            cluster.restart_worker(&machine)
        });
    }),
    ("the first machine hangs", |cluster| {
        on_machine(cluster, 0, hang)
    }),
    ("the second machine hangs", |cluster| {
        on_machine(cluster, 1, hang)
    }),
    ("the first machine is isolated", |cluster| {
        on_machine(cluster, 0, isolate)
    }),
    ("the second machine is isolated", |cluster| {
        on_machine(cluster, 1, isolate)
    }),
    ("replies to the first machine are lost", |cluster| {
        on_machine(cluster, 0, lose_replies)
    }),
    ("the cloud takes the second machine back", |cluster| {
        on_machine(cluster, 1, announce_preemption);
    }),
];

/// Runs a gang whose images arrive far apart until `moment`, applies the events two seconds apart,
/// and lets the faults last for `duration`.
fn cluster_after_events(
    moment: Millis,
    events: &[GangEvent],
    duration: Millis,
) -> SimulatedCluster {
    let mut cluster = cluster_with_fetching_gang(&[FAST_FETCH, SLOW_FETCH]);
    cluster.run(moment);
    for (_, event) in events {
        event(&mut cluster);
        cluster.run(2_000);
    }
    cluster.run(duration);
    cluster
}

/// Asserts that the gang completes once the faults are over, and that no invariant was violated.
#[track_caller]
fn assert_completes_after(moment: Millis, events: &[GangEvent], duration: Millis) {
    let names: Vec<&str> = events.iter().map(|(name, _)| *name).collect();
    let mut cluster = cluster_after_events(moment, events, duration);
    cluster.faults = Default::default();
    cluster.start_all_nodes();
    let done = cluster.run_until(240_000, |cluster| cluster.is_done("run-1"));
    let state = cluster.describe();
    assert!(
        done,
        "{names:?} at {moment} for {duration}: not done\n{state}"
    );
    let violations = &cluster.violations;
    assert!(
        violations.is_empty(),
        "{names:?} at {moment}: {violations:?}"
    );
}

/// Guards against a gang that is lost, run twice or never begun after a fault that meets it while
/// one task has exited and another still fetches.
#[test]
fn waiting_gang_survives_each_fault() {
    for moment in MOMENTS {
        for event in EVENTS {
            for duration in [3_000, 25_000, 60_000] {
                assert_completes_after(moment, &[event], duration);
            }
        }
    }
}

/// Guards against two faults together that lose a gang, run it twice or never begin it.
#[test]
fn waiting_gang_survives_two_faults_at_once() {
    for moment in MOMENTS {
        for first in EVENTS {
            for second in EVENTS {
                assert_completes_after(moment, &[first, second], 15_000);
            }
        }
    }
}

/// Guards against a task that is started again although its job is cancelled.
#[test]
fn cancelled_gang_is_not_started_again() {
    for moment in MOMENTS {
        for (name, event) in EVENTS {
            let mut cluster = cluster_after_events(moment, &[(name, event)], 0);
            if cluster.is_done("run-1") {
                continue;
            }
            cluster.cancel("run-1");
            cluster.run(60_000);
            cluster.faults = Default::default();
            cluster.start_all_nodes();
            assert_recovers(&mut cluster);
            assert_eq!(cluster.running_tasks("run-1"), 0, "{name} at {moment}");
        }
        let mut cluster = cluster_after_events(moment, &[], 0);
        cluster.cancel("run-1");
        cluster.run(1_500);
        let starts = cluster.starts;
        cluster.run(60_000);
        assert_eq!(
            cluster.starts, starts,
            "a task started after the cancellation"
        );
        assert_eq!(cluster.violations, Vec::<String>::new());
    }
}

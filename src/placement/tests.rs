use super::*;
use crate::constants::MAX_TASKS_PER_MACHINE;
use crate::model::{Job, JobId, JobPhase, JobSpec, Resources};
use crate::model::{Timestamp, UnixTime};
use crate::settings::Limit;
use crate::wire::user::{JobKind, JobSubmission, tests::job_submission};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Returns an empty on-demand machine.
pub(crate) fn snapshot(id: &str, zone: &str, gpus: f64) -> MachineSnapshot {
    let capacity = Resources::capacity(64.0, gpus, 512.0);
    MachineSnapshot {
        id: id.into(),
        machine_type: "g8".into(),
        zone: zone.into(),
        spot: false,
        capacity,
        available: capacity,
        free_task_slots: MAX_TASKS_PER_MACHINE,
        used_by_services: Resources::default(),
        images: Vec::new(),
        fetching: Vec::new(),
        boot_gb: 10.0,
    }
}

/// Returns a candidate without placed tasks.
pub(crate) fn candidate<'a>(id: &'a JobId, job: &'a Job) -> Candidate<'a> {
    Candidate {
        id,
        job,
        within_guarantee: true,
        starving: false,
        placed_by_zone: TasksByZone::new(),
        preempted_machines: None,
    }
}

/// Returns an open job of the team "vision" whose tasks request one GPU each. `change` modifies the
/// job's submission.
pub(super) fn job(kind: JobKind, tasks: u64, change: impl Fn(&mut JobSubmission)) -> Job {
    let mut submission = job_submission("run-1", kind, tasks);
    change(&mut submission);
    Job::new(
        JobSpec::from(&submission),
        1,
        UnixTime::from_millis(0),
        JobPhase::Open,
        Timestamp::from_millis(0),
    )
}

/// Returns quotas with a limit for the team "vision", in thousandths of a GPU. `None` means no
/// limit.
fn quotas(max_gpus: Option<u64>) -> QuotaUsage {
    let mut quotas = QuotaUsage::default();
    let limit = Limit {
        cpus: None,
        gpus: max_gpus,
    };
    quotas.set_limit("vision".into(), limit);
    quotas
}

const LIMITS: RoundLimits = RoundLimits {
    max_starts: 100,
    max_jobs: 100,
    allows_large_gang: true,
};

/// Plans a round for one job. Afterwards, the snapshots are sorted by machine id.
fn plan_job(job: &Job, snapshots: &mut [MachineSnapshot], max_gpus: Option<u64>) -> RoundPlan {
    let id = JobId::from("run-1");
    let mut machines = snapshots.to_vec();
    let plan = plan_round(
        &[candidate(&id, job)],
        &mut machines,
        &mut quotas(max_gpus),
        LIMITS,
    );
    machines.sort_by(|left, right| left.id.cmp(&right.id));
    snapshots.clone_from_slice(&machines);
    plan
}

/// Returns the machine of each start.
fn machines_of(plan: &RoundPlan) -> Vec<&str> {
    plan.starts.iter().map(|start| &*start.machine.0).collect()
}

#[test]
fn tasks_are_placed_on_the_fullest_machine_first() {
    let mut snapshots = [snapshot("a", "east", 8.0), snapshot("b", "east", 8.0)];
    snapshots[1].available.gpus = 2000;
    let plan = plan_job(&job(JobKind::Array, 3, |_| {}), &mut snapshots, None);
    assert_eq!(machines_of(&plan), ["b", "b", "a"]);
}

#[test]
fn machines_with_the_image_are_preferred_to_fuller_machines() {
    let mut snapshots = [
        snapshot("a", "east", 8.0),
        snapshot("b", "east", 8.0),
        snapshot("c", "east", 8.0),
    ];
    snapshots[0].available.gpus = 2000;
    snapshots[0].fetching.push(PendingFetch {
        image: "img-9".into(),
        remaining_gb: 5.0,
    });
    snapshots[1].images.push("img-1".into());
    snapshots[1].available.gpus = 1000;
    let plan = plan_job(&job(JobKind::Array, 3, |_| {}), &mut snapshots, None);
    assert_eq!(
        machines_of(&plan),
        ["b", "c", "c"],
        "first the machine that has the image, then a machine without other fetches"
    );
}

#[test]
fn team_limit_bounds_starts_and_unplaced_tasks() {
    let mut snapshots = [snapshot("a", "east", 8.0)];
    let plan = plan_job(
        &job(JobKind::Array, 100, |_| {}),
        &mut snapshots,
        Some(3000),
    );
    assert_eq!((plan.starts.len(), plan.unplaced.len()), (3, 0));
    let mut snapshots = [snapshot("a", "east", 2.0)];
    let plan = plan_job(
        &job(JobKind::Array, 100, |_| {}),
        &mut snapshots,
        Some(3000),
    );
    assert_eq!((plan.starts.len(), plan.unplaced[0].tasks), (2, 1));
}

#[test]
fn gang_is_placed_as_a_whole_and_in_one_zone_if_required() {
    let mut snapshots = [snapshot("a", "east", 2.0), snapshot("b", "west", 2.0)];
    let gang = job(JobKind::Gang, 3, |submission| submission.single_zone = true);
    let plan = plan_job(&gang, &mut snapshots, None);
    assert!(plan.starts.is_empty() && plan.unplaced[0].tasks == 3);
    assert_eq!(
        snapshots[0].available.gpus, 2000,
        "no resources are allocated to a gang that does not fit"
    );
    let plan = plan_job(&job(JobKind::Gang, 3, |_| {}), &mut snapshots, None);
    assert_eq!(plan.starts.len(), 3);
}

#[test]
fn zone_machine_type_and_spot_constraints_are_honored() {
    let mut snapshots = [snapshot("a", "east", 9.0), snapshot("b", "west", 9.0)];
    let plan = plan_job(
        &job(JobKind::Service, 5, |submission| {
            submission.spread_zones = true
        }),
        &mut snapshots,
        None,
    );
    let in_east = machines_of(&plan)
        .into_iter()
        .filter(|machine| *machine == "a")
        .count();
    assert_eq!((plan.starts.len(), in_east), (5, 3));
    let mut snapshots = [snapshot("a", "east", 8.0)];
    snapshots[0].spot = true;
    let on_demand_only = job(JobKind::Array, 1, |_| {});
    let plan = plan_job(&on_demand_only, &mut snapshots, None);
    assert!(plan.starts.is_empty());
    let allows_spot = job(JobKind::Array, 1, |submission| {
        submission.allows_spot = true
    });
    let plan = plan_job(&allows_spot, &mut snapshots, None);
    assert_eq!(plan.starts.len(), 1);
    let mut snapshots = [snapshot("a", "east", 8.0)];
    let other_type = job(JobKind::Array, 1, |submission| {
        submission.machine_types = Some(vec!["cpu".into()])
    });
    assert!(
        plan_job(&other_type, &mut snapshots, None)
            .starts
            .is_empty()
    );
    let other_zone = job(JobKind::Array, 1, |submission| {
        submission.zone = Some("west".into())
    });
    assert!(
        plan_job(&other_zone, &mut snapshots, None)
            .starts
            .is_empty()
    );
}

/// A heartbeat lists every task of its machine and may have at most 64 KiB. If a machine were
/// filled with small tasks without a limit, its heartbeats would exceed that size and be refused.
#[test]
fn machine_takes_no_more_tasks_than_a_heartbeat_can_list() {
    let tiny = |submission: &mut JobSubmission| {
        (submission.cpus, submission.gpus, submission.memory_gb) = (0.01, 0.0, 0.01)
    };
    for kind in [JobKind::Array, JobKind::Gang] {
        let mut snapshots = [snapshot("a", "east", 8.0), snapshot("b", "east", 8.0)];
        let plan = plan_job(&job(kind, 500, tiny), &mut snapshots, None);
        let starts = plan.starts.len() + plan.large_gang.len();
        let starts_on = |id: &str| {
            let all = plan.starts.iter().chain(&plan.large_gang);
            all.filter(|start| &*start.machine.0 == id).count()
        };
        assert_eq!(starts_on("a") + starts_on("b"), starts);
        assert!(starts_on("a").max(starts_on("b")) <= MAX_TASKS_PER_MACHINE as usize);
        if kind == JobKind::Gang {
            assert_eq!(starts, 500);
        }
    }
}

/// Returns machines of eight GPUs in two zones, each with a random number of available GPUs. Some
/// of them have the jobs' image.
fn random_machines(random: &mut SmallRng) -> Vec<MachineSnapshot> {
    let mut machines: Vec<MachineSnapshot> = (0..random.random_range(1..30))
        .map(|number| snapshot(&format!("m{number:02}"), ["east", "west"][number % 2], 8.0))
        .collect();
    for machine in &mut machines {
        machine.available.gpus = random.random_range(0..=8) * 1000;
        if random.random_bool(0.3) {
            machine.images.push("img-1".into());
        }
    }
    machines
}

/// Returns jobs of random kinds. Some of them are gangs that require a single zone.
fn random_jobs(random: &mut SmallRng) -> Vec<(JobId, Job)> {
    let kinds = [JobKind::Array, JobKind::Gang, JobKind::Service];
    (0..random.random_range(1..6))
        .map(|number| {
            let kind = kinds[random.random_range(0..kinds.len())];
            let gpus = f64::from(random.random_range(2..6));
            let change = |submission: &mut JobSubmission| {
                submission.gpus = gpus;
                submission.single_zone = kind == JobKind::Gang && number % 2 == 0;
                submission.spread_zones = kind == JobKind::Service;
            };
            let tasks = random.random_range(1..6);
            let id = JobId::from(&*format!("run-{number}"));
            (id, job(kind, tasks, change))
        })
        .collect()
}

/// A scheduling pass does not copy the machines without room for any candidate's task. A plan made
/// without them must equal the plan made with all machines.
#[test]
fn machines_without_room_for_any_candidate_do_not_change_the_plan() {
    let seed = 11;
    let mut random = SmallRng::seed_from_u64(seed);
    let (mut left_out, mut starts) = (0, 0);
    for round in 0..300 {
        let mut all = random_machines(&mut random);
        let jobs = random_jobs(&mut random);
        let starving = random.random_bool(0.2);
        let candidates: Vec<Candidate<'_>> = jobs
            .iter()
            .map(|(id, job)| Candidate {
                starving,
                ..candidate(id, job)
            })
            .collect();
        let min_available = min_available(&candidates);
        let mut with_room: Vec<MachineSnapshot> = all
            .iter()
            .filter(|machine| min_available.fits_in(machine.available))
            .cloned()
            .collect();
        left_out += all.len() - with_room.len();
        let plan_of_all = plan_round(&candidates, &mut all, &mut quotas(None), LIMITS);
        let plan = plan_round(&candidates, &mut with_room, &mut quotas(None), LIMITS);
        assert_eq!(plan_of_all, plan, "seed {seed}, round {round}");
        starts += plan.starts.len();
    }
    assert!(left_out > 100, "{left_out} left out");
    assert!(starts > 100, "{starts} starts");
}

use super::*;
use crate::model::JobPhase;
use crate::model::{Timestamp, UnixTime};
use crate::wire::user::tests::job as wire_job;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

pub fn snapshot(id: &str, zone: &str, gpus: f64) -> MachineSnapshot {
    let size = Resources::capacity(64.0, gpus, 512.0);
    MachineSnapshot {
        id: id.into(),
        machine_type: "g8".into(),
        zone: zone.into(),
        spot: false,
        capacity: size,
        available: size,
        free_task_slots: MAX_TASKS_PER_MACHINE,
        long_running: Resources::default(),
        images: Vec::new(),
        fetching: Vec::new(),
        boot_gb: 10.0,
    }
}

fn job(kind: JobKind, tasks: u64, change: impl Fn(&mut crate::wire::user::JobSubmission)) -> Job {
    let mut wire = wire_job("run-1", kind, tasks);
    change(&mut wire);
    Job::new(
        JobSpec::from(&wire),
        1,
        UnixTime::from_millis(0),
        JobPhase::Open,
        Timestamp::from_millis(0),
    )
}

fn run(job: &Job, snapshots: &mut [MachineSnapshot], gpus_max: Option<u64>) -> RoundPlan {
    let mut quotas = QuotaUsage::default();
    quotas.limits.insert(
        "vision".into(),
        Limit {
            cpus: None,
            gpus: gpus_max,
        },
    );
    let id = JobId::from("run-1");
    let candidate = Candidate {
        id: &id,
        job,
        within_guarantee: true,
        starving: false,
        zones: BTreeMap::new(),
    };
    let bounds = Bounds {
        starts: 100,
        jobs: 100,
        large_gang: true,
    };
    let mut rooms = snapshots.to_vec();
    let plan = plan(&[candidate], &mut rooms, &mut quotas, bounds);
    rooms.sort_by(|a, b| a.id.cmp(&b.id));
    snapshots.clone_from_slice(&rooms);
    plan
}

#[test]
fn tasks_fill_the_fullest_machine_first() {
    let mut snapshots = [snapshot("a", "east", 8.0), snapshot("b", "east", 8.0)];
    snapshots[1].available.gpus = 2000;
    let plan = run(&job(JobKind::Array, 3, |_| {}), &mut snapshots, None);
    let on: Vec<&str> = plan.starts.iter().map(|s| &*s.machine.0).collect();
    assert_eq!(on, ["b", "b", "a"]);
}

#[test]
fn images_on_the_machine_count_before_fullness() {
    let mut snapshots = [
        snapshot("a", "east", 8.0),
        snapshot("b", "east", 8.0),
        snapshot("c", "east", 8.0),
    ];
    snapshots[0].available.gpus = 2000;
    snapshots[0].fetching.push(("img-9".into(), 5.0));
    snapshots[1].images.push("img-1".into());
    snapshots[1].available.gpus = 1000;
    let plan = run(&job(JobKind::Array, 3, |_| {}), &mut snapshots, None);
    let on: Vec<&str> = plan.starts.iter().map(|s| &*s.machine.0).collect();
    assert_eq!(
        on,
        ["b", "c", "c"],
        "the machine that has it, then one that fetches it alone"
    );
}

#[test]
fn team_limits_bound_starts_and_demand() {
    let mut snapshots = [snapshot("a", "east", 8.0)];
    let plan = run(
        &job(JobKind::Array, 100, |_| {}),
        &mut snapshots,
        Some(3000),
    );
    assert_eq!((plan.starts.len(), plan.unplaced.len()), (3, 0));
    let mut snapshots = [snapshot("a", "east", 2.0)];
    let plan = run(
        &job(JobKind::Array, 100, |_| {}),
        &mut snapshots,
        Some(3000),
    );
    assert_eq!((plan.starts.len(), plan.unplaced[0].tasks), (2, 1));
}

#[test]
fn gangs_are_placed_whole_and_in_one_zone_if_asked() {
    let mut snapshots = [snapshot("a", "east", 2.0), snapshot("b", "west", 2.0)];
    let gang = job(JobKind::Gang, 3, |j| j.single_zone = true);
    let plan = run(&gang, &mut snapshots, None);
    assert!(plan.starts.is_empty() && plan.unplaced[0].tasks == 3);
    assert_eq!(
        snapshots[0].available.gpus, 2000,
        "nothing is held for a gang that does not fit"
    );
    let plan = run(&job(JobKind::Gang, 3, |_| {}), &mut snapshots, None);
    assert_eq!(plan.starts.len(), 3);
}

#[test]
fn earlier_deadlines_are_served_first_within_a_priority() {
    let with = |due| job(JobKind::Array, 1, move |j| j.deadline_s = due);
    let mut urgent = with(None);
    urgent.spec.priority = crate::wire::user::Priority::High;
    let jobs = [with(None), with(Some(90.0)), with(Some(30.0)), urgent];
    let ids = ["run-1", "run-2", "run-3", "run-4"].map(JobId::from);
    let mut candidates: Vec<Candidate<'_>> = ids
        .iter()
        .zip(&jobs)
        .map(|(id, job)| Candidate {
            id,
            job,
            within_guarantee: false,
            starving: false,
            zones: BTreeMap::new(),
        })
        .collect();
    order(&mut candidates);
    let order: Vec<&str> = candidates.iter().map(|c| &*c.id.0).collect();
    assert_eq!(order, ["run-4", "run-3", "run-2", "run-1"]);
}

#[test]
fn zones_types_and_kinds_are_kept() {
    let mut snapshots = [snapshot("a", "east", 9.0), snapshot("b", "west", 9.0)];
    let plan = run(
        &job(JobKind::Service, 5, |j| j.spread_zones = true),
        &mut snapshots,
        None,
    );
    let east = plan.starts.iter().filter(|s| &*s.machine.0 == "a").count();
    assert_eq!((plan.starts.len(), east), (5, 3));
    let mut snapshots = [snapshot("a", "east", 8.0)];
    snapshots[0].spot = true;
    assert!(
        run(&job(JobKind::Array, 1, |_| {}), &mut snapshots, None)
            .starts
            .is_empty()
    );
    assert_eq!(
        run(
            &job(JobKind::Array, 1, |j| j.allows_spot = true),
            &mut snapshots,
            None
        )
        .starts
        .len(),
        1
    );
    let mut snapshots = [snapshot("a", "east", 8.0)];
    let other = job(JobKind::Array, 1, |j| {
        j.machine_types = Some(vec!["cpu".into()])
    });
    assert!(run(&other, &mut snapshots, None).starts.is_empty());
    let west = job(JobKind::Array, 1, |j| j.zone = Some("west".into()));
    assert!(run(&west, &mut snapshots, None).starts.is_empty());
}

/// A worker's report, which names every task, holds 64 KiB: a machine filled with small tasks could
/// never be heard again.
#[test]
fn a_machine_takes_no_more_tasks_than_its_reports_can_name() {
    let tiny = |job: &mut crate::wire::user::JobSubmission| {
        (job.cpus, job.gpus, job.memory_gb) = (0.01, 0.0, 0.01)
    };
    for kind in [JobKind::Array, JobKind::Gang] {
        let mut snapshots = [snapshot("a", "east", 8.0), snapshot("b", "east", 8.0)];
        let plan = run(&job(kind, 500, tiny), &mut snapshots, None);
        let starts = plan.starts.len() + plan.large_gang.len();
        let on = |id: &str| {
            let all = plan.starts.iter().chain(&plan.large_gang);
            all.filter(|start| &*start.machine.0 == id).count()
        };
        assert_eq!(on("a") + on("b"), starts);
        assert!(on("a").max(on("b")) <= MAX_TASKS_PER_MACHINE as usize);
        if kind == JobKind::Gang {
            assert_eq!(starts, 500);
        }
    }
}

/// Machines without room for any candidate's task make no difference to a round, so that a pass need
/// not copy them.
#[test]
fn machines_without_room_for_anybody_do_not_change_a_round() {
    let seed = 11;
    let mut random = SmallRng::seed_from_u64(seed);
    let kinds = [JobKind::Array, JobKind::Gang, JobKind::Service];
    let mut left_out = 0;
    for round in 0..300 {
        let mut all: Vec<MachineSnapshot> = (0..random.random_range(1..30))
            .map(|n| snapshot(&format!("m{n:02}"), ["east", "west"][n % 2], 8.0))
            .collect();
        for snapshot in &mut all {
            snapshot.available.gpus = random.random_range(0..=8) * 1000;
            if random.random_bool(0.3) {
                snapshot.images.push("img-1".into());
            }
        }
        let jobs: Vec<(JobId, Job)> = (0..random.random_range(1..6))
            .map(|n| {
                let kind = kinds[random.random_range(0..kinds.len())];
                let gpus = f64::from(random.random_range(2..6));
                let change = |job: &mut crate::wire::user::JobSubmission| {
                    job.gpus = gpus;
                    job.single_zone = kind == JobKind::Gang && n % 2 == 0;
                    job.spread_zones = kind == JobKind::Service;
                };
                let tasks = random.random_range(1..6);
                (JobId::from(&*format!("run-{n}")), job(kind, tasks, change))
            })
            .collect();
        let starving = random.random_bool(0.2);
        let candidates: Vec<Candidate<'_>> = jobs
            .iter()
            .map(|(id, job)| Candidate {
                id,
                job,
                within_guarantee: true,
                starving,
                zones: BTreeMap::new(),
            })
            .collect();
        let least = least_room(&candidates);
        let roomy = all
            .iter()
            .filter(|snapshot| least.fits_in(snapshot.available));
        let mut roomy: Vec<MachineSnapshot> = roomy.cloned().collect();
        left_out += all.len() - roomy.len();
        let bounds = Bounds {
            starts: 100,
            jobs: 100,
            large_gang: true,
        };
        let whole = plan(&candidates, &mut all, &mut QuotaUsage::default(), bounds);
        let part = plan(&candidates, &mut roomy, &mut QuotaUsage::default(), bounds);
        assert_eq!(whole, part, "seed {seed}, round {round}");
    }
    assert!(left_out > 100, "{left_out} left out");
}

use super::*;
use crate::model::UnixTime;
use crate::model::{JobPhase, PlacementStage};
use crate::placement::tests::{candidate, snapshot};
use crate::wire::user::{JobKind, tests::job_submission};
use crate::wire::worker::TaskState;

/// Returns a job whose first tasks run on `machines`, one task for each entry.
fn job(team: &str, priority: Priority, machines: &[&str]) -> Job {
    let mut submission = job_submission("run-1", JobKind::Array, 4);
    submission.team = team.into();
    submission.priority = priority;
    submission.gpus = 2.0;
    let mut job = Job::new(
        JobSpec::from(&submission),
        1,
        UnixTime::from_millis(0),
        JobPhase::Open,
        Timestamp::from_millis(0),
    );
    for (index, machine) in (0..).zip(machines) {
        let running = PlacementStage::Reported(TaskState::Running);
        let placement = Placement::new((*machine).into(), 1, running, Timestamp::default());
        job.placements.insert(index, placement);
    }
    job
}

/// A job with running tasks.
struct RunningJob<'a> {
    id: &'a str,
    job: &'a Job,
    within_guarantee: bool,
}

/// Returns the victims that are chosen for one task of `waiting` on two machines of four GPUs.
fn victims(waiting: &Job, within_guarantee: bool, running: &[RunningJob<'_>]) -> Vec<String> {
    let mut snapshots = ["a", "b"].map(|id| snapshot(id, "east", 4.0));
    for job in running.iter().map(|running| running.job) {
        for placement in job.placements.values() {
            let snapshot = snapshots
                .iter_mut()
                .find(|snapshot| snapshot.id == placement.machine)
                .unwrap();
            snapshot.available = snapshot.available - job.spec.request;
        }
    }
    let ids: Vec<JobId> = running.iter().map(|running| running.id.into()).collect();
    let jobs = ids.iter().zip(running.iter().map(|running| running.job));
    let is_within_guarantee = |id: &JobId| {
        running
            .iter()
            .any(|running| running.within_guarantee && running.id == &*id.0)
    };
    let preemptible = preemptible_tasks(
        jobs,
        is_within_guarantee,
        Timestamp::default() + MIN_RUN_BEFORE_PREEMPTION,
    );
    let id = JobId::from("run-0");
    let candidate = Candidate {
        within_guarantee,
        ..candidate(&id, waiting)
    };
    choose_victims(&candidate, 1, &snapshots, &preemptible)
        .unwrap_or_default()
        .victims
        .iter()
        .map(ToString::to_string)
        .collect()
}

/// Returns a running job that exceeds its team's guarantee.
fn beyond_guarantee<'a>(id: &'a str, job: &'a Job) -> RunningJob<'a> {
    RunningJob {
        id,
        job,
        within_guarantee: false,
    }
}

#[test]
fn lower_priority_is_preempted_and_equal_priority_is_not() {
    let waiting = job("x", Priority::High, &[]);
    let low = job("x", Priority::Low, &["a", "b"]);
    let normal = job("x", Priority::Normal, &["a", "b"]);
    let running = [
        beyond_guarantee("run-8", &normal),
        beyond_guarantee("run-9", &low),
    ];
    assert_eq!(victims(&waiting, false, &running), ["run-9/0"]);
    let equal = job("x", Priority::High, &["a", "a", "b", "b"]);
    let running = [beyond_guarantee("run-9", &equal)];
    assert!(victims(&waiting, false, &running).is_empty());
}

#[test]
fn tasks_beyond_guarantee_are_preempted_for_guaranteed_job_regardless_of_priority() {
    let waiting = job("x", Priority::Normal, &[]);
    let other_team = job("y", Priority::Production, &["a", "a", "b", "b"]);
    let exceeding_guarantee = [beyond_guarantee("run-9", &other_team)];
    assert_eq!(victims(&waiting, true, &exceeding_guarantee).len(), 1);
    let guaranteed = [RunningJob {
        within_guarantee: true,
        ..beyond_guarantee("run-9", &other_team)
    }];
    assert!(
        victims(&waiting, true, &guaranteed).is_empty(),
        "the running job is within its team's guarantee"
    );
    assert!(victims(&waiting, false, &exceeding_guarantee).is_empty());
}

/// Guards against a gang in one zone that gets no room because the cheapest victim is in a zone
/// that is too small for it.
#[test]
fn single_zone_gang_gets_the_cheapest_zone_in_which_it_fits() {
    let mut waiting = job("x", Priority::High, &[]);
    waiting.spec.single_zone = true;
    let cheap = job("x", Priority::Low, &["a"]);
    let costly = job("x", Priority::Normal, &["b", "c"]);
    let mut snapshots =
        [("a", "east"), ("b", "west"), ("c", "west")].map(|(id, zone)| snapshot(id, zone, 4.0));
    for snapshot in &mut snapshots {
        snapshot.available = Resources::default();
    }
    let (first, second) = (JobId::from("run-8"), JobId::from("run-9"));
    let jobs = [(&first, &cheap), (&second, &costly)];
    let now = Timestamp::default() + MIN_RUN_BEFORE_PREEMPTION;
    let running = preemptible_tasks(jobs.into_iter(), |_| false, now);
    let id = JobId::from("run-0");
    let victims = |tasks| {
        let candidate = candidate(&id, &waiting);
        let selection = choose_victims(&candidate, tasks, &snapshots, &running)?;
        let victims = selection.victims.iter().map(ToString::to_string);
        Some(victims.collect::<Vec<_>>())
    };
    assert_eq!(victims(1).unwrap(), ["run-8/0"]);
    assert_eq!(victims(2).unwrap(), ["run-9/0", "run-9/1"]);
    assert_eq!(victims(3), None);
}

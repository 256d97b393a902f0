use super::*;
use crate::model::UnixTime;
use crate::model::{JobPhase, JobSpec, PlacementStage};
use crate::wire::user::{JobKind, tests::job as wire_job};
use crate::wire::worker::TaskState;

fn job(team: &str, priority: Priority, on: &[&str]) -> Job {
    let mut wire = wire_job("run-1", JobKind::Array, 4);
    wire.team = team.into();
    wire.priority = priority;
    wire.gpus = 2.0;
    let mut job = Job::new(
        JobSpec::from(&wire),
        1,
        UnixTime::from_millis(0),
        JobPhase::Open,
        Timestamp::from_millis(0),
    );
    for (index, machine) in (0..).zip(on) {
        let placement = Placement {
            machine: (*machine).into(),
            attempt: 1,
            stage: PlacementStage::Reported(TaskState::Running),
            stage_since: Timestamp::default(),
            stop_request: None,
        };
        job.placements.insert(index, placement);
    }
    job
}

fn stopped(ours: &Job, within_guarantee: bool, theirs: &[(&str, &Job, bool)]) -> Vec<String> {
    let mut snapshots = ["a", "b"].map(|id| crate::placement::tests::snapshot(id, "east", 4.0));
    let ids: Vec<JobId> = theirs.iter().map(|(id, ..)| (*id).into()).collect();
    for (_, job, _) in theirs {
        for placement in job.placements.values() {
            let snapshot = snapshots
                .iter_mut()
                .find(|s| s.id == placement.machine)
                .unwrap();
            snapshot.available = snapshot.available - job.spec.request;
        }
    }
    let jobs = ids.iter().zip(theirs.iter().map(|(_, job, _)| *job));
    let within = |id: &JobId| theirs.iter().any(|(name, _, g)| *g && *name == &*id.0);
    let running = running(
        jobs,
        within,
        Timestamp::default() + MIN_RUN_BEFORE_PREEMPTION,
    );
    let id = JobId::from("run-0");
    let candidate = Candidate {
        id: &id,
        job: ours,
        within_guarantee,
        starving: false,
        zones: BTreeMap::new(),
    };
    victims(&candidate, 1, &snapshots, &running)
        .iter()
        .map(ToString::to_string)
        .collect()
}

#[test]
fn lower_priority_gives_way_and_equal_does_not() {
    let ours = job("x", Priority::High, &[]);
    let low = job("x", Priority::Low, &["a", "b"]);
    let normal = job("x", Priority::Normal, &["a", "b"]);
    assert_eq!(
        stopped(
            &ours,
            false,
            &[("run-8", &normal, false), ("run-9", &low, false)]
        ),
        ["run-9/0"]
    );
    let same = job("x", Priority::High, &["a", "a", "b", "b"]);
    assert!(stopped(&ours, false, &[("run-9", &same, false)]).is_empty());
}

#[test]
fn borrowed_room_is_given_back_whatever_its_priority() {
    let ours = job("x", Priority::Normal, &[]);
    let theirs = job("y", Priority::Production, &["a", "a", "b", "b"]);
    assert_eq!(stopped(&ours, true, &[("run-9", &theirs, false)]).len(), 1);
    assert!(
        stopped(&ours, true, &[("run-9", &theirs, true)]).is_empty(),
        "their guarantee"
    );
    assert!(stopped(&ours, false, &[("run-9", &theirs, false)]).is_empty());
}

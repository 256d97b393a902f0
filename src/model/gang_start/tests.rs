use super::{GangStart, GangTiming};
use crate::model::{
    Job, JobPhase, JobSpec, Placement, PlacementStage, StopRequest, Timestamp, UnixTime,
};
use crate::wire::user::JobKind;
use crate::wire::user::tests::job_submission;
use crate::wire::worker::TaskState;
use std::time::Duration;

const TIMING: GangTiming = GangTiming {
    wait: Duration::from_secs(30),
    restart: Duration::from_secs(10),
};
const AWAITING_RESTART: PlacementStage = PlacementStage::AwaitingRestart;
const FETCHING: PlacementStage = PlacementStage::Reported(TaskState::Fetching);
const WAITING: PlacementStage = PlacementStage::Reported(TaskState::WaitingForGang);
const RUNNING: PlacementStage = PlacementStage::Reported(TaskState::Running);

/// Returns a gang of three whose tasks entered these stages at time 0.
fn gang(stages: &[PlacementStage]) -> Job {
    let spec = JobSpec::from(&job_submission("run-1", JobKind::Gang, 3));
    let submitted_at = UnixTime::from_millis(0);
    let mut job = Job::new(spec, 1, submitted_at, JobPhase::Open, Timestamp::default());
    for (index, stage) in (0..).zip(stages) {
        let placement = Placement::new("host-1".into(), 7, *stage, Timestamp::default());
        job.place(index, placement);
    }
    job
}

/// Returns how far the gang is that many seconds after its tasks entered their stages.
fn start_after(job: &Job, seconds: u64) -> GangStart {
    job.gang_start(TIMING, Timestamp::default() + Duration::from_secs(seconds))
}

#[test]
fn exited_tasks_are_started_again_once_all_others_wait() {
    assert_eq!(
        start_after(&gang(&[AWAITING_RESTART, FETCHING, WAITING]), 5),
        GangStart::Incomplete
    );
    let waiting = gang(&[AWAITING_RESTART, WAITING, PlacementStage::Restarting]);
    assert_eq!(start_after(&waiting, 20), GangStart::Ready);
}

/// Guards against a restart that comes too late for a task whose own wait is about to end.
#[test]
fn exited_tasks_await_those_that_are_about_to_exit() {
    let gang = gang(&[AWAITING_RESTART, AWAITING_RESTART, WAITING]);
    assert_eq!(start_after(&gang, 21), GangStart::Incomplete);
}

#[test]
fn attempt_with_a_lost_running_or_stopped_task_is_over() {
    let mut stopped = gang(&[AWAITING_RESTART, FETCHING, FETCHING]);
    let stopped_task = stopped.placements.get_mut(&1).unwrap();
    stopped_task.stop_request = Some(StopRequest {
        grace_s: 0,
        requested_at: Timestamp::default(),
    });
    let mut mixed = gang(&[AWAITING_RESTART, WAITING, WAITING]);
    mixed.placements.get_mut(&2).unwrap().attempt = 8;
    let mut cancelled = gang(&[AWAITING_RESTART, WAITING, WAITING]);
    cancelled.phase = JobPhase::Cancelled;
    let gangs = [
        gang(&[AWAITING_RESTART, FETCHING]),
        gang(&[AWAITING_RESTART, RUNNING, WAITING]),
        stopped,
        mixed,
        cancelled,
    ];
    for gang in gangs {
        assert_eq!(start_after(&gang, 1), GangStart::Impossible);
    }
}

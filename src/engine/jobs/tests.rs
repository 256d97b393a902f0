use super::*;
use crate::engine::test_support::{job, jobs_with, placement};
use crate::model::PlacementStage;
use crate::wire::user::JobKind;

fn task(index: u32) -> TaskId {
    TaskId {
        job: "run-1".into(),
        index,
    }
}

#[test]
fn placement_is_found_by_task_id() {
    let mut job = job(JobKind::Array, 2);
    job.place(1, placement(PlacementStage::Planned));
    let mut jobs = jobs_with(job);
    assert!(jobs.placement(&task(0)).is_none());
    assert_eq!(jobs.placement(&task(1)).unwrap().attempt, 1);
    jobs.placement_mut(&task(1)).unwrap().attempt = 2;
    assert_eq!(jobs.placement(&task(1)).unwrap().attempt, 2);
    assert_eq!(jobs.placed_tasks(), 1);
}

#[test]
fn forgetting_leader_state_clears_placements_and_completions() {
    let mut job = job(JobKind::Array, 2);
    job.place(0, placement(PlacementStage::Planned));
    job.complete_task(1);
    let mut jobs = jobs_with(job);
    jobs.forget_leader_state();
    let job = jobs.get(&"run-1".into()).unwrap();
    assert!(job.placements.is_empty() && job.completed.is_empty());
    assert_eq!(job.pending.len(), 2);
}

#[test]
fn forgetting_leader_state_removes_recorded_jobs_and_reopens_others() {
    for (recorded, is_kept) in [(true, false), (false, true)] {
        let mut job = job(JobKind::Array, 1);
        job.phase = JobPhase::Done { recorded };
        let mut jobs = jobs_with(job);
        jobs.forget_leader_state();
        let job = jobs.get(&"run-1".into());
        assert_eq!(job.is_some_and(|job| job.is_open()), is_kept);
        assert_eq!(job.is_some(), is_kept);
    }
}

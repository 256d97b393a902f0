use super::*;
use crate::placement::tests::{candidate, job};

/// Returns the ids of the jobs in the order of service.
fn service_order(mut candidates: Vec<Candidate<'_>>) -> Vec<&str> {
    sort_by_service_order(&mut candidates);
    candidates
        .iter()
        .map(|candidate| &*candidate.id.0)
        .collect()
}

#[test]
fn earlier_deadlines_are_served_first_within_a_priority() {
    let with_deadline = |deadline_s| {
        job(JobKind::Array, 1, move |submission| {
            submission.deadline_s = deadline_s
        })
    };
    let mut urgent = with_deadline(None);
    urgent.spec.priority = Priority::High;
    let jobs = [
        with_deadline(None),
        with_deadline(Some(90.0)),
        with_deadline(Some(30.0)),
        urgent,
    ];
    let ids = ["run-1", "run-2", "run-3", "run-4"].map(JobId::from);
    let candidates = ids
        .iter()
        .zip(&jobs)
        .map(|(id, job)| Candidate {
            within_guarantee: false,
            ..candidate(id, job)
        })
        .collect();
    assert_eq!(
        service_order(candidates),
        ["run-4", "run-3", "run-2", "run-1"]
    );
}

#[test]
fn starving_jobs_are_served_first_in_the_order_in_which_they_became_ready() {
    let ready_at = |millis| {
        let mut job = job(JobKind::Array, 1, |_| {});
        job.ready_at = UnixTime::from_millis(millis);
        job
    };
    let mut urgent = ready_at(3000);
    urgent.spec.priority = Priority::Production;
    let jobs = [urgent, ready_at(2000), ready_at(1000)];
    let ids = ["run-1", "run-2", "run-3"].map(JobId::from);
    let candidates = ids
        .iter()
        .zip(&jobs)
        .map(|(id, job)| Candidate {
            starving: job.spec.priority != Priority::Production,
            ..candidate(id, job)
        })
        .collect();
    assert_eq!(service_order(candidates), ["run-3", "run-2", "run-1"]);
}

#[test]
fn min_available_is_zero_only_if_machines_may_be_reserved() {
    let id = JobId::from("run-1");
    let gang = job(JobKind::Gang, 2, |_| {});
    let waiting = candidate(&id, &gang);
    assert_eq!(min_available(&[waiting]), gang.spec.request);
    let starving = Candidate {
        starving: true,
        ..candidate(&id, &gang)
    };
    assert_eq!(min_available(&[starving]), Resources::default());
}

//! Tests of the reported states of jobs that depend on other jobs.

use crate::support::{TIMEOUT, map};
use crate::user::{expected_response, final_record, start_ready_node, submission};
use rmpv::Value;

/// Guards against the state `queued` for a job whose dependency may have been cancelled: the state of
/// the job is unknown while the final record of its dependency can't be read.
#[tokio::test]
async fn job_with_an_unknown_dependency_state_is_not_reported_queued() {
    let (user, service) = start_ready_node().await;
    *service.unreadable_job.lock().unwrap() = Some("run-1");
    service.put_without_change("final/run-1", final_record("aborted"));
    let submission_fields: Value =
        rmp_serde::from_slice(&submission("run-2", "vision", &["run-1"])).unwrap();
    let waiting_job = map(vec![
        ("step", submission_fields),
        ("at_ms", 1_700_000_000_000_u64.into()),
        ("cancelled", false.into()),
    ]);
    service.put_with_change("live/job/run-2", waiting_job);
    for _ in 0..2 {
        assert_eq!(user.query("run-2").await.status, 503);
    }
    *service.unreadable_job.lock().unwrap() = None;
    let first_response = async {
        loop {
            match user.query("run-2").await {
                response if response.status == 503 => tokio::task::yield_now().await,
                response => return response,
            }
        }
    };
    let first_response = tokio::time::timeout(TIMEOUT, first_response).await;
    assert_eq!(
        first_response.expect("the query should succeed within the timeout"),
        expected_response(200, "aborted")
    );
}

/// Guards against a job without a state because the record of its dependency can't be decoded: the
/// dependency is not done, so the job is queued.
#[tokio::test]
async fn job_depending_on_one_with_an_unreadable_record_is_queued() {
    let (user, service) = start_ready_node().await;
    service.put_with_change("live/job/run-1", "not a record".into());
    let body = submission("run-2", "vision", &["run-1"]);
    assert_eq!(user.submit(body).await, expected_response(201, "queued"));
    assert_eq!(user.query("run-2").await, expected_response(200, "queued"));
}

/// Guards against dependents that stay queued forever after their dependency, whose live record can't
/// be decoded, is cancelled and only its final record remains.
#[tokio::test]
async fn cancellation_of_a_job_with_an_unreadable_record_propagates() {
    let (user, service) = start_ready_node().await;
    service.put_with_change("live/job/run-1", "not a record".into());
    let body = submission("run-2", "vision", &["run-1"]);
    assert_eq!(user.submit(body).await, expected_response(201, "queued"));
    assert_eq!(user.query("run-2").await, expected_response(200, "queued"));
    assert_eq!(
        user.cancel("run-1").await,
        expected_response(200, "aborted")
    );
    let cancelled = async {
        while user.query("run-2").await != expected_response(200, "aborted") {
            tokio::task::yield_now().await;
        }
    };
    let cancelled = tokio::time::timeout(TIMEOUT, cancelled).await;
    cancelled.expect("the dependent should be cancelled within the timeout");
}

/// Guards against a cancellation that arrives after the job's completion but still cancels the
/// dependents: the response has the state `done`, and the leader releases the dependents.
#[tokio::test]
async fn cancellation_of_a_completed_job_does_not_affect_dependents() {
    let (user, service) = start_ready_node().await;
    service.put_without_change("final/run-1", final_record("done"));
    let body = submission("run-2", "vision", &["run-1"]);
    assert_eq!(user.submit(body).await, expected_response(201, "queued"));
    assert_eq!(user.cancel("run-1").await, expected_response(200, "done"));
    assert_eq!(user.query("run-2").await, expected_response(200, "queued"));
    let released = async {
        loop {
            let record = service.value("live/job/run-2").unwrap();
            let fields = record.as_map().unwrap();
            if fields.iter().any(|(key, _)| key.as_str() == Some("job")) {
                return;
            }
            tokio::task::yield_now().await;
        }
    };
    let released = tokio::time::timeout(TIMEOUT, released).await;
    released.expect("the dependent should be released within the timeout");
    assert_eq!(user.query("run-2").await, expected_response(200, "queued"));
}

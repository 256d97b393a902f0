//! States of jobs that depend on others.

use crate::support::{PATIENCE, map};
use crate::user::{final_record, ready_node, reply, submission};
use rmpv::Value;

/// Guards against `queued` for a job that may be cancelled with one that it names: while the end of
/// that one can't be read, its state is unknown.
#[tokio::test]
async fn job_with_an_unknown_dependency_state_is_not_reported_queued() {
    let (user, service) = ready_node().await;
    *service.refused_job.lock().unwrap() = Some("run-1");
    service.put_unheard("final/run-1", final_record("aborted"));
    let job: Value = rmp_serde::from_slice(&submission("run-2", "vision", &["run-1"])).unwrap();
    let waiting = map(vec![
        ("step", job),
        ("at_ms", 1_700_000_000_000_u64.into()),
        ("cancelled", false.into()),
    ]);
    service.put_heard("live/job/run-2", waiting);
    for _ in 0..2 {
        assert_eq!(user.query("run-2").await.0, 503);
    }
    *service.refused_job.lock().unwrap() = None;
    let told = async {
        loop {
            match user.query("run-2").await {
                (503, _) => tokio::task::yield_now().await,
                answer => return answer,
            }
        }
    };
    let told = tokio::time::timeout(PATIENCE, told).await;
    assert_eq!(told.expect("told in time"), reply(200, "aborted"));
}

/// Guards against silence about a job that awaits one whose record can't be read: that one is open.
#[tokio::test]
async fn job_depending_on_one_with_an_unreadable_record_is_queued() {
    let (user, service) = ready_node().await;
    service.put_heard("live/job/run-1", "not a record".into());
    let body = submission("run-2", "vision", &["run-1"]);
    assert_eq!(user.submit(body).await, reply(201, "queued"));
    assert_eq!(user.query("run-2").await, reply(200, "queued"));
}

/// Guards against dependants that stay queued for ever: the awaited job, whose record can't be read, is
/// cancelled, and only its final record is left.
#[tokio::test]
async fn cancellation_of_a_job_with_an_unreadable_record_propagates() {
    let (user, service) = ready_node().await;
    service.put_heard("live/job/run-1", "not a record".into());
    let body = submission("run-2", "vision", &["run-1"]);
    assert_eq!(user.submit(body).await, reply(201, "queued"));
    assert_eq!(user.query("run-2").await, reply(200, "queued"));
    assert_eq!(user.cancel("run-1").await, reply(200, "aborted"));
    let told = async {
        while user.query("run-2").await != reply(200, "aborted") {
            tokio::task::yield_now().await;
        }
    };
    let told = tokio::time::timeout(PATIENCE, told).await;
    told.expect("cancelled in time");
}

/// Guards against a cancellation that came too late but stops the jobs after it: answered with
/// `done`, they go on, and the leader lets them start.
#[tokio::test]
async fn too_late_cancellation_does_not_affect_dependents() {
    let (user, service) = ready_node().await;
    service.put_unheard("final/run-1", final_record("done"));
    let body = submission("run-2", "vision", &["run-1"]);
    assert_eq!(user.submit(body).await, reply(201, "queued"));
    assert_eq!(user.cancel("run-1").await, reply(200, "done"));
    assert_eq!(user.query("run-2").await, reply(200, "queued"));
    let may_start = async {
        loop {
            let record = service.value("live/job/run-2").unwrap();
            let fields = record.as_map().unwrap();
            if fields.iter().any(|(key, _)| key.as_str() == Some("job")) {
                return;
            }
            tokio::task::yield_now().await;
        }
    };
    let may_start = tokio::time::timeout(PATIENCE, may_start).await;
    may_start.expect("may start in time");
    assert_eq!(user.query("run-2").await, reply(200, "queued"));
}

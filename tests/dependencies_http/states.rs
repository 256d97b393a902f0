//! States of jobs that depend on others.

use crate::support::{TIMEOUT, map};
use crate::user::{final_record, ready_node, reply, submission};
use rmpv::Value;

/// Guards against `queued` for a job that may be cancelled with its dependency: while the final
/// record of that one can't be read, the state is unknown.
#[tokio::test]
async fn job_with_an_unknown_dependency_state_is_not_reported_queued() {
    let (user, service) = ready_node().await;
    *service.refused_job.lock().unwrap() = Some("run-1");
    service.put_without_change("final/run-1", final_record("aborted"));
    let job: Value = rmp_serde::from_slice(&submission("run-2", "vision", &["run-1"])).unwrap();
    let waiting = map(vec![
        ("step", job),
        ("at_ms", 1_700_000_000_000_u64.into()),
        ("cancelled", false.into()),
    ]);
    service.put_with_change("live/job/run-2", waiting);
    for _ in 0..2 {
        assert_eq!(user.query("run-2").await.status, 503);
    }
    *service.refused_job.lock().unwrap() = None;
    let replied = async {
        loop {
            match user.query("run-2").await {
                reply if reply.status == 503 => tokio::task::yield_now().await,
                reply => return reply,
            }
        }
    };
    let replied = tokio::time::timeout(TIMEOUT, replied).await;
    assert_eq!(replied.expect("answered in time"), reply(200, "aborted"));
}

/// Guards against a job without a state because the record of its dependency can't be decoded: that
/// one is not done.
#[tokio::test]
async fn job_depending_on_one_with_an_unreadable_record_is_queued() {
    let (user, service) = ready_node().await;
    service.put_with_change("live/job/run-1", "not a record".into());
    let body = submission("run-2", "vision", &["run-1"]);
    assert_eq!(user.submit(body).await, reply(201, "queued"));
    assert_eq!(user.query("run-2").await, reply(200, "queued"));
}

/// Guards against dependents that stay queued for ever: the dependency, whose record can't be
/// decoded, is cancelled, and only its final record is left.
#[tokio::test]
async fn cancellation_of_a_job_with_an_unreadable_record_propagates() {
    let (user, service) = ready_node().await;
    service.put_with_change("live/job/run-1", "not a record".into());
    let body = submission("run-2", "vision", &["run-1"]);
    assert_eq!(user.submit(body).await, reply(201, "queued"));
    assert_eq!(user.query("run-2").await, reply(200, "queued"));
    assert_eq!(user.cancel("run-1").await, reply(200, "aborted"));
    let replied = async {
        while user.query("run-2").await != reply(200, "aborted") {
            tokio::task::yield_now().await;
        }
    };
    let replied = tokio::time::timeout(TIMEOUT, replied).await;
    replied.expect("cancelled in time");
}

/// Guards against a cancellation that is too late but stops the dependents: it is answered with
/// `done`, and the leader releases them.
#[tokio::test]
async fn too_late_cancellation_does_not_affect_dependents() {
    let (user, service) = ready_node().await;
    service.put_without_change("final/run-1", final_record("done"));
    let body = submission("run-2", "vision", &["run-1"]);
    assert_eq!(user.submit(body).await, reply(201, "queued"));
    assert_eq!(user.cancel("run-1").await, reply(200, "done"));
    assert_eq!(user.query("run-2").await, reply(200, "queued"));
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
    released.expect("released in time");
    assert_eq!(user.query("run-2").await, reply(200, "queued"));
}

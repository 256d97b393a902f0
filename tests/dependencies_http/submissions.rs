//! Tests of submissions that depend on other jobs.

use crate::support::TIMEOUT;
use crate::user::{expected_response, final_record, start_ready_node, submission};
use std::sync::atomic::Ordering;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Guards against 422 for a submission whose dependency was accepted. The dependency may have been
/// accepted by another node, whose write this node has not seen yet, or for another team, or so long
/// ago that only its final record remains.
#[tokio::test]
async fn submission_may_depend_on_any_accepted_job() {
    let (user, service) = start_ready_node().await;
    service.hides_changes.store(true, Ordering::Relaxed);
    let accepted = expected_response(201, "queued");
    assert_eq!(
        user.submit(submission("run-1", "speech", &[])).await,
        accepted
    );
    service.put_without_change("final/run-2", final_record("done"));
    service.put_without_change("final/run-3", final_record("aborted"));
    service.put_without_change("live/job/run-4", "not a record".into());
    for (id, dependency) in [
        ("run-11", "run-1"),
        ("run-12", "run-2"),
        ("run-13", "run-3"),
        ("run-14", "run-4"),
    ] {
        let response = user.submit(submission(id, "vision", &[dependency])).await;
        assert_eq!(response, accepted, "{dependency}");
    }
    let never_accepted = submission("run-15", "vision", &["run-1", "run-5"]);
    assert_eq!(user.submit(never_accepted).await.status, 422);
}

/// Guards against a refusal with 422, which users do not retry, while the state service can't be asked
/// whether a dependency was accepted.
#[tokio::test]
async fn submission_is_refused_with_retry_after_while_a_dependency_is_unknown() {
    let (user, service) = start_ready_node().await;
    *service.unreadable_job.lock().unwrap() = Some("run-7");
    let body = submission("run-1", "vision", &["run-7"]);
    let mut stream = TcpStream::connect(user.front).await.unwrap();
    let head = format!(
        "POST /submissions HTTP/1.1\r\nhost: n0\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(&body).await.unwrap();
    let mut response = Vec::new();
    let read = tokio::time::timeout(TIMEOUT, stream.read_to_end(&mut response)).await;
    read.expect("the node should respond within the timeout")
        .unwrap();
    let response = String::from_utf8_lossy(&response).to_lowercase();
    assert!(response.starts_with("http/1.1 503"), "{response}");
    assert!(response.contains("\r\nretry-after: 1\r\n"), "{response}");
}

/// Guards against a repeated submission that is validated again: whatever its fields and the states of
/// its dependencies, the job stays accepted and its state is returned.
#[tokio::test]
async fn repeated_submission_is_idempotent() {
    let (user, _service) = start_ready_node().await;
    let dependency = || submission("run-1", "vision", &[]);
    let dependent = || submission("run-2", "vision", &["run-1"]);
    assert_eq!(
        user.submit(dependency()).await,
        expected_response(201, "queued")
    );
    assert_eq!(
        user.submit(dependent()).await,
        expected_response(201, "queued")
    );
    let too_many: Vec<String> = (0..65).map(|number| format!("run-{number}")).collect();
    let too_many: Vec<&str> = too_many.iter().map(String::as_str).collect();
    let repetitions = || {
        [
            dependent(),
            submission("run-2", "vision", &["run-2"]),
            submission("run-2", "vision", &["run-77"]),
            submission("run-2", "vision", &["host-1"]),
            submission("run-2", "vision", &too_many),
        ]
    };
    for repetition in repetitions() {
        assert_eq!(
            user.submit(repetition).await,
            expected_response(200, "queued")
        );
    }
    assert_eq!(
        user.cancel("run-1").await,
        expected_response(200, "aborted")
    );
    for repetition in repetitions() {
        assert_eq!(
            user.submit(repetition).await,
            expected_response(200, "aborted")
        );
    }
}

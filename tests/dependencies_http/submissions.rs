//! Submissions that depend on other jobs.

use crate::support::TIMEOUT;
use crate::user::{final_record, ready_node, reply, submission};
use std::sync::atomic::Ordering;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Guards against 422 for a job that was accepted: by another node a moment ago, which this one
/// does not know yet, by another team, or so long ago that only its final record is left.
#[tokio::test]
async fn any_accepted_job_may_be_a_dependency() {
    let (user, service) = ready_node().await;
    service.silent.store(true, Ordering::Relaxed);
    let accepted = reply(201, "queued");
    assert_eq!(
        user.submit(submission("run-1", "speech", &[])).await,
        accepted
    );
    service.put_without_change("final/run-2", final_record("done"));
    service.put_without_change("final/run-3", final_record("aborted"));
    service.put_without_change("live/job/run-4", "not a record".into());
    for (id, named) in [
        ("run-11", "run-1"),
        ("run-12", "run-2"),
        ("run-13", "run-3"),
        ("run-14", "run-4"),
    ] {
        let answer = user.submit(submission(id, "vision", &[named])).await;
        assert_eq!(answer, accepted, "{named}");
    }
    let never = submission("run-15", "vision", &["run-1", "run-5"]);
    assert_eq!(user.submit(never).await.status, 422);
}

/// Guards against a final refusal while the state service can't tell whether a dependency was
/// accepted: 422 would not be retried.
#[tokio::test]
async fn submission_is_refused_with_retry_after_while_a_dependency_is_unknown() {
    let (user, service) = ready_node().await;
    *service.refused_job.lock().unwrap() = Some("run-7");
    let body = submission("run-1", "vision", &["run-7"]);
    let mut stream = TcpStream::connect(user.front).await.unwrap();
    let head = format!(
        "POST /submissions HTTP/1.1\r\nhost: n0\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(&body).await.unwrap();
    let mut answer = Vec::new();
    let read = tokio::time::timeout(TIMEOUT, stream.read_to_end(&mut answer)).await;
    read.expect("answered in time").unwrap();
    let answer = String::from_utf8_lossy(&answer).to_lowercase();
    assert!(answer.starts_with("http/1.1 503"), "{answer}");
    assert!(answer.contains("\r\nretry-after: 1\r\n"), "{answer}");
}

/// Guards against a repeated submission that is validated again: whatever it holds, and whatever
/// the state of its dependencies, the job stays accepted and its state is returned.
#[tokio::test]
async fn repeated_submission_is_idempotent() {
    let (user, _service) = ready_node().await;
    let first = || submission("run-1", "vision", &[]);
    let last = || submission("run-2", "vision", &["run-1"]);
    assert_eq!(user.submit(first()).await, reply(201, "queued"));
    assert_eq!(user.submit(last()).await, reply(201, "queued"));
    let too_many: Vec<String> = (0..65).map(|number| format!("run-{number}")).collect();
    let too_many: Vec<&str> = too_many.iter().map(String::as_str).collect();
    let repeats = || {
        [
            last(),
            submission("run-2", "vision", &["run-2"]),
            submission("run-2", "vision", &["run-77"]),
            submission("run-2", "vision", &["host-1"]),
            submission("run-2", "vision", &too_many),
        ]
    };
    for repeat in repeats() {
        assert_eq!(user.submit(repeat).await, reply(200, "queued"));
    }
    assert_eq!(user.cancel("run-1").await, reply(200, "aborted"));
    for repeat in repeats() {
        assert_eq!(user.submit(repeat).await, reply(200, "aborted"));
    }
}

//! What users are told about jobs that wait for others, over HTTP.

// Helpers of a test may panic: that is how it fails.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod support;

use hyper::Method;
use rmpv::Value;
use std::net::SocketAddr;
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use support::{PATIENCE, StateService, map, ready_node_where, settings};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use umbervale::http::{Answer, HttpClient};
use umbervale::wire::encode;

struct User {
    http: HttpClient,
    front: SocketAddr,
}

impl User {
    async fn send(&self, method: Method, path: &str, body: Option<Vec<u8>>) -> Answer {
        let answer = self.http.call(method, self.front, path, body, PATIENCE);
        answer.await.unwrap()
    }

    /// Status, and the state of the job that the answer names.
    async fn submit(&self, body: Vec<u8>) -> (u16, String) {
        let answer = self.send(Method::POST, "/submissions", Some(body)).await;
        (answer.status, state_in(&answer))
    }

    async fn ask(&self, id: &str) -> (u16, String) {
        let path = format!("/submissions/{id}");
        let answer = self.send(Method::GET, &path, None).await;
        (answer.status, state_in(&answer))
    }

    async fn cancel(&self, id: &str) -> (u16, String) {
        let path = format!("/submissions/{id}/cancel");
        let answer = self.send(Method::POST, &path, None).await;
        (answer.status, state_in(&answer))
    }
}

fn state_in(answer: &Answer) -> String {
    let body: Value = rmp_serde::from_slice(&answer.body).unwrap();
    let state = body.as_map().and_then(|fields| {
        let state = fields
            .iter()
            .find(|(key, _)| key.as_str() == Some("status"));
        state.and_then(|(_, state)| state.as_str())
    });
    state.unwrap_or_default().to_owned()
}

/// A node that is ready, and the state service that it uses.
async fn ready_node() -> (User, Arc<StateService>) {
    let node = ready_node_where(|settings| settings).await;
    let user = User {
        http: node.http,
        front: node.front,
    };
    (user, node.service)
}

/// A submission for the team that awaits `awaits`.
fn submission(id: &str, team: &str, awaits: &[&str]) -> Vec<u8> {
    let awaits = awaits.iter().map(|id| Value::from(*id));
    encode(&map(vec![
        ("uid", id.into()),
        ("docket", "train".into()),
        ("crew", team.into()),
        ("form", "array".into()),
        ("precedence", "normal".into()),
        ("pieces", 3.into()),
        ("vcpus", 4.into()),
        ("gpus", 1.into()),
        ("memory_gb", 8.into()),
        ("plate", "img-1".into()),
        ("image_gb", 1.5.into()),
        ("together", false.into()),
        ("scatter", false.into()),
        ("loaners", false.into()),
        ("expected_s", 30.into()),
        ("bookmark_s", 0.into()),
        ("bookmark_cost_s", 0.into()),
        ("awaits", Value::Array(awaits.collect())),
    ]))
}

fn said(status: u16, state: &str) -> (u16, String) {
    (status, state.to_owned())
}

fn final_record(state: &str) -> Value {
    map(vec![("state", state.into()), ("tasks", 3.into())])
}

/// Guards against 422 for a job that was accepted: by another node a moment ago, of which this one
/// has not heard, by another team, or so long ago that only its final state is left.
#[tokio::test]
async fn any_accepted_job_may_be_a_dependency() {
    let (user, service) = ready_node().await;
    service.silent.store(true, Ordering::Relaxed);
    let accepted = said(201, "queued");
    assert_eq!(
        user.submit(submission("run-1", "speech", &[])).await,
        accepted
    );
    service.put_unheard("final/run-2", final_record("done"));
    service.put_unheard("final/run-3", final_record("aborted"));
    service.put_unheard("live/job/run-4", "not a record".into());
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
    assert_eq!(user.submit(never).await.0, 422);
}

/// Guards against an answer that a user takes for final while the state service can't tell whether
/// a named job was accepted: 422 would not be retried.
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
    let read = tokio::time::timeout(PATIENCE, stream.read_to_end(&mut answer)).await;
    read.expect("answered in time").unwrap();
    let answer = String::from_utf8_lossy(&answer).to_lowercase();
    assert!(answer.starts_with("http/1.1 503"), "{answer}");
    assert!(answer.contains("\r\nretry-after: 1\r\n"), "{answer}");
}

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
        assert_eq!(user.ask("run-2").await.0, 503);
    }
    *service.refused_job.lock().unwrap() = None;
    let told = async {
        loop {
            match user.ask("run-2").await {
                (503, _) => tokio::task::yield_now().await,
                answer => return answer,
            }
        }
    };
    let told = tokio::time::timeout(PATIENCE, told).await;
    assert_eq!(told.expect("told in time"), said(200, "aborted"));
}

/// Guards against silence about a job that awaits one whose record can't be read: that one is open.
#[tokio::test]
async fn job_depending_on_one_with_an_unreadable_record_is_queued() {
    let (user, service) = ready_node().await;
    service.put_heard("live/job/run-1", "not a record".into());
    let body = submission("run-2", "vision", &["run-1"]);
    assert_eq!(user.submit(body).await, said(201, "queued"));
    assert_eq!(user.ask("run-2").await, said(200, "queued"));
}

/// Guards against dependants that stay queued for ever: the awaited job, whose record can't be read, is
/// cancelled, and only its final record is left.
#[tokio::test]
async fn cancellation_of_a_job_with_an_unreadable_record_propagates() {
    let (user, service) = ready_node().await;
    service.put_heard("live/job/run-1", "not a record".into());
    let body = submission("run-2", "vision", &["run-1"]);
    assert_eq!(user.submit(body).await, said(201, "queued"));
    assert_eq!(user.ask("run-2").await, said(200, "queued"));
    assert_eq!(user.cancel("run-1").await, said(200, "aborted"));
    let told = async {
        while user.ask("run-2").await != said(200, "aborted") {
            tokio::task::yield_now().await;
        }
    };
    let told = tokio::time::timeout(PATIENCE, told).await;
    told.expect("cancelled in time");
}

/// Guards against a repeat that is judged anew: whatever it says, and whatever has become of the
/// jobs that it names, the job stays accepted and its state is told.
#[tokio::test]
async fn repeated_submission_is_idempotent() {
    let (user, _service) = ready_node().await;
    let first = || submission("run-1", "vision", &[]);
    let last = || submission("run-2", "vision", &["run-1"]);
    assert_eq!(user.submit(first()).await, said(201, "queued"));
    assert_eq!(user.submit(last()).await, said(201, "queued"));
    let too_many: Vec<String> = (0..65).map(|n| format!("run-{n}")).collect();
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
        assert_eq!(user.submit(repeat).await, said(200, "queued"));
    }
    assert_eq!(user.cancel("run-1").await, said(200, "aborted"));
    for repeat in repeats() {
        assert_eq!(user.submit(repeat).await, said(200, "aborted"));
    }
}

/// Guards against a cancellation that came too late but stops the jobs after it: answered with
/// `done`, they go on, and the leader lets them start.
#[tokio::test]
async fn too_late_cancellation_does_not_affect_dependents() {
    let (user, service) = ready_node().await;
    service.put_unheard("final/run-1", final_record("done"));
    let body = submission("run-2", "vision", &["run-1"]);
    assert_eq!(user.submit(body).await, said(201, "queued"));
    assert_eq!(user.cancel("run-1").await, said(200, "done"));
    assert_eq!(user.ask("run-2").await, said(200, "queued"));
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
    assert_eq!(user.ask("run-2").await, said(200, "queued"));
}

/// Guards against a process that starts with limits that it can't keep: it ends at once, with 2, and
/// names the field and what is allowed.
#[test]
fn node_with_malformed_upcoming_limits_does_not_start() {
    let nobody: SocketAddr = "127.0.0.1:9".parse().unwrap();
    let directory = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"));
    for (number, (next, field, allowed)) in [
        (
            "[cluster.state.next]\nrps = 0.0",
            "state.next.rps",
            "above 0",
        ),
        (
            "[cluster.state.next]\nrps = nan",
            "state.next.rps",
            "above 0",
        ),
        (
            "[cluster.state.next]\nwrite_rps = -1",
            "state.next.write_rps",
            "above 0",
        ),
        (
            "[cluster.state.next]\nvalue_kb = 1.0",
            "state.next.value_kb",
            "at least 2",
        ),
        (
            "[cluster.state.next]\ntxn_ops = 3",
            "state.next.txn_ops",
            "at least 4",
        ),
        (
            "[cluster.state.next]\ntxn_ops = 4.5",
            "txn_ops",
            "expected usize",
        ),
        ("[cluster.state.next]\nrps = \"few\"", "rps", "expected f64"),
        ("next = 5", "next", "expected struct"),
    ]
    .into_iter()
    .enumerate()
    {
        let file = directory.join(format!("limits-to-come-{number}.toml"));
        std::fs::write(&file, settings(nobody, nobody, next)).unwrap();
        for verb in ["check", "serve"] {
            let mut command = Command::new(env!("CARGO_BIN_EXE_umbervale"));
            let ended = command.arg(verb).arg("--config").arg(&file).output();
            let ended = ended.unwrap();
            let told = String::from_utf8_lossy(&ended.stderr);
            assert_eq!(ended.status.code(), Some(2), "{verb} {next}: {told}");
            assert!(told.contains(field) && told.contains(allowed), "{told}");
        }
    }
}

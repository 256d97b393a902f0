//! Tests of the responses to bad HTTP requests: status, content type, `Retry-After` and error text.

use super::messages::{heartbeat, submission};
use super::mutations::encode;
use super::support::{TIMEOUT, map, start_ready_node_with_settings};
use super::{Case, assert_fixture};
use rmpv::Value;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Sends a request and returns the description of its response.
async fn send_and_describe(front: SocketAddr, method: &str, path: &str, body: &[u8]) -> String {
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: {front}\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let exchange = async {
        let mut stream = TcpStream::connect(front).await.unwrap();
        stream.write_all(head.as_bytes()).await.unwrap();
        stream.write_all(body).await.unwrap();
        let mut response = Vec::new();
        stream.read_to_end(&mut response).await.unwrap();
        response
    };
    let response = tokio::time::timeout(TIMEOUT, exchange).await;
    describe_response(&response.expect("the node should respond within the timeout"))
}

/// Returns a text with the status, content type, `Retry-After` and body of a response.
fn describe_response(response: &[u8]) -> String {
    let blank_line = response.windows(4).position(|bytes| bytes == b"\r\n\r\n");
    let (head, body) =
        response.split_at(blank_line.expect("the response should have a complete head") + 4);
    let head = std::str::from_utf8(head).unwrap().to_ascii_lowercase();
    let status = head
        .split(' ')
        .nth(1)
        .expect("the head should have a status");
    let header = |name: &str| {
        let line = head.lines().find_map(|line| line.strip_prefix(name));
        line.map_or("none", str::trim).to_owned()
    };
    let body = match rmpv::decode::read_value(&mut &body[..]) {
        Ok(value) => value.to_string(),
        Err(_) => format!("{} bytes", body.len()),
    };
    format!(
        "status {status}, content-type {}, retry-after {}, body {body}",
        header("content-type:"),
        header("retry-after:")
    )
}

/// Encodes a message with the given fields, which are added or replace fields of the same name.
fn with_fields(message: Value, fields: Vec<(&str, Value)>) -> Vec<u8> {
    let Value::Map(mut entries) = message else {
        unreachable!("messages are maps");
    };
    for (field, value) in fields {
        entries.retain(|(key, _)| key.as_str() != Some(field));
        entries.push((field.into(), value));
    }
    encode(&Value::Map(entries))
}

/// Encodes a submission without dependencies and with the given fields.
fn submission_with(fields: Vec<(&str, Value)>) -> Vec<u8> {
    let mut all_fields = vec![("awaits", Value::Array(Vec::new()))];
    all_fields.extend(fields);
    with_fields(submission(), all_fields)
}

/// Encodes a submission that depends on a job.
fn submission_depending_on(id: &str) -> Vec<u8> {
    submission_with(vec![("awaits", Value::Array(vec![id.into()]))])
}

/// The name of a case with the method, path and body of its request.
type Request = (&'static str, &'static str, &'static str, Vec<u8>);

/// Returns the named bodies that are not valid submissions.
fn malformed_submissions() -> Vec<(&'static str, Vec<u8>)> {
    vec![
        ("empty body", Vec::new()),
        ("not MessagePack", b"not MessagePack".to_vec()),
        ("cut off", truncated_submission()),
        ("field missing", encode(&map(vec![("uid", "run-1".into())]))),
        (
            "tasks as text",
            submission_with(vec![("pieces", "3".into())]),
        ),
        (
            "unknown kind",
            submission_with(vec![("form", "not known".into())]),
        ),
        (
            "long unknown kind",
            submission_with(vec![("form", "x".repeat(300).into())]),
        ),
        ("bad id", submission_with(vec![("uid", "job 1".into())])),
        ("no tasks", submission_with(vec![("pieces", 0.into())])),
        (
            "amount below 0",
            submission_with(vec![("gpus", (-1).into())]),
        ),
        ("bad awaited id", submission_depending_on("job 1")),
        (
            "body over 64 KiB",
            submission_with(vec![("plate", "x".repeat(70_000).into())]),
        ),
    ]
}

/// Returns the named submissions that are valid but can't run in the cluster.
fn unrunnable_submissions() -> Vec<(&'static str, Vec<u8>)> {
    vec![
        (
            "unknown team",
            submission_with(vec![("crew", "nobody".into())]),
        ),
        (
            "unknown team with quotes",
            submission_with(vec![("crew", "no\"bo\\dy".into())]),
        ),
        (
            "no machine type large enough",
            submission_with(vec![("gpus", 5.into())]),
        ),
        (
            "unknown machine type",
            submission_with(vec![("models", Value::Array(vec!["x".into()]))]),
        ),
        (
            "unknown zone",
            submission_with(vec![("yard", "north".into())]),
        ),
        (
            "task over the limit",
            submission_with(vec![("crew", "speech".into()), ("gpus", 4.into())]),
        ),
        (
            "gang over the limit",
            submission_with(vec![("form", "ensemble".into()), ("gpus", 3.into())]),
        ),
        (
            "service over the limit",
            submission_with(vec![("form", "standing".into()), ("gpus", 3.into())]),
        ),
        ("awaits itself", submission_depending_on("run-000412")),
        (
            "awaits an unknown job",
            submission_depending_on("run-000411"),
        ),
    ]
}

fn bad_submissions() -> Vec<Request> {
    let bodies = malformed_submissions().into_iter();
    let bodies = bodies.chain(unrunnable_submissions());
    let request = |(name, body)| (name, "POST", "/submissions", body);
    bodies.map(request).collect()
}

/// Returns the first half of an encoded submission.
fn truncated_submission() -> Vec<u8> {
    let mut body = submission_with(vec![]);
    body.truncate(body.len() / 2);
    body
}

fn bad_heartbeats() -> Vec<Request> {
    let heartbeat_with_task =
        |value: Value| with_fields(heartbeat(), vec![("pieces", Value::Array(vec![value]))]);
    let bodies = vec![
        ("report with empty body", Vec::new()),
        ("report cut off", vec![0x81]),
        ("report as a list", vec![0x90]),
        (
            "report with a field missing",
            encode(&map(vec![("host", "h".into())])),
        ),
        (
            "report with sequence as text",
            with_fields(heartbeat(), vec![("tally", "1".into())]),
        ),
        (
            "report with a number for a task",
            heartbeat_with_task(7.into()),
        ),
        (
            "report with a list for a task",
            heartbeat_with_task(Value::Array(Vec::new())),
        ),
        (
            "report with an empty task",
            heartbeat_with_task(map(vec![])),
        ),
        (
            "report over 64 KiB",
            with_fields(heartbeat(), vec![("host", "x".repeat(70_000).into())]),
        ),
    ];
    let request = |(name, body)| (name, "POST", "/v1/report", body);
    bodies.into_iter().map(request).collect()
}

/// Returns requests with unknown jobs, paths and methods.
fn other_bad_requests() -> Vec<Request> {
    vec![
        ("unknown job", "GET", "/submissions/run-000999", Vec::new()),
        ("job with a bad id", "GET", "/submissions/job-1", Vec::new()),
        (
            "cancel an unknown job",
            "POST",
            "/submissions/run-000999/cancel",
            Vec::new(),
        ),
        (
            "cancel a job with a bad id",
            "POST",
            "/submissions/job-1/cancel",
            Vec::new(),
        ),
        ("unknown path", "GET", "/nowhere", Vec::new()),
        ("method not allowed", "DELETE", "/submissions", Vec::new()),
    ]
}

#[tokio::test]
async fn responses_to_bad_requests_match_the_fixture() {
    let team_limit = "name = \"speech\"\ngpus_max = ";
    let node = start_ready_node_with_settings(|text| {
        text.replace(&format!("{team_limit}8.0"), &format!("{team_limit}2.0"))
    });
    let node = node.await;
    let mut cases = Vec::new();
    let mut requests = bad_submissions();
    requests.extend(bad_heartbeats());
    requests.extend(other_bad_requests());
    for (name, method, path, body) in requests {
        let outcome = send_and_describe(node.front, method, path, &body).await;
        let name = name.to_owned();
        cases.push(Case { name, outcome });
    }
    node.service.unavailable.store(true, Ordering::Relaxed);
    let path = "/submissions/run-000999";
    let outcome = send_and_describe(node.front, "GET", path, &[]).await;
    let name = "state service refuses".to_owned();
    cases.push(Case { name, outcome });
    assert_fixture("requests.txt", &cases);
}

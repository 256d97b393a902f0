//! What users are told about jobs that wait for others, over HTTP: one node on ephemeral loopback
//! ports, with a state service and a cloud written here from the protocol.

// Helpers of a test may panic: that is how it fails.
#![allow(clippy::unwrap_used, clippy::expect_used)]

use axum::Router;
use axum::body::Bytes;
use axum::extract::{Path, Query, State};
use axum::http::StatusCode;
use axum::routing::{get, post};
use hyper::Method;
use rmpv::Value;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use umbervale::http::{Answer, HttpClient};
use umbervale::node::Node;
use umbervale::settings::Settings;
use umbervale::wire::{decode, encode, store as ws};

/// Long enough for a busy machine; nothing waits for it when all is well.
const PATIENCE: Duration = Duration::from_secs(20);

#[derive(Default)]
struct Records {
    values: BTreeMap<String, (Value, u64)>,
    revision: u64,
    events: Vec<(u64, ws::Event)>,
    leases: u64,
}

/// The state service.
#[derive(Default)]
struct StateService {
    records: Mutex<Records>,
    changed: Notify,
    /// Reads of this job's records are refused.
    refused_job: Mutex<Option<&'static str>>,
    /// Changes are not told of, as to a node whose watch lags.
    silent: AtomicBool,
}

type Shared = State<Arc<StateService>>;

impl StateService {
    /// Puts a record there that another node wrote, of which no change tells.
    fn put_unheard(&self, key: &str, value: Value) {
        let mut records = self.records.lock().unwrap();
        records.revision += 1;
        let version = records.revision;
        records.values.insert(key.into(), (value, version));
    }

    /// The same, and the changes tell of it.
    fn put_heard(&self, key: &str, value: Value) {
        self.put_unheard(key, value.clone());
        let mut records = self.records.lock().unwrap();
        let version = records.revision;
        let put = key.to_owned();
        let event = ws::Event::Put {
            put,
            value,
            version,
        };
        records.events.push((version, event));
        self.changed.notify_waiters();
    }

    fn value(&self, key: &str) -> Option<Value> {
        let records = self.records.lock().unwrap();
        records.values.get(key).map(|(value, _)| value.clone())
    }

    fn refuses(&self, key: &str) -> bool {
        let refused = *self.refused_job.lock().unwrap();
        refused.is_some_and(|job| key.rsplit('/').next() == Some(job))
    }
}

fn map(fields: Vec<(&str, Value)>) -> Value {
    let fields = fields.into_iter().map(|(key, value)| (key.into(), value));
    Value::Map(fields.collect())
}

async fn read_one(State(service): Shared, Path(key): Path<String>) -> (StatusCode, Vec<u8>) {
    if service.refuses(&key) {
        return (StatusCode::SERVICE_UNAVAILABLE, Vec::new());
    }
    let records = service.records.lock().unwrap();
    let Some((value, version)) = records.values.get(&key) else {
        let revision = map(vec![("ledger_rev", records.revision.into())]);
        return (StatusCode::NOT_FOUND, encode(&revision));
    };
    let (value, version) = (value.clone(), *version);
    let item = ws::Item {
        key,
        value,
        version,
    };
    (StatusCode::OK, encode(&item))
}

async fn list(State(service): Shared, Query(query): Query<HashMap<String, String>>) -> Vec<u8> {
    let records = service.records.lock().unwrap();
    let under = |(key, _): &(&String, &(Value, u64))| key.starts_with(&query["under"]);
    let items = records.values.iter().filter(under);
    let items = items.map(|(key, (value, version))| ws::Item {
        key: key.clone(),
        value: value.clone(),
        version: *version,
    });
    encode(&ws::Listing {
        items: items.collect(),
        more: false,
        revision: records.revision,
    })
}

async fn commit(State(service): Shared, body: Bytes) -> (StatusCode, Vec<u8>) {
    let txn: ws::Txn = decode(&body).unwrap();
    let mut records = service.records.lock().unwrap();
    let version = |key: &str| records.values.get(key).map_or(0, |(_, version)| *version);
    let failed = txn.conditions.iter();
    let failed = failed.filter(|condition| version(&condition.key) != condition.version);
    let failed: Vec<String> = failed.map(|condition| condition.key.clone()).collect();
    if !failed.is_empty() {
        return (StatusCode::CONFLICT, encode(&ws::Conflict { failed }));
    }
    records.revision += 1;
    let version = records.revision;
    for write in txn.writes {
        let event = match write {
            ws::Write::Put { put, value, .. } => {
                let stored = (value.clone(), version);
                records.values.insert(put.clone(), stored);
                ws::Event::Put {
                    put,
                    value,
                    version,
                }
            }
            ws::Write::Delete { delete } => {
                records.values.remove(&delete);
                ws::Event::Delete { delete, version }
            }
        };
        records.events.push((version, event));
    }
    service.changed.notify_waiters();
    let revision = ws::Revision { revision: version };
    (StatusCode::OK, encode(&revision))
}

async fn new_lease(State(service): Shared) -> Vec<u8> {
    let mut records = service.records.lock().unwrap();
    records.leases += 1;
    let lease = records.leases;
    encode(&ws::Lease { lease })
}

async fn renew_lease() -> StatusCode {
    StatusCode::OK
}

async fn changes(State(service): Shared, Query(query): Query<HashMap<String, String>>) -> Vec<u8> {
    let after: u64 = query["after"].parse().unwrap();
    let wait = Duration::from_millis(query["block_ms"].parse().unwrap());
    let changed = service.changed.notified();
    let find = || {
        if service.silent.load(Ordering::Relaxed) {
            return ws::Changes {
                revision: after,
                events: Vec::new(),
            };
        }
        let records = service.records.lock().unwrap();
        let events = records.events.iter().filter(|(at, _)| *at > after);
        ws::Changes {
            revision: records.revision,
            events: events.map(|(_, event)| event.clone()).collect(),
        }
    };
    if find().events.is_empty() {
        let _ = tokio::time::timeout(wait, changed).await;
    }
    encode(&find())
}

async fn machine_types() -> Vec<u8> {
    let zones = Value::Array(vec!["east".into(), "west".into()]);
    let machine_type = map(vec![
        ("name", "g8".into()),
        ("vcpus", 16.into()),
        ("gpus", 4.into()),
        ("memory_gb", 64.into()),
        ("cache_gb", 100.into()),
        ("fetch_gb_per_s", 0.4.into()),
        ("price", 4.into()),
        ("spot_price", 1.into()),
        ("ready_s", 20.into()),
        ("yards", zones),
    ]);
    let types = Value::Array(vec![machine_type]);
    encode(&map(vec![("models", types)]))
}

async fn no_machines() -> Vec<u8> {
    let none = Value::Array(Vec::new());
    encode(&map(vec![("hosts", none), ("truncated", false.into())]))
}

async fn serve(router: Router) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move { axum::serve(listener, router).await });
    addr
}

/// A node's settings; `next` holds the limits to come, as a table of its own.
fn settings(cloud: SocketAddr, state: SocketAddr, next: &str) -> String {
    format!(
        r#"
node_name = "n0"
site = "east"
front = "127.0.0.1:0"
back = "127.0.0.1:0"
[services]
cloud = "{cloud}"
state = "{state}"
[cluster]
zones = ["east", "west"]
[[cluster.teams]]
name = "vision"
gpus_max = 8.0
[[cluster.teams]]
name = "speech"
gpus_max = 8.0
[cluster.workers]
report_s = 3.0
lease_s = 17.0
gang_wait_s = 30.0
gang_peer_s = 6.0
cancel_s = 42.0
[cluster.state]
rps = 100000.0
write_rps = 100000.0
value_kb = 8.0
txn_ops = 24
{next}
[cluster.cloud]
rps = 100.0
list_lag_s = 1.0
"#
    )
}

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
    let service = Arc::new(StateService::default());
    let state = Router::new()
        .route("/store", get(list))
        .route("/store/{*key}", get(read_one))
        .route("/commit", post(commit))
        .route("/holds", post(new_lease))
        .route("/holds/{id}/touch", post(renew_lease))
        .route("/changes", get(changes))
        .with_state(service.clone());
    let cloud = Router::new()
        .route("/flavors", get(machine_types))
        .route("/machines", get(no_machines));
    let (cloud, state) = (serve(cloud).await, serve(state).await);
    let settings = Settings::parse(&settings(cloud, state, ""), "test").unwrap();
    let node = Node::bind(settings).await.unwrap();
    let user = User {
        http: HttpClient::default(),
        front: node.front().unwrap(),
    };
    tokio::spawn(node.serve());
    let ready = async {
        while user.send(Method::GET, "/ready", None).await.status != 200 {
            tokio::task::yield_now().await;
        }
    };
    let ready = tokio::time::timeout(PATIENCE, ready).await;
    ready.expect("ready in time");
    (user, service)
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
async fn jobs_accepted_anywhere_and_at_any_time_may_be_named() {
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
async fn users_are_told_to_come_again_while_a_named_job_can_not_be_looked_up() {
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
async fn a_job_is_not_called_queued_while_the_end_of_what_it_awaits_is_unknown() {
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
async fn a_job_that_awaits_one_whose_record_cannot_be_read_is_queued() {
    let (user, service) = ready_node().await;
    service.put_heard("live/job/run-1", "not a record".into());
    let body = submission("run-2", "vision", &["run-1"]);
    assert_eq!(user.submit(body).await, said(201, "queued"));
    assert_eq!(user.ask("run-2").await, said(200, "queued"));
}

/// Guards against dependants that stay queued for ever: the awaited job, whose record can't be read, is
/// cancelled, and only its final record is left.
#[tokio::test]
async fn a_job_is_cancelled_with_one_whose_record_could_not_be_read() {
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
async fn a_repeated_submission_is_answered_with_the_state_of_the_job() {
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
async fn jobs_after_one_whose_cancellation_came_too_late_go_on() {
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
fn a_node_with_malformed_limits_to_come_does_not_start() {
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

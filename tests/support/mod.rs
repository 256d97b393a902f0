//! What the tests over HTTP share: a node on ephemeral loopback ports, with a state service and a cloud
//! written here from the protocol.

// Helpers of a test may panic: that is how it fails. Each test program uses a part of them.
#![allow(clippy::unwrap_used, clippy::expect_used, dead_code)]

mod records;

use axum::Router;
use axum::body::Bytes;
use axum::extract::{Path, Query, State};
use axum::http::StatusCode;
use axum::routing::{get, post};
use hyper::Method;
use records::Records;
use rmpv::Value;
use serde::Deserialize;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use umbervale::http::HttpClient;
use umbervale::node::Node;
use umbervale::settings::Settings;
use umbervale::wire::{decode, encode, store as ws};

/// Long enough for a busy machine; nothing waits for it when all is well.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// The state service, with what may be wrong with it.
#[derive(Default)]
pub struct StateService {
    pub records: Mutex<Records>,
    changed: Notify,
    /// Reads of this job's records are refused.
    pub refused_job: Mutex<Option<&'static str>>,
    /// Changes are not told of, as to a node whose watch lags.
    pub silent: AtomicBool,
    /// Reads of single keys and commits are refused.
    pub down: AtomicBool,
    /// Reads of single keys are not answered.
    pub stalled: AtomicBool,
    /// The leader writes a job's end just before its live record is read.
    pub ends: AtomicBool,
}

type Shared = State<Arc<StateService>>;

impl StateService {
    /// Puts a record there that another node wrote, of which no change tells.
    pub fn put_unheard(&self, key: &str, value: Value) {
        let mut records = self.records.lock().unwrap();
        records.revision += 1;
        let version = records.revision;
        records.values.insert(key.into(), (value, version));
    }

    /// The same, and the changes tell of it.
    pub fn put_heard(&self, key: &str, value: Value) {
        self.put_unheard(key, value.clone());
        let mut records = self.records.lock().unwrap();
        let version = records.revision;
        let key = key.to_owned();
        let event = ws::WatchEvent::Put {
            key,
            value,
            version,
        };
        records.note_change(event);
        self.changed.notify_waiters();
    }

    pub fn value(&self, key: &str) -> Option<Value> {
        let records = self.records.lock().unwrap();
        records.values.get(key).map(|(value, _)| value.clone())
    }

    /// Writes the end of the job whose live record this is, if it has one.
    fn end_job_under(&self, key: &str) {
        let mut records = self.records.lock().unwrap();
        if let Some(id) = key.strip_prefix("live/job/")
            && records.values.remove(key).is_some()
        {
            records.revision += 1;
            let last = map(vec![("state", "done".into()), ("tasks", 3.into())]);
            let last = (last, records.revision);
            records.values.insert(format!("final/{id}"), last);
        }
    }

    fn refuses(&self, key: &str) -> bool {
        if self.down.load(Ordering::Relaxed) {
            return true;
        }
        let refused = *self.refused_job.lock().unwrap();
        refused.is_some_and(|job| key.rsplit('/').next() == Some(job))
    }
}

/// A map with text keys.
pub fn map(fields: Vec<(&str, Value)>) -> Value {
    let fields = fields.into_iter().map(|(key, value)| (key.into(), value));
    Value::Map(fields.collect())
}

async fn read_one(State(service): Shared, Path(key): Path<String>) -> (StatusCode, Vec<u8>) {
    if service.stalled.load(Ordering::Relaxed) {
        return std::future::pending().await;
    }
    if service.refuses(&key) {
        return (StatusCode::SERVICE_UNAVAILABLE, Vec::new());
    }
    if service.ends.load(Ordering::Relaxed) {
        service.end_job_under(&key);
    }
    let records = service.records.lock().unwrap();
    match records.item(&key) {
        Some(item) => (StatusCode::OK, encode(&item)),
        None => {
            let revision = records.revision;
            (StatusCode::NOT_FOUND, encode(&ws::Revision { revision }))
        }
    }
}

#[derive(Deserialize)]
struct ListQuery {
    under: String,
    after: Option<String>,
    page: usize,
}

async fn list(State(service): Shared, Query(query): Query<ListQuery>) -> Vec<u8> {
    let records = service.records.lock().unwrap();
    encode(&records.list(&query.under, query.after.as_deref(), query.page))
}

async fn commit(State(service): Shared, body: Bytes) -> (StatusCode, Vec<u8>) {
    if service.down.load(Ordering::Relaxed) {
        return (StatusCode::SERVICE_UNAVAILABLE, Vec::new());
    }
    let transaction = decode(&body).unwrap();
    match service.records.lock().unwrap().commit(transaction) {
        Err(failed) => (
            StatusCode::CONFLICT,
            encode(&ws::Conflict {
                failed_keys: failed,
            }),
        ),
        Ok(revision) => {
            service.changed.notify_waiters();
            (StatusCode::OK, encode(&ws::Revision { revision }))
        }
    }
}

async fn new_lease(State(service): Shared) -> Vec<u8> {
    encode(&service.records.lock().unwrap().new_lease())
}

async fn renew_lease() -> StatusCode {
    StatusCode::OK
}

#[derive(Deserialize)]
struct WatchQuery {
    under: String,
    after: u64,
    block_ms: u64,
}

async fn changes(State(service): Shared, Query(query): Query<WatchQuery>) -> Vec<u8> {
    let wait = Duration::from_millis(query.block_ms);
    let changed = service.changed.notified();
    let find = || {
        if service.silent.load(Ordering::Relaxed) {
            return ws::Changes {
                revision: query.after,
                events: Vec::new(),
            };
        }
        let records = service.records.lock().unwrap();
        records.changes_after(&query.under, query.after)
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

/// Serves the routes on a loopback port of their own.
async fn serve(router: Router) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move { axum::serve(listener, router).await });
    addr
}

/// A node's settings; `next` holds the limits to come, as a table of its own.
pub fn settings(cloud: SocketAddr, state: SocketAddr, next: &str) -> String {
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

/// A node that is ready.
pub struct ReadyNode {
    pub http: HttpClient,
    pub front: SocketAddr,
    pub service: Arc<StateService>,
}

/// Starts a node with its state service and cloud, under settings that `change` may alter, and waits
/// until it is ready.
pub async fn ready_node_where(change: impl Fn(String) -> String) -> ReadyNode {
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
    let text = change(settings(cloud, state, ""));
    let node = Node::bind(Settings::parse(&text, "test").unwrap());
    let node = node.await.unwrap();
    let http = HttpClient::default();
    let front = node.front().unwrap();
    tokio::spawn(node.serve());
    let ready = async {
        loop {
            let answer = http.call(Method::GET, front, "/ready", None, PATIENCE);
            if answer.await.unwrap().status == 200 {
                return;
            }
            tokio::task::yield_now().await;
        }
    };
    let ready = tokio::time::timeout(PATIENCE, ready).await;
    ready.expect("ready in time");
    ReadyNode {
        http,
        front,
        service,
    }
}

//! A state service written from the protocol, with the faults that tests inject.

use super::map;
use super::records::{ListQuery, Records, Reply, WatchQuery};
use axum::Router;
use axum::body::Bytes;
use axum::extract::{Path, Query, State};
use axum::http::StatusCode;
use axum::routing::{get, post};
use rmpv::Value;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::Notify;
use umbervale::wire::{decode, encode, store as wire};

/// The state service, with what may be wrong with it.
#[derive(Default)]
pub(crate) struct StateService {
    records: Mutex<Records>,
    changed: Notify,
    /// The service refuses to read the records of this job.
    pub(crate) refused_job: Mutex<Option<&'static str>>,
    /// Watches see no changes, as with a node whose watch lags.
    pub(crate) silent: AtomicBool,
    /// Reads of single keys and commits are refused.
    pub(crate) down: AtomicBool,
    /// Reads of single keys get no reply.
    pub(crate) stalled: AtomicBool,
    /// The leader writes a job's final record just before its live record is read.
    pub(crate) ends: AtomicBool,
}

type Shared = State<Arc<StateService>>;

impl StateService {
    /// Writes a record as another node does, without a change for watches.
    pub(crate) fn put_without_change(&self, key: &str, value: Value) {
        let mut records = self.records.lock().unwrap();
        records.put_without_change(key, value);
    }

    /// Writes a record as another node does, with a change for watches.
    pub(crate) fn put_with_change(&self, key: &str, value: Value) {
        let mut records = self.records.lock().unwrap();
        let version = records.put_without_change(key, value.clone());
        let key = key.to_owned();
        let event = wire::WatchEvent::Put {
            key,
            value,
            version,
        };
        records.note_change(event);
        self.changed.notify_waiters();
    }

    /// The value of a key.
    pub(crate) fn value(&self, key: &str) -> Option<Value> {
        let records = self.records.lock().unwrap();
        records.item(key).map(|item| item.value)
    }

    /// Replaces the live record of that key, if there is one, by the job's final record.
    fn end_job_under(&self, key: &str) {
        let mut records = self.records.lock().unwrap();
        if let Some(id) = key.strip_prefix("live/job/")
            && records.delete_without_change(key)
        {
            let last = map(vec![("state", "done".into()), ("tasks", 3.into())]);
            records.put_without_change(&format!("final/{id}"), last);
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

async fn read_one(State(service): Shared, Path(key): Path<String>) -> Reply {
    if service.stalled.load(Ordering::Relaxed) {
        return std::future::pending().await;
    }
    if service.refuses(&key) {
        return (StatusCode::SERVICE_UNAVAILABLE, Vec::new());
    }
    if service.ends.load(Ordering::Relaxed) {
        service.end_job_under(&key);
    }
    service.records.lock().unwrap().read(&key)
}

async fn list(State(service): Shared, Query(query): Query<ListQuery>) -> Vec<u8> {
    encode(&service.records.lock().unwrap().list_page(&query))
}

async fn commit(State(service): Shared, body: Bytes) -> Reply {
    if service.down.load(Ordering::Relaxed) {
        return (StatusCode::SERVICE_UNAVAILABLE, Vec::new());
    }
    let transaction = decode(&body).unwrap();
    let reply = service.records.lock().unwrap().commit(transaction);
    if reply.0 == StatusCode::OK {
        service.changed.notify_waiters();
    }
    reply
}

async fn new_lease(State(service): Shared) -> Vec<u8> {
    encode(&service.records.lock().unwrap().grant_lease())
}

async fn renew_lease() -> StatusCode {
    StatusCode::OK
}

async fn changes(State(service): Shared, Query(query): Query<WatchQuery>) -> Vec<u8> {
    let wait = Duration::from_millis(query.block_ms);
    let changed = service.changed.notified();
    let find = || {
        if service.silent.load(Ordering::Relaxed) {
            return wire::Changes {
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

/// The routes of the service.
pub(super) fn router(service: Arc<StateService>) -> Router {
    Router::new()
        .route("/store", get(list))
        .route("/store/{*key}", get(read_one))
        .route("/commit", post(commit))
        .route("/holds", post(new_lease))
        .route("/holds/{id}/touch", post(renew_lease))
        .route("/changes", get(changes))
        .with_state(service)
}

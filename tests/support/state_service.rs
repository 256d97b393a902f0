//! A state service that is implemented from the protocol, with faults that tests can inject.

use super::map;
use super::records::{ListQuery, Records, StatusAndBody, WatchQuery};
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

/// The state service with its injected faults.
#[derive(Default)]
pub(crate) struct StateService {
    records: Mutex<Records>,
    changed: Notify,
    /// Reads of the records of this job are refused with 503.
    pub(crate) unreadable_job: Mutex<Option<&'static str>>,
    /// Watches return no changes, as if the node's watch lagged behind.
    pub(crate) hides_changes: AtomicBool,
    /// Reads of single keys and commits are refused with 503.
    pub(crate) unavailable: AtomicBool,
    /// Reads of single keys never get a response.
    pub(crate) stalls_reads: AtomicBool,
    /// A read of a job's live record first replaces that record with the final one, as if the leader had
    /// completed the job just before the read.
    pub(crate) completes_job_on_read: AtomicBool,
}

type SharedService = State<Arc<StateService>>;

impl StateService {
    /// Writes a record as another node would, without a change for watches.
    pub(crate) fn put_without_change(&self, key: &str, value: Value) {
        let mut records = self.records.lock().unwrap();
        records.put_without_change(key, value);
    }

    /// Writes a record as another node would, with a change for watches.
    pub(crate) fn put_with_change(&self, key: &str, value: Value) {
        let mut records = self.records.lock().unwrap();
        let version = records.put_without_change(key, value.clone());
        let key = key.to_owned();
        let event = wire::WatchEvent::Put {
            key,
            value,
            version,
        };
        records.append_change(event);
        self.changed.notify_waiters();
    }

    /// Returns the value of a key.
    pub(crate) fn value(&self, key: &str) -> Option<Value> {
        let records = self.records.lock().unwrap();
        records.item(key).map(|item| item.value)
    }

    /// Replaces the live record at a key with the job's final record. Does nothing if the key is not that
    /// of an existing live record.
    fn complete_job(&self, key: &str) {
        let mut records = self.records.lock().unwrap();
        if let Some(id) = key.strip_prefix("live/job/")
            && records.delete_without_change(key)
        {
            let final_record = map(vec![("state", "done".into()), ("tasks", 3.into())]);
            records.put_without_change(&format!("final/{id}"), final_record);
        }
    }

    /// Reports whether a read of a key is refused.
    fn refuses_read(&self, key: &str) -> bool {
        if self.unavailable.load(Ordering::Relaxed) {
            return true;
        }
        let unreadable = *self.unreadable_job.lock().unwrap();
        unreadable.is_some_and(|job| key.rsplit('/').next() == Some(job))
    }
}

async fn read_key(State(service): SharedService, Path(key): Path<String>) -> StatusAndBody {
    if service.stalls_reads.load(Ordering::Relaxed) {
        return std::future::pending().await;
    }
    if service.refuses_read(&key) {
        return (StatusCode::SERVICE_UNAVAILABLE, Vec::new());
    }
    if service.completes_job_on_read.load(Ordering::Relaxed) {
        service.complete_job(&key);
    }
    service.records.lock().unwrap().read(&key)
}

async fn list_keys(State(service): SharedService, Query(query): Query<ListQuery>) -> Vec<u8> {
    encode(&service.records.lock().unwrap().list_page(&query))
}

async fn commit(State(service): SharedService, body: Bytes) -> StatusAndBody {
    if service.unavailable.load(Ordering::Relaxed) {
        return (StatusCode::SERVICE_UNAVAILABLE, Vec::new());
    }
    let transaction = decode(&body).unwrap();
    let response = service.records.lock().unwrap().commit(transaction);
    if response.0 == StatusCode::OK {
        service.changed.notify_waiters();
    }
    response
}

async fn grant_lease(State(service): SharedService) -> Vec<u8> {
    encode(&service.records.lock().unwrap().grant_lease())
}

async fn renew_lease() -> StatusCode {
    StatusCode::OK
}

async fn changes(State(service): SharedService, Query(query): Query<WatchQuery>) -> Vec<u8> {
    let timeout = Duration::from_millis(query.block_ms);
    let changed = service.changed.notified();
    let current_changes = || {
        if service.hides_changes.load(Ordering::Relaxed) {
            return wire::Changes {
                revision: query.after,
                events: Vec::new(),
            };
        }
        let records = service.records.lock().unwrap();
        records.changes_after(&query.under, query.after)
    };
    if current_changes().events.is_empty() {
        let _ = tokio::time::timeout(timeout, changed).await;
    }
    encode(&current_changes())
}

/// Returns the routes of the service.
pub(super) fn router(service: Arc<StateService>) -> Router {
    Router::new()
        .route("/store", get(list_keys))
        .route("/store/{*key}", get(read_key))
        .route("/commit", post(commit))
        .route("/holds", post(grant_lease))
        .route("/holds/{id}/touch", post(renew_lease))
        .route("/changes", get(changes))
        .with_state(service)
}

//! A state service, written from the protocol: keys, conditional commits, leases that never end,
//! and watches.

use crate::records::{ListQuery, Records, Reply, WatchQuery};
use axum::Router;
use axum::body::Bytes;
use axum::extract::{Path, Query, State};
use axum::http::StatusCode;
use axum::routing::{get, post};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::Notify;
use umbervale::wire::{decode, encode};

/// The service's data, shared by its handlers.
#[derive(Default)]
pub(crate) struct StateService {
    records: Mutex<Records>,
    changed: Notify,
}

type Shared = State<Arc<StateService>>;

impl StateService {
    fn records(&self) -> MutexGuard<'_, Records> {
        self.records
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// The routes of the service.
    pub(crate) fn router(self: Arc<Self>) -> Router {
        Router::new()
            .route("/store", get(list))
            .route("/store/{*key}", get(read_one))
            .route("/commit", post(commit))
            .route("/holds", post(new_lease))
            .route(
                "/holds/{id}/touch",
                post(|| std::future::ready(StatusCode::OK)),
            )
            .route("/changes", get(changes))
            .with_state(self)
    }
}

async fn read_one(State(service): Shared, Path(key): Path<String>) -> Reply {
    service.records().read(&key)
}

async fn list(State(service): Shared, Query(query): Query<ListQuery>) -> Vec<u8> {
    encode(&service.records().list_page(&query))
}

async fn commit(State(service): Shared, body: Bytes) -> Reply {
    let Ok(transaction) = decode(&body) else {
        return (StatusCode::BAD_REQUEST, Vec::new());
    };
    let reply = service.records().commit(transaction);
    if reply.0 == StatusCode::OK {
        service.changed.notify_waiters();
    }
    reply
}

async fn new_lease(State(service): Shared) -> Vec<u8> {
    encode(&service.records().grant_lease())
}

async fn changes(State(service): Shared, Query(query): Query<WatchQuery>) -> Vec<u8> {
    let find = || service.records().changes_after(&query.under, query.after);
    let deadline = tokio::time::Instant::now() + Duration::from_millis(query.block_ms);
    loop {
        let changed = service.changed.notified();
        let found = find();
        if !found.events.is_empty() || tokio::time::timeout_at(deadline, changed).await.is_err() {
            return encode(&found);
        }
    }
}

//! A state service, written from the protocol: keys, conditional commits, leases that never end,
//! and watches.

use crate::records::Records;
use axum::Router;
use axum::body::Bytes;
use axum::extract::{Path, Query, State};
use axum::http::StatusCode;
use axum::routing::{get, post};
use serde::Deserialize;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::Notify;
use umbervale::wire::{decode, encode, store as wire};

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

async fn read_one(State(service): Shared, Path(key): Path<String>) -> (StatusCode, Vec<u8>) {
    let records = service.records();
    match records.item(&key) {
        Some(item) => (StatusCode::OK, encode(&item)),
        None => {
            let revision = records.revision();
            (StatusCode::NOT_FOUND, encode(&wire::Revision { revision }))
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
    let records = service.records();
    encode(&records.list(&query.under, query.after.as_deref(), query.page))
}

async fn commit(State(service): Shared, body: Bytes) -> (StatusCode, Vec<u8>) {
    let Ok(transaction) = decode(&body) else {
        return (StatusCode::BAD_REQUEST, Vec::new());
    };
    match service.records().commit(transaction) {
        Err(failed) => (
            StatusCode::CONFLICT,
            encode(&wire::Conflict {
                failed_keys: failed,
            }),
        ),
        Ok(revision) => {
            service.changed.notify_waiters();
            (StatusCode::OK, encode(&wire::Revision { revision }))
        }
    }
}

async fn new_lease(State(service): Shared) -> Vec<u8> {
    encode(&service.records().new_lease())
}

#[derive(Deserialize)]
struct WatchQuery {
    under: String,
    after: u64,
    block_ms: u64,
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

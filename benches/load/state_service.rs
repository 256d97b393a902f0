//! A simulated state service, written from the protocol: keys, conditional commits, leases that
//! never expire, and watches.

use crate::records::{ListQuery, Records, StatusAndBody, WatchQuery};
use axum::Router;
use axum::body::Bytes;
use axum::extract::{Path, Query, State};
use axum::http::StatusCode;
use axum::routing::{get, post};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::Notify;
use umbervale::wire::{decode, encode};

/// The data of the service, which its handlers share.
#[derive(Default)]
pub(crate) struct StateService {
    records: Mutex<Records>,
    /// Wakes the watches after a commit.
    changed: Notify,
}

type SharedService = State<Arc<StateService>>;

impl StateService {
    fn records(&self) -> MutexGuard<'_, Records> {
        self.records
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Returns the routes of the service.
    pub(crate) fn router(self: Arc<Self>) -> Router {
        Router::new()
            .route("/store", get(list_page))
            .route("/store/{*key}", get(read_one))
            .route("/commit", post(commit))
            .route("/holds", post(grant_lease))
            .route(
                "/holds/{id}/touch",
                post(|| std::future::ready(StatusCode::OK)),
            )
            .route("/changes", get(watch))
            .with_state(self)
    }
}

async fn read_one(State(service): SharedService, Path(key): Path<String>) -> StatusAndBody {
    service.records().read(&key)
}

async fn list_page(State(service): SharedService, Query(query): Query<ListQuery>) -> Vec<u8> {
    encode(&service.records().list_page(&query))
}

async fn commit(State(service): SharedService, body: Bytes) -> StatusAndBody {
    let Ok(transaction) = decode(&body) else {
        return (StatusCode::BAD_REQUEST, Vec::new());
    };
    let response = service.records().commit(transaction);
    if response.0 == StatusCode::OK {
        service.changed.notify_waiters();
    }
    response
}

async fn grant_lease(State(service): SharedService) -> Vec<u8> {
    encode(&service.records().grant_lease())
}

async fn watch(State(service): SharedService, Query(query): Query<WatchQuery>) -> Vec<u8> {
    let find_changes = || service.records().changes_after(&query.under, query.after);
    let deadline = tokio::time::Instant::now() + Duration::from_millis(query.block_ms);
    loop {
        let changed = service.changed.notified();
        let changes = find_changes();
        if !changes.events.is_empty() || tokio::time::timeout_at(deadline, changed).await.is_err() {
            return encode(&changes);
        }
    }
}

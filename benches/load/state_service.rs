//! A state service, written from the protocol: keys, conditional commits, leases that never end,
//! and watches.

use axum::Router;
use axum::body::Bytes;
use axum::extract::{Path, Query, State};
use axum::http::StatusCode;
use axum::routing::{get, post};
use rmpv::Value;
use serde::Deserialize;
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::Notify;
use umbervale::wire::{decode, encode, store as wire};

/// Changes that are kept for watches, as the protocol says.
const CHANGES_KEPT: usize = 10_000;

#[derive(Default)]
struct Records {
    values: BTreeMap<String, (Value, u64)>,
    revision: u64,
    changes: VecDeque<(u64, wire::Event)>,
    leases: u64,
}

impl Records {
    fn version(&self, key: &str) -> u64 {
        self.values.get(key).map_or(0, |(_, version)| *version)
    }

    fn apply(&mut self, write: wire::Write) {
        let version = self.revision;
        let event = match write {
            wire::Write::Put { put, value, .. } => {
                let stored = (value.clone(), version);
                self.values.insert(put.clone(), stored);
                wire::Event::Put {
                    put,
                    value,
                    version,
                }
            }
            wire::Write::Delete { delete } => {
                self.values.remove(&delete);
                wire::Event::Delete { delete, version }
            }
        };
        self.changes.push_back((version, event));
        if self.changes.len() > CHANGES_KEPT {
            self.changes.pop_front();
        }
    }
}

/// The service's data, shared by its handlers.
#[derive(Default)]
pub struct StateService {
    records: Mutex<Records>,
    changed: Notify,
}

type Shared = State<Arc<StateService>>;

impl StateService {
    fn records(&self) -> MutexGuard<'_, Records> {
        self.records.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// The routes of the service.
    pub fn router(self: Arc<Self>) -> Router {
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
    let Some((value, version)) = records.values.get(&key) else {
        let revision = wire::Revision {
            revision: records.revision,
        };
        return (StatusCode::NOT_FOUND, encode(&revision));
    };
    let (value, version) = (value.clone(), *version);
    let item = wire::Item {
        key,
        value,
        version,
    };
    (StatusCode::OK, encode(&item))
}

#[derive(Deserialize)]
struct ListQuery {
    under: String,
    after: Option<String>,
    page: usize,
}

async fn list(State(service): Shared, Query(query): Query<ListQuery>) -> Vec<u8> {
    let records = service.records();
    let from = query.after.as_ref().unwrap_or(&query.under);
    let mut keys = records
        .values
        .range(from.clone()..)
        .take_while(|(key, _)| key.starts_with(&query.under))
        .filter(|(key, _)| query.after.as_ref() != Some(key));
    let items = keys.by_ref().take(query.page);
    let items = items.map(|(key, (value, version))| wire::Item {
        key: key.clone(),
        value: value.clone(),
        version: *version,
    });
    let items = items.collect();
    encode(&wire::Listing {
        items,
        more: keys.next().is_some(),
        revision: records.revision,
    })
}

async fn commit(State(service): Shared, body: Bytes) -> (StatusCode, Vec<u8>) {
    let Ok(transaction) = decode::<wire::Txn>(&body) else {
        return (StatusCode::BAD_REQUEST, Vec::new());
    };
    let mut records = service.records();
    let failed = transaction.conditions.iter();
    let failed = failed.filter(|condition| records.version(&condition.key) != condition.version);
    let failed: Vec<String> = failed.map(|condition| condition.key.clone()).collect();
    if !failed.is_empty() {
        return (StatusCode::CONFLICT, encode(&wire::Conflict { failed }));
    }
    records.revision += 1;
    for write in transaction.writes {
        records.apply(write);
    }
    service.changed.notify_waiters();
    let revision = records.revision;
    (StatusCode::OK, encode(&wire::Revision { revision }))
}

async fn new_lease(State(service): Shared) -> Vec<u8> {
    let mut records = service.records();
    records.leases += 1;
    encode(&wire::Lease {
        lease: records.leases,
    })
}

#[derive(Deserialize)]
struct WatchQuery {
    under: String,
    after: u64,
    block_ms: u64,
}

async fn changes(State(service): Shared, Query(query): Query<WatchQuery>) -> Vec<u8> {
    let key_of = |event: &wire::Event| match event {
        wire::Event::Put { put, .. } => put.starts_with(&query.under),
        wire::Event::Delete { delete, .. } => delete.starts_with(&query.under),
    };
    let find = || {
        let records = service.records();
        let newer = records.changes.iter().rev();
        let newer = newer.take_while(|(at, _)| *at > query.after);
        let mut events: Vec<_> = newer.map(|(_, event)| event.clone()).collect();
        events.reverse();
        events.retain(key_of);
        wire::Changes {
            revision: records.revision,
            events,
        }
    };
    let deadline = tokio::time::Instant::now() + Duration::from_millis(query.block_ms);
    loop {
        let changed = service.changed.notified();
        let found = find();
        if !found.events.is_empty() || tokio::time::timeout_at(deadline, changed).await.is_err() {
            return encode(&found);
        }
    }
}

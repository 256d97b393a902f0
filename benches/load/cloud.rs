//! A simulated cloud that rents machines immediately, up to the fleet's capacity, and starts a
//! worker for each machine.

use crate::constants::{MACHINE_TYPE, ZONES};
use crate::fleet::Fleet;
use axum::Router;
use axum::body::Bytes;
use axum::extract::{Query, State};
use axum::http::StatusCode;
use axum::routing::{get, post};
use serde::Deserialize;
use std::sync::Arc;
use umbervale::wire::{cloud as wire, decode, encode};

/// Returns the routes of the cloud.
pub(crate) fn router(fleet: Arc<Fleet>) -> Router {
    Router::new()
        .route("/flavors", get(machine_types))
        .route("/machines", get(list).post(rent))
        .route("/machines/return", post(return_machines))
        .with_state(fleet)
}

async fn machine_types() -> Vec<u8> {
    let machine_type = wire::MachineType {
        name: MACHINE_TYPE.into(),
        cpus: 64.0,
        gpus: 8.0,
        memory_gb: 256.0,
        cache_gb: 100.0,
        fetch_gb_per_s: 1.0,
        price: 4.0,
        spot_price: 1.0,
        boot_s: 5.0,
        zones: ZONES.map(String::from).to_vec(),
    };
    encode(&wire::MachineTypeList {
        machine_types: vec![machine_type],
    })
}

async fn rent(State(fleet): State<Arc<Fleet>>, body: Bytes) -> (StatusCode, Vec<u8>) {
    let Ok(request) = decode::<wire::RentRequest>(&body) else {
        return (StatusCode::BAD_REQUEST, Vec::new());
    };
    let machines = fleet.rent(&request);
    if machines.is_empty() {
        let refusal = std::collections::BTreeMap::from([("error", "no capacity")]);
        return (StatusCode::SERVICE_UNAVAILABLE, encode(&refusal));
    }
    (StatusCode::OK, encode(&wire::MachineNames { machines }))
}

async fn return_machines(State(fleet): State<Arc<Fleet>>, body: Bytes) -> StatusCode {
    let Ok(returned) = decode::<wire::MachineNames>(&body) else {
        return StatusCode::BAD_REQUEST;
    };
    fleet.return_machines(&returned.machines);
    StatusCode::OK
}

#[derive(Deserialize)]
struct ListQuery {
    after: Option<String>,
    page: usize,
}

async fn list(State(fleet): State<Arc<Fleet>>, Query(query): Query<ListQuery>) -> Vec<u8> {
    encode(&fleet.list_page(query.after.as_deref(), query.page))
}

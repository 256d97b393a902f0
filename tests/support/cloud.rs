//! A cloud that is implemented from the protocol. It offers one machine type and has no machines.

use super::map;
use axum::Router;
use axum::routing::get;
use rmpv::Value;
use umbervale::wire::encode;

/// Returns the list with the only machine type.
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

/// Returns the only page of the machine list, which is empty.
async fn empty_machine_page() -> Vec<u8> {
    let machines = Value::Array(Vec::new());
    encode(&map(vec![("hosts", machines), ("truncated", false.into())]))
}

/// Returns the routes of the cloud.
pub(super) fn router() -> Router {
    Router::new()
        .route("/flavors", get(machine_types))
        .route("/machines", get(empty_machine_page))
}

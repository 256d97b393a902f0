//! The HTTP request of each call, as the platform's protocol defines it.

use super::StoreCall;
use crate::constants;
use crate::http::HttpRequest;
use crate::model::whole_millis;
use crate::wire::store::GrantLeaseRequest;
use std::time::Duration;

/// The request that makes the call.
pub(super) fn request(call: &StoreCall) -> HttpRequest {
    match call {
        StoreCall::Get { key } => HttpRequest::get(format!("/store/{key}")),
        StoreCall::List { prefix, after } => list(prefix, after.as_deref()),
        StoreCall::Commit(transaction) => HttpRequest::post("/commit", transaction),
        StoreCall::GrantLease { ttl } => {
            let ttl_ms = whole_millis(*ttl);
            HttpRequest::post("/holds", &GrantLeaseRequest { ttl_ms })
        }
        StoreCall::KeepAlive { lease } => HttpRequest::post_empty(format!("/holds/{lease}/touch")),
        StoreCall::RevokeLease { lease } => HttpRequest::delete(format!("/holds/{lease}")),
        StoreCall::Watch {
            prefix,
            after,
            wait,
        } => HttpRequest::get(format!(
            "/changes?under={prefix}&after={after}&block_ms={}",
            whole_millis(*wait)
        )),
    }
}

/// How long the response may take. A watch is answered late on purpose.
pub(super) fn timeout(call: &StoreCall) -> Duration {
    match call {
        StoreCall::Watch { wait, .. } => *wait + constants::WATCH_SLACK,
        _ => constants::STORE_TIMEOUT,
    }
}

fn list(prefix: &str, after: Option<&str>) -> HttpRequest {
    let after = after.map_or(String::new(), |key| format!("&after={key}"));
    HttpRequest::get(format!(
        "/store?under={prefix}{after}&page={}",
        constants::STORE_LIST_PAGE_ITEMS
    ))
}

#[cfg(test)]
mod tests;

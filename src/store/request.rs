//! Conversion of calls to HTTP requests as the platform's protocol defines them.

use super::StoreCall;
use crate::constants;
use crate::http::HttpRequest;
use crate::model::whole_millis;
use crate::wire::store::GrantLeaseRequest;
use std::time::Duration;

/// Returns the HTTP request of a call.
pub(super) fn http_request(call: &StoreCall) -> HttpRequest {
    match call {
        StoreCall::Get { key } => HttpRequest::get(format!("/store/{key}")),
        StoreCall::List { prefix, after } => list_request(prefix, after.as_deref()),
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

/// Returns the timeout for the response to a call. The response to a watch may take as long as the
/// watch waits for a change, and [`constants::WATCH_SLACK`] longer.
pub(super) fn response_timeout(call: &StoreCall) -> Duration {
    match call {
        StoreCall::Watch { wait, .. } => *wait + constants::WATCH_SLACK,
        _ => constants::STORE_TIMEOUT,
    }
}

/// Returns the request for the page of keys that follows the key `after`, or for the first page.
fn list_request(prefix: &str, after: Option<&str>) -> HttpRequest {
    let after = after.map_or(String::new(), |key| format!("&after={key}"));
    HttpRequest::get(format!(
        "/store?under={prefix}{after}&page={}",
        constants::STORE_LIST_PAGE_ITEMS
    ))
}

#[cfg(test)]
mod tests;

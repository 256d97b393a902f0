//! Building responses, and reading bodies of requests.

use crate::constants as k;
use crate::wire::{encode, user};
use axum::body::{Body, to_bytes};
use axum::http::{HeaderValue, Response, StatusCode};

/// The response to any request.
pub(super) type Answer = Response<Body>;

/// Most characters of the reason in a refusal.
const REASON_MAX: usize = 200;
/// How many times the allowed size of a body is read before reading stops.
const READ_FACTOR: usize = 4;

/// A response with a message in MessagePack.
pub(super) fn answer<T: serde::Serialize>(status: StatusCode, message: &T) -> Answer {
    let mut response = Response::new(Body::from(encode(message)));
    *response.status_mut() = status;
    let kind = HeaderValue::from_static("application/msgpack");
    response.headers_mut().insert("content-type", kind);
    response
}

/// A refusal; the reason is cut to [`REASON_MAX`] characters.
pub(super) fn refuse(status: StatusCode, why: &str) -> Answer {
    let short: String = why.chars().take(REASON_MAX).collect();
    answer(status, &user::Refusal { error: &short })
}

/// A 503 that tells when to ask again.
pub(super) fn unavailable(why: &str) -> Answer {
    let mut response = refuse(StatusCode::SERVICE_UNAVAILABLE, why);
    response
        .headers_mut()
        .insert("retry-after", k::RETRY_AFTER_S.into());
    response
}

/// Reads a body of at most the protocol's size.
pub(super) async fn read_body(body: Body) -> Result<bytes::Bytes, Answer> {
    // A little more is read than allowed, to tell "too long" (400) from "can't be read" (413).
    match to_bytes(body, READ_FACTOR * k::BODY_MAX).await {
        Ok(bytes) if bytes.len() <= k::BODY_MAX => Ok(bytes),
        Ok(_) => Err(refuse(StatusCode::BAD_REQUEST, "body over 64 KiB")),
        Err(_) => Err(refuse(StatusCode::PAYLOAD_TOO_LARGE, "body can't be read")),
    }
}

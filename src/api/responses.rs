//! Building responses.

use crate::constants;
use crate::wire::{encode, user};
use axum::body::Body;
use axum::http::{HeaderValue, Response, StatusCode};

/// The response to any request.
pub(super) type Answer = Response<Body>;

/// Most characters of the reason in a refusal.
const REASON_MAX: usize = 200;

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
        .insert("retry-after", constants::RETRY_AFTER_S.into());
    response
}

//! Building responses.

use crate::constants;
use crate::wire::{encode, user};
use axum::body::Body;
use axum::http::header::{CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use axum::http::{HeaderValue, Response, StatusCode};

/// The response to any request.
pub(super) type HttpResponse = Response<Body>;

/// A response with a message in MessagePack.
pub(super) fn respond<T: serde::Serialize>(status: StatusCode, message: &T) -> HttpResponse {
    let mut response = Response::new(Body::from(encode(message)));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("application/msgpack");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

/// A refusal; the reason is cut to [`constants::MAX_REASON_CHARS`] characters.
pub(super) fn refuse(status: StatusCode, reason: &str) -> HttpResponse {
    let reason: String = reason.chars().take(constants::MAX_REASON_CHARS).collect();
    respond(status, &user::Refusal { error: &reason })
}

/// The 404 for a job that was never accepted.
pub(super) fn job_not_found() -> HttpResponse {
    refuse(StatusCode::NOT_FOUND, "no such job")
}

/// A 503 that tells when to retry.
pub(super) fn unavailable(reason: &str) -> HttpResponse {
    let mut response = refuse(StatusCode::SERVICE_UNAVAILABLE, reason);
    let retry_after = constants::RETRY_AFTER_S.into();
    response.headers_mut().insert(RETRY_AFTER, retry_after);
    response
}

/// Has the connection closed after the response.
pub(super) fn close_connection(response: &mut HttpResponse) {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
}

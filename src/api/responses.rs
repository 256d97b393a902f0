//! Functions that build HTTP responses.

use crate::constants;
use crate::wire::{encode, user};
use axum::body::Body;
use axum::http::header::{CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use axum::http::{HeaderValue, Response, StatusCode};

/// The response to any request.
pub(super) type HttpResponse = Response<Body>;

/// Builds a response whose body is a message encoded in MessagePack.
pub(super) fn message_response<T: serde::Serialize>(
    status: StatusCode,
    message: &T,
) -> HttpResponse {
    let mut response = Response::new(Body::from(encode(message)));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("application/msgpack");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

/// Builds an error response. The reason is truncated to [`constants::MAX_REASON_CHARS`] characters.
pub(super) fn error_response(status: StatusCode, reason: &str) -> HttpResponse {
    let reason: String = reason.chars().take(constants::MAX_REASON_CHARS).collect();
    message_response(status, &user::Refusal { error: &reason })
}

/// Builds the 404 response for a job that was never accepted.
pub(super) fn job_not_found() -> HttpResponse {
    error_response(StatusCode::NOT_FOUND, "no such job")
}

/// Builds a 503 response that asks the client to retry after [`constants::RETRY_AFTER_S`] seconds.
pub(super) fn service_unavailable(reason: &str) -> HttpResponse {
    let mut response = error_response(StatusCode::SERVICE_UNAVAILABLE, reason);
    let retry_after = constants::RETRY_AFTER_S.into();
    response.headers_mut().insert(RETRY_AFTER, retry_after);
    response
}

/// Sets the `Connection: close` header, so that the connection is closed after the response.
pub(super) fn set_connection_close(response: &mut HttpResponse) {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
}

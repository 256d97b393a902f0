//! The HTTP client that the clients of the state service, the cloud and the workers use.

use crate::constants;
use crate::wire::encode;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::{Method, Request};
use hyper_util::client::legacy::{Client, connect::HttpConnector};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use std::borrow::Cow;
use std::net::SocketAddr;
use std::time::Duration;

/// A response with its complete body.
#[derive(Debug, Clone)]
pub struct HttpResponse {
    /// The status code.
    pub status: u16,
    /// The body.
    pub body: Bytes,
}

/// Reasons why a request got no complete response.
#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    /// The request was not sent, so it was not executed.
    #[error("not sent: {0}")]
    NotSent(#[source] SendError),
    /// The request may have been sent and executed, but no complete response arrived.
    #[error("no complete response: {0}")]
    NoResponse(#[source] ResponseError),
    /// A response arrived, but its body is longer than [`constants::MAX_RESPONSE_BYTES`].
    #[error("response body over {} bytes", constants::MAX_RESPONSE_BYTES)]
    ResponseTooLong,
}

/// Reasons why a request was not sent.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// The request can't be built.
    #[error(transparent)]
    Request(#[from] hyper::http::Error),
    /// No connection could be established.
    #[error(transparent)]
    Connect(#[from] hyper_util::client::legacy::Error),
}

/// Reasons why a request that may have been sent got no complete response.
#[derive(Debug, thiserror::Error)]
pub enum ResponseError {
    /// The connection failed before a valid head of the response arrived.
    #[error(transparent)]
    Head(hyper_util::client::legacy::Error),
    /// The body could not be read to its end.
    #[error("{0}")]
    Body(#[source] Box<dyn std::error::Error + Send + Sync>),
    /// The complete response did not arrive within the timeout.
    #[error("timed out")]
    Timeout,
}

/// The method, path and body of a request, without the address to which it is sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct HttpRequest {
    /// The method.
    pub(crate) method: Method,
    /// The path and query string.
    pub(crate) path: Cow<'static, str>,
    /// The encoded body, if the request has one.
    pub(crate) body: Option<Vec<u8>>,
}

impl HttpRequest {
    /// Creates a GET request.
    pub(crate) fn get(path: impl Into<Cow<'static, str>>) -> Self {
        Self::without_body(Method::GET, path)
    }

    /// Creates a DELETE request.
    pub(crate) fn delete(path: impl Into<Cow<'static, str>>) -> Self {
        Self::without_body(Method::DELETE, path)
    }

    /// Creates a POST request without a body.
    pub(crate) fn post_empty(path: impl Into<Cow<'static, str>>) -> Self {
        Self::without_body(Method::POST, path)
    }

    /// Creates a POST request whose body is a message encoded in MessagePack.
    pub(crate) fn post<T: Serialize>(path: &'static str, message: &T) -> Self {
        HttpRequest {
            method: Method::POST,
            path: path.into(),
            body: Some(encode(message)),
        }
    }

    fn without_body(method: Method, path: impl Into<Cow<'static, str>>) -> Self {
        HttpRequest {
            method,
            path: path.into(),
            body: None,
        }
    }
}

/// An HTTP client with a connection pool. Clones share the pool.
#[derive(Debug, Clone)]
pub struct HttpClient {
    inner: Client<HttpConnector, Full<Bytes>>,
}

impl Default for HttpClient {
    fn default() -> Self {
        HttpClient::with_max_idle_connections(constants::MAX_IDLE_CONNECTIONS)
    }
}

impl HttpClient {
    /// Creates a client that keeps up to `max_idle` idle connections to each address.
    pub fn with_max_idle_connections(max_idle: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(constants::CONNECT_TIMEOUT));
        let inner = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(constants::IDLE_CONNECTION_TIMEOUT)
            .pool_max_idle_per_host(max_idle)
            .build(connector);
        HttpClient { inner }
    }

    /// Sends a request and reads its whole response within `timeout`.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`HttpClient::call`].
    pub(crate) async fn send(
        &self,
        address: SocketAddr,
        request: HttpRequest,
        timeout: Duration,
    ) -> Result<HttpResponse, HttpError> {
        let HttpRequest { method, path, body } = request;
        self.call(method, address, &path, body, timeout).await
    }

    /// Sends a request, with an encoded body if there is one, and reads its whole response within
    /// `timeout`.
    ///
    /// # Errors
    ///
    /// - [`HttpError::NotSent`] if the request was not sent, and so not executed,
    /// - [`HttpError::NoResponse`] if no complete response arrived within `timeout`; the request may
    ///   have been executed,
    /// - [`HttpError::ResponseTooLong`] if the body of the response is longer than
    ///   [`constants::MAX_RESPONSE_BYTES`].
    pub async fn call(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Option<Vec<u8>>,
        timeout: Duration,
    ) -> Result<HttpResponse, HttpError> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"));
        if body.is_some() {
            request = request.header("content-type", "application/msgpack");
        }
        let request = request
            .body(Full::new(Bytes::from(body.unwrap_or_default())))
            .map_err(|error| HttpError::NotSent(SendError::Request(error)))?;
        tokio::time::timeout(timeout, self.exchange(request))
            .await
            .unwrap_or(Err(HttpError::NoResponse(ResponseError::Timeout)))
    }

    /// Sends a request and reads its whole response, without an overall timeout.
    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<HttpResponse, HttpError> {
        let response = self.inner.request(request).await.map_err(|error| {
            if error.is_connect() {
                HttpError::NotSent(SendError::Connect(error))
            } else {
                HttpError::NoResponse(ResponseError::Head(error))
            }
        })?;
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), constants::MAX_RESPONSE_BYTES)
            .collect()
            .await
            .map_err(|error| {
                if error.is::<LengthLimitError>() {
                    HttpError::ResponseTooLong
                } else {
                    HttpError::NoResponse(ResponseError::Body(error))
                }
            })?
            .to_bytes();
        Ok(HttpResponse { status, body })
    }
}

#[cfg(test)]
mod tests;

//! The one HTTP client, shared by the clients of state service, cloud and workers.

use crate::constants;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::{Method, Request};
use hyper_util::client::legacy::{Client, connect::HttpConnector};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use std::net::SocketAddr;
use std::time::Duration;

#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub body: Bytes,
}

#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// No connection: the request certainly was not sent.
    #[error("not sent: {0}")]
    NotSent(String),
    /// Sent, perhaps executed, no answer.
    #[error("no answer: {0}")]
    NoAnswer(String),
    /// Executed, but the answer is longer than what is read of one.
    #[error("answer over {} bytes", constants::MAX_RESPONSE_BYTES)]
    TooLong,
}

#[derive(Clone)]
pub struct HttpClient {
    inner: Client<HttpConnector, Full<Bytes>>,
}

impl Default for HttpClient {
    fn default() -> Self {
        HttpClient::keeping(constants::MAX_IDLE_CONNECTIONS)
    }
}

impl HttpClient {
    /// Keeps up to that many idle connections to each address.
    pub fn keeping(idle: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(constants::CONNECT_TIMEOUT));
        let inner = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(constants::IDLE_CONNECTION_TIMEOUT)
            .pool_max_idle_per_host(idle)
            .build(connector);
        HttpClient { inner }
    }

    /// Sends one request and reads its whole answer within `timeout`.
    pub async fn call(
        &self,
        method: Method,
        addr: SocketAddr,
        path: &str,
        body: Option<Vec<u8>>,
        timeout: Duration,
    ) -> Result<Answer, CallError> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{addr}{path}"));
        if body.is_some() {
            request = request.header("content-type", "application/msgpack");
        }
        let request = request
            .body(Full::new(Bytes::from(body.unwrap_or_default())))
            .map_err(|e| CallError::NotSent(e.to_string()))?;
        let exchange = async {
            let answer = self.inner.request(request).await.map_err(|e| {
                if e.is_connect() {
                    CallError::NotSent(e.to_string())
                } else {
                    CallError::NoAnswer(e.to_string())
                }
            })?;
            let status = answer.status().as_u16();
            let body = Limited::new(answer.into_body(), constants::MAX_RESPONSE_BYTES)
                .collect()
                .await
                .map_err(|e| match e.is::<LengthLimitError>() {
                    true => CallError::TooLong,
                    false => CallError::NoAnswer(e.to_string()),
                })?
                .to_bytes();
            Ok(Answer { status, body })
        };
        tokio::time::timeout(timeout, exchange)
            .await
            .unwrap_or_else(|_| Err(CallError::NoAnswer("timed out".into())))
    }
}

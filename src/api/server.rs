//! The HTTP server on `front`, which uses a bounded amount of memory for each connection.

use super::connections::{ConnectionLimiter, LimitedListener};
use crate::constants;
use axum::Router;
use axum::serve::Listener;
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use std::convert::Infallible;
use tokio::net::TcpListener;

/// Accepts connections and serves the routes of `router` on them. Never returns.
pub async fn serve(
    listener: TcpListener,
    router: Router,
    connection_limiter: ConnectionLimiter,
) -> Infallible {
    let mut http = http1::Builder::new();
    // The head of a request must arrive within the idle timeout: a client that occasionally sends
    // a byte is never idle and would otherwise keep its connection open forever. hyper also runs
    // this timer between requests. There it duplicates the idle timer of `LimitedConnection`, which
    // is still needed because it also covers reading a body and writing a response.
    http.timer(TokioTimer::new())
        .header_read_timeout(connection_limiter.idle_timeout())
        .max_buf_size(constants::CONNECTION_BUFFER_BYTES);
    let mut listener = LimitedListener::new(listener, connection_limiter);
    loop {
        let (stream, _) = listener.accept().await;
        let service = TowerToHyperService::new(router.clone());
        let connection = http.serve_connection(TokioIo::new(stream), service);
        // The task ends when its connection closes. The timeouts limit how long that takes, and the
        // connection limit bounds the number of tasks.
        tokio::spawn(async move {
            // Logged at debug level only: clients may close or lose a connection at any time, so a
            // failed connection is not an error of this node.
            if let Err(error) = connection.await {
                tracing::debug!(%error, "connection failed");
            }
        });
    }
}

#[cfg(test)]
mod tests;

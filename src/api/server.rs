//! Accepts connections on `front` and serves HTTP on them, with bounded memory for each.

use super::connections::{ConnectionLimiter, LimitedListener};
use crate::constants;
use axum::Router;
use axum::serve::Listener;
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use std::convert::Infallible;
use tokio::net::TcpListener;

/// Serves the routes on all connections; never returns.
pub async fn serve(
    listener: TcpListener,
    router: Router,
    connections: ConnectionLimiter,
) -> Infallible {
    let mut http = http1::Builder::new();
    // The head of a request must arrive within the idle timeout: a client that sends a byte now and
    // then is never idle, and would keep its connection open. hyper runs this timer between two
    // requests as well, where it doubles that of the connection itself, which also covers the time
    // in which a body is read or a response is written.
    http.timer(TokioTimer::new())
        .header_read_timeout(connections.idle_timeout())
        .max_buf_size(constants::CONNECTION_BUFFER_BYTES);
    let mut listener = LimitedListener::new(listener, connections);
    loop {
        let (stream, _) = listener.accept().await;
        let service = TowerToHyperService::new(router.clone());
        let connection = http.serve_connection(TokioIo::new(stream), service);
        // The task ends with its connection; timeouts and the limit on connections bound it.
        tokio::spawn(async move {
            // Clients close and lose connections at any time, so this is not an error of the node.
            if let Err(error) = connection.await {
                tracing::debug!(%error, "connection failed");
            }
        });
    }
}

#[cfg(test)]
mod tests;

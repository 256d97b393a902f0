//! Accepts connections on `front` and serves HTTP on them, with bounded memory for each.

use super::limit::{Connections, LimitedListener};
use crate::constants;
use axum::Router;
use axum::serve::Listener;
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use std::convert::Infallible;
use tokio::net::TcpListener;

/// Serves the routes on all connections, for ever.
pub async fn serve(listener: TcpListener, router: Router, connections: Connections) -> Infallible {
    let mut http = http1::Builder::new();
    // The head of a request has to arrive within the time that a caller may pause: else one that sends
    // a byte now and then would keep its connection for ever.
    http.timer(TokioTimer::new())
        .header_read_timeout(connections.pause())
        .max_buf_size(constants::CONNECTION_BUFFER_BYTES);
    let mut listener = LimitedListener::new(listener, connections);
    loop {
        let (stream, _) = listener.accept().await;
        let service = TowerToHyperService::new(router.clone());
        let connection = http.serve_connection(TokioIo::new(stream), service);
        tokio::spawn(async move {
            // Callers come and go: a connection that breaks off is nobody's mistake.
            if let Err(e) = connection.await {
                tracing::debug!("connection: {e}");
            }
        });
    }
}

#[cfg(test)]
mod tests;

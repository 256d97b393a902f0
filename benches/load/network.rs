//! Servers on the loopback interface, and helpers that wait for a condition.

use crate::process::NodeAddress;
use axum::Router;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;
use umbervale::http::HttpClient;

/// Timeout of every call and wait, long enough for a node under callgrind.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(300);

/// Serves the routes on an unused loopback port until the program ends.
pub(crate) async fn serve(router: Router) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move { axum::serve(listener, router).await });
    address
}

/// Returns addresses with ports that are currently unused.
pub(crate) async fn find_unused_address(name: &str) -> NodeAddress {
    let front = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let back = TcpListener::bind("127.0.0.1:0").await.unwrap();
    NodeAddress {
        name: name.into(),
        front: front.local_addr().unwrap(),
        back: back.local_addr().unwrap(),
    }
}

/// Waits until the condition holds.
///
/// # Panics
///
/// Panics after [`TIMEOUT`].
pub(crate) async fn wait_until(mut condition: impl FnMut() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, wait)
        .await
        .expect("condition holds before the timeout");
}

/// Waits until a node is ready.
///
/// # Panics
///
/// Panics after [`TIMEOUT`].
pub(crate) async fn wait_until_ready(front: SocketAddr) {
    let http = HttpClient::default();
    let ready = async {
        loop {
            let response = http
                .call(hyper::Method::GET, front, "/ready", None, TIMEOUT)
                .await;
            if response.is_ok_and(|response| response.status == 200) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, ready)
        .await
        .expect("node is ready before the timeout");
}

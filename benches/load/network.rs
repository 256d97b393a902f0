//! Loopback servers, and waiting.

use crate::process::NodeAddress;
use axum::Router;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;
use umbervale::http::HttpClient;

/// How long any call or wait may take under callgrind.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(300);

/// Serves the routes on a loopback port of their own, to the end of the program.
pub(crate) async fn serve(router: Router) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move { axum::serve(listener, router).await });
    address
}

/// Addresses that are free now.
pub(crate) async fn free_address(name: &str) -> NodeAddress {
    let front = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let back = TcpListener::bind("127.0.0.1:0").await.unwrap();
    NodeAddress {
        name: name.into(),
        front: front.local_addr().unwrap(),
        back: back.local_addr().unwrap(),
    }
}

/// Waits until the condition holds; fails after [`TIMEOUT`].
pub(crate) async fn wait_until(mut condition: impl FnMut() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, wait).await.expect("in time");
}

/// Waits until a node is ready; fails after [`TIMEOUT`].
pub(crate) async fn wait_until_ready(front: SocketAddr) {
    let http = HttpClient::default();
    let ready = async {
        loop {
            let answer = http
                .call(hyper::Method::GET, front, "/ready", None, TIMEOUT)
                .await;
            if answer.is_ok_and(|answer| answer.status == 200) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, ready)
        .await
        .expect("ready in time");
}

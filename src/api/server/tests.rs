use super::*;
use axum::routing::get;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::Instant;

const IDLE_TIMEOUT: Duration = Duration::from_secs(16);

/// Starts a server with one route. Returns its address and its connection limiter.
async fn start_server() -> (SocketAddr, ConnectionLimiter) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let router = Router::new().route("/", get(|| std::future::ready("here")));
    let connection_limiter = ConnectionLimiter::new(4, IDLE_TIMEOUT);
    tokio::spawn(serve(listener, router, connection_limiter.clone()));
    (addr, connection_limiter)
}

/// Guards against a client that keeps its connection open by occasionally sending a byte of a
/// request head: such a connection is never idle.
#[tokio::test(start_paused = true)]
async fn connection_is_closed_if_the_request_head_arrives_too_slowly() {
    let (addr, _) = start_server().await;
    let mut client = TcpStream::connect(addr).await.unwrap();
    let started = Instant::now();
    let mut head = b"GET / HTTP/1.1\r\nx: "
        .iter()
        .chain(std::iter::repeat(&b'y'));
    loop {
        let byte = [*head.next().unwrap()];
        if client.write_all(&byte).await.is_err() {
            break;
        }
        let mut response = [0; 256];
        let read = tokio::time::timeout(IDLE_TIMEOUT / 4, client.read(&mut response)).await;
        if matches!(read, Ok(Ok(0) | Err(_))) {
            break;
        }
        assert!(
            started.elapsed() < 3 * IDLE_TIMEOUT,
            "still open after three timeouts"
        );
    }
    assert!(
        started.elapsed() >= IDLE_TIMEOUT,
        "closed before the timeout"
    );
}

/// Guards against endless request heads that fill the memory of a small machine.
#[tokio::test]
async fn connection_is_closed_if_the_request_head_exceeds_the_buffer() {
    let (addr, _) = start_server().await;
    let mut client = TcpStream::connect(addr).await.unwrap();
    let mut head = b"GET / HTTP/1.1\r\nx: ".to_vec();
    head.resize(3 * constants::CONNECTION_BUFFER_BYTES, b'y');
    // The server may close the connection before the whole head is written.
    let _ = client.write_all(&head).await;
    let mut response = Vec::new();
    // The server must close the connection at once, not only after the idle timeout.
    let closed = tokio::time::timeout(IDLE_TIMEOUT / 2, client.read_to_end(&mut response)).await;
    assert!(closed.is_ok(), "still open after half the idle timeout");
    let response = String::from_utf8_lossy(&response);
    assert!(!response.starts_with("HTTP/1.1 200"), "{response}");
    // The server still serves other connections.
    let mut other_client = TcpStream::connect(addr).await.unwrap();
    other_client
        .write_all(b"GET / HTTP/1.1\r\nhost: n\r\n\r\n")
        .await
        .unwrap();
    let mut response = [0; 256];
    let read = other_client.read(&mut response).await.unwrap();
    assert!(response[..read].starts_with(b"HTTP/1.1 200"));
}

use super::*;
use axum::routing::get;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::Instant;

const PAUSE: Duration = Duration::from_secs(16);

async fn served() -> (SocketAddr, Connections) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let router = Router::new().route("/", get(|| std::future::ready("here")));
    let connections = Connections::new(4, PAUSE);
    tokio::spawn(serve(listener, router, connections.clone()));
    (addr, connections)
}

/// A sender of one byte now and then is never silent, and once kept its connection for ever.
#[tokio::test(start_paused = true)]
async fn a_head_that_comes_too_slowly_closes_its_connection() {
    let (addr, _) = served().await;
    let mut caller = TcpStream::connect(addr).await.unwrap();
    let begun = Instant::now();
    let mut head = b"GET / HTTP/1.1\r\nx: "
        .iter()
        .chain(std::iter::repeat(&b'y'));
    loop {
        let byte = [*head.next().unwrap()];
        if caller.write_all(&byte).await.is_err() {
            break;
        }
        let mut answer = [0; 256];
        let read = tokio::time::timeout(PAUSE / 4, caller.read(&mut answer)).await;
        if matches!(read, Ok(Ok(0) | Err(_))) {
            break;
        }
        assert!(begun.elapsed() < 3 * PAUSE, "still open");
    }
    assert!(
        begun.elapsed() >= PAUSE,
        "not sooner than a caller may pause"
    );
}

/// Endless heads were kept up to 400 KB each: enough of them to end a small machine's process.
#[tokio::test]
async fn a_head_over_the_buffer_closes_its_connection() {
    let (addr, _) = served().await;
    let mut caller = TcpStream::connect(addr).await.unwrap();
    let mut head = b"GET / HTTP/1.1\r\nx: ".to_vec();
    head.resize(3 * constants::CONNECTION_BUFFER_BYTES, b'y');
    // The connection may be closed before all is written.
    let _ = caller.write_all(&head).await;
    let mut answer = Vec::new();
    // At once, not when the head has been on its way for too long.
    let closed = tokio::time::timeout(PAUSE / 2, caller.read_to_end(&mut answer)).await;
    assert!(closed.is_ok(), "still open");
    let answer = String::from_utf8_lossy(&answer);
    assert!(!answer.starts_with("HTTP/1.1 200"), "{answer}");
    // Others are served as before.
    let mut other = TcpStream::connect(addr).await.unwrap();
    other
        .write_all(b"GET / HTTP/1.1\r\nhost: n\r\n\r\n")
        .await
        .unwrap();
    let mut answer = [0; 256];
    let read = other.read(&mut answer).await.unwrap();
    assert!(answer[..read].starts_with(b"HTTP/1.1 200"));
}

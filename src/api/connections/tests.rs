use super::*;
use axum::serve::Listener;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Guards against connections of returned machines that stay open until no socket is left.
#[tokio::test(start_paused = true)]
async fn idle_connection_is_closed_and_releases_its_permit() {
    let inner = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = inner.local_addr().unwrap();
    let idle_timeout = Duration::from_secs(20);
    let limiter = ConnectionLimiter::new(1, idle_timeout);
    let mut listener = LimitedListener::new(inner, limiter.clone());
    let mut client = TcpStream::connect(addr).await.unwrap();
    let (mut connection, _) = listener.accept().await;
    assert!(limiter.permits.available_permits() == 0);
    let started = Instant::now();
    for _ in 0..3 {
        client.write_all(b"x").await.unwrap();
        connection.read_u8().await.unwrap();
        tokio::time::advance(idle_timeout * 3 / 4).await;
    }
    let read = tokio::time::timeout(3 * idle_timeout, connection.read_u8());
    let error = read
        .await
        .expect("not closed within three idle timeouts")
        .unwrap_err();
    assert_eq!(error.kind(), io::ErrorKind::TimedOut);
    assert!(
        started.elapsed() >= idle_timeout * 5 / 2,
        "closed while the client still sent data"
    );
    drop(connection);
    assert_eq!(limiter.permits.available_permits(), 1);
}

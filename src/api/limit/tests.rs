use super::*;
use axum::serve::Listener;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Connections of returned machines once stayed open until no socket was left.
#[tokio::test(start_paused = true)]
async fn a_connection_without_a_word_ends_and_frees_its_slot() {
    let inner = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = inner.local_addr().unwrap();
    let pause = Duration::from_secs(20);
    let connections = Connections::new(1, pause);
    let mut listener = LimitedListener::new(inner, connections.clone());
    let mut caller = TcpStream::connect(addr).await.unwrap();
    let (mut served, _) = listener.accept().await;
    assert!(connections.snapshots.available_permits() == 0);
    let begun = Instant::now();
    for _ in 0..3 {
        caller.write_all(b"x").await.unwrap();
        served.read_u8().await.unwrap();
        tokio::time::advance(pause * 3 / 4).await;
    }
    let ends = tokio::time::timeout(3 * pause, served.read_u8());
    let error = ends.await.expect("ends in time").unwrap_err();
    assert_eq!(error.kind(), io::ErrorKind::TimedOut);
    assert!(begun.elapsed() >= pause * 5 / 2, "not while it was used");
    drop(served);
    assert_eq!(connections.snapshots.available_permits(), 1);
}

use super::*;
use tokio::net::TcpListener;

async fn pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let (a, b) = tokio::join!(TcpStream::connect(addr), listener.accept());
    (a.unwrap(), b.unwrap().0)
}

#[tokio::test]
async fn frames_are_versioned_and_bounded() {
    let (mut a, mut b) = pair().await;
    let said = Message::Announce(Announcement {
        node: "n1".into(),
        term: 7,
        store_ok: true,
    });
    write_frame(&mut a, &said).await.unwrap();
    assert_eq!(read_frame(&mut b).await.unwrap(), said);
    a.write_all(&[0, 0, 0, 2, k::PEER_VERSION + 1, 0])
        .await
        .unwrap();
    assert!(matches!(
        read_frame(&mut b).await,
        Err(PeerError::Version(_))
    ));
    a.write_all(&[0, 0, 0, 2, k::PEER_VERSION, 99])
        .await
        .unwrap();
    assert!(matches!(
        read_frame(&mut b).await,
        Err(PeerError::Decode(_))
    ));
    a.write_all(&u32::MAX.to_be_bytes()).await.unwrap();
    assert!(matches!(
        read_frame(&mut b).await,
        Err(PeerError::Length(_))
    ));
}

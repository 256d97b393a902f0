use super::*;
use crate::constants;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

async fn connected_pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (near, far) = tokio::join!(TcpStream::connect(address), listener.accept());
    (near.unwrap(), far.unwrap().0)
}

#[tokio::test]
async fn frames_are_versioned_and_bounded() {
    let (mut near, mut far) = connected_pair().await;
    let announcement = Message::Announce(Announcement {
        node: "n1".into(),
        term: 7,
        store_reachable: true,
    });
    write_frame(&mut near, &announcement).await.unwrap();
    assert_eq!(read_frame(&mut far).await.unwrap(), announcement);
    near.write_all(&[0, 0, 0, 2, constants::PEER_VERSION + 1, 0])
        .await
        .unwrap();
    assert!(matches!(
        read_frame(&mut far).await,
        Err(PeerError::VersionMismatch(_))
    ));
    near.write_all(&[0, 0, 0, 2, constants::PEER_VERSION, 99])
        .await
        .unwrap();
    assert!(matches!(
        read_frame(&mut far).await,
        Err(PeerError::Decode(_))
    ));
    near.write_all(&u32::MAX.to_be_bytes()).await.unwrap();
    assert!(matches!(
        read_frame(&mut far).await,
        Err(PeerError::InvalidLength(_))
    ));
}

/// Frames as the production version wrote them, to the byte.
#[test]
fn frames_of_the_production_version_are_read_and_written() {
    assert_eq!(constants::PEER_VERSION, 1, "the production version's");
    let announcement = Message::Announce(Announcement {
        node: "n1".into(),
        term: 7,
        store_reachable: true,
    });
    let job = || "run-7".to_owned();
    let (done, running) = (3, 300);
    macro_rules! production {
        ($name:literal) => {
            include_bytes!(concat!(
                "../../tests/fixtures/production/",
                $name,
                ".postcard"
            ))
            .as_slice()
        };
    }
    for (bytes, message) in [
        (production!("announce"), announcement),
        (production!("count"), Message::Count { job: job() }),
        (production!("counts"), Message::Counts { done, running }),
        (production!("nothing"), Message::Nothing),
        (production!("cancelled"), Message::Cancelled { job: job() }),
    ] {
        assert_eq!(postcard::from_bytes::<Message>(bytes).unwrap(), message);
        assert_eq!(postcard::to_stdvec(&message).unwrap(), bytes);
    }
}

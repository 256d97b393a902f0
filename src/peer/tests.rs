use super::*;
use crate::constants;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

/// Returns both ends of a new loopback connection.
async fn connected_pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (client, accepted) = tokio::join!(TcpStream::connect(address), listener.accept());
    (client.unwrap(), accepted.unwrap().0)
}

#[tokio::test]
async fn frames_round_trip_and_malformed_ones_are_rejected() {
    let (mut sender, mut receiver) = connected_pair().await;
    let announcement = Message::Announce(Announcement {
        node: "n1".into(),
        term: 7,
        store_reachable: true,
    });
    write_frame(&mut sender, &announcement).await.unwrap();
    assert_eq!(read_frame(&mut receiver).await.unwrap(), announcement);
    sender
        .write_all(&[0, 0, 0, 2, constants::PEER_VERSION + 1, 0])
        .await
        .unwrap();
    assert!(matches!(
        read_frame(&mut receiver).await,
        Err(PeerError::VersionMismatch(_))
    ));
    sender
        .write_all(&[0, 0, 0, 2, constants::PEER_VERSION, 99])
        .await
        .unwrap();
    assert!(matches!(
        read_frame(&mut receiver).await,
        Err(PeerError::Decode(_))
    ));
    sender.write_all(&u32::MAX.to_be_bytes()).await.unwrap();
    assert!(matches!(
        read_frame(&mut receiver).await,
        Err(PeerError::InvalidLength(_))
    ));
}

/// Guards against changes of the encoding: the messages must decode from, and encode to, exactly
/// the bytes that the production version wrote.
#[test]
fn messages_match_the_bytes_of_the_production_version() {
    assert_eq!(
        constants::PEER_VERSION,
        1,
        "the fixtures are of the production version"
    );
    let announcement = Message::Announce(Announcement {
        node: "n1".into(),
        term: 7,
        store_reachable: true,
    });
    let job = || "run-7".to_owned();
    let (done, running) = (3, 300);
    macro_rules! production_frame {
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
        (production_frame!("announce"), announcement),
        (production_frame!("count"), Message::Count { job: job() }),
        (
            production_frame!("counts"),
            Message::Counts { done, running },
        ),
        (production_frame!("nothing"), Message::Nothing),
        (
            production_frame!("cancelled"),
            Message::Cancelled { job: job() },
        ),
    ] {
        assert_eq!(postcard::from_bytes::<Message>(bytes).unwrap(), message);
        assert_eq!(postcard::to_stdvec(&message).unwrap(), bytes);
    }
}

//! Frames between controller nodes, with their length prefix and version.

use super::fixture_table::FixtureTable;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use umbervale::peer::{Announcement, Message, read_frame, write_frame};

async fn connected_pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let (near, far) = tokio::join!(TcpStream::connect(addr), listener.accept());
    (near.unwrap(), far.unwrap().0)
}

/// The bytes that [`write_frame`] sends.
async fn written(message: &Message) -> Vec<u8> {
    let (mut near, mut far) = connected_pair().await;
    write_frame(&mut near, message).await.unwrap();
    drop(near);
    let mut bytes = Vec::new();
    far.read_to_end(&mut bytes).await.unwrap();
    bytes
}

/// The message that [`read_frame`] makes of these bytes.
async fn read(bytes: &[u8]) -> Message {
    let (mut near, mut far) = connected_pair().await;
    near.write_all(bytes).await.unwrap();
    read_frame(&mut far).await.unwrap()
}

fn announcement(node: &str, term: u64, store_reachable: bool) -> Message {
    Message::Announce(Announcement {
        node: node.into(),
        term,
        store_reachable,
    })
}

#[tokio::test]
async fn peer_frames_match_the_fixtures() {
    let job = || "run-000412".to_owned();
    let counts = |done, running| Message::Counts { done, running };
    let mut table = FixtureTable::open("frames/frames.txt");
    for (name, message) in [
        ("announce_leading", announcement("drone-1", 7, true)),
        ("announce_following", announcement("drone-2", 0, true)),
        ("announce_without_store", announcement("n3", 0, false)),
        ("announce_largest", announcement("", u64::MAX, true)),
        ("count", Message::Count { job: job() }),
        ("counts", counts(3, 300)),
        ("counts_zero", counts(0, 0)),
        ("counts_largest", counts(u64::MAX, 100_000)),
        ("nothing", Message::Nothing),
        ("cancelled", Message::Cancelled { job: job() }),
    ] {
        let expected = table.take_bytes(name);
        assert_eq!(written(&message).await, expected, "{name}");
        assert_eq!(read(&expected).await, message, "{name}");
    }
    table.finish();
}

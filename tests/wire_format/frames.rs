//! Tests of the frames between controller nodes, with their length prefix and version.

use super::fixture_table::FixtureTable;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use umbervale::peer::{Announcement, Message, read_frame, write_frame};

/// Returns the two ends of a TCP connection over loopback.
async fn connected_pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let (sender, receiver) = tokio::join!(TcpStream::connect(addr), listener.accept());
    (sender.unwrap(), receiver.unwrap().0)
}

/// Returns the bytes that [`write_frame`] sends for a message.
async fn encode_frame(message: &Message) -> Vec<u8> {
    let (mut sender, mut receiver) = connected_pair().await;
    write_frame(&mut sender, message).await.unwrap();
    drop(sender);
    let mut bytes = Vec::new();
    receiver.read_to_end(&mut bytes).await.unwrap();
    bytes
}

/// Returns the message that [`read_frame`] decodes from the bytes of a frame.
async fn decode_frame(bytes: &[u8]) -> Message {
    let (mut sender, mut receiver) = connected_pair().await;
    sender.write_all(bytes).await.unwrap();
    read_frame(&mut receiver).await.unwrap()
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
        assert_eq!(encode_frame(&message).await, expected, "{name}");
        assert_eq!(decode_frame(&expected).await, message, "{name}");
    }
    table.finish();
}

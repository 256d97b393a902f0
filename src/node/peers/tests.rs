use super::*;
use crate::engine_queue::QueuedCommand;
use std::time::Duration;
use tokio::sync::mpsc;

/// A peer's listener with what its engine would see.
struct Served {
    address: SocketAddr,
    inputs: mpsc::Receiver<QueuedCommand>,
    _status: watch::Sender<EngineStatus>,
}

/// Serves peers as node `n0`, which leads with term 7.
async fn serve() -> Served {
    let (commands, inputs) = CommandSender::new(0);
    let (status_sender, status) = watch::channel(EngineStatus {
        term: 7,
        store_reachable: true,
        ..EngineStatus::default()
    });
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(PeerEndpoint::new("n0".into(), status, commands).serve(listener));
    Served {
        address,
        inputs,
        _status: status_sender,
    }
}

fn announcement(node: &str, term: u64) -> Announcement {
    Announcement {
        node: node.into(),
        term,
        store_reachable: true,
    }
}

async fn exchange(stream: &mut TcpStream, message: &Message) -> Message {
    write_frame(stream, message).await.unwrap();
    read_frame(stream).await.unwrap()
}

#[tokio::test]
async fn announcements_are_answered_and_passed_on() {
    let mut served = serve().await;
    let mut stream = TcpStream::connect(served.address).await.unwrap();
    let sent = announcement("n1", 3);
    let answer = exchange(&mut stream, &Message::Announce(sent.clone())).await;
    assert_eq!(answer, Message::Announce(announcement("n0", 7)));
    let queued = served.inputs.recv().await.unwrap();
    assert!(matches!(queued.command, Command::PeerAnnounced(passed_on) if passed_on == sent));
    assert!(queued.reply.is_none());
}

#[tokio::test]
async fn cancellations_are_passed_on() {
    let mut served = serve().await;
    let mut stream = TcpStream::connect(served.address).await.unwrap();
    let cancelled = Message::Cancelled {
        job: "run-1".into(),
    };
    assert_eq!(exchange(&mut stream, &cancelled).await, Message::Nothing);
    let queued = served.inputs.recv().await.unwrap();
    assert!(matches!(queued.command, Command::JobCancelled(job) if job == "run-1".into()));
}

#[tokio::test]
async fn connections_beyond_the_limit_wait_until_one_is_closed() {
    let served = serve().await;
    let hello = Message::Announce(announcement("n1", 0));
    let mut streams = Vec::new();
    for _ in 0..constants::MAX_PEER_CONNECTIONS {
        let mut stream = TcpStream::connect(served.address).await.unwrap();
        exchange(&mut stream, &hello).await;
        streams.push(stream);
    }
    let mut late = TcpStream::connect(served.address).await.unwrap();
    write_frame(&mut late, &hello).await.unwrap();
    let short = Duration::from_millis(100);
    let early_answer = tokio::time::timeout(short, late.readable()).await;
    assert!(early_answer.is_err(), "the connection is not accepted yet");
    streams.pop();
    assert_eq!(
        read_frame(&mut late).await.unwrap(),
        Message::Announce(announcement("n0", 7))
    );
}

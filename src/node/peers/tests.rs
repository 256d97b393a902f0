use super::*;
use crate::engine_queue::QueuedCommand;
use std::time::Duration;
use tokio::sync::mpsc;

/// A running peer listener, with the command queue that an engine would receive from.
struct TestEndpoint {
    address: SocketAddr,
    queue: mpsc::Receiver<QueuedCommand>,
    _status: watch::Sender<EngineStatus>,
}

/// Starts the listener of node `n0`, which leads in term 7.
async fn serve_peers() -> TestEndpoint {
    let (commands, queue) = CommandSender::new(0);
    let (status_sender, status) = watch::channel(EngineStatus {
        term: 7,
        store_reachable: true,
        ..EngineStatus::default()
    });
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(PeerEndpoint::new("n0".into(), status, commands).serve(listener));
    TestEndpoint {
        address,
        queue,
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
async fn announcement_is_answered_and_forwarded() {
    let mut endpoint = serve_peers().await;
    let mut stream = TcpStream::connect(endpoint.address).await.unwrap();
    let sent = announcement("n1", 3);
    let response = exchange(&mut stream, &Message::Announce(sent.clone())).await;
    assert_eq!(response, Message::Announce(announcement("n0", 7)));
    let queued = endpoint.queue.recv().await.unwrap();
    assert!(matches!(queued.command, Command::PeerAnnounced(forwarded) if forwarded == sent));
    assert!(queued.reply.is_none());
}

#[tokio::test]
async fn cancellation_is_forwarded() {
    let mut endpoint = serve_peers().await;
    let mut stream = TcpStream::connect(endpoint.address).await.unwrap();
    let cancelled = Message::Cancelled {
        job: "run-1".into(),
    };
    assert_eq!(exchange(&mut stream, &cancelled).await, Message::Nothing);
    let queued = endpoint.queue.recv().await.unwrap();
    assert!(matches!(queued.command, Command::JobCancelled(job) if job == "run-1".into()));
}

#[tokio::test]
async fn connection_beyond_the_limit_is_accepted_when_another_one_closes() {
    let endpoint = serve_peers().await;
    let hello = Message::Announce(announcement("n1", 0));
    let mut streams = Vec::new();
    for _ in 0..constants::MAX_PEER_CONNECTIONS {
        let mut stream = TcpStream::connect(endpoint.address).await.unwrap();
        exchange(&mut stream, &hello).await;
        streams.push(stream);
    }
    let mut late = TcpStream::connect(endpoint.address).await.unwrap();
    write_frame(&mut late, &hello).await.unwrap();
    let short = Duration::from_millis(100);
    let early_response = tokio::time::timeout(short, late.readable()).await;
    assert!(
        early_response.is_err(),
        "a connection beyond the limit was accepted"
    );
    streams.pop();
    assert_eq!(
        read_frame(&mut late).await.unwrap(),
        Message::Announce(announcement("n0", 7))
    );
}

//! Tests of the messages that a node sends to its peers.

use crate::client::{start_node_with_settings, submission};
use hyper::Method;
use std::time::Duration;
use tokio::net::TcpListener;
use umbervale::peer::{Message, read_frame, write_frame};

/// Guards against a leader that misses a cancellation while the state service refuses its requests: the
/// node that confirms the cancellation announces it to its peers.
#[tokio::test]
async fn cancellation_is_announced_to_peers() {
    let peer = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = peer.local_addr().unwrap();
    let peers = format!("[[peers]]\nnode_name = \"n1\"\nsite = \"west\"\naddr = \"{addr}\"");
    let with_peers = |text: String| text.replace("[services]", &format!("{peers}\n[services]"));
    let (client, _service) = start_node_with_settings(with_peers).await;
    let body = submission(|_| {});
    assert_eq!(client.submit(body).await, 201);
    let path = "/submissions/run-000412/cancel";
    assert_eq!(client.status_for(Method::POST, path, None).await, 200);
    let cancelled_job = async {
        let (mut stream, _) = peer.accept().await.unwrap();
        loop {
            let message = read_frame(&mut stream).await.unwrap();
            write_frame(&mut stream, &Message::Nothing).await.unwrap();
            if let Message::Cancelled { job } = message {
                return job;
            }
        }
    };
    let cancelled_job = tokio::time::timeout(Duration::from_secs(20), cancelled_job).await;
    assert_eq!(cancelled_job.unwrap(), "run-000412");
}

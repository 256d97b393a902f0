//! Messages to other nodes.

use crate::client::{node_with_settings, submission};
use hyper::Method;
use std::time::Duration;
use tokio::net::TcpListener;
use umbervale::peer::{Message, read_frame, write_frame};

/// A leader that the state service refuses learns of a cancellation from the node that confirms it.
#[tokio::test]
async fn cancellation_is_announced_to_peers() {
    let peer = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = peer.local_addr().unwrap();
    let peers = format!("[[peers]]\nnode_name = \"n1\"\nsite = \"west\"\naddr = \"{addr}\"");
    let with_peers = |text: String| text.replace("[services]", &format!("{peers}\n[services]"));
    let (client, _service) = node_with_settings(with_peers).await;
    let body = submission(|_| {});
    assert_eq!(client.submit(body).await, 201);
    let path = "/submissions/run-000412/cancel";
    assert_eq!(client.status(Method::POST, path, None).await, 200);
    let heard = async {
        let (mut stream, _) = peer.accept().await.unwrap();
        loop {
            let said = read_frame(&mut stream).await.unwrap();
            write_frame(&mut stream, &Message::Nothing).await.unwrap();
            if let Message::Cancelled { job } = said {
                return job;
            }
        }
    };
    let heard = tokio::time::timeout(Duration::from_secs(20), heard).await;
    assert_eq!(heard.unwrap(), "run-000412");
}

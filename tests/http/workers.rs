//! Tests of the heartbeats of workers.

use crate::client::{heartbeat_of, start_node};
use hyper::Method;
use std::time::Duration;
use umbervale::model::FencingToken;
use umbervale::wire::worker::{HeartbeatResponse, LeaderRedirect};
use umbervale::wire::{decode, encode};

#[tokio::test]
async fn workers_get_the_fencing_token_or_a_redirect() {
    let (client, _service) = start_node().await;
    assert_eq!(
        client
            .status_for(Method::POST, "/v1/report", Some(b"\x81".to_vec()))
            .await,
        400
    );
    let mut heartbeat = heartbeat_of("host-000001");
    let first_response = async {
        loop {
            heartbeat.sequence += 1;
            let response = client
                .send(Method::POST, "/v1/report", Some(encode(&heartbeat)))
                .await;
            if response.status == 200 {
                return decode::<HeartbeatResponse>(&response.body).unwrap();
            }
            assert!([421, 503].contains(&response.status), "{}", response.status);
        }
    };
    let response = tokio::time::timeout(Duration::from_secs(20), first_response)
        .await
        .expect("the node should become leader within the timeout");
    assert!(response.fencing_token >= 1 && response.commands.is_empty());
    // A worker that has seen a fencing token of a later term is redirected.
    let current_token = FencingToken(response.fencing_token);
    assert_eq!(
        current_token,
        FencingToken::first_of_term(current_token.term())
    );
    heartbeat.fencing_token = FencingToken::first_of_term(current_token.term() + 1).0;
    heartbeat.sequence += 1;
    let response = client
        .send(Method::POST, "/v1/report", Some(encode(&heartbeat)))
        .await;
    assert_eq!(response.status, 421);
    assert_eq!(
        decode::<LeaderRedirect>(&response.body).unwrap().leader,
        None
    );
}

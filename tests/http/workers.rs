//! Heartbeats of workers.

use crate::client::{heartbeat_of, node};
use hyper::Method;
use std::time::Duration;
use umbervale::model::FencingToken;
use umbervale::wire::worker::{HeartbeatResponse, LeaderRedirect};
use umbervale::wire::{decode, encode};

#[tokio::test]
async fn workers_get_the_fencing_token_or_a_redirect() {
    let (client, _service) = node().await;
    assert_eq!(
        client
            .status(Method::POST, "/v1/report", Some(b"\x81".to_vec()))
            .await,
        400
    );
    let mut heartbeat = heartbeat_of("host-000001");
    let leads = async {
        loop {
            heartbeat.sequence += 1;
            let answer = client
                .send(Method::POST, "/v1/report", Some(encode(&heartbeat)))
                .await;
            if answer.status == 200 {
                return decode::<HeartbeatResponse>(&answer.body).unwrap();
            }
            assert!([421, 503].contains(&answer.status), "{}", answer.status);
        }
    };
    let response = tokio::time::timeout(Duration::from_secs(20), leads)
        .await
        .expect("leads in time");
    assert!(response.fencing_token >= 1 && response.commands.is_empty());
    // A worker that knows a later leader is redirected.
    let seen = FencingToken(response.fencing_token);
    assert_eq!(seen, FencingToken::first_of_term(seen.term()));
    heartbeat.fencing_token = FencingToken::first_of_term(seen.term() + 1).0;
    heartbeat.sequence += 1;
    let answer = client
        .send(Method::POST, "/v1/report", Some(encode(&heartbeat)))
        .await;
    assert_eq!(answer.status, 421);
    assert_eq!(decode::<LeaderRedirect>(&answer.body).unwrap().leader, None);
}

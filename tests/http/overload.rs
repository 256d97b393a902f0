//! Tests of a node with more clients, workers or queries than it serves at a time.

use crate::client::{
    Client, MAX_CONNECTIONS, heartbeat_of, start_node, start_node_with_settings, submission,
    with_field,
};
use hyper::Method;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use umbervale::constants::MAX_USER_CALLS;
use umbervale::http::HttpClient;
use umbervale::wire::encode;

/// Guards against status queries that starve after an outage, when all users query at once and are
/// several times as many as the node serves at a time. Users query every 5 s, and a job whose queries
/// fail for 75 s counts as forgotten, so every query must succeed within 15 attempts, whatever the
/// number of users.
#[tokio::test]
async fn every_status_query_succeeds_within_15_attempts_after_an_outage() {
    let (client, service) = start_node().await;
    let ids: Vec<String> = (0..200).map(|number| format!("run-{number:06}")).collect();
    for id in &ids {
        let body = submission(with_field("uid", id.as_str()));
        let status = client.submit(body);
        assert_eq!(status.await, 201);
    }
    service.unavailable.store(true, Ordering::Relaxed);
    let query_all = async |ids: &[String]| {
        let mut queries = tokio::task::JoinSet::new();
        for id in ids.iter().cloned() {
            let (http, front) = (client.http.clone(), client.front);
            queries.spawn(async move {
                let client = Client { http, front };
                let path = format!("/submissions/{id}");
                (id, client.get(&path).await)
            });
        }
        queries.join_all().await
    };
    for (id, status) in query_all(&ids).await {
        assert_eq!(status, 503, "{id}");
    }
    service.unavailable.store(false, Ordering::Relaxed);
    let mut waiting = ids;
    for _ in 0..15 {
        let responses = query_all(&waiting).await;
        assert!(
            responses
                .iter()
                .all(|(_, status)| [200, 503].contains(status))
        );
        let unanswered = responses.into_iter().filter(|(_, status)| *status != 200);
        waiting = unanswered.map(|(id, _)| id).collect();
    }
    assert_eq!(waiting, Vec::<String>::new());
}

/// Sends a request for `/ready`. Returns the connection, which is left open as a worker's is, and the
/// response in lower case.
async fn get_ready_and_keep_connection(front: SocketAddr) -> (tokio::net::TcpStream, String) {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let mut stream = tokio::net::TcpStream::connect(front).await.unwrap();
    let request = "GET /ready HTTP/1.1\r\nhost: n0\r\n\r\n";
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut response = vec![0; 1024];
    let read = stream.read(&mut response).await.unwrap();
    response.truncate(read);
    (stream, String::from_utf8_lossy(&response).to_lowercase())
}

/// Guards against idle connections that use up all sockets. More clients connect than there are
/// sockets, and each leaves its connection open; new machines, users and probes must still be served.
#[tokio::test]
async fn more_clients_than_sockets_are_all_answered() {
    let (client, _service) = start_node().await;
    let mut open_connections = Vec::new();
    let mut close_responses = 0;
    for number in 0..2 * MAX_CONNECTIONS {
        let exchange = tokio::time::timeout(
            Duration::from_secs(20),
            get_ready_and_keep_connection(client.front),
        );
        let (stream, response) = exchange
            .await
            .unwrap_or_else(|_| panic!("client {number} got no response"));
        assert!(
            response.starts_with("http/1.1 200"),
            "client {number}: {response}"
        );
        close_responses += usize::from(response.contains("connection: close"));
        open_connections.push(stream);
    }
    let kept_open = open_connections.len() - close_responses;
    let max_front_connections = MAX_CONNECTIONS / 2;
    assert!(
        kept_open > max_front_connections / 2 && kept_open < max_front_connections,
        "{kept_open} connections stay open"
    );
    // A submission is accepted as well.
    let status = client.submit(submission(|_| {})).await;
    assert_eq!(status, 201);
}

/// Sends heartbeats of one worker until two are accepted. Returns the elapsed time and the client with
/// its connection, which stays open if the node allows it.
async fn send_heartbeats_until_two_accepted(
    front: SocketAddr,
    machine: String,
) -> (Duration, HttpClient) {
    let http = HttpClient::with_max_idle_connections(1);
    let mut heartbeat = heartbeat_of(&machine);
    let started_at = std::time::Instant::now();
    let mut accepted = 0;
    while accepted < 2 {
        heartbeat.sequence += 1;
        let body = Some(encode(&heartbeat));
        let path = "/v1/report";
        let response = http.call(Method::POST, front, path, body, Duration::from_secs(4));
        match response.await {
            Ok(response) if response.status == 200 => accepted += 1,
            // The node is not the leader yet or has no free connection: the worker retries.
            _ => tokio::task::yield_now().await,
        }
    }
    (started_at.elapsed(), http)
}

/// Lets `workers` workers send heartbeats to the only remaining node, which allows `max_connections`
/// connections. Asserts that each worker keeps its lease and that users' queries are answered in the
/// meantime.
async fn assert_workers_keep_leases(workers: usize, max_connections: usize) {
    let default_limit = format!("max_connections = {MAX_CONNECTIONS}");
    let limit = format!("max_connections = {max_connections}");
    let (client, _service) =
        start_node_with_settings(|text| text.replace(&default_limit, &limit)).await;
    let mut fleet = tokio::task::JoinSet::new();
    for number in 0..workers {
        fleet.spawn(send_heartbeats_until_two_accepted(
            client.front,
            format!("host-{number:06}"),
        ));
    }
    let mut user_queries = 0;
    let mut open_connections = Vec::new();
    let lease_duration = Duration::from_secs(17);
    while let Some(worker) = fleet.join_next().await {
        let (elapsed, connection) = worker.unwrap();
        open_connections.push(connection);
        assert!(
            elapsed < lease_duration,
            "a worker needed {elapsed:?} for two accepted heartbeats"
        );
        if fleet.len() % 50 == 0 {
            user_queries += 1;
            let path = format!("/submissions/run-{user_queries}");
            assert_eq!(client.get_with_retries(&path).await, 404);
        }
    }
    assert!(user_queries >= workers / 50);
}

/// Guards against workers that lose their leases because they find no free socket: there are four times
/// as many workers as connections of the front address.
#[tokio::test]
async fn more_workers_than_sockets_keep_their_leases() {
    assert_workers_keep_leases(600, MAX_CONNECTIONS).await;
}

/// The same test at full size, with one of three nodes left. Run it with
/// `cargo test --release -- --ignored 4000_workers`.
#[tokio::test]
#[ignore = "needs 10,000 open files and some seconds of a core"]
async fn leases_of_4000_workers_at_1000_sockets_are_kept() {
    assert_workers_keep_leases(4_000, 1_000).await;
}

/// Guards against status queries that delay heartbeats while the state service does not respond:
/// queries beyond the bound must be refused at once, and heartbeats accepted in the meantime.
#[tokio::test]
async fn excess_status_queries_are_refused_at_once_and_heartbeats_are_accepted() {
    let (client, service) = start_node().await;
    let client = Arc::new(client);
    let mut heartbeat = heartbeat_of("host-000001");
    let becomes_leader = async {
        loop {
            heartbeat.sequence += 1;
            let body = Some(encode(&heartbeat));
            if client.status_for(Method::POST, "/v1/report", body).await == 200 {
                return;
            }
        }
    };
    let becomes_leader = tokio::time::timeout(Duration::from_secs(20), becomes_leader).await;
    becomes_leader.expect("the node should become leader within the timeout");
    service.stalls_reads.store(true, Ordering::Relaxed);
    let mut queries = tokio::task::JoinSet::new();
    for number in 0..2 * MAX_USER_CALLS {
        let client = client.clone();
        queries.spawn(async move {
            let path = format!("/submissions/run-{number}");
            client.send(Method::GET, &path, None).await
        });
    }
    // Queries beyond the bound are refused although none of the others has a response.
    for _ in 0..MAX_USER_CALLS {
        let refused = queries.join_next().await.unwrap().unwrap();
        assert_eq!(refused.status, 503);
    }
    assert_eq!(queries.len(), MAX_USER_CALLS);
    heartbeat.sequence += 1;
    let body = Some(encode(&heartbeat));
    assert_eq!(
        client.status_for(Method::POST, "/v1/report", body).await,
        200
    );
    assert_eq!(client.get("/ready").await, 200);
    assert_eq!(queries.len(), MAX_USER_CALLS);
    // The other queries are refused before the user's timeout.
    while let Some(response) = queries.join_next().await {
        assert_eq!(response.unwrap().status, 503);
    }
}

//! What the tests over HTTP share: a node on ephemeral loopback ports, with a state service and a cloud
//! written from the protocol.

// Helpers of a test may panic: that is how it fails. Each test program uses a part of them.
#![allow(clippy::unwrap_used, clippy::expect_used, dead_code)]

mod cloud;
mod records;
mod state_service;

pub(crate) use state_service::StateService;

use axum::Router;
use hyper::Method;
use rmpv::Value;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use umbervale::http::HttpClient;
use umbervale::node::Node;
use umbervale::settings::Settings;

/// A timeout that is long enough for a busy machine.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(20);

/// A map with text keys.
pub(crate) fn map(fields: Vec<(&str, Value)>) -> Value {
    let fields = fields.into_iter().map(|(key, value)| (key.into(), value));
    Value::Map(fields.collect())
}

/// The fields of a submission, without those that may be left out.
pub(crate) fn submission_fields(id: &str, team: &str) -> Vec<(&'static str, Value)> {
    vec![
        ("uid", id.into()),
        ("docket", "train".into()),
        ("crew", team.into()),
        ("form", "array".into()),
        ("precedence", "normal".into()),
        ("pieces", 3.into()),
        ("vcpus", 4.0.into()),
        ("gpus", 1.into()),
        ("memory_gb", 8.into()),
        ("plate", "img-1".into()),
        ("image_gb", 1.5.into()),
        ("together", false.into()),
        ("scatter", false.into()),
        ("loaners", false.into()),
        ("expected_s", 30.into()),
        ("bookmark_s", 0.into()),
        ("bookmark_cost_s", 0.into()),
    ]
}

/// Serves the routes on a loopback port of their own.
async fn serve(router: Router) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    // It ends with the runtime of the test.
    tokio::spawn(async move { axum::serve(listener, router).await });
    addr
}

/// A node's settings; `next` holds the limits to come, as a table of its own.
pub(crate) fn settings(cloud: SocketAddr, state: SocketAddr, next: &str) -> String {
    format!(
        r#"
node_name = "n0"
site = "east"
front = "127.0.0.1:0"
back = "127.0.0.1:0"
[services]
cloud = "{cloud}"
state = "{state}"
[cluster]
zones = ["east", "west"]
[[cluster.teams]]
name = "vision"
gpus_max = 8.0
[[cluster.teams]]
name = "speech"
gpus_max = 8.0
[cluster.workers]
report_s = 3.0
lease_s = 17.0
gang_wait_s = 30.0
gang_peer_s = 6.0
cancel_s = 42.0
[cluster.state]
rps = 100000.0
write_rps = 100000.0
value_kb = 8.0
txn_ops = 24
{next}
[cluster.cloud]
rps = 100.0
list_lag_s = 1.0
"#
    )
}

/// A node that is ready.
pub(crate) struct ReadyNode {
    pub(crate) http: HttpClient,
    pub(crate) front: SocketAddr,
    pub(crate) service: Arc<StateService>,
}

/// Starts a node with its state service and cloud, under settings that `change` may alter, and waits
/// until it is ready.
pub(crate) async fn ready_node_where(change: impl Fn(String) -> String) -> ReadyNode {
    let service = Arc::new(StateService::default());
    let state = serve(state_service::router(service.clone())).await;
    let cloud = serve(cloud::router()).await;
    let text = change(settings(cloud, state, ""));
    let node = Node::bind(Settings::parse(&text, "test").unwrap());
    let node = node.await.unwrap();
    let http = HttpClient::default();
    let front = node.front().unwrap();
    // It ends with the runtime of the test, which fails if the node does not answer.
    tokio::spawn(node.serve());
    let ready = async {
        loop {
            let answer = http.call(Method::GET, front, "/ready", None, TIMEOUT);
            if answer.await.unwrap().status == 200 {
                return;
            }
            tokio::task::yield_now().await;
        }
    };
    let ready = tokio::time::timeout(TIMEOUT, ready).await;
    ready.expect("ready in time");
    ReadyNode {
        http,
        front,
        service,
    }
}

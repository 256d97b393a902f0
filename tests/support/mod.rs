//! Test helpers that start a node on ephemeral loopback ports, with a state service and a cloud that
//! are implemented from the protocol.

// A panic fails the test, also in its helpers. Each test program uses only some of the helpers.
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

/// The time for which tests wait, long enough for a machine under high load.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(20);

/// Returns a MessagePack map with text keys.
pub(crate) fn map(fields: Vec<(&str, Value)>) -> Value {
    let fields = fields.into_iter().map(|(key, value)| (key.into(), value));
    Value::Map(fields.collect())
}

/// Returns the required fields of a submission.
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

/// Serves the routes on an ephemeral loopback port and returns its address.
async fn serve(router: Router) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    // The server stops with the runtime of the test.
    tokio::spawn(async move { axum::serve(listener, router).await });
    addr
}

/// Returns the settings of a node. `upcoming_limits` is the text that sets the upcoming limits of the
/// state service, or empty.
pub(crate) fn settings(cloud: SocketAddr, state: SocketAddr, upcoming_limits: &str) -> String {
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
{upcoming_limits}
[cluster.cloud]
rps = 100.0
list_lag_s = 1.0
"#
    )
}

/// A node that answers `/ready` with 200: a client to call it with, its address for users and
/// workers, and its state service.
pub(crate) struct ReadyNode {
    pub(crate) http: HttpClient,
    pub(crate) front: SocketAddr,
    pub(crate) service: Arc<StateService>,
}

/// Starts a node with its state service and cloud and waits until the node is ready. `change_settings`
/// may alter the text of the settings.
pub(crate) async fn start_ready_node_with_settings(
    change_settings: impl Fn(String) -> String,
) -> ReadyNode {
    let service = Arc::new(StateService::default());
    let state = serve(state_service::router(service.clone())).await;
    let cloud = serve(cloud::router()).await;
    let text = change_settings(settings(cloud, state, ""));
    let node = Node::bind(Settings::parse(&text, "test").unwrap());
    let node = node.await.unwrap();
    let http = HttpClient::default();
    let front = node.front().unwrap();
    // The node stops with the runtime of the test. If the node stops earlier, the test fails because
    // its requests get no response.
    tokio::spawn(node.serve());
    let ready = async {
        loop {
            let response = http.call(Method::GET, front, "/ready", None, TIMEOUT);
            if response.await.unwrap().status == 200 {
                return;
            }
            tokio::task::yield_now().await;
        }
    };
    let ready = tokio::time::timeout(TIMEOUT, ready).await;
    ready.expect("the node should become ready within the timeout");
    ReadyNode {
        http,
        front,
        service,
    }
}

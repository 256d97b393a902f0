//! A client, and the bodies that it sends.

use crate::support::{StateService, ready_node_where, submission_fields};
use hyper::Method;
use rmpv::Value;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use umbervale::http::{HttpClient, HttpError, HttpResponse};
use umbervale::wire::worker::Heartbeat;

/// Connections that a node's machine allows; half of them are for its front address.
pub(crate) const SOCKETS: usize = 300;

/// How long a user waits for a response.
const USER_PATIENCE: Duration = Duration::from_secs(5);

/// A client of one node.
pub(crate) struct Client {
    pub(crate) http: HttpClient,
    pub(crate) front: SocketAddr,
}

impl Client {
    /// Sends a request.
    pub(crate) async fn send(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
    ) -> HttpResponse {
        self.http
            .call(method, self.front, path, body, USER_PATIENCE)
            .await
            .unwrap()
    }

    /// The status of a `GET` request of a user who tries again, until [`USER_PATIENCE`] is over, if no
    /// connection is set up. While more callers than sockets connect, the system's queue of connections
    /// may overflow; an attempt that it drops takes longer than the client's connect timeout.
    pub(crate) async fn get_with_retries(&self, path: &str) -> u16 {
        let deadline = Instant::now() + USER_PATIENCE;
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            let response = self.http.call(Method::GET, self.front, path, None, left);
            match response.await {
                Err(HttpError::NotSent(_)) if Instant::now() < deadline => {}
                response => return response.unwrap().status,
            }
        }
    }

    /// Sends a request: the reply's status.
    pub(crate) async fn status(&self, method: Method, path: &str, body: Option<Vec<u8>>) -> u16 {
        self.send(method, path, body).await.status
    }

    /// Submits a job: the reply's status.
    pub(crate) async fn submit(&self, body: Vec<u8>) -> u16 {
        self.status(Method::POST, "/submissions", Some(body)).await
    }

    /// The status of a `GET` request.
    pub(crate) async fn get(&self, path: &str) -> u16 {
        self.status(Method::GET, path, None).await
    }

    /// Cancels the job of that path: the reply's status.
    pub(crate) async fn cancel(&self, job_path: &str) -> u16 {
        let path = format!("{job_path}/cancel");
        self.status(Method::POST, &path, None).await
    }

    /// The state that the reply for that path tells.
    pub(crate) async fn job_state(&self, path: &str) -> String {
        let answer = self.send(Method::GET, path, None).await;
        let value: Value = rmp_serde::from_slice(&answer.body).unwrap();
        let fields = value.as_map().unwrap();
        let state = fields
            .iter()
            .find(|(key, _)| key.as_str() == Some("status"));
        state.unwrap().1.as_str().unwrap().to_owned()
    }
}

/// A node with its state service.
pub(crate) async fn node() -> (Client, Arc<StateService>) {
    node_with_settings(|settings| settings).await
}

/// A node with its state service, under changed settings.
pub(crate) async fn node_with_settings(
    change: impl Fn(String) -> String,
) -> (Client, Arc<StateService>) {
    let limits = format!("[cluster.machine_limits]\nmax_connections = {SOCKETS}\n");
    let node = ready_node_where(|text| change(text + &limits)).await;
    let client = Client {
        http: node.http,
        front: node.front,
    };
    (client, node.service)
}

/// A submission with changed fields.
pub(crate) fn submission(change: impl Fn(&mut Vec<(Value, Value)>)) -> Vec<u8> {
    let mut fields = submission_fields("run-000412", "vision");
    fields.push(("models", Value::Nil));
    fields.push(("a_new_field", "is ignored".into()));
    let fields = fields.into_iter();
    let mut fields = fields.map(|(key, value)| (key.into(), value)).collect();
    change(&mut fields);
    rmp_serde::to_vec(&Value::Map(fields)).unwrap()
}

/// Replaces the value of a field.
pub(crate) fn with_field(
    name: &'static str,
    to: impl Into<Value> + Clone,
) -> impl Fn(&mut Vec<(Value, Value)>) {
    move |fields| {
        for (key, value) in fields.iter_mut() {
            if key.as_str() == Some(name) {
                *value = to.clone().into();
            }
        }
    }
}

/// The first heartbeat of a machine without tasks.
pub(crate) fn heartbeat_of(machine: &str) -> Heartbeat {
    Heartbeat {
        machine: machine.into(),
        address: "127.0.0.1:1".into(),
        machine_type: "g8".into(),
        zone: "east".into(),
        spot: false,
        incarnation: 1,
        sequence: 1,
        fencing_token: 0,
        preemption_notice_s: None,
        tasks: Vec::new(),
    }
}

/// A submission with a list of dependencies.
pub(crate) fn dependent_submission(uid: &'static str, dependencies: Value) -> Vec<u8> {
    submission(move |fields| {
        with_field("uid", uid)(fields);
        fields.push((Value::from("awaits"), dependencies.clone()));
    })
}

/// A list of job ids.
pub(crate) fn job_ids(ids: &[&str]) -> Value {
    Value::Array(ids.iter().map(|id| Value::from(*id)).collect())
}

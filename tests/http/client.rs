//! A client of a node and the request bodies that it sends.

use crate::support::{StateService, start_ready_node_with_settings, submission_fields};
use hyper::Method;
use rmpv::Value;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use umbervale::http::{HttpClient, HttpError, HttpResponse};
use umbervale::wire::worker::Heartbeat;

/// The number of connections that a node's machine allows. Half of them are for its front address.
pub(crate) const MAX_CONNECTIONS: usize = 300;

/// The time that a user waits for a response.
const USER_TIMEOUT: Duration = Duration::from_secs(5);

/// A client of one node.
pub(crate) struct Client {
    pub(crate) http: HttpClient,
    pub(crate) front: SocketAddr,
}

impl Client {
    /// Sends a request and returns the response.
    pub(crate) async fn send(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
    ) -> HttpResponse {
        self.http
            .call(method, self.front, path, body, USER_TIMEOUT)
            .await
            .unwrap()
    }

    /// Sends a `GET` request and returns the status of the response. If no connection can be set up,
    /// retries until [`USER_TIMEOUT`] has elapsed. While more clients connect than the node has sockets,
    /// the system's queue of connections may overflow, and an attempt that the system drops takes longer
    /// than the client's connect timeout.
    pub(crate) async fn get_with_retries(&self, path: &str) -> u16 {
        let deadline = Instant::now() + USER_TIMEOUT;
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let response = self
                .http
                .call(Method::GET, self.front, path, None, remaining);
            match response.await {
                Err(HttpError::NotSent(_)) if Instant::now() < deadline => {}
                response => return response.unwrap().status,
            }
        }
    }

    /// Sends a request and returns the status of the response.
    pub(crate) async fn status_for(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
    ) -> u16 {
        self.send(method, path, body).await.status
    }

    /// Submits a job and returns the status of the response.
    pub(crate) async fn submit(&self, body: Vec<u8>) -> u16 {
        self.status_for(Method::POST, "/submissions", Some(body))
            .await
    }

    /// Sends a `GET` request and returns the status of the response.
    pub(crate) async fn get(&self, path: &str) -> u16 {
        self.status_for(Method::GET, path, None).await
    }

    /// Cancels the job at a path and returns the status of the response.
    pub(crate) async fn cancel(&self, job_path: &str) -> u16 {
        let path = format!("{job_path}/cancel");
        self.status_for(Method::POST, &path, None).await
    }

    /// Queries the job at a path and returns its state.
    pub(crate) async fn job_state(&self, path: &str) -> String {
        let response = self.send(Method::GET, path, None).await;
        let value: Value = rmp_serde::from_slice(&response.body).unwrap();
        let fields = value.as_map().unwrap();
        let state = fields
            .iter()
            .find(|(key, _)| key.as_str() == Some("status"));
        state.unwrap().1.as_str().unwrap().to_owned()
    }
}

/// Starts a node and returns a client of the node and the state service.
pub(crate) async fn start_node() -> (Client, Arc<StateService>) {
    start_node_with_settings(|settings| settings).await
}

/// Starts a node with changed settings and returns a client of the node and the state service.
pub(crate) async fn start_node_with_settings(
    change_settings: impl Fn(String) -> String,
) -> (Client, Arc<StateService>) {
    let limits = format!("[cluster.machine_limits]\nmax_connections = {MAX_CONNECTIONS}\n");
    let node = start_ready_node_with_settings(|text| change_settings(text + &limits)).await;
    let client = Client {
        http: node.http,
        front: node.front,
    };
    (client, node.service)
}

/// Returns an encoded submission whose fields `change_fields` may alter.
pub(crate) fn submission(change_fields: impl Fn(&mut Vec<(Value, Value)>)) -> Vec<u8> {
    let mut fields = submission_fields("run-000412", "vision");
    fields.push(("models", Value::Nil));
    fields.push(("a_new_field", "is ignored".into()));
    let fields = fields.into_iter();
    let mut fields = fields.map(|(key, value)| (key.into(), value)).collect();
    change_fields(&mut fields);
    rmp_serde::to_vec(&Value::Map(fields)).unwrap()
}

/// Returns a function that replaces the value of a field.
pub(crate) fn with_field(
    name: &'static str,
    new_value: impl Into<Value> + Clone,
) -> impl Fn(&mut Vec<(Value, Value)>) {
    move |fields| {
        for (key, value) in fields.iter_mut() {
            if key.as_str() == Some(name) {
                *value = new_value.clone().into();
            }
        }
    }
}

/// Returns the first heartbeat of a machine without tasks.
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

/// Returns an encoded submission with a list of dependencies.
pub(crate) fn dependent_submission(uid: &'static str, dependencies: Value) -> Vec<u8> {
    submission(move |fields| {
        with_field("uid", uid)(fields);
        fields.push((Value::from("awaits"), dependencies.clone()));
    })
}

/// Returns a MessagePack list of job ids.
pub(crate) fn job_ids(ids: &[&str]) -> Value {
    Value::Array(ids.iter().map(|id| Value::from(*id)).collect())
}

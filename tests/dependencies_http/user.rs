//! A user of a node and the request bodies that the user sends.

use crate::support::{
    StateService, TIMEOUT, map, start_ready_node_with_settings, submission_fields,
};
use hyper::Method;
use rmpv::Value;
use std::net::SocketAddr;
use std::sync::Arc;
use umbervale::http::{HttpClient, HttpResponse};
use umbervale::wire::encode;

/// The status and the job state of a response to a user.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct JobResponse {
    /// The HTTP status.
    pub(crate) status: u16,
    /// The job state that the response names; empty if the response names none.
    pub(crate) state: String,
}

impl JobResponse {
    /// Extracts the status and the job state from a response.
    fn from_response(response: &HttpResponse) -> JobResponse {
        JobResponse {
            status: response.status,
            state: job_state_in(response),
        }
    }
}

/// A user of one node.
pub(crate) struct User {
    http: HttpClient,
    /// The node's address for users.
    pub(crate) front: SocketAddr,
}

impl User {
    /// Sends a request and returns the response.
    async fn send(&self, method: Method, path: &str, body: Option<Vec<u8>>) -> HttpResponse {
        let response = self.http.call(method, self.front, path, body, TIMEOUT);
        response.await.unwrap()
    }

    /// Submits a job and returns the response.
    pub(crate) async fn submit(&self, body: Vec<u8>) -> JobResponse {
        let response = self.send(Method::POST, "/submissions", Some(body)).await;
        JobResponse::from_response(&response)
    }

    /// Queries the state of a job.
    pub(crate) async fn query(&self, id: &str) -> JobResponse {
        let path = format!("/submissions/{id}");
        let response = self.send(Method::GET, &path, None).await;
        JobResponse::from_response(&response)
    }

    /// Cancels a job and returns the response.
    pub(crate) async fn cancel(&self, id: &str) -> JobResponse {
        let path = format!("/submissions/{id}/cancel");
        let response = self.send(Method::POST, &path, None).await;
        JobResponse::from_response(&response)
    }
}

/// Returns the job state in a response, or an empty text if the response has none.
fn job_state_in(response: &HttpResponse) -> String {
    let body: Value = rmp_serde::from_slice(&response.body).unwrap();
    let state = body.as_map().and_then(|fields| {
        let state = fields
            .iter()
            .find(|(key, _)| key.as_str() == Some("status"));
        state.and_then(|(_, state)| state.as_str())
    });
    state.unwrap_or_default().to_owned()
}

/// Starts a node, waits until the node is ready, and returns a user of the node and the state service.
pub(crate) async fn start_ready_node() -> (User, Arc<StateService>) {
    let node = start_ready_node_with_settings(|settings| settings).await;
    let user = User {
        http: node.http,
        front: node.front,
    };
    (user, node.service)
}

/// Returns an encoded submission of a job of `team` that depends on the jobs `dependencies`.
pub(crate) fn submission(id: &str, team: &str, dependencies: &[&str]) -> Vec<u8> {
    let dependencies = dependencies.iter().map(|id| Value::from(*id));
    let mut fields = submission_fields(id, team);
    fields.push(("awaits", Value::Array(dependencies.collect())));
    encode(&map(fields))
}

/// Returns a response with the given status and job state, to compare the actual one with.
pub(crate) fn expected_response(status: u16, state: &str) -> JobResponse {
    let state = state.to_owned();
    JobResponse { status, state }
}

/// Returns the final record of a job with three tasks.
pub(crate) fn final_record(state: &str) -> Value {
    map(vec![("state", state.into()), ("tasks", 3.into())])
}

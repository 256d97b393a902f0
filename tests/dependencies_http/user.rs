//! A user of a node, and the bodies that it sends.

use crate::support::{StateService, TIMEOUT, map, ready_node_where, submission_fields};
use hyper::Method;
use rmpv::Value;
use std::net::SocketAddr;
use std::sync::Arc;
use umbervale::http::{HttpClient, HttpResponse};
use umbervale::wire::encode;

/// What a user learns from a reply.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct JobReply {
    /// The HTTP status.
    pub(crate) status: u16,
    /// The state of the job that the reply names; empty if it names none.
    pub(crate) state: String,
}

impl JobReply {
    fn read(answer: &HttpResponse) -> JobReply {
        JobReply {
            status: answer.status,
            state: state_of(answer),
        }
    }
}

/// A user of one node.
pub(crate) struct User {
    http: HttpClient,
    /// The address of the node for users.
    pub(crate) front: SocketAddr,
}

impl User {
    /// Sends a request.
    async fn send(&self, method: Method, path: &str, body: Option<Vec<u8>>) -> HttpResponse {
        let answer = self.http.call(method, self.front, path, body, TIMEOUT);
        answer.await.unwrap()
    }

    /// Submits a job.
    pub(crate) async fn submit(&self, body: Vec<u8>) -> JobReply {
        let answer = self.send(Method::POST, "/submissions", Some(body)).await;
        JobReply::read(&answer)
    }

    /// Asks for the state of a job.
    pub(crate) async fn query(&self, id: &str) -> JobReply {
        let path = format!("/submissions/{id}");
        let answer = self.send(Method::GET, &path, None).await;
        JobReply::read(&answer)
    }

    /// Cancels a job.
    pub(crate) async fn cancel(&self, id: &str) -> JobReply {
        let path = format!("/submissions/{id}/cancel");
        let answer = self.send(Method::POST, &path, None).await;
        JobReply::read(&answer)
    }
}

fn state_of(answer: &HttpResponse) -> String {
    let body: Value = rmp_serde::from_slice(&answer.body).unwrap();
    let state = body.as_map().and_then(|fields| {
        let state = fields
            .iter()
            .find(|(key, _)| key.as_str() == Some("status"));
        state.and_then(|(_, state)| state.as_str())
    });
    state.unwrap_or_default().to_owned()
}

/// A node that is ready, and the state service that it uses.
pub(crate) async fn ready_node() -> (User, Arc<StateService>) {
    let node = ready_node_where(|settings| settings).await;
    let user = User {
        http: node.http,
        front: node.front,
    };
    (user, node.service)
}

/// A submission for the team that depends on other jobs.
pub(crate) fn submission(id: &str, team: &str, dependencies: &[&str]) -> Vec<u8> {
    let dependencies = dependencies.iter().map(|id| Value::from(*id));
    let mut fields = submission_fields(id, team);
    fields.push(("awaits", Value::Array(dependencies.collect())));
    encode(&map(fields))
}

/// A reply that a test expects.
pub(crate) fn reply(status: u16, state: &str) -> JobReply {
    let state = state.to_owned();
    JobReply { status, state }
}

/// The final record of a job of three tasks.
pub(crate) fn final_record(state: &str) -> Value {
    map(vec![("state", state.into()), ("tasks", 3.into())])
}

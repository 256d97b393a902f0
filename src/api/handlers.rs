//! The request handlers, one for each route.

use super::Api;
use super::bodies::BodySender;
use super::responses::{
    HttpResponse, error_response, job_not_found, message_response, service_unavailable,
};
use crate::engine::{Command, Reply};
use crate::wire::decode;
use crate::wire::user;
use crate::wire::worker::{Heartbeat, LeaderRedirect};
use axum::body::Body;
use axum::extract::{Path, State};
use axum::http::StatusCode;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Handles a user's submission of a job.
pub(super) async fn submit(State(api): State<Arc<Api>>, body: Body) -> HttpResponse {
    match api.body_budget.read(body, BodySender::User).await {
        Ok(body) => api.serve_within_limits(api.submit(body.bytes())).await,
        Err(refusal) => refusal,
    }
}

/// Handles a user's request for the status of a job.
pub(super) async fn get_status(
    State(api): State<Arc<Api>>,
    Path(id): Path<String>,
) -> HttpResponse {
    if !user::is_valid_job_id(&id) {
        return job_not_found();
    }
    api.serve_within_limits(api.get_status(&id)).await
}

/// Handles a user's request to cancel a job.
pub(super) async fn cancel(State(api): State<Arc<Api>>, Path(id): Path<String>) -> HttpResponse {
    if !user::is_valid_job_id(&id) {
        return job_not_found();
    }
    api.serve_within_limits(api.cancel(&id)).await
}

/// Answers the load balancer's readiness probe.
pub(super) async fn readiness(State(api): State<Arc<Api>>) -> HttpResponse {
    if !api.engine_status.borrow().ready {
        return service_unavailable("not ready");
    }
    let empty_message = BTreeMap::<String, bool>::new();
    message_response(StatusCode::OK, &empty_message)
}

/// Handles a worker's heartbeat: responds with the engine's commands for the worker, or with the
/// leader to which the worker should send its heartbeats. The response is a 503 if the engine
/// returns neither.
pub(super) async fn heartbeat(State(api): State<Arc<Api>>, body: Body) -> HttpResponse {
    let body = match api.body_budget.read(body, BodySender::Worker).await {
        Ok(body) => body,
        Err(refusal) => return refusal,
    };
    let heartbeat: Heartbeat = match decode(body.bytes()) {
        Ok(heartbeat) => heartbeat,
        Err(error) => return error_response(StatusCode::BAD_REQUEST, &error.to_string()),
    };
    let command = |reply| Command::Heartbeat { heartbeat, reply };
    match api.commands.request(command).await {
        Some(Reply::HeartbeatAccepted(commands)) => message_response(StatusCode::OK, &commands),
        Some(Reply::RedirectToLeader(leader)) => {
            message_response(StatusCode::MISDIRECTED_REQUEST, &LeaderRedirect { leader })
        }
        _ => service_unavailable("no right to act"),
    }
}

//! Handlers of requests, one for each route.

use super::Api;
use super::bodies::BodySender;
use super::responses::{HttpResponse, job_not_found, refuse, respond, unavailable};
use crate::engine::{Command, Reply};
use crate::wire::decode;
use crate::wire::user;
use crate::wire::worker::{Heartbeat, LeaderRedirect};
use axum::body::Body;
use axum::extract::{Path, State};
use axum::http::StatusCode;
use std::collections::BTreeMap;
use std::sync::Arc;

/// A user's submission of a job.
pub(super) async fn submit(State(api): State<Arc<Api>>, body: Body) -> HttpResponse {
    match api.bodies.read(body, BodySender::User).await {
        Ok(body) => api.serve_within_limits(api.submit(body.bytes())).await,
        Err(refusal) => refusal,
    }
}

/// A user's question about a job.
pub(super) async fn poll(State(api): State<Arc<Api>>, Path(id): Path<String>) -> HttpResponse {
    if !user::is_valid_job_id(&id) {
        return job_not_found();
    }
    api.serve_within_limits(api.poll(&id)).await
}

/// A user's cancellation of a job.
pub(super) async fn cancel(State(api): State<Arc<Api>>, Path(id): Path<String>) -> HttpResponse {
    if !user::is_valid_job_id(&id) {
        return job_not_found();
    }
    api.serve_within_limits(api.cancel(&id)).await
}

/// The load balancer's readiness probe.
pub(super) async fn ready(State(api): State<Arc<Api>>) -> HttpResponse {
    if !api.engine_status.borrow().ready {
        return unavailable("not ready");
    }
    let empty_message = BTreeMap::<String, bool>::new();
    respond(StatusCode::OK, &empty_message)
}

/// A worker's heartbeat.
pub(super) async fn heartbeat(State(api): State<Arc<Api>>, body: Body) -> HttpResponse {
    let body = match api.bodies.read(body, BodySender::Worker).await {
        Ok(body) => body,
        Err(refusal) => return refusal,
    };
    let heartbeat: Heartbeat = match decode(body.bytes()) {
        Ok(heartbeat) => heartbeat,
        Err(error) => return refuse(StatusCode::BAD_REQUEST, &error.to_string()),
    };
    let command = |reply| Command::Heartbeat { heartbeat, reply };
    match api.commands.request(command).await {
        Some(Reply::HeartbeatAccepted(commands)) => respond(StatusCode::OK, &commands),
        Some(Reply::RedirectToLeader(leader)) => {
            respond(StatusCode::MISDIRECTED_REQUEST, &LeaderRedirect { leader })
        }
        _ => unavailable("no right to act"),
    }
}

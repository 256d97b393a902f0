//! What users, workers and the load balancer reach on `front`.
//!
//! Users' requests need no leader: any node answers them from a fresh read of the state service,
//! or writes a submission or cancellation there under a condition. Only a final state, which
//! cannot change, is answered from memory.
//!
//! This module has the routes and handlers; [`submissions`] and [`cancellation`] write jobs'
//! records, [`lookup`] reads them, [`bodies`] reads requests' bodies, [`responses`] builds the
//! responses, [`limit`] bounds the connections, and [`server`] serves HTTP on them.

mod bodies;
mod cancellation;
mod limit;
mod lookup;
mod responses;
mod server;
mod submissions;

pub use limit::Connections;
pub use server::serve;

use crate::bounded_map::BoundedMap;
use crate::constants;
use crate::engine::{Command, EngineStatus, Reply};
use crate::engine_queue::Commands;
use crate::peer::Link;
use crate::settings::Settings;
use crate::store::{StoreClient, StoreError};
use crate::wire::decode;
use crate::wire::user::{self, JobState};
use crate::wire::worker::{Heartbeat, LeaderRedirect};
use axum::Router;
use axum::body::Body;
use axum::extract::{DefaultBodyLimit, Path, State};
use axum::http::{HeaderValue, StatusCode};
use axum::middleware::map_response;
use axum::routing::{get, post};
use bodies::{BodyBudget, Sender};
use responses::{Answer, answer, refuse, unavailable};
use std::sync::{Arc, Mutex};
use tokio::sync::{Semaphore, watch};

/// What the handlers of requests share.
pub struct Api {
    pub settings: Arc<Settings>,
    pub store: Arc<StoreClient>,
    pub commands: Commands,
    pub view: watch::Receiver<EngineStatus>,
    pub peers: Arc<Vec<Link>>,
    /// Final states seen here: they never change, so they need no fresh read.
    finals: Mutex<BoundedMap<String, (JobState, u64)>>,
    /// For users' requests at once.
    calls: Semaphore,
    /// For the bodies of requests at once.
    bodies: BodyBudget,
    /// For cancellations that other nodes are being told of.
    notifications: Arc<Semaphore>,
}

impl Api {
    pub fn new(
        settings: Arc<Settings>,
        store: Arc<StoreClient>,
        commands: Commands,
        view: watch::Receiver<EngineStatus>,
        peers: Arc<Vec<Link>>,
    ) -> Arc<Self> {
        let bodies = BodyBudget::new(settings.body_budget());
        Arc::new(Api {
            bodies,
            settings,
            store,
            commands,
            view,
            peers,
            finals: Mutex::new(BoundedMap::new(constants::FINAL_STATE_CACHE_ENTRIES)),
            calls: Semaphore::new(constants::MAX_USER_CALLS),
            notifications: Arc::new(Semaphore::new(constants::MAX_CANCELLATION_NOTICES)),
        })
    }

    /// The routes; `connections` are those that the listener has open.
    pub fn router(self: Arc<Self>, connections: Connections) -> Router {
        let close_if_crowded = move |mut response: Answer| {
            if connections.crowded() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert("connection", close);
            }
            std::future::ready(response)
        };
        Router::new()
            .route("/submissions", post(submit))
            .route("/submissions/{id}", get(poll))
            .route("/submissions/{id}/cancel", post(cancel))
            .route("/ready", get(ready))
            .route("/v1/report", post(heartbeat))
            .layer(DefaultBodyLimit::disable())
            .layer(map_response(close_if_crowded))
            .with_state(self)
    }

    /// Runs a user's request within bounds: one of a limited number at once, for a limited
    /// time. What can't be served is answered 503 at once.
    async fn bounded(
        &self,
        work: impl Future<Output = Result<Answer, StoreError>> + Send,
    ) -> Answer {
        let Ok(_permit) = self.calls.try_acquire() else {
            return unavailable("busy");
        };
        match tokio::time::timeout(constants::USER_TIMEOUT, work).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(e)) => {
                if let StoreError::Malformed(why) = &e {
                    tracing::error!("{why}");
                }
                unavailable("the state service can't be asked")
            }
            Err(_) => unavailable("the state service does not answer"),
        }
    }

    async fn poll(&self, id: &str) -> Result<Answer, StoreError> {
        let known = self.look_up(id).await?;
        Ok(match self.status(id, &known).await? {
            Some(status) => answer(StatusCode::OK, &status),
            None => refuse(StatusCode::NOT_FOUND, "no such job"),
        })
    }
}

async fn submit(State(api): State<Arc<Api>>, body: Body) -> Answer {
    match api.bodies.read(body, Sender::User).await {
        Ok(body) => api.bounded(api.submit(&body.bytes)).await,
        Err(refusal) => refusal,
    }
}

async fn poll(State(api): State<Arc<Api>>, Path(id): Path<String>) -> Answer {
    if !user::is_valid_id(&id) {
        return refuse(StatusCode::NOT_FOUND, "no such job");
    }
    api.bounded(api.poll(&id)).await
}

async fn cancel(State(api): State<Arc<Api>>, Path(id): Path<String>) -> Answer {
    if !user::is_valid_id(&id) {
        return refuse(StatusCode::NOT_FOUND, "no such job");
    }
    api.bounded(api.cancel(&id)).await
}

async fn ready(State(api): State<Arc<Api>>) -> Answer {
    if api.view.borrow().ready {
        answer(
            StatusCode::OK,
            &std::collections::BTreeMap::<String, bool>::new(),
        )
    } else {
        unavailable("not ready")
    }
}

async fn heartbeat(State(api): State<Arc<Api>>, body: Body) -> Answer {
    let body = match api.bodies.read(body, Sender::Worker).await {
        Ok(body) => body,
        Err(refusal) => return refusal,
    };
    let heartbeat: Heartbeat = match decode(&body.bytes) {
        Ok(heartbeat) => heartbeat,
        Err(e) => {
            return refuse(StatusCode::BAD_REQUEST, &e.to_string());
        }
    };
    match api
        .commands
        .ask(|reply| Command::Heartbeat { heartbeat, reply })
        .await
    {
        Some(Reply::HeartbeatAccepted(commands)) => answer(StatusCode::OK, &commands),
        Some(Reply::RedirectToLeader(leader)) => {
            answer(StatusCode::MISDIRECTED_REQUEST, &LeaderRedirect { leader })
        }
        _ => unavailable("no right to act"),
    }
}

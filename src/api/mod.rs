//! The HTTP API that users, workers and the load balancer reach on the node's `front` address.
//!
//! Users' requests do not require a leader: any node answers them from a fresh read of the state
//! service, or writes a submission or cancellation there by compare-and-swap. Only final
//! states, which never change, are answered from a cache.
//!
//! This module defines the routes, and `handlers` has one handler for each. `submissions` and
//! `cancellation` write job records; `submission_checks` validates submissions. `lookup` reads job
//! records, `final_states` caches final states, and `status` builds the job status that users
//! receive. `bodies` reads request bodies, `responses` builds responses, `connections` limits the
//! open connections, and `server` serves HTTP on them.

mod bodies;
mod cancellation;
mod connections;
mod final_states;
mod handlers;
mod lookup;
mod responses;
mod server;
mod status;
mod submission_checks;
mod submissions;

pub use connections::ConnectionLimiter;
pub use server::serve;

use crate::constants;
use crate::engine::EngineStatus;
use crate::engine_queue::CommandSender;
use crate::peer::Link;
use crate::settings::Settings;
use crate::store::{StoreClient, StoreError};
use axum::Router;
use axum::extract::DefaultBodyLimit;
use axum::middleware::map_response;
use axum::routing::{get, post};
use bodies::BodyBudget;
use final_states::FinalStateCache;
use responses::{HttpResponse, service_unavailable, set_connection_close};
use std::sync::Arc;
use tokio::sync::{Semaphore, watch};

/// State shared by the request handlers.
pub struct Api {
    settings: Arc<Settings>,
    store: Arc<StoreClient>,
    commands: CommandSender,
    engine_status: watch::Receiver<EngineStatus>,
    peers: Arc<Vec<Link>>,
    final_states: FinalStateCache,
    /// Limits the number of users' requests in progress.
    user_request_permits: Semaphore,
    /// Limits the memory that request bodies take.
    body_budget: BodyBudget,
    /// Limits the number of cancellations that are being announced to other nodes.
    cancellation_announcement_permits: Arc<Semaphore>,
}

impl Api {
    /// Creates the API of a node. `commands` sends commands to the node's engine, `engine_status`
    /// receives the engine's status, and `peers` are the links to the other nodes.
    pub fn new(
        settings: Arc<Settings>,
        store: Arc<StoreClient>,
        commands: CommandSender,
        engine_status: watch::Receiver<EngineStatus>,
        peers: Arc<Vec<Link>>,
    ) -> Arc<Self> {
        let body_budget = BodyBudget::new(settings.body_budget());
        let announcement_permits = Semaphore::new(constants::MAX_CANCELLATION_ANNOUNCEMENTS);
        Arc::new(Api {
            settings,
            store,
            commands,
            engine_status,
            peers,
            final_states: FinalStateCache::new(),
            user_request_permits: Semaphore::new(constants::MAX_USER_CALLS),
            body_budget,
            cancellation_announcement_permits: Arc::new(announcement_permits),
        })
    }

    /// Returns the routes. When `connection_limiter` has few connections left, each response closes
    /// its connection.
    pub fn router(self: Arc<Self>, connection_limiter: ConnectionLimiter) -> Router {
        let close_near_limit = move |mut response: HttpResponse| {
            if connection_limiter.is_near_limit() {
                set_connection_close(&mut response);
            }
            std::future::ready(response)
        };
        Router::new()
            .route("/submissions", post(handlers::submit))
            .route("/submissions/{id}", get(handlers::get_status))
            .route("/submissions/{id}/cancel", post(handlers::cancel))
            .route("/ready", get(handlers::readiness))
            .route("/v1/report", post(handlers::heartbeat))
            // `BodyBudget` limits the size of bodies instead.
            .layer(DefaultBodyLimit::disable())
            .layer(map_response(close_near_limit))
            .with_state(self)
    }

    /// Processes a user's request within the limits on concurrent requests and on processing time.
    /// The response is a 503 if a limit is exceeded or the state service fails.
    async fn serve_within_limits(
        &self,
        request: impl Future<Output = Result<HttpResponse, StoreError>> + Send,
    ) -> HttpResponse {
        let Ok(_permit) = self.user_request_permits.try_acquire() else {
            return service_unavailable("busy");
        };
        match tokio::time::timeout(constants::USER_TIMEOUT, request).await {
            Ok(Ok(response)) => response,
            Ok(Err(error)) => {
                if matches!(error, StoreError::Malformed(_)) {
                    tracing::error!(%error, "state service can't serve a user's request");
                }
                service_unavailable("the state service can't be asked")
            }
            Err(_) => service_unavailable("the state service does not answer"),
        }
    }
}

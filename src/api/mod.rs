//! What users, workers and the load balancer reach on `front`.
//!
//! Users' requests need no leader: any node answers them from a fresh read of the state service,
//! or writes a submission or cancellation there by compare-and-swap. Only a final state, which
//! cannot change, is answered from memory.
//!
//! This module has the routes, and `handlers` a handler for each. `submissions` and
//! `cancellation` write jobs' records, with the checks of `submission_checks`; `lookup` reads
//! the records, `final_states` caches those that are final, and `status` makes of them what users
//! are told. `bodies` reads requests' bodies, `responses` builds the responses, `connections`
//! bounds the connections, and `server` serves HTTP on them.

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

pub use connections::Connections;
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
use responses::{HttpResponse, close_connection, unavailable};
use std::sync::Arc;
use tokio::sync::{Semaphore, watch};

/// What the handlers of requests share.
pub struct Api {
    settings: Arc<Settings>,
    store: Arc<StoreClient>,
    commands: CommandSender,
    engine_status: watch::Receiver<EngineStatus>,
    peers: Arc<Vec<Link>>,
    final_states: FinalStateCache,
    /// Permits for users' requests in progress.
    user_calls: Semaphore,
    /// Memory for the bodies of requests.
    bodies: BodyBudget,
    /// Permits for cancellations that are being announced to other nodes.
    cancellation_announcements: Arc<Semaphore>,
}

impl Api {
    /// The API of a node: `commands` leads to its engine, whose status is in `engine_status`;
    /// `peers` are the other nodes.
    pub fn new(
        settings: Arc<Settings>,
        store: Arc<StoreClient>,
        commands: CommandSender,
        engine_status: watch::Receiver<EngineStatus>,
        peers: Arc<Vec<Link>>,
    ) -> Arc<Self> {
        let bodies = BodyBudget::new(settings.body_budget());
        let announcements = Semaphore::new(constants::MAX_CANCELLATION_ANNOUNCEMENTS);
        Arc::new(Api {
            settings,
            store,
            commands,
            engine_status,
            peers,
            final_states: FinalStateCache::new(),
            user_calls: Semaphore::new(constants::MAX_USER_CALLS),
            bodies,
            cancellation_announcements: Arc::new(announcements),
        })
    }

    /// The routes; `connections` are those that the listener has open.
    pub fn router(self: Arc<Self>, connections: Connections) -> Router {
        let close_if_crowded = move |mut response: HttpResponse| {
            if connections.is_crowded() {
                close_connection(&mut response);
            }
            std::future::ready(response)
        };
        Router::new()
            .route("/submissions", post(handlers::submit))
            .route("/submissions/{id}", get(handlers::poll))
            .route("/submissions/{id}/cancel", post(handlers::cancel))
            .route("/ready", get(handlers::ready))
            .route("/v1/report", post(handlers::heartbeat))
            // `bodies` has a limit of its own.
            .layer(DefaultBodyLimit::disable())
            .layer(map_response(close_if_crowded))
            .with_state(self)
    }

    /// Carries out a user's request within bounds: one of a limited number at once, for a limited
    /// time. Beyond them, and when the state service fails, the response is a 503.
    async fn serve_within_limits(
        &self,
        request: impl Future<Output = Result<HttpResponse, StoreError>> + Send,
    ) -> HttpResponse {
        let Ok(_permit) = self.user_calls.try_acquire() else {
            return unavailable("busy");
        };
        match tokio::time::timeout(constants::USER_TIMEOUT, request).await {
            Ok(Ok(response)) => response,
            Ok(Err(error)) => {
                if matches!(error, StoreError::Malformed(_)) {
                    tracing::error!(%error, "state service can't serve a user's request");
                }
                unavailable("the state service can't be asked")
            }
            Err(_) => unavailable("the state service does not answer"),
        }
    }
}

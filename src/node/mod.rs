//! A running controller node: binds the listeners, starts the node's tasks and serves until the
//! process ends.
//!
//! `driver` owns the engine and executes its effects; `peers` exchanges announcements with the
//! other nodes; [`crate::api`] serves users and workers.

mod driver;
mod peers;

use crate::api::{self, Api, ConnectionLimiter};
use crate::cloud::CloudClient;
use crate::engine::{Engine, EngineStatus};
use crate::engine_queue::CommandSender;
use crate::http::HttpClient;
use crate::peer::Link;
use crate::settings::Settings;
use crate::store::StoreClient;
use crate::workers::WorkerClient;
use driver::Driver;
use peers::PeerEndpoint;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;

/// A node whose listeners are bound.
pub struct Node {
    settings: Arc<Settings>,
    front: TcpListener,
    back: TcpListener,
}

impl Node {
    /// Binds the listeners to the addresses in the settings.
    ///
    /// # Errors
    ///
    /// Returns an error if one of the addresses can't be bound.
    pub async fn bind(settings: Settings) -> io::Result<Node> {
        Ok(Node {
            front: TcpListener::bind(settings.front).await?,
            back: TcpListener::bind(settings.back).await?,
            settings: Arc::new(settings),
        })
    }

    /// Returns the address at which users and workers reach the node.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system does not provide the listener's address.
    pub fn front(&self) -> io::Result<SocketAddr> {
        self.front.local_addr()
    }

    /// Runs the node until the process ends.
    pub async fn serve(self) -> Infallible {
        let Node {
            settings,
            front,
            back,
        } = self;
        let node = &settings.node;
        tracing::info!(node, zone = settings.zone, "starting");
        let http = HttpClient::default();
        let store = Arc::new(StoreClient::new(http.clone(), &settings));
        let cloud = Arc::new(CloudClient::new(http, &settings));
        let (commands, queue) = CommandSender::new(settings.max_front_connections());
        let (status_sender, status) = watch::channel(EngineStatus::default());
        let peers = Arc::new(peer_links(&settings));
        let seed = rand::random();
        tracing::info!(seed, "engine started");
        let engine = Engine::new(settings.clone(), seed);
        let driver = Driver::new(
            store.clone(),
            cloud,
            WorkerClient::default(),
            commands.clone(),
        );
        let endpoint = PeerEndpoint::new(node.clone(), status.clone(), commands.clone());

        let mut tasks = JoinSet::new();
        tasks.spawn(driver.run(engine, queue, status_sender));
        for index in 0..peers.len() {
            tasks.spawn(endpoint.clone().announce_to(peers.clone(), index));
        }
        tasks.spawn(endpoint.serve(back));

        let connections = ConnectionLimiter::new(
            settings.max_front_connections(),
            settings.timing().max_connection_idle_time(),
        );
        let api = Api::new(settings, store, commands, status, peers);
        let router = api.router(connections.clone());
        let (never, ()) = tokio::join!(api::serve(front, router, connections), watch_tasks(tasks));
        match never {}
    }
}

/// Returns a link to each of the other nodes, in the order of the settings.
fn peer_links(settings: &Settings) -> Vec<Link> {
    let peers = settings.peers.iter();
    peers
        .map(|peer| Link::new(peer.node.clone(), peer.addr))
        .collect()
}

/// Logs tasks that end. The tasks never return, so a task that ends has panicked. In a release
/// build a panic aborts the process before that is logged.
async fn watch_tasks(mut tasks: JoinSet<Infallible>) {
    while let Some(Err(error)) = tasks.join_next().await {
        tracing::error!(%error, "background task ended");
    }
}

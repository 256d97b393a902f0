//! A running controller node: the engine's queue, and the tasks that carry out its effects.

use crate::api::{self, Api, Connections};
use crate::cloud::CloudClient;
use crate::constants;
use crate::engine::{Command, Effect, Engine, EngineStatus, Reply, ReplyId};
use crate::http::HttpClient;
use crate::model::UnixTime;
use crate::peer::{Announcement, Link, Message, PeerError, read_frame, write_frame};
use crate::settings::Settings;
use crate::store::{CallPriority, StoreClient};
use crate::workers::WorkerClient;
use std::collections::HashMap;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc, oneshot, watch};
use tokio::time::Instant;

/// Time of day, ms.
pub fn unix_time_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |t| t.as_millis() as u64)
}

type Input = (Command, Option<(ReplyId, oneshot::Sender<Reply>)>);

/// The way to the engine: a bounded queue.
#[derive(Clone)]
pub struct Commands {
    queue: mpsc::Sender<Input>,
    replies: Arc<AtomicU64>,
}

impl Commands {
    /// With room for a request of each connection.
    fn new(connections: usize) -> (Self, mpsc::Receiver<Input>) {
        let (queue, inputs) = mpsc::channel(connections + constants::ENGINE_QUEUE_COMMANDS);
        (
            Commands {
                queue,
                replies: Arc::new(AtomicU64::new(0)),
            },
            inputs,
        )
    }

    /// Sends a command that is answered; `None` if the queue is full or the engine gone.
    pub async fn ask(&self, command: impl FnOnce(ReplyId) -> Command) -> Option<Reply> {
        let id = self.replies.fetch_add(1, Ordering::Relaxed);
        let (tell, told) = oneshot::channel();
        self.queue.try_send((command(id), Some((id, tell)))).ok()?;
        told.await.ok()
    }

    /// Sends a command that must not be lost: waits for room.
    pub async fn send(&self, command: Command) {
        // The engine ends only with the process.
        let _ = self.queue.send((command, None)).await;
    }
}

/// A node whose listeners are bound.
pub struct Node {
    settings: Arc<Settings>,
    front: TcpListener,
    back: TcpListener,
}

impl Node {
    pub async fn bind(settings: Settings) -> io::Result<Node> {
        Ok(Node {
            front: TcpListener::bind(settings.front).await?,
            back: TcpListener::bind(settings.back).await?,
            settings: Arc::new(settings),
        })
    }

    /// Where users and workers reach it.
    pub fn front(&self) -> io::Result<SocketAddr> {
        self.front.local_addr()
    }

    /// Runs for ever.
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
        let workers = WorkerClient::default();
        let (commands, inputs) = Commands::new(settings.front_connections());
        let (show, view) = watch::channel(EngineStatus::default());
        let link = |p: &crate::settings::Peer| Link::new(p.node.clone(), p.addr);
        let peers: Arc<Vec<Link>> = Arc::new(settings.peers.iter().map(link).collect());
        let seed = rand::random();
        tracing::info!(seed, "engine");
        let engine = Engine::new(settings.clone(), seed);
        let driver = Driver {
            store: store.clone(),
            cloud,
            workers,
            commands: commands.clone(),
        };
        tokio::spawn(driver.run(engine, inputs, show));
        for at in 0..peers.len() {
            let (view, commands) = (view.clone(), commands.clone());
            tokio::spawn(announce(node.clone(), peers.clone(), at, view, commands));
        }
        tokio::spawn(serve_peers(
            node.clone(),
            back,
            view.clone(),
            commands.clone(),
        ));
        let connections = Connections::new(
            settings.front_connections(),
            settings.timing().max_connection_pause(),
        );
        let api = Api::new(settings, store, commands, view, peers);
        let router = api.router(connections.clone());
        match api::serve(front, router, connections).await {}
    }
}

struct Driver {
    store: Arc<StoreClient>,
    cloud: Arc<CloudClient>,
    workers: WorkerClient,
    commands: Commands,
}

impl Driver {
    async fn run(
        self,
        mut engine: Engine,
        mut inputs: mpsc::Receiver<Input>,
        show: watch::Sender<EngineStatus>,
    ) {
        let started = Instant::now();
        let mut waiting: HashMap<ReplyId, oneshot::Sender<Reply>> = HashMap::new();
        let mut batch = Vec::with_capacity(constants::MAX_ENGINE_BATCH);
        loop {
            // Either commands or the heartbeat; `recv_many` loses nothing when dropped.
            let _ = tokio::time::timeout(
                constants::ENGINE_TICK,
                inputs.recv_many(&mut batch, constants::MAX_ENGINE_BATCH),
            )
            .await;
            let mut commands = Vec::with_capacity(batch.len());
            for (command, tell) in batch.drain(..) {
                if let Some((id, tell)) = tell {
                    waiting.insert(id, tell);
                }
                commands.push(command);
            }
            let elapsed = started.elapsed();
            let unix_time = UnixTime::from_millis(unix_time_ms());
            for effect in engine.step(elapsed, unix_time, commands) {
                self.carry_out(effect, &mut waiting);
            }
            show.send_replace(engine.status());
        }
    }

    fn carry_out(&self, effect: Effect, waiting: &mut HashMap<ReplyId, oneshot::Sender<Reply>>) {
        match effect {
            Effect::Reply { to, reply } => {
                if let Some(tell) = waiting.remove(&to) {
                    // The asker may have gone away.
                    let _ = tell.send(reply);
                }
            }
            Effect::CallStore {
                call_id,
                call,
                urgent,
            } => {
                let (store, commands) = (self.store.clone(), self.commands.clone());
                let priority = if urgent {
                    CallPriority::Leadership
                } else {
                    CallPriority::Engine
                };
                tokio::spawn(async move {
                    let result = store.call(&call, priority).await;
                    commands
                        .send(Command::StoreCallCompleted { call_id, result })
                        .await;
                });
            }
            Effect::CallCloud { call_id, call } => {
                let (cloud, commands) = (self.cloud.clone(), self.commands.clone());
                tokio::spawn(async move {
                    let result = cloud.call(&call).await;
                    commands
                        .send(Command::CloudCallCompleted { call_id, result })
                        .await;
                });
            }
            Effect::SendCommands { address, commands } => self.workers.send(address, commands),
        }
    }
}

fn announcement(node: &str, view: &watch::Receiver<EngineStatus>) -> Message {
    let view = view.borrow();
    Message::Announce(Announcement {
        node: node.to_owned(),
        term: view.term,
        store_reachable: view.store_reachable,
    })
}

/// Tells one peer about this node, again and again, and hears about the peer.
async fn announce(
    node: String,
    peers: Arc<Vec<Link>>,
    at: usize,
    view: watch::Receiver<EngineStatus>,
    commands: Commands,
) {
    let mut every = tokio::time::interval(constants::PEER_ANNOUNCE_INTERVAL);
    every.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        every.tick().await;
        match peers[at].exchange(&announcement(&node, &view)).await {
            Ok(Message::Announce(said)) => commands.send(Command::PeerAnnounced(said)).await,
            Ok(_) => {}
            Err(e) => tracing::debug!(peer = peers[at].node, "peer: {e}"),
        }
    }
}

async fn serve_peers(
    node: String,
    back: TcpListener,
    view: watch::Receiver<EngineStatus>,
    commands: Commands,
) {
    let snapshots = Arc::new(Semaphore::new(constants::MAX_PEER_CONNECTIONS));
    loop {
        let Ok(slot) = snapshots.clone().acquire_owned().await else {
            return;
        };
        let Ok((stream, addr)) = back.accept().await else {
            tokio::time::sleep(constants::PEER_ANNOUNCE_INTERVAL).await;
            continue;
        };
        let (node, view, commands) = (node.clone(), view.clone(), commands.clone());
        tokio::spawn(async move {
            if let Err(e) = serve_peer(&node, stream, &view, &commands).await {
                match e {
                    // Peers come and go; a frame that can't be read is somebody's mistake.
                    PeerError::Io(_) | PeerError::Timeout => {
                        tracing::debug!(%addr, "peer connection closed: {e}");
                    }
                    _ => tracing::error!(%addr, "peer connection closed: {e}"),
                }
            }
            drop(slot);
        });
    }
}

async fn serve_peer(
    node: &str,
    mut stream: TcpStream,
    view: &watch::Receiver<EngineStatus>,
    commands: &Commands,
) -> Result<(), PeerError> {
    stream.set_nodelay(true)?;
    loop {
        // A peer that has been silent for several announcements is gone or cut off.
        let message = tokio::time::timeout(
            10 * constants::PEER_ANNOUNCE_INTERVAL,
            read_frame(&mut stream),
        )
        .await
        .unwrap_or(Err(PeerError::Timeout))?;
        let answer = match message {
            Message::Announce(said) => {
                commands.send(Command::PeerAnnounced(said)).await;
                announcement(node, view)
            }
            Message::Count { job } => {
                let count = |reply| Command::CountTasks {
                    job: (&*job).into(),
                    reply,
                };
                match commands.ask(count).await {
                    Some(Reply::TaskCounts { completed, running }) => Message::Counts {
                        done: completed,
                        running,
                    },
                    _ => Message::Nothing,
                }
            }
            Message::Cancelled { job } => {
                commands.send(Command::JobCancelled((&*job).into())).await;
                Message::Nothing
            }
            Message::Counts { .. } | Message::Nothing => Message::Nothing,
        };
        write_frame(&mut stream, &answer).await?;
    }
}

//! Sends announcements to the other nodes, and responds to the messages of peers.

use crate::constants;
use crate::engine::{Command, EngineStatus, Reply};
use crate::engine_queue::CommandSender;
use crate::peer::{Announcement, Link, Message, PeerError, read_frame, write_frame};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::MissedTickBehavior;

/// This node's side of the peer protocol: announces the node's status to the peers and forwards
/// their messages to the engine.
#[derive(Clone)]
pub(super) struct PeerEndpoint {
    node: String,
    status: watch::Receiver<EngineStatus>,
    commands: CommandSender,
}

impl PeerEndpoint {
    pub(super) fn new(
        node: String,
        status: watch::Receiver<EngineStatus>,
        commands: CommandSender,
    ) -> Self {
        PeerEndpoint {
            node,
            status,
            commands,
        }
    }

    /// Announces this node to the peer at `index` at a fixed interval, and forwards the peer's
    /// announcement, which is the response, to the engine.
    pub(super) async fn announce_to(self, peers: Arc<Vec<Link>>, index: usize) -> Infallible {
        let peer = &peers[index];
        let mut interval = tokio::time::interval(constants::PEER_ANNOUNCE_INTERVAL);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            match peer.exchange(&self.announcement()).await {
                Ok(Message::Announce(announcement)) => self.forward(announcement).await,
                Ok(_) => {}
                Err(error) => {
                    tracing::debug!(peer = peer.node, %error, "announcement to peer failed");
                }
            }
        }
    }

    /// Accepts connections of peers and responds to their messages. Serves at most
    /// [`constants::MAX_PEER_CONNECTIONS`] connections at once; further ones wait to be accepted.
    pub(super) async fn serve(self, listener: TcpListener) -> Infallible {
        let mut connections = JoinSet::new();
        loop {
            // Connections log their own failures, so finished ones are only removed here.
            while connections.try_join_next().is_some() {}
            if connections.len() >= constants::MAX_PEER_CONNECTIONS {
                connections.join_next().await;
            }
            let Ok((stream, address)) = listener.accept().await else {
                tokio::time::sleep(constants::PEER_ANNOUNCE_INTERVAL).await;
                continue;
            };
            connections.spawn(self.clone().serve_connection(stream, address));
        }
    }

    async fn serve_connection(self, stream: TcpStream, address: SocketAddr) {
        let Err(error) = self.respond_to_messages(stream).await;
        match error {
            // Peers restart and become unreachable, which is normal. A frame that can't be decoded
            // is an error of its sender.
            PeerError::Io(_) | PeerError::Timeout => {
                tracing::debug!(%address, %error, "peer connection closed");
            }
            PeerError::InvalidLength(_) | PeerError::VersionMismatch(_) | PeerError::Decode(_) => {
                tracing::error!(%address, %error, "peer connection closed");
            }
        }
    }

    /// Responds to a peer's messages until the connection fails.
    ///
    /// # Errors
    ///
    /// Returns the error that ended the connection: an I/O error, a timeout, or a frame that can't
    /// be decoded.
    async fn respond_to_messages(&self, mut stream: TcpStream) -> Result<Infallible, PeerError> {
        stream.set_nodelay(true)?;
        loop {
            let message =
                tokio::time::timeout(constants::PEER_IDLE_TIMEOUT, read_frame(&mut stream))
                    .await
                    .unwrap_or(Err(PeerError::Timeout))?;
            let response = self.respond(message).await;
            write_frame(&mut stream, &response).await?;
        }
    }

    async fn respond(&self, message: Message) -> Message {
        match message {
            Message::Announce(announcement) => {
                self.forward(announcement).await;
                self.announcement()
            }
            Message::Count { job } => self.task_counts(&job).await,
            Message::Cancelled { job } => {
                let cancelled = Command::JobCancelled(job.as_str().into());
                self.commands.send(cancelled).await;
                Message::Nothing
            }
            Message::Counts { .. } | Message::Nothing => Message::Nothing,
        }
    }

    /// Returns the engine's counts of a job's tasks, or [`Message::Nothing`] if the engine has no
    /// counts of this job.
    async fn task_counts(&self, job: &str) -> Message {
        let count_tasks = |reply| Command::CountTasks {
            job: job.into(),
            reply,
        };
        match self.commands.request(count_tasks).await {
            Some(Reply::TaskCounts { completed, running }) => Message::Counts {
                done: completed,
                running,
            },
            _ => Message::Nothing,
        }
    }

    async fn forward(&self, announcement: Announcement) {
        let announced = Command::PeerAnnounced(announcement);
        self.commands.send(announced).await;
    }

    fn announcement(&self) -> Message {
        let status = self.status.borrow();
        Message::Announce(Announcement {
            node: self.node.clone(),
            term: status.term,
            store_reachable: status.store_reachable,
        })
    }
}

#[cfg(test)]
mod tests;

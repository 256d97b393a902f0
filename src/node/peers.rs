//! Announcements to the other nodes, and the listener that answers them.

use crate::constants;
use crate::engine::{Command, EngineStatus, Reply};
use crate::engine_queue::Commands;
use crate::peer::{Announcement, Link, Message, PeerError, read_frame, write_frame};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::MissedTickBehavior;

/// What this node tells its peers, and where it passes on what they say.
#[derive(Clone)]
pub(super) struct PeerEndpoint {
    node: String,
    status: watch::Receiver<EngineStatus>,
    commands: Commands,
}

impl PeerEndpoint {
    pub(super) fn new(
        node: String,
        status: watch::Receiver<EngineStatus>,
        commands: Commands,
    ) -> Self {
        PeerEndpoint {
            node,
            status,
            commands,
        }
    }

    /// Announces this node to the peer at `index` at a fixed interval, and passes on the peer's
    /// own announcement, which is the answer.
    pub(super) async fn announce_to(self, peers: Arc<Vec<Link>>, index: usize) -> Infallible {
        let peer = &peers[index];
        let mut interval = tokio::time::interval(constants::PEER_ANNOUNCE_INTERVAL);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            match peer.exchange(&self.announcement()).await {
                Ok(Message::Announce(announcement)) => self.pass_on(announcement).await,
                Ok(_) => {}
                Err(error) => {
                    tracing::debug!(peer = peer.node, %error, "announcement to peer failed");
                }
            }
        }
    }

    /// Accepts connections of peers and answers them, at most
    /// [`constants::MAX_PEER_CONNECTIONS`] at once; further ones wait to be accepted.
    pub(super) async fn serve(self, listener: TcpListener) -> Infallible {
        let mut connections = JoinSet::new();
        loop {
            // Connections report their own failures, so their ends only make room here.
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
        let Err(error) = self.answer_messages(stream).await;
        match error {
            // Peers restart and are cut off; a frame that can't be read is a fault of its sender.
            PeerError::Io(_) | PeerError::Timeout => {
                tracing::debug!(%address, %error, "peer connection closed");
            }
            PeerError::InvalidLength(_) | PeerError::VersionMismatch(_) | PeerError::Decode(_) => {
                tracing::error!(%address, %error, "peer connection closed");
            }
        }
    }

    /// Answers a peer's messages until its connection fails.
    async fn answer_messages(&self, mut stream: TcpStream) -> Result<Infallible, PeerError> {
        stream.set_nodelay(true)?;
        loop {
            let message =
                tokio::time::timeout(constants::PEER_IDLE_TIMEOUT, read_frame(&mut stream))
                    .await
                    .unwrap_or(Err(PeerError::Timeout))?;
            let answer = self.answer(message).await;
            write_frame(&mut stream, &answer).await?;
        }
    }

    async fn answer(&self, message: Message) -> Message {
        match message {
            Message::Announce(announcement) => {
                self.pass_on(announcement).await;
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

    /// The engine's counts of a job's tasks; [`Message::Nothing`] if it has none.
    async fn task_counts(&self, job: &str) -> Message {
        let count_tasks = |reply| Command::CountTasks {
            job: job.into(),
            reply,
        };
        match self.commands.ask(count_tasks).await {
            Some(Reply::TaskCounts { completed, running }) => Message::Counts {
                done: completed,
                running,
            },
            _ => Message::Nothing,
        }
    }

    async fn pass_on(&self, announcement: Announcement) {
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

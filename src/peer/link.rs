//! The persistent connection of a node to one of its peers.

use super::frame::{PeerError, read_frame, write_frame};
use super::message::Message;
use crate::constants;
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio::sync::Mutex;

/// The only connection to one peer. It is established at its first use, and again at the next use
/// after a failure.
#[derive(Debug)]
pub struct Link {
    /// Name of the peer.
    pub node: String,
    address: SocketAddr,
    /// `None` before the first exchange, during an exchange, and after a failed exchange.
    stream: Mutex<Option<TcpStream>>,
}

impl Link {
    /// Creates a link to the peer with this name and address, without connecting yet.
    pub fn new(node: String, address: SocketAddr) -> Self {
        Link {
            node,
            address,
            stream: Mutex::new(None),
        }
    }

    /// Sends a message and waits for the answer.
    ///
    /// Any failure closes the connection, so that a late answer is never mistaken for the answer to
    /// another message.
    ///
    /// # Errors
    ///
    /// [`PeerError::Timeout`] if no answer arrives within [`constants::PEER_TIMEOUT`], which
    /// includes the wait for earlier exchanges; otherwise the errors of connecting, of
    /// [`write_frame`] and of [`read_frame`].
    pub async fn exchange(&self, message: &Message) -> Result<Message, PeerError> {
        tokio::time::timeout(constants::PEER_TIMEOUT, self.exchange_serially(message))
            .await
            .unwrap_or(Err(PeerError::Timeout))
    }

    /// Performs an exchange without a timeout, after all earlier exchanges have ended.
    async fn exchange_serially(&self, message: &Message) -> Result<Message, PeerError> {
        // Answers carry no id, so the lock is held until the answer has arrived and exchanges run
        // one at a time. The timeout of `exchange` limits how long the lock is held.
        let mut idle_stream = self.stream.lock().await;
        let mut stream = match idle_stream.take() {
            Some(stream) => stream,
            None => self.connect().await?,
        };
        write_frame(&mut stream, message).await?;
        let answer = read_frame(&mut stream).await?;
        *idle_stream = Some(stream);
        Ok(answer)
    }

    /// Connects to the peer.
    async fn connect(&self) -> Result<TcpStream, PeerError> {
        let stream = TcpStream::connect(self.address).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }
}

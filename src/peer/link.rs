//! The connection that a node keeps to each of its peers.

use super::frame::{PeerError, read_frame, write_frame};
use super::message::Message;
use crate::constants;
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio::sync::Mutex;

/// The only connection to one peer, set up when it is first used and again after a failure.
#[derive(Debug)]
pub struct Link {
    /// Name of the peer.
    pub node: String,
    address: SocketAddr,
    /// None before the first exchange, during one and after one that failed.
    stream: Mutex<Option<TcpStream>>,
}

impl Link {
    /// A link to the peer with this name and address; connects only when it is used.
    pub fn new(node: String, address: SocketAddr) -> Self {
        Link {
            node,
            address,
            stream: Mutex::new(None),
        }
    }

    /// Sends a message and waits for its answer. After any failure the connection is closed, so
    /// that a late answer is never taken for the answer to another message.
    ///
    /// # Errors
    ///
    /// If there is no answer within [`constants::PEER_TIMEOUT`], the time spent waiting for
    /// earlier exchanges included.
    pub async fn exchange(&self, message: &Message) -> Result<Message, PeerError> {
        tokio::time::timeout(constants::PEER_TIMEOUT, self.exchange_in_turn(message))
            .await
            .unwrap_or(Err(PeerError::Timeout))
    }

    async fn exchange_in_turn(&self, message: &Message) -> Result<Message, PeerError> {
        // Held until the answer is there: answers carry no id, so exchanges take turns. The
        // timeout of `exchange` bounds how long.
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

    async fn connect(&self) -> Result<TcpStream, PeerError> {
        let stream = TcpStream::connect(self.address).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }
}

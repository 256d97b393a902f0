//! Controller nodes <-> controller nodes: small frames, one answer to each.
//!
//! A frame is its length (four bytes, big-endian), the version, and a postcard message. Nothing
//! here decides anything on its own: what a peer says makes a superseded leader give way
//! sooner, has cancelled tasks stopped sooner, and fills in numbers for display.

use crate::constants;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Mutex;

/// What a node says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    pub node: String,
    /// The term it leads with; 0 if it does not lead.
    pub term: u64,
    /// The state service has answered it lately.
    pub store_reachable: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Answered with the other's announcement.
    Announce(Announcement),
    /// Where a job's tasks stand, answered with [`Message::Counts`].
    Count {
        job: String,
    },
    Counts {
        done: u64,
        running: u64,
    },
    /// The answer to what can't be answered.
    Nothing,
    /// A job's cancellation is durable. Answered with [`Message::Nothing`].
    Cancelled {
        job: String,
    },
}

#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    #[error("{0}")]
    Io(#[from] std::io::Error),
    #[error("frame of {0} bytes")]
    Length(usize),
    #[error("version {0}, expected {expected}", expected = constants::PEER_VERSION)]
    Version(u8),
    #[error("undecodable frame: {0}")]
    Decode(#[from] postcard::Error),
    #[error("no answer in time")]
    Timeout,
}

pub async fn read_frame(stream: &mut TcpStream) -> Result<Message, PeerError> {
    let length = stream.read_u32().await? as usize;
    if length == 0 || length > constants::MAX_PEER_FRAME_BYTES {
        return Err(PeerError::Length(length));
    }
    let mut frame = vec![0; length];
    stream.read_exact(&mut frame).await?;
    if frame[0] != constants::PEER_VERSION {
        return Err(PeerError::Version(frame[0]));
    }
    Ok(postcard::from_bytes(&frame[1..])?)
}

pub async fn write_frame(stream: &mut TcpStream, message: &Message) -> Result<(), PeerError> {
    let body = postcard::to_stdvec(message)?;
    let length = body.len() + 1;
    if length > constants::MAX_PEER_FRAME_BYTES {
        return Err(PeerError::Length(length));
    }
    let mut frame = Vec::with_capacity(length + 4);
    frame.extend_from_slice(&(length as u32).to_be_bytes());
    frame.push(constants::PEER_VERSION);
    frame.extend_from_slice(&body);
    stream.write_all(&frame).await?;
    Ok(())
}

/// The one connection kept to a peer.
pub struct Link {
    pub node: String,
    addr: SocketAddr,
    stream: Mutex<Option<TcpStream>>,
}

impl Link {
    pub fn new(node: String, addr: SocketAddr) -> Self {
        Link {
            node,
            addr,
            stream: Mutex::new(None),
        }
    }

    /// Sends a message and waits for its answer. After any failure the connection is dropped,
    /// so that a late answer is never taken for another's.
    pub async fn exchange(&self, message: &Message) -> Result<Message, PeerError> {
        let work = async {
            let mut slot = self.stream.lock().await;
            let mut stream = match slot.take() {
                Some(stream) => stream,
                None => {
                    let stream = TcpStream::connect(self.addr).await?;
                    stream.set_nodelay(true)?;
                    stream
                }
            };
            write_frame(&mut stream, message).await?;
            let answer = read_frame(&mut stream).await?;
            *slot = Some(stream);
            Ok(answer)
        };
        tokio::time::timeout(constants::PEER_TIMEOUT, work)
            .await
            .unwrap_or(Err(PeerError::Timeout))
    }
}

#[cfg(test)]
mod tests;

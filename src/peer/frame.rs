//! Frames: a length of four bytes, big-endian, then the version and a postcard message, both of
//! which the length counts.

use super::Message;
use crate::constants;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Bytes of the length in front of a frame.
const LENGTH_BYTES: usize = 4;
/// Bytes of the version, the first of a frame.
const VERSION_BYTES: usize = 1;

/// Why a frame could not be read or written.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// The connection failed.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// The frame is empty or longer than [`constants::MAX_PEER_FRAME_BYTES`].
    #[error("frame of {0} bytes")]
    InvalidLength(usize),
    /// The peer has another version.
    #[error("version {0}, expected {expected}", expected = constants::PEER_VERSION)]
    VersionMismatch(u8),
    /// The frame holds no message.
    #[error("undecodable frame: {0}")]
    Decode(#[from] postcard::Error),
    /// The peer did not answer in time.
    #[error("no answer in time")]
    Timeout,
}

/// Reads one frame.
///
/// # Errors
///
/// If the connection fails, or the frame is too long, of another version or not a message. The
/// connection can't be used after an error.
pub async fn read_frame(stream: &mut TcpStream) -> Result<Message, PeerError> {
    let length = stream.read_u32().await? as usize;
    if length == 0 || length > constants::MAX_PEER_FRAME_BYTES {
        return Err(PeerError::InvalidLength(length));
    }
    let mut frame = vec![0; length];
    stream.read_exact(&mut frame).await?;
    let version = frame[0];
    if version != constants::PEER_VERSION {
        return Err(PeerError::VersionMismatch(version));
    }
    Ok(postcard::from_bytes(&frame[VERSION_BYTES..])?)
}

/// Writes one frame.
///
/// # Errors
///
/// If the connection fails or the message is too long.
pub async fn write_frame(stream: &mut TcpStream, message: &Message) -> Result<(), PeerError> {
    let body = postcard::to_stdvec(message)?;
    let length = VERSION_BYTES + body.len();
    if length > constants::MAX_PEER_FRAME_BYTES {
        return Err(PeerError::InvalidLength(length));
    }
    let mut frame = Vec::with_capacity(LENGTH_BYTES + length);
    frame.extend_from_slice(&(length as u32).to_be_bytes());
    frame.push(constants::PEER_VERSION);
    frame.extend_from_slice(&body);
    stream.write_all(&frame).await?;
    Ok(())
}

//! Encoding and decoding of frames.
//!
//! A frame consists of its length (four bytes, big-endian), the protocol version (one byte) and a
//! message encoded with postcard. The length counts the version and the message.

use super::Message;
use crate::constants;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Size of the length field in bytes.
const LENGTH_BYTES: usize = 4;
/// Size of the version field in bytes; the field follows the length.
const VERSION_BYTES: usize = 1;

/// Why a frame could not be read or written.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// The connection failed.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// The frame is empty, or its length exceeds [`constants::MAX_PEER_FRAME_BYTES`].
    #[error("invalid frame length: {0} bytes")]
    InvalidLength(usize),
    /// The frame has another protocol version than [`constants::PEER_VERSION`].
    #[error("peer protocol version {0}, expected {expected}", expected = constants::PEER_VERSION)]
    VersionMismatch(u8),
    /// The message in the frame cannot be decoded, or a message cannot be encoded.
    #[error("message can't be encoded or decoded: {0}")]
    Decode(#[from] postcard::Error),
    /// The peer did not send or answer a message within the timeout.
    #[error("peer timed out")]
    Timeout,
}

/// Reads one frame and decodes its message.
///
/// # Errors
///
/// - [`PeerError::Io`] if the connection fails,
/// - [`PeerError::InvalidLength`] if the frame is empty or too long,
/// - [`PeerError::VersionMismatch`] if the frame has another version,
/// - [`PeerError::Decode`] if the message cannot be decoded.
///
/// The connection must not be used after an error.
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

/// Encodes a message and writes it as one frame.
///
/// # Errors
///
/// - [`PeerError::Io`] if the connection fails,
/// - [`PeerError::InvalidLength`] if the message is too long,
/// - [`PeerError::Decode`] if the message cannot be encoded.
pub async fn write_frame(stream: &mut TcpStream, message: &Message) -> Result<(), PeerError> {
    let encoded_message = postcard::to_stdvec(message)?;
    let length = VERSION_BYTES + encoded_message.len();
    if length > constants::MAX_PEER_FRAME_BYTES {
        return Err(PeerError::InvalidLength(length));
    }
    let mut frame = Vec::with_capacity(LENGTH_BYTES + length);
    frame.extend_from_slice(&(length as u32).to_be_bytes());
    frame.push(constants::PEER_VERSION);
    frame.extend_from_slice(&encoded_message);
    stream.write_all(&frame).await?;
    Ok(())
}

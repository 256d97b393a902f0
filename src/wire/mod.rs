//! The messages of the platform's protocol.
//!
//! Bodies are MessagePack maps with text keys. The types use the usual terms of cluster scheduling,
//! and their serde attributes map these to the field names on the wire. No other module encodes or
//! decodes these names.

pub mod cloud;
pub mod store;
pub mod user;
pub mod worker;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer, Serialize};

/// Why a body could not be decoded.
#[derive(Debug, thiserror::Error)]
pub enum DecodeError {
    /// The body does not begin with a MessagePack map.
    #[error("body is not a MessagePack map")]
    NotAMap,
    /// The map does not have the form of the message.
    #[error(transparent)]
    Invalid(#[from] rmp_serde::decode::Error),
    /// The body continues after the end of the message.
    #[error("bytes after the message")]
    TrailingBytes,
}

/// Encodes a message as a MessagePack map.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    // Encoding to memory fails only for maps of unknown length, which no message contains.
    rmp_serde::to_vec_named(message).unwrap_or_default()
}

/// Decodes a message from one MessagePack map that spans the whole body.
///
/// # Errors
///
/// - [`DecodeError::NotAMap`] if the body does not begin with a map,
/// - [`DecodeError::Invalid`] if the map does not have the form of the message,
/// - [`DecodeError::TrailingBytes`] if bytes follow the map.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, DecodeError> {
    // Serde also decodes a struct from an array, which the protocol does not allow.
    match body.first() {
        Some(0x80..=0x8f | 0xde | 0xdf) => {}
        _ => return Err(DecodeError::NotAMap),
    }
    // This deserializer borrows text from the body instead of copying each key and value.
    let mut deserializer = rmp_serde::Deserializer::from_read_ref(body);
    let message = T::deserialize(&mut deserializer)?;
    if !is_at_end(&mut deserializer) {
        return Err(DecodeError::TrailingBytes);
    }
    Ok(message)
}

/// Reports whether the deserializer has consumed the whole body.
///
/// The deserializer does not expose its position. A MessagePack boolean consists of a marker byte
/// only, so decoding one fails with a missing marker exactly at the end of the body.
fn is_at_end<'de>(deserializer: impl Deserializer<'de, Error = rmp_serde::decode::Error>) -> bool {
    matches!(
        bool::deserialize(deserializer),
        Err(rmp_serde::decode::Error::InvalidMarkerRead(_))
    )
}

#[cfg(test)]
mod tests;

//! The messages of the platform's protocol, and the only place that knows its field names.
//!
//! Every type here carries serde renames from the project's own terms to the names on the
//! wire. Bodies are MessagePack maps with text keys.

pub mod cloud;
pub mod store;
pub mod user;
pub mod worker;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer, Serialize};

/// Why a body could not be read.
#[derive(Debug, thiserror::Error)]
pub enum DecodeError {
    /// The body does not begin with a map.
    #[error("body is not a MessagePack map")]
    NotAMap,
    /// The map does not have the form of the message.
    #[error(transparent)]
    Invalid(#[from] rmp_serde::decode::Error),
    /// The message does not fill the body.
    #[error("bytes after the message")]
    TrailingBytes,
}

/// Encodes a message as a MessagePack map.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    // Writing to memory fails only for maps of unknown length, which no message here has.
    rmp_serde::to_vec_named(message).unwrap_or_default()
}

/// Decodes one MessagePack map that fills the whole body.
///
/// # Errors
///
/// If the body is something else, or not of the message's form.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, DecodeError> {
    // Serde would read a struct from a list as well, which the protocol does not allow.
    match body.first() {
        Some(0x80..=0x8f | 0xde | 0xdf) => {}
        _ => return Err(DecodeError::NotAMap),
    }
    // Reads text where it stands in the body, without a copy of each key and value.
    let mut deserializer = rmp_serde::Deserializer::from_read_ref(body);
    let message = T::deserialize(&mut deserializer)?;
    if !is_at_end(&mut deserializer) {
        return Err(DecodeError::TrailingBytes);
    }
    Ok(message)
}

/// Whether nothing is left to read. The deserializer does not tell how much it has read; but a
/// boolean consists of its marker alone, so reading one fails for want of a marker only at the end.
fn is_at_end<'de>(deserializer: impl Deserializer<'de, Error = rmp_serde::decode::Error>) -> bool {
    matches!(
        bool::deserialize(deserializer),
        Err(rmp_serde::decode::Error::InvalidMarkerRead(_))
    )
}

#[cfg(test)]
mod tests;

//! The messages that sageloom exchanges with users, workers, the cloud and the
//! state service. Names here are the field's; the wire's names are serde renames.

mod jobs;
mod outside;
mod workers;

pub use jobs::*;
pub use outside::*;
pub use workers::*;

use serde::{Serialize, de::DeserializeOwned};

/// Largest request body, and largest response to users and workers.
pub const BODY_LIMIT: usize = 64 * 1024;

#[derive(Debug, thiserror::Error)]
#[error("not a valid message: {0}")]
pub struct DecodeError(String);

/// Encodes a message as MessagePack with text keys.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    // Plain data structures with text keys cannot fail to encode into memory.
    rmp_serde::to_vec_named(value).unwrap_or_default()
}

/// Decodes a MessagePack message, ignoring fields that are not known.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    rmp_serde::from_slice(bytes).map_err(|e| DecodeError(e.to_string()))
}

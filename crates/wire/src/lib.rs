//! The messages that sageloom exchanges with users, workers, the cloud and the
//! state service. Names here are the field's; the wire's names are serde renames.

mod cloud_and_store;
mod jobs;
mod workers;

pub use cloud_and_store::*;
pub use jobs::*;
pub use workers::*;

use std::time::Duration;

use serde::de::value::StringDeserializer;
use serde::de::{DeserializeOwned, IntoDeserializer};
use serde::{Deserialize, Deserializer, Serialize};

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

/// Whether a MessagePack message is a map.
pub fn is_map(bytes: &[u8]) -> bool {
    matches!(bytes.first(), Some(0x80..=0x8f | 0xde | 0xdf))
}

/// A word of the protocol, which MessagePack would also let pass as the number of its
/// place among the others.
fn by_name<'de, D: Deserializer<'de>, T: Deserialize<'de>>(deserializer: D) -> Result<T, D::Error> {
    let name: StringDeserializer<D::Error> = String::deserialize(deserializer)?.into_deserializer();
    T::deserialize(name)
}

/// The longest time that [`seconds`] gives, in seconds.
const LONGEST_S: f64 = 1e9;

/// A time given in seconds, whatever number it is: what comes from others may be
/// negative, endless or none at all, and `Duration` ends the process for these.
pub fn seconds(s: f64) -> Duration {
    // What is no number is above nothing.
    Duration::from_secs_f64(if s > 0.0 { s.min(LONGEST_S) } else { 0.0 })
}

#[cfg(test)]
#[path = "../tests/unit/lib.rs"]
mod tests;

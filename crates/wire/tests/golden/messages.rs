//! Checks of MessagePack messages and records against golden files.

use std::fmt::Debug;

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value as Json;

use crate::files;

/// Checks that a value is encoded to the bytes of a file, and that these are decoded to the value.
///
/// Not all types can be compared, so the decoded value is compared by its `Debug` text, which has all
/// fields.
pub fn check<T: Serialize + DeserializeOwned + Debug>(file: &str, value: &T) {
    let golden = files::read(file);
    assert_eq!(files::printable(&wire::encode(value)), files::printable(&golden), "{file} is encoded");
    let decoded: T = wire::decode(&golden).unwrap_or_else(|error| unreachable!("{file}: {error}"));
    assert_eq!(format!("{decoded:?}"), format!("{value:?}"), "{file} is decoded");
    assert_eq!(wire::encode(&decoded), golden, "{file} is encoded again");
}

/// Checks the decoding of a message that lacks fields which this version always writes, or has fields
/// that this version does not know.
pub fn check_read<T: DeserializeOwned + Debug>(message: &Json, expected: &T) {
    let bytes = wire::encode(message);
    let decoded: T = wire::decode(&bytes).unwrap_or_else(|error| unreachable!("{message}: {error}"));
    assert_eq!(format!("{decoded:?}"), format!("{expected:?}"), "{message}");
}

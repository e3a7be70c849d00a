//! Checks of MessagePack messages and records against golden data.

use std::fmt::Debug;

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value as Json;

use crate::files;

/// Checks that a value is written as the bytes of a file, and that these are read as the value.
///
/// Not all types can be compared, so what is read is compared by its `Debug` text, which has all
/// fields.
pub fn check<T: Serialize + DeserializeOwned + Debug>(file: &str, value: &T) {
    let golden = files::read(file);
    assert_eq!(files::printable(&wire::encode(value)), files::printable(&golden), "{file} is written");
    let decoded: T = wire::decode(&golden).unwrap_or_else(|error| unreachable!("{file}: {error}"));
    assert_eq!(format!("{decoded:?}"), format!("{value:?}"), "{file} is read");
    assert_eq!(wire::encode(&decoded), golden, "{file} is written again");
}

/// Checks how a message is read that lacks fields which this version always writes, or has some
/// that it does not know.
pub fn check_read<T: DeserializeOwned + Debug>(message: &Json, expected: &T) {
    let bytes = wire::encode(message);
    let decoded: T = wire::decode(&bytes).unwrap_or_else(|error| unreachable!("{message}: {error}"));
    assert_eq!(format!("{decoded:?}"), format!("{expected:?}"), "{message}");
}

//! Golden tests: the files have the bytes of every message between controllers, which the code has
//! to encode and decode exactly.
//!
//! A file is replaced only when the protocol itself is changed on purpose.

extern crate sageloom_peer as peer;

#[path = "../../wire/tests/golden/files.rs"]
mod files;
#[path = "golden/messages.rs"]
mod messages;
#[path = "golden/read_index.rs"]
mod read_index;
#[path = "golden/running_tasks.rs"]
mod running_tasks;

/// Checks that a message is encoded to the bytes of a file, and that these are decoded to the message.
fn check<T: PartialEq + std::fmt::Debug>(
    file: &str,
    message: &T,
    encode: fn(&T) -> Vec<u8>,
    decode: fn(&[u8]) -> Option<T>,
) {
    let golden = files::read(file);
    assert_eq!(files::printable(&encode(message)), files::printable(&golden), "{file} is encoded");
    assert_eq!(decode(&golden).as_ref(), Some(message), "{file} is decoded");
}

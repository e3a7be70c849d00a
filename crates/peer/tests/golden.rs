//! Golden data: files with the bytes of every message between controllers. The code has to write
//! and to read just these.
//!
//! A file is only replaced where the protocol itself is changed on purpose.

extern crate sageloom_peer as peer;

#[path = "../../wire/tests/golden/files.rs"]
mod files;
#[path = "golden/messages.rs"]
mod messages;
#[path = "golden/read_index.rs"]
mod read_index;
#[path = "golden/running_tasks.rs"]
mod running_tasks;

/// Checks that a message is written as the bytes of a file, and that these are read as it.
fn check<T: PartialEq + std::fmt::Debug>(
    file: &str,
    message: &T,
    encode: fn(&T) -> Vec<u8>,
    decode: fn(&[u8]) -> Option<T>,
) {
    let golden = files::read(file);
    assert_eq!(files::printable(&encode(message)), files::printable(&golden), "{file} is written");
    assert_eq!(decode(&golden).as_ref(), Some(message), "{file} is read");
}

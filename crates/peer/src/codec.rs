//! Encoding and decoding of messages.

use rkyv::api::high::{HighDeserializer, HighSerializer, HighValidator};
use rkyv::bytecheck::CheckBytes;
use rkyv::rancor::Error;
use rkyv::ser::allocator::ArenaHandle;
use rkyv::util::AlignedVec;
use rkyv::{Archive, Deserialize, Serialize};

use crate::{Message, ReadIndex, ReadIndexRequest, RunningTasks, RunningTasksRequest};

/// The alignment that archived messages have in memory, in bytes.
const ALIGNMENT: usize = 16;

fn encode_archived<T>(value: &T) -> Vec<u8>
where
    T: for<'a> Serialize<HighSerializer<AlignedVec, ArenaHandle<'a>, Error>>,
{
    // Plain data structures cannot fail to encode into memory.
    rkyv::to_bytes::<Error>(value).map(|bytes| bytes.to_vec()).unwrap_or_default()
}

/// Validates the bytes and decodes them. They are copied into an aligned buffer first, because the
/// body of a request need not be aligned.
fn decode_archived<T>(bytes: &[u8]) -> Option<T>
where
    T: Archive,
    T::Archived: for<'a> CheckBytes<HighValidator<'a, Error>> + Deserialize<T, HighDeserializer<Error>>,
{
    let mut aligned = AlignedVec::<ALIGNMENT>::with_capacity(bytes.len());
    aligned.extend_from_slice(bytes);
    rkyv::from_bytes::<T, Error>(&aligned).ok()
}

/// Encodes a message.
pub fn encode(message: &Message) -> Vec<u8> {
    encode_archived(message)
}

/// Validates and decodes a message; `None` if it is malformed.
pub fn decode(bytes: &[u8]) -> Option<Message> {
    decode_archived(bytes)
}

/// Encodes a request for a read index.
pub fn encode_read_index_request(request: &ReadIndexRequest) -> Vec<u8> {
    encode_archived(request)
}

/// Validates and decodes a request for a read index; `None` if it is malformed.
pub fn decode_read_index_request(bytes: &[u8]) -> Option<ReadIndexRequest> {
    decode_archived(bytes)
}

/// Encodes a read index.
pub fn encode_read_index(index: &ReadIndex) -> Vec<u8> {
    encode_archived(index)
}

/// Validates and decodes a read index; `None` if it is malformed.
pub fn decode_read_index(bytes: &[u8]) -> Option<ReadIndex> {
    decode_archived(bytes)
}

/// Encodes a request for running tasks.
pub fn encode_running_tasks_request(request: &RunningTasksRequest) -> Vec<u8> {
    encode_archived(request)
}

/// Validates and decodes a request for running tasks; `None` if it is malformed.
pub fn decode_running_tasks_request(bytes: &[u8]) -> Option<RunningTasksRequest> {
    decode_archived(bytes)
}

/// Encodes running tasks.
pub fn encode_running_tasks(running: &RunningTasks) -> Vec<u8> {
    encode_archived(running)
}

/// Validates and decodes running tasks; `None` if they are malformed.
pub fn decode_running_tasks(bytes: &[u8]) -> Option<RunningTasks> {
    decode_archived(bytes)
}

//! The messages between controllers, encoded with rkyv.
//!
//! The order of fields and variants is part of the encoding: they may be renamed, but not moved.

#![deny(missing_docs)]
#![cfg_attr(not(test), deny(clippy::too_many_lines))]

mod codec;
mod message;
mod read_index;
mod running_tasks;

pub use codec::{
    decode, decode_read_index, decode_read_index_request, decode_running_tasks, decode_running_tasks_request,
    encode, encode_read_index, encode_read_index_request, encode_running_tasks, encode_running_tasks_request,
};
pub use message::{
    MachineStatusRow, Message, PeerStatus, RelayedHeartbeat, TerminationProof, TerminationProofs,
};
pub use read_index::{CancelledJob, ReadIndex, ReadIndexRequest};
pub use running_tasks::{RunningTask, RunningTasks, RunningTasksOfJob, RunningTasksRequest};

#[cfg(test)]
#[path = "../tests/unit/lib.rs"]
mod tests;

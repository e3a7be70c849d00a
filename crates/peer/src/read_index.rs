//! Read index: tells a controller whether a peer may have confirmed cancellations that the controller
//! has not read yet.

use rkyv::{Archive, Deserialize, Serialize};

/// Asks a controller for its read index: which cancellations it may have confirmed to users that the
/// sender has not read. The message has its own path and type, because controllers of the version in
/// production know neither.
#[derive(Debug, Clone, PartialEq, Archive, Serialize, Deserialize)]
pub struct ReadIndexRequest {
    /// Identifies the request, so that a delayed response to another request is not taken for the
    /// response to this one.
    pub nonce: u64,
    /// The revision up to which the sender knows all cancellations.
    pub after: u64,
}

/// How far the sender had read the records when it responded. Everything that it confirms to a user is
/// in its replica of the records before.
#[derive(Debug, Clone, PartialEq, Archive, Serialize, Deserialize)]
pub struct ReadIndex {
    /// The nonce of the request.
    pub nonce: u64,
    /// The sender's name.
    pub name: String,
    /// The sender's incarnation.
    pub incarnation: u64,
    /// The epoch of the newest cluster map that the sender knows.
    pub epoch: u64,
    /// The revision up to which the sender has read all changes; 0 if it has not read the records
    /// since it started.
    pub revision: u64,
    /// The cancelled jobs whose records have assignments and changed after the requested revision,
    /// ordered by version.
    pub cancelled: Vec<CancelledJob>,
    /// Whether there are more such jobs, with later versions than the last one listed.
    pub truncated: bool,
}

/// A cancelled job with assignments.
#[derive(Debug, Clone, PartialEq, Archive, Serialize, Deserialize)]
pub struct CancelledJob {
    /// The id of the job.
    pub id: String,
    /// The revision at which its record last changed.
    pub version: u64,
    /// The record as stored in the key-value store (MessagePack).
    pub record: Vec<u8>,
}

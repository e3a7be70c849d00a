//! The read index: whether a controller has confirmed cancellations that another has not read.

use rkyv::{Archive, Deserialize, Serialize};

/// Asks a controller for its read index: whether there are cancellations that it may have confirmed
/// to users and that the sender has not read. It has a path and a type of its own, as controllers of
/// the version in production know neither.
#[derive(Debug, Clone, PartialEq, Archive, Serialize, Deserialize)]
pub struct ReadIndexRequest {
    /// Identifies this request, so that a delayed duplicate of another's response is not taken for
    /// its own.
    pub nonce: u64,
    /// The revision up to which the sender knows all cancellations.
    pub after: u64,
}

/// What its sender had read when it responded. Whatever it confirms to a user is in its replica of
/// the records before.
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
    /// The revision up to which it has read everything; 0 if it has not read the records since it
    /// started.
    pub revision: u64,
    /// The cancelled jobs with assignments by their records, changed after the revision that was
    /// asked for, in the order of their versions.
    pub cancelled: Vec<CancelledJob>,
    /// Whether there are more, of later versions than the last of these.
    pub truncated: bool,
}

/// A cancelled job with assignments.
#[derive(Debug, Clone, PartialEq, Archive, Serialize, Deserialize)]
pub struct CancelledJob {
    /// The id of the job.
    pub id: String,
    /// The revision at which its record last changed.
    pub version: u64,
    /// The record as it is in the key-value store (MessagePack).
    pub record: Vec<u8>,
}

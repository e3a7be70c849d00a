//! What controllers tell each other, encoded with rkyv.

use rkyv::rancor;
use rkyv::{Archive, Deserialize, Serialize};

/// A machine as its owner sees it: the free-room summary's row.
#[derive(Debug, Clone, PartialEq, Archive, Serialize, Deserialize)]
pub struct MachineStatusRow {
    pub id: String,
    /// The worker reports and is not about to be taken away.
    pub usable: bool,
    /// The owner has heard nothing of it for so long.
    pub silent_ms: u64,
    /// The owner has heard of it since it owns it.
    pub heard_from: bool,
    pub free_cpus: f64,
    pub free_gpus: f64,
    pub free_memory_gb: f64,
    /// The machine fails what it is given, or hangs.
    pub unhealthy: bool,
    /// The cloud takes it away soon.
    pub spot_notice: bool,
}

/// Sent to every peer about once a second and answered in kind.
#[derive(Debug, Clone, PartialEq, Archive, Serialize, Deserialize)]
pub struct PeerStatus {
    pub name: String,
    pub incarnation: u64,
    /// Counts the sender's summaries: a late copy of an older one says nothing.
    pub sequence: u64,
    /// Epoch of the newest map the sender knows.
    pub epoch: u64,
    /// The sender's last contact with the state service was so long ago.
    pub state_silent_ms: u64,
    pub machines: Vec<MachineStatusRow>,
}

/// A worker's report that reached a controller which does not own the machine,
/// passed on because the worker cannot reach the owner. The body is as it came.
#[derive(Debug, Clone, PartialEq, Archive, Serialize, Deserialize)]
pub struct RelayedHeartbeat {
    pub heartbeat: Vec<u8>,
}

/// The end of an assignment that a machine's owner has proven, for the
/// controller that places the job.
#[derive(Debug, Clone, PartialEq, Archive, Serialize, Deserialize)]
pub struct TerminationProof {
    pub job: String,
    pub task: u32,
    pub attempt: u64,
    pub machine: String,
    pub reason_code: u8,
}

/// Proofs hold under the map with this epoch only.
#[derive(Debug, Clone, PartialEq, Archive, Serialize, Deserialize)]
pub struct TerminationProofs {
    pub epoch: u64,
    pub proofs: Vec<TerminationProof>,
}

#[derive(Debug, Clone, PartialEq, Archive, Serialize, Deserialize)]
pub enum Message {
    PeerStatus(PeerStatus),
    RelayedHeartbeat(RelayedHeartbeat),
    TerminationProofs(TerminationProofs),
    /// The proofs were taken.
    Acknowledged,
    /// The owner's answer to a relayed report.
    HeartbeatResponse {
        status: u16,
        body: Vec<u8>,
    },
}

/// Asks a controller for its read index: whether there are cancellations that it may have
/// confirmed to users and that the sender has not read. It has a path and a type of its
/// own, as controllers of the version in production know neither.
#[derive(Debug, Clone, PartialEq, Archive, Serialize, Deserialize)]
pub struct ReadIndexRequest {
    /// Names this request, so that a late copy of another's answer does not pass for its own.
    pub nonce: u64,
    /// The revision up to which the sender knows of all cancellations.
    pub after: u64,
}

/// What its sender had read or learnt when it answered. Whatever it confirms to a user
/// stands in its copy of the records before.
#[derive(Debug, Clone, PartialEq, Archive, Serialize, Deserialize)]
pub struct ReadIndex {
    pub nonce: u64,
    pub name: String,
    pub incarnation: u64,
    /// Epoch of the newest map it knows.
    pub epoch: u64,
    /// The revision up to which it has read everything; 0 if it has not read the records
    /// since it started.
    pub revision: u64,
    /// The cancelled jobs that it knows of with something on a machine by their records,
    /// changed after the revision that was asked for, in the order of their versions.
    pub cancelled: Vec<CancelledJob>,
    /// There are more, of later versions than the last of these.
    pub truncated: bool,
}

#[derive(Debug, Clone, PartialEq, Archive, Serialize, Deserialize)]
pub struct CancelledJob {
    pub id: String,
    /// The revision at which its record last changed.
    pub version: u64,
    /// The record as it lies in the state service (MessagePack).
    pub record: Vec<u8>,
}

/// Asks a controller which tasks of some jobs it sees running on its machines. It has a path
/// and a type of its own, as controllers without drains know neither.
#[derive(Debug, Clone, PartialEq, Archive, Serialize, Deserialize)]
pub struct RunningTasksRequest {
    /// Names this request, so that a late copy of another's answer does not pass for its own.
    pub nonce: u64,
    /// The epoch of the newest map that the sender knows.
    pub epoch: u64,
    pub jobs: Vec<String>,
}

/// The tasks that its sender sees running on the machines that it owns, by reports that are
/// not older than a worker may be silent for.
#[derive(Debug, Clone, PartialEq, Archive, Serialize, Deserialize)]
pub struct RunningTasks {
    pub nonce: u64,
    pub name: String,
    pub incarnation: u64,
    /// The epoch of the map by which it owns its machines.
    pub epoch: u64,
    pub jobs: Vec<RunningTasksOfJob>,
}

/// The running tasks of one job.
#[derive(Debug, Clone, PartialEq, Archive, Serialize, Deserialize)]
pub struct RunningTasksOfJob {
    pub job: String,
    /// Tasks and their attempts.
    pub tasks: Vec<RunningTask>,
}

/// A task that runs, and its attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct RunningTask {
    pub task: u32,
    pub attempt: u64,
}

pub fn encode_running_request(request: &RunningTasksRequest) -> Vec<u8> {
    rkyv::to_bytes::<rancor::Error>(request).map(|b| b.to_vec()).unwrap_or_default()
}

pub fn decode_running_request(bytes: &[u8]) -> Option<RunningTasksRequest> {
    rkyv::from_bytes::<RunningTasksRequest, rancor::Error>(&aligned(bytes)).ok()
}

pub fn encode_running(running: &RunningTasks) -> Vec<u8> {
    rkyv::to_bytes::<rancor::Error>(running).map(|b| b.to_vec()).unwrap_or_default()
}

pub fn decode_running(bytes: &[u8]) -> Option<RunningTasks> {
    rkyv::from_bytes::<RunningTasks, rancor::Error>(&aligned(bytes)).ok()
}

pub fn encode_request(request: &ReadIndexRequest) -> Vec<u8> {
    rkyv::to_bytes::<rancor::Error>(request).map(|b| b.to_vec()).unwrap_or_default()
}

pub fn decode_request(bytes: &[u8]) -> Option<ReadIndexRequest> {
    rkyv::from_bytes::<ReadIndexRequest, rancor::Error>(&aligned(bytes)).ok()
}

pub fn encode_index(index: &ReadIndex) -> Vec<u8> {
    rkyv::to_bytes::<rancor::Error>(index).map(|b| b.to_vec()).unwrap_or_default()
}

pub fn decode_index(bytes: &[u8]) -> Option<ReadIndex> {
    rkyv::from_bytes::<ReadIndex, rancor::Error>(&aligned(bytes)).ok()
}

pub fn encode(message: &Message) -> Vec<u8> {
    rkyv::to_bytes::<rancor::Error>(message).map(|b| b.to_vec()).unwrap_or_default()
}

/// Checks and reads a message; None if it is not one.
pub fn decode(bytes: &[u8]) -> Option<Message> {
    rkyv::from_bytes::<Message, rancor::Error>(&aligned(bytes)).ok()
}

fn aligned(bytes: &[u8]) -> rkyv::util::AlignedVec<16> {
    let mut aligned = rkyv::util::AlignedVec::with_capacity(bytes.len());
    aligned.extend_from_slice(bytes);
    aligned
}

#[cfg(test)]
#[path = "../tests/unit/lib.rs"]
mod tests;

//! Messages that controllers exchange regularly.

use rkyv::{Archive, Deserialize, Serialize};

/// A machine as its owner sees it: a row of a [`PeerStatus`].
#[derive(Debug, Clone, PartialEq, Archive, Serialize, Deserialize)]
pub struct MachineStatusRow {
    /// The machine's name.
    pub id: String,
    /// Whether the worker sends heartbeats and the machine is not about to be reclaimed.
    pub usable: bool,
    /// The time since the owner last received a heartbeat, in milliseconds.
    pub silent_ms: u64,
    /// Whether the owner has received a heartbeat since it became the owner.
    pub heard_from: bool,
    /// Free CPUs.
    pub free_cpus: f64,
    /// Free GPUs.
    pub free_gpus: f64,
    /// Free memory, in GB.
    pub free_memory_gb: f64,
    /// Whether the machine fails the tasks that it is given, or hangs.
    pub unhealthy: bool,
    /// Whether the cloud has given notice that it will reclaim the machine.
    pub spot_notice: bool,
}

/// A controller's status, sent to every peer about once a second and answered by the peer's own.
#[derive(Debug, Clone, PartialEq, Archive, Serialize, Deserialize)]
pub struct PeerStatus {
    /// The sender's name.
    pub name: String,
    /// The sender's incarnation.
    pub incarnation: u64,
    /// Increases with every status of the sender, so that receivers can ignore older ones that arrive
    /// late.
    pub sequence: u64,
    /// The epoch of the newest cluster map that the sender knows.
    pub epoch: u64,
    /// The time since the sender's last contact with the key-value store, in milliseconds.
    pub store_silent_ms: u64,
    /// The machines that the sender owns.
    pub machines: Vec<MachineStatusRow>,
}

/// A worker's heartbeat that reached a controller which does not own the machine, relayed because
/// the worker cannot reach the owner.
#[derive(Debug, Clone, PartialEq, Archive, Serialize, Deserialize)]
pub struct RelayedHeartbeat {
    /// The body of the heartbeat, unchanged.
    pub heartbeat: Vec<u8>,
}

/// Reports that an assignment has terminated, as proven by the owner of its machine. It is sent to the
/// controller that schedules the job.
#[derive(Debug, Clone, PartialEq, Archive, Serialize, Deserialize)]
pub struct TerminationProof {
    /// The id of the job.
    pub job: String,
    /// The number of the task.
    pub task: u32,
    /// The attempt that ended.
    pub attempt: u64,
    /// The machine of the assignment.
    pub machine: String,
    /// The reason, encoded by `TerminationReason::code`.
    pub reason_code: u8,
}

/// Termination proofs. They are valid only under the cluster map with this epoch.
#[derive(Debug, Clone, PartialEq, Archive, Serialize, Deserialize)]
pub struct TerminationProofs {
    /// The epoch of the cluster map under which the sender owns the machines.
    pub epoch: u64,
    /// The proofs.
    pub proofs: Vec<TerminationProof>,
}

/// A message to a peer, or its response.
#[derive(Debug, Clone, PartialEq, Archive, Serialize, Deserialize)]
pub enum Message {
    /// The sender's status. The response is the receiver's.
    PeerStatus(PeerStatus),
    /// A heartbeat, relayed to the owner of the machine. The response is [`Message::HeartbeatResponse`].
    RelayedHeartbeat(RelayedHeartbeat),
    /// Termination proofs, for the controller that schedules the jobs. The response is [`Message::Acknowledged`].
    TerminationProofs(TerminationProofs),
    /// The proofs were accepted.
    Acknowledged,
    /// The owner's response to a relayed heartbeat.
    HeartbeatResponse {
        /// The HTTP status.
        status: u16,
        /// The body, to be sent to the worker unchanged.
        body: Vec<u8>,
    },
}

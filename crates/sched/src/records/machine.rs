//! Records of machines and machine types.

use serde::{Deserialize, Serialize};
use wire::MachineType;

use crate::assignment::Name;

/// A machine whose worker has registered.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineRecord {
    /// The address of the machine's worker.
    pub addr: String,
    /// The name of the machine type.
    pub machine_type: Name,
    /// The zone of the machine.
    pub zone: Name,
    /// Whether the machine is a spot instance.
    pub spot: bool,
    /// Whether the machine should be drained and scaled in.
    #[serde(default)]
    pub release: bool,
}

/// The machine types that the cloud offers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineTypesRecord {
    /// The machine types, as last read from the cloud.
    pub types: Vec<MachineType>,
}

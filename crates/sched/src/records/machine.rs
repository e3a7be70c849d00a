//! Records of machines and machine types.

use serde::{Deserialize, Serialize};
use wire::MachineType;

use crate::assignment::Name;

/// A machine that has registered.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineRecord {
    /// The address of its worker.
    pub addr: String,
    /// The name of its machine type.
    pub machine_type: Name,
    /// Its zone.
    pub zone: Name,
    /// Whether it is a spot instance.
    pub spot: bool,
    /// Whether the machine is to be drained and scaled in.
    #[serde(default)]
    pub release: bool,
}

/// The machine types that the cloud offers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineTypesRecord {
    /// The machine types, as last read from the cloud.
    pub types: Vec<MachineType>,
}

//! The record of scale-outs in progress and of machines that are gone.

use serde::{Deserialize, Serialize};

use crate::assignment::Name;
use crate::compact;

/// A requested scale-out whose machines have not all started yet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ScaleOut {
    /// The id of the request, by which the cloud recognizes retries.
    #[serde(rename = "r")]
    pub request: String,
    /// The machine type.
    #[serde(rename = "t")]
    pub machine_type: Name,
    /// The zone.
    #[serde(rename = "z")]
    pub zone: Name,
    /// Whether spot instances are requested.
    #[serde(rename = "s")]
    pub spot: bool,
    /// The number of requested machines.
    #[serde(rename = "n")]
    pub count: u32,
    /// When the scale-out was requested, in Unix milliseconds.
    #[serde(rename = "a")]
    pub requested_ms: u64,
    /// The machines that the cloud has granted; `None` until it has answered.
    #[serde(rename = "m", with = "compact::names")]
    pub machines: Option<Vec<Name>>,
}

/// Pending changes to the set of machines.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetRecord {
    /// The scale-outs in progress.
    #[serde(rename = "rentals")]
    pub scale_outs: Vec<ScaleOut>,
    /// Machines whose release the cloud has confirmed but whose own records are not deleted yet. One
    /// change to this record can remove hundreds of machines.
    #[serde(rename = "gone", default, skip_serializing_if = "Option::is_none", with = "compact::names")]
    pub removed_machines: Option<Vec<Name>>,
}

//! The record of scale-outs in progress and of machines that are gone.

use serde::{Deserialize, Serialize};

use crate::assignment::Name;
use crate::compact;

/// A scale-out that has been requested and whose machines are not all up yet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ScaleOut {
    /// The id of the request, by which the cloud recognizes a repeated one.
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
    /// How many machines are requested.
    #[serde(rename = "n")]
    pub count: u32,
    /// When it was requested, in milliseconds of the time of day.
    #[serde(rename = "a")]
    pub requested_ms: u64,
    /// The machines that the cloud has granted; `None` until it has answered.
    #[serde(rename = "m", with = "compact::names")]
    pub machines: Option<Vec<Name>>,
}

/// What is changing about the set of machines.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetRecord {
    /// The scale-outs in progress.
    #[serde(rename = "rentals")]
    pub scale_outs: Vec<ScaleOut>,
    /// Machines whose release the cloud has confirmed, while their own records are still to be
    /// deleted. One change of this record removes hundreds of machines.
    #[serde(rename = "gone", default, skip_serializing_if = "Option::is_none", with = "compact::names")]
    pub removed_machines: Option<Vec<Name>>,
}

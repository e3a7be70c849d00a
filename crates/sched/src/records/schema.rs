//! Schema versions of the records.

use serde::{Deserialize, Serialize};

/// The schema version of the records that a controller supports. Each controller writes this record
/// under its name, and the record is never deleted. Releases with a schema older than
/// [`SCHEMA_VERSION`] do not write it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SchemaMarker {
    /// The schema version.
    #[serde(rename = "form")]
    pub schema_version: u32,
}

/// The schema version with pipelines and chunked records.
pub const SCHEMA_VERSION: u32 = 2;

/// The schema version of a controller that supports drains and has them enabled. Such a controller
/// places nothing on cordoned machines.
pub const DRAINS_SCHEMA_VERSION: u32 = 3;

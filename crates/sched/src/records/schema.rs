//! Versions of the schema of the records.

use serde::{Deserialize, Serialize};

/// The version of the records' schema that a controller knows. A controller leaves it under its
/// name for good. Versions before [`SCHEMA_VERSION`] do not write any.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SchemaMarker {
    /// The schema version.
    #[serde(rename = "form")]
    pub schema_version: u32,
}

/// The schema with pipelines and chunked records.
pub const SCHEMA_VERSION: u32 = 2;

/// The schema with drains, of a controller that has them enabled: it places nothing on cordoned
/// machines.
pub const DRAINS_SCHEMA_VERSION: u32 = 3;

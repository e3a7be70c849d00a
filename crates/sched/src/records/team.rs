//! The record of a team.

use serde::{Deserialize, Serialize};

/// Written by every placement that uses a team's quota. Placements are conditional on its version,
/// so that two of them cannot exceed the quota together.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamRecord {
    /// Counts the placements.
    pub placements: u64,
}

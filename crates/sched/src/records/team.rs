//! The record of a team.

use serde::{Deserialize, Serialize};

/// A record that is rewritten by every placement that uses the team's quota. Placements are
/// conditional on its version, so that concurrent placements cannot exceed the quota together.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamRecord {
    /// The number of placements.
    pub placements: u64,
}

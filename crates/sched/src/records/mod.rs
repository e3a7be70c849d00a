//! The records in the key-value store. They are the source of truth: a task is assigned to a
//! machine exactly as long as its job's record contains the assignment.

mod cluster_map;
mod failed_starts;
mod fleet;
mod job;
mod machine;
mod ranges;
mod schema;
mod team;
mod termination;

pub use crate::assignment::{Assignment, DesiredState, Name};
pub use cluster_map::{ClusterMap, Member};
pub use fleet::{FleetRecord, ScaleOut};
pub use job::{JobRecord, MAX_VACATED_MACHINES, Phase, Urgency};
pub use machine::{MachineRecord, MachineTypesRecord};
pub use ranges::Ranges;
pub use schema::{DRAINS_SCHEMA_VERSION, SCHEMA_VERSION, SchemaMarker};
pub use team::TeamRecord;
pub use termination::TerminationReason;

#[cfg(test)]
#[path = "../../tests/unit/records.rs"]
mod tests;

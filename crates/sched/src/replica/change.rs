//! Changes of records.

use crate::drain_records::{CordonFence, CordonRecord, DisruptionRecord, DrainRecord};
use crate::drains::CordonId;
use crate::records::{
    ClusterMap, FleetRecord, JobRecord, MachineRecord, MachineTypesRecord, Member, TeamRecord,
};

/// The change of one record; `None` in place of the record is its deletion.
#[derive(Debug, Clone)]
pub enum RecordChange {
    /// The job with this id.
    Job(String, Option<Box<JobRecord>>),
    /// The machine with this name.
    Machine(String, Option<MachineRecord>),
    /// The team, by its name as its key has it.
    Team(String, Option<TeamRecord>),
    /// The live controller with this name.
    Member(String, Option<Member>),
    /// The leader.
    Leader(Option<Member>),
    /// The cluster map.
    Map(Option<ClusterMap>),
    /// The machine types.
    Types(Option<MachineTypesRecord>),
    /// The scale-outs in progress and the machines that are gone.
    Fleet(Option<FleetRecord>),
    /// The controller of this name knows the records' schema of this version. The record lasts,
    /// whether the controller is live or not.
    SchemaMarker(String, Option<u32>),
    /// The drain with this name.
    Drain(String, Option<DrainRecord>),
    /// Some of the machines of a drain.
    Cordon(CordonId, Option<CordonRecord>),
    /// The fence that changes with every cordon.
    CordonFence(Option<CordonFence>),
    /// The voluntary disruptions of a team, by its name as its key has it.
    Disruptions(String, Option<DisruptionRecord>),
    /// A key that holds no record that this version knows.
    Other,
}

//! Changes to records.

use crate::drain_records::{CordonFence, CordonRecord, DisruptionRecord, DrainRecord};
use crate::drains::CordonId;
use crate::records::{
    ClusterMap, FleetRecord, JobRecord, MachineRecord, MachineTypesRecord, Member, TeamRecord,
};

/// A change to one record; `None` in place of the record means that it was deleted.
#[derive(Debug, Clone)]
pub enum RecordChange {
    /// The job with this id.
    Job(String, Option<Box<JobRecord>>),
    /// The machine with this name.
    Machine(String, Option<MachineRecord>),
    /// The team with this name, as encoded in its key.
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
    /// The schema version that the controller with this name supports. The record remains when the
    /// controller is no longer live.
    SchemaMarker(String, Option<u32>),
    /// The drain with this name.
    Drain(String, Option<DrainRecord>),
    /// A cordon: some of the machines of a drain.
    Cordon(CordonId, Option<CordonRecord>),
    /// The fence that changes with every change to the cordons.
    CordonFence(Option<CordonFence>),
    /// The voluntary disruptions of the team with this name, as encoded in its key.
    Disruptions(String, Option<DisruptionRecord>),
    /// A key whose kind of record is unknown to this release.
    Other,
}

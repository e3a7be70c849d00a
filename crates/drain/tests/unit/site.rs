//! Builds replicas of the records of a small site, for tests.

use sched::drain_records::{CordonFence, CordonRecord};
use sched::records::{Assignment, ClusterMap, DesiredState, JobRecord, Member};
use sched::replica::{RecordChange, Replica};
use wire::JobSpec;

pub use super::test_records::*;

/// A replica with machines of the given names and zones, all owned by one controller.
pub fn replica_with_machines(machines: &[(&str, &str)]) -> Replica {
    let mut replica = Replica::default();
    replica.apply(RecordChange::Types(Some(types())), 1);
    for (id, zone) in machines {
        replica.apply(RecordChange::Machine((*id).into(), Some(machine(zone))), 1);
    }
    let owner = Member { name: "n".into(), zone: "a".into(), incarnation: 1 };
    replica.apply(RecordChange::Map(Some(ClusterMap { epoch: 1, live: vec![owner] })), 1);
    replica
}

/// Adds a job whose tasks are assigned to machines.
pub fn add_job(replica: &mut Replica, spec: JobSpec, placements: &[(u32, &str)]) {
    let mut job = JobRecord::new(spec.clone(), None, 0);
    job.attempt = 1;
    let assignment = |(task, m): &(u32, &str)| Assignment {
        task: *task,
        attempt: 1,
        machine: (*m).into(),
        desired: DesiredState::Running,
    };
    job.assignments = placements.iter().map(assignment).collect();
    replica.apply(RecordChange::Job(spec.id, Some(Box::new(job))), 2);
}

/// Adds an active drain of these machines, with its cordon and the cordon fence.
pub fn start_drain(replica: &mut Replica, name: &str, machines: &[&str], version: u64) {
    let cordon = CordonRecord::new(machines.iter().map(|m| (*m).into()).collect());
    replica.apply(RecordChange::Cordon((name.into(), 0), Some(cordon)), version);
    replica.apply(RecordChange::CordonFence(Some(CordonFence { generation: version })), version);
    replica.apply(RecordChange::Drain(name.into(), Some(drain_record(machines.len() as u32))), version);
}

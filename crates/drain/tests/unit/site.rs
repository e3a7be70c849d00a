//! The mirror of a small site, for tests.

use sched::drain_records::{CordonFence, CordonRecord};
use sched::records::{Assignment, ClusterMap, DesiredState, JobRecord, Member};
use sched::replica::{RecordChange, Replica};
use wire::JobSpec;

pub use super::test_records::*;

/// Machines by names and zones, all owned by one controller.
pub fn replica_with_machines(machines: &[(&str, &str)]) -> Replica {
    let mut replica = Replica::default();
    replica.apply(RecordChange::Types(Some(types())), 1);
    for (id, zone) in machines {
        replica.apply(RecordChange::Machine((*id).into(), Some(machine(zone))), 1);
    }
    let me = Member { name: "n".into(), zone: "a".into(), incarnation: 1 };
    replica.apply(RecordChange::Map(Some(ClusterMap { epoch: 1, live: vec![me] })), 1);
    replica
}

/// A job with its tasks on machines.
pub fn add(replica: &mut Replica, spec: JobSpec, run: &[(u32, &str)]) {
    let mut job = JobRecord::new(spec.clone(), None, 0);
    job.attempt = 1;
    let place = |(task, m): &(u32, &str)| Assignment {
        task: *task,
        attempt: 1,
        machine: (*m).into(),
        desired: DesiredState::Running,
    };
    job.assignments = run.iter().map(place).collect();
    replica.apply(RecordChange::Job(spec.id, Some(Box::new(job))), 2);
}

/// An active drain of these machines.
pub fn start_drain(replica: &mut Replica, name: &str, machines: &[&str], version: u64) {
    let cordon = CordonRecord::new(machines.iter().map(|m| (*m).into()).collect());
    replica.apply(RecordChange::Cordon((name.into(), 0), Some(cordon)), version);
    replica.apply(RecordChange::CordonFence(Some(CordonFence { generation: version })), version);
    replica.apply(RecordChange::Drain(name.into(), Some(drain_record(machines.len() as u32))), version);
}

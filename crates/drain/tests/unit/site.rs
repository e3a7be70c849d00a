//! The mirror of a small site, for tests.

use sched::drain_records::{CordonFence, CordonRecord};
use sched::records::{Assignment, JobRecord, MapRecord, Member, Want};
use sched::world::{Change, World};
use wire::JobSpec;

pub use super::test_records::*;

/// Machines by names and zones, all owned by one controller.
pub fn world(machines: &[(&str, &str)]) -> World {
    let mut w = World::default();
    w.apply(Change::Types(Some(types())), 1);
    for (id, zone) in machines {
        w.apply(Change::Machine((*id).into(), Some(machine(zone))), 1);
    }
    let me = Member { name: "n".into(), zone: "a".into(), incarnation: 1 };
    w.apply(Change::Map(Some(MapRecord { epoch: 1, live: vec![me] })), 1);
    w
}

/// A job with its tasks on machines.
pub fn add(w: &mut World, spec: JobSpec, run: &[(u32, &str)]) {
    let mut job = JobRecord::new(spec.clone(), None, 0);
    job.attempt = 1;
    let place = |(task, m): &(u32, &str)| Assignment {
        task: *task,
        attempt: 1,
        machine: (*m).into(),
        want: Want::Run,
    };
    job.run = run.iter().map(place).collect();
    w.apply(Change::Job(spec.id, Some(Box::new(job))), 2);
}

/// An active drain of these machines.
pub fn start_drain(w: &mut World, name: &str, machines: &[&str], version: u64) {
    let cordon = CordonRecord::new(machines.iter().map(|m| (*m).into()).collect());
    w.apply(Change::Cordon((name.into(), 0), Some(cordon)), version);
    w.apply(Change::CordonFence(Some(CordonFence { generation: version })), version);
    w.apply(Change::Drain(name.into(), Some(drain_record(machines.len() as u32))), version);
}

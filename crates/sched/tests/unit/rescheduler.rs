use super::*;
use crate::placement::tests::{add_job, inventory, replica_with, spec};
use crate::records::{DesiredState, JobRecord};

fn crowded(kind: JobKind, tasks: u32) -> Replica {
    let mut w = replica_with(&[("a1", "m", "a", false), ("a2", "m", "a", false)]);
    let run: Vec<(u32, &str)> = (0..tasks).map(|t| (t, "a1")).collect();
    add_job(&mut w, spec("j-1", kind, tasks), &run);
    w
}

#[test]
fn only_services_with_replicas_move_and_only_past_the_threshold() {
    let policy = Policy::default();
    let scan = |w: &Replica| find_evictions(w, &inventory(w), &policy, 1_000_000).len();
    assert_eq!(scan(&crowded(JobKind::Service, 2)), 1);
    assert_eq!(scan(&crowded(JobKind::Service, 1)), 0, "single replicas stay put");
    assert_eq!(scan(&crowded(JobKind::Array, 2)), 0);
    assert_eq!(scan(&crowded(JobKind::Gang, 2)), 0);
    let mut even = replica_with(&[("a1", "m", "a", false), ("a2", "m", "a", false)]);
    add_job(&mut even, spec("j-1", JobKind::Service, 3), &[(0, "a1"), (1, "a1"), (2, "a2")]);
    assert_eq!(scan(&even), 0, "a quarter more is below the threshold");
}

#[test]
fn services_leave_machines_with_gpus_once_there_is_other_capacity() {
    let policy = Policy::default();
    let mut w = replica_with(&[("g1", "g", "a", false), ("g2", "g", "a", false), ("a1", "m", "a", false)]);
    let s = spec("j-1", JobKind::Service, 3);
    add_job(&mut w, s.clone(), &[(0, "g1"), (1, "g1"), (2, "g2")]);
    let found = find_evictions(&w, &inventory(&w), &policy, 1_000_000);
    assert_eq!(
        found.iter().map(|e| (e.task, e.reason)).collect::<Vec<_>>(),
        [(2, "holds a machine with GPUs")]
    );
    let full: Vec<(u32, &str)> = (0..4).map(|t| (t, "a1")).collect();
    add_job(&mut w, spec("j-2", JobKind::Array, 4), &full);
    let mut gang = spec("j-3", JobKind::Gang, 1);
    (gang.cpus, gang.gpus) = (14.0, 2.0);
    add_job(&mut w, gang, &[]);
    let found = find_evictions(&w, &inventory(&w), &policy, 1_000_000);
    assert_eq!(found.len(), 1, "g1 is lost to GPU jobs anyway");
    add_job(&mut w, s, &[(0, "g1"), (1, "g1"), (2, "a1")]);
    assert!(find_evictions(&w, &inventory(&w), &policy, 1_000_000).is_empty(), "no better room");
}

#[test]
fn an_eviction_takes_the_budget_until_its_own_refill() {
    let w = crowded(JobKind::Service, 2);
    let policy = Policy::default();
    let found = find_evictions(&w, &inventory(&w), &policy, 1_000_000);
    let mut job: JobRecord = w.jobs["j-1"].value.as_ref().clone();
    evict(&mut job, &found[0], &policy, 1_000_000);
    assert_eq!(job.assignments.iter().filter(|a| a.desired == DesiredState::Stopped).count(), 1);
    assert_eq!(job.avoided_machines, [("a1".to_owned(), 1_300_000)]);
    let refills: Vec<u64> = (0..20).map(|n| refill_ms(&format!("j-{n:06}"), &policy)).collect();
    assert!(refills.iter().all(|r| (60_000..75_000).contains(r)));
    assert!(refills.iter().collect::<std::collections::BTreeSet<_>>().len() > 10, "refills are staggered");
    // All replicas but one stay up.
    let mut w2 = replica_with(&[("a1", "m", "a", false), ("a2", "m", "a", false)]);
    job.last_eviction_ms = 0;
    w2.apply(crate::replica::RecordChange::Job("j-1".into(), Some(Box::new(job))), 5);
    assert!(find_evictions(&w2, &inventory(&w2), &policy, 1_000_000).is_empty());
}

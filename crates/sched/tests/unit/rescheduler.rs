use super::*;
use crate::placement::tests::{add_job, inventory, replica_with, spec};
use crate::records::{DesiredState, JobRecord};

fn crowded_replica(kind: JobKind, tasks: u32) -> Replica {
    let mut replica = replica_with(&[("a1", "m", "a", false), ("a2", "m", "a", false)]);
    let assignments: Vec<(u32, &str)> = (0..tasks).map(|task| (task, "a1")).collect();
    add_job(&mut replica, spec("j-1", kind, tasks), &assignments);
    replica
}

#[test]
fn only_replicated_services_move_and_only_past_the_threshold() {
    let policy = Policy::default();
    let eviction_count =
        |replica: &Replica| find_evictions(replica, &inventory(replica), &policy, 1_000_000).len();
    assert_eq!(eviction_count(&crowded_replica(JobKind::Service, 2)), 1);
    assert_eq!(
        eviction_count(&crowded_replica(JobKind::Service, 1)),
        0,
        "single replicas are not replica_after_eviction"
    );
    assert_eq!(eviction_count(&crowded_replica(JobKind::Array, 2)), 0);
    assert_eq!(eviction_count(&crowded_replica(JobKind::Gang, 2)), 0);
    let mut balanced = replica_with(&[("a1", "m", "a", false), ("a2", "m", "a", false)]);
    add_job(&mut balanced, spec("j-1", JobKind::Service, 3), &[(0, "a1"), (1, "a1"), (2, "a2")]);
    assert_eq!(eviction_count(&balanced), 0, "a quarter more is below the threshold");
}

#[test]
fn services_leave_gpu_machines_once_there_is_other_capacity() {
    let policy = Policy::default();
    let mut replica =
        replica_with(&[("g1", "g", "a", false), ("g2", "g", "a", false), ("a1", "m", "a", false)]);
    let service = spec("j-1", JobKind::Service, 3);
    add_job(&mut replica, service.clone(), &[(0, "g1"), (1, "g1"), (2, "g2")]);
    let found = find_evictions(&replica, &inventory(&replica), &policy, 1_000_000);
    assert_eq!(
        found.iter().map(|eviction| (eviction.task, eviction.reason)).collect::<Vec<_>>(),
        [(2, "holds a machine with GPUs")]
    );
    let assignments: Vec<(u32, &str)> = (0..4).map(|t| (t, "a1")).collect();
    add_job(&mut replica, spec("j-2", JobKind::Array, 4), &assignments);
    let mut gang = spec("j-3", JobKind::Gang, 1);
    (gang.cpus, gang.gpus) = (14.0, 2.0);
    add_job(&mut replica, gang, &[]);
    let found = find_evictions(&replica, &inventory(&replica), &policy, 1_000_000);
    assert_eq!(found.len(), 1, "g1 cannot hold the GPU job in any case");
    add_job(&mut replica, service, &[(0, "g1"), (1, "g1"), (2, "a1")]);
    assert!(
        find_evictions(&replica, &inventory(&replica), &policy, 1_000_000).is_empty(),
        "no better machine has capacity"
    );
}

#[test]
fn an_eviction_stops_one_replica_and_refills_are_staggered() {
    let replica = crowded_replica(JobKind::Service, 2);
    let policy = Policy::default();
    let found = find_evictions(&replica, &inventory(&replica), &policy, 1_000_000);
    let mut job: JobRecord = replica.jobs["j-1"].value.as_ref().clone();
    evict(&mut job, &found[0], &policy, 1_000_000);
    assert_eq!(job.assignments.iter().filter(|a| a.desired == DesiredState::Stopped).count(), 1);
    assert_eq!(job.avoided_machines, [("a1".to_owned(), 1_300_000)]);
    let refills: Vec<u64> = (0..20).map(|n| refill_ms(&format!("j-{n:06}"), &policy)).collect();
    assert!(refills.iter().all(|r| (60_000..75_000).contains(r)));
    assert!(refills.iter().collect::<std::collections::BTreeSet<_>>().len() > 10, "refills are staggered");
    // All replicas but one stay up: no second eviction while one replica is stopping.
    let mut replica_after_eviction = replica_with(&[("a1", "m", "a", false), ("a2", "m", "a", false)]);
    job.last_eviction_ms = 0;
    replica_after_eviction.apply(crate::replica::RecordChange::Job("j-1".into(), Some(Box::new(job))), 5);
    assert!(
        find_evictions(&replica_after_eviction, &inventory(&replica_after_eviction), &policy, 1_000_000)
            .is_empty()
    );
}

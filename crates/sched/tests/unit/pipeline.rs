use std::collections::BTreeSet;

use wire::{JobKind, JobSpec, JobState, Priority};

use crate::placement::tests::spec;
use crate::records::*;
use crate::replica::{RecordChange, Replica};

fn apply_job(replica: &mut Replica, id: &str, record: JobRecord) {
    replica.revision += 1;
    replica.apply(RecordChange::Job(id.into(), Some(Box::new(record))), replica.revision);
}

fn job_spec(id: &str, edit: impl Fn(&mut JobSpec)) -> JobSpec {
    let mut job_spec = spec(id, JobKind::Array, 1);
    edit(&mut job_spec);
    job_spec
}

fn submit(replica: &mut Replica, spec: JobSpec, dependencies: &[&str], at_ms: u64) {
    let id = spec.id.clone();
    let dependencies: Vec<Name> = dependencies.iter().map(|id| (*id).into()).collect();
    let record = match dependencies.is_empty() {
        true => JobRecord::new(spec, None, at_ms),
        false => JobRecord::waiting(spec, None, at_ms, dependencies),
    };
    apply_job(replica, &id, record);
}

fn finish(replica: &mut Replica, id: &str, phase: Phase, at_ms: u64) {
    let mut record = replica.jobs[id].value.as_ref().clone();
    (record.phase, record.ended_ms) = (phase, at_ms);
    record.compact_if_final();
    apply_job(replica, id, record);
}

/// When a job counts as submitted, or `None` if it may not start yet.
fn active_since_ms(replica: &Replica, id: &str) -> Option<u64> {
    let job = &replica.jobs[id].value;
    assert_eq!(job.phase == Phase::Active, replica.open_job_ids.contains(id));
    (job.phase == Phase::Active).then_some(job.submitted_ms)
}

/// A replica that reads the same records in another order, which depends on the seed.
fn replay_shuffled(replica: &Replica, records: &[(String, JobRecord)], seed: usize) -> Replica {
    let mut order: Vec<usize> = (0..records.len()).collect();
    order.sort_by_key(|i| (i * 7919 + seed * 104_729) % 1009);
    let mut replayed = Replica::default();
    for i in order {
        let (id, record) = &records[i];
        replayed.apply(RecordChange::Job(id.clone(), Some(Box::new(record.clone()))), 1);
    }
    replayed.revision = replica.revision;
    replayed
}

#[test]
fn last_step_of_a_diamond_starts_when_both_its_dependencies_are_done() {
    let mut replica = Replica::default();
    submit(&mut replica, job_spec("j-0", |_| {}), &[], 10);
    submit(&mut replica, job_spec("j-1", |spec| spec.team = "u".into()), &["j-0"], 11);
    submit(&mut replica, job_spec("j-2", |_| {}), &["j-0"], 12);
    submit(&mut replica, job_spec("j-3", |spec| spec.deadline_s = Some(60.0)), &["j-1", "j-2"], 13);
    assert_eq!(
        (
            active_since_ms(&replica, "j-0"),
            active_since_ms(&replica, "j-1"),
            active_since_ms(&replica, "j-3")
        ),
        (Some(10), None, None)
    );
    finish(&mut replica, "j-0", Phase::Done, 500);
    assert_eq!(
        (
            active_since_ms(&replica, "j-1"),
            active_since_ms(&replica, "j-2"),
            active_since_ms(&replica, "j-3")
        ),
        (Some(500), Some(500), None)
    );
    finish(&mut replica, "j-1", Phase::Done, 900);
    assert_eq!(active_since_ms(&replica, "j-3"), None);
    finish(&mut replica, "j-2", Phase::Done, 800);
    assert_eq!(active_since_ms(&replica, "j-3"), Some(900), "counts from when the last dependency was done");
    let last = &replica.jobs["j-3"].value;
    assert_eq!(last.deadline_ms(), Some(60_013), "the deadline still counts from the submission");
    assert_eq!(last.last_eviction_ms, 900);
    // A job that is submitted after all its dependencies are done.
    submit(&mut replica, job_spec("j-4", |_| {}), &["j-1", "j-2"], 2000);
    assert_eq!(active_since_ms(&replica, "j-4"), Some(2000));
}

#[test]
fn pipelines_are_rebuilt_from_the_records_in_any_order() {
    let mut replica = Replica::default();
    let mut records: Vec<(String, JobRecord)> = Vec::new();
    for n in 0..40usize {
        let dependencies: Vec<Name> = (0..n)
            .filter(|k| (n * 31 + k * 17) % 11 == 0)
            .map(|k| format!("j-{k}").as_str().into())
            .collect();
        let mut record = match dependencies.is_empty() {
            true => JobRecord::new(spec(&format!("j-{n}"), JobKind::Array, 1), None, n as u64),
            false => {
                JobRecord::waiting(spec(&format!("j-{n}"), JobKind::Array, 1), None, n as u64, dependencies)
            }
        };
        if n % 5 == 2 && record.phase == Phase::Active {
            (record.phase, record.ended_ms) = (Phase::Done, 100 + n as u64);
        } else if n % 13 == 3 {
            record.phase = Phase::Cancelled;
        }
        record.compact_if_final();
        apply_job(&mut replica, &format!("j-{n}"), record.clone());
        records.push((format!("j-{n}"), record));
    }
    for seed in 0..20 {
        let replayed = replay_shuffled(&replica, &records, seed);
        for (id, _) in &records {
            assert_eq!(replayed.state_of(id), replica.state_of(id), "{id}");
            assert_eq!(active_since_ms(&replayed, id), active_since_ms(&replica, id), "{id}");
        }
    }
    assert!(replica.pipelines.cancelled_by_dependency().count() > 0 && replica.open_job_ids.len() > 3);
}

#[test]
fn chain_of_thousands_is_cancelled_when_its_first_or_a_middle_job_is() {
    for at in [0, 2500] {
        let mut replica = Replica::default();
        submit(&mut replica, job_spec("j-0", |_| {}), &[], 0);
        for n in 1..5000 {
            let dependency = format!("j-{}", n - 1);
            submit(&mut replica, job_spec(&format!("j-{n}"), |_| {}), &[&dependency], n);
        }
        finish(&mut replica, &format!("j-{at}"), Phase::Cancelled, 0);
        assert_eq!(replica.state_of("j-4999"), Some(JobState::Cancelled));
        let first_state = if at == 0 { JobState::Cancelled } else { JobState::Queued };
        assert_eq!(replica.state_of("j-0"), Some(first_state));
        assert_eq!(replica.pipelines.cancelled_by_dependency().count(), 4999 - at);
        // The records of the cancelled jobs are updated one by one, in any order. The states shown do
        // not change.
        let cancelled: Vec<Name> = replica.pipelines.cancelled_by_dependency().cloned().collect();
        for id in cancelled.iter().rev().step_by(2).chain(cancelled.iter()) {
            finish(&mut replica, id, Phase::Cancelled, 0);
            assert_eq!(replica.state_of(id), Some(JobState::Cancelled));
        }
        assert_eq!(replica.pipelines.cancelled_by_dependency().count(), 0);
        assert_eq!(replica.state_of("j-4999"), Some(JobState::Cancelled));
    }
}

#[test]
fn jobs_submitted_while_a_dependency_is_cancelled_are_cancelled_too() {
    let mut replica = Replica::default();
    submit(&mut replica, job_spec("j-0", |_| {}), &[], 0);
    submit(&mut replica, job_spec("j-1", |_| {}), &["j-0"], 0);
    finish(&mut replica, "j-0", Phase::Cancelled, 0);
    submit(&mut replica, job_spec("j-2", |_| {}), &["j-0"], 0);
    submit(&mut replica, job_spec("j-3", |_| {}), &["j-1"], 0);
    for id in ["j-1", "j-2", "j-3"] {
        assert_eq!(replica.state_of(id), Some(JobState::Cancelled), "{id}");
    }
    // If a job is done before a cancellation takes effect, its dependents are not cancelled.
    submit(&mut replica, job_spec("j-4", |_| {}), &[], 0);
    submit(&mut replica, job_spec("j-5", |_| {}), &["j-4"], 0);
    finish(&mut replica, "j-4", Phase::Done, 7);
    assert_eq!(
        (replica.state_of("j-5"), active_since_ms(&replica, "j-5")),
        (Some(JobState::Queued), Some(7))
    );
}

#[test]
fn a_step_is_as_urgent_as_its_dependents_until_they_are_cancelled() {
    let mut replica = Replica::default();
    let step = |id: &str, priority, deadline| {
        job_spec(id, |spec| {
            (spec.priority, spec.deadline_s, spec.estimated_runtime_s) = (priority, deadline, 20.0)
        })
    };
    submit(&mut replica, step("j-0", Priority::Low, None), &[], 0);
    submit(&mut replica, step("j-1", Priority::Low, None), &["j-0"], 0);
    assert_eq!(replica.jobs["j-0"].value.priority(), Some(Priority::Low));
    submit(&mut replica, step("j-2", Priority::High, Some(100.0)), &["j-1"], 0);
    let urgency_of = |replica: &Replica, id: &str| {
        (replica.jobs[id].value.priority(), replica.jobs[id].value.deadline_ms())
    };
    // Every step takes 20 s and 5 s of overhead off the deadline.
    assert_eq!(urgency_of(&replica, "j-1"), (Some(Priority::High), Some(75_000)));
    assert_eq!(urgency_of(&replica, "j-0"), (Some(Priority::High), Some(50_000)));
    submit(&mut replica, step("j-3", Priority::Production, Some(10.0)), &["j-0"], 0);
    assert_eq!(urgency_of(&replica, "j-0"), (Some(Priority::Production), Some(0)));
    // A newly written record lacks the inherited urgency, which is kept.
    let mut record = replica.jobs["j-0"].value.as_ref().clone();
    record.urgency = Urgency::default();
    apply_job(&mut replica, "j-0", record);
    assert_eq!(urgency_of(&replica, "j-0"), (Some(Priority::Production), Some(0)));
    finish(&mut replica, "j-3", Phase::Cancelled, 0);
    assert_eq!(urgency_of(&replica, "j-0"), (Some(Priority::High), Some(50_000)));
    finish(&mut replica, "j-2", Phase::Cancelled, 0);
    assert_eq!(urgency_of(&replica, "j-0"), (Some(Priority::Low), None));
}

/// A chain of a thousand steps, each of which has an earlier deadline than the steps before it.
#[test]
fn urgency_propagates_up_a_long_chain() {
    let mut replica = Replica::default();
    submit(&mut replica, job_spec("j-0", |_| {}), &[], 0);
    for n in 1..1000 {
        let dependency = format!("j-{}", n - 1);
        let deadline = |spec: &mut JobSpec| spec.deadline_s = Some(1e6 - 10.0 * f64::from(n));
        submit(&mut replica, job_spec(&format!("j-{n}"), deadline), &[&dependency], 0);
    }
    assert!(replica.jobs["j-0"].value.deadline_ms() < Some(1_000_000_000 - 9_990_000));
    for n in 0..1000u64 {
        assert_eq!(replica.open_job_ids.iter().collect::<BTreeSet<_>>(), [&format!("j-{n}")].into());
        finish(&mut replica, &format!("j-{n}"), Phase::Done, n * 10);
    }
    assert!(replica.open_job_ids.is_empty());
}

/// Dependency lists of any length and form of ids are decoded without loss.
#[test]
fn long_dependency_lists_are_stored_compactly() {
    let dependencies: Vec<Name> =
        (0..6000).map(|n| format!("j-{:06}", 1000 + n * 3).as_str().into()).collect();
    let record = JobRecord::waiting(spec("j-1", JobKind::Array, 1), None, 0, dependencies.clone());
    let json = serde_json::to_string(&record).expect("encodes");
    assert!(json.len() < 7000, "{}", json.len());
    assert_eq!(serde_json::from_str::<JobRecord>(&json).expect("decodes").dependencies, dependencies);
    let unusual_ids: Vec<Name> =
        ["j-0", "j-000000000000000009", "j-999999999999999999"].map(Into::into).to_vec();
    let record = JobRecord::waiting(spec("j-1", JobKind::Array, 1), None, 0, unusual_ids.clone());
    let bytes = rmp_serde::to_vec_named(&record).expect("encodes");
    assert_eq!(rmp_serde::from_slice::<JobRecord>(&bytes).expect("decodes").dependencies, unusual_ids);
}

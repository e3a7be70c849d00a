use std::collections::BTreeSet;

use wire::{JobKind, JobSpec, JobState, Priority};

use crate::placement::tests::spec;
use crate::records::*;
use crate::replica::{RecordChange, Replica};

fn put(w: &mut Replica, id: &str, record: JobRecord) {
    w.revision += 1;
    w.apply(RecordChange::Job(id.into(), Some(Box::new(record))), w.revision);
}

fn of(id: &str, edit: impl Fn(&mut JobSpec)) -> JobSpec {
    let mut s = spec(id, JobKind::Array, 1);
    edit(&mut s);
    s
}

fn job(w: &mut Replica, spec: JobSpec, needs: &[&str], at_ms: u64) {
    let id = spec.id.clone();
    let needs: Vec<Name> = needs.iter().map(|n| (*n).into()).collect();
    let record = match needs.is_empty() {
        true => JobRecord::new(spec, None, at_ms),
        false => JobRecord::waiting(spec, None, at_ms, needs),
    };
    put(w, &id, record);
}

fn finish(w: &mut Replica, id: &str, phase: Phase, at_ms: u64) {
    let mut record = w.jobs[id].value.as_ref().clone();
    (record.phase, record.ended_ms) = (phase, at_ms);
    record.compact_if_final();
    put(w, id, record);
}

/// Whether a job may start, and from when its times count.
fn begun(w: &Replica, id: &str) -> Option<u64> {
    let j = &w.jobs[id].value;
    assert_eq!(j.phase == Phase::Active, w.open_job_ids.contains(id));
    (j.phase == Phase::Active).then_some(j.submitted_ms)
}

/// All that is derived follows from the records, in whatever order they are read.
fn read_anew(w: &Replica, written: &[(String, JobRecord)], seed: usize) -> Replica {
    let mut order: Vec<usize> = (0..written.len()).collect();
    order.sort_by_key(|i| (i * 7919 + seed * 104_729) % 1009);
    let mut again = Replica::default();
    for i in order {
        let (id, record) = &written[i];
        again.apply(RecordChange::Job(id.clone(), Some(Box::new(record.clone()))), 1);
    }
    again.revision = w.revision;
    again
}

#[test]
fn the_last_step_of_a_diamond_begins_when_both_before_it_are_done() {
    let mut w = Replica::default();
    job(&mut w, of("j-0", |_| {}), &[], 10);
    job(&mut w, of("j-1", |s| s.team = "u".into()), &["j-0"], 11);
    job(&mut w, of("j-2", |_| {}), &["j-0"], 12);
    job(&mut w, of("j-3", |s| s.deadline_s = Some(60.0)), &["j-1", "j-2"], 13);
    assert_eq!((begun(&w, "j-0"), begun(&w, "j-1"), begun(&w, "j-3")), (Some(10), None, None));
    finish(&mut w, "j-0", Phase::Done, 500);
    assert_eq!((begun(&w, "j-1"), begun(&w, "j-2"), begun(&w, "j-3")), (Some(500), Some(500), None));
    finish(&mut w, "j-1", Phase::Done, 900);
    assert_eq!(begun(&w, "j-3"), None);
    finish(&mut w, "j-2", Phase::Done, 800);
    assert_eq!(begun(&w, "j-3"), Some(900), "from when the last of them was done");
    let last = &w.jobs["j-3"].value;
    assert_eq!(last.deadline_ms(), Some(60_013), "but the deadline from the submission");
    assert_eq!(last.last_eviction_ms, 900);
    // Submitted when all was over, and naming nothing that still runs.
    job(&mut w, of("j-4", |_| {}), &["j-1", "j-2"], 2000);
    assert_eq!(begun(&w, "j-4"), Some(2000));
}

#[test]
fn pipelines_are_rebuilt_from_the_records_in_any_order() {
    let mut w = Replica::default();
    let mut written: Vec<(String, JobRecord)> = Vec::new();
    for n in 0..40usize {
        let needs: Vec<Name> = (0..n)
            .filter(|k| (n * 31 + k * 17) % 11 == 0)
            .map(|k| format!("j-{k}").as_str().into())
            .collect();
        let mut record = match needs.is_empty() {
            true => JobRecord::new(spec(&format!("j-{n}"), JobKind::Array, 1), None, n as u64),
            false => JobRecord::waiting(spec(&format!("j-{n}"), JobKind::Array, 1), None, n as u64, needs),
        };
        if n % 5 == 2 && record.phase == Phase::Active {
            (record.phase, record.ended_ms) = (Phase::Done, 100 + n as u64);
        } else if n % 13 == 3 {
            record.phase = Phase::Cancelled;
        }
        record.compact_if_final();
        put(&mut w, &format!("j-{n}"), record.clone());
        written.push((format!("j-{n}"), record));
    }
    for seed in 0..20 {
        let again = read_anew(&w, &written, seed);
        for (id, _) in &written {
            assert_eq!(again.state_of(id), w.state_of(id), "{id}");
            assert_eq!(begun(&again, id), begun(&w, id), "{id}");
        }
    }
    assert!(w.pipelines.cancelled_by_dependency().count() > 0 && w.open_job_ids.len() > 3);
}

#[test]
fn a_chain_of_thousands_is_cancelled_with_its_first_or_a_middle_job() {
    for at in [0, 2500] {
        let mut w = Replica::default();
        job(&mut w, of("j-0", |_| {}), &[], 0);
        for n in 1..5000 {
            let need = format!("j-{}", n - 1);
            job(&mut w, of(&format!("j-{n}"), |_| {}), &[&need], n);
        }
        finish(&mut w, &format!("j-{at}"), Phase::Cancelled, 0);
        assert_eq!(w.state_of("j-4999"), Some(JobState::Cancelled));
        let before = if at == 0 { JobState::Cancelled } else { JobState::Queued };
        assert_eq!(w.state_of("j-0"), Some(before));
        assert_eq!(w.pipelines.cancelled_by_dependency().count(), 4999 - at);
        // The records follow one by one, in any order; what is told does not change.
        let all: Vec<Name> = w.pipelines.cancelled_by_dependency().cloned().collect();
        for id in all.iter().rev().step_by(2).chain(all.iter()) {
            finish(&mut w, id, Phase::Cancelled, 0);
            assert_eq!(w.state_of(id), Some(JobState::Cancelled));
        }
        assert_eq!(w.pipelines.cancelled_by_dependency().count(), 0);
        assert_eq!(w.state_of("j-4999"), Some(JobState::Cancelled));
    }
}

#[test]
fn jobs_submitted_while_a_dependency_is_cancelled_are_cancelled_too() {
    let mut w = Replica::default();
    job(&mut w, of("j-0", |_| {}), &[], 0);
    job(&mut w, of("j-1", |_| {}), &["j-0"], 0);
    finish(&mut w, "j-0", Phase::Cancelled, 0);
    job(&mut w, of("j-2", |_| {}), &["j-0"], 0);
    job(&mut w, of("j-3", |_| {}), &["j-1"], 0);
    for id in ["j-1", "j-2", "j-3"] {
        assert_eq!(w.state_of(id), Some(JobState::Cancelled), "{id}");
    }
    // A cancellation that was answered with `done` leaves those after it alone.
    job(&mut w, of("j-4", |_| {}), &[], 0);
    job(&mut w, of("j-5", |_| {}), &["j-4"], 0);
    finish(&mut w, "j-4", Phase::Done, 7);
    assert_eq!((w.state_of("j-5"), begun(&w, "j-5")), (Some(JobState::Queued), Some(7)));
}

#[test]
fn a_step_is_as_urgent_as_its_dependents_until_they_are_cancelled() {
    let mut w = Replica::default();
    let step = |id: &str, priority, due| {
        of(id, |s| (s.priority, s.deadline_s, s.estimated_runtime_s) = (priority, due, 20.0))
    };
    job(&mut w, step("j-0", Priority::Low, None), &[], 0);
    job(&mut w, step("j-1", Priority::Low, None), &["j-0"], 0);
    assert_eq!(w.jobs["j-0"].value.priority(), Some(Priority::Low));
    job(&mut w, step("j-2", Priority::High, Some(100.0)), &["j-1"], 0);
    let of = |w: &Replica, id: &str| (w.jobs[id].value.priority(), w.jobs[id].value.deadline_ms());
    // Less 20 s and a few more for every step between.
    assert_eq!(of(&w, "j-1"), (Some(Priority::High), Some(75_000)));
    assert_eq!(of(&w, "j-0"), (Some(Priority::High), Some(50_000)));
    job(&mut w, step("j-3", Priority::Production, Some(10.0)), &["j-0"], 0);
    assert_eq!(of(&w, "j-0"), (Some(Priority::Production), Some(0)));
    // What a round writes does not know of it; it stays.
    let mut record = w.jobs["j-0"].value.as_ref().clone();
    record.urgency = Urgency::default();
    put(&mut w, "j-0", record);
    assert_eq!(of(&w, "j-0"), (Some(Priority::Production), Some(0)));
    finish(&mut w, "j-3", Phase::Cancelled, 0);
    assert_eq!(of(&w, "j-0"), (Some(Priority::High), Some(50_000)));
    finish(&mut w, "j-2", Phase::Cancelled, 0);
    assert_eq!(of(&w, "j-0"), (Some(Priority::Low), None));
}

/// A thousand steps, each added at the end and more urgent than those before.
#[test]
fn urgency_goes_up_a_long_chain() {
    let mut w = Replica::default();
    job(&mut w, of("j-0", |_| {}), &[], 0);
    for n in 1..1000 {
        let need = format!("j-{}", n - 1);
        let due = |s: &mut JobSpec| s.deadline_s = Some(1e6 - 10.0 * f64::from(n));
        job(&mut w, of(&format!("j-{n}"), due), &[&need], 0);
    }
    assert!(w.jobs["j-0"].value.deadline_ms() < Some(1_000_000_000 - 9_990_000));
    for n in 0..1000u64 {
        assert_eq!(w.open_job_ids.iter().collect::<BTreeSet<_>>(), [&format!("j-{n}")].into());
        finish(&mut w, &format!("j-{n}"), Phase::Done, n * 10);
    }
    assert!(w.open_job_ids.is_empty());
}

/// Needs lists of any length and form keep their members.
#[test]
fn long_lists_of_dependencies_are_short_in_the_record() {
    let needs: Vec<Name> = (0..6000).map(|n| format!("j-{:06}", 1000 + n * 3).as_str().into()).collect();
    let record = JobRecord::waiting(spec("j-1", JobKind::Array, 1), None, 0, needs.clone());
    let json = serde_json::to_string(&record).expect("encodes");
    assert!(json.len() < 7000, "{}", json.len());
    assert_eq!(serde_json::from_str::<JobRecord>(&json).expect("decodes").dependencies, needs);
    let odd: Vec<Name> = ["j-0", "j-000000000000000009", "j-999999999999999999"].map(Into::into).to_vec();
    let record = JobRecord::waiting(spec("j-1", JobKind::Array, 1), None, 0, odd.clone());
    let bytes = rmp_serde::to_vec_named(&record).expect("encodes");
    assert_eq!(rmp_serde::from_slice::<JobRecord>(&bytes).expect("decodes").dependencies, odd);
}

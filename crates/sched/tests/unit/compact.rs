use super::*;
use crate::records::{Assignment, DesiredState, JobRecord, Ranges};
use wire::JobKind;

/// Names of any form and the records of large arrays are decoded without loss.
#[test]
fn scattered_arrays_on_many_machines_are_small_and_decode_unchanged() {
    let mut job = JobRecord::new(crate::placement::tests::spec("j-000412", JobKind::Array, 1800), None, 0);
    // Every third task is done; the others are scattered over 157 machines.
    (0..1800).filter(|t| t % 3 == 0).for_each(|t| job.done.insert(t));
    job.assignments = (0..1800u32)
        .filter(|t| t % 3 != 0)
        .map(|task| Assignment {
            task,
            attempt: 1 + u64::from(task % 7 == 0),
            machine: format!("host-{:06}", 100 + (task * 7919) % 157).into(),
            desired: DesiredState::Running,
        })
        .collect();
    job.assignments[3].machine = "left".into();
    job.assignments[4].machine = "00000000000000000012".into();
    job.assignments[5].desired = DesiredState::Stopped;
    let bytes = rmp_serde::to_vec_named(&job).expect("encodes");
    let decoded: JobRecord = rmp_serde::from_slice(&bytes).expect("decodes");
    assert_eq!(decoded, job);
    let json = serde_json::to_string(&job).expect("encodes");
    assert!(json.len() < 6500, "{} bytes", json.len());
}

#[test]
fn consecutive_names_of_a_scale_out_take_one_character_each() {
    let scale_out = crate::records::ScaleOut {
        request: "n-1".into(),
        machine_type: "m".into(),
        zone: "a".into(),
        spot: false,
        count: 50,
        requested_ms: 0,
        machines: Some((200..250).map(|n| format!("host-{n:06}").into()).collect()),
    };
    let json = serde_json::to_string(&scale_out).expect("encodes");
    assert!(json.len() < 140, "{json}");
    assert_eq!(serde_json::from_str::<crate::records::ScaleOut>(&json).expect("decodes"), scale_out);
    let without_machines = crate::records::ScaleOut { machines: None, ..scale_out };
    let bytes = rmp_serde::to_vec_named(&without_machines).expect("encodes");
    assert_eq!(rmp_serde::from_slice::<crate::records::ScaleOut>(&bytes).expect("decodes"), without_machines);
}

#[test]
fn done_tasks_take_at_most_one_bit_each() {
    let mut ranges = Ranges::all(5);
    (7..100_000).step_by(2).for_each(|n| ranges.insert(n));
    let (prefix, bits): (u32, String) = ranges.clone().into();
    assert_eq!((prefix, bits.len()), (5, 99_995usize.div_ceil(6)));
    assert_eq!(Ranges::from((prefix, bits)), ranges);
}

/// The record of a gang with one or two tasks on each machine of the largest fleet fits into the
/// smallest value size that sites have.
#[test]
fn gang_on_two_thousand_machines_fits_into_one_value() {
    let spec = crate::placement::tests::spec("j-000412", JobKind::Gang, 3000);
    let mut job = JobRecord::new(spec, None, 1_796_169_600_000);
    // Some machines are skipped because other jobs use them.
    let machine_of = |task: u32| format!("host-{:06}", task * 2 / 3 + task / 500 * 37).into();
    let assignment =
        |task| Assignment { task, attempt: 12, machine: machine_of(task), desired: DesiredState::Running };
    job.assignments = (0..3000).map(assignment).collect();
    let machines: std::collections::BTreeSet<_> = job.assignments.iter().map(|a| &a.machine).collect();
    assert!(machines.len() >= 2000, "{}", machines.len());
    let json = serde_json::to_string(&job).expect("encodes");
    assert!(json.len() < 8 * 1024 - 500, "{} bytes", json.len());
    assert_eq!(serde_json::from_str::<JobRecord>(&json).expect("decodes"), job);
    // With tasks missing, and in two groups because some tasks are stopped.
    job.assignments.retain(|a| a.task % 7 != 3);
    job.assignments.iter_mut().filter(|a| a.task % 50 == 0).for_each(|a| a.desired = DesiredState::Stopped);
    let json = serde_json::to_string(&job).expect("encodes");
    assert_eq!(serde_json::from_str::<JobRecord>(&json).expect("decodes"), job);
}

/// The tasks of a gang are consecutive on each machine, whatever their number.
#[test]
fn gang_takes_a_few_characters_per_machine() {
    let spec = crate::placement::tests::spec("j-000412", JobKind::Gang, 20_000);
    let mut job = JobRecord::new(spec, None, 0);
    let machine_of = |task: u32| format!("host-{:06}", task / 40).into();
    let assignment =
        |task| Assignment { task, attempt: 1, machine: machine_of(task), desired: DesiredState::Running };
    job.assignments = (0..20_000).map(assignment).collect();
    let json = serde_json::to_string(&job).expect("encodes");
    assert!(json.len() < 5000, "{} bytes", json.len());
    assert_eq!(serde_json::from_str::<JobRecord>(&json).expect("decodes"), job);
}

#[test]
fn truncated_lists_are_rejected() {
    let truncated = (vec![("host-", 6usize, 1u64, DesiredState::Running, "1")],);
    let bytes = rmp_serde::to_vec(&truncated.0).expect("encodes");
    let mut deserializer = rmp_serde::Deserializer::new(bytes.as_slice());
    assert!(assignments::deserialize(&mut deserializer).is_err());
}

use super::*;
use crate::controller::Controller;
use crate::operators::OperatorSettings;
use crate::settings::Settings;
use crate::settings::tests::EXAMPLE;
use crate::worker::tests::spec;
use sched::records::{Assignment, DesiredState};
use sched::replica::RecordChange;
use std::sync::Arc;
use wire::JobKind;

/// An array job with the largest record that placement creates: the maximum number of assignments,
/// scattered over many machines and over the whole task window.
fn largest_array_job(controller: &Arc<Controller>, id: &str) -> JobRecord {
    let mut array = spec(id, JobKind::Array);
    array.tasks = 100_000;
    let mut job = JobRecord::new(array, None, 1_764_547_200_000);
    let (max_assignments, task_window) =
        (controller.max_assignments_per_record() as u32, controller.task_window());
    let first_unfinished = 50_000;
    (0..first_unfinished)
        .chain((first_unfinished + 1..first_unfinished + task_window).step_by(2))
        .for_each(|t| job.done.insert(t));
    let step = (task_window / max_assignments / 2 * 2).max(2);
    job.assignments = (0..max_assignments)
        .map(|i| Assignment {
            task: first_unfinished + i * step,
            attempt: 1,
            machine: format!("host-{:06}", 700 + (i * 7919) % 200).into(),
            desired: DesiredState::Running,
        })
        .collect();
    job
}

#[test]
fn largest_records_and_transactions_keep_the_limits_of_the_key_value_store() {
    let controller = Controller::new(
        Settings::parse("example", EXAMPLE).expect("the example is valid"),
        OperatorSettings::default(),
        1,
    );
    let (mut replica, mut cycle) = (Replica::default(), SchedulingCycle::default());
    for n in 0..30 {
        let id = format!("j-{n:06}");
        let job = Box::new(largest_array_job(&controller, &id));
        let json_bytes = serde_json::to_string(&*job).expect("encodes").len() as f64;
        assert!(json_bytes < controller.state_limits().value_bytes, "{json_bytes}");
        let write = KeyWrite::new(key::job(&id), &job);
        assert!(write.json_len() as f64 >= json_bytes, "the estimated size is at least the actual size");
        replica.apply(RecordChange::Job(id.clone(), Some(job.clone())), 3);
        cycle.jobs.insert(id, job);
    }
    let limits = controller.state_limits();
    let CycleTransaction { conditions, writes, left_out, .. } =
        build_transaction(&replica, &cycle, &limits, usize::MAX);
    let bytes: usize = writes.iter().map(KeyWrite::json_len).sum();
    assert!(writes.len() >= 4 && bytes + conditions.len() * 60 < 64 * 1024, "{bytes}");
    assert_eq!(left_out.len(), 30 - writes.len(), "the other jobs are left to later cycles");
    let limited = build_transaction(&replica, &cycle, &StateLimits { txn_ops: 3, ..limits }, usize::MAX);
    assert_eq!(limited.writes.len(), 3);
    let small_values = StateLimits { value_bytes: 1000.0, ..limits };
    let unchunked = build_transaction(&replica, &cycle, &small_values, usize::MAX);
    assert!(unchunked.writes.is_empty(), "a record that exceeds the size of a value is not sent");
    let chunked =
        build_transaction(&replica, &cycle, &StateLimits { chunked: true, ..small_values }, usize::MAX);
    assert!(
        chunked.writes.len() == 1 && chunked.chunked_job.is_some(),
        "it is sent in chunks, one record at a time"
    );
    assert_eq!(build_transaction(&replica, &cycle, &limits, 1).writes.len(), 1);
}

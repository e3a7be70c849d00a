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

/// As large as placement makes an array's record: as many tasks as it admits,
/// scattered over many machines and over the whole window.
fn largest(controller: &Arc<Controller>, id: &str) -> JobRecord {
    let mut s = spec(id, JobKind::Array);
    s.tasks = 100_000;
    let mut job = JobRecord::new(s, None, 1_764_547_200_000);
    let (most, window) = (controller.max_assignments_per_record() as u32, controller.task_window());
    let first = 50_000;
    (0..first).chain((first + 1..first + window).step_by(2)).for_each(|t| job.done.insert(t));
    let step = (window / most / 2 * 2).max(2);
    job.assignments = (0..most)
        .map(|i| Assignment {
            task: first + i * step,
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
        let job = Box::new(largest(&controller, &id));
        let json = serde_json::to_string(&*job).expect("encodes").len() as f64;
        assert!(json < controller.state_limits().value_bytes, "{json}");
        let put = KeyWrite::new(key::job(&id), &job);
        assert!(put.json_len() as f64 >= json, "the estimate is no less than what it is");
        replica.apply(RecordChange::Job(id.clone(), Some(job.clone())), 3);
        cycle.jobs.insert(id, job);
    }
    let plan = controller.state_limits();
    let CycleTransaction { conditions, writes, left_out, .. } =
        build_transaction(&replica, &cycle, &plan, usize::MAX);
    let bytes: usize = writes.iter().map(KeyWrite::json_len).sum();
    assert!(writes.len() >= 4 && bytes + conditions.len() * 60 < 64 * 1024, "{bytes}");
    assert_eq!(left_out.len(), 30 - writes.len(), "the rest has its turn later");
    let small = build_transaction(&replica, &cycle, &StateLimits { txn_ops: 3, ..plan }, usize::MAX);
    assert_eq!(small.writes.len(), 3);
    let small = StateLimits { value_bytes: 1000.0, ..plan };
    let none = build_transaction(&replica, &cycle, &small, usize::MAX);
    assert!(none.writes.is_empty(), "what a value cannot hold is not sent");
    let one = build_transaction(&replica, &cycle, &StateLimits { chunked: true, ..small }, usize::MAX);
    assert!(one.writes.len() == 1 && one.chunked_job.is_some(), "but in parts, one at a time");
    assert_eq!(build_transaction(&replica, &cycle, &plan, 1).writes.len(), 1);
}

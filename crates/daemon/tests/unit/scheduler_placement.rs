use std::collections::BTreeMap;
use std::time::Instant;

use sched::records::{
    Assignment, ClusterMap, DesiredState, JobRecord, MachineRecord, MachineTypesRecord, Name,
};
use wire::JobKind;

use super::pass::still_reserved;
use super::preemption::{MAX_PATIENCE_MS, is_patient};
use crate::controller::Controller;
use crate::worker::tests::spec;

#[test]
fn capacity_freed_for_an_array_stays_reserved_until_its_tasks_are_placed() {
    let on = |task, machine: &str| Assignment {
        task,
        attempt: 1,
        machine: machine.into(),
        desired: DesiredState::Running,
    };
    let made = || ["a", "a", "b", "c"].map(Name::from).to_vec();
    let placed = [on(0, "a"), on(1, "x")];
    let mut left = still_reserved(made(), &placed, 9);
    left.sort_unstable();
    assert_eq!(left.iter().map(|m| &**m).collect::<Vec<_>>(), ["a", "b", "c"]);
    assert_eq!(still_reserved(made(), &placed, 1).len(), 1);
    assert!(still_reserved(made(), &placed, 0).is_empty());
}

#[test]
fn arrays_of_a_pipeline_with_time_left_do_not_preempt_at_once() {
    let mut s = spec("j-1", JobKind::Array);
    (s.estimated_runtime_s, s.deadline_s) = (10.0, Some(60.0));
    let mut job = JobRecord::new(s, None, 0);
    assert!(!is_patient(&job, 1000), "not a step of a pipeline");
    job.accepted_ms = 1;
    assert!(!is_patient(&job, 1000), "the last step");
    job.urgency.priority = Some(wire::Priority::High);
    assert!(is_patient(&job, 1000));
    assert!(!is_patient(&job, MAX_PATIENCE_MS), "it has waited");
    job.urgency.deadline_ms = Some(20_000);
    assert!(!is_patient(&job, 1000), "those after it would be late");
}

/// A controller that leads alone, with a machine that holds twice the team's limit and
/// these jobs; what its first round wants, by job.
fn placed(jobs: Vec<JobRecord>) -> BTreeMap<String, usize> {
    use crate::operators::OperatorSettings;
    use crate::settings::Settings;
    use crate::settings::tests::EXAMPLE;
    use crate::worker::Worker;
    use crate::worker::tests::first_token;
    use sched::replica::RecordChange;

    let controller =
        Controller::new(Settings::parse("example", EXAMPLE).expect("valid"), OperatorSettings::default(), 1);
    let now = Instant::now();
    let mut state = controller.state();
    state.records.is_loaded = true;
    let kind = crate::worker::tests::kind(controller.teams[0].cpus_max * 2.0, 64.0, &["a"]);
    let machine = MachineRecord {
        addr: "host-1".into(),
        machine_type: "m".into(),
        zone: "a".into(),
        spot: false,
        release: false,
    };
    let mut changes = vec![
        RecordChange::Types(Some(MachineTypesRecord { types: vec![kind] })),
        RecordChange::Leader(Some(controller.identity.clone())),
        RecordChange::Map(Some(ClusterMap { epoch: 7, live: vec![controller.identity.clone()] })),
        RecordChange::Machine("host-1".into(), Some(machine)),
    ];
    let id = |j: &JobRecord| j.spec.as_ref().expect("open").id.clone();
    changes.extend(jobs.into_iter().map(|j| RecordChange::Job(id(&j), Some(Box::new(j)))));
    for (n, change) in changes.into_iter().enumerate() {
        state.records.replica.apply(change, n as u64 + 1);
    }
    let mut worker = Worker::new("host-1".into(), 7, now);
    let report = serde_json::json!({"frame": "host-1", "addr": "host-1", "shape": "m", "bay": "a",
        "loaner": false, "stint": 1, "tally": 1, "baton": first_token(7), "threads": []});
    worker.receive_heartbeat(wire::decode(&wire::encode(&report)).expect("a report"), now);
    state.machines.workers.insert("host-1".into(), worker);
    let round =
        crate::scheduler::decide(&controller, &mut state, crate::scheduler::CycleContext::new(16, now, 1000))
            .expect("a round");
    round.jobs.iter().map(|(id, j)| (id.clone(), j.assignments.len())).collect()
}

fn waiting(id: &str, kind: JobKind, priority: wire::Priority, tasks: u32) -> JobRecord {
    JobRecord::new(wire::JobSpec { priority, tasks, ..spec(id, kind) }, None, 0)
}

/// The example's limit of its team, in tasks.
const LIMIT: u32 = 8;

/// A gang of low priority that makes way for an array of its team waits again. Its claim on
/// the team's limit must not keep the array out of the very room that was made: the gang
/// would be placed there and stopped again, twice a second, and nothing would ever be done.
#[test]
fn a_preempted_gang_claims_no_quota_against_its_preemptor() {
    let array = waiting("j-1", JobKind::Array, wire::Priority::High, 2);
    let gang = waiting("j-2", JobKind::Gang, wire::Priority::Low, LIMIT);
    let run = placed(vec![array, gang]);
    assert_eq!(run.get("j-1"), Some(&2), "the array is placed first");
    assert!(run.get("j-2").is_none_or(|n| *n == 0), "and the gang beyond its limit is not");
}

/// A gang that does not fit into its team's limit beside the team's replicas waits until
/// they are called off, perhaps for good. Its claim kept arrays out of what they left for
/// the whole day (found by the drawn days: no array of a team ever started).
#[test]
fn a_gang_that_cannot_fit_claims_no_quota() {
    let mut service = waiting("j-1", JobKind::Service, wire::Priority::Low, 3);
    service.attempt = 1;
    let on = |task| Assignment { task, attempt: 1, machine: "host-1".into(), desired: DesiredState::Running };
    service.assignments = (0..3).map(on).collect();
    let gang = |tasks| waiting("j-2", JobKind::Gang, wire::Priority::High, tasks);
    let array = || waiting("j-3", JobKind::Array, wire::Priority::Normal, 2);
    let run = placed(vec![service.clone(), gang(LIMIT - 2), array()]);
    assert_eq!(run.get("j-3"), Some(&2));
    // One that fits goes first, and is not kept out by the array.
    let run = placed(vec![service, gang(LIMIT - 3), array()]);
    assert_eq!((run.get("j-2"), run.get("j-3")), (Some(&(LIMIT as usize - 3)), None));
}

use super::*;
use crate::worker::tests::spec;

#[test]
fn room_made_for_an_array_stays_its_own_until_its_tasks_are_placed() {
    let on = |task, machine: &str| Assignment { task, attempt: 1, machine: machine.into(), want: Want::Run };
    let made = || ["a", "a", "b", "c"].map(Name::from).to_vec();
    let placed = [on(0, "a"), on(1, "x")];
    let mut left = still_held(made(), &placed, 9);
    left.sort_unstable();
    assert_eq!(left.iter().map(|m| &**m).collect::<Vec<_>>(), ["a", "b", "c"]);
    assert_eq!(still_held(made(), &placed, 1).len(), 1);
    assert!(still_held(made(), &placed, 0).is_empty());
}

#[test]
fn steps_with_time_left_do_not_stop_others_at_once() {
    let mut s = spec("j-1", JobKind::Array);
    (s.estimate_s, s.deadline_s) = (10.0, Some(60.0));
    let mut job = JobRecord::new(s, None, 0);
    assert!(!is_patient(&job, 1000), "not a step of a pipeline");
    job.accepted_ms = 1;
    assert!(!is_patient(&job, 1000), "the last step");
    job.urgency.priority = Some(wire::Priority::High);
    assert!(is_patient(&job, 1000));
    assert!(!is_patient(&job, PATIENCE_MS), "it has waited");
    job.urgency.done_by_ms = Some(20_000);
    assert!(!is_patient(&job, 1000), "those after it would be late");
}

/// A gang of low priority that makes way for an array of its team waits again. Its claim on
/// the team's limit must not keep the array out of the very room that was made: the gang
/// would be placed there and stopped again, twice a second, and nothing would ever be done.
#[test]
fn what_makes_way_has_no_claim_before_what_it_made_way_for() {
    use crate::engine;
    use crate::settings::tests::EXAMPLE;
    use crate::settings::{Operators, Settings};
    use crate::worker::{Worker, first_token};
    use sched::world::Change;

    let node = Node::new(Settings::parse("example", EXAMPLE).expect("valid"), Operators::default(), 1);
    let limit = node.teams[0].cpus_max as u32;
    let now = Instant::now();
    let mut core = node.core();
    core.ready = true;
    let kind = wire::MachineType {
        name: "m".into(),
        cpus: f64::from(limit) * 2.0,
        gpus: 0.0,
        memory_gb: 64.0,
        cache_gb: 9.0,
        fetch_gb_per_s: 1.0,
        price: 1.0,
        spot_price: 1.0,
        boot_s: 1.0,
        zones: vec!["a".into()],
    };
    let machine = MachineRecord {
        addr: "host-1".into(),
        machine_type: "m".into(),
        zone: "a".into(),
        spot: false,
        release: false,
    };
    let (mut array, mut gang) = (spec("j-1", JobKind::Array), spec("j-2", JobKind::Gang));
    (array.priority, array.tasks) = (wire::Priority::High, 2);
    (gang.priority, gang.tasks) = (wire::Priority::Low, limit);
    let changes = [
        Change::Types(Some(TypesRecord { types: vec![kind] })),
        Change::Leader(Some(node.me.clone())),
        Change::Map(Some(MapRecord { epoch: 7, live: vec![node.me.clone()] })),
        Change::Machine("host-1".into(), Some(machine)),
        Change::Job("j-1".into(), Some(Box::new(JobRecord::new(array, None, 0)))),
        Change::Job("j-2".into(), Some(Box::new(JobRecord::new(gang, None, 0)))),
    ];
    for (n, change) in changes.into_iter().enumerate() {
        core.world.apply(change, n as u64 + 1);
    }
    let mut worker = Worker::new("host-1".into(), 7, now);
    let report = serde_json::json!({"frame": "host-1", "addr": "host-1", "shape": "m", "bay": "a",
        "loaner": false, "stint": 1, "tally": 1, "baton": first_token(7), "threads": []});
    worker.ingest(wire::decode(&wire::encode(&report)).expect("a report"), true, now);
    core.workers.insert("host-1".into(), worker);
    let round = engine::decide(&node, &mut core, false, 16, now, 1000).expect("a round");
    assert_eq!(round.jobs.get("j-1").map(|j| j.run.len()), Some(2), "the array is placed first");
    assert!(round.jobs.get("j-2").is_none_or(|j| j.run.is_empty()), "and the gang beyond its limit is not");
}

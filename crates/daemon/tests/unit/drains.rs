use std::time::Duration;

use sched::drain_records::{DisruptionRecord, DrainPhase, DrainRecord, ObstacleKind};
use store::key;

use super::running_tasks::{observed_tasks, record_answer};
use super::unit_stops::{UnitStops, stop_units};
use super::{EvictionBudget, unsupporting_controller};
use crate::clock;
use crate::controller::Controller;
use crate::operators::OperatorSettings;
use crate::scheduler::{self, CycleTransaction, SchedulingCycle};
use crate::settings::tests::EXAMPLE;
use crate::settings::{Peer, Settings};
use crate::state::ControllerState;
use crate::worker::Worker;
use crate::worker::tests::first_token;
use crate::worker::tests::spec;
use drain::budget::UnitId;
use drain::step::{Move, Unit, Work};
use peer::RunningTasksRequest;
use sched::drain_records::{
    CordonFence, CordonRecord, DRAIN_SCHEMA, Disruption, DisruptionCause, UnsavedWork,
};
use sched::records::*;
use sched::replica::RecordChange;
use sched::rescheduler::Eviction;
use std::sync::Arc;
use store::{KeyWrite, decode_change};
use wire::{Condition, Heartbeat, JobKind, TaskState, TaskStatus};

const ON: &str = "drains {\n enabled = true\n}\n";

fn controller(operators: &str) -> Arc<Controller> {
    let mut settings = Settings::parse("example", EXAMPLE).expect("valid");
    settings.peers = vec![Peer { node_name: "n-1".into(), address: "127.0.0.1:3".into() }];
    Controller::new(settings, OperatorSettings::parse("o.hcl", operators).expect("valid"), 1)
}

pub(super) fn record() -> DrainRecord {
    DrainRecord {
        schema: DRAIN_SCHEMA,
        phase: DrainPhase::Active,
        cordons: 1,
        machines: 1,
        started_ms: 1,
        patience_ms: 1000,
        unsaved: UnsavedWork::Leave,
        give_up_ms: 1_000_000,
        moved: 0,
        capacity_search: Default::default(),
        obstacle: None,
    }
}

/// A service of two replicas on two machines, one of which is drained.
fn site(state: &mut ControllerState, me: &Member) {
    let replica = &mut state.records.replica;
    let other = Member { name: "n-1".into(), zone: "a".into(), incarnation: 2 };
    let live = vec![me.clone(), other.clone()];
    replica.apply(RecordChange::Map(Some(ClusterMap { epoch: 4, live })), 1);
    replica.apply(RecordChange::Leader(Some(me.clone())), 1);
    for member in [me, &other] {
        replica.apply(RecordChange::Member(member.name.clone(), Some(member.clone())), 1);
        replica.apply(RecordChange::SchemaMarker(member.name.clone(), Some(DRAINS_SCHEMA_VERSION)), 1);
    }
    for machine in ["m-1", "m-2"] {
        let (machine_type, zone) = ("m".into(), "a".into());
        let record = MachineRecord { addr: "x".into(), machine_type, zone, spot: false, release: false };
        replica.apply(RecordChange::Machine(machine.into(), Some(record)), 2);
    }
    let mut job = JobRecord::new(wire::JobSpec { tasks: 2, ..spec("j-1", JobKind::Service) }, None, 0);
    let place = |(task, machine): (u32, &str)| Assignment {
        task,
        attempt: 1,
        machine: machine.into(),
        desired: DesiredState::Running,
    };
    job.assignments = [(0, "m-1"), (1, "m-2")].map(place).into();
    job.attempt = 1;
    replica.apply(RecordChange::Job("j-1".into(), Some(Box::new(job))), 3);
    replica.apply(RecordChange::Cordon(("d".into(), 0), Some(CordonRecord::new(vec!["m-1".into()]))), 4);
    replica.apply(RecordChange::CordonFence(Some(CordonFence { generation: 1 })), 4);
    replica.apply(RecordChange::Drain("d".into(), Some(record())), 5);
    state.records.is_loaded = true;
}

fn unit() -> Unit {
    let id = UnitId { job: "j-1".into(), task: 0 };
    Unit { id, team: "t".into(), work: Work::Replica, stopping: false }
}

fn version_of(conditions: &[Condition], key: &str) -> Option<u64> {
    conditions.iter().find(|c| c.key == key).map(|c| c.version)
}

fn eviction_cycle(controller: &Arc<Controller>, state: &ControllerState) -> SchedulingCycle {
    let eviction = Eviction { job: "j-1".into(), task: 1, machine: "m-2".into(), reason: "crowded machine" };
    let evictions = std::slice::from_ref(&eviction);
    let mut budget = EvictionBudget::for_cycle(controller, state, evictions).expect("all know drains");
    let disruption = budget.debit(&state.records.replica, &eviction, 9).expect("nothing is down");
    let mut cycle = SchedulingCycle::default();
    cycle.jobs.insert("j-1".into(), state.records.replica.jobs["j-1"].value.clone());
    cycle.disruptions.insert("j-1".into(), disruption);
    cycle
}

/// A drain and the rescheduler decide by the same view: whichever is committed second fails.
#[test]
fn all_voluntary_disruptions_change_the_record_of_the_team() {
    let controller = controller(ON);
    let mut state = controller.state();
    site(&mut state, &controller.identity);
    let open = vec![Disruption {
        job: "j-9".into(),
        task: 0,
        attempt: 1,
        cause: DisruptionCause::Rescheduler,
        since_ms: 1,
    }];
    state.records.replica.apply(RecordChange::Disruptions("t".into(), Some(DisruptionRecord { open })), 7);
    let moves = [Move { drain: "d".into(), machine: "m-1".into(), unit: unit(), room: Vec::new() }];
    let UnitStops { transaction, count } = stop_units(&controller, &state, &moves, 9).expect("one to stop");
    assert_eq!((count, transaction.write_count()), (1, 3), "the job, the team's record and the drain's");
    let (conditions, puts) = transaction.parts();
    let cycle = eviction_cycle(&controller, &state);
    let assembled =
        scheduler::build_transaction(&state.records.replica, &cycle, &controller.state_limits(), usize::MAX);
    for (conditions, puts) in [(conditions, puts), (&assembled.conditions[..], &assembled.writes[..])] {
        assert_eq!(version_of(conditions, &key::disruptions("t")), Some(7));
        assert_eq!(version_of(conditions, &key::job("j-1")), Some(3));
        assert_eq!(version_of(conditions, key::MAP), Some(1));
        let put = puts.iter().find(|p| p.key == key::disruptions("t")).expect("changed");
        let (RecordChange::Disruptions(_, Some(record)), false) = decode_change(&put.key, put.value.clone())
        else {
            unreachable!("it is read again");
        };
        assert_eq!(record.open.len(), 2, "and what was there stays");
    }
    assert_eq!(version_of(conditions, &key::drain("d")), Some(5), "a drain that was stopped stops nothing");
}

/// The least that a state service may take in a transaction is two changes.
#[test]
fn a_unit_is_stopped_with_two_writes_where_a_transaction_has_no_more() {
    let mut settings = Settings::parse("example", EXAMPLE).expect("valid");
    settings.facts.state.txn_ops = 2;
    let controller = Controller::new(settings, OperatorSettings::parse("o.hcl", ON).expect("valid"), 1);
    let mut state = controller.state();
    site(&mut state, &controller.identity);
    let moves = [Move { drain: "d".into(), machine: "m-1".into(), unit: unit(), room: Vec::new() }];
    let UnitStops { transaction, count } = stop_units(&controller, &state, &moves, 2).expect("one to stop");
    let (conditions, puts) = transaction.parts();
    assert_eq!((count, puts.len()), (1, 2), "the job and the team's record");
    assert_eq!(version_of(conditions, &key::drain("d")), Some(5));
}

#[test]
fn a_cycle_is_conditional_on_the_cordon_fence_only_where_drains_are_enabled() {
    for (operators, fence) in [(ON, Some(4)), ("", None)] {
        let controller = controller(operators);
        let mut state = controller.state();
        site(&mut state, &controller.identity);
        let cordon_fence = controller.operators.drains.enabled;
        let mut cycle = SchedulingCycle { fences_cordons: cordon_fence, ..SchedulingCycle::default() };
        cycle.jobs.insert("j-1".into(), state.records.replica.jobs["j-1"].value.clone());
        cycle.placed_jobs.insert("j-1".into());
        let CycleTransaction { conditions, writes: puts, .. } = scheduler::build_transaction(
            &state.records.replica,
            &cycle,
            &controller.state_limits(),
            usize::MAX,
        );
        assert_eq!(version_of(&conditions, key::CORDON_FENCE), fence);
        assert!(puts.iter().all(|p| p.key != key::CORDON_FENCE), "it is not written");
    }
}

#[test]
fn nothing_is_placed_on_cordoned_machines_and_an_old_controller_pauses_drains() {
    let controller = controller(ON);
    let mut state = controller.state();
    site(&mut state, &controller.identity);
    let types = vec![crate::worker::tests::machine_type(40.0, 90.0, &["a"])];
    state.records.replica.apply(RecordChange::Types(Some(MachineTypesRecord { types })), 8);
    let inventory = sched::placement::Inventory::new(&state.records.replica, |_| true);
    assert!(inventory.find("m-1").is_none());
    assert!(unsupporting_controller(&controller, &state.records.replica).is_none());
    // One that comes back without drains says so with its entry among the members.
    state.records.replica.apply(RecordChange::SchemaMarker("n-1".into(), Some(SCHEMA_VERSION)), 9);
    let obstacle = unsupporting_controller(&controller, &state.records.replica).expect("paused");
    // Its machines' replicas would never be seen running: evictions go on as without drains.
    assert!(EvictionBudget::for_cycle(&controller, &state, &[]).is_none());
    assert_eq!((obstacle.kind, &*obstacle.job), (ObstacleKind::OldController, "n-1"));
}

/// The version in production, and any without drains, pass the records over.
#[test]
fn versions_without_drains_ignore_their_records() {
    let puts = [
        KeyWrite::new(key::drain("d"), &record()),
        KeyWrite::new(key::cordon("d", 0), &CordonRecord::new(vec!["m-1".into()])),
        KeyWrite::new(key::CORDON_FENCE.into(), &CordonFence { generation: 1 }),
        KeyWrite::new(key::disruptions("a team"), &DisruptionRecord::default()),
    ];
    for put in puts {
        let value = put.value.expect("a value");
        let read = crate::production::read(&put.key, &value);
        assert!(matches!(read, crate::production::Read::Ignored), "{}", put.key);
        assert!(!put.key.contains(' '));
    }
}

#[test]
fn a_drain_of_a_later_schema_is_unreadable_and_its_machines_stay_cordoned() {
    let controller = controller(ON);
    let mut state = controller.state();
    site(&mut state, &controller.identity);
    let later = KeyWrite::new(key::drain("d"), &DrainRecord { schema: DRAIN_SCHEMA + 1, ..record() });
    let (change, bad) = decode_change(&later.key, later.value);
    assert!(bad);
    state.records.replica.mark_unreadable(change);
    assert!(state.records.replica.drains.unreadable.contains("d"));
    assert!(state.records.replica.drains.is_cordoned("m-1"));
}

/// What an owner says of its machines counts only by reports of now, only for the map that it
/// was asked under, and only as the answer to the request.
#[test]
fn only_tasks_observed_recently_count_as_running() {
    let controller = controller(ON);
    let now = clock::now();
    let mut state = controller.state();
    site(&mut state, &controller.identity);
    state.drains.observed_jobs = ["j-1".to_owned()].into();
    let mine = |m: &&str| state.records.replica.owner_of(m) == Some(&controller.identity);
    let machine = ["m-1", "m-2"].into_iter().find(mine).expect("one of two machines is its own");
    let task = if machine == "m-1" { 0 } else { 1 };
    let mut worker = Worker::new("x".into(), 4, now);
    let report = |seq, state| Heartbeat {
        machine: machine.into(),
        addr: "x".into(),
        machine_type: "m".into(),
        zone: "a".into(),
        spot: false,
        incarnation: 1,
        sequence: seq,
        fencing_token: first_token(4),
        spot_notice_s: None,
        tasks: vec![TaskStatus {
            task: format!("j-1/{task}"),
            attempt: 1,
            state,
            cause: None,
            checkpointed: None,
        }],
    };
    worker.receive_heartbeat(report(1, TaskState::Fetching), now);
    state.machines.workers.insert(machine.into(), worker);
    let seen = |state: &ControllerState, at| {
        drain::view::Running::is_running(&observed_tasks(&controller, state, at), "j-1", task, 1)
    };
    assert!(!seen(&state, now), "it fetches its image");
    let worker = state.machines.workers.get_mut(machine).expect("there");
    worker.receive_heartbeat(report(2, TaskState::Running), now);
    assert!(seen(&state, now));
    assert!(!seen(&state, now + Duration::from_secs(9)), "nothing was heard for three reports");
    let request = RunningTasksRequest { nonce: 7, epoch: 4, jobs: vec!["j-1".into()] };
    let answer = |nonce, epoch, incarnation| peer::RunningTasks {
        nonce,
        name: "n-1".into(),
        incarnation,
        epoch,
        jobs: vec![peer::RunningTasksOfJob {
            job: "j-1".into(),
            tasks: vec![peer::RunningTask { task: 9, attempt: 3 }],
        }],
    };
    let other = |state: &ControllerState| {
        drain::view::Running::is_running(&observed_tasks(&controller, state, now), "j-1", 9, 3)
    };
    assert!(!record_answer(&mut state, "n-1", &request, answer(8, 4, 2), now), "another's answer");
    assert!(!record_answer(&mut state, "n-1", &request, answer(7, 3, 2), now), "of another map");
    assert!(record_answer(&mut state, "n-1", &request, answer(7, 4, 1), now));
    assert!(!other(&state), "of an earlier process");
    assert!(record_answer(&mut state, "n-1", &request, answer(7, 4, 2), now));
    assert!(other(&state));
}

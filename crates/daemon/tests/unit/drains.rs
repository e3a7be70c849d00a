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
use drain::step::{Move, Unit, WorkKind};
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

const DRAINS_ENABLED: &str = "drains {\n enabled = true\n}\n";

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

/// Adds two controllers, a service with two replicas on two machines, and a drain of one of these.
fn add_site(state: &mut ControllerState, me: &Member) {
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
    let assignment = |(task, machine): (u32, &str)| Assignment {
        task,
        attempt: 1,
        machine: machine.into(),
        desired: DesiredState::Running,
    };
    job.assignments = [(0, "m-1"), (1, "m-2")].map(assignment).into();
    job.attempt = 1;
    replica.apply(RecordChange::Job("j-1".into(), Some(Box::new(job))), 3);
    replica.apply(RecordChange::Cordon(("d".into(), 0), Some(CordonRecord::new(vec!["m-1".into()]))), 4);
    replica.apply(RecordChange::CordonFence(Some(CordonFence { generation: 1 })), 4);
    replica.apply(RecordChange::Drain("d".into(), Some(record())), 5);
    state.records.is_loaded = true;
}

fn unit() -> Unit {
    let id = UnitId { job: "j-1".into(), task: 0 };
    Unit { id, team: "t".into(), work: WorkKind::Replica, stopping: false }
}

fn version_of(conditions: &[Condition], key: &str) -> Option<u64> {
    conditions.iter().find(|c| c.key == key).map(|c| c.version)
}

fn eviction_cycle(controller: &Arc<Controller>, state: &ControllerState) -> SchedulingCycle {
    let eviction = Eviction { job: "j-1".into(), task: 1, machine: "m-2".into(), reason: "crowded machine" };
    let evictions = std::slice::from_ref(&eviction);
    let mut budget =
        EvictionBudget::for_cycle(controller, state, evictions).expect("all controllers support drains");
    let disruption = budget.debit(&state.records.replica, &eviction, 9).expect("nothing is down");
    let mut cycle = SchedulingCycle::default();
    cycle.jobs.insert("j-1".into(), state.records.replica.jobs["j-1"].value.clone());
    cycle.disruptions.insert("j-1".into(), disruption);
    cycle
}

/// A drain and the rescheduler may decide from the same records. Both write the team's record and
/// are conditional on it, so that whichever is committed second fails.
#[test]
fn all_voluntary_disruptions_change_the_record_of_the_team() {
    let controller = controller(DRAINS_ENABLED);
    let mut state = controller.state();
    add_site(&mut state, &controller.identity);
    let open = vec![Disruption {
        job: "j-9".into(),
        task: 0,
        attempt: 1,
        cause: DisruptionCause::Rescheduler,
        since_ms: 1,
    }];
    state.records.replica.apply(RecordChange::Disruptions("t".into(), Some(DisruptionRecord { open })), 7);
    let moves = [Move { drain: "d".into(), machine: "m-1".into(), unit: unit(), destinations: Vec::new() }];
    let UnitStops { transaction, count } =
        stop_units(&controller, &state, &moves, 9).expect("a unit to stop");
    assert_eq!((count, transaction.write_count()), (1, 3), "the job, the team's record and the drain's");
    let (conditions, key_writes) = transaction.parts();
    let cycle = eviction_cycle(&controller, &state);
    let cycle_transaction =
        scheduler::build_transaction(&state.records.replica, &cycle, &controller.state_limits(), usize::MAX);
    for (conditions, key_writes) in
        [(conditions, key_writes), (&cycle_transaction.conditions[..], &cycle_transaction.writes[..])]
    {
        assert_eq!(version_of(conditions, &key::disruptions("t")), Some(7));
        assert_eq!(version_of(conditions, &key::job("j-1")), Some(3));
        assert_eq!(version_of(conditions, key::MAP), Some(1));
        let write = key_writes.iter().find(|p| p.key == key::disruptions("t")).expect("changed");
        let (RecordChange::Disruptions(_, Some(record)), false) =
            decode_change(&write.key, write.value.clone())
        else {
            unreachable!("the record is decoded");
        };
        assert_eq!(record.open.len(), 2, "the earlier disruption stays");
    }
    assert_eq!(
        version_of(conditions, &key::drain("d")),
        Some(5),
        "the stop is conditional on the drain's record"
    );
}

/// The smallest configurable limit of a transaction is two changes.
#[test]
fn a_unit_is_stopped_with_two_writes_where_a_transaction_has_no_more() {
    let mut settings = Settings::parse("example", EXAMPLE).expect("valid");
    settings.facts.state.txn_ops = 2;
    let controller =
        Controller::new(settings, OperatorSettings::parse("o.hcl", DRAINS_ENABLED).expect("valid"), 1);
    let mut state = controller.state();
    add_site(&mut state, &controller.identity);
    let moves = [Move { drain: "d".into(), machine: "m-1".into(), unit: unit(), destinations: Vec::new() }];
    let UnitStops { transaction, count } =
        stop_units(&controller, &state, &moves, 2).expect("a unit to stop");
    let (conditions, key_writes) = transaction.parts();
    assert_eq!((count, key_writes.len()), (1, 2), "the job and the team's record");
    assert_eq!(version_of(conditions, &key::drain("d")), Some(5));
}

#[test]
fn a_cycle_is_conditional_on_the_cordon_fence_only_where_drains_are_enabled() {
    for (operators, fence_version) in [(DRAINS_ENABLED, Some(4)), ("", None)] {
        let controller = controller(operators);
        let mut state = controller.state();
        add_site(&mut state, &controller.identity);
        let drains_enabled = controller.operators.drains.enabled;
        let mut cycle = SchedulingCycle { fences_cordons: drains_enabled, ..SchedulingCycle::default() };
        cycle.jobs.insert("j-1".into(), state.records.replica.jobs["j-1"].value.clone());
        cycle.placed_jobs.insert("j-1".into());
        let CycleTransaction { conditions, writes: key_writes, .. } = scheduler::build_transaction(
            &state.records.replica,
            &cycle,
            &controller.state_limits(),
            usize::MAX,
        );
        assert_eq!(version_of(&conditions, key::CORDON_FENCE), fence_version);
        assert!(key_writes.iter().all(|p| p.key != key::CORDON_FENCE), "the cordon fence is not written");
    }
}

#[test]
fn cordoned_machines_are_not_in_the_inventory_and_an_old_controller_pauses_drains() {
    let controller = controller(DRAINS_ENABLED);
    let mut state = controller.state();
    add_site(&mut state, &controller.identity);
    let types = vec![crate::worker::tests::machine_type(40.0, 90.0, &["a"])];
    state.records.replica.apply(RecordChange::Types(Some(MachineTypesRecord { types })), 8);
    let inventory = sched::placement::Inventory::new(&state.records.replica, |_| true);
    assert!(inventory.find("m-1").is_none());
    assert!(unsupporting_controller(&controller, &state.records.replica).is_none());
    // A controller that comes back without support for drains writes an older schema marker.
    state.records.replica.apply(RecordChange::SchemaMarker("n-1".into(), Some(SCHEMA_VERSION)), 9);
    let obstacle = unsupporting_controller(&controller, &state.records.replica).expect("paused");
    // Such a controller does not report its running tasks, so replicas on its machines would never be
    // observed to run. The rescheduler therefore evicts as if drains were disabled.
    assert!(EvictionBudget::for_cycle(&controller, &state, &[]).is_none());
    assert_eq!((obstacle.kind, &*obstacle.job), (ObstacleKind::OldController, "n-1"));
}

/// The version in production, like any version without drains, must ignore the records of drains.
#[test]
fn versions_without_drains_ignore_their_records() {
    let key_writes = [
        KeyWrite::new(key::drain("d"), &record()),
        KeyWrite::new(key::cordon("d", 0), &CordonRecord::new(vec!["m-1".into()])),
        KeyWrite::new(key::CORDON_FENCE.into(), &CordonFence { generation: 1 }),
        KeyWrite::new(key::disruptions("a team"), &DisruptionRecord::default()),
    ];
    for write in key_writes {
        let value = write.value.expect("a value");
        let read = crate::production::read(&write.key, &value);
        assert!(matches!(read, crate::production::Read::Ignored), "{}", write.key);
        assert!(!write.key.contains(' '));
    }
}

#[test]
fn a_drain_of_a_later_schema_is_unreadable_and_its_machines_stay_cordoned() {
    let controller = controller(DRAINS_ENABLED);
    let mut state = controller.state();
    add_site(&mut state, &controller.identity);
    let later_schema = KeyWrite::new(key::drain("d"), &DrainRecord { schema: DRAIN_SCHEMA + 1, ..record() });
    let (change, is_unreadable) = decode_change(&later_schema.key, later_schema.value);
    assert!(is_unreadable);
    state.records.replica.mark_unreadable(change);
    assert!(state.records.replica.drains.unreadable.contains("d"));
    assert!(state.records.replica.drains.is_cordoned("m-1"));
}

/// The tasks that a controller observes on its machines count only if the heartbeats are recent. A
/// peer's answer also has to match the request, the cluster map and the peer's incarnation.
#[test]
fn only_tasks_observed_recently_count_as_running() {
    let controller = controller(DRAINS_ENABLED);
    let now = clock::now();
    let mut state = controller.state();
    add_site(&mut state, &controller.identity);
    state.drains.observed_jobs = ["j-1".to_owned()].into();
    let is_own = |m: &&str| state.records.replica.owner_of(m) == Some(&controller.identity);
    let machine =
        ["m-1", "m-2"].into_iter().find(is_own).expect("the controller owns one of the two machines");
    let task = if machine == "m-1" { 0 } else { 1 };
    let mut worker = Worker::new("x".into(), 4, now);
    let heartbeat = |sequence_number, state| Heartbeat {
        machine: machine.into(),
        addr: "x".into(),
        machine_type: "m".into(),
        zone: "a".into(),
        spot: false,
        incarnation: 1,
        sequence: sequence_number,
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
    worker.receive_heartbeat(heartbeat(1, TaskState::Fetching), now);
    state.machines.workers.insert(machine.into(), worker);
    let is_observed = |state: &ControllerState, at| {
        drain::view::RunningTaskLookup::is_running(&observed_tasks(&controller, state, at), "j-1", task, 1)
    };
    assert!(!is_observed(&state, now), "the task fetches its image");
    let worker = state.machines.workers.get_mut(machine).expect("there");
    worker.receive_heartbeat(heartbeat(2, TaskState::Running), now);
    assert!(is_observed(&state, now));
    assert!(!is_observed(&state, now + Duration::from_secs(9)), "no heartbeat for the time of three reports");
    let request = RunningTasksRequest { nonce: 7, epoch: 4, jobs: vec!["j-1".into()] };
    let answer = |nonce, epoch, incarnation| peer::RunningTasks {
        nonce,
        name: "n-1".into(),
        incarnation,
        epoch,
        tasks_by_job: vec![peer::RunningTasksOfJob {
            job: "j-1".into(),
            tasks: vec![peer::RunningTask { task: 9, attempt: 3 }],
        }],
    };
    let is_observed_by_peer = |state: &ControllerState| {
        drain::view::RunningTaskLookup::is_running(&observed_tasks(&controller, state, now), "j-1", 9, 3)
    };
    assert!(
        !record_answer(&mut state, "n-1", &request, answer(8, 4, 2), now, now),
        "the answer to another request"
    );
    assert!(
        !record_answer(&mut state, "n-1", &request, answer(7, 3, 2), now, now),
        "the answer is of another cluster map"
    );
    assert!(record_answer(&mut state, "n-1", &request, answer(7, 4, 1), now, now));
    assert!(!is_observed_by_peer(&state), "the answer is of an earlier incarnation");
    assert!(record_answer(&mut state, "n-1", &request, answer(7, 4, 2), now, now));
    assert!(is_observed_by_peer(&state));
}

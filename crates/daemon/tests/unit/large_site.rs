//! Tests with about four thousand machines. They count changes, requests, bytes and machines
//! examined, so that a fixed limit below that size fails them.

use std::sync::Arc;
use std::time::{Duration, Instant};

use sched::placement::pending_task_count;
use sched::records::*;
use sched::replica::{RecordChange, Replica};
use wire::{Heartbeat, JobKind, TaskState, TaskStatus};

use crate::api::heartbeats::{HeartbeatOutcome, HeartbeatRoute, process_heartbeat};
use crate::controller::Controller;
use crate::peer_client;
use crate::peer_status;
use crate::scale;
use crate::scheduler;
use crate::worker::Worker;
use crate::worker::tests::{first_token, spec};

const MACHINES: usize = 4000;
const NOW_MS: u64 = 500_000;

fn apply(replica: &mut Replica, change: RecordChange) {
    let version = replica.revision + 1;
    replica.apply(change, version);
    replica.revision = version;
}

/// Applies the writes of a scheduling cycle as if it had been committed; returns the number of
/// writes.
fn commit(
    controller: &Arc<Controller>,
    replica: &mut Replica,
    mut cycle: scheduler::SchedulingCycle,
) -> usize {
    let scheduler::CycleTransaction { writes, left_out, teams, .. } =
        scheduler::build_transaction(replica, &cycle, &controller.state_limits(), usize::MAX);
    for (id, record) in std::mem::take(&mut cycle.jobs) {
        if !left_out.contains(&id) {
            apply(replica, RecordChange::Job(id, Some(record)));
        }
    }
    for (team, record) in teams {
        apply(replica, RecordChange::Team(team, Some(record)));
    }
    writes.len()
}

fn heartbeat(controller: &Arc<Controller>, machine: &str, sequence: u64, token: u64) -> Heartbeat {
    let state = controller.state();
    let running = |(job, _, a): (&str, &JobRecord, &Assignment)| TaskStatus {
        task: format!("{job}/{}", a.task),
        attempt: a.attempt,
        state: TaskState::Running,
        cause: None,
        checkpointed: None,
    };
    let record = &state.records.replica.machines[machine].value;
    Heartbeat {
        machine: machine.into(),
        addr: record.addr.clone(),
        machine_type: record.machine_type.to_string(),
        zone: record.zone.to_string(),
        spot: record.spot,
        incarnation: 1,
        sequence,
        fencing_token: token,
        spot_notice_s: None,
        tasks: state.records.replica.assignments(machine).map(running).collect(),
    }
}

/// Arrays with a task for every machine: each cycle places as many tasks as a transaction holds,
/// so that no more cycles are needed than the writes require.
#[test]
fn thousands_of_tasks_are_placed_in_as_few_cycles_as_the_writes_need() {
    let controller = scale::controller(MACHINES, 1);
    let now = Instant::now();
    scale::fill(&controller, now);
    let mut state = controller.state();
    let free_before: usize =
        state.records.replica.machines.len() - state.records.replica.jobs_by_machine.len();
    for n in 0..40 {
        let mut job = spec(&format!("j-{}", 5_000_000 + n), JobKind::Array);
        (job.tasks, job.cpus) = (100, 1.0);
        let record = JobRecord::new(job, None, 1000);
        apply(
            &mut state.records.replica,
            RecordChange::Job(
                record.spec.as_ref().expect("a description").id.clone(),
                Some(Box::new(record)),
            ),
        );
    }
    let waiting = |replica: &Replica| {
        replica.open_job_ids.iter().map(|id| pending_task_count(&replica.jobs[id].value)).sum::<u32>()
    };
    let first = waiting(&state.records.replica);
    assert!(first >= 4000, "{first}");
    let mut cycles = 0;
    while waiting(&state.records.replica) > 0 && cycles < 40 {
        cycles += 1;
        let at = now + Duration::from_millis(100 * cycles);
        state.records.fresh_at = Some(at);
        state.machines.workers.values_mut().for_each(|w| w.set_last_status_at(at));
        let cycle = scheduler::decide(&controller, &mut state, scheduler::CycleContext::new(16, at, NOW_MS))
            .expect("entitled");
        assert!(commit(&controller, &mut state.records.replica, cycle) <= 16);
    }
    assert_eq!(
        waiting(&state.records.replica),
        0,
        "after {cycles} cycles, {free_before} machines were empty"
    );
    assert!(cycles <= 8, "{cycles}");
}

/// All other controllers are gone, and one owns all machines. Every worker that sends a heartbeat
/// is answered, the others are probed before they count as lost, and no machine is given up
/// without a probe.
#[test]
fn one_controller_takes_over_all_machines() {
    let controller = scale::controller(MACHINES, 5);
    let now = Instant::now();
    scale::fill(&controller, now);
    let before = controller.state().machines.workers.len();
    assert!(before < MACHINES / 2, "{before}");
    let map = ClusterMap { epoch: 8, live: vec![controller.identity.clone()] };
    {
        let mut state = controller.state();
        apply(&mut state.records.replica, RecordChange::Map(Some(map)));
        let cycle = scheduler::decide(&controller, &mut state, scheduler::CycleContext::new(16, now, NOW_MS))
            .expect("entitled");
        assert!(cycle.jobs.is_empty(), "no task has ended");
        assert_eq!(state.machines.workers.len(), MACHINES);
    }
    // Half of the workers reach the new owner: each gets a response, and its lease is renewed.
    let machines: Vec<Name> = controller.state().records.replica.machines.keys().cloned().collect();
    let later = now + Duration::from_secs(2);
    for id in machines.iter().step_by(2) {
        let heartbeat = heartbeat(&controller, id, 2, first_token(7));
        let outcome = process_heartbeat(&controller, &heartbeat, HeartbeatRoute::Direct, later);
        assert!(matches!(outcome, HeartbeatOutcome::Respond(_)), "{id}: {outcome:?}");
    }
    // The others send no heartbeat. None of them has been probed yet: they do not count as silent,
    // however much time has passed.
    let after_silence_limit = now + controller.silence_limit() * 2;
    let mut state = controller.state();
    let not_heard_from: Vec<Name> = state
        .machines
        .workers
        .iter()
        .filter(|(_, w)| !w.was_heard_from())
        .map(|(id, _)| id.clone())
        .collect();
    assert!(not_heard_from.len() > MACHINES / 4, "{}", not_heard_from.len());
    assert!(
        not_heard_from
            .iter()
            .all(|id| state.machines.workers[id].silent_for(after_silence_limit) == Duration::ZERO)
    );
    for id in &not_heard_from {
        state.machines.workers.get_mut(id).expect("owned").note_probe_failure();
    }
    assert!(
        not_heard_from
            .iter()
            .all(|id| state.machines.workers[id].silent_for(after_silence_limit) > controller.silence_limit())
    );
}

/// A zone with a quarter of all machines is lost: that costs one change for each job with tasks
/// there, whatever their number, and the removed machines are named in one change of one record.
#[test]
fn lost_zone_of_a_thousand_machines_costs_one_change_per_job() {
    let controller = scale::controller(MACHINES, 1);
    let now = Instant::now();
    scale::fill(&controller, now);
    let mut state = controller.state();
    let lost: Vec<Name> = state
        .records
        .replica
        .machines
        .iter()
        .filter(|(_, m)| *m.value.zone == *"d")
        .map(|(id, _)| id.clone())
        .collect();
    assert_eq!(lost.len(), MACHINES / 4);
    let affected_jobs: std::collections::BTreeSet<String> = lost
        .iter()
        .flat_map(|id| state.records.replica.assignments(id).map(|(job, ..)| job.to_owned()))
        .collect();
    let fleet = FleetRecord { scale_outs: Vec::new(), removed_machines: Some(lost) };
    assert!(
        store::KeyWrite::new("f".into(), &fleet).json_len() < 4096,
        "one small value names all lost machines"
    );
    apply(&mut state.records.replica, RecordChange::Fleet(Some(fleet)));
    let (mut changes, mut cycles) = (0, 0);
    while !state.records.replica.machines_without_record.is_empty() {
        cycles += 1;
        assert!(cycles < 200, "{} left", state.records.replica.machines_without_record.len());
        let at = now + Duration::from_millis(100 * cycles);
        let cycle = scheduler::decide(&controller, &mut state, scheduler::CycleContext::new(16, at, NOW_MS))
            .expect("entitled");
        changes += commit(&controller, &mut state.records.replica, cycle);
    }
    assert!(affected_jobs.len() > 100, "{}", affected_jobs.len());
    assert!(changes <= affected_jobs.len() * 3 / 2, "{changes} changes for {} jobs", affected_jobs.len());
}

/// All controllers restart at once: the status that one controller sends about all machines fits
/// into a message, even with twice as many machines.
#[test]
fn status_of_all_machines_of_one_owner_fits_into_a_message() {
    let controller = scale::controller(2 * MACHINES, 1);
    let now = Instant::now();
    {
        let mut state = controller.state();
        let owned: Vec<Name> = state.records.replica.owned_by(&controller.identity).cloned().collect();
        assert_eq!(owned.len(), 2 * MACHINES);
        for id in owned {
            state.machines.workers.insert(id, Worker::new("10.1.0.1:9000".into(), 7, now));
        }
    }
    let summary = peer_status::own_status(&controller);
    assert_eq!(summary.machines.len(), 2 * MACHINES);
    let bytes = peer::encode(&peer::Message::PeerStatus(summary));
    assert!(bytes.len() < peer_client::MAX_MESSAGE_BYTES, "{}", bytes.len());
}

/// A gang with tasks on nearly every machine. Before all controllers are upgraded its record
/// cannot be written, and it must not reserve room that other jobs can use. Afterwards it is
/// placed, with its record in chunks.
#[test]
fn gang_on_all_machines_is_placed_only_after_the_upgrade() {
    let controller = scale::controller(MACHINES, 1);
    let now = Instant::now();
    {
        let mut state = controller.state();
        let owned: Vec<Name> = state.records.replica.owned_by(&controller.identity).cloned().collect();
        for id in owned {
            let mut worker = Worker::new("10.1.0.1:9000".into(), 7, now);
            worker.set_owned_since(now);
            state.machines.workers.insert(id, worker);
        }
    }
    let machines: Vec<Name> = controller.state().records.replica.machines.keys().cloned().collect();
    for id in &machines {
        let heartbeat = heartbeat(&controller, id, 1, first_token(7));
        let mut state = controller.state();
        let worker = state.machines.workers.get_mut(id).expect("owned");
        worker.receive_heartbeat(heartbeat, now);
        worker.renew_lease(now);
    }
    let mut state = controller.state();
    state.records.fresh_at = Some(now);
    let add = |replica: &mut Replica, id: &str, kind, tasks, cpus| {
        let mut job = spec(id, kind);
        (job.tasks, job.cpus) = (tasks, cpus);
        apply(replica, RecordChange::Job(id.into(), Some(Box::new(JobRecord::new(job, None, 1000)))));
    };
    // Enough tasks for nearly every machine without GPUs, of which there are three thousand.
    add(&mut state.records.replica, "j-1", JobKind::Gang, 6900, 4.0);
    add(&mut state.records.replica, "j-2", JobKind::Array, 4, 2.0);
    let cycle = scheduler::decide(&controller, &mut state, scheduler::CycleContext::new(16, now, NOW_MS))
        .expect("entitled");
    assert!(!cycle.placed_jobs.contains("j-1"), "its record cannot be written");
    assert!(cycle.placed_jobs.contains("j-2"), "other jobs are not held back");
    commit(&controller, &mut state.records.replica, cycle);
    controller.limit_changes.all_upgraded.store(true, std::sync::atomic::Ordering::Relaxed);
    let later = now + Duration::from_secs(21);
    state.records.fresh_at = Some(later);
    state.machines.workers.values_mut().for_each(|w| {
        w.note_process_pause(later);
        w.set_last_status_at(later);
    });
    let cycle = scheduler::decide(&controller, &mut state, scheduler::CycleContext::new(16, later, NOW_MS))
        .expect("entitled");
    let record = cycle.jobs.get("j-1").expect("placed");
    assert_eq!(record.assignments.len(), 6900);
    let machines: std::collections::BTreeSet<&Name> = record.assignments.iter().map(|a| &a.machine).collect();
    assert!(machines.len() > 2900, "{}", machines.len());
    let put = store::KeyWrite::new(store::key::job("j-1"), record);
    assert!(put.value_len() as f64 > controller.state_limits().value_bytes);
    let assembled =
        scheduler::build_transaction(&state.records.replica, &cycle, &controller.state_limits(), usize::MAX);
    assert_eq!(assembled.chunked_job.as_deref(), Some("j-1"));
}

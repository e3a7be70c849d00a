//! About four thousand machines, and where nothing is bounded below that. What is counted
//! here (changes, requests, bytes, machines looked at) fails when a fixed limit comes back.

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

fn apply(world: &mut Replica, change: RecordChange) {
    let version = world.revision + 1;
    world.apply(change, version);
    world.revision = version;
}

/// Takes in what a round would write, as if it had been committed; tells how many changes.
fn commit(controller: &Arc<Controller>, world: &mut Replica, mut round: scheduler::SchedulingCycle) -> usize {
    let scheduler::CycleTransaction { writes: puts, left_out, teams, .. } =
        scheduler::build_transaction(world, &round, &controller.state_limits(), usize::MAX);
    for (id, record) in std::mem::take(&mut round.jobs) {
        if !left_out.contains(&id) {
            apply(world, RecordChange::Job(id, Some(record)));
        }
    }
    for (team, record) in teams {
        apply(world, RecordChange::Team(team, Some(record)));
    }
    puts.len()
}

fn report(controller: &Arc<Controller>, machine: &str, seq: u64, token: u64) -> Heartbeat {
    let core = controller.state();
    let running = |(job, _, a): (&str, &JobRecord, &Assignment)| TaskStatus {
        task: format!("{job}/{}", a.task),
        attempt: a.attempt,
        state: TaskState::Running,
        cause: None,
        checkpointed: None,
    };
    let record = &core.records.replica.machines[machine].value;
    Heartbeat {
        machine: machine.into(),
        addr: record.addr.clone(),
        machine_type: record.machine_type.to_string(),
        zone: record.zone.to_string(),
        spot: record.spot,
        incarnation: 1,
        sequence: seq,
        fencing_token: token,
        spot_notice_s: None,
        tasks: core.records.replica.assignments(machine).map(running).collect(),
    }
}

/// An array for every machine there is. A round places as much of it as a transaction holds,
/// and it takes no more rounds than that.
#[test]
fn thousands_of_tasks_are_placed_in_as_many_rounds_as_changes_need() {
    let controller = scale::controller(MACHINES, 1);
    let now = Instant::now();
    scale::fill(&controller, now);
    let mut core = controller.state();
    let free_before: usize = core.records.replica.machines.len() - core.records.replica.jobs_by_machine.len();
    for n in 0..40 {
        let mut job = spec(&format!("j-{}", 5_000_000 + n), JobKind::Array);
        (job.tasks, job.cpus) = (100, 1.0);
        let record = JobRecord::new(job, None, 1000);
        apply(
            &mut core.records.replica,
            RecordChange::Job(record.spec.as_ref().expect("some").id.clone(), Some(Box::new(record))),
        );
    }
    let waiting = |world: &Replica| {
        world.open_job_ids.iter().map(|id| pending_task_count(&world.jobs[id].value)).sum::<u32>()
    };
    let first = waiting(&core.records.replica);
    assert!(first >= 4000, "{first}");
    let mut rounds = 0;
    while waiting(&core.records.replica) > 0 && rounds < 40 {
        rounds += 1;
        let at = now + Duration::from_millis(100 * rounds);
        core.records.fresh_at = Some(at);
        core.machines.workers.values_mut().for_each(|w| w.set_last_status_at(at));
        let round = scheduler::decide(&controller, &mut core, scheduler::CycleContext::new(16, at, NOW_MS))
            .expect("entitled");
        assert!(commit(&controller, &mut core.records.replica, round) <= 16);
    }
    assert_eq!(waiting(&core.records.replica), 0, "after {rounds} rounds, {free_before} machines were empty");
    assert!(rounds <= 8, "{rounds}");
}

/// The other controllers are gone, and one has all machines. All workers that come are
/// answered, those that do not are asked before they are given up, and no machine is given
/// up that was not.
#[test]
fn one_controller_takes_over_all_machines() {
    let controller = scale::controller(MACHINES, 5);
    let now = Instant::now();
    scale::fill(&controller, now);
    let before = controller.state().machines.workers.len();
    assert!(before < MACHINES / 2, "{before}");
    let map = ClusterMap { epoch: 8, live: vec![controller.identity.clone()] };
    {
        let mut core = controller.state();
        apply(&mut core.records.replica, RecordChange::Map(Some(map)));
        let round = scheduler::decide(&controller, &mut core, scheduler::CycleContext::new(16, now, NOW_MS))
            .expect("entitled");
        assert!(round.jobs.is_empty(), "nothing is over");
        assert_eq!(core.machines.workers.len(), MACHINES);
    }
    // Half of the workers find the new owner; each is answered and its lease renewed.
    let machines: Vec<Name> = controller.state().records.replica.machines.keys().cloned().collect();
    let later = now + Duration::from_secs(2);
    for id in machines.iter().step_by(2) {
        let report = report(&controller, id, 2, first_token(7));
        let outcome = process_heartbeat(&controller, &report, HeartbeatRoute::Direct, later);
        assert!(matches!(outcome, HeartbeatOutcome::Respond(_)), "{id}: {outcome:?}");
    }
    // The others are late. None of them has been asked yet: whatever time has passed, they
    // are not silent.
    let silent = now + controller.silence_limit() * 2;
    let mut core = controller.state();
    let unmet: Vec<Name> =
        core.machines.workers.iter().filter(|(_, w)| !w.was_heard_from()).map(|(id, _)| id.clone()).collect();
    assert!(unmet.len() > MACHINES / 4, "{}", unmet.len());
    assert!(unmet.iter().all(|id| core.machines.workers[id].silent_for(silent) == Duration::ZERO));
    for id in &unmet {
        core.machines.workers.get_mut(id).expect("owned").note_probe_failure();
    }
    assert!(unmet.iter().all(|id| core.machines.workers[id].silent_for(silent) > controller.silence_limit()));
}

/// A zone of a third of all machines is lost: a change for each job that had something there,
/// whatever their number, and the machines are told gone in one change of one record.
#[test]
fn a_zone_of_a_thousand_machines_costs_a_change_for_each_job() {
    let controller = scale::controller(MACHINES, 1);
    let now = Instant::now();
    scale::fill(&controller, now);
    let mut core = controller.state();
    let lost: Vec<Name> = core
        .records
        .replica
        .machines
        .iter()
        .filter(|(_, m)| *m.value.zone == *"d")
        .map(|(id, _)| id.clone())
        .collect();
    assert_eq!(lost.len(), MACHINES / 4);
    let hit: std::collections::BTreeSet<String> = lost
        .iter()
        .flat_map(|id| core.records.replica.assignments(id).map(|(job, ..)| job.to_owned()))
        .collect();
    let fleet = FleetRecord { scale_outs: Vec::new(), removed_machines: Some(lost) };
    assert!(store::KeyWrite::new("f".into(), &fleet).json_len() < 4096, "one small value names all of them");
    apply(&mut core.records.replica, RecordChange::Fleet(Some(fleet)));
    let (mut changes, mut rounds) = (0, 0);
    while !core.records.replica.machines_without_record.is_empty() {
        rounds += 1;
        assert!(rounds < 200, "{} left", core.records.replica.machines_without_record.len());
        let at = now + Duration::from_millis(100 * rounds);
        let round = scheduler::decide(&controller, &mut core, scheduler::CycleContext::new(16, at, NOW_MS))
            .expect("entitled");
        changes += commit(&controller, &mut core.records.replica, round);
    }
    assert!(hit.len() > 100, "{}", hit.len());
    assert!(changes <= hit.len() * 3 / 2, "{changes} changes for {} jobs", hit.len());
}

/// All controllers come back at once: what one says of the machines that it owns alone fits
/// into a message, with room for twice as many.
#[test]
fn what_one_owner_says_of_all_machines_fits_into_a_message() {
    let controller = scale::controller(2 * MACHINES, 1);
    let now = Instant::now();
    {
        let mut core = controller.state();
        let owned: Vec<Name> = core.records.replica.owned_by(&controller.identity).cloned().collect();
        assert_eq!(owned.len(), 2 * MACHINES);
        for id in owned {
            core.machines.workers.insert(id, Worker::new("10.1.0.1:9000".into(), 7, now));
        }
    }
    let summary = peer_status::own_status(&controller);
    assert_eq!(summary.machines.len(), 2 * MACHINES);
    let bytes = peer::encode(&peer::Message::PeerStatus(summary));
    assert!(bytes.len() < peer_client::MAX_MESSAGE_BYTES, "{}", bytes.len());
}

/// A gang on every machine. Before all controllers are upgraded its record cannot be written:
/// it takes nobody's room then. Afterwards it is placed, and its record lies in parts.
#[test]
fn a_gang_on_all_machines_waits_for_the_upgrade_and_is_placed_after_it() {
    let controller = scale::controller(MACHINES, 1);
    let now = Instant::now();
    {
        let mut core = controller.state();
        let owned: Vec<Name> = core.records.replica.owned_by(&controller.identity).cloned().collect();
        for id in owned {
            let mut worker = Worker::new("10.1.0.1:9000".into(), 7, now);
            worker.set_owned_since(now);
            core.machines.workers.insert(id, worker);
        }
    }
    let machines: Vec<Name> = controller.state().records.replica.machines.keys().cloned().collect();
    for id in &machines {
        let report = report(&controller, id, 1, first_token(7));
        let mut core = controller.state();
        let worker = core.machines.workers.get_mut(id).expect("owned");
        worker.receive_heartbeat(report, now);
        worker.renew_lease(now);
    }
    let mut core = controller.state();
    core.records.fresh_at = Some(now);
    let add = |world: &mut Replica, id: &str, kind, tasks, cpus| {
        let mut job = spec(id, kind);
        (job.tasks, job.cpus) = (tasks, cpus);
        apply(world, RecordChange::Job(id.into(), Some(Box::new(JobRecord::new(job, None, 1000)))));
    };
    // So many that there is one on nearly every machine without GPUs, three thousand.
    add(&mut core.records.replica, "j-1", JobKind::Gang, 6900, 4.0);
    add(&mut core.records.replica, "j-2", JobKind::Array, 4, 2.0);
    let round = scheduler::decide(&controller, &mut core, scheduler::CycleContext::new(16, now, NOW_MS))
        .expect("entitled");
    assert!(!round.placed_jobs.contains("j-1"), "its record cannot be written");
    assert!(round.placed_jobs.contains("j-2"), "nobody waits with it");
    commit(&controller, &mut core.records.replica, round);
    controller.limit_changes.all_upgraded.store(true, std::sync::atomic::Ordering::Relaxed);
    let later = now + Duration::from_secs(21);
    core.records.fresh_at = Some(later);
    core.machines.workers.values_mut().for_each(|w| {
        w.note_process_pause(later);
        w.set_last_status_at(later);
    });
    let round = scheduler::decide(&controller, &mut core, scheduler::CycleContext::new(16, later, NOW_MS))
        .expect("entitled");
    let record = round.jobs.get("j-1").expect("placed");
    assert_eq!(record.assignments.len(), 6900);
    let machines: std::collections::BTreeSet<&Name> = record.assignments.iter().map(|a| &a.machine).collect();
    assert!(machines.len() > 2900, "{}", machines.len());
    let put = store::KeyWrite::new(store::key::job("j-1"), record);
    assert!(put.value_len() as f64 > controller.state_limits().value_bytes);
    let assembled =
        scheduler::build_transaction(&core.records.replica, &round, &controller.state_limits(), usize::MAX);
    assert_eq!(assembled.chunked_job.as_deref(), Some("j-1"));
}

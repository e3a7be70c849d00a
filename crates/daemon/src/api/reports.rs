//! Reports of workers, and machines that report for the first time.

use std::sync::Arc;
use std::time::{Duration, Instant};

use net::Reply;
use sched::records::*;
use sched::replica::RecordChange;
use store::{KeyWrite, StoreError, TxnOutcome, key};
use tokio::time::sleep;
use tracing::{debug, info};
use wire::{Condition, Heartbeat, HeartbeatResponse, Redirect};

use crate::clock;
use crate::controller::Controller;
use crate::load::{LoadCounters, Purpose, sample_names};
use crate::peers;
use crate::state::ControllerState;
use crate::worker::{Worker, final_stops, first_token};

fn elsewhere(report_to: Option<String>) -> Reply {
    Reply::new(421, &Redirect { report_to })
}

/// What becomes of a report.
pub(crate) enum Disposal {
    Answer(Reply),
    /// The machine's owner cannot reach it, perhaps: pass the report on.
    Relay(String),
    /// No record of the machine yet.
    Adopt(u64),
}

/// A worker's report, straight from it or passed on by a peer.
pub async fn report(controller: &Controller, body: &[u8], relayed: bool) -> Reply {
    let report: Heartbeat = match wire::decode(body) {
        Ok(r) => r,
        Err(e) => return Reply::error(400, &e.to_string()),
    };
    if !report.is_named() {
        return Reply::error(400, "frame: not a machine's name");
    }
    LoadCounters::add(&controller.load.heartbeats, 1);
    match take_report(controller, &report, relayed, clock::now()) {
        Disposal::Answer(reply) => {
            LoadCounters::add(&controller.load.heartbeats_not_renewed, u64::from(reply.status != 200));
            reply
        }
        Disposal::Relay(owner) => {
            peers::relay(controller, &owner, body.to_vec()).await.unwrap_or_else(|| elsewhere(None))
        }
        Disposal::Adopt(epoch) => {
            // Nobody knows this machine yet: it is recorded before anything is launched.
            arrived(controller, &report);
            Reply::new(200, &HeartbeatResponse { fencing_token: first_token(epoch), commands: Vec::new() })
        }
    }
}

pub(crate) fn take_report(
    controller: &Controller,
    report: &Heartbeat,
    relayed: bool,
    now: Instant,
) -> Disposal {
    let machine = &report.machine;
    let mut guard = controller.state();
    let state = &mut *guard;
    let Some(map) = state.records.replica.current_map() else { return Disposal::Answer(elsewhere(None)) };
    let known = state.records.replica.owner_of(machine);
    let Some(owner) = known.or_else(|| map.owner(machine, &report.zone)).cloned() else {
        return Disposal::Answer(elsewhere(None));
    };
    let epoch = map.epoch;
    // Only the owner can renew the lease of a worker that has to stop something: the
    // answers of others have no commands.
    let must_stop = |state: &ControllerState| !final_stops(&report.tasks, &state.records.replica).is_empty();
    if owner != controller.identity {
        if relayed || owner.name == controller.identity.name {
            return Disposal::Answer(elsewhere(None));
        }
        // The worker has seen nobody of this epoch yet: after a crash of several
        // controllers its lease may be about to end. Any live controller renews
        // it once, with the epoch's first token; the next report is sent on.
        let token = first_token(epoch);
        if report.fencing_token < token && controller.may_renew_leases(state, now) && !must_stop(state) {
            return Disposal::Answer(Reply::new(
                200,
                &HeartbeatResponse { fencing_token: token, commands: Vec::new() },
            ));
        }
        state.machines.prune_redirections(state.records.replica.machines.len(), now);
        if state.machines.was_redirected(machine, now) {
            // It was sent to its owner just now and came back.
            return Disposal::Relay(owner.name);
        }
        state.machines.note_redirection(machine, now);
        return Disposal::Answer(elsewhere(Some(owner.name)));
    }
    if !controller.may_renew_leases(state, now) {
        return Disposal::Answer(elsewhere(None));
    }
    if !state.records.replica.machines.contains_key(machine.as_str()) {
        return if must_stop(state) { Disposal::Answer(elsewhere(None)) } else { Disposal::Adopt(epoch) };
    }
    let limits = controller.worker_limits(state.records.fresh_at);
    let owned_since = state.records.replica.owned_since_epoch(machine);
    if state.machines.workers.get(machine.as_str()).is_some_and(|w| w.lapsed(owned_since)) {
        state.machines.workers.remove(machine.as_str());
    }
    let worker = state
        .machines
        .workers
        .entry(machine.as_str().into())
        .or_insert_with(|| Worker::new(report.addr.clone(), epoch, now));
    worker.enter_epoch(epoch);
    if worker.overtaken_by(report) {
        return Disposal::Answer(elsewhere(None));
    }
    let news = worker.ingest(report.clone(), true, now);
    // A copy of an older report gets nothing new to do; it may still be the one that
    // the worker waits to have answered.
    worker.renew(now);
    let commands = match news {
        true => worker.answer(machine, &state.records.replica, &limits, now),
        false => worker.final_stops(&state.records.replica),
    };
    let answer = HeartbeatResponse { fencing_token: worker.token(), commands };
    if worker.due(now) {
        controller.wake_scheduler.notify_one();
    }
    Disposal::Answer(Reply::new(200, &answer))
}

fn arrived(controller: &Controller, report: &Heartbeat) {
    let record = MachineRecord {
        addr: report.addr.clone(),
        machine_type: report.machine_type.as_str().into(),
        zone: report.zone.as_str().into(),
        spot: report.spot,
        release: false,
    };
    controller.state().machines.unrecorded.insert(report.machine.as_str().into(), record);
    controller.unrecorded_machine.notify_one();
}

/// Records machines that have reported for the first time, many at once. Each
/// is asked itself first: a late copy of a report must not bring back a machine
/// that was returned.
pub async fn arrivals(controller: Arc<Controller>) {
    loop {
        controller.unrecorded_machine.notified().await;
        sleep(Duration::from_millis(150)).await;
        loop {
            let list: Vec<(Name, MachineRecord)> = {
                let mut state = controller.state();
                let ControllerState { machines, records, .. } = &mut *state;
                let (arrivals, world) = (&mut machines.unrecorded, &records.replica);
                arrivals.retain(|id, _| !world.machines.contains_key(id));
                let ops = controller.state_limits().txn_ops;
                let some: Vec<Name> = arrivals.keys().take(ops).cloned().collect();
                some.into_iter().filter_map(|id| arrivals.remove_entry(&id)).collect()
            };
            if list.is_empty() {
                break;
            }
            let asked: Vec<_> = list
                .into_iter()
                .map(|(id, record)| {
                    let controller = controller.clone();
                    let tasks = controller.task_tracker.clone();
                    tasks.spawn(
                        async move { answers(&controller, &id, &record).await.then_some((id, record)) },
                    )
                })
                .collect();
            let mut there = Vec::new();
            for a in asked {
                there.extend(a.await.ok().flatten());
            }
            record_machines(&controller, there).await;
        }
    }
}

pub(crate) async fn answers(controller: &Controller, machine: &str, record: &MachineRecord) -> bool {
    let deadline = Duration::from_millis(1500);
    let answer = controller
        .worker_http
        .request(&record.addr, "GET", "/status", Vec::new(), wire::BODY_LIMIT * 4, deadline)
        .await;
    answer.is_ok_and(|a| wire::decode::<Heartbeat>(&a.body).is_ok_and(|r| r.machine == machine))
}

async fn record_machines(controller: &Controller, list: Vec<(Name, MachineRecord)>) {
    if list.is_empty() {
        return;
    }
    controller.wait_for_write(list.len(), 0.0).await;
    controller.load.spend(Purpose::Machines, list.len());
    let conditions = list.iter().map(|(id, _)| Condition { key: key::machine(id), version: 0 }).collect();
    let puts = list.iter().map(|(id, r)| KeyWrite::new(key::machine(id), r)).collect();
    match controller.commit(conditions, puts).await {
        Ok(TxnOutcome::Committed { revision }) => {
            let mut state = controller.state();
            let names: Vec<&Name> = list.iter().map(|(id, _)| id).collect();
            info!(count = names.len(), machines = sample_names(&names), "machines are up");
            for (id, record) in list {
                debug!(
                    machine = &*id,
                    zone = &*record.zone,
                    kind = &*record.machine_type,
                    spot = record.spot,
                    "machine is up"
                );
                state.records.replica.apply(RecordChange::Machine(id.to_string(), Some(record)), revision);
            }
            controller.wake_scheduler.notify_one();
            controller.peer_status_due.notify_one();
        }
        Ok(TxnOutcome::Conflict { revision, .. }) => {
            controller.wait_for_revision(revision, Duration::from_secs(1)).await;
        }
        Err(e) => {
            debug!(error = %e, "machines were not recorded");
            controller.note_refusal(&e);
            if matches!(e, StoreError::RateLimited) {
                // Not waited for until they report again.
                controller.state().machines.unrecorded.extend(list);
            }
        }
    }
}

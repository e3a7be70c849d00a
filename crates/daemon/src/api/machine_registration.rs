//! Registration of machines that have sent their first heartbeat.

use std::sync::Arc;
use std::time::Duration;

use sched::records::{MachineRecord, Name};
use sched::replica::RecordChange;
use store::{KeyWrite, StoreError, TxnOutcome, key};
use tokio::time::sleep;
use tracing::{debug, info};
use wire::Condition;

use super::CONFLICT_TIMEOUT;
use crate::clock;
use crate::controller::Controller;
use crate::load::{Purpose, sample_names};
use crate::state::ControllerState;
use crate::worker_client::fetch_status;

/// How long further machines are collected before a batch is recorded.
const BATCH_DELAY: Duration = Duration::from_millis(150);
/// How long a machine has to confirm its name when it is asked.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(1500);

/// A machine that has no record yet, and the record to be written for it.
pub(crate) type NewMachine = (Name, MachineRecord);

/// Records new machines in batches until the controller stops. Each machine is first asked to
/// confirm its name, so that a delayed duplicate of a heartbeat does not record a released machine
/// again.
pub async fn register_machines(controller: Arc<Controller>) {
    loop {
        controller.unrecorded_machine.notified().await;
        sleep(BATCH_DELAY).await;
        loop {
            let batch = next_batch(&controller);
            if batch.is_empty() {
                break;
            }
            let confirmed = confirm(&controller, batch).await;
            record_machines(&controller, confirmed).await;
        }
    }
}

/// Takes as many unrecorded machines as one transaction can hold; none while this controller is
/// superseded, as their present owner registers them.
pub(crate) fn next_batch(controller: &Controller) -> Vec<NewMachine> {
    let mut state = controller.state();
    if state.is_superseded() {
        state.machines.unrecorded.clear();
        return Vec::new();
    }
    let ControllerState { machines, records, .. } = &mut *state;
    let (unrecorded, replica) = (&mut machines.unrecorded, &records.replica);
    unrecorded.retain(|id, _| !replica.machines.contains_key(id));
    let batch_size = controller.state_limits().txn_ops.min(unrecorded.len());
    unrecorded.drain(..batch_size).collect()
}

/// Asks all machines of a batch concurrently, and returns those that confirm their names.
async fn confirm(controller: &Arc<Controller>, batch: Vec<NewMachine>) -> Vec<NewMachine> {
    let requests: Vec<_> = batch
        .into_iter()
        .map(|(id, record)| {
            let controller_for_request = controller.clone();
            controller.task_tracker.spawn(async move {
                confirms_name(&controller_for_request, &id, &record).await.then_some((id, record))
            })
        })
        .collect();
    let mut confirmed = Vec::new();
    for request in requests {
        confirmed.extend(request.await.ok().flatten());
    }
    confirmed
}

/// Whether the worker at the recorded address reports that it runs on this machine.
pub(crate) async fn confirms_name(controller: &Controller, machine: &str, record: &MachineRecord) -> bool {
    let status = fetch_status(controller, machine, &record.addr, CONFIRMATION_TIMEOUT).await;
    let Ok(Some(status)) = status else { return false };
    controller.state().note_worker_token(machine, status.fencing_token, clock::now());
    true
}

/// Records machines, unless this controller has been superseded since it took them.
pub(crate) async fn record_machines(controller: &Controller, machines: Vec<NewMachine>) {
    if machines.is_empty() || controller.state().is_superseded() {
        return;
    }
    controller.wait_for_write(machines.len(), 0.0).await;
    controller.load.count_changes(Purpose::Machines, machines.len());
    let conditions = machines.iter().map(|(id, _)| Condition { key: key::machine(id), version: 0 }).collect();
    let writes = machines.iter().map(|(id, record)| KeyWrite::new(key::machine(id), record)).collect();
    match controller.commit(conditions, writes).await {
        Ok(TxnOutcome::Committed { revision }) => {
            apply_registrations(controller, machines, revision);
            controller.wake_scheduler.notify_one();
            controller.peer_status_due.notify_one();
        }
        Ok(TxnOutcome::Conflict { revision, .. }) => {
            controller.wait_for_revision(revision, CONFLICT_TIMEOUT).await;
        }
        Err(error) => {
            debug!(%error, "machine registration failed");
            controller.note_refusal(&error);
            if matches!(error, StoreError::RateLimited) {
                // Retried without waiting for the machines' next heartbeats.
                controller.state().machines.unrecorded.extend(machines);
            }
        }
    }
}

/// Adds newly recorded machines to the replica.
fn apply_registrations(controller: &Controller, machines: Vec<NewMachine>, revision: u64) {
    let mut state = controller.state();
    let names: Vec<&Name> = machines.iter().map(|(id, _)| id).collect();
    info!(count = names.len(), machines = sample_names(&names), "machines registered");
    for (id, record) in machines {
        debug!(
            machine = &*id,
            zone = &*record.zone,
            machine_type = &*record.machine_type,
            spot = record.spot,
            "machine registered"
        );
        state.records.replica.apply(RecordChange::Machine(id.to_string(), Some(record)), revision);
    }
}

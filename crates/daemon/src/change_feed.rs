//! The copy of the records: read once, then kept up to date from the key-value store's change feed.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rmpv::Value;
use sched::records::Name;
use sched::replica::{RecordChange, Replica};
use store::{StoreError, key};
use tokio::time::sleep;
use tracing::{info, warn};
use wire::Changes;

use crate::clock;
use crate::controller::Controller;
use crate::load::sample_names;
use crate::read_records::read_records;
use crate::state::ControllerState;

/// How long one request waits for changes.
const WATCH_TIMEOUT: Duration = Duration::from_secs(8);
/// Pause before the key-value store is asked again after an error.
const RETRY_BACKOFF: Duration = Duration::from_millis(250);

/// Reads all records once, then follows the changes, until the controller stops.
pub async fn follow_records(controller: Arc<Controller>) {
    let mut failing = false;
    loop {
        let is_loaded = controller.state().records.is_loaded;
        let step = if is_loaded { follow_changes(&controller).await } else { load(&controller).await };
        match step {
            Ok(()) => failing = false,
            Err(StoreError::Compacted) => {
                info!("change feed compacted; reading all records again");
                controller.state().records.is_loaded = false;
            }
            Err(error) => {
                if !failing {
                    warn!(%error, "change feed failed");
                }
                failing = true;
                sleep(RETRY_BACKOFF).await;
            }
        }
    }
}

/// Reads all records.
async fn load(controller: &Controller) -> Result<(), StoreError> {
    let (mut replica, reader) = read_records(&controller.kv_client).await?;
    let revision = replica.revision;
    let (jobs, machines) = (replica.jobs.len(), replica.machines.len());
    {
        let mut state = controller.state();
        keep_newer(&mut replica, &state.records.replica);
        state.records.replica = replica;
        state.records.reader = reader;
        state.records.is_loaded = true;
        check_schema_versions(controller, &state);
    }
    info!(revision, jobs, machines, "records read");
    controller.replica_revision.send_replace(revision);
    controller.wake_scheduler.notify_one();
    Ok(())
}

/// Copies what this controller has committed or learnt since the first page was read. A
/// cancellation that it confirmed meanwhile would else be missing from its read index, and
/// another controller would go on renewing the leases of its tasks.
fn keep_newer(read: &mut Replica, known: &Replica) {
    let since = read.revision;
    for (id, job) in known.jobs.iter().filter(|(_, job)| job.version > since) {
        read.apply(RecordChange::Job(id.clone(), Some(job.value.clone())), job.version);
    }
    for (id, machine) in known.machines.iter().filter(|(_, machine)| machine.version > since) {
        read.apply(RecordChange::Machine(id.to_string(), Some(machine.value.clone())), machine.version);
    }
    for (id, team) in known.teams.iter().filter(|(_, team)| team.version > since) {
        read.apply(RecordChange::Team(id.clone(), Some(team.value.clone())), team.version);
    }
    if let Some(fleet) = known.fleet.as_ref().filter(|fleet| fleet.version > since) {
        read.apply(RecordChange::Fleet(Some(fleet.value.clone())), fleet.version);
    }
}

/// Waits for changes and applies them.
async fn follow_changes(controller: &Controller) -> Result<(), StoreError> {
    let after = controller.state().records.replica.revision;
    let changes = controller.kv_client.watch(after, WATCH_TIMEOUT).await?;
    apply_changes(controller, changes);
    // Each answer costs one more request, and one of them can tell of many changes.
    sleep(controller.watch_interval()).await;
    Ok(())
}

/// Applies changes to the copy of the records. Answers may overlap and overtake each other: what
/// is known already is passed over.
pub(crate) fn apply_changes(controller: &Controller, mut changes: Changes<Value>) {
    // The latest of a key's changes has to come last, in whatever order they are told.
    changes.events.sort_by_key(|event| event.version);
    let mut state = controller.state();
    if changes.revision <= state.records.replica.revision {
        return;
    }
    let map_before = state.cluster_map().map(|map| map.epoch);
    let has_new_map = changes.events.iter().any(|event| event.put.as_deref() == Some(key::MAP));
    let owners_before =
        if has_new_map { state.peers.machine_owners(&state.records.replica) } else { HashMap::default() };
    for event in changes.events {
        state.records.apply_event(event);
    }
    check_schema_versions(controller, &state);
    state.records.replica.revision = changes.revision;
    if state.cluster_map().map(|map| map.epoch) != map_before {
        note_new_cluster_map(controller, &mut state, &owners_before);
    }
    controller.update_write_share(&mut state, clock::now());
    drop(state);
    controller.replica_revision.send_replace(changes.revision);
    controller.wake_scheduler.notify_one();
}

/// Forgets what former owners said of machines that have others now.
fn note_new_cluster_map(
    controller: &Controller,
    state: &mut ControllerState,
    owners_before: &HashMap<Name, u64>,
) {
    let ControllerState { records, peers, .. } = state;
    peers.forget_reassigned_machines(owners_before, &records.replica);
    let (epoch, live) = state.cluster_map().map_or((0, 0), |map| (map.epoch, map.live.len()));
    info!(epoch, live, entitled = state.is_live(&controller.identity), "new cluster map");
}

/// Allows chunked records once every configured controller has recorded that it will not come
/// back old; one that is dead or cut off still may, until it has.
fn check_schema_versions(controller: &Controller, state: &ControllerState) {
    if controller.limit_changes.all_upgraded.load(Ordering::Relaxed) {
        return;
    }
    let peers = controller.settings.peers.iter().map(|peer| &peer.node_name);
    let names = peers.chain([&controller.settings.node_name]);
    let schema_versions = &state.records.replica.schema_versions;
    let missing: Vec<&String> = names.filter(|name| !schema_versions.contains_key(*name)).collect();
    if missing.is_empty() {
        controller.limit_changes.all_upgraded.store(true, Ordering::Relaxed);
        let plan = controller.state_limits();
        info!(value_bytes = plan.value_bytes, txn_ops = plan.txn_ops, "chunked records enabled");
    } else if controller.limit_changes.missing_has_changed(missing.len()) {
        info!(controllers = sample_names(&missing), "chunked records wait for upgrades");
    }
}

#[cfg(test)]
#[path = "../tests/unit/change_feed.rs"]
mod tests;

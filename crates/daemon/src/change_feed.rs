//! Maintains the copy of the records: reads all of them once, and again if the change feed was
//! compacted, and then applies the changes of the key-value store's change feed.

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

/// How long one watch request waits for changes.
const WATCH_TIMEOUT: Duration = Duration::from_secs(8);
/// Pause before the next request after an error of the key-value store.
const RETRY_BACKOFF: Duration = Duration::from_millis(250);

/// Reads all records once, then follows the changes, until the controller stops.
pub async fn follow_records(controller: Arc<Controller>) {
    let mut failing = false;
    loop {
        let is_loaded = controller.state().records.is_loaded;
        let result = if is_loaded { follow_changes(&controller).await } else { load(&controller).await };
        match result {
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
        merge_newer_records(&mut replica, &state.records.replica);
        state.records.replica = replica;
        state.records.reader = reader;
        state.records.is_loaded = true;
        check_schema_versions(controller, &state);
    }
    info!(revision, jobs, machines, "records read");
    controller.replica_revision.set(revision);
    controller.wake_scheduler.notify_one();
    Ok(())
}

/// Merges the records that this controller knows in a version later than the first page into those
/// that were read. Otherwise a cancellation that it confirmed during the read would be missing from
/// its read index, and another controller would keep renewing the leases of the job's tasks.
fn merge_newer_records(read: &mut Replica, known: &Replica) {
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
    // Spaces out the requests: every answer costs one more, and one answer can hold many changes.
    sleep(controller.watch_interval()).await;
    Ok(())
}

/// Applies changes to the copy of the records. Answers may overlap and arrive out of order; changes
/// that are already known are skipped.
pub(crate) fn apply_changes(controller: &Controller, mut changes: Changes<Value>) {
    // The changes of a key have to be applied by version, whatever their order in the answer.
    changes.events.sort_by_key(|event| event.version);
    let mut state = controller.state();
    if changes.revision <= state.records.replica.revision {
        return;
    }
    let epoch_before = state.cluster_map().map(|map| map.epoch);
    let writes_map = changes.events.iter().any(|event| event.put.as_deref() == Some(key::MAP));
    let owners_before =
        if writes_map { state.peers.machine_owners(&state.records.replica) } else { HashMap::default() };
    for event in changes.events {
        state.records.apply_event(event);
    }
    check_schema_versions(controller, &state);
    state.records.replica.revision = changes.revision;
    if state.cluster_map().map(|map| map.epoch) != epoch_before {
        handle_new_cluster_map(controller, &mut state, &owners_before);
    }
    controller.update_write_share(&mut state, clock::now());
    drop(state);
    controller.replica_revision.set(changes.revision);
    controller.wake_scheduler.notify_one();
}

/// Drops what former owners reported about machines that have other owners now, and logs the map.
fn handle_new_cluster_map(
    controller: &Controller,
    state: &mut ControllerState,
    owners_before: &HashMap<Name, u64>,
) {
    let ControllerState { records, peers, .. } = state;
    peers.forget_reassigned_machines(owners_before, &records.replica);
    let (epoch, live) = state.cluster_map().map_or((0, 0), |map| (map.epoch, map.live.len()));
    info!(epoch, live, entitled = state.is_live(&controller.identity), "new cluster map");
}

/// Enables chunked records once every configured controller has recorded a schema version, by which
/// it declares that it will not return to the old version. Until it has, a controller that is dead
/// or partitioned may still return with the old version.
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
        let limits = controller.state_limits();
        info!(value_bytes = limits.value_bytes, txn_ops = limits.txn_ops, "chunked records enabled");
    } else if controller.limit_changes.not_upgraded_count_has_changed(missing.len()) {
        info!(
            controllers = sample_names(&missing),
            "waiting for upgrades of these controllers before chunked records are enabled"
        );
    }
}

#[cfg(test)]
#[path = "../tests/unit/change_feed.rs"]
mod tests;

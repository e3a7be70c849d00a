//! The records of machines that have been released: the removal is recorded at once, the machines'
//! own records are deleted later.

use sched::records::{FleetRecord, Name};
use store::{KeyWrite, key};
use wire::Condition;

use super::Autoscaler;
use super::fleet_record::{free_names, is_half_full, update_fleet_record};
use super::leader_write::write_as_leader;
use crate::clock;
use crate::controller::Controller;

/// Records are deleted while the rate limit of writes has at least this part of a second's writes
/// left, so that nothing else waits for them.
const MIN_AVAILABLE_WRITES_S: f64 = 0.6;

/// A machine whose removal is recorded.
struct RemovedMachine {
    id: Name,
    /// The version of its own record.
    version: u64,
}

/// A deletion of records of removed machines.
struct RecordDeletion {
    machines: Vec<RemovedMachine>,
    /// The fleet's record, which still names them.
    fleet: FleetRecord,
    /// The version of the fleet's record.
    fleet_version: u64,
}

impl Autoscaler {
    /// Records that machines are removed, as their release is confirmed: no task on them runs.
    pub(super) async fn record_removal(&self, controller: &Controller, machines: Vec<Name>) {
        let recorded = recordable(controller, &machines);
        if recorded.is_empty() {
            return;
        }
        let add_removed = |fleet: &mut FleetRecord| {
            let removed = fleet.removed_machines.get_or_insert_default();
            removed.extend(recorded.iter().map(|(id, _)| id.clone()));
            removed.sort_unstable();
            removed.dedup();
        };
        if update_fleet_record(controller, add_removed).await {
            for (_, address) in &recorded {
                controller.worker_http.close_idle(address);
            }
        }
    }

    /// Deletes the records of removed machines, while nothing else needs the writes.
    pub(super) async fn delete_removed_machines(&self, controller: &Controller) {
        let Some(deletion) = next_deletion(controller) else { return };
        let RecordDeletion { machines, mut fleet, fleet_version } = deletion;
        if let Some(removed) = &mut fleet.removed_machines {
            removed.retain(|id| !machines.iter().any(|machine| machine.id == *id));
        }
        fleet.removed_machines = fleet.removed_machines.filter(|removed| !removed.is_empty());
        let mut conditions = vec![Condition { key: key::FLEET.into(), version: fleet_version }];
        conditions
            .extend(machines.iter().map(|m| Condition { key: key::machine(&m.id), version: m.version }));
        let mut writes = vec![KeyWrite::new(key::FLEET.into(), &fleet)];
        writes.extend(machines.iter().map(|m| KeyWrite::delete(key::machine(&m.id))));
        write_as_leader(controller, conditions, writes).await;
    }
}

/// Those of the machines that have a record, with their addresses: as many as the fleet's record
/// has space for.
fn recordable(controller: &Controller, machines: &[Name]) -> Vec<(Name, String)> {
    let state = controller.state();
    let replica = &state.records.replica;
    let max_names = replica.fleet.as_ref().map_or(usize::MAX, |fleet| free_names(&fleet.value, controller));
    let with_address =
        |id: &Name| replica.machines.get(id).map(|machine| (id.clone(), machine.value.addr.clone()));
    machines.iter().filter_map(with_address).take(max_names).collect()
}

/// The next records to delete, as many as a transaction may change. The fleet's record is changed in
/// the same transaction.
fn next_deletion(controller: &Controller) -> Option<RecordDeletion> {
    let max_writes = controller.state_limits().txn_ops;
    let mut state = controller.state();
    let available = state.writes.limiter.available(clock::now());
    let min_available = state.writes.limiter.per_second() * MIN_AVAILABLE_WRITES_S;
    let replica = &state.records.replica;
    let fleet = replica.fleet.as_ref()?;
    if replica.removed_machines.is_empty()
        || available < min_available && !is_half_full(&fleet.value, controller)
    {
        return None;
    }
    let removed = replica.removed_machines.iter().take(max_writes - 1);
    let machines =
        removed.map(|(id, machine)| RemovedMachine { id: id.clone(), version: machine.version }).collect();
    Some(RecordDeletion { machines, fleet: fleet.value.clone(), fleet_version: fleet.version })
}

//! The records of released machines: the removal is recorded in the fleet's record immediately, and
//! the machines' own records are deleted later.

use sched::records::{FleetRecord, Name};
use store::{KeyWrite, key};
use wire::Condition;

use super::Autoscaler;
use super::fleet_record::{is_half_full, remaining_name_capacity, update_fleet_record};
use super::leader_write::write_as_leader;
use crate::clock;
use crate::controller::Controller;

/// Records are deleted only while the rate limit leaves at least as many writes as it allows in
/// this many seconds, so that no other write has to wait for a deletion.
const MIN_AVAILABLE_WRITES_S: f64 = 0.6;

/// A machine whose removal is recorded and whose own record is to be deleted.
struct RemovedMachine {
    id: Name,
    /// The version of the machine's own record.
    version: u64,
}

/// A transaction that deletes the records of removed machines.
struct RecordDeletion {
    machines: Vec<RemovedMachine>,
    /// The fleet's record, which still names these machines.
    fleet: FleetRecord,
    /// The version of the fleet's record.
    fleet_version: u64,
}

impl Autoscaler {
    /// Records the removal of machines whose release the cloud has confirmed: no task runs on them
    /// any more.
    pub(super) async fn record_removal(&self, controller: &Controller, machines: Vec<Name>) {
        let recorded = recordable_removals(controller, &machines);
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

    /// Deletes records of removed machines while no other work needs the writes.
    pub(super) async fn delete_removed_machines(&self, controller: &Controller) {
        let Some(deletion) = next_deletion(controller) else { return };
        let RecordDeletion { machines, mut fleet, fleet_version } = deletion;
        if let Some(removed) = &mut fleet.removed_machines {
            removed.retain(|id| !machines.iter().any(|machine| machine.id == *id));
        }
        fleet.removed_machines = fleet.removed_machines.filter(|removed| !removed.is_empty());
        let mut conditions = vec![Condition { key: key::FLEET.into(), version: fleet_version }];
        conditions.extend(
            machines
                .iter()
                .map(|machine| Condition { key: key::machine(&machine.id), version: machine.version }),
        );
        let mut writes = vec![KeyWrite::new(key::FLEET.into(), &fleet)];
        writes.extend(machines.iter().map(|machine| KeyWrite::delete(key::machine(&machine.id))));
        write_as_leader(controller, conditions, writes).await;
    }
}

/// The names and addresses of the machines that have a record, at most as many as the fleet's
/// record has space for.
fn recordable_removals(controller: &Controller, machines: &[Name]) -> Vec<(Name, String)> {
    let state = controller.state();
    let replica = &state.records.replica;
    let max_names =
        replica.fleet.as_ref().map_or(usize::MAX, |fleet| remaining_name_capacity(&fleet.value, controller));
    let with_address =
        |id: &Name| replica.machines.get(id).map(|machine| (id.clone(), machine.value.addr.clone()));
    machines.iter().filter_map(with_address).take(max_names).collect()
}

/// The next records to delete: as many as fit in a transaction, which changes the fleet's record,
/// too. `None` if there are none or the writes are needed otherwise.
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

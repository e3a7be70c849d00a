//! Updates of the fleet's record, and the limit on its size.

use sched::records::{FleetRecord, ScaleOut};
use store::{KeyWrite, key};
use wire::Condition;

use super::leader_write::write_as_leader;
use crate::controller::Controller;

/// Maximum number of attempts to update the record.
const MAX_UPDATE_ATTEMPTS: usize = 3;
/// Maximum number of bytes that a machine's name takes in the record, where it is stored as a
/// difference from the name before it: most names hold six digits, and a character encodes five
/// bits.
const MAX_NAME_BYTES: usize = 4;
/// Maximum number of key-value store values that the record may span where values are small: each
/// further value costs one more write per change of the record.
const MAX_RECORD_VALUES: f64 = 3.0;
/// Share of the maximum size that is used.
const USABLE_SIZE_FRACTION: f64 = 0.95;
/// Number of bytes in a kilobyte, as the settings use the unit.
const BYTES_PER_KB: f64 = 1024.0;

/// Changes the scale-outs in the fleet's record. Returns whether the change was committed.
pub async fn update_scale_outs(controller: &Controller, change: impl Fn(&mut Vec<ScaleOut>)) -> bool {
    update_fleet_record(controller, |fleet| change(&mut fleet.scale_outs)).await
}

/// Changes the fleet's record, and retries on the newer version if a concurrent change was
/// committed first. Returns whether the change was committed.
pub async fn update_fleet_record(controller: &Controller, change: impl Fn(&mut FleetRecord)) -> bool {
    for _ in 0..MAX_UPDATE_ATTEMPTS {
        let (mut fleet, version) = {
            let state = controller.state();
            let known = state.records.replica.fleet.as_ref();
            known.map_or((FleetRecord::default(), 0), |fleet| (fleet.value.clone(), fleet.version))
        };
        change(&mut fleet);
        let condition = Condition { key: key::FLEET.into(), version };
        let write = KeyWrite::new(key::FLEET.into(), &fleet);
        if write_as_leader(controller, vec![condition], vec![write]).await {
            return true;
        }
        if !controller.state().is_leader(&controller.identity) {
            return false;
        }
    }
    false
}

/// How many more machine names are certain to fit into the record. Without this bound the key-value
/// store could refuse the record when hundreds of machines are requested and lost at a time, and no
/// further removal could be recorded.
pub fn remaining_name_capacity(fleet: &FleetRecord, controller: &Controller) -> usize {
    max_record_bytes(controller).saturating_sub(record_bytes(fleet)) / MAX_NAME_BYTES
}

/// Whether the record is so large that removed machines should be deleted from it even while other
/// writes wait; otherwise the next change might not fit.
pub fn is_half_full(fleet: &FleetRecord, controller: &Controller) -> bool {
    record_bytes(fleet) > max_record_bytes(controller) / 2
}

fn max_record_bytes(controller: &Controller) -> usize {
    let limits = controller.state_limits();
    let configured_bytes = controller.settings.facts.state.value_kb * BYTES_PER_KB;
    let bytes = if limits.chunked {
        configured_bytes.min(limits.value_bytes * MAX_RECORD_VALUES)
    } else {
        limits.value_bytes
    };
    (bytes * USABLE_SIZE_FRACTION) as usize
}

fn record_bytes(fleet: &FleetRecord) -> usize {
    KeyWrite::new(key::FLEET.into(), fleet).json_len()
}

#[cfg(test)]
#[path = "../../tests/unit/autoscaler_fleet_record.rs"]
mod tests;

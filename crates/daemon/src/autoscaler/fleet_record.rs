//! Changes of the fleet's record, and how large it may become.

use sched::records::{FleetRecord, ScaleOut};
use store::{KeyWrite, key};
use wire::Condition;

use super::leader_write::write_as_leader;
use crate::controller::Controller;

/// How often a change of the record is tried.
const MAX_UPDATE_ATTEMPTS: usize = 3;
/// Most bytes that a machine's name takes in the record beside the one before it: most names hold
/// six digits, and a character has five bits.
const MAX_NAME_BYTES: usize = 4;
/// How many values of the key-value store the record may take where values are small: each change
/// of the record costs one write more for each of them.
const MAX_RECORD_VALUES: f64 = 3.0;
/// The part of the greatest size that is used.
const USABLE_SIZE_FRACTION: f64 = 0.95;
/// Bytes in a kilobyte of the settings.
const BYTES_PER_KB: f64 = 1024.0;

/// Changes the scale-outs of the fleet's record. Returns whether that was written.
pub async fn update_scale_outs(controller: &Controller, change: impl Fn(&mut Vec<ScaleOut>)) -> bool {
    update_fleet_record(controller, |fleet| change(&mut fleet.scale_outs)).await
}

/// Changes the fleet's record, again on the newer record if another change came first. Returns
/// whether that was written.
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

/// How many more names of machines the record surely holds. Without this bound the key-value store
/// could refuse the record once hundreds of machines are requested and lost at a time, and no
/// removal would be recorded any more.
pub fn free_names(fleet: &FleetRecord, controller: &Controller) -> usize {
    max_record_bytes(controller).saturating_sub(record_bytes(fleet)) / MAX_NAME_BYTES
}

/// Whether removed machines should be deleted from the record although other writes wait: the next
/// change might not fit otherwise.
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

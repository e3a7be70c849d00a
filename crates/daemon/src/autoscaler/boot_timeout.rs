//! When a requested machine counts as one that will never come up.

use std::time::Instant;

use sched::records::{Name, ScaleOut};
use sched::replica::Replica;
use wire::ListedMachine;

use super::Autoscaler;
use crate::state::ControllerState;

/// A machine is overdue after this many times the usual boot time of its type …
const BOOT_TIMEOUT_FACTOR: f64 = 3.0;
/// … plus this many seconds.
const BOOT_TIMEOUT_EXTRA_S: f64 = 15.0;
/// Boot time assumed for machines of an unknown type, in seconds.
const DEFAULT_BOOT_S: f64 = 60.0;

/// How long a request without an answer stays recorded, in seconds. Machines that the cloud starts
/// for it later register without the record.
const MAX_REQUEST_AGE_S: f64 = 30.0;

/// The usual boot time of a machine type, in seconds.
pub fn usual_boot_s(replica: &Replica, machine_type: &str) -> f64 {
    replica.machine_types.get(machine_type).map_or(DEFAULT_BOOT_S, |machine_type| machine_type.boot_s)
}

/// Seconds since a scale-out was requested.
pub fn age_s(scale_out: &ScaleOut, now_ms: u64) -> f64 {
    now_ms.saturating_sub(scale_out.requested_ms) as f64 / 1000.0
}

/// Whether the answer to a request is still awaited.
pub fn may_be_answered(scale_out: &ScaleOut, now_ms: u64) -> bool {
    scale_out.machines.is_none() && age_s(scale_out, now_ms) <= MAX_REQUEST_AGE_S
}

/// Whether a machine that was requested `age_s` seconds ago should have come up by now.
pub fn is_overdue(replica: &Replica, machine_type: &str, age_s: f64) -> bool {
    age_s > usual_boot_s(replica, machine_type) * BOOT_TIMEOUT_FACTOR + BOOT_TIMEOUT_EXTRA_S
}

impl Autoscaler {
    /// The machines of scale-outs that should have come up but have not. None if the replica is
    /// stale: by a stale replica, machines that are up and busy would seem overdue.
    pub(super) fn overdue_machines(&self, state: &ControllerState, now: Instant, now_ms: u64) -> Vec<Name> {
        let replica = &state.records.replica;
        let Some(fleet) = replica.fleet.as_ref().filter(|_| state.may_stop_work(now)) else {
            return Vec::new();
        };
        let overdue =
            |scale_out: &&ScaleOut| is_overdue(replica, &scale_out.machine_type, age_s(scale_out, now_ms));
        let granted = fleet.value.scale_outs.iter().filter(overdue).flat_map(|s| s.machines.iter().flatten());
        granted.filter(|machine| !self.has_come_up_or_is_released(replica, machine)).cloned().collect()
    }

    /// How many machines of a scale-out count as capacity to come. An overdue machine does not,
    /// whether or not the cloud has confirmed its release: nothing would be requested in its place.
    pub(super) fn machines_to_come(&self, replica: &Replica, scale_out: &ScaleOut, now_ms: u64) -> usize {
        let Some(machines) = &scale_out.machines else {
            return if may_be_answered(scale_out, now_ms) { scale_out.count as usize } else { 0 };
        };
        if is_overdue(replica, &scale_out.machine_type, age_s(scale_out, now_ms)) {
            return 0;
        }
        machines.iter().filter(|machine| !self.has_come_up_or_is_released(replica, machine)).count()
    }

    /// Seconds since the request of a listed machine.
    pub(super) fn listed_age_s(&self, machine: &ListedMachine) -> f64 {
        machine.age_s + self.listing.age_s()
    }

    /// Whether a requested machine needs no scale-out any more: it is up, or the cloud has confirmed
    /// its release.
    pub(super) fn has_come_up_or_is_released(&self, replica: &Replica, machine: &Name) -> bool {
        replica.machines.contains_key(machine) || self.released.contains_key(machine)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/autoscaler_boot_timeout.rs"]
mod tests;

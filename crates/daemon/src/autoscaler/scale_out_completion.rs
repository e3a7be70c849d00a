//! Removes scale-outs whose machines are up or released from the fleet's record.

use std::time::Instant;

use sched::records::{FleetRecord, ScaleOut};
use sched::replica::{Replica, Versioned};
use store::{KeyWrite, key};
use wire::Condition;

use super::Autoscaler;
use super::boot_timeout::{is_past_registration_timeout, may_be_answered};
use super::leader_write::write_as_leader;
use crate::clock;
use crate::controller::{Controller, wall_ms};
use crate::state::ControllerState;

impl Autoscaler {
    /// Removes the scale-outs that have ended: their machines are all up or released.
    pub(super) async fn complete_scale_outs(&mut self, controller: &Controller) {
        let completion = self.scale_out_completion(&controller.state(), clock::now(), wall_ms());
        let Some(Versioned { value: record, version }) = completion else { return };
        let condition = Condition { key: key::FLEET.into(), version };
        let write = KeyWrite::new(key::FLEET.into(), &record);
        write_as_leader(controller, vec![condition], vec![write]).await;
    }

    /// The fleet's record without the scale-outs that have ended, and the version that it replaces;
    /// `None` if there is nothing to change or the replica is stale.
    fn scale_out_completion(
        &self,
        state: &ControllerState,
        now: Instant,
        now_ms: u64,
    ) -> Option<Versioned<FleetRecord>> {
        let replica = &state.records.replica;
        let fleet = replica.fleet.as_ref().filter(|_| state.may_stop_work(now))?;
        let still_pending = |scale_out| self.still_pending(replica, scale_out, now_ms);
        let scale_outs: Vec<ScaleOut> = fleet.value.scale_outs.iter().filter_map(still_pending).collect();
        if scale_outs == fleet.value.scale_outs {
            return None;
        }
        let removed_machines = fleet.value.removed_machines.clone();
        Some(Versioned { value: FleetRecord { scale_outs, removed_machines }, version: fleet.version })
    }

    /// The scale-out without the machines that are up or released. `None` if none is left, if the
    /// request has stayed without an answer for too long, or if its machines should all have
    /// registered: a record of machines that the cloud does not release would fill up.
    fn still_pending(&self, replica: &Replica, scale_out: &ScaleOut, now_ms: u64) -> Option<ScaleOut> {
        let mut pending = scale_out.clone();
        let Some(machines) = &mut pending.machines else {
            return may_be_answered(scale_out, now_ms).then_some(pending);
        };
        if is_past_registration_timeout(replica, scale_out, now_ms) {
            return None;
        }
        machines.retain(|machine| !self.has_come_up_or_is_released(replica, machine));
        (!machines.is_empty()).then_some(pending)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/autoscaler_scale_out_completion.rs"]
mod tests;

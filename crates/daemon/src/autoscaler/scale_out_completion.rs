//! Removes scale-outs whose machines are up, and releases machines that are overdue.

use std::time::Instant;

use sched::autoscaling::MachineOffer;
use sched::records::{FleetRecord, Name, ScaleOut};
use sched::replica::Replica;
use store::{KeyWrite, key};
use tracing::{info, warn};
use wire::Condition;

use super::boot_timeout::{age_s, is_overdue};
use super::leader_write::write_as_leader;
use super::machine_offers::offer_of_scale_out;
use super::{Autoscaler, to_strings};
use crate::clock;
use crate::controller::{Controller, wall_ms};
use crate::load::sample_names;
use crate::state::ControllerState;

/// How long a request without an answer stays recorded, in seconds. Machines that the cloud starts
/// for it later register without the record.
const MAX_REQUEST_AGE_S: f64 = 30.0;

/// A change of the fleet's record that removes ended scale-outs.
#[derive(Debug)]
pub(super) struct ScaleOutCompletion {
    /// The record without the ended scale-outs.
    pub(super) record: FleetRecord,
    /// The version of the record that `record` replaces.
    pub(super) version: u64,
    /// Machines that never came up, to be released.
    pub(super) overdue: Vec<Name>,
}

impl Autoscaler {
    /// Removes the scale-outs whose machines are all up, and releases overdue machines.
    pub(super) async fn complete_scale_outs(&mut self, controller: &Controller) {
        let completion = self.scale_out_completion(&controller.state(), clock::now(), wall_ms());
        let Some(ScaleOutCompletion { record, version, overdue }) = completion else { return };
        if !overdue.is_empty() {
            let machines = sample_names(&overdue.iter().collect::<Vec<&Name>>());
            if let Err(error) = controller.cloud.release(to_strings(&overdue)).await {
                warn!(%error, count = overdue.len(), machines, "the cloud did not confirm the release of machines");
                return;
            }
            info!(count = overdue.len(), machines, "machines released after boot timeout");
            for machine in &overdue {
                self.released.insert(machine.clone(), clock::now());
            }
            self.back_off_overdue_offers(controller, &overdue);
        }
        let condition = Condition { key: key::FLEET.into(), version };
        let write = KeyWrite::new(key::FLEET.into(), &record);
        write_as_leader(controller, vec![condition], vec![write]).await;
    }

    /// Starts a back-off of the offers of overdue machines while a drain waits for capacity, so
    /// that the next attempt is made with another offer.
    fn back_off_overdue_offers(&mut self, controller: &Controller, overdue: &[Name]) {
        let offers: Vec<MachineOffer> = {
            let state = controller.state();
            if state.drains.machines_awaiting_capacity.is_empty() {
                return;
            }
            let scale_outs = state.records.replica.fleet.iter().flat_map(|fleet| &fleet.value.scale_outs);
            let is_overdue = |scale_out: &&ScaleOut| {
                scale_out.machines.iter().flatten().any(|machine| overdue.contains(machine))
            };
            scale_outs.filter(is_overdue).map(offer_of_scale_out).collect()
        };
        for offer in offers {
            self.backoffs.start(offer, clock::now());
        }
    }

    /// The change that removes ended scale-outs; `None` if there is nothing to change or the
    /// replica is stale: by a stale replica, machines that are up and busy would seem overdue.
    pub(super) fn scale_out_completion(
        &self,
        state: &ControllerState,
        now: Instant,
        now_ms: u64,
    ) -> Option<ScaleOutCompletion> {
        let replica = &state.records.replica;
        let fleet = replica.fleet.as_ref().filter(|_| state.may_stop_work(now))?;
        let mut overdue: Vec<Name> = Vec::new();
        let still_pending = |scale_out| self.still_pending(replica, scale_out, now_ms, &mut overdue);
        let scale_outs: Vec<ScaleOut> = fleet.value.scale_outs.iter().filter_map(still_pending).collect();
        if scale_outs == fleet.value.scale_outs && overdue.is_empty() {
            return None;
        }
        let removed_machines = fleet.value.removed_machines.clone();
        let record = FleetRecord { scale_outs, removed_machines };
        Some(ScaleOutCompletion { record, version: fleet.version, overdue })
    }

    /// The scale-out without the machines that are up or released; `None` if none is left, or if the
    /// request has stayed without an answer for too long. Overdue machines are moved to `overdue`.
    fn still_pending(
        &self,
        replica: &Replica,
        scale_out: &ScaleOut,
        now_ms: u64,
        overdue: &mut Vec<Name>,
    ) -> Option<ScaleOut> {
        let age_s = age_s(scale_out, now_ms);
        let mut scale_out = scale_out.clone();
        let Some(machines) = &mut scale_out.machines else {
            return (age_s <= MAX_REQUEST_AGE_S).then_some(scale_out);
        };
        machines.retain(|machine| !self.has_come_up_or_is_released(replica, machine));
        if is_overdue(replica, &scale_out.machine_type, age_s) {
            overdue.append(machines);
        }
        (!machines.is_empty()).then_some(scale_out)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/autoscaler_scale_out_completion.rs"]
mod tests;

//! The end of scale-outs: their machines are up, or are released as they never came up.

use std::time::Instant;

use sched::autoscaling::MachineOffer;
use sched::records::{FleetRecord, Name, ScaleOut};
use sched::replica::Replica;
use store::{KeyWrite, key};
use tracing::info;
use wire::Condition;

use super::leader_write::write_as_leader;
use super::machine_offers::offer_of_scale_out;
use super::{Autoscaler, to_strings};
use crate::clock;
use crate::controller::{Controller, wall_ms};
use crate::load::sample_names;
use crate::state::ControllerState;

/// How long a request may stay without an answer, in seconds. Whatever machines come of it later
/// register by themselves.
const MAX_REQUEST_AGE_S: f64 = 30.0;
/// A machine is overdue after this many times its type's usual boot time …
const BOOT_TIMEOUT_FACTOR: f64 = 3.0;
/// … and so many seconds more.
const BOOT_TIMEOUT_EXTRA_S: f64 = 15.0;
/// The boot time of a machine of an unknown type, in seconds.
pub(super) const DEFAULT_BOOT_S: f64 = 60.0;

/// The fleet's record after scale-outs have ended.
#[derive(Debug)]
pub(super) struct ScaleOutCompletion {
    /// The record without the scale-outs that have ended.
    pub(super) record: FleetRecord,
    /// The version of the record that it replaces.
    pub(super) version: u64,
    /// Machines that never came up, to be released.
    pub(super) overdue: Vec<Name>,
}

impl Autoscaler {
    /// Removes the scale-outs whose machines are all up, and releases machines that are overdue.
    pub(super) async fn complete_scale_outs(&mut self, controller: &Controller) {
        let completion = self.scale_out_completion(&controller.state(), clock::now(), wall_ms());
        let Some(ScaleOutCompletion { record, version, overdue }) = completion else { return };
        if !overdue.is_empty() {
            if controller.cloud.release(to_strings(&overdue)).await.is_err() {
                return;
            }
            let machines = sample_names(&overdue.iter().collect::<Vec<&Name>>());
            info!(count = overdue.len(), machines, "machines released after boot timeout");
            for machine in &overdue {
                self.released.insert(machine.clone(), clock::now());
            }
            self.back_off_from_overdue(controller, &overdue);
        }
        let condition = Condition { key: key::FLEET.into(), version };
        let write = KeyWrite::new(key::FLEET.into(), &record);
        write_as_leader(controller, vec![condition], vec![write]).await;
    }

    /// Where a drain waits for capacity, an offer whose machines did not come up is not requested
    /// for a while, so that the next attempt is made with another.
    fn back_off_from_overdue(&mut self, controller: &Controller, overdue: &[Name]) {
        let offers: Vec<MachineOffer> = {
            let state = controller.state();
            if state.drains.machines_awaiting_capacity.is_empty() {
                return;
            }
            let scale_outs = state.records.replica.fleet.iter().flat_map(|fleet| &fleet.value.scale_outs);
            let is_overdue =
                |scale_out: &&ScaleOut| scale_out.machines.iter().flatten().any(|m| overdue.contains(m));
            scale_outs.filter(is_overdue).map(offer_of_scale_out).collect()
        };
        for offer in offers {
            self.backoffs.start(offer, clock::now());
        }
    }

    /// The fleet's record without the scale-outs that have ended; `None` if nothing has changed.
    /// With a stale replica nothing ends: machines that are up and busy would seem overdue.
    pub(super) fn scale_out_completion(
        &self,
        state: &ControllerState,
        now: Instant,
        now_ms: u64,
    ) -> Option<ScaleOutCompletion> {
        let replica = &state.records.replica;
        let fleet = replica.fleet.as_ref().filter(|_| state.may_stop_work(now))?;
        let mut overdue: Vec<Name> = Vec::new();
        let pending_part = |scale_out| self.pending_part(replica, scale_out, now_ms, &mut overdue);
        let scale_outs: Vec<ScaleOut> = fleet.value.scale_outs.iter().filter_map(pending_part).collect();
        if scale_outs == fleet.value.scale_outs && overdue.is_empty() {
            return None;
        }
        let removed_machines = fleet.value.removed_machines.clone();
        let record = FleetRecord { scale_outs, removed_machines };
        Some(ScaleOutCompletion { record, version: fleet.version, overdue })
    }

    /// What is left of a scale-out, if anything. Overdue machines are taken from it.
    fn pending_part(
        &self,
        replica: &Replica,
        scale_out: &ScaleOut,
        now_ms: u64,
        overdue: &mut Vec<Name>,
    ) -> Option<ScaleOut> {
        let machine_type = replica.machine_types.get(&*scale_out.machine_type);
        let boot_s = machine_type.map_or(DEFAULT_BOOT_S, |machine_type| machine_type.boot_s);
        let age_s = now_ms.saturating_sub(scale_out.requested_ms) as f64 / 1000.0;
        let mut scale_out = scale_out.clone();
        let Some(machines) = &mut scale_out.machines else {
            return (age_s <= MAX_REQUEST_AGE_S).then_some(scale_out);
        };
        machines.retain(|m| !replica.machines.contains_key(m) && !self.released.contains_key(m));
        if age_s > boot_s * BOOT_TIMEOUT_FACTOR + BOOT_TIMEOUT_EXTRA_S {
            overdue.append(machines);
        }
        (!machines.is_empty()).then_some(scale_out)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/autoscaler_scale_out_completion.rs"]
mod tests;

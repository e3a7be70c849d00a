//! Scale-in: releases machines to the cloud.

use std::collections::BTreeMap;
use std::time::Instant;

use sched::autoscaling::MachineOffer;
use sched::hash::HashMap;
use sched::records::{MachineRecord, Name};
use sched::replica::Replica;
use store::{KeyWrite, key};
use tracing::{debug, info, warn};
use wire::Condition;

use super::leader_write::write_as_leader;
use super::machine_offers::{offer_of_machine, offer_of_scale_out};
use super::release_candidates::{ReleaseCandidate, ReleaseReason};
use super::{Autoscaler, to_strings};
use crate::clock;
use crate::controller::Controller;
use crate::load::sample_names;
use crate::state::ControllerState;

/// A machine to be marked in its record before it is released.
struct MachineToMark {
    id: Name,
    record: MachineRecord,
    /// The version of the record that the mark replaces.
    version: u64,
    reason: ReleaseReason,
}

/// The machines that one step of the scale-in handles.
#[derive(Default)]
struct ReleaseBatch {
    /// Machines to mark before their release.
    to_mark: Vec<MachineToMark>,
    /// Machines to release now.
    ready: Vec<Name>,
    /// The reason for the release of each machine that is ready or becomes so. A machine may be a
    /// candidate twice; the later reason is kept.
    reasons: HashMap<Name, ReleaseReason>,
}

impl ReleaseBatch {
    /// Adds a machine that is ready for release.
    fn add_ready(&mut self, id: Name, reason: ReleaseReason) {
        if self.reasons.insert(id.clone(), reason).is_none() {
            self.ready.push(id);
        }
    }

    /// Orders the machines that are ready: those with a record come first, as tasks may wait for
    /// their release.
    fn put_unrecorded_last(&mut self, replica: &Replica) {
        self.ready.sort_by_cached_key(|id| !replica.machines.contains_key(id));
    }
}

impl Autoscaler {
    /// Releases machines that are lost or not needed, within the limit of the release rate.
    pub(super) async fn scale_in(&mut self, controller: &Controller) {
        let now = clock::now();
        self.record_earlier_releases(controller).await;
        let candidates = self.candidates_within_write_limit(controller, now);
        if candidates.is_empty() {
            return;
        }
        let mut batch = self.divide_candidates(&controller.state(), candidates);
        self.limit_release_rate(controller, &controller.state(), &mut batch.ready, now);
        batch.put_unrecorded_last(&controller.state().records.replica);
        batch.to_mark.truncate(controller.state_limits().txn_ops);
        mark_for_release(controller, &mut batch).await;
        if !controller.state().may_act_as_leader(&controller.identity) {
            return;
        }
        self.release_backoff.retain(|id| batch.reasons.contains_key(id));
        let call = self.release_backoff.next_call(&batch.ready, now);
        if !call.is_empty() {
            self.release(controller, call, &batch.reasons, now).await;
        }
    }

    /// Records the removal of machines released in earlier steps for which the key-value store did
    /// not accept the record then.
    async fn record_earlier_releases(&self, controller: &Controller) {
        let has_record = |id: &&Name| controller.state().records.replica.machines.contains_key(*id);
        let mut still_recorded: Vec<Name> = self.released.keys().filter(has_record).cloned().collect();
        still_recorded.sort_unstable();
        if !still_recorded.is_empty() {
            self.record_removal(controller, still_recorded).await;
        }
    }

    /// The machines to release. Idle ones are left out while the rate limit of writes is overdrawn:
    /// keeping them only costs money.
    fn candidates_within_write_limit(
        &mut self,
        controller: &Controller,
        now: Instant,
    ) -> Vec<ReleaseCandidate> {
        let mut candidates = {
            let mut state = controller.state();
            state.refresh_inventory(&controller.identity, controller.heartbeat_interval(), now);
            self.release_candidates(controller, &state, now)
        };
        if controller.state().writes.limiter.available(now) < 0.0 {
            candidates.retain(|candidate| candidate.reason != ReleaseReason::Idle);
        }
        candidates
    }

    /// Divides the candidates into machines to mark first and machines to release now. Machines on
    /// which tasks could still be placed are marked first. Nothing is placed on silent or failed
    /// ones, and when a whole zone becomes silent, hundreds of marks would take a minute.
    fn divide_candidates(&self, state: &ControllerState, candidates: Vec<ReleaseCandidate>) -> ReleaseBatch {
        let mut batch = ReleaseBatch::default();
        for ReleaseCandidate { machine: id, reason } in candidates {
            let is_schedulable = matches!(reason, ReleaseReason::Idle | ReleaseReason::Drained);
            match state.records.replica.machines.get(&id) {
                Some(machine) if is_schedulable && !machine.value.release => {
                    let (record, version) = (machine.value.clone(), machine.version);
                    batch.to_mark.push(MachineToMark { id, record, version, reason });
                }
                _ if self.released.contains_key(&id) => {}
                _ => batch.add_ready(id, reason),
            }
        }
        batch
    }

    /// Releases machines in one call, and records their removal if the cloud confirms it.
    async fn release(
        &mut self,
        controller: &Controller,
        machines: Vec<Name>,
        reasons: &HashMap<Name, ReleaseReason>,
        now: Instant,
    ) {
        if let Err(error) = controller.cloud.release(to_strings(&machines)).await {
            let (count, names) = (machines.len(), sample_names(&machines));
            warn!(%error, count, machines = names, "the cloud did not confirm the release of machines");
            self.release_backoff.failed(&machines, &error, clock::now());
            return;
        }
        self.release_backoff.confirmed(&machines, clock::now());
        log_releases(&machines, reasons);
        for id in &machines {
            let is_overdue = reasons.get(id) == Some(&ReleaseReason::Overdue);
            self.handle_released(controller, id, is_overdue, now);
        }
        self.record_removal(controller, machines).await;
    }

    /// Remembers a release that the cloud has confirmed, and ends the back-off of the machine's
    /// offer: the cloud has capacity for one more machine of it. If the machine was overdue and a
    /// drain waits for capacity, a back-off starts instead, so that the next attempt is made with
    /// another offer.
    fn handle_released(&mut self, controller: &Controller, id: &Name, was_overdue: bool, now: Instant) {
        self.released.insert(id.clone(), now);
        let state = controller.state();
        let Some(offer) = offer_of(&state.records.replica, id) else { return };
        if !was_overdue || state.drains.machines_awaiting_capacity.is_empty() {
            self.backoffs.clear(&offer);
        } else if !self.backoffs.is_active(&offer, now) {
            self.backoffs.start(offer, now);
        }
    }
}

/// The offer of a machine that has a record or belongs to a scale-out.
fn offer_of(replica: &Replica, id: &Name) -> Option<MachineOffer> {
    if let Some(machine) = replica.machines.get(id) {
        return Some(offer_of_machine(&machine.value));
    }
    let mut scale_outs = replica.fleet.iter().flat_map(|fleet| fleet.value.scale_outs.iter());
    let scale_out = scale_outs.find(|scale_out| scale_out.machines.iter().flatten().any(|m| m == id))?;
    Some(offer_of_scale_out(scale_out))
}

/// Marks machines in their records so that no more tasks are placed there, and adds those without
/// tasks to the machines that are ready. Machines whose marks are not committed are left out of the
/// batch; they do not hold up the others.
async fn mark_for_release(controller: &Controller, batch: &mut ReleaseBatch) {
    let to_mark = std::mem::take(&mut batch.to_mark);
    if to_mark.is_empty() {
        return;
    }
    let condition =
        |machine: &MachineToMark| Condition { key: key::machine(&machine.id), version: machine.version };
    let write = |machine: &MachineToMark| {
        let marked = MachineRecord { release: true, ..machine.record.clone() };
        KeyWrite::new(key::machine(&machine.id), &marked)
    };
    let conditions = to_mark.iter().map(condition).collect();
    let writes = to_mark.iter().map(write).collect();
    if !write_as_leader(controller, conditions, writes).await {
        return;
    }
    for MachineToMark { id, reason, .. } in to_mark {
        debug!(machine = &*id, reason = reason.as_str(), "machine marked for release");
        // A task may have been placed on the machine just before it was marked.
        let has_tasks = controller.state().records.replica.jobs_by_machine.contains_key(&id);
        if has_tasks {
            batch.reasons.insert(id, reason);
        } else {
            batch.add_ready(id, reason);
        }
    }
}

fn log_releases(released: &[Name], reasons: &HashMap<Name, ReleaseReason>) {
    let mut by_reason: BTreeMap<&str, Vec<&Name>> = BTreeMap::new();
    for id in released {
        let reason = reasons.get(id).map_or("idle", |reason| reason.as_str());
        by_reason.entry(reason).or_default().push(id);
    }
    for (reason, machines) in by_reason {
        let (count, machines) = (machines.len(), sample_names(&machines));
        if reason == ReleaseReason::Overdue.as_str() {
            info!(count, machines, "machines released after boot timeout");
        } else {
            info!(count, machines, reason, "machines released");
        }
    }
    debug!(machines = ?released, "the cloud confirmed the release of machines");
}

#[cfg(test)]
#[path = "../../tests/unit/autoscaler_scale_in.rs"]
mod tests;

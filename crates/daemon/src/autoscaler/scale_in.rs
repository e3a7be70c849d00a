//! Scale-in: the release of machines.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use cloud::MAX_MACHINES_PER_RELEASE;
use sched::hash::HashMap;
use sched::records::{MachineRecord, Name};
use store::{KeyWrite, key};
use tokio::time::sleep;
use tracing::{debug, info, warn};
use wire::Condition;

use super::leader_write::write_as_leader;
use super::machine_offers::offer_of_machine;
use super::release_candidates::{ReleaseCandidate, ReleaseReason};
use super::{Autoscaler, to_strings};
use crate::clock;
use crate::controller::Controller;
use crate::load::sample_names;
use crate::state::ControllerState;

/// The pause after a release that the cloud did not confirm.
const RELEASE_FAILURE_BACKOFF: Duration = Duration::from_millis(700);

/// A machine that is marked in its record before it is released.
struct MachineToMark {
    id: Name,
    record: MachineRecord,
    /// The version of the record.
    version: u64,
    reason: ReleaseReason,
}

/// The machines of one step of the scale-in.
#[derive(Default)]
struct ReleaseBatch {
    /// Machines to mark first.
    to_mark: Vec<MachineToMark>,
    /// Machines to release now.
    ready: Vec<Name>,
    /// Why machines that are or become ready are released. A machine may be a candidate twice: the
    /// later reason stands.
    reasons: HashMap<Name, ReleaseReason>,
}

impl ReleaseBatch {
    /// A machine is ready for release.
    fn add_ready(&mut self, id: Name, reason: ReleaseReason) {
        self.reasons.insert(id.clone(), reason);
        self.ready.push(id);
    }
}

impl Autoscaler {
    /// Releases the machines that are lost or not needed, as fast as that is allowed.
    pub(super) async fn scale_in(&mut self, controller: &Controller) {
        let now = clock::now();
        self.record_earlier_releases(controller).await;
        let candidates = self.affordable_candidates(controller, now);
        if candidates.is_empty() {
            return;
        }
        let mut batch = self.batch(&controller.state(), candidates);
        self.limit_release_rate(controller, &controller.state(), &mut batch.ready, now);
        batch.to_mark.truncate(controller.state_limits().txn_ops);
        if !batch.to_mark.is_empty() && !mark_for_release(controller, &mut batch).await {
            return;
        }
        batch.ready.truncate(MAX_MACHINES_PER_RELEASE);
        if !batch.ready.is_empty() {
            self.release(controller, batch, now).await;
        }
    }

    /// Records the removal of machines that were released before, if the key-value store did not
    /// accept that then.
    async fn record_earlier_releases(&self, controller: &Controller) {
        let has_record = |id: &&Name| controller.state().records.replica.machines.contains_key(*id);
        let unrecorded: Vec<Name> = self.released.keys().filter(has_record).cloned().collect();
        if !unrecorded.is_empty() {
            self.record_removal(controller, unrecorded).await;
        }
    }

    /// The machines to release; while the rate limit of writes is overdrawn, without idle ones, which
    /// cost nothing but money.
    fn affordable_candidates(&mut self, controller: &Controller, now: Instant) -> Vec<ReleaseCandidate> {
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

    /// Divides the machines to release. Those that placement might choose meanwhile are marked
    /// first. On a silent or failed one nothing is placed; when a whole zone becomes silent, hundreds
    /// of marks would take a minute.
    fn batch(&self, state: &ControllerState, candidates: Vec<ReleaseCandidate>) -> ReleaseBatch {
        let mut batch = ReleaseBatch::default();
        for ReleaseCandidate { machine: id, reason } in candidates {
            let may_be_chosen = matches!(reason, ReleaseReason::Idle | ReleaseReason::Drained);
            match state.records.replica.machines.get(&id) {
                Some(machine) if may_be_chosen && !machine.value.release => {
                    let (record, version) = (machine.value.clone(), machine.version);
                    batch.to_mark.push(MachineToMark { id, record, version, reason });
                }
                _ if self.released.contains_key(&id) => {}
                _ => batch.add_ready(id, reason),
            }
        }
        batch
    }

    /// Releases the machines that are ready, and records their removal once the cloud confirms it.
    async fn release(&mut self, controller: &Controller, batch: ReleaseBatch, now: Instant) {
        let ReleaseBatch { ready, reasons, .. } = batch;
        if let Err(error) = controller.cloud.release(to_strings(&ready)).await {
            warn!(%error, "machine release not confirmed by the cloud");
            sleep(RELEASE_FAILURE_BACKOFF).await;
            return;
        }
        log_releases(&ready, &reasons);
        for id in &ready {
            self.note_released(controller, id, now);
        }
        self.record_removal(controller, ready).await;
    }

    /// The cloud has confirmed the release of a machine: it has capacity for one of its offer again.
    fn note_released(&mut self, controller: &Controller, id: &Name, now: Instant) {
        self.released.insert(id.clone(), now);
        let state = controller.state();
        if let Some(machine) = state.records.replica.machines.get(id) {
            self.backoffs.clear(&offer_of_machine(&machine.value));
        }
    }
}

/// Marks machines in their records, so that nothing is placed there any more; those without tasks
/// are ready then. Returns whether that was written.
async fn mark_for_release(controller: &Controller, batch: &mut ReleaseBatch) -> bool {
    let to_mark = std::mem::take(&mut batch.to_mark);
    let condition =
        |machine: &MachineToMark| Condition { key: key::machine(&machine.id), version: machine.version };
    let write = |machine: &MachineToMark| {
        let marked = MachineRecord { release: true, ..machine.record.clone() };
        KeyWrite::new(key::machine(&machine.id), &marked)
    };
    let conditions = to_mark.iter().map(condition).collect();
    let writes = to_mark.iter().map(write).collect();
    if !write_as_leader(controller, conditions, writes).await {
        return false;
    }
    for MachineToMark { id, reason, .. } in to_mark {
        debug!(machine = &*id, reason = reason.as_str(), "machine marked for release");
        // A task may have been placed there just before the mark.
        let has_tasks = controller.state().records.replica.jobs_by_machine.contains_key(&id);
        if has_tasks {
            batch.reasons.insert(id, reason);
        } else {
            batch.add_ready(id, reason);
        }
    }
    true
}

fn log_releases(released: &[Name], reasons: &HashMap<Name, ReleaseReason>) {
    let mut by_reason: BTreeMap<&str, Vec<&Name>> = BTreeMap::new();
    for id in released {
        let reason = reasons.get(id).map_or("idle", |reason| reason.as_str());
        by_reason.entry(reason).or_default().push(id);
    }
    for (reason, machines) in by_reason {
        info!(count = machines.len(), machines = sample_names(&machines), reason, "machines released");
    }
    debug!(machines = ?released, "machine release confirmed");
}

#[cfg(test)]
#[path = "../../tests/unit/autoscaler_scale_in.rs"]
mod tests;

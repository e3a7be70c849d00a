//! Which machines are to be released, and why.

use std::time::{Duration, Instant};

use sched::hash::HashSet;
use sched::records::Name;
use sched::replica::{Replica, SortedLookup};
use wire::{ListedMachine, MachineStatus};

use super::Autoscaler;
use super::idle_machines::IdleMachines;
use super::owner_contact::SilenceLimits;
use super::scale_out_completion::DEFAULT_BOOT_S;
use crate::controller::Controller;
use crate::drains;
use crate::state::{ControllerState, MachineHealth, MachineView};

/// A listed machine that no scale-out names counts as one that will never register after this many
/// times its type's usual boot time …
const REGISTRATION_TIMEOUT_FACTOR: f64 = 4.0;
/// … and so many seconds more.
const REGISTRATION_TIMEOUT_EXTRA_S: f64 = 30.0;
/// For how many seconds this leader has to have seen it on the cloud's list.
const MIN_LISTED_S: f64 = 30.0;

/// Why a machine is released.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReleaseReason {
    /// An earlier leader, or an earlier step, marked it.
    Marked,
    /// A drain has moved all its tasks.
    Drained,
    /// Nothing has been heard from it for too long.
    Silent,
    /// It fails what it is given.
    Unhealthy,
    /// It has been idle for too long.
    Idle,
    /// It has failed by the cloud's list.
    Failed,
    /// The cloud lists it, but it has never registered.
    NeverRegistered,
}

impl ReleaseReason {
    /// The reason as it is logged.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Marked => "marked",
            Self::Drained => "drained",
            Self::Silent => "silent",
            Self::Unhealthy => "sick",
            Self::Idle => "idle",
            Self::Failed => "failed",
            Self::NeverRegistered => "never came up",
        }
    }
}

/// A machine to be released.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReleaseCandidate {
    /// Its name.
    pub machine: Name,
    /// Why it is released.
    pub reason: ReleaseReason,
}

impl Autoscaler {
    /// The machines to release, in the order of their names; then those that have no record, or
    /// have failed by the cloud's list. The inventory has to be up to date.
    pub(crate) fn release_candidates(
        &mut self,
        controller: &Controller,
        state: &ControllerState,
        now: Instant,
    ) -> Vec<ReleaseCandidate> {
        let mut candidates = Vec::new();
        if !state.may_stop_work(now) {
            return candidates;
        }
        let views: Vec<MachineView> = state.machine_views(&controller.identity, now).collect();
        let silence_limits = SilenceLimits::new(controller.silence_limit(), &views);
        self.retain_idle(&state.records.replica);
        let mut idle_machines = IdleMachines::new(controller, state, &views);
        let drained = drained_machines(controller, state);
        for view in views.iter().filter(|view| view.is_current) {
            let Some(health) = view.health else { continue };
            let reason = if view.record.release {
                ReleaseReason::Marked
            } else if view.used.is_none() && drained.contains(view.id) {
                ReleaseReason::Drained
            } else if health.silent >= silence_limits.limit_of(view, health) {
                self.note_silent(controller, view.id, health, now);
                ReleaseReason::Silent
            } else if health.unhealthy {
                ReleaseReason::Unhealthy
            } else if view.used.is_none() && self.is_idle_too_long(view, &mut idle_machines, now) {
                ReleaseReason::Idle
            } else {
                continue;
            };
            candidates.push(ReleaseCandidate { machine: view.id.clone(), reason });
        }
        self.retain_silent(&candidates);
        candidates.extend(self.lost_by_listing(&state.records.replica));
        candidates
    }

    /// Notes when the leases of all tasks on a silent machine have surely expired.
    fn note_silent(&mut self, controller: &Controller, id: &Name, health: MachineHealth, now: Instant) {
        // Before its present owner heard from it, another controller that is isolated together with
        // the machine may have renewed its lease, for as long as that is allowed at all.
        let max_renewal =
            if health.heard_from { Duration::ZERO } else { controller.settings.renewal_bound() };
        let lease = controller.worker_limits(None).lease + max_renewal;
        let expires_at = now + lease.saturating_sub(health.silent);
        self.lease_expiry_of_silent.entry(id.clone()).or_insert(expires_at);
    }

    /// Forgets the lease expiry of machines that are no longer silent.
    fn retain_silent(&mut self, candidates: &[ReleaseCandidate]) {
        let silent = candidates.iter().filter(|candidate| candidate.reason == ReleaseReason::Silent);
        let silent: HashSet<&Name> = silent.map(|candidate| &candidate.machine).collect();
        self.lease_expiry_of_silent.retain(|id, _| silent.contains(id));
    }

    /// The machines that failed by the cloud's list, or have never registered.
    fn lost_by_listing(&self, replica: &Replica) -> Vec<ReleaseCandidate> {
        let scale_outs = replica.fleet.iter().flat_map(|fleet| fleet.value.scale_outs.iter());
        let requested: HashSet<&Name> =
            scale_outs.filter_map(|scale_out| scale_out.machines.as_ref()).flatten().collect();
        let listing_age_s = self.listing.age_s();
        let mut recorded = SortedLookup::new(&replica.machines);
        let mut lost = Vec::new();
        for (id, machine) in self.listing.machines() {
            let is_recorded = recorded.get(id).is_some();
            let has_failed = machine.status == MachineStatus::Failed;
            if (is_recorded && !has_failed) || self.released.contains_key(id) {
                continue;
            }
            let reason = if has_failed {
                ReleaseReason::Failed
            } else if !requested.contains(id) && self.is_overdue(replica, id, machine, listing_age_s) {
                ReleaseReason::NeverRegistered
            } else {
                continue;
            };
            lost.push(ReleaseCandidate { machine: id.clone(), reason });
        }
        lost
    }

    /// Whether a machine that the cloud lists should have registered by now.
    fn is_overdue(&self, replica: &Replica, id: &Name, machine: &ListedMachine, listing_age_s: f64) -> bool {
        let machine_type = replica.machine_types.get(&machine.machine_type);
        let boot_s = machine_type.map_or(DEFAULT_BOOT_S, |machine_type| machine_type.boot_s);
        let age_s = machine.age_s + listing_age_s;
        age_s > boot_s * REGISTRATION_TIMEOUT_FACTOR + REGISTRATION_TIMEOUT_EXTRA_S
            && self.listing.listed_for_s(id) > MIN_LISTED_S
    }
}

/// The machines to release as soon as they have no tasks. Nothing can be placed there meanwhile,
/// unless a controller of an older version does not know of drains.
fn drained_machines<'a>(controller: &Controller, state: &'a ControllerState) -> HashSet<&'a Name> {
    let replica = &state.records.replica;
    if !controller.operators.drains.enabled || drains::unsupporting_controller(controller, replica).is_some()
    {
        return HashSet::default();
    }
    replica.drains.machines_to_scale_in()
}

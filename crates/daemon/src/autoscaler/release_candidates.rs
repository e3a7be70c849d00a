//! Selects the machines to release, each with its reason.

use std::time::{Duration, Instant};

use sched::hash::HashSet;
use sched::records::Name;
use sched::replica::{Replica, SortedLookup};
use wire::MachineStatus;

use super::Autoscaler;
use super::idle_machines::IdleRetention;
use super::owner_reachability::SilenceLimits;
use crate::controller::{Controller, wall_ms};
use crate::drains;
use crate::state::{ControllerState, MachineHealth, MachineView};

/// A listed machine that belongs to no scale-out is released only if this leader has seen it on the
/// cloud's list for longer than this many seconds.
const MIN_LISTED_S: f64 = 30.0;

/// Why a machine is released.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReleaseReason {
    /// An earlier leader or an earlier step marked it for release.
    Marked,
    /// A drain has moved all its tasks.
    Drained,
    /// It has been silent for longer than its limit.
    Silent,
    /// Tasks of several jobs have failed on it.
    Unhealthy,
    /// It has been idle for too long.
    Idle,
    /// The cloud lists it as failed.
    Failed,
    /// It belongs to a scale-out but has not come up in time.
    Overdue,
    /// The cloud lists it, but it has never registered.
    NeverRegistered,
}

impl ReleaseReason {
    /// The reason as text for log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Marked => "marked",
            Self::Drained => "drained",
            Self::Silent => "silent",
            Self::Unhealthy => "sick",
            Self::Idle => "idle",
            Self::Failed => "failed",
            Self::Overdue => "overdue",
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
    /// The machines to release: first those with a record, sorted by name, then overdue ones, then
    /// those that the cloud lists as failed or that have never registered. A machine may be in
    /// several parts. The inventory must be up to date.
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
        self.drop_busy_machines(&state.records.replica);
        let mut idle_retention = IdleRetention::new(controller, state, &views, self.retries.clone());
        let drained = drained_machines(controller, state);
        for view in views.iter().filter(|view| view.is_current) {
            let Some(health) = view.health else { continue };
            let reason = if view.record.release {
                ReleaseReason::Marked
            } else if view.used.is_none() && drained.contains(view.id) {
                ReleaseReason::Drained
            } else if health.silent >= silence_limits.limit_of(view, health) {
                self.store_lease_expiry(controller, view.id, health, now);
                ReleaseReason::Silent
            } else if health.unhealthy {
                ReleaseReason::Unhealthy
            } else if view.used.is_none() && self.is_idle_too_long(view, &mut idle_retention, now) {
                ReleaseReason::Idle
            } else {
                continue;
            };
            candidates.push(ReleaseCandidate { machine: view.id.clone(), reason });
        }
        self.drop_lease_expiry_of_responsive(&candidates);
        let overdue = self.overdue_machines(state, now, wall_ms()).into_iter();
        candidates
            .extend(overdue.map(|machine| ReleaseCandidate { machine, reason: ReleaseReason::Overdue }));
        candidates.extend(self.lost_listed_machines(&state.records.replica));
        candidates
    }

    /// Stores the time by which the leases of all tasks on a silent machine have expired.
    fn store_lease_expiry(
        &mut self,
        controller: &Controller,
        id: &Name,
        health: MachineHealth,
        now: Instant,
    ) {
        // If the present owner has never heard from the machine, another controller that is
        // isolated together with it may still have renewed its lease, but no longer than the
        // renewal bound.
        let max_renewal =
            if health.heard_from { Duration::ZERO } else { controller.settings.renewal_bound() };
        let lease = controller.worker_limits(None).lease + max_renewal;
        let expires_at = now + lease.saturating_sub(health.silent);
        self.silent_machine_lease_expiry.entry(id.clone()).or_insert(expires_at);
    }

    /// Drops the lease expiry of machines that are no longer silent.
    fn drop_lease_expiry_of_responsive(&mut self, candidates: &[ReleaseCandidate]) {
        let silent = candidates.iter().filter(|candidate| candidate.reason == ReleaseReason::Silent);
        let silent: HashSet<&Name> = silent.map(|candidate| &candidate.machine).collect();
        self.silent_machine_lease_expiry.retain(|id, _| silent.contains(id));
    }

    /// The machines that the cloud lists as failed, or that are listed but have never registered.
    fn lost_listed_machines(&self, replica: &Replica) -> Vec<ReleaseCandidate> {
        let scale_outs = replica.fleet.iter().flat_map(|fleet| fleet.value.scale_outs.iter());
        let requested: HashSet<&Name> =
            scale_outs.filter_map(|scale_out| scale_out.machines.as_ref()).flatten().collect();
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
            } else if !requested.contains(id)
                && self.listing.listed_for_s(id) > MIN_LISTED_S
                && self.should_have_registered(replica, machine)
            {
                ReleaseReason::NeverRegistered
            } else {
                continue;
            };
            lost.push(ReleaseCandidate { machine: id.clone(), reason });
        }
        lost
    }
}

/// The drained machines, which are released as soon as they have no tasks. None while a controller
/// of an older version does not support drains: it could still place tasks there.
fn drained_machines<'a>(controller: &Controller, state: &'a ControllerState) -> HashSet<&'a Name> {
    let replica = &state.records.replica;
    if !controller.operators.drains.enabled || drains::unsupporting_controller(controller, replica).is_some()
    {
        return HashSet::default();
    }
    replica.drains.machines_to_scale_in()
}

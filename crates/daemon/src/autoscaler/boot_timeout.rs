//! When a requested machine counts as one that will never come up, or never register.

use std::time::{Duration, Instant};

use sched::records::{Name, ScaleOut};
use sched::replica::Replica;
use wire::{ListedMachine, MachineStatus};

use super::Autoscaler;
use crate::clock;
use crate::state::ControllerState;

/// A machine is overdue after this many times the usual boot time of its type …
const BOOT_TIMEOUT_FACTOR: f64 = 3.0;
/// … plus this many seconds.
const BOOT_TIMEOUT_EXTRA_S: f64 = 15.0;
/// A machine should have registered after this many times the usual boot time …
const REGISTRATION_TIMEOUT_FACTOR: f64 = 4.0;
/// … plus this many seconds.
const REGISTRATION_TIMEOUT_EXTRA_S: f64 = 30.0;
/// How long the key-value store has to be available before a machine that is up counts as one that
/// does not register: none registers during an outage.
const MIN_REGISTRATION_TIME: Duration = Duration::from_secs(30);
/// Boot time assumed for machines of an unknown type, in seconds.
const DEFAULT_BOOT_S: f64 = 60.0;
/// How long a request without an answer stays recorded, in seconds. Machines that the cloud starts
/// for it later register without the record.
const MAX_REQUEST_AGE_S: f64 = 30.0;

/// The usual boot time of a machine type, in seconds.
fn usual_boot_s(replica: &Replica, machine_type: &str) -> f64 {
    replica.machine_types.get(machine_type).map_or(DEFAULT_BOOT_S, |machine_type| machine_type.boot_s)
}

/// Seconds since a scale-out was requested.
fn age_s(scale_out: &ScaleOut, now_ms: u64) -> f64 {
    now_ms.saturating_sub(scale_out.requested_ms) as f64 / 1000.0
}

/// Whether the answer to a request is still awaited.
pub fn may_be_answered(scale_out: &ScaleOut, now_ms: u64) -> bool {
    scale_out.machines.is_none() && age_s(scale_out, now_ms) <= MAX_REQUEST_AGE_S
}

/// Whether all machines of a scale-out should have registered by now. Those that have not are on the
/// cloud's list, which tells which of them are to be released.
pub fn is_past_registration_timeout(replica: &Replica, scale_out: &ScaleOut, now_ms: u64) -> bool {
    age_s(scale_out, now_ms) > registration_timeout_s(replica, &scale_out.machine_type)
}

/// Seconds after its request by which a machine should have registered.
fn registration_timeout_s(replica: &Replica, machine_type: &str) -> f64 {
    usual_boot_s(replica, machine_type) * REGISTRATION_TIMEOUT_FACTOR + REGISTRATION_TIMEOUT_EXTRA_S
}

impl Autoscaler {
    /// Notes whether machines can register: they cannot while the replica is stale because the
    /// key-value store is not available.
    pub(super) fn note_store_availability(&mut self, state: &ControllerState) {
        let now = clock::now();
        let available_since = self.store_available_since.unwrap_or(now);
        self.store_available_since = state.may_stop_work(now).then_some(available_since);
    }

    /// The overdue machines of scale-outs. None if the replica is stale: by a stale replica,
    /// machines that are up and busy would seem overdue.
    pub(super) fn overdue_machines(&self, state: &ControllerState, now: Instant, now_ms: u64) -> Vec<Name> {
        let replica = &state.records.replica;
        let Some(fleet) = replica.fleet.as_ref().filter(|_| state.may_stop_work(now)) else {
            return Vec::new();
        };
        let overdue_of = |scale_out: &ScaleOut| {
            let machines = self.machines_not_up(replica, scale_out);
            let is_overdue = |machine: &&Name| self.is_overdue_in(replica, scale_out, machine, now_ms);
            machines.filter(is_overdue).cloned().collect::<Vec<Name>>()
        };
        fleet.value.scale_outs.iter().flat_map(overdue_of).collect()
    }

    /// How many machines of a scale-out count as capacity to come. An overdue machine does not,
    /// whether or not the cloud has confirmed its release: nothing would be requested in its place.
    pub(super) fn machines_to_come(&self, replica: &Replica, scale_out: &ScaleOut, now_ms: u64) -> usize {
        if scale_out.machines.is_none() {
            return if may_be_answered(scale_out, now_ms) { scale_out.count as usize } else { 0 };
        }
        let machines = self.machines_not_up(replica, scale_out);
        machines.filter(|machine| !self.is_overdue_in(replica, scale_out, machine, now_ms)).count()
    }

    /// Whether a listed machine without a record is overdue.
    pub(super) fn is_listed_machine_overdue(&self, replica: &Replica, machine: &ListedMachine) -> bool {
        self.is_overdue(replica, &machine.machine_type, self.listed_age_s(machine), Some(machine))
    }

    /// Whether a listed machine without a record should have registered by now.
    pub(super) fn should_have_registered(&self, replica: &Replica, machine: &ListedMachine) -> bool {
        self.listed_age_s(machine) > registration_timeout_s(replica, &machine.machine_type)
            && self.could_register()
    }

    /// The granted machines of a scale-out that are neither up nor released.
    fn machines_not_up<'a>(
        &'a self,
        replica: &'a Replica,
        scale_out: &'a ScaleOut,
    ) -> impl Iterator<Item = &'a Name> {
        let machines = scale_out.machines.iter().flatten();
        machines.filter(|machine| !self.has_come_up_or_is_released(replica, machine))
    }

    fn is_overdue_in(&self, replica: &Replica, scale_out: &ScaleOut, machine: &Name, now_ms: u64) -> bool {
        let listed = self.listing.machines().get(machine);
        self.is_overdue(replica, &scale_out.machine_type, age_s(scale_out, now_ms), listed)
    }

    /// Whether a machine that was requested `age_s` seconds ago is not expected to come up any more.
    /// If the cloud lists it as running it is up, and must have had the time to register.
    fn is_overdue(
        &self,
        replica: &Replica,
        machine_type: &str,
        age_s: f64,
        listed: Option<&ListedMachine>,
    ) -> bool {
        let timeout_s = usual_boot_s(replica, machine_type) * BOOT_TIMEOUT_FACTOR + BOOT_TIMEOUT_EXTRA_S;
        match listed.map(|machine| machine.status) {
            Some(MachineStatus::Failed) => true,
            Some(MachineStatus::Running) => age_s > timeout_s && self.could_register(),
            Some(MachineStatus::Booting) | None => age_s > timeout_s,
        }
    }

    /// Whether a machine that is up has had the time to register.
    fn could_register(&self) -> bool {
        self.store_available_since.is_some_and(|since| clock::since(since) > MIN_REGISTRATION_TIME)
    }

    /// Seconds since the request of a listed machine.
    fn listed_age_s(&self, machine: &ListedMachine) -> f64 {
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

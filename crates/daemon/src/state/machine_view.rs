//! All machines with an owner: their records, and their condition as reported by their owners.

use std::time::{Duration, Instant};

use peer::MachineStatusRow;
use sched::records::{MachineRecord, Member, Name};
use sched::replica::{Resources, SortedLookup};

use super::ControllerState;
use crate::worker::Worker;

/// Greatest age of a peer's status by which its machines may be released.
const MAX_STATUS_AGE_TO_RELEASE: Duration = Duration::from_secs(4);

/// A machine's condition as its owner knows it.
#[derive(Debug, Clone, Copy)]
pub struct MachineHealth {
    /// How long its worker has not been heard from, or could not be reached.
    pub silent: Duration,
    /// Whether its worker has been heard from since its present owner owns it.
    pub heard_from: bool,
    /// Whether it fails the tasks that are assigned to it.
    pub unhealthy: bool,
    /// Whether the cloud has announced that it will reclaim the machine.
    pub spot_notice: bool,
}

impl MachineHealth {
    fn of_worker(worker: &Worker, now: Instant) -> Self {
        Self {
            silent: worker.silent_for(now),
            heard_from: worker.was_heard_from(),
            unhealthy: worker.is_unhealthy(),
            spot_notice: worker.spot_notice_until().is_some(),
        }
    }

    fn of_row(row: &MachineStatusRow) -> Self {
        Self {
            silent: Duration::from_millis(row.silent_ms),
            heard_from: row.heard_from,
            unhealthy: row.unhealthy,
            spot_notice: row.spot_notice,
        }
    }
}

/// A machine with an owner.
#[derive(Debug)]
pub struct MachineView<'a> {
    /// Its name.
    pub id: &'a Name,
    /// Its record.
    pub record: &'a MachineRecord,
    /// The controller that owns it.
    pub owner: &'a Member,
    /// The resources in use; `None` if nothing is assigned to the machine.
    pub used: Option<Resources>,
    /// Its condition; `None` if its owner has reported nothing about it.
    pub health: Option<MachineHealth>,
    /// Whether its owner has been heard from recently; always true of this controller's machines.
    pub is_current: bool,
}

impl ControllerState {
    /// All machines with an owner, sorted by name, with what their owners know about them.
    pub fn machine_views(&self, me: &Member, now: Instant) -> impl Iterator<Item = MachineView<'_>> {
        let replica = &self.records.replica;
        let mut workers = SortedLookup::new(&self.machines.workers);
        let mut rows = SortedLookup::new(&self.peers.machines);
        let mut used = SortedLookup::new(&replica.machine_usage);
        let recent_peers = self.peers.heard_from_within(MAX_STATUS_AGE_TO_RELEASE, now);
        let my_incarnation = me.incarnation;
        replica.owned_machines().map(move |(id, record, owner)| {
            let (health, is_current) = if owner.incarnation == my_incarnation {
                (workers.get(id).map(|worker| MachineHealth::of_worker(worker, now)), true)
            } else {
                let is_current = recent_peers.iter().any(|name| **name == *owner.name);
                (rows.get(id).map(MachineHealth::of_row), is_current)
            };
            MachineView { id, record: &record.value, owner, used: used.get(id).copied(), health, is_current }
        })
    }
}

//! The machines that this controller owns, and workers that reported here without being its own.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use sched::records::{MachineRecord, Name};

use crate::worker::Worker;

/// How long a worker's heartbeats are relayed before it is redirected to its machine's owner
/// once more. Relayed without end, hundreds of workers kept sending to controllers in other
/// zones after an upgrade, and a partition between the zones cost their leases. While a
/// controller is cut off from its workers, each redirection costs one of them the better part
/// of a lease: this is longer than such partitions mostly last.
const RELAY_PERIOD: Duration = Duration::from_secs(60);
/// So many more redirections than machines may be remembered before expired ones are removed.
const REDIRECTION_SLACK: usize = 1024;

/// The workers of owned machines and of machines that are not recorded yet.
#[derive(Debug, Default)]
pub struct OwnedMachines {
    /// The workers of the machines that this controller owns, by machine.
    pub workers: BTreeMap<Name, Worker>,
    /// When workers of other owners' machines were last redirected.
    redirected_at: HashMap<String, Instant>,
    /// Machines that sent a heartbeat and have no record yet.
    pub unrecorded: HashMap<Name, MachineRecord>,
}

impl OwnedMachines {
    /// Whether a worker was redirected to its owner just now and came back here: its heartbeats
    /// are relayed for a while.
    pub fn was_redirected(&self, machine: &str, now: Instant) -> bool {
        self.redirected_at.get(machine).is_some_and(|at| now.saturating_duration_since(*at) < RELAY_PERIOD)
    }

    /// Removes expired redirections once there are many more than the `machines` on record.
    pub fn prune_redirections(&mut self, machines: usize, now: Instant) {
        if self.redirected_at.len() > machines + REDIRECTION_SLACK {
            self.redirected_at.retain(|_, sent| now.saturating_duration_since(*sent) < RELAY_PERIOD);
        }
    }

    /// Notes that a worker is redirected to its machine's owner now.
    pub fn note_redirection(&mut self, machine: &str, now: Instant) {
        self.redirected_at.insert(machine.to_owned(), now);
    }
}

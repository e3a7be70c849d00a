//! The machines that this controller owns, and workers of other machines that sent heartbeats here.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use sched::records::{MachineRecord, Name};

use crate::worker::Worker;

/// How long a worker's heartbeats are relayed before it is redirected to its machine's owner
/// again. When heartbeats were relayed without a limit, hundreds of workers kept sending them to
/// controllers in other zones after an upgrade, and a partition between the zones cost their
/// leases. While a controller is partitioned from its workers, each redirection costs a worker most
/// of its lease, so this period is longer than most such partitions.
const RELAY_PERIOD: Duration = Duration::from_secs(60);
/// Expired redirections are removed once there are this many more redirections than machines.
const REDIRECTION_SLACK: usize = 1024;

/// The workers of owned machines and of machines that are not recorded yet.
#[derive(Debug, Default)]
pub struct OwnedMachines {
    /// The workers of the machines that this controller owns, by machine.
    pub workers: BTreeMap<Name, Worker>,
    /// When workers of other owners' machines were last redirected.
    redirected_at: HashMap<String, Instant>,
    /// Machines that sent a heartbeat and have no record yet, in the order of their first heartbeats.
    pub unrecorded: IndexMap<Name, MachineRecord>,
}

impl OwnedMachines {
    /// Whether a worker was redirected to its machine's owner within the relay period, so that the
    /// heartbeats that it still sends here are relayed.
    pub fn was_redirected(&self, machine: &str, now: Instant) -> bool {
        self.redirected_at.get(machine).is_some_and(|at| now.saturating_duration_since(*at) < RELAY_PERIOD)
    }

    /// Removes expired redirections once there are many more than the `machines` on record.
    pub fn prune_redirections(&mut self, machines: usize, now: Instant) {
        if self.redirected_at.len() > machines + REDIRECTION_SLACK {
            self.redirected_at.retain(|_, sent| now.saturating_duration_since(*sent) < RELAY_PERIOD);
        }
    }

    /// Records that a worker is redirected to its machine's owner now.
    pub fn note_redirection(&mut self, machine: &str, now: Instant) {
        self.redirected_at.insert(machine.to_owned(), now);
    }
}

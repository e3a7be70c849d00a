//! What a controller knows about drains besides their records: plain state.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::time::Instant;

use drain::view::{self, ObservedTasks};
use sched::hash::HashSet as NameSet;
use sched::records::{Name, Phase};
use sched::replica::Replica;

/// The tasks that run on a peer's machines, as reported by the peer.
#[derive(Debug)]
pub struct PeerObservation {
    /// The incarnation of the peer.
    pub incarnation: u64,
    /// The epoch of the cluster map by which the peer owns its machines.
    pub epoch: u64,
    /// When the report was requested.
    pub requested_at: Instant,
    /// The running tasks.
    pub tasks: ObservedTasks,
}

/// Capacity that is held for a job some of whose tasks were stopped.
#[derive(Debug, Clone)]
pub struct CapacityHold {
    /// The machines, each listed once per task that it is to hold.
    pub machines: Vec<Name>,
    /// When the hold ends at the latest.
    pub until: Instant,
}

impl CapacityHold {
    /// Whether tasks of the job still have to stop or to be placed.
    pub fn is_needed(&self, replica: &Replica, job: &str) -> bool {
        let Some(job) = replica.jobs.get(job).map(|j| &j.value) else { return false };
        let stopping = job.assignments.iter().any(|a| !job.should_run(a));
        job.phase == Phase::Active && (stopping || sched::placement::pending_task_count(job) > 0)
    }
}

/// What a controller knows about drains besides their records.
#[derive(Debug, Default)]
pub struct DrainState {
    /// The jobs whose running tasks have to be observed for the next step.
    pub observed_jobs: BTreeSet<String>,
    /// The last report of each peer about these jobs' tasks, by the peer's name.
    pub peer_observations: BTreeMap<String, PeerObservation>,
    /// Machines whose tasks wait for capacity that is to be scaled out.
    pub machines_awaiting_capacity: NameSet<Name>,
    /// Capacity held for stopped tasks, by job.
    pub holds: BTreeMap<String, CapacityHold>,
    /// The orders in which to drain machines that a solver has found, by drain.
    pub orders: view::Orders,
    /// Drains for which a solver has been asked for an order of machines.
    pub planned: HashSet<String>,
    /// When each drain's record was last written for its progress.
    pub progress_recorded_at: HashMap<String, Instant>,
    /// Since when cordons of drains without a record have existed, by drain.
    pub orphaned_cordons_since: HashMap<String, Instant>,
    /// Drains whose records cannot be read, which has been logged.
    pub unreadable: HashSet<String>,
}

//! What a controller knows of drains beside the records: plain state.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::time::Instant;

use drain::view::{self, ObservedTasks};
use sched::hash::HashSet as NameSet;
use sched::records::{Name, Phase};
use sched::replica::Replica;

/// The tasks that run on a peer's machines, as it said.
#[derive(Debug)]
pub struct PeerObservation {
    /// The incarnation of the peer.
    pub incarnation: u64,
    /// The epoch of the cluster map by which it owns its machines.
    pub epoch: u64,
    /// When it was requested.
    pub requested_at: Instant,
    /// The tasks.
    pub tasks: ObservedTasks,
}

/// Capacity that is held for a job of which something was stopped.
#[derive(Debug, Clone)]
pub struct CapacityHold {
    /// The machines, each as often as it is to hold a task.
    pub machines: Vec<Name>,
    /// Until when it is held at the latest.
    pub until: Instant,
}

impl CapacityHold {
    /// Whether tasks of the job are still to be placed.
    pub fn is_needed(&self, replica: &Replica, job: &str) -> bool {
        let Some(job) = replica.jobs.get(job).map(|j| &j.value) else { return false };
        let stopping = job.assignments.iter().any(|a| !job.should_run(a));
        job.phase == Phase::Active && (stopping || sched::placement::pending_task_count(job) > 0)
    }
}

/// What a controller knows of drains beside the records.
#[derive(Debug, Default)]
pub struct DrainState {
    /// The jobs whose running tasks have to be observed for the next step.
    pub observed_jobs: BTreeSet<String>,
    /// What each peer last said of them, by the peer's name.
    pub peer_observations: HashMap<String, PeerObservation>,
    /// Machines whose tasks wait for capacity that is to be scaled out.
    pub machines_awaiting_capacity: NameSet<Name>,
    /// Capacity held for what was stopped, by job.
    pub holds: BTreeMap<String, CapacityHold>,
    /// The orders of machines that a solver has found, by drain.
    pub orders: view::Orders,
    /// Drains that a solver has been asked about.
    pub planned: HashSet<String>,
    /// When each drain's record was last written for its progress.
    pub progress_recorded_at: HashMap<String, Instant>,
    /// Since when drains have had cordons without a record, by drain.
    pub orphaned_since: HashMap<String, Instant>,
    /// Drains that cannot be read and that were logged.
    pub unreadable: HashSet<String>,
}

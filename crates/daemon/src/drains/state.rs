//! What a controller knows of drains beside the records: plain state, which the duty changes.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::time::Instant;

use drain::view::{self, ObservedTasks};
use sched::hash::HashSet as NameSet;
use sched::records::{Name, Phase};
use sched::replica::Replica;

/// What a peer said of the tasks that run on its machines.
#[derive(Debug)]
pub struct PeerAnswer {
    /// The process that said it.
    pub incarnation: u64,
    /// The epoch of the map by which it owns its machines.
    pub epoch: u64,
    /// When it was asked.
    pub asked_at: Instant,
    /// The tasks.
    pub tasks: ObservedTasks,
}

/// Room that is held for a job of which something was stopped.
#[derive(Debug, Clone)]
pub struct Hold {
    /// The machines, each as often as it has a place.
    pub machines: Vec<Name>,
    /// Until when it is held at the latest.
    pub until: Instant,
}

impl Hold {
    /// Whether the job has not got its places yet.
    pub fn is_needed(&self, world: &Replica, job: &str) -> bool {
        let Some(job) = world.jobs.get(job).map(|j| &j.value) else { return false };
        let stopping = job.assignments.iter().any(|a| !job.should_run(a));
        job.phase == Phase::Active && (stopping || sched::placement::pending_task_count(job) > 0)
    }
}

/// What a controller knows of drains beside the records.
#[derive(Debug, Default)]
pub struct DrainState {
    /// The jobs whose running tasks have to be known for the next step.
    pub asked: BTreeSet<String>,
    /// What each peer last said of them.
    pub answers: HashMap<String, PeerAnswer>,
    /// Machines whose work waits for room that should be rented.
    pub wants_room: NameSet<Name>,
    /// Room held for what was stopped, by job.
    pub holds: BTreeMap<String, Hold>,
    /// The orders of drains' machines that a solver has found.
    pub orders: view::Orders,
    /// Drains that a solver has been asked about.
    pub planned: HashSet<String>,
    /// When each drain's record was last written.
    pub told: HashMap<String, Instant>,
    /// Cordons that were first seen without a drain, and when.
    pub abandoned: HashMap<String, Instant>,
    /// Drains that cannot be read, as already told in the log.
    pub unreadable: HashSet<String>,
}

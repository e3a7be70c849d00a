//! Jobs that have to wait because the cloud has no more machines for them.

use std::collections::{BTreeMap, BTreeSet};

/// Services and gangs for which there are not enough machines, and none can be requested. What is kept
/// from other jobs for their sake would be kept without an end and without a use.
///
/// Only the leader's scale-out knows them, so that they are empty on other controllers. A job that one
/// of these cannot place is handed over to the leader.
#[derive(Debug, Clone, Default)]
pub struct CapacityShortfalls {
    /// How many of the pending tasks of each job could run once arrays and gangs have ended.
    attainable_tasks: BTreeMap<String, u32>,
}

impl CapacityShortfalls {
    /// How many of the job's pending tasks may get capacity.
    pub fn attainable_tasks(&self, job: &str, pending: u32) -> u32 {
        self.attainable_tasks.get(job).map_or(pending, |tasks| pending.min(*tasks))
    }

    /// Whether no pending task of the job can get capacity.
    pub fn is_unattainable(&self, job: &str) -> bool {
        self.attainable_tasks.get(job) == Some(&0)
    }

    /// Whether the job is known to be short of capacity.
    pub fn contains(&self, job: &str) -> bool {
        self.attainable_tasks.contains_key(job)
    }

    /// Notes how many of the job's pending tasks could get capacity; a gang is placed as a whole or not
    /// at all. Returns whether this number is new.
    pub fn note(&mut self, job: &str, attainable_tasks: u32) -> bool {
        self.attainable_tasks.insert(job.to_owned(), attainable_tasks) != Some(attainable_tasks)
    }

    /// Forgets a job for which there is capacity. Returns whether it was short of it.
    pub fn remove(&mut self, job: &str) -> bool {
        self.attainable_tasks.remove(job).is_some()
    }

    /// Forgets all jobs but these.
    pub fn retain(&mut self, jobs: &BTreeSet<&str>) {
        self.attainable_tasks.retain(|job, _| jobs.contains(job.as_str()));
    }
}

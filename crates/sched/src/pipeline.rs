//! The dependency graph of the jobs that wait for others.
//!
//! All of it follows from the records of jobs, so that every controller comes to the same
//! conclusions, also after a restart. Done and cancelled are final: what is concluded from them
//! stands, however old the replica is.

use std::collections::BTreeSet;

use crate::hash::HashMap;
use crate::records::Name;

#[derive(Debug, Default)]
struct WaitingJob {
    dependencies: Vec<Name>,
    /// How many of them are not known to be done.
    unfinished: usize,
}

/// The jobs that wait, and for which others.
#[derive(Debug, Default)]
pub struct Pipelines {
    waiting: HashMap<Name, WaitingJob>,
    /// The jobs that wait for a job, directly.
    dependents: HashMap<Name, BTreeSet<Name>>,
    /// Jobs that wait although one that they depend on is cancelled: they are cancelled, too, and
    /// their records are still to say so.
    cancelled_by_dependency: BTreeSet<Name>,
}

impl Pipelines {
    /// Adds a waiting job; `is_done` tells which of its dependencies are done. True if all are: then
    /// the job may start and is not added.
    pub fn add_waiting(&mut self, id: &Name, dependencies: &[Name], is_done: impl Fn(&Name) -> bool) -> bool {
        let mut unfinished = 0;
        for dependency in dependencies.iter().filter(|dependency| !is_done(dependency)) {
            self.dependents.entry(dependency.clone()).or_default().insert(id.clone());
            unfinished += 1;
        }
        if unfinished > 0 {
            self.waiting.insert(id.clone(), WaitingJob { dependencies: dependencies.to_vec(), unfinished });
        }
        unfinished == 0
    }

    /// Removes a job that waits no longer, for whatever reason. Returns its dependencies.
    pub fn remove_waiting(&mut self, id: &str) -> Vec<Name> {
        let Some(job) = self.waiting.remove(id) else { return Vec::new() };
        self.cancelled_by_dependency.remove(id);
        for dependency in &job.dependencies {
            if let Some(dependents) = self.dependents.get_mut(dependency) {
                dependents.remove(id);
                if dependents.is_empty() {
                    self.dependents.remove(dependency);
                }
            }
        }
        job.dependencies
    }

    /// Notes that a job is done. Returns the jobs of which it was the last dependency; they no
    /// longer wait.
    pub fn note_done(&mut self, id: &str) -> Vec<Name> {
        let mut ready = Vec::new();
        for dependent in self.dependents.remove(id).unwrap_or_default() {
            let Some(job) = self.waiting.get_mut(&dependent) else { continue };
            job.unfinished -= 1;
            if job.unfinished == 0 {
                self.waiting.remove(&dependent);
                ready.push(dependent);
            }
        }
        ready
    }

    /// Notes that a job is cancelled, and with it all that depend on it, directly or through
    /// others. Chains may be thousands long: they are walked without recursion, and each job once.
    pub fn note_cancelled(&mut self, id: &str) {
        let mut next: Vec<Name> = self.dependents(id).cloned().collect();
        while let Some(id) = next.pop() {
            if self.cancelled_by_dependency.insert(id.clone()) {
                next.extend(self.dependents.get(&id).into_iter().flatten().cloned());
            }
        }
    }

    /// Whether a waiting job is cancelled with one that it depends on.
    pub fn is_cancelled_by_dependency(&self, id: &str) -> bool {
        self.cancelled_by_dependency.contains(id)
    }

    /// Jobs that are cancelled with one that they depend on, as their records do not say yet.
    pub fn cancelled_by_dependency(&self) -> impl Iterator<Item = &Name> {
        self.cancelled_by_dependency.iter()
    }

    /// The jobs that wait for a job, directly.
    pub fn dependents(&self, id: &str) -> impl Iterator<Item = &Name> {
        self.dependents.get(id).into_iter().flatten()
    }

    /// The dependencies of a waiting job.
    pub fn dependencies(&self, id: &str) -> &[Name] {
        self.waiting.get(id).map_or(&[], |job| &job.dependencies)
    }

    /// The jobs that wait, those left out that are cancelled with one that they depend on.
    pub fn waiting(&self) -> impl Iterator<Item = &Name> {
        self.waiting.keys().filter(|id| !self.cancelled_by_dependency.contains(*id))
    }
}

#[cfg(test)]
#[path = "../tests/unit/pipeline.rs"]
mod tests;

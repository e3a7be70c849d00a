//! The dependency graph of jobs that wait for other jobs.
//!
//! The graph is derived entirely from job records, so that every controller reaches the same
//! conclusions, even after a restart. The phases done and cancelled are final, so conclusions drawn
//! from them stay valid even on a stale replica.

use std::collections::{BTreeMap, BTreeSet};

use crate::hash::HashMap;
use crate::records::Name;

#[derive(Debug, Default)]
struct WaitingJob {
    dependencies: Vec<Name>,
    /// The number of dependencies that are not known to be done.
    unfinished: usize,
}

/// The waiting jobs and their dependencies.
#[derive(Debug, Default)]
pub struct Pipelines {
    waiting: BTreeMap<Name, WaitingJob>,
    /// The jobs that directly depend on a job.
    dependents: HashMap<Name, BTreeSet<Name>>,
    /// Waiting jobs with a cancelled direct or transitive dependency. They count as cancelled, but
    /// their records have not been updated yet.
    cancelled_by_dependency: BTreeSet<Name>,
}

impl Pipelines {
    /// Adds a waiting job unless all its dependencies are done according to `is_done`. Returns
    /// whether they are, in which case the job may start.
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

    /// Removes a job that no longer waits. Returns its dependencies.
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

    /// Records that a job is done. Returns the jobs whose last unfinished dependency it was; they no
    /// longer wait.
    pub fn mark_done(&mut self, id: &str) -> Vec<Name> {
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

    /// Records that a job is cancelled, which cancels all its direct and transitive dependents.
    /// Chains may be thousands of jobs long, so the traversal is iterative and visits each job once.
    pub fn mark_cancelled(&mut self, id: &str) {
        let mut pending: Vec<Name> = self.dependents(id).cloned().collect();
        while let Some(id) = pending.pop() {
            if self.cancelled_by_dependency.insert(id.clone()) {
                pending.extend(self.dependents.get(&id).into_iter().flatten().cloned());
            }
        }
    }

    /// Whether a waiting job counts as cancelled because a direct or transitive dependency is.
    pub fn is_cancelled_by_dependency(&self, id: &str) -> bool {
        self.cancelled_by_dependency.contains(id)
    }

    /// Jobs that count as cancelled because of a dependency, but whose records do not say so yet.
    pub fn cancelled_by_dependency(&self) -> impl Iterator<Item = &Name> {
        self.cancelled_by_dependency.iter()
    }

    /// The jobs that directly depend on a job.
    pub fn dependents(&self, id: &str) -> impl Iterator<Item = &Name> {
        self.dependents.get(id).into_iter().flatten()
    }

    /// The dependencies of a waiting job.
    pub fn dependencies(&self, id: &str) -> &[Name] {
        self.waiting.get(id).map_or(&[], |job| &job.dependencies)
    }

    /// The waiting jobs, sorted by id, without those cancelled because of a dependency.
    pub fn waiting(&self) -> impl Iterator<Item = &Name> {
        self.waiting.keys().filter(|id| !self.cancelled_by_dependency.contains(*id))
    }
}

#[cfg(test)]
#[path = "../tests/unit/pipeline.rs"]
mod tests;

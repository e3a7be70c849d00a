//! Jobs that wait for others: who needs whom. All of it follows from the jobs'
//! records, so that every controller comes to the same conclusions, also after a
//! restart. Done and cancelled are final: what is concluded from them stands,
//! however old the view is.

use std::collections::BTreeSet;

use crate::hash::HashMap;
use crate::records::Name;

#[derive(Debug, Default)]
struct Waiting {
    needs: Vec<Name>,
    /// How many of them are not known to be done.
    unmet: usize,
}

#[derive(Debug, Default)]
pub struct Pipelines {
    waiting: HashMap<Name, Waiting>,
    /// The jobs that wait for one, directly.
    dependents: HashMap<Name, BTreeSet<Name>>,
    /// Jobs that wait although one before them is cancelled: they are, too, and
    /// their records are to tell so.
    doomed: BTreeSet<Name>,
}

impl Pipelines {
    /// Takes in a job that waits; `met` tells which of its needs are done. True if
    /// all are, and it may begin.
    pub fn enter(&mut self, id: &Name, needs: &[Name], met: impl Fn(&Name) -> bool) -> bool {
        let mut unmet = 0;
        for need in needs.iter().filter(|n| !met(n)) {
            self.dependents.entry(need.clone()).or_default().insert(id.clone());
            unmet += 1;
        }
        if unmet > 0 {
            self.waiting.insert(id.clone(), Waiting { needs: needs.to_vec(), unmet });
        }
        unmet == 0
    }

    /// The job waits no longer, whatever became of it. Gives back what it needed.
    pub fn leave(&mut self, id: &str) -> Vec<Name> {
        let Some(w) = self.waiting.remove(id) else { return Vec::new() };
        self.doomed.remove(id);
        for need in &w.needs {
            if let Some(list) = self.dependents.get_mut(need) {
                list.remove(id);
                if list.is_empty() {
                    self.dependents.remove(need);
                }
            }
        }
        w.needs
    }

    /// A job is done: the jobs for which it was the last one.
    pub fn done(&mut self, id: &str) -> Vec<Name> {
        let mut ready = Vec::new();
        for dependent in self.dependents.remove(id).unwrap_or_default() {
            let Some(w) = self.waiting.get_mut(&dependent) else { continue };
            w.unmet -= 1;
            if w.unmet == 0 {
                self.waiting.remove(&dependent);
                ready.push(dependent);
            }
        }
        ready
    }

    /// A job is cancelled, and with it all that need it, directly or through others.
    /// Chains may be thousands long: they are walked one by one, and each job once.
    pub fn cancelled(&mut self, id: &str) {
        let mut next: Vec<Name> = self.dependents.get(id).into_iter().flatten().cloned().collect();
        while let Some(id) = next.pop() {
            if self.doomed.insert(id.clone()) {
                next.extend(self.dependents.get(&id).into_iter().flatten().cloned());
            }
        }
    }

    pub fn is_cancelled_by_dependency(&self, id: &str) -> bool {
        self.doomed.contains(id)
    }

    /// Jobs that are cancelled with one before them, as their records do not tell yet.
    pub fn cancelled_by_dependency(&self) -> impl Iterator<Item = &Name> {
        self.doomed.iter()
    }

    pub fn dependents(&self, id: &str) -> impl Iterator<Item = &Name> {
        self.dependents.get(id).into_iter().flatten()
    }

    pub fn needs(&self, id: &str) -> &[Name] {
        self.waiting.get(id).map_or(&[], |w| &w.needs)
    }

    /// The jobs that wait, those that are cancelled left out.
    pub fn waiting(&self) -> impl Iterator<Item = &Name> {
        self.waiting.keys().filter(|id| !self.doomed.contains(*id))
    }
}

#[cfg(test)]
#[path = "../tests/unit/pipeline.rs"]
mod tests;

//! Jobs that wait for others: when they become active, what urgency their dependencies inherit
//! from them, and when they are cancelled with one of these.

use wire::JobState;

use super::Replica;
use crate::records::{JobRecord, Name, Phase, Urgency};

impl Replica {
    /// A job's record as it counts now: a waiting job whose dependencies are all done is active,
    /// though its record does not say so before it is next written.
    pub(super) fn resolve_dependencies(
        &mut self,
        id: &str,
        mut record: Box<JobRecord>,
        old: Option<&JobRecord>,
    ) -> Box<JobRecord> {
        record.urgency = old.map_or_else(|| self.inherited_urgency(id), |old| old.urgency);
        if record.phase != Phase::Waiting {
            return record;
        }
        let jobs = &self.jobs;
        let phase_of = |id: &Name| jobs.get(&**id).map(|job| job.value.phase);
        let is_done = |id: &Name| phase_of(id) == Some(Phase::Done);
        if self.pipelines.add_waiting(&id.into(), &record.dependencies, is_done) {
            record.activate(self.last_end_ms(&record.dependencies));
            return record;
        }
        let is_cancelled = |id: &&Name| {
            phase_of(id) == Some(Phase::Cancelled) || self.pipelines.is_cancelled_by_dependency(id)
        };
        if let Some(cancelled) = record.dependencies.iter().find(is_cancelled) {
            self.pipelines.note_cancelled(cancelled);
        }
        record
    }

    /// When the last of these jobs was done; 0 if none is known.
    fn last_end_ms(&self, ids: &[Name]) -> u64 {
        let jobs = ids.iter().filter_map(|id| self.jobs.get(&**id));
        jobs.map(|job| job.value.ended_ms).max().unwrap_or(0)
    }

    /// Activates the jobs whose last dependency was this one, which is done.
    pub(super) fn activate_dependents(&mut self, id: &str) {
        for ready in self.pipelines.note_done(id) {
            let Some(mut job) = self.jobs.remove(&*ready) else { continue };
            let ready_ms = self.last_end_ms(&job.value.dependencies);
            job.value.activate(ready_ms);
            self.jobs.insert(ready.to_string(), job);
            self.open_job_ids.insert(ready.to_string());
            self.renew_open_jobs_generation();
        }
    }

    /// What a job inherits from those that depend on it.
    fn inherited_urgency(&self, id: &str) -> Urgency {
        let urgency_from = |dependent: &Name| match self.jobs.get(&**dependent) {
            Some(job) if !self.pipelines.is_cancelled_by_dependency(dependent) => {
                job.value.urgency_for_dependencies()
            }
            _ => Urgency::default(),
        };
        self.pipelines.dependents(id).map(urgency_from).fold(Urgency::default(), Urgency::and)
    }

    /// Makes the jobs that a waiting job depends on, directly or through others, as urgent as it
    /// is.
    pub(super) fn propagate_urgency(&mut self, id: &str) {
        let mut next: Vec<Name> = vec![id.into()];
        while let Some(id) = next.pop() {
            let Some(job) = self.jobs.get(&*id) else { continue };
            if self.pipelines.is_cancelled_by_dependency(&id) {
                continue;
            }
            let inherited = job.value.urgency_for_dependencies();
            for dependency in self.pipelines.dependencies(&id).to_vec() {
                let Some(job) = self.jobs.get_mut(&*dependency) else { continue };
                let urgency = job.value.urgency.and(inherited);
                if job.value.spec.is_some() && urgency != job.value.urgency {
                    job.value.urgency = urgency;
                    next.push(dependency);
                }
            }
        }
    }

    /// Determines anew what a job inherits, as one that depended on it no longer does, and so for
    /// all that it depends on.
    pub(super) fn recompute_urgency(&mut self, id: &Name) {
        let mut next: Vec<Name> = vec![id.clone()];
        while let Some(id) = next.pop() {
            let urgency = self.inherited_urgency(&id);
            let Some(job) = self.jobs.get_mut(&*id) else { continue };
            if job.value.spec.is_some() && urgency != job.value.urgency {
                job.value.urgency = urgency;
                next.extend(self.pipelines.dependencies(&id).iter().cloned());
            }
        }
    }

    /// The job's state as its user is shown it: a job is cancelled with any of its dependencies.
    pub fn state_of(&self, id: &str) -> Option<JobState> {
        let job = self.jobs.get(id)?;
        Some(if self.pipelines.is_cancelled_by_dependency(id) {
            JobState::Cancelled
        } else {
            job.value.state()
        })
    }
}

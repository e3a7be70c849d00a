//! Jobs that wait for other jobs: when they become active, which urgency their dependencies inherit
//! from them, and when they are cancelled because a dependency is.

use wire::JobState;

use super::Replica;
use crate::records::{JobRecord, Name, Phase, Urgency};

impl Replica {
    /// Returns a job's record with its effective phase and urgency. A waiting job whose dependencies
    /// are all done counts as active, although the stored record says so only after its next write.
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
            self.pipelines.mark_cancelled(cancelled);
        }
        record
    }

    /// When the last of these jobs was done, in Unix milliseconds; 0 if none of them is known.
    fn last_end_ms(&self, ids: &[Name]) -> u64 {
        let jobs = ids.iter().filter_map(|id| self.jobs.get(&**id));
        jobs.map(|job| job.value.ended_ms).max().unwrap_or(0)
    }

    /// Activates the jobs whose last unfinished dependency was this job, which is now done.
    pub(super) fn activate_dependents(&mut self, id: &str) {
        for ready in self.pipelines.mark_done(id) {
            let Some(mut job) = self.jobs.remove(&*ready) else { continue };
            let ready_ms = self.last_end_ms(&job.value.dependencies);
            job.value.activate(ready_ms);
            self.jobs.insert(ready.to_string(), job);
            self.open_job_ids.insert(ready.to_string());
            self.renew_open_jobs_generation();
        }
    }

    /// The urgency that a job inherits from its dependents.
    fn inherited_urgency(&self, id: &str) -> Urgency {
        let urgency_from = |dependent: &Name| match self.jobs.get(&**dependent) {
            Some(job) if !self.pipelines.is_cancelled_by_dependency(dependent) => {
                job.value.urgency_for_dependencies()
            }
            _ => Urgency::default(),
        };
        self.pipelines.dependents(id).map(urgency_from).fold(Urgency::default(), Urgency::combine)
    }

    /// Raises the urgency of the direct and transitive dependencies of a waiting job to at least its
    /// own.
    pub(super) fn propagate_urgency(&mut self, id: &str) {
        let mut pending: Vec<Name> = vec![id.into()];
        while let Some(id) = pending.pop() {
            let Some(job) = self.jobs.get(&*id) else { continue };
            if self.pipelines.is_cancelled_by_dependency(&id) {
                continue;
            }
            let inherited = job.value.urgency_for_dependencies();
            for dependency in self.pipelines.dependencies(&id).to_vec() {
                let Some(job) = self.jobs.get_mut(&*dependency) else { continue };
                let urgency = job.value.urgency.combine(inherited);
                if job.value.spec.is_some() && urgency != job.value.urgency {
                    job.value.urgency = urgency;
                    pending.push(dependency);
                }
            }
        }
    }

    /// Recomputes the urgency that a job inherits after it has lost a dependent, and then that of its
    /// direct and transitive dependencies.
    pub(super) fn recompute_urgency(&mut self, id: &Name) {
        let mut pending: Vec<Name> = vec![id.clone()];
        while let Some(id) = pending.pop() {
            let urgency = self.inherited_urgency(&id);
            let Some(job) = self.jobs.get_mut(&*id) else { continue };
            if job.value.spec.is_some() && urgency != job.value.urgency {
                job.value.urgency = urgency;
                pending.extend(self.pipelines.dependencies(&id).iter().cloned());
            }
        }
    }

    /// The state of a job as shown to users: a job counts as cancelled if any of its dependencies is.
    pub fn state_of(&self, id: &str) -> Option<JobState> {
        let job = self.jobs.get(id)?;
        Some(if self.pipelines.is_cancelled_by_dependency(id) {
            JobState::Cancelled
        } else {
            job.value.state()
        })
    }
}

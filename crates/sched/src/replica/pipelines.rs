//! Jobs that wait for others: when they begin, how urgent they make these, and when they are
//! cancelled with them.

use wire::JobState;

use super::Replica;
use crate::records::{JobRecord, Name, Phase, Urgency};

impl Replica {
    /// A job's record as it counts now: one that waits and all of whose needs are
    /// done has begun, though its record does not say so before it is next written.
    pub(super) fn enter_pipelines(
        &mut self,
        id: &str,
        mut record: Box<JobRecord>,
        old: Option<&JobRecord>,
    ) -> Box<JobRecord> {
        record.urgency = old.map_or_else(|| self.inherited(id), |o| o.urgency);
        if record.phase != Phase::Waiting {
            return record;
        }
        let jobs = &self.jobs;
        let phase = |n: &Name| jobs.get(&**n).map(|j| j.value.phase);
        if self.pipelines.enter(&id.into(), &record.dependencies, |n| phase(n) == Some(Phase::Done)) {
            let ended =
                record.dependencies.iter().filter_map(|n| jobs.get(&**n)).map(|j| j.value.ended_ms).max();
            record.activate(ended.unwrap_or(0));
        } else if let Some(n) = record
            .dependencies
            .iter()
            .find(|n| phase(n) == Some(Phase::Cancelled) || self.pipelines.is_cancelled_by_dependency(n))
            .cloned()
        {
            self.pipelines.cancelled(&n);
        }
        record
    }

    /// The last job that some waited for is done.
    pub(super) fn let_begin(&mut self, id: &str) {
        for ready in self.pipelines.done(id) {
            let Some(mut job) = self.jobs.remove(&*ready) else { continue };
            let ended =
                job.value.dependencies.iter().filter_map(|n| self.jobs.get(&**n)).map(|j| j.value.ended_ms);
            job.value.activate(ended.max().unwrap_or(0));
            self.jobs.insert(ready.to_string(), job);
            self.open_job_ids.insert(ready.to_string());
            self.new_open_layout();
        }
    }

    /// What a job inherits from those that wait for it.
    fn inherited(&self, id: &str) -> Urgency {
        let of = |d: &Name| match self.jobs.get(&**d) {
            Some(job) if !self.pipelines.is_cancelled_by_dependency(d) => {
                job.value.urgency_for_dependencies()
            }
            _ => Urgency::default(),
        };
        self.pipelines.dependents(id).map(of).fold(Urgency::default(), Urgency::and)
    }

    /// A job waits, and makes those before it as urgent as it is.
    pub(super) fn pass_on(&mut self, id: &str) {
        let mut next: Vec<Name> = vec![id.into()];
        while let Some(id) = next.pop() {
            let Some(job) = self.jobs.get(&*id) else { continue };
            if self.pipelines.is_cancelled_by_dependency(&id) {
                continue;
            }
            let gives = job.value.urgency_for_dependencies();
            for need in self.pipelines.needs(&id).to_vec() {
                let Some(job) = self.jobs.get_mut(&*need) else { continue };
                let sum = job.value.urgency.and(gives);
                if job.value.spec.is_some() && sum != job.value.urgency {
                    job.value.urgency = sum;
                    next.push(need);
                }
            }
        }
    }

    /// A job that needed this one is no more: what it inherits is reckoned anew, and
    /// so for all before it.
    pub(super) fn reckon(&mut self, id: &Name) {
        let mut next: Vec<Name> = vec![id.clone()];
        while let Some(id) = next.pop() {
            let now = self.inherited(&id);
            let Some(job) = self.jobs.get_mut(&*id) else { continue };
            if job.value.spec.is_some() && now != job.value.urgency {
                job.value.urgency = now;
                next.extend(self.pipelines.needs(&id).iter().cloned());
            }
        }
    }

    /// The job's state as its user is told: a job is cancelled with any before it.
    pub fn state_of(&self, id: &str) -> Option<JobState> {
        let job = self.jobs.get(id)?;
        Some(if self.pipelines.is_cancelled_by_dependency(id) {
            JobState::Cancelled
        } else {
            job.value.state()
        })
    }
}

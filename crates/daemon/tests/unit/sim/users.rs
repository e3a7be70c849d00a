//! Users, who submit and cancel jobs.

use super::*;

impl Simulation {
    pub(super) fn job(n: usize) -> wire::JobSpec {
        let kind = [JobKind::Array, JobKind::Service, JobKind::Gang][n % 3];
        let mut job_spec = spec(&format!("j-{n}"), kind);
        job_spec.tasks = if n == 0 { LARGE_JOB_TASKS } else { TASKS_PER_JOB };
        job_spec.spot = kind == JobKind::Array;
        job_spec.one_zone = kind == JobKind::Gang;
        if n >= INITIAL_JOBS {
            job_spec.priority = wire::Priority::High;
        }
        job_spec
    }

    /// A user submits a job with dependencies through a random controller; it is skipped if that
    /// controller does not know all of them yet.
    pub(super) fn submit_random_job(&mut self) {
        let n = self.next_job;
        let job_spec = Self::job(n);
        let earlier_jobs: Vec<usize> = (2..n)
            .filter(|k| {
                k % 3 != 1 && (*k < INITIAL_JOBS || self.submitted_at.contains_key(&format!("j-{k}")))
            })
            .collect();
        let mut dependencies: Vec<String> = Vec::new();
        for _ in 0..self.rng.random_range(1..4) {
            let index = earlier_jobs.len() - self.rng.random_range(1..=earlier_jobs.len().min(8));
            dependencies.push(format!("j-{}", earlier_jobs[index]));
        }
        let via = self.rng.random_range(0..CONTROLLERS);
        let known: Vec<Name> = match self.defect {
            Defect::OmittedDependencies => Vec::new(),
            _ => dependencies.iter().map(|n| n.as_str().into()).collect(),
        };
        // The controller has to know every dependency.
        if !known.iter().all(|n| self.controllers[via].state().records.replica.jobs.contains_key(&**n)) {
            return;
        }
        let mut record = api::submission::new_record(&self.controllers[via], job_spec.clone(), None, known);
        record.submitted_ms = self.step * 100;
        let mut writes = [KeyWrite::new(key::job(&job_spec.id), &record)];
        let mut conditions = vec![Condition { key: key::job(&job_spec.id), version: 0 }];
        let nonce = self.rng.random();
        self.state_service.write_in_chunks(&mut conditions, &mut writes, nonce, LOWERED_VALUE_KB * 1024.0);
        if self.state_service.txn(&conditions, writes.to_vec()) == Outcome::Committed {
            self.dependencies.insert(job_spec.id.clone(), dependencies);
            self.submitted_at.insert(job_spec.id, self.step);
            self.next_job += if n.is_multiple_of(3) { 2 } else { 1 };
        }
    }

    /// A user cancels a job by a transaction on the newest record.
    pub(super) fn cancel_random_job(&mut self) {
        let last = if self.rng.random_bool(0.5) { INITIAL_JOBS } else { self.next_job };
        let picks_service = self.rng.random_bool(0.2);
        let job = format!("j-{}", if picks_service { 4 } else { self.rng.random_range(3..last) });
        let replica = self.state_service.replica();
        let open = |j: &&sched::replica::Versioned<Box<JobRecord>>| {
            matches!(j.value.phase, Phase::Active | Phase::Waiting)
        };
        let Some(found) = replica.jobs.get(&job).filter(open) else { return };
        if replica.pipelines.is_cancelled_by_dependency(&job) {
            return;
        }
        let mut record = found.value.clone();
        record.phase = Phase::Cancelled;
        record.compact_if_final();
        let mut conditions = vec![Condition { key: key::job(&job), version: found.version }];
        let mut writes = [KeyWrite::new(key::job(&job), &record)];
        if self.state_service.limits_lowered {
            let nonce = self.rng.random();
            self.state_service.write_in_chunks(
                &mut conditions,
                &mut writes,
                nonce,
                LOWERED_VALUE_KB * 1024.0,
            );
        }
        if self.state_service.txn(&conditions, writes.to_vec()) == Outcome::Committed {
            self.cancelled_at.insert(job, self.step);
        }
    }
}

//! Users: what they submit and cancel.

use super::*;

impl Sim {
    pub(super) fn job(n: usize) -> wire::JobSpec {
        let kind = [JobKind::Array, JobKind::Service, JobKind::Gang][n % 3];
        let mut s = spec(&format!("j-{n}"), kind);
        s.tasks = if n == 0 { LARGE } else { TASKS };
        s.spot = kind == JobKind::Array;
        s.one_zone = kind == JobKind::Gang;
        if n >= FIRST {
            s.priority = wire::Priority::High;
        }
        s
    }

    /// A user submits a job that needs some of those before it, to any controller,
    /// which may know little of them yet.
    pub(super) fn submit(&mut self) {
        let n = self.next;
        let s = Self::job(n);
        let before: Vec<usize> = (2..n)
            .filter(|k| k % 3 != 1 && (*k < FIRST || self.submitted.contains_key(&format!("j-{k}"))))
            .collect();
        let mut needs: Vec<String> = Vec::new();
        for _ in 0..self.rng.random_range(1..4) {
            let late = before.len() - self.rng.random_range(1..=before.len().min(8));
            needs.push(format!("j-{}", before[late]));
        }
        let via = self.rng.random_range(0..CONTROLLERS);
        let known: Vec<Name> = match self.sabotage {
            Sabotage::Needs => Vec::new(),
            _ => needs.iter().map(|n| n.as_str().into()).collect(),
        };
        // What it knows of them is not old.
        if !known.iter().all(|n| self.nodes[via].state().records.replica.jobs.contains_key(&**n)) {
            return;
        }
        let mut record = api::submission::new_record(&self.nodes[via], s.clone(), None, known);
        record.submitted_ms = self.step * 100;
        let mut puts = [KeyWrite::new(key::job(&s.id), &record)];
        let mut conditions = vec![Condition { key: key::job(&s.id), version: 0 }];
        let nonce = self.rng.random();
        self.state.widen(&mut conditions, &mut puts, nonce, NEXT_KB * 1024.0);
        if self.state.txn(&conditions, puts.to_vec()) == Outcome::Committed {
            self.needs.insert(s.id.clone(), needs);
            self.submitted.insert(s.id, self.step);
            self.next += if n.is_multiple_of(3) { 2 } else { 1 };
        }
    }

    /// A user cancels a job: a transaction on the newest record.
    pub(super) fn cancel(&mut self) {
        let last = if self.rng.random_bool(0.5) { FIRST } else { self.next };
        let replicas = self.rng.random_bool(0.2);
        let job = format!("j-{}", if replicas { 4 } else { self.rng.random_range(3..last) });
        let world = self.state.world();
        let open = |j: &&sched::replica::Versioned<Box<JobRecord>>| {
            matches!(j.value.phase, Phase::Active | Phase::Waiting)
        };
        let Some(found) = world.jobs.get(&job).filter(open) else { return };
        if world.pipelines.is_cancelled_by_dependency(&job) {
            return;
        }
        let mut record = found.value.clone();
        record.phase = Phase::Cancelled;
        record.compact_if_final();
        let mut conditions = vec![Condition { key: key::job(&job), version: found.version }];
        let mut puts = [KeyWrite::new(key::job(&job), &record)];
        if self.state.small {
            let nonce = self.rng.random();
            self.state.widen(&mut conditions, &mut puts, nonce, NEXT_KB * 1024.0);
        }
        if self.state.txn(&conditions, puts.to_vec()) == Outcome::Committed {
            self.cancelled.insert(job, self.step);
        }
    }
}

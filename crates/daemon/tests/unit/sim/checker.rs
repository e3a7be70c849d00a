//! The checker: the guarantees, as far as records and machines show them.

use super::*;

impl Simulation {
    pub(super) fn is_done(&self, job: &str) -> bool {
        let number: usize = job.trim_start_matches("j-").parse().expect("a number");
        let tasks = if number == 0 { LARGE_JOB_TASKS } else { TASKS_PER_JOB };
        let done = (0..tasks).filter(|t| self.done_tasks.contains(&format!("{job}/{t}"))).count() as u32;
        done >= if number % 3 == 2 { 1 } else { tasks }
    }

    /// Jobs that depend on a cancelled one must be reported as cancelled.
    pub(super) fn check_orphaned(&mut self) {
        let replica = self.state_service.replica();
        let mut cancelled_at: HashMap<&str, u64> =
            self.cancelled_at.iter().map(|(id, at)| (id.as_str(), *at)).collect();
        let mut job_numbers: Vec<usize> =
            self.dependencies.keys().filter_map(|id| id.trim_start_matches("j-").parse().ok()).collect();
        job_numbers.sort_unstable();
        for n in job_numbers {
            let Some((id, dependencies)) = self.dependencies.get_key_value(&format!("j-{n}")) else {
                continue;
            };
            let Some(at) = dependencies.iter().filter_map(|n| cancelled_at.get(n.as_str())).min().copied()
            else {
                continue;
            };
            cancelled_at.insert(id, at);
            let known_at = at.max(self.submitted_at[id]);
            let reported_state = replica.state_of(id);
            if self.step > known_at + CANCEL_STEPS && reported_state != Some(wire::JobState::Cancelled) {
                self.violations.insert("orphaned");
            }
        }
    }

    /// Checks the machine that starts a task. Jobs 0, 3 and 6 are arrays, which may use spot
    /// machines; 2, 5 and 8 are gangs, which stay in one zone.
    pub(super) fn check_place(&mut self, m: usize, task: &str) {
        let job = task.split('/').next().unwrap_or_default();
        let number: usize = job.trim_start_matches("j-").parse().expect("a number");
        if is_spot(&machine_id(m)) && !number.is_multiple_of(3) {
            self.violations.insert("wrong_place");
        }
        let elsewhere = (0..MACHINES).filter(|o| zone_of(&machine_id(*o)) != zone_of(&machine_id(m)));
        let has_gang_task = |o: &usize| {
            let alive = |s: &TaskState| *s != TaskState::Exited;
            let mut tasks = self.machines[*o].tasks.iter();
            self.machines[*o].up
                && tasks.any(|((t, _), (s, _))| t.starts_with(&format!("{job}/")) && alive(s))
        };
        if number % 3 == 2 && elsewhere.clone().any(|o| has_gang_task(&o)) {
            self.violations.insert("wrong_place");
        }
    }

    /// No task of a cancelled job may run on a machine after the cancellation bound.
    pub(super) fn check_cancelled(&mut self) {
        for machine in self.machines.iter().filter(|m| m.up) {
            for ((task, _), (state, _)) in &machine.tasks {
                let job = task.split('/').next().unwrap_or_default();
                let at = self.cancelled_at.get(job).copied().unwrap_or(u64::MAX);
                if *state != TaskState::Exited && self.step > at.saturating_add(CANCEL_STEPS) {
                    self.violations.insert("ran_cancelled");
                }
            }
        }
    }

    pub(super) fn check_records(&mut self) {
        let replica = self.state_service.replica();
        if replica.jobs.iter().any(|(id, job)| job.value.phase == Phase::Done && !self.is_done(id)) {
            self.violations.insert("not_done");
        }
        // The records hold every accepted job and no other.
        let accepted = (0..INITIAL_JOBS).map(|n| format!("j-{n}")).chain(self.submitted_at.keys().cloned());
        if accepted.collect::<HashSet<String>>() != replica.jobs.keys().cloned().collect::<HashSet<String>>()
        {
            self.violations.insert("forgotten");
        }
    }

    /// Once no more faults are injected, every accepted job with dependencies that is not
    /// cancelled gets its turn, or waits for a dependency that is not done. The initial jobs may
    /// still wait for the large one, which was submitted at the same time.
    pub(super) fn check_served(&mut self) {
        self.faults_ended = true;
        self.paused_until.fill(0);
        let live: Vec<Member> = self.controllers.iter().map(|n| n.identity.clone()).collect();
        let leader = live[0].clone();
        let writes = vec![
            KeyWrite::new(key::MAP.into(), &ClusterMap { epoch: self.step + 1, live }),
            KeyWrite::new(key::LEADER.into(), &leader),
        ];
        assert!(self.state_service.txn(&[], writes) == Outcome::Committed);
        let mut ran: HashSet<String> = HashSet::new();
        for _ in 0..PROGRESS_STEPS {
            self.step += 1;
            self.deliver_due();
            (0..CONTROLLERS).for_each(|n| self.step_controller(n));
            (0..MACHINES).for_each(|m| self.step_worker(m));
            if self.step.is_multiple_of(50) {
                let replica = self.state_service.replica();
                let runs = |j: &JobRecord| j.phase == Phase::Done || !j.assignments.is_empty();
                ran.extend(replica.jobs.iter().filter(|(_, j)| runs(&j.value)).map(|(id, _)| id.clone()));
            }
        }
        let replica = self.state_service.replica();
        for (id, job) in replica.jobs.iter().filter(|(id, _)| self.dependencies.contains_key(*id)) {
            let is_settled = replica.state_of(id) == Some(wire::JobState::Cancelled) || ran.contains(id);
            if !is_settled && job.value.phase == Phase::Active && job.value.done.is_empty() {
                self.violations.insert("not_served");
            }
        }
        // Every dependant of a cancelled job must have been recorded as cancelled by now.
        if replica.pipelines.cancelled_by_dependency().next().is_some() {
            self.violations.insert("cascade");
        }
    }
}

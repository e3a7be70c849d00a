//! The rules, as far as records and machines show them.

use super::*;

impl Sim {
    pub(super) fn is_done(&self, job: &str) -> bool {
        let number: usize = job.trim_start_matches("j-").parse().expect("a number");
        let tasks = if number == 0 { LARGE } else { TASKS };
        let done = (0..tasks).filter(|t| self.done.contains(&format!("{job}/{t}"))).count() as u32;
        done >= if number % 3 == 2 { 1 } else { tasks }
    }

    /// Jobs that need a cancelled one are called cancelled, whoever is asked.
    pub(super) fn check_orphaned(&mut self) {
        let world = self.state.world();
        let mut after: HashMap<&str, u64> =
            self.cancelled.iter().map(|(id, at)| (id.as_str(), *at)).collect();
        let mut numbers: Vec<usize> =
            self.needs.keys().filter_map(|id| id.trim_start_matches("j-").parse().ok()).collect();
        numbers.sort_unstable();
        for n in numbers {
            let Some((id, needs)) = self.needs.get_key_value(&format!("j-{n}")) else { continue };
            let Some(at) = needs.iter().filter_map(|n| after.get(n.as_str())).min().copied() else {
                continue;
            };
            after.insert(id, at);
            let told = at.max(self.submitted[id]);
            let called = world.state_of(id);
            if self.step > told + CANCEL_STEPS && called != Some(wire::JobState::Cancelled) {
                self.broken.insert("orphaned");
            }
        }
    }

    /// Jobs 0, 3 and 6 are arrays, which may use spot machines; 2, 5 and 8 gangs,
    /// which stay in one zone.
    pub(super) fn check_place(&mut self, m: usize, task: &str) {
        let job = task.split('/').next().unwrap_or_default();
        let number: usize = job.trim_start_matches("j-").parse().expect("a number");
        if spot(&id(m)) && !number.is_multiple_of(3) {
            self.broken.insert("wrong_place");
        }
        let elsewhere = (0..MACHINES).filter(|o| zone(&id(*o)) != zone(&id(m)));
        let mates = |o: &usize| {
            let alive = |s: &TaskState| *s != TaskState::Exited;
            let mut tasks = self.machines[*o].tasks.iter();
            self.machines[*o].up
                && tasks.any(|((t, _), (s, _))| t.starts_with(&format!("{job}/")) && alive(s))
        };
        if number % 3 == 2 && elsewhere.clone().any(|o| mates(&o)) {
            self.broken.insert("wrong_place");
        }
    }

    /// No task of a cancelled job is left on a machine after a while.
    pub(super) fn check_cancelled(&mut self) {
        for machine in self.machines.iter().filter(|m| m.up) {
            for ((task, _), (state, _)) in &machine.tasks {
                let job = task.split('/').next().unwrap_or_default();
                let at = self.cancelled.get(job).copied().unwrap_or(u64::MAX);
                if *state != TaskState::Exited && self.step > at.saturating_add(CANCEL_STEPS) {
                    self.broken.insert("ran_cancelled");
                }
            }
        }
    }

    pub(super) fn check_records(&mut self) {
        let world = self.state.world();
        for (id, job) in &world.jobs {
            if job.value.phase == Phase::Done && !self.is_done(id) {
                self.broken.insert("not_done");
            }
        }
        // Every job that was accepted is known, and none is that was not.
        let all = (0..FIRST).map(|n| format!("j-{n}")).chain(self.submitted.keys().cloned());
        if all.collect::<HashSet<String>>() != world.jobs.keys().cloned().collect::<HashSet<String>>() {
            self.broken.insert("forgotten");
        }
    }

    /// Once troubles are over, every step of a pipeline that was accepted and not
    /// cancelled gets its turn, or waits for one that has not been done. The first jobs
    /// may still wait for the large one, which is as old as they.
    pub(super) fn check_served(&mut self) {
        self.calm = true;
        self.frozen.fill(0);
        let live: Vec<Member> = self.nodes.iter().map(|n| n.identity.clone()).collect();
        let leader = live[0].clone();
        let puts = vec![
            KeyWrite::new(key::MAP.into(), &ClusterMap { epoch: self.step + 1, live }),
            KeyWrite::new(key::LEADER.into(), &leader),
        ];
        assert!(self.state.txn(&[], puts) == Outcome::Committed);
        let mut got: HashSet<String> = HashSet::new();
        for _ in 0..CALM {
            self.step += 1;
            self.deliver();
            (0..CONTROLLERS).for_each(|n| self.controller(n));
            (0..MACHINES).for_each(|m| self.worker(m));
            if self.step.is_multiple_of(50) {
                let world = self.state.world();
                let runs = |j: &JobRecord| j.phase == Phase::Done || !j.assignments.is_empty();
                got.extend(world.jobs.iter().filter(|(_, j)| runs(&j.value)).map(|(id, _)| id.clone()));
            }
        }
        let world = self.state.world();
        for (id, job) in world.jobs.iter().filter(|(id, _)| self.needs.contains_key(*id)) {
            let over = world.state_of(id) == Some(wire::JobState::Cancelled) || got.contains(id);
            if !over && job.value.phase == Phase::Active && job.value.done.is_empty() {
                self.broken.insert("not_served");
            }
        }
        // Cancellations have been written down to the last job.
        if world.pipelines.cancelled_by_dependency().next().is_some() {
            self.broken.insert("cascade");
        }
    }
}

//! Workers as the protocol describes them.

use super::*;

/// A worker as the protocol describes it.
pub(super) struct Machine {
    pub(super) up: bool,
    pub(super) session: u64,
    pub(super) seq: u64,
    pub(super) token: u64,
    pub(super) renewed: u64,
    pub(super) tasks: BTreeMap<(String, u64), (TaskState, Option<ExitReason>)>,
    /// Until when nothing reaches it, though its reports arrive.
    pub(super) deaf: u64,
    /// Until when every task that it starts fails.
    pub(super) sick: u64,
}

impl Machine {
    pub(super) fn report(&mut self, id: &str) -> Heartbeat {
        self.seq += 1;
        let tasks = self.tasks.iter().map(|((task, attempt), (state, cause))| TaskStatus {
            task: task.clone(),
            attempt: *attempt,
            state: *state,
            cause: *cause,
            checkpointed: None,
        });
        Heartbeat {
            machine: id.into(),
            addr: id.into(),
            machine_type: "m".into(),
            zone: zone(id).into(),
            spot: spot(id),
            incarnation: self.session,
            sequence: self.seq,
            fencing_token: self.token,
            spot_notice_s: None,
            tasks: tasks.collect(),
        }
    }

    pub(super) fn holds(&self, task: &str) -> bool {
        self.up && self.tasks.iter().any(|((t, _), (s, _))| t == task && *s != TaskState::Exited)
    }
}

pub(super) fn id(machine: usize) -> String {
    format!("host-{machine:06}")
}

/// Two zones; one machine of each is a spot machine.
pub(super) fn zone(id: &str) -> &'static str {
    if id.ends_with(['0', '2', '4']) { "z" } else { "y" }
}

/// Jobs 1, 4 and 7 are services.
pub(super) fn replica(task: &str) -> bool {
    ["j-1/", "j-4/", "j-7/"].iter().any(|job| task.starts_with(job))
}

pub(super) fn spot(id: &str) -> bool {
    id.ends_with(['4', '5'])
}

impl Sim {
    pub(super) fn worker(&mut self, m: usize) {
        if !self.machines[m].up {
            return;
        }
        if self.step > self.machines[m].renewed + LEASE_STEPS {
            let machine = &mut self.machines[m];
            machine.tasks.clear();
            machine.session += 1;
            machine.renewed = self.step;
        }
        let sick = self.step < self.machines[m].sick;
        for (name, (state, cause)) in &mut self.machines[m].tasks {
            match state {
                TaskState::Fetching if sick => {
                    *state = TaskState::Exited;
                    *cause = Some(ExitReason::Error);
                }
                TaskState::Fetching if self.rng.random_bool(0.3) => *state = TaskState::Running,
                // Replicas run until they are stopped.
                TaskState::Running if self.rng.random_bool(if replica(&name.0) { 0.001 } else { 0.02 }) => {
                    *state = TaskState::Exited;
                    let fails = !self.calm && self.rng.random_bool(0.2);
                    let says_done = !fails || self.sabotage == Sabotage::Done;
                    *cause = Some(if says_done { ExitReason::Done } else { ExitReason::Error });
                    if !fails {
                        self.done.insert(name.0.clone());
                    }
                }
                _ => {}
            }
        }
        if !self.calm && self.rng.random_bool(0.001) {
            self.machines[m].sick = self.step + self.rng.random_range(50..300);
        }
        if !self.calm && self.rng.random_bool(0.002) {
            self.machines[m].deaf = self.step + self.rng.random_range(20..200);
        }
        if self.rng.random_bool(0.3) {
            // To the owner by the newest map, or to whoever still thinks so.
            let n = self.rng.random_range(0..self.nodes.len());
            let report = self.machines[m].report(&id(m));
            if self.rng.random_bool(0.1) {
                let delay = self.rng.random_range(1..3 * LEASE_STEPS);
                let copy = Message::Copy { to: n, machine: m, report: report.clone() };
                self.mail.push((self.step + delay, copy));
            }
            let sent = self.step;
            let Some((token, orders)) = self.answer_report(n, m, report) else { return };
            let heeds = self.sabotage != Sabotage::Tokens;
            // The answer may be lost; it is never late.
            if self.rng.random_bool(0.8)
                && self.step >= self.machines[m].deaf
                && (token >= self.machines[m].token || !heeds)
            {
                self.machines[m].token = token;
                self.machines[m].renewed = sent;
                self.execute(m, &orders);
            }
        }
    }

    pub(super) fn answer_report(
        &mut self,
        n: usize,
        m: usize,
        report: Heartbeat,
    ) -> Option<(u64, Vec<Command>)> {
        if self.step < self.frozen[n] {
            return None;
        }
        let now = self.now();
        let controller = &self.nodes[n];
        let mut core = controller.state();
        let core = &mut *core;
        let mine = core.records.replica.owner_of(&id(m)).is_some_and(|o| *o == controller.identity);
        if !mine || !controller.may_renew_leases(core, now) {
            return None;
        }
        let worker =
            core.machines.workers.get_mut(id(m).as_str()).filter(|w| !w.is_superseded_by(&report))?;
        let news = worker.receive_heartbeat(report, now);
        worker.renew_lease(now);
        let limits = controller.worker_limits(core.records.fresh_at);
        let orders = if news {
            worker.commands_for_heartbeat(&id(m), &core.records.replica, &limits, now)
        } else {
            Vec::new()
        };
        Some((worker.token().get(), orders))
    }

    pub(super) fn execute(&mut self, m: usize, orders: &[Command]) {
        for order in orders {
            match order {
                Command::Start { task, attempt } => {
                    let there = self.machines[m].tasks.keys().any(|(t, a)| t == task && a == attempt);
                    if there {
                        continue;
                    }
                    if (0..MACHINES).any(|o| o != m && self.machines[o].holds(task)) {
                        self.broken.insert("ran_twice");
                    }
                    let busy = self.machines[m].tasks.keys().any(|(t, _)| t == task);
                    let state = if busy {
                        (TaskState::Exited, Some(ExitReason::TaskInUse))
                    } else {
                        (TaskState::Fetching, None)
                    };
                    self.started += u64::from(!busy);
                    if !busy {
                        self.check_place(m, task);
                        let job = task.split('/').next().unwrap_or_default();
                        if self.needs.get(job).is_some_and(|needs| needs.iter().any(|n| !self.is_done(n))) {
                            self.broken.insert("too_early");
                        }
                    }
                    self.machines[m].tasks.insert((task.clone(), *attempt), state);
                }
                Command::Stop { task, attempt, .. } => {
                    if let Some(s) = self.machines[m].tasks.get_mut(&(task.clone(), *attempt))
                        && s.0 != TaskState::Exited
                        && self.sabotage != Sabotage::Stops
                    {
                        *s = (TaskState::Exited, Some(ExitReason::Stopped));
                    }
                }
                Command::Forget { task, attempt } => {
                    let k = (task.clone(), *attempt);
                    if self.machines[m].tasks.get(&k).is_some_and(|s| s.0 == TaskState::Exited) {
                        self.machines[m].tasks.remove(&k);
                    }
                }
            }
        }
        let on: f64 = self
            .machines
            .iter()
            .filter(|x| x.up)
            .flat_map(|x| x.tasks.values())
            .filter(|s| s.0 != TaskState::Exited)
            .count() as f64;
        if on > LIMIT {
            self.broken.insert("quota");
        }
    }
}

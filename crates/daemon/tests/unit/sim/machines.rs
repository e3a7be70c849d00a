//! Machines with workers that follow the protocol.

use super::*;

/// A machine with a worker that follows the protocol.
pub(super) struct Machine {
    pub(super) up: bool,
    pub(super) incarnation: u64,
    pub(super) sequence: u64,
    pub(super) token: u64,
    pub(super) renewed_at: u64,
    pub(super) tasks: BTreeMap<(String, u64), (TaskState, Option<ExitReason>)>,
    /// The step until which it is deaf: nothing reaches it, though its heartbeats arrive.
    pub(super) deaf_until: u64,
    /// The step until which every task that it fetches fails.
    pub(super) failing_until: u64,
}

impl Machine {
    pub(super) fn heartbeat(&mut self, id: &str) -> Heartbeat {
        self.sequence += 1;
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
            zone: zone_of(id).into(),
            spot: is_spot(id),
            incarnation: self.incarnation,
            sequence: self.sequence,
            fencing_token: self.token,
            spot_notice_s: None,
            tasks: tasks.collect(),
        }
    }

    pub(super) fn is_running(&self, task: &str) -> bool {
        self.up && self.tasks.iter().any(|((t, _), (s, _))| t == task && *s != TaskState::Exited)
    }
}

pub(super) fn machine_id(machine: usize) -> String {
    format!("host-{machine:06}")
}

/// The zone of a machine: there are two zones, each with one spot machine.
pub(super) fn zone_of(id: &str) -> &'static str {
    if id.ends_with(['0', '2', '4']) { "z" } else { "y" }
}

/// Whether a task is a replica of a service: jobs 1, 4 and 7 are services.
pub(super) fn is_service_task(task: &str) -> bool {
    ["j-1/", "j-4/", "j-7/"].iter().any(|job| task.starts_with(job))
}

pub(super) fn is_spot(id: &str) -> bool {
    id.ends_with(['4', '5'])
}

impl Simulation {
    pub(super) fn step_worker(&mut self, m: usize) {
        if !self.machines[m].up {
            return;
        }
        if self.step > self.machines[m].renewed_at + LEASE_STEPS {
            let machine = &mut self.machines[m];
            machine.tasks.clear();
            machine.incarnation += 1;
            machine.renewed_at = self.step;
        }
        let is_failing = self.step < self.machines[m].failing_until;
        for (name, (state, cause)) in &mut self.machines[m].tasks {
            match state {
                TaskState::Fetching if is_failing => {
                    *state = TaskState::Exited;
                    *cause = Some(ExitReason::Error);
                }
                TaskState::Fetching if self.rng.random_bool(0.3) => *state = TaskState::Running,
                // Replicas of services rarely exit on their own.
                TaskState::Running
                    if self.rng.random_bool(if is_service_task(&name.0) { 0.001 } else { 0.02 }) =>
                {
                    *state = TaskState::Exited;
                    let fails = !self.faults_ended && self.rng.random_bool(0.2);
                    let reports_done = !fails || self.defect == Defect::FailuresReportedDone;
                    *cause = Some(if reports_done { ExitReason::Done } else { ExitReason::Error });
                    if !fails {
                        self.done_tasks.insert(name.0.clone());
                    }
                }
                _ => {}
            }
        }
        if !self.faults_ended && self.rng.random_bool(0.001) {
            self.machines[m].failing_until = self.step + self.rng.random_range(50..300);
        }
        if !self.faults_ended && self.rng.random_bool(0.002) {
            self.machines[m].deaf_until = self.step + self.rng.random_range(20..200);
        }
        if self.rng.random_bool(0.3) {
            // The heartbeat goes to a random controller, which answers only if its copy of the
            // cluster map makes it the owner of the machine.
            let n = self.rng.random_range(0..self.controllers.len());
            let heartbeat = self.machines[m].heartbeat(&machine_id(m));
            if self.rng.random_bool(0.1) {
                let delay = self.rng.random_range(1..3 * LEASE_STEPS);
                let copy = Message::HeartbeatCopy { to: n, machine: m, heartbeat: heartbeat.clone() };
                self.in_flight.push((self.step + delay, copy));
            }
            let sent = self.step;
            let Some((token, commands)) = self.receive_heartbeat(n, m, heartbeat) else { return };
            let checks_tokens = self.defect != Defect::IgnoredTokens;
            // The response may be lost; it is never late.
            if self.rng.random_bool(0.8)
                && self.step >= self.machines[m].deaf_until
                && (token >= self.machines[m].token || !checks_tokens)
            {
                self.machines[m].token = token;
                self.machines[m].renewed_at = sent;
                self.execute(m, &commands);
            }
        }
    }

    pub(super) fn receive_heartbeat(
        &mut self,
        n: usize,
        m: usize,
        heartbeat: Heartbeat,
    ) -> Option<(u64, Vec<Command>)> {
        if self.step < self.paused_until[n] {
            return None;
        }
        let now = self.now();
        let controller = &self.controllers[n];
        let mut state = controller.state();
        let state = &mut *state;
        let is_owner =
            state.records.replica.owner_of(&machine_id(m)).is_some_and(|o| *o == controller.identity);
        if !is_owner || !controller.may_renew_leases(state, now) {
            return None;
        }
        let worker = state
            .machines
            .workers
            .get_mut(machine_id(m).as_str())
            .filter(|w| !w.is_superseded_by(&heartbeat))?;
        let is_new = worker.receive_heartbeat(heartbeat, now);
        worker.renew_lease(now);
        let limits = controller.worker_limits(state.records.fresh_at);
        let commands = if is_new {
            worker.commands_for_heartbeat(&machine_id(m), &state.records.replica, &limits, now)
        } else {
            Vec::new()
        };
        Some((worker.token().get(), commands))
    }

    pub(super) fn execute(&mut self, m: usize, commands: &[Command]) {
        for command in commands {
            match command {
                Command::Start { task, attempt } => {
                    let is_known = self.machines[m].tasks.keys().any(|(t, a)| t == task && a == attempt);
                    if is_known {
                        continue;
                    }
                    if (0..MACHINES).any(|o| o != m && self.machines[o].is_running(task)) {
                        self.violations.insert("ran_twice");
                    }
                    let busy = self.machines[m].tasks.keys().any(|(t, _)| t == task);
                    let state = if busy {
                        (TaskState::Exited, Some(ExitReason::TaskInUse))
                    } else {
                        (TaskState::Fetching, None)
                    };
                    self.tasks_started += u64::from(!busy);
                    if !busy {
                        self.check_place(m, task);
                        let job = task.split('/').next().unwrap_or_default();
                        if self
                            .dependencies
                            .get(job)
                            .is_some_and(|dependencies| dependencies.iter().any(|n| !self.is_done(n)))
                        {
                            self.violations.insert("too_early");
                        }
                    }
                    self.machines[m].tasks.insert((task.clone(), *attempt), state);
                }
                Command::Stop { task, attempt, .. } => {
                    if let Some(s) = self.machines[m].tasks.get_mut(&(task.clone(), *attempt))
                        && s.0 != TaskState::Exited
                        && self.defect != Defect::IgnoredStops
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
        let running_tasks: f64 = self
            .machines
            .iter()
            .filter(|machine| machine.up)
            .flat_map(|machine| machine.tasks.values())
            .filter(|s| s.0 != TaskState::Exited)
            .count() as f64;
        if running_tasks > TEAM_CPU_LIMIT {
            self.violations.insert("quota");
        }
    }
}

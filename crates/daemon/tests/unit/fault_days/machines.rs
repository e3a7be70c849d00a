//! Simulated workers that follow the worker protocol: heartbeats, leases, fencing tokens,
//! tasks and gangs.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bytes::Bytes;
use net::Request;
use rand::RngExt;
use tokio::time::{sleep, timeout};
use wire::{
    Command, Commands, ExitReason, Heartbeat, HeartbeatResponse, JobKind, Redirect, RentRequest, TaskState,
    TaskStatus,
};

use super::network::Endpoint;
use super::{CONTROLLERS, Defect, Simulation, Site};
use crate::worker::FencingToken;

pub(super) const HEARTBEAT_INTERVAL_MS: u64 = 2000;
pub(super) const LEASE_MS: u64 = 12_000;
pub(super) const CANCEL_MS: u64 = 30_000;
pub(super) const GANG_WAIT_MS: u64 = 15_000;
pub(super) const GANG_PEER_MS: u64 = 4000;
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);

#[derive(Debug, Clone)]
pub(super) struct Task {
    pub(super) state: TaskState,
    cause: Option<ExitReason>,
    checkpointed: Option<bool>,
    /// The CPUs that it takes.
    cpus: f64,
    /// When the current state ends without a command.
    ends_at: u64,
    /// Since when a running task of a gang has been without some of its peers.
    incomplete_since: Option<u64>,
}

impl Task {
    pub(super) fn is_active(&self) -> bool {
        self.state != TaskState::Exited
    }

    pub(super) fn is_running(&self) -> bool {
        self.state == TaskState::Running
    }

    fn exit(&mut self, cause: ExitReason) {
        (self.state, self.cause) = (TaskState::Exited, Some(cause));
    }
}

pub(super) struct Machine {
    pub(super) machine_type: String,
    pub(super) zone: String,
    pub(super) spot: bool,
    pub(super) rented_at: u64,
    pub(super) up_at: u64,
    pub(super) gone_at: Option<u64>,
    worker_incarnation: u64,
    sequence: u64,
    fencing_token: u64,
    /// When the last heartbeat was sent that received a response.
    lease_renewed_at: u64,
    pub(super) tasks: BTreeMap<(String, u64), Task>,
    pub(super) hung_until: u64,
    pub(super) notice_until: Option<u64>,
    /// Index of the controller that receives its heartbeats.
    reports_to: usize,
    /// Whether something has changed since the last heartbeat.
    has_unreported_change: bool,
    started: bool,
}

impl Machine {
    pub(super) fn new(rent_request: &RentRequest, rented_at: u64, up_at: u64, reports_to: usize) -> Self {
        Self {
            machine_type: rent_request.machine_type.clone(),
            zone: rent_request.zone.clone(),
            spot: rent_request.spot,
            rented_at,
            up_at,
            gone_at: None,
            worker_incarnation: 1,
            sequence: 0,
            fencing_token: 0,
            lease_renewed_at: up_at,
            tasks: BTreeMap::new(),
            hung_until: 0,
            notice_until: None,
            reports_to,
            has_unreported_change: false,
            started: false,
        }
    }

    pub(super) fn is_up(&self, now: u64) -> bool {
        self.up_at <= now && self.gone_at.is_none()
    }

    /// Whether the tasks on the machine count as active. A machine that hangs past the end
    /// of its lease kills all its tasks before it does anything else.
    pub(super) fn retains_tasks_at(&self, now: u64) -> bool {
        self.is_up(now) && !(now < self.hung_until && self.is_lease_expired(now))
    }

    fn is_lease_expired(&self, now: u64) -> bool {
        now > self.lease_renewed_at + LEASE_MS
    }

    pub(super) fn used_cpus(&self) -> f64 {
        self.tasks.values().filter(|task| task.is_active()).map(|task| task.cpus).sum()
    }

    fn expire_lease(&mut self, now: u64, defect: Defect) {
        if self.is_lease_expired(now) && defect != Defect::LeasesIgnored {
            self.tasks.clear();
            self.worker_incarnation += 1;
            self.lease_renewed_at = now;
            self.has_unreported_change = true;
        }
    }

    /// The machine restarts and is back at once: its worker has forgotten all tasks. It goes on with its
    /// session, or with a new one.
    pub(super) fn restart(&mut self, now: u64, has_new_session: bool) {
        self.tasks.clear();
        self.worker_incarnation += u64::from(has_new_session);
        self.lease_renewed_at = now;
        self.has_unreported_change = true;
    }

    /// The worker sends its next heartbeat to this controller.
    pub(super) fn report_to(&mut self, n: usize) {
        self.reports_to = n;
        self.has_unreported_change = true;
    }

    /// The epoch of the highest token that the worker has seen.
    pub(super) fn shown_epoch(&self) -> u64 {
        FencingToken::from(self.fencing_token).epoch()
    }

    pub(super) fn worker_incarnation(&self) -> u64 {
        self.worker_incarnation
    }

    pub(super) fn heartbeat(&mut self, id: &str, now: u64, defect: Defect) -> Heartbeat {
        self.sequence += 1;
        let reported_state = |state| match state {
            TaskState::Fetching if defect == Defect::RunningReportedEarly => TaskState::Running,
            other => other,
        };
        let tasks = self.tasks.iter().map(|((task, attempt), execution)| TaskStatus {
            task: task.clone(),
            attempt: *attempt,
            state: reported_state(execution.state),
            cause: execution.cause,
            checkpointed: execution.checkpointed,
        });
        Heartbeat {
            machine: id.into(),
            addr: id.into(),
            machine_type: self.machine_type.clone(),
            zone: self.zone.clone(),
            spot: self.spot && defect != Defect::SpotReportedOnDemand,
            incarnation: self.worker_incarnation,
            sequence: self.sequence,
            fencing_token: self.fencing_token,
            spot_notice_s: self.notice_until.map(|t| t.saturating_sub(now) as f64 / 1000.0),
            tasks: tasks.collect(),
        }
    }
}

impl Simulation {
    pub(super) fn remove_machine(&mut self, id: &str) {
        let now = self.ms();
        if let Some(machine) = self.machines.get_mut(id)
            && machine.gone_at.is_none()
        {
            machine.gone_at = Some(now);
            let lost_tasks: Vec<&String> = machine.tasks.keys().map(|(t, _)| t).collect();
            self.trace.push(format!("{now:>7} {id} is gone with {lost_tasks:?}"));
            machine.tasks.clear();
        }
    }

    /// Advances all machines to the current time.
    pub(super) fn advance_machines(&mut self) {
        let (now, defect) = (self.ms(), self.defect);
        let mut finished = Vec::new();
        let mut running = Vec::new();
        for (id, machine) in &mut self.machines {
            if !machine.is_up(now) || now < machine.hung_until {
                continue;
            }
            machine.expire_lease(now, defect);
            let fails_tasks = self.tasks_fail_until.get(id).is_some_and(|until| now < *until);
            for ((task, attempt), execution) in &mut machine.tasks {
                let kind = super::users::kind_of(task);
                match execution.state {
                    TaskState::Fetching if now >= execution.ends_at && fails_tasks => {
                        machine.has_unreported_change = true;
                        execution.exit(ExitReason::Error);
                        self.trace.push(format!("{now:>7} {id} fails {task}, attempt {attempt}"));
                    }
                    TaskState::Fetching if now >= execution.ends_at => {
                        machine.has_unreported_change = true;
                        match kind {
                            JobKind::Gang => {
                                (execution.state, execution.ends_at) =
                                    (TaskState::Waiting, now + GANG_WAIT_MS)
                            }
                            _ => {
                                (execution.state, execution.ends_at) =
                                    (TaskState::Running, now + super::users::run_ms(task));
                                running.push((task.clone(), *attempt));
                            }
                        }
                    }
                    TaskState::Waiting if now >= execution.ends_at => {
                        machine.has_unreported_change = true;
                        execution.exit(ExitReason::GangIncomplete);
                    }
                    TaskState::Saving if now >= execution.ends_at => {
                        machine.has_unreported_change = true;
                        execution.exit(ExitReason::Stopped);
                        execution.checkpointed = Some(true);
                    }
                    TaskState::Running if now >= execution.ends_at && kind != JobKind::Gang => {
                        machine.has_unreported_change = true;
                        finished.push((id.clone(), task.clone()));
                        let fails = defect == Defect::FailureReportedDone && task.ends_with("/1");
                        execution.exit(ExitReason::Done);
                        if !fails {
                            self.done_tasks.insert(task.clone());
                        }
                    }
                    _ => {}
                }
            }
        }
        for (_, task) in finished {
            self.task_done(&task);
        }
        for (task, attempt) in running {
            self.record_running(&task, attempt);
        }
        let (due_restarts, later_restarts) =
            std::mem::take(&mut self.pending_restarts).into_iter().partition(|a| a.0 <= now);
        self.pending_restarts = later_restarts;
        let due_restarts: Vec<(u64, String, String, u64)> = due_restarts;
        for (_, id, task, attempt) in due_restarts {
            if let Some(machine) = self.machines.get_mut(&id) {
                machine.tasks.remove(&(task.clone(), attempt));
            }
            self.execute(&id, &[Command::Start { task, attempt }]);
        }
        self.advance_gangs();
        let is_reclaimed = |machine: &Machine| machine.notice_until.is_some_and(|t| now >= t);
        let reclaimed: Vec<String> = self
            .machines
            .iter()
            .filter(|(_, machine)| is_reclaimed(machine))
            .map(|(id, _)| id.clone())
            .collect();
        reclaimed.iter().for_each(|id| self.remove_machine(id));
    }

    /// Advances the gangs: their tasks start together, end together, and exit when one of
    /// them has been missing for too long.
    fn advance_gangs(&mut self) {
        let now = self.ms();
        let jobs = &self.jobs;
        let gang_size = |job: &str| jobs.get(job).map_or(0, |job| job.spec.tasks) as usize;
        let mut present: BTreeMap<(String, u64), BTreeSet<String>> = BTreeMap::new();
        let mut running_gangs: BTreeMap<(String, u64), BTreeSet<String>> = BTreeMap::new();
        for machine in
            self.machines.values().filter(|machine| machine.is_up(now) && now >= machine.hung_until)
        {
            for ((task, attempt), execution) in &machine.tasks {
                if super::users::kind_of(task) != JobKind::Gang {
                    continue;
                }
                let key = (super::job_of(task).to_owned(), *attempt);
                if matches!(execution.state, TaskState::Waiting | TaskState::Running) {
                    present.entry(key.clone()).or_default().insert(task.clone());
                }
                if execution.state == TaskState::Running {
                    running_gangs.entry(key).or_default().insert(task.clone());
                }
            }
        }
        let mut done = BTreeSet::new();
        for machine in
            self.machines.values_mut().filter(|machine| machine.is_up(now) && now >= machine.hung_until)
        {
            for ((task, attempt), execution) in &mut machine.tasks {
                let key = (super::job_of(task).to_owned(), *attempt);
                let gang_size = gang_size(&key.0);
                if super::users::kind_of(task) != JobKind::Gang {
                    continue;
                }
                match execution.state {
                    TaskState::Waiting if present.get(&key).is_some_and(|s| s.len() == gang_size) => {
                        (execution.state, execution.ends_at) =
                            (TaskState::Running, now + super::users::run_ms(&key.0));
                        machine.has_unreported_change = true;
                    }
                    TaskState::Running => {
                        if present.get(&key).is_some_and(|s| s.len() == gang_size) {
                            execution.incomplete_since = None;
                            if now >= execution.ends_at {
                                execution.exit(ExitReason::Done);
                                machine.has_unreported_change = true;
                                done.insert(key.0);
                            }
                        } else if running_gangs.get(&key).is_some_and(|s| s.len() < gang_size)
                            && now >= *execution.incomplete_since.get_or_insert(now) + GANG_PEER_MS
                        {
                            execution.exit(ExitReason::PeersGone);
                            machine.has_unreported_change = true;
                        }
                    }
                    _ => {}
                }
            }
        }
        for job in done {
            (0..self.tasks_of(&job)).for_each(|n| {
                self.done_tasks.insert(format!("{job}/{n}"));
            });
            self.task_done(&format!("{job}/0"));
        }
    }

    fn execute(&mut self, id: &str, commands: &[Command]) {
        let (now, defect) = (self.ms(), self.defect);
        if !commands.is_empty() {
            self.trace.push(format!("{now:>7} {id} executes {commands:?}"));
        }
        for command in commands {
            let Some(machine) = self.machines.get_mut(id) else { return };
            match command {
                Command::Start { task, attempt } => {
                    let job = self.jobs.get(super::job_of(task));
                    let cpus = job.map_or_else(|| super::users::cpus_of(task), |job| job.spec.cpus);
                    if machine.tasks.contains_key(&(task.clone(), *attempt)) {
                        continue;
                    }
                    let refusal = if machine.tasks.iter().any(|((t, _), s)| t == task && s.is_active()) {
                        Some(ExitReason::TaskInUse)
                    } else if machine.used_cpus() + cpus > self.cloud.cpus_of(&machine.machine_type) + 1e-6 {
                        Some(ExitReason::NoCapacity)
                    } else if defect == Defect::StartsIgnored {
                        continue;
                    } else {
                        None
                    };
                    // Long fetches make an early report of "running" matter.
                    let extra_fetch_ms = if defect == Defect::RunningReportedEarly { 8000 } else { 0 };
                    let fetch_ms = 200 + extra_fetch_ms + self.rng.random_range(0..1200);
                    let state = if refusal.is_some() { TaskState::Exited } else { TaskState::Fetching };
                    let execution = Task {
                        state,
                        cause: refusal,
                        checkpointed: None,
                        cpus,
                        ends_at: now + fetch_ms,
                        incomplete_since: None,
                    };
                    machine.tasks.insert((task.clone(), *attempt), execution);
                    machine.has_unreported_change = true;
                    if refusal.is_none() {
                        self.check_start(id, task);
                    }
                }
                Command::Stop { task, attempt, grace_s } => {
                    let key = (task.clone(), *attempt);
                    let Some(execution) = machine.tasks.get_mut(&key).filter(|t| t.is_active()) else {
                        continue;
                    };
                    if defect == Defect::StoppedTaskRestarted {
                        self.pending_restarts.push((now + 5000, id.to_owned(), task.clone(), *attempt));
                    }
                    if defect == Defect::StopsIgnored {
                        continue;
                    }
                    let ran = execution.state == TaskState::Running;
                    machine.has_unreported_change = true;
                    let saves =
                        execution.state == TaskState::Running && super::users::saves(task) && *grace_s >= 2.0;
                    match execution.state {
                        TaskState::Saving if *grace_s > 0.0 => {}
                        _ if saves => (execution.state, execution.ends_at) = (TaskState::Saving, now + 2000),
                        _ => execution.exit(ExitReason::Stopped),
                    }
                    if ran {
                        self.record_stop(id, task, *attempt);
                    }
                }
                Command::Forget { task, attempt } => {
                    let key = (task.clone(), *attempt);
                    if machine.tasks.get(&key).is_some_and(|t| !t.is_active()) {
                        machine.tasks.remove(&key);
                    }
                }
            }
        }
        self.check_quota();
    }
}

impl Site {
    /// Starts the heartbeats of machines that have finished booting.
    pub(super) fn start_booted_machines(&self) {
        let mut simulation = self.lock();
        let now = self.ms();
        for (id, machine) in &mut simulation.machines {
            if machine.is_up(now) && !machine.started {
                machine.started = true;
                tokio::spawn(send_heartbeats(self.clone(), id.clone()));
            }
        }
    }

    /// Waits until a machine no longer hangs; returns false if it is gone.
    async fn wait_while_hung(&self, id: &str) -> bool {
        loop {
            let until = {
                let mut simulation = self.lock();
                let (now, defect) = (self.ms(), simulation.defect);
                let Some(machine) =
                    simulation.machines.get_mut(id).filter(|machine| machine.gone_at.is_none())
                else {
                    return false;
                };
                if now >= machine.hung_until {
                    machine.expire_lease(now, defect);
                    return true;
                }
                machine.hung_until
            };
            sleep(Duration::from_millis(until.saturating_sub(self.ms()) + 1)).await;
        }
    }

    pub(super) async fn serve_worker(&self, id: &str, request: Request) -> Option<(u16, Vec<u8>)> {
        if !self.wait_while_hung(id).await {
            // A machine that is gone never answers.
            std::future::pending::<()>().await;
        }
        let mut simulation = self.lock();
        let (now, defect) = (self.ms(), simulation.defect);
        if request.path == "/status" {
            let machine = simulation.machines.get_mut(id)?;
            return Some((200, wire::encode(&machine.heartbeat(id, now, defect))));
        }
        if wire::exceeds_body_limit(&request.body) || request.body.len() > simulation.max_worker_message_bytes
        {
            return Some((413, Vec::new()));
        }
        let Ok(commands) = wire::decode::<Commands>(&request.body) else { return Some((400, Vec::new())) };
        let machine = simulation.machines.get_mut(id)?;
        if commands.fencing_token < machine.fencing_token
            || commands.incarnation != machine.worker_incarnation
        {
            return Some((409, wire::encode(&machine.heartbeat(id, now, defect))));
        }
        if commands.fencing_token > machine.fencing_token {
            machine.has_unreported_change = true;
        }
        machine.fencing_token = machine.fencing_token.max(commands.fencing_token);
        simulation.execute(id, &commands.commands);
        let heartbeat = simulation.machines.get_mut(id)?.heartbeat(id, now, defect);
        Some((200, wire::encode(&heartbeat)))
    }
}

/// Sends heartbeats, one in flight at a time, until the machine is gone.
async fn send_heartbeats(site: Site, id: String) {
    let mut next_at = 0;
    let mut last_sent_at = 0;
    loop {
        sleep(Duration::from_millis(100)).await;
        if !site.wait_while_hung(&id).await {
            return;
        }
        let (heartbeat, reports_to, worker_incarnation) = {
            let mut simulation = site.lock();
            let (now, defect) = (site.ms(), simulation.defect);
            let interval =
                simulation.rng.random_range(HEARTBEAT_INTERVAL_MS * 3 / 4..HEARTBEAT_INTERVAL_MS * 5 / 4);
            let Some(machine) = simulation.machines.get_mut(&id) else { return };
            if now < next_at && !(machine.has_unreported_change && now >= last_sent_at + 500) {
                continue;
            }
            (machine.has_unreported_change, last_sent_at, next_at) = (false, now, now + interval);
            let heartbeat = machine.heartbeat(&id, now, defect);
            let prepared = (heartbeat, machine.reports_to, machine.worker_incarnation);
            simulation.duplicate_heartbeat(&prepared.0, prepared.1);
            prepared
        };
        let sent_at = site.ms();
        let request = Request {
            method: "POST".into(),
            path: "/hello".into(),
            body: Bytes::from(wire::encode(&heartbeat)),
        };
        let from = Endpoint::Machine(id.clone());
        let answer =
            timeout(RESPONSE_TIMEOUT, site.exchange(from, Endpoint::Controller(reports_to), request))
                .await
                .ok()
                .flatten();
        if !site.wait_while_hung(&id).await {
            return;
        }
        let max_bytes = site.lock().max_worker_message_bytes;
        let is_accepted = |body: &[u8]| !wire::exceeds_body_limit(body) && body.len() <= max_bytes;
        let answer = answer.filter(|a| site.ms() <= sent_at + 4000 && is_accepted(&a.body));
        let pause = {
            let mut simulation = site.lock();
            let pause = simulation.rng.random_range(0..500);
            let Some(machine) = simulation.machines.get_mut(&id) else { return };
            match answer {
                Some(a) if a.status == 200 => {
                    let answer = wire::decode::<HeartbeatResponse>(&a.body).ok();
                    if let Some(a) = answer.filter(|a| {
                        machine.worker_incarnation == worker_incarnation
                            && a.fencing_token >= machine.fencing_token
                    }) {
                        if a.fencing_token > machine.fencing_token {
                            machine.has_unreported_change = true;
                        }
                        machine.fencing_token = a.fencing_token;
                        machine.lease_renewed_at = machine.lease_renewed_at.max(sent_at);
                        simulation.execute(&id, &a.commands);
                    }
                    continue;
                }
                Some(a) if a.status == 421 => {
                    let to = wire::decode::<Redirect>(&a.body)
                        .ok()
                        .and_then(|rent_request| rent_request.report_to);
                    let to = to.and_then(|name| name.strip_prefix("n-")?.parse::<usize>().ok());
                    match to.filter(|n| *n != machine.reports_to && *n < CONTROLLERS) {
                        Some(n) => {
                            machine.reports_to = n;
                            pause
                        }
                        None => {
                            machine.reports_to = (machine.reports_to + 1) % CONTROLLERS;
                            1000
                        }
                    }
                }
                _ => {
                    machine.reports_to = (machine.reports_to + 1) % CONTROLLERS;
                    1000
                }
            }
        };
        sleep(Duration::from_millis(pause)).await;
        next_at = 0;
    }
}

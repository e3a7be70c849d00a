//! Workers as the protocol describes them: reports, leases, tokens, tasks and gangs.

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

use super::network::Party;
use super::{All, CONTROLLERS, Sabotage, Site};

pub(super) const REPORT_MS: u64 = 2000;
pub(super) const LEASE_MS: u64 = 12_000;
pub(super) const CANCEL_MS: u64 = 30_000;
pub(super) const GANG_WAIT_MS: u64 = 15_000;
pub(super) const GANG_PEER_MS: u64 = 4000;
const ANSWER: Duration = Duration::from_secs(4);

#[derive(Debug, Clone)]
pub(super) struct Task {
    pub(super) state: TaskState,
    cause: Option<ExitReason>,
    saved: Option<bool>,
    /// When its present state ends by itself.
    until: u64,
    /// Since when a task of a running gang has missed others.
    alone: Option<u64>,
}

impl Task {
    pub(super) fn is_on(&self) -> bool {
        self.state != TaskState::Exited
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
    session: u64,
    seq: u64,
    token: u64,
    /// When the last answered report was sent.
    renewed: u64,
    pub(super) tasks: BTreeMap<(String, u64), Task>,
    pub(super) hung_until: u64,
    pub(super) notice_until: Option<u64>,
    /// The controller that it reports to.
    at: usize,
    /// Something has changed since its last report.
    changed: bool,
    started: bool,
}

impl Machine {
    pub(super) fn new(r: &RentRequest, rented_at: u64, up_at: u64, at: usize) -> Self {
        Self {
            machine_type: r.machine_type.clone(),
            zone: r.zone.clone(),
            spot: r.spot,
            rented_at,
            up_at,
            gone_at: None,
            session: 1,
            seq: 0,
            token: 0,
            renewed: up_at,
            tasks: BTreeMap::new(),
            hung_until: 0,
            notice_until: None,
            at,
            changed: false,
            started: false,
        }
    }

    pub(super) fn is_up(&self, now: u64) -> bool {
        self.up_at <= now && self.gone_at.is_none()
    }

    /// Whether what is on it counts as there: a machine that hangs beyond its lease kills
    /// everything before it does anything else.
    pub(super) fn holds_at(&self, now: u64) -> bool {
        self.is_up(now) && !(now < self.hung_until && self.lease_over(now))
    }

    fn lease_over(&self, now: u64) -> bool {
        now > self.renewed + LEASE_MS
    }

    pub(super) fn used(&self) -> f64 {
        // All tasks here take one CPU or two, as their jobs' numbers say.
        self.tasks.iter().filter(|(_, t)| t.is_on()).map(|((t, _), _)| super::users::cpus_of(t)).sum()
    }

    fn expire(&mut self, now: u64, sabotage: Sabotage) {
        if self.lease_over(now) && sabotage != Sabotage::Leases {
            self.tasks.clear();
            self.session += 1;
            self.renewed = now;
            self.changed = true;
        }
    }

    fn report(&mut self, id: &str, now: u64, sabotage: Sabotage) -> Heartbeat {
        self.seq += 1;
        let early = |state| match state {
            TaskState::Fetching if sabotage == Sabotage::Early => TaskState::Running,
            other => other,
        };
        let tasks = self.tasks.iter().map(|((task, attempt), t)| TaskStatus {
            task: task.clone(),
            attempt: *attempt,
            state: early(t.state),
            cause: t.cause,
            checkpointed: t.saved,
        });
        Heartbeat {
            machine: id.into(),
            addr: id.into(),
            machine_type: self.machine_type.clone(),
            zone: self.zone.clone(),
            spot: self.spot && sabotage != Sabotage::Kind,
            incarnation: self.session,
            sequence: self.seq,
            fencing_token: self.token,
            spot_notice_s: self.notice_until.map(|t| t.saturating_sub(now) as f64 / 1000.0),
            tasks: tasks.collect(),
        }
    }
}

impl All {
    pub(super) fn lose_machine(&mut self, id: &str) {
        let now = self.ms();
        if let Some(m) = self.machines.get_mut(id)
            && m.gone_at.is_none()
        {
            m.gone_at = Some(now);
            let on: Vec<&String> = m.tasks.keys().map(|(t, _)| t).collect();
            self.trace.push(format!("{now:>7} {id} is gone with {on:?}"));
            m.tasks.clear();
        }
    }

    /// Time passes on all machines.
    pub(super) fn run_machines(&mut self) {
        let (now, sabotage) = (self.ms(), self.sabotage);
        let mut exits = Vec::new();
        let mut running = Vec::new();
        for (id, m) in &mut self.machines {
            if !m.is_up(now) || now < m.hung_until {
                continue;
            }
            m.expire(now, sabotage);
            for ((task, attempt), t) in &mut m.tasks {
                let kind = super::users::kind_of(task);
                match t.state {
                    TaskState::Fetching if now >= t.until => {
                        m.changed = true;
                        match kind {
                            JobKind::Gang => (t.state, t.until) = (TaskState::Waiting, now + GANG_WAIT_MS),
                            _ => {
                                (t.state, t.until) = (TaskState::Running, now + super::users::run_ms(task));
                                running.push((task.clone(), *attempt));
                            }
                        }
                    }
                    TaskState::Waiting if now >= t.until => {
                        m.changed = true;
                        t.exit(ExitReason::GangIncomplete);
                    }
                    TaskState::Saving if now >= t.until => {
                        m.changed = true;
                        t.exit(ExitReason::Stopped);
                        t.saved = Some(true);
                    }
                    TaskState::Running if now >= t.until && kind != JobKind::Gang => {
                        m.changed = true;
                        exits.push((id.clone(), task.clone()));
                        let fails = sabotage == Sabotage::Done && task.ends_with("/1");
                        t.exit(ExitReason::Done);
                        if !fails {
                            self.done.insert(task.clone());
                        }
                    }
                    _ => {}
                }
            }
        }
        for (_, task) in exits {
            self.task_done(&task);
        }
        for (task, attempt) in running {
            self.note_running(&task, attempt);
        }
        let (again, later) = std::mem::take(&mut self.again).into_iter().partition(|a| a.0 <= now);
        self.again = later;
        let again: Vec<(u64, String, String, u64)> = again;
        for (_, id, task, attempt) in again {
            if let Some(m) = self.machines.get_mut(&id) {
                m.tasks.remove(&(task.clone(), attempt));
            }
            self.execute(&id, &[Command::Start { task, attempt }]);
        }
        self.run_gangs();
        let over = |m: &Machine| m.notice_until.is_some_and(|t| now >= t);
        let taken: Vec<String> =
            self.machines.iter().filter(|(_, m)| over(m)).map(|(id, _)| id.clone()).collect();
        taken.iter().for_each(|id| self.lose_machine(id));
    }

    /// Gangs start together, end together, and notice when one of them is gone.
    fn run_gangs(&mut self) {
        let now = self.ms();
        let mut there: BTreeMap<(String, u64), BTreeSet<String>> = BTreeMap::new();
        let mut runs: BTreeMap<(String, u64), BTreeSet<String>> = BTreeMap::new();
        for m in self.machines.values().filter(|m| m.is_up(now) && now >= m.hung_until) {
            for ((task, attempt), t) in &m.tasks {
                if super::users::kind_of(task) != JobKind::Gang {
                    continue;
                }
                let key = (super::job_of(task).to_owned(), *attempt);
                if matches!(t.state, TaskState::Waiting | TaskState::Running) {
                    there.entry(key.clone()).or_default().insert(task.clone());
                }
                if t.state == TaskState::Running {
                    runs.entry(key).or_default().insert(task.clone());
                }
            }
        }
        let mut done = BTreeSet::new();
        for m in self.machines.values_mut().filter(|m| m.is_up(now) && now >= m.hung_until) {
            for ((task, attempt), t) in &mut m.tasks {
                let key = (super::job_of(task).to_owned(), *attempt);
                let all = super::users::tasks_of(&key.0) as usize;
                if super::users::kind_of(task) != JobKind::Gang {
                    continue;
                }
                match t.state {
                    TaskState::Waiting if there.get(&key).is_some_and(|s| s.len() == all) => {
                        (t.state, t.until) = (TaskState::Running, now + super::users::run_ms(&key.0));
                        m.changed = true;
                    }
                    TaskState::Running => {
                        if there.get(&key).is_some_and(|s| s.len() == all) {
                            t.alone = None;
                            if now >= t.until {
                                t.exit(ExitReason::Done);
                                m.changed = true;
                                done.insert(key.0);
                            }
                        } else if runs.get(&key).is_some_and(|s| s.len() < all)
                            && now >= *t.alone.get_or_insert(now) + GANG_PEER_MS
                        {
                            t.exit(ExitReason::PeersGone);
                            m.changed = true;
                        }
                    }
                    _ => {}
                }
            }
        }
        for job in done {
            (0..super::users::tasks_of(&job)).for_each(|n| {
                self.done.insert(format!("{job}/{n}"));
            });
            self.task_done(&format!("{job}/0"));
        }
    }

    fn execute(&mut self, id: &str, orders: &[Command]) {
        let (now, sabotage) = (self.ms(), self.sabotage);
        if !orders.is_empty() {
            self.trace.push(format!("{now:>7} {id} executes {orders:?}"));
        }
        for order in orders {
            let Some(m) = self.machines.get_mut(id) else { return };
            match order {
                Command::Start { task, attempt } => {
                    if m.tasks.contains_key(&(task.clone(), *attempt)) {
                        continue;
                    }
                    let refused = if m.tasks.iter().any(|((t, _), s)| t == task && s.is_on()) {
                        Some(ExitReason::TaskInUse)
                    } else if m.used() + super::users::cpus_of(task) > super::cpus(&m.machine_type) + 1e-6 {
                        Some(ExitReason::NoCapacity)
                    } else if sabotage == Sabotage::Starts {
                        continue;
                    } else {
                        None
                    };
                    // Images take long where workers deny it.
                    let long = if sabotage == Sabotage::Early { 8000 } else { 0 };
                    let fetch = 200 + long + self.rng.random_range(0..1200);
                    let state = if refused.is_some() { TaskState::Exited } else { TaskState::Fetching };
                    let t = Task { state, cause: refused, saved: None, until: now + fetch, alone: None };
                    m.tasks.insert((task.clone(), *attempt), t);
                    m.changed = true;
                    if refused.is_none() {
                        self.check_start(id, task);
                    }
                }
                Command::Stop { task, attempt, grace_s } => {
                    let key = (task.clone(), *attempt);
                    let Some(t) = m.tasks.get_mut(&key).filter(|t| t.is_on()) else { continue };
                    if sabotage == Sabotage::Again {
                        self.again.push((now + 5000, id.to_owned(), task.clone(), *attempt));
                    }
                    if sabotage == Sabotage::Stops {
                        continue;
                    }
                    let ran = t.state == TaskState::Running;
                    m.changed = true;
                    let saves = t.state == TaskState::Running && super::users::saves(task) && *grace_s >= 2.0;
                    match t.state {
                        TaskState::Saving if *grace_s > 0.0 => {}
                        _ if saves => (t.state, t.until) = (TaskState::Saving, now + 2000),
                        _ => t.exit(ExitReason::Stopped),
                    }
                    if ran {
                        self.note_stop(id, task, *attempt);
                    }
                }
                Command::Forget { task, attempt } => {
                    let key = (task.clone(), *attempt);
                    if m.tasks.get(&key).is_some_and(|t| !t.is_on()) {
                        m.tasks.remove(&key);
                    }
                }
            }
        }
        self.check_quota();
    }
}

impl Site {
    /// Starts what is up by now.
    pub(super) fn boot(&self) {
        let mut all = self.lock();
        let now = self.ms();
        for (id, m) in &mut all.machines {
            if m.is_up(now) && !m.started {
                m.started = true;
                tokio::spawn(report_for_good(self.clone(), id.clone()));
            }
        }
    }

    /// Waits while a machine hangs; false if it is gone.
    async fn awake(&self, id: &str) -> bool {
        loop {
            let until = {
                let mut all = self.lock();
                let (now, sabotage) = (self.ms(), all.sabotage);
                let Some(m) = all.machines.get_mut(id).filter(|m| m.gone_at.is_none()) else { return false };
                if now >= m.hung_until {
                    m.expire(now, sabotage);
                    return true;
                }
                m.hung_until
            };
            sleep(Duration::from_millis(until.saturating_sub(self.ms()) + 1)).await;
        }
    }

    pub(super) async fn worker_serves(&self, id: &str, request: Request) -> Option<(u16, Vec<u8>)> {
        if !self.awake(id).await {
            // Gone machines answer nothing at all.
            std::future::pending::<()>().await;
        }
        let mut all = self.lock();
        let (now, sabotage) = (self.ms(), all.sabotage);
        if request.path == "/status" {
            let m = all.machines.get_mut(id)?;
            return Some((200, wire::encode(&m.report(id, now, sabotage))));
        }
        let Ok(commands) = wire::decode::<Commands>(&request.body) else { return Some((400, Vec::new())) };
        let m = all.machines.get_mut(id)?;
        if commands.fencing_token < m.token || commands.incarnation != m.session {
            return Some((409, wire::encode(&m.report(id, now, sabotage))));
        }
        if commands.fencing_token > m.token {
            m.changed = true;
        }
        m.token = m.token.max(commands.fencing_token);
        all.execute(id, &commands.commands);
        let report = all.machines.get_mut(id)?.report(id, now, sabotage);
        Some((200, wire::encode(&report)))
    }
}

/// One report in flight at a time, for as long as the machine is there.
async fn report_for_good(site: Site, id: String) {
    let mut next = 0;
    let mut last = 0;
    loop {
        sleep(Duration::from_millis(100)).await;
        if !site.awake(&id).await {
            return;
        }
        let (report, at, session) = {
            let mut all = site.lock();
            let (now, sabotage) = (site.ms(), all.sabotage);
            let wait = all.rng.random_range(REPORT_MS * 3 / 4..REPORT_MS * 5 / 4);
            let Some(m) = all.machines.get_mut(&id) else { return };
            if now < next && !(m.changed && now >= last + 500) {
                continue;
            }
            (m.changed, last, next) = (false, now, now + wait);
            let report = m.report(&id, now, sabotage);
            let found = (report, m.at, m.session);
            all.copy_report(&found.0, found.1);
            found
        };
        let sent = site.ms();
        let request = Request {
            method: "POST".into(),
            path: "/hello".into(),
            body: Bytes::from(wire::encode(&report)),
        };
        let from = Party::Machine(id.clone());
        let answer =
            timeout(ANSWER, site.exchange(from, Party::Controller(at), request)).await.ok().flatten();
        if !site.awake(&id).await {
            return;
        }
        let answer = answer.filter(|_| site.ms() <= sent + 4000);
        let pause = {
            let mut all = site.lock();
            let pause = all.rng.random_range(0..500);
            let Some(m) = all.machines.get_mut(&id) else { return };
            match answer {
                Some(a) if a.status == 200 => {
                    let answer = wire::decode::<HeartbeatResponse>(&a.body).ok();
                    if let Some(a) = answer.filter(|a| m.session == session && a.fencing_token >= m.token) {
                        if a.fencing_token > m.token {
                            m.changed = true;
                        }
                        m.token = a.fencing_token;
                        m.renewed = m.renewed.max(sent);
                        all.execute(&id, &a.commands);
                    }
                    continue;
                }
                Some(a) if a.status == 421 => {
                    let to = wire::decode::<Redirect>(&a.body).ok().and_then(|r| r.report_to);
                    let to = to.and_then(|name| name.strip_prefix("n-")?.parse::<usize>().ok());
                    match to.filter(|n| *n != m.at && *n < CONTROLLERS) {
                        Some(n) => {
                            m.at = n;
                            pause
                        }
                        None => {
                            m.at = (m.at + 1) % CONTROLLERS;
                            1000
                        }
                    }
                }
                _ => {
                    m.at = (m.at + 1) % CONTROLLERS;
                    1000
                }
            }
        };
        sleep(Duration::from_millis(pause)).await;
        next = 0;
    }
}

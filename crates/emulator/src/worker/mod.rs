//! A worker: one per machine, by "Workers -> controller nodes" of the protocol's page.

mod tasks;

use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use wire::{Command, Commands, Heartbeat, HeartbeatResponse, MachineType};

use crate::history::TaskEvent;
use crate::images::Images;
use crate::jobs::Jobs;
use tasks::Tasks;

#[derive(Debug, Clone, Copy)]
pub struct WorkerRules {
    pub report: Duration,
    pub lease: Duration,
}

/// What a machine is.
#[derive(Debug, Clone)]
pub struct MachineInfo {
    pub name: String,
    pub addr: String,
    pub machine_type: MachineType,
    pub zone: String,
    pub spot: bool,
}

/// What is wrong with a machine. Several may be at once.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct MachineFaults {
    /// It does nothing at all, and may go on later.
    pub hangs: bool,
    /// Nothing reaches it, though its reports arrive.
    pub deaf: bool,
    /// Its reports do not arrive, though it is reached.
    pub mute: bool,
    /// Every task that it starts fails.
    pub faulty: bool,
}

/// Belongs to one report, so that its answer is taken for what it is.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Ticket {
    session: u64,
    sent: Instant,
}

/// What came of a report.
#[derive(Debug)]
pub enum Heard {
    /// 200; None: without a token that could be read.
    Answer(Option<HeartbeatResponse>),
    /// 421, perhaps with the number of another controller.
    Elsewhere(Option<usize>),
    /// Any other status, no answer in time, no connection.
    Nothing,
}

/// Never more often than this, whatever changes.
const REPORT_PAUSE: Duration = Duration::from_millis(500);
/// How long after a failure the next controller is tried.
const RETRY: Duration = Duration::from_secs(1);
/// How long a worker waits for an answer.
pub const ANSWER_WAIT: Duration = Duration::from_secs(4);

/// What a report shows that is worth one at once: tasks, notice and session.
type Shown = (Vec<wire::TaskStatus>, bool, u64);

pub struct Worker {
    pub info: MachineInfo,
    rules: WorkerRules,
    faults: MachineFaults,
    session: u64,
    seq: u64,
    token: u64,
    /// When the last answered report was sent, or the session began.
    renewed: Instant,
    /// When the cloud takes the machine away.
    notice: Option<Instant>,
    tasks: Tasks,
    /// How many controllers there are, and which one it reports to.
    controllers: usize,
    target: usize,
    in_flight: Option<Ticket>,
    next: Instant,
    not_before: Instant,
    shown: Shown,
    shown_token: u64,
    token_shown_at: Instant,
    polled: Instant,
    rng: StdRng,
}

impl Worker {
    /// A machine that has just come up. `controllers` must be at least 1.
    pub fn new(info: MachineInfo, rules: WorkerRules, controllers: usize, seed: u64, now: Instant) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let t = &info.machine_type;
        let rate = t.fetch_gb_per_s * rng.random_range(2.0 / 3.0..4.0 / 3.0);
        let images = Images::new(rate, t.cache_gb);
        let tasks = Tasks::new(t, images, rng.random_range(0.95..1.05));
        Self {
            rules,
            faults: MachineFaults::default(),
            session: 1,
            seq: 0,
            token: 0,
            renewed: now,
            notice: None,
            tasks,
            controllers,
            target: rng.random_range(0..controllers.max(1)),
            in_flight: None,
            next: now,
            not_before: now,
            shown: Shown::default(),
            shown_token: 0,
            token_shown_at: now,
            polled: now,
            rng,
            info,
        }
    }

    pub fn target(&self) -> usize {
        self.target
    }

    pub fn faults(&self) -> MachineFaults {
        self.faults
    }

    pub fn token(&self) -> u64 {
        self.token
    }

    pub fn session(&self) -> u64 {
        self.session
    }

    /// What is on it, as it would report it.
    pub fn tasks(&self) -> Vec<wire::TaskStatus> {
        self.tasks.reports()
    }

    /// What happened to its tasks since the last call.
    pub fn take_events(&mut self, now: Instant) -> Vec<TaskEvent> {
        let machine = &self.info.name;
        let event =
            |(task, attempt, kind)| TaskEvent { at: now, machine: machine.clone(), task, attempt, kind };
        self.tasks.take_events().into_iter().map(event).collect()
    }

    pub fn set_notice(&mut self, gone_at: Instant) {
        self.notice = Some(gone_at);
    }

    /// From now on this is wrong with it, and nothing else.
    pub fn set_faults(&mut self, faults: MachineFaults, jobs: &mut Jobs, now: Instant) {
        if faults.hangs != self.faults.hangs {
            self.poll(jobs, now);
            let notice = faults.hangs.then(|| jobs.notice());
            self.tasks.hang(notice, jobs, now);
            self.polled = now;
        }
        self.faults = faults;
    }

    /// Lets time pass.
    pub fn poll(&mut self, jobs: &mut Jobs, now: Instant) {
        let dt = now.saturating_duration_since(self.polled);
        self.polled = self.polled.max(now);
        if self.faults.hangs {
            return;
        }
        if now.saturating_duration_since(self.renewed) > self.rules.lease {
            self.tasks.kill_all(jobs, now);
            self.session += 1;
            self.renewed = now;
        }
        self.tasks.poll(self.faults.faulty, jobs, dt, now, &mut self.rng);
    }

    /// The machine is gone with all that was on it.
    pub fn kill(&mut self, jobs: &mut Jobs, now: Instant) {
        self.tasks.kill_all(jobs, now);
    }

    fn shows(&self) -> Shown {
        (self.tasks.reports(), self.notice.is_some(), self.session)
    }

    fn report(&mut self, now: Instant) -> Heartbeat {
        self.seq += 1;
        let info = &self.info;
        let notice_s = self.notice.map(|at| at.saturating_duration_since(now).as_secs_f64());
        Heartbeat {
            machine: info.name.clone(),
            addr: info.addr.clone(),
            machine_type: info.machine_type.name.clone(),
            zone: info.zone.clone(),
            spot: info.spot,
            incarnation: self.session,
            sequence: self.seq,
            fencing_token: self.token,
            spot_notice_s: notice_s,
            tasks: self.tasks.reports(),
        }
    }

    /// A report, if one is to be sent now to `target`.
    pub fn due(&mut self, now: Instant) -> Option<(Ticket, Heartbeat)> {
        if let Some(ticket) = self.in_flight
            && now >= ticket.sent + ANSWER_WAIT
        {
            self.heard(ticket, Heard::Nothing, None, now);
        }
        if self.faults.hangs || self.in_flight.is_some() || now < self.not_before {
            return None;
        }
        let token_counts =
            self.token != self.shown_token && now >= self.token_shown_at + self.rules.lease / 2;
        if now < self.next && !token_counts && self.shows() == self.shown {
            return None;
        }
        if token_counts {
            self.token_shown_at = now;
        }
        (self.shown, self.shown_token) = (self.shows(), self.token);
        let ticket = Ticket { session: self.session, sent: now };
        self.in_flight = Some(ticket);
        self.next = now + self.rules.report.mul_f64(self.rng.random_range(0.75..1.25));
        self.not_before = now + REPORT_PAUSE;
        let report = self.report(now);
        // What is sent into the void is not answered.
        (!self.faults.mute).then_some((ticket, report))
    }

    /// What came of a report. None for `jobs`: nothing that could have commands.
    pub fn heard(&mut self, ticket: Ticket, heard: Heard, jobs: Option<&mut Jobs>, now: Instant) {
        if self.in_flight != Some(ticket) {
            return;
        }
        let late = now >= ticket.sent + ANSWER_WAIT;
        // A machine that hangs reads it only when it goes on.
        if self.faults.hangs && !late {
            return;
        }
        self.in_flight = None;
        let heard = if self.faults.deaf || late { Heard::Nothing } else { heard };
        let next_one = (self.target + 1) % self.controllers.max(1);
        match heard {
            Heard::Answer(Some(answer))
                if answer.fencing_token >= self.token && ticket.session == self.session =>
            {
                self.token = answer.fencing_token;
                self.renewed = self.renewed.max(ticket.sent);
                if let Some(jobs) = jobs {
                    self.execute(&answer.commands, jobs, now);
                }
            }
            // Dropped, and it stays.
            Heard::Answer(_) => {}
            Heard::Elsewhere(Some(other)) if other != self.target && other < self.controllers => {
                self.target = other;
                self.not_before = now + Duration::from_millis(self.rng.random_range(0..500));
                self.next = self.not_before;
            }
            Heard::Elsewhere(_) | Heard::Nothing => {
                self.target = next_one;
                self.not_before = now + RETRY;
                self.next = self.not_before;
            }
        }
    }

    fn execute(&mut self, commands: &[Command], jobs: &mut Jobs, now: Instant) {
        self.poll(jobs, now);
        for command in commands {
            match command {
                Command::Start { task, attempt } => self.tasks.start(task, *attempt, jobs),
                Command::Stop { task, attempt, grace_s } => {
                    let grace = Duration::try_from_secs_f64(*grace_s).unwrap_or_default();
                    self.tasks.stop(task, *attempt, grace, jobs, now);
                }
                Command::Forget { task, attempt } => self.tasks.forget(task, *attempt),
            }
        }
    }

    /// Commands sent straight to the machine: the status and its report.
    pub fn commands(&mut self, commands: &Commands, jobs: &mut Jobs, now: Instant) -> (u16, Heartbeat) {
        self.poll(jobs, now);
        if commands.fencing_token < self.token || commands.incarnation != self.session {
            return (409, self.report(now));
        }
        self.token = commands.fencing_token;
        self.execute(&commands.commands, jobs, now);
        (200, self.report(now))
    }

    pub fn status(&mut self, jobs: &mut Jobs, now: Instant) -> Heartbeat {
        self.poll(jobs, now);
        self.report(now)
    }
}

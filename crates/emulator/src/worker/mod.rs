//! A worker, one per machine, as specified in "Workers -> controller nodes" of the protocol
//! document.

mod tasks;

use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use wire::{Command, Commands, Heartbeat, HeartbeatResponse, MachineType};

use crate::history::TaskEvent;
use crate::image_cache::ImageCache;
use crate::jobs::Jobs;
use tasks::Tasks;

#[derive(Debug, Clone, Copy)]
pub struct WorkerRules {
    /// Mean interval of reports.
    pub report_interval: Duration,
    /// How long tasks run on without an answered report.
    pub lease_duration: Duration,
}

/// The properties of a machine.
#[derive(Debug, Clone)]
pub struct MachineInfo {
    pub name: String,
    pub addr: String,
    pub machine_type: MachineType,
    pub zone: String,
    pub spot: bool,
}

/// Faults injected into a machine. Several may be active at the same time.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct MachineFaults {
    /// The machine does nothing at all until the fault ends.
    pub hangs: bool,
    /// No message reaches the machine, but its reports arrive.
    pub unreachable: bool,
    /// The machine's reports do not arrive, but it can be reached.
    pub reports_lost: bool,
    /// Every task that the machine starts fails.
    pub tasks_fail: bool,
}

/// Identifies a report, so that answers to earlier reports can be recognized.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Ticket {
    incarnation: u64,
    sent: Instant,
}

/// The result of sending a report.
#[derive(Debug)]
pub enum ReportOutcome {
    /// Status 200; None if the body could not be decoded.
    Answer(Option<HeartbeatResponse>),
    /// Status 421, with the number of the other controller if it is known.
    Redirected(Option<usize>),
    /// Any other status, no answer in time, or no connection.
    Failed,
}

/// Minimum time between reports, however often the state changes.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Pause after a failed report before the next controller is tried.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// How long a worker waits for the answer to a report.
pub const REPORT_TIMEOUT: Duration = Duration::from_secs(4);

/// The state whose change causes an immediate report: the tasks, whether there is a spot notice,
/// and the incarnation.
type ReportedState = (Vec<wire::TaskStatus>, bool, u64);

pub struct Worker {
    pub info: MachineInfo,
    rules: WorkerRules,
    faults: MachineFaults,
    incarnation: u64,
    sequence: u64,
    token: u64,
    /// When the last answered report was sent, or when the incarnation began.
    lease_renewed_at: Instant,
    /// When the cloud reclaims the machine; None: no spot notice.
    reclaim_at: Option<Instant>,
    tasks: Tasks,
    /// Number of controllers.
    controllers: usize,
    /// The controller that gets the reports.
    target: usize,
    in_flight: Option<Ticket>,
    next_report_at: Instant,
    /// No report is sent before this time.
    not_before: Instant,
    last_reported: ReportedState,
    last_reported_token: u64,
    token_reported_at: Instant,
    last_poll: Instant,
    rng: StdRng,
}

impl Worker {
    /// Creates the worker of a machine that has just come up. `controllers` must be at least 1.
    pub fn new(info: MachineInfo, rules: WorkerRules, controllers: usize, seed: u64, now: Instant) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let machine_type = &info.machine_type;
        let fetch_gb_per_s = machine_type.fetch_gb_per_s * rng.random_range(2.0 / 3.0..4.0 / 3.0);
        let images = ImageCache::new(fetch_gb_per_s, machine_type.cache_gb);
        let tasks = Tasks::new(machine_type, images, rng.random_range(0.95..1.05));
        Self {
            rules,
            faults: MachineFaults::default(),
            incarnation: 1,
            sequence: 0,
            token: 0,
            lease_renewed_at: now,
            reclaim_at: None,
            tasks,
            controllers,
            target: rng.random_range(0..controllers.max(1)),
            in_flight: None,
            next_report_at: now,
            not_before: now,
            last_reported: ReportedState::default(),
            last_reported_token: 0,
            token_reported_at: now,
            last_poll: now,
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

    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// The tasks on the machine, as in a report.
    pub fn tasks(&self) -> Vec<wire::TaskStatus> {
        self.tasks.reports()
    }

    /// Returns the events of the tasks since the last call.
    pub fn take_events(&mut self, now: Instant) -> Vec<TaskEvent> {
        let machine = &self.info.name;
        let event =
            |(task, attempt, kind)| TaskEvent { at: now, machine: machine.clone(), task, attempt, kind };
        self.tasks.take_events().into_iter().map(event).collect()
    }

    pub fn set_notice(&mut self, reclaim_at: Instant) {
        self.reclaim_at = Some(reclaim_at);
    }

    /// Replaces the faults of the machine.
    pub fn set_faults(&mut self, faults: MachineFaults, jobs: &mut Jobs, now: Instant) {
        if faults.hangs != self.faults.hangs {
            self.poll(jobs, now);
            let detection_delay = faults.hangs.then(|| jobs.loss_detection_delay());
            self.tasks.set_hung(detection_delay, jobs, now);
            self.last_poll = now;
        }
        self.faults = faults;
    }

    /// Advances the worker to `now`. If its lease has expired, all tasks are killed and a new
    /// incarnation begins.
    pub fn poll(&mut self, jobs: &mut Jobs, now: Instant) {
        let elapsed = now.saturating_duration_since(self.last_poll);
        self.last_poll = self.last_poll.max(now);
        if self.faults.hangs {
            return;
        }
        if now.saturating_duration_since(self.lease_renewed_at) > self.rules.lease_duration {
            self.tasks.kill_all(jobs, now);
            self.incarnation += 1;
            self.lease_renewed_at = now;
        }
        self.tasks.poll(self.faults.tasks_fail, jobs, elapsed, now, &mut self.rng);
    }

    /// Kills all tasks because the machine has ended.
    pub fn kill(&mut self, jobs: &mut Jobs, now: Instant) {
        self.tasks.kill_all(jobs, now);
    }

    fn reportable_state(&self) -> ReportedState {
        (self.tasks.reports(), self.reclaim_at.is_some(), self.incarnation)
    }

    fn report(&mut self, now: Instant) -> Heartbeat {
        self.sequence += 1;
        let info = &self.info;
        let notice_s = self.reclaim_at.map(|at| at.saturating_duration_since(now).as_secs_f64());
        Heartbeat {
            machine: info.name.clone(),
            addr: info.addr.clone(),
            machine_type: info.machine_type.name.clone(),
            zone: info.zone.clone(),
            spot: info.spot,
            incarnation: self.incarnation,
            sequence: self.sequence,
            fencing_token: self.token,
            spot_notice_s: notice_s,
            tasks: self.tasks.reports(),
        }
    }

    /// Returns the report that must be sent to `target` now, if any.
    pub fn take_due_report(&mut self, now: Instant) -> Option<(Ticket, Heartbeat)> {
        if let Some(ticket) = self.in_flight
            && now >= ticket.sent + REPORT_TIMEOUT
        {
            self.record_report_outcome(ticket, ReportOutcome::Failed, None, now);
        }
        if self.faults.hangs || self.in_flight.is_some() || now < self.not_before {
            return None;
        }
        let token_report_due = self.token != self.last_reported_token
            && now >= self.token_reported_at + self.rules.lease_duration / 2;
        if now < self.next_report_at && !token_report_due && self.reportable_state() == self.last_reported {
            return None;
        }
        if token_report_due {
            self.token_reported_at = now;
        }
        (self.last_reported, self.last_reported_token) = (self.reportable_state(), self.token);
        let ticket = Ticket { incarnation: self.incarnation, sent: now };
        self.in_flight = Some(ticket);
        self.next_report_at = now + self.rules.report_interval.mul_f64(self.rng.random_range(0.75..1.25));
        self.not_before = now + MIN_REPORT_INTERVAL;
        let report = self.report(now);
        // A lost report stays in flight until it times out.
        (!self.faults.reports_lost).then_some((ticket, report))
    }

    /// Records the result of a report and executes the commands in its answer. `jobs` may be None
    /// if the outcome cannot have commands.
    pub fn record_report_outcome(
        &mut self,
        ticket: Ticket,
        outcome: ReportOutcome,
        jobs: Option<&mut Jobs>,
        now: Instant,
    ) {
        if self.in_flight != Some(ticket) {
            return;
        }
        let timed_out = now >= ticket.sent + REPORT_TIMEOUT;
        // A hung machine does not process answers.
        if self.faults.hangs && !timed_out {
            return;
        }
        self.in_flight = None;
        let outcome = if self.faults.unreachable || timed_out { ReportOutcome::Failed } else { outcome };
        let next_controller = (self.target + 1) % self.controllers.max(1);
        match outcome {
            ReportOutcome::Answer(Some(answer))
                if answer.fencing_token >= self.token && ticket.incarnation == self.incarnation =>
            {
                self.token = answer.fencing_token;
                self.lease_renewed_at = self.lease_renewed_at.max(ticket.sent);
                if let Some(jobs) = jobs {
                    self.execute(&answer.commands, jobs, now);
                }
            }
            // An undecodable or outdated answer is ignored; the worker keeps its controller.
            ReportOutcome::Answer(_) => {}
            ReportOutcome::Redirected(Some(other)) if other != self.target && other < self.controllers => {
                self.target = other;
                self.not_before = now + Duration::from_millis(self.rng.random_range(0..500));
                self.next_report_at = self.not_before;
            }
            ReportOutcome::Redirected(_) | ReportOutcome::Failed => {
                self.target = next_controller;
                self.not_before = now + RETRY_DELAY;
                self.next_report_at = self.not_before;
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

    /// Executes commands that were sent directly to the machine. Returns the HTTP status and a
    /// report.
    pub fn commands(&mut self, commands: &Commands, jobs: &mut Jobs, now: Instant) -> (u16, Heartbeat) {
        self.poll(jobs, now);
        if commands.fencing_token < self.token || commands.incarnation != self.incarnation {
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

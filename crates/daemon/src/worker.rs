//! What an owner knows of one of its workers, and what follows from it. No I/O:
//! reports go in, proofs and commands come out, time is passed in.
//!
//! Only a machine's owner sends it commands, one `/commands` request at a time,
//! each with a token above all before it. So an unanswered launch is ruled out
//! as soon as the worker has shown any later token.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use sched::records::{End, Phase};
use sched::world::World;
use wire::{Cause, Command, Report, TaskReport, TaskState};

/// Job, task and attempt.
pub type Key = (String, u32, u64);

pub fn first_token(epoch: u64) -> u64 {
    epoch << 20
}

#[derive(Debug)]
pub struct Worker {
    pub addr: String,
    pub epoch: u64,
    /// The newest report's place in the order of reports.
    pub session: u64,
    seq: u64,
    /// The highest token the worker is known to have seen.
    seen_token: u64,
    /// The highest token given out, and the least that proves anything.
    token: u64,
    proof_token: u64,
    in_flight: bool,
    /// Launches went out with a report's answer: until the next report comes,
    /// they may still be executed.
    offered: bool,
    pub owned_since: Instant,
    /// Last sign of life, and last report that was answered with 200.
    pub heard: Option<Instant>,
    pub renewed: Option<Instant>,
    tasks: Vec<TaskReport>,
    /// Assignments that have been seen on the worker.
    present: HashSet<Key>,
    stops: HashMap<Key, Instant>,
    strays: HashMap<(String, u64), Instant>,
    pub notice_until: Option<Instant>,
    retry_at: Option<Instant>,
    sent: Option<Instant>,
    failures: u32,
    /// Errors since the last success: the jobs they hit.
    error_jobs: HashSet<String>,
    errors: u32,
}

#[derive(Debug, Default, PartialEq)]
pub struct Plan {
    pub ends: Vec<(Key, End, Option<Cause>)>,
    pub commands: Vec<Command>,
    /// The worker has to be shown a newer token before anything is proven.
    pub poke: bool,
}

pub struct Limits {
    pub gang_peer: Duration,
    /// When the copy of the records was last known to be fresh.
    pub fresh_at: Option<Instant>,
}

const STOP_AGAIN: Duration = Duration::from_secs(2);
const STRAY_AFTER: Duration = Duration::from_millis(1500);

impl Worker {
    pub fn new(addr: String, epoch: u64, now: Instant) -> Self {
        Self {
            addr,
            epoch,
            session: 0,
            seq: 0,
            seen_token: 0,
            token: first_token(epoch),
            proof_token: first_token(epoch),
            in_flight: false,
            offered: false,
            owned_since: now,
            heard: None,
            renewed: None,
            tasks: Vec::new(),
            present: HashSet::new(),
            stops: HashMap::new(),
            strays: HashMap::new(),
            notice_until: None,
            retry_at: None,
            sent: None,
            failures: 0,
            error_jobs: HashSet::new(),
            errors: 0,
        }
    }

    /// A new map: every launch of the epochs before has to be ruled out anew.
    pub fn enter_epoch(&mut self, epoch: u64) {
        if epoch > self.epoch {
            self.epoch = epoch;
            self.token = first_token(epoch);
            self.proof_token = self.token;
            self.offered = false;
        }
    }

    pub fn token(&self) -> u64 {
        self.token
    }

    /// Whether the worker has seen a token above all of ours: somebody else is
    /// entitled to command it.
    pub fn overtaken_by(&self, report: &Report) -> bool {
        report.token > self.token
    }

    /// Takes in a report; false if it is older than what is known.
    pub fn ingest(&mut self, report: Report, by_itself: bool, now: Instant) -> bool {
        self.seen_token = self.seen_token.max(report.token);
        if (report.session, report.seq) <= (self.session, self.seq) {
            return false;
        }
        if by_itself {
            // A worker has one report in flight: by the next one, the answer to
            // the last has been executed or dropped.
            self.offered = false;
        }
        self.heard = Some(now);
        self.failures = 0;
        self.session = report.session;
        self.seq = report.seq;
        self.addr = report.addr;
        self.notice_until = report.notice_s.map(|s| now + Duration::from_secs_f64(s.clamp(0.0, 3600.0)));
        self.tasks = report.tasks;
        for t in &self.tasks {
            if let Some((job, n)) = t.parts() {
                self.present.insert((job.to_owned(), n, t.attempt));
            }
        }
        true
    }

    /// Whether absence from the last report proves that an assignment is over.
    fn absence_proves(&self) -> bool {
        !self.in_flight && !self.offered && self.session > 0 && self.seen_token >= self.proof_token
    }

    /// Compares what the records want with what the worker reports.
    pub fn reconcile(&mut self, machine: &str, world: &World, limits: &Limits, now: Instant) -> Plan {
        let mut plan = Plan::default();
        if self.session == 0 {
            return plan;
        }
        let mut wanted: HashMap<(&str, u32), u64> = HashMap::new();
        let (mut stops, mut launches) = (Vec::new(), Vec::new());
        let mut keys = HashSet::new();
        for (id, job, a) in world.assignments(machine) {
            let key: Key = (id.to_owned(), a.task, a.attempt);
            wanted.insert((id, a.task), a.attempt);
            let name = format!("{id}/{}", a.task);
            let report = self.tasks.iter().find(|t| t.attempt == a.attempt && t.task == name);
            let run = job.wants(a);
            match report {
                Some(t) if t.state == TaskState::Exited => {
                    plan.ends.push((key.clone(), end_of(t.cause), t.cause));
                }
                Some(t) if !run => {
                    let save = job.spec.as_ref().map_or(0.0, |s| s.save_s);
                    let last = self.stops.get(&key).copied();
                    let kill = job.phase != Phase::Active;
                    let patience = Duration::from_secs_f64(save.min(600.0)) + limits.gang_peer + STOP_AGAIN;
                    if last.is_none_or(|l| now.saturating_duration_since(l) >= STOP_AGAIN) {
                        let first = last.is_none();
                        let late = last.is_some_and(|l| now.saturating_duration_since(l) > patience);
                        let grace_s = if kill || late { 0.0 } else { save };
                        if first || kill || late || t.state != TaskState::Saving {
                            stops.push(Command::Stop { task: name, attempt: a.attempt, grace_s });
                            if first {
                                self.stops.insert(key.clone(), now);
                            }
                        }
                    }
                }
                Some(_) => {}
                None if run && !self.present.contains(&key) => {
                    launches.push(Command::Start { task: name, attempt: a.attempt });
                }
                // Seen before and gone now: a new session.
                None => {
                    if self.absence_proves() {
                        plan.ends.push((key.clone(), End::Lost, None));
                    } else {
                        plan.poke = true;
                    }
                }
            }
            keys.insert(key);
        }
        self.present.retain(|k| keys.contains(k));
        self.stops.retain(|k, _| keys.contains(k));
        let mut clears = Vec::new();
        let mut strays = HashMap::new();
        for t in &self.tasks {
            let known = t.parts().is_some_and(|(j, n)| wanted.get(&(j, n)) == Some(&t.attempt));
            if known {
                continue;
            }
            // No record wants this. Before it is stopped or cleared, the copy of
            // the records has to be newer than the first sight of it.
            let key = (t.task.clone(), t.attempt);
            let since = self.strays.get(&key).copied().unwrap_or(now);
            strays.insert(key, since);
            let replaced = t.parts().is_some_and(|(j, n)| wanted.contains_key(&(j, n)));
            if limits.fresh_at.is_none_or(|f| f <= since) {
                continue;
            }
            if t.state == TaskState::Exited {
                if replaced || now.saturating_duration_since(since) >= STRAY_AFTER {
                    clears.push(Command::Forget { task: t.task.clone(), attempt: t.attempt });
                }
            } else if now.saturating_duration_since(since) >= STRAY_AFTER {
                stops.push(Command::Stop { task: t.task.clone(), attempt: t.attempt, grace_s: 0.0 });
            }
        }
        self.strays = strays;
        plan.commands = clears;
        plan.commands.extend(stops);
        plan.commands.extend(launches);
        plan
    }

    /// Whether a `/commands` request may go out now.
    pub fn may_send(&self, now: Instant) -> bool {
        !self.in_flight && self.session > 0 && self.retry_at.is_none_or(|t| now >= t)
    }

    /// Starts a request: its token is above all before.
    pub fn begin(&mut self, now: Instant) -> u64 {
        self.token += 1;
        self.in_flight = true;
        self.sent = Some(now);
        self.token
    }

    /// Clears alone are not worth a request each.
    pub fn clear_due(&self, now: Instant) -> bool {
        self.sent.is_none_or(|t| now.saturating_duration_since(t) >= Duration::from_secs(2))
    }

    /// The request was answered, or not.
    pub fn finish(&mut self, epoch: u64, answered: bool, now: Instant) {
        self.in_flight = false;
        if answered {
            self.retry_at = None;
            return;
        }
        self.failures += 1;
        self.retry_at = Some(now + Duration::from_millis(400) * self.failures.min(6));
        if epoch == self.epoch {
            // What was sent may arrive minutes late, but not after the worker
            // has seen a later token.
            self.token += 1;
            self.proof_token = self.token;
        }
    }

    pub fn note_end(&mut self, job: &str, end: End) {
        match end {
            End::Done => {
                self.errors = 0;
                self.error_jobs.clear();
            }
            End::Error => {
                self.errors += 1;
                self.error_jobs.insert(job.to_owned());
            }
            End::Stopped | End::Lost => {}
        }
    }

    /// A machine that fails the tasks of several jobs, as opposed to a job that
    /// fails on every machine.
    pub fn sick(&self) -> bool {
        self.errors >= 2 && self.error_jobs.len() >= 2
    }

    pub fn silent_for(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.heard.unwrap_or(self.owned_since))
    }

    /// The commands that go with the answer to a report: launches and stops.
    /// Clears never do, as they need a token above every launch.
    pub fn answer(&mut self, machine: &str, world: &World, limits: &Limits, now: Instant) -> Vec<Command> {
        if self.in_flight {
            return Vec::new();
        }
        let mut commands = self.reconcile(machine, world, limits, now).commands;
        commands.retain(|c| !matches!(c, Command::Forget { .. }));
        self.offered |= commands.iter().any(|c| matches!(c, Command::Start { .. }));
        commands
    }
}

fn end_of(cause: Option<Cause>) -> End {
    match cause {
        Some(Cause::Done) => End::Done,
        Some(Cause::Error) => End::Error,
        _ => End::Stopped,
    }
}

/// Whether an exit was a refusal, after which the machine is left alone a while.
pub fn refused(cause: Option<Cause>) -> bool {
    matches!(cause, Some(Cause::NoRoom | Cause::Busy | Cause::Unknown))
}

//! What an owner knows of one of its workers, and what follows from it. No I/O:
//! reports go in, proofs and commands come out, time is passed in.
//!
//! Only a machine's owner sends it commands, one `/commands` request at a time,
//! each with a token above all before it. So an unanswered launch is ruled out
//! as soon as the worker has shown any later token.

mod reconcile;

use std::time::{Duration, Instant};

use sched::hash::{HashMap, HashSet};
use wire::{Command, Heartbeat, TaskState, TaskStatus};

pub use reconcile::final_stops;
use reconcile::is_launch;

/// Job, task and attempt.
pub type Key = (String, u32, u64);

/// How many tokens an owner has for each of its workers in one epoch. They are used up by
/// requests to that worker: at two a second in six days.
const TOKENS_PER_EPOCH: u64 = 1 << 20;
/// With so many of them gone a new epoch is asked for, which has new ones.
const TOKENS_LOW: u64 = TOKENS_PER_EPOCH / 4 * 3;

/// The fencing token that an epoch begins with.
pub fn first_token(epoch: u64) -> u64 {
    epoch * TOKENS_PER_EPOCH
}

fn last_token(epoch: u64) -> u64 {
    first_token(epoch) + TOKENS_PER_EPOCH - 1
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
    /// The epoch since when this controller has owned the machine.
    owned_epoch: u64,
    /// The token of the request that is not answered yet, and whether it launches anything.
    in_flight: Option<(u64, bool)>,
    /// The token of a report's answer that launches went out with. Until the next report
    /// comes, or the worker shows a later token, they may still be executed.
    offered: Option<u64>,
    pub owned_since: Instant,
    /// When the worker last reported by itself to this controller, the owner.
    reported: Instant,
    /// Last sign of life, and last report that was answered with 200.
    pub heard: Option<Instant>,
    pub renewed: Option<Instant>,
    /// It was asked for its status since this controller owns it, and did not answer.
    unanswered: bool,
    /// Until when silence is this controller's own fault, as it stood still.
    excused: Option<Instant>,
    tasks: Vec<TaskStatus>,
    /// The list of tasks is from after this controller became the owner: it shows a token
    /// from since then. Any other report may be a late copy from long before, and what
    /// ended then may have been started anew since.
    trusted: bool,
    /// Assignments that have been seen on the worker.
    present: HashSet<Key>,
    stops: HashMap<Key, Instant>,
    strays: HashMap<(String, u64), Instant>,
    pub notice_until: Option<Instant>,
    /// Since when answers and commands have not reached the worker, by its own
    /// reports. It is alive, but nothing can be given to it.
    deaf_since: Option<Instant>,
    /// The token of the last answer, and how many reports did not show it.
    told: u64,
    unheard: u32,
    /// When to compare with the records again, even without news.
    look_at: Option<Instant>,
    /// When each end was first proven: another controller may be writing it.
    ended: HashMap<Key, Instant>,
    retry_at: Option<Instant>,
    sent: Option<Instant>,
    failures: u32,
    /// Errors since the last success: the jobs they hit.
    error_jobs: HashSet<String>,
    errors: u32,
}

pub struct Limits {
    pub gang_peer: Duration,
    /// The workers' lease, by the slowest of their clocks.
    pub lease: Duration,
    /// When the copy of the records was last known to be fresh.
    pub fresh_at: Option<Instant>,
}

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
            owned_epoch: epoch,
            in_flight: None,
            offered: None,
            owned_since: now,
            reported: now,
            heard: None,
            renewed: None,
            unanswered: false,
            excused: None,
            tasks: Vec::new(),
            trusted: false,
            present: HashSet::default(),
            stops: HashMap::default(),
            strays: HashMap::default(),
            notice_until: None,
            deaf_since: None,
            told: 0,
            unheard: 0,
            look_at: Some(now),
            ended: HashMap::default(),
            retry_at: None,
            sent: None,
            failures: 0,
            error_jobs: HashSet::default(),
            errors: 0,
        }
    }

    /// A new map: every launch of the epochs before has to be ruled out anew.
    pub fn enter_epoch(&mut self, epoch: u64) {
        if epoch > self.epoch {
            self.epoch = epoch;
            self.token = first_token(epoch);
            self.proof_token = self.token;
            self.offered = None;
            self.in_flight = None;
            self.renewed = None;
            self.told = 0;
            self.unheard = 0;
            self.look_again();
        }
    }

    /// Whether what is known of the worker is from before its machine was another's for a
    /// while: two maps may become known at once, and whoever had it between them may have
    /// started anew what is known here to have ended.
    pub fn lapsed(&self, owned_since: u64) -> bool {
        self.epoch < owned_since
    }

    /// Something has changed: compare with the records in the next round.
    pub fn look_again(&mut self) {
        self.look_at = None;
    }

    /// Whether the worker last reported that this attempt of a task runs.
    pub fn is_running(&self, task: &str, attempt: u64) -> bool {
        let runs = |t: &TaskStatus| t.state == TaskState::Running && t.attempt == attempt && t.task == task;
        self.trusted && self.tasks.iter().any(runs)
    }

    /// Whether a round should compare this worker with the records.
    pub fn due(&self, now: Instant) -> bool {
        self.look_at.is_none_or(|t| now >= t)
    }

    /// When an end was first proven.
    pub fn ended_since(&mut self, key: &Key, now: Instant) -> Instant {
        *self.ended.entry(key.clone()).or_insert(now)
    }

    pub fn token(&self) -> u64 {
        self.token
    }

    /// Whether the worker has seen a token above all of ours: somebody else is
    /// entitled to command it.
    pub fn overtaken_by(&self, report: &Heartbeat) -> bool {
        report.fencing_token > self.token
    }

    /// Takes in a report; false if it is older than what is known.
    pub fn ingest(&mut self, report: Heartbeat, by_itself: bool, now: Instant) -> bool {
        self.seen_token = self.seen_token.max(report.fencing_token);
        if (report.incarnation, report.sequence) <= (self.session, self.seq) {
            return false;
        }
        self.note_hearing(&report, by_itself, now);
        if report.incarnation != self.session || report.tasks != self.tasks || report.spot_notice_s.is_some()
        {
            self.look_again();
        }
        // A worker has one report in flight: by the next one, the answer to the last has
        // been executed or dropped. It also drops answers to an earlier session, and those
        // with a lower token than it has seen: that counts for a machine that reaches no
        // controller any more, but answers requests.
        if by_itself
            || report.incarnation > self.session
            || self.offered.is_some_and(|t| report.fencing_token > t)
        {
            self.offered = None;
        }
        if by_itself {
            self.reported = now;
        }
        self.trusted |= report.fencing_token >= first_token(self.owned_epoch);
        self.heard = Some(now);
        self.session = report.incarnation;
        self.seq = report.sequence;
        self.addr = report.addr;
        self.notice_until = report.spot_notice_s.map(|s| now + wire::seconds(s.min(3600.0)));
        if self.tasks != report.tasks {
            self.tasks = report.tasks;
            for t in &self.tasks {
                if let Some((job, n)) = t.parts() {
                    self.present.insert((job.to_owned(), n, t.attempt));
                }
            }
        }
        true
    }

    /// Notices a worker that is heard but does not hear: its reports do not show
    /// the token of the answer before, or its lease ran out although its reports
    /// were answered. What it says to a request of ours shows that it hears.
    fn note_hearing(&mut self, report: &Heartbeat, by_itself: bool, now: Instant) {
        let lost_lease = self.session > 0 && report.incarnation > self.session && self.renewed.is_some();
        if !by_itself || self.told > 0 && report.fencing_token >= self.told && !lost_lease {
            self.unheard = 0;
            self.deaf_since = None;
        } else if report.fencing_token < self.told {
            self.unheard += 1;
        }
        if by_itself && lost_lease {
            // The answers from now on have a new token, which only a worker that hears
            // them can show.
            self.next_token();
        }
        if by_itself && (self.unheard >= 2 || lost_lease) {
            self.deaf_since.get_or_insert(now);
        }
    }

    /// Whether commands reach the worker, as far as is known. It has to have shown
    /// a token from since this controller owns it: a late copy of a report, of a
    /// machine that may be long gone, cannot.
    pub fn hears(&self) -> bool {
        self.deaf_since.is_none() && self.failures < 3 && self.seen_token >= first_token(self.owned_epoch)
    }

    /// Whether the worker answers requests at most, but does not report: nobody renews its
    /// lease, and whatever is started there will be killed.
    pub fn is_mute(&self, limit: Duration, now: Instant) -> bool {
        let since = self.excused.map_or(self.reported, |e| e.max(self.reported));
        now.saturating_duration_since(since) > limit
    }

    /// An answer that renews the worker's lease goes out.
    pub fn renew(&mut self, now: Instant) {
        self.renewed = Some(now);
        self.told = self.told.max(self.token);
    }

    /// Whether the worker's lease is surely over, so that all its tasks are gone.
    /// Nobody but this owner can have renewed it: the worker has shown a token of
    /// this epoch, so it drops what anyone entitled by an earlier map answers,
    /// and others of this map renew only workers that have not shown one. A later
    /// map makes the transaction fail that this is written with. A report is sent
    /// before its answer, so the lease counts from the last answer at the latest.
    fn lease_over(&self, limits: &Limits, now: Instant) -> bool {
        self.seen_token >= first_token(self.epoch)
            && self.heard.is_none_or(|t| now.saturating_duration_since(t) > limits.lease)
            && self.renewed.is_some_and(|t| now.saturating_duration_since(t) > limits.lease)
    }

    /// Whether absence from the last report proves that an assignment is over.
    fn absence_proves(&self) -> bool {
        self.in_flight.is_none()
            && self.offered.is_none()
            && self.session > 0
            && self.seen_token >= self.proof_token
    }

    /// Whether a `/commands` request may go out now.
    pub fn may_send(&self, now: Instant) -> bool {
        self.in_flight.is_none()
            && self.session > 0
            && self.retry_at.is_none_or(|t| now >= t)
            && self.token < last_token(self.epoch)
    }

    /// Goes on to the next token; None if the epoch has no more. The tokens of the next epoch
    /// are whoever's that owns the machine then, and are never given out before.
    fn next_token(&mut self) -> Option<u64> {
        if self.token >= last_token(self.epoch) {
            return None;
        }
        self.token += 1;
        Some(self.token)
    }

    /// Whether the tokens of this epoch will soon be used up.
    pub fn tokens_run_low(&self) -> bool {
        self.token >= first_token(self.epoch) + TOKENS_LOW
    }

    /// Starts a request: its token is above all before. None: there is no such token left in
    /// this epoch, and nothing may be sent.
    pub fn begin(&mut self, commands: &[Command], now: Instant) -> Option<u64> {
        let token = self.next_token()?;
        self.in_flight = Some((token, commands.iter().any(is_launch)));
        self.sent = Some(now);
        Some(token)
    }

    /// Clears alone are not worth a request each.
    pub fn clear_due(&self, now: Instant) -> bool {
        self.sent.is_none_or(|t| now.saturating_duration_since(t) >= Duration::from_secs(2))
    }

    /// The request with this token was answered, or given up. A request from
    /// before the last change of owner is not waited for any more, and must not
    /// end the wait for the one that is.
    pub fn finish(&mut self, token: u64, answered: bool, now: Instant) {
        let Some((_, launches)) = self.in_flight.take_if(|r| r.0 == token) else { return };
        self.look_again();
        if answered {
            self.failures = 0;
            self.retry_at = None;
            return;
        }
        self.failures += 1;
        self.retry_at = Some(now + Duration::from_millis(400) * self.failures.min(6));
        // What was sent may arrive minutes late, but not after the worker has seen a later
        // token. Only launches have to be ruled out: where requests are lost again and
        // again, the token to be seen would else always be the next.
        let later = self.next_token().unwrap_or_else(|| first_token(self.epoch + 1));
        if launches {
            self.proof_token = later;
        }
    }

    /// A machine that fails the tasks of several jobs, as opposed to a job that
    /// fails on every machine.
    pub fn sick(&self) -> bool {
        self.errors >= 2 && self.error_jobs.len() >= 2
    }

    /// This controller stood still until now: what it did not hear meanwhile says
    /// nothing of the worker.
    pub fn excuse(&mut self, now: Instant) {
        self.excused = Some(now);
    }

    /// A request for its status got no answer.
    pub fn did_not_answer(&mut self) {
        self.unanswered = true;
    }

    /// How long nothing has been heard, or nothing could be said. One that was never heard of
    /// is not silent before it was asked in vain: an owner that takes over thousands of
    /// machines at once needs time to ask them all, and would give up those at the end.
    pub fn silent_for(&self, now: Instant) -> Duration {
        if self.heard.is_none() && !self.unanswered {
            return Duration::ZERO;
        }
        let for_long = |since: Instant| {
            let since = self.excused.map_or(since, |e| e.max(since));
            now.saturating_duration_since(since)
        };
        let silent = for_long(self.heard.unwrap_or(self.owned_since));
        let deaf = self.deaf_since.map_or(Duration::ZERO, for_long);
        silent.max(deaf)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/worker.rs"]
pub(crate) mod tests;

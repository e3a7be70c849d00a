//! What an owner knows of one of its workers, and what follows from it. No I/O: statuses go in,
//! proofs and commands come out, time is passed in.
//!
//! Only a machine's owner sends it commands, one `/commands` request at a time, each with a
//! fencing token above all before it.

mod assignment_id;
mod command_channel;
mod fencing_token;
mod liveness;
mod machine_health;
mod reconcile;
mod tracked_tasks;

use std::time::{Duration, Instant};

use wire::{Command, Heartbeat};

pub use assignment_id::AssignmentId;
use command_channel::CommandChannel;
pub use fencing_token::FencingToken;
use liveness::{HearingEvidence, Liveness, StatusOrigin};
use machine_health::TaskFailures;
pub use reconcile::stops_of_cancelled_jobs;
use tracked_tasks::TrackedTasks;

/// The longest notice of a spot machine's end that is taken into account, in seconds.
const MAX_SPOT_NOTICE_S: f64 = 3600.0;

/// What is known of a worker whose machine this controller owns.
#[derive(Debug)]
pub struct Worker {
    /// The address that commands are sent to.
    pub addr: String,
    /// The worker's incarnation by its last status; 0 before the first.
    incarnation: u64,
    /// The number of that status within the incarnation.
    sequence: u64,
    /// Until when a spot machine may be used, once its end was announced.
    spot_notice_until: Option<Instant>,
    /// When to compare the worker with the records again, even without news; `None`: now.
    next_reconciliation_at: Option<Instant>,
    commands: CommandChannel,
    liveness: Liveness,
    tasks: TrackedTasks,
    failures: TaskFailures,
}

/// The limits by which workers are reconciled.
#[derive(Debug)]
pub struct WorkerLimits {
    /// How long the other tasks of a gang may take to stop with the first.
    pub gang_peer: Duration,
    /// The workers' lease, by the slowest of their clocks.
    pub lease: Duration,
    /// When the replica of the records was last known to be fresh.
    pub fresh_at: Option<Instant>,
    /// How old the replica may be by which tasks are launched: what it shows may have been
    /// cancelled since, by a controller that reaches the key-value store while this one does not.
    /// After that long others may own this one's machines.
    pub max_launch_replica_age: Duration,
}

impl WorkerLimits {
    fn is_replica_fresh_to_launch(&self, now: Instant) -> bool {
        let is_fresh = |at: Instant| now.saturating_duration_since(at) < self.max_launch_replica_age;
        self.fresh_at.is_some_and(is_fresh)
    }
}

impl Worker {
    /// A worker at this address that has not been heard from, under the map of this epoch.
    pub fn new(addr: String, epoch: u64, now: Instant) -> Self {
        Self {
            addr,
            incarnation: 0,
            sequence: 0,
            spot_notice_until: None,
            next_reconciliation_at: Some(now),
            commands: CommandChannel::new(epoch),
            liveness: Liveness::new(now),
            tasks: TrackedTasks::default(),
            failures: TaskFailures::default(),
        }
    }

    /// Enters the epoch of a new map, if it is later than the present one.
    pub fn enter_epoch(&mut self, epoch: u64) {
        if epoch > self.commands.epoch() {
            self.commands.enter_epoch(epoch);
            self.liveness.enter_epoch();
            self.request_reconciliation();
        }
    }

    /// Whether what is known of the worker is from before its machine was another controller's for
    /// a while, and has been owned here since this epoch. Two maps may become known at once, and
    /// the owner between them may have started anew what is known here to have ended.
    pub fn predates_ownership(&self, owned_since_epoch: u64) -> bool {
        self.commands.epoch() < owned_since_epoch
    }

    /// Has the worker compared with the records in the next scheduling cycle.
    pub fn request_reconciliation(&mut self) {
        self.next_reconciliation_at = None;
    }

    /// Whether the worker is to be compared with the records now.
    pub fn is_reconciliation_due(&self, now: Instant) -> bool {
        self.next_reconciliation_at.is_none_or(|at| now >= at)
    }

    /// Whether the worker last reported that this attempt of a task runs.
    pub fn is_running(&self, task: &str, attempt: u64) -> bool {
        self.tasks.is_running(task, attempt)
    }

    /// When the end of an assignment was first proven, which is now if it was not before.
    pub fn first_proven_at(&mut self, assignment: &AssignmentId, now: Instant) -> Instant {
        self.tasks.first_proven_at(assignment, now)
    }

    /// The highest token given out.
    pub fn token(&self) -> FencingToken {
        self.commands.newest
    }

    /// The worker's incarnation by its last status; 0 before the first.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Until when a spot machine may be used, once its end was announced.
    pub fn spot_notice_until(&self) -> Option<Instant> {
        self.spot_notice_until
    }

    /// Whether a status of the worker was received since this controller owns its machine.
    pub fn was_heard_from(&self) -> bool {
        self.liveness.last_heartbeat_at.is_some()
    }

    fn has_status(&self) -> bool {
        self.incarnation > 0
    }

    /// Whether the worker has seen a token above all of this owner's: another controller is
    /// entitled to command it.
    pub fn is_superseded_by(&self, heartbeat: &Heartbeat) -> bool {
        FencingToken::from(heartbeat.fencing_token) > self.token()
    }

    /// Takes in a heartbeat that the worker sent by itself. Returns whether it is newer than what
    /// is known; an older one, or a duplicate, changes nothing but the token that was seen.
    pub fn receive_heartbeat(&mut self, heartbeat: Heartbeat, now: Instant) -> bool {
        self.receive(heartbeat, StatusOrigin::Heartbeat, now)
    }

    /// Takes in the status that the worker answered a request of this controller with.
    pub fn receive_response(&mut self, status: Heartbeat, now: Instant) -> bool {
        self.receive(status, StatusOrigin::Response, now)
    }

    fn receive(&mut self, status: Heartbeat, origin: StatusOrigin, now: Instant) -> bool {
        let token = FencingToken::from(status.fencing_token);
        self.commands.note_seen(token);
        if (status.incarnation, status.sequence) <= (self.incarnation, self.sequence) {
            return false;
        }
        self.note_hearing(&status, origin, now);
        if status.incarnation != self.incarnation
            || status.tasks != self.tasks.statuses()
            || status.spot_notice_s.is_some()
        {
            self.request_reconciliation();
        }
        // A worker has one heartbeat on its way: by the next one, the response to the last has been
        // executed or dropped. It also drops responses to an earlier incarnation, and those with a
        // lower token than it has seen: that counts for a machine that reaches no controller any
        // more, but answers requests.
        if origin == StatusOrigin::Heartbeat
            || status.incarnation > self.incarnation
            || self.commands.is_after_offer(token)
        {
            self.commands.clear_offer();
        }
        self.liveness.note_received(origin, now);
        if self.commands.is_of_this_owner(token) {
            self.tasks.mark_current();
        }
        self.incarnation = status.incarnation;
        self.sequence = status.sequence;
        self.addr = status.addr;
        self.spot_notice_until = status.spot_notice_s.map(|s| now + wire::seconds(s.min(MAX_SPOT_NOTICE_S)));
        self.tasks.update(status.tasks);
        true
    }

    /// Takes note of whether the worker hears this controller.
    fn note_hearing(&mut self, status: &Heartbeat, origin: StatusOrigin, now: Instant) {
        let is_restarted = self.has_status() && status.incarnation > self.incarnation;
        let lost_lease = is_restarted && self.liveness.was_renewed();
        if origin == StatusOrigin::Heartbeat && lost_lease {
            // The responses from now on have a new token, which only a worker that hears them can
            // show.
            self.commands.next_token();
        }
        let token = FencingToken::from(status.fencing_token);
        self.liveness.note_evidence(HearingEvidence { origin, token, lost_lease }, now);
    }

    /// Whether commands reach the worker, as far as is known.
    #[inline]
    pub fn receives_commands(&self) -> bool {
        self.liveness.is_reachable() && self.commands.is_usable()
    }

    /// Whether the worker has sent no heartbeat by itself for longer than this limit, though it may
    /// answer requests: nobody renews its lease, and whatever is started there will be killed.
    #[inline]
    pub fn sends_no_heartbeats(&self, limit: Duration, now: Instant) -> bool {
        self.liveness.without_heartbeats_for(now) > limit
    }

    /// Notes that a response is sent which renews the worker's lease.
    pub fn renew_lease(&mut self, now: Instant) {
        self.liveness.renew_lease(self.token(), now);
    }

    /// Whether the worker's lease has surely expired, so that all its tasks are gone. Nobody but
    /// this owner can have renewed it: the worker has shown a token of this epoch, so it drops the
    /// responses of any controller that an earlier map entitles, and others of this map renew only
    /// workers that have not shown one. A later map makes the transaction fail that this is
    /// written with.
    fn has_lease_expired(&self, limits: &WorkerLimits, now: Instant) -> bool {
        self.commands.has_seen_epoch() && self.liveness.has_lease_expired(limits.lease, now)
    }

    /// Whether a `/commands` request may be sent now.
    pub fn may_send_commands(&self, now: Instant) -> bool {
        self.has_status() && self.commands.may_send(now)
    }

    /// Whether the tokens of this epoch will soon be used up.
    pub fn tokens_run_low(&self) -> bool {
        self.commands.tokens_run_low()
    }

    /// Begins a request with a token above all before. `None`: the epoch has no such token left,
    /// and nothing may be sent.
    pub fn begin_commands(&mut self, commands: &[Command], now: Instant) -> Option<FencingToken> {
        self.commands.begin(commands, now)
    }

    /// Whether a request may be sent for nothing but having the worker forget tasks.
    pub fn is_cleanup_due(&self, now: Instant) -> bool {
        self.commands.is_cleanup_due(now)
    }

    /// Notes that the request with this token was answered.
    pub fn commands_answered(&mut self, token: FencingToken) {
        if self.commands.complete(token) {
            self.request_reconciliation();
        }
    }

    /// Notes that the request with this token was not answered, or is not waited for any more.
    pub fn commands_failed(&mut self, token: FencingToken, now: Instant) {
        if self.commands.fail(token, now) {
            self.request_reconciliation();
        }
    }

    /// Whether the machine fails the tasks of several jobs, as opposed to a job that fails on every
    /// machine.
    pub fn is_unhealthy(&self) -> bool {
        self.failures.is_unhealthy()
    }

    /// Notes that this controller was paused until now: what it did not hear meanwhile says nothing
    /// of the worker.
    pub fn note_process_pause(&mut self, now: Instant) {
        self.liveness.note_pause(now);
    }

    /// Notes that a request for the worker's status was not answered.
    pub fn note_probe_failure(&mut self) {
        self.liveness.note_probe_failure();
    }

    /// How long nothing was heard from the worker, or nothing reached it.
    #[inline]
    pub fn silent_for(&self, now: Instant) -> Duration {
        self.liveness.silent_for(now)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/worker.rs"]
pub(crate) mod tests;

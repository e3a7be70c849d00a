//! The state that an owner keeps for one of its workers, and the decisions based on it. There is no
//! I/O: statuses are passed in, as is the time; proofs and commands are returned.
//!
//! Only the owner of a machine sends commands to its worker: one `/commands` request at a time,
//! each with a higher fencing token than all before it.

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
use liveness::{Liveness, ReachabilityEvidence, StatusOrigin};
use machine_health::TaskFailures;
pub use reconcile::stops_of_cancelled_jobs;
use tracked_tasks::TrackedTasks;

/// Maximum remaining lifetime of a spot machine that is accepted from a spot notice, in seconds.
const MAX_SPOT_NOTICE_S: f64 = 3600.0;

/// What is known of a worker whose machine this controller owns.
#[derive(Debug)]
pub struct Worker {
    /// The address that commands are sent to.
    pub addr: String,
    /// The worker's incarnation in its last status; 0 before the first status.
    incarnation: u64,
    /// The sequence number of the last status within its incarnation.
    sequence: u64,
    /// Until when the spot machine may be used, once a spot notice was received.
    spot_notice_until: Option<Instant>,
    /// When to reconcile the worker with the records again, even if nothing changes; `None`: now.
    next_reconciliation_at: Option<Instant>,
    commands: CommandChannel,
    liveness: Liveness,
    tasks: TrackedTasks,
    failures: TaskFailures,
}

/// The limits that apply to the reconciliation of workers.
#[derive(Debug)]
pub struct WorkerLimits {
    /// How long the other tasks of a gang may take to stop after the first.
    pub gang_peer: Duration,
    /// The duration of the workers' lease, measured by the slowest of their clocks.
    pub lease: Duration,
    /// When the replica of the records was last known to be fresh.
    pub fresh_at: Option<Instant>,
    /// Maximum age of the replica for launching tasks. A job in an older replica may have been
    /// cancelled since, by a controller that reaches the key-value store while this one does not.
    /// After that time, other controllers may own the machines of this one.
    pub max_launch_replica_age: Duration,
}

impl WorkerLimits {
    fn is_replica_fresh_to_launch(&self, now: Instant) -> bool {
        let is_fresh = |at: Instant| now.saturating_duration_since(at) < self.max_launch_replica_age;
        self.fresh_at.is_some_and(is_fresh)
    }
}

impl Worker {
    /// A worker at this address that has not sent a status yet, under the cluster map of this
    /// epoch.
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

    /// Enters the epoch of a new cluster map if it is later than the current one.
    pub fn enter_epoch(&mut self, epoch: u64) {
        if epoch > self.commands.epoch() {
            self.commands.enter_epoch(epoch);
            self.liveness.enter_epoch();
            self.request_reconciliation();
        }
    }

    /// Whether this state is from before the current ownership of the machine, which began in epoch
    /// `owned_since_epoch` after a time under another owner. This controller may learn of both
    /// changes of ownership at once, and the owner in between may have restarted tasks that have
    /// ended according to this state.
    pub fn predates_ownership(&self, owned_since_epoch: u64) -> bool {
        self.commands.epoch() < owned_since_epoch
    }

    /// Requests a reconciliation of the worker in the next scheduling cycle.
    pub fn request_reconciliation(&mut self) {
        self.next_reconciliation_at = None;
    }

    /// Whether the worker is to be reconciled with the records now.
    pub fn is_reconciliation_due(&self, now: Instant) -> bool {
        self.next_reconciliation_at.is_none_or(|at| now >= at)
    }

    /// Whether the worker last reported that this attempt of a task runs.
    pub fn is_running(&self, task: &str, attempt: u64) -> bool {
        self.tasks.is_running(task, attempt)
    }

    /// When the end of an assignment was first proven; `now` is recorded if it was not before.
    pub fn first_proven_at(&mut self, assignment: &AssignmentId, now: Instant) -> Instant {
        self.tasks.first_proven_at(assignment, now)
    }

    /// The highest token issued.
    pub fn token(&self) -> FencingToken {
        self.commands.last_issued
    }

    /// The worker's incarnation in its last status; 0 before the first status.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Until when the spot machine may be used, once a spot notice was received.
    pub fn spot_notice_until(&self) -> Option<Instant> {
        self.spot_notice_until
    }

    /// Whether a status of the worker was received since this controller owns its machine.
    pub fn was_heard_from(&self) -> bool {
        self.liveness.last_status_at.is_some()
    }

    fn has_status(&self) -> bool {
        self.incarnation > 0
    }

    /// Whether the worker has seen a higher token than any that this owner has issued, which means
    /// that another controller may command it.
    pub fn is_superseded_by(&self, heartbeat: &Heartbeat) -> bool {
        FencingToken::from(heartbeat.fencing_token) > self.token()
    }

    /// Processes a heartbeat that the worker sent on its own. Returns whether it is newer than the
    /// last status; an older one or a duplicate only updates the highest token seen.
    pub fn receive_heartbeat(&mut self, heartbeat: Heartbeat, now: Instant) -> bool {
        self.receive(heartbeat, StatusOrigin::Heartbeat, now)
    }

    /// Processes the status in the worker's response to a request of this controller.
    pub fn receive_response(&mut self, status: Heartbeat, now: Instant) -> bool {
        self.receive(status, StatusOrigin::Response, now)
    }

    fn receive(&mut self, status: Heartbeat, origin: StatusOrigin, now: Instant) -> bool {
        let token = FencingToken::from(status.fencing_token);
        self.commands.note_seen(token);
        if (status.incarnation, status.sequence) <= (self.incarnation, self.sequence) {
            return false;
        }
        self.note_reachability(&status, origin, now);
        if status.incarnation != self.incarnation
            || status.tasks != self.tasks.statuses()
            || status.spot_notice_s.is_some()
        {
            self.request_reconciliation();
        }
        // A worker has at most one heartbeat in flight: by the next one, it has executed or dropped
        // the response to the last. It also drops responses to an earlier incarnation, and those
        // with a lower token than it has seen. This matters for a machine whose heartbeats reach no
        // controller any more, but which answers requests.
        if origin == StatusOrigin::Heartbeat
            || status.incarnation > self.incarnation
            || self.commands.is_after_launch_response(token)
        {
            self.commands.clear_launches_in_response();
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

    /// Updates whether messages of this controller reach the worker.
    fn note_reachability(&mut self, status: &Heartbeat, origin: StatusOrigin, now: Instant) {
        let is_restarted = self.has_status() && status.incarnation > self.incarnation;
        let lost_lease = is_restarted && self.liveness.has_renewed_lease();
        if origin == StatusOrigin::Heartbeat && lost_lease {
            // From now on, responses have a new token, which the worker can show only if it
            // receives them.
            self.commands.next_token();
        }
        let token = FencingToken::from(status.fencing_token);
        self.liveness.note_evidence(ReachabilityEvidence { origin, token, lost_lease }, now);
    }

    /// Whether commands reach the worker, as far as is known.
    #[inline]
    pub fn receives_commands(&self) -> bool {
        self.liveness.is_reachable() && self.commands.is_usable()
    }

    /// Whether the worker has sent no heartbeat on its own for longer than this limit, even if it
    /// answers requests. Nothing renews its lease then, and tasks started there would be killed.
    #[inline]
    pub fn sends_no_heartbeats(&self, limit: Duration, now: Instant) -> bool {
        self.liveness.time_since_heartbeat(now) > limit
    }

    /// Notes that a response is sent that renews the worker's lease.
    pub fn renew_lease(&mut self, now: Instant) {
        self.liveness.renew_lease(self.token(), now);
    }

    /// Whether the worker's lease has certainly expired, so that all its tasks are gone. Only this
    /// owner can have renewed it. The worker has shown a token of this epoch and so drops responses
    /// of the owners under earlier maps; under this map, other controllers renew the leases only of
    /// workers that have not shown such a token. Under a later map, the transaction that records
    /// the expiry fails.
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

    /// Begins a request with a higher token than all before. Returns `None` if the epoch has no
    /// token left; then nothing may be sent.
    pub fn begin_commands(&mut self, commands: &[Command], now: Instant) -> Option<FencingToken> {
        let token = self.commands.begin(commands, now)?;
        self.tasks.note_launches(commands, token);
        Some(token)
    }

    /// Whether a request that has only forget commands may be sent.
    pub fn may_send_only_forgets(&self, now: Instant) -> bool {
        self.commands.may_send_only_forgets(now)
    }

    /// Notes that the request with this token was answered.
    pub fn commands_answered(&mut self, token: FencingToken) {
        if self.commands.complete(token) {
            self.request_reconciliation();
        }
    }

    /// Notes that the request with this token was not answered, or is no longer waited for.
    pub fn commands_failed(&mut self, token: FencingToken, now: Instant) {
        if self.commands.fail(token, now) {
            self.request_reconciliation();
        }
    }

    /// Notes that the worker refused the request with this token for its size: further messages carry
    /// fewer commands.
    pub fn commands_too_large(&mut self, token: FencingToken, now: Instant) {
        if self.commands.refuse_as_too_large(token, now) {
            self.request_reconciliation();
        }
    }

    /// Whether tasks of several jobs fail on the machine, as opposed to one job that fails on every
    /// machine.
    pub fn is_unhealthy(&self) -> bool {
        self.failures.is_unhealthy()
    }

    /// Notes that this controller was paused until now: it could not receive anything in the
    /// meantime, so that silence says nothing about the worker.
    pub fn note_process_pause(&mut self, now: Instant) {
        self.liveness.note_pause(now);
    }

    /// Notes that a request for the worker's status was not answered.
    pub fn note_probe_failure(&mut self) {
        self.liveness.note_probe_failure();
    }

    /// How long nothing has been received from the worker, or nothing has reached it.
    #[inline]
    pub fn silent_for(&self, now: Instant) -> Duration {
        self.liveness.silent_for(now)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/worker.rs"]
pub(crate) mod tests;

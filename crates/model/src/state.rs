//! The state of the modelled system: records, controllers, workers, and messages in transit.

/// The largest numbers of controllers, workers and attempts in any size.
pub const MAX_CONTROLLERS: usize = 3;
pub const MAX_WORKERS: usize = 2;
pub const MAX_ATTEMPTS: usize = 2;
/// The largest numbers of transactions in transit and, for each worker, of commands in transit.
pub const MAX_TRANSACTIONS: usize = 2;
pub const MAX_COMMANDS: usize = 2;
/// An age that stands for "never" or "long ago".
pub const LONG_AGO: u8 = 200;

/// A fencing token: the epoch of the map and the owner's counter. Counters, sessions and the
/// sequence numbers of reports are kept as ranks, since only their order matters (see `canonical`).
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token {
    pub epoch: u8,
    pub count: u8,
}

impl Token {
    pub fn first(epoch: u8) -> Self {
        Self { epoch, count: 0 }
    }

    pub fn next(self) -> Self {
        Self { count: self.count + 1, ..self }
    }
}

/// The record of the one job, which has one task.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Job {
    pub revision: u8,
    pub cancelled: bool,
    /// The worker and the attempt.
    pub placement: Option<(u8, u8)>,
    /// Whether the task is to be stopped on that worker.
    pub evict: bool,
    pub next_attempt: u8,
}

impl Job {
    /// Whether a placed task is to run.
    pub fn should_run(&self) -> bool {
        !self.cancelled && !self.evict
    }
}

/// The records, as stored by the state service or as read into a controller's mirror.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Records {
    pub revision: u8,
    pub epoch: u8,
    /// The incarnation of each controller in the map.
    pub incarnations: [u8; MAX_CONTROLLERS],
    /// The controller that owns each worker.
    pub owner: [u8; MAX_WORKERS],
    pub job: Job,
}

/// The state of an attempt on a worker.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Task {
    #[default]
    Absent,
    Running,
    Exited,
}

/// What the owning controller knows of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct OwnedWorker {
    /// The epoch of the newest map that the controller has adopted.
    pub epoch: u8,
    /// The epoch since which the controller has owned the worker.
    pub owned_epoch: u8,
    /// The worker's session; 0 if no report has arrived yet.
    pub session: u8,
    /// The sequence number of the newest report of the session.
    pub sequence_number: u8,
    /// The highest token that a report has shown.
    pub shown_token: Token,
    /// The owner's current token.
    pub token: Token,
    /// The token that the worker must have shown before a task's absence proves its end.
    pub proof_token: Token,
    /// The token and the age of the unanswered command.
    pub in_flight: Option<(Token, u8)>,
    /// Whether an answer since the last unsolicited report carried a launch.
    pub launch_offered: bool,
    /// Ticks since a report was last answered, which renews the lease.
    pub renewal_age: u8,
    /// Ticks since a report last arrived.
    pub report_age: u8,
    /// Whether exits in the reports count (see `Mechanism::TrustedReport`).
    pub trusted: bool,
    pub tasks: [Task; MAX_ATTEMPTS],
    /// The attempts that were running or exited in any report.
    pub ever_reported: [bool; MAX_ATTEMPTS],
    /// The epoch in which each attempt's end was proven; 0 for none.
    pub ended: [u8; MAX_ATTEMPTS],
}

/// A peer's answer to a request for its read index.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct PeerAnswer {
    /// Ticks since the request was sent.
    pub age: u8,
    pub incarnation: u8,
    pub has_read: bool,
    pub epoch: u8,
    /// The job's record, if the job is cancelled and the record newer than the asker's mirror.
    pub cancelled: Option<Job>,
    pub complete: bool,
    /// The peer's last read of the records is at least `OUTAGE_AFTER_TICKS` old.
    pub in_outage: bool,
}

/// What a controller knows of a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Peer {
    /// Ticks since the request was sent whose answer last counted.
    pub confirmation_age: u8,
    /// Ticks since the newest request was sent (kept only while answers are not matched to requests).
    pub request_age: u8,
    /// The newest incarnation of the peer that is known.
    pub incarnation: u8,
    /// What `incarnation` was at the last read of the records.
    pub incarnation_at_read: u8,
    pub answer: Option<PeerAnswer>,
}

/// A controller's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Controller {
    pub incarnation: u8,
    /// Whether it has read the records since its start.
    pub has_read: bool,
    /// Whether it has read them and is not rereading all of them.
    pub ready: bool,
    pub mirror: Records,
    /// Ticks since the newest completed read of the records was sent.
    pub last_read_age: u8,
    pub peers: [Peer; MAX_CONTROLLERS],
    pub owned: [Option<OwnedWorker>; MAX_WORKERS],
    pub pending_read: Option<PendingRead>,
}

/// A read of the records whose answer is in transit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct PendingRead {
    /// Ticks since the read was sent, which returns the records of that moment.
    pub age: u8,
    pub records: Records,
    /// Whether all records are reread, rather than only the changes.
    pub full: bool,
    /// The peers' incarnations that were known when the read was sent.
    pub incarnations: [u8; MAX_CONTROLLERS],
}

/// The answer to a report, in transit to the worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ReportAnswer {
    /// Ticks since the report was sent.
    pub age: u8,
    pub session: u8,
    pub token: Token,
    pub launch: Option<u8>,
    pub stop: Option<u8>,
}

/// A request sent to a worker's address, which may arrive late.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Command {
    pub from: u8,
    pub token: Token,
    pub session: u8,
    pub launch: Option<u8>,
    pub stop: Option<u8>,
}

/// A worker's report of its tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Report {
    pub session: u8,
    /// The number of the report within the session.
    pub sequence_number: u8,
    pub token: Token,
    pub tasks: [Task; MAX_ATTEMPTS],
}

/// A worker's process, with the messages in transit to and from it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Worker {
    pub session: u8,
    /// The sequence number of the last report.
    pub sequence_number: u8,
    /// The highest token that the worker has seen.
    pub token: Token,
    /// Ticks since the last answered report was sent, or the session began.
    pub lease_age: u8,
    pub tasks: [Task; MAX_ATTEMPTS],
    pub answer: Option<ReportAnswer>,
    pub commands: [Option<Command>; MAX_COMMANDS],
    /// A copy of an earlier report that may still arrive.
    pub late_report: Option<Report>,
}

impl Worker {
    pub fn is_running(&self) -> bool {
        self.tasks.contains(&Task::Running)
    }

    pub fn report(&mut self) -> Report {
        self.sequence_number += 1;
        Report {
            session: self.session,
            sequence_number: self.sequence_number,
            token: self.token,
            tasks: self.tasks,
        }
    }
}

/// A change of the job's record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Change {
    Cancel,
    Evict,
    /// The worker.
    Place(u8),
    /// The worker and the attempt that is over.
    End(u8, u8),
}

/// A transaction in transit to the state service, or its answer in transit back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Transaction {
    pub from: u8,
    pub incarnation: u8,
    pub change: Change,
    /// The map's epoch as a condition; none for a user's change.
    pub epoch: Option<u8>,
    /// The revision of the job's record as a condition.
    pub job_revision: u8,
    /// The committed record, once this is the answer.
    pub committed: Option<Job>,
}

/// How many faults and changes of each kind have happened, each limited by the size.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct EventCounts {
    pub maps: u8,
    pub restarts: u8,
    pub late_reports: u8,
    pub cancels: u8,
    pub evictions: u8,
    pub exits: u8,
    pub slow_reads: u8,
    pub rereads: u8,
}

/// The state of the whole system.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    pub records: Records,
    pub controllers: [Controller; MAX_CONTROLLERS],
    pub workers: [Worker; MAX_WORKERS],
    pub transactions: [Option<Transaction>; MAX_TRANSACTIONS],
    /// Ticks since the cancellation was confirmed to a user.
    pub cancel_ack_age: Option<u8>,
    pub counts: EventCounts,
}

/// A property that must hold in every state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Invariant {
    /// At most one attempt of the task runs at a time.
    RunsAtMostOnce,
    /// A cancelled task stops within the limit after the cancellation was confirmed.
    CancelledTaskStops,
    /// A confirmed cancellation is on record.
    CancellationIsFinal,
}

impl State {
    /// The invariant that this state violates. `cancel_limit` is how long a task may still run after
    /// its cancellation was confirmed.
    pub fn violation(&self, cancel_limit: u8) -> Option<Invariant> {
        let running = self.workers.iter().filter(|worker| worker.is_running()).count();
        if running > 1 {
            return Some(Invariant::RunsAtMostOnce);
        }
        let ack_age = self.cancel_ack_age?;
        if running > 0 && ack_age > cancel_limit {
            return Some(Invariant::CancelledTaskStops);
        }
        (!self.records.job.cancelled).then_some(Invariant::CancellationIsFinal)
    }
}

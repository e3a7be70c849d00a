//! What there is at one moment: records, controllers, workers, and all that is on its way.

/// Most controllers, workers and attempts of a size.
pub const CONTROLLERS: usize = 3;
pub const WORKERS: usize = 2;
pub const ATTEMPTS: usize = 2;
/// Most transactions and, for each worker, commands on their way at one time.
pub const TRANSACTIONS: usize = 2;
pub const COMMANDS: usize = 2;
/// An age that counts as "never" or "long ago".
pub const LONG: u8 = 200;

/// A token: the map's epoch and the owner's counter. Counters, sessions and the order
/// of reports are kept as ranks, since only their order matters (see `order`).
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
    pub place: Option<(u8, u8)>,
    /// It is to be stopped there.
    pub evict: bool,
    pub next_attempt: u8,
}

impl Job {
    /// Whether an assignment is to run.
    pub fn wants(&self) -> bool {
        !self.cancelled && !self.evict
    }
}

/// The records, as the state service has them or a mirror.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Records {
    pub revision: u8,
    pub epoch: u8,
    /// The incarnations that the map names.
    pub live: [u8; CONTROLLERS],
    pub owner: [u8; WORKERS],
    pub job: Job,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Task {
    #[default]
    Absent,
    Running,
    Exited,
}

/// What an owner knows of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Owned {
    pub epoch: u8,
    pub owned_epoch: u8,
    /// 0: nothing was heard yet.
    pub session: u8,
    pub seq: u8,
    pub seen: Token,
    pub token: Token,
    pub proof: Token,
    /// The unanswered request, and for how long.
    pub in_flight: Option<(Token, u8)>,
    pub offered: bool,
    pub renewed: u8,
    pub heard: u8,
    pub trusted: bool,
    pub tasks: [Task; ATTEMPTS],
    pub present: [bool; ATTEMPTS],
    /// The epoch in which an end was proven, 0 for none.
    pub ended: [u8; ATTEMPTS],
}

/// What a peer answered to the request for its read index.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Word {
    /// Since it was asked.
    pub age: u8,
    pub incarnation: u8,
    pub read: bool,
    pub epoch: u8,
    /// The job's record, if it is cancelled and newer than what the asker had read.
    pub cancelled: Option<Job>,
    pub complete: bool,
    /// It has no state service either, by its own clock.
    pub silent: bool,
}

/// What a controller knows of a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Peer {
    /// Since the request was sent whose answer counted.
    pub confirmed: u8,
    /// Since the newest request (kept only where answers are not matched).
    pub asked: u8,
    pub heard: u8,
    /// What `heard` was at the last fresh reading.
    pub heard_before: u8,
    pub answer: Option<Word>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Controller {
    pub incarnation: u8,
    /// It has read the records since it started; it is not reading them anew.
    pub read: bool,
    pub ready: bool,
    pub mirror: Records,
    /// Since its last fresh reading was sent.
    pub fresh: u8,
    pub peers: [Peer; CONTROLLERS],
    pub owned: [Option<Owned>; WORKERS],
    pub reading: Option<Reading>,
}

/// A reading of the records on its way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Reading {
    /// Since it was sent, when it saw the records.
    pub age: u8,
    pub records: Records,
    /// It reads everything anew, rather than what changed.
    pub anew: bool,
    /// The peers' incarnations that were known when it was sent.
    pub heard: [u8; CONTROLLERS],
}

/// The answer to a report, on its way to the worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Answer {
    /// Since the report was sent.
    pub age: u8,
    pub session: u8,
    pub token: Token,
    pub launch: Option<u8>,
    pub stop: Option<u8>,
}

/// A request to a worker's address, which may arrive late.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Command {
    pub from: u8,
    pub token: Token,
    pub session: u8,
    pub launch: Option<u8>,
    pub stop: Option<u8>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Report {
    pub session: u8,
    pub seq: u8,
    pub token: Token,
    pub tasks: [Task; ATTEMPTS],
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Machine {
    pub session: u8,
    pub seq: u8,
    pub token: Token,
    /// Since the last answered report was sent, or the session began.
    pub lease: u8,
    pub tasks: [Task; ATTEMPTS],
    pub answer: Option<Answer>,
    pub commands: [Option<Command>; COMMANDS],
    /// A copy of a report that will arrive late.
    pub late: Option<Report>,
}

impl Machine {
    pub fn runs(&self) -> bool {
        self.tasks.contains(&Task::Running)
    }

    pub fn report(&mut self) -> Report {
        self.seq += 1;
        Report { session: self.session, seq: self.seq, token: self.token, tasks: self.tasks }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Change {
    Cancel,
    Evict,
    Place(u8),
    /// The end of the assignment (worker, attempt).
    End(u8, u8),
}

/// A transaction on its way to the state service, or its answer on the way back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Transaction {
    pub from: u8,
    pub incarnation: u8,
    pub change: Change,
    /// The conditions: the map's epoch (none for a user's change), the job's revision.
    pub epoch: Option<u8>,
    pub job_revision: u8,
    /// What was committed.
    pub committed: Option<Job>,
}

/// How many troubles and changes there were of each kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct Used {
    pub maps: u8,
    pub restarts: u8,
    pub late_reports: u8,
    pub cancels: u8,
    pub evictions: u8,
    pub exits: u8,
    pub slow_readings: u8,
    pub rereadings: u8,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    pub records: Records,
    pub controllers: [Controller; CONTROLLERS],
    pub machines: [Machine; WORKERS],
    pub transactions: [Option<Transaction>; TRANSACTIONS],
    /// Since a user was told that the job is cancelled.
    pub told: Option<u8>,
    pub used: Used,
}

/// A rule that must hold in every state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Rule {
    RanTwice,
    RanCancelled,
    WentBack,
}

impl State {
    /// The rule that is broken here. `cancel` is how long a task may be on a machine
    /// after its user was told.
    pub fn broken(&self, cancel: u8) -> Option<Rule> {
        let running = self.machines.iter().filter(|m| m.runs()).count();
        if running > 1 {
            return Some(Rule::RanTwice);
        }
        let told = self.told?;
        if running > 0 && told > cancel {
            return Some(Rule::RanCancelled);
        }
        (!self.records.job.cancelled).then_some(Rule::WentBack)
    }
}

//! The sizes of the modelled system, and its initial states.

use crate::state::*;

/// An initial state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Start {
    /// The task runs on the first worker, which the first controller owns.
    Running,
    /// By its record, the task is placed on the first worker; it is not launched yet.
    Placed,
    /// The task failed on the first worker, which the owner knows. The worker's lease has expired since.
    Failed,
    /// The task failed on the first worker in an earlier session, and a delayed copy of a report about
    /// it is in transit. The owner knows only that the task is placed on this worker.
    LateReport,
}

/// The size of the modelled system. Times are in ticks; the other numbers are maxima.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    pub name: &'static str,
    pub controllers: usize,
    pub workers: usize,
    /// The length of a worker's lease.
    pub lease: u8,
    /// How much longer a slow clock may make the lease.
    pub clock_drift: u8,
    /// How long a controller answers reports after its records were last confirmed. `None` is without
    /// limit, for sizes that only check that a task runs at most once, which the bound does not affect.
    pub renewal_bound: Option<u8>,
    /// How long a controller waits for the answer to a command.
    pub command_timeout: u8,
    /// How long a worker waits for the answer to a report.
    pub answer_timeout: u8,
    /// How long a task may still run after its cancellation was confirmed to a user.
    pub cancel_limit: u8,
    pub starts: &'static [Start],
    pub maps: u8,
    pub restarts: u8,
    pub late_reports: u8,
    pub cancels: u8,
    pub evictions: u8,
    pub attempts: u8,
    /// Tasks that exit without having been stopped.
    pub exits: u8,
    /// Reads of the records whose answers take time.
    pub slow_reads: u8,
    /// Rereads of all records.
    pub rereads: u8,
    /// Commands in transit to a worker at a time.
    pub commands: usize,
    /// Pairs of controllers, the first of which asks the second for its read index.
    pub read_index_pairs: &'static [(usize, usize)],
    /// How many of the workers, counted from the first, may change owners.
    pub movable_workers: usize,
    /// Whether peers' answers may be incomplete.
    pub partial_answers: bool,
}

/// The renewal bound with two controllers and one worker, and a peer that restarts and so forgets what
/// it has confirmed.
pub const RENEWAL: Size = Size {
    name: "renewal",
    controllers: 2,
    workers: 1,
    lease: 2,
    clock_drift: 1,
    renewal_bound: Some(2),
    command_timeout: 1,
    answer_timeout: 1,
    cancel_limit: 4,
    starts: &[Start::Running],
    maps: 0,
    restarts: 2,
    late_reports: 0,
    cancels: 1,
    evictions: 0,
    attempts: 1,
    exits: 0,
    slow_reads: 0,
    rereads: 0,
    commands: 0,
    read_index_pairs: &[(0, 1)],
    movable_workers: 0,
    partial_answers: true,
};

/// A size with the shortest possible times: one tick for the lease and one for its slack, and answers
/// within the tick.
pub const fn with_shortest_times(size: Size) -> Size {
    Size { lease: 1, renewal_bound: Some(1), command_timeout: 0, answer_timeout: 0, cancel_limit: 1, ..size }
}

/// Reads whose answers take time, and a peer that restarts.
pub const READING: Size =
    Size { name: "reading", slow_reads: 1, restarts: 1, partial_answers: false, ..RENEWAL };

/// Reads whose answers take time while a new map is written, so that a late answer brings a change.
pub const READING_LATE: Size = with_shortest_times(Size {
    name: "reading-late",
    slow_reads: 1,
    restarts: 0,
    maps: 1,
    partial_answers: false,
    ..RENEWAL
});

/// Rereads of all records, as needed when the state service no longer has the changes.
pub const READING_ANEW: Size =
    Size { name: "reading-anew", rereads: 1, restarts: 0, partial_answers: false, ..RENEWAL };

/// Three controllers, two of which learn of cancellations from other ones.
pub const LEARNING: Size = Size {
    name: "learning",
    controllers: 3,
    restarts: 0,
    read_index_pairs: &[(0, 1), (0, 2), (1, 2)],
    partial_answers: false,
    ..RENEWAL
};

/// Three controllers, where a peer that the owner asks restarts.
pub const FORGETTING: Size = with_shortest_times(Size {
    name: "forgetting",
    controllers: 3,
    restarts: 1,
    read_index_pairs: &[(0, 1), (0, 2)],
    ..RENEWAL
});

/// Commands to the worker, which may arrive late, while the job is cancelled.
pub const COMMANDS_LATE: Size = Size {
    name: "commands",
    starts: &[Start::Placed],
    restarts: 0,
    commands: 1,
    read_index_pairs: &[],
    ..RENEWAL
};

/// A cancellation while the worker changes owners.
pub const HANDOVER: Size =
    Size { name: "handover", maps: 1, restarts: 0, read_index_pairs: &[], movable_workers: 1, ..RENEWAL };

/// A cancellation while the worker changes owners, where each of two controllers asks the other.
pub const HANDOVER_ASKING: Size =
    with_shortest_times(Size { name: "handover-asking", read_index_pairs: &[(0, 1), (1, 0)], ..HANDOVER });

/// One owner, and a task that moves from one worker to another.
pub const MOVING: Size = Size {
    name: "moving",
    controllers: 1,
    workers: 2,
    lease: 1,
    command_timeout: 0,
    answer_timeout: 0,
    renewal_bound: None,
    starts: &[Start::Placed],
    restarts: 0,
    cancels: 0,
    evictions: 1,
    attempts: 2,
    commands: 2,
    read_index_pairs: &[],
    partial_answers: false,
    ..RENEWAL
};

/// Two controllers, where the first of two workers may change owners.
pub const OWNERS: Size =
    Size { name: "owners", controllers: 2, maps: 1, movable_workers: 1, evictions: 0, commands: 1, ..MOVING };

/// A task that failed, and a delayed copy of a report about it.
pub const LATE_REPORT: Size =
    Size { name: "late-report", starts: &[Start::LateReport], late_reports: 1, clock_drift: 0, ..OWNERS };

/// A task that failed, and a first owner that may own the worker again two maps later.
pub const OWNERS_AGAIN: Size =
    Size { name: "owners-again", starts: &[Start::Failed], maps: 2, clock_drift: 0, ..OWNERS };

pub const ALL_SIZES: [Size; 13] = [
    RENEWAL,
    READING,
    READING_LATE,
    READING_ANEW,
    LEARNING,
    FORGETTING,
    COMMANDS_LATE,
    HANDOVER,
    HANDOVER_ASKING,
    MOVING,
    OWNERS,
    LATE_REPORT,
    OWNERS_AGAIN,
];

impl Size {
    pub fn by_name(name: &str) -> Option<Self> {
        ALL_SIZES.into_iter().find(|size| size.name == name)
    }

    /// Whether the ends of assignments are recorded. Without a further attempt they have no effect.
    pub fn records_ends(&self) -> bool {
        self.attempts > 1
    }

    pub fn initial_states(&self) -> Vec<State> {
        self.starts.iter().map(|start| self.initial_state(*start)).collect()
    }

    fn initial_state(&self, start: Start) -> State {
        let placement = Some((0, 0));
        let job = Job { revision: 1, cancelled: false, placement, evict: false, next_attempt: 1 };
        let records = Records {
            revision: 1,
            epoch: 1,
            incarnations: [1; MAX_CONTROLLERS],
            owner: [0; MAX_WORKERS],
            job,
        };
        let peer = Peer {
            confirmation_age: LONG_AGO,
            request_age: LONG_AGO,
            incarnation: 1,
            incarnation_at_read: 1,
            answer: None,
        };
        let mut controller = Controller {
            incarnation: 1,
            has_read: true,
            ready: true,
            mirror: records,
            last_read_age: 0,
            peers: [peer; MAX_CONTROLLERS],
            owned: [None; MAX_WORKERS],
            pending_read: None,
        };
        let mut worker = Worker {
            session: 1,
            sequence_number: 1,
            token: Token::first(1),
            lease_age: 0,
            tasks: [Task::Absent; MAX_ATTEMPTS],
            answer: None,
            commands: [None; MAX_COMMANDS],
            late_report: None,
        };
        let mut workers = [worker; MAX_WORKERS];
        if start == Start::Running {
            worker.tasks[0] = Task::Running;
            workers[0] = worker;
        }
        let mut known_tasks = workers.map(|worker| worker.tasks);
        if start == Start::Failed {
            known_tasks[0][0] = Task::Exited;
            (workers[0].session, workers[0].sequence_number) = (2, 2);
        }
        if start == Start::LateReport {
            let tasks = [Task::Exited, Task::Absent];
            workers[0].late_report =
                Some(Report { session: 1, sequence_number: 1, token: Token::first(1), tasks });
            (workers[0].session, workers[0].sequence_number) = (2, 2);
        }
        let non_owner = controller;
        for (worker_id, tasks) in known_tasks.into_iter().enumerate().take(self.workers) {
            controller.owned[worker_id] = Some(OwnedWorker {
                session: if start == Start::Failed { 1 } else { workers[worker_id].session },
                sequence_number: if start == Start::Failed { 1 } else { workers[worker_id].sequence_number },
                shown_token: Token::first(1),
                renewal_age: 0,
                report_age: 0,
                trusted: true,
                tasks,
                ever_reported: [tasks[0] != Task::Absent, false],
                ..OwnedWorker::new(1)
            });
        }
        State {
            records,
            controllers: [controller, non_owner, non_owner],
            workers,
            transactions: [None; MAX_TRANSACTIONS],
            cancel_ack_age: None,
            counts: EventCounts {
                late_reports: u8::from(start == Start::LateReport),
                ..EventCounts::default()
            },
        }
    }
}

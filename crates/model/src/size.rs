//! How large a world is explored, and from where.

use crate::state::*;

/// What the world begins with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Start {
    /// The task runs on the first worker, which the first controller owns.
    Running,
    /// It is recorded there and not launched yet.
    Placed,
    /// It is not placed yet.
    Waiting,
}

/// The size of a world. Times are in ticks, the rest are the most there are of each.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    pub name: &'static str,
    pub controllers: usize,
    pub workers: usize,
    /// How long a worker's lease is, and by how much its slow clock may lengthen it.
    pub lease: u8,
    pub drift: u8,
    /// How long an owner answers reports after what it knows was fresh. `None`: always
    /// (where only starting twice is looked at, which the bound has no part in).
    pub bound: Option<u8>,
    /// How long a command is waited for, and a report's answer.
    pub request: u8,
    pub response: u8,
    /// How long a task may be on a machine after its cancellation was told.
    pub cancel: u8,
    pub starts: &'static [Start],
    pub maps: u8,
    pub restarts: u8,
    pub late_reports: u8,
    pub cancels: u8,
    pub evictions: u8,
    pub attempts: u8,
    /// Tasks that exit by themselves.
    pub exits: u8,
    /// Readings that take time, and readings of everything anew.
    pub slow_readings: u8,
    pub rereadings: u8,
    /// How many commands sent straight to a worker are on their way at once.
    pub commands: usize,
    /// Which controller asks which for its read index.
    pub asks: &'static [(usize, usize)],
    /// How many of the workers, from the first on, may change owners.
    pub moving: usize,
    /// Whether answers may lack a part.
    pub partial: bool,
}

/// The renewal bound among two controllers and one worker, with a peer that forgets.
pub const RENEWAL: Size = Size {
    name: "renewal",
    controllers: 2,
    workers: 1,
    lease: 2,
    drift: 1,
    bound: Some(2),
    request: 1,
    response: 1,
    cancel: 4,
    starts: &[Start::Running],
    maps: 0,
    restarts: 2,
    late_reports: 0,
    cancels: 1,
    evictions: 0,
    attempts: 1,
    exits: 0,
    slow_readings: 0,
    rereadings: 0,
    commands: 0,
    asks: &[(0, 1)],
    moving: 0,
    partial: true,
};

/// The same with the shortest times: one tick for the lease and one for its slack, and
/// answers within the tick.
pub const fn quick(size: Size) -> Size {
    Size { lease: 1, bound: Some(1), request: 0, response: 0, cancel: 1, ..size }
}

/// Readings whose answers take time, beside a peer that forgets.
pub const READING: Size = Size { name: "reading", slow_readings: 1, restarts: 1, partial: false, ..RENEWAL };

/// The same beside a new map, so that a late answer is news.
pub const READING_LATE: Size =
    quick(Size { name: "reading-late", slow_readings: 1, restarts: 0, maps: 1, partial: false, ..RENEWAL });

/// Readings of all records anew, where the state service no longer has the changes.
pub const READING_ANEW: Size =
    Size { name: "reading-anew", rereadings: 1, restarts: 0, partial: false, ..RENEWAL };

/// Three controllers, two of which learn of cancellations from others.
pub const LEARNING: Size = Size {
    name: "learning",
    controllers: 3,
    restarts: 0,
    asks: &[(0, 1), (0, 2), (1, 2)],
    partial: false,
    ..RENEWAL
};

/// Three controllers, where one that the owner asks forgets.
pub const FORGETTING: Size =
    quick(Size { name: "forgetting", controllers: 3, restarts: 1, asks: &[(0, 1), (0, 2)], ..RENEWAL });

/// Commands straight to the worker, which may be late, while the job is cancelled.
pub const COMMANDS_LATE: Size =
    Size { name: "commands", starts: &[Start::Placed], restarts: 0, commands: 1, asks: &[], ..RENEWAL };

/// A cancellation while the owner changes.
pub const HANDOVER: Size = Size { name: "handover", maps: 1, restarts: 0, asks: &[], moving: 1, ..RENEWAL };

/// The same where each of two controllers asks the other.
pub const HANDOVER_ASKING: Size =
    quick(Size { name: "handover-asking", asks: &[(0, 1), (1, 0)], ..HANDOVER });

/// One owner, two workers and one task that is moved from one to the other.
pub const MOVING: Size = Size {
    name: "moving",
    controllers: 1,
    workers: 2,
    lease: 1,
    request: 0,
    response: 0,
    bound: None,
    starts: &[Start::Placed],
    restarts: 0,
    cancels: 0,
    evictions: 1,
    attempts: 2,
    commands: 2,
    asks: &[],
    partial: false,
    ..RENEWAL
};

/// A second owner, to whom the first of two workers may go.
pub const OWNERS: Size =
    Size { name: "owners", controllers: 2, maps: 1, moving: 1, evictions: 0, commands: 1, ..MOVING };

/// A task that fails, and a late copy of a report that tells of it.
pub const LATE_REPORT: Size = Size { name: "late-report", late_reports: 1, exits: 1, ..OWNERS };

/// The same where the first owner may have the machine again two maps later.
pub const OWNERS_AGAIN: Size = Size { name: "owners-again", maps: 2, exits: 1, ..OWNERS };

pub const ALL: [Size; 13] = [
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
    pub fn named(name: &str) -> Option<Self> {
        ALL.into_iter().find(|s| s.name == name)
    }

    /// Whether the ends of assignments are written: without a further attempt nothing
    /// follows from them.
    pub fn ends(&self) -> bool {
        self.attempts > 1
    }

    /// The states that the world begins with.
    pub fn starts(&self) -> Vec<State> {
        self.starts.iter().map(|s| self.start(*s)).collect()
    }

    fn start(&self, start: Start) -> State {
        let place = (start != Start::Waiting).then_some((0, 0));
        let job = Job {
            revision: 1,
            cancelled: false,
            place,
            evict: false,
            next_attempt: u8::from(place.is_some()),
        };
        let records = Records { revision: 1, epoch: 1, live: [1; CONTROLLERS], owner: [0; WORKERS], job };
        let peer = Peer { confirmed: LONG, asked: LONG, heard: 1, heard_before: 1, answer: None };
        let mut controller = Controller {
            incarnation: 1,
            read: true,
            ready: true,
            mirror: records,
            fresh: 0,
            peers: [peer; CONTROLLERS],
            owned: [None; WORKERS],
            reading: None,
        };
        let mut machine = Machine {
            session: 1,
            seq: 1,
            token: Token::first(1),
            lease: 0,
            tasks: [Task::Absent; ATTEMPTS],
            answer: None,
            commands: [None; COMMANDS],
            late: None,
        };
        let mut machines = [machine; WORKERS];
        if start == Start::Running {
            machine.tasks[0] = Task::Running;
            machines[0] = machine;
        }
        let other = controller;
        for (w, m) in machines.iter().enumerate().take(self.workers) {
            controller.owned[w] = Some(Owned {
                session: 1,
                seq: 1,
                seen: Token::first(1),
                renewed: 0,
                heard: 0,
                trusted: true,
                tasks: m.tasks,
                present: [m.runs(), false],
                ..Owned::new(1)
            });
        }
        State {
            records,
            controllers: [controller, other, other],
            machines,
            transactions: [None; TRANSACTIONS],
            told: None,
            used: Used::default(),
        }
    }
}

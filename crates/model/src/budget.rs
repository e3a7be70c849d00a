//! The disruption budget: a drain and the rescheduler, of which each may have been replaced
//! without knowing it (it then goes on by an old view, beside its successor), and a team of two services, one of two replicas, whose budget is one. A small world of its own: what may be on which machine
//! at a time is the other model's concern.
//!
//! A stop is a transaction that marks a replica and enters it into the team's record. It is
//! decided by records and reports that may be old, may be carried out at any later time, and
//! is conditional on the versions that it was decided by. An entry goes by a transaction, too,
//! once its stopper sees the replacement run. The drain goes by what is seen running, the
//! rescheduler by the records alone.

use std::fmt;
use std::hash::{Hash, Hasher};

use clap::ValueEnum;

use crate::explore::Model;

/// Replicas of the team, and the service of each.
const REPLICAS: usize = 3;
const SERVICE: [usize; REPLICAS] = [0, 0, 1];
const SERVICES: usize = 2;
/// Stoppers, and transactions on their way at one time.
const STOPPERS: usize = 2;
/// The drain among the stoppers; the other is the rescheduler.
const DRAIN: usize = 0;
const TRANSACTIONS: usize = 2;

/// What holds the budget, each of which can be taken away.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, ValueEnum)]
pub enum Mechanism {
    /// A stop, and the end of an entry, are conditional on the team's record.
    TeamCondition,
    /// A stop is conditional on the record of what it stops.
    JobCondition,
    /// What the team's record names counts as down.
    OpenEntries,
    /// An entry goes only once the replacement is seen running, not once it has a place.
    SeenRunning,
    /// Only a replica that is seen running counts as up.
    FailuresCount,
}

/// How much of everything there is.
#[derive(Debug, Clone, Copy)]
pub struct Budget {
    pub without: Option<Mechanism>,
    /// Most attempts of a replica, and replicas that fail.
    pub attempts: u8,
    pub failures: u8,
}

impl Budget {
    /// The size that is explored in full.
    pub const fn whole(without: Option<Mechanism>) -> Self {
        Self { without, attempts: 2, failures: 1 }
    }

    fn has(&self, mechanism: Mechanism) -> bool {
        self.without != Some(mechanism)
    }
}

/// A replica in its service's record.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Replica {
    attempt: u8,
    /// It has a place; it is to go on there.
    placed: bool,
    wanted: bool,
}

/// The team's record: the attempts that are down by choice.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Team {
    version: u8,
    open: [Option<u8>; REPLICAS],
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Records {
    replicas: [Replica; REPLICAS],
    /// The versions of the services' records.
    services: [u8; SERVICES],
    team: Team,
}

/// What a stopper goes by: the records and the reports of one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct View {
    records: Records,
    running: [bool; REPLICAS],
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Change {
    /// By the drain, or by the rescheduler.
    Stop(u8, bool),
    Settle(u8),
}

/// A transaction on its way, with the versions that it was decided by.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Transaction {
    change: Change,
    view: View,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    records: Records,
    /// In truth.
    running: [bool; REPLICAS],
    /// The attempt that was stopped by choice and has not been replaced by a running one.
    down_by_choice: [Option<u8>; REPLICAS],
    views: [Option<View>; STOPPERS],
    transactions: [Option<Transaction>; TRANSACTIONS],
    failures: u8,
    /// A drain stopped a replica while another of its service was down already.
    on_top: bool,
}

/// What can happen.
#[derive(Debug, Clone, Copy)]
pub enum Step {
    Read(usize),
    Stop(usize, usize),
    Settle(usize, usize),
    CarriedOut(usize),
    Lost(usize),
    Exits(usize),
    Placed(usize),
    Runs(usize),
    Fails(usize),
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Step::Read(s) => write!(f, "stopper {s} reads the records and hears what runs"),
            Step::Stop(s, r) => write!(f, "stopper {s} asks to stop replica {r}"),
            Step::Settle(s, r) => write!(f, "stopper {s} asks to take off the entry of replica {r}"),
            Step::CarriedOut(t) => write!(f, "transaction {t} is carried out, if it still may be"),
            Step::Lost(t) => write!(f, "transaction {t} is lost"),
            Step::Exits(r) => write!(f, "replica {r} has exited"),
            Step::Placed(r) => write!(f, "replica {r} has a place again"),
            Step::Runs(r) => write!(f, "replica {r} runs"),
            Step::Fails(r) => write!(f, "replica {r} fails"),
        }
    }
}

/// What must hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rule {
    /// No more than the budget is down by choice.
    Budget,
    /// Nothing is stopped on top of what has failed of the same service.
    OnTop,
}

impl Budget {
    fn stops(&self, view: &View, replica: usize, by_drain: bool) -> bool {
        let r = view.records.replicas[replica];
        let is_down = |other: usize| {
            let o = view.records.replicas[other];
            let by_records = !by_drain || !self.has(Mechanism::FailuresCount);
            let up = o.placed && o.wanted && (view.running[other] || by_records);
            !up || self.has(Mechanism::OpenEntries) && view.records.team.open[other].is_some()
        };
        r.placed && r.wanted && (0..REPLICAS).filter(|o| *o != replica).all(|o| !is_down(o))
    }

    fn settles(&self, view: &View, replica: usize) -> bool {
        let r = view.records.replicas[replica];
        let replaced = |stopped: u8| r.placed && r.attempt > stopped;
        let seen = view.running[replica] || !self.has(Mechanism::SeenRunning);
        view.records.team.open[replica].is_some_and(replaced) && seen
    }

    fn may_be_carried_out(&self, state: &State, t: &Transaction) -> bool {
        let team = state.records.team.version == t.view.records.team.version;
        let job = match t.change {
            Change::Stop(r, _) => {
                let service = SERVICE[usize::from(r)];
                state.records.services[service] == t.view.records.services[service]
            }
            Change::Settle(_) => true,
        };
        (team || !self.has(Mechanism::TeamCondition)) && (job || !self.has(Mechanism::JobCondition))
    }

    fn carry_out(&self, state: &mut State, t: &Transaction) {
        if !self.may_be_carried_out(state, t) {
            return;
        }
        // What is written is made of the view that it was decided by.
        let mut open = t.view.records.team.open;
        match t.change {
            Change::Stop(r, by_drain) => {
                let r = usize::from(r);
                let of_service = (0..REPLICAS).filter(|o| SERVICE[*o] == SERVICE[r]);
                let others_down = of_service.clone().any(|o| o != r && !state.running[o]);
                state.on_top |= by_drain && others_down;
                let attempt = t.view.records.replicas[r].attempt;
                of_service.for_each(|o| state.records.replicas[o] = t.view.records.replicas[o]);
                state.records.replicas[r].wanted = false;
                state.records.services[SERVICE[r]] += 1;
                open[r] = Some(attempt);
                state.down_by_choice[r] = Some(attempt);
            }
            Change::Settle(r) => open[usize::from(r)] = None,
        }
        let version = state.records.team.version + 1;
        state.records.team = Team { version, open };
    }

    fn exit(&self, state: &mut State, r: usize) {
        let record = &mut state.records.replicas[r];
        record.placed = false;
        record.attempt += 1;
        state.records.services[SERVICE[r]] += 1;
        state.running[r] = false;
    }

    fn send(state: &State, view: View, change: Change) -> Option<State> {
        let free = state.transactions.iter().position(Option::is_none)?;
        let mut next = state.clone();
        next.transactions[free] = Some(Transaction { change, view });
        Some(next)
    }

    fn of_stopper(&self, state: &State, s: usize, out: &mut Vec<(Step, State)>) {
        let now = View { records: state.records, running: state.running };
        if state.views[s] != Some(now) {
            let mut next = state.clone();
            next.views[s] = Some(now);
            out.push((Step::Read(s), next));
        }
        let Some(view) = state.views[s] else { return };
        for r in 0..REPLICAS {
            let n = r as u8;
            let by_drain = s == DRAIN;
            if self.stops(&view, r, by_drain) {
                let change = Change::Stop(n, by_drain);
                out.extend(Self::send(state, view, change).map(|next| (Step::Stop(s, r), next)));
            }
            if self.settles(&view, r) {
                out.extend(Self::send(state, view, Change::Settle(n)).map(|next| (Step::Settle(s, r), next)));
            }
        }
    }

    fn of_replica(&self, state: &State, r: usize, out: &mut Vec<(Step, State)>) {
        let record = state.records.replicas[r];
        let step = |change: &dyn Fn(&mut State)| {
            let mut next = state.clone();
            change(&mut next);
            next
        };
        if record.placed && !record.wanted {
            out.push((Step::Exits(r), step(&|next| self.exit(next, r))));
        }
        if !record.placed && record.attempt < self.attempts {
            let place = |next: &mut State| {
                let record = &mut next.records.replicas[r];
                (record.placed, record.wanted) = (true, true);
                next.records.services[SERVICE[r]] += 1;
            };
            out.push((Step::Placed(r), step(&place)));
        }
        if record.placed && record.wanted && !state.running[r] {
            let run = |next: &mut State| {
                next.running[r] = true;
                if next.down_by_choice[r].is_some_and(|stopped| record.attempt > stopped) {
                    next.down_by_choice[r] = None;
                }
            };
            out.push((Step::Runs(r), step(&run)));
        }
        if state.running[r] && state.failures < self.failures {
            let fail = |next: &mut State| {
                self.exit(next, r);
                next.failures += 1;
            };
            out.push((Step::Fails(r), step(&fail)));
        }
    }
}

/// Brings states that differ in nothing that matters to the same form: versions are compared
/// for equality only, and so become ranks; transactions are sorted.
fn canonical(state: &mut State) {
    rank(state, |records| &mut records.team.version);
    for service in 0..SERVICES {
        rank(state, |records| &mut records.services[service]);
    }
    state.transactions.sort();
}

fn rank(state: &mut State, version: impl Fn(&mut Records) -> &mut u8) {
    let State { records, views, transactions, .. } = state;
    let of_views = views.iter_mut().flatten().map(|v| &mut v.records);
    let of_transactions = transactions.iter_mut().flatten().map(|t| &mut t.view.records);
    let mut all: Vec<&mut u8> =
        std::iter::once(records).chain(of_views).chain(of_transactions).map(&version).collect();
    let mut known: Vec<u8> = all.iter().map(|v| **v).collect();
    known.sort_unstable();
    known.dedup();
    for v in &mut all {
        **v = known.partition_point(|k| *k < **v) as u8;
    }
}

impl Model for Budget {
    type State = State;
    type Step = Step;
    type Rule = Rule;

    fn starts(&self) -> Vec<State> {
        let replica = Replica { attempt: 0, placed: true, wanted: true };
        let (replicas, services) = ([replica; REPLICAS], [0; SERVICES]);
        let records = Records { replicas, services, team: Team::default() };
        vec![State {
            records,
            running: [true; REPLICAS],
            down_by_choice: [None; REPLICAS],
            views: [None; STOPPERS],
            transactions: [None; TRANSACTIONS],
            failures: 0,
            on_top: false,
        }]
    }

    fn next(&self, state: &State) -> Vec<(Step, State)> {
        let mut out = Vec::new();
        (0..STOPPERS).for_each(|s| self.of_stopper(state, s, &mut out));
        (0..REPLICAS).for_each(|r| self.of_replica(state, r, &mut out));
        for (i, transaction) in state.transactions.iter().enumerate() {
            let Some(transaction) = transaction else { continue };
            let mut next = state.clone();
            next.transactions[i] = None;
            let mut carried_out = next.clone();
            self.carry_out(&mut carried_out, transaction);
            out.push((Step::Lost(i), next));
            out.push((Step::CarriedOut(i), carried_out));
        }
        out.iter_mut().for_each(|(_, next)| canonical(next));
        out
    }

    fn broken(&self, state: &State) -> Option<Rule> {
        if state.down_by_choice.iter().flatten().count() > 1 {
            return Some(Rule::Budget);
        }
        state.on_top.then_some(Rule::OnTop)
    }

    fn hash(&self, state: &State, hasher: &mut impl Hasher) {
        state.hash(hasher);
    }
}

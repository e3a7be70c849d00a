//! A model of the disruption budget, separate from that of the protocol, which covers where tasks
//! may run at a time.
//!
//! There are two stoppers, a drain and the rescheduler. Either may have been replaced without
//! knowing it, and then continues with an outdated view beside its successor. The team has two
//! services, one of them with two replicas, and a budget of one.
//!
//! A stop is a transaction that marks a replica and adds an entry to the team's record. It is decided
//! by records and reports that may be outdated, may be applied at any later time, and is conditional
//! on the versions that it was decided by. An entry is removed by another transaction, once a stopper
//! sees the replacement run. The drain considers which replicas are seen running, the rescheduler
//! only the records.

use std::fmt;
use std::hash::{Hash, Hasher};

use clap::ValueEnum;

use crate::explore::Model;

/// The number of replicas of the team's services.
const REPLICAS: usize = 3;
/// The service that each replica belongs to.
const SERVICE_OF: [usize; REPLICAS] = [0, 0, 1];
const SERVICES: usize = 2;
const STOPPERS: usize = 2;
/// The index of the drain; the other stopper is the rescheduler.
const DRAIN: usize = 0;
/// The largest number of transactions in transit at a time.
const MAX_TRANSACTIONS: usize = 2;

/// A mechanism that keeps the invariants of the budget. Each can be removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, ValueEnum)]
pub enum Mechanism {
    /// A stop, and the removal of an entry, are conditional on the version of the team's record.
    TeamCondition,
    /// A stop is conditional on the version of the service's record.
    JobCondition,
    /// A replica with an entry in the team's record counts as down.
    OpenEntries,
    /// An entry is removed only once the replacement is seen running, not once it is placed.
    SeenRunning,
    /// For the drain, a replica counts as up only if it is seen running.
    #[value(name = "failures-count")]
    FailuresCountAsDown,
}

/// The model: the removed mechanism, and the limits.
#[derive(Debug, Clone, Copy)]
pub struct BudgetModel {
    pub removed: Option<Mechanism>,
    /// The largest number of attempts of each replica.
    pub attempts: u8,
    /// The largest number of failures.
    pub failures: u8,
}

impl BudgetModel {
    /// The limits of the full exploration.
    pub const fn full(removed: Option<Mechanism>) -> Self {
        Self { removed, attempts: 2, failures: 1 }
    }

    fn has(&self, mechanism: Mechanism) -> bool {
        self.removed != Some(mechanism)
    }
}

/// A replica, as its service's record has it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Replica {
    attempt: u8,
    placed: bool,
    /// Not marked as to be stopped.
    wanted: bool,
}

/// The team's record, with an entry for each attempt that was stopped on purpose.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Team {
    version: u8,
    open_entries: [Option<u8>; REPLICAS],
}

/// The records in the state service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Records {
    replicas: [Replica; REPLICAS],
    /// The versions of the services' records.
    services: [u8; SERVICES],
    team: Team,
}

/// What a stopper knows: the records and the reports of one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct View {
    records: Records,
    running: [bool; REPLICAS],
}

/// The change that a transaction makes, with the index of the replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Change {
    /// The flag is true for a stop by the drain, false for one by the rescheduler.
    Stop(u8, bool),
    RemoveEntry(u8),
}

/// A transaction in transit, with the view that it was decided by.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Transaction {
    change: Change,
    view: View,
}

/// The state of the whole system.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    records: Records,
    /// The replicas that really run.
    running: [bool; REPLICAS],
    /// The attempts that were stopped on purpose and that no running attempt has replaced yet.
    down_on_purpose: [Option<u8>; REPLICAS],
    views: [Option<View>; STOPPERS],
    transactions: [Option<Transaction>; MAX_TRANSACTIONS],
    failures: u8,
    /// Whether the drain has stopped a replica while another one of its service was down.
    drain_stop_while_sibling_down: bool,
}

/// A step. Stoppers, replicas and transactions are numbered from 0.
#[derive(Debug, Clone, Copy)]
pub enum Step {
    RecordsRead(usize),
    StopRequested(usize, usize),
    EntryRemovalRequested(usize, usize),
    TransactionApplied(usize),
    TransactionLost(usize),
    ReplicaExited(usize),
    ReplicaPlaced(usize),
    ReplicaStarted(usize),
    ReplicaFailed(usize),
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Step::RecordsRead(s) => {
                write!(f, "stopper {s} reads the records and the reports of running replicas")
            }
            Step::StopRequested(s, r) => write!(f, "stopper {s} sends a transaction that stops replica {r}"),
            Step::EntryRemovalRequested(s, r) => {
                write!(f, "stopper {s} sends a transaction that removes the entry of replica {r}")
            }
            Step::TransactionApplied(t) => {
                write!(f, "transaction {t} is applied if its conditions still hold")
            }
            Step::TransactionLost(t) => write!(f, "transaction {t} is lost"),
            Step::ReplicaExited(r) => write!(f, "replica {r} has exited"),
            Step::ReplicaPlaced(r) => write!(f, "replica {r} is placed again"),
            Step::ReplicaStarted(r) => write!(f, "replica {r} starts running"),
            Step::ReplicaFailed(r) => write!(f, "replica {r} fails"),
        }
    }
}

/// A property that must hold in every state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Invariant {
    /// No more replicas are down on purpose than the budget allows.
    WithinBudget,
    /// The drain stops no replica while another one of the same service is down.
    NoDrainStopWhileSiblingDown,
}

impl BudgetModel {
    fn may_stop(&self, view: &View, replica: usize, by_drain: bool) -> bool {
        let record = view.records.replicas[replica];
        let is_down = |other: usize| {
            let other_record = view.records.replicas[other];
            let placed_suffices = !by_drain || !self.has(Mechanism::FailuresCountAsDown);
            let is_up =
                other_record.placed && other_record.wanted && (view.running[other] || placed_suffices);
            !is_up || self.has(Mechanism::OpenEntries) && view.records.team.open_entries[other].is_some()
        };
        record.placed
            && record.wanted
            && (0..REPLICAS).filter(|other| *other != replica).all(|other| !is_down(other))
    }

    fn may_remove_entry(&self, view: &View, replica: usize) -> bool {
        let record = view.records.replicas[replica];
        let is_replaced = |stopped: u8| record.placed && record.attempt > stopped;
        let seen_running = view.running[replica] || !self.has(Mechanism::SeenRunning);
        view.records.team.open_entries[replica].is_some_and(is_replaced) && seen_running
    }

    fn conditions_hold(&self, state: &State, transaction: &Transaction) -> bool {
        let team_unchanged = state.records.team.version == transaction.view.records.team.version;
        let job_unchanged = match transaction.change {
            Change::Stop(replica, _) => {
                let service = SERVICE_OF[usize::from(replica)];
                state.records.services[service] == transaction.view.records.services[service]
            }
            Change::RemoveEntry(_) => true,
        };
        (team_unchanged || !self.has(Mechanism::TeamCondition))
            && (job_unchanged || !self.has(Mechanism::JobCondition))
    }

    fn apply(&self, state: &mut State, transaction: &Transaction) {
        if !self.conditions_hold(state, transaction) {
            return;
        }
        // The written records derive from the view that the transaction was decided by.
        let mut open_entries = transaction.view.records.team.open_entries;
        match transaction.change {
            Change::Stop(replica, by_drain) => {
                let replica = usize::from(replica);
                let in_service = (0..REPLICAS).filter(|other| SERVICE_OF[*other] == SERVICE_OF[replica]);
                let others_down = in_service.clone().any(|other| other != replica && !state.running[other]);
                state.drain_stop_while_sibling_down |= by_drain && others_down;
                let attempt = transaction.view.records.replicas[replica].attempt;
                in_service.for_each(|other| {
                    state.records.replicas[other] = transaction.view.records.replicas[other]
                });
                state.records.replicas[replica].wanted = false;
                state.records.services[SERVICE_OF[replica]] += 1;
                open_entries[replica] = Some(attempt);
                state.down_on_purpose[replica] = Some(attempt);
            }
            Change::RemoveEntry(replica) => open_entries[usize::from(replica)] = None,
        }
        let version = state.records.team.version + 1;
        state.records.team = Team { version, open_entries };
    }

    fn exit(&self, state: &mut State, replica: usize) {
        let record = &mut state.records.replicas[replica];
        record.placed = false;
        record.attempt += 1;
        state.records.services[SERVICE_OF[replica]] += 1;
        state.running[replica] = false;
    }

    /// The state with one more transaction in transit, if a slot is free.
    fn send(state: &State, view: View, change: Change) -> Option<State> {
        let free_slot = state.transactions.iter().position(Option::is_none)?;
        let mut next = state.clone();
        next.transactions[free_slot] = Some(Transaction { change, view });
        Some(next)
    }

    fn stopper_steps(&self, state: &State, stopper: usize, successors: &mut Vec<(Step, State)>) {
        let current = View { records: state.records, running: state.running };
        if state.views[stopper] != Some(current) {
            let mut next = state.clone();
            next.views[stopper] = Some(current);
            successors.push((Step::RecordsRead(stopper), next));
        }
        let Some(view) = state.views[stopper] else { return };
        for replica in 0..REPLICAS {
            let replica_number = replica as u8;
            let by_drain = stopper == DRAIN;
            if self.may_stop(&view, replica, by_drain) {
                let change = Change::Stop(replica_number, by_drain);
                successors.extend(
                    Self::send(state, view, change).map(|next| (Step::StopRequested(stopper, replica), next)),
                );
            }
            if self.may_remove_entry(&view, replica) {
                successors.extend(
                    Self::send(state, view, Change::RemoveEntry(replica_number))
                        .map(|next| (Step::EntryRemovalRequested(stopper, replica), next)),
                );
            }
        }
    }

    fn replica_steps(&self, state: &State, replica: usize, successors: &mut Vec<(Step, State)>) {
        let record = state.records.replicas[replica];
        let changed = |change: &dyn Fn(&mut State)| {
            let mut next = state.clone();
            change(&mut next);
            next
        };
        if record.placed && !record.wanted {
            successors.push((Step::ReplicaExited(replica), changed(&|next| self.exit(next, replica))));
        }
        if !record.placed && record.attempt < self.attempts {
            let place = |next: &mut State| {
                let record = &mut next.records.replicas[replica];
                (record.placed, record.wanted) = (true, true);
                next.records.services[SERVICE_OF[replica]] += 1;
            };
            successors.push((Step::ReplicaPlaced(replica), changed(&place)));
        }
        if record.placed && record.wanted && !state.running[replica] {
            let run = |next: &mut State| {
                next.running[replica] = true;
                if next.down_on_purpose[replica].is_some_and(|stopped| record.attempt > stopped) {
                    next.down_on_purpose[replica] = None;
                }
            };
            successors.push((Step::ReplicaStarted(replica), changed(&run)));
        }
        if state.running[replica] && state.failures < self.failures {
            let fail = |next: &mut State| {
                self.exit(next, replica);
                next.failures += 1;
            };
            successors.push((Step::ReplicaFailed(replica), changed(&fail)));
        }
    }
}

/// Replaces a state by the representative of its equivalent states: versions are compared for
/// equality only and become ranks, and transactions are sorted.
fn canonicalize(state: &mut State) {
    rank(state, |records| &mut records.team.version);
    for service in 0..SERVICES {
        rank(state, |records| &mut records.services[service]);
    }
    state.transactions.sort();
}

/// Replaces a record's version by its rank among all copies of that record in the state.
fn rank(state: &mut State, version: impl Fn(&mut Records) -> &mut u8) {
    let State { records, views, transactions, .. } = state;
    let in_views = views.iter_mut().flatten().map(|view| &mut view.records);
    let in_transactions = transactions.iter_mut().flatten().map(|transaction| &mut transaction.view.records);
    let mut all: Vec<&mut u8> =
        std::iter::once(records).chain(in_views).chain(in_transactions).map(&version).collect();
    let mut known: Vec<u8> = all.iter().map(|number| **number).collect();
    known.sort_unstable();
    known.dedup();
    for number in &mut all {
        **number = known.partition_point(|k| *k < **number) as u8;
    }
}

impl Model for BudgetModel {
    type State = State;
    type Step = Step;
    type Invariant = Invariant;

    fn initial_states(&self) -> Vec<State> {
        let replica = Replica { attempt: 0, placed: true, wanted: true };
        let (replicas, services) = ([replica; REPLICAS], [0; SERVICES]);
        let records = Records { replicas, services, team: Team::default() };
        vec![State {
            records,
            running: [true; REPLICAS],
            down_on_purpose: [None; REPLICAS],
            views: [None; STOPPERS],
            transactions: [None; MAX_TRANSACTIONS],
            failures: 0,
            drain_stop_while_sibling_down: false,
        }]
    }

    fn successors(&self, state: &State) -> Vec<(Step, State)> {
        let mut successors = Vec::new();
        (0..STOPPERS).for_each(|stopper| self.stopper_steps(state, stopper, &mut successors));
        (0..REPLICAS).for_each(|replica| self.replica_steps(state, replica, &mut successors));
        for (slot, transaction) in state.transactions.iter().enumerate() {
            let Some(transaction) = transaction else { continue };
            let mut next = state.clone();
            next.transactions[slot] = None;
            let mut applied = next.clone();
            self.apply(&mut applied, transaction);
            successors.push((Step::TransactionLost(slot), next));
            successors.push((Step::TransactionApplied(slot), applied));
        }
        successors.iter_mut().for_each(|(_, next)| canonicalize(next));
        successors
    }

    fn violation(&self, state: &State) -> Option<Invariant> {
        if state.down_on_purpose.iter().flatten().count() > 1 {
            return Some(Invariant::WithinBudget);
        }
        state.drain_stop_while_sibling_down.then_some(Invariant::NoDrainStopWhileSiblingDown)
    }

    fn hash(&self, state: &State, hasher: &mut impl Hasher) {
        state.hash(hasher);
    }
}

//! The possible steps of the modelled system.
//!
//! No step has to happen except for what the passing of time causes: the end of a lease, the loss
//! of an answer that is too late, the time-out of a command. The model therefore covers errors of the
//! state service towards one or all controllers, network partitions between any two processes, and
//! hung processes: whoever is affected takes no step, or its messages are lost. Only the first worker
//! is subject to these faults. The second one, if there is one, is another place to start the task
//! on, and receives whatever is sent to it.

use std::fmt;
use std::hash::{Hash, Hasher};

use crate::canonical::canonicalize;
use crate::controller::Orders;
use crate::explore::Model;
use crate::mechanism::{Mechanism, Mechanisms};
use crate::size::Size;
use crate::state::*;

/// A step. Controllers and workers are numbered from 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    Tick,
    /// The worker's lease ends by its own clock, which is not the slowest possible one.
    LeaseExpired(usize),
    /// The task exits without having been stopped.
    TaskFailed(usize),
    RecordsRead(usize),
    /// Whether all records are reread.
    ReadStarted(usize, bool),
    ReadFinished(usize),
    ControllerRestarted(usize),
    /// The owners of the workers in the new map.
    MapWritten([u8; MAX_WORKERS]),
    TransactionSent(usize, Change),
    TransactionApplied(Transaction),
    TransactionConfirmed(Transaction),
    TransactionLost(Transaction),
    /// A user asks, and the controller confirms the cancellation from its mirror.
    CancellationConfirmed(usize),
    /// The controller, and the peer whose new incarnation it learns of.
    IncarnationLearned(usize, usize),
    /// The controller, the peer, and whether the answer is complete.
    ReadIndexRequested(usize, usize, bool),
    ReadIndexReceived(usize, usize),
    /// The worker, the controller, and the answer to the worker's report.
    ReportAnswered(usize, usize, Option<ReportAnswer>),
    ReportAnswerReceived(usize),
    ReportDelayed(usize),
    LateReportReceived(usize, usize),
    StatusRequested(usize, usize),
    CommandSent(usize, usize, Orders),
    /// The worker, the command, and whether the worker's answer arrives.
    CommandExecuted(usize, Command, bool),
    CommandLost(usize, Command),
    CommandTimedOut(usize, usize),
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match *self {
            Step::Tick => write!(f, "a tick passes"),
            Step::LeaseExpired(w) => write!(f, "worker {w}: its lease has expired; it kills all tasks"),
            Step::TaskFailed(w) => write!(f, "worker {w}: its task exits on its own"),
            Step::RecordsRead(c) => write!(f, "controller {c} reads the state service"),
            Step::ReadStarted(c, false) => {
                write!(f, "controller {c} sends a read, which returns the current records")
            }
            Step::ReadStarted(c, true) => write!(f, "controller {c} starts to reread all records"),
            Step::ReadFinished(c) => write!(f, "controller {c} receives the answer to its read"),
            Step::ControllerRestarted(c) => write!(f, "controller {c} restarts"),
            Step::MapWritten(owners) => write!(f, "a new map is written; owners of the workers: {owners:?}"),
            Step::TransactionSent(c, change) => write!(f, "controller {c} sends a transaction: {change:?}"),
            Step::TransactionApplied(t) => {
                write!(f, "the state service applies or rejects controller {}'s {:?}", t.from, t.change)
            }
            Step::TransactionConfirmed(t) => {
                write!(f, "controller {} learns that its {:?} is committed", t.from, t.change)
            }
            Step::TransactionLost(t) => {
                write!(f, "controller {}'s {:?}, or its answer, is lost", t.from, t.change)
            }
            Step::CancellationConfirmed(c) => {
                write!(f, "controller {c} confirms the cancellation to a user, from its mirror")
            }
            Step::IncarnationLearned(c, p) => {
                write!(f, "controller {c} learns of controller {p}'s current incarnation")
            }
            Step::ReadIndexRequested(c, p, true) => {
                write!(f, "controller {c} asks controller {p} for its read index")
            }
            Step::ReadIndexRequested(c, p, false) => {
                write!(f, "controller {c} asks controller {p} for its read index; the answer is incomplete")
            }
            Step::ReadIndexReceived(c, p) => write!(f, "controller {c} receives controller {p}'s read index"),
            Step::ReportAnswered(w, c, Some(a)) => {
                write!(
                    f,
                    "worker {w} reports to controller {c}; the answer: token {}.{}",
                    a.token.epoch, a.token.count
                )?;
                a.stop.map_or(Ok(()), |a| write!(f, ", stop attempt {a}"))?;
                a.launch.map_or(Ok(()), |a| write!(f, ", launch attempt {a}"))
            }
            Step::ReportAnswered(w, c, None) => {
                write!(f, "worker {w} reports to controller {c}; not answered")
            }
            Step::ReportAnswerReceived(w) => write!(f, "worker {w} receives the answer to its report"),
            Step::ReportDelayed(w) => {
                write!(f, "worker {w} sends a report, and a copy of it is delayed in transit")
            }
            Step::LateReportReceived(w, c) => {
                write!(f, "controller {c} receives the delayed copy of worker {w}'s report")
            }
            Step::StatusRequested(c, w) => write!(f, "controller {c} asks worker {w} for its status"),
            Step::CommandSent(c, w, o) => write!(f, "controller {c} sends worker {w} commands: {o:?}"),
            Step::CommandExecuted(w, c, answered) => {
                write!(f, "worker {w} receives controller {}'s commands", c.from)?;
                write!(f, ", {}", if answered { "and its answer arrives" } else { "its answer is lost" })
            }
            Step::CommandLost(w, c) => write!(f, "controller {}'s commands to worker {w} are lost", c.from),
            Step::CommandTimedOut(c, w) => {
                write!(f, "controller {c} stops waiting for worker {w}'s answer")
            }
        }
    }
}

/// The modelled system: its size, and the mechanisms in effect.
#[derive(Debug, Clone, Copy)]
pub struct ProtocolModel {
    pub size: Size,
    pub mechanisms: Mechanisms,
}

type Successors = Vec<(Step, State)>;

impl ProtocolModel {
    pub fn initial_states(&self) -> Vec<State> {
        let mut initial_states = self.size.initial_states();
        initial_states.iter_mut().for_each(|state| canonicalize(state, &self.size, self.mechanisms));
        initial_states
    }

    /// All possible steps from a state, with the resulting states. Steps that change nothing are omitted.
    pub fn successors(&self, state: &State) -> Successors {
        let mut successors = Vec::with_capacity(32);
        if self.is_settled(state) {
            return successors;
        }
        self.tick_step(state, &mut successors);
        for controller_id in 0..self.size.controllers {
            self.record_steps(state, controller_id, &mut successors);
            self.peer_steps(state, controller_id, &mut successors);
            for worker_id in 0..self.size.workers {
                self.report_and_command_steps(state, controller_id, worker_id, &mut successors);
            }
        }
        self.transaction_steps(state, &mut successors);
        for worker_id in 0..self.size.workers {
            self.worker_steps(state, worker_id, &mut successors);
        }
        for (_, next) in &mut successors {
            canonicalize(next, &self.size, self.mechanisms);
        }
        successors.retain(|(_, next)| next != state);
        successors
    }

    /// Whether no task can run any more. Such a state is not explored further.
    fn is_settled(&self, state: &State) -> bool {
        let (size, owner) = (&self.size, &state.controllers[0]);
        let may_run = |worker: &Worker| {
            worker.is_running()
                || worker.answer.is_some_and(|answer| answer.launch.is_some())
                || worker.commands.iter().flatten().any(|command| command.launch.is_some())
        };
        let launched = || owner.owned[0].is_none_or(|owned| owned.ever_reported[0]);
        size.maps == 0
            && size.attempts == 1
            && !may_run(&state.workers[0])
            && (owner.mirror.job.cancelled || launched())
    }

    fn tick_step(&self, state: &State, successors: &mut Successors) {
        let size = &self.size;
        let mut next = state.clone();
        let increment = |age: &mut u8| *age = age.saturating_add(1).min(LONG_AGO);
        for controller in next.controllers.iter_mut().take(size.controllers) {
            increment(&mut controller.last_read_age);
            controller.pending_read.iter_mut().for_each(|read| increment(&mut read.age));
            for peer in &mut controller.peers {
                increment(&mut peer.confirmation_age);
                increment(&mut peer.request_age);
                peer.answer.iter_mut().for_each(|answer| increment(&mut answer.age));
            }
            for owned in controller.owned.iter_mut().take(1).flatten() {
                increment(&mut owned.renewal_age);
                increment(&mut owned.report_age);
                if let Some((token, age)) = owned.in_flight {
                    if age + 1 > size.command_timeout {
                        owned.finish_request(token, false);
                    } else {
                        owned.in_flight = Some((token, age + 1));
                    }
                }
            }
        }
        for worker in next.workers.iter_mut().take(1) {
            worker.lease_age += 1;
            if worker.lease_age >= size.lease + size.clock_drift {
                worker.expire_lease();
            }
            worker.answer.iter_mut().for_each(|answer| answer.age += 1);
            worker.answer = worker.answer.filter(|answer| answer.age <= size.answer_timeout);
        }
        next.cancel_ack_age.iter_mut().for_each(increment);
        successors.push((Step::Tick, next));
    }

    /// Reads, restarts, new maps, and the transactions that a controller sends.
    fn record_steps(&self, state: &State, controller_id: usize, successors: &mut Successors) {
        let (size, mechanisms) = (&self.size, self.mechanisms);
        let controller = &state.controllers[controller_id];
        let mut add_step = |step: Step, change: &mut dyn FnMut(&mut State)| {
            let mut next = state.clone();
            change(&mut next);
            successors.push((step, next));
        };
        if controller.ready || !controller.has_read {
            add_step(Step::RecordsRead(controller_id), &mut |next| {
                next.controllers[controller_id].read_records(controller_id, &state.records, size, mechanisms)
            });
        }
        if controller.pending_read.is_none() {
            if controller.ready && state.counts.slow_reads < size.slow_reads {
                add_step(Step::ReadStarted(controller_id, false), &mut |next| {
                    next.counts.slow_reads += 1;
                    next.controllers[controller_id].begin_read(&state.records, false);
                });
            }
            if state.counts.rereads < size.rereads {
                add_step(Step::ReadStarted(controller_id, true), &mut |next| {
                    next.counts.rereads += 1;
                    next.controllers[controller_id].begin_read(&state.records, true);
                });
            }
        } else {
            add_step(Step::ReadFinished(controller_id), &mut |next| {
                next.controllers[controller_id].finish_read(controller_id, size, mechanisms)
            });
        }
        if state.counts.restarts < size.restarts && (controller_id > 0 || size.maps > 0) {
            add_step(Step::ControllerRestarted(controller_id), &mut |next| {
                next.counts.restarts += 1;
                next.controllers[controller_id] = controller.restarted();
            });
        }
        if controller_id == 0 && state.counts.maps < size.maps {
            for combination in 0..size.controllers.pow(size.movable_workers as u32) {
                let mut owners = [0; MAX_WORKERS];
                for (worker_id, owner) in owners.iter_mut().enumerate().take(size.movable_workers) {
                    *owner = (combination / size.controllers.pow(worker_id as u32) % size.controllers) as u8;
                }
                add_step(Step::MapWritten(owners), &mut |next| {
                    next.counts.maps += 1;
                    next.records.revision += 1;
                    next.records.epoch += 1;
                    next.records.owner = owners;
                    next.records.incarnations =
                        next.controllers.each_ref().map(|controller| controller.incarnation);
                });
            }
        }
        if controller.mirror.job.cancelled && state.cancel_ack_age.is_none() {
            add_step(Step::CancellationConfirmed(controller_id), &mut |next| next.cancel_ack_age = Some(0));
        }
        for change in self.possible_changes(state, controller_id) {
            let transaction = Transaction {
                from: controller_id as u8,
                incarnation: controller.incarnation,
                change,
                epoch: (change != Change::Cancel && mechanisms.has(Mechanism::EpochFence))
                    .then_some(controller.mirror.epoch),
                job_revision: controller.mirror.job.revision,
                committed: None,
            };
            if state.transactions.contains(&Some(transaction)) {
                continue;
            }
            let Some(free_slot) = state.transactions.iter().position(Option::is_none) else { continue };
            add_step(Step::TransactionSent(controller_id, change), &mut |next| {
                next.transactions[free_slot] = Some(transaction);
                let controller = &mut next.controllers[controller_id];
                match change {
                    Change::Cancel => {
                        next.counts.cancels += 1;
                        if !mechanisms.has(Mechanism::ConfirmCommitted) {
                            next.cancel_ack_age = Some(0);
                        }
                    }
                    Change::Evict => next.counts.evictions += 1,
                    Change::Place(worker_id) if !mechanisms.has(Mechanism::CommitBeforeLaunch) => {
                        controller.mirror.job = with_placement(controller.mirror.job, worker_id);
                    }
                    Change::Place(_) => {}
                    Change::End(worker_id, attempt) => {
                        if let Some(owned) = &mut controller.owned[worker_id as usize] {
                            owned.ended[attempt as usize] = owned.epoch;
                        }
                    }
                }
            });
        }
    }

    /// The changes that a controller may send, by its mirror.
    fn possible_changes(&self, state: &State, controller_id: usize) -> Vec<Change> {
        let (size, controller) = (&self.size, &state.controllers[controller_id]);
        let job = &controller.mirror.job;
        let mut changes = Vec::new();
        if controller.has_read && !job.cancelled && state.counts.cancels < size.cancels {
            changes.push(Change::Cancel);
        }
        if !controller.is_in_map(controller_id) {
            return changes;
        }
        match job.placement {
            None if !job.cancelled && job.next_attempt < size.attempts => {
                changes.extend((0..size.workers as u8).map(Change::Place));
            }
            None => {}
            Some((worker_id, attempt)) => {
                if job.should_run() && state.counts.evictions < size.evictions {
                    changes.push(Change::Evict);
                }
                let owned = controller.owned[worker_id as usize]
                    .as_ref()
                    .filter(|_| controller.owns(controller_id, worker_id as usize));
                if size.records_ends()
                    && owned.is_some_and(|owned| owned.proves_end(job, attempt, size, self.mechanisms))
                {
                    changes.push(Change::End(worker_id, attempt));
                }
            }
        }
        changes
    }

    fn transaction_steps(&self, state: &State, successors: &mut Successors) {
        for (slot, transaction) in state.transactions.iter().enumerate() {
            let Some(transaction) = *transaction else { continue };
            let mut next = state.clone();
            next.transactions[slot] = None;
            if !state.transactions.contains(&None) {
                // While a slot is free, a transaction that stays in transit forever is as good as lost.
                successors.push((Step::TransactionLost(transaction), next.clone()));
            }
            if let Some(job) = transaction.committed {
                let controller = &mut next.controllers[transaction.from as usize];
                if controller.incarnation == transaction.incarnation {
                    controller.apply_job(job);
                    next.cancel_ack_age.get_or_insert(0);
                    successors.push((Step::TransactionConfirmed(transaction), next));
                }
                continue;
            }
            let records = &mut next.records;
            let conditions_hold = records.job.revision == transaction.job_revision
                && transaction.epoch.is_none_or(|epoch| epoch == records.epoch);
            if conditions_hold {
                records.revision += 1;
                records.job = with_change(records.job, transaction.change);
                records.job.revision = records.revision;
                // Only the answer to a cancellation is modelled: that to any other change tells the
                // controller no more than its next read.
                if transaction.change == Change::Cancel {
                    next.transactions[slot] =
                        Some(Transaction { committed: Some(records.job), ..transaction });
                }
            }
            successors.push((Step::TransactionApplied(transaction), next));
        }
    }

    fn peer_steps(&self, state: &State, controller_id: usize, successors: &mut Successors) {
        let (size, mechanisms) = (&self.size, self.mechanisms);
        let controller = &state.controllers[controller_id];
        for peer_id in (0..size.controllers).filter(|peer_id| *peer_id != controller_id) {
            let other_controller = &state.controllers[peer_id];
            if size.restarts > 0
                && size.read_index_pairs.contains(&(controller_id, peer_id))
                && controller.peers[peer_id].incarnation != other_controller.incarnation
            {
                let mut next = state.clone();
                next.controllers[controller_id].peers[peer_id].incarnation = other_controller.incarnation;
                successors.push((Step::IncarnationLearned(controller_id, peer_id), next));
            }
            if size.read_index_pairs.contains(&(controller_id, peer_id)) && controller.ready {
                let completeness = if size.partial_answers { &[true, false][..] } else { &[true][..] };
                for &complete in completeness {
                    let answer =
                        other_controller.read_index(controller.mirror.revision, complete, mechanisms);
                    if !complete && !other_controller.mirror.job.cancelled {
                        continue;
                    }
                    let mut next = state.clone();
                    let peer = &mut next.controllers[controller_id].peers[peer_id];
                    peer.request_age = 0;
                    // If answers are not matched to requests, an earlier one may arrive instead.
                    if mechanisms.has(Mechanism::Nonce) || peer.answer.is_none() {
                        peer.answer = Some(answer);
                    }
                    successors.push((Step::ReadIndexRequested(controller_id, peer_id, complete), next));
                }
            }
            if controller.peers[peer_id].answer.is_some() {
                let mut next = state.clone();
                next.controllers[controller_id].receive_peer_answer(peer_id, mechanisms);
                successors.push((Step::ReadIndexReceived(controller_id, peer_id), next));
            }
        }
    }

    /// The steps between a controller and a worker.
    fn report_and_command_steps(
        &self,
        state: &State,
        controller_id: usize,
        worker_id: usize,
        successors: &mut Successors,
    ) {
        let (size, mechanisms) = (&self.size, self.mechanisms);
        let controller = &state.controllers[controller_id];
        let reliable = worker_id > 0;
        let mut next = state.clone();
        let report = next.workers[worker_id].report();
        let answer = next.controllers[controller_id].receive_report(
            controller_id,
            worker_id,
            &report,
            size,
            mechanisms,
        );
        next.workers[worker_id].answer = answer;
        if answer.is_some() && !reliable {
            successors.push((Step::ReportAnswered(worker_id, controller_id, answer), next));
        }
        if let Some(late_report) = state.workers[worker_id].late_report {
            let mut next = state.clone();
            next.workers[worker_id].late_report = None;
            next.controllers[controller_id].receive_report(
                controller_id,
                worker_id,
                &late_report,
                size,
                mechanisms,
            );
            successors.push((Step::LateReportReceived(worker_id, controller_id), next));
        }
        let Some(owned) = controller.owned[worker_id].filter(|_| controller.owns(controller_id, worker_id))
        else {
            return;
        };
        if owned.in_flight.is_some() && !reliable {
            let mut next = state.clone();
            if let Some(next_owned) = next.controllers[controller_id].owned[worker_id].as_mut()
                && let Some((token, _)) = next_owned.in_flight
            {
                next_owned.finish_request(token, false);
            }
            successors.push((Step::CommandTimedOut(controller_id, worker_id), next));
        }
        if owned.session == 0 {
            let mut next = state.clone();
            let report = next.workers[worker_id].report();
            if let Some(next_owned) = next.controllers[controller_id].owned[worker_id].as_mut() {
                next_owned.ingest_report(&report, false, mechanisms);
            }
            successors.push((Step::StatusRequested(controller_id, worker_id), next));
        }
        let mut orders = owned.orders(&controller.mirror.job, worker_id, size, mechanisms);
        if mechanisms.has(Mechanism::LaunchBound)
            && !controller.may_renew_leases(controller_id, size, mechanisms)
        {
            orders.launch = None;
        }
        let free_slot = state.workers[worker_id]
            .commands
            .iter()
            .position(Option::is_none)
            .filter(|_| state.workers[worker_id].commands.iter().flatten().count() < size.commands);
        if let Some(free_slot) = free_slot
            && orders != Orders::default()
            && owned.in_flight.is_none()
        {
            let mut next = state.clone();
            if let Some(next_owned) = next.controllers[controller_id].owned[worker_id].as_mut() {
                next_owned.token = next_owned.token.next();
                next_owned.in_flight = Some((next_owned.token, 0));
                next.workers[worker_id].commands[free_slot] = Some(Command {
                    from: controller_id as u8,
                    token: next_owned.token,
                    session: next_owned.session,
                    launch: orders.launch,
                    stop: orders.stop,
                });
                successors.push((Step::CommandSent(controller_id, worker_id, orders), next));
            }
        }
    }

    fn worker_steps(&self, state: &State, worker_id: usize, successors: &mut Successors) {
        let (size, mechanisms) = (&self.size, self.mechanisms);
        let worker = &state.workers[worker_id];
        let reliable = worker_id > 0;
        let mut add_step = |step: Step, change: &mut dyn FnMut(&mut State)| {
            let mut next = state.clone();
            change(&mut next);
            successors.push((step, next));
        };
        if worker.lease_age >= size.lease && !reliable {
            add_step(Step::LeaseExpired(worker_id), &mut |next| next.workers[worker_id].expire_lease());
        }
        if worker.answer.is_some() {
            add_step(Step::ReportAnswerReceived(worker_id), &mut |next| {
                next.workers[worker_id].receive_answer(mechanisms)
            });
        }
        if !reliable && worker.is_running() && state.counts.exits < size.exits {
            add_step(Step::TaskFailed(worker_id), &mut |next| {
                next.counts.exits += 1;
                let tasks = &mut next.workers[worker_id].tasks;
                tasks.iter_mut().filter(|task| **task == Task::Running).for_each(|task| *task = Task::Exited);
            });
        }
        if !reliable && worker.late_report.is_none() && state.counts.late_reports < size.late_reports {
            add_step(Step::ReportDelayed(worker_id), &mut |next| {
                next.counts.late_reports += 1;
                next.workers[worker_id].late_report = Some(next.workers[worker_id].report());
            });
        }
        for (slot, command) in worker.commands.iter().enumerate() {
            let Some(command) = *command else { continue };
            if !reliable && worker.commands.iter().flatten().count() >= size.commands {
                add_step(Step::CommandLost(worker_id, command), &mut |next| {
                    next.workers[worker_id].commands[slot] = None
                });
            }
            for answered in [true, false] {
                let from = command.from as usize;
                let is_awaited = state.controllers[from].owned[worker_id]
                    .is_some_and(|owned| owned.in_flight.is_some_and(|(token, _)| token == command.token));
                if answered && !is_awaited || reliable && !answered {
                    continue;
                }
                add_step(Step::CommandExecuted(worker_id, command, answered), &mut |next| {
                    next.workers[worker_id].commands[slot] = None;
                    let report = next.workers[worker_id].execute(&command, mechanisms);
                    if let Some(owned) = next.controllers[from].owned[worker_id].as_mut().filter(|_| answered)
                    {
                        owned.finish_request(command.token, true);
                        owned.ingest_report(&report, false, mechanisms);
                    }
                });
            }
        }
    }
}

fn with_placement(job: Job, worker_id: u8) -> Job {
    Job {
        placement: Some((worker_id, job.next_attempt)),
        next_attempt: job.next_attempt + 1,
        evict: false,
        ..job
    }
}

fn with_change(job: Job, change: Change) -> Job {
    match change {
        Change::Cancel => Job { cancelled: true, ..job },
        Change::Evict => Job { evict: true, ..job },
        Change::Place(worker_id) => with_placement(job, worker_id),
        Change::End(..) => Job { placement: None, evict: false, ..job },
    }
}

impl Model for ProtocolModel {
    type State = State;
    type Step = Step;
    type Invariant = Invariant;

    fn initial_states(&self) -> Vec<State> {
        self.initial_states()
    }

    fn successors(&self, state: &State) -> Vec<(Step, State)> {
        self.successors(state)
    }

    fn violation(&self, state: &State) -> Option<Invariant> {
        state.violation(self.size.cancel_limit)
    }

    /// Hashes only the controllers and workers that the size has.
    fn hash(&self, state: &State, hasher: &mut impl Hasher) {
        let size = &self.size;
        state.records.hash(hasher);
        state.controllers[..size.controllers].hash(hasher);
        state.workers[..size.workers].hash(hasher);
        state.transactions.hash(hasher);
        (state.cancel_ack_age, state.counts).hash(hasher);
    }
}

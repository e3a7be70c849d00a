//! What can happen next.
//!
//! Nothing has to happen but time's own work: a lease that is over, an answer that
//! comes too late, a command that is given up. So refusals of the state service, to one
//! or to all, cuts between any two and machines that hang are all in it: whoever they
//! hit does nothing, or what it sent is lost. Only the first worker meets all that; the
//! second, where there is one, is a place to start on that gets what it is sent.

use std::fmt;
use std::hash::{Hash, Hasher};

use crate::controller::Orders;
use crate::explore::Model;
use crate::mechanism::{Mechanism, Without};
use crate::order::canonical;
use crate::size::Size;
use crate::state::*;

/// One step. Controllers and workers are numbered from 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    Tick,
    /// A worker's lease ends by its own clock, before the slowest clock says so.
    LeaseEnds(usize),
    /// The task fails on its own.
    Fails(usize),
    Reads(usize),
    BeginsReading(usize, bool),
    FinishesReading(usize),
    Restarts(usize),
    /// A new map, with the owners of the workers.
    NewMap([u8; WORKERS]),
    Sends(usize, Change),
    Applied(Transaction),
    Answered(Transaction),
    Lost(Transaction),
    /// A user asks and is told from the mirror.
    Tells(usize),
    Hears(usize, usize),
    Asks(usize, usize, bool),
    TakesWord(usize, usize),
    /// A worker's report is answered, with what and how.
    Reports(usize, usize, Option<Answer>),
    Heeds(usize),
    Copies(usize),
    LateReport(usize, usize),
    Probes(usize, usize),
    Commands(usize, usize, Orders),
    Executes(usize, Command, bool),
    Drops(usize, Command),
    GivesUp(usize, usize),
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match *self {
            Step::Tick => write!(f, "a tick passes"),
            Step::LeaseEnds(w) => write!(f, "worker {w}: its lease is over; it kills all tasks"),
            Step::Fails(w) => write!(f, "worker {w}: its task exits on its own"),
            Step::Reads(c) => write!(f, "controller {c} reads the state service"),
            Step::BeginsReading(c, false) => write!(f, "controller {c}: a reading sees the records"),
            Step::BeginsReading(c, true) => write!(f, "controller {c} begins to read all records anew"),
            Step::FinishesReading(c) => write!(f, "controller {c}: the answer to its reading arrives"),
            Step::Restarts(c) => write!(f, "controller {c} ends and is started again"),
            Step::NewMap(owners) => write!(f, "a new map is written; owners of the workers: {owners:?}"),
            Step::Sends(c, change) => write!(f, "controller {c} sends a transaction: {change:?}"),
            Step::Applied(t) => {
                write!(f, "the state service carries out controller {}'s {:?}", t.from, t.change)
            }
            Step::Answered(t) => write!(f, "controller {} is told that {:?} is committed", t.from, t.change),
            Step::Lost(t) => write!(f, "controller {}'s {:?}, or its answer, is lost", t.from, t.change),
            Step::Tells(c) => {
                write!(f, "controller {c} tells a user from its mirror that the job is cancelled")
            }
            Step::Hears(c, p) => write!(f, "controller {c} hears of controller {p}'s present process"),
            Step::Asks(c, p, true) => write!(f, "controller {c} asks controller {p} for its read index"),
            Step::Asks(c, p, false) => {
                write!(f, "controller {c} asks controller {p}, whose answer lacks a part")
            }
            Step::TakesWord(c, p) => write!(f, "controller {c} takes in controller {p}'s answer"),
            Step::Reports(w, c, Some(a)) => {
                write!(
                    f,
                    "worker {w} reports to controller {c}; the answer: token {}.{}",
                    a.token.epoch, a.token.count
                )?;
                a.stop.map_or(Ok(()), |a| write!(f, ", stop attempt {a}"))?;
                a.launch.map_or(Ok(()), |a| write!(f, ", launch attempt {a}"))
            }
            Step::Reports(w, c, None) => write!(f, "worker {w} reports to controller {c}; not answered"),
            Step::Heeds(w) => write!(f, "worker {w}: the answer to its report arrives"),
            Step::Copies(w) => write!(f, "worker {w}: a copy of a report is held back on its way"),
            Step::LateReport(w, c) => {
                write!(f, "the late copy of worker {w}'s report reaches controller {c}")
            }
            Step::Probes(c, w) => write!(f, "controller {c} asks worker {w} for its status"),
            Step::Commands(c, w, o) => write!(f, "controller {c} sends worker {w} commands: {o:?}"),
            Step::Executes(w, c, answered) => {
                write!(f, "worker {w} gets controller {}'s commands", c.from)?;
                write!(f, ", {}", if answered { "and its answer arrives" } else { "its answer is lost" })
            }
            Step::Drops(w, c) => write!(f, "controller {}'s commands to worker {w} are lost", c.from),
            Step::GivesUp(c, w) => write!(f, "controller {c} gives up waiting for worker {w}'s answer"),
        }
    }
}

/// A world: its size, and what keeps its rules.
#[derive(Debug, Clone, Copy)]
pub struct World {
    pub size: Size,
    pub without: Without,
}

type Next = Vec<(Step, State)>;

impl World {
    pub fn starts(&self) -> Vec<State> {
        let mut starts = self.size.starts();
        starts.iter_mut().for_each(|s| canonical(s, &self.size, self.without));
        starts
    }

    /// All that can happen in a state, with what comes of it. Steps that change nothing
    /// are left out.
    pub fn next(&self, state: &State) -> Next {
        let mut next = Vec::with_capacity(32);
        if self.settled(state) {
            return next;
        }
        self.time(state, &mut next);
        for c in 0..self.size.controllers {
            self.records(state, c, &mut next);
            self.peers(state, c, &mut next);
            for w in 0..self.size.workers {
                self.owner(state, c, w, &mut next);
            }
        }
        self.transactions(state, &mut next);
        for w in 0..self.size.workers {
            self.worker(state, w, &mut next);
        }
        for (_, s) in &mut next {
            canonical(s, &self.size, self.without);
        }
        next.retain(|(_, s)| s != state);
        next
    }

    /// Whether nothing can run any more: what follows is not looked at.
    fn settled(&self, state: &State) -> bool {
        let (size, owner) = (&self.size, &state.controllers[0]);
        let on_its_way = |m: &Machine| {
            m.runs()
                || m.answer.is_some_and(|a| a.launch.is_some())
                || m.commands.iter().flatten().any(|c| c.launch.is_some())
        };
        let launched = || owner.owned[0].is_none_or(|o| o.present[0]);
        size.maps == 0
            && size.attempts == 1
            && !on_its_way(&state.machines[0])
            && (owner.mirror.job.cancelled || launched())
    }

    fn time(&self, state: &State, next: &mut Next) {
        let size = &self.size;
        let mut s = state.clone();
        let older = |age: &mut u8| *age = age.saturating_add(1).min(LONG);
        for c in s.controllers.iter_mut().take(size.controllers) {
            older(&mut c.fresh);
            c.reading.iter_mut().for_each(|r| older(&mut r.age));
            for p in &mut c.peers {
                older(&mut p.confirmed);
                older(&mut p.asked);
                p.answer.iter_mut().for_each(|a| older(&mut a.age));
            }
            for o in c.owned.iter_mut().take(1).flatten() {
                older(&mut o.renewed);
                older(&mut o.heard);
                if let Some((token, age)) = o.in_flight {
                    if age + 1 > size.request {
                        o.finish(token, false);
                    } else {
                        o.in_flight = Some((token, age + 1));
                    }
                }
            }
        }
        for m in s.machines.iter_mut().take(1) {
            m.lease += 1;
            if m.lease >= size.lease + size.drift {
                m.expire();
            }
            m.answer.iter_mut().for_each(|a| a.age += 1);
            m.answer = m.answer.filter(|a| a.age <= size.response);
        }
        s.told.iter_mut().for_each(older);
        next.push((Step::Tick, s));
    }

    /// Readings, restarts, maps, and the transactions that a controller sends.
    fn records(&self, state: &State, c: usize, next: &mut Next) {
        let (size, without) = (&self.size, self.without);
        let this = &state.controllers[c];
        let mut step = |step: Step, change: &mut dyn FnMut(&mut State)| {
            let mut s = state.clone();
            change(&mut s);
            next.push((step, s));
        };
        if this.ready || !this.read {
            step(Step::Reads(c), &mut |s| s.controllers[c].read(c, &state.records, size, without));
        }
        if this.reading.is_none() {
            if this.ready && state.used.slow_readings < size.slow_readings {
                step(Step::BeginsReading(c, false), &mut |s| {
                    s.used.slow_readings += 1;
                    s.controllers[c].begin_reading(&state.records, false);
                });
            }
            if state.used.rereadings < size.rereadings {
                step(Step::BeginsReading(c, true), &mut |s| {
                    s.used.rereadings += 1;
                    s.controllers[c].begin_reading(&state.records, true);
                });
            }
        } else {
            step(Step::FinishesReading(c), &mut |s| s.controllers[c].finish_reading(c, size, without));
        }
        if state.used.restarts < size.restarts && (c > 0 || size.maps > 0) {
            step(Step::Restarts(c), &mut |s| {
                s.used.restarts += 1;
                s.controllers[c] = this.restarted();
            });
        }
        if c == 0 && state.used.maps < size.maps {
            for n in 0..size.controllers.pow(size.moving as u32) {
                let mut owners = [0; WORKERS];
                for (w, o) in owners.iter_mut().enumerate().take(size.moving) {
                    *o = (n / size.controllers.pow(w as u32) % size.controllers) as u8;
                }
                step(Step::NewMap(owners), &mut |s| {
                    s.used.maps += 1;
                    s.records.revision += 1;
                    s.records.epoch += 1;
                    s.records.owner = owners;
                    s.records.live = s.controllers.each_ref().map(|c| c.incarnation);
                });
            }
        }
        if this.mirror.job.cancelled && state.told.is_none() {
            step(Step::Tells(c), &mut |s| s.told = Some(0));
        }
        for change in self.changes(state, c) {
            let transaction = Transaction {
                from: c as u8,
                incarnation: this.incarnation,
                change,
                epoch: (change != Change::Cancel && without.has(Mechanism::EpochFence))
                    .then_some(this.mirror.epoch),
                job_revision: this.mirror.job.revision,
                committed: None,
            };
            if state.transactions.contains(&Some(transaction)) {
                continue;
            }
            let Some(free) = state.transactions.iter().position(Option::is_none) else { continue };
            step(Step::Sends(c, change), &mut |s| {
                s.transactions[free] = Some(transaction);
                let this = &mut s.controllers[c];
                match change {
                    Change::Cancel => {
                        s.used.cancels += 1;
                        if !without.has(Mechanism::ConfirmCommitted) {
                            s.told = Some(0);
                        }
                    }
                    Change::Evict => s.used.evictions += 1,
                    Change::Place(w) if !without.has(Mechanism::RecordFirst) => {
                        this.mirror.job = placed(this.mirror.job, w);
                    }
                    Change::Place(_) => {}
                    Change::End(w, a) => {
                        if let Some(o) = &mut this.owned[w as usize] {
                            o.ended[a as usize] = o.epoch;
                        }
                    }
                }
            });
        }
    }

    /// What a controller may want to write, by its mirror.
    fn changes(&self, state: &State, c: usize) -> Vec<Change> {
        let (size, this) = (&self.size, &state.controllers[c]);
        let job = &this.mirror.job;
        let mut changes = Vec::new();
        if this.read && !job.cancelled && state.used.cancels < size.cancels {
            changes.push(Change::Cancel);
        }
        if !this.in_map(c) {
            return changes;
        }
        match job.place {
            None if !job.cancelled && job.next_attempt < size.attempts => {
                changes.extend((0..size.workers as u8).map(Change::Place));
            }
            None => {}
            Some((w, a)) => {
                if job.wants() && state.used.evictions < size.evictions {
                    changes.push(Change::Evict);
                }
                let owned = this.owned[w as usize].as_ref().filter(|_| this.owns(c, w as usize));
                if size.ends() && owned.is_some_and(|o| o.proves(job, a, size, self.without)) {
                    changes.push(Change::End(w, a));
                }
            }
        }
        changes
    }

    fn transactions(&self, state: &State, next: &mut Next) {
        for (i, t) in state.transactions.iter().enumerate() {
            let Some(t) = *t else { continue };
            let mut s = state.clone();
            s.transactions[i] = None;
            if !state.transactions.contains(&None) {
                // Else it may as well be late for good.
                next.push((Step::Lost(t), s.clone()));
            }
            if let Some(job) = t.committed {
                let this = &mut s.controllers[t.from as usize];
                if this.incarnation == t.incarnation {
                    this.apply(job);
                    s.told.get_or_insert(0);
                    next.push((Step::Answered(t), s));
                }
                continue;
            }
            let r = &mut s.records;
            let fits = r.job.revision == t.job_revision && t.epoch.is_none_or(|e| e == r.epoch);
            if fits {
                r.revision += 1;
                r.job = changed(r.job, t.change);
                r.job.revision = r.revision;
                // Of other changes than a cancellation the answer says no more than the
                // next reading.
                if t.change == Change::Cancel {
                    s.transactions[i] = Some(Transaction { committed: Some(r.job), ..t });
                }
            }
            next.push((Step::Applied(t), s));
        }
    }

    fn peers(&self, state: &State, c: usize, next: &mut Next) {
        let (size, without) = (&self.size, self.without);
        let this = &state.controllers[c];
        for p in (0..size.controllers).filter(|p| *p != c) {
            let other = &state.controllers[p];
            if size.restarts > 0 && size.asks.contains(&(c, p)) && this.peers[p].heard != other.incarnation {
                let mut s = state.clone();
                s.controllers[c].peers[p].heard = other.incarnation;
                next.push((Step::Hears(c, p), s));
            }
            if size.asks.contains(&(c, p)) && this.ready {
                let whole = if size.partial { &[true, false][..] } else { &[true][..] };
                for &complete in whole {
                    let word = other.read_index(this.mirror.revision, complete, without);
                    if !complete && !other.mirror.job.cancelled {
                        continue;
                    }
                    let mut s = state.clone();
                    let peer = &mut s.controllers[c].peers[p];
                    peer.asked = 0;
                    // Where answers are not matched, an earlier one may come instead.
                    if without.has(Mechanism::Nonce) || peer.answer.is_none() {
                        peer.answer = Some(word);
                    }
                    next.push((Step::Asks(c, p, complete), s));
                }
            }
            if this.peers[p].answer.is_some() {
                let mut s = state.clone();
                s.controllers[c].take_word(p, without);
                next.push((Step::TakesWord(c, p), s));
            }
        }
    }

    /// What a controller and a worker have to do with each other.
    fn owner(&self, state: &State, c: usize, w: usize, next: &mut Next) {
        let (size, without) = (&self.size, self.without);
        let this = &state.controllers[c];
        let reliable = w > 0;
        let mut s = state.clone();
        let report = s.machines[w].report();
        let answer = s.controllers[c].take_report(c, w, &report, size, without);
        s.machines[w].answer = answer;
        if answer.is_some() && !reliable {
            next.push((Step::Reports(w, c, answer), s));
        }
        if let Some(late) = state.machines[w].late {
            let mut s = state.clone();
            s.machines[w].late = None;
            s.controllers[c].take_report(c, w, &late, size, without);
            next.push((Step::LateReport(w, c), s));
        }
        let Some(owned) = this.owned[w].filter(|_| this.owns(c, w)) else { return };
        if owned.in_flight.is_some() && !reliable {
            let mut s = state.clone();
            if let Some(o) = s.controllers[c].owned[w].as_mut()
                && let Some((token, _)) = o.in_flight
            {
                o.finish(token, false);
            }
            next.push((Step::GivesUp(c, w), s));
        }
        if owned.session == 0 {
            let mut s = state.clone();
            let report = s.machines[w].report();
            if let Some(o) = s.controllers[c].owned[w].as_mut() {
                o.ingest(&report, false, without);
            }
            next.push((Step::Probes(c, w), s));
        }
        let mut orders = owned.orders(&this.mirror.job, w, size, without);
        if without.has(Mechanism::LaunchBound) && !this.may_renew(c, size, without) {
            orders.launch = None;
        }
        let free = state.machines[w]
            .commands
            .iter()
            .position(Option::is_none)
            .filter(|_| state.machines[w].commands.iter().flatten().count() < size.commands);
        if let Some(free) = free
            && orders != Orders::default()
            && owned.in_flight.is_none()
        {
            let mut s = state.clone();
            if let Some(o) = s.controllers[c].owned[w].as_mut() {
                o.token = o.token.next();
                o.in_flight = Some((o.token, 0));
                s.machines[w].commands[free] = Some(Command {
                    from: c as u8,
                    token: o.token,
                    session: o.session,
                    launch: orders.launch,
                    stop: orders.stop,
                });
                next.push((Step::Commands(c, w, orders), s));
            }
        }
    }

    fn worker(&self, state: &State, w: usize, next: &mut Next) {
        let (size, without) = (&self.size, self.without);
        let this = &state.machines[w];
        let reliable = w > 0;
        let mut step = |step: Step, change: &mut dyn FnMut(&mut State)| {
            let mut s = state.clone();
            change(&mut s);
            next.push((step, s));
        };
        if this.lease >= size.lease && !reliable {
            step(Step::LeaseEnds(w), &mut |s| s.machines[w].expire());
        }
        if this.answer.is_some() {
            step(Step::Heeds(w), &mut |s| s.machines[w].heed(without));
        }
        if !reliable && this.runs() && state.used.exits < size.exits {
            step(Step::Fails(w), &mut |s| {
                s.used.exits += 1;
                let tasks = &mut s.machines[w].tasks;
                tasks.iter_mut().filter(|t| **t == Task::Running).for_each(|t| *t = Task::Exited);
            });
        }
        if !reliable && this.late.is_none() && state.used.late_reports < size.late_reports {
            step(Step::Copies(w), &mut |s| {
                s.used.late_reports += 1;
                s.machines[w].late = Some(s.machines[w].report());
            });
        }
        for (i, command) in this.commands.iter().enumerate() {
            let Some(command) = *command else { continue };
            if !reliable && this.commands.iter().flatten().count() >= size.commands {
                step(Step::Drops(w, command), &mut |s| s.machines[w].commands[i] = None);
            }
            for answered in [true, false] {
                let from = command.from as usize;
                let waits = state.controllers[from].owned[w]
                    .is_some_and(|o| o.in_flight.is_some_and(|(t, _)| t == command.token));
                if answered && !waits || reliable && !answered {
                    continue;
                }
                step(Step::Executes(w, command, answered), &mut |s| {
                    s.machines[w].commands[i] = None;
                    let report = s.machines[w].execute(&command, without);
                    if let Some(o) = s.controllers[from].owned[w].as_mut().filter(|_| answered) {
                        o.finish(command.token, true);
                        o.ingest(&report, false, without);
                    }
                });
            }
        }
    }
}

fn placed(job: Job, worker: u8) -> Job {
    Job { place: Some((worker, job.next_attempt)), next_attempt: job.next_attempt + 1, evict: false, ..job }
}

fn changed(job: Job, change: Change) -> Job {
    match change {
        Change::Cancel => Job { cancelled: true, ..job },
        Change::Evict => Job { evict: true, ..job },
        Change::Place(w) => placed(job, w),
        Change::End(..) => Job { place: None, evict: false, ..job },
    }
}

impl Model for World {
    type State = State;
    type Step = Step;
    type Rule = Rule;

    fn starts(&self) -> Vec<State> {
        self.starts()
    }

    fn next(&self, state: &State) -> Vec<(Step, State)> {
        self.next(state)
    }

    fn broken(&self, state: &State) -> Option<Rule> {
        state.broken(self.size.cancel)
    }

    /// Of what the size uses of a state.
    fn hash(&self, state: &State, hasher: &mut impl Hasher) {
        let size = &self.size;
        state.records.hash(hasher);
        state.controllers[..size.controllers].hash(hasher);
        state.machines[..size.workers].hash(hasher);
        state.transactions.hash(hasher);
        (state.told, state.used).hash(hasher);
    }
}

//! A seeded random-fault test over decisions, records and workers, on a clock of
//! its own, with a checker for the rules. Messages are delayed, lost, reordered
//! and delivered minutes late, reports also as copies and to the wrong controller;
//! owners change; controllers start anew and know nothing, or stand still and go
//! on with what they knew; requests that were carried out are repeated; workers lose
//! their lease, are heard but do not hear, or fail every task; machines are released,
//! several at a time; jobs are cancelled.
//!
//! It begins with the version in production: controllers read and write what that
//! does, and are upgraded one by one while all this goes on; one that ends before its
//! turn comes back old. Then come pipelines, and at a random moment smaller limits, by
//! which nearly every job's record lies in parts.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sched::records::*;
use sched::world::{Change, World};
use store::{Put, Reader, decode_change, key, split};
use wire::{Cause, Command, Commands, Condition, JobKind, MachineType, Report, TaskReport, TaskState};

use crate::engine;
use crate::front;
use crate::node::Node;
use crate::production;
use crate::settings::tests::EXAMPLE;
use crate::settings::{NextState, Operators, Peer, Settings};
use crate::worker::tests::spec;

const STEP: Duration = Duration::from_millis(100);
const MACHINES: usize = 8;
const CONTROLLERS: usize = 4;
const LEASE_STEPS: u64 = 60;
/// As the example settings have it, and what the workers' clocks may be off.
const CANCEL_STEPS: u64 = 400;
/// What the team may use; each task takes one.
const LIMIT: f64 = 14.0;
/// More tasks than there ever is room for.
const LARGE: u32 = 150;

/// What is broken on purpose, to see that the checker finds it.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Sabotage {
    None,
    /// Workers heed no tokens.
    Tokens,
    /// The controllers are told a higher limit.
    Limit,
    /// Workers call failed tasks done.
    Done,
    /// Workers do not stop.
    Stops,
    /// The records call the spot machine an ordinary one.
    Kind,
    /// Records do not tell which jobs a job needs.
    Needs,
    /// Nobody knows of the smaller limits before they are there.
    Sizes,
}

/// The limits to come.
const NEXT_KB: f64 = 0.45;
const NEXT_OPS: usize = 4;
/// The first jobs; those after them need others.
const FIRST: usize = 9;
/// Tasks of every job but the large one.
const TASKS: u32 = 3;

/// The state service: conditional transactions and an ordered log of changes.
#[derive(Default)]
struct State {
    keys: HashMap<String, u64>,
    log: Vec<(u64, Put)>,
    revision: u64,
    /// The smaller limits are there.
    small: bool,
}

#[derive(PartialEq)]
enum Outcome {
    Committed,
    Conflict,
    /// Larger than the limits.
    Refused,
}

impl State {
    fn txn(&mut self, conditions: &[Condition], puts: Vec<Put>) -> Outcome {
        let large = |p: &Put| p.value_len() as f64 > NEXT_KB * 1024.0;
        if self.small && (puts.len() > NEXT_OPS || puts.iter().any(large)) {
            return Outcome::Refused;
        }
        if conditions.iter().any(|c| self.keys.get(&c.key).copied().unwrap_or(0) != c.version) {
            return Outcome::Conflict;
        }
        self.revision += 1;
        for put in puts {
            match put.value {
                Some(_) => self.keys.insert(put.key.clone(), self.revision),
                None => self.keys.remove(&put.key),
            };
            self.log.push((self.revision, put));
        }
        Outcome::Committed
    }

    fn world(&self) -> World {
        let (mut world, mut reader) = (World::default(), Reader::default());
        for (revision, put) in &self.log {
            let (change, bad, version) = reader.take(&put.key, put.value.clone(), *revision);
            if bad { world.unread(change) } else { world.apply(change, version) }
        }
        world
    }

    /// Writes what is larger than a value in parts, as the service does.
    fn widen(&mut self, conditions: &mut Vec<Condition>, puts: &mut [Put], nonce: u64, bytes: f64) {
        for put in puts.iter_mut().filter(|p| p.value_len() as f64 > bytes) {
            let wide = split(put, nonce, bytes as usize).expect("a value");
            let first = wide.parts.last().expect("parts").key.clone();
            for part in wide.parts {
                assert!(self.txn(&[], vec![part]) == Outcome::Committed);
            }
            conditions.push(Condition { key: first, version: self.revision });
            *put = wide.head;
        }
    }
}

/// A change as production sees it.
fn by_production(put: &Put) -> (Change, bool) {
    let Some(value) = &put.value else { return decode_change(&put.key, None) };
    match production::read(&put.key, value) {
        production::Read::Ignored => (Change::Other, false),
        production::Read::Unreadable => (decode_change(&put.key, Some(rmpv::Value::Nil)).0, true),
        production::Read::Record(value) => decode_change(&put.key, Some(value)),
    }
}

/// A worker as the protocol describes it.
struct Machine {
    up: bool,
    session: u64,
    seq: u64,
    token: u64,
    renewed: u64,
    tasks: BTreeMap<(String, u64), (TaskState, Option<Cause>)>,
    /// Until when nothing reaches it, though its reports arrive.
    deaf: u64,
    /// Until when every task that it starts fails.
    sick: u64,
}

impl Machine {
    fn report(&mut self, id: &str) -> Report {
        self.seq += 1;
        let tasks = self.tasks.iter().map(|((task, attempt), (state, cause))| TaskReport {
            task: task.clone(),
            attempt: *attempt,
            state: *state,
            cause: *cause,
            saved: None,
        });
        Report {
            machine: id.into(),
            addr: id.into(),
            machine_type: "m".into(),
            zone: zone(id).into(),
            spot: spot(id),
            session: self.session,
            seq: self.seq,
            token: self.token,
            notice_s: None,
            tasks: tasks.collect(),
        }
    }

    fn holds(&self, task: &str) -> bool {
        self.up && self.tasks.iter().any(|((t, _), (s, _))| t == task && *s != TaskState::Exited)
    }
}

enum Message {
    Commands {
        to: usize,
        from: usize,
        commands: Commands,
    },
    Answer {
        to: usize,
        machine: usize,
        token: u64,
        report: Option<Report>,
    },
    /// A copy of a report, to any controller.
    Copy {
        to: usize,
        machine: usize,
        report: Report,
    },
    Txn {
        from: usize,
        conditions: Vec<Condition>,
        puts: Vec<Put>,
        /// Its sender knew of the smaller limits.
        sized: bool,
    },
    Proofs {
        to: usize,
        epoch: u64,
        list: Vec<peer::Proof>,
    },
}

struct Sim {
    rng: StdRng,
    start: Instant,
    step: u64,
    state: State,
    nodes: Vec<Node>,
    /// Controllers that have the version in production.
    old: Vec<bool>,
    /// When the smaller limits come.
    small_at: Option<u64>,
    /// What users have named for each job.
    needs: HashMap<String, Vec<String>>,
    submitted: HashMap<String, u64>,
    next: usize,
    /// How much of the log each controller has seen.
    seen: Vec<usize>,
    /// Until when each controller stands still.
    frozen: Vec<u64>,
    /// Troubles are over.
    calm: bool,
    machines: Vec<Machine>,
    mail: Vec<(u64, Message)>,
    /// Requests on their way: controller and machine, and the token.
    waiting: BTreeMap<(usize, usize), u64>,
    sabotage: Sabotage,
    /// When each cancellation was committed.
    cancelled: HashMap<String, u64>,
    broken: HashSet<&'static str>,
    done: HashSet<String>,
    started: u64,
}

fn id(machine: usize) -> String {
    format!("host-{machine:06}")
}

/// Two zones; one machine of each is a spot machine.
fn zone(id: &str) -> &'static str {
    if id.ends_with(['0', '2', '4']) { "z" } else { "y" }
}

/// Jobs 1, 4 and 7 are services.
fn replica(task: &str) -> bool {
    ["j-1/", "j-4/", "j-7/"].iter().any(|job| task.starts_with(job))
}

fn spot(id: &str) -> bool {
    id.ends_with(['4', '5'])
}

impl Sim {
    fn node(n: usize, incarnation: u64, sabotage: Sabotage, old: bool) -> Node {
        let mut settings = Settings::parse("example", EXAMPLE).expect("the example is valid");
        settings.node_name = format!("n-{n}");
        // The others: their word is never asked for here, so that leases are renewed within
        // the bound alone.
        settings.peers = (0..CONTROLLERS)
            .filter(|o| *o != n)
            .map(|o| Peer { node_name: format!("n-{o}"), address: format!("127.0.0.1:{}", 100 + o) })
            .collect();
        settings.zone = if n.is_multiple_of(2) { "z" } else { "y" }.into();
        if !old && sabotage != Sabotage::Sizes {
            let (value_kb, txn_ops) = (Some(NEXT_KB), Some(NEXT_OPS));
            settings.facts.state.next = Some(NextState { value_kb, txn_ops, ..NextState::default() });
        }
        settings.facts.teams[0].cpus_max = if sabotage == Sabotage::Limit { LIMIT + 4.0 } else { LIMIT };
        Node::new(settings, Operators::default(), incarnation)
    }

    fn new(seed: u64, sabotage: Sabotage) -> Self {
        let nodes: Vec<Node> =
            (0..CONTROLLERS).map(|n| Self::node(n, n as u64 + 1, sabotage, true)).collect();
        let machine = || Machine {
            up: true,
            session: 1,
            seq: 0,
            token: 0,
            renewed: 0,
            tasks: BTreeMap::new(),
            deaf: 0,
            sick: 0,
        };
        let mut sim = Self {
            rng: StdRng::seed_from_u64(seed),
            start: Instant::now(),
            step: 0,
            state: State::default(),
            seen: vec![0; nodes.len()],
            frozen: vec![0; nodes.len()],
            calm: false,
            nodes,
            old: vec![true; CONTROLLERS],
            small_at: None,
            needs: HashMap::new(),
            submitted: HashMap::new(),
            next: FIRST,
            machines: (0..MACHINES).map(|_| machine()).collect(),
            mail: Vec::new(),
            waiting: BTreeMap::new(),
            sabotage,
            cancelled: HashMap::new(),
            broken: HashSet::new(),
            done: HashSet::new(),
            started: 0,
        };
        let kind: MachineType = MachineType {
            name: "m".into(),
            cpus: 4.0,
            gpus: 0.0,
            memory_gb: 64.0,
            cache_gb: 9.0,
            fetch_gb_per_s: 1.0,
            price: 1.0,
            spot_price: 1.0,
            boot_s: 1.0,
            zones: vec!["z".into(), "y".into()],
        };
        let mut puts = vec![
            Put::new(key::TYPES.into(), &TypesRecord { types: vec![kind] }),
            Put::new(key::LEADER.into(), &sim.nodes[0].me),
        ];
        for m in 0..MACHINES {
            let record = MachineRecord {
                addr: id(m),
                machine_type: "m".into(),
                zone: zone(&id(m)).into(),
                spot: spot(&id(m)) && sabotage != Sabotage::Kind,
                release: false,
            };
            puts.push(Put::new(key::machine(&id(m)), &record));
        }
        for n in 0..FIRST {
            let s = Self::job(n);
            puts.push(Put::new(key::job(&s.id), &JobRecord::new(s.clone(), None, 0)));
        }
        assert!(sim.state.txn(&[], puts) == Outcome::Committed);
        sim.new_map();
        sim
    }

    fn job(n: usize) -> wire::JobSpec {
        let kind = [JobKind::Array, JobKind::Service, JobKind::Gang][n % 3];
        let mut s = spec(&format!("j-{n}"), kind);
        s.tasks = if n == 0 { LARGE } else { TASKS };
        s.spot = kind == JobKind::Array;
        s.one_zone = kind == JobKind::Gang;
        if n >= FIRST {
            s.priority = wire::Priority::High;
        }
        s
    }

    /// The next controller gets the new version, and leaves its lasting word.
    fn upgrade(&mut self) {
        let Some(n) = self.old.iter().position(|old| *old) else { return };
        self.old[n] = false;
        self.back(n);
        let put = Put::new(key::upgraded(&self.nodes[n].me.name), &Upgraded { form: FORM });
        assert!(self.state.txn(&[], vec![put]) == Outcome::Committed);
        if !self.old.contains(&true) {
            self.small_at = Some(self.step + self.rng.random_range(0..200));
        }
    }

    /// A user submits a job that needs some of those before it, to any controller,
    /// which may know little of them yet.
    fn submit(&mut self) {
        let n = self.next;
        let s = Self::job(n);
        let before: Vec<usize> = (2..n)
            .filter(|k| k % 3 != 1 && (*k < FIRST || self.submitted.contains_key(&format!("j-{k}"))))
            .collect();
        let mut needs: Vec<String> = Vec::new();
        for _ in 0..self.rng.random_range(1..4) {
            let late = before.len() - self.rng.random_range(1..=before.len().min(8));
            needs.push(format!("j-{}", before[late]));
        }
        let via = self.rng.random_range(0..CONTROLLERS);
        let known: Vec<Name> = match self.sabotage {
            Sabotage::Needs => Vec::new(),
            _ => needs.iter().map(|n| n.as_str().into()).collect(),
        };
        // What it knows of them is not old.
        if !known.iter().all(|n| self.nodes[via].core().world.jobs.contains_key(&**n)) {
            return;
        }
        let mut record = front::new_record(&self.nodes[via], s.clone(), None, known);
        record.submitted_ms = self.step * 100;
        let mut puts = [Put::new(key::job(&s.id), &record)];
        let mut conditions = vec![Condition { key: key::job(&s.id), version: 0 }];
        let nonce = self.rng.random();
        self.state.widen(&mut conditions, &mut puts, nonce, NEXT_KB * 1024.0);
        if self.state.txn(&conditions, puts.to_vec()) == Outcome::Committed {
            self.needs.insert(s.id.clone(), needs);
            self.submitted.insert(s.id, self.step);
            self.next += if n.is_multiple_of(3) { 2 } else { 1 };
        }
    }

    fn is_done(&self, job: &str) -> bool {
        let number: usize = job.trim_start_matches("j-").parse().expect("a number");
        let tasks = if number == 0 { LARGE } else { TASKS };
        let done = (0..tasks).filter(|t| self.done.contains(&format!("{job}/{t}"))).count() as u32;
        done >= if number % 3 == 2 { 1 } else { tasks }
    }

    /// Jobs that need a cancelled one are called cancelled, whoever is asked.
    fn check_orphaned(&mut self) {
        let world = self.state.world();
        let mut after: HashMap<&str, u64> =
            self.cancelled.iter().map(|(id, at)| (id.as_str(), *at)).collect();
        let mut numbers: Vec<usize> =
            self.needs.keys().filter_map(|id| id.trim_start_matches("j-").parse().ok()).collect();
        numbers.sort_unstable();
        for n in numbers {
            let Some((id, needs)) = self.needs.get_key_value(&format!("j-{n}")) else { continue };
            let Some(at) = needs.iter().filter_map(|n| after.get(n.as_str())).min().copied() else {
                continue;
            };
            after.insert(id, at);
            let told = at.max(self.submitted[id]);
            let called = world.state_of(id);
            if self.step > told + CANCEL_STEPS && called != Some(wire::JobState::Cancelled) {
                self.broken.insert("orphaned");
            }
        }
    }

    fn now(&self) -> Instant {
        self.start + STEP * self.step as u32
    }

    /// A random set of live controllers, under the next epoch.
    fn new_map(&mut self) {
        let few = self.rng.random_bool(0.5);
        let mut live: Vec<Member> = self.nodes.iter().map(|n| n.me.clone()).collect();
        live.retain(|_| !few || self.rng.random_bool(0.4));
        if live.is_empty() {
            live.push(self.nodes[0].me.clone());
        }
        let epoch = self.step + 1;
        let leader = live[0].clone();
        let puts = vec![
            Put::new(key::MAP.into(), &MapRecord { epoch, live }),
            Put::new(key::LEADER.into(), &leader),
        ];
        assert!(self.state.txn(&[], puts) == Outcome::Committed);
    }

    fn post(&mut self, message: Message) {
        let delay = match self.rng.random_range(0..20) {
            0 => self.rng.random_range(50..400),
            1..5 => self.rng.random_range(5..30),
            _ => self.rng.random_range(0..3),
        };
        self.mail.push((self.step + delay, message));
    }

    fn controller(&mut self, n: usize) {
        if self.step < self.frozen[n] {
            return;
        }
        let now = self.now();
        // The mirror lags by whole revisions.
        if self.rng.random_range(0..4) > 0 {
            let mut core = self.nodes[n].core();
            let core = &mut *core;
            while let Some((revision, put)) = self.state.log.get(self.seen[n]) {
                let (change, bad, version) = if self.old[n] {
                    let (change, bad) = by_production(put);
                    (change, bad, *revision)
                } else {
                    core.reader.take(&put.key, put.value.clone(), *revision)
                };
                if bad {
                    core.world.unread(change)
                } else {
                    core.world.apply(change, version)
                }
                core.world.revision = *revision;
                self.seen[n] += 1;
            }
            core.ready = true;
            core.fresh_at = Some(now);
            if core.world.upgraded.len() == CONTROLLERS {
                self.nodes[n].seen.all_new.store(true, Ordering::Relaxed);
            }
        }
        let plan = self.nodes[n].plan();
        let decided = {
            let node = &self.nodes[n];
            let mut core = node.core();
            let scan = self.step.is_multiple_of(50);
            engine::decide(node, &mut core, scan, plan.txn_ops, now, self.step * 100).map(|r| {
                let engine::Assembled { conditions, puts, .. } =
                    engine::assemble(&core.world, &r, &node.plan(), usize::MAX);
                let epoch = core.map().map_or(0, |m| m.epoch);
                (r.sends, conditions, puts, r.proofs, epoch)
            })
        };
        let Some((sends, conditions, puts, proofs, epoch)) = decided else { return };
        for (to, list) in proofs {
            let to = self.nodes.iter().position(|n| n.me.name == to).expect("a known controller");
            self.post(Message::Proofs { to, epoch, list });
        }
        for (machine, _, commands) in sends {
            let to = (0..MACHINES).find(|m| *id(*m) == *machine).expect("a known machine");
            self.waiting.insert((n, to), commands.token);
            self.post(Message::Commands { to, from: n, commands });
        }
        if !puts.is_empty() {
            let (mut conditions, mut puts) = (conditions, puts);
            if self.old[n] {
                // It writes what it knows, and drops the rest.
                for put in &mut puts {
                    if let (change, false) = by_production(put)
                        && let Change::Job(_, Some(job)) = change
                    {
                        *put = Put::new(put.key.clone(), &job);
                    }
                }
            } else if plan.wide {
                let nonce = self.rng.random();
                self.state.widen(&mut conditions, &mut puts, nonce, plan.value_bytes);
            }
            self.post(Message::Txn { from: n, conditions, puts, sized: plan.wide });
        }
    }

    fn worker(&mut self, m: usize) {
        if !self.machines[m].up {
            return;
        }
        if self.step > self.machines[m].renewed + LEASE_STEPS {
            let machine = &mut self.machines[m];
            machine.tasks.clear();
            machine.session += 1;
            machine.renewed = self.step;
        }
        let sick = self.step < self.machines[m].sick;
        for (name, (state, cause)) in &mut self.machines[m].tasks {
            match state {
                TaskState::Fetching if sick => {
                    *state = TaskState::Exited;
                    *cause = Some(Cause::Error);
                }
                TaskState::Fetching if self.rng.random_bool(0.3) => *state = TaskState::Running,
                // Replicas run until they are stopped.
                TaskState::Running if self.rng.random_bool(if replica(&name.0) { 0.001 } else { 0.02 }) => {
                    *state = TaskState::Exited;
                    let fails = !self.calm && self.rng.random_bool(0.2);
                    let says_done = !fails || self.sabotage == Sabotage::Done;
                    *cause = Some(if says_done { Cause::Done } else { Cause::Error });
                    if !fails {
                        self.done.insert(name.0.clone());
                    }
                }
                _ => {}
            }
        }
        if !self.calm && self.rng.random_bool(0.001) {
            self.machines[m].sick = self.step + self.rng.random_range(50..300);
        }
        if !self.calm && self.rng.random_bool(0.002) {
            self.machines[m].deaf = self.step + self.rng.random_range(20..200);
        }
        if self.rng.random_bool(0.3) {
            // To the owner by the newest map, or to whoever still thinks so.
            let n = self.rng.random_range(0..self.nodes.len());
            let report = self.machines[m].report(&id(m));
            if self.rng.random_bool(0.1) {
                let delay = self.rng.random_range(1..3 * LEASE_STEPS);
                let copy = Message::Copy { to: n, machine: m, report: report.clone() };
                self.mail.push((self.step + delay, copy));
            }
            let sent = self.step;
            let Some((token, orders)) = self.answer_report(n, m, report) else { return };
            let heeds = self.sabotage != Sabotage::Tokens;
            // The answer may be lost; it is never late.
            if self.rng.random_bool(0.8)
                && self.step >= self.machines[m].deaf
                && (token >= self.machines[m].token || !heeds)
            {
                self.machines[m].token = token;
                self.machines[m].renewed = sent;
                self.execute(m, &orders);
            }
        }
    }

    fn answer_report(&mut self, n: usize, m: usize, report: Report) -> Option<(u64, Vec<Command>)> {
        if self.step < self.frozen[n] {
            return None;
        }
        let now = self.now();
        let node = &self.nodes[n];
        let mut core = node.core();
        let core = &mut *core;
        let mine = core.world.owner_of(&id(m)).is_some_and(|o| *o == node.me);
        if !mine || !node.may_renew(core, now) {
            return None;
        }
        let worker = core.workers.get_mut(id(m).as_str()).filter(|w| !w.overtaken_by(&report))?;
        let news = worker.ingest(report, true, now);
        worker.renew(now);
        let limits = node.worker_limits(core.fresh_at);
        let orders = if news { worker.answer(&id(m), &core.world, &limits, now) } else { Vec::new() };
        Some((worker.token(), orders))
    }

    fn execute(&mut self, m: usize, orders: &[Command]) {
        for order in orders {
            match order {
                Command::Start { task, attempt } => {
                    let there = self.machines[m].tasks.keys().any(|(t, a)| t == task && a == attempt);
                    if there {
                        continue;
                    }
                    if (0..MACHINES).any(|o| o != m && self.machines[o].holds(task)) {
                        self.broken.insert("ran_twice");
                    }
                    let busy = self.machines[m].tasks.keys().any(|(t, _)| t == task);
                    let state = if busy {
                        (TaskState::Exited, Some(Cause::Busy))
                    } else {
                        (TaskState::Fetching, None)
                    };
                    self.started += u64::from(!busy);
                    if !busy {
                        self.check_place(m, task);
                        let job = task.split('/').next().unwrap_or_default();
                        if self.needs.get(job).is_some_and(|needs| needs.iter().any(|n| !self.is_done(n))) {
                            self.broken.insert("too_early");
                        }
                    }
                    self.machines[m].tasks.insert((task.clone(), *attempt), state);
                }
                Command::Stop { task, attempt, .. } => {
                    if let Some(s) = self.machines[m].tasks.get_mut(&(task.clone(), *attempt))
                        && s.0 != TaskState::Exited
                        && self.sabotage != Sabotage::Stops
                    {
                        *s = (TaskState::Exited, Some(Cause::Stopped));
                    }
                }
                Command::Forget { task, attempt } => {
                    let k = (task.clone(), *attempt);
                    if self.machines[m].tasks.get(&k).is_some_and(|s| s.0 == TaskState::Exited) {
                        self.machines[m].tasks.remove(&k);
                    }
                }
            }
        }
        let on: f64 = self
            .machines
            .iter()
            .filter(|x| x.up)
            .flat_map(|x| x.tasks.values())
            .filter(|s| s.0 != TaskState::Exited)
            .count() as f64;
        if on > LIMIT {
            self.broken.insert("quota");
        }
    }

    /// Jobs 0, 3 and 6 are arrays, which may use spot machines; 2, 5 and 8 gangs,
    /// which stay in one zone.
    fn check_place(&mut self, m: usize, task: &str) {
        let job = task.split('/').next().unwrap_or_default();
        let number: usize = job.trim_start_matches("j-").parse().expect("a number");
        if spot(&id(m)) && !number.is_multiple_of(3) {
            self.broken.insert("wrong_place");
        }
        let elsewhere = (0..MACHINES).filter(|o| zone(&id(*o)) != zone(&id(m)));
        let mates = |o: &usize| {
            let alive = |s: &TaskState| *s != TaskState::Exited;
            let mut tasks = self.machines[*o].tasks.iter();
            self.machines[*o].up
                && tasks.any(|((t, _), (s, _))| t.starts_with(&format!("{job}/")) && alive(s))
        };
        if number % 3 == 2 && elsewhere.clone().any(|o| mates(&o)) {
            self.broken.insert("wrong_place");
        }
    }

    /// A user cancels a job: a transaction on the newest record.
    fn cancel(&mut self) {
        let last = if self.rng.random_bool(0.5) { FIRST } else { self.next };
        let replicas = self.rng.random_bool(0.2);
        let job = format!("j-{}", if replicas { 4 } else { self.rng.random_range(3..last) });
        let world = self.state.world();
        let open = |j: &&sched::world::Versioned<Box<JobRecord>>| {
            matches!(j.value.phase, Phase::Active | Phase::Waiting)
        };
        let Some(found) = world.jobs.get(&job).filter(open) else { return };
        if world.pipelines.is_doomed(&job) {
            return;
        }
        let mut record = found.value.clone();
        record.phase = Phase::Cancelled;
        record.shrink();
        let mut conditions = vec![Condition { key: key::job(&job), version: found.version }];
        let mut puts = [Put::new(key::job(&job), &record)];
        if self.state.small {
            let nonce = self.rng.random();
            self.state.widen(&mut conditions, &mut puts, nonce, NEXT_KB * 1024.0);
        }
        if self.state.txn(&conditions, puts.to_vec()) == Outcome::Committed {
            self.cancelled.insert(job, self.step);
        }
    }

    /// No task of a cancelled job is left on a machine after a while.
    fn check_cancelled(&mut self) {
        for machine in self.machines.iter().filter(|m| m.up) {
            for ((task, _), (state, _)) in &machine.tasks {
                let job = task.split('/').next().unwrap_or_default();
                let at = self.cancelled.get(job).copied().unwrap_or(u64::MAX);
                if *state != TaskState::Exited && self.step > at.saturating_add(CANCEL_STEPS) {
                    self.broken.insert("ran_cancelled");
                }
            }
        }
    }

    /// A controller ends and is back at once, knowing nothing.
    fn restart(&mut self) {
        let n = self.rng.random_range(0..CONTROLLERS);
        self.back(n);
    }

    fn back(&mut self, n: usize) {
        self.nodes[n] = Self::node(n, 1000 + self.step, self.sabotage, self.old[n]);
        self.seen[n] = 0;
        self.frozen[n] = 0;
        self.waiting.retain(|(of, _), _| *of != n);
    }

    fn deliver(&mut self) {
        let mut due = Vec::new();
        let mut rest = Vec::new();
        for (at, message) in std::mem::take(&mut self.mail) {
            if at <= self.step { due.push(message) } else { rest.push((at, message)) }
        }
        self.mail = rest;
        for message in due {
            // What comes to a controller that stands still waits there for it.
            if let Message::Copy { to, .. } | Message::Proofs { to, .. } | Message::Answer { to, .. } =
                &message
                && self.step < self.frozen[*to]
            {
                self.mail.push((self.frozen[*to], message));
                continue;
            }
            match message {
                Message::Copy { to, machine, report } => {
                    // Nobody reads the answer.
                    let _ = self.answer_report(to, machine, report);
                }
                Message::Proofs { to, epoch, list } => {
                    if self.rng.random_bool(0.1) {
                        let at = self.step + self.rng.random_range(1..400);
                        self.mail.push((at, Message::Proofs { to, epoch, list: list.clone() }));
                    }
                    engine::take_proofs(&self.nodes[to], epoch, list, self.now());
                }
                Message::Txn { from, conditions, puts, sized } => {
                    if self.state.txn(&conditions, puts) == Outcome::Refused {
                        self.nodes[from].seen.fallen.store(!self.old[from], Ordering::Relaxed);
                        if sized {
                            self.broken.insert("refused");
                        }
                    }
                }
                Message::Commands { to, from, commands } => {
                    if self.rng.random_bool(0.05) {
                        let at = self.step + self.rng.random_range(1..400);
                        self.mail.push((at, Message::Commands { to, from, commands: commands.clone() }));
                    }
                    let reached = self.machines[to].up && self.step >= self.machines[to].deaf;
                    let lost = self.rng.random_bool(0.1) || !reached;
                    let heeds = self.sabotage != Sabotage::Tokens;
                    let valid = !heeds || commands.token >= self.machines[to].token;
                    if valid && commands.session == self.machines[to].session && reached {
                        self.machines[to].token = self.machines[to].token.max(commands.token);
                        self.execute(to, &commands.commands);
                    }
                    let report = (!lost).then(|| self.machines[to].report(&id(to)));
                    self.post(Message::Answer { to: from, machine: to, token: commands.token, report });
                }
                Message::Answer { to, machine, token, report } => {
                    // Given up meanwhile: nobody reads the answer.
                    if self.waiting.get(&(to, machine)) == Some(&token) {
                        self.waiting.remove(&(to, machine));
                        self.answered(to, machine, token, report);
                    }
                }
            }
        }
        let waiting: Vec<_> = self.waiting.iter().map(|(k, t)| (*k, *t)).collect();
        for ((n, machine), token) in waiting {
            if self.rng.random_bool(0.03) {
                self.waiting.remove(&(n, machine));
                self.answered(n, machine, token, None);
            }
        }
    }

    fn answered(&mut self, n: usize, machine: usize, token: u64, report: Option<Report>) {
        let now = self.now();
        if let Some(w) = self.nodes[n].core().workers.get_mut(id(machine).as_str()) {
            w.finish(token, report.is_some(), now);
            if let Some(report) = report {
                w.ingest(report, false, now);
            }
        }
    }

    fn check_records(&mut self) {
        let world = self.state.world();
        for (id, job) in &world.jobs {
            if job.value.phase == Phase::Done && !self.is_done(id) {
                self.broken.insert("not_done");
            }
        }
        // Every job that was accepted is known, and none is that was not.
        let all = (0..FIRST).map(|n| format!("j-{n}")).chain(self.submitted.keys().cloned());
        if all.collect::<HashSet<String>>() != world.jobs.keys().cloned().collect::<HashSet<String>>() {
            self.broken.insert("forgotten");
        }
    }

    /// Once troubles are over, every step of a pipeline that was accepted and not
    /// cancelled gets its turn, or waits for one that has not been done. The first jobs
    /// may still wait for the large one, which is as old as they.
    fn check_served(&mut self) {
        self.calm = true;
        self.frozen.fill(0);
        let live: Vec<Member> = self.nodes.iter().map(|n| n.me.clone()).collect();
        let leader = live[0].clone();
        let puts = vec![
            Put::new(key::MAP.into(), &MapRecord { epoch: self.step + 1, live }),
            Put::new(key::LEADER.into(), &leader),
        ];
        assert!(self.state.txn(&[], puts) == Outcome::Committed);
        let mut got: HashSet<String> = HashSet::new();
        for _ in 0..CALM {
            self.step += 1;
            self.deliver();
            (0..CONTROLLERS).for_each(|n| self.controller(n));
            (0..MACHINES).for_each(|m| self.worker(m));
            if self.step.is_multiple_of(50) {
                let world = self.state.world();
                let runs = |j: &JobRecord| j.phase == Phase::Done || !j.run.is_empty();
                got.extend(world.jobs.iter().filter(|(_, j)| runs(&j.value)).map(|(id, _)| id.clone()));
            }
        }
        let world = self.state.world();
        for (id, job) in world.jobs.iter().filter(|(id, _)| self.needs.contains_key(*id)) {
            let over = world.state_of(id) == Some(wire::JobState::Cancelled) || got.contains(id);
            if !over && job.value.phase == Phase::Active && job.value.done.is_empty() {
                self.broken.insert("not_served");
            }
        }
        // Cancellations have been written down to the last job.
        if world.pipelines.doomed().next().is_some() {
            self.broken.insert("cascade");
        }
    }

    fn run(mut self, steps: u64, calm: bool) -> (HashSet<&'static str>, u64, u64) {
        for _ in 0..steps {
            self.step += 1;
            self.deliver();
            for n in 0..self.nodes.len() {
                self.controller(n);
            }
            for m in 0..MACHINES {
                self.worker(m);
            }
            if self.rng.random_bool(0.01) {
                self.new_map();
            }
            if self.rng.random_bool(0.004) {
                self.restart();
                self.new_map();
            }
            if self.rng.random_bool(0.005) {
                self.cancel();
            }
            if self.rng.random_bool(0.004) {
                let n = self.rng.random_range(0..CONTROLLERS);
                self.frozen[n] = self.step + self.rng.random_range(10..400);
            }
            self.check_cancelled();
            if self.step > 150 && self.rng.random_bool(0.02) {
                self.upgrade();
            }
            if self.small_at.is_some_and(|at| self.step >= at) {
                self.state.small = true;
            }
            if self.small_at.is_some() && self.submitted.len() < 60 && self.rng.random_bool(0.06) {
                self.submit();
            }
            if self.step.is_multiple_of(100) {
                self.check_orphaned();
            }
            if self.step.is_multiple_of(400) {
                // The leader gives machines back: gone first, then their records,
                // which several at a time have in one change.
                let mut gone = Vec::new();
                for _ in 0..self.rng.random_range(1..3) {
                    let m = self.rng.random_range(1..MACHINES);
                    if self.machines.iter().filter(|m| m.up).count() > 4 {
                        self.machines[m].up = false;
                        gone.push(id(m).as_str().into());
                    }
                }
                let fleet = FleetRecord { rentals: Vec::new(), gone: Some(gone) };
                let put = Put::new(key::FLEET.into(), &fleet);
                assert!(self.state.txn(&[], vec![put]) == Outcome::Committed);
            }
        }
        if calm {
            self.check_served();
        }
        self.check_records();
        let begun = self.needs.keys().filter(|id| self.done.iter().any(|t| t.starts_with(&format!("{id}/"))));
        let begun = begun.count() as u64;
        (self.broken, self.started, begun)
    }
}

const STEPS: u64 = 1800;
const CALM: u64 = 1200;

#[test]
fn no_rule_breaks_under_random_faults() {
    let mut steps = 0;
    for seed in 0..30 {
        let (broken, started, begun) = Sim::new(seed, Sabotage::None).run(STEPS, seed % 4 == 0);
        assert!(broken.is_empty(), "seed {seed}: {broken:?}");
        assert!(started > 60, "seed {seed}: only {started} starts");
        steps += begun;
    }
    assert!(steps > 60, "only {steps} steps of pipelines got anything done");
}

/// For each rule that it guards, the checker finds what is broken on purpose.
#[test]
fn the_checker_finds_what_is_broken_on_purpose() {
    let cases = [
        (Sabotage::Tokens, "ran_twice"),
        (Sabotage::Limit, "quota"),
        (Sabotage::Done, "not_done"),
        (Sabotage::Stops, "ran_cancelled"),
        (Sabotage::Kind, "wrong_place"),
        (Sabotage::Needs, "too_early"),
        (Sabotage::Needs, "orphaned"),
        (Sabotage::Sizes, "refused"),
    ];
    for (sabotage, rule) in cases {
        let found = (0..30).any(|seed| Sim::new(seed, sabotage).run(STEPS, false).0.contains(rule));
        assert!(found, "{rule}");
    }
}

//! A seeded random-fault test over decisions, records and workers, on a clock of
//! its own, with a checker for the rules. Messages are delayed, lost, reordered
//! and delivered minutes late; owners change; workers lose their lease; machines
//! are released.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sched::records::*;
use sched::world::{Change, World};
use store::{Put, decode_change, key};
use wire::{Cause, Command, Commands, Condition, JobKind, MachineType, Report, TaskReport, TaskState};

use crate::engine;
use crate::node::Node;
use crate::settings::tests::EXAMPLE;
use crate::settings::{Operators, Settings};
use crate::worker::tests::spec;

const STEP: Duration = Duration::from_millis(100);
const MACHINES: usize = 4;
const LEASE_STEPS: u64 = 60;

/// The state service: conditional transactions and an ordered log of changes.
#[derive(Default)]
struct State {
    keys: HashMap<String, u64>,
    log: Vec<(u64, Put)>,
    revision: u64,
}

impl State {
    fn txn(&mut self, conditions: &[Condition], puts: Vec<Put>) -> bool {
        if conditions.iter().any(|c| self.keys.get(&c.key).copied().unwrap_or(0) != c.version) {
            return false;
        }
        self.revision += 1;
        for put in puts {
            match put.value {
                Some(_) => self.keys.insert(put.key.clone(), self.revision),
                None => self.keys.remove(&put.key),
            };
            self.log.push((self.revision, put));
        }
        true
    }

    fn change_of(put: &Put) -> Change {
        decode_change(&put.key, put.value.clone()).0
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
            zone: "z".into(),
            spot: false,
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
    Commands { to: usize, from: usize, commands: Commands },
    Answer { to: usize, machine: usize, token: u64, report: Option<Report> },
    Txn { conditions: Vec<Condition>, puts: Vec<Put> },
    Proofs { to: usize, epoch: u64, list: Vec<peer::Proof> },
}

struct Sim {
    rng: StdRng,
    start: Instant,
    step: u64,
    state: State,
    nodes: Vec<Node>,
    /// How much of the log each controller has seen.
    seen: Vec<usize>,
    machines: Vec<Machine>,
    mail: Vec<(u64, Message)>,
    /// Requests on their way: controller and machine, and the token.
    waiting: BTreeMap<(usize, usize), u64>,
    /// Whether workers heed tokens; without, the checker has to find something.
    tokens: bool,
    broken: HashSet<&'static str>,
    done: HashSet<String>,
    started: u64,
}

fn id(machine: usize) -> String {
    format!("host-{machine:06}")
}

impl Sim {
    fn new(seed: u64, tokens: bool) -> Self {
        let nodes: Vec<Node> = (0..2)
            .map(|n| {
                let mut settings = Settings::parse("example", EXAMPLE).expect("the example is valid");
                settings.node_name = format!("n-{n}");
                settings.facts.teams[0].cpus_max = 6.0;
                Node::new(settings, Operators::default(), n + 1)
            })
            .collect();
        let machine =
            || Machine { up: true, session: 1, seq: 0, token: 0, renewed: 0, tasks: BTreeMap::new() };
        let mut sim = Self {
            rng: StdRng::seed_from_u64(seed),
            start: Instant::now(),
            step: 0,
            state: State::default(),
            seen: vec![0; nodes.len()],
            nodes,
            machines: (0..MACHINES).map(|_| machine()).collect(),
            mail: Vec::new(),
            waiting: BTreeMap::new(),
            tokens,
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
            zones: vec!["z".into()],
        };
        let mut puts = vec![
            Put::new(key::TYPES.into(), &TypesRecord { types: vec![kind] }),
            Put::new(key::LEADER.into(), &sim.nodes[0].me),
        ];
        for m in 0..MACHINES {
            let record = MachineRecord {
                addr: id(m),
                machine_type: "m".into(),
                zone: "z".into(),
                spot: false,
                release: false,
            };
            puts.push(Put::new(key::machine(&id(m)), &record));
        }
        for n in 0..6 {
            let kind = [JobKind::Array, JobKind::Service, JobKind::Gang][n % 3];
            let mut s = spec(&format!("j-{n}"), kind);
            s.tasks = 3;
            puts.push(Put::new(key::job(&s.id), &JobRecord::new(s.clone(), None, 0)));
        }
        sim.state.txn(&[], puts);
        sim.new_map();
        sim
    }

    fn now(&self) -> Instant {
        self.start + STEP * self.step as u32
    }

    /// A random set of live controllers, under the next epoch.
    fn new_map(&mut self) {
        let live = match self.rng.random_range(0..3) {
            0 => vec![self.nodes[0].me.clone()],
            1 => vec![self.nodes[1].me.clone()],
            _ => self.nodes.iter().map(|n| n.me.clone()).collect(),
        };
        let epoch = self.step + 1;
        let leader = live[0].clone();
        let puts = vec![
            Put::new(key::MAP.into(), &MapRecord { epoch, live }),
            Put::new(key::LEADER.into(), &leader),
        ];
        self.state.txn(&[], puts);
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
        let now = self.now();
        // The mirror lags by whole revisions.
        if self.rng.random_range(0..4) > 0 {
            let mut core = self.nodes[n].core();
            while let Some((revision, put)) = self.state.log.get(self.seen[n]) {
                core.world.apply(State::change_of(put), *revision);
                core.world.revision = *revision;
                self.seen[n] += 1;
            }
            core.ready = true;
            core.fresh_at = Some(now);
        }
        let decided = {
            let node = &self.nodes[n];
            let mut core = node.core();
            let scan = self.step.is_multiple_of(50);
            engine::decide(node, &mut core, scan, 16, now, self.step * 100).map(|r| {
                let (conditions, puts, ..) = engine::assemble(&core.world, &r, 16, 8192.0);
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
            self.post(Message::Txn { conditions, puts });
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
        for (name, (state, cause)) in &mut self.machines[m].tasks {
            match state {
                TaskState::Fetching if self.rng.random_bool(0.3) => *state = TaskState::Running,
                TaskState::Running if self.rng.random_bool(0.02) => {
                    *state = TaskState::Exited;
                    let fails = self.rng.random_bool(0.2);
                    *cause = Some(if fails { Cause::Error } else { Cause::Done });
                    if !fails {
                        self.done.insert(name.0.clone());
                    }
                }
                _ => {}
            }
        }
        if self.rng.random_bool(0.3) {
            // To the owner by the newest map, or to whoever still thinks so.
            let n = self.rng.random_range(0..self.nodes.len());
            let report = self.machines[m].report(&id(m));
            let sent = self.step;
            let Some((token, orders)) = self.answer_report(n, m, report) else { return };
            // The answer may be lost; it is never late.
            if self.rng.random_bool(0.8) && (token >= self.machines[m].token || !self.tokens) {
                self.machines[m].token = token;
                self.machines[m].renewed = sent;
                self.execute(m, &orders);
            }
        }
    }

    fn answer_report(&mut self, n: usize, m: usize, report: Report) -> Option<(u64, Vec<Command>)> {
        let now = self.now();
        let node = &self.nodes[n];
        let mut core = node.core();
        let core = &mut *core;
        let mine = core.world.owner_of(&id(m)).is_some_and(|o| *o == node.me);
        if !mine || !core.may_renew(&node.me, 0, node.settings.renewal_bound(), now) {
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
                    self.machines[m].tasks.insert((task.clone(), *attempt), state);
                }
                Command::Stop { task, attempt, .. } => {
                    if let Some(s) = self.machines[m].tasks.get_mut(&(task.clone(), *attempt))
                        && s.0 != TaskState::Exited
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
        if on > 6.0 {
            self.broken.insert("quota");
        }
    }

    fn deliver(&mut self) {
        let mut due = Vec::new();
        let mut rest = Vec::new();
        for (at, message) in std::mem::take(&mut self.mail) {
            if at <= self.step { due.push(message) } else { rest.push((at, message)) }
        }
        self.mail = rest;
        for message in due {
            match message {
                Message::Proofs { to, epoch, list } => {
                    engine::take_proofs(&self.nodes[to], epoch, list, self.now());
                }
                Message::Txn { conditions, puts } => {
                    self.state.txn(&conditions, puts);
                }
                Message::Commands { to, from, commands } => {
                    let lost = self.rng.random_bool(0.1) || !self.machines[to].up;
                    let valid = !self.tokens || commands.token >= self.machines[to].token;
                    if valid && commands.session == self.machines[to].session && self.machines[to].up {
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
        let mut world = World::default();
        for (revision, put) in &self.state.log {
            world.apply(State::change_of(put), *revision);
        }
        for (id, job) in &world.jobs {
            let every = (0..3).all(|t| self.done.contains(&format!("{id}/{t}")));
            let gang = (0..3).any(|t| self.done.contains(&format!("{id}/{t}")));
            if job.value.phase == Phase::Done && !every && !(id == "j-2" || id == "j-5")
                || job.value.phase == Phase::Done && !gang
            {
                self.broken.insert("not_done");
            }
        }
    }

    fn run(mut self, steps: u64) -> (HashSet<&'static str>, u64) {
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
            if self.step.is_multiple_of(400) {
                // The leader gives a machine back: gone first, then its record.
                let m = self.rng.random_range(1..MACHINES);
                self.machines[m].up = false;
                self.state.txn(&[], vec![Put::delete(key::machine(&id(m)))]);
            }
        }
        self.check_records();
        (self.broken, self.started)
    }
}

#[test]
fn no_rule_breaks_under_random_faults() {
    for seed in 0..40 {
        let (broken, started) = Sim::new(seed, true).run(1200);
        assert!(broken.is_empty(), "seed {seed}: {broken:?}");
        assert!(started > 10, "seed {seed}: only {started} starts");
    }
}

#[test]
fn the_checker_finds_what_workers_without_tokens_do() {
    let found = (0..40).filter(|seed| Sim::new(*seed, false).run(1200).0.contains("ran_twice")).count();
    assert!(found > 0);
}

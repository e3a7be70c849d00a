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
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sched::records::*;
use sched::replica::{RecordChange, Replica};
use store::{KeyWrite, RecordReader, decode_change, key, split_record};
use wire::{Command, Commands, Condition, ExitReason, Heartbeat, JobKind, TaskState, TaskStatus};

use crate::api;
use crate::controller::Controller;
use crate::operators::OperatorSettings;
use crate::production;
use crate::scheduler;
use crate::settings::tests::EXAMPLE;
use crate::settings::{NextStoreSettings, Peer, Settings};
use crate::worker::tests::spec;

mod checker;
mod controllers;
mod machines;
mod mail;
mod state;
mod users;

use machines::{Machine, id, spot, zone};
use mail::Message;
use state::{Outcome, State, by_production};

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

struct Sim {
    rng: StdRng,
    start: Instant,
    step: u64,
    state: State,
    nodes: Vec<Arc<Controller>>,
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

impl Sim {
    fn new(seed: u64, sabotage: Sabotage) -> Self {
        let nodes: Vec<Arc<Controller>> =
            (0..CONTROLLERS).map(|n| Self::new_controller(n, n as u64 + 1, sabotage, true)).collect();
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
        let kind = crate::worker::tests::machine_type(4.0, 64.0, &["z", "y"]);
        let mut puts = vec![
            KeyWrite::new(key::TYPES.into(), &MachineTypesRecord { types: vec![kind] }),
            KeyWrite::new(key::LEADER.into(), &sim.nodes[0].identity),
        ];
        for m in 0..MACHINES {
            let record = MachineRecord {
                addr: id(m),
                machine_type: "m".into(),
                zone: zone(&id(m)).into(),
                spot: spot(&id(m)) && sabotage != Sabotage::Kind,
                release: false,
            };
            puts.push(KeyWrite::new(key::machine(&id(m)), &record));
        }
        for n in 0..FIRST {
            let s = Self::job(n);
            puts.push(KeyWrite::new(key::job(&s.id), &JobRecord::new(s.clone(), None, 0)));
        }
        assert!(sim.state.txn(&[], puts) == Outcome::Committed);
        sim.new_map();
        sim
    }

    fn now(&self) -> Instant {
        self.start + STEP * self.step as u32
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
                let fleet = FleetRecord { scale_outs: Vec::new(), removed_machines: Some(gone) };
                let put = KeyWrite::new(key::FLEET.into(), &fleet);
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

//! Days on which troubles meet. Whole controllers run here, with all their duties, over a
//! network, a state service, a cloud, workers and users that are played in memory, and
//! on a clock that does not wait: a day of minutes takes about a second. What the users
//! are told and what is on the machines is held against the rules.
//!
//! A day that breaks a rule is played again without one trouble after the other, until
//! none can be left out. `SAGELOOM_SIM_SEEDS=FROM..TO` plays other days than CI does,
//! `SAGELOOM_SIM_TRACE=1` prints what happened on those that broke a rule instead of
//! shortening them, and `SAGELOOM_SIM_LOG=1` the controllers' own log.

mod checker;
mod cloud;
mod controllers;
mod drains;
mod machines;
mod network;
mod state;
mod tests;
mod troubles;
mod users;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use net::Request;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::time::{Instant, sleep};
use wire::Heartbeat;

use controllers::Process;
use machines::{LEASE_MS, Machine};
use network::{Cut, Held, Party};
use troubles::Event;
use users::Job;

const CONTROLLERS: usize = 3;
/// What the teams may use.
const LIMIT: f64 = 16.0;
const LIMIT_U: f64 = 8.0;
const TICK_MS: u64 = 100;
/// How long a day goes on after its last trouble: longer than any job may wait.
const CALM_MS: u64 = 110_000;
/// How long jobs come before that where there is no trouble at all.
const WARM_MS: u64 = 30_000;

/// What is broken on purpose, to see that the checker finds it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Sabotage {
    None,
    /// The cloud confirms releases and leaves the machines as they are.
    Released,
    /// So does it, and workers keep their tasks when their leases end.
    Leases,
    /// The controllers are told a higher limit.
    Limit,
    /// Workers call failed tasks done.
    Done,
    /// Workers do not stop.
    Stops,
    /// Workers start nothing.
    Starts,
    /// Workers start what was stopped once more.
    Again,
    /// Spot machines call themselves ordinary.
    Kind,
    /// Users' jobs lose on the way what they need.
    Needs,
    /// A record is deleted, one is set back, one is made up.
    Forget,
    Flip,
    Invent,
    /// Some questions about a job are answered with 404.
    Unknown,
    /// No user hears an answer once troubles are over.
    Mute,
    /// Workers call tasks running that still fetch their images.
    Early,
    /// What is refused is called accepted, and what is open cancelled.
    Odd,
    Called,
}

/// A day: its troubles, and the seed of everything else.
#[derive(Debug, Clone)]
struct Day {
    seed: u64,
    events: Vec<Event>,
    sabotage: Sabotage,
    /// How long it goes on after its last trouble.
    calm_ms: u64,
    /// Operators drain machines.
    drains: bool,
}

/// What came of a day.
#[derive(Debug, Default)]
struct Outcome {
    /// The rules that were broken, and how first.
    broken: BTreeMap<&'static str, String>,
    started: u64,
    done: usize,
    cancelled: usize,
    /// Starts of cancelled jobs soon after the confirmation, while there were troubles.
    late_starts: u64,
    /// Replicas that ran and were stopped although nobody had asked for it.
    stopped_by_choice: usize,
    trace: Vec<String>,
}

/// A share of the reports arrives once more.
#[derive(Debug, Clone, Copy, Default)]
struct Copies {
    share: f64,
    until: u64,
    for_next: bool,
}

struct All {
    start: Instant,
    rng: StdRng,
    sabotage: Sabotage,
    drains: bool,
    down_by_choice: drains::DownByChoice,
    state: state::State,
    cloud: cloud::Cloud,
    controllers: Vec<Process>,
    incarnations: u64,
    machines: BTreeMap<String, Machine>,
    jobs: BTreeMap<String, Job>,
    submitted: u64,
    odd: u64,
    /// Tasks that are done in truth, and jobs that have ended just now.
    done: BTreeSet<String>,
    ended: Vec<String>,
    cuts: Vec<(Cut, u64)>,
    held_commands: Held,
    held_peers: Held,
    copies: Copies,
    kept_copies: Vec<Heartbeat>,
    copies_due: Vec<(u64, usize, Heartbeat)>,
    new_map: bool,
    /// What is started once more, by sabotage: when, the machine, the task, the attempt.
    again: Vec<(u64, String, String, u64)>,
    cancel_at_end: (f64, u64),
    close_looks_until: u64,
    calm_at: u64,
    troubled_until: u64,
    polls: VecDeque<(u64, bool)>,
    broken: BTreeMap<&'static str, String>,
    started: u64,
    late_starts: u64,
    trace: Vec<String>,
}

/// All that there is on a day.
#[derive(Clone)]
struct Site {
    start: Instant,
    all: Arc<Mutex<All>>,
}

fn job_of(task: &str) -> &str {
    task.split('/').next().unwrap_or_default()
}

fn cpus(machine_type: &str) -> f64 {
    cloud::types().iter().find(|t| t.name == machine_type).map_or(0.0, |t| t.cpus)
}

impl All {
    fn ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    fn is_calm(&self) -> bool {
        self.ms() > self.calm_at
    }

    /// A copy of a report that was sent to a controller, perhaps.
    fn copy_report(&mut self, report: &Heartbeat, to: usize) {
        let now = self.ms();
        let Copies { share, until, for_next } = self.copies;
        if now >= until || !self.rng.random_bool(share) {
            return;
        }
        if for_next {
            self.kept_copies.push(report.clone());
        } else {
            let to = if self.rng.random_bool(0.7) { to } else { self.rng.random_range(0..CONTROLLERS) };
            let late = self.rng.random_range(2000..LEASE_MS * 5 / 2);
            self.copies_due.push((now + late, to, report.clone()));
        }
    }

    /// Copies that are due by now; those kept for the next leader when it begins.
    fn due_copies(&mut self) -> Vec<(usize, Heartbeat)> {
        let now = self.ms();
        if std::mem::take(&mut self.new_map) {
            for report in std::mem::take(&mut self.kept_copies) {
                for n in 0..CONTROLLERS {
                    let at = now + self.rng.random_range(0..400);
                    self.copies_due.push((at, n, report.clone()));
                }
            }
        }
        let (due, rest) = std::mem::take(&mut self.copies_due).into_iter().partition(|(at, ..)| *at <= now);
        self.copies_due = rest;
        due.into_iter().map(|(_, n, report)| (n, report)).collect()
    }
}

impl Site {
    fn new(day: &Day) -> Self {
        let start = Instant::now();
        let last = day.events.iter().map(|e| e.at + e.trouble.lasts()).max().unwrap_or(WARM_MS);
        let all = All {
            start,
            rng: StdRng::seed_from_u64(day.seed),
            sabotage: day.sabotage,
            drains: day.drains,
            down_by_choice: drains::DownByChoice::default(),
            state: state::State::default(),
            cloud: cloud::Cloud::default(),
            controllers: (0..CONTROLLERS).map(|_| Process::default()).collect(),
            incarnations: 0,
            machines: BTreeMap::new(),
            jobs: BTreeMap::new(),
            submitted: 0,
            odd: 0,
            done: BTreeSet::new(),
            ended: Vec::new(),
            cuts: Vec::new(),
            held_commands: Held::default(),
            held_peers: Held::default(),
            copies: Copies::default(),
            kept_copies: Vec::new(),
            copies_due: Vec::new(),
            new_map: false,
            again: Vec::new(),
            cancel_at_end: (0.0, 0),
            close_looks_until: 0,
            calm_at: last + 10_000,
            troubled_until: 0,
            polls: VecDeque::new(),
            broken: BTreeMap::new(),
            started: 0,
            late_starts: 0,
            trace: Vec::new(),
        };
        Self { start, all: Arc::new(Mutex::new(all)) }
    }

    fn lock(&self) -> MutexGuard<'_, All> {
        self.all.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Leaves a line in the trace.
    fn note(&self, line: impl FnOnce() -> String) {
        let line = format!("{:>7} {}", self.ms(), line());
        self.lock().trace.push(line);
    }

    async fn play(&self, day: &Day) {
        for n in 0..CONTROLLERS {
            self.start_controller(n);
        }
        let mut due: VecDeque<Event> = day.events.iter().copied().collect();
        let calm_at = self.lock().calm_at;
        let mut next_job = 3000;
        let mut spoiled = false;
        let mut ticks = 0u64;
        while self.ms() < calm_at + day.calm_ms {
            sleep(Duration::from_millis(TICK_MS)).await;
            ticks += 1;
            let now = self.ms();
            while due.front().is_some_and(|e| e.at <= now)
                && let Some(e) = due.pop_front()
            {
                self.begin(e.trouble);
            }
            {
                let mut all = self.lock();
                all.state.tick(now);
                all.run_machines();
                if ticks.is_multiple_of(5) {
                    all.check_cancelled();
                }
                if now > calm_at && ticks.is_multiple_of(10) {
                    all.check_calm();
                }
                if now > calm_at && !spoiled {
                    spoiled = true;
                    if let Some(id) = all.spoil_records() {
                        let site = self.clone();
                        tokio::spawn(async move {
                            sleep(Duration::from_secs(3)).await;
                            site.look(0, &id).await;
                        });
                    }
                }
            }
            self.boot();
            let ended = std::mem::take(&mut self.lock().ended);
            ended.into_iter().for_each(|id| self.job_ends(id));
            let copies = self.lock().due_copies();
            for (n, report) in copies {
                let body = Bytes::from(wire::encode(&report));
                let request = Request { method: "POST".into(), path: "/hello".into(), body };
                let (site, from) = (self.clone(), Party::Machine(report.machine));
                // Nobody reads the answer.
                tokio::spawn(async move { site.exchange(from, Party::Controller(n), request).await });
            }
            if now >= next_job && now < calm_at + 10_000 {
                let (id, pause) = {
                    let mut all = self.lock();
                    (all.next_job(), all.rng.random_range(500..2500))
                };
                next_job = now + pause;
                let site = self.clone();
                tokio::spawn(async move { site.user(id, false).await });
            }
            if ticks.is_multiple_of(50) {
                let (n, id) = {
                    let mut all = self.lock();
                    let jobs = all.jobs.len().max(1);
                    let i = all.rng.random_range(0..jobs);
                    (all.rng.random_range(0..CONTROLLERS), all.jobs.keys().nth(i).cloned())
                };
                let site = self.clone();
                tokio::spawn(async move {
                    site.look(n, users::NOBODYS).await;
                    // Users ask again at any later time.
                    if let Some(id) = id {
                        site.look(n, &id).await;
                    }
                });
            }
        }
        let mut all = self.lock();
        if day.drains && day.calm_ms > 0 {
            all.check_drains_over();
        }
        if all.started == 0 {
            all.breach("nothing_ran", String::new());
        }
    }
}

/// The controllers' log, with the time of the day that is played.
fn show_log() {
    struct DayTime(Mutex<Option<Instant>>);
    impl tracing_subscriber::fmt::time::FormatTime for DayTime {
        fn format_time(&self, w: &mut tracing_subscriber::fmt::format::Writer<'_>) -> std::fmt::Result {
            let now = Instant::now();
            let mut start = self.0.lock().unwrap_or_else(PoisonError::into_inner);
            write!(w, "{:>7}", (now - *start.get_or_insert(now)).as_millis())
        }
    }
    let log = tracing_subscriber::fmt().with_max_level(tracing::Level::DEBUG).with_ansi(false);
    let _ =
        log.with_timer(DayTime(Mutex::new(None))).with_target(false).with_writer(std::io::stderr).try_init();
}

/// Plays one day.
fn play(day: &Day) -> Outcome {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    let runtime = runtime.expect("a runtime");
    runtime.block_on(async {
        let site = Site::new(day);
        site.play(day).await;
        for n in 0..CONTROLLERS {
            site.kill_controller(n);
        }
        let mut all = site.lock();
        Outcome {
            broken: std::mem::take(&mut all.broken),
            started: all.started,
            done: all.jobs.values().filter(|j| j.done.is_some()).count(),
            cancelled: all.jobs.values().filter(|j| j.cancelled.is_some()).count(),
            late_starts: all.late_starts,
            stopped_by_choice: all.down_by_choice.stops,
            trace: std::mem::take(&mut all.trace),
        }
    })
}

/// The shortest list of troubles that still breaks the rule, as far as leaving out one
/// after the other finds it.
fn shrink(day: &Day, rule: &str) -> Day {
    let mut day = day.clone();
    let breaks = |day: &Day| (0..2).any(|_| play(day).broken.contains_key(rule));
    let mut i = 0;
    while i < day.events.len() {
        let mut fewer = day.clone();
        fewer.events.remove(i);
        if breaks(&fewer) { day = fewer } else { i += 1 }
    }
    day
}

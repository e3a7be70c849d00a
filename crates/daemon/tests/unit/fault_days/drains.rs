//! Drains among the troubles: an operator retires machines, and what the machines themselves
//! did is held against the budgets. Teams have no guarantees on these days and services the
//! highest priority, so that whoever stops a replica whose user wants it does so by choice.

use std::collections::BTreeMap;
use std::time::Duration;

use drain::selection::Selection;
use net::Client;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sched::drain_records::{DrainPhase, UnsavedWork};
use sched::replica::RecordChange;
use store::KeyValueClient;
use tokio::time::sleep;
use wire::JobKind;

use super::network::{STATE, link};
use super::troubles::{Event, Trouble, Who};
use super::users::kind_of;
use super::*;
use crate::drains::command::{DrainError, Feasibility, Request as DrainRequest, Service};
use crate::operators::OperatorSettings;

/// How long one obstacle may stand before a drain stops by itself.
const GIVE_UP_S: f64 = 60.0;
/// How long work that cannot save may run on.
const PATIENCE_S: f64 = 10.0;
/// What of team "t" may be down by choice; team "u" has the default, one of each service.
const COUNT_T: usize = 2;
const PER_SERVICE: usize = 1;

const OPERATORS: &str = r#"
rescheduler {
  scan_s   = 2
  budget_s = 4
}
drains {
  enabled = true
  team "t" { count = 2 }
}
"#;

/// The controllers' settings of operators who drain machines.
pub(super) fn operators() -> OperatorSettings {
    OperatorSettings::parse("drains.hcl", OPERATORS).expect("valid settings")
}

/// What was stopped by choice and has not run since: the attempts.
#[derive(Debug, Default)]
pub(super) struct DownByChoice {
    pub(super) tasks: BTreeMap<String, u64>,
    /// Most of a service and of a team at a time, and all together.
    pub(super) most: (usize, usize),
    pub(super) stops: usize,
}

impl All {
    /// A machine is told to stop a replica that runs.
    pub(super) fn note_stop(&mut self, machine: &str, task: &str, attempt: u64) {
        let wanted = |j: &users::Job| j.asked.is_none();
        let runs_for_user = self.jobs.get(job_of(task)).is_some_and(wanted);
        let noticed = self.machines.get(machine).is_some_and(|m| m.notice_until.is_some());
        if !self.drains || kind_of(task) != JobKind::Service || !runs_for_user || noticed {
            return;
        }
        // A replica that was given up, and runs elsewhere by now or soon will.
        let elsewhere = |m: &machines::Machine| m.tasks.keys().any(|(t, a)| t == task && *a > attempt);
        if self.machines.values().any(elsewhere) {
            return;
        }
        self.down_by_choice.tasks.insert(task.to_owned(), attempt);
        self.down_by_choice.stops += 1;
        self.check_budgets();
    }

    /// A replica runs.
    pub(super) fn note_running(&mut self, task: &str, attempt: u64) {
        if self.down_by_choice.tasks.get(task).is_some_and(|stopped| attempt > *stopped) {
            self.down_by_choice.tasks.remove(task);
        }
    }

    fn check_budgets(&mut self) {
        let jobs = &self.jobs;
        self.down_by_choice.tasks.retain(|t, _| jobs.get(job_of(t)).is_some_and(|j| j.asked.is_none()));
        let mut of_service: BTreeMap<&str, usize> = BTreeMap::new();
        let mut of_team: BTreeMap<&str, usize> = BTreeMap::new();
        for task in self.down_by_choice.tasks.keys() {
            *of_service.entry(job_of(task)).or_default() += 1;
            let team = jobs.get(job_of(task)).map_or("", |j| j.spec.team.as_str());
            *of_team.entry(team).or_default() += 1;
        }
        let service = of_service.values().copied().max().unwrap_or(0);
        let team_t = of_team.get("t").copied().unwrap_or(0);
        let most = &mut self.down_by_choice.most;
        *most = (most.0.max(service), most.1.max(team_t));
        if service > PER_SERVICE || team_t > COUNT_T {
            let detail = format!("{:?}", self.down_by_choice.tasks);
            self.breach("budget", detail);
        }
    }

    /// Each drain is over in time, and its record tells how.
    pub(super) fn check_drains_over(&mut self) {
        for (name, phase) in self.state.drains() {
            match phase {
                Some(DrainPhase::Closed(_)) => {}
                other => self.breach("drain_not_over", format!("{name}: {other:?}")),
            }
        }
    }
}

impl state::State {
    /// The drains, and how far each is; None: its record cannot be read.
    fn drains(&self) -> Vec<(String, Option<DrainPhase>)> {
        let of = |(key, value): (&String, &rmpv::Value)| match store::decode_change(key, Some(value.clone()))
        {
            (RecordChange::Drain(name, record), _) => Some((name, record.map(|r| r.phase))),
            _ => None,
        };
        self.records().filter_map(of).collect()
    }
}

impl Site {
    /// An operator drains some machines, and repeats the command until it is answered.
    pub(super) fn drain_some(&self, machines: Vec<String>) {
        let site = self.clone();
        let name = format!("d-{}", self.ms());
        tokio::spawn(async move {
            let request = DrainRequest {
                selection: Selection { machines, ..Selection::default() },
                patience_s: PATIENCE_S,
                give_up_s: GIVE_UP_S,
                unsaved: UnsavedWork::Stop,
                operators: operators(),
            };
            for _ in 0..40 {
                let outcome = site.operator().start(&name, &request, Feasibility::NotRequired).await;
                site.note(|| {
                    format!("drain start {name}: {:?}", outcome.as_ref().err().map(ToString::to_string))
                });
                match outcome {
                    Err(
                        DrainError::NotRead(_) | DrainError::NotWritten(_) | DrainError::OldController(_),
                    ) => {}
                    Err(DrainError::Contended) => {}
                    Ok(()) => return,
                    // Some of them are gone, or being drained already.
                    Err(_) => return,
                }
                sleep(Duration::from_secs(2)).await;
            }
        });
    }

    /// The command, at the host of a controller that runs.
    fn operator(&self) -> Service {
        let all = self.lock();
        let n = (0..CONTROLLERS).find(|n| all.controllers[*n].controller.is_some()).unwrap_or_default();
        let incarnation = all.controllers[n].incarnation;
        drop(all);
        let client = Client::with_transport(link(self, n, incarnation));
        Service::new(KeyValueClient::new(client, STATE.into(), 1 << 20), None)
    }
}

/// Drains that overlap, beside a day's other troubles.
fn draw(seed: u64) -> Vec<Event> {
    let mut rng = StdRng::seed_from_u64(seed ^ 0xd5a1);
    let mut events = troubles::draw(seed, 1);
    for _ in 0..3 {
        let trouble = Trouble::Drain { count: rng.random_range(1..5) };
        events.push(Event { at: rng.random_range(18_000..60_000), trouble });
    }
    events.sort_by_key(|e| e.at);
    events
}

fn drain_day(seed: u64, events: Vec<Event>) -> Day {
    Day { seed, events, sabotage: Sabotage::None, calm_ms: CALM_MS, drains: true }
}

fn at(at: u64, trouble: Trouble) -> Event {
    Event { at, trouble }
}

/// Days that CI plays.
const DRAIN_DAYS: std::ops::Range<u64> = 0..6;

/// No rule breaks and no budget is exceeded when drains meet other troubles, and each drain
/// ends.
#[test]
fn no_budget_is_exceeded_when_drains_meet_troubles() {
    let days = tests::days().unwrap_or(DRAIN_DAYS);
    if std::env::var("SAGELOOM_SIM_LOG").is_ok() {
        show_log();
    }
    let (mut failed, mut stops) = (Vec::new(), 0);
    for seed in days {
        let day = drain_day(seed, draw(seed));
        let outcome = play(&day);
        stops += outcome.stopped_by_choice;
        println!(
            "seed {seed}: {} replicas stopped by choice, {:?}",
            outcome.stopped_by_choice, outcome.broken
        );
        if let Some(rule) = outcome.broken.keys().next() {
            if std::env::var("SAGELOOM_SIM_TRACE").is_ok() {
                outcome.trace.iter().for_each(|line| println!("{line}"));
            } else {
                println!("seed {seed} breaks {rule}; it takes: {:#?}", shrink(&day, rule).events);
            }
            failed.push((seed, outcome.broken));
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
    assert!(stops > 10, "{stops} replicas were stopped by choice");
}

/// Two drains overlap, their leader ends in mid-step and is back at once, and then the state
/// service is out for longer than a cancellation may take.
#[test]
fn drains_outlive_their_leader_and_an_outage() {
    for seed in 0..2 {
        let quick = Trouble::Restart { who: Who::Leader, orderly: false, away_ms: 100 };
        let events = vec![
            at(30_000, Trouble::Drain { count: 4 }),
            at(31_000, Trouble::Drain { count: 4 }),
            at(34_000, quick),
            at(38_000, Trouble::Outage { for_ms: machines::CANCEL_MS + 5000 }),
            at(40_000, Trouble::Lost { count: 1 }),
        ];
        let outcome = play(&drain_day(seed, events));
        assert!(outcome.broken.is_empty(), "seed {seed}: {:?}", outcome.broken);
        assert!(outcome.stopped_by_choice > 0, "seed {seed}: nothing was moved");
    }
}

/// Machines that call a replica running while it still fetches its image make the controllers
/// stop the next one too early: the checker sees that.
#[test]
fn the_checker_finds_an_exceeded_budget() {
    let events = || (0..8).map(|n| at(25_000 + n * 4000, Trouble::Drain { count: 3 })).collect();
    let found = |seed| {
        let day = Day { sabotage: Sabotage::Early, calm_ms: 0, ..drain_day(seed, events()) };
        let outcome = play(&day);
        println!("seed {seed}: {} stopped, {:?}", outcome.stopped_by_choice, outcome.broken);
        outcome.broken.contains_key("budget")
    };
    assert!((0..40).any(found), "no budget was exceeded");
}

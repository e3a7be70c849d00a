//! Drains concurrent with other faults: an operator drains machines, and the stops that the
//! machines executed are checked against the disruption budgets. In these scenarios teams
//! have no guaranteed CPUs and services have the highest priority, so that stopping a running
//! replica that its user wants is always a voluntary disruption.

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

use super::faults::{Fault, ScheduledFault, Target};
use super::network::{STORE_ADDRESS, controller_transport};
use super::users::kind_of;
use super::*;
use crate::drains::command::{DrainError, Feasibility, Request as DrainRequest, Service};
use crate::operators::OperatorSettings;

/// A drain stops by itself once one obstacle has lasted this long.
const GIVE_UP_S: f64 = 60.0;
/// How long work that cannot save a checkpoint may continue to run.
const PATIENCE_S: f64 = 10.0;
/// Voluntary disruptions allowed at a time in team "t". Team "u" has the default, one
/// replica of each service.
const TEAM_T_BUDGET: usize = 2;
const SERVICE_BUDGET: usize = 1;

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

/// OperatorSettings' settings with drains enabled.
pub(super) fn operators() -> OperatorSettings {
    OperatorSettings::parse("drains.hcl", OPERATORS).expect("valid settings")
}

/// Replicas that were stopped voluntarily and whose replacements do not run yet.
#[derive(Debug, Default)]
pub(super) struct VoluntaryDisruptions {
    /// The stopped attempt of each task.
    pub(super) tasks: BTreeMap<String, u64>,
    /// The highest number at a time in any service and in team "t".
    pub(super) peak: (usize, usize),
    /// The number of voluntary stops in total.
    pub(super) stops: usize,
}

impl Simulation {
    /// Records a running replica being stopped if that is a voluntary disruption.
    pub(super) fn record_stop(&mut self, machine: &str, task: &str, attempt: u64) {
        let is_wanted = |j: &users::Job| j.cancel_requested_at.is_none();
        let runs_for_user = self.jobs.get(job_of(task)).is_some_and(is_wanted);
        let has_spot_notice = self.machines.get(machine).is_some_and(|m| m.notice_until.is_some());
        if !self.drains || kind_of(task) != JobKind::Service || !runs_for_user || has_spot_notice {
            return;
        }
        // An abandoned attempt: a later attempt of this replica is on a machine already.
        let has_later_attempt =
            |m: &machines::Machine| m.tasks.keys().any(|(t, a)| t == task && *a > attempt);
        if self.machines.values().any(has_later_attempt) {
            return;
        }
        self.voluntary_disruptions.tasks.insert(task.to_owned(), attempt);
        self.voluntary_disruptions.stops += 1;
        self.check_budgets();
    }

    /// Ends the disruption of a replica when a later attempt runs.
    pub(super) fn record_running(&mut self, task: &str, attempt: u64) {
        if self.voluntary_disruptions.tasks.get(task).is_some_and(|stopped| attempt > *stopped) {
            self.voluntary_disruptions.tasks.remove(task);
        }
    }

    fn check_budgets(&mut self) {
        let jobs = &self.jobs;
        self.voluntary_disruptions
            .tasks
            .retain(|t, _| jobs.get(job_of(t)).is_some_and(|j| j.cancel_requested_at.is_none()));
        let mut per_service: BTreeMap<&str, usize> = BTreeMap::new();
        let mut per_team: BTreeMap<&str, usize> = BTreeMap::new();
        for task in self.voluntary_disruptions.tasks.keys() {
            *per_service.entry(job_of(task)).or_default() += 1;
            let team = jobs.get(job_of(task)).map_or("", |j| j.spec.team.as_str());
            *per_team.entry(team).or_default() += 1;
        }
        let service = per_service.values().copied().max().unwrap_or(0);
        let team_t = per_team.get("t").copied().unwrap_or(0);
        let peak = &mut self.voluntary_disruptions.peak;
        *peak = (peak.0.max(service), peak.1.max(team_t));
        if service > SERVICE_BUDGET || team_t > TEAM_T_BUDGET {
            let detail = format!("{:?}", self.voluntary_disruptions.tasks);
            self.record_violation("budget", detail);
        }
    }

    /// Checks that each drain is closed and that its record is readable.
    pub(super) fn check_drains_closed(&mut self) {
        for (name, phase) in self.store.drains() {
            match phase {
                Some(DrainPhase::Closed(_)) => {}
                other => self.record_violation("drain_not_closed", format!("{name}: {other:?}")),
            }
        }
    }
}

impl key_value_store::KeyValueStore {
    /// The phase of each drain; None if its record cannot be read.
    fn drains(&self) -> Vec<(String, Option<DrainPhase>)> {
        let drain_phase =
            |(key, value): (&String, &rmpv::Value)| match store::decode_change(key, Some(value.clone())) {
                (RecordChange::Drain(name, record), _) => Some((name, record.map(|r| r.phase))),
                _ => None,
            };
        self.records().filter_map(drain_phase).collect()
    }
}

impl Site {
    /// Starts a drain, retrying every 2 s while the command fails for a temporary reason.
    pub(super) fn drain_machines(&self, machines: Vec<String>) {
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
                let outcome = site.drain_service().start(&name, &request, Feasibility::NotRequired).await;
                site.add_trace(|| {
                    format!("drain start {name}: {:?}", outcome.as_ref().err().map(ToString::to_string))
                });
                match outcome {
                    Err(
                        DrainError::NotRead(_) | DrainError::NotWritten(_) | DrainError::OldController(_),
                    ) => {}
                    Err(DrainError::Contended) => {}
                    Ok(()) => return,
                    // Some of the machines are gone, or are being drained already.
                    Err(_) => return,
                }
                sleep(Duration::from_secs(2)).await;
            }
        });
    }

    /// The drain command service, run on the host of a running controller.
    fn drain_service(&self) -> Service {
        let simulation = self.lock();
        let n =
            (0..CONTROLLERS).find(|n| simulation.controllers[*n].controller.is_some()).unwrap_or_default();
        let incarnation = simulation.controllers[n].incarnation;
        drop(simulation);
        let client = Client::with_transport(controller_transport(self, n, incarnation));
        Service::new(KeyValueClient::new(client, STORE_ADDRESS.into(), 1 << 20), None)
    }
}

/// Draws overlapping drains together with other faults.
fn draw(seed: u64) -> Vec<ScheduledFault> {
    let mut rng = StdRng::seed_from_u64(seed ^ 0xd5a1);
    let mut faults = faults::draw(seed, 1);
    for _ in 0..3 {
        let fault = Fault::Drain { count: rng.random_range(1..5) };
        faults.push(ScheduledFault { starts_at: rng.random_range(18_000..60_000), fault });
    }
    faults.sort_by_key(|e| e.starts_at);
    faults
}

fn drain_scenario(seed: u64, faults: Vec<ScheduledFault>) -> Scenario {
    Scenario { seed, faults, defect: Defect::None, recovery_ms: RECOVERY_MS, drains: true }
}

fn at(starts_at: u64, fault: Fault) -> ScheduledFault {
    ScheduledFault { starts_at, fault }
}

/// Seeds that CI runs.
const DRAIN_SEEDS: std::ops::Range<u64> = 0..6;

/// No rule is violated, no budget is exceeded, and each drain ends.
#[test]
fn budgets_hold_and_drains_end_when_drains_overlap_with_other_faults() {
    let seeds = tests::seeds_from_environment().unwrap_or(DRAIN_SEEDS);
    if std::env::var("SAGELOOM_SIM_LOG").is_ok() {
        show_log();
    }
    let (mut failed, mut stops) = (Vec::new(), 0);
    for seed in seeds {
        let scenario = drain_scenario(seed, draw(seed));
        let outcome = run_scenario(&scenario);
        stops += outcome.voluntary_stops;
        println!(
            "seed {seed}: {} replicas stopped voluntarily, violations: {:?}",
            outcome.voluntary_stops, outcome.violations
        );
        if let Some(rule) = outcome.violations.keys().next() {
            if std::env::var("SAGELOOM_SIM_TRACE").is_ok() {
                outcome.trace.iter().for_each(|line| println!("{line}"));
            } else {
                println!(
                    "seed {seed} violates {rule}; faults needed for it: {:#?}",
                    shrink(&scenario, rule).faults
                );
            }
            failed.push((seed, outcome.violations));
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
    assert!(stops > 10, "{stops} replicas were stopped voluntarily");
}

/// Two drains overlap, the leader crashes during a step and restarts at once, and then the
/// key-value store is unavailable for longer than a cancellation may take.
#[test]
fn drains_keep_the_rules_when_the_leader_restarts_and_the_store_is_unavailable() {
    for seed in 0..2 {
        let quick_restart =
            Fault::ControllerRestart { target: Target::Leader, orderly: false, downtime_ms: 100 };
        let faults = vec![
            at(30_000, Fault::Drain { count: 4 }),
            at(31_000, Fault::Drain { count: 4 }),
            at(34_000, quick_restart),
            at(38_000, Fault::StoreOutage { for_ms: machines::CANCEL_MS + 5000 }),
            at(40_000, Fault::MachineLoss { count: 1 }),
        ];
        let outcome = run_scenario(&drain_scenario(seed, faults));
        assert!(outcome.violations.is_empty(), "seed {seed}: {:?}", outcome.violations);
        assert!(outcome.voluntary_stops > 0, "seed {seed}: no replica was moved");
    }
}

/// When machines report a replica as running while it still fetches its image, the controllers
/// stop the next replica too early. The checker must find that.
#[test]
fn the_checker_finds_an_exceeded_budget_when_replicas_are_reported_running_early() {
    let faults = || (0..8).map(|n| at(25_000 + n * 4000, Fault::Drain { count: 3 })).collect();
    let found = |seed| {
        let scenario = Scenario {
            defect: Defect::RunningReportedEarly,
            recovery_ms: 0,
            ..drain_scenario(seed, faults())
        };
        let outcome = run_scenario(&scenario);
        println!(
            "seed {seed}: {} replicas stopped voluntarily, violations: {:?}",
            outcome.voluntary_stops, outcome.violations
        );
        outcome.violations.contains_key("budget")
    };
    assert!((0..40).any(found), "no budget was exceeded");
}

//! Injection of faults that begin and end at given times.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tracing::info;

use crate::service_faults::ServiceFaults;
use crate::site::Site;
use crate::state::StateService;
use crate::users::UserFaults;
use crate::worker::MachineFaults;

/// The kind of an injected fault and what it affects.
#[derive(Debug, Clone, PartialEq)]
pub enum FaultKind {
    StateOutage,
    /// The state service refuses the controller with this number.
    StateRefuses(usize),
    /// The share of the requests that is affected, and the maximum delay.
    StateSlow(f64, Duration),
    StateLate(f64, Duration),
    StateLost(f64),
    CloudOutage,
    CloudSlow(f64, Duration),
    CloudLate(f64, Duration),
    CloudLost(f64),
    /// A share of the machines that are up when the fault begins has these faults.
    Machines(f64, MachineFaults),
    /// A share of the machines dies when the fault begins.
    Deaths(f64),
    /// A share of the spot machines is reclaimed when the fault begins.
    Reclaims(f64),
    /// The share of the users' requests whose body comes later than its head, and the maximum delay.
    SlowRequests(f64, Duration),
    /// The share of the submissions that are spelled in another form.
    OtherSpellings(f64),
    /// The share of the executed requests with start commands of which a copy arrives later, and the
    /// maximum delay.
    CopiedStarts(f64, Duration),
}

#[derive(Debug, Clone)]
pub struct ScheduledFault {
    pub name: String,
    pub kind: FaultKind,
    /// Begin, relative to the start of the site.
    pub at: Duration,
    pub duration: Duration,
}

pub struct FaultSchedule {
    planned_faults: Vec<ScheduledFault>,
    started: Instant,
    /// The machines affected by each active fault, by its index in `planned_faults`.
    active: BTreeMap<usize, BTreeSet<String>>,
    /// Indices of the faults that are over.
    ended: BTreeSet<usize>,
    rng: StdRng,
}

impl FaultSchedule {
    pub fn new(planned_faults: Vec<ScheduledFault>, seed: u64, now: Instant) -> Self {
        let (active, ended) = (BTreeMap::new(), BTreeSet::new());
        Self { planned_faults, started: now, active, ended, rng: StdRng::seed_from_u64(seed) }
    }

    /// Begins and ends the faults that are due; returns whether there were any.
    pub fn poll(&mut self, site: &mut Site, state: &mut StateService, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.started);
        let (mut changed, mut released) = (false, BTreeSet::new());
        for (i, fault) in self.planned_faults.iter().enumerate() {
            let ended = age >= fault.at + fault.duration;
            if self.active.contains_key(&i) && ended {
                info!(name = fault.name, "injected fault ends");
                released.extend(self.active.remove(&i).unwrap_or_default());
                self.ended.insert(i);
                changed = true;
            } else if !self.active.contains_key(&i) && !self.ended.contains(&i) && age >= fault.at {
                info!(name = fault.name, "injected fault begins");
                let machines = start_fault(&fault.kind, site, &mut self.rng, now);
                self.active.insert(i, machines);
                changed = true;
            }
        }
        if changed {
            self.apply(site, state, &released, now);
        }
        changed
    }

    /// The active faults of the users.
    pub fn user_faults(&self) -> UserFaults {
        let mut faults = UserFaults::default();
        for fault in self.active.keys().filter_map(|i| self.planned_faults.get(*i)) {
            match fault.kind {
                FaultKind::SlowRequests(share, max_delay) => {
                    (faults.slow_share, faults.max_body_delay) = (share, max_delay)
                }
                FaultKind::OtherSpellings(share) => faults.spelled_share = share,
                _ => {}
            }
        }
        faults
    }

    /// Draws whether a copy of a request with start commands, which a machine has executed, arrives
    /// later, and if so, after which delay.
    pub fn draw_copy_delay(&mut self) -> Option<Duration> {
        let active = self.active.keys().filter_map(|i| self.planned_faults.get(*i));
        let copied_starts = active.into_iter().find_map(|fault| match fault.kind {
            FaultKind::CopiedStarts(share, max_delay) => Some((share, max_delay)),
            _ => None,
        });
        let (share, max_delay) = copied_starts?;
        self.rng.random_bool(share).then(|| max_delay.mul_f64(self.rng.random_range(0.0..1.0)))
    }

    /// Sets the active faults on the services and machines, and clears those of `released` machines.
    fn apply(&self, site: &mut Site, state: &mut StateService, released: &BTreeSet<String>, now: Instant) {
        let (mut state_faults, mut cloud_faults) = (ServiceFaults::default(), ServiceFaults::default());
        let mut faults: BTreeMap<String, MachineFaults> =
            released.iter().map(|m| (m.clone(), MachineFaults::default())).collect();
        for (i, machines) in &self.active {
            let Some(fault) = self.planned_faults.get(*i) else { continue };
            match fault.kind.clone() {
                FaultKind::StateOutage => state_faults.outage = true,
                FaultKind::StateRefuses(caller) => {
                    state_faults.refused.insert(caller);
                }
                FaultKind::StateSlow(share, max_delay) => {
                    (state_faults.slow_share, state_faults.max_answer_delay) = (share, max_delay)
                }
                FaultKind::StateLate(share, max_delay) => {
                    (state_faults.late_share, state_faults.max_execution_delay) = (share, max_delay)
                }
                FaultKind::StateLost(share) => state_faults.lost_share = share,
                FaultKind::CloudOutage => cloud_faults.outage = true,
                FaultKind::CloudSlow(share, max_delay) => {
                    (cloud_faults.slow_share, cloud_faults.max_answer_delay) = (share, max_delay)
                }
                FaultKind::CloudLate(share, max_delay) => {
                    (cloud_faults.late_share, cloud_faults.max_execution_delay) = (share, max_delay)
                }
                FaultKind::CloudLost(share) => cloud_faults.lost_share = share,
                FaultKind::Machines(_, added) => {
                    for machine in machines {
                        let combined = faults.entry(machine.clone()).or_default();
                        combined.hangs |= added.hangs;
                        combined.unreachable |= added.unreachable;
                        combined.reports_lost |= added.reports_lost;
                        combined.tasks_fail |= added.tasks_fail;
                    }
                }
                FaultKind::Deaths(_)
                | FaultKind::Reclaims(_)
                | FaultKind::SlowRequests(..)
                | FaultKind::OtherSpellings(_)
                | FaultKind::CopiedStarts(..) => {}
            }
        }
        state.set_faults(state_faults, now);
        site.cloud.set_faults(cloud_faults);
        for (machine, faults) in faults {
            site.set_machine_faults(&machine, faults, now);
        }
    }
}

/// Carries out the deaths or reclaims of a fault. Returns the machines that the fault affects until
/// it ends.
fn start_fault(kind: &FaultKind, site: &mut Site, rng: &mut StdRng, now: Instant) -> BTreeSet<String> {
    let (share, spot) = match kind {
        FaultKind::Machines(share, _) | FaultKind::Deaths(share) => (*share, false),
        FaultKind::Reclaims(share) => (*share, true),
        _ => return BTreeSet::new(),
    };
    let up = site.workers().map(|w| &w.info).filter(|i| i.spot || !spot);
    let mut names: Vec<String> = up.map(|i| i.name.clone()).collect();
    let count = (names.len() as f64 * share).ceil() as usize;
    let mut chosen = BTreeSet::new();
    while chosen.len() < count && !names.is_empty() {
        chosen.insert(names.swap_remove(rng.random_range(0..names.len())));
    }
    match kind {
        FaultKind::Deaths(_) => chosen.iter().for_each(|m| site.cloud.kill(m, now)),
        FaultKind::Reclaims(_) => {
            for machine in &chosen {
                let notice = site.cloud.draw_notice();
                site.cloud.reclaim(machine, notice, now);
            }
        }
        _ => return chosen,
    }
    BTreeSet::new()
}

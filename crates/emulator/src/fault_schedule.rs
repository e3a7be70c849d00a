//! Troubles that begin and end at given times.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tracing::info;

use crate::service_faults::ServiceFaults;
use crate::site::Site;
use crate::state::StateService;
use crate::worker::MachineFaults;

/// What is troubled.
#[derive(Debug, Clone, PartialEq)]
pub enum FaultKind {
    StateOutage,
    /// The state service refuses one controller.
    StateRefuses(usize),
    /// Shares of the requests; `Duration`: how slow or late at most.
    StateSlow(f64, Duration),
    StateLate(f64, Duration),
    StateLost(f64),
    CloudOutage,
    CloudSlow(f64, Duration),
    CloudLate(f64, Duration),
    CloudLost(f64),
    /// A share of the machines that are up when it begins has these faults.
    Machines(f64, MachineFaults),
    /// A share of the machines dies when it begins.
    Deaths(f64),
    /// A share of the spot machines is taken back when it begins.
    Reclaims(f64),
}

#[derive(Debug, Clone)]
pub struct ScheduledFault {
    pub name: String,
    pub kind: FaultKind,
    /// Counted from the beginning of the site.
    pub at: Duration,
    pub lasts: Duration,
}

pub struct FaultSchedule {
    troubles: Vec<ScheduledFault>,
    begun: Instant,
    /// Those that are on, with the machines that they concern.
    on: BTreeMap<usize, BTreeSet<String>>,
    over: BTreeSet<usize>,
    rng: StdRng,
}

impl FaultSchedule {
    pub fn new(troubles: Vec<ScheduledFault>, seed: u64, now: Instant) -> Self {
        let (on, over) = (BTreeMap::new(), BTreeSet::new());
        Self { troubles, begun: now, on, over, rng: StdRng::seed_from_u64(seed) }
    }

    /// Begins and ends what is due; whether anything did.
    pub fn poll(&mut self, site: &mut Site, state: &mut StateService, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.begun);
        let (mut changed, mut released) = (false, BTreeSet::new());
        for (i, trouble) in self.troubles.iter().enumerate() {
            let ended = age >= trouble.at + trouble.lasts;
            if self.on.contains_key(&i) && ended {
                info!(name = trouble.name, "trouble ends");
                released.extend(self.on.remove(&i).unwrap_or_default());
                self.over.insert(i);
                changed = true;
            } else if !self.on.contains_key(&i) && !self.over.contains(&i) && age >= trouble.at {
                info!(name = trouble.name, "trouble begins");
                let machines = begin(&trouble.kind, site, &mut self.rng, now);
                self.on.insert(i, machines);
                changed = true;
            }
        }
        if changed {
            self.set(site, state, &released, now);
        }
        changed
    }

    fn set(&self, site: &mut Site, state: &mut StateService, released: &BTreeSet<String>, now: Instant) {
        let (mut of_state, mut of_cloud) = (ServiceFaults::default(), ServiceFaults::default());
        let mut faults: BTreeMap<String, MachineFaults> =
            released.iter().map(|m| (m.clone(), MachineFaults::default())).collect();
        for (i, machines) in &self.on {
            let Some(trouble) = self.troubles.get(*i) else { continue };
            match trouble.kind.clone() {
                FaultKind::StateOutage => of_state.outage = true,
                FaultKind::StateRefuses(caller) => {
                    of_state.refused.insert(caller);
                }
                FaultKind::StateSlow(share, by) => (of_state.slow_share, of_state.slow) = (share, by),
                FaultKind::StateLate(share, by) => (of_state.late_share, of_state.late) = (share, by),
                FaultKind::StateLost(share) => of_state.lost_share = share,
                FaultKind::CloudOutage => of_cloud.outage = true,
                FaultKind::CloudSlow(share, by) => (of_cloud.slow_share, of_cloud.slow) = (share, by),
                FaultKind::CloudLate(share, by) => (of_cloud.late_share, of_cloud.late) = (share, by),
                FaultKind::CloudLost(share) => of_cloud.lost_share = share,
                FaultKind::Machines(_, f) => {
                    for machine in machines {
                        let all = faults.entry(machine.clone()).or_default();
                        all.hangs |= f.hangs;
                        all.deaf |= f.deaf;
                        all.mute |= f.mute;
                        all.faulty |= f.faulty;
                    }
                }
                FaultKind::Deaths(_) | FaultKind::Reclaims(_) => {}
            }
        }
        state.set_faults(of_state, now);
        site.cloud.set_faults(of_cloud);
        for (machine, faults) in faults {
            site.set_machine_faults(&machine, faults, now);
        }
    }
}

/// What happens once; the machines that it concerns for longer.
fn begin(kind: &FaultKind, site: &mut Site, rng: &mut StdRng, now: Instant) -> BTreeSet<String> {
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

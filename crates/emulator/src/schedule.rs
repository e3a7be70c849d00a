//! Troubles that begin and end at given times.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tracing::info;

use crate::site::Site;
use crate::state::StateService;
use crate::troubles::Troubles;
use crate::worker::Faults;

/// What is troubled.
#[derive(Debug, Clone, PartialEq)]
pub enum Kind {
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
    Machines(f64, Faults),
    /// A share of the machines dies when it begins.
    Deaths(f64),
    /// A share of the spot machines is taken back when it begins.
    Reclaims(f64),
}

#[derive(Debug, Clone)]
pub struct Trouble {
    pub name: String,
    pub kind: Kind,
    /// Counted from the beginning of the site.
    pub at: Duration,
    pub lasts: Duration,
}

pub struct Schedule {
    troubles: Vec<Trouble>,
    begun: Instant,
    /// Those that are on, with the machines that they concern.
    on: BTreeMap<usize, BTreeSet<String>>,
    over: BTreeSet<usize>,
    rng: StdRng,
}

impl Schedule {
    pub fn new(troubles: Vec<Trouble>, seed: u64, now: Instant) -> Self {
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
        let (mut of_state, mut of_cloud) = (Troubles::default(), Troubles::default());
        let mut faults: BTreeMap<String, Faults> =
            released.iter().map(|m| (m.clone(), Faults::default())).collect();
        for (i, machines) in &self.on {
            let Some(trouble) = self.troubles.get(*i) else { continue };
            match trouble.kind.clone() {
                Kind::StateOutage => of_state.outage = true,
                Kind::StateRefuses(caller) => {
                    of_state.refused.insert(caller);
                }
                Kind::StateSlow(share, by) => (of_state.slow_share, of_state.slow) = (share, by),
                Kind::StateLate(share, by) => (of_state.late_share, of_state.late) = (share, by),
                Kind::StateLost(share) => of_state.lost_share = share,
                Kind::CloudOutage => of_cloud.outage = true,
                Kind::CloudSlow(share, by) => (of_cloud.slow_share, of_cloud.slow) = (share, by),
                Kind::CloudLate(share, by) => (of_cloud.late_share, of_cloud.late) = (share, by),
                Kind::CloudLost(share) => of_cloud.lost_share = share,
                Kind::Machines(_, f) => {
                    for machine in machines {
                        let all = faults.entry(machine.clone()).or_default();
                        all.hangs |= f.hangs;
                        all.deaf |= f.deaf;
                        all.mute |= f.mute;
                        all.faulty |= f.faulty;
                    }
                }
                Kind::Deaths(_) | Kind::Reclaims(_) => {}
            }
        }
        state.set_troubles(of_state, now);
        site.cloud.set_troubles(of_cloud);
        for (machine, faults) in faults {
            site.set_faults(&machine, faults, now);
        }
    }
}

/// What happens once; the machines that it concerns for longer.
fn begin(kind: &Kind, site: &mut Site, rng: &mut StdRng, now: Instant) -> BTreeSet<String> {
    let (share, spot) = match kind {
        Kind::Machines(share, _) | Kind::Deaths(share) => (*share, false),
        Kind::Reclaims(share) => (*share, true),
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
        Kind::Deaths(_) => chosen.iter().for_each(|m| site.cloud.kill(m, now)),
        Kind::Reclaims(_) => {
            for machine in &chosen {
                let notice = site.cloud.draw_notice();
                site.cloud.reclaim(machine, notice, now);
            }
        }
        _ => return chosen,
    }
    BTreeSet::new()
}

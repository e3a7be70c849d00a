//! Whether silence of machines is their own, or that of the controller that owns them.

use std::time::Duration;

use sched::hash::HashMap;

use crate::state::{MachineHealth, MachineView};

/// An owner is taken for isolated if the silent ones are more than this part of its machines,
/// as numerator and denominator.
const ISOLATED_FRACTION: (u32, u32) = (7, 8);
/// Fewest machines of an owner that is taken for isolated when machines are released.
const MIN_MACHINES_TO_JUDGE: u32 = 3;
/// How many times longer the silence has to last if the owner may be isolated.
const ISOLATED_OWNER_FACTOR: u32 = 4;

/// How many machines an owner has, and how many of them are silent.
#[derive(Debug, Clone, Copy, Default)]
pub struct OwnerContact {
    machines: u32,
    silent: u32,
}

impl OwnerContact {
    /// Counts a machine of the owner.
    pub fn count(&mut self, is_silent: bool) {
        self.machines += 1;
        self.silent += u32::from(is_silent);
    }

    /// Whether nearly all machines are silent: most likely, the owner is isolated. An owner that
    /// hears some is not: if one of two zones fails, half of all machines are silent.
    pub fn nearly_all_silent(self) -> bool {
        let (numerator, denominator) = ISOLATED_FRACTION;
        self.silent * denominator > self.machines * numerator
    }

    fn is_isolated(self) -> bool {
        self.machines >= MIN_MACHINES_TO_JUDGE && self.nearly_all_silent()
    }
}

/// For how long a machine has to be silent before it is released.
#[derive(Debug)]
pub struct SilenceLimits {
    /// The silence after which a machine counts as lost.
    limit: Duration,
    /// What owners hear of their machines, by the owner's incarnation. Machines count as silent
    /// after half of the limit.
    owners: HashMap<u64, OwnerContact>,
}

impl SilenceLimits {
    /// The limits, by what the owners that were heard from just now know of their machines.
    pub fn new(limit: Duration, views: &[MachineView]) -> Self {
        let mut owners: HashMap<u64, OwnerContact> = HashMap::default();
        for view in views.iter().filter(|view| view.is_current) {
            let Some(health) = view.health else { continue };
            owners.entry(view.owner.incarnation).or_default().count(health.silent >= limit / 2);
        }
        Self { limit, owners }
    }

    /// The silence after which a machine is released.
    pub fn limit_of(&self, view: &MachineView, health: MachineHealth) -> Duration {
        let owner = self.owners.get(&view.owner.incarnation).copied().unwrap_or_default();
        let limit = if owner.is_isolated() { self.limit * ISOLATED_OWNER_FACTOR } else { self.limit };
        // A new owner probes each of its machines at once, and those that it has never heard from
        // were silent before it became the owner.
        let limit = if health.heard_from { limit } else { limit * 3 / 4 };
        if health.spot_notice { limit / 2 } else { limit }
    }
}

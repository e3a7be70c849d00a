//! Whether machines are silent because they are lost, or because their owner, the controller that
//! gets their heartbeats, is isolated.

use std::time::Duration;

use sched::hash::HashMap;

use crate::state::{MachineHealth, MachineView};

/// An owner counts as isolated if more than this share of its machines is silent, as numerator and
/// denominator.
const ISOLATED_FRACTION: (u32, u32) = (7, 8);
/// Minimum number of machines of an owner that may count as isolated when machines are released.
const MIN_MACHINES_FOR_ISOLATION: u32 = 3;
/// Factor on the limit of silence if the owner is probably isolated.
const ISOLATED_OWNER_FACTOR: u32 = 4;

/// The number of machines of an owner, and how many of them are silent.
#[derive(Debug, Clone, Copy, Default)]
pub struct OwnerReachability {
    machines: u32,
    silent: u32,
}

impl OwnerReachability {
    /// Adds a machine of the owner.
    pub fn add_machine(&mut self, is_silent: bool) {
        self.machines += 1;
        self.silent += u32::from(is_silent);
    }

    /// Whether nearly all machines are silent, which most likely means that the owner is isolated.
    /// An owner that gets heartbeats from some machines is not: if one of two zones fails, half of
    /// all machines are silent.
    pub fn nearly_all_silent(self) -> bool {
        let (numerator, denominator) = ISOLATED_FRACTION;
        self.silent * denominator > self.machines * numerator
    }

    fn is_isolated(self) -> bool {
        self.machines >= MIN_MACHINES_FOR_ISOLATION && self.nearly_all_silent()
    }
}

/// How long a machine has to be silent before it is released.
#[derive(Debug)]
pub struct SilenceLimits {
    /// The silence after which a machine counts as lost.
    limit: Duration,
    /// The reachability of each owner's machines, by the owner's incarnation. Machines count as
    /// silent here after half of the limit.
    owners: HashMap<u64, OwnerReachability>,
}

impl SilenceLimits {
    /// Computes the limits from the machines whose owners have reported recently.
    pub fn new(limit: Duration, views: &[MachineView]) -> Self {
        let mut owners: HashMap<u64, OwnerReachability> = HashMap::default();
        for view in views.iter().filter(|view| view.is_current) {
            let Some(health) = view.health else { continue };
            owners.entry(view.owner.incarnation).or_default().add_machine(health.silent >= limit / 2);
        }
        Self { limit, owners }
    }

    /// The silence after which this machine is released.
    pub fn limit_of(&self, view: &MachineView, health: MachineHealth) -> Duration {
        let owner = self.owners.get(&view.owner.incarnation).copied().unwrap_or_default();
        let limit = if owner.is_isolated() { self.limit * ISOLATED_OWNER_FACTOR } else { self.limit };
        // A new owner probes all its machines immediately. A machine that it has never heard from
        // was silent before it became the owner, so a shorter limit suffices.
        let limit = if health.heard_from { limit } else { limit * 3 / 4 };
        if health.spot_notice { limit / 2 } else { limit }
    }
}

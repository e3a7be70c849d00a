//! Capacity that is held for tasks stopped by drains.

use std::collections::BTreeMap;
use std::time::Instant;

use sched::placement::Inventory;
use sched::replica::{Replica, Resources};

use crate::state::{CapacityHold, Reservation};

/// Reserves the capacity that is held for tasks stopped by drains, so that no other job takes it.
/// Drops holds that have expired or are no longer needed. The hold of a queued job becomes a
/// reservation.
pub(super) fn reserve_held_capacity(
    replica: &Replica,
    inventory: &mut Inventory,
    holds: &mut BTreeMap<String, CapacityHold>,
    reservations: &mut BTreeMap<String, Reservation>,
    queue: &[String],
    now: Instant,
) {
    holds.retain(|job, hold| now < hold.until && hold.is_needed(replica, job));
    for (job, hold) in holds.iter() {
        let Some(spec) = replica.jobs.get(job).and_then(|j| j.value.spec.as_deref()) else { continue };
        if reservations.contains_key(job) {
            continue;
        }
        inventory.reserve(&hold.machines, Resources::of_task(spec), 1.0);
        if queue.contains(job) {
            let reservation = Reservation { machines: hold.machines.clone(), until: hold.until };
            reservations.insert(job.clone(), reservation);
        }
    }
}

//! Capacity that is held for the tasks that drains have stopped.

use std::collections::{BTreeMap, HashMap};
use std::time::Instant;

use sched::placement::Inventory;
use sched::replica::{Replica, Resources};

use crate::state::{CapacityHold, Reservation};

/// Keeps the capacity that was found for what drains have stopped from all other jobs, and drops
/// holds that are over. For a job in the queue, a hold becomes a reservation.
pub(super) fn reserve_held_capacity(
    replica: &Replica,
    inventory: &mut Inventory,
    holds: &mut BTreeMap<String, CapacityHold>,
    reservations: &mut HashMap<String, Reservation>,
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

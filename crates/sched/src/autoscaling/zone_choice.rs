//! Chooses the zone for a job that needs all its tasks in one.

use std::collections::BTreeMap;

use super::{Demand, ExpectedCapacity, MachineOffer, TypedOffer};
use crate::records::Name;
use crate::replica::Resources;

/// The capacity of a zone for a job.
#[derive(Default)]
struct ZoneCapacity {
    /// Whether all waiting tasks fit into the capacity that is up or expected.
    fits_all: bool,
    /// Whether more machines can be requested in the zone.
    can_scale_out: bool,
    /// How many tasks fit into the capacity that is up or expected.
    tasks: u32,
}

/// The zone for a job that needs all its tasks in one: a zone where all of them fit, or else one
/// where more machines can be requested, or else the one with the most capacity.
pub(super) fn best_zone(
    demand: &Demand,
    pool: &[ExpectedCapacity],
    offers: &[TypedOffer],
    is_blocked: &impl Fn(&MachineOffer) -> bool,
) -> Option<Name> {
    let zones = capacity_by_zone(demand, pool, offers, is_blocked);
    let (largest, capacity) = zones.iter().max_by_key(|(_, capacity)| (capacity.fits_all, capacity.tasks))?;
    let open_zones: Vec<&Name> =
        zones.iter().filter(|(_, capacity)| capacity.can_scale_out).map(|(zone, _)| zone).collect();
    if capacity.fits_all || open_zones.is_empty() {
        return Some(largest.clone());
    }
    // Jobs that fit nowhere are distributed over the zones where machines can still be requested,
    // because each zone has its own limit.
    let id_hash = demand
        .spec
        .id
        .bytes()
        .fold(0usize, |hash, byte| hash.wrapping_mul(31).wrapping_add(usize::from(byte)));
    Some(open_zones[id_hash % open_zones.len()].clone())
}

fn capacity_by_zone(
    demand: &Demand,
    pool: &[ExpectedCapacity],
    offers: &[TypedOffer],
    is_blocked: &impl Fn(&MachineOffer) -> bool,
) -> BTreeMap<Name, ZoneCapacity> {
    let size = Resources::of_task(demand.spec);
    let mut zones: BTreeMap<Name, ZoneCapacity> = BTreeMap::new();
    for TypedOffer { offer, machine_type } in offers {
        if demand.suits_offer(&offer.machine_type, &offer.zone, offer.spot)
            && size.fits(Resources::of_type(machine_type))
        {
            zones.entry(offer.zone.clone()).or_default().can_scale_out |= !is_blocked(offer);
        }
    }
    for capacity in pool.iter().filter(|capacity| demand.suits_capacity(capacity)) {
        if let Some(zone) = zones.get_mut(&capacity.zone) {
            zone.tasks = zone.tasks.saturating_add(size.count_fitting_in(capacity.free));
            zone.fits_all = zone.tasks >= demand.tasks;
        }
    }
    zones
}

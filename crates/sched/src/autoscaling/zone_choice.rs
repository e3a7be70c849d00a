//! Chooses the zone for a job that needs all its tasks in one.

use std::collections::BTreeMap;

use super::{Demand, ExpectedCapacity, MachineKind, MachineOffer, TypedOffer};
use crate::records::Name;
use crate::replica::Resources;

/// The capacity of a zone for a job.
#[derive(Default)]
pub(super) struct ZoneCapacity {
    /// Whether all waiting tasks fit into the capacity that is up or expected.
    fits_all: bool,
    /// Whether more machines can be requested in the zone.
    can_scale_out: bool,
    /// How many tasks fit into the capacity that is up or expected.
    tasks: u32,
}

/// The zone for a job that needs all its tasks in one: a zone where all of them fit, or else one
/// where more machines can be requested, or else the one with the most capacity.
pub(super) fn best_zone(demand: &Demand, zones: &BTreeMap<Name, ZoneCapacity>) -> Option<Name> {
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

/// Computes the capacity that each zone has for a job.
pub(super) struct ZoneCapacities<'a, R, B> {
    pub(super) demand: &'a Demand<'a>,
    /// Whether machines of a kind with this many GPUs are reserved for other jobs.
    pub(super) is_reserved: R,
    /// Whether an offer must not be requested now.
    pub(super) is_blocked: B,
}

impl<R, B> ZoneCapacities<'_, R, B>
where
    R: Fn(f64, MachineKind) -> bool,
    B: Fn(&MachineOffer) -> bool,
{
    /// The capacity in each zone with an offer that suits the job.
    pub(super) fn by_zone(
        &self,
        pool: &[ExpectedCapacity],
        offers: &[TypedOffer],
    ) -> BTreeMap<Name, ZoneCapacity> {
        let size = Resources::of_task(self.demand.spec);
        let mut zones: BTreeMap<Name, ZoneCapacity> = BTreeMap::new();
        for TypedOffer { offer, machine_type } in offers {
            if self.suits_offer(offer, machine_type.gpus) && size.fits(Resources::of_type(machine_type)) {
                let zone = zones.entry(offer.zone.clone()).or_default();
                zone.can_scale_out |= !(self.is_blocked)(offer);
            }
        }
        for capacity in pool.iter().filter(|capacity| self.suits_capacity(capacity)) {
            if let Some(zone) = zones.get_mut(&capacity.zone) {
                zone.tasks = zone.tasks.saturating_add(size.count_fitting_in(capacity.free));
                zone.fits_all = zone.tasks >= self.demand.tasks;
            }
        }
        zones
    }

    fn suits_offer(&self, offer: &MachineOffer, gpus: f64) -> bool {
        let MachineOffer { machine_type, zone, spot } = offer;
        self.demand.suits_offer(machine_type, zone, *spot)
            && !(self.is_reserved)(gpus, MachineKind { machine_type, zone, spot: *spot })
    }

    fn suits_capacity(&self, capacity: &ExpectedCapacity) -> bool {
        let ExpectedCapacity { machine_type, zone, spot, free, .. } = capacity;
        self.demand.suits_capacity(capacity)
            && !(self.is_reserved)(free.gpus, MachineKind { machine_type, zone, spot: *spot })
    }
}

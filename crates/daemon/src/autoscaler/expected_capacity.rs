//! The capacity that exists, or will exist without further scale-out.

use sched::autoscaling::{ExpectedCapacity, MachineOffer};
use sched::hash::HashSet;
use sched::records::Name;
use sched::replica::{Replica, Resources, SortedLookup};

use super::Autoscaler;
use super::machine_offers::offer_of_scale_out;
use crate::state::ControllerState;

impl Autoscaler {
    /// All usable capacity: that of requested machines that are not up yet, that of machines that
    /// the cloud lists but that have not registered, both unless they are overdue, and the free
    /// capacity of machines that are up.
    pub(super) fn expected_capacity(&self, state: &ControllerState, now_ms: u64) -> Vec<ExpectedCapacity> {
        let replica = &state.records.replica;
        let mut expected = Vec::with_capacity(state.scheduling.inventory.slots.len());
        let mut requested: HashSet<&Name> = HashSet::default();
        for scale_out in replica.fleet.iter().flat_map(|fleet| fleet.value.scale_outs.iter()) {
            requested.extend(scale_out.machines.iter().flatten());
            let count = self.machines_to_come(replica, scale_out, now_ms);
            let machine = capacity_of_new_machine(replica, offer_of_scale_out(scale_out));
            expected.extend(std::iter::repeat_n(machine, count));
        }
        expected.extend(self.listed_capacity(replica, &requested));
        expected.extend(state.scheduling.inventory.usable().map(|slot| ExpectedCapacity {
            machine: Some(slot.id.clone()),
            machine_type: slot.machine_type.clone(),
            zone: slot.zone.clone(),
            spot: slot.spot,
            free: slot.free(),
            gpus: slot.capacity.gpus,
        }));
        expected
    }

    /// The capacity of machines that the cloud lists, except machines that have a record, belong to
    /// a scale-out, have been released or are overdue.
    fn listed_capacity<'a>(
        &'a self,
        replica: &'a Replica,
        requested: &'a HashSet<&Name>,
    ) -> impl Iterator<Item = ExpectedCapacity> + 'a {
        let mut recorded = SortedLookup::new(&replica.machines);
        self.listing.machines().iter().filter_map(move |(id, machine)| {
            let is_known =
                recorded.get(id).is_some() || requested.contains(id) || self.released.contains_key(id);
            if is_known || self.is_listed_machine_overdue(replica, machine) {
                return None;
            }
            let offer = MachineOffer {
                machine_type: machine.machine_type.as_str().into(),
                zone: machine.zone.as_str().into(),
                spot: machine.spot,
            };
            Some(capacity_of_new_machine(replica, offer))
        })
    }
}

/// The capacity of a machine of the offer that is not up yet.
fn capacity_of_new_machine(replica: &Replica, offer: MachineOffer) -> ExpectedCapacity {
    let free = replica.machine_types.get(&*offer.machine_type).map(Resources::of_type).unwrap_or_default();
    ExpectedCapacity {
        machine: None,
        machine_type: offer.machine_type,
        zone: offer.zone,
        spot: offer.spot,
        free,
        gpus: free.gpus,
    }
}

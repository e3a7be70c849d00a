//! Scale-out: which machines to request for tasks that have no capacity.

mod admission;
mod planner;
mod zone_choice;

use wire::{JobSpec, MachineType};

use crate::hash::HashMap;
use crate::placement::is_allowed;
use crate::records::Name;
use crate::replica::Resources;
pub use admission::{fits_some_machine_type, within_quota};
pub use planner::{DemandCoverage, ScaleOutPlan, count_fitting_tasks, plan_scale_out};

/// The tasks of one job that wait for capacity.
#[derive(Debug, Clone)]
pub struct Demand<'a> {
    /// The job.
    pub spec: &'a JobSpec,
    /// How many tasks wait.
    pub tasks: u32,
    /// How many tasks of the job are already on machines, by zone.
    pub tasks_by_zone: HashMap<Name, u32>,
    /// Machine types that the job allows but that do not suit it.
    pub unsuitable_types: Vec<Name>,
    /// Machines that the job avoids, for example because its tasks have failed there. Their free
    /// capacity does not count for this demand.
    pub avoided_machines: Vec<&'a str>,
}

impl Demand<'_> {
    /// Whether the job allows a machine type in a zone and purchase option, and the type suits it.
    fn suits_offer(&self, machine_type: &Name, zone: &str, spot: bool) -> bool {
        !self.unsuitable_types.contains(machine_type) && is_allowed(self.spec, machine_type, zone, spot)
    }

    /// Whether the job may use this capacity, as far as it is free.
    fn suits_capacity(&self, capacity: &ExpectedCapacity) -> bool {
        let is_avoided = |machine: &Name| self.avoided_machines.iter().any(|avoided| *avoided == &**machine);
        self.suits_offer(&capacity.machine_type, &capacity.zone, capacity.spot)
            && !capacity.machine.as_ref().is_some_and(is_avoided)
    }
}

/// The capacity of a machine that is up or is expected to be.
#[derive(Debug, Clone)]
pub struct ExpectedCapacity {
    /// The machine's name; `None` if it is not up yet.
    pub machine: Option<Name>,
    /// The machine type.
    pub machine_type: Name,
    /// The zone.
    pub zone: Name,
    /// Whether it is a spot instance.
    pub spot: bool,
    /// The resources that are free, or will be once the machine is up.
    pub free: Resources,
    /// The number of GPUs of the machine, in use or not.
    pub gpus: f64,
}

impl ExpectedCapacity {
    /// Whether the machine is up already.
    fn is_up(&self) -> bool {
        self.machine.is_some()
    }
}

/// An offer of the cloud: a machine type in a zone, on demand or as a spot instance.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct MachineOffer {
    /// The machine type.
    pub machine_type: Name,
    /// The zone.
    pub zone: Name,
    /// Whether it is for a spot instance.
    pub spot: bool,
}

/// A machine type in a zone, on demand or as a spot instance.
struct MachineKind<'a> {
    machine_type: &'a str,
    zone: &'a str,
    spot: bool,
}

/// An offer with its machine type.
struct TypedOffer<'a> {
    offer: MachineOffer,
    machine_type: &'a MachineType,
}

impl<'a> TypedOffer<'a> {
    /// All offers: each machine type in each of its zones, on demand and as spot instances. Sorted by
    /// the name of the type, so that the same one of equally good offers is always the first.
    fn all(machine_types: &'a HashMap<String, MachineType>) -> impl Iterator<Item = Self> {
        let mut sorted_types: Vec<&MachineType> = machine_types.values().collect();
        sorted_types.sort_unstable_by_key(|machine_type| &machine_type.name);
        sorted_types.into_iter().flat_map(|machine_type| {
            machine_type.zones.iter().flat_map(move |zone| {
                [false, true].map(|spot| {
                    let name = machine_type.name.as_str();
                    let offer = MachineOffer { machine_type: name.into(), zone: zone.as_str().into(), spot };
                    Self { offer, machine_type }
                })
            })
        })
    }

    fn price(&self) -> f64 {
        if self.offer.spot { self.machine_type.spot_price } else { self.machine_type.price }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/autoscaling.rs"]
mod tests;

//! Which machines to scale out by for the tasks that have no place.

mod admission;
mod planner;
mod zone_choice;

use wire::{JobSpec, MachineType};

use crate::hash::HashMap;
use crate::records::Name;
use crate::replica::Resources;
pub use admission::{fits_some_machine_type, within_quota};
pub use planner::plan_scale_out;

/// Tasks of one job that wait for capacity.
#[derive(Debug, Clone)]
pub struct Demand<'a> {
    /// The job.
    pub spec: &'a JobSpec,
    /// How many tasks wait.
    pub tasks: u32,
    /// How many of the job's tasks are on machines already, by zone.
    pub tasks_by_zone: HashMap<Name, u32>,
    /// Machine types that do not suit the job, though it allows them.
    pub unsuitable_types: Vec<Name>,
}

/// The capacity of a machine that is up or is expected to be.
#[derive(Debug, Clone)]
pub struct ExpectedCapacity {
    /// The machine type.
    pub machine_type: Name,
    /// The zone.
    pub zone: Name,
    /// Whether it is a spot instance.
    pub spot: bool,
    /// What is free, or will be.
    pub free: Resources,
    /// How many GPUs the machine has, in use or not.
    pub gpus: f64,
    /// Whether the machine is up already.
    pub is_up: bool,
}

/// Machines that the cloud offers: a machine type in a zone, by one kind of purchase.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct MachineOffer {
    /// The machine type.
    pub machine_type: Name,
    /// The zone.
    pub zone: Name,
    /// Whether spot instances are offered.
    pub spot: bool,
}

/// An offer with its machine type.
struct TypedOffer<'a> {
    offer: MachineOffer,
    machine_type: &'a MachineType,
}

impl<'a> TypedOffer<'a> {
    /// All offers: each machine type in each of its zones, on demand and as spot instances.
    fn all(machine_types: &'a HashMap<String, MachineType>) -> impl Iterator<Item = Self> {
        machine_types.values().flat_map(|machine_type| {
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

//! Amounts of resources, and the quotas of teams.

use wire::{JobSpec, MachineType};

/// What a task requires, or what a machine has.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Resources {
    /// CPUs.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
    /// Memory, in GB.
    pub memory_gb: f64,
}

/// By how much a requirement may exceed what is free: sums of decimal fractions are not exact.
const ROUNDING_TOLERANCE: f64 = 1e-6;

impl Resources {
    /// What one task of a job requires.
    pub fn of_task(spec: &JobSpec) -> Self {
        Self { cpus: spec.cpus, gpus: spec.gpus, memory_gb: spec.memory_gb }
    }

    /// What a machine of a type has.
    pub fn of_type(machine_type: &MachineType) -> Self {
        Self { cpus: machine_type.cpus, gpus: machine_type.gpus, memory_gb: machine_type.memory_gb }
    }

    /// The sum of this and a multiple of another amount, which may be negative.
    pub fn plus_scaled(self, other: Self, factor: f64) -> Self {
        Self {
            cpus: self.cpus + other.cpus * factor,
            gpus: self.gpus + other.gpus * factor,
            memory_gb: self.memory_gb + other.memory_gb * factor,
        }
    }

    /// The same without memory, which teams' quotas do not count.
    pub fn without_memory(self) -> Self {
        Self { memory_gb: 0.0, ..self }
    }

    /// Whether this fits into what is free.
    pub fn fits(self, free: Self) -> bool {
        self.cpus <= free.cpus + ROUNDING_TOLERANCE
            && self.gpus <= free.gpus + ROUNDING_TOLERANCE
            && self.memory_gb <= free.memory_gb + ROUNDING_TOLERANCE
    }

    /// How many tasks of this size fit into what is free.
    pub fn count_fitting_in(self, free: Self) -> u32 {
        let count = |required: f64, free: f64| {
            if required <= 0.0 {
                f64::from(u32::MAX)
            } else {
                ((free + ROUNDING_TOLERANCE) / required).floor().max(0.0)
            }
        };
        count(self.cpus, free.cpus)
            .min(count(self.gpus, free.gpus))
            .min(count(self.memory_gb, free.memory_gb)) as u32
    }

    /// The share that this is of a capacity, of the resource with the largest one.
    pub fn share_of(self, capacity: Self) -> f64 {
        let share = |used: f64, capacity: f64| if capacity > 0.0 { used / capacity } else { 0.0 };
        share(self.cpus, capacity.cpus)
            .max(share(self.gpus, capacity.gpus))
            .max(share(self.memory_gb, capacity.memory_gb))
    }
}

/// A team's guaranteed and maximum quota. Memory is not limited.
#[derive(Debug, Clone, PartialEq)]
pub struct Team {
    /// The team's name.
    pub name: String,
    /// CPUs that are guaranteed.
    pub cpus: f64,
    /// CPUs that it may use at most.
    pub cpus_max: f64,
    /// GPUs that are guaranteed.
    pub gpus: f64,
    /// GPUs that it may use at most.
    pub gpus_max: f64,
}

impl Team {
    /// What the team may use at most.
    pub fn limit(&self) -> Resources {
        Resources { cpus: self.cpus_max, gpus: self.gpus_max, memory_gb: f64::INFINITY }
    }

    /// What the team is guaranteed.
    pub fn guarantee(&self) -> Resources {
        Resources { cpus: self.cpus, gpus: self.gpus, memory_gb: f64::INFINITY }
    }
}

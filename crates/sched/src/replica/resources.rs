//! Amounts of resources, and the quotas of teams.

use wire::{JobSpec, MachineType};

/// Resources that a task requires or that a machine has.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Resources {
    /// CPUs.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
    /// Memory, in GB.
    pub memory_gb: f64,
}

/// How much a requirement may exceed the free resources, because floating-point sums of decimal
/// fractions are not exact.
const ROUNDING_TOLERANCE: f64 = 1e-6;

impl Resources {
    /// The resources that one task of a job requires.
    pub fn of_task(spec: &JobSpec) -> Self {
        Self { cpus: spec.cpus, gpus: spec.gpus, memory_gb: spec.memory_gb }
    }

    /// The resources of a machine of this type.
    pub fn of_type(machine_type: &MachineType) -> Self {
        Self { cpus: machine_type.cpus, gpus: machine_type.gpus, memory_gb: machine_type.memory_gb }
    }

    /// Adds `other` multiplied by `factor`, which may be negative.
    pub fn plus_scaled(self, other: Self, factor: f64) -> Self {
        Self {
            cpus: self.cpus + other.cpus * factor,
            gpus: self.gpus + other.gpus * factor,
            memory_gb: self.memory_gb + other.memory_gb * factor,
        }
    }

    /// The same resources without memory, which does not count towards team quotas.
    pub fn without_memory(self) -> Self {
        Self { memory_gb: 0.0, ..self }
    }

    /// Whether this requirement fits into the free resources.
    pub fn fits(self, free: Self) -> bool {
        self.cpus <= free.cpus + ROUNDING_TOLERANCE
            && self.gpus <= free.gpus + ROUNDING_TOLERANCE
            && self.memory_gb <= free.memory_gb + ROUNDING_TOLERANCE
    }

    /// How many tasks of this size fit into the free resources.
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

    /// The dominant share: the largest fraction of a capacity that this takes of any resource.
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
    /// Guaranteed CPUs.
    pub cpus: f64,
    /// Maximum CPUs.
    pub cpus_max: f64,
    /// Guaranteed GPUs.
    pub gpus: f64,
    /// Maximum GPUs.
    pub gpus_max: f64,
}

impl Team {
    /// The maximum quota of the team.
    pub fn limit(&self) -> Resources {
        Resources { cpus: self.cpus_max, gpus: self.gpus_max, memory_gb: f64::INFINITY }
    }

    /// The guaranteed quota of the team.
    pub fn guarantee(&self) -> Resources {
        Resources { cpus: self.cpus, gpus: self.gpus, memory_gb: f64::INFINITY }
    }
}

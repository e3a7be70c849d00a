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
    /// Tasks: the number of them that a machine has is limited by the size of its heartbeats.
    pub tasks: f64,
}

/// How much a requirement may exceed the free resources, because floating-point sums of decimal
/// fractions are not exact.
const ROUNDING_TOLERANCE: f64 = 1e-6;

impl Resources {
    /// More of each resource than anything requires.
    const UNLIMITED: Self =
        Self { cpus: f64::INFINITY, gpus: f64::INFINITY, memory_gb: f64::INFINITY, tasks: f64::INFINITY };

    /// The resources that one task of a job requires.
    pub fn of_task(spec: &JobSpec) -> Self {
        Self { cpus: spec.cpus, gpus: spec.gpus, memory_gb: spec.memory_gb, tasks: 1.0 }
    }

    /// The resources of a machine of this type.
    pub fn of_type(machine_type: &MachineType) -> Self {
        Self {
            cpus: machine_type.cpus,
            gpus: machine_type.gpus,
            memory_gb: machine_type.memory_gb,
            tasks: wire::MAX_TASKS_PER_MACHINE as f64,
        }
    }

    /// Adds `other` multiplied by `factor`, which may be negative.
    pub fn plus_scaled(self, other: Self, factor: f64) -> Self {
        Self {
            cpus: self.cpus + other.cpus * factor,
            gpus: self.gpus + other.gpus * factor,
            memory_gb: self.memory_gb + other.memory_gb * factor,
            tasks: self.tasks + other.tasks * factor,
        }
    }

    /// The resources that count towards team quotas: CPUs and GPUs.
    pub fn counted_in_quota(self) -> Self {
        Self { memory_gb: 0.0, tasks: 0.0, ..self }
    }

    /// Whether this requirement fits into the free resources.
    pub fn fits(self, free: Self) -> bool {
        self.cpus <= free.cpus + ROUNDING_TOLERANCE
            && self.gpus <= free.gpus + ROUNDING_TOLERANCE
            && self.memory_gb <= free.memory_gb + ROUNDING_TOLERANCE
            && self.tasks <= free.tasks + ROUNDING_TOLERANCE
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
            .min(count(self.memory_gb, free.memory_gb))
            .min(count(self.tasks, free.tasks)) as u32
    }

    /// The dominant share: the largest fraction of a capacity that this takes of CPUs, GPUs or memory.
    pub fn share_of(self, capacity: Self) -> f64 {
        let share = |used: f64, capacity: f64| if capacity > 0.0 { used / capacity } else { 0.0 };
        share(self.cpus, capacity.cpus)
            .max(share(self.gpus, capacity.gpus))
            .max(share(self.memory_gb, capacity.memory_gb))
    }
}

/// A team's guaranteed and maximum quota. Memory and the number of tasks are not limited.
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
        Resources { cpus: self.cpus_max, gpus: self.gpus_max, ..Resources::UNLIMITED }
    }

    /// The guaranteed quota of the team.
    pub fn guarantee(&self) -> Resources {
        Resources { cpus: self.cpus, gpus: self.gpus, ..Resources::UNLIMITED }
    }
}

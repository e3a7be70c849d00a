//! Amounts of processors, GPUs and memory, and the shares of teams.

use wire::{JobSpec, MachineType};

/// What tasks take and machines have.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Resources {
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
}

const SLACK: f64 = 1e-6;

impl Resources {
    pub fn of_task(spec: &JobSpec) -> Self {
        Self { cpus: spec.cpus, gpus: spec.gpus, memory_gb: spec.memory_gb }
    }

    pub fn of_type(t: &MachineType) -> Self {
        Self { cpus: t.cpus, gpus: t.gpus, memory_gb: t.memory_gb }
    }

    pub fn plus_scaled(self, o: Self, times: f64) -> Self {
        Self {
            cpus: self.cpus + o.cpus * times,
            gpus: self.gpus + o.gpus * times,
            memory_gb: self.memory_gb + o.memory_gb * times,
        }
    }

    /// The same without memory, which teams' limits do not count.
    pub fn without_memory(self) -> Self {
        Self { memory_gb: 0.0, ..self }
    }

    pub fn fits(self, room: Self) -> bool {
        self.cpus <= room.cpus + SLACK
            && self.gpus <= room.gpus + SLACK
            && self.memory_gb <= room.memory_gb + SLACK
    }

    /// How many tasks of this size the room holds.
    pub fn count_fitting_in(self, room: Self) -> u32 {
        let one = |need: f64, have: f64| {
            if need <= 0.0 { f64::from(u32::MAX) } else { ((have + SLACK) / need).floor().max(0.0) }
        };
        let n =
            one(self.cpus, room.cpus).min(one(self.gpus, room.gpus)).min(one(self.memory_gb, room.memory_gb));
        n as u32
    }

    /// The share in use of the most-used resource.
    pub fn share_of(self, whole: Self) -> f64 {
        let one = |used: f64, all: f64| if all > 0.0 { used / all } else { 0.0 };
        one(self.cpus, whole.cpus).max(one(self.gpus, whole.gpus)).max(one(self.memory_gb, whole.memory_gb))
    }
}

/// A team's guarantee and limit. Memory is not limited.
#[derive(Debug, Clone, PartialEq)]
pub struct Team {
    pub name: String,
    pub cpus: f64,
    pub cpus_max: f64,
    pub gpus: f64,
    pub gpus_max: f64,
}

impl Team {
    pub fn limit(&self) -> Resources {
        Resources { cpus: self.cpus_max, gpus: self.gpus_max, memory_gb: f64::INFINITY }
    }

    pub fn guarantee(&self) -> Resources {
        Resources { cpus: self.cpus, gpus: self.gpus, memory_gb: f64::INFINITY }
    }
}

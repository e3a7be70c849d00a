//! Keeps capacity on machines with GPUs for jobs that need the GPUs.

use wire::{JobKind, JobSpec, MachineType};

use super::eligibility::{is_allowed, is_allowed_on};
use super::queue::waited_s;
use crate::hash::HashMap;
use crate::inventory::Slot;
use crate::records::JobRecord;
use crate::replica::{Replica, Resources};

/// How long capacity is kept from a job that fits on no other machines, in seconds. A job must not wait
/// for 90 s while a machine has room for it; the rest is for handing it over to the leader and placing it.
const MAX_WAIT_FOR_GPU_CAPACITY_S: f64 = 60.0;

/// Whether a task of the job fits on a machine type without GPUs that the job allows. A job that has no
/// such type needs machines with GPUs as much as a GPU job does.
pub fn fits_without_gpus(spec: &JobSpec, machine_types: &HashMap<String, MachineType>) -> bool {
    let size = Resources::of_task(spec);
    let is_allowed_type = |machine_type: &MachineType| {
        machine_type.zones.iter().any(|zone| is_allowed(spec, &machine_type.name, zone, spec.spot))
    };
    machine_types.values().any(|machine_type| {
        machine_type.gpus == 0.0
            && size.fits(Resources::of_type(machine_type))
            && is_allowed_type(machine_type)
    })
}

/// Whether machines with GPUs are among those that are requested for a job and kept for it. Services may
/// use them because they have to start within seconds.
pub fn may_use_gpu_machines(spec: &JobSpec, machine_types: &HashMap<String, MachineType>) -> bool {
    spec.gpus > 0.0 || spec.kind == JobKind::Service || !fits_without_gpus(spec, machine_types)
}

/// Whether a task of the job would fit on the machine if nothing ran there.
pub fn could_be_placed_on(spec: &JobSpec, slot: &Slot) -> bool {
    is_allowed_on(spec, slot) && Resources::of_task(spec).fits(slot.capacity)
}

/// Whether a job has waited so long that capacity is no longer kept from it for GPU jobs.
pub fn is_overdue_for_gpu_capacity(job: &JobRecord, now_ms: u64) -> bool {
    waited_s(job, now_ms) >= MAX_WAIT_FOR_GPU_CAPACITY_S
}

/// How many fewer tasks of the latest GPU job fit on a machine once a task that needs no GPU is
/// placed there.
pub fn stranded_gpu_tasks(replica: &Replica, spec: &JobSpec, slot: &Slot) -> u32 {
    stranded_gpu_tasks_at_usage(replica, spec, slot, slot.used)
}

/// Like [`stranded_gpu_tasks`], if these resources of the machine were in use.
pub fn stranded_gpu_tasks_at_usage(replica: &Replica, spec: &JobSpec, slot: &Slot, used: Resources) -> u32 {
    if spec.gpus > 0.0 || slot.capacity.gpus <= 0.0 {
        return 0;
    }
    let gpu_task = match replica.latest_gpu_job.as_deref() {
        Some(gpu_job) if !is_allowed_on(gpu_job, slot) => return 0,
        Some(gpu_job) => Resources::of_task(gpu_job),
        // No GPU job has been seen yet: assume one GPU per task and the same share of the CPUs.
        None if slot.spot => return 0,
        None => {
            Resources { cpus: slot.capacity.cpus / slot.capacity.gpus, gpus: 1.0, memory_gb: 0.0, tasks: 1.0 }
        }
    };
    let free = slot.capacity.plus_scaled(used, -1.0);
    let free_afterwards = free.plus_scaled(Resources::of_task(spec), -1.0);
    gpu_task.count_fitting_in(free).saturating_sub(gpu_task.count_fitting_in(free_afterwards))
}

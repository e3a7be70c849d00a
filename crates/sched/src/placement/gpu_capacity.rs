//! Keeps capacity on machines with GPUs for jobs that need the GPUs.

use wire::JobSpec;

use super::eligibility::is_allowed_on;
use crate::inventory::Slot;
use crate::replica::{Replica, Resources};

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

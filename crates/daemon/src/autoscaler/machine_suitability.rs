//! Whether a machine suits a job's tasks.

use sched::placement;
use sched::records::MachineRecord;
use sched::replica::{Replica, Resources};
use wire::JobSpec;

/// Whether a job allows a machine's type, zone and purchase option.
pub fn is_allowed_on(spec: &JobSpec, machine: &MachineRecord) -> bool {
    placement::is_allowed(spec, &machine.machine_type, &machine.zone, machine.spot)
}

/// Whether an empty machine suits a job: a task fits on it, and it has GPUs only if the job uses
/// some or fits on no machine without.
pub fn suits_machine(spec: &JobSpec, machine: &MachineRecord, replica: &Replica) -> bool {
    is_allowed_on(spec, machine)
        && replica.machine_types.get(&*machine.machine_type).is_some_and(|machine_type| {
            Resources::of_task(spec).fits(Resources::of_type(machine_type))
                && (spec.gpus > 0.0
                    || machine_type.gpus == 0.0
                    || !placement::fits_without_gpus(spec, &replica.machine_types))
        })
}

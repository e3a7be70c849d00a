//! The capacity that a job whose starts keep failing needs for its next retry.

use sched::autoscaling::Demand;
use sched::records::MachineRecord;
use sched::replica::{Replica, Resources};
use wire::JobSpec;

use super::demand::JobDemand;
use super::machine_suitability::suits_machine;

/// The capacity for the next retry of a job. It is kept while the job waits out its back-off, but
/// no more of it: a job that was submitted with a mistake must not keep all machines that suit it.
#[derive(Debug, Clone)]
pub struct RetryCapacity {
    spec: JobSpec,
    /// How many tasks still need capacity.
    tasks: u32,
    /// Machines that the job avoids; they are of no use to the retry.
    avoided_machines: Vec<String>,
}

impl RetryCapacity {
    /// The capacity for the next retry of a job.
    pub fn of(job: &JobDemand) -> Self {
        let Demand { spec, tasks, avoided_machines, .. } = &job.demand;
        Self {
            spec: (*spec).clone(),
            tasks: *tasks,
            avoided_machines: avoided_machines.iter().map(|machine| (*machine).to_owned()).collect(),
        }
    }

    /// Reserves an empty machine for as many of the tasks as fit. Returns whether the machine is
    /// reserved.
    pub fn reserve(&mut self, id: &str, machine: &MachineRecord, replica: &Replica) -> bool {
        let Some(machine_type) = replica.machine_types.get(&*machine.machine_type) else { return false };
        let is_avoided = self.avoided_machines.iter().any(|avoided| avoided == id);
        if self.tasks == 0 || is_avoided || !suits_machine(&self.spec, machine, replica) {
            return false;
        }
        let fitting = Resources::of_task(&self.spec).count_fitting_in(Resources::of_type(machine_type));
        self.tasks = self.tasks.saturating_sub(fitting);
        true
    }
}

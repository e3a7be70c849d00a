//! Looks for capacity for units that are to be moved, in the inventory of machines.

use sched::placement::{self, Inventory, Limits};
use sched::records::{Assignment, JobRecord, Name};
use sched::replica::{Replica, Resources, Team};
use wire::{JobKind, JobSpec};

use crate::budget::UnitId;
use crate::step::FindCapacity;

/// Looks for capacity with the rules of placement, and reserves what it finds in the inventory.
/// The caller undoes the reservations with [`Inventory::roll_back`].
pub struct InventoryCapacity<'a> {
    /// The replica of the records.
    pub records: &'a Replica,
    /// The inventory of machines; cordoned ones are not used.
    pub inventory: &'a mut Inventory,
    /// The teams, for their quotas.
    pub teams: &'a [Team],
    /// How long the tasks of a gang wait for each other to start, in seconds.
    pub gang_wait_s: f64,
    /// The wall-clock time, in milliseconds.
    pub now_ms: u64,
}

impl InventoryCapacity<'_> {
    /// The limits of placement. Capacity that placement would keep for GPU jobs must not be counted on:
    /// the tasks would be stopped and not be started again.
    fn limits(&self, spec: &JobSpec, task_count: usize) -> Limits {
        let Self { gang_wait_s, now_ms, .. } = *self;
        let may_strand_gpus = placement::may_use_gpu_machines(spec, &self.records.machine_types);
        Limits { max_tasks: task_count, task_window: u32::MAX, may_strand_gpus, gang_wait_s, now_ms }
    }

    /// Reserves the resources of these tasks if `sign` is 1, releases them if it is -1.
    fn occupy(&mut self, tasks: &[Assignment], task_size: Resources, team: &str, sign: f64) {
        let machines: Vec<Name> = tasks.iter().map(|a| a.machine.clone()).collect();
        self.inventory.reserve(&machines, task_size, sign);
        let used = self.inventory.team_usage.entry(team.to_owned()).or_default();
        *used = used.plus_scaled(task_size, sign * tasks.len() as f64);
    }
}

/// The job without the assignments of a unit, and those assignments.
fn without_unit(job: &JobRecord, unit: &UnitId, is_gang: bool) -> (JobRecord, Vec<Assignment>) {
    let mut rest = job.clone();
    let (moving, staying) = rest.assignments.drain(..).partition(|a| is_gang || a.task == unit.task);
    rest.assignments = staying;
    rest.vacated_machines.clear();
    rest.attempt += 1;
    // The back-off after failed starts does not apply: the unit that is moved runs already.
    (rest.failed_starts, rest.last_failure_ms) = (0, 0);
    (rest, moving)
}

impl FindCapacity for InventoryCapacity<'_> {
    fn find(&mut self, unit: &UnitId) -> Option<Vec<Name>> {
        let job = &self.records.jobs.get(&*unit.job)?.value;
        let spec = job.spec.as_deref()?;
        let team = self.teams.iter().find(|t| t.name == spec.team)?;
        let size = Resources::of_task(spec);
        let (mut rest, moving) = without_unit(job, unit, spec.kind == JobKind::Gang);
        // The resources that the unit uses now are free once it has stopped. A gang may use those on
        // its uncordoned machines again. A replica's machine is cordoned, so nothing is placed there.
        self.occupy(&moving, size, &spec.team, -1.0);
        let limits = self.limits(spec, moving.len());
        let placed = placement::place(self.records, self.inventory, &mut rest, team, |_| true, limits);
        if placed.len() < moving.len() {
            self.occupy(&placed, size, &spec.team, -1.0);
            self.occupy(&moving, size, &spec.team, 1.0);
            return None;
        }
        Some(placed.into_iter().map(|a| a.machine).collect())
    }
}

#[cfg(test)]
#[path = "../tests/unit/capacity.rs"]
mod tests;

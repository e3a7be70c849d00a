//! Room for what is to be moved, on the inventory of machines.

use sched::placement::{self, Inventory, Limits};
use sched::records::{Assignment, JobRecord, Name};
use sched::replica::{Replica, Resources, Team};
use wire::JobKind;

use crate::budget::UnitId;
use crate::step::FindRoom;

/// Looks for room as placement would, and takes what it finds. The caller undoes that by
/// [`Inventory::roll_back`].
pub struct InventoryRoom<'a> {
    /// The records.
    pub world: &'a Replica,
    /// The machines; those that are cordoned may not be used.
    pub inventory: &'a mut Inventory,
    /// The teams, for their limits.
    pub teams: &'a [Team],
    /// How long a gang's tasks wait for each other.
    pub gang_wait_s: f64,
    /// The time of day.
    pub now_ms: u64,
}

impl InventoryRoom<'_> {
    fn limits(&self, most: usize) -> Limits {
        let Self { gang_wait_s, now_ms, .. } = *self;
        Limits { max_tasks: most, task_window: u32::MAX, may_strand_gpus: true, gang_wait_s, now_ms }
    }

    /// Gives back what a unit takes, or takes it again.
    fn occupy(&mut self, tasks: &[Assignment], size: Resources, team: &str, sign: f64) {
        let machines: Vec<Name> = tasks.iter().map(|a| a.machine.clone()).collect();
        self.inventory.reserve(&machines, size, sign);
        let used = self.inventory.team_usage.entry(team.to_owned()).or_default();
        *used = used.plus_scaled(size, sign * tasks.len() as f64);
    }
}

/// The job without a unit, and the unit's assignments.
fn without(job: &JobRecord, unit: &UnitId, gang: bool) -> (JobRecord, Vec<Assignment>) {
    let mut rest = job.clone();
    let (moving, staying) = rest.assignments.drain(..).partition(|a| gang || a.task == unit.task);
    rest.assignments = staying;
    rest.vacated_machines.clear();
    rest.attempt += 1;
    // A pause after errors does not matter here: what is moved runs.
    (rest.failed_starts, rest.last_failure_ms) = (0, 0);
    (rest, moving)
}

impl FindRoom for InventoryRoom<'_> {
    fn find(&mut self, unit: &UnitId) -> Option<Vec<Name>> {
        let job = &self.world.jobs.get(&*unit.job)?.value;
        let spec = job.spec.as_deref()?;
        let team = self.teams.iter().find(|t| t.name == spec.team)?;
        let size = Resources::of_task(spec);
        let (mut rest, moving) = without(job, unit, spec.kind == JobKind::Gang);
        // A gang's own machines are free once all of it has stopped; a replica's machine is
        // cordoned, and nothing can be placed there.
        self.occupy(&moving, size, &spec.team, -1.0);
        let limits = self.limits(moving.len());
        let placed = placement::place(self.world, self.inventory, &mut rest, team, |_| true, limits);
        if placed.len() < moving.len() {
            self.occupy(&placed, size, &spec.team, -1.0);
            self.occupy(&moving, size, &spec.team, 1.0);
            return None;
        }
        Some(placed.into_iter().map(|a| a.machine).collect())
    }
}

#[cfg(test)]
#[path = "../tests/unit/room.rs"]
mod tests;

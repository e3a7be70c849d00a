//! Whether a drain could ever finish, whatever happens meanwhile.

use sched::autoscaling;
use sched::drain_records::UnsavedWork;
use sched::hash::HashSet;
use sched::placement;
use sched::records::Name;
use sched::replica::{Replica, Resources};
use wire::{JobKind, JobSpec};

use crate::budget::{Budgets, UnitId};
use crate::step::{Machine, Unit, Work};

/// Why something on a machine could never be moved.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum Blocker {
    /// No replica of a service may ever be down.
    #[error("{job} on {machine}: the budget of a service is 0 replicas")]
    ServiceBudget {
        /// The service.
        job: Name,
        /// The machine.
        machine: Name,
    },
    /// Nothing of a team may ever be down.
    #[error("{job} on {machine}: the budget of team \"{team}\" is 0")]
    TeamBudget {
        /// The team.
        team: String,
        /// The job.
        job: Name,
        /// The machine.
        machine: Name,
    },
    /// No machine that stays, and no type that could be rented, can hold it.
    #[error("{job} on {machine}: it fits on no other machine, and on none that could be rented")]
    FitsNowhere {
        /// The job.
        job: Name,
        /// The machine.
        machine: Name,
    },
    /// It cannot save, has no known end, and is to be left running.
    #[error("{job} on {machine}: it cannot save and may run for longer than the patience; --unsaved stop")]
    OutlastsPatience {
        /// The job.
        job: Name,
        /// The machine.
        machine: Name,
    },
}

/// What stands in the way for good of draining these machines, the first of each job.
pub fn blockers(
    world: &Replica,
    machines: &[Machine],
    budgets: &Budgets,
    unsaved: UnsavedWork,
    patience_s: f64,
) -> Vec<Blocker> {
    let drained: HashSet<&Name> = machines.iter().map(|m| &m.name).collect();
    let mut seen: HashSet<&UnitId> = HashSet::default();
    let mut found = Vec::new();
    for machine in machines {
        for unit in machine.units.iter().filter(|u| !u.stopping) {
            if seen.insert(&unit.id) {
                found.extend(blocker(world, &drained, machine, unit, budgets, (unsaved, patience_s)));
            }
        }
    }
    found
}

fn blocker(
    world: &Replica,
    drained: &HashSet<&Name>,
    machine: &Machine,
    unit: &Unit,
    budgets: &Budgets,
    (unsaved, patience_s): (UnsavedWork, f64),
) -> Option<Blocker> {
    let spec = world.jobs.get(&*unit.id.job)?.value.spec.as_deref()?;
    let (job, machine) = (unit.id.job.clone(), machine.name.clone());
    if unit.work == Work::Replica && budgets.per_service == 0 {
        return Some(Blocker::ServiceBudget { job, machine });
    }
    if budgets.of_team(&unit.team, replicas_of_team(world, &unit.team)) == Some(0) {
        return Some(Blocker::TeamBudget { team: unit.team.clone(), job, machine });
    }
    let outlasts = unit.work == Work::Unsaved && unsaved == UnsavedWork::Leave;
    if outlasts && spec.estimated_runtime_s > patience_s {
        return Some(Blocker::OutlastsPatience { job, machine });
    }
    let fits = autoscaling::fits_some_machine_type(spec, &world.machine_types)
        || fits_on_another(world, drained, spec);
    (!fits).then_some(Blocker::FitsNowhere { job, machine })
}

fn replicas_of_team(world: &Replica, team: &str) -> u32 {
    let of_team = |s: &&JobSpec| s.team == team && s.kind == JobKind::Service;
    world.open_jobs().filter_map(|(_, job)| job.spec.as_deref()).filter(of_team).map(|s| s.tasks).sum()
}

/// Whether a machine that stays is large enough, were it empty.
fn fits_on_another(world: &Replica, drained: &HashSet<&Name>, spec: &JobSpec) -> bool {
    world.machines.iter().filter(|(id, _)| !drained.contains(id)).any(|(_, m)| {
        let m = &m.value;
        let whole = world.machine_types.get(&*m.machine_type).map(Resources::of_type);
        placement::is_allowed(spec, &m.machine_type, &m.zone, m.spot)
            && whole.is_some_and(|whole| Resources::of_task(spec).fits(whole))
    })
}

#[cfg(test)]
#[path = "../tests/unit/feasibility.rs"]
mod tests;

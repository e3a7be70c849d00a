//! Finds units that can never be moved, and because of which a drain can never finish.

use sched::autoscaling;
use sched::drain_records::UnsavedWork;
use sched::hash::HashSet;
use sched::placement;
use sched::records::Name;
use sched::replica::{Replica, Resources};
use wire::{JobKind, JobSpec};

use crate::budget::{Budgets, UnitId};
use crate::step::{Machine, Unit, WorkKind};

/// Why a unit on a machine can never be moved.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum Blocker {
    /// The budget of a service is 0: none of its replicas may ever be stopped voluntarily.
    #[error("{job} on {machine}: the budget of a service is 0 replicas")]
    ServiceBudget {
        /// The service.
        job: Name,
        /// The machine.
        machine: Name,
    },
    /// The budget of the team is 0: none of its units may ever be stopped voluntarily.
    #[error("{job} on {machine}: the budget of team \"{team}\" is 0")]
    TeamBudget {
        /// The team.
        team: String,
        /// The job.
        job: Name,
        /// The machine.
        machine: Name,
    },
    /// The task fits neither on any machine that is not drained nor on any machine type that could
    /// be rented.
    #[error("{job} on {machine}: it fits on no other machine, and on no machine type that could be rented")]
    FitsNowhere {
        /// The job.
        job: Name,
        /// The machine.
        machine: Name,
    },
    /// The job cannot save its progress, is expected to run for longer than the drain's patience,
    /// and is to be left running then.
    #[error(
        "{job} on {machine}: it cannot save its progress and may run for longer than --patience-s; --unsaved stop would stop it"
    )]
    OutlastsPatience {
        /// The job.
        job: Name,
        /// The machine.
        machine: Name,
    },
}

/// The first blocker of each unit on these machines.
pub fn blockers(
    replica: &Replica,
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
                found.extend(blocker(replica, &drained, machine, unit, budgets, (unsaved, patience_s)));
            }
        }
    }
    found
}

fn blocker(
    replica: &Replica,
    drained: &HashSet<&Name>,
    machine: &Machine,
    unit: &Unit,
    budgets: &Budgets,
    (unsaved, patience_s): (UnsavedWork, f64),
) -> Option<Blocker> {
    let spec = replica.jobs.get(&*unit.id.job)?.value.spec.as_deref()?;
    let (job, machine) = (unit.id.job.clone(), machine.name.clone());
    if unit.work == WorkKind::Replica && budgets.per_service == 0 {
        return Some(Blocker::ServiceBudget { job, machine });
    }
    if budgets.of_team(&unit.team, replicas_of_team(replica, &unit.team)) == Some(0) {
        return Some(Blocker::TeamBudget { team: unit.team.clone(), job, machine });
    }
    let outlasts = unit.work == WorkKind::Unsaved && unsaved == UnsavedWork::Leave;
    if outlasts && spec.estimated_runtime_s > patience_s {
        return Some(Blocker::OutlastsPatience { job, machine });
    }
    let fits = autoscaling::fits_some_machine_type(spec, &replica.machine_types)
        || fits_on_another(replica, drained, spec);
    (!fits).then_some(Blocker::FitsNowhere { job, machine })
}

fn replicas_of_team(replica: &Replica, team: &str) -> u32 {
    let of_team = |s: &&JobSpec| s.team == team && s.kind == JobKind::Service;
    replica.open_jobs().filter_map(|(_, job)| job.spec.as_deref()).filter(of_team).map(|s| s.tasks).sum()
}

/// Whether some machine that is not drained could hold a task if it were empty.
fn fits_on_another(replica: &Replica, drained: &HashSet<&Name>, spec: &JobSpec) -> bool {
    replica.machines.iter().filter(|(id, _)| !drained.contains(id)).any(|(_, m)| {
        let m = &m.value;
        let machine_size = replica.machine_types.get(&*m.machine_type).map(Resources::of_type);
        placement::is_allowed(spec, &m.machine_type, &m.zone, m.spot)
            && machine_size.is_some_and(|size| Resources::of_task(spec).fits(size))
    })
}

#[cfg(test)]
#[path = "../tests/unit/feasibility.rs"]
mod tests;

//! Placing the pending tasks of a job.

use std::collections::BTreeSet;

use wire::{JobKind, JobSpec};

use super::choice::{Choice, Request, choose};
use super::eligibility::{is_allowed_on, pending_task_count, pending_tasks, retry_at_ms};
use super::image_fetch::sets_ready_together;
use super::queue::waited_s;
use crate::inventory::{Candidates, Inventory, Slot};
use crate::records::{Assignment, DesiredState, JobRecord, Name, Phase};
use crate::replica::{Replica, Resources, Team};

/// A gang that has waited this long is placed on machines that fetch its image at any rate.
const IGNORE_FETCH_TIMES_AFTER_S: f64 = 100.0;

/// What bounds one call of [`place`].
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Most tasks to place; a gang is placed as a whole nevertheless.
    pub max_tasks: usize,
    /// How far beyond the first unfinished task others may start: what is done has to fit into the
    /// record as a bitmap.
    pub task_window: u32,
    /// Whether tasks without GPUs may take capacity that GPU jobs could use.
    pub may_strand_gpus: bool,
    /// How long a gang's tasks wait for one another; 0: without end.
    pub gang_wait_s: f64,
    /// The time of day, in milliseconds.
    pub now_ms: u64,
}

/// Places as many of the job's pending tasks as there is capacity for, all or none for a gang. The
/// job and the inventory are changed to match. `within` admits machines; it must not tell those
/// apart of the same owner, type, zone and purchase (spot or not) with the same in use.
pub fn place(
    replica: &Replica,
    inventory: &mut Inventory,
    job: &mut JobRecord,
    team: &Team,
    within: impl Fn(&Slot) -> bool,
    limits: Limits,
) -> Vec<Assignment> {
    place_on(replica, inventory, job, team, &Scope { within, machines: None }, limits)
}

/// The same on these machines only.
pub fn place_on_machines(
    replica: &Replica,
    inventory: &mut Inventory,
    job: &mut JobRecord,
    team: &Team,
    machines: &[Name],
    limits: Limits,
) -> Vec<Assignment> {
    let scope = Scope { within: |_: &Slot| true, machines: Some(machines) };
    place_on(replica, inventory, job, team, &scope, limits)
}

/// The machines that placement is limited to.
struct Scope<'a, F> {
    within: F,
    /// Only these, if any.
    machines: Option<&'a [Name]>,
}

fn place_on(
    replica: &Replica,
    inventory: &mut Inventory,
    job: &mut JobRecord,
    team: &Team,
    scope: &Scope<impl Fn(&Slot) -> bool>,
    limits: Limits,
) -> Vec<Assignment> {
    let Some(spec) = job.spec.clone() else { return Vec::new() };
    if !may_place(job, &spec, limits.now_ms) {
        return Vec::new();
    }
    let is_gang = spec.kind == JobKind::Gang;
    let tasks = tasks_to_place(inventory, job, &spec, team, limits);
    if tasks.is_empty() || (is_gang && (tasks.len() as u32) < pending_task_count(job)) {
        return Vec::new();
    }
    let request = Request { replica, inventory, job, spec: &spec, tasks: &tasks, limits };
    let choices = choose_within(request, scope);
    if choices.is_empty() || (is_gang && choices.len() < tasks.len()) {
        return Vec::new();
    }
    let choices = if is_gang { in_order_of_machines(&tasks, &choices) } else { choices };
    assign(inventory, job, &spec, &choices)
}

/// Whether any task of the job may be placed now.
fn may_place(job: &JobRecord, spec: &JobSpec, now_ms: u64) -> bool {
    if job.phase != Phase::Active || retry_at_ms(job) > now_ms {
        return false;
    }
    // A gang that waits for its tasks may get another machine for one that it lost, within the same
    // attempt; one that breaks up is restarted once all is over.
    let is_of_current_attempt =
        |a: &Assignment| a.attempt == job.attempt && a.desired == DesiredState::Running;
    spec.kind != JobKind::Gang || job.assignments.iter().all(is_of_current_attempt)
}

/// The pending tasks that the limits and the team's quota admit.
fn tasks_to_place(
    inventory: &Inventory,
    job: &JobRecord,
    spec: &JobSpec,
    team: &Team,
    limits: Limits,
) -> Vec<u32> {
    let max_tasks = if spec.kind == JobKind::Gang { usize::MAX } else { limits.max_tasks };
    let team_usage = inventory.team_usage.get(&spec.team).copied().unwrap_or_default();
    let remaining_quota = team.limit().plus_scaled(team_usage.without_memory(), -1.0);
    let quota_tasks = Resources::of_task(spec).count_fitting_in(remaining_quota) as usize;
    let window_end = job.done.first_missing().saturating_add(limits.task_window);
    pending_tasks(job).take_while(|task| *task < window_end).take(max_tasks.min(quota_tasks)).collect()
}

/// Chooses machines within the scope.
fn choose_within(request: Request, scope: &Scope<impl Fn(&Slot) -> bool>) -> Vec<Choice> {
    let Request { replica, inventory, job, spec, limits, .. } = request;
    let size = Resources::of_task(spec);
    let suits = |slot: &Slot| size.fits(slot.free()) && is_allowed_on(spec, slot) && (scope.within)(slot);
    let must_be_ready_together = spec.kind == JobKind::Gang
        && spec.tasks > 1
        && limits.gang_wait_s > 0.0
        && job.assignments.is_empty();
    // Otherwise a machine is chosen by nothing but its own rank.
    if !spec.one_zone && !must_be_ready_together && scope.machines.is_none() {
        return choose(request, inventory.candidates(replica, job, spec, suits));
    }
    let is_not_vacated = |i: &usize| !job.vacated_machines.contains(&inventory.slots[*i].id);
    let slots: Vec<usize> = match scope.machines {
        Some(machines) => {
            let slots: BTreeSet<usize> = machines.iter().filter_map(|m| inventory.find(m)).collect();
            slots.into_iter().filter(|i| suits(&inventory.slots[*i])).filter(is_not_vacated).collect()
        }
        None => inventory.matching(suits).into_iter().filter(is_not_vacated).collect(),
    };
    if must_be_ready_together {
        choose_ready_together(request, &slots)
    } else {
        choose_among(request, &slots)
    }
}

/// Chooses machines for a whole gang that have the image at about the same time.
fn choose_ready_together(request: Request, slots: &[usize]) -> Vec<Choice> {
    let Request { replica, inventory, job, spec, tasks, limits } = request;
    let sets = sets_ready_together(replica, inventory, spec, slots, limits.gang_wait_s);
    let choices = sets.iter().map(|set| choose_among(request, set)).find(|c| c.len() == tasks.len());
    choices.unwrap_or_else(|| {
        // An attempt that may fail is better than waiting forever.
        let ignores_fetch_times = waited_s(job, limits.now_ms) >= IGNORE_FETCH_TIMES_AFTER_S;
        if ignores_fetch_times { choose_among(request, slots) } else { Vec::new() }
    })
}

/// Chooses among these machines, which have to be of one zone for a one-zone job.
fn choose_among(request: Request, slots: &[usize]) -> Vec<Choice> {
    let Request { replica, inventory, job, spec, .. } = request;
    if !spec.one_zone {
        return choose(request, Candidates::from_slots(slots));
    }
    // All tasks of a one-zone job share the zone of those that are still assigned.
    let zones: BTreeSet<Name> = match zone_of(replica, job) {
        Some(zone) => [zone].into(),
        None => slots.iter().map(|&i| inventory.slots[i].zone.clone()).collect(),
    };
    let choices = zones.iter().map(|zone| {
        let in_zone: Vec<usize> =
            slots.iter().copied().filter(|&i| inventory.slots[i].zone == *zone).collect();
        choose(request, Candidates::from_slots(&in_zone))
    });
    choices.max_by_key(Vec::len).unwrap_or_default()
}

/// The zone of the first assignment whose machine is known.
fn zone_of(replica: &Replica, job: &JobRecord) -> Option<Name> {
    let machine = job.assignments.iter().find_map(|a| replica.machines.get(&a.machine));
    machine.map(|machine| machine.value.zone.clone())
}

/// Gives each machine consecutive tasks of a gang, which makes a short record.
fn in_order_of_machines(tasks: &[u32], choices: &[Choice]) -> Vec<Choice> {
    let mut slots: Vec<usize> = choices.iter().map(|choice| choice.slot).collect();
    slots.sort_unstable();
    tasks.iter().zip(slots).map(|(&task, slot)| Choice { task, slot }).collect()
}

/// Assigns the tasks: changes the job and the inventory.
fn assign(
    inventory: &mut Inventory,
    job: &mut JobRecord,
    spec: &JobSpec,
    choices: &[Choice],
) -> Vec<Assignment> {
    let size = Resources::of_task(spec);
    let attempt = match spec.kind {
        JobKind::Gang if job.assignments.is_empty() => job.attempt + 1,
        JobKind::Gang => job.attempt,
        JobKind::Service | JobKind::Array => job.attempt.max(1),
    };
    let placed: Vec<Assignment> = choices
        .iter()
        .map(|&Choice { task, slot }| {
            inventory.take(slot, size, 1.0);
            let machine = inventory.slots[slot].id.clone();
            Assignment { task, attempt, machine, desired: DesiredState::Running }
        })
        .collect();
    let team_usage = inventory.team_usage.entry(spec.team.clone()).or_default();
    *team_usage = team_usage.plus_scaled(size, placed.len() as f64);
    job.attempt = attempt;
    job.assignments.extend(placed.iter().cloned());
    job.assignments.sort_unstable_by_key(|a| a.task);
    placed
}

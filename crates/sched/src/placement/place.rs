//! Places the pending tasks of a job.

use std::collections::BTreeSet;

use wire::{JobKind, JobSpec};

use super::choice::{Choice, Request, choose};
use super::eligibility::{is_allowed_on, pending_task_count, pending_tasks};
use super::image_fetch::sets_ready_together;
use super::queue::waited_s;
use crate::inventory::{Candidates, Inventory, Slot};
use crate::records::{Assignment, DesiredState, JobRecord, Name, Phase};
use crate::replica::{Replica, Resources, Team};

/// How long a gang waits before it is placed without regard to fetch times.
const IGNORE_FETCH_TIMES_AFTER_S: f64 = 100.0;

/// The limits of one call of [`place`].
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// The most tasks to place; a gang is placed as a whole nevertheless.
    pub max_tasks: usize,
    /// How far beyond the first unfinished task others may start. The finished tasks are stored as
    /// a bitmap, which has to fit into the record.
    pub task_window: u32,
    /// Whether tasks without GPUs may take capacity that GPU jobs could use.
    pub may_strand_gpus: bool,
    /// How long the tasks of a gang wait for one another; 0 means without limit.
    pub gang_wait_s: f64,
    /// The time of day, in milliseconds.
    pub now_ms: u64,
}

/// Places as many pending tasks of the job as there is capacity for; for a gang, all or none.
/// Updates the job and the inventory. Only machines that satisfy `slot_filter` are used; it must
/// have the same result for machines with the same owner, type, zone, purchase option (on demand or
/// spot) and usage.
pub fn place(
    replica: &Replica,
    inventory: &mut Inventory,
    job: &mut JobRecord,
    team: &Team,
    slot_filter: impl Fn(&Slot) -> bool,
    limits: Limits,
) -> Vec<Assignment> {
    place_in_scope(replica, inventory, job, team, &Scope { slot_filter, machines: None }, limits)
}

/// Like [`place`], but only on these machines.
pub fn place_on_machines(
    replica: &Replica,
    inventory: &mut Inventory,
    job: &mut JobRecord,
    team: &Team,
    machines: &[Name],
    limits: Limits,
) -> Vec<Assignment> {
    let scope = Scope { slot_filter: |_: &Slot| true, machines: Some(machines) };
    place_in_scope(replica, inventory, job, team, &scope, limits)
}

/// The machines that placement is limited to.
struct Scope<'a, F> {
    slot_filter: F,
    /// If present, only these machines are used.
    machines: Option<&'a [Name]>,
}

fn place_in_scope(
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
    let choices = choose_in_scope(request, scope);
    if choices.is_empty() || (is_gang && choices.len() < tasks.len()) {
        return Vec::new();
    }
    let choices = if is_gang { group_tasks_by_machine(&tasks, &choices) } else { choices };
    assign(inventory, job, &spec, &choices)
}

/// Whether any task of the job may be placed now.
fn may_place(job: &JobRecord, spec: &JobSpec, now_ms: u64) -> bool {
    if job.phase != Phase::Active || job.retry_at_ms() > now_ms {
        return false;
    }
    // A gang whose tasks wait for one another may get another machine for a lost task within the
    // same attempt. A gang that breaks up is restarted only after all its tasks have ended.
    let is_of_current_attempt = |assignment: &Assignment| {
        assignment.attempt == job.attempt && assignment.desired == DesiredState::Running
    };
    spec.kind != JobKind::Gang || job.assignments.iter().all(is_of_current_attempt)
}

/// The pending tasks that the limits and the quota of the team allow to be placed.
fn tasks_to_place(
    inventory: &Inventory,
    job: &JobRecord,
    spec: &JobSpec,
    team: &Team,
    limits: Limits,
) -> Vec<u32> {
    let max_tasks = if spec.kind == JobKind::Gang { usize::MAX } else { limits.max_tasks };
    let team_usage = inventory.team_usage.get(&spec.team).copied().unwrap_or_default();
    let remaining_quota = team.limit().plus_scaled(team_usage.counted_in_quota(), -1.0);
    let quota_tasks = Resources::of_task(spec).count_fitting_in(remaining_quota) as usize;
    let window_end = job.done.first_missing().saturating_add(limits.task_window);
    pending_tasks(job).take_while(|task| *task < window_end).take(max_tasks.min(quota_tasks)).collect()
}

/// Chooses machines within the scope.
fn choose_in_scope(request: Request, scope: &Scope<impl Fn(&Slot) -> bool>) -> Vec<Choice> {
    let Request { replica, inventory, job, spec, limits, .. } = request;
    let size = Resources::of_task(spec);
    let suits =
        |slot: &Slot| size.fits(slot.free()) && is_allowed_on(spec, slot) && (scope.slot_filter)(slot);
    let must_be_ready_together = spec.kind == JobKind::Gang
        && spec.tasks > 1
        && limits.gang_wait_s > 0.0
        && job.assignments.is_empty();
    // Without such constraints, a machine is chosen by its own rank alone.
    if !spec.one_zone && !must_be_ready_together && scope.machines.is_none() {
        return choose(request, inventory.candidates(replica, job, spec, suits));
    }
    let is_not_vacated = |i: &usize| !job.vacated_machines.contains(&inventory.slots[*i].id);
    let slots: Vec<usize> = match scope.machines {
        Some(machines) => {
            let slots: BTreeSet<usize> =
                machines.iter().filter_map(|machine| inventory.find(machine)).collect();
            slots.into_iter().filter(|i| suits(&inventory.slots[*i])).filter(is_not_vacated).collect()
        }
        None => inventory.matching_slots(suits).into_iter().filter(is_not_vacated).collect(),
    };
    if must_be_ready_together {
        choose_ready_together(request, &slots)
    } else {
        choose_among(request, &slots)
    }
}

/// Chooses machines for a whole gang that will have the image at about the same time.
fn choose_ready_together(request: Request, slots: &[usize]) -> Vec<Choice> {
    let Request { replica, inventory, job, spec, tasks, limits } = request;
    let sets = sets_ready_together(replica, inventory, spec, slots, limits.gang_wait_s);
    let choices =
        sets.iter().map(|set| choose_among(request, set)).find(|choices| choices.len() == tasks.len());
    choices.unwrap_or_else(|| {
        // After a long wait, an attempt that may fail is better than none.
        let ignores_fetch_times = waited_s(job, limits.now_ms) >= IGNORE_FETCH_TIMES_AFTER_S;
        if ignores_fetch_times { choose_among(request, slots) } else { Vec::new() }
    })
}

/// Chooses among these machines; for a one-zone job, only machines of one zone are chosen.
fn choose_among(request: Request, slots: &[usize]) -> Vec<Choice> {
    let Request { replica, inventory, job, spec, .. } = request;
    if !spec.one_zone {
        return choose(request, Candidates::from_slots(slots));
    }
    // A one-zone job stays in the zone of the tasks that are still assigned.
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
    let machine = job.assignments.iter().find_map(|assignment| replica.machines.get(&assignment.machine));
    machine.map(|machine| machine.value.zone.clone())
}

/// Gives each machine consecutive tasks of a gang, which makes the record of the job shorter.
fn group_tasks_by_machine(tasks: &[u32], choices: &[Choice]) -> Vec<Choice> {
    let mut slots: Vec<usize> = choices.iter().map(|choice| choice.slot).collect();
    slots.sort_unstable();
    tasks.iter().zip(slots).map(|(&task, slot)| Choice { task, slot }).collect()
}

/// Assigns the tasks to the chosen machines, and updates the job and the inventory.
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
            inventory.reserve_on_slot(slot, size, 1.0);
            let machine = inventory.slots[slot].id.clone();
            Assignment { task, attempt, machine, desired: DesiredState::Running }
        })
        .collect();
    let team_usage = inventory.team_usage.entry(spec.team.clone()).or_default();
    *team_usage = team_usage.plus_scaled(size, placed.len() as f64);
    job.attempt = attempt;
    job.assignments.extend(placed.iter().cloned());
    job.assignments.sort_unstable_by_key(|assignment| assignment.task);
    placed
}

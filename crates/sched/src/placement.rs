//! Which machine a task goes to.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use wire::{JobKind, JobSpec};

use crate::hash::HashMap;
use crate::inventory::Candidates;
pub use crate::inventory::{Inventory, Slot};
use crate::records::{Assignment, DesiredState, JobRecord, Name, Phase};
use crate::replica::{Replica, Resources, Team};

/// Whether the job may use this kind of machine at all.
pub fn is_allowed(spec: &JobSpec, machine_type: &str, zone: &str, spot: bool) -> bool {
    spec.types.as_ref().is_none_or(|t| t.iter().any(|t| t == machine_type))
        && spec.zone.as_ref().is_none_or(|z| z == zone)
        && (spec.spot || !spot)
}

/// Most tasks of the job that one zone may hold.
pub fn zone_limit(spec: &JobSpec) -> u32 {
    if spec.spread { spec.tasks.div_ceil(2) } else { u32::MAX }
}

/// The tasks that wait for a place, lowest numbers first.
pub fn pending_tasks(job: &JobRecord) -> impl Iterator<Item = u32> + '_ {
    let count = match (&job.spec, job.phase) {
        (Some(spec), Phase::Active) => spec.tasks,
        _ => 0,
    };
    let running = |t: u32| job.assignments.binary_search_by_key(&t, |a| a.task).is_ok();
    (job.done.first_missing()..count).filter(move |t| !job.done.contains(*t) && !running(*t))
}

pub fn pending_task_count(job: &JobRecord) -> u32 {
    match (&job.spec, job.phase) {
        (Some(spec), Phase::Active) => {
            // A task that is done has no place any more.
            spec.tasks.saturating_sub(job.done.len() + job.assignments.len() as u32)
        }
        _ => 0,
    }
}

/// When a job whose starts keep failing may try again: a job that was submitted
/// with a mistake fails everywhere and must not keep machines busy.
pub fn retry_at_ms(job: &JobRecord) -> u64 {
    let pause = match job.failed_starts {
        0..=2 => 0,
        n => 1000u64 << (n - 3).min(5),
    };
    job.last_failure_ms + pause
}

/// What bounds one call of [`place`].
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Most tasks to place.
    pub max_tasks: usize,
    /// How far beyond the first unfinished task others may start: what is done
    /// has to fit into the record as a bitmap.
    pub task_window: u32,
    /// Whether tasks without GPUs may take room that GPU jobs could use.
    pub may_strand_gpus: bool,
    /// How long a gang's tasks wait for each other; 0: without end.
    pub gang_wait_s: f64,
    pub now_ms: u64,
}

/// Places as many of the job's pending tasks as there is room for, all or none
/// for a gang, at most `most`. The job and the inventory are changed to match. `within` must
/// not tell machines apart of the same owner, type, zone and purchase with the same in use.
pub fn place(
    world: &Replica,
    inventory: &mut Inventory,
    job: &mut JobRecord,
    team: &Team,
    within: impl Fn(&Slot) -> bool,
    limits: Limits,
) -> Vec<Assignment> {
    place_on(world, inventory, job, team, (within, None), limits)
}

/// The same on machines of these names only.
pub fn place_at(
    world: &Replica,
    inventory: &mut Inventory,
    job: &mut JobRecord,
    team: &Team,
    machines: &[Name],
    limits: Limits,
) -> Vec<Assignment> {
    place_on(world, inventory, job, team, (|_: &Slot| true, Some(machines)), limits)
}

fn place_on(
    world: &Replica,
    inventory: &mut Inventory,
    job: &mut JobRecord,
    team: &Team,
    (within, only): (impl Fn(&Slot) -> bool, Option<&[Name]>),
    limits: Limits,
) -> Vec<Assignment> {
    let Limits { max_tasks: most, task_window: window, now_ms, .. } = limits;
    let Some(spec) = job.spec.clone() else { return Vec::new() };
    if job.phase != Phase::Active || retry_at_ms(job) > now_ms {
        return Vec::new();
    }
    let gang = spec.kind == JobKind::Gang;
    // A gang that waits for its tasks may get another machine for one it lost,
    // within the same attempt; one that breaks up starts anew once all is over.
    if gang && job.assignments.iter().any(|a| a.attempt != job.attempt || a.desired != DesiredState::Running)
    {
        return Vec::new();
    }
    let most = if gang { usize::MAX } else { most };
    let size = Resources::of_task(&spec);
    let in_use = inventory.team_usage.get(&spec.team).copied().unwrap_or_default();
    let quota = size.count_fitting_in(team.limit().plus_scaled(Resources { memory_gb: 0.0, ..in_use }, -1.0))
        as usize;
    let horizon = job.done.first_missing().saturating_add(window);
    let wanted: Vec<u32> = pending_tasks(job).take_while(|t| *t < horizon).take(most.min(quota)).collect();
    if wanted.is_empty() || (gang && (wanted.len() as u32) < pending_task_count(job)) {
        return Vec::new();
    }
    let may =
        |s: &Slot| size.fits(s.free()) && is_allowed(&spec, &s.machine_type, &s.zone, s.spot) && within(s);
    let apart = gang && spec.tasks > 1 && limits.gang_wait_s > 0.0 && job.assignments.is_empty();
    // Only these are chosen by more than a machine's own rank.
    let list: Option<Vec<usize>> = (spec.one_zone || apart || only.is_some()).then(|| {
        let stays_away = |i: &usize| !job.vacated_machines.contains(&inventory.slots[*i].id);
        match only {
            Some(machines) => {
                let all: BTreeSet<usize> = machines.iter().filter_map(|m| inventory.find(m)).collect();
                all.into_iter().filter(|i| may(&inventory.slots[*i])).filter(stays_away).collect()
            }
            None => inventory.matching(may).into_iter().filter(stays_away).collect(),
        }
    });
    let attempt = match gang {
        true if job.assignments.is_empty() => job.attempt + 1,
        true => job.attempt,
        false => job.attempt.max(1),
    };
    let choose = |candidates| choose(world, inventory, job, &spec, candidates, &wanted, limits);
    let whole = |list: &[usize]| {
        if !spec.one_zone {
            return choose(Candidates::list(list));
        }
        // All tasks of a one-zone job share the zone of those that are still out.
        let zones: BTreeSet<Name> = match zone_of(world, job) {
            Some(z) => [z].into(),
            None => list.iter().map(|&i| inventory.slots[i].zone.clone()).collect(),
        };
        let tries = zones.iter().map(|z| {
            let here: Vec<usize> = list.iter().copied().filter(|&i| inventory.slots[i].zone == *z).collect();
            choose(Candidates::list(&here))
        });
        tries.max_by_key(Vec::len).unwrap_or_default()
    };
    let chosen = match &list {
        None => choose(inventory.candidates(world, job, &spec, may)),
        Some(list) if apart => {
            let sets = ready_together(world, inventory, &spec, list, limits.gang_wait_s);
            let of_sets = sets.iter().map(|s| whole(s)).find(|c| c.len() == wanted.len());
            // Better to try than to wait for ever.
            let tries = waited_s(job, now_ms) >= TRY_ANYHOW_S;
            of_sets.unwrap_or_else(|| if tries { whole(list) } else { Vec::new() })
        }
        Some(list) => whole(list),
    };
    if chosen.is_empty() || (gang && chosen.len() < wanted.len()) {
        return Vec::new();
    }
    let mut chosen = chosen;
    if gang {
        // Tasks in a row on each machine make a short record.
        let mut machines: Vec<usize> = chosen.iter().map(|c| c.1).collect();
        machines.sort_unstable();
        chosen = wanted.iter().copied().zip(machines).collect();
    }
    let placed: Vec<Assignment> = chosen
        .into_iter()
        .map(|(task, i)| {
            inventory.take(i, size, 1.0);
            Assignment {
                task,
                attempt,
                machine: inventory.slots[i].id.clone(),
                desired: DesiredState::Running,
            }
        })
        .collect();
    let used = inventory.team_usage.entry(spec.team.clone()).or_default();
    *used = used.plus_scaled(size, placed.len() as f64);
    job.attempt = attempt;
    job.assignments.extend(placed.iter().cloned());
    job.assignments.sort_unstable_by_key(|a| a.task);
    placed
}

/// Fetches differ by about this much from what their machine type promises.
const FETCH_VARIES: f64 = 0.25;
/// A gang that has waited this long is tried on machines of any kind.
const TRY_ANYHOW_S: f64 = 100.0;

/// About when, at the earliest and at the latest, a machine will have an image.
fn fetch_s(spec: &JobSpec, gb_per_s: f64) -> (f64, f64) {
    let usual = spec.image_gb / gb_per_s.max(1e-3);
    (usual / (1.0 + FETCH_VARIES), usual / (1.0 - FETCH_VARIES))
}

/// Sets of machines whose images will be there within the time that a gang's
/// tasks wait for one another. Where one machine has the image and another takes
/// long to fetch it, the first gives up waiting, the others give up fetching,
/// and the next try is no better.
fn ready_together(
    world: &Replica,
    inventory: &Inventory,
    spec: &JobSpec,
    candidates: &[usize],
    gang_wait_s: f64,
) -> Vec<Vec<usize>> {
    let times: Vec<(usize, f64, f64)> = candidates
        .iter()
        .map(|&i| {
            let s = &inventory.slots[i];
            let there = world.has_image(&s.id, &spec.image);
            let (early, late) = if there { (0.0, 0.0) } else { fetch_s(spec, s.gb_per_s) };
            (i, early, late)
        })
        .collect();
    let mut starts: Vec<f64> = times.iter().map(|t| t.1).collect();
    starts.sort_by(f64::total_cmp);
    starts.dedup();
    let set = |start: &f64| -> Vec<usize> {
        let within = |t: &&(usize, f64, f64)| t.1 >= *start && t.2 <= *start + gang_wait_s;
        times.iter().filter(within).map(|t| t.0).collect()
    };
    let mut sets: Vec<Vec<usize>> = starts.iter().map(set).filter(|s| !s.is_empty()).collect();
    // On one machine there is one fetch for all.
    let size = Resources::of_task(spec);
    let one = candidates.iter().find(|&&i| size.count_fitting_in(inventory.slots[i].free()) >= spec.tasks);
    sets.extend(one.map(|i| vec![*i]));
    sets
}

/// Whether new machines of a type are too slow with a gang's image for its tasks
/// to be ready within the time that they wait for each other.
pub fn image_fetch_too_slow(spec: &JobSpec, t: &wire::MachineType, gang_wait_s: f64) -> bool {
    let (early, late) = fetch_s(spec, t.fetch_gb_per_s);
    spec.kind == JobKind::Gang
        && spec.tasks > 1
        && gang_wait_s > 0.0
        && late - early > gang_wait_s
        && Resources::of_task(spec).count_fitting_in(Resources::of_type(t)) < spec.tasks
}

/// Whether a job could take room that a gang needs.
pub fn competes_for_capacity(spec: &JobSpec, gang: &JobSpec) -> bool {
    let types = |a: &JobSpec, b: &JobSpec| match (&a.types, &b.types) {
        (Some(a), Some(b)) => a.iter().any(|t| b.contains(t)),
        _ => true,
    };
    types(spec, gang) && (gang.gpus == 0.0 || spec.gpus > 0.0)
}

/// The free places that a gang could use once there are enough: of one zone, the
/// one with most of them, if all its tasks have to be in one.
pub fn collectable_capacity(
    inventory: &Inventory,
    spec: &JobSpec,
    within: impl Fn(&Slot) -> bool,
) -> Vec<Name> {
    let size = Resources::of_task(spec);
    let mut places: BTreeMap<&str, Vec<&Name>> = BTreeMap::new();
    let suits =
        |s: &Slot| size.fits(s.free()) && is_allowed(spec, &s.machine_type, &s.zone, s.spot) && within(s);
    for s in inventory.matching(suits).into_iter().map(|i| &inventory.slots[i]) {
        let zone = if spec.one_zone { &*s.zone } else { "" };
        let n = size.count_fitting_in(s.free()).min(spec.tasks) as usize;
        places.entry(zone).or_default().extend(std::iter::repeat_n(&s.id, n));
    }
    let most = places.into_values().max_by_key(Vec::len).unwrap_or_default();
    most.into_iter().take(spec.tasks as usize).cloned().collect()
}

/// The machines that would take so many tasks of a job that is yet to come.
pub fn capacity_for(
    world: &Replica,
    inventory: &Inventory,
    spec: &JobSpec,
    tasks: u32,
    now_ms: u64,
) -> Vec<Name> {
    let job = JobRecord::new(spec.clone(), None, 0);
    let may = |s: &Slot| is_allowed(spec, &s.machine_type, &s.zone, s.spot);
    let candidates = inventory.candidates(world, &job, spec, may);
    let wanted: Vec<u32> = (0..tasks).collect();
    let limits = Limits {
        max_tasks: wanted.len(),
        task_window: tasks,
        may_strand_gpus: true,
        gang_wait_s: 0.0,
        now_ms,
    };
    let chosen = choose(world, inventory, &job, spec, candidates, &wanted, limits);
    chosen.into_iter().map(|(_, i)| inventory.slots[i].id.clone()).collect()
}

/// How many tasks of the usual GPU job a machine loses room for by one task
/// that needs no GPU.
pub fn gpu_slots_lost(world: &Replica, spec: &JobSpec, slot: &Slot) -> u32 {
    gpu_slots_lost_at(world, spec, slot, slot.used)
}

/// The same if so much of the machine were in use.
pub fn gpu_slots_lost_at(world: &Replica, spec: &JobSpec, slot: &Slot, used: Resources) -> u32 {
    if spec.gpus > 0.0 || slot.capacity.gpus <= 0.0 {
        return 0;
    }
    let need = match world.latest_gpu_job.as_deref() {
        Some(gpu) if !is_allowed(gpu, &slot.machine_type, &slot.zone, slot.spot) => return 0,
        Some(gpu) => Resources::of_task(gpu),
        // None has been seen yet: suppose that one takes its share of the CPUs.
        None if slot.spot => return 0,
        None => Resources { cpus: slot.capacity.cpus / slot.capacity.gpus, gpus: 1.0, memory_gb: 0.0 },
    };
    let free = slot.capacity.plus_scaled(used, -1.0);
    need.count_fitting_in(free)
        .saturating_sub(need.count_fitting_in(free.plus_scaled(Resources::of_task(spec), -1.0)))
}

fn zone_of(world: &Replica, job: &JobRecord) -> Option<Name> {
    job.assignments.iter().find_map(|a| world.machines.get(&a.machine)).map(|m| m.value.zone.clone())
}

/// Chooses a machine for each task in turn, without changing the inventory.
fn choose(
    world: &Replica,
    inventory: &Inventory,
    job: &JobRecord,
    spec: &JobSpec,
    mut candidates: Candidates,
    wanted: &[u32],
    limits: Limits,
) -> Vec<(u32, usize)> {
    let Limits { may_strand_gpus: lossy, now_ms, .. } = limits;
    let size = Resources::of_task(spec);
    let limit = zone_limit(spec);
    let mut in_zone: HashMap<&str, u32> = HashMap::default();
    for a in &job.assignments {
        match world.machines.get(&a.machine) {
            Some(m) => *in_zone.entry(&*m.value.zone).or_default() += 1,
            // A machine without a record may still be in any zone.
            None if spec.spread || spec.one_zone => return Vec::new(),
            None => {}
        }
    }
    let rank = |i: usize, taken: &HashMap<usize, Resources>| -> Option<Rank> {
        let s = &inventory.slots[i];
        let used = taken.get(&i).copied().unwrap_or(s.used);
        if !size.fits(s.capacity.plus_scaled(used, -1.0)) {
            return None;
        }
        let loss = s.capacity.gpus > 0.0 && gpu_slots_lost_at(world, spec, s, used) > 0;
        if loss && !lossy {
            return None;
        }
        let price = s.price / s.capacity.cpus.max(1.0);
        let share = order_of(used.share_of(s.capacity));
        Some(Rank {
            first: (
                job.avoided_machines.iter().any(|(m, until)| **m == *s.id && *until > now_ms),
                loss,
                if loss { order_of(price) } else { 0 },
                spec.gpus == 0.0 && s.capacity.gpus > 0.0,
                !s.spot,
            ),
            then: (
                match taken.contains_key(&i) || world.has_image(&s.id, &spec.image) {
                    true => 0,
                    false => fetch_class(spec, s.gb_per_s),
                },
                // Machines with GPUs are filled one by one, so that the others
                // stay whole for jobs that need the GPUs.
                if s.capacity.gpus > 0.0 { !share } else { share },
                order_of(price),
                i,
            ),
        })
    };
    // The best of each zone; how many tasks the zones have is compared last, as
    // that changes for all of a zone at once. Each comes with its run: those that are
    // alike have the same rank but for their place, and follow one by one.
    let mut zones: BTreeMap<&str, BinaryHeap<Reverse<Ranked>>> = BTreeMap::new();
    let none = HashMap::default();
    let each = std::mem::take(&mut candidates.each);
    let heads: Vec<(usize, Option<usize>)> = (0..candidates.alike.len())
        .filter_map(|run| Some((candidates.next(run)?, Some(run))))
        .chain(each.into_iter().map(|i| (i, None)))
        .collect();
    for (i, run) in heads {
        if let Some(rank) = rank(i, &none) {
            zones.entry(&*inventory.slots[i].zone).or_default().push(Reverse((rank, run)));
        }
    }
    let mut taken: HashMap<usize, Resources> = HashMap::default();
    let mut out = Vec::new();
    for &task in wanted {
        let best = zones
            .iter()
            .filter(|(z, _)| in_zone.get(**z).copied().unwrap_or(0) < limit)
            .filter_map(|(z, heap)| {
                let Reverse((top, _)) = heap.peek()?;
                let zone = if spec.spread { in_zone.get(*z).copied().unwrap_or(0) } else { 0 };
                Some(((top.first, zone, top.then), *z))
            })
            .min();
        let Some((_, zone)) = best else { break };
        let Some(heap) = zones.get_mut(zone) else { break };
        let Some(Reverse((top, run))) = heap.pop() else { break };
        let slot = top.then.3;
        if let Some(next) = run.and_then(|run| candidates.next(run)) {
            let mut rank = top;
            rank.then.3 = next;
            heap.push(Reverse((rank, run)));
        }
        let used = taken.get(&slot).copied().unwrap_or(inventory.slots[slot].used);
        taken.insert(slot, used.plus_scaled(size, 1.0));
        if let Some(rank) = rank(slot, &taken) {
            heap.push(Reverse((rank, None)));
        }
        *in_zone.entry(zone).or_default() += 1;
        out.push((task, slot));
    }
    out
}

/// A machine's rank, and its run.
type Ranked = (Rank, Option<usize>);

/// What makes one machine better than another: before and after zone spread.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    first: (bool, bool, u64, bool, bool),
    then: (u64, u64, u64, usize),
}

/// How late an image comes that is not at hand. Services start within seconds, so
/// that the fetch decides; the others only care whether there is one.
fn fetch_class(spec: &JobSpec, gb_per_s: f64) -> u64 {
    match spec.kind {
        JobKind::Service => 1 + (spec.image_gb / gb_per_s.max(1e-3) / FETCH_STEP_S).min(1e6) as u64,
        JobKind::Array | JobKind::Gang => 1,
    }
}

/// Fetches that differ by less than this count as alike.
const FETCH_STEP_S: f64 = 2.0;

/// Numbers of 0 or more as integers in the same order.
fn order_of(v: f64) -> u64 {
    v.max(0.0).to_bits()
}

/// Whether a job has used up so much of the time to its deadline that it should
/// not step back for others any more.
pub fn is_deadline_pressing(job: &JobRecord, now_ms: u64) -> bool {
    let due = job.spec.as_ref().and_then(|s| s.deadline_s);
    let accepted = if job.accepted_ms > 0 { job.accepted_ms } else { job.submitted_ms };
    due.is_some_and(|due| now_ms.saturating_sub(accepted) as f64 / 1000.0 > due * PRESSED)
}

const PRESSED: f64 = 0.35;

/// What decides among jobs of the same priority, the least first: not the turn
/// of those that have waited longest; beyond its team's guarantee; how many of
/// the times that it should start within have passed.
pub type QueueRank = (bool, bool, u8);

/// From when on room is collected for a gang.
const LONG_S: f64 = 110.0;
/// What may be collected at a time, as a share of what runs of gangs.
const COLLECT_SHARE: f64 = 0.15;

fn waited_s(job: &JobRecord, now_ms: u64) -> f64 {
    now_ms.saturating_sub(job.submitted_ms) as f64 / 1000.0
}

/// The gangs that have waited longest, for which room is collected until they
/// start: a large one never would where smaller work takes every place that
/// comes free. Only a few at a time, at least one: were it all that wait, nobody
/// would start in time any more where more is asked than can be done.
pub fn longest_waiting(world: &Replica, now_ms: u64) -> Vec<&str> {
    let mut running = 0;
    let mut waiting: Vec<(u64, &str, u32)> = Vec::new();
    for (id, job) in world.open_jobs() {
        let Some(spec) = job.spec.as_deref().filter(|s| s.kind == JobKind::Gang) else { continue };
        running += job.assignments.len();
        if job.assignments.is_empty() && job.phase == Phase::Active && waited_s(job, now_ms) >= LONG_S {
            waiting.push((job.submitted_ms, id, spec.tasks));
        }
    }
    waiting.sort_unstable();
    let mut left = running as f64 * COLLECT_SHARE;
    let served = waiting.iter().enumerate().take_while(|(i, (.., tasks))| {
        left -= f64::from(*tasks);
        *i == 0 || left >= 0.0
    });
    served.map(|(_, (_, id, _))| *id).collect()
}

/// A job's turn. Where more is asked than can be done, serving strictly by age
/// makes everybody late: a gang that has missed one of its times lets those pass
/// that can still keep theirs, until it is among the `longest` waiting.
pub fn queue_rank(
    job: &JobRecord,
    guaranteed: bool,
    longest: bool,
    times: Option<(f64, f64)>,
    now_ms: u64,
) -> QueueRank {
    let waited = waited_s(job, now_ms);
    let gang = job.spec.as_ref().is_some_and(|s| s.kind == JobKind::Gang);
    let missed = match times {
        Some((least, most)) if gang => u8::from(waited >= least) + u8::from(waited >= most),
        _ => 0,
    };
    (!longest, !guaranteed, missed)
}

/// The order in which jobs are served: priority, then their turn, then steps of
/// pipelines by the time that is left to them, then age.
pub fn queue_order(a: (&JobRecord, QueueRank), b: (&JobRecord, QueueRank)) -> std::cmp::Ordering {
    let slack = |j: &JobRecord| if j.in_pipeline() { j.latest_start_ms() } else { None }.unwrap_or(u64::MAX);
    (b.0.priority().cmp(&a.0.priority()))
        .then(a.1.cmp(&b.1))
        .then_with(|| slack(a.0).cmp(&slack(b.0)))
        .then(a.0.submitted_ms.cmp(&b.0.submitted_ms))
}

/// Whether every one of the job's tasks fits into the room that is free on so many machines
/// like each.
pub fn fits_entire_job<'a>(spec: &JobSpec, rooms: impl Iterator<Item = (&'a Slot, u32)>) -> bool {
    let size = Resources::of_task(spec);
    let mut by_zone: HashMap<&str, u32> = HashMap::default();
    for (s, machines) in rooms.filter(|(s, _)| is_allowed(spec, &s.machine_type, &s.zone, s.spot)) {
        let n = by_zone.entry(&*s.zone).or_default();
        *n = n.saturating_add(size.count_fitting_in(s.free()).saturating_mul(machines));
    }
    let most = zone_limit(spec);
    if spec.one_zone {
        by_zone.values().any(|n| *n >= spec.tasks)
    } else {
        by_zone.values().map(|n| u64::from((*n).min(most))).sum::<u64>() >= u64::from(spec.tasks)
    }
}

#[cfg(test)]
#[path = "../tests/unit/alike.rs"]
pub(crate) mod alike;

#[cfg(test)]
#[path = "../tests/unit/placement.rs"]
pub(crate) mod tests;

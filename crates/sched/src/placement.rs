//! Which machine a task goes to.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};

use wire::{JobKind, JobSpec};

use crate::board::Candidates;
pub use crate::board::{Board, Slot};
use crate::records::{Assignment, JobRecord, Name, Phase, Want};
use crate::world::{Amount, Team, World};

/// Whether the job may use this kind of machine at all.
pub fn allowed(spec: &JobSpec, machine_type: &str, zone: &str, spot: bool) -> bool {
    spec.types.as_ref().is_none_or(|t| t.iter().any(|t| t == machine_type))
        && spec.zone.as_ref().is_none_or(|z| z == zone)
        && (spec.spot || !spot)
}

/// Most tasks of the job that one zone may hold.
pub fn zone_limit(spec: &JobSpec) -> u32 {
    if spec.spread { spec.tasks.div_ceil(2) } else { u32::MAX }
}

/// The tasks that wait for a place, lowest numbers first.
pub fn pending(job: &JobRecord) -> impl Iterator<Item = u32> + '_ {
    let count = match (&job.spec, job.phase) {
        (Some(spec), Phase::Active) => spec.tasks,
        _ => 0,
    };
    let running = |t: u32| job.run.binary_search_by_key(&t, |a| a.task).is_ok();
    (job.done.first_missing()..count).filter(move |t| !job.done.contains(*t) && !running(*t))
}

pub fn pending_count(job: &JobRecord) -> u32 {
    match (&job.spec, job.phase) {
        (Some(spec), Phase::Active) => {
            // A task that is done has no place any more.
            spec.tasks.saturating_sub(job.done.len() + job.run.len() as u32)
        }
        _ => 0,
    }
}

/// When a job whose starts keep failing may try again: a job that was submitted
/// with a mistake fails everywhere and must not keep machines busy.
pub fn retry_at_ms(job: &JobRecord) -> u64 {
    let pause = match job.errors {
        0..=2 => 0,
        n => 1000u64 << (n - 3).min(5),
    };
    job.error_ms + pause
}

/// What bounds one call of [`place`].
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Most tasks to place.
    pub most: usize,
    /// How far beyond the first unfinished task others may start: what is done
    /// has to fit into the record as a bitmap.
    pub window: u32,
    /// Whether tasks without GPUs may take room that GPU jobs could use.
    pub lossy: bool,
    /// How long a gang's tasks wait for each other; 0: without end.
    pub gang_wait_s: f64,
    pub now_ms: u64,
}

/// Places as many of the job's pending tasks as there is room for, all or none
/// for a gang, at most `most`. The job and the board are changed to match. `within` must
/// not tell machines apart of the same owner, type, zone and purchase with the same in use.
pub fn place(
    world: &World,
    board: &mut Board,
    job: &mut JobRecord,
    team: &Team,
    within: impl Fn(&Slot) -> bool,
    limits: Limits,
) -> Vec<Assignment> {
    place_on(world, board, job, team, (within, None), limits)
}

/// The same on machines of these names only.
pub fn place_at(
    world: &World,
    board: &mut Board,
    job: &mut JobRecord,
    team: &Team,
    machines: &[Name],
    limits: Limits,
) -> Vec<Assignment> {
    place_on(world, board, job, team, (|_: &Slot| true, Some(machines)), limits)
}

fn place_on(
    world: &World,
    board: &mut Board,
    job: &mut JobRecord,
    team: &Team,
    (within, only): (impl Fn(&Slot) -> bool, Option<&[Name]>),
    limits: Limits,
) -> Vec<Assignment> {
    let Limits { most, window, now_ms, .. } = limits;
    let Some(spec) = job.spec.clone() else { return Vec::new() };
    if job.phase != Phase::Active || retry_at_ms(job) > now_ms {
        return Vec::new();
    }
    let gang = spec.kind == JobKind::Gang;
    // A gang that waits for its tasks may get another machine for one it lost,
    // within the same attempt; one that breaks up starts anew once all is over.
    if gang && job.run.iter().any(|a| a.attempt != job.attempt || a.want != Want::Run) {
        return Vec::new();
    }
    let most = if gang { usize::MAX } else { most };
    let size = Amount::of_task(&spec);
    let in_use = board.team_use.get(&spec.team).copied().unwrap_or_default();
    let quota = size.times_in(team.limit().plus(Amount { memory_gb: 0.0, ..in_use }, -1.0)) as usize;
    let horizon = job.done.first_missing().saturating_add(window);
    let wanted: Vec<u32> = pending(job).take_while(|t| *t < horizon).take(most.min(quota)).collect();
    if wanted.is_empty() || (gang && (wanted.len() as u32) < pending_count(job)) {
        return Vec::new();
    }
    let may = |s: &Slot| size.fits(s.free()) && allowed(&spec, &s.machine_type, &s.zone, s.spot) && within(s);
    let apart = gang && spec.tasks > 1 && limits.gang_wait_s > 0.0 && job.run.is_empty();
    // Only these are chosen by more than a machine's own rank.
    let list: Option<Vec<usize>> = (spec.one_zone || apart || only.is_some()).then(|| {
        let may = |i: &usize| may(&board.slots[*i]) && !job.left.contains(&board.slots[*i].id);
        match only {
            Some(machines) => {
                let all: BTreeSet<usize> = machines.iter().filter_map(|m| board.find(m)).collect();
                all.into_iter().filter(may).collect()
            }
            None => (0..board.slots.len()).filter(may).collect(),
        }
    });
    let attempt = match gang {
        true if job.run.is_empty() => job.attempt + 1,
        true => job.attempt,
        false => job.attempt.max(1),
    };
    let choose = |candidates| choose(world, board, job, &spec, candidates, &wanted, limits);
    let whole = |list: &[usize]| {
        if !spec.one_zone {
            return choose(Candidates::list(list));
        }
        // All tasks of a one-zone job share the zone of those that are still out.
        let zones: BTreeSet<Name> = match zone_of(world, job) {
            Some(z) => [z].into(),
            None => list.iter().map(|&i| board.slots[i].zone.clone()).collect(),
        };
        let tries = zones.iter().map(|z| {
            let here: Vec<usize> = list.iter().copied().filter(|&i| board.slots[i].zone == *z).collect();
            choose(Candidates::list(&here))
        });
        tries.max_by_key(Vec::len).unwrap_or_default()
    };
    let chosen = match &list {
        None => choose(board.candidates(world, job, &spec, may)),
        Some(list) if apart => {
            let sets = ready_together(world, board, &spec, list, limits.gang_wait_s);
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
            board.take(i, size, 1.0);
            Assignment { task, attempt, machine: board.slots[i].id.clone(), want: Want::Run }
        })
        .collect();
    let used = board.team_use.entry(spec.team.clone()).or_default();
    *used = used.plus(size, placed.len() as f64);
    job.attempt = attempt;
    job.run.extend(placed.iter().cloned());
    job.run.sort_unstable_by_key(|a| a.task);
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
    world: &World,
    board: &Board,
    spec: &JobSpec,
    candidates: &[usize],
    gang_wait_s: f64,
) -> Vec<Vec<usize>> {
    let times: Vec<(usize, f64, f64)> = candidates
        .iter()
        .map(|&i| {
            let s = &board.slots[i];
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
    let size = Amount::of_task(spec);
    let one = candidates.iter().find(|&&i| size.times_in(board.slots[i].free()) >= spec.tasks);
    sets.extend(one.map(|i| vec![*i]));
    sets
}

/// Whether new machines of a type are too slow with a gang's image for its tasks
/// to be ready within the time that they wait for each other.
pub fn too_slow(spec: &JobSpec, t: &wire::MachineType, gang_wait_s: f64) -> bool {
    let (early, late) = fetch_s(spec, t.fetch_gb_per_s);
    spec.kind == JobKind::Gang
        && spec.tasks > 1
        && gang_wait_s > 0.0
        && late - early > gang_wait_s
        && Amount::of_task(spec).times_in(Amount::of_type(t)) < spec.tasks
}

/// Whether a job could take room that a gang needs.
pub fn competes(spec: &JobSpec, gang: &JobSpec) -> bool {
    let types = |a: &JobSpec, b: &JobSpec| match (&a.types, &b.types) {
        (Some(a), Some(b)) => a.iter().any(|t| b.contains(t)),
        _ => true,
    };
    types(spec, gang) && (gang.gpus == 0.0 || spec.gpus > 0.0)
}

/// The free places that a gang could use once there are enough: of one zone, the
/// one with most of them, if all its tasks have to be in one.
pub fn collect(board: &Board, spec: &JobSpec, within: impl Fn(&Slot) -> bool) -> Vec<Name> {
    let size = Amount::of_task(spec);
    let mut places: BTreeMap<&str, Vec<&Name>> = BTreeMap::new();
    let usable =
        |s: &&Slot| size.fits(s.free()) && allowed(spec, &s.machine_type, &s.zone, s.spot) && within(s);
    for s in board.slots.iter().filter(usable) {
        let zone = if spec.one_zone { &*s.zone } else { "" };
        let n = size.times_in(s.free()).min(spec.tasks) as usize;
        places.entry(zone).or_default().extend(std::iter::repeat_n(&s.id, n));
    }
    let most = places.into_values().max_by_key(Vec::len).unwrap_or_default();
    most.into_iter().take(spec.tasks as usize).cloned().collect()
}

/// The machines that would take so many tasks of a job that is yet to come.
pub fn room_for(world: &World, board: &Board, spec: &JobSpec, tasks: u32, now_ms: u64) -> Vec<Name> {
    let job = JobRecord::new(spec.clone(), None, 0);
    let may = |s: &Slot| allowed(spec, &s.machine_type, &s.zone, s.spot);
    let candidates = board.candidates(world, &job, spec, may);
    let wanted: Vec<u32> = (0..tasks).collect();
    let limits = Limits { most: wanted.len(), window: tasks, lossy: true, gang_wait_s: 0.0, now_ms };
    let chosen = choose(world, board, &job, spec, candidates, &wanted, limits);
    chosen.into_iter().map(|(_, i)| board.slots[i].id.clone()).collect()
}

/// How many tasks of the usual GPU job a machine loses room for by one task
/// that needs no GPU.
pub fn gpu_loss(world: &World, spec: &JobSpec, slot: &Slot) -> u32 {
    gpu_loss_at(world, spec, slot, slot.used)
}

/// The same if so much of the machine were in use.
pub fn gpu_loss_at(world: &World, spec: &JobSpec, slot: &Slot, used: Amount) -> u32 {
    if spec.gpus > 0.0 || slot.whole.gpus <= 0.0 {
        return 0;
    }
    let need = match world.gpu_spec.as_deref() {
        Some(gpu) if !allowed(gpu, &slot.machine_type, &slot.zone, slot.spot) => return 0,
        Some(gpu) => Amount::of_task(gpu),
        // None has been seen yet: suppose that one takes its share of the CPUs.
        None if slot.spot => return 0,
        None => Amount { cpus: slot.whole.cpus / slot.whole.gpus, gpus: 1.0, memory_gb: 0.0 },
    };
    let free = slot.whole.plus(used, -1.0);
    need.times_in(free).saturating_sub(need.times_in(free.plus(Amount::of_task(spec), -1.0)))
}

fn zone_of(world: &World, job: &JobRecord) -> Option<Name> {
    job.run.iter().find_map(|a| world.machines.get(&a.machine)).map(|m| m.value.zone.clone())
}

/// Chooses a machine for each task in turn, without changing the board.
fn choose(
    world: &World,
    board: &Board,
    job: &JobRecord,
    spec: &JobSpec,
    mut candidates: Candidates,
    wanted: &[u32],
    limits: Limits,
) -> Vec<(u32, usize)> {
    let Limits { lossy, now_ms, .. } = limits;
    let size = Amount::of_task(spec);
    let limit = zone_limit(spec);
    let mut in_zone: HashMap<&str, u32> = HashMap::new();
    for a in &job.run {
        match world.machines.get(&a.machine) {
            Some(m) => *in_zone.entry(&*m.value.zone).or_default() += 1,
            // A machine without a record may still be in any zone.
            None if spec.spread || spec.one_zone => return Vec::new(),
            None => {}
        }
    }
    let rank = |i: usize, taken: &HashMap<usize, Amount>| -> Option<Rank> {
        let s = &board.slots[i];
        let used = taken.get(&i).copied().unwrap_or(s.used);
        if !size.fits(s.whole.plus(used, -1.0)) {
            return None;
        }
        let loss = s.whole.gpus > 0.0 && gpu_loss_at(world, spec, s, used) > 0;
        if loss && !lossy {
            return None;
        }
        let price = s.price / s.whole.cpus.max(1.0);
        let share = order_of(used.share_of(s.whole));
        Some(Rank {
            first: (
                job.avoid.iter().any(|(m, until)| **m == *s.id && *until > now_ms),
                loss,
                if loss { order_of(price) } else { 0 },
                spec.gpus == 0.0 && s.whole.gpus > 0.0,
                !s.spot,
            ),
            then: (
                match taken.contains_key(&i) || world.has_image(&s.id, &spec.image) {
                    true => 0,
                    false => fetch_class(spec, s.gb_per_s),
                },
                // Machines with GPUs are filled one by one, so that the others
                // stay whole for jobs that need the GPUs.
                if s.whole.gpus > 0.0 { !share } else { share },
                order_of(price),
                i,
            ),
        })
    };
    // The best of each zone; how many tasks the zones have is compared last, as
    // that changes for all of a zone at once. Each comes with its run: those that are
    // alike have the same rank but for their place, and follow one by one.
    let mut zones: BTreeMap<&str, BinaryHeap<Reverse<Ranked>>> = BTreeMap::new();
    let none = HashMap::new();
    let each = std::mem::take(&mut candidates.each);
    let heads: Vec<(usize, Option<usize>)> = (0..candidates.alike.len())
        .filter_map(|run| Some((candidates.next(run)?, Some(run))))
        .chain(each.into_iter().map(|i| (i, None)))
        .collect();
    for (i, run) in heads {
        if let Some(rank) = rank(i, &none) {
            zones.entry(&*board.slots[i].zone).or_default().push(Reverse((rank, run)));
        }
    }
    let mut taken: HashMap<usize, Amount> = HashMap::new();
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
        let used = taken.get(&slot).copied().unwrap_or(board.slots[slot].used);
        taken.insert(slot, used.plus(size, 1.0));
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
pub fn pressed(job: &JobRecord, now_ms: u64) -> bool {
    let due = job.spec.as_ref().and_then(|s| s.deadline_s);
    let accepted = if job.accepted_ms > 0 { job.accepted_ms } else { job.submitted_ms };
    due.is_some_and(|due| now_ms.saturating_sub(accepted) as f64 / 1000.0 > due * PRESSED)
}

const PRESSED: f64 = 0.35;

/// What decides among jobs of the same priority, the least first: not the turn
/// of those that have waited longest; beyond its team's guarantee; how many of
/// the times that it should start within have passed.
pub type Turn = (bool, bool, u8);

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
pub fn longest_waiting(world: &World, now_ms: u64) -> Vec<&str> {
    let mut running = 0;
    let mut waiting: Vec<(u64, &str, u32)> = Vec::new();
    for (id, job) in world.open.iter().filter_map(|id| world.jobs.get_key_value(id)) {
        let job = &job.value;
        let Some(spec) = job.spec.as_deref().filter(|s| s.kind == JobKind::Gang) else { continue };
        running += job.run.len();
        if job.run.is_empty() && job.phase == Phase::Active && waited_s(job, now_ms) >= LONG_S {
            waiting.push((job.submitted_ms, id, spec.tasks));
        }
    }
    waiting.sort_unstable();
    let mut left = running as f64 * COLLECT_SHARE;
    let few = waiting.iter().enumerate().take_while(|(i, (.., tasks))| {
        left -= f64::from(*tasks);
        *i == 0 || left >= 0.0
    });
    few.map(|(_, (_, id, _))| *id).collect()
}

/// A job's turn. Where more is asked than can be done, serving strictly by age
/// makes everybody late: a gang that has missed one of its times lets those pass
/// that can still keep theirs, until it is among the `longest` waiting.
pub fn turn(
    job: &JobRecord,
    guaranteed: bool,
    longest: bool,
    times: Option<(f64, f64)>,
    now_ms: u64,
) -> Turn {
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
pub fn queue_order(a: (&JobRecord, Turn), b: (&JobRecord, Turn)) -> std::cmp::Ordering {
    let slack = |j: &JobRecord| if j.in_pipeline() { j.start_by_ms() } else { None }.unwrap_or(u64::MAX);
    (b.0.priority().cmp(&a.0.priority()))
        .then(a.1.cmp(&b.1))
        .then_with(|| slack(a.0).cmp(&slack(b.0)))
        .then(a.0.submitted_ms.cmp(&b.0.submitted_ms))
}

/// Whether every one of the job's tasks fits into the room that is free.
pub fn fits_whole<'a>(spec: &JobSpec, rooms: impl Iterator<Item = &'a Slot>) -> bool {
    let size = Amount::of_task(spec);
    let mut by_zone: HashMap<&str, u32> = HashMap::new();
    for s in rooms.filter(|s| allowed(spec, &s.machine_type, &s.zone, s.spot)) {
        let n = by_zone.entry(&*s.zone).or_default();
        *n = n.saturating_add(size.times_in(s.free()));
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
mod alike;

#[cfg(test)]
pub(crate) mod tests {
    use super::*;
    use crate::records::*;
    use crate::world::Change;
    use wire::{MachineType, Priority};

    pub fn spec(id: &str, kind: JobKind, tasks: u32) -> JobSpec {
        JobSpec {
            id: id.into(),
            class: "c".into(),
            team: "t".into(),
            kind,
            priority: Priority::Normal,
            tasks,
            cpus: 2.0,
            gpus: 0.0,
            memory_gb: 1.0,
            image: "i".into(),
            image_gb: 1.0,
            types: None,
            zone: None,
            one_zone: false,
            spread: false,
            spot: false,
            estimate_s: 1.0,
            checkpoint_s: 0.0,
            save_s: 0.0,
            deadline_s: None,
            needs: None,
        }
    }

    pub fn team() -> Team {
        Team { name: "t".into(), cpus: 4.0, cpus_max: 100.0, gpus: 0.0, gpus_max: 100.0 }
    }

    /// Machines as (name, type, zone, spot). "m" has 8 CPUs, "g" 16 and 2 GPUs.
    pub fn world(machines: &[(&str, &str, &str, bool)]) -> World {
        let mut w = World::default();
        let kind = |name: &str, cpus, gpus| MachineType {
            name: name.into(),
            cpus,
            gpus,
            memory_gb: 64.0,
            cache_gb: 10.0,
            fetch_gb_per_s: 1.0,
            price: cpus + 20.0 * gpus,
            spot_price: cpus / 4.0 + 5.0 * gpus,
            boot_s: 30.0,
            zones: vec!["a".into(), "b".into()],
        };
        w.apply(
            Change::Types(Some(TypesRecord { types: vec![kind("m", 8.0, 0.0), kind("g", 16.0, 2.0)] })),
            1,
        );
        for (id, machine_type, zone, spot) in machines {
            let record = MachineRecord {
                addr: "x".into(),
                machine_type: (*machine_type).into(),
                zone: (*zone).into(),
                spot: *spot,
                release: false,
            };
            w.apply(Change::Machine((*id).into(), Some(record)), 1);
        }
        let me = Member { name: "n".into(), zone: "a".into(), incarnation: 1 };
        w.apply(Change::Map(Some(MapRecord { epoch: 1, live: vec![me] })), 1);
        w
    }

    pub fn add(w: &mut World, spec: JobSpec, run: &[(u32, &str)]) {
        let mut job = JobRecord::new(spec.clone(), None, 0);
        job.attempt = 1;
        job.run = run
            .iter()
            .map(|(task, m)| Assignment { task: *task, attempt: 1, machine: (*m).into(), want: Want::Run })
            .collect();
        w.apply(Change::Job(spec.id, Some(Box::new(job))), 2);
    }

    pub fn board(w: &World) -> Board {
        Board::new(w, |_| true)
    }

    fn placed(w: &World, id: &str, team: &Team) -> Vec<(u32, String)> {
        let mut job = w.jobs[id].value.as_ref().clone();
        let limits = Limits { most: 100, window: 1000, lossy: false, gang_wait_s: 0.0, now_ms: 1000 };
        let list = place(w, &mut board(w), &mut job, team, |_| true, limits);
        list.into_iter().map(|a| (a.task, a.machine.to_string())).collect()
    }

    #[test]
    fn spread_counts_tasks_of_old_attempts_too() {
        let mut w = world(&[("a1", "m", "a", false), ("a2", "m", "a", false), ("b1", "m", "b", false)]);
        let mut s = spec("j-1", JobKind::Service, 3);
        s.spread = true;
        add(&mut w, s.clone(), &[]);
        let zones = placed(&w, "j-1", &team()).iter().filter(|(_, m)| m.starts_with('a')).count();
        assert_eq!(zones, 2);
        add(&mut w, s, &[(1, "a1"), (2, "a2")]);
        assert_eq!(placed(&w, "j-1", &team()), [(0, "b1".to_owned())]);
    }

    #[test]
    fn a_gang_is_placed_whole_in_one_zone_or_not_at_all() {
        let mut w = world(&[("a1", "m", "a", false), ("b1", "m", "b", false)]);
        let mut s = spec("j-1", JobKind::Gang, 2);
        (s.one_zone, s.cpus) = (true, 6.0);
        add(&mut w, s.clone(), &[]);
        assert!(placed(&w, "j-1", &team()).is_empty());
        s.cpus = 4.0;
        add(&mut w, s.clone(), &[]);
        assert_eq!(placed(&w, "j-1", &team()).len(), 2);
        add(&mut w, s, &[(0, "a1")]);
        let mut old = w.jobs["j-1"].value.as_ref().clone();
        old.run[0].want = Want::Stop;
        w.apply(Change::Job("j-1".into(), Some(Box::new(old))), 3);
        assert!(placed(&w, "j-1", &team()).is_empty(), "an old attempt is still out");
    }

    #[test]
    fn a_teams_limit_bounds_what_is_placed() {
        let mut w = world(&[("a1", "m", "a", false)]);
        add(&mut w, spec("j-1", JobKind::Array, 9), &[]);
        add(&mut w, spec("j-2", JobKind::Array, 1), &[(0, "a1")]);
        assert_eq!(placed(&w, "j-1", &Team { cpus_max: 5.0, ..team() }).len(), 1);
    }

    #[test]
    fn avoided_machines_come_last_and_kinds_not_allowed_never() {
        let mut w = world(&[("a1", "m", "a", false), ("a2", "m", "a", false), ("a3", "m", "a", true)]);
        add(&mut w, spec("j-2", JobKind::Array, 3), &[(0, "a2"), (1, "a2"), (2, "a2")]);
        let mut job = JobRecord::new(spec("j-1", JobKind::Array, 6), None, 0);
        job.avoid = vec![("a1".into(), 5000)];
        w.apply(Change::Job("j-1".into(), Some(Box::new(job))), 3);
        let got: Vec<String> = placed(&w, "j-1", &team()).into_iter().map(|p| p.1).collect();
        assert_eq!(got, ["a2", "a1", "a1", "a1", "a1"]);
    }

    #[test]
    fn gpu_machines_are_kept_whole() {
        let mut w = world(&[("a1", "g", "a", false)]);
        let mut gpu = spec("j-9", JobKind::Gang, 1);
        (gpu.cpus, gpu.gpus) = (14.0, 2.0);
        add(&mut w, gpu, &[]);
        add(&mut w, spec("j-1", JobKind::Array, 8), &[]);
        assert_eq!(placed(&w, "j-1", &team()).len(), 1, "only what a GPU job leaves over");
    }

    #[test]
    fn a_job_that_fails_everywhere_pauses_ever_longer() {
        let mut job = JobRecord::new(spec("j-1", JobKind::Array, 1), None, 0);
        (job.errors, job.error_ms) = (2, 100);
        assert_eq!(retry_at_ms(&job), 100);
        job.errors = 4;
        assert_eq!(retry_at_ms(&job), 2100);
        job.errors = 400;
        assert_eq!(retry_at_ms(&job), 32_100);
    }

    /// A stream of small gangs must not keep a large one waiting for ever.
    #[test]
    fn a_large_gang_starts_against_an_endless_stream_of_small_work() {
        let mut w = world(&[("a1", "m", "a", false), ("a2", "m", "a", false), ("b1", "m", "b", false)]);
        let mut large = spec("j-1", JobKind::Gang, 2);
        (large.one_zone, large.cpus) = (true, 8.0);
        add(&mut w, large.clone(), &[]);
        let mut small = spec("j-2", JobKind::Gang, 1);
        small.cpus = 8.0;
        add(&mut w, small.clone(), &[(0, "a1")]);
        let mut version = 10;
        let mut started = 0;
        for n in 3..9 {
            // The oldest small job ends, and another is there before.
            let ends = |id: &&String| *id != "j-1" && !w.jobs[*id].value.run.is_empty();
            let first = w.open.iter().find(ends).cloned();
            if let Some(id) = first {
                w.apply(Change::Job(id, None), version);
            }
            small.id = format!("j-{n}");
            add(&mut w, small.clone(), &[]);
            version += 1;
            let mut b = board(&w);
            for id in w.open.clone() {
                let mut job = w.jobs[&id].value.as_ref().clone();
                let spec = job.spec.clone().expect("open");
                let limits = Limits { most: 9, window: 9, lossy: false, gang_wait_s: 0.0, now_ms: 1000 };
                let placed = place(&w, &mut b, &mut job, &team(), |_| true, limits);
                if placed.is_empty() && job.run.is_empty() {
                    let room = collect(&b, &spec, |_| true);
                    b.reserve(&room, Amount::of_task(&spec), 1.0);
                } else {
                    started += u32::from(id == "j-1" && !placed.is_empty());
                    w.apply(Change::Job(id, Some(Box::new(job))), version);
                }
            }
        }
        assert_eq!(started, 1);
        assert!(w.jobs["j-1"].value.run.iter().all(|a| a.machine.starts_with('a')));
    }

    #[test]
    fn a_lost_task_of_a_waiting_gang_is_replaced_in_its_attempt_and_zone() {
        let mut w = world(&[("a1", "m", "a", false), ("a2", "m", "a", false), ("b1", "m", "b", false)]);
        let mut s = spec("j-1", JobKind::Gang, 2);
        (s.one_zone, s.cpus) = (true, 8.0);
        add(&mut w, s, &[(0, "a1"), (1, "gone")]);
        let mut job = w.jobs["j-1"].value.as_ref().clone();
        job.end(1, 1, End::Lost, 0, 0);
        let limits = Limits { most: 9, window: 9, lossy: false, gang_wait_s: 0.0, now_ms: 1000 };
        let mut whole = job.clone();
        let placed = place(&w, &mut board(&w), &mut whole, &team(), |_| true, limits);
        assert_eq!(placed.len(), 1);
        assert_eq!((placed[0].task, placed[0].attempt, &*placed[0].machine), (1, 1, "a2"));
        // Once its tasks say that it broke up, it starts anew, when all is over.
        job.end(0, 1, End::Stopped, 0, 0);
        let placed = place(&w, &mut board(&w), &mut job, &team(), |_| true, limits);
        assert!(placed.is_empty() && job.run.is_empty(), "one zone holds only one of two now");
        let mut w2 = world(&[("a1", "m", "a", false), ("a2", "m", "a", false)]);
        w2.apply(Change::Job("j-1".into(), Some(Box::new(job.clone()))), 9);
        let placed = place(&w2, &mut board(&w2), &mut job, &team(), |_| true, limits);
        assert_eq!(placed.iter().map(|a| a.attempt).collect::<Vec<_>>(), [2, 2]);
    }

    #[test]
    fn gangs_that_missed_their_time_let_others_pass_until_they_waited_longest() {
        let job = JobRecord::new(spec("j-1", JobKind::Gang, 2), None, 0);
        let mut fresh = job.clone();
        fresh.submitted_ms = 75_000;
        let times = Some((60.0, 150.0));
        let first = |longest, now_ms| {
            let of = |j, l| turn(j, true, l, times, now_ms);
            queue_order((&job, of(&job, longest)), (&fresh, of(&fresh, false))).is_lt()
        };
        assert!(first(false, 59_000), "both may still be in time: by age");
        assert!(!first(false, 80_000), "only one can be in time");
        assert!(first(true, 80_000));
    }

    #[test]
    fn only_the_oldest_few_gangs_are_collected_for() {
        let mut w = world(&[("a1", "m", "a", false)]);
        let run: Vec<(u32, &str)> = (0..40).map(|t| (t, "a1")).collect();
        add(&mut w, spec("j-0", JobKind::Gang, 40), &run);
        for n in 1..6 {
            add(&mut w, spec(&format!("j-{n}"), JobKind::Gang, 3), &[]);
        }
        assert!(longest_waiting(&w, 10_000).is_empty());
        assert_eq!(longest_waiting(&w, 115_000), ["j-1", "j-2"], "15% of 40 tasks");
        w.apply(Change::Job("j-0".into(), None), 9);
        assert_eq!(longest_waiting(&w, 115_000), ["j-1"], "one at least");
    }

    #[test]
    fn a_gangs_machines_have_their_images_at_about_the_same_time() {
        let mut w = world(&[("a1", "m", "a", false), ("a2", "m", "a", false), ("a3", "m", "a", false)]);
        let mut s = spec("j-2", JobKind::Gang, 2);
        (s.cpus, s.image_gb) = (8.0, 40.0);
        let mut before = spec("j-1", JobKind::Array, 1);
        before.image_gb = 40.0;
        add(&mut w, before.clone(), &[(0, "a1")]);
        w.apply(Change::Job("j-1".into(), None), 3);
        add(&mut w, s.clone(), &[]);
        let on = |w: &World, now_ms| -> Vec<String> {
            let mut job = w.jobs["j-2"].value.as_ref().clone();
            let limits = Limits { most: 9, window: 9, lossy: false, gang_wait_s: 30.0, now_ms };
            let placed = place(w, &mut board(w), &mut job, &team(), |_| true, limits);
            placed.into_iter().map(|a| a.machine.to_string()).collect()
        };
        assert_eq!(on(&w, 1000), ["a2", "a3"], "a1 has the image, the others take 40 s");
        w.apply(Change::Machine("a3".into(), None), 4);
        assert!(on(&w, 1000).is_empty());
        assert_eq!(on(&w, 200_000).len(), 2, "better than to wait for ever");
        let t = w.types["m"].clone();
        assert!(!too_slow(&s, &t, 30.0));
        s.image_gb = 80.0;
        assert!(too_slow(&s, &t, 30.0));
        s.cpus = 4.0;
        assert!(!too_slow(&s, &t, 30.0), "one machine holds it all");
    }

    /// One task of a gang has the image, the other fetches it for longer than the
    /// first waits: the fetch goes on, and the first gets another machine.
    #[test]
    fn a_fetch_goes_on_when_another_task_gives_up_waiting() {
        let mut w = world(&[("a1", "m", "a", false), ("a2", "m", "a", false), ("a3", "m", "a", false)]);
        let mut s = spec("j-1", JobKind::Gang, 2);
        (s.one_zone, s.cpus) = (true, 8.0);
        add(&mut w, s, &[(0, "a1"), (1, "a2")]);
        let mut job = w.jobs["j-1"].value.as_ref().clone();
        job.attempt = 1;
        job.end(0, 1, End::Alone, 0, 0);
        assert_eq!(job.run.iter().map(|a| a.want).collect::<Vec<_>>(), [Want::Run], "it goes on fetching");
        w.apply(Change::Job("j-1".into(), Some(Box::new(job.clone()))), 3);
        let limits = Limits { most: 9, window: 9, lossy: false, gang_wait_s: 30.0, now_ms: 1000 };
        let placed = place(&w, &mut board(&w), &mut job, &team(), |_| true, limits);
        assert_eq!(placed.len(), 1);
        assert_eq!((placed[0].task, placed[0].attempt, &*placed[0].machine), (0, 1, "a3"));
        // Nor may any machine see the same attempt twice.
        let mut alone = w.jobs["j-1"].value.as_ref().clone();
        w.apply(Change::Machine("a3".into(), None), 4);
        assert!(place(&w, &mut board(&w), &mut alone, &team(), |_| true, limits).is_empty());
        // At last all have given up: the next attempt may be anywhere.
        alone.end(1, 1, End::Alone, 0, 0);
        assert!(alone.run.is_empty() && alone.left.is_empty());
        w.apply(Change::Job("j-1".into(), Some(Box::new(alone.clone()))), 5);
        let placed = place(&w, &mut board(&w), &mut alone, &team(), |_| true, limits);
        assert_eq!(placed.iter().map(|a| a.attempt).collect::<Vec<_>>(), [2, 2]);
        for _ in 0..LEFT_MAX {
            job.left.push("x".into());
        }
        job.end(1, 1, End::Alone, 0, 0);
        assert!(job.run.iter().all(|a| a.want == Want::Stop), "not without end");
    }

    #[test]
    fn services_go_where_their_image_comes_soonest() {
        let mut w = world(&[("a1", "m", "a", false), ("a2", "f", "a", false), ("a3", "m", "a", false)]);
        let slow = w.types["m"].clone();
        w.types.insert(
            "f".into(),
            MachineType { name: "f".into(), fetch_gb_per_s: slow.fetch_gb_per_s * 8.0, ..slow },
        );
        let mut s = spec("j-1", JobKind::Service, 2);
        s.image_gb = 20.0;
        add(&mut w, s, &[]);
        let machines: Vec<String> = placed(&w, "j-1", &team()).into_iter().map(|p| p.1).collect();
        assert_eq!(machines, ["a2", "a2"]);
    }

    #[test]
    fn a_gang_ends_together() {
        let mut job = JobRecord::new(spec("j-1", JobKind::Gang, 2), None, 0);
        let run = |task| Assignment { task, attempt: 1, machine: "m".into(), want: Want::Run };
        job.run = vec![run(0), run(1)];
        (job.attempt, job.phase) = (1, Phase::Active);
        let mut broken = job.clone();
        broken.end(0, 1, End::Stopped, 0, 0);
        assert_eq!((broken.phase, broken.run[0].want), (Phase::Active, Want::Stop));
        job.end(0, 1, End::Done, 0, 0);
        assert_eq!(job.phase, Phase::Done);
        assert!(job.spec.is_some(), "the other task still takes its share");
        job.end(1, 1, End::Lost, 0, 0);
        assert!(job.spec.is_none() && job.done.len() == 2);
    }
}

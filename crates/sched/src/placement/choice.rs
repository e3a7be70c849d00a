//! Chooses a machine for each task by ranking the candidates.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use wire::JobSpec;

use super::eligibility::{is_allowed_on, zone_limit};
use super::gpu_capacity::stranded_gpu_tasks_at_usage;
use super::image_fetch::fetch_class;
use super::place::Limits;
use crate::hash::HashMap;
use crate::inventory::{Candidates, Inventory, Slot};
use crate::records::{JobRecord, Name};
use crate::replica::{Replica, Resources};

/// The tasks of a job for which machines are to be chosen.
#[derive(Clone, Copy)]
pub(super) struct Request<'a> {
    pub(super) replica: &'a Replica,
    pub(super) inventory: &'a Inventory,
    pub(super) job: &'a JobRecord,
    pub(super) spec: &'a JobSpec,
    /// The task numbers, in the order in which machines are chosen.
    pub(super) tasks: &'a [u32],
    pub(super) limits: Limits,
}

/// The machine chosen for a task.
#[derive(Debug, Clone, Copy)]
pub(super) struct Choice {
    pub(super) task: u32,
    /// The index of the machine in the inventory.
    pub(super) slot: usize,
}

/// The criteria that take precedence over the number of tasks of the job in the zone; the lowest
/// rank is best.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct RankBeforeSpread {
    is_avoided: bool,
    strands_gpu_tasks: bool,
    /// The price per CPU if GPU tasks are stranded, otherwise 0.
    price_if_stranding: u64,
    has_unneeded_gpus: bool,
    is_on_demand: bool,
}

/// The criteria that count after the number of tasks of the job in the zone; the lowest rank is
/// best.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct RankAfterSpread {
    fetch_class: u64,
    usage: u64,
    price: u64,
    slot: usize,
}

/// The rank of a machine among those of its zone; the lowest is best.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    before_spread: RankBeforeSpread,
    after_spread: RankAfterSpread,
}

/// A ranked machine. Equivalent machines have the same rank except for their index, and are added
/// to the heap one at a time.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Ranked {
    rank: Rank,
    /// The group of equivalent machines whose next machine this is, if any.
    group: Option<usize>,
}

/// The rank of the best machine of a zone, for comparison with those of other zones.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct ZoneRank<'a> {
    before_spread: RankBeforeSpread,
    /// The number of tasks of the job in the zone if they are to be spread, otherwise 0.
    tasks_in_zone: u32,
    after_spread: RankAfterSpread,
    zone: &'a str,
}

/// Converts a non-negative number to an integer that sorts in the same order.
fn ordered_bits(value: f64) -> u64 {
    value.max(0.0).to_bits()
}

/// Chooses a machine for each task in turn, without changing the inventory. Stops at the first task
/// that fits on no machine.
pub(super) fn choose<'a>(request: Request<'a>, candidates: Candidates<'a>) -> Vec<Choice> {
    let Some(tasks_by_zone) = tasks_by_zone(&request) else { return Vec::new() };
    let size = Resources::of_task(request.spec);
    let ranker = Ranker { request, size, used_with_choices: HashMap::default() };
    let mut chooser = Chooser { ranker, tasks_by_zone, ranked_by_zone: BTreeMap::new(), candidates };
    chooser.rank_candidates();
    let mut choices = Vec::new();
    for &task in request.tasks {
        let Some(slot) = chooser.choose_next() else { break };
        choices.push(Choice { task, slot });
    }
    choices
}

/// The number of tasks of the job in each zone. `None` if nothing may be placed because the zone of
/// a task is not known.
fn tasks_by_zone<'a>(request: &Request<'a>) -> Option<HashMap<&'a str, u32>> {
    let spec = request.spec;
    let mut tasks_by_zone: HashMap<&str, u32> = HashMap::default();
    for assignment in &request.job.assignments {
        match request.replica.machines.get(&assignment.machine) {
            Some(machine) => *tasks_by_zone.entry(&*machine.value.zone).or_default() += 1,
            // A machine without a record may be in any zone.
            None if spec.spread || spec.one_zone => return None,
            None => {}
        }
    }
    Some(tasks_by_zone)
}

/// Chooses machines for one task after another.
struct Chooser<'a> {
    ranker: Ranker<'a>,
    /// The number of tasks of the job in each zone, including those for which a machine is chosen.
    tasks_by_zone: HashMap<&'a str, u32>,
    /// The ranked machines of each zone, best first. The number of tasks of the job in the zone is
    /// not part of these ranks, because it changes for all machines of a zone at once.
    ranked_by_zone: BTreeMap<&'a str, BinaryHeap<Reverse<Ranked>>>,
    candidates: Candidates<'a>,
}

impl<'a> Chooser<'a> {
    /// Ranks the first machine of each group of equivalent machines, and the individual candidates.
    fn rank_candidates(&mut self) {
        let individually_ranked = std::mem::take(&mut self.candidates.individually_ranked);
        let groups = 0..self.candidates.groups.len();
        let first_of_groups: Vec<(usize, Option<usize>)> = groups
            .filter_map(|group| Some((self.candidates.next_in_group(group)?, Some(group))))
            .chain(individually_ranked.into_iter().map(|slot| (slot, None)))
            .collect();
        let slots: &'a [Slot] = &self.ranker.request.inventory.slots;
        for (slot, group) in first_of_groups {
            if let Some(rank) = self.ranker.rank(slot) {
                let ranked = self.ranked_by_zone.entry(&*slots[slot].zone).or_default();
                ranked.push(Reverse(Ranked { rank, group }));
            }
        }
    }

    /// Chooses the machine for the next task.
    fn choose_next(&mut self) -> Option<usize> {
        let zone = self.best_zone()?;
        let ranked = self.ranked_by_zone.get_mut(zone)?;
        let Reverse(Ranked { rank, group }) = ranked.pop()?;
        let slot = rank.after_spread.slot;
        if let Some(next) = group.and_then(|group| self.candidates.next_in_group(group)) {
            let after_spread = RankAfterSpread { slot: next, ..rank.after_spread };
            ranked.push(Reverse(Ranked { rank: Rank { after_spread, ..rank }, group }));
        }
        self.ranker.record_choice(slot);
        if let Some(rank) = self.ranker.rank(slot) {
            ranked.push(Reverse(Ranked { rank, group: None }));
        }
        *self.tasks_by_zone.entry(zone).or_default() += 1;
        Some(slot)
    }

    /// The zone with the best machine, among those that may hold more tasks of the job.
    fn best_zone(&self) -> Option<&'a str> {
        let spec = self.ranker.request.spec;
        let limit = zone_limit(spec);
        let tasks_in = |zone: &str| self.tasks_by_zone.get(zone).copied().unwrap_or(0);
        let ranks = self.ranked_by_zone.iter().filter(|(zone, _)| tasks_in(zone) < limit).filter_map(
            |(zone, ranked)| {
                let Reverse(Ranked { rank, .. }) = ranked.peek()?;
                Some(ZoneRank {
                    before_spread: rank.before_spread,
                    tasks_in_zone: if spec.spread { tasks_in(zone) } else { 0 },
                    after_spread: rank.after_spread,
                    zone,
                })
            },
        );
        ranks.min().map(|best| best.zone)
    }
}

/// Ranks machines by their usage, including the choices made so far.
struct Ranker<'a> {
    request: Request<'a>,
    size: Resources,
    /// The resources in use on the machines that are chosen, including the tasks that they are
    /// chosen for.
    used_with_choices: HashMap<usize, Resources>,
}

impl Ranker<'_> {
    fn record_choice(&mut self, slot: usize) {
        let used = self.used_with_choices.get(&slot).copied();
        let used = used.unwrap_or(self.request.inventory.slots[slot].used);
        self.used_with_choices.insert(slot, used.plus_scaled(self.size, 1.0));
    }

    /// The rank of a machine; `None` if no further task may be placed there.
    fn rank(&self, slot: usize) -> Option<Rank> {
        let Request { replica, inventory, job, spec, limits, .. } = self.request;
        let machine = &inventory.slots[slot];
        let chosen = self.used_with_choices.get(&slot).copied();
        let used = chosen.unwrap_or(machine.used);
        if !self.size.fits(machine.capacity.plus_scaled(used, -1.0)) {
            return None;
        }
        let has_gpus = machine.capacity.gpus > 0.0;
        let strands_gpu_tasks = has_gpus && stranded_gpu_tasks_at_usage(replica, spec, machine, used) > 0;
        if strands_gpu_tasks && !limits.may_strand_gpus {
            return None;
        }
        let price = ordered_bits(machine.price / machine.capacity.cpus.max(1.0));
        let usage = ordered_bits(used.share_of(machine.capacity));
        let is_avoided = job.avoided_machines_at(limits.now_ms).any(|avoided| *avoided == *machine.id);
        let has_image = || chosen.is_some() || replica.has_image(&machine.id, &spec.image);
        Some(Rank {
            before_spread: RankBeforeSpread {
                is_avoided,
                strands_gpu_tasks,
                price_if_stranding: if strands_gpu_tasks { price } else { 0 },
                has_unneeded_gpus: spec.gpus == 0.0 && has_gpus,
                is_on_demand: !machine.spot,
            },
            after_spread: RankAfterSpread {
                fetch_class: if has_image() { 0 } else { fetch_class(spec, machine.fetch_gb_per_s) },
                // Machines with GPUs are filled one after another, so that the others stay free for
                // jobs that need the GPUs.
                usage: if has_gpus { !usage } else { usage },
                price,
                slot,
            },
        })
    }
}

/// The machines that would be chosen for this many tasks of a job that is not submitted yet, one
/// entry for each task.
pub fn simulate_placement(
    replica: &Replica,
    inventory: &Inventory,
    spec: &JobSpec,
    tasks: u32,
    now_ms: u64,
) -> Vec<Name> {
    let job = JobRecord::new(spec.clone(), None, 0);
    let candidates = inventory.candidates(replica, &job, spec, |slot| is_allowed_on(spec, slot));
    let tasks: Vec<u32> = (0..tasks).collect();
    let limits = Limits {
        max_tasks: tasks.len(),
        task_window: tasks.len() as u32,
        may_strand_gpus: true,
        gang_wait_s: 0.0,
        now_ms,
    };
    let request = Request { replica, inventory, job: &job, spec, tasks: &tasks, limits };
    let choices = choose(request, candidates);
    choices.into_iter().map(|choice| inventory.slots[choice.slot].id.clone()).collect()
}

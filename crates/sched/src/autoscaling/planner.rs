//! Plans a scale-out: each demand first uses the capacity that is up or expected, then the offers
//! with the lowest cost per task of the job.

use std::cmp::Ordering;

use wire::{JobKind, JobSpec, MachineType};

use super::zone_choice::{ZoneCapacities, best_zone};
use super::{Demand, ExpectedCapacity, MachineKind, MachineOffer, TypedOffer};
use crate::hash::HashMap;
use crate::placement::{is_allowed, may_use_gpu_machines, zone_limit};
use crate::records::Name;
use crate::replica::Resources;

/// How a demand is served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DemandCoverage {
    /// By capacity that is up or expected.
    Expected,
    /// Not without machines that are to be requested, which the cloud may not have.
    Requested,
    /// Not at all for some of its tasks: there are not enough machines, and none can be requested.
    Short,
}

/// A planned scale-out.
#[derive(Debug, Clone, PartialEq)]
pub struct ScaleOutPlan {
    /// The machines to request.
    pub offers: Vec<MachineOffer>,
    /// How each demand is served, in the order of the demands.
    pub coverage: Vec<DemandCoverage>,
}

/// How many tasks of a demand fit into this capacity together, without any machine being requested.
/// Capacity that `gpu_spec` could use is reserved as in [`plan_scale_out`].
pub fn count_fitting_tasks(
    demand: &Demand,
    capacity: Vec<ExpectedCapacity>,
    machine_types: &HashMap<String, MachineType>,
    gpu_spec: Option<&JobSpec>,
) -> u32 {
    let mut planner = Planner {
        offers: TypedOffer::all(machine_types).collect(),
        machine_types,
        gpu_spec,
        is_blocked: |_: &MachineOffer| true,
        max_per_offer: 0,
        pool: capacity,
        planned_per_offer: HashMap::default(),
        plan: Vec::new(),
    };
    demand.tasks - planner.plan_demand(demand).remaining
}

/// Plans which machines to request for the demands, which are served in this order. `expected` is
/// the capacity that is up or will be. Capacity that `gpu_spec` could use is reserved for GPU jobs and
/// for jobs that fit on no machine type without GPUs.
/// Blocked offers are left out, and at most `max_per_offer` machines of one offer are planned.
pub fn plan_scale_out<'d>(
    demands: impl IntoIterator<Item = &'d Demand<'d>>,
    expected: &[ExpectedCapacity],
    machine_types: &HashMap<String, MachineType>,
    gpu_spec: Option<&JobSpec>,
    is_blocked: impl Fn(&MachineOffer) -> bool,
    max_per_offer: usize,
) -> ScaleOutPlan {
    let mut planner = Planner {
        offers: TypedOffer::all(machine_types).collect(),
        machine_types,
        gpu_spec,
        is_blocked,
        max_per_offer,
        pool: expected.to_vec(),
        planned_per_offer: HashMap::default(),
        plan: Vec::new(),
    };
    let coverage = demands.into_iter().map(|demand| planner.coverage_of(demand)).collect();
    ScaleOutPlan { offers: planner.plan, coverage }
}

/// The state of the planning.
struct Planner<'a, F> {
    offers: Vec<TypedOffer<'a>>,
    machine_types: &'a HashMap<String, MachineType>,
    gpu_spec: Option<&'a JobSpec>,
    is_blocked: F,
    /// The most machines of one offer to plan. The number of machines that an offer has is not
    /// known, so one request's worth of each is planned at a time; otherwise a large array would
    /// plan the cheapest offer without limit and leave nothing to the demands after it.
    max_per_offer: usize,
    /// The capacity that is up or expected, followed by that of the planned machines.
    pool: Vec<ExpectedCapacity>,
    planned_per_offer: HashMap<MachineOffer, usize>,
    plan: Vec<MachineOffer>,
}

/// A demand with tasks that are still to be planned for.
struct OpenDemand<'a> {
    demand: &'a Demand<'a>,
    spec: &'a JobSpec,
    size: Resources,
    /// Whether the job may use capacity that is reserved for GPU jobs.
    may_use_gpu_machines: bool,
    zone_limit: u32,
    tasks_by_zone: HashMap<Name, u32>,
    /// How many tasks are still to be planned for.
    remaining: u32,
    /// The only zone that the job may use, if any. For a job that needs all its tasks in one zone,
    /// the first choice determines it.
    fixed_zone: Option<Name>,
    /// No capacity before this index in the pool is well suited any more. Capacity only shrinks
    /// while one demand is planned for, so capacity that was skipped once need not be checked
    /// again; planned machines are added at the end.
    next_well_suited: usize,
    /// Like `next_well_suited`, for any suitable capacity.
    next_suited: usize,
}

impl<'a> OpenDemand<'a> {
    fn new(demand: &'a Demand<'a>, machine_types: &HashMap<String, MachineType>) -> Self {
        Self {
            demand,
            spec: demand.spec,
            size: Resources::of_task(demand.spec),
            may_use_gpu_machines: may_use_gpu_machines(demand.spec, machine_types),
            zone_limit: zone_limit(demand.spec),
            tasks_by_zone: demand.tasks_by_zone.clone(),
            remaining: demand.tasks,
            fixed_zone: None,
            next_well_suited: 0,
            next_suited: 0,
        }
    }

    fn tasks_in(&self, zone: &str) -> u32 {
        self.tasks_by_zone.get(zone).copied().unwrap_or(0)
    }

    fn may_use_zone(&self, zone: &str) -> bool {
        self.fixed_zone.as_ref().is_none_or(|fixed| **fixed == *zone) && self.tasks_in(zone) < self.zone_limit
    }

    /// Whether machines with this many GPUs suit the job well: a job that needs no GPU is placed on
    /// a machine with GPUs only as a last resort, because other machines cost far less.
    fn is_well_suited(&self, gpus: f64) -> bool {
        self.spec.gpus > 0.0 || gpus == 0.0
    }
}

impl<F: Fn(&MachineOffer) -> bool> Planner<'_, F> {
    /// Plans for a demand and returns how it is served.
    fn coverage_of(&mut self, demand: &Demand) -> DemandCoverage {
        let planned_before = self.plan.len();
        let open_demand = self.plan_demand(demand);
        let can_request = |offer: &TypedOffer| self.suits_available_offer(offer, &open_demand);
        if open_demand.remaining > 0 && !self.offers.iter().any(can_request) {
            DemandCoverage::Short
        } else if open_demand.remaining > 0 || self.plan.len() > planned_before {
            DemandCoverage::Requested
        } else {
            DemandCoverage::Expected
        }
    }

    /// Plans for a demand. Returns what is left of it.
    fn plan_demand<'d>(&mut self, demand: &'d Demand<'d>) -> OpenDemand<'d> {
        let mut open_demand = OpenDemand::new(demand, self.machine_types);
        if open_demand.spec.one_zone {
            let zone_in_use = open_demand.tasks_by_zone.keys().min().cloned();
            open_demand.fixed_zone = zone_in_use.or_else(|| self.best_zone(&open_demand));
        }
        while open_demand.remaining > 0 {
            let found = self.find_capacity(&mut open_demand).or_else(|| self.plan_machine(&open_demand));
            let Some(position) = found else { break };
            self.use_capacity(position, &mut open_demand);
        }
        open_demand
    }

    /// The zone for a job that needs all its tasks in one.
    fn best_zone(&self, open_demand: &OpenDemand) -> Option<Name> {
        let zones = ZoneCapacities {
            demand: open_demand.demand,
            is_reserved: |gpus, kind: MachineKind| self.is_reserved_for_gpu_jobs(open_demand, gpus, kind),
            is_blocked: &self.is_blocked,
        };
        best_zone(open_demand.demand, &zones.by_zone(&self.pool, &self.offers))
    }

    /// The index in the pool of the capacity that the demand uses next; `None` if a machine should
    /// be requested, or no capacity is left.
    fn find_capacity(&self, open_demand: &mut OpenDemand) -> Option<usize> {
        let mut position = open_demand.next_well_suited;
        while position < self.pool.len() && !self.is_well_suited_capacity(&self.pool[position], open_demand) {
            position += 1;
        }
        open_demand.next_well_suited = position;
        if position < self.pool.len() {
            return Some(position);
        }
        let is_well_suited_offer = |offer: &TypedOffer| {
            open_demand.is_well_suited(offer.machine_type.gpus) && self.suits_offer(offer, open_demand)
        };
        if self.offers.iter().any(is_well_suited_offer) {
            return None;
        }
        let mut position = open_demand.next_suited;
        while position < self.pool.len() && !self.suits_capacity(&self.pool[position], open_demand) {
            position += 1;
        }
        open_demand.next_suited = position;
        (position < self.pool.len()).then_some(position)
    }

    fn is_well_suited_capacity(&self, capacity: &ExpectedCapacity, open_demand: &OpenDemand) -> bool {
        open_demand.is_well_suited(capacity.gpus) && self.suits_capacity(capacity, open_demand)
    }

    /// Whether capacity with this many GPUs is reserved for GPU jobs and must not be used by the
    /// job.
    fn is_reserved_for_gpu_jobs(&self, open_demand: &OpenDemand, gpus: f64, kind: MachineKind) -> bool {
        let MachineKind { machine_type, zone, spot } = kind;
        gpus > 0.0
            && !open_demand.may_use_gpu_machines
            && self.gpu_spec.is_none_or(|gpu_spec| is_allowed(gpu_spec, machine_type, zone, spot))
    }

    fn suits_capacity(&self, capacity: &ExpectedCapacity, open_demand: &OpenDemand) -> bool {
        let ExpectedCapacity { machine_type, zone, spot, free, .. } = capacity;
        open_demand.size.fits(*free)
            && open_demand.demand.suits_capacity(capacity)
            && !self.is_reserved_for_gpu_jobs(
                open_demand,
                free.gpus,
                MachineKind { machine_type, zone, spot: *spot },
            )
            && open_demand.may_use_zone(zone)
    }

    fn suits_offer(&self, offer: &TypedOffer, open_demand: &OpenDemand) -> bool {
        let planned = self.planned_per_offer.get(&offer.offer);
        planned.is_none_or(|planned| *planned < self.max_per_offer)
            && self.suits_available_offer(offer, open_demand)
    }

    /// Whether machines of the offer may be requested for the demand, however many are planned.
    fn suits_available_offer(
        &self,
        TypedOffer { offer, machine_type: offered_type }: &TypedOffer,
        open_demand: &OpenDemand,
    ) -> bool {
        let MachineOffer { machine_type, zone, spot } = offer;
        open_demand.demand.suits_offer(machine_type, zone, *spot)
            && open_demand.size.fits(Resources::of_type(offered_type))
            && !self.is_reserved_for_gpu_jobs(
                open_demand,
                offered_type.gpus,
                MachineKind { machine_type, zone, spot: *spot },
            )
            && open_demand.may_use_zone(zone)
            && !(self.is_blocked)(offer)
    }

    /// Plans a machine of the best offer and returns its index in the pool; `None` if no offer
    /// suits.
    fn plan_machine(&mut self, open_demand: &OpenDemand) -> Option<usize> {
        let suiting = self.offers.iter().filter(|offer| self.suits_offer(offer, open_demand));
        let best =
            suiting.min_by(|a, b| OfferRank::new(a, open_demand).cmp(&OfferRank::new(b, open_demand)))?;
        let TypedOffer { offer, machine_type } = best;
        self.pool.push(ExpectedCapacity {
            machine: None,
            machine_type: offer.machine_type.clone(),
            zone: offer.zone.clone(),
            spot: offer.spot,
            free: Resources::of_type(machine_type),
            gpus: machine_type.gpus,
        });
        *self.planned_per_offer.entry(offer.clone()).or_default() += 1;
        self.plan.push(offer.clone());
        Some(self.pool.len() - 1)
    }

    /// Uses capacity in the pool for as many tasks of the demand as fit.
    fn use_capacity(&mut self, position: usize, open_demand: &mut OpenDemand) {
        let capacity = &mut self.pool[position];
        let zone = capacity.zone.clone();
        let tasks = open_demand
            .size
            .count_fitting_in(capacity.free)
            .min(open_demand.remaining)
            .min(open_demand.zone_limit - open_demand.tasks_in(&zone))
            .max(1);
        capacity.free = capacity.free.plus_scaled(open_demand.size, -f64::from(tasks));
        let served = tasks.min(open_demand.remaining);
        if !capacity.is_up() && open_demand.spec.kind == JobKind::Service && open_demand.spec.gpus == 0.0 {
            // Services do not wait for a machine to boot: they use capacity of GPU machines that is
            // free now, which GPU jobs then cannot use.
            take_from_gpu_machines(&mut self.pool, open_demand.spec, served);
        }
        *open_demand.tasks_by_zone.entry(zone.clone()).or_default() += tasks;
        if open_demand.spec.one_zone {
            open_demand.fixed_zone = Some(zone);
        }
        open_demand.remaining -= served;
    }
}

/// The rank of an offer; the lowest is best.
struct OfferRank {
    /// The number of tasks of the job in the zone if they are to be spread, otherwise 0.
    tasks_in_zone: u32,
    has_unneeded_gpus: bool,
    cost_per_task: f64,
}

impl OfferRank {
    fn new(offer: &TypedOffer, open_demand: &OpenDemand) -> Self {
        let spec = open_demand.spec;
        let capacity = Resources::of_type(offer.machine_type);
        let tasks = open_demand.size.count_fitting_in(capacity).min(open_demand.remaining).max(1);
        Self {
            tasks_in_zone: if spec.spread { open_demand.tasks_in(&offer.offer.zone) } else { 0 },
            has_unneeded_gpus: spec.gpus == 0.0 && offer.machine_type.gpus > 0.0,
            cost_per_task: offer.price() / f64::from(tasks),
        }
    }

    fn cmp(&self, other: &Self) -> Ordering {
        (self.tasks_in_zone.cmp(&other.tasks_in_zone))
            .then(self.has_unneeded_gpus.cmp(&other.has_unneeded_gpus))
            .then(self.cost_per_task.total_cmp(&other.cost_per_task))
    }
}

/// Removes capacity for this many tasks from machines with GPUs that are up.
fn take_from_gpu_machines(pool: &mut [ExpectedCapacity], spec: &JobSpec, tasks: u32) {
    let size = Resources::of_task(spec);
    let mut remaining = tasks;
    for capacity in pool.iter_mut().filter(|capacity| capacity.is_up() && capacity.gpus > 0.0) {
        if remaining == 0 {
            return;
        }
        let ExpectedCapacity { machine_type, zone, spot, .. } = &*capacity;
        if size.fits(capacity.free) && is_allowed(spec, machine_type, zone, *spot) {
            let tasks = size.count_fitting_in(capacity.free).min(remaining);
            capacity.free = capacity.free.plus_scaled(size, -f64::from(tasks));
            remaining -= tasks;
        }
    }
}

//! Which idle machines are kept: for services to come, as headroom, or for as long as booting them
//! again would cost.

use std::time::{Duration, Instant};

use sched::autoscaling::MachineOffer;
use sched::forecast;
use sched::hash::{HashMap, HashSet};
use sched::placement;
use sched::records::{MachineRecord, Name};
use sched::replica::{Replica, Resources};
use wire::JobSpec;

use super::Autoscaler;
use super::headroom::headroom_spec;
use super::machine_offers::offer_of_machine;
use crate::controller::{Controller, wall_ms};
use crate::state::{ControllerState, MachineView};

/// Most idle machines of an offer that are kept for as long as their boot would take: many that are
/// idle at a time are not all needed soon.
const MAX_KEPT_FOR_BOOT_TIME: u32 = 2;
/// Longest time, in seconds, that an idle machine is kept for its boot time.
const MAX_KEPT_BOOT_S: f64 = 600.0;

/// What decides whether idle machines are kept. One is made for each look at all machines.
pub struct IdleMachines<'a> {
    controller: &'a Controller,
    state: &'a ControllerState,
    /// Machines that services to come will use.
    reserved_for_services: HashSet<Name>,
    /// The job for whose like headroom is kept.
    headroom_spec: Option<&'a JobSpec>,
    /// How many of its tasks the machines that are not released have capacity for.
    free_headroom_tasks: u32,
    /// How many idle machines of each offer have been looked at.
    idle_by_offer: HashMap<MachineOffer, u32>,
}

impl<'a> IdleMachines<'a> {
    /// Starts a look at the machines. The inventory has to be up to date.
    pub fn new(controller: &'a Controller, state: &'a ControllerState, views: &[MachineView]) -> Self {
        let mut idle_machines = Self {
            controller,
            state,
            reserved_for_services: reserved_for_services(state),
            headroom_spec: headroom_spec(controller, state),
            free_headroom_tasks: 0,
            idle_by_offer: HashMap::default(),
        };
        if idle_machines.headroom_spec.is_some() {
            let staying = views.iter().filter(|view| !view.record.release);
            let free_tasks =
                staying.map(|v| idle_machines.headroom_tasks_on(v.record, v.used.unwrap_or_default()));
            idle_machines.free_headroom_tasks = free_tasks.sum();
        }
        idle_machines
    }

    /// How many tasks of the headroom's job a machine has capacity for.
    fn headroom_tasks_on(&self, machine: &MachineRecord, used: Resources) -> u32 {
        let machine_type = self.state.records.replica.machine_types.get(&*machine.machine_type);
        match (self.headroom_spec, machine_type) {
            (Some(spec), Some(machine_type)) if is_allowed_on(spec, machine) => {
                let free = Resources::of_type(machine_type).plus_scaled(used, -1.0);
                Resources::of_task(spec).count_fitting_in(free)
            }
            _ => 0,
        }
    }

    /// How long a machine stays idle before it is released: to request it again would cost its boot
    /// time and the wait for it. Spot machines run work that can wait.
    fn min_idle_time(&mut self, machine: &MachineRecord) -> Duration {
        let machine_type = self.state.records.replica.machine_types.get(&*machine.machine_type);
        let boot_s = machine_type.map_or(0.0, |machine_type| machine_type.boot_s);
        let idle_of_offer = self.idle_by_offer.entry(offer_of_machine(machine)).or_default();
        *idle_of_offer += 1;
        let is_kept_for_boot = !machine.spot && *idle_of_offer <= MAX_KEPT_FOR_BOOT_TIME;
        let kept_s = if is_kept_for_boot { boot_s.min(MAX_KEPT_BOOT_S) } else { 0.0 };
        self.controller.operators.idle_timeout.max(wire::seconds(kept_s))
    }
}

impl Autoscaler {
    /// Forgets the idle times of machines that are no longer idle.
    pub(super) fn retain_idle(&mut self, replica: &Replica) {
        self.idle_since
            .retain(|id, _| replica.machines.contains_key(id) && !replica.jobs_by_machine.contains_key(id));
    }

    /// Whether an idle machine is to be released.
    pub(super) fn is_idle_too_long(
        &mut self,
        view: &MachineView,
        idle_machines: &mut IdleMachines,
        now: Instant,
    ) -> bool {
        let record = view.record;
        let replica = &idle_machines.state.records.replica;
        if idle_machines.reserved_for_services.contains(view.id)
            || self.waiting_specs.iter().any(|spec| suits_machine(spec, record, replica))
        {
            return false;
        }
        let idle_since = *self.idle_since.entry(view.id.clone()).or_insert(now);
        let min_idle_time = idle_machines.min_idle_time(record);
        let own_tasks = idle_machines.headroom_tasks_on(record, Resources::default());
        let is_headroom = own_tasks > 0
            && idle_machines.free_headroom_tasks
                < own_tasks + self.headroom_tasks(idle_machines.controller, now);
        let is_released = now.saturating_duration_since(idle_since) >= min_idle_time && !is_headroom;
        if is_released {
            idle_machines.free_headroom_tasks -= own_tasks;
        }
        is_released
    }
}

/// The machines that services to come will use.
fn reserved_for_services(state: &ControllerState) -> HashSet<Name> {
    let replica = &state.records.replica;
    let now_ms = wall_ms();
    let Some((spec, tasks)) = forecast::expected_services(replica, now_ms) else {
        return HashSet::default();
    };
    placement::simulate_placement(replica, &state.scheduling.inventory, &spec, tasks, now_ms)
        .into_iter()
        .collect()
}

fn is_allowed_on(spec: &JobSpec, machine: &MachineRecord) -> bool {
    placement::is_allowed(spec, &machine.machine_type, &machine.zone, machine.spot)
}

/// Whether a machine without tasks is one for a job: it could hold a task, and has GPUs only if the
/// job uses some.
fn suits_machine(spec: &JobSpec, machine: &MachineRecord, replica: &Replica) -> bool {
    is_allowed_on(spec, machine)
        && replica.machine_types.get(&*machine.machine_type).is_some_and(|machine_type| {
            Resources::of_task(spec).fits(Resources::of_type(machine_type))
                && (spec.gpus > 0.0 || machine_type.gpus == 0.0)
        })
}

//! Which idle machines are kept: for expected services, as headroom, or for as long as it would
//! take to boot them again.

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
use super::machine_suitability::{is_allowed_on, suits_machine};
use super::retry_capacity::RetryCapacity;
use crate::controller::{Controller, wall_ms};
use crate::state::{ControllerState, MachineView};

/// Maximum number of idle machines per offer that are kept for their boot time: when many are idle
/// at a time, not all of them are needed again soon.
const MAX_KEPT_FOR_BOOT_TIME: u32 = 2;
/// Maximum time, in seconds, that an idle machine is kept because of its boot time.
const MAX_BOOT_TIME_RETENTION_S: f64 = 600.0;

/// Decides which idle machines are kept. A new one is created for each pass over all machines.
pub struct IdleRetention<'a> {
    controller: &'a Controller,
    state: &'a ControllerState,
    /// Machines that expected services will use.
    reserved_for_services: HashSet<Name>,
    /// The spec of the job whose kind of tasks headroom is kept for.
    headroom_spec: Option<&'a JobSpec>,
    /// How many tasks of `headroom_spec` the machines not marked for release have free
    /// capacity for.
    free_headroom_tasks: u32,
    /// The capacity that jobs whose starts keep failing need for their next retry, as far as this
    /// pass has not reserved machines for it.
    retries: Vec<RetryCapacity>,
    /// How many idle machines of each offer this pass has examined.
    idle_by_offer: HashMap<MachineOffer, u32>,
}

impl<'a> IdleRetention<'a> {
    /// Starts a pass over the machines. The inventory must be up to date.
    pub fn new(
        controller: &'a Controller,
        state: &'a ControllerState,
        views: &[MachineView],
        retries: Vec<RetryCapacity>,
    ) -> Self {
        let mut idle_retention = Self {
            controller,
            state,
            reserved_for_services: reserved_for_services(state),
            headroom_spec: headroom_spec(controller, state),
            free_headroom_tasks: 0,
            retries,
            idle_by_offer: HashMap::default(),
        };
        if idle_retention.headroom_spec.is_some() {
            let staying = views.iter().filter(|view| !view.record.release);
            let free_tasks = staying
                .map(|view| idle_retention.headroom_tasks_on(view.record, view.used.unwrap_or_default()));
            idle_retention.free_headroom_tasks = free_tasks.sum();
        }
        idle_retention
    }

    /// How many tasks of `headroom_spec` fit on a machine beside what is in use on it.
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

    /// Whether the next retry of a job needs the machine.
    fn reserve_for_retry(&mut self, view: &MachineView) -> bool {
        let replica = &self.state.records.replica;
        self.retries.iter_mut().any(|retry| retry.reserve(view.id, view.record, replica))
    }

    /// How long a machine stays idle before it is released. Requesting it again would cost its boot
    /// time, and jobs would wait for it. Spot machines are not kept for that: they run work that
    /// can wait.
    fn min_idle_time(&mut self, machine: &MachineRecord) -> Duration {
        let machine_type = self.state.records.replica.machine_types.get(&*machine.machine_type);
        let boot_s = machine_type.map_or(0.0, |machine_type| machine_type.boot_s);
        let idle_of_offer = self.idle_by_offer.entry(offer_of_machine(machine)).or_default();
        *idle_of_offer += 1;
        let is_kept_for_boot_time = !machine.spot && *idle_of_offer <= MAX_KEPT_FOR_BOOT_TIME;
        let retention_s = if is_kept_for_boot_time { boot_s.min(MAX_BOOT_TIME_RETENTION_S) } else { 0.0 };
        self.controller.operators.idle_timeout.max(wire::seconds(retention_s))
    }
}

impl Autoscaler {
    /// Drops the idle times of machines that are no longer idle.
    pub(super) fn drop_busy_machines(&mut self, replica: &Replica) {
        self.idle_since
            .retain(|id, _| replica.machines.contains_key(id) && !replica.jobs_by_machine.contains_key(id));
    }

    /// Whether an idle machine has been idle for long enough to be released and is not reserved.
    pub(super) fn is_idle_too_long(
        &mut self,
        view: &MachineView,
        idle_retention: &mut IdleRetention,
        now: Instant,
    ) -> bool {
        let record = view.record;
        let replica = &idle_retention.state.records.replica;
        if idle_retention.reserved_for_services.contains(view.id)
            || self.waiting_specs.iter().any(|spec| suits_machine(spec, record, replica))
            || idle_retention.reserve_for_retry(view)
        {
            return false;
        }
        let idle_since = *self.idle_since.entry(view.id.clone()).or_insert(now);
        let min_idle_time = idle_retention.min_idle_time(record);
        let headroom_tasks_here = idle_retention.headroom_tasks_on(record, Resources::default());
        let is_headroom = headroom_tasks_here > 0
            && idle_retention.free_headroom_tasks
                < headroom_tasks_here + self.headroom_tasks(idle_retention.controller, now);
        let is_released = now.saturating_duration_since(idle_since) >= min_idle_time && !is_headroom;
        if is_released {
            idle_retention.free_headroom_tasks -= headroom_tasks_here;
        }
        is_released
    }
}

/// The machines that expected services will use.
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

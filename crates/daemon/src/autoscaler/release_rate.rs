//! How fast silent machines are released.

use std::time::Instant;

use sched::placement;
use sched::records::{JobRecord, Name};
use sched::replica::Replica;
use wire::JobKind;

use super::Autoscaler;
use crate::controller::Controller;
use crate::state::ControllerState;

/// Silent machines are released with as many replicas at a time as are placed anew in about so many
/// seconds. It has to be longer than a release takes.
const REPLACEMENT_WINDOW_S: f64 = 1.0;
/// Of the replicas on silent machines, one in so many is released at a time: where there is no
/// capacity for them, hardly more than that are down before their leases expire.
pub(super) const REPLICAS_PER_RELEASED: usize = 8;

impl Autoscaler {
    /// Takes from the machines that are ready for release those that have to wait.
    ///
    /// The replicas of a silent machine run on until their leases expire. So where many machines
    /// become silent, they are released only as fast as their replicas can be placed anew: if all
    /// were released at once, most replicas would wait for the rate limit of writes, or for capacity
    /// that is nowhere else. Machines without replicas are released after all others.
    pub(super) fn limit_release_rate(
        &self,
        controller: &Controller,
        state: &ControllerState,
        ready: &mut Vec<Name>,
        now: Instant,
    ) {
        let replica = &state.records.replica;
        let has_leases = |id: &Name| self.lease_expiry_of_silent.get(id).is_some_and(|at| now < *at);
        let (silent, unlimited): (Vec<Name>, Vec<Name>) =
            std::mem::take(ready).into_iter().partition(has_leases);
        *ready = unlimited;
        let (with_replicas, without_replicas): (Vec<Name>, Vec<Name>) =
            silent.into_iter().partition(|id| service_replicas_on(replica, id) > 0);
        let total = with_replicas.len();
        let released = first_within_limit(controller, replica, with_replicas);
        let is_complete = released.len() == total;
        ready.extend(released);
        if is_complete {
            ready.extend(without_replicas);
        }
    }
}

/// The first of the machines, as many as may be released now; at least one if no replica is down.
fn first_within_limit(controller: &Controller, replica: &Replica, machines: Vec<Name>) -> Vec<Name> {
    let max_replicas = (controller.state_limits().write_rps * REPLACEMENT_WINDOW_S) as usize;
    let replicas: usize = machines.iter().map(|id| service_replicas_on(replica, id)).sum();
    let at_once = (replicas / REPLICAS_PER_RELEASED).clamp(1, max_replicas.max(1));
    let mut left = at_once.saturating_sub(replicas_down(replica));
    let fits = |id: &Name| {
        let count = service_replicas_on(replica, id);
        let fits = count <= left || left == at_once;
        left = left.saturating_sub(count);
        fits
    };
    machines.into_iter().take_while(fits).collect()
}

/// How many replicas of services are down: those that wait, and those on machines whose removal is
/// recorded.
fn replicas_down(replica: &Replica) -> usize {
    let jobs = replica.open_job_ids.iter().filter_map(|id| replica.jobs.get(id));
    let services = jobs.map(|job| job.value.as_ref()).filter(|job| is_service(job));
    let waiting: usize = services.map(|job| placement::pending_task_count(job) as usize).sum();
    let on_removed: usize =
        replica.machines_without_record.iter().map(|id| service_replicas_on(replica, id)).sum();
    waiting + on_removed
}

fn service_replicas_on(replica: &Replica, machine: &Name) -> usize {
    replica
        .assignments(machine)
        .filter(|(_, job, assignment)| is_service(job) && job.should_run(assignment))
        .count()
}

fn is_service(job: &JobRecord) -> bool {
    job.spec.as_ref().is_some_and(|spec| spec.kind == JobKind::Service)
}

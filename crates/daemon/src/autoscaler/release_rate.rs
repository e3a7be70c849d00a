//! Limits the rate at which silent machines are released.

use std::time::Instant;

use sched::placement;
use sched::records::{JobRecord, Name};
use sched::replica::Replica;
use wire::JobKind;

use super::Autoscaler;
use crate::controller::Controller;
use crate::state::ControllerState;

/// Silent machines released at a time hold at most as many replicas as can be placed anew within
/// this many seconds. It has to be longer than a release takes.
const REPLACEMENT_WINDOW_S: f64 = 1.0;
/// One in this many of the replicas on silent machines is released at a time. Where there is no
/// other capacity for them, hardly more than that are down before their leases expire.
pub(super) const RELEASED_REPLICA_DIVISOR: usize = 8;

impl Autoscaler {
    /// Removes from `ready` the machines whose release has to wait.
    ///
    /// The replicas on a silent machine keep running until their leases expire. When many machines
    /// become silent, they are therefore released only as fast as their replicas can be placed
    /// anew: if all were released at once, most replicas would wait for the rate limit of writes,
    /// or for capacity that does not exist elsewhere. Silent machines without replicas are released
    /// after all others.
    pub(super) fn limit_release_rate(
        &self,
        controller: &Controller,
        state: &ControllerState,
        ready: &mut Vec<Name>,
        now: Instant,
    ) {
        let replica = &state.records.replica;
        let may_hold_leases =
            |id: &Name| self.silent_machine_lease_expiry.get(id).is_some_and(|at| now < *at);
        let (silent, not_limited): (Vec<Name>, Vec<Name>) =
            std::mem::take(ready).into_iter().partition(may_hold_leases);
        *ready = not_limited;
        let (with_replicas, without_replicas): (Vec<Name>, Vec<Name>) =
            silent.into_iter().partition(|id| service_replicas_on(replica, id) > 0);
        let total = with_replicas.len();
        let released = first_within_limit(controller, replica, with_replicas);
        let all_released = released.len() == total;
        ready.extend(released);
        if all_released {
            ready.extend(without_replicas);
        }
    }
}

/// The first machines, as many as may be released now; at least one if no replica is down.
fn first_within_limit(controller: &Controller, replica: &Replica, machines: Vec<Name>) -> Vec<Name> {
    let max_replicas = (controller.state_limits().write_rps * REPLACEMENT_WINDOW_S) as usize;
    let replicas: usize = machines.iter().map(|id| service_replicas_on(replica, id)).sum();
    let release_limit = (replicas / RELEASED_REPLICA_DIVISOR).clamp(1, max_replicas.max(1));
    let mut remaining = release_limit.saturating_sub(replicas_down(replica));
    let fits = |id: &Name| {
        let count = service_replicas_on(replica, id);
        let fits = count <= remaining || remaining == release_limit;
        remaining = remaining.saturating_sub(count);
        fits
    };
    machines.into_iter().take_while(fits).collect()
}

/// The number of service replicas that are down: those that wait for a machine, and those on
/// machines whose removal is recorded.
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

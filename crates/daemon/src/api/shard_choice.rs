//! Choice of the shard that schedules a new job.

use std::time::Duration;

use sched::placement::{fits_entire_job, stranded_gpu_tasks};
use wire::JobSpec;

use crate::clock;
use crate::controller::{Controller, wall_ms};
use crate::scheduler;
use crate::state::{ControllerState, RecentAssignments, SchedulingState};

/// How long the CPUs of new jobs are counted against their shard. After that, the jobs are assumed
/// to be placed and to show in the inventory. An error only affects which shard looks for capacity:
/// placement checks the capacity again.
const RECENT_ASSIGNMENT_PERIOD: Duration = Duration::from_millis(500);

/// Returns the name of the controller whose shard has the most free CPUs among those that can hold
/// the entire job; `None` if no shard can, or if the leader has to place the job.
pub(crate) fn choose_shard(controller: &Controller, spec: &JobSpec) -> Option<String> {
    let mut guard = controller.state();
    let state = &mut *guard;
    if scheduler::competes_with_longest_waiting_gang(&state.records.replica, spec, wall_ms()) {
        return None;
    }
    refresh_recent_assignments(controller, state)?;
    let ControllerState { records, scheduling, .. } = state;
    let SchedulingState { inventory, recent_assignments, .. } = scheduling;
    let replica = &records.replica;
    let shards = replica.current_map()?.live.iter().filter_map(|member| {
        let slots = || {
            inventory
                .slot_classes_of(member.incarnation)
                .filter(|(slot, _)| stranded_gpu_tasks(replica, spec, slot) == 0)
        };
        let assigned = recent_assignments.cpus.get(&member.incarnation).copied().unwrap_or(0.0);
        let free_cpus =
            slots().map(|(slot, machines)| slot.free().cpus * f64::from(machines)).sum::<f64>() - assigned;
        fits_entire_job(spec, slots()).then_some((free_cpus, member))
    });
    let (_, chosen) = shards.max_by(|a, b| a.0.total_cmp(&b.0))?;
    *recent_assignments.cpus.entry(chosen.incarnation).or_default() += spec.cpus * f64::from(spec.tasks);
    Some(chosen.name.clone())
}

/// Refreshes the inventory and starts a new period of recent assignments if the last period has
/// ended or belongs to another epoch. `None` if there is no cluster map.
fn refresh_recent_assignments(controller: &Controller, state: &mut ControllerState) -> Option<()> {
    let now = clock::now();
    let epoch = state.cluster_map()?.epoch;
    let recent = &state.scheduling.recent_assignments;
    let is_recent =
        recent.since.is_some_and(|since| now.saturating_duration_since(since) < RECENT_ASSIGNMENT_PERIOD);
    if recent.epoch != epoch || !is_recent {
        state.refresh_inventory(&controller.identity, controller.heartbeat_interval(), now);
        state.scheduling.recent_assignments =
            RecentAssignments { since: Some(now), epoch, ..RecentAssignments::default() };
    }
    Some(())
}

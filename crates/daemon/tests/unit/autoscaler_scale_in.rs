use std::time::{Duration, Instant};

use sched::autoscaling::MachineOffer;
use sched::records::{FleetRecord, JobRecord, Name};
use sched::replica::RecordChange;
use wire::JobKind;

use super::super::release_rate::RELEASED_REPLICA_DIVISOR;
use super::*;
use crate::scale;

/// All machines of a zone become silent. Their replicas keep running until their leases expire, so
/// the machines must be released only as fast as the replicas find capacity elsewhere, while
/// capacity for all replicas is requested at once.
#[test]
fn silent_zone_is_released_gradually_until_its_leases_expire() {
    let controller = scale::controller(2400, 1);
    let now = Instant::now();
    scale::fill(&controller, now);
    let mut state = controller.state();
    let silent_zone: Vec<Name> = state
        .records
        .replica
        .machines
        .iter()
        .filter(|(_, machine)| *machine.value.zone == *"d")
        .map(|(id, _)| id.clone())
        .collect();
    let later = now + controller.heartbeat_interval() * 3;
    let receive_heartbeats = |state: &mut ControllerState, at: Instant| {
        state
            .machines
            .workers
            .iter_mut()
            .filter(|(id, _)| !silent_zone.contains(id))
            .for_each(|(_, worker)| worker.set_last_status_at(at));
    };
    receive_heartbeats(&mut state, later);
    let mut autoscaler = Autoscaler::leading_since(now - Duration::from_secs(60));
    let service_replicas = |state: &ControllerState, ids: &[Name]| {
        let count_on = |id: &Name| {
            let is_service =
                |job: &JobRecord| job.spec.as_ref().is_some_and(|spec| spec.kind == JobKind::Service);
            state.records.replica.assignments(id).filter(|(_, job, _)| is_service(job)).count()
        };
        ids.iter().map(count_on).sum::<usize>()
    };
    let total = service_replicas(&state, &silent_zone);
    assert!(total > 100, "{total}");
    let types = state.records.replica.machine_types.clone();
    let cpus = |offers: &[MachineOffer]| {
        offers.iter().map(|offer| types[&*offer.machine_type].cpus).sum::<f64>() as usize
    };
    state.refresh_inventory(&controller.identity, controller.heartbeat_interval(), later);
    assert!(
        cpus(&autoscaler.plan_scale_out(&controller, &state, later)) >= total * 4,
        "capacity for all replicas of the silent zone is requested"
    );
    let mark_state_fresh = |state: &mut ControllerState, at: Instant| {
        (state.records.fresh_at, state.pauses) = (Some(at), crate::state::PauseDetector::new(at))
    };
    mark_state_fresh(&mut state, later);
    assert_eq!(
        autoscaler.release_candidates(&controller, &state, later),
        [],
        "machines must not be released before the limit of silence"
    );
    let silence_limit_reached = now + controller.silence_limit();
    receive_heartbeats(&mut state, silence_limit_reached);
    mark_state_fresh(&mut state, silence_limit_reached);
    let mut ready: Vec<Name> = autoscaler
        .release_candidates(&controller, &state, silence_limit_reached)
        .into_iter()
        .map(|candidate| candidate.machine)
        .collect();
    assert_eq!(ready.len(), silent_zone.len());
    autoscaler.limit_release_rate(&controller, &state, &mut ready, silence_limit_reached);
    let first = service_replicas(&state, &ready);
    assert!(first > 0 && first <= total / RELEASED_REPLICA_DIVISOR + 16, "{first} of {total}");
    // The replicas on the released machines find no capacity, so no further machine may be released
    // yet.
    let removed = Some(ready.clone());
    state.records.replica.apply(
        RecordChange::Fleet(Some(FleetRecord { scale_outs: Vec::new(), removed_machines: removed })),
        1 << 40,
    );
    let mut next_ready: Vec<Name> = autoscaler
        .release_candidates(&controller, &state, silence_limit_reached)
        .into_iter()
        .map(|candidate| candidate.machine)
        .collect();
    let still_silent = next_ready.clone();
    autoscaler.limit_release_rate(&controller, &state, &mut next_ready, silence_limit_reached);
    assert!(next_ready.is_empty(), "{}", next_ready.len());
    // Once the leases have expired, no replica runs any more and all remaining machines may be
    // released.
    let leases_expired = silence_limit_reached + controller.worker_limits(None).lease;
    let mut ready_after_expiry = still_silent.clone();
    autoscaler.limit_release_rate(&controller, &state, &mut ready_after_expiry, leases_expired);
    assert_eq!(ready_after_expiry, still_silent);
}

/// After a controller's process was paused for half a minute, its state shows all its machines as
/// silent for that long. It must not release any of them for this reason.
#[test]
fn nothing_is_released_after_a_process_pause() {
    let controller = scale::controller(100, 1);
    let now = Instant::now();
    scale::fill(&controller, now);
    let mut state = controller.state();
    let mut autoscaler = Autoscaler::default();
    state.tick(now);
    let resumed = now + Duration::from_secs(32);
    // After the pause, some heartbeats are processed before the first tick.
    state.machines.workers.values_mut().take(40).for_each(|worker| worker.set_last_status_at(resumed));
    assert_eq!(autoscaler.release_candidates(&controller, &state, resumed), [], "before the tick");
    state.records.fresh_at = Some(resumed);
    state.tick(resumed);
    assert_eq!(autoscaler.release_candidates(&controller, &state, resumed), [], "after the tick");
    let later = resumed + controller.silence_limit();
    (0..9).for_each(|n| state.tick(resumed + controller.silence_limit() * n / 8));
    state.records.fresh_at = Some(later);
    state.machines.workers.values_mut().take(40).for_each(|worker| worker.set_last_status_at(later));
    assert_eq!(
        autoscaler.release_candidates(&controller, &state, later).len(),
        60,
        "machines that stay silent after the pause are released"
    );
}

/// Thousands of overdue machines must not delay the release of a lost one, whose tasks wait for it.
#[test]
fn machines_with_a_record_are_released_before_those_that_never_registered() {
    let controller = scale::controller(3, 1);
    let state = controller.state();
    let mut batch = ReleaseBatch::default();
    for (id, reason) in [
        ("host-999001", ReleaseReason::Overdue),
        ("host-000002", ReleaseReason::Silent),
        ("host-999002", ReleaseReason::NeverRegistered),
        ("host-000001", ReleaseReason::Unhealthy),
    ] {
        batch.add_ready(id.into(), reason);
    }
    batch.put_unrecorded_last(&state.records.replica);
    let ready: Vec<&str> = batch.ready.iter().map(|id| &**id).collect();
    assert_eq!(ready, ["host-000002", "host-000001", "host-999001", "host-999002"]);
}

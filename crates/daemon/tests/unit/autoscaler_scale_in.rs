use std::time::{Duration, Instant};

use sched::autoscaling::MachineOffer;
use sched::records::{FleetRecord, JobRecord, Name};
use sched::replica::RecordChange;
use wire::JobKind;

use super::super::release_rate::REPLICAS_PER_RELEASED;
use super::*;
use crate::scale;

/// The replicas of a silent zone run until their leases expire: their machines are released as fast
/// as the replicas find capacity, and capacity for all of them is requested at once.
#[test]
fn silent_zone_is_released_as_its_replicas_find_capacity() {
    let controller = scale::controller(2400, 1);
    let now = Instant::now();
    scale::fill(&controller, now);
    let mut state = controller.state();
    let silent_zone: Vec<Name> = state
        .records
        .replica
        .machines
        .iter()
        .filter(|(_, m)| *m.value.zone == *"d")
        .map(|(id, _)| id.clone())
        .collect();
    let later = now + controller.heartbeat_interval() * 3;
    let receive_heartbeats = |state: &mut ControllerState, at: Instant| {
        state
            .machines
            .workers
            .iter_mut()
            .filter(|(id, _)| !silent_zone.contains(id))
            .for_each(|(_, w)| w.set_last_status_at(at));
    };
    receive_heartbeats(&mut state, later);
    let mut autoscaler = Autoscaler::leading_since(now - Duration::from_secs(60));
    let replicas = |state: &ControllerState, ids: &[Name]| {
        let of = |id: &Name| {
            let service = |j: &JobRecord| j.spec.as_ref().is_some_and(|s| s.kind == JobKind::Service);
            state.records.replica.assignments(id).filter(|(_, j, _)| service(j)).count()
        };
        ids.iter().map(of).sum::<usize>()
    };
    let all = replicas(&state, &silent_zone);
    assert!(all > 100, "{all}");
    let types = state.records.replica.machine_types.clone();
    let cpus =
        |offers: &[MachineOffer]| offers.iter().map(|o| types[&*o.machine_type].cpus).sum::<f64>() as usize;
    state.refresh_inventory(&controller.identity, controller.heartbeat_interval(), later);
    assert!(
        cpus(&autoscaler.plan_scale_out(&controller, &state, later)) >= all * 4,
        "capacity for all of them is requested"
    );
    let resume = |state: &mut ControllerState, at: Instant| {
        (state.records.fresh_at, state.pauses) = (Some(at), crate::state::PauseDetector::new(at))
    };
    resume(&mut state, later);
    assert_eq!(autoscaler.release_candidates(&controller, &state, later), [], "too early to release them");
    let silent = now + controller.silence_limit();
    receive_heartbeats(&mut state, silent);
    resume(&mut state, silent);
    let mut ready: Vec<Name> = autoscaler
        .release_candidates(&controller, &state, silent)
        .into_iter()
        .map(|candidate| candidate.machine)
        .collect();
    assert_eq!(ready.len(), silent_zone.len());
    autoscaler.limit_release_rate(&controller, &state, &mut ready, silent);
    let first = replicas(&state, &ready);
    assert!(first > 0 && first <= all / REPLICAS_PER_RELEASED + 16, "{first} of {all}");
    // They find no capacity: hardly any others follow.
    let removed = Some(ready.clone());
    state.records.replica.apply(
        RecordChange::Fleet(Some(FleetRecord { scale_outs: Vec::new(), removed_machines: removed })),
        1 << 40,
    );
    let mut more: Vec<Name> = autoscaler
        .release_candidates(&controller, &state, silent)
        .into_iter()
        .map(|candidate| candidate.machine)
        .collect();
    let left = more.clone();
    autoscaler.limit_release_rate(&controller, &state, &mut more, silent);
    assert!(more.is_empty(), "{}", more.len());
    // Once their leases have expired there is nothing to wait for.
    let over = silent + controller.worker_limits(None).lease;
    let mut rest = left.clone();
    autoscaler.limit_release_rate(&controller, &state, &mut rest, over);
    assert_eq!(rest, left);
}

/// In the state of a controller whose process was paused for half a minute, all its machines have
/// been silent for so long. It releases none of them for that.
#[test]
fn nothing_is_released_after_a_process_pause() {
    let controller = scale::controller(100, 1);
    let now = Instant::now();
    scale::fill(&controller, now);
    let mut state = controller.state();
    let mut autoscaler = Autoscaler::default();
    state.tick(now);
    let resumed = now + Duration::from_secs(32);
    // Some heartbeats are processed before anything else runs.
    state.machines.workers.values_mut().take(40).for_each(|w| w.set_last_status_at(resumed));
    assert_eq!(autoscaler.release_candidates(&controller, &state, resumed), [], "before the tick");
    state.records.fresh_at = Some(resumed);
    state.tick(resumed);
    assert_eq!(autoscaler.release_candidates(&controller, &state, resumed), [], "after the tick");
    let later = resumed + controller.silence_limit();
    (0..9).for_each(|n| state.tick(resumed + controller.silence_limit() * n / 8));
    state.records.fresh_at = Some(later);
    state.machines.workers.values_mut().take(40).for_each(|w| w.set_last_status_at(later));
    assert_eq!(
        autoscaler.release_candidates(&controller, &state, later).len(),
        60,
        "but those that are silent now"
    );
}

use super::*;
use crate::autoscaler::scale_out::RENT_ROOM;
use crate::scale;
use cloud::RENT_MAX;
use sched::replica::RecordChange;

/// A dark zone's replicas are up until their leases end: they are given up as
/// fast as they find room, and room for all is asked for at once.
#[test]
fn a_dark_zone_is_given_up_as_its_replicas_find_room() {
    let controller = scale::controller(2400, 1);
    let now = Instant::now();
    scale::fill(&controller, now);
    let mut state = controller.state();
    let dark: Vec<Name> = state
        .records
        .replica
        .machines
        .iter()
        .filter(|(_, m)| *m.value.zone == *"d")
        .map(|(id, _)| id.clone())
        .collect();
    let later = now + controller.heartbeat_interval() * 3;
    let hear = |state: &mut ControllerState, at: Instant| {
        state
            .machines
            .workers
            .iter_mut()
            .filter(|(id, _)| !dark.contains(id))
            .for_each(|(_, w)| w.heard = Some(at));
    };
    hear(&mut state, later);
    let mut fleet = Autoscaler {
        led_since: Some(now - Duration::from_secs(60)),
        listed_at: Some(now),
        ..Autoscaler::default()
    };
    let replicas = |state: &ControllerState, ids: &[Name]| {
        let of = |id: &Name| {
            let service = |j: &JobRecord| j.spec.as_ref().is_some_and(|s| s.kind == JobKind::Service);
            state.records.replica.assignments(id).filter(|(_, j, _)| service(j)).count()
        };
        ids.iter().map(of).sum::<usize>()
    };
    let all = replicas(&state, &dark);
    assert!(all > 100, "{all}");
    let types = state.records.replica.machine_types.clone();
    let cpus =
        |offers: &[MachineOffer]| offers.iter().map(|o| types[&*o.machine_type].cpus).sum::<f64>() as usize;
    state.refresh_inventory(&controller.identity, controller.heartbeat_interval(), later);
    assert!(cpus(&fleet.wanted(&controller, &state, later)) >= all * 4, "room for all of them is rented");
    let awake = |state: &mut ControllerState, at: Instant| {
        (state.records.fresh_at, state.pauses) = (Some(at), crate::state::PauseDetector::new(at))
    };
    awake(&mut state, later);
    assert_eq!(fleet.surplus(&controller, &state, later), [], "too early to give them up");
    let silent = now + controller.silence_limit();
    hear(&mut state, silent);
    awake(&mut state, silent);
    let mut ready: Vec<Name> = fleet.surplus(&controller, &state, silent).into_iter().map(|s| s.0).collect();
    assert_eq!(ready.len(), dark.len());
    fleet.pace(&controller, &state, &mut ready, silent);
    let first = replicas(&state, &ready);
    assert!(first > 0 && first <= all / PACE_PART + 16, "{first} of {all}");
    // They find no room: hardly any others follow.
    let gone = Some(ready.clone());
    state.records.replica.apply(
        RecordChange::Fleet(Some(FleetRecord { scale_outs: Vec::new(), removed_machines: gone })),
        1 << 40,
    );
    let mut more: Vec<Name> = fleet.surplus(&controller, &state, silent).into_iter().map(|s| s.0).collect();
    let left = more.clone();
    fleet.pace(&controller, &state, &mut more, silent);
    assert!(more.is_empty(), "{}", more.len());
    // Once their leases are over there is nothing to wait for.
    let over = silent + controller.worker_limits(None).lease;
    let mut rest = left.clone();
    fleet.pace(&controller, &state, &mut rest, over);
    assert_eq!(rest, left);
}

/// A controller that stood still for half a minute holds a view in which all its
/// machines were silent for so long. It gives up none of them for that.
#[test]
fn nothing_is_given_up_on_waking() {
    let controller = scale::controller(100, 1);
    let now = Instant::now();
    scale::fill(&controller, now);
    let mut state = controller.state();
    let mut fleet = Autoscaler::default();
    state.tick(now);
    let woken = now + Duration::from_secs(32);
    // Some reports are taken in before anything else runs.
    state.machines.workers.values_mut().take(40).for_each(|w| w.heard = Some(woken));
    assert_eq!(fleet.surplus(&controller, &state, woken), [], "before the beat");
    state.records.fresh_at = Some(woken);
    state.tick(woken);
    assert_eq!(fleet.surplus(&controller, &state, woken), [], "after it");
    let later = woken + controller.silence_limit();
    (0..9).for_each(|n| state.tick(woken + controller.silence_limit() * n / 8));
    state.records.fresh_at = Some(later);
    state.machines.workers.values_mut().take(40).for_each(|w| w.heard = Some(later));
    assert_eq!(fleet.surplus(&controller, &state, later).len(), 60, "but for what it does not hear now");
}

/// Hundreds of rentals and hundreds of machines gone at a time: whatever the
/// record is said to have room for, the state service takes.
#[test]
fn the_fleets_record_never_outgrows_a_value() {
    let controller = scale::controller(4, 1);
    let mut fleet = FleetRecord::default();
    let mut host = 0u32;
    while names_left(&fleet, &controller) >= RENT_ROOM + RENT_MAX as usize {
        // Scattered names, as when several controllers' requests cross.
        host += RENT_MAX;
        let number = |n: u32| u64::from(host + n) * 7919 % 1_000_000;
        let names = (0..RENT_MAX).map(|n| format!("host-{:06}", number(n)).as_str().into());
        fleet.scale_outs.push(ScaleOut {
            request: format!("controller-4-{:x}-{host}", u64::MAX >> 12),
            machine_type: "machine-type".into(),
            zone: "zone-of-a-name".into(),
            spot: true,
            count: RENT_MAX,
            requested_ms: 1_796_169_600_000,
            machines: Some(names.collect()),
        });
    }
    let rented = fleet.scale_outs.len();
    assert!(rented >= 20, "{rented}");
    assert!(is_half_full(&fleet, &controller), "what is gone is taken out before others' changes");
    loop {
        let room = names_left(&fleet, &controller).min(400);
        if room == 0 {
            break;
        }
        let gone = fleet.removed_machines.get_or_insert_default();
        gone.extend((0..room).map(|n| Name::from(format!("host-{:06}", n * 104_729 % 1_000_000))));
        let json = serde_json::to_string(&fleet).expect("encodes").len() as f64;
        assert!(json < controller.state_limits().value_bytes, "{json}");
    }
}

/// A zone of 1,300 machines of a site of 4,000 is released at once: the record tells of all of
/// them in one change, as their names follow each other, and is not full then.
#[test]
fn a_zone_of_thousands_is_told_gone_at_once() {
    let controller = scale::controller(4, 1);
    let zone: Vec<Name> = (0..1300).map(|n| format!("host-{:06}", n * 3 + 1).as_str().into()).collect();
    let empty = FleetRecord::default();
    assert!(names_left(&empty, &controller) >= zone.len(), "{}", names_left(&empty, &controller));
    let fleet = FleetRecord { scale_outs: Vec::new(), removed_machines: Some(zone) };
    assert!(!is_half_full(&fleet, &controller));
    assert!(names_left(&fleet, &controller) > 1000, "{}", names_left(&fleet, &controller));
}

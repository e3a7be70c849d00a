use super::*;
use crate::settings::tests::EXAMPLE;
use crate::state::ReceivedStatus;
use peer::PeerStatus;
use sched::records::ClusterMap;
use sched::replica::RecordChange;

fn summary(name: &str, epoch: u64, state_silent_ms: u64) -> PeerStatus {
    PeerStatus {
        name: name.into(),
        incarnation: 9,
        sequence: 1,
        epoch,
        state_silent_ms,
        machines: Vec::new(),
    }
}

/// A controller that reaches the state service alone stands aside, so that others
/// can renew its workers' leases; one that has its workers or a peer does not.
#[test]
fn a_controller_that_reaches_nobody_stands_aside_until_it_hears_others() {
    let controller = crate::scale::controller(40, 2);
    let (me, report) = (controller.identity.clone(), controller.heartbeat_interval());
    let start = Instant::now() + Duration::from_secs(60);
    let mut state = controller.state();
    let member = |n: &str| Member { name: n.into(), zone: "a".into(), incarnation: 1 };
    state.records.replica.apply(RecordChange::Member("n-1".into(), Some(member("n-1"))), 1 << 40);
    crate::scheduler::decide(&controller, &mut state, crate::scheduler::CycleContext::new(4, start, 0));
    assert!(state.machines.workers.len() >= 3);
    let aside = |state: &mut ControllerState, heard: bool, peer: bool, s: u64| {
        let now = start + Duration::from_secs(s);
        state.pauses = crate::state::PauseDetector::new(now);
        state.records.fresh_at = Some(now);
        if heard {
            state.machines.workers.values_mut().for_each(|w| w.set_last_status_at(now));
        }
        if peer {
            state
                .peers
                .statuses
                .insert("n-1".into(), ReceivedStatus { status: summary("n-1", 7, 0), received_at: now });
        }
        state.update_isolation(&me, report, now)
    };
    assert!(!aside(&mut state, true, false, 10), "cut off from its peers, not from its workers");
    assert!(!aside(&mut state, false, true, 20), "from its workers, not from its peers");
    assert!(aside(&mut state, false, false, 30));
    assert!(aside(&mut state, false, true, 32), "not back at once");
    assert!(!aside(&mut state, false, true, 36));
    assert!(!aside(&mut state, false, false, 50), "nor away again at once");
    assert!(aside(&mut state, false, false, 60));
    state.records.replica.apply(RecordChange::Member("n-1".into(), None), 1 << 41);
    assert!(!aside(&mut state, false, false, 61), "there is nobody else");
}

/// A controller that has lost the state service and its peers, but not its
/// workers, stops renewing leases in time for every cancellation that others
/// may have given meanwhile. That its peers say that they have no state service either
/// changes nothing: they may have confirmed a cancellation just before.
#[test]
fn renewal_ends_within_the_bound_whatever_peers_say_of_the_state_service() {
    let settings = Settings::parse("example", EXAMPLE).expect("the example is valid");
    let bound = settings.renewal_bound();
    let w = &settings.facts.workers;
    // What is renewed last, by the slowest clock, is over before a cancel
    // accepted right after the last contact must have taken effect.
    let over = bound.as_secs_f64() * 1.0005 + w.lease_s * 1.0005;
    assert!(over < w.cancel_s && bound > Duration::from_secs(5), "{over}");
    let controller = Controller::new(settings, OperatorSettings::default(), 1);
    let (start, me) = (Instant::now(), controller.identity.clone());
    let mut state = controller.state();
    state.records.is_loaded = true;
    state.records.replica.apply(RecordChange::Map(Some(ClusterMap { epoch: 4, live: vec![me.clone()] })), 1);
    state.records.fresh_at = Some(start);
    let renews =
        |state: &ControllerState, at: Duration| state.may_renew_leases(&me, ["n-1"], bound, start + at);
    assert!(renews(&state, bound - Duration::from_millis(1)));
    assert!(!renews(&state, bound), "no peer says that it has no state service either");
    let mut hear = |silent_ms, epoch, at| {
        state.peers.statuses.insert(
            "n-1".into(),
            ReceivedStatus { status: summary("n-1", epoch, silent_ms), received_at: at },
        );
        renews(&state, bound)
    };
    assert!(!hear(100, 4, start + bound), "a peer can still take cancellations");
    assert!(!hear(60_000, 4, start + bound), "an outage for all, as it says, but since when?");
    assert!(!hear(60_000, 4, start), "its word is old");
    assert!(!hear(60_000, 5, start + bound), "there is a newer map");
    assert!(!state.may_renew_leases(&me, ["n-1"], bound, start), "at any time");
}

use super::*;
use crate::settings::tests::EXAMPLE;
use crate::state::ReceivedStatus;
use peer::PeerStatus;
use sched::records::ClusterMap;
use sched::replica::RecordChange;

fn status(name: &str, epoch: u64, store_silent_ms: u64) -> PeerStatus {
    PeerStatus {
        name: name.into(),
        incarnation: 9,
        sequence: 1,
        epoch,
        store_silent_ms,
        machines: Vec::new(),
    }
}

/// A controller that reaches only the key-value store leaves the cluster, so that others can renew
/// its workers' leases. One that still reaches its workers or a peer stays.
#[test]
fn isolated_controller_leaves_the_cluster_until_it_hears_from_a_peer() {
    let controller = crate::scale::controller(40, 2);
    let (me, heartbeat_interval) = (controller.identity.clone(), controller.heartbeat_interval());
    let start = Instant::now() + Duration::from_secs(60);
    let mut state = controller.state();
    let member = |n: &str| Member { name: n.into(), zone: "a".into(), incarnation: 1 };
    state.records.replica.apply(RecordChange::Member("n-1".into(), Some(member("n-1"))), 1 << 40);
    crate::scheduler::decide(&controller, &mut state, crate::scheduler::CycleContext::new(4, start, 0));
    assert!(state.machines.workers.len() >= 3);
    let is_isolated = |state: &mut ControllerState, reaches_workers: bool, reaches_peer: bool, at_s: u64| {
        let now = start + Duration::from_secs(at_s);
        state.pauses = crate::state::PauseDetector::new(now);
        state.records.fresh_at = Some(now);
        if reaches_workers {
            state.machines.workers.values_mut().for_each(|w| w.set_last_status_at(now));
        }
        if reaches_peer {
            state
                .peers
                .statuses
                .insert("n-1".into(), ReceivedStatus { status: status("n-1", 7, 0), received_at: now });
        }
        state.update_isolation(&me, heartbeat_interval, now)
    };
    assert!(!is_isolated(&mut state, true, false, 10), "partitioned from its peers, not from its workers");
    assert!(!is_isolated(&mut state, false, true, 20), "partitioned from its workers, not from its peers");
    assert!(is_isolated(&mut state, false, false, 30));
    assert!(is_isolated(&mut state, false, true, 32), "does not rejoin at once");
    assert!(!is_isolated(&mut state, false, true, 36));
    assert!(!is_isolated(&mut state, false, false, 50), "does not leave again at once");
    assert!(is_isolated(&mut state, false, false, 60));
    state.records.replica.apply(RecordChange::Member("n-1".into(), None), 1 << 41);
    assert!(!is_isolated(&mut state, false, false, 61), "there is no other member");
}

/// A controller that has lost the key-value store and its peers, but not its workers, stops renewing
/// leases in time for every cancellation that others may have confirmed meanwhile. Reports of its
/// peers that they have lost the key-value store, too, do not extend the time: they may have
/// confirmed a cancellation just before.
#[test]
fn lease_renewal_ends_within_the_bound_whatever_peers_report() {
    let settings = Settings::parse("example", EXAMPLE).expect("the example is valid");
    let bound = settings.renewal_bound();
    let workers = &settings.facts.workers;
    // The last renewed lease, by the slowest clock, ends before a cancellation accepted right after
    // the last contact has to take effect.
    let lease_end_s = bound.as_secs_f64() * 1.0005 + workers.lease_s * 1.0005;
    assert!(lease_end_s < workers.cancel_s && bound > Duration::from_secs(5), "{lease_end_s}");
    let controller = Controller::new(settings, OperatorSettings::default(), 1);
    let (start, me) = (Instant::now(), controller.identity.clone());
    let mut state = controller.state();
    state.records.is_loaded = true;
    state.records.replica.apply(RecordChange::Map(Some(ClusterMap { epoch: 4, live: vec![me.clone()] })), 1);
    state.records.fresh_at = Some(start);
    let renews =
        |state: &ControllerState, at: Duration| state.may_renew_leases(&me, ["n-1"], bound, start + at);
    assert!(renews(&state, bound - Duration::from_millis(1)));
    assert!(!renews(&state, bound), "no peer reports an outage of the key-value store");
    let mut renews_after_status = |silent_ms, epoch, at| {
        state.peers.statuses.insert(
            "n-1".into(),
            ReceivedStatus { status: status("n-1", epoch, silent_ms), received_at: at },
        );
        renews(&state, bound)
    };
    assert!(!renews_after_status(100, 4, start + bound), "a peer can still confirm cancellations");
    assert!(
        !renews_after_status(60_000, 4, start + bound),
        "a peer reports an outage, but may have confirmed before it"
    );
    assert!(!renews_after_status(60_000, 4, start), "the peer's status is old");
    assert!(!renews_after_status(60_000, 5, start + bound), "there is a newer map");
    assert!(!state.may_renew_leases(&me, ["n-1"], bound, start), "at any time");
}

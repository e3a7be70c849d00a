use super::*;
use crate::settings::tests::EXAMPLE;
use crate::state::PeerView;
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
    let (me, report) = (controller.me.clone(), controller.report_every());
    let start = Instant::now() + Duration::from_secs(60);
    let mut core = controller.core();
    let member = |n: &str| Member { name: n.into(), zone: "a".into(), incarnation: 1 };
    core.world.apply(RecordChange::Member("n-1".into(), Some(member("n-1"))), 1 << 40);
    crate::reconcile::decide(&controller, &mut core, false, 4, start, 0);
    assert!(core.workers.len() >= 3);
    let aside = |core: &mut Core, heard: bool, peer: bool, s: u64| {
        let now = start + Duration::from_secs(s);
        (core.beat, core.fresh_at) = (now, Some(now));
        if heard {
            core.workers.values_mut().for_each(|w| w.heard = Some(now));
        }
        if peer {
            core.peers.insert("n-1".into(), PeerView { summary: summary("n-1", 7, 0), at: now });
        }
        core.stands_aside(&me, report, now)
    };
    assert!(!aside(&mut core, true, false, 10), "cut off from its peers, not from its workers");
    assert!(!aside(&mut core, false, true, 20), "from its workers, not from its peers");
    assert!(aside(&mut core, false, false, 30));
    assert!(aside(&mut core, false, true, 32), "not back at once");
    assert!(!aside(&mut core, false, true, 36));
    assert!(!aside(&mut core, false, false, 50), "nor away again at once");
    assert!(aside(&mut core, false, false, 60));
    core.world.apply(RecordChange::Member("n-1".into(), None), 1 << 41);
    assert!(!aside(&mut core, false, false, 61), "there is nobody else");
}

/// The changes a second go where the jobs are that have to be written.
#[test]
fn shares_follow_the_jobs_that_each_places() {
    let controller = crate::scale::controller(40, 4);
    let mut core = controller.core();
    let fixed = |core: &Core, name: &str| share_by_jobs(core, name).expect("live");
    let me = controller.me.name.clone();
    let sum = |core: &Core| {
        let names = [me.as_str(), "n-1", "n-2", "n-3"];
        names.iter().map(|n| fixed(core, n)).sum::<f64>()
    };
    assert!((sum(&core) - SHARES_SUM).abs() < 1e-9);
    let before = fixed(&core, "n-2");
    for n in 0..20 {
        let spec = crate::worker::tests::spec(&format!("j-{n}"), JobKind::Array);
        let job = sched::records::JobRecord::new(spec, Some("n-2".into()), 0);
        core.world.apply(RecordChange::Job(format!("j-{n}"), Some(Box::new(job))), 1 << 40);
    }
    assert!(fixed(&core, "n-2") > before * 2.0 && fixed(&core, &me) >= LEADER_LEAST);
    assert!((sum(&core) - SHARES_SUM).abs() < 1e-9);
    assert!(share_by_jobs(&core, "n-9").is_none());
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
    let controller = Controller::new(settings, Operators::default(), 1);
    let (start, me) = (Instant::now(), controller.me.clone());
    let mut core = controller.core();
    core.ready = true;
    core.world.apply(RecordChange::Map(Some(ClusterMap { epoch: 4, live: vec![me.clone()] })), 1);
    core.fresh_at = Some(start);
    let renews = |core: &Core, at: Duration| core.may_renew(&me, ["n-1"], bound, start + at);
    assert!(renews(&core, bound - Duration::from_millis(1)));
    assert!(!renews(&core, bound), "no peer says that it has no state service either");
    let mut hear = |silent_ms, epoch, at| {
        core.peers.insert("n-1".into(), PeerView { summary: summary("n-1", epoch, silent_ms), at });
        renews(&core, bound)
    };
    assert!(!hear(100, 4, start + bound), "a peer can still take cancellations");
    assert!(!hear(60_000, 4, start + bound), "an outage for all, as it says, but since when?");
    assert!(!hear(60_000, 4, start), "its word is old");
    assert!(!hear(60_000, 5, start + bound), "there is a newer map");
    assert!(!core.may_renew(&me, ["n-1"], bound, start), "at any time");
}

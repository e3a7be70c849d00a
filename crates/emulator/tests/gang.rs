//! Gangs by their page, without machines.

use std::time::{Duration, Instant};

use emulator::{Gang, GangRules, GangTaskState};
use wire::ExitReason;

const RULES: GangRules =
    GangRules { start_timeout: Duration::from_secs(30), peer_timeout: Duration::from_secs(5) };

fn s(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Three tasks, 20 s of work, a checkpoint every 6 s, 2 s to save.
fn gang(now: Instant) -> Gang {
    Gang::new(RULES, 3, 20.0, 6.0, s(2.0), 0.0, now)
}

fn parts(gang: &Gang) -> [Option<GangTaskState>; 3] {
    [gang.task_state(0), gang.task_state(1), gang.task_state(2)]
}

fn started(now: Instant) -> Gang {
    let mut g = gang(now);
    (0..3).for_each(|n| g.join(n, [1.0, 0.5, 1.0][n as usize], now));
    assert_eq!(parts(&g), [Some(GangTaskState::Running); 3]);
    g
}

const fn ended(cause: ExitReason, saved: Option<bool>) -> Option<GangTaskState> {
    Some(GangTaskState::Ended(cause, saved))
}

#[test]
fn it_starts_with_the_last_task_and_runs_as_fast_as_its_slowest() {
    let t = Instant::now();
    let mut g = gang(t);
    g.join(0, 1.0, t);
    g.join(1, 0.5, t + s(20.0));
    // The replacement of one that is gone completes it.
    g.lose_task(1, s(1.0), t + s(25.0));
    g.join(1, 0.5, t + s(28.0));
    assert_eq!(parts(&g), [Some(GangTaskState::Waiting), Some(GangTaskState::Waiting), None]);
    g.join(2, 1.0, t + s(29.9));
    g.poll(t + s(69.8));
    assert_eq!(parts(&g), [Some(GangTaskState::Running); 3]);
    assert_eq!(g.saved, 18.0, "a multiple of the interval");
    g.poll(t + s(70.0));
    assert_eq!(parts(&g), [ended(ExitReason::Done, None); 3]);
    assert!(g.done);
}

#[test]
fn who_waits_too_long_ends_alone() {
    let t = Instant::now();
    let mut g = gang(t);
    g.join(0, 1.0, t);
    g.join(1, 1.0, t + s(10.0));
    g.poll(t + s(30.0));
    assert_eq!(parts(&g), [ended(ExitReason::GangIncomplete, None), Some(GangTaskState::Waiting), None]);
    g.join(2, 1.0, t + s(31.0));
    g.poll(t + s(39.0));
    assert_eq!(g.task_state(2), Some(GangTaskState::Waiting), "the one that ended does not count");
    assert!(!g.stop(2, s(10.0), s(1.0), t + s(39.5)), "one that waits ends at once");
}

#[test]
fn a_loss_ends_the_others_and_falls_back_to_the_checkpoint() {
    let t = Instant::now();
    let mut g = started(t);
    g.lose_task(1, s(3.0), t + s(15.0));
    g.poll(t + s(17.9));
    assert_eq!(parts(&g), [Some(GangTaskState::Running), None, Some(GangTaskState::Running)]);
    g.poll(t + s(18.0));
    assert_eq!(parts(&g), [ended(ExitReason::PeersGone, None), None, ended(ExitReason::PeersGone, None)]);
    assert_eq!(g.saved, 6.0);
    // The same by a machine that hangs, but not if it goes on in time.
    let mut g = started(t);
    g.set_hung(0, Some(s(4.0)), t);
    g.set_hung(0, None, t + s(3.0));
    g.poll(t + s(10.0));
    assert_eq!(g.task_state(1), Some(GangTaskState::Running));
    g.set_hung(0, Some(s(4.0)), t + s(10.0));
    g.poll(t + s(14.0));
    assert_eq!(parts(&g), [ended(ExitReason::PeersGone, None); 3]);
}

#[test]
fn an_orderly_stop_saves_if_all_are_told_in_time() {
    let t = Instant::now();
    let mut g = started(t);
    assert!(g.stop(0, s(2.0), s(1.0), t + s(4.0)));
    assert_eq!(
        parts(&g),
        [Some(GangTaskState::Saving), Some(GangTaskState::Running), Some(GangTaskState::Running)]
    );
    assert!(g.stop(1, s(2.0), s(1.0), t + s(5.0)) && g.stop(2, s(2.0), s(1.0), t + s(8.9)));
    g.poll(t + s(10.8));
    assert_eq!(parts(&g), [Some(GangTaskState::Saving); 3]);
    g.poll(t + s(10.9));
    assert_eq!(parts(&g), [ended(ExitReason::Stopped, Some(true)); 3]);
    assert_eq!(g.saved, 2.0, "progress stopped with the first stop");
}

#[test]
fn a_stop_that_is_not_orderly_saves_nothing() {
    let t = Instant::now();
    // One is not told in time.
    let mut g = started(t);
    assert!(g.stop(0, s(2.0), s(1.0), t + s(13.0)) && g.stop(1, s(9.0), s(1.0), t + s(14.0)));
    g.poll(t + s(18.0));
    let halted = ended(ExitReason::Stopped, Some(false));
    assert_eq!(parts(&g), [halted, halted, ended(ExitReason::PeersGone, None)]);
    assert_eq!(g.saved, 6.0);
    // Too little time to save, and a second stop without any.
    for grace in [1.9, 0.0] {
        let mut g = started(t);
        assert!(g.stop(0, s(2.0), s(1.0), t + s(4.0)));
        assert!(g.stop(0, s(1.0), s(1.0), t + s(4.0)), "it goes on saving");
        let task = if grace == 0.0 { 0 } else { 1 };
        assert!(!g.stop(task, s(grace), s(1.0), t + s(5.0)));
        g.poll(t + s(6.0));
        assert_eq!(g.task_state(2), ended(ExitReason::PeersGone, None));
        assert_eq!(g.saved, 0.0);
    }
}

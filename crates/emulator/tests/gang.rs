//! Checks the rules of gangs in the protocol document, without machines.

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

fn task_states(gang: &Gang) -> [Option<GangTaskState>; 3] {
    [gang.task_state(0), gang.task_state(1), gang.task_state(2)]
}

fn started(now: Instant) -> Gang {
    let mut g = gang(now);
    (0..3).for_each(|n| g.join(n, [1.0, 0.5, 1.0][n as usize], now));
    assert_eq!(task_states(&g), [Some(GangTaskState::Running); 3]);
    g
}

const fn ended(cause: ExitReason, saved: Option<bool>) -> Option<GangTaskState> {
    Some(GangTaskState::Ended(cause, saved))
}

#[test]
fn a_gang_starts_with_its_last_task_and_runs_at_the_speed_of_its_slowest() {
    let t = Instant::now();
    let mut g = gang(t);
    g.join(0, 1.0, t);
    g.join(1, 0.5, t + s(20.0));
    // A lost task is replaced before the gang is complete.
    g.lose_task(1, s(1.0), t + s(25.0));
    g.join(1, 0.5, t + s(28.0));
    assert_eq!(task_states(&g), [Some(GangTaskState::Waiting), Some(GangTaskState::Waiting), None]);
    g.join(2, 1.0, t + s(29.9));
    g.poll(t + s(69.8));
    assert_eq!(task_states(&g), [Some(GangTaskState::Running); 3]);
    assert_eq!(g.saved, 18.0, "a multiple of the interval");
    g.poll(t + s(70.0));
    assert_eq!(task_states(&g), [ended(ExitReason::Done, None); 3]);
    assert!(g.done);
}

#[test]
fn a_task_that_waits_too_long_exits_without_the_others() {
    let t = Instant::now();
    let mut g = gang(t);
    g.join(0, 1.0, t);
    g.join(1, 1.0, t + s(10.0));
    g.poll(t + s(30.0));
    assert_eq!(
        task_states(&g),
        [ended(ExitReason::GangIncomplete, None), Some(GangTaskState::Waiting), None]
    );
    g.join(2, 1.0, t + s(31.0));
    g.poll(t + s(39.0));
    assert_eq!(g.task_state(2), Some(GangTaskState::Waiting), "the task that exited does not count");
    assert!(!g.stop(2, s(10.0), s(1.0), t + s(39.5)), "a waiting task ends at once");
}

#[test]
fn a_lost_task_ends_the_others_and_progress_returns_to_the_checkpoint() {
    let t = Instant::now();
    let mut g = started(t);
    g.lose_task(1, s(3.0), t + s(15.0));
    g.poll(t + s(17.9));
    assert_eq!(task_states(&g), [Some(GangTaskState::Running), None, Some(GangTaskState::Running)]);
    g.poll(t + s(18.0));
    assert_eq!(
        task_states(&g),
        [ended(ExitReason::PeersGone, None), None, ended(ExitReason::PeersGone, None)]
    );
    assert_eq!(g.saved, 6.0);
    // A hung machine has the same effect, unless it works again before the others detect the hang.
    let mut g = started(t);
    g.set_hung(0, Some(s(4.0)), t);
    g.set_hung(0, None, t + s(3.0));
    g.poll(t + s(10.0));
    assert_eq!(g.task_state(1), Some(GangTaskState::Running));
    g.set_hung(0, Some(s(4.0)), t + s(10.0));
    g.poll(t + s(14.0));
    assert_eq!(task_states(&g), [ended(ExitReason::PeersGone, None); 3]);
}

#[test]
fn progress_is_saved_when_all_tasks_are_stopped_in_time() {
    let t = Instant::now();
    let mut g = started(t);
    assert!(g.stop(0, s(2.0), s(1.0), t + s(4.0)));
    assert_eq!(
        task_states(&g),
        [Some(GangTaskState::Saving), Some(GangTaskState::Running), Some(GangTaskState::Running)]
    );
    assert!(g.stop(1, s(2.0), s(1.0), t + s(5.0)) && g.stop(2, s(2.0), s(1.0), t + s(8.9)));
    g.poll(t + s(10.8));
    assert_eq!(task_states(&g), [Some(GangTaskState::Saving); 3]);
    g.poll(t + s(10.9));
    assert_eq!(task_states(&g), [ended(ExitReason::Stopped, Some(true)); 3]);
    assert_eq!(g.saved, 2.0, "there is no progress after the first stop");
}

#[test]
fn progress_is_lost_when_a_task_is_stopped_late_or_without_time_to_save() {
    let t = Instant::now();
    // One task is not stopped in time.
    let mut g = started(t);
    assert!(g.stop(0, s(2.0), s(1.0), t + s(13.0)) && g.stop(1, s(9.0), s(1.0), t + s(14.0)));
    g.poll(t + s(18.0));
    let stopped_unsaved = ended(ExitReason::Stopped, Some(false));
    assert_eq!(task_states(&g), [stopped_unsaved, stopped_unsaved, ended(ExitReason::PeersGone, None)]);
    assert_eq!(g.saved, 6.0);
    // A stop with too little time to save, and a second stop without grace time.
    for grace in [1.9, 0.0] {
        let mut g = started(t);
        assert!(g.stop(0, s(2.0), s(1.0), t + s(4.0)));
        assert!(g.stop(0, s(1.0), s(1.0), t + s(4.0)), "it continues to save");
        let task = if grace == 0.0 { 0 } else { 1 };
        assert!(!g.stop(task, s(grace), s(1.0), t + s(5.0)));
        g.poll(t + s(6.0));
        assert_eq!(g.task_state(2), ended(ExitReason::PeersGone, None));
        assert_eq!(g.saved, 0.0);
    }
}

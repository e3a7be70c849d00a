//! The days that are played.

use super::machines::CANCEL_MS;
use super::troubles::{Trouble, Who};
use super::*;

/// Days that CI plays.
const DAYS: std::ops::Range<u64> = 0..8;
const COMBINATIONS: usize = 3;

fn day(seed: u64) -> Day {
    Day {
        seed,
        events: troubles::draw(seed, COMBINATIONS),
        sabotage: Sabotage::None,
        calm_ms: CALM_MS,
        drains: false,
    }
}

fn at(at: u64, trouble: Trouble) -> Event {
    Event { at, trouble }
}

/// The days that are asked for, if any are.
pub(super) fn days() -> Option<std::ops::Range<u64>> {
    let text = std::env::var("SAGELOOM_SIM_SEEDS").ok()?;
    let (from, to) = text.split_once("..").expect("FROM..TO");
    Some(from.parse().expect("a number")..to.parse().expect("a number"))
}

/// No rule breaks when troubles meet.
#[test]
fn no_rule_breaks_when_troubles_meet() {
    let days = days().unwrap_or(DAYS);
    if std::env::var("SAGELOOM_SIM_LOG").is_ok() {
        show_log();
    }
    let (mut failed, mut started, mut late) = (Vec::new(), 0, 0);
    for seed in days.clone() {
        let day = day(seed);
        let outcome = play(&day);
        started += outcome.started;
        late += outcome.late_starts;
        println!(
            "seed {seed}: {} starts, {} jobs done, {} cancelled, {} starts soon after a cancellation, {:?}",
            outcome.started, outcome.done, outcome.cancelled, outcome.late_starts, outcome.broken
        );
        if let Some(rule) = outcome.broken.keys().next() {
            if std::env::var("SAGELOOM_SIM_TRACE").is_ok() {
                outcome.trace.iter().for_each(|line| println!("{line}"));
            } else {
                println!("seed {seed} breaks {rule}; it takes: {:#?}", shrink(&day, rule).events);
            }
            failed.push((seed, outcome.broken));
        }
    }
    println!("{} days played, {started} starts, {late} soon after a cancellation", days.count());
    assert!(failed.is_empty(), "{failed:#?}");
}

/// The state service refuses the leader alone, jobs are called off through the others, and
/// then it is out for all, for longer than a cancellation may take. The leader goes on
/// renewing leases only as far as its peers tell it of what was cancelled.
#[test]
fn cancellations_reach_a_leader_that_was_refused_before_an_outage() {
    for seed in 0..3 {
        let refused = Trouble::Refused { who: Who::Leader, for_ms: 2400, then_all_ms: CANCEL_MS + 6000 };
        // By then there are replicas, which would go on.
        let events = vec![at(45_000, refused), at(46_000, Trouble::CancelNow { count: 40, hang_ms: 0 })];
        let outcome = play(&Day { seed, events, sabotage: Sabotage::None, calm_ms: 0, drains: false });
        assert!(outcome.broken.is_empty(), "seed {seed}: {:?}", outcome.broken);
    }
}

/// Whether the checker finds what is broken on purpose.
fn finds(rule: &str, sabotage: Sabotage, events: &[Event], calm_ms: u64) {
    let found = |seed| {
        let day = Day { seed, events: events.to_vec(), sabotage, calm_ms, drains: false };
        play(&day).broken.contains_key(rule)
    };
    assert!((0..8).any(found), "{sabotage:?}: {rule}");
}

/// Users call off what runs, or jobs come beyond all limits.
fn cancel() -> Event {
    at(18_000, Trouble::CancelNow { count: 8, hang_ms: 0 })
}

fn burst() -> Event {
    at(9000, Trouble::Burst { count: 30 })
}

#[test]
fn the_checker_finds_what_machines_do_against_the_rules() {
    let hang = at(17_500, Trouble::Hang { count: 9, for_ms: 20_000 });
    finds("ran_twice", Sabotage::Released, &[hang], 0);
    // Beyond their leases, too, while nothing reaches them.
    let deaf = at(17_500, Trouble::Deaf { count: 9, for_ms: CANCEL_MS + 15_000 });
    finds("ran_cancelled", Sabotage::Leases, &[deaf, cancel()], 0);
    finds("ran_cancelled", Sabotage::Stops, &[cancel()], CANCEL_MS);
    finds("started_cancelled", Sabotage::Again, &[], CANCEL_MS);
    let more = at(25_000, Trouble::Burst { count: 30 });
    finds("wrong_place", Sabotage::Kind, &[burst(), more], CANCEL_MS);
    finds("nothing_ran", Sabotage::Starts, &[], 0);
}

#[test]
fn the_checker_finds_wrong_answers() {
    finds("not_done", Sabotage::Done, &[], 0);
    finds("forgotten", Sabotage::Forget, &[], 10_000);
    finds("forgotten", Sabotage::Unknown, &[], 0);
    finds("went_back", Sabotage::Flip, &[cancel()], 10_000);
    finds("went_back", Sabotage::Called, &[], 0);
    finds("invented", Sabotage::Invent, &[], 10_000);
    finds("took_odd", Sabotage::Odd, &[at(15_000, Trouble::OddRequests { for_ms: 10_000 })], 0);
}

#[test]
fn the_checker_finds_what_is_late_or_too_much() {
    finds("quota", Sabotage::Limit, &[burst()], 0);
    finds("too_early", Sabotage::Needs, &[burst()], 0);
    finds("orphaned", Sabotage::Needs, &[burst(), cancel()], CANCEL_MS * 2);
    // Once all troubles are over.
    finds("waited", Sabotage::Starts, &[], CALM_MS);
    finds("forgotten", Sabotage::Mute, &[], CALM_MS);
}

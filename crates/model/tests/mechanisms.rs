//! Small sizes in full, and the table of mechanisms: with any of them taken away a rule
//! is broken. Times are as short as they can be, so that this takes seconds.

use model::explore::{Limits, Outcome, explore};
use model::mechanism::Mechanism::{self, *};
use model::mechanism::Without;
use model::size::*;
use model::state::Rule::{self, *};
use model::steps::World;

const LIMITS: Limits = Limits { threads: 3, states: 1_900_000 };

const ASKS: Size = quick(Size { restarts: 0, partial: false, ..RENEWAL });
const FORGETS: Size = Size { restarts: 1, ..ASKS };
const PARTIAL: Size = Size { partial: true, ..ASKS };
const ASKS_TWO: Size = Size { controllers: 3, asks: &[(0, 1), (0, 2)], ..ASKS };
const ANEW: Size = quick(READING_ANEW);
const SENDS: Size = quick(COMMANDS_LATE);
const LATE: Size = Size { request: 1, cancel: 2, ..SENDS };
const HANDS_OVER: Size = quick(HANDOVER);
const MOVES: Size = MOVING;
const OWNS: Size = Size { drift: 0, ..OWNERS };
const ANSWERS_LATE: Size = Size { response: 1, ..ASKS };
const READS_LATE: Size = READING_LATE;

fn run(size: Size, without: Without) -> Outcome<World> {
    explore(World { size, without }, LIMITS)
}

/// What is taken away, where, which rule breaks, and in how many steps at the least.
const TABLE: &[(Mechanism, Size, Rule, usize)] = &[
    (TokenCheck, MOVES, RanTwice, 16),
    (LaterToken, MOVES, RanTwice, 13),
    (LeaseSlack, MOVES, RanTwice, 11),
    (RecordFirst, MOVES, RanTwice, 12),
    (EndedStays, MOVES, RanTwice, 12),
    (EpochFence, OWNS, RanTwice, 13),
    (LeaseToken, OWNS, RanTwice, 14),
    (NewOwnerForgets, OWNERS_AGAIN, RanTwice, 14),
    (TrustedReport, LATE_REPORT, RanTwice, 13),
    (LeaseFromSend, ANSWERS_LATE, RanCancelled, 7),
    (LaunchBound, SENDS, RanCancelled, 9),
    (StopWithAnswer, LATE, RanCancelled, 15),
    (StopUnseen, LATE, RanCancelled, 14),
    (FirstAnswerStops, HANDS_OVER, RanCancelled, 9),
    (ConfirmCommitted, ASKS, WentBack, 1),
    (RenewalBound, ASKS, RanCancelled, 7),
    (NotBySilence, ASKS, RanCancelled, 7),
    (ReadIndex, ASKS, RanCancelled, 9),
    (Nonce, ASKS, RanCancelled, 10),
    (AskTime, ASKS, RanCancelled, 9),
    (Complete, PARTIAL, RanCancelled, 9),
    (AllPeers, ASKS_TWO, RanCancelled, 9),
    (Incarnation, FORGETS, RanCancelled, 11),
    (Unread, FORGETS, RanCancelled, 10),
    (EverRead, ANEW, RanCancelled, 10),
    (RereadKeeps, ANEW, RanCancelled, 11),
    (NewerWins, READS_LATE, RanCancelled, 12),
];

#[test]
fn with_all_mechanisms_no_rule_breaks() {
    for size in [ASKS, FORGETS, PARTIAL, ANEW, SENDS, LATE, HANDS_OVER] {
        let outcome = run(size, Without::default());
        println!("{}: {} states, depth {}, {:?}", size.name, outcome.states, outcome.depth, outcome.took);
        assert!(outcome.whole, "{} states of {size:?}", outcome.states);
        assert!(outcome.broken.is_none(), "{:?}", outcome.broken);
    }
}

#[test]
fn each_mechanism_is_needed() {
    for &(mechanism, size, rule, steps) in TABLE {
        let outcome = run(size, Without::one(mechanism));
        let found = outcome.broken.as_ref().map(|(r, way)| (*r, way.len()));
        println!("{mechanism:?} in {}: {found:?}, {} states, {:?}", size.name, outcome.states, outcome.took);
        assert_eq!(found, Some((rule, steps)), "without {mechanism:?}");
    }
}

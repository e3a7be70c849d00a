//! Explores small sizes in full, and checks that removing any mechanism violates an invariant.
//!
//! Times are the shortest possible, so that a run takes seconds.

use model::explore::{Limits, Outcome, explore};
use model::mechanism::Mechanism::{self, *};
use model::mechanism::Mechanisms;
use model::size::*;
use model::state::Invariant::{self, *};
use model::steps::ProtocolModel;

const LIMITS: Limits = Limits { threads: 3, states: 1_900_000 };

const READ_INDEX: Size = with_shortest_times(Size { restarts: 0, partial_answers: false, ..RENEWAL });
const PEER_RESTARTS: Size = Size { restarts: 1, ..READ_INDEX };
const PARTIAL_ANSWERS: Size = Size { partial_answers: true, ..READ_INDEX };
const TWO_PEERS: Size = Size { controllers: 3, read_index_pairs: &[(0, 1), (0, 2)], ..READ_INDEX };
const REREAD: Size = with_shortest_times(READING_ANEW);
const SENT_COMMANDS: Size = with_shortest_times(COMMANDS_LATE);
const SLOW_COMMANDS: Size = Size { command_timeout: 1, cancel_limit: 2, ..SENT_COMMANDS };
const QUICK_HANDOVER: Size = with_shortest_times(HANDOVER);
const ONE_OWNER: Size = MOVING;
const TWO_OWNERS: Size = Size { clock_drift: 0, ..OWNERS };
const SLOW_ANSWERS: Size = Size { answer_timeout: 1, ..READ_INDEX };
const SLOW_READS: Size = READING_LATE;

fn explore_size(size: Size, mechanisms: Mechanisms) -> Outcome<ProtocolModel> {
    explore(ProtocolModel { size, mechanisms }, LIMITS)
}

/// The removed mechanism, the size, the invariant that is violated, and the fewest steps to it.
const TABLE: &[(Mechanism, Size, Invariant, usize)] = &[
    (TokenCheck, ONE_OWNER, RunsAtMostOnce, 16),
    (AbsenceNeedsLaterToken, ONE_OWNER, RunsAtMostOnce, 13),
    (LeaseSlack, ONE_OWNER, RunsAtMostOnce, 11),
    (CommitBeforeLaunch, ONE_OWNER, RunsAtMostOnce, 12),
    (NoLaunchAfterEnd, ONE_OWNER, RunsAtMostOnce, 12),
    (EpochFence, TWO_OWNERS, RunsAtMostOnce, 13),
    (LeaseToken, TWO_OWNERS, RunsAtMostOnce, 14),
    (ResetOnReacquire, OWNERS_AGAIN, RunsAtMostOnce, 14),
    (TrustedReport, LATE_REPORT, RunsAtMostOnce, 13),
    (LeaseFromSend, SLOW_ANSWERS, CancelledTaskStops, 7),
    (LaunchBound, SENT_COMMANDS, CancelledTaskStops, 9),
    (StopWithAnswer, SLOW_COMMANDS, CancelledTaskStops, 15),
    (StopUnreported, SLOW_COMMANDS, CancelledTaskStops, 14),
    (NonOwnerStops, QUICK_HANDOVER, CancelledTaskStops, 9),
    (ConfirmCommitted, READ_INDEX, CancellationIsFinal, 1),
    (RenewalBound, READ_INDEX, CancelledTaskStops, 7),
    (NoRenewalByOutage, READ_INDEX, CancelledTaskStops, 7),
    (ReadIndex, READ_INDEX, CancelledTaskStops, 9),
    (Nonce, READ_INDEX, CancelledTaskStops, 10),
    (AgeFromRequest, READ_INDEX, CancelledTaskStops, 9),
    (CompleteAnswer, PARTIAL_ANSWERS, CancelledTaskStops, 9),
    (AllPeers, TWO_PEERS, CancelledTaskStops, 9),
    (KnownIncarnation, PEER_RESTARTS, CancelledTaskStops, 11),
    (UnreadPeerCheck, PEER_RESTARTS, CancelledTaskStops, 10),
    (ReadSinceStart, REREAD, CancelledTaskStops, 10),
    (RereadKeepsNewer, REREAD, CancelledTaskStops, 11),
    (NewerRecordWins, SLOW_READS, CancelledTaskStops, 12),
];

#[test]
fn invariants_hold_when_no_mechanism_is_removed() {
    for size in
        [READ_INDEX, PEER_RESTARTS, PARTIAL_ANSWERS, REREAD, SENT_COMMANDS, SLOW_COMMANDS, QUICK_HANDOVER]
    {
        let outcome = explore_size(size, Mechanisms::default());
        println!("{}: {} states, depth {}, {:?}", size.name, outcome.states, outcome.depth, outcome.duration);
        assert!(outcome.within_limit, "{} states of {size:?}", outcome.states);
        assert!(outcome.violation.is_none(), "{:?}", outcome.violation);
    }
}

#[test]
fn an_invariant_is_violated_when_any_mechanism_is_removed() {
    for &(mechanism, size, invariant, steps) in TABLE {
        let outcome = explore_size(size, Mechanisms::all_except(mechanism));
        let found = outcome.violation.as_ref().map(|(invariant, trace)| (*invariant, trace.len()));
        println!(
            "{mechanism:?} in {}: {found:?}, {} states, {:?}",
            size.name, outcome.states, outcome.duration
        );
        assert_eq!(found, Some((invariant, steps)), "without {mechanism:?}");
    }
}

//! How an assignment ended, as controllers tell each other.

use sched::records::TerminationReason;

/// All ways to end, with their codes.
const CODES: [(TerminationReason, u8); 6] = [
    (TerminationReason::Done, 0),
    (TerminationReason::Stopped, 1),
    (TerminationReason::Error, 2),
    (TerminationReason::Lost, 3),
    (TerminationReason::Rejected, 4),
    (TerminationReason::GangIncomplete, 5),
];

#[test]
fn every_end_has_its_code() {
    for (end, code) in CODES {
        assert_eq!(end.code(), code, "{end:?}");
        assert_eq!(TerminationReason::from_code(code), Some(end), "{code}");
    }
}

#[test]
fn other_codes_are_of_no_end() {
    for code in 6..=u8::MAX {
        assert_eq!(TerminationReason::from_code(code), None, "{code}");
    }
}

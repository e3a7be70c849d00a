//! The codes of termination reasons in messages between controllers.

use sched::records::TerminationReason;

/// All termination reasons with their codes.
const CODES: [(TerminationReason, u8); 6] = [
    (TerminationReason::Done, 0),
    (TerminationReason::Stopped, 1),
    (TerminationReason::Error, 2),
    (TerminationReason::Lost, 3),
    (TerminationReason::Rejected, 4),
    (TerminationReason::GangIncomplete, 5),
];

#[test]
fn every_termination_reason_has_a_fixed_code() {
    for (reason, code) in CODES {
        assert_eq!(reason.code(), code, "{reason:?}");
        assert_eq!(TerminationReason::from_code(code), Some(reason), "{code}");
    }
}

#[test]
fn unknown_codes_have_no_termination_reason() {
    for code in 6..=u8::MAX {
        assert_eq!(TerminationReason::from_code(code), None, "{code}");
    }
}

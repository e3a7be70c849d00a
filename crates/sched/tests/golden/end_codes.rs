//! How an assignment ended, as controllers tell each other.

use sched::records::End;

/// All ways to end, with their codes.
const CODES: [(End, u8); 6] =
    [(End::Done, 0), (End::Stopped, 1), (End::Error, 2), (End::Lost, 3), (End::Refused, 4), (End::Alone, 5)];

#[test]
fn every_end_has_its_code() {
    for (end, code) in CODES {
        assert_eq!(end.code(), code, "{end:?}");
        assert_eq!(End::from_code(code), Some(end), "{code}");
    }
}

#[test]
fn other_codes_are_of_no_end() {
    for code in 6..=u8::MAX {
        assert_eq!(End::from_code(code), None, "{code}");
    }
}

use std::time::Duration;

use super::*;

#[test]
fn a_later_epoch_supersedes_until_its_cluster_map_is_known() {
    let now = Instant::now();
    let mut shown = ShownEpoch::default();
    assert!(!shown.note(4, 4, None, now) && !shown.supersedes(4, None));
    assert!(shown.note(6, 4, None, now), "it is reported once");
    assert!(!shown.note(6, 4, None, now) && !shown.note(5, 4, None, now));
    let read_before = Some(now - Duration::from_millis(1));
    assert!(shown.supersedes(4, None) && shown.supersedes(5, read_before));
    assert!(!shown.supersedes(6, None) && !shown.supersedes(7, None));
}

/// Guards against a worker with a corrupted token that stops controllers for good.
#[test]
fn an_epoch_that_a_later_read_does_not_show_supersedes_nothing() {
    let now = Instant::now();
    let at = |ms| Some(now + Duration::from_millis(ms));
    let mut shown = ShownEpoch::default();
    assert!(shown.note(1 << 40, 4, at(0), now));
    assert!(shown.supersedes(4, at(0)), "the read may have begun before the epoch");
    assert!(!shown.supersedes(4, at(1)));
    assert!(!shown.note(1 << 40, 4, at(1), now + Duration::from_millis(2)), "shown again");
    assert!(!shown.supersedes(4, at(1)));
    assert!(shown.note(5, 4, at(1), now + Duration::from_millis(3)), "a real one counts");
    assert!(shown.supersedes(4, at(1)) && !shown.supersedes(5, at(1)));
}

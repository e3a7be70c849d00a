use super::*;

#[test]
fn changes_by_purpose_are_reset_when_taken() {
    let counters = LoadCounters::default();
    counters.count_changes(Purpose::Scheduling, 3);
    counters.count_changes(Purpose::Autoscaler, 1);
    counters.count_changes(Purpose::Scheduling, 2);
    assert_eq!(
        counters.take_changes(),
        "scheduling 5, users 0, members 0, machines 0, autoscaler 1, chunks 0, drains 0"
    );
    assert_eq!(
        counters.take_changes(),
        "scheduling 0, users 0, members 0, machines 0, autoscaler 0, chunks 0, drains 0"
    );
}

/// Guards against a log that is filled by clients whose requests are refused.
#[test]
fn refusals_are_counted_by_status_and_the_first_ones_are_logged() {
    let counters = LoadCounters::default();
    let logged = (0..MAX_LOGGED_REFUSALS + 5).filter(|_| counters.count_refusal(404)).count();
    assert_eq!(logged as u64, MAX_LOGGED_REFUSALS);
    assert!(counters.count_refusal(400), "another status");
    assert!(!counters.count_refusal(503), "clients repeat the request");
    assert_eq!(counters.take_refusals(), format!("400: 1, 404: {}, 422: 0", MAX_LOGGED_REFUSALS + 5));
    assert!(counters.count_refusal(404));
}

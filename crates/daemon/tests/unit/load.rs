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

use super::*;

#[test]
fn changes_are_told_by_purpose_once() {
    let counts = LoadCounters::default();
    counts.spend(Purpose::Scheduling, 3);
    counts.spend(Purpose::Autoscaler, 1);
    counts.spend(Purpose::Scheduling, 2);
    assert_eq!(
        counts.take_changes(),
        "scheduling 5, users 0, members 0, machines 0, autoscaler 1, chunks 0, drains 0"
    );
    assert_eq!(
        counts.take_changes(),
        "scheduling 0, users 0, members 0, machines 0, autoscaler 0, chunks 0, drains 0"
    );
}

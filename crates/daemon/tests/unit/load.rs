use super::*;

#[test]
fn changes_are_told_by_purpose_once() {
    let counts = LoadCounters::default();
    counts.spend(Purpose::Rounds, 3);
    counts.spend(Purpose::Fleet, 1);
    counts.spend(Purpose::Rounds, 2);
    assert_eq!(counts.take_changes(), "rounds 5, users 0, members 0, machines 0, fleet 1, parts 0, drains 0");
    assert_eq!(counts.take_changes(), "rounds 0, users 0, members 0, machines 0, fleet 0, parts 0, drains 0");
}

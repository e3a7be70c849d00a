use super::*;
use crate::worker::tests::spec;

#[test]
fn room_made_for_an_array_stays_its_own_until_its_tasks_are_placed() {
    let on = |task, machine: &str| Assignment { task, attempt: 1, machine: machine.into(), want: Want::Run };
    let made = || ["a", "a", "b", "c"].map(Name::from).to_vec();
    let placed = [on(0, "a"), on(1, "x")];
    let mut left = still_held(made(), &placed, 9);
    left.sort_unstable();
    assert_eq!(left.iter().map(|m| &**m).collect::<Vec<_>>(), ["a", "b", "c"]);
    assert_eq!(still_held(made(), &placed, 1).len(), 1);
    assert!(still_held(made(), &placed, 0).is_empty());
}

#[test]
fn steps_with_time_left_do_not_stop_others_at_once() {
    let mut s = spec("j-1", JobKind::Array);
    (s.estimate_s, s.deadline_s) = (10.0, Some(60.0));
    let mut job = JobRecord::new(s, None, 0);
    assert!(!is_patient(&job, 1000), "not a step of a pipeline");
    job.accepted_ms = 1;
    assert!(!is_patient(&job, 1000), "the last step");
    job.urgency.priority = Some(wire::Priority::High);
    assert!(is_patient(&job, 1000));
    assert!(!is_patient(&job, PATIENCE_MS), "it has waited");
    job.urgency.done_by_ms = Some(20_000);
    assert!(!is_patient(&job, 1000), "those after it would be late");
}

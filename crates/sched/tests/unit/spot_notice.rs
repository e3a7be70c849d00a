use super::*;
use crate::placement::tests::{add, spec, world};

#[test]
fn what_saves_in_time_stops_and_what_cannot_save_runs_on() {
    let mut s = spec("j-1", JobKind::Array, 2);
    let left = Duration::from_secs(8);
    assert!(!stops(&s, left), "it never saves");
    (s.checkpoint_interval_s, s.checkpoint_save_s) = (10.0, 5.0);
    assert!(stops(&s, left));
    assert!(!stops(&s, Duration::from_secs(5)), "too late to save");
    s.kind = JobKind::Service;
    assert!(stops(&s, Duration::ZERO));
}

#[test]
fn a_gang_stops_as_a_whole_and_once() {
    let mut w = world(&[("a1", "m", "a", true), ("a2", "m", "a", true)]);
    add(&mut w, spec("j-1", JobKind::Gang, 2), &[(0, "a1"), (1, "a2")]);
    let mut job = w.jobs["j-1"].value.as_ref().clone();
    assert!(mark(&mut job, 0));
    assert!(job.assignments.iter().all(|a| a.desired == DesiredState::Stopped));
    assert!(!mark(&mut job, 1));
}

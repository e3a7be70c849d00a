use super::*;
use crate::placement::tests::{add_job, replica_with, spec};

#[test]
fn tasks_that_save_in_time_stop_and_those_that_cannot_run_on() {
    let mut s = spec("j-1", JobKind::Array, 2);
    let left = Duration::from_secs(8);
    assert!(!should_stop(&s, left), "it never saves");
    (s.checkpoint_interval_s, s.checkpoint_save_s) = (10.0, 5.0);
    assert!(should_stop(&s, left));
    assert!(!should_stop(&s, Duration::from_secs(5)), "too late to save");
    s.kind = JobKind::Service;
    assert!(should_stop(&s, Duration::ZERO));
}

#[test]
fn a_gang_stops_as_a_whole_and_once() {
    let mut w = replica_with(&[("a1", "m", "a", true), ("a2", "m", "a", true)]);
    add_job(&mut w, spec("j-1", JobKind::Gang, 2), &[(0, "a1"), (1, "a2")]);
    let mut job = w.jobs["j-1"].value.as_ref().clone();
    assert!(mark_to_stop(&mut job, 0));
    assert!(job.assignments.iter().all(|a| a.desired == DesiredState::Stopped));
    assert!(!mark_to_stop(&mut job, 1));
}

use super::*;
use crate::placement::tests::{add_job, replica_with, spec};

#[test]
fn tasks_that_can_save_in_time_stop_and_others_keep_running() {
    let mut job_spec = spec("j-1", JobKind::Array, 2);
    let time_left = Duration::from_secs(8);
    assert!(!should_stop(&job_spec, time_left), "the task saves no checkpoints");
    (job_spec.checkpoint_interval_s, job_spec.checkpoint_save_s) = (10.0, 5.0);
    assert!(should_stop(&job_spec, time_left));
    assert!(!should_stop(&job_spec, Duration::from_secs(5)), "too late to save");
    job_spec.kind = JobKind::Service;
    assert!(should_stop(&job_spec, Duration::ZERO));
}

#[test]
fn a_gang_is_marked_to_stop_as_a_whole_and_only_once() {
    let mut replica = replica_with(&[("a1", "m", "a", true), ("a2", "m", "a", true)]);
    add_job(&mut replica, spec("j-1", JobKind::Gang, 2), &[(0, "a1"), (1, "a2")]);
    let mut job = replica.jobs["j-1"].value.as_ref().clone();
    assert!(mark_to_stop(&mut job, 0));
    assert!(job.assignments.iter().all(|a| a.desired == DesiredState::Stopped));
    assert!(!mark_to_stop(&mut job, 1));
}

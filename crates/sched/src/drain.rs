//! What is stopped on a machine that the cloud will soon take away.

use std::time::Duration;

use wire::{JobKind, JobSpec};

use crate::records::{JobRecord, Want};

/// For commands to arrive, and for a gang's tasks to be told within one another.
const MARGIN: Duration = Duration::from_secs(1);

/// Whether a task should be stopped now, with so much time left on its machine.
/// A service gets its next place at once; what can save its progress does so
/// while there is time. The rest runs on: it loses nothing by it and may finish.
pub fn stops(spec: &JobSpec, left: Duration) -> bool {
    let saves = spec.checkpoint_s > 0.0;
    let save = wire::seconds(spec.save_s.min(3600.0));
    match spec.kind {
        JobKind::Service => true,
        JobKind::Array | JobKind::Gang => saves && left >= save + MARGIN,
    }
}

/// Marks what has to stop; all of a gang together. True if anything changed.
pub fn mark(job: &mut JobRecord, task: u32) -> bool {
    let gang = job.spec.as_ref().is_some_and(|s| s.kind == JobKind::Gang);
    let mut changed = false;
    for a in job.run.iter_mut().filter(|a| gang || a.task == task) {
        changed |= a.want == Want::Run;
        a.want = Want::Stop;
    }
    changed
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::placement::tests::{add, spec, world};

    #[test]
    fn what_saves_in_time_stops_and_what_cannot_save_runs_on() {
        let mut s = spec("j-1", JobKind::Array, 2);
        let left = Duration::from_secs(8);
        assert!(!stops(&s, left), "it never saves");
        (s.checkpoint_s, s.save_s) = (10.0, 5.0);
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
        assert!(job.run.iter().all(|a| a.want == Want::Stop));
        assert!(!mark(&mut job, 1));
    }
}

//! Whether a machine fails the tasks that it is given.

use sched::hash::HashSet;
use sched::records::TerminationReason;

/// So many failures in a row make a machine unhealthy …
const MIN_UNHEALTHY_FAILURES: u32 = 2;
/// … if they are of so many jobs.
const MIN_UNHEALTHY_JOBS: usize = 2;

/// The tasks that failed on a machine since the last that completed.
#[derive(Debug, Default)]
pub(super) struct TaskFailures {
    count: u32,
    jobs: HashSet<String>,
}

impl TaskFailures {
    /// Whether the machine fails the tasks of several jobs, as opposed to a job that fails on every
    /// machine.
    pub(super) fn is_unhealthy(&self) -> bool {
        self.count >= MIN_UNHEALTHY_FAILURES && self.jobs.len() >= MIN_UNHEALTHY_JOBS
    }

    /// Notes how a task of a job has ended.
    pub(super) fn note_termination(&mut self, job: &str, reason: TerminationReason) {
        match reason {
            TerminationReason::Done => {
                self.count = 0;
                self.jobs.clear();
            }
            TerminationReason::Error => {
                self.count += 1;
                self.jobs.insert(job.to_owned());
            }
            TerminationReason::Stopped
            | TerminationReason::Rejected
            | TerminationReason::Lost
            | TerminationReason::GangIncomplete => {}
        }
    }
}

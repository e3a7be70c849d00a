//! Detects machines on which tasks of several jobs fail.

use sched::hash::HashSet;
use sched::records::TerminationReason;

/// Minimum number of failures in a row for a machine to be unhealthy.
const MIN_UNHEALTHY_FAILURES: u32 = 2;
/// Minimum number of jobs that these failures have to belong to.
const MIN_UNHEALTHY_JOBS: usize = 2;

/// The failures of tasks on a machine since the last task that completed there.
#[derive(Debug, Default)]
pub(super) struct TaskFailures {
    count: u32,
    jobs: HashSet<String>,
}

impl TaskFailures {
    /// Whether tasks of several jobs fail on the machine, as opposed to one job that fails on every
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

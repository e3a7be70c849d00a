//! The log lines of a committed scheduling cycle.

use sched::preempt::Victim;
use sched::records::{Name, TerminationReason};
use sched::rescheduler::Eviction;
use tracing::{debug, info};

use crate::load::sample_names;

/// A decision that is logged once its cycle is committed.
pub(crate) enum SchedulingEvent {
    /// Tasks of a job were assigned to machines.
    Placed { job: String, tasks: usize, attempt: u64 },
    /// An assignment has ended.
    Terminated { job: String, task: u32, attempt: u64, reason: TerminationReason },
    /// A task is stopped to free capacity for the job `by`.
    Preempted { by: String, victim: Victim },
    /// A replica is stopped by the rescheduler.
    Evicted(Eviction),
    /// A task is stopped because its spot machine was given notice.
    SpotNotice { job: String, task: u32, machine: Name },
    /// A job that its shard cannot place is handed over to the leader.
    Escalated { job: String },
    /// A job is cancelled because a job that it depends on was cancelled.
    CancelledByDependency { job: String },
}

impl SchedulingEvent {
    /// The job whose record the event changes.
    pub(crate) fn job(&self) -> &str {
        match self {
            Self::Placed { job, .. }
            | Self::Terminated { job, .. }
            | Self::SpotNotice { job, .. }
            | Self::Escalated { job }
            | Self::CancelledByDependency { job } => job,
            Self::Preempted { victim, .. } => &victim.job,
            Self::Evicted(eviction) => &eviction.job,
        }
    }

    fn log(&self) {
        match self {
            Self::Placed { job, tasks, attempt } => debug!(job, tasks, attempt, "placed"),
            Self::Terminated { job, task, attempt, reason } => {
                debug!(job, task, attempt, ?reason, "terminated");
            }
            Self::Preempted { by, victim } => {
                let Victim { job, task, attempt, machine, .. } = victim;
                debug!(job, task, attempt, machine = &**machine, by, "preempted");
            }
            Self::Evicted(Eviction { job, task, machine, reason }) => {
                info!(job, task, machine = &**machine, reason, "evicted");
            }
            Self::SpotNotice { job, task, machine } => {
                debug!(job, task, machine = &**machine, "stopping on spot notice");
            }
            Self::CancelledByDependency { job } => debug!(job, "cancelled by dependency"),
            Self::Escalated { job } => debug!(job, "escalated to the leader"),
        }
    }
}

/// Logs the events of a cycle: each one at debug level, and frequent kinds also as one info line
/// with their count and a few names.
pub(super) fn log_events<'a>(events: impl Iterator<Item = &'a SchedulingEvent>) {
    let (mut lost, mut failed) = (Vec::new(), Vec::new());
    let (mut preempted, mut spot_noticed) = (Vec::new(), Vec::new());
    for event in events {
        event.log();
        match event {
            SchedulingEvent::Terminated { job, task, reason: TerminationReason::Lost, .. } => {
                lost.push(format!("{job}/{task}"));
            }
            SchedulingEvent::Terminated { job, task, reason: TerminationReason::Error, .. } => {
                failed.push(format!("{job}/{task}"));
            }
            SchedulingEvent::Preempted { by, victim } => {
                preempted.push(format!("{}/{} by {by}", victim.job, victim.task));
            }
            SchedulingEvent::SpotNotice { job, task, .. } => spot_noticed.push(format!("{job}/{task}")),
            _ => {}
        }
    }
    let kinds = [
        (lost, "tasks lost"),
        (failed, "tasks failed"),
        (preempted, "preempted"),
        (spot_noticed, "stopping on spot notice"),
    ];
    for (tasks, message) in kinds.into_iter().filter(|(tasks, _)| !tasks.is_empty()) {
        info!(count = tasks.len(), tasks = sample_names(&tasks), "{message}");
    }
}

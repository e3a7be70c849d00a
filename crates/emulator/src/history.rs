//! The events on the workers in the order in which they happened. Tests check the rules against
//! them, independently of the controllers' records.

use std::time::Instant;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskEventKind {
    /// The task started to run.
    Running,
    /// The machine received a stop command while the task was running.
    StopCommanded,
    /// The task exited or was lost with its machine's lease or the machine itself.
    Ended,
}

/// An event of one attempt of a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskEvent {
    pub at: Instant,
    pub machine: String,
    pub task: String,
    pub attempt: u64,
    pub kind: TaskEventKind,
}

/// The events of all machines. Recording is off by default, because a site that runs for days
/// would accumulate too many.
#[derive(Debug, Default)]
pub struct History {
    events: Option<Vec<TaskEvent>>,
}

impl History {
    /// Starts to record events.
    pub fn start_recording(&mut self) {
        self.events.get_or_insert_default();
    }

    pub(crate) fn extend(&mut self, events: impl IntoIterator<Item = TaskEvent>) {
        if let Some(kept) = &mut self.events {
            kept.extend(events);
        }
    }

    /// The events since recording started.
    pub fn events(&self) -> &[TaskEvent] {
        self.events.as_deref().unwrap_or_default()
    }
}

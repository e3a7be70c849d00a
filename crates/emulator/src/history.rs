//! What the workers themselves did, in the order in which they did it: what a test holds
//! against the rules, whatever the controllers' records say.

use std::time::Instant;

/// What happened to a task on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskEventKind {
    /// It runs from now on.
    Running,
    /// The machine was told to stop it, and it ran until then.
    StopCommanded,
    /// It is no longer on the machine.
    Ended,
}

/// Something that happened to one attempt of a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskEvent {
    pub at: Instant,
    pub machine: String,
    pub task: String,
    pub attempt: u64,
    pub kind: TaskEventKind,
}

/// The events of all machines, if they are recorded: a site that runs for days keeps none.
#[derive(Debug, Default)]
pub struct History {
    events: Option<Vec<TaskEvent>>,
}

impl History {
    /// From now on events are kept.
    pub fn start_recording(&mut self) {
        self.events.get_or_insert_default();
    }

    pub(crate) fn extend(&mut self, events: impl IntoIterator<Item = TaskEvent>) {
        if let Some(kept) = &mut self.events {
            kept.extend(events);
        }
    }

    /// The events since they are kept.
    pub fn events(&self) -> &[TaskEvent] {
        self.events.as_deref().unwrap_or_default()
    }
}

//! How much of a list fits into a message between controllers and workers.
//!
//! The protocol limits bodies to [`BODY_LIMIT`] bytes, measured as JSON. A receiver refuses a larger
//! body as a whole, so the sender has to divide what it sends.

use crate::scan::{json_bytes, json_bytes_of_text};
use crate::{BODY_LIMIT, Command, TaskStatus};

/// Most bytes of a body with commands besides the commands: names of fields, token and incarnation.
const COMMANDS_ENVELOPE_BYTES: usize = 128;
/// Most bytes of the commands in one body.
pub const MAX_COMMANDS_BYTES: usize = BODY_LIMIT - COMMANDS_ENVELOPE_BYTES;

/// Most bytes of a heartbeat besides the tasks: names of fields, numbers, and the names of machine,
/// address, machine type and zone.
const HEARTBEAT_ENVELOPE_BYTES: usize = 1024;
/// Most bytes of the tasks in one heartbeat.
const MAX_TASK_STATUSES_BYTES: usize = BODY_LIMIT - HEARTBEAT_ENVELOPE_BYTES;

/// Most digits of an integer (2^64 - 1).
const MAX_INTEGER_BYTES: usize = 20;
/// Most bytes of a duration: the digits of a 64-bit floating-point number with sign, point and exponent.
const MAX_DURATION_BYTES: usize = 24;
/// The longest command without the task's name and the numbers, with the comma that follows it.
const COMMAND_FORM: &str = r#"{"verb":"launch","thread":"","try":,"leeway_s":},"#;
/// The longest task status without the task's name and the attempt, with the comma that follows it.
const TASK_STATUS_FORM: &str =
    r#"{"thread":"","try":,"status":"gathering","cause":"mates_gone","stored":false},"#;
/// The longest name of a task: its job's id has up to 18 digits, its own number up to five.
const LONGEST_TASK_NAME: &str = "j-000000000000000000/99999";

/// Most tasks of a machine, so that its worker can report all of them in one heartbeat.
pub const MAX_TASKS_PER_MACHINE: usize =
    MAX_TASK_STATUSES_BYTES / (TASK_STATUS_FORM.len() + LONGEST_TASK_NAME.len() + MAX_INTEGER_BYTES);

impl Command {
    /// Most bytes that the command takes in a body, as JSON.
    fn max_json_bytes(&self) -> usize {
        let (Self::Start { task, .. } | Self::Stop { task, .. } | Self::Forget { task, .. }) = self;
        COMMAND_FORM.len() + json_bytes_of_text(task) + MAX_INTEGER_BYTES + MAX_DURATION_BYTES
    }
}

/// Removes the commands from the end of the list that do not fit into this many bytes of a body, and
/// returns them. The first command stays in any case: no command is longer than a body.
pub fn split_off_excess_commands(commands: &mut Vec<Command>, max_bytes: usize) -> Vec<Command> {
    let mut bytes = 0;
    let fits = |command: &Command| {
        bytes += command.max_json_bytes();
        bytes <= max_bytes
    };
    let fitting = commands.iter().map(fits).take_while(|fits| *fits).count().max(1);
    commands.split_off(fitting.min(commands.len()))
}

/// Whether a body is larger than the protocol allows.
pub fn exceeds_body_limit(body: &[u8]) -> bool {
    json_bytes(body).is_some_and(|bytes| bytes > BODY_LIMIT)
}

/// The space in a worker's heartbeat for the statuses of further tasks.
#[derive(Debug)]
pub struct HeartbeatSpace {
    free_bytes: usize,
}

impl HeartbeatSpace {
    /// The space beside the tasks that the worker reports. Each of them counts with its longest status,
    /// because its state may still change.
    pub fn beside(tasks: &[TaskStatus]) -> Self {
        let used: usize = tasks.iter().map(|status| max_status_bytes(&status.task)).sum();
        Self { free_bytes: MAX_TASK_STATUSES_BYTES.saturating_sub(used) }
    }

    /// Takes the space for the status of a task. Returns false if there is not enough left.
    pub fn take(&mut self, task: &str) -> bool {
        let left = self.free_bytes.checked_sub(max_status_bytes(task));
        self.free_bytes = left.unwrap_or(self.free_bytes);
        left.is_some()
    }
}

/// Most bytes that the status of a task takes in a heartbeat, as JSON.
fn max_status_bytes(task: &str) -> usize {
    TASK_STATUS_FORM.len() + json_bytes_of_text(task) + MAX_INTEGER_BYTES
}

#[cfg(test)]
#[path = "../tests/unit/message_size.rs"]
mod tests;

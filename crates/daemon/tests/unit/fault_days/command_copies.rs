//! Late copies of start commands: a request that was carried out and answered reaches the machine again.

use bytes::Bytes;
use net::Request;
use rand::RngExt;
use wire::{Command, Commands};

use super::machines::LEASE_MS;
use super::{Simulation, Site};

/// The path of commands that are sent straight to a machine.
pub(super) const COMMANDS_PATH: &str = "/commands";
/// Delays of drawn copies: from less than a heartbeat interval to well over a lease.
const MIN_DELAY_MS: u64 = 200;
pub(super) const MAX_DELAY_MS: u64 = LEASE_MS * 5 / 2;

/// A copy of a request with start commands.
#[derive(Debug, Clone)]
pub(super) struct CommandCopy {
    pub(super) machine: String,
    body: Bytes,
}

/// The copies that are on their way, and those that have arrived.
#[derive(Debug, Default)]
pub(super) struct CommandCopies {
    /// The share of the answered requests with start commands that are copied.
    pub(super) share: f64,
    /// Until when requests are copied.
    pub(super) until: u64,
    /// Whether copies are held back until a test delivers them.
    pub(super) are_held: bool,
    pub(super) held: Vec<CommandCopy>,
    pending: Vec<(u64, CommandCopy)>,
    /// The statuses that machines answered copies with.
    pub(super) arrivals: Vec<u16>,
}

impl Simulation {
    /// Copies, with the set probability, a request that a machine has carried out and answered.
    pub(super) fn copy_start_commands(&mut self, machine: &str, commands: Bytes) {
        let now = self.ms();
        if now >= self.command_copies.until || !has_start_commands(&commands) {
            return;
        }
        let share = self.command_copies.share;
        if !self.rng.random_bool(share) {
            return;
        }
        let copy = CommandCopy { machine: machine.to_owned(), body: commands };
        if self.command_copies.are_held {
            self.command_copies.held.push(copy);
        } else {
            let due_at = now + self.rng.random_range(MIN_DELAY_MS..MAX_DELAY_MS);
            self.command_copies.pending.push((due_at, copy));
        }
    }

    fn take_due_copies(&mut self) -> Vec<CommandCopy> {
        let now = self.ms();
        let pending = std::mem::take(&mut self.command_copies.pending);
        let (due, later) = pending.into_iter().partition(|(due_at, _)| *due_at <= now);
        self.command_copies.pending = later;
        due.into_iter().map(|(_, copy)| copy).collect()
    }
}

impl Site {
    /// Delivers the drawn copies that are due.
    pub(super) fn deliver_due_copies(&self) {
        let due = self.lock().take_due_copies();
        for copy in due {
            let site = self.clone();
            tokio::spawn(async move { site.deliver_copy(copy).await });
        }
    }

    /// Delivers a copy. The machine's answer reaches nobody.
    pub(super) async fn deliver_copy(&self, copy: CommandCopy) {
        let CommandCopy { machine, body } = copy;
        let request = Request { method: "POST".into(), path: COMMANDS_PATH.into(), body };
        self.add_trace(|| format!("a copy of a start command arrives at {machine}"));
        if let Some((status, _)) = self.serve_worker(&machine, request).await {
            self.lock().command_copies.arrivals.push(status);
        }
    }
}

/// Whether there are start commands in the body of a request.
fn has_start_commands(body: &[u8]) -> bool {
    let is_start = |command: &Command| matches!(command, Command::Start { .. });
    wire::decode::<Commands>(body).is_ok_and(|sent| sent.commands.iter().any(is_start))
}

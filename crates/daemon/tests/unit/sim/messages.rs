//! Messages in flight: delayed, lost, duplicated and repeated.

use super::*;
use crate::worker::FencingToken;

pub(super) enum Message {
    Commands {
        to: usize,
        from: usize,
        commands: Commands,
    },
    CommandResponse {
        to: usize,
        machine: usize,
        token: u64,
        heartbeat: Option<Heartbeat>,
    },
    /// A late copy of a heartbeat, to any controller.
    HeartbeatCopy {
        to: usize,
        machine: usize,
        heartbeat: Heartbeat,
    },
    Txn {
        from: usize,
        conditions: Vec<Condition>,
        writes: Vec<KeyWrite>,
        /// Whether the sender knew the lower limits.
        lowered_limits_known: bool,
    },
    TerminationProofs {
        to: usize,
        epoch: u64,
        proofs: Vec<peer::TerminationProof>,
    },
}

impl Simulation {
    pub(super) fn send(&mut self, message: Message) {
        let delay = match self.rng.random_range(0..20) {
            0 => self.rng.random_range(50..400),
            1..5 => self.rng.random_range(5..30),
            _ => self.rng.random_range(0..3),
        };
        self.in_flight.push((self.step + delay, message));
    }

    pub(super) fn deliver_due(&mut self) {
        let mut due = Vec::new();
        let mut later = Vec::new();
        for (at, message) in std::mem::take(&mut self.in_flight) {
            if at <= self.step { due.push(message) } else { later.push((at, message)) }
        }
        self.in_flight = later;
        for message in due {
            // Messages to a paused controller are queued until it resumes.
            if let Message::HeartbeatCopy { to, .. }
            | Message::TerminationProofs { to, .. }
            | Message::CommandResponse { to, .. } = &message
                && self.step < self.paused_until[*to]
            {
                self.in_flight.push((self.paused_until[*to], message));
                continue;
            }
            match message {
                Message::HeartbeatCopy { to, machine, heartbeat } => {
                    // The response is discarded.
                    let _ = self.receive_heartbeat(to, machine, heartbeat);
                }
                Message::TerminationProofs { to, epoch, proofs } => {
                    if self.rng.random_bool(0.1) {
                        let at = self.step + self.rng.random_range(1..400);
                        self.in_flight
                            .push((at, Message::TerminationProofs { to, epoch, proofs: proofs.clone() }));
                    }
                    self.controllers[to].accept_forwarded_proofs(epoch, proofs, self.now());
                }
                Message::Txn { from, conditions, writes, lowered_limits_known } => {
                    if self.state_service.txn(&conditions, writes) == Outcome::Refused {
                        self.controllers[from]
                            .limit_changes
                            .sizes_reduced
                            .store(!self.runs_old_version[from], Ordering::Relaxed);
                        if lowered_limits_known {
                            self.violations.insert("refused");
                        }
                    }
                }
                Message::Commands { to, from, commands } => {
                    if self.rng.random_bool(0.05) {
                        let at = self.step + self.rng.random_range(1..400);
                        self.in_flight.push((at, Message::Commands { to, from, commands: commands.clone() }));
                    }
                    let reached = self.machines[to].up && self.step >= self.machines[to].deaf_until;
                    let lost = self.rng.random_bool(0.1) || !reached;
                    let checks_tokens = self.defect != Defect::IgnoredTokens;
                    let valid = !checks_tokens || commands.fencing_token >= self.machines[to].token;
                    if valid && commands.incarnation == self.machines[to].incarnation && reached {
                        self.machines[to].token = self.machines[to].token.max(commands.fencing_token);
                        self.execute(to, &commands.commands);
                    }
                    let heartbeat = (!lost).then(|| self.machines[to].heartbeat(&machine_id(to)));
                    self.send(Message::CommandResponse {
                        to: from,
                        machine: to,
                        token: commands.fencing_token,
                        heartbeat,
                    });
                }
                Message::CommandResponse { to, machine, token, heartbeat } => {
                    // A response to a request that already timed out is discarded.
                    if self.pending_requests.get(&(to, machine)) == Some(&token) {
                        self.pending_requests.remove(&(to, machine));
                        self.record_response(to, machine, token, heartbeat);
                    }
                }
            }
        }
        let pending_requests: Vec<_> = self.pending_requests.iter().map(|(k, t)| (*k, *t)).collect();
        for ((n, machine), token) in pending_requests {
            if self.rng.random_bool(0.03) {
                self.pending_requests.remove(&(n, machine));
                self.record_response(n, machine, token, None);
            }
        }
    }

    pub(super) fn record_response(
        &mut self,
        n: usize,
        machine: usize,
        token: u64,
        heartbeat: Option<Heartbeat>,
    ) {
        let now = self.now();
        if let Some(w) = self.controllers[n].state().machines.workers.get_mut(machine_id(machine).as_str()) {
            let token = FencingToken::from(token);
            match heartbeat {
                Some(heartbeat) => {
                    w.commands_answered(token);
                    w.receive_response(heartbeat, now);
                }
                None => w.commands_failed(token, now),
            }
        }
    }
}

//! Messages on their way: delayed, lost, copied, repeated.

use super::*;
use crate::worker::FencingToken;

pub(super) enum Message {
    Commands {
        to: usize,
        from: usize,
        commands: Commands,
    },
    Answer {
        to: usize,
        machine: usize,
        token: u64,
        report: Option<Heartbeat>,
    },
    /// A copy of a report, to any controller.
    Copy {
        to: usize,
        machine: usize,
        report: Heartbeat,
    },
    Txn {
        from: usize,
        conditions: Vec<Condition>,
        puts: Vec<KeyWrite>,
        /// Its sender knew of the smaller limits.
        sized: bool,
    },
    TerminationProofs {
        to: usize,
        epoch: u64,
        list: Vec<peer::TerminationProof>,
    },
}

impl Sim {
    pub(super) fn post(&mut self, message: Message) {
        let delay = match self.rng.random_range(0..20) {
            0 => self.rng.random_range(50..400),
            1..5 => self.rng.random_range(5..30),
            _ => self.rng.random_range(0..3),
        };
        self.mail.push((self.step + delay, message));
    }

    pub(super) fn deliver(&mut self) {
        let mut due = Vec::new();
        let mut rest = Vec::new();
        for (at, message) in std::mem::take(&mut self.mail) {
            if at <= self.step { due.push(message) } else { rest.push((at, message)) }
        }
        self.mail = rest;
        for message in due {
            // What comes to a controller that stands still waits there for it.
            if let Message::Copy { to, .. }
            | Message::TerminationProofs { to, .. }
            | Message::Answer { to, .. } = &message
                && self.step < self.frozen[*to]
            {
                self.mail.push((self.frozen[*to], message));
                continue;
            }
            match message {
                Message::Copy { to, machine, report } => {
                    // Nobody reads the answer.
                    let _ = self.answer_report(to, machine, report);
                }
                Message::TerminationProofs { to, epoch, list } => {
                    if self.rng.random_bool(0.1) {
                        let at = self.step + self.rng.random_range(1..400);
                        self.mail.push((at, Message::TerminationProofs { to, epoch, list: list.clone() }));
                    }
                    self.nodes[to].accept_forwarded_proofs(epoch, list, self.now());
                }
                Message::Txn { from, conditions, puts, sized } => {
                    if self.state.txn(&conditions, puts) == Outcome::Refused {
                        self.nodes[from]
                            .limit_changes
                            .sizes_reduced
                            .store(!self.old[from], Ordering::Relaxed);
                        if sized {
                            self.broken.insert("refused");
                        }
                    }
                }
                Message::Commands { to, from, commands } => {
                    if self.rng.random_bool(0.05) {
                        let at = self.step + self.rng.random_range(1..400);
                        self.mail.push((at, Message::Commands { to, from, commands: commands.clone() }));
                    }
                    let reached = self.machines[to].up && self.step >= self.machines[to].deaf;
                    let lost = self.rng.random_bool(0.1) || !reached;
                    let heeds = self.sabotage != Sabotage::Tokens;
                    let valid = !heeds || commands.fencing_token >= self.machines[to].token;
                    if valid && commands.incarnation == self.machines[to].session && reached {
                        self.machines[to].token = self.machines[to].token.max(commands.fencing_token);
                        self.execute(to, &commands.commands);
                    }
                    let report = (!lost).then(|| self.machines[to].report(&id(to)));
                    self.post(Message::Answer {
                        to: from,
                        machine: to,
                        token: commands.fencing_token,
                        report,
                    });
                }
                Message::Answer { to, machine, token, report } => {
                    // Given up meanwhile: nobody reads the answer.
                    if self.waiting.get(&(to, machine)) == Some(&token) {
                        self.waiting.remove(&(to, machine));
                        self.answered(to, machine, token, report);
                    }
                }
            }
        }
        let waiting: Vec<_> = self.waiting.iter().map(|(k, t)| (*k, *t)).collect();
        for ((n, machine), token) in waiting {
            if self.rng.random_bool(0.03) {
                self.waiting.remove(&(n, machine));
                self.answered(n, machine, token, None);
            }
        }
    }

    pub(super) fn answered(&mut self, n: usize, machine: usize, token: u64, report: Option<Heartbeat>) {
        let now = self.now();
        if let Some(w) = self.nodes[n].state().machines.workers.get_mut(id(machine).as_str()) {
            let token = FencingToken::from(token);
            match report {
                Some(report) => {
                    w.commands_answered(token);
                    w.receive_response(report, now);
                }
                None => w.commands_failed(token, now),
            }
        }
    }
}

//! A worker's side of the protocol.

use crate::mechanism::{Mechanism, Mechanisms};
use crate::state::*;

impl Worker {
    fn launch(&mut self, attempt: u8) {
        let index = attempt as usize;
        if self.tasks[index] == Task::Absent {
            // The launch is refused while another attempt of the task runs.
            self.tasks[index] = if self.is_running() { Task::Exited } else { Task::Running };
        }
    }

    fn stop(&mut self, attempt: u8) {
        let task = &mut self.tasks[attempt as usize];
        if *task == Task::Running {
            *task = Task::Exited;
        }
    }

    fn accepts_token(&self, token: Token, mechanisms: Mechanisms) -> bool {
        token >= self.token || !mechanisms.has(Mechanism::TokenCheck)
    }

    /// Handles the answer to its report.
    pub fn receive_answer(&mut self, mechanisms: Mechanisms) {
        let Some(answer) = self.answer.take() else { return };
        if answer.session != self.session || !self.accepts_token(answer.token, mechanisms) {
            return;
        }
        self.token = self.token.max(answer.token);
        self.lease_age = if mechanisms.has(Mechanism::LeaseFromSend) { answer.age } else { 0 };
        answer.stop.into_iter().for_each(|attempt| self.stop(attempt));
        answer.launch.into_iter().for_each(|attempt| self.launch(attempt));
    }

    /// Handles a command. The answer is a report, whether or not the command was accepted.
    pub fn execute(&mut self, command: &Command, mechanisms: Mechanisms) -> Report {
        if command.session == self.session && self.accepts_token(command.token, mechanisms) {
            self.token = self.token.max(command.token);
            command.stop.into_iter().for_each(|attempt| self.stop(attempt));
            command.launch.into_iter().for_each(|attempt| self.launch(attempt));
        }
        self.report()
    }

    /// Kills and discards all tasks, and begins a new session.
    pub fn expire_lease(&mut self) {
        self.tasks = [Task::Absent; MAX_ATTEMPTS];
        self.session += 1;
        self.lease_age = 0;
    }
}

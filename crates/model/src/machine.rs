//! What a worker does, by the protocol's page.

use crate::mechanism::{Mechanism, Without};
use crate::state::*;

impl Machine {
    fn launch(&mut self, attempt: u8) {
        let a = attempt as usize;
        if self.tasks[a] == Task::Absent {
            // Refused while the task is there with another attempt.
            self.tasks[a] = if self.runs() { Task::Exited } else { Task::Running };
        }
    }

    fn stop(&mut self, attempt: u8) {
        let task = &mut self.tasks[attempt as usize];
        if *task == Task::Running {
            *task = Task::Exited;
        }
    }

    fn entitled(&self, token: Token, without: Without) -> bool {
        token >= self.token || !without.has(Mechanism::TokenCheck)
    }

    /// The answer to its report arrives.
    pub fn heed(&mut self, without: Without) {
        let Some(answer) = self.answer.take() else { return };
        if answer.session != self.session || !self.entitled(answer.token, without) {
            return;
        }
        self.token = self.token.max(answer.token);
        self.lease = if without.has(Mechanism::LeaseFromSend) { answer.age } else { 0 };
        answer.stop.into_iter().for_each(|a| self.stop(a));
        answer.launch.into_iter().for_each(|a| self.launch(a));
    }

    /// A command arrives; its answer is the report in any case.
    pub fn execute(&mut self, command: &Command, without: Without) -> Report {
        if command.session == self.session && self.entitled(command.token, without) {
            self.token = self.token.max(command.token);
            command.stop.into_iter().for_each(|a| self.stop(a));
            command.launch.into_iter().for_each(|a| self.launch(a));
        }
        self.report()
    }

    /// The lease is over: every task is killed and forgotten.
    pub fn expire(&mut self) {
        self.tasks = [Task::Absent; ATTEMPTS];
        self.session += 1;
        self.lease = 0;
    }
}

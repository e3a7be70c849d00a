//! Maps equivalent states to the same form: counters become ranks, ages are capped at the limit
//! beyond which they make no difference, and slots are sorted.

use crate::mechanism::{Mechanism, Mechanisms};
use crate::size::Size;
use crate::state::*;

/// Replaces a state by the representative of its equivalent states.
pub fn canonicalize(state: &mut State, size: &Size, mechanisms: Mechanisms) {
    let renewal_bound = size.renewal_bound.unwrap_or(0);
    let lease_limit = size.lease + size.clock_drift;
    for (index, controller) in state.controllers.iter_mut().enumerate().take(size.controllers) {
        controller.last_read_age = controller.last_read_age.min(renewal_bound);
        if index > 0 && size.maps == 0 && mechanisms.has(Mechanism::NoRenewalByOutage) {
            // Without new maps this controller never owns a worker, so the age makes no difference.
            controller.last_read_age = 0;
        }
        for peer in &mut controller.peers {
            peer.confirmation_age = peer.confirmation_age.min(renewal_bound);
            peer.request_age =
                if mechanisms.has(Mechanism::Nonce) { LONG_AGO } else { peer.request_age.min(renewal_bound) };
            let late_answers_count =
                !mechanisms.has(Mechanism::Nonce) || !mechanisms.has(Mechanism::AgeFromRequest);
            if let Some(answer) = &mut peer.answer {
                answer.age = answer.age.min(renewal_bound);
                if answer.age >= renewal_bound && answer.cancelled.is_none() && !late_answers_count {
                    peer.answer = None;
                }
            }
        }
        if let Some(read) = &mut controller.pending_read {
            read.age = read.age.min(renewal_bound);
        }
        for owned in controller.owned.iter_mut().flatten() {
            let capped = |age: u8| if age == LONG_AGO { LONG_AGO } else { age.min(lease_limit) };
            (owned.renewal_age, owned.report_age) = (capped(owned.renewal_age), capped(owned.report_age));
            if !size.records_ends() {
                (owned.renewal_age, owned.report_age, owned.launch_offered, owned.trusted) =
                    (0, 0, false, true);
                owned.proof_token = owned.token;
            }
        }
    }
    state.cancel_ack_age = state.cancel_ack_age.map(|age| age.min(size.cancel_limit + 1));
    state.transactions.sort();
    for worker_id in 0..size.workers {
        state.workers[worker_id].commands.sort();
        rank(state, worker_id, |counters, visit| counters.tokens(visit));
        rank(state, worker_id, |counters, visit| counters.sessions(visit));
        if size.late_reports == 0 {
            // Each report that arrives is the newest, so sequence numbers make no difference.
            state.workers[worker_id].sequence_number = 0;
            state
                .controllers
                .iter_mut()
                .filter_map(|controller| controller.owned[worker_id].as_mut())
                .for_each(|owned| owned.sequence_number = 0);
        } else {
            rank(state, worker_id, |counters, visit| counters.sequence_numbers(visit));
        }
    }
}

/// All places that hold counters of one worker.
struct WorkerCounters<'a> {
    worker: &'a mut Worker,
    owned: [Option<&'a mut OwnedWorker>; MAX_CONTROLLERS],
}

impl WorkerCounters<'_> {
    /// Visits the tokens' counters, which are ranked within their epoch. Sessions and sequence numbers
    /// are visited with epoch 0.
    fn tokens(&mut self, visit: &mut dyn FnMut(u8, &mut u8)) {
        let worker = &mut *self.worker;
        let mut visit_token = |token: &mut Token| visit(token.epoch, &mut token.count);
        visit_token(&mut worker.token);
        worker.answer.iter_mut().for_each(|answer| visit_token(&mut answer.token));
        worker.commands.iter_mut().flatten().for_each(|command| visit_token(&mut command.token));
        worker.late_report.iter_mut().for_each(|report| visit_token(&mut report.token));
        for owned in self.owned.iter_mut().flatten() {
            visit_token(&mut owned.shown_token);
            visit_token(&mut owned.token);
            visit_token(&mut owned.proof_token);
            owned.in_flight.iter_mut().for_each(|(token, _)| visit_token(token));
        }
    }

    fn sessions(&mut self, visit: &mut dyn FnMut(u8, &mut u8)) {
        let worker = &mut *self.worker;
        visit(0, &mut worker.session);
        worker.answer.iter_mut().for_each(|answer| visit(0, &mut answer.session));
        worker.commands.iter_mut().flatten().for_each(|command| visit(0, &mut command.session));
        worker.late_report.iter_mut().for_each(|report| visit(0, &mut report.session));
        self.owned.iter_mut().flatten().for_each(|owned| visit(0, &mut owned.session));
    }

    fn sequence_numbers(&mut self, visit: &mut dyn FnMut(u8, &mut u8)) {
        visit(0, &mut self.worker.sequence_number);
        self.worker.late_report.iter_mut().for_each(|report| visit(0, &mut report.sequence_number));
        self.owned.iter_mut().flatten().for_each(|owned| visit(0, &mut owned.sequence_number));
    }
}

/// Replaces each visited number by its rank; 0 stays 0.
fn rank(
    state: &mut State,
    worker_id: usize,
    visit_all: impl Fn(&mut WorkerCounters, &mut dyn FnMut(u8, &mut u8)),
) {
    let owned = state.controllers.each_mut().map(|controller| controller.owned[worker_id].as_mut());
    let mut counters = WorkerCounters { worker: &mut state.workers[worker_id], owned };
    // A bit for each number in use, by epoch. The numbers fit into 64 bits: a step adds few, and
    // all are ranked after each step.
    let mut used = [0_u64; MAX_EPOCHS];
    visit_all(&mut counters, &mut |epoch, number| used[epoch as usize] |= 1 << *number | 1);
    if used.iter().all(|bits| bits & (bits + 1) == 0) {
        return;
    }
    visit_all(&mut counters, &mut |epoch, number| {
        let below = used[epoch as usize] & ((1 << *number) - 1);
        *number = below.count_ones() as u8;
    });
}

/// An upper limit of the epochs in any size, including 0.
const MAX_EPOCHS: usize = 8;

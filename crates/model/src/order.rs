//! Brings states that differ only in what does not matter to the same form: counters
//! become ranks, ages beyond every limit become one, slots are sorted.

use crate::mechanism::{Mechanism, Without};
use crate::size::Size;
use crate::state::*;

pub fn canonical(state: &mut State, size: &Size, without: Without) {
    let bound = size.bound.unwrap_or(0);
    let over = size.lease + size.drift;
    for (i, c) in state.controllers.iter_mut().enumerate().take(size.controllers) {
        c.fresh = c.fresh.min(bound);
        if i > 0 && size.maps == 0 && without.has(Mechanism::NotBySilence) {
            // It will never own a machine.
            c.fresh = 0;
        }
        for p in &mut c.peers {
            p.confirmed = p.confirmed.min(bound);
            p.asked = if without.has(Mechanism::Nonce) { LONG } else { p.asked.min(bound) };
            let young = !without.has(Mechanism::Nonce) || !without.has(Mechanism::AskTime);
            if let Some(word) = &mut p.answer {
                word.age = word.age.min(bound);
                if word.age >= bound && word.cancelled.is_none() && !young {
                    p.answer = None;
                }
            }
        }
        if let Some(r) = &mut c.reading {
            r.age = r.age.min(bound);
        }
        for o in c.owned.iter_mut().flatten() {
            let cap = |age: u8| if age == LONG { LONG } else { age.min(over) };
            (o.renewed, o.heard) = (cap(o.renewed), cap(o.heard));
            if !size.ends() {
                (o.renewed, o.heard, o.offered, o.trusted) = (0, 0, false, true);
                o.proof = o.token;
            }
        }
    }
    state.told = state.told.map(|t| t.min(size.cancel + 1));
    state.transactions.sort();
    for w in 0..size.workers {
        state.machines[w].commands.sort();
        rank(state, w, |t, f| t.tokens(f));
        rank(state, w, |t, f| t.sessions(f));
        if size.late_reports == 0 {
            // Each report is the newest when it is taken in.
            state.machines[w].seq = 0;
            state.controllers.iter_mut().filter_map(|c| c.owned[w].as_mut()).for_each(|o| o.seq = 0);
        } else {
            rank(state, w, |t, f| t.seqs(f));
        }
    }
}

/// All that is known of one worker, wherever it is kept.
struct Traces<'a> {
    machine: &'a mut Machine,
    owned: [Option<&'a mut Owned>; CONTROLLERS],
}

impl Traces<'_> {
    /// Tokens are ranked within their epoch; sessions and orders have the epoch 0.
    fn tokens(&mut self, f: &mut dyn FnMut(u8, &mut u8)) {
        let m = &mut *self.machine;
        let mut see = |t: &mut Token| f(t.epoch, &mut t.count);
        see(&mut m.token);
        m.answer.iter_mut().for_each(|a| see(&mut a.token));
        m.commands.iter_mut().flatten().for_each(|c| see(&mut c.token));
        m.late.iter_mut().for_each(|l| see(&mut l.token));
        for o in self.owned.iter_mut().flatten() {
            see(&mut o.seen);
            see(&mut o.token);
            see(&mut o.proof);
            o.in_flight.iter_mut().for_each(|(t, _)| see(t));
        }
    }

    fn sessions(&mut self, f: &mut dyn FnMut(u8, &mut u8)) {
        let m = &mut *self.machine;
        f(0, &mut m.session);
        m.answer.iter_mut().for_each(|a| f(0, &mut a.session));
        m.commands.iter_mut().flatten().for_each(|c| f(0, &mut c.session));
        m.late.iter_mut().for_each(|l| f(0, &mut l.session));
        self.owned.iter_mut().flatten().for_each(|o| f(0, &mut o.session));
    }

    fn seqs(&mut self, f: &mut dyn FnMut(u8, &mut u8)) {
        f(0, &mut self.machine.seq);
        self.machine.late.iter_mut().for_each(|l| f(0, &mut l.seq));
        self.owned.iter_mut().flatten().for_each(|o| f(0, &mut o.seq));
    }
}

/// Replaces each number by its rank; 0 stays 0.
fn rank(state: &mut State, worker: usize, walk: impl Fn(&mut Traces, &mut dyn FnMut(u8, &mut u8))) {
    let owned = state.controllers.each_mut().map(|c| c.owned[worker].as_mut());
    let mut traces = Traces { machine: &mut state.machines[worker], owned };
    // A bit for each number that there is, by epoch. Numbers stay small, as each step
    // adds few and all are ranked after it.
    let mut seen = [0_u64; EPOCHS];
    walk(&mut traces, &mut |epoch, n| seen[epoch as usize] |= 1 << *n | 1);
    if seen.iter().all(|bits| bits & (bits + 1) == 0) {
        return;
    }
    walk(&mut traces, &mut |epoch, n| {
        let below = seen[epoch as usize] & ((1 << *n) - 1);
        *n = below.count_ones() as u8;
    });
}

/// Maps that a size can have, and one more.
const EPOCHS: usize = 8;

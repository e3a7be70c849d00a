//! Which machines the next release call names, given the calls that the cloud did not confirm.
//!
//! While the cloud does not carry out any call, the pause before the next one grows. A call that the
//! cloud refuses for its content is not repeated unchanged: its machines are divided among smaller
//! calls, until the machines that the cloud does not release are alone in theirs. Those are named
//! again after a back-off of their own.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use cloud::{CloudError, MAX_MACHINES_PER_RELEASE};
use sched::records::Name;

/// First pause after a call that the cloud did not carry out.
const MIN_UNAVAILABLE_BACKOFF: Duration = Duration::from_millis(700);
/// Longest pause after a call that the cloud did not carry out.
const MAX_UNAVAILABLE_BACKOFF: Duration = Duration::from_secs(3);
/// Least time between two calls with machines of refused calls, so that they use only a small part
/// of the cloud's rate limit.
const REFUSED_CALL_INTERVAL: Duration = Duration::from_secs(3);
/// First back-off of a machine whose release was refused although it was alone in the call.
const MIN_REFUSED_BACKOFF: Duration = Duration::from_secs(30);
/// Longest back-off of such a machine.
const MAX_REFUSED_BACKOFF: Duration = Duration::from_secs(600);

/// A machine that was named in a refused call.
#[derive(Debug, Clone, Copy)]
struct RefusedMachine {
    /// How many machines its next call may name.
    max_call_size: usize,
    /// Its latest back-off; zero until it was alone in a refused call.
    backoff: Duration,
    /// When it may be named again.
    retry_at: Instant,
}

/// The releases that the cloud did not confirm.
#[derive(Debug, Default)]
pub struct ReleaseBackoff {
    /// The latest pause because the cloud did not carry out a call; zero after a call that it did.
    unavailable_backoff: Duration,
    /// When that pause ends.
    available_at: Option<Instant>,
    /// Machines of refused calls whose release has not been confirmed since.
    refused: HashMap<Name, RefusedMachine>,
    /// When the next call with such machines may be made.
    next_refused_call_at: Option<Instant>,
}

impl ReleaseBackoff {
    /// The machines that a call made now names: the first of `ready`, as many as a call takes. Those
    /// of refused calls come after all others. Empty if no call may be made now.
    pub fn next_call(&self, ready: &[Name], now: Instant) -> Vec<Name> {
        if self.available_at.is_some_and(|at| now < at) {
            return Vec::new();
        }
        let never_refused = ready.iter().filter(|id| !self.refused.contains_key(*id));
        let call: Vec<Name> = never_refused.take(MAX_MACHINES_PER_RELEASE).cloned().collect();
        if call.is_empty() { self.next_refused_call(ready, now) } else { call }
    }

    /// The machines of refused calls that a call made now names: those that may share the largest
    /// call.
    fn next_refused_call(&self, ready: &[Name], now: Instant) -> Vec<Name> {
        if self.next_refused_call_at.is_some_and(|at| now < at) {
            return Vec::new();
        }
        let due = |id: &Name| self.refused.get(id).filter(|machine| machine.retry_at <= now);
        let max_call_size = ready.iter().filter_map(due).map(|machine| machine.max_call_size).max();
        let shares_call = |id: &&Name| due(id).map(|machine| machine.max_call_size) == max_call_size;
        ready.iter().filter(shares_call).take(max_call_size.unwrap_or_default()).cloned().collect()
    }

    /// The cloud confirmed the release of these machines.
    pub fn confirmed(&mut self, machines: &[Name], now: Instant) {
        self.unavailable_backoff = Duration::ZERO;
        for id in machines {
            if self.refused.remove(id).is_some() {
                self.next_refused_call_at = Some(now + REFUSED_CALL_INTERVAL);
            }
        }
    }

    /// The cloud did not confirm the release of these machines.
    pub fn failed(&mut self, machines: &[Name], error: &CloudError, now: Instant) {
        if error.is_refusal_of_content() {
            self.unavailable_backoff = Duration::ZERO;
            self.divide(machines, now);
        } else {
            let backoff = self.unavailable_backoff * 2;
            self.unavailable_backoff = backoff.clamp(MIN_UNAVAILABLE_BACKOFF, MAX_UNAVAILABLE_BACKOFF);
            self.available_at = Some(now + self.unavailable_backoff);
        }
    }

    /// Divides the machines of a refused call among smaller calls.
    fn divide(&mut self, machines: &[Name], now: Instant) {
        self.next_refused_call_at = Some(now + REFUSED_CALL_INTERVAL);
        for id in machines {
            let mut backoff = Duration::ZERO;
            if machines.len() == 1 {
                let previous = self.refused.get(id).map_or(Duration::ZERO, |machine| machine.backoff);
                backoff = (previous * 2).clamp(MIN_REFUSED_BACKOFF, MAX_REFUSED_BACKOFF);
            }
            let max_call_size = machines.len().div_ceil(2);
            let refused = RefusedMachine { max_call_size, backoff, retry_at: now + backoff };
            self.refused.insert(id.clone(), refused);
        }
    }

    /// Forgets machines that are no longer to be released.
    pub fn retain(&mut self, is_kept: impl Fn(&Name) -> bool) {
        self.refused.retain(|id, _| is_kept(id));
    }
}

//! The tokens and requests by which an owner commands one worker.
//!
//! Requests are sent one at a time, each with a token above all before it. An unanswered launch is
//! ruled out as soon as the worker has shown any later token.

use std::time::{Duration, Instant};

use wire::Command;

use super::FencingToken;

/// Pause after the first failure; each further one adds as much.
const RETRY_BACKOFF: Duration = Duration::from_millis(400);
/// The largest multiple of [`RETRY_BACKOFF`].
const MAX_BACKOFF_FACTOR: u32 = 6;
/// With so many failures in a row, commands are taken not to reach the worker.
const MAX_FAILURES: u32 = 3;
/// Least time after a request before one is sent that only has a worker forget tasks.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(2);

/// A request that is not answered yet.
#[derive(Debug)]
struct PendingRequest {
    token: FencingToken,
    has_launches: bool,
}

/// What an owner knows of the tokens that it has given to a worker.
#[derive(Debug)]
pub(super) struct CommandChannel {
    /// The epoch of the cluster map that tokens are taken from.
    epoch: u64,
    /// The epoch since when this controller has owned the machine.
    owned_epoch: u64,
    /// The highest token given out.
    pub(super) newest: FencingToken,
    /// The highest token that the worker is known to have seen.
    seen: FencingToken,
    /// The lowest token that rules out all launches which may still be on their way.
    proof: FencingToken,
    pending: Option<PendingRequest>,
    /// The token of a heartbeat's response that launches were sent with. Until the next heartbeat,
    /// or until the worker shows a later token, they may still be executed.
    offered: Option<FencingToken>,
    retry_at: Option<Instant>,
    sent_at: Option<Instant>,
    /// Requests that failed since the last success.
    failures: u32,
}

impl CommandChannel {
    pub(super) fn new(epoch: u64) -> Self {
        Self {
            epoch,
            owned_epoch: epoch,
            newest: FencingToken::first_of_epoch(epoch),
            seen: FencingToken::NONE,
            proof: FencingToken::first_of_epoch(epoch),
            pending: None,
            offered: None,
            retry_at: None,
            sent_at: None,
            failures: 0,
        }
    }

    pub(super) fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Goes on to the tokens of a later epoch: every launch of the epochs before has to be ruled
    /// out anew.
    pub(super) fn enter_epoch(&mut self, epoch: u64) {
        self.epoch = epoch;
        self.newest = FencingToken::first_of_epoch(epoch);
        self.proof = self.newest;
        self.offered = None;
        self.pending = None;
    }

    /// Notes that the worker has shown a token.
    pub(super) fn note_seen(&mut self, token: FencingToken) {
        self.seen = self.seen.max(token);
    }

    /// Whether a token is from since this controller owns the machine.
    #[inline]
    pub(super) fn is_of_this_owner(&self, token: FencingToken) -> bool {
        token >= FencingToken::first_of_epoch(self.owned_epoch)
    }

    /// Whether the worker has shown a token of the present epoch.
    pub(super) fn has_seen_epoch(&self) -> bool {
        self.seen >= FencingToken::first_of_epoch(self.epoch)
    }

    /// Whether requests reach the worker, as far as they tell. The worker has to have shown a
    /// token from since this controller owns it: a delayed duplicate of a heartbeat, of a machine
    /// that may be long gone, cannot.
    #[inline]
    pub(super) fn is_usable(&self) -> bool {
        self.failures < MAX_FAILURES && self.is_of_this_owner(self.seen)
    }

    /// Whether no launch can be executed any more that the worker's status does not show.
    pub(super) fn are_launches_ruled_out(&self) -> bool {
        self.pending.is_none() && self.offered.is_none() && self.seen >= self.proof
    }

    /// Whether a request is not answered yet.
    pub(super) fn has_pending_request(&self) -> bool {
        self.pending.is_some()
    }

    /// Notes that launches are sent with the response to a heartbeat.
    pub(super) fn note_offer(&mut self) {
        self.offered = Some(self.newest);
    }

    /// Notes that launches of the last response were executed or dropped.
    pub(super) fn clear_offer(&mut self) {
        self.offered = None;
    }

    /// Whether a token is later than that of the response that launches were sent with.
    pub(super) fn is_after_offer(&self, token: FencingToken) -> bool {
        self.offered.is_some_and(|offered| token > offered)
    }

    /// Whether a request may be sent now.
    pub(super) fn may_send(&self, now: Instant) -> bool {
        self.pending.is_none()
            && self.retry_at.is_none_or(|at| now >= at)
            && self.newest < FencingToken::last_of_epoch(self.epoch)
    }

    /// Whether a request may be sent for nothing but having the worker forget tasks.
    pub(super) fn is_cleanup_due(&self, now: Instant) -> bool {
        self.sent_at.is_none_or(|at| now.saturating_duration_since(at) >= CLEANUP_INTERVAL)
    }

    /// Goes on to the next token; `None` if the epoch has no more. The tokens of the next epoch
    /// are of the controller that owns the machine then, and are never given out before.
    pub(super) fn next_token(&mut self) -> Option<FencingToken> {
        if self.newest >= FencingToken::last_of_epoch(self.epoch) {
            return None;
        }
        self.newest = self.newest.next();
        Some(self.newest)
    }

    /// Whether the tokens of this epoch will soon be used up.
    pub(super) fn tokens_run_low(&self) -> bool {
        self.newest.is_near_end_of_epoch(self.epoch)
    }

    /// Begins a request with a token above all before. `None`: the epoch has no such token left,
    /// and nothing may be sent.
    pub(super) fn begin(&mut self, commands: &[Command], now: Instant) -> Option<FencingToken> {
        let token = self.next_token()?;
        self.pending = Some(PendingRequest { token, has_launches: commands.iter().any(is_launch) });
        self.sent_at = Some(now);
        Some(token)
    }

    /// Notes that the request with this token was answered. Returns `false`, like
    /// [`Self::fail`], if it is not waited for any more, as the epoch has changed since: it must
    /// not end the wait for the one that is.
    pub(super) fn complete(&mut self, token: FencingToken) -> bool {
        if self.pending.take_if(|request| request.token == token).is_none() {
            return false;
        }
        self.failures = 0;
        self.retry_at = None;
        true
    }

    /// Notes that the request with this token was not answered.
    pub(super) fn fail(&mut self, token: FencingToken, now: Instant) -> bool {
        let Some(request) = self.pending.take_if(|request| request.token == token) else { return false };
        self.failures += 1;
        self.retry_at = Some(now + RETRY_BACKOFF * self.failures.min(MAX_BACKOFF_FACTOR));
        // The request may arrive minutes late, but has no effect after the worker has seen a later
        // token. Only launches have to be ruled out: where requests are lost again and again, the
        // token to be seen would otherwise always be the next one.
        let later = self.next_token().unwrap_or_else(|| FencingToken::first_of_epoch(self.epoch + 1));
        if request.has_launches {
            self.proof = later;
        }
        true
    }
}

/// Whether a command starts a task.
pub(super) fn is_launch(command: &Command) -> bool {
    matches!(command, Command::Start { .. })
}

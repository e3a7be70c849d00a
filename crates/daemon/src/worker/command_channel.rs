//! The fencing tokens and requests that an owner sends to one worker.
//!
//! Requests are sent one at a time, each with a higher token than all before it. A launch in an
//! unanswered request can no longer take effect once the worker has shown a later token.

use std::time::{Duration, Instant};

use wire::{Command, MAX_COMMANDS_BYTES};

use super::FencingToken;

/// Pause after the first failure; each further failure in a row adds as much.
const RETRY_BACKOFF: Duration = Duration::from_millis(400);
/// The largest multiple of [`RETRY_BACKOFF`].
const MAX_BACKOFF_FACTOR: u32 = 6;
/// Number of failures in a row after which commands are considered not to reach the worker.
const MAX_FAILURES: u32 = 3;
/// Least bytes that the commands in a message are reduced to.
const MIN_COMMANDS_BYTES: usize = 1024;
/// Minimum time after a request before a request that has only forget commands is sent.
const FORGET_INTERVAL: Duration = Duration::from_secs(2);

/// A request that has not been answered yet.
#[derive(Debug)]
struct PendingRequest {
    token: FencingToken,
    has_launches: bool,
}

/// What an owner knows about the tokens that it has issued to a worker.
#[derive(Debug)]
pub(super) struct CommandChannel {
    /// The epoch of the cluster map that tokens are taken from.
    epoch: u64,
    /// The epoch since which this controller has owned the machine.
    owned_since_epoch: u64,
    /// The highest token issued.
    pub(super) last_issued: FencingToken,
    /// The highest token that the worker is known to have seen.
    highest_seen: FencingToken,
    /// The lowest token that, once seen by the worker, rules out all launches still in flight.
    launch_fence: FencingToken,
    pending: Option<PendingRequest>,
    /// The token of the heartbeat response that contained launches. The worker may still execute
    /// them until its next heartbeat, or until it shows a later token.
    launch_response: Option<FencingToken>,
    retry_at: Option<Instant>,
    sent_at: Option<Instant>,
    /// Failed requests since the last success.
    failures: u32,
    /// Most bytes of the commands in a message.
    max_command_bytes: usize,
}

impl CommandChannel {
    pub(super) fn new(epoch: u64) -> Self {
        Self {
            epoch,
            owned_since_epoch: epoch,
            last_issued: FencingToken::first_of_epoch(epoch),
            highest_seen: FencingToken::NONE,
            launch_fence: FencingToken::first_of_epoch(epoch),
            pending: None,
            launch_response: None,
            retry_at: None,
            sent_at: None,
            failures: 0,
            max_command_bytes: MAX_COMMANDS_BYTES,
        }
    }

    pub(super) fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Switches to the tokens of a later epoch. Every launch of earlier epochs has to be ruled out
    /// again.
    pub(super) fn enter_epoch(&mut self, epoch: u64) {
        self.epoch = epoch;
        self.last_issued = FencingToken::first_of_epoch(epoch);
        self.launch_fence = self.last_issued;
        self.launch_response = None;
        self.pending = None;
    }

    /// Notes that the worker has shown a token.
    pub(super) fn note_seen(&mut self, token: FencingToken) {
        self.highest_seen = self.highest_seen.max(token);
    }

    /// The highest token that the worker is known to have seen.
    pub(super) fn highest_seen(&self) -> FencingToken {
        self.highest_seen
    }

    /// Whether a token is from the epoch in which this controller became the owner, or a later one.
    #[inline]
    pub(super) fn is_of_this_owner(&self, token: FencingToken) -> bool {
        token >= FencingToken::first_of_epoch(self.owned_since_epoch)
    }

    /// Whether the worker has shown a token of the current epoch.
    pub(super) fn has_seen_epoch(&self) -> bool {
        self.highest_seen >= FencingToken::first_of_epoch(self.epoch)
    }

    /// Whether requests reach the worker, judging by their outcomes. The worker must also have
    /// shown a token from the time of this ownership. A delayed duplicate of a heartbeat, whose
    /// machine may be long gone, cannot show one.
    #[inline]
    pub(super) fn is_usable(&self) -> bool {
        self.failures < MAX_FAILURES && self.is_of_this_owner(self.highest_seen)
    }

    /// Whether no launch that is missing from the worker's status can still take effect.
    pub(super) fn are_launches_ruled_out(&self) -> bool {
        self.pending.is_none() && self.launch_response.is_none() && self.highest_seen >= self.launch_fence
    }

    /// Whether a request has not been answered yet.
    pub(super) fn has_pending_request(&self) -> bool {
        self.pending.is_some()
    }

    /// Notes that the response to a heartbeat contains launches.
    pub(super) fn note_launches_in_response(&mut self) {
        self.launch_response = Some(self.last_issued);
    }

    /// Notes that the launches in the last response were executed or dropped.
    pub(super) fn clear_launches_in_response(&mut self) {
        self.launch_response = None;
    }

    /// Whether a token is later than that of the last response with launches.
    pub(super) fn is_after_launch_response(&self, token: FencingToken) -> bool {
        self.launch_response.is_some_and(|response| token > response)
    }

    /// Whether a request may be sent now.
    pub(super) fn may_send(&self, now: Instant) -> bool {
        self.pending.is_none()
            && self.retry_at.is_none_or(|at| now >= at)
            && self.last_issued < FencingToken::last_of_epoch(self.epoch)
    }

    /// Whether a request that has only forget commands may be sent.
    pub(super) fn may_send_only_forgets(&self, now: Instant) -> bool {
        self.sent_at.is_none_or(|at| now.saturating_duration_since(at) >= FORGET_INTERVAL)
    }

    /// Issues the next token, or returns `None` if the epoch has no more. Tokens of the next epoch
    /// belong to the owner of the machine in that epoch and are never issued in advance.
    pub(super) fn next_token(&mut self) -> Option<FencingToken> {
        if self.last_issued >= FencingToken::last_of_epoch(self.epoch) {
            return None;
        }
        self.last_issued = self.last_issued.next();
        Some(self.last_issued)
    }

    /// Whether the tokens of this epoch will soon be used up.
    pub(super) fn tokens_run_low(&self) -> bool {
        self.last_issued.is_near_end_of_epoch(self.epoch)
    }

    /// Begins a request with a higher token than all before. Returns `None` if the epoch has no
    /// token left; then nothing may be sent.
    pub(super) fn begin(&mut self, commands: &[Command], now: Instant) -> Option<FencingToken> {
        let token = self.next_token()?;
        self.pending = Some(PendingRequest { token, has_launches: commands.iter().any(is_launch) });
        self.sent_at = Some(now);
        Some(token)
    }

    /// Notes that the request with this token was answered. Returns `false`, as does
    /// [`Self::fail`], if the request is no longer pending because the epoch has changed: its
    /// outcome must not complete the request that is pending now.
    pub(super) fn complete(&mut self, token: FencingToken) -> bool {
        let Some(request) = self.pending.take_if(|request| request.token == token) else { return false };
        self.failures = 0;
        self.retry_at = None;
        if request.has_launches {
            // The next heartbeat response has a higher token, so that the worker drops a copy of the
            // request that arrives later.
            self.next_token();
        }
        true
    }

    /// Most bytes of the commands in a message.
    pub(super) fn max_command_bytes(&self) -> usize {
        self.max_command_bytes
    }

    /// Notes that the request with this token was refused for its size. The worker is reachable, but
    /// the same commands would be refused again.
    pub(super) fn refuse_as_too_large(&mut self, token: FencingToken, now: Instant) -> bool {
        let failures = self.failures;
        let is_pending = self.fail(token, now);
        if is_pending && self.max_command_bytes > MIN_COMMANDS_BYTES {
            self.max_command_bytes = (self.max_command_bytes / 2).max(MIN_COMMANDS_BYTES);
            self.failures = failures;
        }
        is_pending
    }

    /// Notes that the request with this token was not answered.
    pub(super) fn fail(&mut self, token: FencingToken, now: Instant) -> bool {
        let Some(request) = self.pending.take_if(|request| request.token == token) else { return false };
        self.failures += 1;
        self.retry_at = Some(now + RETRY_BACKOFF * self.failures.min(MAX_BACKOFF_FACTOR));
        // The request may arrive minutes late, but has no effect once the worker has seen a later
        // token. Only launches have to be ruled out this way: if every failed request raised the
        // token that the worker has to show, it would always be one that the worker has not seen
        // yet.
        let later = self.next_token().unwrap_or_else(|| FencingToken::first_of_epoch(self.epoch + 1));
        if request.has_launches {
            self.launch_fence = later;
        }
        true
    }
}

/// Whether a command starts a task.
pub(super) fn is_launch(command: &Command) -> bool {
    matches!(command, Command::Start { .. })
}

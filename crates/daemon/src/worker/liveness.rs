//! When a worker was last heard from, and whether it hears its owner.

use std::time::{Duration, Instant};

use super::FencingToken;

/// With so many heartbeats that do not show the token of the response before, responses are taken
/// not to reach the worker.
const MAX_MISSED_RESPONSES: u32 = 2;

/// Why a worker sent its status.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StatusOrigin {
    /// It is a heartbeat, which the worker sends by itself.
    Heartbeat,
    /// It answers a request of the owner, so the worker hears.
    Response,
}

/// What a worker's status says of whether it hears its owner.
#[derive(Debug, Clone, Copy)]
pub(super) struct HearingEvidence {
    /// Why the status was sent.
    pub(super) origin: StatusOrigin,
    /// The highest token that the worker has seen.
    pub(super) token: FencingToken,
    /// Whether the worker's lease expired although its heartbeats were answered.
    pub(super) lost_lease: bool,
}

/// What is known of a worker's liveness.
#[derive(Debug)]
pub(super) struct Liveness {
    /// Since when this controller has owned the machine.
    pub(super) owned_since: Instant,
    /// When the worker last sent a heartbeat by itself to this controller, its owner.
    reported_at: Instant,
    /// When a status of the worker was last received, for whatever reason it was sent.
    pub(super) last_heartbeat_at: Option<Instant>,
    /// When a heartbeat was last answered such that it renews the lease.
    lease_renewed_at: Option<Instant>,
    /// The worker was asked for its status since this controller owns it, and did not answer.
    probe_failed: bool,
    /// Until when this controller was paused, so that silence is no sign of failure.
    paused_until: Option<Instant>,
    /// Since when responses and commands have not reached the worker, by its own heartbeats. It is
    /// alive, but nothing can be given to it.
    unreachable_since: Option<Instant>,
    /// The token of the last response.
    response_token: FencingToken,
    /// How many heartbeats have not shown it.
    missed_responses: u32,
}

impl Liveness {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            owned_since: now,
            reported_at: now,
            last_heartbeat_at: None,
            lease_renewed_at: None,
            probe_failed: false,
            paused_until: None,
            unreachable_since: None,
            response_token: FencingToken::NONE,
            missed_responses: 0,
        }
    }

    /// Forgets the responses of the epoch before.
    pub(super) fn enter_epoch(&mut self) {
        self.lease_renewed_at = None;
        self.response_token = FencingToken::NONE;
        self.missed_responses = 0;
    }

    /// Notes that a status was received.
    pub(super) fn note_received(&mut self, origin: StatusOrigin, now: Instant) {
        if origin == StatusOrigin::Heartbeat {
            self.reported_at = now;
        }
        self.last_heartbeat_at = Some(now);
    }

    /// Detects a worker that is heard but does not hear: its heartbeats do not show the token of
    /// the response before, or its lease expired although its heartbeats were answered.
    pub(super) fn note_evidence(&mut self, evidence: HearingEvidence, now: Instant) {
        let HearingEvidence { origin, token, lost_lease } = evidence;
        let is_heartbeat = origin == StatusOrigin::Heartbeat;
        let shows_response =
            self.response_token > FencingToken::NONE && token >= self.response_token && !lost_lease;
        if !is_heartbeat || shows_response {
            self.missed_responses = 0;
            self.unreachable_since = None;
        } else if token < self.response_token {
            self.missed_responses += 1;
        }
        if is_heartbeat && (self.missed_responses >= MAX_MISSED_RESPONSES || lost_lease) {
            self.unreachable_since.get_or_insert(now);
        }
    }

    /// Notes that a response with this token renews the worker's lease.
    pub(super) fn renew_lease(&mut self, token: FencingToken, now: Instant) {
        self.lease_renewed_at = Some(now);
        self.response_token = self.response_token.max(token);
    }

    /// Whether a heartbeat of this epoch was answered.
    pub(super) fn was_renewed(&self) -> bool {
        self.lease_renewed_at.is_some()
    }

    /// Whether a lease of this length has expired that was renewed in this epoch. A heartbeat is
    /// sent before its response, so the lease counts from the last response at the latest.
    pub(super) fn has_lease_expired(&self, lease: Duration, now: Instant) -> bool {
        let is_over = |since: Instant| now.saturating_duration_since(since) > lease;
        self.last_heartbeat_at.is_none_or(is_over) && self.lease_renewed_at.is_some_and(is_over)
    }

    /// Whether responses reach the worker, as far as its heartbeats tell.
    #[inline]
    pub(super) fn is_reachable(&self) -> bool {
        self.unreachable_since.is_none()
    }

    /// Notes that this controller was paused until now: what it did not hear meanwhile says
    /// nothing of the worker.
    pub(super) fn note_pause(&mut self, now: Instant) {
        self.paused_until = Some(now);
    }

    /// Notes that a request for the worker's status was not answered.
    pub(super) fn note_probe_failure(&mut self) {
        self.probe_failed = true;
    }

    /// How long the worker has not sent heartbeats by itself.
    #[inline]
    pub(super) fn without_heartbeats_for(&self, now: Instant) -> Duration {
        self.unexcused_time(self.reported_at, now)
    }

    /// How long nothing was heard from the worker, or nothing reached it. One that was never heard
    /// from is not silent before a probe has failed: an owner that takes over thousands of
    /// machines at once needs time to probe them all, and would give up those at the end.
    #[inline]
    pub(super) fn silent_for(&self, now: Instant) -> Duration {
        if self.last_heartbeat_at.is_none() && !self.probe_failed {
            return Duration::ZERO;
        }
        let unheard = self.unexcused_time(self.last_heartbeat_at.unwrap_or(self.owned_since), now);
        let unreachable =
            self.unreachable_since.map_or(Duration::ZERO, |since| self.unexcused_time(since, now));
        unheard.max(unreachable)
    }

    /// The time since an event, or since a later pause of this controller.
    #[inline]
    fn unexcused_time(&self, since: Instant, now: Instant) -> Duration {
        let since = self.paused_until.map_or(since, |pause| pause.max(since));
        now.saturating_duration_since(since)
    }
}

//! When a worker last sent its status, and whether messages of its owner reach it.

use std::time::{Duration, Instant};

use super::FencingToken;

/// Number of heartbeats without the token of the preceding response after which responses are
/// considered not to reach the worker.
const MAX_MISSED_RESPONSES: u32 = 2;

/// Why a worker sent its status.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StatusOrigin {
    /// A heartbeat, which the worker sends on its own.
    Heartbeat,
    /// The response to a request of the owner, which shows that requests reach the worker.
    Response,
}

/// What a worker's status shows about whether messages of its owner reach it.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReachabilityEvidence {
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
    /// When the worker last sent a heartbeat on its own to this controller; at first, when this
    /// controller became its owner.
    last_heartbeat_at: Instant,
    /// When a status of the worker was last received, of either origin.
    pub(super) last_status_at: Option<Instant>,
    /// When a heartbeat was last answered with a response that renews the lease.
    lease_renewed_at: Option<Instant>,
    /// Whether a request for the worker's status has failed since this controller owns the machine.
    probe_failed: bool,
    /// The end of the last pause of this controller. Silence before that time is no sign of
    /// failure.
    paused_until: Option<Instant>,
    /// Since when responses and commands have not reached the worker, judging by its heartbeats.
    /// The worker is alive, but cannot be given work.
    unreachable_since: Option<Instant>,
    /// The token of the last response.
    response_token: FencingToken,
    /// Number of heartbeats that have not shown `response_token`.
    missed_responses: u32,
}

impl Liveness {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            owned_since: now,
            last_heartbeat_at: now,
            last_status_at: None,
            lease_renewed_at: None,
            probe_failed: false,
            paused_until: None,
            unreachable_since: None,
            response_token: FencingToken::NONE,
            missed_responses: 0,
        }
    }

    /// Clears the responses of the previous epoch.
    pub(super) fn enter_epoch(&mut self) {
        self.lease_renewed_at = None;
        self.response_token = FencingToken::NONE;
        self.missed_responses = 0;
    }

    /// Notes that a status was received.
    pub(super) fn note_received(&mut self, origin: StatusOrigin, now: Instant) {
        if origin == StatusOrigin::Heartbeat {
            self.last_heartbeat_at = now;
        }
        self.last_status_at = Some(now);
    }

    /// Detects a worker that can send to its owner but cannot receive: its heartbeats do not show
    /// the token of the preceding response, or its lease expired although its heartbeats were
    /// answered.
    pub(super) fn note_evidence(&mut self, evidence: ReachabilityEvidence, now: Instant) {
        let ReachabilityEvidence { origin, token, lost_lease } = evidence;
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
    pub(super) fn has_renewed_lease(&self) -> bool {
        self.lease_renewed_at.is_some()
    }

    /// Whether a lease of this length that was renewed in this epoch has expired. The worker sends
    /// each heartbeat before the response to it is sent, so the lease starts no later than the last
    /// response.
    pub(super) fn has_lease_expired(&self, lease: Duration, now: Instant) -> bool {
        let is_over = |since: Instant| now.saturating_duration_since(since) > lease;
        self.last_status_at.is_none_or(is_over) && self.lease_renewed_at.is_some_and(is_over)
    }

    /// Whether responses reach the worker, judging by its heartbeats.
    #[inline]
    pub(super) fn is_reachable(&self) -> bool {
        self.unreachable_since.is_none()
    }

    /// Notes that this controller was paused until now: it could not receive anything in the
    /// meantime, so that silence says nothing about the worker.
    pub(super) fn note_pause(&mut self, now: Instant) {
        self.paused_until = Some(now);
    }

    /// Notes that a request for the worker's status was not answered.
    pub(super) fn note_probe_failure(&mut self) {
        self.probe_failed = true;
    }

    /// How long the worker has not sent a heartbeat on its own.
    #[inline]
    pub(super) fn time_since_heartbeat(&self, now: Instant) -> Duration {
        self.time_since_event_or_pause(self.last_heartbeat_at, now)
    }

    /// How long nothing has been received from the worker, or nothing has reached it. A worker that
    /// has not sent anything yet does not count as silent before a probe has failed: an owner that
    /// takes over thousands of machines at once needs time to probe them all, and would give up
    /// those that it probes last.
    #[inline]
    pub(super) fn silent_for(&self, now: Instant) -> Duration {
        if self.last_status_at.is_none() && !self.probe_failed {
            return Duration::ZERO;
        }
        let time_without_status =
            self.time_since_event_or_pause(self.last_status_at.unwrap_or(self.owned_since), now);
        let unreachable =
            self.unreachable_since.map_or(Duration::ZERO, |since| self.time_since_event_or_pause(since, now));
        time_without_status.max(unreachable)
    }

    /// The time since an event, or since the end of a later pause of this controller.
    #[inline]
    fn time_since_event_or_pause(&self, since: Instant, now: Instant) -> Duration {
        let since = self.paused_until.map_or(since, |pause| pause.max(since));
        now.saturating_duration_since(since)
    }
}

use std::collections::HashSet;
use std::time::Duration;

use net::Reply;
use rand::RngExt;
use rand::rngs::StdRng;

use crate::state::Watch;

/// Faults injected into the requests to a service. Shares are of all requests, from 0 to 1.
#[derive(Debug, Clone, Default)]
pub struct ServiceFaults {
    /// All requests are refused; leases of the state service do not expire meanwhile.
    pub outage: bool,
    /// The state service refuses these callers; their leases still expire.
    pub refused: HashSet<usize>,
    /// Share of the answers that take up to `max_answer_delay` instead of a few milliseconds.
    pub slow_share: f64,
    pub max_answer_delay: Duration,
    /// Share of the requests that are executed up to `max_execution_delay` after they arrive, and
    /// are not answered.
    pub late_share: f64,
    pub max_execution_delay: Duration,
    /// Share of the requests that are executed at once and not answered.
    pub lost_share: f64,
}

/// What happens with a request that a service received.
#[derive(Debug)]
pub enum RequestOutcome {
    /// The reply is sent after the delay.
    Answer(Reply, Duration),
    /// The reply is sent when `StateService::poll_watch` returns one.
    Wait(Watch),
    /// The request was executed, but the caller gets no reply.
    Lost,
    /// The request must be passed to `execute` after the delay; the caller gets no reply.
    Late(Duration),
}

/// Latency of answers without injected faults: the normal range, and a higher one that occurs now
/// and then.
const NORMAL_LATENCY_MS: std::ops::Range<u64> = 1..8;
const OCCASIONAL_LATENCY_MS: std::ops::Range<u64> = 100..400;
const OCCASIONAL_LATENCY_SHARE: f64 = 0.002;

fn happens(share: f64, rng: &mut StdRng) -> bool {
    share > 0.0 && rng.random_bool(share.min(1.0))
}

impl ServiceFaults {
    /// Draws whether a request is executed late, and if so, after which delay.
    pub(crate) fn draw_execution_delay(&self, rng: &mut StdRng) -> Option<Duration> {
        happens(self.late_share, rng).then(|| self.max_execution_delay.mul_f64(rng.random_range(0.0..1.0)))
    }

    /// Draws whether a reply is lost, and if not, its latency.
    pub(crate) fn draw_answer_outcome(&self, reply: Reply, rng: &mut StdRng) -> RequestOutcome {
        if happens(self.lost_share, rng) {
            return RequestOutcome::Lost;
        }
        let delay = match happens(self.slow_share, rng) {
            true => self.max_answer_delay.mul_f64(rng.random_range(0.1..1.0)),
            false if rng.random_bool(OCCASIONAL_LATENCY_SHARE) => {
                Duration::from_millis(rng.random_range(OCCASIONAL_LATENCY_MS))
            }
            false => Duration::from_millis(rng.random_range(NORMAL_LATENCY_MS)),
        };
        RequestOutcome::Answer(reply, delay)
    }
}

use std::collections::HashSet;
use std::time::Duration;

use net::Reply;
use rand::RngExt;
use rand::rngs::StdRng;

use crate::state::Watch;

/// What goes wrong with the requests to a service. Shares are of all requests, from 0
/// to 1.
#[derive(Debug, Clone, Default)]
pub struct ServiceFaults {
    /// Everybody is refused; of the state service's leases none runs out.
    pub outage: bool,
    /// The state service refuses these callers; their leases run out.
    pub refused: HashSet<usize>,
    /// Answers that take up to `slow` instead of a few milliseconds.
    pub slow_share: f64,
    pub max_answer_delay: Duration,
    /// Requests that are carried out up to `late` after they came, and not answered.
    pub late_share: f64,
    pub max_execution_delay: Duration,
    /// Requests that are carried out at once and not answered.
    pub lost_share: f64,
}

/// What becomes of a request.
#[derive(Debug)]
pub enum RequestOutcome {
    /// It is answered after so long.
    Answer(Reply, Duration),
    /// It is answered once the state service's `check` has an answer.
    Wait(Watch),
    /// It was carried out; nobody hears of it.
    Lost,
    /// It is to be handed to `carry_out` after so long; nobody hears of it.
    Late(Duration),
}

/// What an answer usually takes, and now and then, even when nothing is wrong.
const NORMAL_LATENCY_MS: std::ops::Range<u64> = 1..8;
const OCCASIONAL_LATENCY_MS: std::ops::Range<u64> = 100..400;
const OCCASIONAL_LATENCY_SHARE: f64 = 0.002;

fn happens(share: f64, rng: &mut StdRng) -> bool {
    share > 0.0 && rng.random_bool(share.min(1.0))
}

impl ServiceFaults {
    /// How long after it came a request is carried out, if it is late.
    pub(crate) fn draw_execution_delay(&self, rng: &mut StdRng) -> Option<Duration> {
        happens(self.late_share, rng).then(|| self.max_execution_delay.mul_f64(rng.random_range(0.0..1.0)))
    }

    /// What becomes of the answer.
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

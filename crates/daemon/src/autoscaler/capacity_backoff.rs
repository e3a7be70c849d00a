//! The back-off from offers that the cloud has no capacity for.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use sched::autoscaling::MachineOffer;

/// The first back-off from an offer; each further one is twice as long.
const MIN_CAPACITY_BACKOFF: Duration = Duration::from_secs(20);
/// Longest back-off from an offer.
const MAX_CAPACITY_BACKOFF: Duration = Duration::from_secs(60);

/// The latest back-off from an offer.
#[derive(Debug, Clone, Copy)]
struct Backoff {
    /// When the offer may be requested again.
    ends_at: Instant,
    /// How long it lasts.
    duration: Duration,
}

/// Offers without capacity. An entry stays after its back-off has ended, until machines of the
/// offer are granted or released, so that the next back-off is longer.
#[derive(Debug, Default)]
pub struct CapacityBackoffs {
    offers: HashMap<MachineOffer, Backoff>,
}

impl CapacityBackoffs {
    /// Whether an offer is not to be requested now.
    pub fn is_active(&self, offer: &MachineOffer, now: Instant) -> bool {
        self.offers.get(offer).is_some_and(|backoff| now < backoff.ends_at)
    }

    /// The cloud has no capacity for an offer.
    pub fn start(&mut self, offer: MachineOffer, now: Instant) {
        let previous = self.offers.get(&offer);
        let duration =
            previous.map_or(MIN_CAPACITY_BACKOFF, |backoff| (backoff.duration * 2).min(MAX_CAPACITY_BACKOFF));
        self.offers.insert(offer, Backoff { ends_at: now + duration, duration });
    }

    /// There is capacity for an offer again.
    pub fn clear(&mut self, offer: &MachineOffer) {
        self.offers.remove(offer);
    }
}

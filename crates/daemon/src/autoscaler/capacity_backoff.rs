//! Back-off for offers that the cloud has no capacity for or refuses.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use sched::autoscaling::MachineOffer;

/// First back-off of an offer; each further one is twice as long.
const MIN_CAPACITY_BACKOFF: Duration = Duration::from_secs(20);
/// Maximum back-off of an offer.
const MAX_CAPACITY_BACKOFF: Duration = Duration::from_secs(60);

/// The latest back-off of an offer.
#[derive(Debug, Clone, Copy)]
struct Backoff {
    /// When the offer may be requested again.
    ends_at: Instant,
    /// How long it lasts; the next back-off is derived from it.
    duration: Duration,
}

/// Offers that the cloud had no capacity for, or refused. An entry outlives its back-off, until
/// machines of the offer are granted or released, so that the next back-off is longer.
#[derive(Debug, Default)]
pub struct CapacityBackoffs {
    offers: HashMap<MachineOffer, Backoff>,
}

impl CapacityBackoffs {
    /// Whether the offer is in back-off and must not be requested now.
    pub fn is_active(&self, offer: &MachineOffer, now: Instant) -> bool {
        self.offers.get(offer).is_some_and(|backoff| now < backoff.ends_at)
    }

    /// Starts a back-off because the cloud has no capacity for the offer, or refuses it.
    pub fn start(&mut self, offer: MachineOffer, now: Instant) {
        let previous = self.offers.get(&offer);
        let duration =
            previous.map_or(MIN_CAPACITY_BACKOFF, |backoff| (backoff.duration * 2).min(MAX_CAPACITY_BACKOFF));
        self.offers.insert(offer, Backoff { ends_at: now + duration, duration });
    }

    /// Ends the back-off because there is capacity for the offer again; the next one is short.
    pub fn clear(&mut self, offer: &MachineOffer) {
        self.offers.remove(offer);
    }
}

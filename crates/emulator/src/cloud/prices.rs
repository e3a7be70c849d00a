use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand::RngExt;
use rand::rngs::StdRng;
use wire::MachineType;

use crate::worker::MachineInfo;

/// Spot prices, which vary around the nominal ones, and the total cost of the machines.
pub struct Prices {
    /// Current spot price as a multiple of the nominal one, by machine type.
    factors: BTreeMap<String, f64>,
    next: Instant,
    pub spent: f64,
}

/// How often spot prices change.
const PRICE_UPDATE_INTERVAL: Duration = Duration::from_secs(30);
/// Largest deviation of a spot price, as a share of the nominal one.
const MAX_PRICE_DEVIATION: f64 = 1.0 / 3.0;
/// A deleted machine is charged for at least this time.
const MIN_BILLED_TIME: Duration = Duration::from_secs(60);

impl Prices {
    pub fn new(types: &[MachineType], now: Instant) -> Self {
        let factors = types.iter().map(|t| (t.name.clone(), 1.0)).collect();
        Self { factors, next: now + PRICE_UPDATE_INTERVAL, spent: 0.0 }
    }

    pub fn due(&self, now: Instant) -> bool {
        now >= self.next
    }

    pub fn update(&mut self, now: Instant, rng: &mut StdRng) {
        for factor in self.factors.values_mut() {
            *factor = (*factor + rng.random_range(-0.08..0.08))
                .clamp(1.0 - MAX_PRICE_DEVIATION, 1.0 + MAX_PRICE_DEVIATION);
        }
        self.next = now + PRICE_UPDATE_INTERVAL;
    }

    fn spot_price(&self, t: &MachineType) -> f64 {
        t.spot_price * self.factors.get(&t.name).copied().unwrap_or(1.0)
    }

    /// The machine types with the current spot prices.
    pub fn current(&self, types: &[MachineType]) -> Vec<MachineType> {
        types.iter().map(|t| MachineType { spot_price: self.spot_price(t), ..t.clone() }).collect()
    }

    fn add(&mut self, machine: &MachineInfo, time: Duration) {
        let t = &machine.machine_type;
        let price_per_hour = if machine.spot { self.spot_price(t) } else { t.price };
        self.spent += price_per_hour * time.as_secs_f64() / 3600.0;
    }

    pub fn charge(&mut self, machine: &MachineInfo, from: Instant, to: Instant) {
        self.add(machine, to.saturating_duration_since(from));
    }

    /// Charges a machine that is deleted at this age for the rest of the minimum billed time.
    pub fn charge_minimum(&mut self, machine: &MachineInfo, age: Duration) {
        self.add(machine, MIN_BILLED_TIME.saturating_sub(age));
    }
}

use std::time::{Duration, Instant};

use rand::RngExt;
use rand::rngs::StdRng;
use wire::{ListedMachine, MachineStatus};

use super::{CloudSettings, FAILURE_LIST_DELAY};
use crate::worker::MachineInfo;

/// Why a machine ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineEnd {
    Deleted,
    /// The cloud reclaimed the spot machine.
    Reclaimed,
    /// The machine failed. It stays listed until it is deleted.
    Failed,
}

/// A rented machine and its planned events.
pub struct Machine {
    pub info: MachineInfo,
    pub rented_at: Instant,
    /// When the machine comes up; None: never.
    pub up_at: Option<Instant>,
    pub up_reported: bool,
    pub fails_at: Option<Instant>,
    /// When the cloud gives notice, or reclaims the machine without one.
    pub reclaim_at: Option<Instant>,
    pub notice_given: bool,
    /// When the notice ends and the machine is reclaimed.
    pub taken_at: Option<Instant>,
    pub end: Option<(Instant, MachineEnd)>,
    /// The rental is charged up to this time.
    pub charged_until: Instant,
    ever_listed: bool,
}

/// Draws an exponentially distributed time, which has the same probability of ending in any second.
fn draw_life(mean: Option<Duration>, rng: &mut StdRng) -> Option<Duration> {
    mean.map(|m| m.mul_f64(-(1.0 - rng.random_range(0.0..1.0_f64)).ln()))
}

impl Machine {
    pub fn new(info: MachineInfo, settings: &CloudSettings, now: Instant, rng: &mut StdRng) -> Self {
        let usual = Duration::try_from_secs_f64(info.machine_type.boot_s).unwrap_or_default();
        let (never, slow) = (settings.never_up, settings.never_up + settings.slow_boots);
        let boot = match rng.random_range(0.0..1.0) {
            x if x < never => None,
            x if x < slow => Some(usual.mul_f64(rng.random_range(2.0..5.0))),
            x if x < slow + settings.quick_boots => Some(Duration::from_millis(rng.random_range(300..2000))),
            _ => Some(usual.mul_f64(rng.random_range(0.6..1.5))),
        };
        let up_at = boot.map(|b| now + b);
        let from = up_at.unwrap_or(now);
        let spot_life = settings.spot_life.filter(|_| info.spot);
        Self {
            info,
            rented_at: now,
            up_at,
            up_reported: false,
            fails_at: draw_life(settings.life, rng).map(|l| from + l),
            reclaim_at: draw_life(spot_life, rng).map(|l| from + l),
            notice_given: false,
            taken_at: None,
            end: None,
            charged_until: now,
            ever_listed: false,
        }
    }

    /// The machine's item in a list that is `lag` old; None if the list does not have the machine.
    pub fn listed(&mut self, lag: Duration, now: Instant) -> Option<ListedMachine> {
        let was = |at: Instant| at + lag <= now;
        if !self.ever_listed && !was(self.rented_at) {
            return None;
        }
        if matches!(self.end, Some((at, MachineEnd::Deleted | MachineEnd::Reclaimed)) if was(at)) {
            return None;
        }
        self.ever_listed = true;
        let status = match self.end {
            Some((at, MachineEnd::Failed)) if was(at + FAILURE_LIST_DELAY) => MachineStatus::Failed,
            _ if self.up_at.is_some_and(was) => MachineStatus::Running,
            _ => MachineStatus::Booting,
        };
        Some(ListedMachine {
            id: self.info.name.clone(),
            addr: Some(self.info.addr.clone()),
            machine_type: self.info.machine_type.name.clone(),
            zone: self.info.zone.clone(),
            spot: self.info.spot,
            status,
            age_s: now.saturating_duration_since(self.rented_at).saturating_sub(lag).as_secs_f64(),
        })
    }
}

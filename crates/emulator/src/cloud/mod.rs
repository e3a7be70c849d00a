//! The cloud, which rents out machines by the second, as specified in "Controller nodes -> cloud"
//! of the protocol document.

mod machine;
mod prices;

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use net::{Reply, Request};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use wire::{MachineList, MachineNames, MachineType, MachineTypes, RentRequest};

use crate::service_faults::{RequestOutcome, ServiceFaults};
use crate::state::query;
use crate::token_bucket::TokenBucket;
use crate::worker::MachineInfo;
use machine::{Machine, MachineEnd};
use prices::Prices;

#[derive(Debug, Clone)]
pub struct CloudSettings {
    pub types: Vec<MachineType>,
    /// The number of ordinary and spot machines by type and zone; none of those not listed.
    pub capacity: HashMap<(String, String), (u32, u32)>,
    pub rps: f64,
    pub list_lag: Duration,
    /// Share of the machines that boot slowly.
    pub slow_boots: f64,
    /// Share of the machines that boot within two seconds.
    pub quick_boots: f64,
    /// Share of the machines that never come up.
    pub never_up: f64,
    /// Mean time until a spot machine is reclaimed; None: never.
    pub spot_life: Option<Duration>,
    /// Mean time until a machine fails; None: never.
    pub life: Option<Duration>,
    /// Nominal time from a spot notice to the end of the machine.
    pub notice: Duration,
    /// Share of the spot machines that are reclaimed without notice.
    pub no_notice: f64,
    /// The number in the name of the first machine. Machine names must never be reused, so it must
    /// be higher than all numbers of earlier runs whose names are still known.
    pub first_number: u64,
}

/// An event of a machine, for the owner of its worker.
#[derive(Debug, Clone, PartialEq)]
pub enum MachineEvent {
    Up(String),
    /// The spot machine will be reclaimed at this time.
    Notice(String, Instant),
    /// The machine was deleted, reclaimed or failed.
    Gone(String),
}

/// Assigns an address to a new machine; None if no address is left.
pub type Addresses = Box<dyn FnMut(&str) -> Option<String> + Send>;

const MAX_RENT_COUNT: u32 = 50;
const MAX_RELEASE_COUNT: usize = 100;
const MAX_PAGE_MACHINES: usize = 500;
/// Largest burst of requests, in seconds of the rate.
const BURST_S: f64 = 2.0;
/// How long a failed machine is still listed as running.
const FAILURE_LIST_DELAY: Duration = Duration::from_secs(30);
/// How often the lag of the machine list changes.
const LAG_REDRAW_INTERVAL: Duration = Duration::from_secs(1);

pub struct Cloud {
    settings: CloudSettings,
    addresses: Addresses,
    machines: BTreeMap<String, Machine>,
    /// Names of the machines in the answer to each rental request that succeeded, by the id of the
    /// request. A repeated request gets the same answer.
    completed_rentals: HashMap<String, Vec<String>>,
    prices: Prices,
    faults: ServiceFaults,
    bucket: TokenBucket,
    /// Current lag of the machine list, and until when it applies.
    lag: (Duration, Instant),
    next: u64,
    events: Vec<MachineEvent>,
    rng: StdRng,
}

impl Cloud {
    pub fn new(settings: CloudSettings, addresses: Addresses, seed: u64, now: Instant) -> Self {
        let bucket = TokenBucket::new(settings.rps, BURST_S, now);
        let prices = Prices::new(&settings.types, now);
        let next = settings.first_number;
        Self {
            settings,
            addresses,
            machines: BTreeMap::new(),
            completed_rentals: HashMap::new(),
            prices,
            faults: ServiceFaults::default(),
            bucket,
            lag: (Duration::ZERO, now),
            next,
            events: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    pub fn faults(&self) -> &ServiceFaults {
        &self.faults
    }

    pub fn set_faults(&mut self, faults: ServiceFaults) {
        self.faults = faults;
    }

    /// The properties of a machine.
    pub fn info(&self, name: &str) -> Option<MachineInfo> {
        self.machines.get(name).map(|m| m.info.clone())
    }

    /// The rented machines that have not ended.
    pub fn live(&self) -> impl Iterator<Item = &MachineInfo> {
        self.machines.values().filter(|m| m.end.is_none()).map(|m| &m.info)
    }

    /// Money spent so far, in the currency of the prices.
    pub fn spent(&mut self, now: Instant) -> f64 {
        self.charge(now);
        self.prices.spent
    }

    fn charge(&mut self, now: Instant) {
        for m in self.machines.values_mut().filter(|m| m.end.is_none()) {
            self.prices.charge(&m.info, m.charged_until, now);
            m.charged_until = m.charged_until.max(now);
        }
    }

    /// Handles a request and applies the injected faults.
    pub fn handle(&mut self, request: &Request, now: Instant) -> RequestOutcome {
        if let Some(delay) = self.faults.draw_execution_delay(&mut self.rng) {
            return RequestOutcome::Late(delay);
        }
        let reply = self.execute(request, now);
        self.faults.draw_answer_outcome(reply, &mut self.rng)
    }

    /// Executes a request now.
    pub fn execute(&mut self, request: &Request, now: Instant) -> Reply {
        self.poll(now);
        if self.faults.outage {
            return Reply::error(503, "the cloud is unavailable");
        }
        if !self.bucket.take(1.0, now) {
            return Reply::error(429, "too many requests");
        }
        let Ok((path, query)) = query(&request.path) else { return Reply::error(400, "malformed path") };
        match (request.method.as_str(), path.as_str()) {
            ("GET", "/machine_types") => {
                Reply::new(200, &MachineTypes { types: self.prices.current(&self.settings.types) })
            }
            ("POST", "/machines") => match wire::decode_request(&request.body) {
                Ok(rental) => self.rent(rental, now),
                Err(_) => Reply::error(400, "the body is not a rental request"),
            },
            ("POST", "/machines/release") => match wire::decode_request::<MachineNames>(&request.body) {
                Ok(names) if names.machines.len() <= MAX_RELEASE_COUNT => {
                    names.machines.iter().for_each(|name| self.delete(name, now));
                    Reply::new(200, &MachineNames { machines: names.machines })
                }
                _ => Reply::error(400, "the body is not a list of up to 100 machine names"),
            },
            ("GET", "/machines") => {
                let value = |name: &str| query.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str());
                let page = value("page").map_or(Ok(MAX_PAGE_MACHINES), str::parse);
                match page {
                    Ok(page) if (1..=MAX_PAGE_MACHINES).contains(&page) => {
                        Reply::new(200, &self.list(value("after").unwrap_or_default(), page, now))
                    }
                    _ => Reply::error(400, "page must be 1 to 500"),
                }
            }
            _ => Reply::error(404, "no such path"),
        }
    }

    fn rent(&mut self, rental: RentRequest, now: Instant) -> Reply {
        if let Some(machines) = self.completed_rentals.get(&rental.request) {
            return Reply::new(200, &MachineNames { machines: machines.clone() });
        }
        let Some(machine_type) = self.settings.types.iter().find(|t| t.name == rental.machine_type).cloned()
        else {
            return Reply::error(400, "no such shape");
        };
        if !machine_type.zones.contains(&rental.zone)
            || !(1..=MAX_RENT_COUNT).contains(&rental.count)
            || rental.request.is_empty()
        {
            return Reply::error(400, "malformed rental request");
        }
        let capacity = self.settings.capacity.get(&(rental.machine_type.clone(), rental.zone.clone()));
        let capacity = capacity.map_or(0, |(ordinary, spot)| if rental.spot { *spot } else { *ordinary });
        let is_same_kind = |i: &&MachineInfo| {
            i.machine_type.name == rental.machine_type && i.zone == rental.zone && i.spot == rental.spot
        };
        let free = capacity.saturating_sub(self.live().filter(is_same_kind).count() as u32);
        let mut names = Vec::new();
        for _ in 0..free.min(rental.count) {
            let name = format!("host-{:06}", self.next);
            let Some(addr) = (self.addresses)(&name) else { break };
            self.next += 1;
            let (zone, machine_type) = (rental.zone.clone(), machine_type.clone());
            let info = MachineInfo { name: name.clone(), addr, machine_type, zone, spot: rental.spot };
            let machine = Machine::new(info, &self.settings, now, &mut self.rng);
            self.machines.insert(name.clone(), machine);
            names.push(name);
        }
        if names.is_empty() {
            return Reply::error(503, "no capacity");
        }
        self.completed_rentals.insert(rental.request, names.clone());
        Reply::new(200, &MachineNames { machines: names })
    }

    fn delete(&mut self, name: &str, now: Instant) {
        let Some(m) = self.machines.get_mut(name) else { return };
        match m.end {
            Some((_, MachineEnd::Failed)) => m.end = Some((now, MachineEnd::Deleted)),
            Some(_) => {}
            None => {
                self.prices.charge(&m.info, m.charged_until, now);
                self.prices.charge_minimum(&m.info, now.saturating_duration_since(m.rented_at));
                m.end = Some((now, MachineEnd::Deleted));
                self.events.push(MachineEvent::Gone(name.to_owned()));
            }
        }
    }

    /// Sets the share of newly rented machines that never come up.
    pub fn set_never_up(&mut self, share: f64) {
        self.settings.never_up = share;
    }

    /// Ends a machine that failed or is reclaimed.
    fn end_machine(&mut self, name: &str, end: MachineEnd, now: Instant) {
        let Some(m) = self.machines.get_mut(name).filter(|m| m.end.is_none()) else { return };
        self.prices.charge(&m.info, m.charged_until, now);
        m.end = Some((now, end));
        self.events.push(MachineEvent::Gone(name.to_owned()));
    }

    /// Makes a machine fail now.
    pub fn kill(&mut self, name: &str, now: Instant) {
        self.end_machine(name, MachineEnd::Failed, now);
    }

    /// Gives a spot machine its notice now, or reclaims it at once if `notice` is None.
    pub fn reclaim(&mut self, name: &str, notice: Option<Duration>, now: Instant) {
        match notice {
            None => self.end_machine(name, MachineEnd::Reclaimed, now),
            Some(notice) => {
                if let Some(m) = self.machines.get_mut(name).filter(|m| m.info.spot && m.end.is_none()) {
                    m.notice_given = true;
                    m.taken_at = Some(now + notice);
                    self.events.push(MachineEvent::Notice(name.to_owned(), now + notice));
                }
            }
        }
    }

    /// Draws the length of a notice, half to one and a half times the nominal one; None: no notice.
    pub fn draw_notice(&mut self) -> Option<Duration> {
        let is_without_notice = self.rng.random_bool(self.settings.no_notice.clamp(0.0, 1.0));
        (!is_without_notice).then(|| self.settings.notice.mul_f64(self.rng.random_range(0.5..1.5)))
    }

    /// Advances the cloud to `now` and records the events of machines for `take_events`.
    pub fn poll(&mut self, now: Instant) {
        if self.prices.due(now) {
            self.charge(now);
            self.prices.update(now, &mut self.rng);
        }
        let due = |at: Option<Instant>| at.is_some_and(|at| at <= now);
        let names: Vec<String> =
            self.machines.iter().filter(|(_, m)| m.end.is_none()).map(|(n, _)| n.clone()).collect();
        for name in names {
            let Some(m) = self.machines.get_mut(&name) else { continue };
            if !m.up_reported && due(m.up_at) {
                m.up_reported = true;
                self.events.push(MachineEvent::Up(name.clone()));
            }
            if due(m.taken_at) {
                self.end_machine(&name, MachineEnd::Reclaimed, now);
            } else if due(m.fails_at) {
                self.end_machine(&name, MachineEnd::Failed, now);
            } else if !m.notice_given && due(m.reclaim_at) {
                m.notice_given = true;
                let notice = self.draw_notice();
                self.reclaim(&name, notice, now);
            }
        }
        // Ended machines are kept while lagging lists may still show them.
        let max_list_lag = self.settings.list_lag * 2 + Duration::from_secs(5);
        self.machines.retain(|_, m| {
            !matches!(m.end, Some((at, MachineEnd::Deleted | MachineEnd::Reclaimed))
                if at + max_list_lag <= now)
        });
    }

    pub fn take_events(&mut self) -> Vec<MachineEvent> {
        std::mem::take(&mut self.events)
    }

    fn list(&mut self, after: &str, page: usize, now: Instant) -> MachineList {
        if now >= self.lag.1 {
            // One time in ten up to twice the usual lag, so a list may be older than the previous one.
            let times = if self.rng.random_bool(0.1) { 1.0..2.0 } else { 0.3..1.0 };
            self.lag =
                (self.settings.list_lag.mul_f64(self.rng.random_range(times)), now + LAG_REDRAW_INTERVAL);
        }
        let lag = self.lag.0;
        let range = (std::ops::Bound::Excluded(after), std::ops::Bound::Unbounded);
        let mut machines = Vec::new();
        for (_, m) in self.machines.range_mut::<str, _>(range) {
            let Some(list_item) = m.listed(lag, now) else { continue };
            if machines.len() == page {
                return MachineList { machines, has_more: true };
            }
            machines.push(list_item);
        }
        MachineList { machines, has_more: false }
    }
}

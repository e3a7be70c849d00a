//! Troubles: each is an event with its numbers, so that a day is a list of them. Days are
//! drawn as combinations of two or three at close moments.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::time::sleep;

use super::machines::{CANCEL_MS, LEASE_MS};
use super::network::{Cut, Held};
use super::state::LateWrites;
use super::{CONTROLLERS, Site};

/// Which controller a trouble is about.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Who {
    Leader,
    Controller(usize),
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Trouble {
    /// Transactions without an answer, carried out 2 to 12 s later, or at once.
    LateWrites {
        share: f64,
        for_ms: u64,
        at_once: bool,
    },
    /// Copies of reports arrive again, seconds to well over a lease later; or just as the
    /// next leader begins, at every controller.
    LateReports {
        share: f64,
        for_ms: u64,
        for_next: bool,
    },
    /// Their reports arrive; answers and commands to them are lost.
    Deaf {
        count: usize,
        for_ms: u64,
    },
    /// They reach no controller; commands reach them.
    Mute {
        count: usize,
        for_ms: u64,
    },
    /// They execute nothing, and then what has queued up.
    Hang {
        count: usize,
        for_ms: u64,
    },
    /// They are gone without a word.
    Lost {
        count: usize,
    },
    /// Spot machines are taken back, with notice.
    Taken {
        count: usize,
    },
    /// The state service refuses one controller alone, and after that all of them.
    Refused {
        who: Who,
        for_ms: u64,
        then_all_ms: u64,
    },
    Outage {
        for_ms: u64,
    },
    SlowState {
        for_ms: u64,
    },
    /// Users call off jobs that run, and some of their machines hang.
    CancelNow {
        count: usize,
        hang_ms: u64,
    },
    CancelAtEnd {
        share: f64,
        for_ms: u64,
    },
    CloseLooks {
        for_ms: u64,
    },
    OddRequests {
        for_ms: u64,
    },
    QuickBoots {
        for_ms: u64,
    },
    /// A controller ends, with or without a word, and is back.
    Restart {
        who: Who,
        orderly: bool,
        away_ms: u64,
    },
    /// The leader ends again and again.
    Leaders {
        count: u64,
        every_ms: u64,
    },
    AllAway {
        for_ms: u64,
    },
    /// Commands or their answers are held up for seconds.
    Held {
        share: f64,
        for_ms: u64,
    },
    /// What controllers say to each other is held up, or lost.
    SlowPeers {
        share: f64,
        for_ms: u64,
    },
    ZoneCut {
        b: bool,
        for_ms: u64,
    },
    NodeCut {
        who: Who,
        from_state: bool,
        from_peers: bool,
        for_ms: u64,
    },
    /// An operator drains machines.
    Drain {
        count: usize,
    },
    /// Jobs come four a second, far beyond the limits; a quarter is cancelled.
    Burst {
        count: u64,
    },
}

/// A trouble, and when it begins.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Event {
    pub(super) at: u64,
    pub(super) trouble: Trouble,
}

impl Trouble {
    /// How long it lasts, all that it starts included.
    pub(super) fn lasts(&self) -> u64 {
        match *self {
            Trouble::LateWrites { for_ms, at_once, .. } => for_ms + if at_once { 0 } else { 12_000 },
            Trouble::LateReports { for_ms, .. } => for_ms + 3 * LEASE_MS,
            Trouble::Refused { for_ms, then_all_ms, .. } => for_ms + then_all_ms,
            Trouble::Held { for_ms, .. } | Trouble::SlowPeers { for_ms, .. } => for_ms + 7000,
            Trouble::Leaders { count, every_ms } => count * every_ms + 2000,
            Trouble::Restart { away_ms, .. } => away_ms,
            Trouble::CancelNow { hang_ms, .. } => hang_ms,
            Trouble::Lost { .. } | Trouble::Taken { .. } => 4000,
            // Long enough for an obstacle to end it.
            Trouble::Drain { .. } => 20_000,
            Trouble::Burst { count } => count * 250,
            Trouble::Deaf { for_ms, .. }
            | Trouble::Mute { for_ms, .. }
            | Trouble::Hang { for_ms, .. }
            | Trouble::Outage { for_ms }
            | Trouble::SlowState { for_ms }
            | Trouble::CancelAtEnd { for_ms, .. }
            | Trouble::CloseLooks { for_ms }
            | Trouble::OddRequests { for_ms }
            | Trouble::QuickBoots { for_ms }
            | Trouble::AllAway { for_ms }
            | Trouble::ZoneCut { for_ms, .. }
            | Trouble::NodeCut { for_ms, .. } => for_ms,
        }
    }

    fn draw(rng: &mut StdRng) -> Self {
        let who = if rng.random_bool(0.6) {
            Who::Leader
        } else {
            Who::Controller(rng.random_range(0..CONTROLLERS))
        };
        let share = rng.random_range(0.1..0.6);
        let count = rng.random_range(1..5);
        // About a lease, more than what a cancellation may take, or short.
        let for_ms = match rng.random_range(0..4) {
            0 => rng.random_range(1000..5000),
            1 => rng.random_range(5000..LEASE_MS),
            2 => rng.random_range(LEASE_MS..LEASE_MS * 2),
            _ => rng.random_range(CANCEL_MS..CANCEL_MS + 12_000),
        };
        let half = |rng: &mut StdRng| rng.random_bool(0.5);
        match rng.random_range(0..27) {
            0 => Trouble::LateWrites { share, for_ms, at_once: false },
            1 => Trouble::LateWrites { share, for_ms, at_once: true },
            2 => Trouble::LateReports { share, for_ms, for_next: false },
            3 => Trouble::LateReports { share, for_ms, for_next: true },
            4 => Trouble::Deaf { count, for_ms },
            5 => Trouble::Mute { count, for_ms },
            6 => Trouble::Hang { count, for_ms },
            7 => Trouble::Lost { count },
            8 => Trouble::Taken { count },
            9 => Trouble::Refused { who, for_ms, then_all_ms: 0 },
            10 => {
                let then_all_ms = CANCEL_MS + rng.random_range(2000..10_000);
                Trouble::Refused { who, for_ms: rng.random_range(200..3000), then_all_ms }
            }
            11 => Trouble::Outage { for_ms },
            12 => Trouble::SlowState { for_ms },
            13 => Trouble::CancelNow { count: rng.random_range(2..8), hang_ms: 0 },
            14 => Trouble::CancelNow { count: rng.random_range(2..8), hang_ms: for_ms },
            15 => Trouble::CancelAtEnd { share: 0.5, for_ms: 20_000 },
            16 => Trouble::CloseLooks { for_ms: 20_000 },
            17 => Trouble::OddRequests { for_ms: 20_000 },
            18 => Trouble::QuickBoots { for_ms: 20_000 },
            19 => Trouble::Restart { who, orderly: half(rng), away_ms: rng.random_range(50..900) },
            20 => Trouble::Restart { who, orderly: half(rng), away_ms: rng.random_range(1000..15_000) },
            21 => Trouble::Leaders { count: 10, every_ms: rng.random_range(3000..6000) },
            22 => Trouble::AllAway { for_ms: rng.random_range(2000..LEASE_MS * 3 / 2) },
            23 => Trouble::Held { share, for_ms: for_ms.min(20_000) },
            24 if half(rng) => Trouble::ZoneCut { b: half(rng), for_ms },
            24 => {
                let from_peers = half(rng);
                Trouble::NodeCut { who, from_state: !from_peers || half(rng), from_peers, for_ms }
            }
            25 => Trouble::SlowPeers { share, for_ms },
            _ => Trouble::Burst { count: rng.random_range(12..40) },
        }
    }
}

/// Combinations that have broken rules before, or that operators fear most.
fn known(rng: &mut StdRng) -> Vec<Trouble> {
    let leader = Who::Leader;
    let lease = LEASE_MS + rng.random_range(1000..LEASE_MS);
    let long = CANCEL_MS + rng.random_range(1000..12_000);
    let count = rng.random_range(2..8);
    let share = rng.random_range(0.2..0.6);
    let looks = Trouble::CloseLooks { for_ms: 15_000 };
    let burst = Trouble::Burst { count: rng.random_range(15..40) };
    let quick =
        Trouble::Restart { who: leader, orderly: rng.random_bool(0.5), away_ms: rng.random_range(30..900) };
    let ends = Trouble::Restart { who: leader, orderly: false, away_ms: rng.random_range(5000..20_000) };
    let cancel = Trouble::CancelNow { count, hang_ms: 0 };
    let hung = Trouble::CancelNow { count, hang_ms: [lease, long][rng.random_range(0..2)] };
    let late = Trouble::LateWrites { share, for_ms: 15_000, at_once: false };
    let copies = |for_next| Trouble::LateReports { share, for_ms: 25_000, for_next };
    let alone = |from_peers| Trouble::NodeCut { who: leader, from_state: true, from_peers, for_ms: long };
    let unreached = [
        Trouble::Deaf { count, for_ms: lease },
        Trouble::Mute { count, for_ms: lease },
        Trouble::Hang { count, for_ms: LEASE_MS * 3 / 4 },
    ][rng.random_range(0..3)];
    match rng.random_range(0..24) {
        0 => vec![burst, unreached, ends, cancel],
        1 => vec![Trouble::Mute { count: 9, for_ms: lease }, burst],
        2 => vec![Trouble::ZoneCut { b: rng.random_bool(0.5), for_ms: lease }, cancel],
        3 => vec![copies(true), ends],
        4 => vec![copies(true), copies(false), quick],
        5 => vec![quick, Trouble::Restart { who: Who::Controller(1), orderly: true, away_ms: 300 }, ends],
        6 => vec![Trouble::CancelAtEnd { share: 0.8, for_ms: 25_000 }, looks],
        7 => vec![burst, looks, quick],
        8 => vec![Trouble::Leaders { count: 10, every_ms: 5000 }, Trouble::Outage { for_ms: lease }],
        9 => vec![late, cancel, ends],
        10 => vec![burst, hung, ends],
        11 => vec![Trouble::AllAway { for_ms: lease }, unreached],
        12 => vec![ends, unreached],
        13 => vec![alone(true), cancel, looks],
        14 => vec![
            Trouble::Refused { who: leader, for_ms: 1500, then_all_ms: long },
            cancel,
            Trouble::SlowPeers { share, for_ms: long },
        ],
        15 => vec![Trouble::SlowState { for_ms: long }, cancel, looks],
        16 => vec![
            Trouble::LateWrites { share, for_ms: 15_000, at_once: true },
            looks,
            Trouble::OddRequests { for_ms: 15_000 },
        ],
        17 => vec![copies(false), quick, Trouble::Lost { count: 3 }],
        // Teams are at their limits, and what is called off may still be on its way.
        20..23 => vec![burst, Trouble::Held { share: 0.7, for_ms: 20_000 }, cancel],
        23 => vec![burst, Trouble::SlowPeers { share, for_ms: 20_000 }, quick, unreached],
        18 => vec![Trouble::QuickBoots { for_ms: 15_000 }, burst, late, ends],
        _ => vec![Trouble::Held { share: 0.7, for_ms: 15_000 }, hung, quick],
    }
}

/// A day's combinations, by its seed.
pub(super) fn draw(seed: u64, combinations: usize) -> Vec<Event> {
    let mut rng = StdRng::seed_from_u64(seed ^ 0x5eed);
    let mut events = Vec::new();
    let mut at = rng.random_range(12_000..25_000);
    for _ in 0..combinations {
        let mut meet = match rng.random_bool(0.5) {
            true => known(&mut rng),
            false => vec![Trouble::draw(&mut rng), Trouble::draw(&mut rng)],
        };
        if rng.random_bool(0.4) {
            meet.push(Trouble::draw(&mut rng));
        }
        for trouble in meet {
            events.push(Event { at: at + rng.random_range(0..2000), trouble });
        }
        at += rng.random_range(6000..35_000);
    }
    events.sort_by_key(|e| e.at);
    events
}

impl Site {
    fn node_of(&self, who: Who) -> usize {
        match who {
            Who::Leader => self.leader(),
            Who::Controller(n) => n,
        }
    }

    /// Machines that are up, those with tasks first half of the time.
    fn some_machines(&self, count: usize) -> Vec<String> {
        let mut all = self.lock();
        let now = self.ms();
        let busy_only = all.rng.random_bool(0.7);
        let mut ids: Vec<String> = all
            .machines
            .iter()
            .filter(|(_, m)| m.is_up(now) && (!busy_only || m.tasks.values().any(|t| t.is_on())))
            .map(|(id, _)| id.clone())
            .collect();
        let mut some = Vec::new();
        while some.len() < count && !ids.is_empty() {
            let i = all.rng.random_range(0..ids.len());
            some.push(ids.swap_remove(i));
        }
        some
    }

    fn cut(&self, cut: Cut, for_ms: u64) {
        let until = self.ms() + for_ms;
        self.lock().cuts.push((cut, until));
    }

    fn hang(&self, machines: &[String], for_ms: u64) {
        let until = self.ms() + for_ms;
        let mut all = self.lock();
        for id in machines {
            if let Some(m) = all.machines.get_mut(id) {
                m.hung_until = m.hung_until.max(until);
            }
        }
    }

    /// Repeats something every so often for a while.
    fn for_a_while<F>(&self, every_ms: u64, times: u64, act: impl Fn(Site) -> F + Send + 'static)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let site = self.clone();
        tokio::spawn(async move {
            for _ in 0..times {
                tokio::spawn(act(site.clone()));
                sleep(Duration::from_millis(every_ms)).await;
            }
        });
    }

    /// A trouble begins.
    pub(super) fn begin(&self, trouble: Trouble) {
        let now = self.ms();
        self.note(|| format!("{trouble:?}, n-{} leads", self.leader()));
        {
            let mut all = self.lock();
            all.troubled_until = all.troubled_until.max(now + trouble.lasts());
        }
        match trouble {
            Trouble::LateWrites { share, for_ms, at_once } => {
                self.lock().state.late = LateWrites { share, until: now + for_ms, at_once };
            }
            Trouble::LateReports { share, for_ms, for_next } => {
                self.lock().copies = super::Copies { share, until: now + for_ms, for_next };
            }
            Trouble::Deaf { count, for_ms } => {
                self.some_machines(count).into_iter().for_each(|id| self.cut(Cut::Deaf(id), for_ms));
            }
            Trouble::Mute { count, for_ms } => {
                self.some_machines(count).into_iter().for_each(|id| self.cut(Cut::Mute(id), for_ms));
            }
            Trouble::Hang { count, for_ms } => self.hang(&self.some_machines(count), for_ms),
            Trouble::Lost { count } => {
                let some = self.some_machines(count);
                let mut all = self.lock();
                some.iter().for_each(|id| all.lose_machine(id));
            }
            Trouble::Taken { count } => {
                let some = self.some_machines(count * 2);
                let mut all = self.lock();
                for id in some {
                    if let Some(m) = all.machines.get_mut(&id).filter(|m| m.spot) {
                        m.notice_until = Some(now + 4000);
                    }
                }
            }
            Trouble::Refused { who, for_ms, then_all_ms } => {
                let n = self.node_of(who);
                self.lock().state.refused_until.insert(n, now + for_ms);
                let site = self.clone();
                tokio::spawn(async move {
                    sleep(Duration::from_millis(for_ms)).await;
                    if then_all_ms > 0 {
                        site.lock().state.outage_until = now + for_ms + then_all_ms;
                    }
                });
            }
            Trouble::Outage { for_ms } => self.lock().state.outage_until = now + for_ms,
            Trouble::SlowState { for_ms } => self.lock().state.slow_until = now + for_ms,
            Trouble::CancelNow { count, hang_ms } => self.cancel_now(count, hang_ms),
            Trouble::CancelAtEnd { share, for_ms } => self.lock().cancel_at_end = (share, now + for_ms),
            Trouble::CloseLooks { for_ms } => self.lock().close_looks_until = now + for_ms,
            Trouble::OddRequests { for_ms } => {
                self.for_a_while(250, for_ms / 250, |site| async move { site.odd_request().await });
            }
            Trouble::QuickBoots { for_ms } => self.lock().cloud.quick_until = now + for_ms,
            Trouble::Restart { who, orderly, away_ms } => {
                let (site, n) = (self.clone(), self.node_of(who));
                tokio::spawn(async move { site.restart_controller(n, orderly, away_ms).await });
            }
            Trouble::Leaders { count, every_ms } => self.for_a_while(every_ms, count, |site| async move {
                let n = site.leader();
                let (orderly, away) = {
                    let mut all = site.lock();
                    (all.rng.random_bool(0.5), all.rng.random_range(100..1500))
                };
                site.restart_controller(n, orderly, away).await;
            }),
            Trouble::AllAway { for_ms } => {
                for n in 0..CONTROLLERS {
                    let site = self.clone();
                    tokio::spawn(
                        async move { site.restart_controller(n, false, for_ms + n as u64 * 300).await },
                    );
                }
            }
            Trouble::Held { share, for_ms } => {
                self.lock().held_commands = Held { share, until: now + for_ms };
            }
            Trouble::SlowPeers { share, for_ms } => {
                self.lock().held_peers = Held { share, until: now + for_ms };
            }
            Trouble::ZoneCut { b, for_ms } => self.cut(Cut::Zone(if b { "b" } else { "a" }), for_ms),
            Trouble::NodeCut { who, from_state, from_peers, for_ms } => {
                self.cut(Cut::Controller { n: self.node_of(who), from_state, from_peers }, for_ms);
            }
            Trouble::Drain { count } => self.drain_some(self.some_machines(count)),
            Trouble::Burst { count } => self.for_a_while(250, count, |site| async move {
                let id = site.lock().next_job();
                site.user(id, true).await;
            }),
        }
    }

    /// Users call off jobs that run, within a fifth of a second.
    fn cancel_now(&self, count: usize, hang_ms: u64) {
        let running: Vec<(String, Vec<String>)> = {
            let all = self.lock();
            let on = |job: &str| {
                let here = |m: &super::machines::Machine| {
                    m.tasks.iter().any(|((t, _), s)| s.is_on() && super::job_of(t) == job)
                };
                all.machines.iter().filter(|(_, m)| here(m)).map(|(id, _)| id.clone()).collect::<Vec<_>>()
            };
            let open = all.jobs.iter().filter(|(_, j)| j.accepted.is_some() && !j.is_final());
            open.map(|(id, _)| (id.clone(), on(id))).filter(|(_, on)| !on.is_empty()).take(count).collect()
        };
        if hang_ms > 0 {
            let machines: Vec<String> =
                running.iter().flat_map(|(_, on)| on.iter().cloned()).take(8).collect();
            self.hang(&machines, hang_ms);
        }
        for (job, _) in running {
            let site = self.clone();
            tokio::spawn(async move {
                let wait = site.lock().rng.random_range(0..200);
                sleep(Duration::from_millis(wait)).await;
                site.cancel_for_good(&job).await;
            });
        }
    }
}

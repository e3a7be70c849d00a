//! Faults: each has its parameters, and a scenario is a list of faults with start times.
//! Scenarios are drawn as combinations of faults that start within two seconds of each other.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::time::sleep;

use super::cloud::LateCalls;
use super::command_copies::MAX_DELAY_MS as MAX_COPY_DELAY_MS;
use super::key_value_store::DelayedWrites;
use super::machines::{CANCEL_MS, LEASE_MS};
use super::network::{MessageDelay, Partition};
use super::{CONTROLLERS, Site};

/// The controller that a fault affects.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Target {
    Leader,
    Controller(usize),
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Fault {
    /// Some transactions get no answer; they are applied 2 to 12 s later, or at once.
    DelayedWrites {
        share: f64,
        for_ms: u64,
        at_once: bool,
    },
    /// Some heartbeats arrive a second time: between 2 s and 2.5 lease durations later, or
    /// at every controller when the next leader takes over.
    DuplicateHeartbeats {
        share: f64,
        for_ms: u64,
        for_next_leader: bool,
    },
    /// The heartbeats of some machines arrive; responses and commands to them are lost.
    InboundLoss {
        count: usize,
        for_ms: u64,
    },
    /// Some machines reach no controller; commands reach them.
    OutboundLoss {
        count: usize,
        for_ms: u64,
    },
    /// Some machines execute nothing for a while, and then the queued commands.
    MachineHang {
        count: usize,
        for_ms: u64,
    },
    /// Some machines disappear without notice.
    MachineLoss {
        count: usize,
    },
    /// Spot machines are reclaimed, with notice.
    SpotReclaim {
        count: usize,
    },
    /// The key-value store refuses one controller alone, and after that all of them.
    StoreRefusal {
        target: Target,
        for_ms: u64,
        then_all_ms: u64,
    },
    StoreOutage {
        for_ms: u64,
    },
    SlowStore {
        for_ms: u64,
    },
    /// Users cancel running jobs, and some of the machines of these jobs hang.
    CancelRunning {
        count: usize,
        hang_ms: u64,
    },
    /// Users cancel some jobs at the moment when they complete.
    CancelOnCompletion {
        share: f64,
        for_ms: u64,
    },
    /// Users query all controllers at once.
    ConcurrentQueries {
        for_ms: u64,
    },
    InvalidRequests {
        for_ms: u64,
    },
    FastBoots {
        for_ms: u64,
    },
    /// A controller stops in an orderly way or crashes, and restarts.
    ControllerRestart {
        target: Target,
        orderly: bool,
        downtime_ms: u64,
    },
    /// Whichever controller leads restarts, repeatedly.
    LeaderRestarts {
        count: u64,
        every_ms: u64,
    },
    AllControllersDown {
        for_ms: u64,
    },
    /// Some commands or their responses are delayed by seconds.
    DelayedCommands {
        share: f64,
        for_ms: u64,
    },
    /// Some messages between controllers are delayed by seconds, so that some time out.
    DelayedPeerMessages {
        share: f64,
        for_ms: u64,
    },
    /// Zone "b" or zone "a" is separated from everything outside it.
    ZonePartition {
        b: bool,
        for_ms: u64,
    },
    /// One controller is separated from the store, from the other controllers, or from both.
    ControllerPartition {
        target: Target,
        from_store: bool,
        from_peers: bool,
        for_ms: u64,
    },
    /// An operator drains machines.
    Drain {
        count: usize,
    },
    /// Start commands that are sent straight to machines are held up until the end of the fault.
    HeldStarts {
        for_ms: u64,
    },
    /// Copies of some start commands, which were carried out and answered, arrive later.
    CopiedStarts {
        share: f64,
        for_ms: u64,
    },
    /// The cloud carries out requests and releases later, without an answer.
    LateCloudCalls {
        for_ms: u64,
        delay_ms: u64,
    },
    /// Some machines restart and are back at once, without their tasks.
    MachineRestarts {
        count: usize,
        new_session: bool,
    },
    /// Users spell their submissions in other forms that the protocol allows.
    OtherSpellings {
        for_ms: u64,
    },
    /// Four jobs per second are submitted, far beyond the limits; a quarter is cancelled.
    SubmissionBurst {
        count: u64,
    },
}

/// A fault and the time when it starts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct ScheduledFault {
    pub(super) starts_at: u64,
    pub(super) fault: Fault,
}

impl Fault {
    /// Duration of the fault, including its delayed effects.
    pub(super) fn duration_ms(&self) -> u64 {
        match *self {
            Fault::DelayedWrites { for_ms, at_once, .. } => for_ms + if at_once { 0 } else { 12_000 },
            Fault::DuplicateHeartbeats { for_ms, .. } => for_ms + 3 * LEASE_MS,
            Fault::CopiedStarts { for_ms, .. } => for_ms + MAX_COPY_DELAY_MS,
            Fault::StoreRefusal { for_ms, then_all_ms, .. } => for_ms + then_all_ms,
            Fault::DelayedCommands { for_ms, .. } | Fault::DelayedPeerMessages { for_ms, .. } => {
                for_ms + 7000
            }
            Fault::LeaderRestarts { count, every_ms } => count * every_ms + 2000,
            Fault::ControllerRestart { downtime_ms, .. } => downtime_ms,
            Fault::CancelRunning { hang_ms, .. } => hang_ms,
            Fault::LateCloudCalls { for_ms, delay_ms } => for_ms + delay_ms,
            Fault::MachineLoss { .. } | Fault::SpotReclaim { .. } | Fault::MachineRestarts { .. } => 4000,
            // With the recovery period, long enough for an obstacle to end the drain.
            Fault::Drain { .. } => 20_000,
            Fault::SubmissionBurst { count } => count * 250,
            Fault::InboundLoss { for_ms, .. }
            | Fault::OutboundLoss { for_ms, .. }
            | Fault::MachineHang { for_ms, .. }
            | Fault::StoreOutage { for_ms }
            | Fault::SlowStore { for_ms }
            | Fault::CancelOnCompletion { for_ms, .. }
            | Fault::ConcurrentQueries { for_ms }
            | Fault::HeldStarts { for_ms }
            | Fault::OtherSpellings { for_ms }
            | Fault::InvalidRequests { for_ms }
            | Fault::FastBoots { for_ms }
            | Fault::AllControllersDown { for_ms }
            | Fault::ZonePartition { for_ms, .. }
            | Fault::ControllerPartition { for_ms, .. } => for_ms,
        }
    }

    fn draw(rng: &mut StdRng) -> Self {
        let target = if rng.random_bool(0.6) {
            Target::Leader
        } else {
            Target::Controller(rng.random_range(0..CONTROLLERS))
        };
        let share = rng.random_range(0.1..0.6);
        let count = rng.random_range(1..5);
        // Short, up to a lease, up to two leases, or longer than a cancellation may take.
        let for_ms = match rng.random_range(0..4) {
            0 => rng.random_range(1000..5000),
            1 => rng.random_range(5000..LEASE_MS),
            2 => rng.random_range(LEASE_MS..LEASE_MS * 2),
            _ => rng.random_range(CANCEL_MS..CANCEL_MS + 12_000),
        };
        let coin = |rng: &mut StdRng| rng.random_bool(0.5);
        match rng.random_range(0..27) {
            0 => Fault::DelayedWrites { share, for_ms, at_once: false },
            1 => Fault::DelayedWrites { share, for_ms, at_once: true },
            2 => Fault::DuplicateHeartbeats { share, for_ms, for_next_leader: false },
            3 => Fault::DuplicateHeartbeats { share, for_ms, for_next_leader: true },
            4 => Fault::InboundLoss { count, for_ms },
            5 => Fault::OutboundLoss { count, for_ms },
            6 => Fault::MachineHang { count, for_ms },
            7 => Fault::MachineLoss { count },
            8 => Fault::SpotReclaim { count },
            9 => Fault::StoreRefusal { target, for_ms, then_all_ms: 0 },
            10 => {
                let then_all_ms = CANCEL_MS + rng.random_range(2000..10_000);
                Fault::StoreRefusal { target, for_ms: rng.random_range(200..3000), then_all_ms }
            }
            11 => Fault::StoreOutage { for_ms },
            12 => Fault::SlowStore { for_ms },
            13 => Fault::CancelRunning { count: rng.random_range(2..8), hang_ms: 0 },
            14 => Fault::CancelRunning { count: rng.random_range(2..8), hang_ms: for_ms },
            15 => Fault::CancelOnCompletion { share: 0.5, for_ms: 20_000 },
            16 => Fault::ConcurrentQueries { for_ms: 20_000 },
            17 => Fault::InvalidRequests { for_ms: 20_000 },
            18 => Fault::FastBoots { for_ms: 20_000 },
            19 => Fault::ControllerRestart {
                target,
                orderly: coin(rng),
                downtime_ms: rng.random_range(50..900),
            },
            20 => Fault::ControllerRestart {
                target,
                orderly: coin(rng),
                downtime_ms: rng.random_range(1000..15_000),
            },
            21 => Fault::LeaderRestarts { count: 10, every_ms: rng.random_range(3000..6000) },
            22 => Fault::AllControllersDown { for_ms: rng.random_range(2000..LEASE_MS * 3 / 2) },
            23 => Fault::DelayedCommands { share, for_ms: for_ms.min(20_000) },
            24 if coin(rng) => Fault::ZonePartition { b: coin(rng), for_ms },
            24 => {
                let from_peers = coin(rng);
                Fault::ControllerPartition {
                    target,
                    from_store: !from_peers || coin(rng),
                    from_peers,
                    for_ms,
                }
            }
            25 => Fault::DelayedPeerMessages { share, for_ms },
            _ => Fault::SubmissionBurst { count: rng.random_range(12..40) },
        }
    }
}

/// Combinations that have violated rules before, or that operators fear most.
fn known_combination(rng: &mut StdRng) -> Vec<Fault> {
    let leader = Target::Leader;
    let beyond_lease_ms = LEASE_MS + rng.random_range(1000..LEASE_MS);
    let beyond_cancellation_ms = CANCEL_MS + rng.random_range(1000..12_000);
    let count = rng.random_range(2..8);
    let share = rng.random_range(0.2..0.6);
    let concurrent_queries = Fault::ConcurrentQueries { for_ms: 15_000 };
    let burst = Fault::SubmissionBurst { count: rng.random_range(15..40) };
    let quick_restart = Fault::ControllerRestart {
        target: leader,
        orderly: rng.random_bool(0.5),
        downtime_ms: rng.random_range(30..900),
    };
    let leader_crash = Fault::ControllerRestart {
        target: leader,
        orderly: false,
        downtime_ms: rng.random_range(5000..20_000),
    };
    let cancel = Fault::CancelRunning { count, hang_ms: 0 };
    let cancel_and_hang = Fault::CancelRunning {
        count,
        hang_ms: [beyond_lease_ms, beyond_cancellation_ms][rng.random_range(0..2)],
    };
    let delayed_writes = Fault::DelayedWrites { share, for_ms: 15_000, at_once: false };
    let duplicates = |for_next_leader| Fault::DuplicateHeartbeats { share, for_ms: 25_000, for_next_leader };
    let isolated_leader = |from_peers| Fault::ControllerPartition {
        target: leader,
        from_store: true,
        from_peers,
        for_ms: beyond_cancellation_ms,
    };
    let unreachable_machines = [
        Fault::InboundLoss { count, for_ms: beyond_lease_ms },
        Fault::OutboundLoss { count, for_ms: beyond_lease_ms },
        Fault::MachineHang { count, for_ms: LEASE_MS * 3 / 4 },
    ][rng.random_range(0..3)];
    match rng.random_range(0..24) {
        0 => vec![burst, unreachable_machines, leader_crash, cancel],
        1 => vec![Fault::OutboundLoss { count: 9, for_ms: beyond_lease_ms }, burst],
        2 => vec![Fault::ZonePartition { b: rng.random_bool(0.5), for_ms: beyond_lease_ms }, cancel],
        3 => vec![duplicates(true), leader_crash],
        4 => vec![duplicates(true), duplicates(false), quick_restart],
        5 => vec![
            quick_restart,
            Fault::ControllerRestart { target: Target::Controller(1), orderly: true, downtime_ms: 300 },
            leader_crash,
        ],
        6 => vec![Fault::CancelOnCompletion { share: 0.8, for_ms: 25_000 }, concurrent_queries],
        7 => vec![burst, concurrent_queries, quick_restart],
        8 => vec![
            Fault::LeaderRestarts { count: 10, every_ms: 5000 },
            Fault::StoreOutage { for_ms: beyond_lease_ms },
        ],
        9 => vec![delayed_writes, cancel, leader_crash],
        10 => vec![burst, cancel_and_hang, leader_crash],
        11 => vec![Fault::AllControllersDown { for_ms: beyond_lease_ms }, unreachable_machines],
        12 => vec![leader_crash, unreachable_machines],
        13 => vec![isolated_leader(true), cancel, concurrent_queries],
        14 => vec![
            Fault::StoreRefusal { target: leader, for_ms: 1500, then_all_ms: beyond_cancellation_ms },
            cancel,
            Fault::DelayedPeerMessages { share, for_ms: beyond_cancellation_ms },
        ],
        15 => vec![Fault::SlowStore { for_ms: beyond_cancellation_ms }, cancel, concurrent_queries],
        16 => vec![
            Fault::DelayedWrites { share, for_ms: 15_000, at_once: true },
            concurrent_queries,
            Fault::InvalidRequests { for_ms: 15_000 },
        ],
        17 => vec![duplicates(false), quick_restart, Fault::MachineLoss { count: 3 }],
        // Teams are at their limits while commands for cancelled tasks are still in flight.
        20..23 => vec![burst, Fault::DelayedCommands { share: 0.7, for_ms: 20_000 }, cancel],
        23 => vec![
            burst,
            Fault::DelayedPeerMessages { share, for_ms: 20_000 },
            quick_restart,
            unreachable_machines,
        ],
        18 => vec![Fault::FastBoots { for_ms: 15_000 }, burst, delayed_writes, leader_crash],
        _ => vec![Fault::DelayedCommands { share: 0.7, for_ms: 15_000 }, cancel_and_hang, quick_restart],
    }
}

/// Draws one of the faults in which requests take effect late or look unusual.
fn draw_late_or_unusual(rng: &mut StdRng) -> Fault {
    match rng.random_range(0..4) {
        0 => Fault::HeldStarts { for_ms: CANCEL_MS + rng.random_range(1000..12_000) },
        1 => Fault::LateCloudCalls { for_ms: 15_000, delay_ms: rng.random_range(5000..60_000) },
        2 => Fault::MachineRestarts { count: rng.random_range(1..5), new_session: rng.random_bool(0.5) },
        _ => Fault::OtherSpellings { for_ms: 30_000 },
    }
}

/// Draws the fault combinations of a scenario from its seed.
pub(super) fn draw(seed: u64, combinations: usize) -> Vec<ScheduledFault> {
    let mut rng = StdRng::seed_from_u64(seed ^ 0x5eed);
    let mut faults = Vec::new();
    let mut at = rng.random_range(12_000..25_000);
    for _ in 0..combinations {
        let mut concurrent = match rng.random_bool(0.5) {
            true => known_combination(&mut rng),
            false => vec![Fault::draw(&mut rng), Fault::draw(&mut rng)],
        };
        if rng.random_bool(0.4) {
            concurrent.push(Fault::draw(&mut rng));
        }
        for fault in concurrent {
            faults.push(ScheduledFault { starts_at: at + rng.random_range(0..2000), fault });
        }
        at += rng.random_range(6000..35_000);
    }
    // From a generator of their own, so that the combinations of a seed stay the same.
    let mut rng = StdRng::seed_from_u64(seed ^ 0x1a7e);
    for _ in 0..2 {
        let starts_at = rng.random_range(10_000..at);
        faults.push(ScheduledFault { starts_at, fault: draw_late_or_unusual(&mut rng) });
    }
    let mut rng = StdRng::seed_from_u64(seed ^ 0xc0b1);
    let copied_starts = Fault::CopiedStarts { share: 0.5, for_ms: rng.random_range(15_000..60_000) };
    faults.push(ScheduledFault { starts_at: rng.random_range(5000..at), fault: copied_starts });
    faults.sort_by_key(|e| e.starts_at);
    faults
}

impl Site {
    fn controller_of(&self, target: Target) -> usize {
        match target {
            Target::Leader => self.leader(),
            Target::Controller(n) => n,
        }
    }

    /// Draws machines that are up; with a probability of 0.7 only machines with active tasks.
    fn pick_machines(&self, count: usize) -> Vec<String> {
        let mut simulation = self.lock();
        let now = self.ms();
        let busy_only = simulation.rng.random_bool(0.7);
        let mut ids: Vec<String> = simulation
            .machines
            .iter()
            .filter(|(_, m)| m.is_up(now) && (!busy_only || m.tasks.values().any(|t| t.is_active())))
            .map(|(id, _)| id.clone())
            .collect();
        let mut picked = Vec::new();
        while picked.len() < count && !ids.is_empty() {
            let i = simulation.rng.random_range(0..ids.len());
            picked.push(ids.swap_remove(i));
        }
        picked
    }

    fn partition(&self, partition: Partition, for_ms: u64) {
        let until = self.ms() + for_ms;
        self.lock().partitions.push((partition, until));
    }

    fn hang(&self, machines: &[String], for_ms: u64) {
        let until = self.ms() + for_ms;
        let mut simulation = self.lock();
        for id in machines {
            if let Some(m) = simulation.machines.get_mut(id) {
                m.hung_until = m.hung_until.max(until);
            }
        }
    }

    /// Runs an action repeatedly, without waiting for one run to end before the next.
    fn repeat<F>(&self, every_ms: u64, times: u64, action: impl Fn(Site) -> F + Send + 'static)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let site = self.clone();
        tokio::spawn(async move {
            for _ in 0..times {
                tokio::spawn(action(site.clone()));
                sleep(Duration::from_millis(every_ms)).await;
            }
        });
    }

    /// Starts a fault.
    pub(super) fn inject(&self, fault: Fault) {
        let now = self.ms();
        self.add_trace(|| format!("{fault:?}, leader is n-{}", self.leader()));
        {
            let mut simulation = self.lock();
            simulation.faults_until = simulation.faults_until.max(now + fault.duration_ms());
        }
        match fault {
            Fault::DelayedWrites { share, for_ms, at_once } => {
                self.lock().store.delayed_writes = DelayedWrites { share, until: now + for_ms, at_once };
            }
            Fault::DuplicateHeartbeats { share, for_ms, for_next_leader } => {
                self.lock().duplication =
                    super::HeartbeatDuplication { share, until: now + for_ms, for_next_leader };
            }
            Fault::InboundLoss { count, for_ms } => {
                self.pick_machines(count)
                    .into_iter()
                    .for_each(|id| self.partition(Partition::InboundToMachine(id), for_ms));
            }
            Fault::OutboundLoss { count, for_ms } => {
                self.pick_machines(count)
                    .into_iter()
                    .for_each(|id| self.partition(Partition::ConnectionsFromMachine(id), for_ms));
            }
            Fault::MachineHang { count, for_ms } => self.hang(&self.pick_machines(count), for_ms),
            Fault::MachineLoss { count } => {
                let picked = self.pick_machines(count);
                let mut simulation = self.lock();
                picked.iter().for_each(|id| simulation.remove_machine(id));
            }
            Fault::SpotReclaim { count } => {
                let picked = self.pick_machines(count * 2);
                let mut simulation = self.lock();
                for id in picked {
                    if let Some(m) = simulation.machines.get_mut(&id).filter(|m| m.spot) {
                        m.notice_until = Some(now + 4000);
                    }
                }
            }
            Fault::StoreRefusal { target, for_ms, then_all_ms } => {
                let n = self.controller_of(target);
                self.lock().store.refused_until.insert(n, now + for_ms);
                let site = self.clone();
                tokio::spawn(async move {
                    sleep(Duration::from_millis(for_ms)).await;
                    if then_all_ms > 0 {
                        site.lock().store.outage_until = now + for_ms + then_all_ms;
                    }
                });
            }
            Fault::StoreOutage { for_ms } => self.lock().store.outage_until = now + for_ms,
            Fault::SlowStore { for_ms } => self.lock().store.slow_until = now + for_ms,
            Fault::CancelRunning { count, hang_ms } => self.cancel_running(count, hang_ms),
            Fault::CancelOnCompletion { share, for_ms } => {
                self.lock().cancel_on_completion = (share, now + for_ms)
            }
            Fault::ConcurrentQueries { for_ms } => self.lock().concurrent_queries_until = now + for_ms,
            Fault::InvalidRequests { for_ms } => {
                self.repeat(250, for_ms / 250, |site| async move { site.send_invalid_request().await });
            }
            Fault::FastBoots { for_ms } => self.lock().cloud.fast_boots_until = now + for_ms,
            Fault::ControllerRestart { target, orderly, downtime_ms } => {
                let (site, n) = (self.clone(), self.controller_of(target));
                tokio::spawn(async move { site.restart_controller(n, orderly, downtime_ms).await });
            }
            Fault::LeaderRestarts { count, every_ms } => self.repeat(every_ms, count, |site| async move {
                let n = site.leader();
                let (orderly, downtime_ms) = {
                    let mut simulation = site.lock();
                    (simulation.rng.random_bool(0.5), simulation.rng.random_range(100..1500))
                };
                site.restart_controller(n, orderly, downtime_ms).await;
            }),
            Fault::AllControllersDown { for_ms } => {
                for n in 0..CONTROLLERS {
                    let site = self.clone();
                    tokio::spawn(
                        async move { site.restart_controller(n, false, for_ms + n as u64 * 300).await },
                    );
                }
            }
            Fault::DelayedCommands { share, for_ms } => {
                self.lock().command_delay = MessageDelay { share, until: now + for_ms };
            }
            Fault::DelayedPeerMessages { share, for_ms } => {
                self.lock().peer_message_delay = MessageDelay { share, until: now + for_ms };
            }
            Fault::ZonePartition { b, for_ms } => {
                self.partition(Partition::Zone(if b { "b" } else { "a" }), for_ms)
            }
            Fault::ControllerPartition { target, from_store, from_peers, for_ms } => {
                self.partition(
                    Partition::Controller { n: self.controller_of(target), from_store, from_peers },
                    for_ms,
                );
            }
            Fault::HeldStarts { for_ms } => self.lock().held_starts.until = now + for_ms,
            Fault::CopiedStarts { share, for_ms } => {
                let copies = &mut self.lock().command_copies;
                (copies.share, copies.until) = (share, now + for_ms);
            }
            Fault::LateCloudCalls { for_ms, delay_ms } => {
                self.lock().cloud.late_calls = LateCalls { until: now + for_ms, delay_ms, count: 0 };
            }
            Fault::MachineRestarts { count, new_session } => {
                let picked = self.pick_machines(count);
                let mut simulation = self.lock();
                for id in picked {
                    if let Some(machine) = simulation.machines.get_mut(&id) {
                        machine.restart(now, new_session);
                    }
                }
            }
            Fault::OtherSpellings { for_ms } => self.lock().other_spellings_until = now + for_ms,
            Fault::Drain { count } => self.drain_machines(self.pick_machines(count)),
            Fault::SubmissionBurst { count } => self.repeat(250, count, |site| async move {
                let id = site.lock().next_job();
                site.run_user(id, true).await;
            }),
        }
    }

    /// Users cancel running jobs within 200 ms; some machines of these jobs may hang.
    fn cancel_running(&self, count: usize, hang_ms: u64) {
        let running: Vec<(String, Vec<String>)> = {
            let simulation = self.lock();
            let machines_of = |job: &str| {
                let has_active_task = |m: &super::machines::Machine| {
                    m.tasks.iter().any(|((t, _), s)| s.is_active() && super::job_of(t) == job)
                };
                simulation
                    .machines
                    .iter()
                    .filter(|(_, m)| has_active_task(m))
                    .map(|(id, _)| id.clone())
                    .collect::<Vec<_>>()
            };
            let open = simulation.jobs.iter().filter(|(_, j)| j.accepted_at.is_some() && !j.is_final());
            open.map(|(id, _)| (id.clone(), machines_of(id)))
                .filter(|(_, machines)| !machines.is_empty())
                .take(count)
                .collect()
        };
        if hang_ms > 0 {
            let machines: Vec<String> =
                running.iter().flat_map(|(_, machines)| machines.iter().cloned()).take(8).collect();
            self.hang(&machines, hang_ms);
        }
        for (job, _) in running {
            let site = self.clone();
            tokio::spawn(async move {
                let delay_ms = site.lock().rng.random_range(0..200);
                sleep(Duration::from_millis(delay_ms)).await;
                site.cancel_with_retries(&job).await;
            });
        }
    }
}

//! Late copies of start commands that were carried out and answered before. Meanwhile their task was moved,
//! cancelled, or ended, and a controller or the machine was back within a second.

use super::command_copies::CommandCopy;
use super::machines::CANCEL_MS;
use super::single_job::*;
use super::*;

/// Services whose replicas run until they are cancelled.
const SERVICE: u64 = 13;
const OTHER_SERVICE: u64 = 23;
/// An array on spot machines whose tasks run for long and save no checkpoints.
const LONG_ARRAY: u64 = 40;
/// How long before spot machines are reclaimed they have a notice.
const SPOT_NOTICE_MS: u64 = 120_000;
/// All controllers have heard of a notice by then.
const NOTICED_MS: u64 = 4000;
/// An array whose tasks end within seconds.
const ARRAY: u64 = 45;
/// A controller is back after less than a second.
const DOWNTIME_MS: u64 = 300;
/// How long after the last event copies arrive: at once, before and after the next heartbeats, after the
/// machine's commands were settled, and after the time in which a cancelled task has to be gone.
const ARRIVALS_AFTER_MS: [u64; 6] = [0, 300, 1000, 4000, 12_000, CANCEL_MS + 3000];
/// Tasks that no record names have been found and stopped by then.
const SETTLED_MS: u64 = 20_000;

/// What becomes of the task before the copy arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Meanwhile {
    /// It is moved: its machine reaches no controller until its lease has run out.
    Moved,
    /// Its user cancels it.
    Cancelled,
    /// It ends, and the machine still shows that.
    Ended,
    /// It ends, and the machine has cleared it.
    Cleared,
}

/// What is back within a second.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Back {
    Nothing,
    Leader,
    AllControllers,
    /// The machine, without its tasks, in the session that it was in.
    Machine,
    /// The machine, without its tasks, in a new session.
    MachineInNewSession,
}

/// When it is back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Order {
    BeforeIt,
    AfterIt,
}

const MEANWHILE: [Meanwhile; 4] =
    [Meanwhile::Moved, Meanwhile::Cancelled, Meanwhile::Ended, Meanwhile::Cleared];
const BACK: [Back; 5] =
    [Back::Nothing, Back::Leader, Back::AllControllers, Back::Machine, Back::MachineInNewSession];

/// When something is back, and whether the task is alone on its machine.
const ORDERS: [(Order, bool); 4] =
    [(Order::BeforeIt, false), (Order::AfterIt, false), (Order::BeforeIt, true), (Order::AfterIt, true)];

impl Simulation {
    /// The machines that the copies are for.
    fn copied_machines(&self, copies: &[CommandCopy]) -> BTreeSet<String> {
        let exists = |id: &String| self.machines.get(id).is_some_and(|machine| machine.gone_at.is_none());
        copies.iter().map(|copy| copy.machine.clone()).filter(exists).collect()
    }

    /// Changes each of these machines.
    fn each(&mut self, machines: &BTreeSet<String>, change: impl Fn(&mut Machine)) {
        let chosen = self.machines.iter_mut().filter(|(id, _)| machines.contains(*id));
        chosen.for_each(|(_, machine)| change(machine));
    }

    /// Whether some machine shows a task of the job, ended ones included.
    fn is_shown(&self, id: &str) -> bool {
        let tasks = self.machines.values().flat_map(|machine| machine.tasks.keys());
        tasks.into_iter().any(|(task, _)| job_of(task) == id)
    }
}

impl Site {
    /// Runs a job, whose start commands are copied.
    async fn run_copied(&self, number: u64) -> (String, Vec<CommandCopy>) {
        {
            let copies = &mut self.lock().command_copies;
            (copies.share, copies.until, copies.are_held) = (1.0, u64::MAX, true);
        }
        let id = self.submit_spec(users::spec(number)).await;
        let is_started = |s: &Simulation| !s.command_copies.held.is_empty() && s.is_served(&id);
        let is_started = self.advance_until(self.ms() + MAX_WAIT_MS, is_started).await;
        assert_served(self, is_started, "with start commands that were sent straight to machines");
        let copies = {
            let copies = &mut self.lock().command_copies;
            copies.until = 0;
            std::mem::take(&mut copies.held)
        };
        (id, copies)
    }

    async fn bring_back(&self, back: Back, machines: &BTreeSet<String>) {
        match back {
            Back::Nothing => {}
            Back::Leader => self.restart_controller(self.leader(), false, DOWNTIME_MS).await,
            Back::AllControllers => {
                (0..CONTROLLERS).for_each(|n| self.kill_controller(n));
                self.advance(DOWNTIME_MS).await;
                (0..CONTROLLERS).for_each(|n| self.start_controller(n));
            }
            Back::Machine | Back::MachineInNewSession => {
                let now = self.ms();
                let has_new_session = back == Back::MachineInNewSession;
                self.lock().each(machines, |machine| machine.restart(now, has_new_session));
            }
        }
    }

    async fn let_happen(&self, meanwhile: Meanwhile, id: &str, machines: &BTreeSet<String>) {
        let until = self.ms() + MAX_WAIT_MS;
        match meanwhile {
            Meanwhile::Moved => {
                for machine in machines {
                    let partition = Partition::ConnectionsFromMachine(machine.clone());
                    self.lock().partitions.push((partition, self.ms() + 2 * LEASE_MS));
                }
                let is_moved = |s: &Simulation| s.is_served(id) && !s.runs_on(id, machines);
                assert!(self.advance_until(until, is_moved).await, "{id} is moved");
            }
            Meanwhile::Cancelled => {
                while !self.cancel(self.choose_controller(), id).await {
                    self.advance(TICK_MS).await;
                }
            }
            Meanwhile::Ended => {
                let has_ended = |s: &Simulation| s.is_done(id);
                assert!(self.advance_until(until, has_ended).await, "{id} ends");
            }
            Meanwhile::Cleared => {
                let is_cleared = |s: &Simulation| s.is_done(id) && !s.is_shown(id);
                assert!(self.advance_until(until, is_cleared).await, "{id} is cleared");
            }
        }
    }

    /// Delivers all copies now; each of them has to arrive.
    async fn deliver_copies(&self, copies: &[CommandCopy]) {
        for copy in copies {
            let exists = self.lock().copied_machines(std::slice::from_ref(copy)).len() == 1;
            assert!(exists, "the machine {} is gone", copy.machine);
            let arrived = self.lock().command_copies.arrivals.len();
            self.deliver_copy(copy.clone()).await;
            assert_eq!(self.lock().command_copies.arrivals.len(), arrived + 1, "the copy arrives");
        }
    }
}

impl Simulation {
    fn runs_on(&self, id: &str, machines: &BTreeSet<String>) -> bool {
        let of_job =
            |machine: &Machine| machine.tasks.iter().any(|((t, _), s)| job_of(t) == id && s.is_active());
        machines.iter().filter_map(|id| self.machines.get(id)).any(of_job)
    }
}

/// The machines stay, whether or not they are used.
fn keep_machines(simulation: &mut Simulation) {
    simulation.cloud.releases_refused_until = u64::MAX;
}

async fn play(site: Site, meanwhile: Meanwhile, back: Back, order: Order, is_alone: bool) {
    if !is_alone {
        site.run_service(OTHER_SERVICE).await;
    }
    let is_array = matches!(meanwhile, Meanwhile::Ended | Meanwhile::Cleared);
    let (id, copies) = site.run_copied(if is_array { ARRAY } else { SERVICE }).await;
    let machines = site.lock().copied_machines(&copies);
    if order == Order::BeforeIt {
        site.bring_back(back, &machines).await;
    }
    site.let_happen(meanwhile, &id, &machines).await;
    if order == Order::AfterIt {
        site.bring_back(back, &machines).await;
    }
    let since = site.ms();
    for after_ms in ARRIVALS_AFTER_MS {
        site.advance((since + after_ms).saturating_sub(site.ms())).await;
        site.deliver_copies(&copies).await;
        site.advance(TICK_MS).await;
        let mut simulation = site.lock();
        simulation.check_cancelled();
    }
    site.advance(SETTLED_MS).await;
    let simulation = site.lock();
    let context = format!("{meanwhile:?}, {back:?} back {order:?}, alone {is_alone}");
    let trace = simulation.trace.join("\n");
    assert!(simulation.violations.is_empty(), "{context}: {:?}\n{trace}", simulation.violations);
    assert_eq!(simulation.unrecorded_tasks(), Vec::<String>::new(), "{context}");
}

/// Guards against a task that runs on two machines, or again after its cancellation, as a copy of its start
/// command arrives late.
#[test]
fn late_copies_of_start_commands_start_nothing_that_was_moved_cancelled_or_ended() {
    for meanwhile in MEANWHILE {
        for back in BACK {
            for (order, is_alone) in ORDERS {
                on_empty_site(keep_machines, async |site| play(site, meanwhile, back, order, is_alone).await);
            }
        }
    }
}

/// Guards against a task that runs on two machines: its machine is back without it, in its session and about
/// to be reclaimed, so that it gets no other command; the task is started elsewhere, and then a copy arrives.
#[test]
fn a_late_copy_starts_nothing_on_a_machine_that_was_back_without_its_task() {
    for arrives_after_ms in ARRIVALS_AFTER_MS {
        on_empty_site(keep_machines, async |site| {
            let (id, copies) = site.run_copied(LONG_ARRAY).await;
            let machines = site.lock().copied_machines(&copies);
            let reclaimed_at = site.ms() + SPOT_NOTICE_MS;
            site.lock().each(&machines, |machine| machine.notice_until = Some(reclaimed_at));
            site.advance(NOTICED_MS).await;
            let now = site.ms();
            site.lock().each(&machines, |machine| machine.restart(now, false));
            let is_moved = |s: &Simulation| s.is_served(&id) && !s.runs_on(&id, &machines);
            assert!(site.advance_until(now + MAX_WAIT_MS, is_moved).await, "the tasks run elsewhere");
            site.advance(arrives_after_ms).await;
            site.deliver_copies(&copies).await;
            site.advance(SETTLED_MS).await;
            let violations = site.lock().violations.clone();
            assert!(violations.is_empty(), "after {arrives_after_ms} ms: {violations:?}");
        });
    }
}

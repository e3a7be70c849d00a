//! Sites without drawn jobs and faults: a test submits its jobs itself, and decides what the cloud
//! and the machines do.

use super::*;

/// The longest time that a job may wait while it could run.
pub(super) const MAX_WAIT_MS: u64 = 90_000;
/// How long all controllers are down in the tests in which they end.
const DOWNTIME_MS: u64 = 3000;

/// What happens to the controllers in the course of a test.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Restart {
    None,
    Leader,
    All,
}

impl Site {
    /// A site without jobs and machines, whose machines boot within two seconds.
    fn empty(set_up: impl FnOnce(&mut Simulation)) -> Self {
        let scenario =
            Scenario { seed: 1, faults: Vec::new(), defect: Defect::None, recovery_ms: 0, drains: false };
        let site = Self::new(&scenario);
        {
            let mut simulation = site.lock();
            simulation.cloud.fast_boots_until = u64::MAX;
            set_up(&mut simulation);
        }
        (0..CONTROLLERS).for_each(|n| site.start_controller(n));
        site
    }

    pub(super) async fn submit_spec(&self, spec: wire::JobSpec) -> String {
        let id = self.lock().add_job(spec);
        while !self.submit(self.choose_controller(), &id).await {
            self.advance(1000).await;
        }
        id
    }

    /// A service runs, and with it the machines that it needs.
    pub(super) async fn run_service(&self, number: u64) -> String {
        self.run_job(users::spec(number)).await
    }

    /// Submits a job and waits until it is served.
    pub(super) async fn run_job(&self, spec: wire::JobSpec) -> String {
        let id = self.submit_spec(spec).await;
        let is_served = self.advance_until(self.ms() + MAX_WAIT_MS, |s| s.is_served(&id)).await;
        assert_served(self, is_served, &id);
        id
    }

    pub(super) async fn advance(&self, duration_ms: u64) {
        let until = self.ms() + duration_ms;
        while self.ms() < until {
            sleep(Duration::from_millis(TICK_MS)).await;
            {
                let mut simulation = self.lock();
                let now = self.ms();
                simulation.store.expire_leases(now);
                simulation.advance_machines();
            }
            self.start_booted_machines();
        }
    }

    /// Advances until the condition holds; returns whether it does before `until`.
    pub(super) async fn advance_until(&self, until: u64, condition: impl Fn(&Simulation) -> bool) -> bool {
        while self.ms() < until {
            self.advance(TICK_MS).await;
            if condition(&self.lock()) {
                return true;
            }
        }
        false
    }

    pub(super) async fn restart(&self, restart: Restart) {
        match restart {
            Restart::None => {}
            Restart::Leader => self.restart_controller(self.leader(), false, DOWNTIME_MS).await,
            Restart::All => {
                (0..CONTROLLERS).for_each(|n| self.kill_controller(n));
                self.advance(DOWNTIME_MS).await;
                (0..CONTROLLERS).for_each(|n| self.start_controller(n));
            }
        }
    }
}

/// The job with this number, of team "t", on machines of any type and zone but spot machines.
pub(super) fn unconstrained_job(number: u64) -> wire::JobSpec {
    wire::JobSpec {
        team: "t".into(),
        types: None,
        zone: None,
        spread: false,
        one_zone: false,
        spot: false,
        priority: wire::Priority::Normal,
        ..users::spec(number)
    }
}

impl Simulation {
    /// How many tasks of the job are on machines and have not exited.
    pub(super) fn active_tasks_of(&self, id: &str) -> usize {
        let tasks = self.machines.values().flat_map(|machine| machine.tasks.iter());
        tasks.filter(|((task, _), execution)| job_of(task) == id && execution.is_active()).count()
    }

    /// Whether all tasks of the job run, or are done.
    pub(super) fn is_served(&self, id: &str) -> bool {
        let is_running = |task: &String| {
            let executions = self.machines.values().flat_map(|machine| machine.tasks.iter());
            executions.into_iter().any(|((t, _), execution)| t == task && execution.is_running())
        };
        let tasks = self.jobs.get(id).map_or(0, |job| job.spec.tasks);
        let mut tasks = (0..tasks).map(|n| format!("{id}/{n}"));
        tasks.all(|task| self.done_tasks.contains(&task) || is_running(&task))
    }
}

/// Runs a test on a site without jobs and machines.
pub(super) fn on_empty_site<F: Future<Output = ()>>(
    set_up: impl FnOnce(&mut Simulation),
    test: impl FnOnce(Site) -> F,
) {
    if std::env::var("SAGELOOM_SIM_LOG").is_ok() {
        show_log();
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    runtime.expect("a runtime").block_on(async {
        let _clock = crate::clock::simulated_clock::start();
        let site = Site::empty(set_up);
        test(site.clone()).await;
        (0..CONTROLLERS).for_each(|n| site.kill_controller(n));
        let violations = std::mem::take(&mut site.lock().violations);
        assert!(violations.is_empty(), "{violations:?}");
    });
}

pub(super) fn assert_served(site: &Site, is_served: bool, context: &str) {
    let trace = site.lock().trace.join("\n");
    assert!(is_served, "{context}: not served at {} ms\n{trace}", site.ms());
}

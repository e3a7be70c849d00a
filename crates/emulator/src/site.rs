//! The emulated site: the cloud, the workers on its machines, and the jobs that they run.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use net::{Reply, Request};
use wire::{Commands, Heartbeat, JobSpec, MachineStatus};

use crate::cloud::{Addresses, Cloud, CloudSettings, MachineEvent};
use crate::gang::GangRules;
use crate::history::History;
use crate::jobs::Jobs;
use crate::service_faults::RequestOutcome;
use crate::worker::{MachineFaults, ReportOutcome, Ticket, Worker, WorkerRules};

#[derive(Debug, Clone)]
pub struct SiteSettings {
    pub cloud: CloudSettings,
    /// Mean interval of the workers' reports.
    pub report_interval: Duration,
    pub lease_duration: Duration,
    pub gang_wait: Duration,
    pub gang_peer: Duration,
    /// Names of the controllers; a controller's index is its number.
    pub controllers: Vec<String>,
    pub seed: u64,
}

/// A worker's report that must be sent, and the number of the controller that gets it.
#[derive(Debug)]
pub struct OutgoingReport {
    pub machine: String,
    pub controller: usize,
    pub ticket: Ticket,
    pub report: Heartbeat,
}

pub struct Site {
    pub cloud: Cloud,
    pub jobs: Jobs,
    pub history: History,
    workers: BTreeMap<String, Worker>,
    rules: WorkerRules,
    controllers: Vec<String>,
    seed: u64,
    /// Machines that came up or ended since the last `take_changes`.
    changes: Vec<(String, MachineStatus)>,
}

impl Site {
    pub fn new(settings: SiteSettings, addresses: Addresses, now: Instant) -> Self {
        let s = settings;
        let gangs = GangRules { start_timeout: s.gang_wait, peer_timeout: s.gang_peer };
        Self {
            cloud: Cloud::new(s.cloud, addresses, s.seed ^ 1, now),
            jobs: Jobs::new(gangs, s.seed ^ 2),
            history: History::default(),
            workers: BTreeMap::new(),
            rules: WorkerRules { report_interval: s.report_interval, lease_duration: s.lease_duration },
            controllers: s.controllers,
            seed: s.seed ^ 3,
            changes: Vec::new(),
        }
    }

    pub fn upload(&mut self, spec: JobSpec, broken: bool) {
        self.jobs.upload(spec, broken);
    }

    pub fn workers(&self) -> impl Iterator<Item = &Worker> {
        self.workers.values()
    }

    pub fn worker(&self, machine: &str) -> Option<&Worker> {
        self.workers.get(machine)
    }

    /// Handles a request to the cloud.
    pub fn cloud_request(&mut self, request: &Request, now: Instant) -> RequestOutcome {
        let outcome = self.cloud.handle(request, now);
        self.apply_machine_events(now);
        outcome
    }

    /// Executes a request to the cloud whose execution was delayed.
    pub fn execute_delayed_cloud_request(&mut self, request: &Request, now: Instant) {
        self.cloud.execute(request, now);
        self.apply_machine_events(now);
    }

    fn apply_machine_events(&mut self, now: Instant) {
        for event in self.cloud.take_events() {
            match event {
                MachineEvent::Up(name) => {
                    let Some(info) = self.cloud.info(&name) else { continue };
                    self.seed = self.seed.wrapping_add(1);
                    let worker = Worker::new(info, self.rules, self.controllers.len(), self.seed, now);
                    self.workers.insert(name.clone(), worker);
                    self.changes.push((name, MachineStatus::Running));
                }
                MachineEvent::Notice(name, at) => {
                    if let Some(worker) = self.workers.get_mut(&name) {
                        worker.set_notice(at);
                    }
                }
                MachineEvent::Gone(name) => {
                    if let Some(mut worker) = self.workers.remove(&name) {
                        worker.kill(&mut self.jobs, now);
                        self.history.extend(worker.take_events(now));
                    }
                    self.changes.push((name, MachineStatus::Failed));
                }
            }
        }
    }

    /// Returns the machines that came up (running) or ended (failed) since the last call.
    pub fn take_changes(&mut self) -> Vec<(String, MachineStatus)> {
        std::mem::take(&mut self.changes)
    }

    /// Advances the site to `now` and returns the reports that must be sent.
    pub fn poll(&mut self, now: Instant) -> Vec<OutgoingReport> {
        self.cloud.poll(now);
        self.apply_machine_events(now);
        self.jobs.poll(now);
        let mut out = Vec::new();
        for (name, worker) in &mut self.workers {
            worker.poll(&mut self.jobs, now);
            self.history.extend(worker.take_events(now));
            if let Some((ticket, report)) = worker.take_due_report(now) {
                out.push(OutgoingReport {
                    machine: name.clone(),
                    controller: worker.target(),
                    ticket,
                    report,
                });
            }
        }
        out
    }

    /// Passes the response to a report on to its worker. Any status other than 200 and 421, or no
    /// response, counts as `ReportOutcome::Failed`.
    pub fn record_report_outcome(
        &mut self,
        machine: &str,
        ticket: Ticket,
        status: Option<u16>,
        body: &[u8],
        now: Instant,
    ) {
        let outcome = match status {
            Some(200) if wire::exceeds_body_limit(body) => ReportOutcome::Answer(None),
            Some(200) => ReportOutcome::Answer(wire::decode(body).ok()),
            Some(421) => {
                let name = wire::decode::<wire::Redirect>(body).ok().and_then(|r| r.report_to);
                ReportOutcome::Redirected(name.and_then(|n| self.controllers.iter().position(|c| *c == n)))
            }
            _ => ReportOutcome::Failed,
        };
        if let Some(worker) = self.workers.get_mut(machine) {
            worker.record_report_outcome(ticket, outcome, Some(&mut self.jobs), now);
        }
    }

    /// Handles a request to a machine's own address. Returns None if the machine cannot be reached
    /// now; a caller repeats the request to a hung machine when it works again.
    pub fn machine_request(&mut self, machine: &str, request: &Request, now: Instant) -> Option<Reply> {
        let worker = self.workers.get_mut(machine)?;
        if worker.faults().hangs || worker.faults().unreachable {
            return None;
        }
        Some(match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/status") => Reply::new(200, &worker.status(&mut self.jobs, now)),
            ("POST", "/commands") if wire::exceeds_body_limit(&request.body) => {
                Reply::error(413, "the commands exceed 64 KiB")
            }
            ("POST", "/commands") => match wire::decode_request::<Commands>(&request.body) {
                Ok(commands) => {
                    let (status, report) = worker.commands(&commands, &mut self.jobs, now);
                    Reply::new(status, &report)
                }
                Err(_) => Reply::error(400, "baton or stint is missing"),
            },
            _ => Reply::error(404, "no such path"),
        })
    }

    /// Whether a machine is up but hangs, so that requests to it are handled later.
    pub fn hangs(&self, machine: &str) -> bool {
        self.workers.get(machine).is_some_and(|w| w.faults().hangs)
    }

    /// Replaces the faults of a machine.
    pub fn set_machine_faults(&mut self, machine: &str, faults: MachineFaults, now: Instant) {
        if let Some(worker) = self.workers.get_mut(machine) {
            worker.set_faults(faults, &mut self.jobs, now);
        }
    }
}

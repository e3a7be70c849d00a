//! The site: the cloud, the workers on its machines, and the jobs they run.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use net::{Reply, Request};
use wire::{Commands, Heartbeat, JobSpec, MachineStatus};

use crate::cloud::{Addresses, Cloud, CloudSettings, Event};
use crate::gang::GangRules;
use crate::history::History;
use crate::jobs::Jobs;
use crate::service_faults::Step;
use crate::worker::{Heard, MachineFaults, Ticket, Worker, WorkerRules};

#[derive(Debug, Clone)]
pub struct SiteSettings {
    pub cloud: CloudSettings,
    pub report: Duration,
    pub lease: Duration,
    pub gang_wait: Duration,
    pub gang_peer: Duration,
    /// The controllers' names, in the order of their numbers.
    pub controllers: Vec<String>,
    pub seed: u64,
}

/// A report that is to be sent, and to which controller.
#[derive(Debug)]
pub struct Sending {
    pub machine: String,
    pub to: usize,
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
    /// Machines that came up and that are gone, since the last `take_changes`.
    changes: Vec<(String, MachineStatus)>,
}

impl Site {
    pub fn new(settings: SiteSettings, addresses: Addresses, now: Instant) -> Self {
        let s = settings;
        let gangs = GangRules { wait: s.gang_wait, peer: s.gang_peer };
        Self {
            cloud: Cloud::new(s.cloud, addresses, s.seed ^ 1, now),
            jobs: Jobs::new(gangs, s.seed ^ 2),
            history: History::default(),
            workers: BTreeMap::new(),
            rules: WorkerRules { report: s.report, lease: s.lease },
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

    /// A request to the cloud.
    pub fn cloud_request(&mut self, request: &Request, now: Instant) -> Step {
        let step = self.cloud.handle(request, now);
        self.follow_cloud(now);
        step
    }

    /// A request to the cloud that is carried out late.
    pub fn late_cloud_request(&mut self, request: &Request, now: Instant) {
        self.cloud.carry_out(request, now);
        self.follow_cloud(now);
    }

    fn follow_cloud(&mut self, now: Instant) {
        for event in self.cloud.take_events() {
            match event {
                Event::Up(name) => {
                    let Some(info) = self.cloud.info(&name) else { continue };
                    self.seed = self.seed.wrapping_add(1);
                    let worker = Worker::new(info, self.rules, self.controllers.len(), self.seed, now);
                    self.workers.insert(name.clone(), worker);
                    self.changes.push((name, MachineStatus::Running));
                }
                Event::Notice(name, at) => {
                    if let Some(worker) = self.workers.get_mut(&name) {
                        worker.set_notice(at);
                    }
                }
                Event::Gone(name) => {
                    if let Some(mut worker) = self.workers.remove(&name) {
                        worker.kill(&mut self.jobs, now);
                        self.history.extend(worker.take_events(now));
                    }
                    self.changes.push((name, MachineStatus::Failed));
                }
            }
        }
    }

    /// Machines that came up (running) or are gone (failed) since the last call.
    pub fn take_changes(&mut self) -> Vec<(String, MachineStatus)> {
        std::mem::take(&mut self.changes)
    }

    /// Lets time pass; the reports that are to be sent now.
    pub fn poll(&mut self, now: Instant) -> Vec<Sending> {
        self.cloud.poll(now);
        self.follow_cloud(now);
        self.jobs.poll(now);
        let mut out = Vec::new();
        for (name, worker) in &mut self.workers {
            worker.poll(&mut self.jobs, now);
            self.history.extend(worker.take_events(now));
            if let Some((ticket, report)) = worker.due(now) {
                out.push(Sending { machine: name.clone(), to: worker.target(), ticket, report });
            }
        }
        out
    }

    /// What came of a report. A status other than 200 and 421, or none, is `Nothing`.
    pub fn heard(&mut self, machine: &str, ticket: Ticket, status: Option<u16>, body: &[u8], now: Instant) {
        let heard = match status {
            Some(200) => Heard::Answer(wire::decode(body).ok()),
            Some(421) => {
                let name = wire::decode::<wire::Redirect>(body).ok().and_then(|r| r.report_to);
                Heard::Elsewhere(name.and_then(|n| self.controllers.iter().position(|c| *c == n)))
            }
            _ => Heard::Nothing,
        };
        if let Some(worker) = self.workers.get_mut(machine) {
            worker.heard(ticket, heard, Some(&mut self.jobs), now);
        }
    }

    /// A request to a machine's own address; None if nothing reaches it now. What a
    /// machine that hangs was sent reaches it when it goes on.
    pub fn machine_request(&mut self, machine: &str, request: &Request, now: Instant) -> Option<Reply> {
        let worker = self.workers.get_mut(machine)?;
        if worker.faults().hangs || worker.faults().deaf {
            return None;
        }
        Some(match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/status") => Reply::new(200, &worker.status(&mut self.jobs, now)),
            ("POST", "/commands") => match wire::decode::<Commands>(&request.body) {
                Ok(commands) => {
                    let (status, report) = worker.commands(&commands, &mut self.jobs, now);
                    Reply::new(status, &report)
                }
                Err(_) => Reply::error(400, "baton or stint is missing"),
            },
            _ => Reply::error(404, "no such path"),
        })
    }

    /// Whether a machine is up, and hangs: it will take what it is sent later.
    pub fn hangs(&self, machine: &str) -> bool {
        self.workers.get(machine).is_some_and(|w| w.faults().hangs)
    }

    /// From now on this is wrong with a machine, and nothing else.
    pub fn set_machine_faults(&mut self, machine: &str, faults: MachineFaults, now: Instant) {
        if let Some(worker) = self.workers.get_mut(machine) {
            worker.set_faults(faults, &mut self.jobs, now);
        }
    }
}

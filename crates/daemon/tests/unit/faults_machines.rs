//! Combinations of two faults on the machines' side, on a clock of their own: controllers
//! with their real decisions and answers, a scripted state service, and workers as the
//! protocol describes them. Each test brings one combination about, by its script alone.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use sched::records::*;
use store::{KeyWrite, decode_change, key};
use wire::{
    Command, Commands, Condition, ExitReason, Heartbeat, HeartbeatResponse, JobKind, JobSpec, MachineType,
    TaskState, TaskStatus,
};

use crate::api::heartbeats::{HeartbeatOutcome, HeartbeatRoute, process_heartbeat};
use crate::controller::Controller;
use crate::operators::OperatorSettings;
use crate::scheduler;
use crate::settings::Settings;
use crate::settings::tests::EXAMPLE;
use crate::worker::tests::spec;

/// As the example settings have them.
const LEASE: Duration = Duration::from_secs(24);
const CANCEL: Duration = Duration::from_secs(44);

fn secs(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

/// Controllers and the state service.
struct Site {
    nodes: Vec<Arc<Controller>>,
    keys: HashMap<String, u64>,
    log: Vec<(u64, KeyWrite)>,
    /// How much of the log each controller's mirror has.
    seen: Vec<usize>,
    epoch: u64,
    now: Instant,
}

impl Site {
    /// All controllers are live, the first leads; the machines have eight CPUs each.
    fn new(controllers: usize, machines: &[(&str, &str)]) -> Self {
        let controller = |n: usize| {
            let mut settings = Settings::parse("example", EXAMPLE).expect("the example is valid");
            settings.node_name = format!("n-{n}");
            Controller::new(settings, OperatorSettings::default(), 100 + n as u64)
        };
        let mut site = Self {
            nodes: (0..controllers).map(controller).collect(),
            keys: HashMap::new(),
            log: Vec::new(),
            seen: vec![0; controllers],
            epoch: 0,
            now: Instant::now(),
        };
        let kind = MachineType {
            name: "m".into(),
            cpus: 8.0,
            gpus: 0.0,
            memory_gb: 64.0,
            cache_gb: 50.0,
            fetch_gb_per_s: 1.0,
            price: 1.0,
            spot_price: 0.5,
            boot_s: 30.0,
            zones: vec!["a".into(), "b".into()],
        };
        site.put(vec![KeyWrite::new(key::TYPES.into(), &MachineTypesRecord { types: vec![kind] })]);
        for (id, zone) in machines {
            site.record(id, zone);
        }
        site.map(&(0..controllers).collect::<Vec<_>>());
        (0..controllers).for_each(|n| site.read(n));
        site
    }

    fn record(&mut self, id: &str, zone: &str) {
        let record = MachineRecord {
            addr: id.into(),
            machine_type: "m".into(),
            zone: zone.into(),
            spot: false,
            release: false,
        };
        self.put(vec![KeyWrite::new(key::machine(id), &record)]);
    }

    fn txn(&mut self, conditions: &[Condition], puts: Vec<KeyWrite>) -> bool {
        if conditions.iter().any(|c| self.keys.get(&c.key).copied().unwrap_or(0) != c.version) {
            return false;
        }
        let revision = self.log.last().map_or(1, |l| l.0 + 1);
        for put in puts {
            match put.value {
                Some(_) => self.keys.insert(put.key.clone(), revision),
                None => self.keys.remove(&put.key),
            };
            self.log.push((revision, put));
        }
        true
    }

    fn put(&mut self, puts: Vec<KeyWrite>) {
        assert!(self.txn(&[], puts));
    }

    /// A new map of these controllers, of which the first leads.
    fn map(&mut self, live: &[usize]) {
        self.epoch += 1;
        let live: Vec<Member> = live.iter().map(|n| self.nodes[*n].identity.clone()).collect();
        self.put(vec![
            KeyWrite::new(key::LEADER.into(), &live[0]),
            KeyWrite::new(key::MAP.into(), &ClusterMap { epoch: self.epoch, live }),
        ]);
    }

    /// A controller ends, and another process begins under its name. It knows nothing.
    fn restart(&mut self, n: usize) {
        let settings = self.nodes[n].settings.clone();
        let incarnation = self.nodes[n].identity.incarnation + 1000;
        self.nodes[n] = Controller::new(settings, OperatorSettings::default(), incarnation);
        self.seen[n] = 0;
    }

    /// A controller reads all changes.
    fn read(&mut self, n: usize) {
        let mut core = self.nodes[n].state();
        for (revision, put) in &self.log[self.seen[n]..] {
            let (change, bad) = decode_change(&put.key, put.value.clone());
            assert!(!bad, "{}", put.key);
            core.records.replica.apply(change, *revision);
            core.records.replica.revision = *revision;
        }
        self.seen[n] = self.log.len();
        (core.records.is_loaded, core.records.fresh_at) = (true, Some(self.now));
        core.pauses = crate::state::PauseDetector::new(self.now);
    }

    /// A round of decisions: it is committed if nothing changed meanwhile, and told
    /// which commands to send.
    fn round(&mut self, n: usize) -> Vec<(Name, Commands)> {
        let (sends, conditions, puts) = {
            let controller = &self.nodes[n];
            let mut core = controller.state();
            let Some(round) = scheduler::decide(
                controller,
                &mut core,
                scheduler::CycleContext::new(16, self.now, 1_000_000),
            ) else {
                return Vec::new();
            };
            let assembled = scheduler::build_transaction(
                &core.records.replica,
                &round,
                &controller.state_limits(),
                usize::MAX,
            );
            (round.commands, assembled.conditions, assembled.writes)
        };
        self.txn(&conditions, puts);
        sends.into_iter().map(|sent| (sent.machine, sent.commands)).collect()
    }

    /// A worker's report arrives: the answer with which it stays, if it gets one.
    fn report(&mut self, n: usize, report: &Heartbeat) -> Option<HeartbeatResponse> {
        match process_heartbeat(&self.nodes[n], report, HeartbeatRoute::Direct, self.now) {
            HeartbeatOutcome::Respond(response) => wire::decode(&wire::encode(&response)).ok(),
            _ => None,
        }
    }

    fn answered(&mut self, n: usize, machine: &str, commands: &Commands, report: Option<Heartbeat>) {
        scheduler::record_response(
            &mut self.nodes[n].state(),
            machine,
            commands.fencing_token.into(),
            report,
            self.now,
        );
    }

    fn job(&self, id: &str) -> Box<JobRecord> {
        let put = self.log.iter().rfind(|(_, p)| p.key == key::job(id)).map(|(_, p)| p);
        let (change, _) = decode_change(&key::job(id), put.and_then(|p| p.value.clone()));
        match change {
            sched::replica::RecordChange::Job(_, Some(job)) => job,
            other => unreachable!("{other:?}"),
        }
    }

    /// The attempt of a job's first task that is on record.
    fn attempt(&self, id: &str) -> Option<u64> {
        self.job(id).assignments.first().map(|a| a.attempt)
    }

    /// Some controller cancels a job.
    fn cancel(&mut self, id: &str) {
        let mut job = self.job(id);
        job.phase = Phase::Cancelled;
        job.compact_if_final();
        self.put(vec![KeyWrite::new(key::job(id), &job)]);
    }

    /// The record says that these tasks are on these machines.
    fn assign(&mut self, spec: JobSpec, run: &[(u32, u64, &str)]) {
        let mut job = JobRecord::new(spec.clone(), None, 1000);
        job.attempt = run.iter().map(|r| r.1).max().unwrap_or(0);
        job.assignments = run
            .iter()
            .map(|(task, attempt, machine)| Assignment {
                task: *task,
                attempt: *attempt,
                machine: (*machine).into(),
                desired: DesiredState::Running,
            })
            .collect();
        self.put(vec![KeyWrite::new(key::job(&spec.id), &job)]);
    }

    fn wait(&mut self, s: f64) {
        self.now += secs(s);
    }

    /// The worker reports to a controller and hears the answer.
    fn meet(&mut self, n: usize, host: &mut Host) {
        host.live(self.now);
        let answer = self.report(n, &host.report());
        host.hear(self.now, answer);
    }

    /// The owner asks a worker for its status.
    fn ask(&mut self, n: usize, host: &mut Host) {
        host.live(self.now);
        let report = host.report();
        if let Some(w) = self.nodes[n].state().machines.workers.get_mut(host.id) {
            w.receive_response(report, self.now);
        }
    }

    /// A round whose commands reach the workers, and whose answers come back.
    fn command(&mut self, n: usize, hosts: &mut [&mut Host]) -> Vec<Command> {
        let mut sent = Vec::new();
        for (machine, commands) in self.round(n) {
            let host = hosts.iter_mut().find(|h| *machine == *h.id);
            let report = host.map(|h| h.execute(&commands, self.now));
            self.answered(n, &machine, &commands, report);
            sent.extend(commands.commands);
        }
        sent
    }
}

/// A worker as the protocol has it.
struct Host {
    id: &'static str,
    zone: &'static str,
    session: u64,
    seq: u64,
    token: u64,
    /// When the last answered report was sent, or the session began.
    renewed: Instant,
    tasks: BTreeMap<(String, u64), (TaskState, Option<ExitReason>)>,
}

impl Host {
    fn new(id: &'static str, zone: &'static str, now: Instant) -> Self {
        Self { id, zone, session: 1, seq: 0, token: 0, renewed: now, tasks: BTreeMap::new() }
    }

    /// The lease ends: everything is killed and forgotten.
    fn live(&mut self, now: Instant) {
        if now.saturating_duration_since(self.renewed) > LEASE {
            self.session += 1;
            self.renewed = now;
            self.tasks.clear();
        }
    }

    fn report(&mut self) -> Heartbeat {
        self.seq += 1;
        let tasks = self.tasks.iter().map(|((task, attempt), (state, cause))| TaskStatus {
            task: task.clone(),
            attempt: *attempt,
            state: *state,
            cause: *cause,
            checkpointed: None,
        });
        Heartbeat {
            machine: self.id.into(),
            addr: self.id.into(),
            machine_type: "m".into(),
            zone: self.zone.into(),
            spot: false,
            incarnation: self.session,
            sequence: self.seq,
            fencing_token: self.token,
            spot_notice_s: None,
            tasks: tasks.collect(),
        }
    }

    /// The answer to a report that was sent at this time.
    fn hear(&mut self, sent: Instant, answer: Option<HeartbeatResponse>) {
        let Some(answer) = answer.filter(|a| a.fencing_token >= self.token) else { return };
        (self.token, self.renewed) = (answer.fencing_token, sent);
        self.obey(&answer.commands);
    }

    /// A request to the machine itself.
    fn execute(&mut self, commands: &Commands, now: Instant) -> Heartbeat {
        self.live(now);
        if commands.fencing_token >= self.token && commands.incarnation == self.session {
            self.token = commands.fencing_token;
            self.obey(&commands.commands);
        }
        self.report()
    }

    fn obey(&mut self, commands: &[Command]) {
        for command in commands {
            match command {
                Command::Start { task, attempt } => {
                    let start = (TaskState::Running, None);
                    self.tasks.entry((task.clone(), *attempt)).or_insert(start);
                }
                Command::Stop { task, attempt, grace_s } if *grace_s > 0.0 => {
                    let saving = (TaskState::Running, None);
                    if let Some(state) =
                        self.tasks.get_mut(&(task.clone(), *attempt)).filter(|s| **s == saving)
                    {
                        state.0 = TaskState::Saving;
                    }
                }
                Command::Stop { task, attempt, .. } => self.end(task, *attempt, ExitReason::Stopped),
                Command::Forget { task, attempt } => {
                    let exited = |s: &(TaskState, Option<ExitReason>)| s.0 == TaskState::Exited;
                    let key = (task.clone(), *attempt);
                    if self.tasks.get(&key).is_some_and(exited) {
                        self.tasks.remove(&key);
                    }
                }
            }
        }
    }

    fn end(&mut self, task: &str, attempt: u64, cause: ExitReason) {
        if let Some(state) = self.tasks.get_mut(&(task.to_owned(), attempt))
            && state.0 != TaskState::Exited
        {
            *state = (TaskState::Exited, Some(cause));
        }
    }

    fn runs(&self, task: &str) -> bool {
        self.tasks.iter().any(|((t, _), (state, _))| t == task && *state != TaskState::Exited)
    }
}

/// A task runs on a worker of the only controller, as its record says.
fn running(controllers: usize) -> (Site, Host) {
    let mut site = Site::new(controllers, &[("host-1", "a")]);
    let mut host = Host::new("host-1", "a", site.now);
    site.assign(spec("j-1", JobKind::Array), &[(0, 1, "host-1")]);
    let owner = owner(&site);
    site.read(owner);
    site.meet(owner, &mut host);
    site.meet(owner, &mut host);
    site.command(owner, &mut [&mut host]);
    assert!(host.runs("j-1/0"));
    (site, host)
}

/// The controller that owns the first machine by the newest map.
fn owner(site: &Site) -> usize {
    let put = site.log.iter().rfind(|(_, p)| p.key == key::MAP).map(|(_, p)| p.clone());
    let put = put.expect("a map");
    let (sched::replica::RecordChange::Map(Some(map)), false) = decode_change(&put.key, put.value) else {
        unreachable!("a map")
    };
    let owner = map.owner("host-1", "a").expect("an owner").name.clone();
    site.nodes.iter().position(|n| n.identity.name == owner).expect("a controller")
}

#[path = "faults_reports.rs"]
mod hearing;
#[path = "faults_records.rs"]
mod records;

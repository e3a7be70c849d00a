//! Meetings of two troubles on the machines' side, on a clock of their own: controllers
//! with their real decisions and answers, a scripted state service, and workers as the
//! protocol describes them. Each test brings one meeting about, by its script alone.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use sched::records::*;
use store::{Put, decode_change, key};
use wire::{
    Cause, Command, Commands, Condition, JobKind, JobSpec, MachineType, Report, ReportAnswer, TaskReport,
    TaskState,
};

use crate::engine;
use crate::front::{Disposal, take_report};
use crate::node::Node;
use crate::settings::tests::EXAMPLE;
use crate::settings::{Operators, Settings};
use crate::worker::tests::spec;

/// As the example settings have them.
const LEASE: Duration = Duration::from_secs(24);
const CANCEL: Duration = Duration::from_secs(44);

fn secs(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

/// Controllers and the state service.
struct Site {
    nodes: Vec<Node>,
    keys: HashMap<String, u64>,
    log: Vec<(u64, Put)>,
    /// How much of the log each controller's mirror has.
    seen: Vec<usize>,
    epoch: u64,
    now: Instant,
}

impl Site {
    /// All controllers are live, the first leads; the machines have eight CPUs each.
    fn new(controllers: usize, machines: &[(&str, &str)]) -> Self {
        let node = |n: usize| {
            let mut settings = Settings::parse("example", EXAMPLE).expect("the example is valid");
            settings.node_name = format!("n-{n}");
            Node::new(settings, Operators::default(), 100 + n as u64)
        };
        let mut site = Self {
            nodes: (0..controllers).map(node).collect(),
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
        site.put(vec![Put::new(key::TYPES.into(), &TypesRecord { types: vec![kind] })]);
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
        self.put(vec![Put::new(key::machine(id), &record)]);
    }

    fn txn(&mut self, conditions: &[Condition], puts: Vec<Put>) -> bool {
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

    fn put(&mut self, puts: Vec<Put>) {
        assert!(self.txn(&[], puts));
    }

    /// A new map of these controllers, of which the first leads.
    fn map(&mut self, live: &[usize]) {
        self.epoch += 1;
        let live: Vec<Member> = live.iter().map(|n| self.nodes[*n].me.clone()).collect();
        self.put(vec![
            Put::new(key::LEADER.into(), &live[0]),
            Put::new(key::MAP.into(), &MapRecord { epoch: self.epoch, live }),
        ]);
    }

    /// A controller ends, and another process begins under its name. It knows nothing.
    fn restart(&mut self, n: usize) {
        let settings = self.nodes[n].settings.clone();
        let incarnation = self.nodes[n].me.incarnation + 1000;
        self.nodes[n] = Node::new(settings, Operators::default(), incarnation);
        self.seen[n] = 0;
    }

    /// A controller reads all changes.
    fn read(&mut self, n: usize) {
        let mut core = self.nodes[n].core();
        for (revision, put) in &self.log[self.seen[n]..] {
            let (change, bad) = decode_change(&put.key, put.value.clone());
            assert!(!bad, "{}", put.key);
            core.world.apply(change, *revision);
            core.world.revision = *revision;
        }
        self.seen[n] = self.log.len();
        (core.ready, core.fresh_at, core.beat) = (true, Some(self.now), self.now);
    }

    /// A round of decisions: it is committed if nothing changed meanwhile, and told
    /// which commands to send.
    fn round(&mut self, n: usize) -> Vec<(Name, Commands)> {
        let (sends, conditions, puts) = {
            let node = &self.nodes[n];
            let mut core = node.core();
            let Some(round) = engine::decide(node, &mut core, false, 16, self.now, 1_000_000) else {
                return Vec::new();
            };
            let assembled = engine::assemble(&core.world, &round, &node.plan(), usize::MAX);
            (round.sends, assembled.conditions, assembled.puts)
        };
        self.txn(&conditions, puts);
        sends.into_iter().map(|(machine, _, commands)| (machine, commands)).collect()
    }

    /// A worker's report arrives: the answer with which it stays, if it gets one.
    fn report(&mut self, n: usize, report: &Report) -> Option<ReportAnswer> {
        match take_report(&self.nodes[n], report, false, self.now) {
            Disposal::Answer(reply) if reply.status == 200 => wire::decode(&reply.body).ok(),
            _ => None,
        }
    }

    fn answered(&mut self, n: usize, machine: &str, commands: &Commands, report: Option<Report>) {
        engine::answered(&mut self.nodes[n].core(), machine, commands.token, report, self.now);
    }

    fn job(&self, id: &str) -> Box<JobRecord> {
        let put = self.log.iter().rfind(|(_, p)| p.key == key::job(id)).map(|(_, p)| p);
        let (change, _) = decode_change(&key::job(id), put.and_then(|p| p.value.clone()));
        match change {
            sched::world::Change::Job(_, Some(job)) => job,
            other => unreachable!("{other:?}"),
        }
    }

    /// The attempt of a job's first task that is on record.
    fn attempt(&self, id: &str) -> Option<u64> {
        self.job(id).run.first().map(|a| a.attempt)
    }

    /// Some controller cancels a job.
    fn cancel(&mut self, id: &str) {
        let mut job = self.job(id);
        job.phase = Phase::Cancelled;
        job.shrink();
        self.put(vec![Put::new(key::job(id), &job)]);
    }

    /// The record says that these tasks are on these machines.
    fn assign(&mut self, spec: JobSpec, run: &[(u32, u64, &str)]) {
        let mut job = JobRecord::new(spec.clone(), None, 1000);
        job.attempt = run.iter().map(|r| r.1).max().unwrap_or(0);
        job.run = run
            .iter()
            .map(|(task, attempt, machine)| Assignment {
                task: *task,
                attempt: *attempt,
                machine: (*machine).into(),
                want: Want::Run,
            })
            .collect();
        self.put(vec![Put::new(key::job(&spec.id), &job)]);
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
        if let Some(w) = self.nodes[n].core().workers.get_mut(host.id) {
            w.ingest(report, false, self.now);
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
    tasks: BTreeMap<(String, u64), (TaskState, Option<Cause>)>,
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

    fn report(&mut self) -> Report {
        self.seq += 1;
        let tasks = self.tasks.iter().map(|((task, attempt), (state, cause))| TaskReport {
            task: task.clone(),
            attempt: *attempt,
            state: *state,
            cause: *cause,
            saved: None,
        });
        Report {
            machine: self.id.into(),
            addr: self.id.into(),
            machine_type: "m".into(),
            zone: self.zone.into(),
            spot: false,
            session: self.session,
            seq: self.seq,
            token: self.token,
            notice_s: None,
            tasks: tasks.collect(),
        }
    }

    /// The answer to a report that was sent at this time.
    fn hear(&mut self, sent: Instant, answer: Option<ReportAnswer>) {
        let Some(answer) = answer.filter(|a| a.token >= self.token) else { return };
        (self.token, self.renewed) = (answer.token, sent);
        self.obey(&answer.commands);
    }

    /// A request to the machine itself.
    fn execute(&mut self, commands: &Commands, now: Instant) -> Report {
        self.live(now);
        if commands.token >= self.token && commands.session == self.session {
            self.token = commands.token;
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
                Command::Stop { task, attempt, .. } => self.end(task, *attempt, Cause::Stopped),
                Command::Forget { task, attempt } => {
                    let exited = |s: &(TaskState, Option<Cause>)| s.0 == TaskState::Exited;
                    let key = (task.clone(), *attempt);
                    if self.tasks.get(&key).is_some_and(exited) {
                        self.tasks.remove(&key);
                    }
                }
            }
        }
    }

    fn end(&mut self, task: &str, attempt: u64, cause: Cause) {
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
    let (sched::world::Change::Map(Some(map)), false) = decode_change(&put.key, put.value) else {
        unreachable!("a map")
    };
    let owner = map.owner("host-1", "a").expect("an owner").name.clone();
    site.nodes.iter().position(|n| n.me.name == owner).expect("a controller")
}

/// Answers reach a worker, requests to it do not: one of them is always on its way when
/// it reports. Each answer renews its lease, and without the stops it would keep a
/// cancelled task alive for good.
#[test]
fn an_answer_that_renews_a_lease_stops_what_is_cancelled() {
    let (mut site, mut host) = running(1);
    site.cancel("j-1");
    site.read(0);
    let told = site.now;
    while host.runs("j-1/0") {
        assert!(site.now < told + CANCEL, "it runs on");
        site.read(0);
        for (machine, commands) in site.round(0) {
            // Lost; the worker reports before that is known.
            site.meet(0, &mut host);
            site.wait(2.5);
            site.answered(0, &machine, &commands, None);
        }
        site.wait(0.1);
    }
    assert!(site.now < told + secs(3.0), "with the first answer that it hears");
}

/// Leaders change again and again, and the worker never reaches its owner. Any
/// controller renews its lease once in each epoch, but not for a cancelled task.
#[test]
fn others_do_not_renew_the_lease_of_what_is_cancelled() {
    let (mut site, mut host) = running(3);
    site.cancel("j-1");
    let told = site.now;
    while host.runs("j-1/0") {
        assert!(site.now < told + CANCEL, "it runs on");
        site.map(&[0, 1, 2]);
        let owner = owner(&site);
        for n in 0..3 {
            site.read(n);
            if n != owner {
                site.meet(n, &mut host);
            }
        }
        site.wait(5.0);
        host.live(site.now);
    }
    // What is not cancelled is renewed.
    site.assign(spec("j-2", JobKind::Array), &[(0, 1, "host-1")]);
    site.map(&[0, 1, 2]);
    let others = (0..3).find(|n| *n != owner(&site)).expect("some");
    site.read(others);
    let before = host.renewed;
    site.wait(1.0);
    site.meet(others, &mut host);
    assert!(host.renewed > before);
}

/// The state service refuses a controller alone, and another one confirms a cancellation.
/// The first has placed a task of that job, and its machine hung when it was to be
/// launched; now it goes on. Nothing is launched by so old a copy of the records,
/// neither by request nor with an answer.
#[test]
fn nothing_is_launched_by_an_old_copy_of_the_records() {
    let launches = |old: f64| {
        let mut site = Site::new(1, &[("host-1", "a")]);
        let mut host = Host::new("host-1", "a", site.now);
        site.meet(0, &mut host);
        site.assign(spec("j-1", JobKind::Array), &[(0, 1, "host-1")]);
        site.read(0);
        for (machine, commands) in site.round(0) {
            site.wait(2.5);
            site.answered(0, &machine, &commands, None);
        }
        site.cancel("j-1");
        site.wait(old - 2.5);
        let by_answer = {
            site.meet(0, &mut host);
            host.runs("j-1/0")
        };
        let by_request = site.command(0, &mut [&mut host]).iter().any(|c| matches!(c, Command::Start { .. }));
        (by_answer, by_request)
    };
    assert_eq!(launches(3.5), (true, true), "it cannot know better yet");
    for old in [5.0, 14.0, 23.0, 60.0] {
        assert_eq!(launches(old), (false, false), "{old} s");
    }
}

/// A task fails, and its owner cannot write that, as the state service refuses it alone.
/// The machine gets another owner, loses its lease, and the task is started there once
/// more. Then the first is the owner again, and learns of both changes at once. What it
/// knew of the machine is from before, and ends nothing; nor does a late copy of the report
/// of that end, which comes before anything else.
#[test]
fn what_an_owner_knew_before_others_had_its_machine_ends_nothing() {
    for late_copy in [false, true] {
        let mut site = Site::new(2, &[("host-1", "a")]);
        site.map(&[0]);
        site.read(0);
        let mut host = Host::new("host-1", "a", site.now);
        site.assign(spec("j-1", JobKind::Array), &[(0, 1, "host-1")]);
        site.read(0);
        site.meet(0, &mut host);
        site.meet(0, &mut host);
        assert!(host.runs("j-1/0"));
        host.end("j-1/0", 1, Cause::Error);
        let copy = host.report();
        site.report(0, &copy);
        site.map(&[1]);
        site.wait(25.0);
        site.read(1);
        site.meet(1, &mut host);
        site.command(1, &mut [&mut host]);
        site.meet(1, &mut host);
        assert!(host.session == 2 && host.runs("j-1/0"), "started anew");
        site.map(&[0]);
        site.read(0);
        if late_copy {
            site.report(0, &copy);
        }
        site.round(0);
        assert_eq!(site.attempt("j-1"), Some(1), "it runs");
        site.meet(0, &mut host);
        site.round(0);
        assert_eq!(site.attempt("j-1"), Some(1), "it still runs");
        host.end("j-1/0", 1, Cause::Error);
        site.meet(0, &mut host);
        site.round(0);
        let job = site.job("j-1");
        assert!(job.errors == 1 && job.run.iter().all(|a| a.attempt > 1), "its end is proven now: {job:?}");
    }
}

/// A machine reaches no controller, but requests reach it: its owner hears of it all the
/// time, and nobody renews its lease. Its task is killed with that, is proven so, and is
/// started elsewhere, once; a launch from before meets another session. Nothing is placed
/// there while that lasts, as it would be killed again.
#[test]
fn a_mute_machine_gets_no_work_and_its_tasks_start_elsewhere_once() {
    let mut site = Site::new(1, &[("host-1", "a"), ("host-2", "a")]);
    let (mut mute, mut other) = (Host::new("host-1", "a", site.now), Host::new("host-2", "a", site.now));
    site.assign(spec("j-1", JobKind::Array), &[(0, 1, "host-1")]);
    site.read(0);
    for host in [&mut mute, &mut other] {
        site.meet(0, host);
        site.meet(0, host);
    }
    assert!(mute.runs("j-1/0"));
    let late = Commands {
        token: mute.token,
        session: 1,
        commands: vec![Command::Start { task: "j-1/0".into(), attempt: 1 }],
    };
    for step in 0..160 {
        site.wait(0.5);
        site.read(0);
        if step % 6 == 0 {
            site.meet(0, &mut other);
        }
        if step % 4 == 0 {
            site.ask(0, &mut mute);
        }
        if step == 60 {
            mute.execute(&late, site.now);
        }
        site.command(0, &mut [&mut mute, &mut other]);
        assert!(!(mute.runs("j-1/0") && other.runs("j-1/0")), "step {step}");
        assert!(mute.session == 1 || !mute.runs("j-1/0"), "started there again, step {step}");
    }
    assert!(other.runs("j-1/0") && mute.session > 1);
}

/// A launch is offered with an answer that is held up, and the machine reaches no
/// controller any more. Its job is cancelled, and counts in its team's limit until it is
/// proven that nothing will come of the launch: a request shows the worker a later token.
#[test]
fn a_launch_in_a_lost_answer_is_ruled_out_while_the_machine_is_mute() {
    let mut site = Site::new(1, &[("host-1", "a")]);
    let mut host = Host::new("host-1", "a", site.now);
    site.meet(0, &mut host);
    site.assign(spec("j-1", JobKind::Array), &[(0, 1, "host-1")]);
    site.read(0);
    site.wait(1.0);
    let sent = site.now;
    let held = site.report(0, &host.report());
    assert!(held.as_ref().is_some_and(|a| !a.commands.is_empty()));
    site.cancel("j-1");
    site.read(0);
    site.ask(0, &mut host);
    let commands = site.round(0);
    assert_eq!(site.job("j-1").run.len(), 1, "the answer may still arrive");
    for (machine, commands) in commands {
        let report = host.execute(&commands, site.now);
        site.answered(0, &machine, &commands, Some(report));
    }
    site.wait(1.0);
    site.round(0);
    assert!(site.job("j-1").run.is_empty(), "it stays on record");
    host.hear(sent, held);
    assert!(!host.runs("j-1/0"));
}

/// Copies of all reports that a worker has sent so far, and one that is held back, come to
/// a new leader: before it hears the worker itself, after its report, and after it answered
/// a request, and after it heard an answer; also to a new process of the same controller, and as its job is cancelled.
/// They end nothing, and what they lack or show is not launched or stopped by them.
#[test]
fn reports_from_before_change_nothing_for_a_new_leader() {
    for case in 0..16 {
        let (same_name, cancelled, moment) = (case % 2 == 0, case / 2 % 2 == 0, case / 4);
        let mut site = Site::new(2, &[("host-1", "a")]);
        site.map(&[0]);
        site.read(0);
        let mut host = Host::new("host-1", "a", site.now);
        let mut copies = vec![host.report()];
        site.meet(0, &mut host);
        copies.push(host.report());
        // An attempt that failed, which was cleared, and one that runs.
        host.tasks.insert(("j-1/0".into(), 1), (TaskState::Exited, Some(Cause::Error)));
        host.tasks.insert(("j-1/1".into(), 1), (TaskState::Exited, Some(Cause::Stopped)));
        copies.push(host.report());
        host.tasks.clear();
        copies.push(host.report());
        site.assign(spec("j-1", JobKind::Array), &[(0, 2, "host-1")]);
        site.read(0);
        site.meet(0, &mut host);
        assert!(host.runs("j-1/0"));
        let held = host.report();
        let new = usize::from(!same_name);
        if same_name {
            site.restart(0);
        }
        site.map(&[new]);
        if cancelled {
            site.cancel("j-1");
        }
        site.read(new);
        site.round(new);
        if moment > 0 {
            // Its answer is lost.
            site.report(new, &host.report());
        }
        if moment > 1 {
            site.wait(1.0);
            site.ask(new, &mut host);
        }
        if moment > 2 && !cancelled {
            site.meet(new, &mut host);
            site.meet(new, &mut host);
        }
        let mut sent = Vec::new();
        for copy in copies.iter().chain([&held]).chain(copies.iter().rev()) {
            site.report(new, copy);
            site.wait(0.5);
            site.read(new);
            sent.extend(site.round(new));
            assert_eq!(site.attempt("j-1"), Some(2), "case {case}: it runs");
        }
        for (machine, commands) in sent {
            let report = host.execute(&commands, site.now);
            site.answered(new, &machine, &commands, Some(report));
        }
        site.meet(new, &mut host);
        site.command(new, &mut [&mut host]);
        assert_eq!(host.runs("j-1/0"), !cancelled, "case {case}: {:?}", host.tasks);
        assert_eq!(host.tasks.len(), 1, "case {case}: {:?}", host.tasks);
        site.meet(new, &mut host);
        site.round(new);
        assert_eq!(site.attempt("j-1"), (!cancelled).then_some(2));
    }
}

/// A leader ends. The machine cannot be reached, but some other controller renewed its lease
/// for the new epoch; the new leader's answer, before, was lost. It must not reckon with its
/// own: the task runs on, and nothing is started elsewhere until the worker was heard.
#[test]
fn a_lease_that_others_may_have_renewed_proves_nothing() {
    let (mut site, mut host) = running(3);
    site.record("host-2", "a");
    site.map(&[1, 2]);
    let owner = owner(&site);
    let other = 3 - owner;
    site.map(&[owner, other]);
    site.read(owner);
    let lost = site.report(owner, &host.report());
    assert!(lost.is_some());
    site.wait(20.0);
    site.read(other);
    site.meet(other, &mut host);
    for _ in 0..40 {
        site.wait(0.5);
        site.read(owner);
        site.round(owner);
        host.live(site.now);
        assert!(!host.runs("j-1/0") || site.attempt("j-1") == Some(1), "it runs");
    }
    assert!(host.runs("j-1/0"), "for as long as its lease lasts");
}

/// A machine hears nothing, though its reports arrive: its task is killed with its lease.
/// Meanwhile the leader changes. Nothing is proven by what shows no token of the new epoch,
/// and the task starts elsewhere only once it is.
#[test]
fn what_a_deaf_machine_reports_proves_nothing_to_a_new_leader() {
    let (mut site, mut host) = running(2);
    site.map(&[1]);
    let killed_at = host.renewed + LEASE;
    for step in 0..20 {
        site.wait(3.0);
        site.read(1);
        host.live(site.now);
        site.report(1, &host.report());
        for (machine, commands) in site.round(1) {
            site.answered(1, &machine, &commands, None);
        }
        assert_eq!(site.attempt("j-1"), Some(1), "step {step}");
    }
    assert!(site.now > killed_at && !host.runs("j-1/0"));
    // It hears again.
    let round = |site: &mut Site, host: &mut Host| {
        site.wait(3.0);
        site.read(1);
        site.meet(1, host);
        site.command(1, &mut [host]);
    };
    for _ in 0..4 {
        round(&mut site, &mut host);
    }
    assert!(site.attempt("j-1").is_none_or(|a| a > 1), "proven over, and started anew");
}

/// A machine hangs when its task is to be launched, and the job is cancelled. Later it goes
/// on, and carries out what was held up, in any order. Or only the launch is held up, while
/// the machine reports and hears nothing. Whatever starts by that is known and stopped: the
/// record keeps it, with its part of the team's limit, until it cannot start any more.
#[test]
fn a_launch_that_is_held_up_is_on_record_until_it_cannot_start() {
    for (hangs, backwards, deaf) in [
        (3.0, false, false),
        (8.0, true, false),
        (15.0, false, false),
        (20.0, true, false),
        (23.0, false, false),
        (2.0, false, true),
        (9.0, false, true),
        (20.0, false, true),
    ] {
        let mut site = Site::new(1, &[("host-1", "a")]);
        let mut host = Host::new("host-1", "a", site.now);
        site.meet(0, &mut host);
        site.assign(spec("j-1", JobKind::Array), &[(0, 1, "host-1")]);
        let mut held: Vec<Commands> = Vec::new();
        let mut unanswered: Vec<(Instant, Name, Commands)> = Vec::new();
        let start = site.now;
        let mut told = None;
        let mut started = false;
        for tick in 0..700 {
            site.read(0);
            if told.is_none() && site.now > start + secs(1.0) {
                site.cancel("j-1");
                site.read(0);
                told = Some(site.now);
            }
            let hung = site.now < start + secs(hangs);
            for (machine, commands) in site.round(0) {
                if hung {
                    if !deaf || held.is_empty() {
                        held.push(commands.clone());
                    }
                    unanswered.push((site.now, machine, commands));
                } else {
                    let report = host.execute(&commands, site.now);
                    site.answered(0, &machine, &commands, Some(report));
                }
            }
            if !hung {
                if backwards {
                    held.reverse();
                }
                for commands in held.drain(..) {
                    host.execute(&commands, site.now);
                }
            }
            let late = |u: &mut (Instant, Name, Commands)| site.now >= u.0 + secs(2.5);
            let over: Vec<_> = unanswered.extract_if(.., late).collect();
            for (_, machine, commands) in over {
                site.answered(0, &machine, &commands, None);
            }
            started |= host.runs("j-1/0");
            assert!(!host.runs("j-1/0") || site.attempt("j-1") == Some(1), "it runs unknown");
            if told.is_some_and(|t| site.now > t + CANCEL) {
                assert!(!host.runs("j-1/0"), "hung for {hangs} s");
            }
            match (hung, deaf) {
                (true, true) if tick % 5 == 0 => drop(site.report(0, &host.report())),
                (false, _) if tick % 30 == 0 => site.meet(0, &mut host),
                _ => {}
            }
            site.wait(0.1);
        }
        assert!(started != backwards, "the launch comes first, or not at all");
        assert!(site.job("j-1").run.is_empty(), "its share is free");
    }
}

/// A team at its limit: its job is cancelled, but the machine with its tasks is cut off, and
/// the leader changes. What waits gets nothing until the tasks are proven over.
#[test]
fn a_cancelled_jobs_share_of_the_limit_is_free_only_once_it_is_proven_over() {
    let mut site = Site::new(2, &[("host-1", "a"), ("host-2", "a")]);
    let (mut cut, mut other) = (Host::new("host-1", "a", site.now), Host::new("host-2", "a", site.now));
    let eight = |id: &str| JobSpec { tasks: 8, ..spec(id, JobKind::Array) };
    let all: Vec<(u32, u64, &str)> = (0..8).map(|t| (t, 1, "host-1")).collect();
    site.assign(eight("j-1"), &all);
    site.put(vec![Put::new(key::job("j-2"), &JobRecord::new(eight("j-2"), None, 1000))]);
    site.map(&[0]);
    site.read(0);
    for _ in 0..2 {
        site.meet(0, &mut cut);
        site.meet(0, &mut other);
    }
    let runs = |host: &Host, job: &str| (0..8).filter(|t| host.runs(&format!("{job}/{t}"))).count();
    assert_eq!(runs(&cut, "j-1"), 8);
    site.cancel("j-1");
    site.map(&[1]);
    for step in 0..60 {
        site.wait(1.0);
        site.read(1);
        cut.live(site.now);
        if step % 3 == 0 {
            site.meet(1, &mut other);
        }
        // It is heard again at last.
        if step > 40 && step % 3 == 0 {
            site.meet(1, &mut cut);
        }
        match step > 40 {
            true => site.command(1, &mut [&mut cut, &mut other]),
            false => site.command(1, &mut [&mut other]),
        };
        let new = runs(&cut, "j-2") + runs(&other, "j-2");
        assert!(runs(&cut, "j-1") + new <= 8, "step {step}");
        assert!(step < 46 || new == 8, "it is proven, step {step}");
        assert!(step > 40 || new == 0, "not proven, step {step}");
    }
}

/// A controller is cut off with the workers of its zone from the state service and from the
/// others, for longer than a lease. A job is cancelled through the next leader: its tasks
/// are gone in time.
#[test]
fn a_zone_that_is_cut_off_with_its_controller_keeps_nothing_alive() {
    let (mut site, mut host) = running(2);
    let old = owner(&site);
    site.map(&[1 - old]);
    site.cancel("j-1");
    let told = site.now;
    let mut ran_for = Duration::ZERO;
    while site.now < told + CANCEL + secs(40.0) {
        host.live(site.now);
        if host.runs("j-1/0") {
            ran_for = site.now - told;
        }
        site.meet(old, &mut host);
        site.command(old, &mut [&mut host]);
        site.wait(3.0);
    }
    assert!(ran_for < CANCEL, "{ran_for:?}");
    // It ran on inside, as no trouble should end it sooner than it has to.
    assert!(ran_for > LEASE, "{ran_for:?}");
}

/// An owner that others have replaced by now reckons that its machine's lease is over, as
/// it has not heard it. The next owner has renewed it: the end is not written.
#[test]
fn an_end_that_was_proven_under_an_earlier_map_is_not_written() {
    let (mut site, mut host) = running(2);
    let old = owner(&site);
    let new = 1 - old;
    site.map(&[new]);
    for _ in 0..10 {
        site.wait(3.0);
        site.read(new);
        site.meet(new, &mut host);
        site.command(new, &mut [&mut host]);
    }
    assert!(host.runs("j-1/0"));
    // It knows nothing of the new map.
    site.nodes[old].core().fresh_at = Some(site.now);
    let before = site.log.len();
    site.round(old);
    assert_eq!(site.log.len(), before);
    // Nor does it hand such an end to another controller: this one knows the newer map.
    let proof = peer::Proof { job: "j-1".into(), task: 0, attempt: 1, machine: "host-1".into(), end: 3 };
    engine::take_proofs(&site.nodes[new], site.epoch - 1, vec![proof.clone()], site.now);
    site.round(new);
    assert_eq!(site.attempt("j-1"), Some(1), "it runs");
    engine::take_proofs(&site.nodes[new], site.epoch, vec![proof], site.now);
    site.round(new);
    assert!(site.attempt("j-1").is_none_or(|a| a > 1), "of this map it would count");
}

/// An array bound to one zone loses a machine there. While a task of it may still be in
/// that zone, reached or not, the others start in no other, whatever room is there.
#[test]
fn a_job_of_one_zone_waits_for_what_is_left_in_its_zone() {
    let mut site = Site::new(1, &[("host-1", "a"), ("host-2", "a"), ("host-3", "b")]);
    let mut there = Host::new("host-3", "b", site.now);
    let two = JobSpec { tasks: 2, one_zone: true, ..spec("j-1", JobKind::Array) };
    site.assign(two, &[(0, 1, "host-1"), (1, 1, "host-2")]);
    let gone = |names: &[&str]| {
        let gone = Some(names.iter().map(|n| (*n).into()).collect());
        Put::new(key::FLEET.into(), &FleetRecord { rentals: Vec::new(), gone })
    };
    // One machine is given back, the other cannot be reached.
    site.put(vec![gone(&["host-2"])]);
    let steps = |site: &mut Site, there: &mut Host| {
        for _ in 0..10 {
            site.wait(1.0);
            site.read(0);
            site.meet(0, there);
            site.command(0, &mut [there]);
        }
    };
    steps(&mut site, &mut there);
    let job = site.job("j-1");
    assert!(job.run.len() == 1 && &*job.run[0].machine == "host-1", "{:?}", job.run);
    assert!(there.tasks.is_empty());
    // Now that one, too.
    site.put(vec![gone(&["host-1", "host-2"])]);
    steps(&mut site, &mut there);
    assert!(there.runs("j-1/0") && there.runs("j-1/1"));
}

/// The tasks of a small array end far apart, and between them the leader changes. Late
/// copies of what was reported of them come to the next one. The job is done when all are.
#[test]
fn an_array_is_done_once_each_task_is_whatever_comes_late() {
    let mut site = Site::new(2, &[("host-1", "a")]);
    let mut host = Host::new("host-1", "a", site.now);
    let three = JobSpec { tasks: 3, ..spec("j-1", JobKind::Array) };
    site.assign(three, &[(0, 1, "host-1"), (1, 1, "host-1"), (2, 1, "host-1")]);
    let mut copies = Vec::new();
    let mut done = 0;
    for (step, (ends, cause)) in [
        (Some("j-1/0"), Cause::Done),
        (None, Cause::Done),
        (Some("j-1/1"), Cause::Error),
        (Some("j-1/1"), Cause::Done),
        (None, Cause::Done),
        (Some("j-1/2"), Cause::Done),
    ]
    .into_iter()
    .enumerate()
    {
        // Each leads in turn.
        let n = step / 2 % 2;
        site.map(&[n]);
        for _ in 0..12 {
            site.wait(1.0);
            site.read(n);
            site.meet(n, &mut host);
            site.command(n, &mut [&mut host]);
            copies.iter().for_each(|c| drop(site.report(n, c)));
        }
        if let Some(task) = ends {
            let attempt = host.tasks.keys().filter(|k| k.0 == task).map(|k| k.1).max();
            host.end(task, attempt.expect("it runs"), cause);
            done += u32::from(cause == Cause::Done);
            copies.push(host.report());
        }
        for _ in 0..3 {
            site.wait(1.0);
            site.read(n);
            site.meet(n, &mut host);
            copies.iter().for_each(|c| drop(site.report(n, c)));
            site.command(n, &mut [&mut host]);
            let job = site.job("j-1");
            assert!(job.done.len() <= done && (job.phase == Phase::Done) == (job.done.len() == 3));
        }
        assert_eq!(site.job("j-1").done.len(), done, "step {step}");
    }
    assert_eq!(site.job("j-1").phase, Phase::Done);
}

/// A task is told to stop for other work, and saves. Then its job is cancelled, and its
/// machine may get another owner, too. It need not be saved any more: the first answer
/// ends it.
#[test]
fn a_task_that_saves_is_ended_when_its_job_is_cancelled() {
    for changes in [false, true] {
        let (mut site, mut host) = running(2);
        let mut job = site.job("j-1");
        job.run[0].want = Want::Stop;
        site.put(vec![Put::new(key::job("j-1"), &job)]);
        let old = owner(&site);
        site.read(old);
        site.command(old, &mut [&mut host]);
        assert_eq!(host.tasks.values().next(), Some(&(TaskState::Saving, None)));
        site.cancel("j-1");
        site.wait(0.5);
        let new = if changes { 1 - old } else { old };
        site.map(&[new]);
        site.read(new);
        site.meet(new, &mut host);
        assert!(!host.runs("j-1/0"));
        site.meet(new, &mut host);
        site.round(new);
        assert!(site.job("j-1").run.is_empty());
    }
}

/// A machine is up within a second. Its record, and its first task, are still to be written
/// when the leader ends. Nothing is launched before both are, and the old leader, who does not
/// know yet, places nothing any more.
#[test]
fn a_new_machine_gets_only_work_that_is_on_record() {
    let mut site = Site::new(2, &[]);
    let mut host = Host::new("host-1", "a", site.now);
    let job = JobRecord::new(spec("j-1", JobKind::Array), None, 1000);
    site.map(&[0]);
    site.put(vec![Put::new(key::job("j-1"), &job)]);
    site.read(0);
    let adopted = take_report(&site.nodes[0], &host.report(), false, site.now);
    assert!(matches!(adopted, Disposal::Adopt(epoch) if epoch == site.epoch));
    assert!(site.command(0, &mut [&mut host]).is_empty());
    site.record("host-1", "a");
    site.read(0);
    site.meet(0, &mut host);
    site.meet(0, &mut host);
    site.map(&[1]);
    let before = site.log.len();
    assert!(site.command(0, &mut [&mut host]).iter().all(|c| !matches!(c, Command::Start { .. })));
    assert_eq!(site.log.len(), before, "it places nothing by the old map");
    site.read(1);
    for _ in 0..4 {
        site.wait(1.0);
        site.read(1);
        site.meet(1, &mut host);
        site.command(1, &mut [&mut host]);
        let on_record = site.job("j-1").run.len();
        assert!(host.tasks.len() <= on_record);
    }
    assert!(host.runs("j-1/0"));
}

/// Requests never reach a machine, only answers do: a launch is not answered, and its job is
/// cancelled. The answers show the worker later tokens, which rules the launch out, though
/// there is always a request on its way: none of those launches anything.
#[test]
fn requests_that_launch_nothing_keep_nothing_on_record() {
    let mut site = Site::new(1, &[("host-1", "a")]);
    let mut host = Host::new("host-1", "a", site.now);
    site.meet(0, &mut host);
    site.assign(spec("j-1", JobKind::Array), &[(0, 1, "host-1")]);
    site.read(0);
    let start = site.now;
    let mut waits: Option<(Instant, Commands)> = None;
    let mut reported = start;
    while !site.job("j-1").run.is_empty() {
        assert!(site.now < start + secs(30.0), "it stays on record");
        site.read(0);
        for (_, commands) in site.round(0) {
            waits = Some((site.now, commands));
            if site.job("j-1").phase == Phase::Active {
                site.cancel("j-1");
            }
        }
        if let Some((_, commands)) = waits.take_if(|(at, _)| site.now >= *at + secs(2.5)) {
            site.answered(0, "host-1", &commands, None);
        }
        // The worst moments: as soon as a request is on its way.
        if waits.is_some() && site.now >= reported + secs(2.5) {
            site.meet(0, &mut host);
            reported = site.now;
        }
        site.wait(0.1);
    }
    assert!(host.tasks.is_empty());
}

/// A gang waits for its tasks when one of its machines loses them, and gets another machine
/// within the same attempt: never the same one again, whose late word of the end would else
/// count for the new start. Then the leader changes. The gang is done once a task says so.
#[test]
fn a_gang_that_lost_a_machine_goes_on_elsewhere_within_its_attempt() {
    let mut site = Site::new(2, &[("host-1", "a"), ("host-2", "a"), ("host-3", "a")]);
    let mut hosts = ["host-1", "host-2", "host-3"].map(|id| Host::new(id, "a", site.now));
    site.assign(
        JobSpec { tasks: 2, memory_gb: 40.0, ..spec("j-1", JobKind::Gang) },
        &[(0, 1, "host-1"), (1, 1, "host-2")],
    );
    site.map(&[0]);
    let round = |site: &mut Site, n: usize, hosts: &mut [Host; 3], hung: &[usize]| {
        site.wait(1.0);
        site.read(n);
        let up = |i: &usize| !hung.contains(i);
        (0..3).filter(up).for_each(|i| site.meet(n, &mut hosts[i]));
        let mut there: Vec<&mut Host> =
            hosts.iter_mut().enumerate().filter(|(i, _)| up(i)).map(|(_, h)| h).collect();
        site.command(n, &mut there);
    };
    (0..3).for_each(|_| round(&mut site, 0, &mut hosts, &[]));
    assert!(hosts[0].runs("j-1/0") && hosts[1].runs("j-1/1"));
    let mut gave_up = hosts[1].report();
    gave_up.tasks[0].state = TaskState::Exited;
    gave_up.tasks[0].cause = Some(Cause::Alone);
    // It hangs for longer than its lease.
    (0..26).for_each(|_| round(&mut site, 0, &mut hosts, &[1, 2]));
    (0..9).for_each(|_| round(&mut site, 0, &mut hosts, &[2]));
    assert_eq!(site.job("j-1").run.len(), 1, "it waits, though there is room where it was");
    (0..9).for_each(|_| round(&mut site, 0, &mut hosts, &[]));
    let check = |site: &Site, hosts: &[Host; 3]| {
        let job = site.job("j-1");
        let places: Vec<(u64, &str)> = job.run.iter().map(|a| (a.attempt, &*a.machine)).collect();
        assert_eq!(places, [(1, "host-1"), (1, "host-3")]);
        assert!(job.phase == Phase::Active && hosts[2].runs("j-1/1") && !hosts[1].runs("j-1/1"));
    };
    check(&site, &hosts);
    site.report(0, &gave_up);
    site.round(0);
    check(&site, &hosts);
    site.map(&[1]);
    site.read(1);
    site.report(1, &gave_up);
    (0..3).for_each(|_| round(&mut site, 1, &mut hosts, &[]));
    check(&site, &hosts);
    hosts[2].end("j-1/1", 1, Cause::Done);
    (0..3).for_each(|_| round(&mut site, 1, &mut hosts, &[]));
    let job = site.job("j-1");
    assert!(job.phase == Phase::Done && job.done.len() == 2, "{job:?}");
}

/// The address of a machine that is gone has become another's, who answers in its place.
/// That is no word of the first.
#[test]
fn an_answer_of_another_machine_is_none() {
    let (mut site, mut host) = running(1);
    let mut other = Host::new("host-2", "a", site.now);
    (other.token, other.seq) = (host.token + 9, 99);
    let mut job = site.job("j-1");
    job.run[0].want = Want::Stop;
    site.put(vec![Put::new(key::job("j-1"), &job)]);
    site.read(0);
    let sent = site.round(0);
    assert!(!sent.is_empty());
    for (machine, commands) in sent {
        site.answered(0, &machine, &commands, Some(other.report()));
    }
    site.wait(1.0);
    site.round(0);
    assert_eq!(site.attempt("j-1"), Some(1), "it runs");
    site.wait(1.0);
    site.meet(0, &mut host);
    site.command(0, &mut [&mut host]);
    assert_eq!(host.tasks.values().next(), Some(&(TaskState::Saving, None)), "it is told");
}

/// A machine hears nothing: it loses its lease though its reports are answered. That shows,
/// and it gets no work until it hears, though nothing else would raise the token that its
/// reports have to show.
#[test]
fn a_deaf_machine_counts_as_deaf_until_it_hears() {
    let (mut site, mut host) = running(1);
    let hears = |site: &Site| site.nodes[0].core().workers["host-1"].hears();
    let deaf_at = site.now;
    while site.now < deaf_at + LEASE * 3 {
        site.wait(3.0);
        site.read(0);
        host.live(site.now);
        site.report(0, &host.report());
        assert!(host.session == 1 || !hears(&site), "{:?}", site.now - deaf_at);
    }
    for _ in 0..2 {
        site.wait(3.0);
        site.read(0);
        site.meet(0, &mut host);
    }
    assert!(hears(&site));
}

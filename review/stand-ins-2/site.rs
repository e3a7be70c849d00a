//! The cloud and the workers, as in "Controller nodes -> cloud" and "Workers -> controller nodes" of
//! the protocol. Jobs are arrays and services; their descriptions are uploaded by the stand-in users.

use std::collections::{BTreeMap, HashMap};
use std::fmt::Arguments;
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Request, Response, response};
use crate::value::{Value, int, map, text};

/// The file `record.txt` of a case.
pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Arc<Self> {
        let file = Mutex::new(File::create(path).expect("record.txt can be written"));
        Arc::new(Self { file, started: Instant::now() })
    }

    pub fn note(&self, what: Arguments) {
        let line = format!("{:8.3} {what}\n", self.started.elapsed().as_secs_f64());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

pub struct MachineType {
    pub label: &'static str,
    pub cpus: f64,
    pub mem_gb: f64,
    pub price: f64,
    pub spot_price: f64,
    pub local_gb: f64,
    pub fetch_gb_per_s: f64,
    pub startup_s: f64,
    pub bays: &'static [&'static str],
}

#[derive(Clone, Copy)]
pub struct WorkerTimes {
    pub report_s: f64,
    pub lease_s: f64,
    pub list_lag_s: f64,
}

#[derive(Clone)]
struct Job {
    is_service: bool,
    threads: u64,
    cpus: f64,
    mem_gb: f64,
    bundle: String,
    size_gb: f64,
    /// How long a task runs, and whether it fails then.
    run_s: f64,
    fails: bool,
}

#[derive(Clone, Copy, PartialEq, Debug)]
enum State {
    Pulling,
    Running,
    Ended(&'static str),
}

struct Task {
    state: State,
    since: Instant,
}

struct Machine {
    name: String,
    addr: String,
    shape: &'static str,
    bay: String,
    loaner: bool,
    hired_at: Instant,
    up_at: Instant,
    gone_at: Option<Instant>,
    hangs: bool,
    stint: u64,
    tally: u64,
    baton: u64,
    lease_from: Instant,
    tasks: BTreeMap<(String, u64), Task>,
    images: HashMap<String, Instant>,
}

/// A stop command for a running task, and what else of its job ran at that moment.
#[derive(Clone, Debug)]
pub struct Stopped {
    pub job: String,
    pub thread: String,
    pub machine: String,
    /// Other tasks of the job that ran, on machines that did not hang.
    pub others_running: usize,
}

struct World {
    machines: Vec<Machine>,
    jobs: HashMap<String, Job>,
    hired: HashMap<String, Vec<String>>,
    /// Machines that can be rented now, by type and zone.
    capacity: HashMap<(String, String), u32>,
    stops: Vec<Stopped>,
    boot: Duration,
}

pub struct Site {
    pub record: Arc<Record>,
    types: Vec<MachineType>,
    times: WorkerTimes,
    /// The addresses for workers, by the controllers' names.
    fronts: Mutex<Vec<(String, String)>>,
    world: Mutex<World>,
}

fn seconds(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

impl Site {
    pub fn new(record: Arc<Record>, types: Vec<MachineType>, times: WorkerTimes, boot_s: f64) -> Arc<Self> {
        let world = World {
            machines: Vec::new(),
            jobs: HashMap::new(),
            hired: HashMap::new(),
            capacity: HashMap::new(),
            stops: Vec::new(),
            boot: seconds(boot_s),
        };
        Arc::new(Self { record, types, times, fronts: Mutex::default(), world: Mutex::new(world) })
    }

    pub fn set_fronts(&self, fronts: Vec<(String, String)>) {
        *self.fronts.lock().unwrap() = fronts;
    }

    pub fn set_capacity(&self, shape: &str, bay: &str, count: u32) {
        self.world.lock().unwrap().capacity.insert((shape.to_owned(), bay.to_owned()), count);
    }

    /// The description of a job, as its user uploads it.
    pub fn upload(&self, spec: &Value, run_s: f64, fails: bool) {
        let job = Job {
            is_service: spec.str("weave") == "standing",
            threads: spec.int("threads"),
            cpus: spec.num("cpus"),
            mem_gb: spec.num("mem_gb"),
            bundle: spec.str("bundle"),
            size_gb: spec.num("size_gb"),
            run_s,
            fails,
        };
        self.world.lock().unwrap().jobs.insert(spec.str("id"), job);
    }

    /// The machines on which tasks of a job run, without those that hang.
    pub fn running(&self, job: &str) -> Vec<String> {
        self.world.lock().unwrap().running(job)
    }

    /// The machine and the type on which a task runs.
    pub fn machine_of(&self, thread: &str) -> Option<(String, &'static str)> {
        let world = self.world.lock().unwrap();
        let runs = |m: &&Machine| {
            m.tasks.iter().any(|((known, _), task)| known == thread && task.state == State::Running)
        };
        world.machines.iter().find(runs).map(|m| (m.name.clone(), m.shape))
    }

    pub fn stops(&self) -> Vec<Stopped> {
        self.world.lock().unwrap().stops.clone()
    }

    /// The machine hangs: it does nothing, and what it is sent waits until it goes on.
    pub fn set_hangs(&self, machine: &str, hangs: bool) {
        let mut world = self.world.lock().unwrap();
        if let Some(machine) = world.machines.iter_mut().find(|m| m.name == machine) {
            machine.hangs = hangs;
            self.record.note(format_args!("machine {} hangs: {hangs}", machine.name));
        }
    }

    pub fn cloud_request(self: &Arc<Self>, request: Request) -> Option<Response> {
        let body = Value::decode(&request.body).unwrap_or(Value::Nil);
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/machine_types") => {
                let shapes = self.types.iter().map(type_value).collect();
                response(200, map(vec![("shapes", Value::List(shapes))]))
            }
            ("GET", "/machines") => self.list(&request),
            ("POST", "/machines") => self.hire(&body),
            ("POST", "/machines/release") => {
                let names: Vec<String> = body
                    .list("frames")
                    .iter()
                    .filter_map(|name| if let Value::Text(name) = name { Some(name.clone()) } else { None })
                    .collect();
                let mut world = self.world.lock().unwrap();
                for machine in world.machines.iter_mut().filter(|m| names.contains(&m.name)) {
                    if machine.gone_at.is_none() {
                        self.record.note(format_args!("cloud: {} is released", machine.name));
                        machine.gone_at = Some(Instant::now());
                        machine.tasks.clear();
                    }
                }
                response(200, map(vec![]))
            }
            _ => response(404, Value::Nil),
        }
    }

    fn hire(self: &Arc<Self>, body: &Value) -> Option<Response> {
        let (hire, shape, bay) = (body.str("hire"), body.str("shape"), body.str("bay"));
        let names = {
            let mut world = self.world.lock().unwrap();
            if let Some(names) = world.hired.get(&hire) {
                return response(200, names_value(names));
            }
            let is_spot = body.get("loaner") == Some(&Value::Bool(true));
            let free = world.capacity.get(&(shape.clone(), bay.clone())).copied().unwrap_or(0);
            let count = if is_spot { 0 } else { free.min(body.int("number") as u32) };
            if count == 0 {
                return response(503, map(vec![("error", text("no capacity"))]));
            }
            world.capacity.insert((shape.clone(), bay.clone()), free - count);
            let Some(label) = self.types.iter().map(|t| t.label).find(|label| *label == shape) else {
                return response(400, Value::Nil);
            };
            let names: Vec<String> = (0..count).map(|_| self.add_machine(&mut world, label, &bay)).collect();
            world.hired.insert(hire, names.clone());
            names
        };
        response(200, names_value(&names))
    }

    fn add_machine(self: &Arc<Self>, world: &mut World, shape: &'static str, bay: &str) -> String {
        let name = format!("host-{:06}", world.machines.len() + 1);
        let (site, served) = (self.clone(), name.clone());
        let addr = http::serve(Arc::new(move |request| site.machine_request(&served, request)));
        let now = Instant::now();
        let up_at = now + world.boot;
        world.machines.push(Machine {
            name: name.clone(),
            addr,
            shape,
            bay: bay.to_owned(),
            loaner: false,
            hired_at: now,
            up_at,
            gone_at: None,
            hangs: false,
            stint: 1,
            tally: 0,
            baton: 0,
            lease_from: up_at,
            tasks: BTreeMap::new(),
            images: HashMap::new(),
        });
        self.record.note(format_args!("cloud: {name} is rented: {shape} in {bay}"));
        let index = world.machines.len() - 1;
        let (site, reporter) = (self.clone(), self.clone());
        thread::spawn(move || site.run_machine(index));
        thread::spawn(move || reporter.report(index));
        name
    }

    fn list(&self, request: &Request) -> Option<Response> {
        let world = self.world.lock().unwrap();
        let (after, now) = (request.parameter("after").unwrap_or(""), Instant::now());
        let moment = now.checked_sub(seconds(self.times.list_lag_s)).unwrap_or(now);
        let is_listed = |m: &&Machine| {
            m.name.as_str() > after && m.hired_at <= moment && m.gone_at.is_none_or(|at| at > moment)
        };
        let frame = |m: &Machine| {
            map(vec![
                ("id", text(&m.name)),
                ("addr", text(&m.addr)),
                ("shape", text(m.shape)),
                ("bay", text(&m.bay)),
                ("loaner", Value::Bool(m.loaner)),
                ("status", text(if m.up_at <= moment { "running" } else { "starting" })),
                ("held_s", Value::Float((moment - m.hired_at).as_secs_f64())),
            ])
        };
        let frames = world.machines.iter().filter(is_listed).map(frame).collect();
        response(200, map(vec![("frames", Value::List(frames)), ("has_next", Value::Bool(false))]))
    }

    /// Advances a machine until it is gone.
    fn run_machine(&self, index: usize) {
        loop {
            thread::sleep(Duration::from_millis(20));
            let mut world = self.world.lock().unwrap();
            let World { machines, jobs, .. } = &mut *world;
            let machine = &mut machines[index];
            if machine.gone_at.is_some() {
                return;
            }
            if Instant::now() >= machine.up_at && !machine.hangs {
                self.advance(machine, jobs);
            }
        }
    }

    fn advance(&self, machine: &mut Machine, jobs: &HashMap<String, Job>) {
        let now = Instant::now();
        if now.saturating_duration_since(machine.lease_from) > seconds(self.times.lease_s) {
            if !machine.tasks.is_empty() {
                self.record.note(format_args!("{}: its lease is over; all tasks are killed", machine.name));
            }
            machine.tasks.clear();
            machine.stint += 1;
            machine.lease_from = now;
        }
        let rate = self.types.iter().find(|t| t.label == machine.shape).map_or(1.0, |t| t.fetch_gb_per_s);
        let Machine { name, tasks, images, .. } = machine;
        for ((thread, attempt), task) in tasks {
            let Some(job) = thread.split_once('/').and_then(|(job, _)| jobs.get(job)) else { continue };
            match task.state {
                State::Pulling => {
                    let ready_at =
                        *images.entry(job.bundle.clone()).or_insert(now + seconds(job.size_gb / rate));
                    if now >= ready_at {
                        (task.state, task.since) = (State::Running, now);
                        self.record.note(format_args!("{name}: {thread} try {attempt} runs"));
                    }
                }
                State::Running
                    if now - task.since >= seconds(job.run_s) && (job.fails || !job.is_service) =>
                {
                    let cause = if job.fails { "error" } else { "done" };
                    (task.state, task.since) = (State::Ended(cause), now);
                    self.record.note(format_args!("{name}: {thread} try {attempt} ended: {cause}"));
                }
                _ => {}
            }
        }
    }

    /// Sends a machine's reports until it is gone.
    fn report(&self, index: usize) {
        let (mut target, mut next_at) = (index, Instant::now());
        let (mut not_before, mut shown) = (next_at, String::new());
        loop {
            thread::sleep(Duration::from_millis(20));
            let (name, sent_at, stint, body) = {
                let mut world = self.world.lock().unwrap();
                let machine = &mut world.machines[index];
                if machine.gone_at.is_some() {
                    return;
                }
                let now = Instant::now();
                let state = format!("{:?} {}", tasks_value(machine), machine.stint);
                if now < machine.up_at
                    || machine.hangs
                    || now < not_before
                    || (now < next_at && state == shown)
                {
                    continue;
                }
                shown = state;
                let body = report_value(machine);
                (machine.name.clone(), now, machine.stint, body)
            };
            not_before = sent_at + Duration::from_millis(500);
            next_at = sent_at + seconds(self.times.report_s * (0.75 + 0.05 * (index % 10) as f64));
            let fronts = self.fronts.lock().unwrap().clone();
            let Some((_, front)) = fronts.get(target % fronts.len().max(1)) else { continue };
            let answer = http::request(front, "POST", "/hello", Some(&body), Duration::from_secs(4));
            let now = Instant::now();
            match answer {
                Some((200, answer)) => self.accept(index, &answer, sent_at, stint),
                Some((421, answer)) => {
                    let foreman = answer.str("foreman");
                    match fronts.iter().position(|(name, _)| *name == foreman) {
                        Some(other) if other != target % fronts.len() => {
                            target = other;
                            not_before = now.max(not_before);
                        }
                        _ => {
                            target += 1;
                            not_before = now + Duration::from_secs(1);
                        }
                    }
                    next_at = not_before;
                }
                _ => {
                    self.record.note(format_args!("{name}: its report to {front} is not answered"));
                    target += 1;
                    not_before = now + Duration::from_secs(1);
                    next_at = not_before;
                }
            }
        }
    }

    /// Takes the answer to a report.
    fn accept(&self, index: usize, answer: &Value, sent_at: Instant, stint: u64) {
        loop {
            let mut world = self.world.lock().unwrap();
            let machine = &mut world.machines[index];
            if machine.gone_at.is_some() {
                return;
            }
            if machine.hangs {
                drop(world);
                thread::sleep(Duration::from_millis(20));
                continue;
            }
            let is_late = Instant::now() - sent_at > Duration::from_secs(4);
            if is_late || answer.int("baton") < machine.baton || stint != machine.stint {
                return;
            }
            machine.baton = answer.int("baton");
            machine.lease_from = machine.lease_from.max(sent_at);
            return self.execute(&mut world, index, answer.list("orders"));
        }
    }

    fn execute(&self, world: &mut World, index: usize, orders: &[Value]) {
        for order in orders {
            let (verb, thread, attempt) = (order.str("verb"), order.str("thread"), order.int("try"));
            let key = (thread.clone(), attempt);
            let job_id = thread.split('/').next().unwrap_or("").to_owned();
            let name = world.machines[index].name.clone();
            match verb.as_str() {
                "launch" if !world.machines[index].tasks.contains_key(&key) => {
                    let state = self.refusal(world, index, &thread).map_or(State::Pulling, State::Ended);
                    self.record.note(format_args!("{name}: launch {thread} try {attempt}: {state:?}"));
                    world.machines[index].tasks.insert(key, Task { state, since: Instant::now() });
                }
                "stop" => {
                    let known = world.machines[index].tasks.get(&key).map(|task| task.state);
                    if known == Some(State::Running) {
                        let others_running = world.running(&job_id).len() - 1;
                        self.record.note(format_args!(
                            "{name}: stop {thread} try {attempt}; other tasks of the job that run: {others_running}"
                        ));
                        world.stops.push(Stopped {
                            job: job_id,
                            thread: thread.clone(),
                            machine: name,
                            others_running,
                        });
                    }
                    if let Some(task) = world.machines[index].tasks.get_mut(&key)
                        && !matches!(task.state, State::Ended(_))
                    {
                        task.state = State::Ended("halted");
                    }
                }
                "clear" => {
                    let tasks = &mut world.machines[index].tasks;
                    if tasks.get(&key).is_some_and(|task| matches!(task.state, State::Ended(_))) {
                        tasks.remove(&key);
                    }
                }
                _ => {}
            }
        }
    }

    /// Why a machine refuses to start a task.
    fn refusal(&self, world: &World, index: usize, thread: &str) -> Option<&'static str> {
        let (job_id, number) = thread.split_once('/')?;
        let Some(job) = world.jobs.get(job_id) else { return Some("no_such") };
        if number.parse::<u64>().is_ok_and(|number| number >= job.threads) {
            return Some("no_such");
        }
        let machine = &world.machines[index];
        let present = |(key, task): &(&(String, u64), &Task)| {
            (!matches!(task.state, State::Ended(_))).then(|| key.0.clone())
        };
        let present: Vec<String> = machine.tasks.iter().filter_map(|entry| present(&entry)).collect();
        if present.iter().any(|known| known == thread) {
            return Some("in_use");
        }
        let used = present.iter().filter_map(|known| world.jobs.get(known.split('/').next()?));
        let (cpus, mem_gb) = used.fold((job.cpus, job.mem_gb), |sum, j| (sum.0 + j.cpus, sum.1 + j.mem_gb));
        let shape = self.types.iter().find(|t| t.label == machine.shape)?;
        (cpus > shape.cpus + 1e-6 || mem_gb > shape.mem_gb + 1e-6).then_some("no_room")
    }

    fn machine_request(&self, name: &str, request: Request) -> Option<Response> {
        loop {
            let mut world = self.world.lock().unwrap();
            let index = world.machines.iter().position(|m| m.name == name)?;
            let machine = &mut world.machines[index];
            if machine.gone_at.is_some() || Instant::now() < machine.up_at {
                return None;
            }
            if machine.hangs {
                drop(world);
                thread::sleep(Duration::from_millis(20));
                continue;
            }
            if request.path == "/status" {
                return response(200, report_value(machine));
            }
            let body = Value::decode(&request.body)?;
            if body.int("baton") < machine.baton || body.int("stint") != machine.stint {
                return response(409, report_value(machine));
            }
            machine.baton = body.int("baton");
            self.execute(&mut world, index, body.list("orders"));
            return response(200, report_value(&mut world.machines[index]));
        }
    }
}

impl World {
    fn running(&self, job: &str) -> Vec<String> {
        let runs_here = |m: &Machine| {
            let is_of_job = |thread: &str| thread.split('/').next() == Some(job);
            m.tasks.iter().filter(|((t, _), task)| is_of_job(t) && task.state == State::Running).count()
        };
        let up = self.machines.iter().filter(|m| !m.hangs && m.gone_at.is_none());
        up.flat_map(|m| vec![m.name.clone(); runs_here(m)]).collect()
    }
}

fn names_value(names: &[String]) -> Value {
    map(vec![("frames", Value::List(names.iter().map(|name| text(name)).collect()))])
}

fn type_value(t: &MachineType) -> Value {
    map(vec![
        ("label", text(t.label)),
        ("cpus", Value::Float(t.cpus)),
        ("gpus", Value::Float(0.0)),
        ("mem_gb", Value::Float(t.mem_gb)),
        ("local_gb", Value::Float(t.local_gb)),
        ("fetch_gb_per_s", Value::Float(t.fetch_gb_per_s)),
        ("price", Value::Float(t.price)),
        ("spot_price", Value::Float(t.spot_price)),
        ("startup_s", Value::Float(t.startup_s)),
        ("bays", Value::List(t.bays.iter().map(|bay| text(bay)).collect())),
    ])
}

fn tasks_value(machine: &Machine) -> Value {
    let task = |((thread, attempt), task): (&(String, u64), &Task)| {
        let mut fields = vec![("thread", text(thread)), ("try", int(*attempt))];
        match task.state {
            State::Pulling => fields.push(("status", text("pulling"))),
            State::Running => fields.push(("status", text("running"))),
            State::Ended(cause) => fields.extend([("status", text("ended")), ("cause", text(cause))]),
        }
        map(fields)
    };
    Value::List(machine.tasks.iter().map(task).collect())
}

fn report_value(machine: &mut Machine) -> Value {
    machine.tally += 1;
    map(vec![
        ("frame", text(&machine.name)),
        ("addr", text(&machine.addr)),
        ("shape", text(machine.shape)),
        ("bay", text(&machine.bay)),
        ("loaner", Value::Bool(machine.loaner)),
        ("stint", int(machine.stint)),
        ("tally", int(machine.tally)),
        ("baton", int(machine.baton)),
        ("warning_s", Value::Nil),
        ("threads", tasks_value(machine)),
    ])
}

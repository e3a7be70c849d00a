//! The cases.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::controllers::{
    Folders, cannot_run, free_port, start_controller, start_emulated_site, wait_until_healthy,
};
use crate::http;
use crate::record::Record;
use crate::value::{Value, int, map, text};

/// `Err`: the rule was broken, and how.
pub type Verdict = Result<(), String>;

fn secs(s: u64) -> Duration {
    Duration::from_secs(s)
}

/// The description of a job, with what most jobs of the cases have in common.
struct Spec {
    id: &'static str,
    pattern: &'static str,
    owner: &'static str,
    weave: &'static str,
    rank: &'static str,
    threads: u64,
    cpus: f64,
    mem_gb: f64,
    size_gb: f64,
    shapes: Option<&'static str>,
    bay: Option<&'static str>,
    spread: bool,
    one_zone: bool,
    guess_s: f64,
}

impl Spec {
    fn value(&self) -> Value {
        let Self { id, pattern, owner, weave, rank, threads, cpus, mem_gb, size_gb, .. } = *self;
        map(vec![
            ("id", text(id)),
            ("pattern", text(pattern)),
            ("owner", text(owner)),
            ("weave", text(weave)),
            ("rank", text(rank)),
            ("threads", int(threads)),
            ("cpus", Value::Float(cpus)),
            ("gpus", Value::Float(0.0)),
            ("mem_gb", Value::Float(mem_gb)),
            ("bundle", text(&format!("img-{id}"))),
            ("size_gb", Value::Float(size_gb)),
            ("shapes", self.shapes.map_or(Value::Nil, |shape| Value::List(vec![text(shape)]))),
            ("bay", self.bay.map_or(Value::Nil, text)),
            ("one_zone", Value::Bool(self.one_zone)),
            ("spread", Value::Bool(self.spread)),
            ("loaner", Value::Bool(false)),
            ("guess_s", Value::Float(self.guess_s)),
            ("knot_s", Value::Float(0.0)),
            ("tie_s", Value::Float(0.0)),
            ("due_s", Value::Nil),
        ])
    }
}

/// Submits a job as a user does: again after a second, at the next controller, for 60 s at most.
fn submit(record: &Record, fronts: &[String], spec: &Value) {
    let deadline = Instant::now() + secs(60);
    for front in fronts.iter().cycle() {
        let answer = http::request(front, "POST", "/v1/jobs", Some(spec), secs(5));
        let id = spec.str("id");
        match answer {
            Some((status @ (200 | 201), _)) => {
                return record.note(format_args!("user: {id} is accepted ({status})"));
            }
            Some((status @ (400 | 422), body)) => {
                cannot_run(&format!("{id} is refused: {status} {}", body.json()))
            }
            answer => record.note(format_args!("user: {id} is not accepted yet: {:?}", answer.map(|a| a.0))),
        }
        if Instant::now() > deadline {
            cannot_run("a job is not accepted");
        }
        sleep(secs(1));
    }
}

fn status(record: &Record, fronts: &[String], id: &str) -> Option<Value> {
    for front in fronts {
        if let Some((200, body)) = http::request(front, "GET", &format!("/v1/jobs/{id}"), None, secs(2)) {
            record.note(format_args!("user: asked about {id}: {}", body.json()));
            return Some(body);
        }
    }
    record.note(format_args!("user: no answer about {id}"));
    None
}

fn wait_for(what: &str, limit: Duration, mut is_so: impl FnMut() -> bool) {
    let deadline = Instant::now() + limit;
    while !is_so() {
        if Instant::now() > deadline {
            cannot_run(what);
        }
        sleep(Duration::from_millis(50));
    }
}

/// A site with the project's stand-ins, and three controllers.
struct Emulated {
    /// Where users reach the controllers.
    doors: Vec<String>,
    cloud: String,
    /// The machines that the cloud listed, and when.
    listed: Mutex<Option<(Instant, Vec<Machine>)>>,
}

#[derive(Clone)]
struct Machine {
    name: String,
    shape: String,
    address: String,
}

/// How often the cloud is asked: the controllers need its few requests a second.
const LIST_INTERVAL: Duration = Duration::from_secs(2);

/// Starts the emulated site and its controllers, each with a name and a zone. `rest`: the site's file from the
/// machine types on.
fn start_emulated(folders: &Folders, controllers: [(&str, &str); 3], rest: &str) -> Emulated {
    let ports: Vec<String> = (0..14).map(|_| free_port()).collect();
    let mut text =
        format!("seed = 3\nlisten {{\n  users = \"{}\"\n  cloud = \"{}\"\n}}\n", ports[0], ports[1]);
    for ((name, zone), ports) in controllers.iter().zip(ports[2..].chunks(4)) {
        text += &format!(
            "controller \"{name}\" {{\n  zone = \"{zone}\"\n  front = \"{}\"\n  internal = \"{}\"\n  door = \"{}\"\n  state = \"{}\"\n}}\n",
            ports[0], ports[1], ports[2], ports[3]
        );
    }
    let names = controllers.map(|(name, _)| name);
    let settings = start_emulated_site(folders, &(text + rest), &names);
    for name in names {
        start_controller(folders, &settings.join(format!("{name}.toml")), name);
    }
    let of_controllers = |i: usize| ports[2..].chunks(4).map(|ports| ports[i].clone()).collect::<Vec<_>>();
    wait_until_healthy(&of_controllers(0), secs(15));
    Emulated { doors: of_controllers(2), cloud: ports[1].clone(), listed: Mutex::new(None) }
}

impl Emulated {
    /// The machines that the cloud lists.
    fn machines(&self) -> Vec<Machine> {
        let mut listed = self.listed.lock().unwrap();
        if let Some((at, machines)) = &*listed
            && at.elapsed() < LIST_INTERVAL
        {
            return machines.clone();
        }
        let list = http::request(&self.cloud, "GET", "/machines?page=500", None, secs(2));
        let known = listed.take().map(|(_, machines)| machines).unwrap_or_default();
        let machines = match list {
            Some((200, list)) => {
                let machine =
                    |m: &Value| Machine { name: m.str("id"), shape: m.str("shape"), address: m.str("addr") };
                list.list("frames").iter().map(machine).collect()
            }
            _ => known,
        };
        *listed = Some((Instant::now(), machines.clone()));
        machines
    }

    /// How many tasks of each job run on all machines.
    fn running_tasks(&self) -> HashMap<String, usize> {
        let mut running = HashMap::new();
        for machine in self.machines() {
            let Some((_, report)) = http::request(&machine.address, "GET", "/status", None, secs(2)) else {
                continue;
            };
            for task in report.list("threads").iter().filter(|task| task.str("status") == "running") {
                let job = task.str("thread").split('/').next().unwrap_or_default().to_owned();
                *running.entry(job).or_default() += 1;
            }
        }
        running
    }

    /// How many tasks of a job all machines report, in any state but ended.
    fn present(&self, job: &str) -> usize {
        self.machines().iter().filter_map(|m| on_machine(&m.address, job, |state| state != "ended")).sum()
    }

    /// Watches a job for this long or until it is done. Returns whether a task of it was on a machine, or it
    /// is done. What was seen goes into the record.
    fn was_started(&self, record: &Record, job: &str, limit: Duration) -> bool {
        let begun = Instant::now();
        let mut started = false;
        while begun.elapsed() < limit {
            sleep(secs(2));
            let (present, machines) = (self.present(job), self.machines());
            let answer = status(record, &self.doors, job);
            let is_done = answer.is_some_and(|answer| answer.str("status") == "done");
            started |= is_done || present > 0;
            let shapes: Vec<&str> = machines.iter().map(|m| m.shape.as_str()).collect();
            record.note(format_args!("tasks of {job} on machines: {present}; the cloud lists: {shapes:?}"));
            if is_done {
                break;
            }
        }
        started
    }
}

/// The tasks of a job that a machine reports in such a state.
fn on_machine(machine: &str, job: &str, is_counted: impl Fn(&str) -> bool) -> Option<usize> {
    let (_, report) = http::request(machine, "GET", "/status", None, secs(2))?;
    let counts =
        |task: &&Value| task.str("thread").split('/').next() == Some(job) && is_counted(&task.str("status"));
    Some(report.list("threads").iter().filter(counts).count())
}

const LIANFANG_CONTROLLERS: [(&str, &str); 3] =
    [("loomhost-0", "taoyuan-dc"), ("loomhost-1", "taichung-dc"), ("loomhost-2", "taoyuan-dc")];

/// The teams, times and limits of the brief's second deployment. Cores are not limited here.
const LIANFANG: &str = r#"
team "orders-team" {
  cpus     = 216
  cpus_max = 896
}
team "menu-team" {
  cpus     = 104
  cpus_max = 272
}
workers {
  report_s    = 1
  lease_s     = 10
  gang_wait_s = 35
  gang_peer_s = 8
  cancel_s    = 40
}
state {
  rps       = 200
  write_rps = 80
  value_kb  = 16
  txn_ops   = 12
}
cloud {
  rps         = 5
  list_lag_s  = 3
  quick_boots = 1
}
limits {
  cores           = 1
  memory_mb       = 56
  max_connections = 900
}
"#;

const AALTOMITTA_CONTROLLERS: [(&str, &str); 3] =
    [("loomhost-0", "espoo-hall"), ("loomhost-1", "kuopio-hall"), ("loomhost-2", "vaasa-edge")];

/// One of the teams, and the times and limits of the brief's first deployment.
const AALTOMITTA: &str = r#"
team "ocean-desk-00" {
  cpus     = 24
  cpus_max = 48
  gpus     = 2
  gpus_max = 6
}
workers {
  report_s    = 3
  lease_s     = 24
  gang_wait_s = 30
  gang_peer_s = 5
  cancel_s    = 44
}
state {
  rps       = 80
  write_rps = 30
  value_kb  = 8
  txn_ops   = 16
}
cloud {
  rps         = 4
  list_lag_s  = 3
  quick_boots = 1
}
limits {
  cores           = 1
  memory_mb       = 104
  max_connections = 1800
}
"#;

/// A machine type of the brief, with the capacity in each zone.
struct Offer {
    name: &'static str,
    cpus: u32,
    gpus: u32,
    memory_gb: u32,
    fetch_gb_per_s: f64,
    price: f64,
    boot_s: u32,
    capacity: &'static str,
}

fn offers(offers: &[Offer]) -> String {
    let block = |o: &Offer| {
        format!(
            "machine_type \"{}\" {{\n  cpus = {}\n  gpus = {}\n  memory_gb = {}\n  cache_gb = 50\n  fetch_gb_per_s = {}\n  \
             price = {}\n  spot_price = {}\n  boot_s = {}\n  capacity = {{ {} }}\n}}\n",
            o.name,
            o.cpus,
            o.gpus,
            o.memory_gb,
            o.fetch_gb_per_s,
            o.price,
            o.price / 3.0,
            o.boot_s,
            o.capacity
        )
    };
    offers.iter().map(block).collect()
}

const XIAO: Offer = Offer {
    name: "xiao",
    cpus: 8,
    gpus: 0,
    memory_gb: 16,
    fetch_gb_per_s: 0.3,
    price: 0.33,
    boot_s: 20,
    capacity: "taoyuan-dc = 16",
};
const ZHONG: Offer = Offer {
    name: "zhong",
    cpus: 16,
    gpus: 0,
    memory_gb: 64,
    fetch_gb_per_s: 0.8,
    price: 0.75,
    boot_s: 25,
    capacity: "taichung-dc = 3",
};
const DA: Offer = Offer {
    name: "da",
    cpus: 64,
    gpus: 0,
    memory_gb: 256,
    fetch_gb_per_s: 0.2,
    price: 2.81,
    boot_s: 40,
    capacity: "taoyuan-dc = 4, taichung-dc = 4",
};

/// A service runs; then another team submits an array of 2,500 small tasks, which all fit on the same
/// machine. Without the disruption, the array has 250 tasks.
pub fn small_tasks(folders: &Folders, record: &Arc<Record>, trouble: bool) -> Verdict {
    const SERVICE: &str = "j-000100";
    const ARRAY: &str = "j-000412";
    let site = start_emulated(folders, LIANFANG_CONTROLLERS, &(offers(&[DA]) + LIANFANG));
    let service = Spec {
        id: SERVICE,
        pattern: "order-api",
        owner: "orders-team",
        weave: "standing",
        rank: "prod",
        threads: 2,
        cpus: 2.0,
        mem_gb: 2.3,
        size_gb: 0.7,
        shapes: None,
        bay: None,
        spread: false,
        one_zone: false,
        guess_s: 0.0,
    };
    submit(record, &site.doors, &service.value());
    let mut machine = String::new();
    let runs = |state: &str| state == "running";
    wait_for("the service does not start", secs(25), || {
        sleep(Duration::from_millis(450));
        machine = site.machines().first().map(|m| m.address.clone()).unwrap_or_default();
        !machine.is_empty() && on_machine(&machine, SERVICE, runs) == Some(2)
    });
    record.note(format_args!("machine {machine}: both replicas of {SERVICE} run"));
    let array = Spec {
        id: ARRAY,
        pattern: "menu-report",
        owner: "menu-team",
        weave: "array",
        rank: "idle",
        threads: if trouble { 2500 } else { 250 },
        cpus: 0.02,
        mem_gb: 0.05,
        size_gb: 0.5,
        guess_s: 5.0,
        ..service
    };
    submit(record, &site.doors, &array.value());
    let accepted = Instant::now();
    let mut started = false;
    let mut service_down_since: Option<Instant> = None;
    while accepted.elapsed() < secs(80) {
        sleep(secs(2));
        let (of_service, of_array) =
            (on_machine(&machine, SERVICE, runs), on_machine(&machine, ARRAY, |state| state != "ended"));
        let service_elsewhere = site.present(SERVICE);
        let answer = status(record, &site.doors, ARRAY);
        let is_done = answer.is_some_and(|answer| answer.str("status") == "done");
        started |= is_done || of_array.is_some_and(|tasks| tasks > 0);
        record.note(format_args!(
            "machine {machine}: running {SERVICE}: {of_service:?}, present {ARRAY}: {of_array:?}; all machines: {SERVICE}: {service_elsewhere}"
        ));
        match of_service {
            Some(0) if service_elsewhere == 0 => _ = service_down_since.get_or_insert_with(Instant::now),
            None => {}
            Some(_) => service_down_since = None,
        }
        if is_done {
            break;
        }
    }
    status(record, &site.doors, SERVICE);
    let down_s = service_down_since.map_or(0.0, |since| since.elapsed().as_secs_f64());
    match (started, down_s > 15.0) {
        (true, false) => Ok(()),
        (_, true) => Err(format!(
            "no replica of the accepted service {SERVICE} has run for the last {down_s:.0} s; {ARRAY} started: {started}"
        )),
        (false, false) => Err(format!("no task of the accepted job {ARRAY} was started within 80 s")),
    }
}

/// An array whose tasks need no GPU, but are so large that only a machine type with GPUs has room for them.
/// Without the disruption, its tasks are smaller.
pub fn large_tasks(folders: &Folders, record: &Arc<Record>, trouble: bool) -> Verdict {
    const EVERYWHERE: &str = "espoo-hall = 2, kuopio-hall = 2, vaasa-edge = 2";
    let t = |name, cpus, gpus, memory_gb, fetch_gb_per_s, price, boot_s| Offer {
        name,
        cpus,
        gpus,
        memory_gb,
        fetch_gb_per_s,
        price,
        boot_s,
        capacity: EVERYWHERE,
    };
    let types = offers(&[
        t("pikku", 4, 0, 8, 0.8, 0.14, 20),
        t("keski", 8, 0, 32, 0.25, 0.32, 50),
        t("iso", 16, 0, 128, 0.4, 0.77, 25),
        t("revontuli", 16, 2, 128, 0.25, 5.29, 45),
        t("myrsky", 32, 4, 256, 1.0, 14.22, 60),
    ]);
    let site = start_emulated(folders, AALTOMITTA_CONTROLLERS, &(types + AALTOMITTA));
    let array = Spec {
        id: "j-000501",
        pattern: "wave-reprocess",
        owner: "ocean-desk-00",
        weave: "array",
        rank: "normal",
        threads: 4,
        cpus: if trouble { 20.0 } else { 14.0 },
        mem_gb: 1.8,
        size_gb: 1.5,
        shapes: None,
        bay: None,
        spread: false,
        one_zone: false,
        guess_s: 5.0,
    };
    submit(record, &site.doors, &array.value());
    match site.was_started(record, array.id, secs(90)) {
        true => Ok(()),
        false => {
            Err(format!("no task of the accepted job {} was started within 90 s on an idle site", array.id))
        }
    }
}

/// A gang takes most of its team's limit, and the cloud has too few machines for it. Then the same team
/// submits a small array. Without the disruption the cloud has enough machines.
pub fn starved_array(folders: &Folders, record: &Arc<Record>, trouble: bool) -> Verdict {
    let capacity =
        if trouble { "taoyuan-dc = 1, taichung-dc = 1" } else { "taoyuan-dc = 3, taichung-dc = 3" };
    let types = offers(&[XIAO, ZHONG, Offer { capacity, ..DA }]);
    let site = start_emulated(folders, LIANFANG_CONTROLLERS, &(types + LIANFANG));
    let gang = Spec {
        id: "j-000601",
        pattern: "demand-forecast",
        owner: "menu-team",
        weave: "ensemble",
        rank: "high",
        threads: 9,
        cpus: 30.0,
        mem_gb: 100.0,
        size_gb: 1.5,
        shapes: Some("da"),
        bay: None,
        spread: false,
        one_zone: false,
        guess_s: 5.0,
    };
    submit(record, &site.doors, &gang.value());
    sleep(secs(3));
    let array = Spec {
        id: "j-000602",
        pattern: "menu-report",
        weave: "array",
        rank: "idle",
        threads: 10,
        cpus: 2.5,
        mem_gb: 2.1,
        shapes: None,
        ..gang
    };
    submit(record, &site.doors, &array.value());
    let started = site.was_started(record, array.id, secs(90));
    status(record, &site.doors, gang.id);
    match started {
        true => Ok(()),
        false => Err(format!(
            "no task of the accepted job {} was started within 90 s, with idle machines and room in its team's limit",
            array.id
        )),
    }
}

/// An array runs; then a gang of a higher rank, for one zone, for which the cloud has too few machines in any
/// zone. Without the disruption it has enough.
pub fn futile_preemption(folders: &Folders, record: &Arc<Record>, trouble: bool) -> Verdict {
    let capacity =
        if trouble { "taoyuan-dc = 1, taichung-dc = 1" } else { "taoyuan-dc = 4, taichung-dc = 1" };
    let types = offers(&[Offer { capacity, ..DA }]);
    let site = start_emulated(folders, LIANFANG_CONTROLLERS, &(types + LIANFANG));
    let array = Spec {
        id: "j-000801",
        pattern: "menu-report",
        owner: "menu-team",
        weave: "array",
        rank: "idle",
        threads: 8,
        cpus: 10.0,
        mem_gb: 2.1,
        size_gb: 0.5,
        shapes: None,
        bay: None,
        spread: false,
        one_zone: false,
        guess_s: 15.0,
    };
    submit(record, &site.doors, &array.value());
    wait_for("the array does not start", secs(20), || site.running_tasks().contains_key(array.id));
    let gang = Spec {
        id: "j-000802",
        pattern: "demand-forecast",
        owner: "orders-team",
        weave: "ensemble",
        rank: "high",
        threads: 2,
        cpus: 60.0,
        mem_gb: 100.0,
        one_zone: true,
        ..array
    };
    submit(record, &site.doors, &gang.value());
    let accepted = Instant::now();
    let (mut is_done, mut gang_started, mut last_try) = (false, false, 0);
    while accepted.elapsed() < secs(80) && !is_done {
        sleep(Duration::from_millis(700));
        for Machine { name: machine, address, .. } in site.machines() {
            let Some((_, report)) = http::request(&address, "GET", "/status", None, secs(2)) else {
                continue;
            };
            for task in report.list("threads") {
                let thread = task.str("thread");
                if thread.starts_with(array.id) {
                    last_try = last_try.max(task.int("try"));
                }
                gang_started |= thread.starts_with(gang.id);
                record.note(format_args!(
                    "{machine}: {thread} try {} {}",
                    task.int("try"),
                    task.str("status")
                ));
            }
        }
        is_done = status(record, &site.doors, array.id).is_some_and(|answer| answer.str("status") == "done");
    }
    status(record, &site.doors, gang.id);
    record.note(format_args!(
        "array done: {is_done}; its highest try: {last_try}; gang on machines: {gang_started}"
    ));
    if is_done || gang_started || last_try < 8 {
        return Ok(());
    }
    Err(format!(
        "the running array {} was stopped and started again, up to try {last_try}, and is not done after 80 s; the \
         gang {} that it made room for was never started",
        array.id, gang.id
    ))
}

/// How long without a pause no controller may be silent.
const MAX_SILENCE: Duration = Duration::from_secs(40);

/// A service and arrays of small tasks run on all machines; then a gang of 1,200 tasks of a higher rank
/// comes. Without the disruption, the gang has 12 tasks.
pub fn hanging_controllers(folders: &Folders, record: &Arc<Record>, trouble: bool) -> Verdict {
    let site = start_emulated(folders, LIANFANG_CONTROLLERS, &(offers(&[XIAO]) + LIANFANG));
    let service = Spec {
        id: "j-000900",
        pattern: "order-api",
        owner: "orders-team",
        weave: "standing",
        rank: "prod",
        threads: 2,
        cpus: 1.0,
        mem_gb: 2.3,
        size_gb: 0.3,
        shapes: None,
        bay: None,
        spread: false,
        one_zone: false,
        guess_s: 0.0,
    };
    submit(record, &site.doors, &service.value());
    const ARRAYS: [&str; 7] =
        ["j-000901", "j-000902", "j-000903", "j-000904", "j-000905", "j-000906", "j-000907"];
    for id in ARRAYS {
        let array = Spec {
            id,
            pattern: "menu-report",
            owner: "menu-team",
            weave: "array",
            rank: "idle",
            threads: 2600,
            cpus: 0.0068,
            mem_gb: 0.005,
            guess_s: 400.0,
            ..service
        };
        submit(record, &site.doors, &array.value());
    }
    wait_for("the arrays do not start", secs(45), || {
        sleep(secs(1));
        let running = site.running_tasks();
        let tasks: usize = ARRAYS.iter().filter_map(|id| running.get(*id)).sum();
        let replicas = running.get(service.id).copied().unwrap_or(0);
        record.note(format_args!(
            "tasks of the arrays that run: {tasks}; replicas of {}: {replicas}",
            service.id
        ));
        tasks >= 18_000 && replicas == 2
    });
    let gang = Spec {
        id: "j-000910",
        pattern: "demand-forecast",
        weave: "ensemble",
        rank: "high",
        threads: if trouble { 1200 } else { 12 },
        cpus: 0.08,
        mem_gb: 0.01,
        guess_s: 5.0,
        ..service
    };
    let answer = http::request(&site.doors[0], "POST", "/v1/jobs", Some(&gang.value()), secs(5));
    record.note(format_args!("user: {} is submitted: {:?}", gang.id, answer.map(|a| a.0)));
    let begun = Instant::now();
    let (mut last_answer, mut longest) = (begun, Duration::ZERO);
    while begun.elapsed() < secs(55) {
        sleep(secs(1));
        let ask = |door: &String| {
            let (door, id) = (door.clone(), service.id);
            thread::spawn(move || {
                http::request(&door, "GET", &format!("/v1/jobs/{id}"), None, secs(2)).map(|answer| answer.0)
            })
        };
        let asked: Vec<_> = site.doors.iter().map(ask).collect();
        let answers: Vec<Option<u16>> = asked.into_iter().map(|asked| asked.join().ok().flatten()).collect();
        record.note(format_args!(
            "answers of the three controllers about {}: {answers:?}; tasks that run: {:?}",
            service.id,
            site.running_tasks()
        ));
        if answers.iter().any(Option::is_some) {
            last_answer = Instant::now();
        }
        longest = longest.max(last_answer.elapsed());
    }
    let replicas = site.running_tasks().get(service.id).copied().unwrap_or(0);
    record.note(format_args!("longest time without any answer: {longest:?}; replicas that run: {replicas}"));
    if longest <= MAX_SILENCE {
        return Ok(());
    }
    Err(format!(
        "no controller has answered anything for {:.0} s; of the two replicas of {} {replicas} still run",
        longest.as_secs_f64(),
        service.id
    ))
}

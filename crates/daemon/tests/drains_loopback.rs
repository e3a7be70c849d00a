//! Two concurrent drains on twenty emulated workers, with three controllers as separate processes.
//! Meanwhile rented replacements do not boot, the leader is killed in mid-step and restarts at once,
//! the key-value store is unavailable for longer than a cancellation may take, a drained machine
//! dies, and a gang starts. The workers' history is checked against the budgets. The test waits for
//! events, not for fixed times.

use std::collections::{BTreeMap, BTreeSet};
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use emulator::{Emulation, ServiceFaults, SiteFile, TaskEvent, TaskEventKind};
use net::Client;
use wire::{JobKind, JobSpec, TaskState};

const PROGRAM: &str = env!("CARGO_BIN_EXE_sageloom");
const SITE: &str = include_str!("../../../examples/site.hcl");
const SERVICE: &str = include_str!("../../../examples/service.toml");
const OPERATORS: &str = "drains {\n enabled = true\n team \"looms\" {\n count = 2\n }\n}\n";
const CANCEL_S: u64 = 14;
const SERVICE_BUDGET: usize = 1;
const TEAM_BUDGET: usize = 2;
/// Services of four replicas. Two replicas fill a machine.
const SERVICES: u32 = 10;
const REPLICAS: u32 = 4;
const WORKERS: usize = 20;

/// The example site with free ports of this machine and shorter times.
fn site() -> SiteFile {
    let listeners: Vec<TcpListener> =
        (0..14).map(|_| TcpListener::bind("127.0.0.1:0").expect("a port")).collect();
    let mut text = SITE.to_owned();
    let ports = (8070..=8073).chain(8080..=8083).chain(8091..=8096);
    for (port, free) in ports.zip(&listeners) {
        let free = free.local_addr().expect("an address").to_string();
        text = text.replace(&format!("127.0.0.1:{port}\""), &format!("{free}\""));
    }
    let times = [
        ("report_s    = 1.5", "report_s    = 1.0"),
        ("lease_s     = 15", "lease_s     = 6"),
        ("cancel_s    = 30", &format!("cancel_s    = {CANCEL_S}")),
        ("cpus_max = 96", "cpus_max = 200"),
        ("quick_boots = 0.1", "quick_boots = 1.0"),
        ("fetch_gb_per_s = 2.0\n  price          = 0.2", "fetch_gb_per_s = 2.0\n  price          = 0.1"),
    ];
    for (from, to) in times {
        assert!(text.contains(from), "{from}");
        text = text.replace(from, to);
    }
    SiteFile::parse("site.hcl", &text).expect("the example is valid")
}

struct Processes {
    folder: tempfile::TempDir,
    children: BTreeMap<String, Child>,
}

impl Processes {
    fn settings(&self, name: &str) -> PathBuf {
        self.folder.path().join(format!("{name}.toml"))
    }

    fn operators(&self) -> PathBuf {
        self.folder.path().join("drains.hcl")
    }

    fn start(&mut self, name: &str) {
        let path = self.folder.path().join(format!("{name}.log"));
        let log = std::fs::File::options().create(true).append(true).open(path).expect("a log");
        let child = Command::new(PROGRAM)
            .args(["serve", "--config"])
            .arg(self.settings(name))
            .arg("--operators")
            .arg(self.operators())
            .stderr(log)
            .stdin(Stdio::null())
            .spawn()
            .expect("it starts");
        self.children.insert(name.to_owned(), child);
    }

    fn kill(&mut self, name: &str) {
        if let Some(mut child) = self.children.remove(name) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        for child in self.children.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Waits until a condition holds. Fails with its description after the time limit.
async fn until(description: &str, seconds: u64, mut condition: impl FnMut() -> bool) {
    let started_at = Instant::now();
    while !condition() {
        assert!(started_at.elapsed() < Duration::from_secs(seconds), "not within {seconds} s: {description}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    println!("{description}: after {:.1} s", started_at.elapsed().as_secs_f64());
}

/// Runs `sageloom drain` with the settings of a controller. Returns its output, or its error output.
async fn drain(config: &Path, arguments: &[&str]) -> Result<String, String> {
    let mut command = Command::new(PROGRAM);
    command.arg("drain").arg("--config").arg(config).args(arguments);
    let output = tokio::task::spawn_blocking(move || command.output()).await.expect("runs").expect("starts");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).trim().to_owned();
    if output.status.success() { Ok(text(&output.stdout)) } else { Err(text(&output.stderr)) }
}

fn events(emulation: &Emulation) -> Vec<TaskEvent> {
    emulation.with_site(|site| site.history.events().to_vec())
}

fn is_service(task: &str) -> bool {
    task.split('/').next().and_then(|j| j.strip_prefix("j-")?.parse::<u32>().ok()).is_some_and(|n| n < 100)
}

fn stop_count(emulation: &Emulation) -> usize {
    let stopped = |e: &&TaskEvent| e.kind == TaskEventKind::StopCommanded && is_service(&e.task);
    events(emulation).iter().filter(stopped).count()
}

/// The number of running replicas of services.
fn running_replica_count(emulation: &Emulation) -> usize {
    let runs = |t: &wire::TaskStatus| t.state == TaskState::Running && is_service(&t.task);
    emulation.tasks().into_iter().filter(runs).count()
}

fn leader(emulation: &Emulation) -> Option<String> {
    let value = emulation.state_value(store::key::LEADER)?;
    let name = value.as_map()?.iter().find(|(k, _)| k.as_str() == Some("name"))?.1.as_str()?.to_owned();
    Some(name)
}

/// The machines sorted by the number of running tasks that their workers report, most first.
fn machines_with_replicas(emulation: &Emulation) -> Vec<String> {
    let mut machines = emulation.with_site(|site| {
        let rank = |w: &emulator::Worker| {
            let replicas = w.tasks().iter().filter(|t| t.state == TaskState::Running).count();
            (std::cmp::Reverse(replicas), w.info.name.clone())
        };
        site.workers().map(rank).collect::<Vec<_>>()
    });
    machines.sort();
    machines.into_iter().map(|(_, name)| name).collect()
}

/// Checks in the workers' history that no budget was exceeded and that no task ran on two machines
/// at the same time. Returns the most replicas of one service, and of all, that were down at the
/// same time.
fn check_history(events: &[TaskEvent]) -> (usize, usize) {
    let mut down: BTreeMap<&str, u64> = BTreeMap::new();
    let mut machines_of_task: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
    let mut most_down = (0, 0);
    for e in events {
        match e.kind {
            TaskEventKind::Running => {
                machines_of_task.entry(&e.task).or_default().insert(&e.machine);
                if down.get(&*e.task).is_some_and(|stopped| e.attempt > *stopped) {
                    down.remove(&*e.task);
                }
            }
            TaskEventKind::StopCommanded if is_service(&e.task) => _ = down.insert(&e.task, e.attempt),
            TaskEventKind::StopCommanded => {}
            TaskEventKind::Ended => {
                if let Some(machines) = machines_of_task.get_mut(&*e.task) {
                    machines.remove(&*e.machine);
                }
            }
        }
        assert!(
            machines_of_task.get(&*e.task).is_none_or(|m| m.len() <= 1),
            "{} runs twice: {machines_of_task:?}",
            e.task
        );
        let mut of_service: BTreeMap<&str, usize> = BTreeMap::new();
        for task in down.keys() {
            *of_service.entry(task.split('/').next().unwrap_or_default()).or_default() += 1;
        }
        let of_service = of_service.into_values().max().unwrap_or(0);
        most_down = (most_down.0.max(of_service), most_down.1.max(down.len()));
        assert!(of_service <= SERVICE_BUDGET && down.len() <= TEAM_BUDGET, "too many are down: {down:?}");
    }
    most_down
}

async fn submit(emulation: &Emulation, spec: &JobSpec) {
    let client = Client::new(1);
    for _ in 0..40 {
        let wait = Duration::from_secs(5);
        let body = wire::encode(spec);
        let answer =
            client.request(&emulation.balancer_addr, "POST", "/v1/jobs", body, wire::BODY_LIMIT, wait).await;
        if answer.is_ok_and(|a| matches!(a.status, 200 | 201)) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    unreachable!("{} is not accepted", spec.id);
}

fn gang() -> JobSpec {
    let service: JobSpec = toml::from_str(SERVICE).expect("a job");
    JobSpec {
        id: "j-200".into(),
        kind: JobKind::Gang,
        priority: wire::Priority::Normal,
        tasks: 3,
        estimated_runtime_s: 3.0,
        checkpoint_interval_s: 1.0,
        checkpoint_save_s: 0.5,
        one_zone: true,
        ..service
    }
}

#[tokio::test]
async fn two_concurrent_drains_keep_budgets_and_finish_despite_failures() {
    let site = site();
    let emulation = Emulation::start(&site).await.expect("free ports");
    emulation.with_site(|site| site.history.start_recording());
    let mut folder = tempfile::tempdir().expect("a folder");
    folder.disable_cleanup(std::env::var("SAGELOOM_KEEP_LOGS").is_ok());
    let mut processes = Processes { folder, children: BTreeMap::new() };
    std::fs::write(processes.operators(), OPERATORS).expect("written");
    let settings = site.settings(&emulation).expect("TOML");
    for (name, text) in &settings {
        std::fs::write(processes.settings(name), text).expect("written");
        processes.start(name);
    }
    let config = processes.settings(&settings[0].0);
    tokio::time::timeout(Duration::from_secs(20), emulation.wait_until_all_healthy()).await.expect("healthy");
    let service: JobSpec = toml::from_str(SERVICE).expect("a job");
    for n in 1..=SERVICES {
        let spec =
            JobSpec { id: format!("j-{n}"), tasks: REPLICAS, cpus: 2.0, spread: true, ..service.clone() };
        submit(&emulation, &spec).await;
    }
    let all = (SERVICES * REPLICAS) as usize;
    until("all replicas run", 60, || running_replica_count(&emulation) == all).await;
    let machines = machines_with_replicas(&emulation);
    assert!(machines.len() >= WORKERS, "{} workers", machines.len());

    // Rented machines do not boot at first.
    let before: BTreeSet<String> = emulation.with_site(|site| {
        site.cloud.set_never_up(1.0);
        site.cloud.live().map(|info| info.name.clone()).collect()
    });
    let machine_options =
        |list: &[String]| list.iter().flat_map(|m| ["--machine".to_owned(), m.clone()]).collect::<Vec<_>>();
    for (name, list) in [("rack-a", &machines[0..4]), ("rack-b", &machines[4..8])] {
        let mut arguments = vec!["start".to_owned(), name.to_owned(), "--give-up-s".into(), "100".into()];
        arguments.extend(machine_options(list));
        let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
        let output = drain(&config, &arguments).await.expect("the drain starts");
        assert!(output.contains("4 machines are cordoned"), "{output}");
        let repeated = drain(&config, &arguments).await.expect("repeating the command succeeds");
        assert!(repeated.contains("was started already"), "{repeated}");
    }
    let refused = drain(&config, &["start", "rack-c", "--machine", &machines[0]]).await;
    assert!(refused.expect_err("the machine has another drain").contains("being drained by \"rack-a\""));
    // A new machine is recognized by its name, not by the number of machines. That number falls when
    // emptied machines are released meanwhile, so a wait for a larger number never ended, or ended
    // only when nothing was left to move.
    until("a machine that does not boot is rented", 60, || {
        let names: Vec<String> =
            emulation.with_site(|site| site.cloud.live().map(|info| info.name.clone()).collect());
        names.iter().any(|name| !before.contains(name))
    })
    .await;
    emulation.with_site(|site| site.cloud.set_never_up(0.0));
    until("a replica is stopped to be moved", 60, || stop_count(&emulation) >= 1).await;

    // The leader is killed in mid-step and restarts at once.
    let first = leader(&emulation).expect("there is a leader");
    processes.kill(&first);
    processes.start(&first);
    submit(&emulation, &gang()).await;
    until("the next leader continues the drains", 60, || stop_count(&emulation) >= 3).await;

    // The key-value store is unavailable for longer than a cancellation may take.
    emulation.set_state_faults(ServiceFaults { outage: true, ..ServiceFaults::default() });
    let error = drain(&config, &["status", "rack-a"]).await.expect_err("the key-value store is unavailable");
    assert!(error.ends_with("nothing was written"), "{error}");
    let outage_began = Instant::now();
    until("the outage has lasted long enough", CANCEL_S + 10, || {
        outage_began.elapsed() > Duration::from_secs(CANCEL_S + 2)
    })
    .await;
    emulation.set_state_faults(ServiceFaults::default());
    let before = stop_count(&emulation);
    until("the drains continue after the outage", 60, || stop_count(&emulation) > before).await;

    // A drained machine dies.
    let still_exists = |m: &&String| emulation.with_site(|site| site.worker(m).is_some());
    if let Some(victim) = machines[4..8].iter().find(still_exists) {
        emulation.with_site(|site| site.cloud.kill(victim, Instant::now()));
    }

    let mut ends = BTreeMap::new();
    let started_at = Instant::now();
    while ends.len() < 2 {
        assert!(started_at.elapsed() < Duration::from_secs(150), "the drains do not end: {ends:?}");
        for name in ["rack-a", "rack-b"] {
            let line = drain(&config, &["status", name]).await.unwrap_or_default();
            let line = line.lines().next().unwrap_or_default().to_owned();
            if line.contains(": finished;") || line.contains(": stopped") && !line.contains("being lifted") {
                ends.insert(name, line);
            }
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    println!("{ends:?} after {:.1} s", started_at.elapsed().as_secs_f64());
    assert!(ends.values().all(|line| line.contains(": finished;")), "{ends:?}");
    for machine in &machines[0..8] {
        assert!(emulation.with_site(|site| site.worker(machine).is_none()), "{machine} is still there");
    }
    until("all replicas run again", 60, || running_replica_count(&emulation) == all).await;
    let most_down = check_history(&events(&emulation));
    println!("{} replicas stopped; most down voluntarily: {most_down:?}", stop_count(&emulation));
    assert!(stop_count(&emulation) >= 8 && most_down.1 >= 1);
    drop(processes);
    emulation.stop().await;
}

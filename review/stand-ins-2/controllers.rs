//! Starts the controllers, and the project's emulated site, as processes of their own.

use std::fs::{self, File, OpenOptions};
use std::io::Write;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU16, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

/// The processes that were started and not ended yet.
static STARTED: Mutex<Vec<Child>> = Mutex::new(Vec::new());
/// The file with their ids, from which `run-case.sh` ends them if this program is ended before.
static PIDS: Mutex<Option<PathBuf>> = Mutex::new(None);

pub struct Folders {
    /// The repository.
    pub root: PathBuf,
    /// A temporary folder.
    pub temp: PathBuf,
}

/// The next port to try, below those that the system gives to outgoing connections.
static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// A free port of this machine, for another process to listen on.
pub fn free_port() -> String {
    let begin = 12_000 + (std::process::id() % 400) as u16 * 50;
    NEXT_PORT.fetch_max(begin, Ordering::Relaxed);
    loop {
        let address = format!("127.0.0.1:{}", NEXT_PORT.fetch_add(1, Ordering::Relaxed));
        if TcpListener::bind(&address).is_ok() {
            return address;
        }
    }
}

fn start(folders: &Folders, program: &Path, arguments: &[String], log: &str) -> u32 {
    let log = File::create(folders.temp.join(log)).expect("a log file");
    let output = log.try_clone().expect("a log file");
    let child = Command::new(program)
        .args(arguments)
        .current_dir(&folders.root)
        .env("LOG_LEVEL", "debug")
        .stdin(Stdio::null())
        .stdout(output)
        .stderr(log)
        .spawn()
        .unwrap_or_else(|error| cannot_run(&format!("cannot start {}: {error}", program.display())));
    let id = child.id();
    let file = folders.temp.join("pids");
    let pids = OpenOptions::new().create(true).append(true).open(&file);
    let _ = pids.and_then(|mut pids| writeln!(pids, "{id}"));
    *PIDS.lock().unwrap() = Some(file);
    STARTED.lock().unwrap().push(child);
    id
}

/// Starts a controller with the command of the deploy file.
pub fn start_controller(folders: &Folders, settings: &Path, name: &str) -> u32 {
    let deploy = fs::read_to_string(folders.root.join("deploy/service.toml")).unwrap_or_default();
    let line = deploy.lines().find_map(|line| line.strip_prefix("run = "));
    let run = line.unwrap_or_else(|| cannot_run("the deploy file names no command"));
    let mut words: Vec<String> = run.trim_matches('"').split_whitespace().map(str::to_owned).collect();
    words.push(settings.display().to_string());
    let program = folders.root.join(&words[0]);
    start(folders, &program, &words[1..], &format!("{name}.log"))
}

/// Starts the project's emulated site, which writes the settings of these controllers.
pub fn start_emulated_site(folders: &Folders, site: &str, controllers: &[&str]) -> PathBuf {
    let (file, settings) = (folders.temp.join("site.hcl"), folders.temp.join("settings"));
    fs::write(&file, site).expect("the site's file");
    let arguments =
        ["emulate", "--site", &file.display().to_string(), "--settings", &settings.display().to_string()];
    start(folders, &folders.root.join("target/release/sageloom"), &arguments.map(str::to_owned), "site.log");
    let deadline = Instant::now() + Duration::from_secs(10);
    while !controllers.iter().all(|name| settings.join(format!("{name}.toml")).exists()) {
        if Instant::now() > deadline {
            cannot_run("the emulated site does not start");
        }
        thread::sleep(Duration::from_millis(50));
    }
    thread::sleep(Duration::from_millis(200));
    settings
}

pub fn end_all() {
    for child in STARTED.lock().unwrap().iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
    if let Some(file) = PIDS.lock().unwrap().take() {
        let _ = fs::remove_file(file);
    }
}

/// Ends everything: the case could not run.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    end_all();
    std::process::exit(2)
}

/// Waits until all controllers are healthy.
pub fn wait_until_healthy(fronts: &[String], limit: Duration) {
    let deadline = Instant::now() + limit;
    for front in fronts {
        loop {
            let answer = http::request(front, "GET", "/healthz", None, Duration::from_secs(1));
            if answer.is_some_and(|(status, _)| status == 200) {
                break;
            }
            if Instant::now() > deadline {
                cannot_run("a controller does not become healthy");
            }
            thread::sleep(Duration::from_millis(100));
        }
    }
}

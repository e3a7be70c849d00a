//! Random and mutated bytes at the listeners of complete controllers and of the emulated services.
//!
//! `SAGELOOM_FUZZ_SEED` and `SAGELOOM_FUZZ_CONNECTIONS` select another seed and a longer run.

mod common;

use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use common::{RawConnection, RunningSite, User, hello, site};
use emulator::Spelling;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::time::{sleep, timeout};
use wire::JobState;

const SEED: u64 = 50;
/// Connections to each listener in each of the rounds.
const CONNECTIONS: usize = 300;
const ROUNDS: usize = 3;
/// Connections that are open at a time.
const BATCH: usize = 100;
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(200);
/// How much larger the process may be after the last round than after the first, in KiB.
const MAX_GROWTH_KIB: usize = 32 * 1024;
/// Open files that may be left besides those before.
const MAX_LEFT_FILES: usize = 30;

static PANICS: AtomicUsize = AtomicUsize::new(0);

fn from_environment(name: &str, default: usize) -> usize {
    std::env::var(name).map_or(default, |text| text.parse().expect("a number"))
}

fn request(method: &str, path: &str, body: &[u8]) -> Vec<u8> {
    let head = format!("{method} {path} HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}

/// A request that is valid, at least to one of the listeners.
fn valid_request(rng: &mut StdRng) -> Vec<u8> {
    let heartbeat = serde_json::json!({"frame": "host-000001", "addr": "127.0.0.1:1", "shape": "small",
        "bay": "mill", "loaner": false, "stint": 1, "tally": 1, "baton": 0, "warning_s": null,
        "threads": [{"thread": "j-1/0", "try": 1, "status": "running"}]});
    let txn = serde_json::json!({"if": [{"k": "other/a", "stamp": 0}], "then": [{"put": "other/a", "v": {"x": 1}}]});
    match rng.random_range(0..9) {
        0 => request("POST", "/hello", &wire::encode(&heartbeat)),
        1 => request("GET", "/v1/jobs/j-1", &[]),
        2 => request("POST", "/v1/jobs/j-77/withdraw", &[]),
        3 => request("POST", "/peer", &(0..100).map(|_| rng.random()).collect::<Vec<u8>>()),
        4 => request("POST", "/read-index/v2", &(0..40).map(|_| rng.random()).collect::<Vec<u8>>()),
        5 => request("POST", "/txn", &wire::encode(&txn)),
        6 => request("GET", "/follow?prefix=sageloom/&after=1&hold_ms=0", &[]),
        _ => request("POST", "/v1/jobs", &Spelling::draw(rng).encode(&hello(), rng)),
    }
}

/// A request with some of its bytes changed, removed or repeated, or random bytes.
fn mutated_request(rng: &mut StdRng) -> Vec<u8> {
    let mut bytes = valid_request(rng);
    for _ in 0..rng.random_range(1..4) {
        let at = rng.random_range(0..bytes.len().clamp(1, 400)).min(bytes.len().saturating_sub(1));
        match rng.random_range(0..7) {
            0 => bytes.truncate(at),
            1 if !bytes.is_empty() => bytes[at] = rng.random(),
            2 => bytes.insert(at.min(bytes.len()), rng.random()),
            3 => bytes = [&bytes[..at], &bytes[at / 2..]].concat(),
            4 => bytes.splice(at..at, vec![0x91; 40_000]).for_each(drop),
            5 => bytes = (0..rng.random_range(1..2000)).map(|_| rng.random()).collect(),
            _ => bytes.splice(at..at, b"Transfer-Encoding: chunked\r\n".iter().copied()).for_each(drop),
        }
        if bytes.is_empty() {
            break;
        }
    }
    bytes
}

async fn send(addr: String, bytes: Vec<u8>, ends: bool) {
    let Some(mut connection) = RawConnection::try_open(&addr).await else { return };
    connection.send(&bytes).await;
    if ends {
        connection.end().await;
    }
    let _ = timeout(RESPONSE_TIMEOUT, connection.status()).await;
}

fn memory_kib() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").expect("Linux");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("the size");
    line.trim().trim_end_matches(" kB").parse().expect("a number")
}

fn open_files() -> usize {
    std::fs::read_dir(Path::new("/proc/self/fd")).expect("Linux").count()
}

/// Guards against requests that end a controller, leave something behind in it, or invent a job.
#[tokio::test]
async fn random_and_mutated_requests_end_no_controller_and_leave_nothing_behind() {
    let default_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        PANICS.fetch_add(1, Ordering::Relaxed);
        default_hook(panic);
    }));
    let seed = from_environment("SAGELOOM_FUZZ_SEED", SEED as usize) as u64;
    let connections = from_environment("SAGELOOM_FUZZ_CONNECTIONS", CONNECTIONS);
    println!("seed {seed}, {ROUNDS} rounds of {connections} connections to each listener");
    let mut rng = StdRng::seed_from_u64(seed);
    let site = RunningSite::start(&site(&[])).await;
    let controllers = &site.emulation.controllers;
    let mut listeners = vec![site.emulation.cloud_addr.clone()];
    for controller in controllers {
        listeners.extend([controller.file.front.clone(), controller.file.internal.clone()]);
        listeners.extend([controller.proxy_addr.clone(), controller.state_addr.clone()]);
    }
    let files_before = open_files();
    let mut memory_after_first_round = 0;
    for round in 0..ROUNDS {
        for listener in &listeners {
            for _ in 0..connections / BATCH {
                let batch: Vec<_> = (0..BATCH)
                    .map(|_| send(listener.clone(), mutated_request(&mut rng), rng.random_bool(0.5)))
                    .map(tokio::spawn)
                    .collect();
                for sent in batch {
                    sent.await.expect("no panic");
                }
            }
        }
        if round == 0 {
            memory_after_first_round = memory_kib();
        }
    }
    let growth = memory_kib().saturating_sub(memory_after_first_round);
    assert!(growth <= MAX_GROWTH_KIB, "{growth} KiB more than after the first round");
    // Bodies that never come are given up by then.
    sleep(Duration::from_secs(5)).await;
    let left_files = open_files().saturating_sub(files_before);
    assert!(left_files <= MAX_LEFT_FILES, "{left_files} open files are left");
    for controller in controllers {
        let health = User::new(&controller.file.front).request("GET", "/healthz", Vec::new()).await;
        assert_eq!(health.map(|response| response.status), Some(200), "{}", controller.name);
        assert_eq!(
            User::new(&controller.proxy_addr)
                .request("GET", "/v1/jobs/j-77", Vec::new())
                .await
                .map(|r| r.status),
            Some(404)
        );
    }
    let job = wire::JobSpec { id: "j-2".into(), ..hello() };
    assert_eq!(site.user(1).submit(wire::encode(&job)).await, 201);
    site.user(0).wait_for_state("j-2", JobState::Done).await;
    assert_eq!(PANICS.load(Ordering::Relaxed), 0);
    site.stop().await;
}

//! Measures the cost of a controller's work and how it grows with the size of the site.
//! Valgrind counts instructions, because their number does not depend on the load of the
//! machine: `cargo bench --bench load` prints them for sites of several sizes, and
//! `cargo bench --bench load --features heap -- memory` prints the memory held.

use std::collections::BTreeMap;
use std::path::Path;
use std::process::{Command, ExitCode};

#[cfg(feature = "heap")]
use daemon::cases;
use daemon::cases::Site;

#[cfg(feature = "heap")]
#[global_allocator]
static ALLOCATOR: dhat::Alloc = dhat::Alloc;

/// Site sizes: machines and jobs.
const SITES: [(usize, usize); 5] =
    [(100, 10_000), (1000, 1000), (1000, 10_000), (1000, 100_000), (10_000, 10_000)];

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).filter(|a| a != "--bench").collect();
    let size_argument = |i: usize| args.get(i).and_then(|a| a.parse::<usize>().ok());
    match (args.first().map(String::as_str), size_argument(1), size_argument(2)) {
        // Runs under valgrind, which writes one file of counts per case.
        (Some("count"), Some(machines), Some(jobs)) => {
            for (name, times) in Site::new(machines, jobs).run() {
                println!("{times} {name}");
            }
            ExitCode::SUCCESS
        }
        (Some("memory"), ..) => memory(),
        (Some("site"), Some(machines), Some(jobs)) => table(&[(machines, jobs)]),
        (None, ..) => table(&SITES),
        _ => {
            eprintln!("usage: load [site MACHINES JOBS | memory]");
            ExitCode::FAILURE
        }
    }
}

/// Measures the cases on each site and prints them side by side.
fn table(sites: &[(usize, usize)]) -> ExitCode {
    let mut order: Vec<String> = Vec::new();
    let mut rows: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for (machines, jobs) in sites {
        match count(*machines, *jobs) {
            Ok(cases) => {
                for (name, cost) in cases {
                    if !order.contains(&name) {
                        order.push(name.clone());
                    }
                    rows.entry(name).or_default().push(cost.to_string());
                }
            }
            Err(e) => {
                eprintln!("benchmark with {machines} machines and {jobs} jobs failed: {e}");
                return ExitCode::FAILURE;
            }
        }
    }
    let sizes: Vec<String> = sites.iter().map(|(m, j)| format!("{m}/{j}")).collect();
    println!("| instructions, at machines/jobs | {} |", sizes.join(" | "));
    println!("| --- |{}", " ---: |".repeat(sites.len()));
    for name in order {
        println!("| {name} | {} |", rows[&name].join(" | "));
    }
    ExitCode::SUCCESS
}

/// Measures the cases of one site in a separate process and returns the instructions per
/// operation of each.
fn count(machines: usize, jobs: usize) -> Result<Vec<(String, u64)>, String> {
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("load-{}", std::process::id()));
    std::fs::create_dir_all(&dir).map_err(|e| e.to_string())?;
    let benchmark = std::env::current_exe().map_err(|e| e.to_string())?;
    let out = Command::new("valgrind")
        .args(["--tool=callgrind", "--collect-atstart=no", "--toggle-collect=*cases::measured*"])
        .arg("--dump-before=*cases::case_over*")
        .arg(format!("--callgrind-out-file={}", dir.join("out").display()))
        .arg(benchmark)
        .args(["count", &machines.to_string(), &jobs.to_string()])
        .output()
        .map_err(|e| format!("running valgrind: {e}"))?;
    if !out.status.success() {
        return Err(String::from_utf8_lossy(&out.stderr).into_owned());
    }
    let text = String::from_utf8_lossy(&out.stdout).into_owned();
    let cases: Vec<(u64, &str)> = text
        .lines()
        .filter_map(|l| {
            let (n, name) = l.split_once(' ')?;
            Some((n.parse().ok()?, name))
        })
        .collect();
    let counted: Vec<u64> = (1..=cases.len()).filter_map(|n| total(&dir.join(format!("out.{n}")))).collect();
    if counted.len() != cases.len() {
        return Err(format!("valgrind wrote {1} counts for {0} cases", cases.len(), counted.len()));
    }
    // The first half is the warm-up run.
    let half = cases.len() / 2;
    let cost_per_operation = |((n, name), sum): (&(u64, &str), &u64)| ((*name).to_owned(), sum / n.max(&1));
    let costs = cases[half..].iter().zip(&counted[half..]).map(cost_per_operation).collect();
    let _ = std::fs::remove_dir_all(&dir);
    Ok(costs)
}

/// The total number of instructions in one of valgrind's files.
fn total(file: &Path) -> Option<u64> {
    let text = std::fs::read_to_string(file).ok()?;
    let line = text.lines().rev().find_map(|l| l.strip_prefix("totals:").or(l.strip_prefix("summary:")))?;
    line.trim().parse().ok()
}

#[cfg(not(feature = "heap"))]
fn memory() -> ExitCode {
    eprintln!("the memory benchmark requires --features heap");
    ExitCode::FAILURE
}

/// Prints the bytes held per record, worker and connection.
#[cfg(feature = "heap")]
fn memory() -> ExitCode {
    let _profiler = dhat::Profiler::builder().build();
    let used = || dhat::HeapStats::get().curr_bytes;
    let mut site = Site::empty();
    let mut last = used();
    let mut print_row = |what: &str, n: usize| {
        let now = used();
        println!("| {what} | {} |", (now - last) / n);
        last = now;
    };
    println!("| bytes held per item | |\n| --- | ---: |");
    let (machines, jobs) = (1000, 10_000);
    site.add_machines(machines);
    print_row("machine record", machines);
    let running_jobs = machines * cases::TASKS_PER_MACHINE / cases::TASKS_PER_JOB as usize;
    site.add_running_jobs(running_jobs);
    print_row("running job with 8 assignments", running_jobs);
    site.add_finished_jobs(jobs);
    print_row("finished job", jobs);
    site.add_workers();
    print_row("worker with 4 tasks", machines / 2);
    site.receive_peer_status(1);
    print_row("machine of a peer", machines / 2);
    // Everything that grows with the site, held by one controller.
    let before = used();
    let mut large = Site::empty();
    large.add_machines(4000);
    large.add_running_jobs(20_000 / cases::TASKS_PER_JOB as usize);
    large.add_finished_jobs(jobs);
    large.add_workers();
    large.receive_peer_status(1);
    println!(
        "| in total, 4,000 machines, 20,000 running tasks and 10,000 finished jobs | {} |",
        used() - before
    );
    drop(large);
    println!("| idle connection | {} |", cases::idle_connections(1000, used) / 1000);
    ExitCode::SUCCESS
}

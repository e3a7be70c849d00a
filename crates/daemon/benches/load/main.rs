//! How much a controller's work costs, and how that grows with the site. Instructions
//! are counted by valgrind, as those are the same on a busy machine:
//! `cargo bench --bench load` prints them for sites of several sizes,
//! `cargo bench --bench load --features heap -- memory` prints what is held.

use std::collections::BTreeMap;
use std::path::Path;
use std::process::{Command, ExitCode};

#[cfg(feature = "heap")]
use daemon::cases;
use daemon::cases::Site;

#[cfg(feature = "heap")]
#[global_allocator]
static ALLOCATOR: dhat::Alloc = dhat::Alloc;

/// Machines and jobs.
const SITES: [(usize, usize); 5] =
    [(100, 10_000), (1000, 1000), (1000, 10_000), (1000, 100_000), (10_000, 10_000)];

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).filter(|a| a != "--bench").collect();
    let size = |i: usize| args.get(i).and_then(|a| a.parse::<usize>().ok());
    match (args.first().map(String::as_str), size(1), size(2)) {
        // Under valgrind: what was counted of each case lies in its files.
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

/// Counts the cases on each site and prints them side by side.
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
                eprintln!("{machines} machines, {jobs} jobs: {e}");
                return ExitCode::FAILURE;
            }
        }
    }
    let heads: Vec<String> = sites.iter().map(|(m, j)| format!("{m}/{j}")).collect();
    println!("| instructions, at machines/jobs | {} |", heads.join(" | "));
    println!("| --- |{}", " ---: |".repeat(sites.len()));
    for name in order {
        println!("| {name} | {} |", rows[&name].join(" | "));
    }
    ExitCode::SUCCESS
}

/// One site's cases and what each cost, counted in a process of its own.
fn count(machines: usize, jobs: usize) -> Result<Vec<(String, u64)>, String> {
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("load-{}", std::process::id()));
    std::fs::create_dir_all(&dir).map_err(|e| e.to_string())?;
    let me = std::env::current_exe().map_err(|e| e.to_string())?;
    let out = Command::new("valgrind")
        .args(["--tool=callgrind", "--collect-atstart=no", "--toggle-collect=*cases::measured*"])
        .arg("--dump-before=*cases::case_over*")
        .arg(format!("--callgrind-out-file={}", dir.join("out").display()))
        .arg(me)
        .args(["count", &machines.to_string(), &jobs.to_string()])
        .output()
        .map_err(|e| format!("valgrind: {e}"))?;
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
        return Err(format!("{} cases, {} counts", cases.len(), counted.len()));
    }
    // The first half was to warm up.
    let half = cases.len() / 2;
    let of = |((n, name), sum): (&(u64, &str), &u64)| ((*name).to_owned(), sum / n.max(&1));
    let costs = cases[half..].iter().zip(&counted[half..]).map(of).collect();
    let _ = std::fs::remove_dir_all(&dir);
    Ok(costs)
}

/// The instructions that one of valgrind's files tells of.
fn total(file: &Path) -> Option<u64> {
    let text = std::fs::read_to_string(file).ok()?;
    let line = text.lines().rev().find_map(|l| l.strip_prefix("totals:").or(l.strip_prefix("summary:")))?;
    line.trim().parse().ok()
}

#[cfg(not(feature = "heap"))]
fn memory() -> ExitCode {
    eprintln!("memory is counted with --features heap");
    ExitCode::FAILURE
}

/// Bytes held for each thing that there are many of.
#[cfg(feature = "heap")]
fn memory() -> ExitCode {
    let _profiler = dhat::Profiler::builder().build();
    let used = || dhat::HeapStats::get().curr_bytes;
    let mut site = Site::empty();
    let mut last = used();
    let mut told = |what: &str, n: usize| {
        let now = used();
        println!("| {what} | {} |", (now - last) / n);
        last = now;
    };
    println!("| bytes held for each | |\n| --- | ---: |");
    let (machines, jobs) = (1000, 10_000);
    site.add_machines(machines);
    told("machine's record", machines);
    let open = machines * cases::ON_EACH / cases::TASKS as usize;
    site.add_open(open);
    told("open job of 8 assignments", open);
    site.add_finished(jobs);
    told("finished job", jobs);
    site.add_workers();
    told("worker with 4 tasks", machines / 2);
    site.hear_peer(1);
    told("machine of a peer", machines / 2);
    // What grows with the site, all of it held by one controller.
    let before = used();
    let mut large = Site::empty();
    large.add_machines(4000);
    large.add_open(20_000 / cases::TASKS as usize);
    large.add_finished(jobs);
    large.add_workers();
    large.hear_peer(1);
    println!("| in all, 4,000 machines, 20,000 open tasks and 10,000 finished jobs | {} |", used() - before);
    drop(large);
    println!("| idle connection | {} |", cases::idle_connections(1000, used) / 1000);
    ExitCode::SUCCESS
}

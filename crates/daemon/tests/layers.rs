//! Checks the layers of docs/architecture.md: a package depends only on packages in lower layers,
//! and a module of `daemon` or `sched` uses only modules in lower layers.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

/// Packages from the lowest layer up. Packages of the same layer do not depend on each other.
const PACKAGES: &[&[&str]] = &[
    &["wire", "peer", "model"],
    &["net", "sched"],
    &["store", "cloud", "drain"],
    &["emulator"],
    &["daemon"],
];

/// Modules of `sched` from the lowest layer up.
const SCHED: &[&[&str]] = &[
    &["hash", "versioned", "assignment"],
    &["compact"],
    &["records"],
    &["drain_records", "pipeline", "spot_notice"],
    &["drains"],
    &["replica"],
    &["inventory"],
    &["placement"],
    &["autoscaling", "forecast", "preempt", "rescheduler"],
];

/// Modules of `daemon` from the lowest layer up: settings and plain state, then what the tasks
/// share, the tasks, the composition of a process, and the command line.
const DAEMON: &[&[&str]] = &[
    &["watched_value"],
    &["clock", "timeouts", "logging", "load", "read_records", "read_barrier", "settings", "client"],
    &["limits", "operators", "server_connections", "worker"],
    &["state"],
    &["controller"],
    &[
        "load_log",
        "commit",
        "change_feed",
        "peer_client",
        "worker_client",
        "chunk_collector",
        "forwarded_proofs",
    ],
    &["freshness_checks", "membership", "prober", "read_index", "drains"],
    &["peer_status"],
    &["scheduler", "autoscaler"],
    &["api"],
    &["peer_server"],
    &["process"],
    &["emulated"],
    &["cli"],
];

fn crates() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

/// The layer of each name, counted from the lowest.
fn layer_of<'n>(layers: &[&[&'n str]]) -> BTreeMap<&'n str, usize> {
    let numbered = layers.iter().enumerate();
    numbered.flat_map(|(layer, names)| names.iter().map(move |name| (*name, layer))).collect()
}

/// The dependencies in a package's manifest, without those for tests.
fn dependencies(package: &str) -> Vec<String> {
    let manifest = std::fs::read_to_string(crates().join(package).join("Cargo.toml")).expect("a manifest");
    let manifest: toml::Table = toml::from_str(&manifest).expect("TOML");
    let listed = manifest.get("dependencies").and_then(|d| d.as_table()).expect("dependencies");
    listed.keys().cloned().collect()
}

#[test]
fn packages_depend_only_on_lower_layers() {
    let layer = layer_of(PACKAGES);
    let folders = std::fs::read_dir(crates()).expect("packages");
    let names = folders.map(|f| f.expect("a folder").file_name().into_string().expect("a name"));
    for package in names {
        let own = layer.get(package.as_str());
        let own =
            own.unwrap_or_else(|| unreachable!("{package} needs a layer here and in docs/architecture.md"));
        for other in dependencies(&package) {
            if let Some(other_layer) = layer.get(other.as_str()) {
                assert!(other_layer < own, "{package} depends on {other}, which is not in a lower layer");
            }
        }
    }
}

/// The source files of a package by their top-level module, without `lib.rs` and `main.rs`.
fn sources_by_module(source: &Path) -> BTreeMap<String, Vec<PathBuf>> {
    let mut modules: BTreeMap<String, Vec<PathBuf>> = BTreeMap::new();
    for entry in std::fs::read_dir(source).expect("sources") {
        let path = entry.expect("an entry").path();
        let name = path.file_stem().and_then(|s| s.to_str()).expect("a name").to_owned();
        if !matches!(name.as_str(), "lib" | "main") {
            collect_files(&path, modules.entry(name).or_default());
        }
    }
    modules
}

fn collect_files(path: &Path, files: &mut Vec<PathBuf>) {
    if path.is_file() {
        files.push(path.to_owned());
        return;
    }
    for entry in std::fs::read_dir(path).expect("a folder") {
        collect_files(&entry.expect("an entry").path(), files);
    }
}

/// The source without comments and without items that are compiled only for tests or benchmarks.
fn code_of(file: &Path) -> String {
    let text = std::fs::read_to_string(file).expect("a source");
    let mut code = String::new();
    let mut is_skipped = false;
    for line in text.lines() {
        let line = line.split("//").next().unwrap_or_default();
        if line.trim_start().starts_with("#[cfg(test)]")
            || line.trim_start().starts_with("#[cfg(any(test")
            || line.trim_start().starts_with("#[cfg(feature = \"bench\")]")
        {
            is_skipped = true;
            continue;
        }
        if is_skipped {
            // Skips one item: a declaration, or a block up to its closing brace.
            is_skipped = !(line.ends_with(';') || line.ends_with('}'));
            continue;
        }
        code.push_str(line);
        code.push('\n');
    }
    code
}

/// The top-level modules that the code refers to with `crate::…`.
fn modules_used(code: &str) -> BTreeSet<String> {
    let mut names = BTreeSet::new();
    for (at, marker) in code.match_indices("crate::") {
        let rest = &code[at + marker.len()..];
        match rest.strip_prefix('{') {
            Some(group) => names.extend(first_segments(group)),
            None => names.extend(identifier(rest)),
        }
    }
    names
}

/// The identifier at the start of a text.
fn identifier(text: &str) -> Option<String> {
    let name: String = text.chars().take_while(|c| c.is_alphanumeric() || *c == '_').collect();
    (!name.is_empty()).then_some(name)
}

/// The first segment of each path in a `use` group, up to the group's closing brace.
fn first_segments(group: &str) -> Vec<String> {
    let mut names = Vec::new();
    let mut depth = 0;
    let mut is_start = true;
    for (at, c) in group.char_indices() {
        match c {
            '{' => depth += 1,
            '}' if depth == 0 => break,
            '}' => depth -= 1,
            ',' if depth == 0 => is_start = true,
            c if c.is_alphabetic() && depth == 0 && is_start => {
                names.extend(identifier(&group[at..]));
                is_start = false;
            }
            _ => {}
        }
    }
    names
}

/// The violations of the layers by a package's modules.
fn violations(package: &str, layers: &[&[&str]]) -> Vec<String> {
    let layer = layer_of(layers);
    let modules = sources_by_module(&crates().join(package).join("src"));
    let mut violations = Vec::new();
    for name in layer.keys().filter(|name| !modules.contains_key(**name)) {
        violations.push(format!("{package} has no module {name}"));
    }
    for (module, files) in &modules {
        let Some(own) = layer.get(module.as_str()) else {
            violations.push(format!("{package}::{module} has no layer"));
            continue;
        };
        let used: BTreeSet<String> = files.iter().flat_map(|f| modules_used(&code_of(f))).collect();
        for other in used.iter().filter(|other| *other != module) {
            if layer.get(other.as_str()).is_some_and(|other_layer| other_layer >= own) {
                violations.push(format!("{package}::{module} uses {other}, which is not in a lower layer"));
            }
        }
    }
    violations
}

#[test]
fn modules_of_sched_use_only_lower_layers() {
    assert_eq!(violations("sched", SCHED), Vec::<String>::new());
}

#[test]
fn modules_of_daemon_use_only_lower_layers() {
    assert_eq!(violations("daemon", DAEMON), Vec::<String>::new());
}

#[test]
fn modules_are_found_in_use_groups() {
    let code = "use crate::{api, drains::{self, state}, load};\nfn f() { crate::clock::now() }";
    let expected = ["api", "clock", "drains", "load"].map(str::to_owned);
    assert_eq!(modules_used(code), BTreeSet::from(expected));
}

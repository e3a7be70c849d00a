//! The layers of docs/design.md: a lower package does not depend on a higher one, and modules of
//! `daemon` that hold plain state or settings do not name a duty.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// Packages from the lowest layer up; those of one line do not depend on each other.
const LAYERS: &[&[&str]] = &[
    &["wire", "peer", "model"],
    &["net", "sched"],
    &["store", "cloud", "drain"],
    &["emulator"],
    &["daemon"],
];

/// Modules of `daemon` without input and output of their own.
const PLAIN: &[&str] =
    &["clock.rs", "limits.rs", "settings.rs", "operators.rs", "read_records.rs", "state/drains.rs"];

/// What only a duty, or what all duties share, may name.
const DUTIES: &[&str] = &[
    "api",
    "commit",
    "controller",
    "fleet_duty",
    "peers",
    "prober",
    "read_index",
    "scheduler",
    "state",
    "change_feed",
    "membership",
    "read_barrier",
    "worker",
];

fn crates() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

/// The workspace's packages that a package's manifest names, those for its tests left out.
fn dependencies(package: &str) -> Vec<String> {
    let manifest = std::fs::read_to_string(crates().join(package).join("Cargo.toml")).expect("a manifest");
    let manifest: toml::Table = toml::from_str(&manifest).expect("TOML");
    let listed = manifest.get("dependencies").and_then(|d| d.as_table()).expect("dependencies");
    listed.keys().cloned().collect()
}

#[test]
fn no_package_depends_on_a_higher_one() {
    let layer: BTreeMap<&str, usize> =
        LAYERS.iter().enumerate().flat_map(|(i, packages)| packages.iter().map(move |p| (*p, i))).collect();
    let folders = std::fs::read_dir(crates()).expect("packages");
    let names = folders.map(|f| f.expect("a folder").file_name().into_string().expect("a name"));
    for package in names {
        let own = layer.get(package.as_str());
        let own = own.unwrap_or_else(|| unreachable!("{package} has no layer here and in docs/design.md"));
        for other in dependencies(&package) {
            if let Some(theirs) = layer.get(other.as_str()) {
                assert!(theirs < own, "{package} depends on {other}");
            }
        }
    }
}

#[test]
fn plain_modules_name_no_duty() {
    for module in PLAIN {
        let path = crates().join("daemon/src").join(module);
        let text = std::fs::read_to_string(&path).unwrap_or_else(|e| unreachable!("{module}: {e}"));
        for duty in DUTIES {
            for name in [format!("crate::{duty}::"), format!("super::{duty}::")] {
                assert!(!text.contains(&name), "{module} names {name}");
            }
        }
    }
}

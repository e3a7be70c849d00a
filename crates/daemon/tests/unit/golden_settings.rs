//! Golden test: a settings file that sets every field parses to the expected values.

use super::*;
use sched::replica::Team;

const FILE: &str = include_str!("../../testdata/settings-full.toml");

fn parsed() -> Settings {
    Settings::parse("settings-full.toml", FILE).expect("valid settings")
}

fn expected() -> Settings {
    Settings {
        node_name: "controller-1".into(),
        zone: "zone-a".into(),
        front: "127.0.0.1:8080".into(),
        internal_addr: "127.0.0.2:8081".into(),
        peers: vec![
            Peer { node_name: "controller-2".into(), address: "127.0.0.3:8082".into() },
            Peer { node_name: "controller-3".into(), address: "127.0.0.4:8083".into() },
        ],
        external: External { cloud: "127.0.0.5:8084".into(), state: "127.0.0.6:8085".into() },
        facts: expected_facts(),
    }
}

fn expected_facts() -> SiteSettings {
    SiteSettings {
        time_bound_ms: 250.5,
        teams: vec![
            TeamSettings { name: "team-a".into(), cpus: 11.5, cpus_max: 12.5, gpus: 13.5, gpus_max: 14.5 },
            TeamSettings { name: "team b".into(), cpus: 0.0, cpus_max: 0.0, gpus: 0.0, gpus_max: 0.0 },
        ],
        objectives: vec![
            Objective { kind: "wait".into(), class: Some("class-a".into()), within_s: Some(21.5) },
            Objective { kind: "cost".into(), class: None, within_s: None },
        ],
        workers: WorkerSettings {
            report_s: 1.5,
            lease_s: 24.5,
            gang_wait_s: 30.5,
            gang_peer_s: 5.5,
            cancel_s: 44.5,
        },
        state: StoreSettings {
            rps: 80.5,
            write_rps: 31.5,
            value_kb: 8.5,
            txn_ops: 16,
            next: Some(NextStoreSettings {
                rps: Some(81.5),
                write_rps: Some(32.5),
                value_kb: Some(9.5),
                txn_ops: Some(17),
            }),
        },
        cloud: CloudSettings { rps: 4.5, list_lag_s: 10.5 },
        limits: ProcessLimits { cores: 0.75, memory_mb: 104.5, max_connections: 1800 },
    }
}

/// `Settings` does not implement `PartialEq`, so the test compares the `Debug` output, which has all
/// fields.
#[test]
fn every_field_is_read() {
    assert_eq!(format!("{:#?}", parsed()), format!("{:#?}", expected()));
}

#[test]
fn values_are_derived_from_the_settings() {
    let settings = parsed();
    let limited = Team { name: "team-a".into(), cpus: 11.5, cpus_max: 12.5, gpus: 13.5, gpus_max: 14.5 };
    let unlimited = Team {
        name: "team b".into(),
        cpus: 0.0,
        cpus_max: f64::INFINITY,
        gpus: 0.0,
        gpus_max: f64::INFINITY,
    };
    assert_eq!(settings.teams(), [limited, unlimited]);
    assert!(settings.has_wait_objective("class-a") && !settings.has_wait_objective("class-b"));
    assert_eq!(settings.wait_objective_range("class-a"), Some((21.5, 21.5)));
    let sockets = Sockets {
        front: 1008,
        workers_kept: 672,
        users_kept: 224,
        peers: 112,
        to_workers: 448,
        state: 56,
        cloud_and_peers: 56,
    };
    assert_eq!(settings.sockets(), sockets);
}

//! Golden test: an operators' settings file that sets every field parses to the expected values.

use std::collections::BTreeMap;

use drain::budget::{Budgets, TeamBudget};
use sched::rescheduler::Policy;

use super::*;

const FILE: &str = include_str!("../../testdata/operators-full.hcl");

#[test]
fn every_field_is_read() {
    let rescheduler = Policy {
        scan_interval: Duration::from_secs(11),
        usage_threshold: 0.45,
        eviction_interval: Duration::from_millis(62_500),
        avoid_duration: Duration::from_secs(303),
    };
    let teams =
        BTreeMap::from([("team b".into(), TeamBudget::Share(0.25)), ("team-a".into(), TeamBudget::Count(4))]);
    let expected = OperatorSettings {
        rescheduler,
        idle_timeout: Duration::from_millis(24_500),
        silence_timeout: Some(Duration::from_secs(95)),
        spare_gpu_tasks: 6,
        drains: DrainSettings { enabled: true, budgets: Budgets { per_service: 3, teams } },
    };
    assert_eq!(OperatorSettings::parse("operators-full.hcl", FILE).expect("valid settings"), expected);
}

/// An empty file gives the default of every field.
#[test]
fn an_empty_file_gives_the_defaults() {
    let rescheduler = Policy {
        scan_interval: Duration::from_secs(10),
        usage_threshold: 0.3,
        eviction_interval: Duration::from_secs(60),
        avoid_duration: Duration::from_secs(300),
    };
    let expected = OperatorSettings {
        rescheduler,
        idle_timeout: Duration::from_secs(20),
        silence_timeout: None,
        spare_gpu_tasks: 1,
        drains: DrainSettings { enabled: false, budgets: Budgets { per_service: 1, teams: BTreeMap::new() } },
    };
    assert_eq!(OperatorSettings::parse("operators.hcl", "").expect("valid settings"), expected);
}

//! The operators' settings file (HCL): its structure, defaults and checks.

use std::collections::BTreeMap;

use drain::budget::{Budgets, TeamBudget};
use sched::rescheduler::Policy;
use serde::Deserialize;

use super::{DrainSettings, OperatorSettings};
use crate::settings::{SettingsError, one_line};

/// Maximum of the numbers of seconds and of the threshold.
const MAX_NUMBER: f64 = 1e7;
/// A valid value that stands for an absent `silent_s` in the check.
const UNSET_SILENT_S: f64 = 10.0;

/// An attribute with an invalid value, and the rule that it breaks.
struct InvalidField {
    field: &'static str,
    rule: &'static str,
}

impl InvalidField {
    fn new(field: &'static str, rule: &'static str) -> Self {
        Self { field, rule }
    }
}

/// The contents of the file. Every attribute has a default, except that a team's budget needs
/// `count` or `share`.
#[derive(Debug, Clone, PartialEq, Deserialize, Default)]
#[serde(deny_unknown_fields, default)]
pub(super) struct HclFile {
    rescheduler: HclRescheduler,
    fleet: HclFleet,
    drains: HclDrains,
}

#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct HclDrains {
    enabled: bool,
    replicas_per_service: f64,
    team: BTreeMap<String, HclTeamBudget>,
}

impl Default for HclDrains {
    fn default() -> Self {
        let replicas_per_service = f64::from(Budgets::default().per_service);
        Self { enabled: false, replicas_per_service, team: BTreeMap::new() }
    }
}

#[derive(Debug, Clone, PartialEq, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct HclTeamBudget {
    count: Option<f64>,
    share: Option<f64>,
}

impl HclTeamBudget {
    /// Checks the attributes and converts them to a budget.
    fn to_team_budget(&self) -> Result<TeamBudget, InvalidField> {
        match (self.count, self.share) {
            (Some(_), Some(_)) => Err(InvalidField::new("share", "must not be given together with count")),
            (None, None) => Err(InvalidField::new("count", "either count or share must be given")),
            (Some(count), None) => {
                parse_count(count).map(TeamBudget::Count).ok_or(InvalidField::new("count", COUNT_RULE))
            }
            (None, Some(share)) if !(0.0..=1.0).contains(&share) => {
                Err(InvalidField::new("share", "must be a number from 0 to 1"))
            }
            (None, Some(share)) => Ok(TeamBudget::Share(share)),
        }
    }
}

/// Maximum count of a budget.
const MAX_COUNT: f64 = 1e6;
const COUNT_RULE: &str = "must be a whole number from 0 to 1000000";

fn parse_count(count: f64) -> Option<u32> {
    ((0.0..=MAX_COUNT).contains(&count) && count.fract() == 0.0).then_some(count as u32)
}

#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct HclRescheduler {
    scan_s: f64,
    threshold: f64,
    budget_s: f64,
    avoid_s: f64,
}

impl Default for HclRescheduler {
    fn default() -> Self {
        Self { scan_s: 10.0, threshold: 0.3, budget_s: 60.0, avoid_s: 300.0 }
    }
}

#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct HclFleet {
    idle_s: f64,
    silent_s: Option<f64>,
    spare_gpu_tasks: u32,
}

impl Default for HclFleet {
    fn default() -> Self {
        Self { idle_s: 20.0, silent_s: None, spare_gpu_tasks: 1 }
    }
}

impl Default for OperatorSettings {
    fn default() -> Self {
        let fleet = HclFleet::default();
        Self {
            rescheduler: Policy::default(),
            idle_timeout: wire::seconds(fleet.idle_s),
            silence_timeout: fleet.silent_s.map(wire::seconds),
            spare_gpu_tasks: fleet.spare_gpu_tasks,
            drains: DrainSettings::default(),
        }
    }
}

/// Parses and checks the settings. `file` is the file name for error messages.
pub(super) fn parse(file: &str, text: &str) -> Result<OperatorSettings, SettingsError> {
    let parsed: HclFile = hcl::from_str(text)
        .map_err(|e| SettingsError::Parse { file: file.to_owned(), reason: one_line(&e.to_string()) })?;
    parsed.check_numbers(file)?;
    let seconds = wire::seconds;
    let HclFile { rescheduler, fleet, drains } = parsed;
    Ok(OperatorSettings {
        drains: drain_settings(file, &drains)?,
        rescheduler: Policy {
            scan_interval: seconds(rescheduler.scan_s),
            usage_threshold: rescheduler.threshold,
            eviction_interval: seconds(rescheduler.budget_s),
            avoid_duration: seconds(rescheduler.avoid_s),
        },
        idle_timeout: seconds(fleet.idle_s),
        silence_timeout: fleet.silent_s.map(seconds),
        spare_gpu_tasks: fleet.spare_gpu_tasks,
    })
}

impl HclFile {
    fn check_numbers(&self, file: &str) -> Result<(), SettingsError> {
        let Self { rescheduler, fleet, .. } = self;
        let fields = [
            ("rescheduler.scan_s", rescheduler.scan_s, 1.0),
            ("rescheduler.threshold", rescheduler.threshold, 0.0),
            ("rescheduler.budget_s", rescheduler.budget_s, 1.0),
            ("rescheduler.avoid_s", rescheduler.avoid_s, 0.0),
            ("fleet.idle_s", fleet.idle_s, 0.0),
            ("fleet.silent_s", fleet.silent_s.unwrap_or(UNSET_SILENT_S), 1.0),
        ];
        let is_valid = |value: f64, min: f64| value.is_finite() && (min..=MAX_NUMBER).contains(&value);
        match fields.into_iter().find(|(_, value, min)| !is_valid(*value, *min)) {
            None => Ok(()),
            Some((field, _, min)) => Err(SettingsError::Field {
                file: file.to_owned(),
                field: field.to_owned(),
                reason: format!("must be a number from {min} to {MAX_NUMBER}"),
            }),
        }
    }
}

fn drain_settings(file: &str, drains: &HclDrains) -> Result<DrainSettings, SettingsError> {
    let invalid_field = |field: String, rule: &str| SettingsError::Field {
        file: file.to_owned(),
        field: format!("drains.{field}"),
        reason: rule.to_owned(),
    };
    let mut teams = BTreeMap::new();
    for (team, budget) in &drains.team {
        let checked = budget.to_team_budget();
        let budget = checked
            .map_err(|invalid| invalid_field(format!("team.{team}.{}", invalid.field), invalid.rule))?;
        teams.insert(team.clone(), budget);
    }
    let per_service = parse_count(drains.replicas_per_service)
        .ok_or_else(|| invalid_field("replicas_per_service".into(), COUNT_RULE))?;
    Ok(DrainSettings { enabled: drains.enabled, budgets: Budgets { per_service, teams } })
}

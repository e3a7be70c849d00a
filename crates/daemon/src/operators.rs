//! The operators' own settings (HCL).

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

use drain::budget::{Budgets, TeamBudget};
use sched::rescheduler::Policy;
use serde::Deserialize;

use crate::settings::{Settings, SettingsError, one_line, read};

/// The operators' own settings. Every attribute has a default.
#[derive(Debug, Clone, PartialEq, Deserialize, Default)]
#[serde(deny_unknown_fields, default)]
struct HclFile {
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
    /// The budget, or which field is wrong and why.
    fn checked(&self) -> Result<TeamBudget, (&'static str, &'static str)> {
        match (self.count, self.share) {
            (Some(_), Some(_)) => Err(("share", "does not go with count")),
            (None, None) => Err(("count", "count or share must be given")),
            (Some(count), None) => checked_count(count).map(TeamBudget::Count).ok_or(("count", COUNT_RANGE)),
            (None, Some(share)) if !(0.0..=1.0).contains(&share) => {
                Err(("share", "must be a number from 0 to 1"))
            }
            (None, Some(share)) => Ok(TeamBudget::Share(share)),
        }
    }
}

/// Largest count that a budget may have.
const COUNT_MOST: f64 = 1e6;
const COUNT_RANGE: &str = "must be a whole number from 0 to 1000000";

fn checked_count(count: f64) -> Option<u32> {
    ((0.0..=COUNT_MOST).contains(&count) && count.fract() == 0.0).then_some(count as u32)
}

/// Whether machines can be drained, and what of a team may be down for it.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct DrainSettings {
    /// Without it nothing of drains is read, written or asked for.
    pub enabled: bool,
    pub budgets: Budgets,
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

/// Checked operators' settings.
#[derive(Debug, Clone, PartialEq)]
pub struct Operators {
    pub rescheduler: Policy,
    /// An idle machine is given back after this long.
    pub idle: Duration,
    /// A machine that is silent for this long is given back; None: by the settings.
    pub silent: Option<Duration>,
    /// Room kept ready for so many tasks of the latest GPU job, if its class
    /// is expected to start in time.
    pub spare_gpu_tasks: u32,
    pub drains: DrainSettings,
}

impl Default for Operators {
    fn default() -> Self {
        let fleet = HclFleet::default();
        Self {
            rescheduler: Policy::default(),
            idle: wire::seconds(fleet.idle_s),
            silent: fleet.silent_s.map(wire::seconds),
            spare_gpu_tasks: fleet.spare_gpu_tasks,
            drains: DrainSettings::default(),
        }
    }
}

impl Operators {
    /// Whether each budget is of a team that the platform's settings have.
    pub fn check_teams(&self, file: &str, settings: &Settings) -> Result<(), SettingsError> {
        let known = |team: &String| settings.facts.teams.iter().any(|t| t.name == *team);
        match self.drains.budgets.teams.keys().find(|team| !known(team)) {
            Some(team) => Err(SettingsError::Field {
                file: file.to_owned(),
                field: format!("drains.team.{team}"),
                why: "the platform's settings have no such team".into(),
            }),
            None => Ok(()),
        }
    }

    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let (file, text) = read(path)?;
        Self::parse(&file, &text)
    }

    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsError> {
        let f: HclFile = hcl::from_str(text)
            .map_err(|e| SettingsError::Parse { file: file.to_owned(), why: one_line(&e.to_string()) })?;
        let fields = [
            ("rescheduler.scan_s", f.rescheduler.scan_s, 1.0),
            ("rescheduler.threshold", f.rescheduler.threshold, 0.0),
            ("rescheduler.budget_s", f.rescheduler.budget_s, 1.0),
            ("rescheduler.avoid_s", f.rescheduler.avoid_s, 0.0),
            ("fleet.idle_s", f.fleet.idle_s, 0.0),
            ("fleet.silent_s", f.fleet.silent_s.unwrap_or(10.0), 1.0),
        ];
        for (field, value, least) in fields {
            if !value.is_finite() || !(least..=1e7).contains(&value) {
                return Err(SettingsError::Field {
                    file: file.to_owned(),
                    field: field.to_owned(),
                    why: format!("must be a number of {least} or more"),
                });
            }
        }
        let seconds = wire::seconds;
        let drains = drain_settings(file, &f.drains)?;
        Ok(Self {
            drains,
            rescheduler: Policy {
                scan: seconds(f.rescheduler.scan_s),
                threshold: f.rescheduler.threshold,
                budget: seconds(f.rescheduler.budget_s),
                avoid: seconds(f.rescheduler.avoid_s),
            },
            idle: seconds(f.fleet.idle_s),
            silent: f.fleet.silent_s.map(seconds),
            spare_gpu_tasks: f.fleet.spare_gpu_tasks,
        })
    }
}

fn drain_settings(file: &str, drains: &HclDrains) -> Result<DrainSettings, SettingsError> {
    let wrong = |field: String, why: &str| SettingsError::Field {
        file: file.to_owned(),
        field: format!("drains.{field}"),
        why: why.to_owned(),
    };
    let mut teams = BTreeMap::new();
    for (team, budget) in &drains.team {
        let budget = budget.checked().map_err(|(field, why)| wrong(format!("team.{team}.{field}"), why))?;
        teams.insert(team.clone(), budget);
    }
    let per_service = checked_count(drains.replicas_per_service)
        .ok_or_else(|| wrong("replicas_per_service".into(), COUNT_RANGE))?;
    let budgets = Budgets { per_service, teams };
    Ok(DrainSettings { enabled: drains.enabled, budgets })
}

#[cfg(test)]
#[path = "../tests/unit/operators.rs"]
mod tests;

#[cfg(test)]
#[path = "../tests/unit/golden_operators.rs"]
mod golden_tests;

//! The operators' own settings.

mod hcl_file;

use std::path::Path;
use std::time::Duration;

use drain::budget::Budgets;
use sched::rescheduler::Policy;

use crate::settings::{Settings, SettingsError, read};

/// Whether machines can be drained, and what of a team may be down for it.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct DrainSettings {
    /// Without it nothing of drains is read, written or asked for.
    pub enabled: bool,
    /// How much of a service and of a team may be down for it.
    pub budgets: Budgets,
}

/// Checked operators' settings.
#[derive(Debug, Clone, PartialEq)]
pub struct Operators {
    /// How the rescheduler moves replicas.
    pub rescheduler: Policy,
    /// An idle machine is released after this long.
    pub idle: Duration,
    /// A machine that is silent for this long is released; `None`: by the platform's settings.
    pub silent: Option<Duration>,
    /// Headroom for so many tasks of the latest GPU job, if its class is expected to start in
    /// time.
    pub spare_gpu_tasks: u32,
    /// Whether machines can be drained, and how.
    pub drains: DrainSettings,
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

    /// Loads and checks a file.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let (file, text) = read(path)?;
        Self::parse(&file, &text)
    }

    /// Parses and checks settings. `file` names them in errors.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsError> {
        hcl_file::parse(file, text)
    }
}

#[cfg(test)]
#[path = "../tests/unit/operators.rs"]
mod tests;

#[cfg(test)]
#[path = "../tests/unit/golden_operators.rs"]
mod golden_tests;

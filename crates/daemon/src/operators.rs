//! The operators' settings.

mod hcl_file;

use std::path::Path;
use std::time::Duration;

use drain::budget::Budgets;
use sched::rescheduler::Policy;

use crate::settings::{Settings, SettingsError, read};

/// Settings of drains.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct DrainSettings {
    /// Whether machines can be drained. If not, no records of drains are read or written and peers
    /// are not asked about drains.
    pub enabled: bool,
    /// The disruption budgets: how much of a service and of a team a drain may stop at a time.
    pub budgets: Budgets,
}

/// The operators' settings, checked.
#[derive(Debug, Clone, PartialEq)]
pub struct OperatorSettings {
    /// The policy of the rescheduler, which moves replicas of services.
    pub rescheduler: Policy,
    /// How long a machine may be idle before it is released.
    pub idle_timeout: Duration,
    /// How long a machine may be silent before it is released. `None`: derived from the platform's
    /// settings.
    pub silence_timeout: Option<Duration>,
    /// For how many further tasks of the latest GPU job machines are kept free, if the class of the
    /// job has an objective for its waiting time.
    pub spare_gpu_tasks: u32,
    /// The settings of drains.
    pub drains: DrainSettings,
}

impl OperatorSettings {
    /// Checks that each team with a disruption budget exists in the platform's settings.
    pub fn check_teams(&self, file: &str, settings: &Settings) -> Result<(), SettingsError> {
        let is_known = |team: &String| settings.facts.teams.iter().any(|known| known.name == *team);
        match self.drains.budgets.teams.keys().find(|team| !is_known(team)) {
            Some(team) => Err(SettingsError::Field {
                file: file.to_owned(),
                field: format!("drains.team.{team}"),
                reason: "the platform's settings (facts.teams) have no team of this name".into(),
            }),
            None => Ok(()),
        }
    }

    /// Loads and checks a file.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let (file, text) = read(path)?;
        Self::parse(&file, &text)
    }

    /// Parses and checks settings. `file` is the file name for error messages.
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

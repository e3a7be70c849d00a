//! Disruption budgets: how much of a service and of a team may be down when something is
//! stopped by choice.

use std::collections::{BTreeMap, BTreeSet};

use sched::drain_records::{Disruption, ObstacleKind};
use sched::records::Name;

/// How much of a team's work may be down when something of it is stopped by choice.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum TeamBudget {
    /// So many replicas, array tasks and gangs.
    Count(u32),
    /// This share of the replicas that the team's services should have, rounded down.
    Share(f64),
}

/// The budgets that an operator has set.
#[derive(Debug, Clone, PartialEq)]
pub struct Budgets {
    /// How many replicas of one service may be down.
    pub per_service: u32,
    /// The teams that have a budget of their own, by name.
    pub teams: BTreeMap<String, TeamBudget>,
}

impl Default for Budgets {
    fn default() -> Self {
        Self { per_service: 1, teams: BTreeMap::new() }
    }
}

impl Budgets {
    /// How much of a team may be down whose services should have so many replicas; None: as
    /// much as the budgets of its services allow.
    pub fn of_team(&self, team: &str, replicas: u32) -> Option<u32> {
        self.teams.get(team).map(|budget| match budget {
            TeamBudget::Count(count) => *count,
            TeamBudget::Share(share) => (f64::from(replicas) * share + SHARE_SLACK).floor() as u32,
        })
    }
}

/// So that a tenth of ten replicas is one, however the share is rounded.
const SHARE_SLACK: f64 = 1e-9;

/// What is stopped as one: a replica, a task of an array, or a whole gang.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UnitId {
    /// The job.
    pub job: Name,
    /// The task; 0 for a gang.
    pub task: u32,
}

/// A service, and which of its replicas are known to run.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceHealth {
    /// The service.
    pub job: Name,
    /// Its team.
    pub team: String,
    /// How many replicas it should have.
    pub replicas: u32,
    /// Those that are known to run and are to go on.
    pub up: BTreeSet<u32>,
    /// It is still starting for the first time. Replicas that it does not have yet count for
    /// itself, but not for its team: they have not failed.
    pub starting: bool,
}

/// Why something may not be stopped now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The service has as many replicas down as it may.
    #[error("the service has as many replicas down as it may")]
    Service,
    /// The team has as much down as it may.
    #[error("the team has as much down as it may")]
    Team,
}

impl From<Refusal> for ObstacleKind {
    fn from(refusal: Refusal) -> Self {
        match refusal {
            Refusal::Service => Self::ServiceBudget,
            Refusal::Team => Self::TeamBudget,
        }
    }
}

#[derive(Debug, Default)]
struct TeamLedger {
    replicas: u32,
    down: BTreeSet<UnitId>,
    /// How much was stopped by choice and is not seen running again.
    open: usize,
}

/// What is down, by service and team, at one moment. What is decided in one step is debited
/// at once, so that a later decision of the step counts it.
#[derive(Debug)]
pub struct Ledger<'b> {
    budgets: &'b Budgets,
    services: BTreeMap<Name, BTreeSet<u32>>,
    teams: BTreeMap<String, TeamLedger>,
    /// Most entries that a team's record holds.
    capacity: usize,
}

impl<'b> Ledger<'b> {
    /// `open`: what is down by choice by the teams' records, with the teams' names.
    /// `capacity`: how many entries such a record holds.
    pub fn new<'d>(
        budgets: &'b Budgets,
        services: impl IntoIterator<Item = ServiceHealth>,
        open: impl IntoIterator<Item = (&'d str, &'d Disruption)>,
        capacity: usize,
    ) -> Self {
        let mut ledger = Self { budgets, services: BTreeMap::new(), teams: BTreeMap::new(), capacity };
        for service in services {
            ledger.add_service(service);
        }
        for (team, disruption) in open {
            let unit = UnitId { job: disruption.job.clone(), task: disruption.task };
            ledger.debit(team, &unit);
        }
        ledger
    }

    fn add_service(&mut self, service: ServiceHealth) {
        let down: BTreeSet<u32> = (0..service.replicas).filter(|t| !service.up.contains(t)).collect();
        let team = self.teams.entry(service.team).or_default();
        team.replicas += service.replicas;
        if !service.starting {
            team.down.extend(down.iter().map(|task| UnitId { job: service.job.clone(), task: *task }));
        }
        self.services.insert(service.job, down);
    }

    /// Whether a unit may be stopped: with it, no more may be down than the budgets allow,
    /// for whatever reason it is down.
    pub fn check(&self, team: &str, unit: &UnitId) -> Result<(), Refusal> {
        if let Some(down) = self.services.get(&unit.job) {
            let others = down.iter().filter(|task| **task != unit.task).count();
            if others + 1 > self.budgets.per_service as usize {
                return Err(Refusal::Service);
            }
        }
        let (replicas, others, open) = match self.teams.get(team) {
            Some(t) => (t.replicas, t.down.iter().filter(|u| *u != unit).count(), t.open),
            None => (0, 0, 0),
        };
        let limit = self.budgets.of_team(team, replicas).map_or(usize::MAX, |limit| limit as usize);
        if others + 1 > limit || open + 1 > self.capacity {
            return Err(Refusal::Team);
        }
        Ok(())
    }

    /// Counts a unit as down by choice.
    pub fn debit(&mut self, team: &str, unit: &UnitId) {
        if let Some(down) = self.services.get_mut(&unit.job) {
            down.insert(unit.task);
        }
        let team = self.teams.entry(team.to_owned()).or_default();
        team.down.insert(unit.clone());
        team.open += 1;
    }
}

#[cfg(test)]
#[path = "../tests/unit/budget.rs"]
mod tests;

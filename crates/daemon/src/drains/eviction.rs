//! The budget of the rescheduler's evictions, where drains are switched on: both stop replicas
//! by choice, and neither may stop any beyond the budgets because of the other.

use drain::budget::{Ledger, UnitId};
use drain::view::{self, ByRecords};
use sched::drain_records::{Disruption, DisruptionCause, DisruptionRecord};
use sched::replica::Replica;
use sched::rescheduler::Eviction;
use wire::JobKind;

use crate::controller::Controller;
use crate::state::ControllerState;

/// What may be evicted in one round.
pub struct EvictionBudget<'c> {
    ledger: Ledger<'c>,
}

impl<'c> EvictionBudget<'c> {
    /// For the evictions of a round. None: drains are switched off, or some controller knows
    /// none. What it sees running nobody would be told, and entries would stay for good.
    pub fn of_round(
        controller: &'c Controller,
        state: &ControllerState,
        evictions: &[Eviction],
    ) -> Option<Self> {
        let applies = controller.operators.drains.enabled
            && super::paused(controller, &state.records.replica).is_none();
        applies.then(|| Self::new(controller, state, evictions))
    }

    /// For these evictions, by the records.
    fn new(controller: &'c Controller, state: &ControllerState, evictions: &[Eviction]) -> Self {
        let world = &state.records.replica;
        let budgets = &controller.operators.drains.budgets;
        let evicted = |id: &str| evictions.iter().any(|e| e.job == id);
        let concerned = |(id, job): &(&String, &sched::records::JobRecord)| {
            let service = job.spec.as_deref().filter(|s| s.kind == JobKind::Service);
            service.is_some_and(|s| evicted(id) || budgets.teams.contains_key(&s.team))
        };
        let services: Vec<_> = world.open_jobs().filter(concerned).collect();
        let capacity = DisruptionRecord::capacity(controller.state_limits().value_bytes);
        let team_of = |id: &str| super::team_of(controller, id);
        Self { ledger: view::ledger(world, &services, budgets, &ByRecords, team_of, capacity) }
    }

    /// Debits an eviction; None if the budgets do not allow it. Gives the entry for the team's
    /// record, and the team.
    pub fn debit(
        &mut self,
        world: &Replica,
        eviction: &Eviction,
        now_ms: u64,
    ) -> Option<(String, Disruption)> {
        let job = &world.jobs.get(&eviction.job)?.value;
        let team = job.spec.as_ref()?.team.clone();
        let unit = UnitId { job: eviction.job.as_str().into(), task: eviction.task };
        self.ledger.check(&team, &unit).ok()?;
        self.ledger.debit(&team, &unit);
        let attempt = view::attempt_of(job, &unit)?;
        let by = DisruptionCause::Rescheduler;
        Some((team, Disruption { job: unit.job, task: unit.task, attempt, cause: by, since_ms: now_ms }))
    }
}

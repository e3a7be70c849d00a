use super::*;
use sched::drain_records::DisruptionCause;

fn service(job: &str, replicas: u32, up: &[u32], starting: bool) -> ServiceHealth {
    let up = up.iter().copied().collect();
    ServiceHealth { job: job.into(), team: "t".into(), replicas, up, starting }
}

fn unit(job: &str, task: u32) -> UnitId {
    UnitId { job: job.into(), task }
}

fn disruption(job: &str, task: u32) -> Disruption {
    Disruption { job: job.into(), task, attempt: 1, cause: DisruptionCause::Rescheduler, since_ms: 0 }
}

fn budgets(team: Option<TeamBudget>) -> Budgets {
    Budgets { teams: team.map(|b| ("t".into(), b)).into_iter().collect(), ..Budgets::default() }
}

#[test]
fn failed_replicas_count_against_the_service_budget() {
    let budgets = budgets(None);
    let ledger = Ledger::new(&budgets, [service("j-1", 3, &[0, 1], false)], [], 9);
    assert_eq!(ledger.check("t", &unit("j-1", 0)), Err(BudgetExceeded::Service));
    // Stopping the replica that is down already takes no other replica down.
    assert_eq!(ledger.check("t", &unit("j-1", 2)), Ok(()));
}

#[test]
fn a_debited_unit_counts_in_later_checks_of_the_same_step() {
    let budgets = budgets(Some(TeamBudget::Count(2)));
    let services = ["j-1", "j-2", "j-3"].map(|job| service(job, 2, &[0, 1], false));
    let mut ledger = Ledger::new(&budgets, services, [], 9);
    ledger.debit("t", &unit("j-1", 0));
    assert_eq!(ledger.check("t", &unit("j-1", 1)), Err(BudgetExceeded::Service));
    assert_eq!(ledger.check("t", &unit("j-2", 1)), Ok(()));
    ledger.debit("t", &unit("j-2", 1));
    assert_eq!(ledger.check("t", &unit("j-3", 0)), Err(BudgetExceeded::Team));
}

#[test]
fn an_open_disruption_counts_although_its_replacement_is_assigned() {
    let budgets = budgets(Some(TeamBudget::Share(0.5)));
    let services = ["j-1", "j-2"].map(|job| service(job, 1, &[0], false));
    let open = disruption("j-1", 0);
    let ledger = Ledger::new(&budgets, services, [("t", &open)], 9);
    assert_eq!(ledger.check("t", &unit("j-2", 0)), Err(BudgetExceeded::Team));
}

#[test]
fn a_service_that_starts_for_the_first_time_does_not_count_against_its_teams_budget() {
    let budgets = budgets(Some(TeamBudget::Count(1)));
    let new = service("j-1", 4, &[], true);
    let ledger = Ledger::new(&budgets, [new, service("j-2", 2, &[0, 1], false)], [], 9);
    assert_eq!(ledger.check("t", &unit("j-2", 0)), Ok(()));
    assert_eq!(ledger.check("t", &unit("j-1", 0)), Err(BudgetExceeded::Service));
}

#[test]
fn shares_are_rounded_down_and_a_full_record_refuses_disruptions() {
    let ten_percent = budgets(Some(TeamBudget::Share(0.1)));
    assert_eq!(
        (ten_percent.of_team("t", 10), ten_percent.of_team("t", 19), ten_percent.of_team("t", 9)),
        (Some(1), Some(1), Some(0))
    );
    assert_eq!(ten_percent.of_team("u", 10), None);
    let budgets = budgets(None);
    let open = disruption("j-9", 0);
    let ledger = Ledger::new(&budgets, [service("j-1", 2, &[0, 1], false)], [("t", &open)], 1);
    assert_eq!(ledger.check("t", &unit("j-1", 0)), Err(BudgetExceeded::Team));
}

use super::*;
use crate::budget::{Budgets, ServiceHealth};
use crate::site::drain_record;

/// Has capacity for a number of units, whatever their size.
struct UnitSlots(u32);

impl FindCapacity for UnitSlots {
    fn find(&mut self, _unit: &UnitId) -> Option<Vec<Name>> {
        self.0 = self.0.checked_sub(1)?;
        Some(vec!["m-free".into()])
    }
}

fn unit(job: &str, task: u32, work: WorkKind) -> Unit {
    let id = UnitId { job: job.into(), task };
    Unit { id, team: "t".into(), work, stopping: false }
}

fn drain(name: &str, machines: Vec<(&str, Vec<Unit>)>) -> Drain {
    let record = drain_record(machines.len() as u32);
    let machine = |(name, units): (&str, Vec<Unit>)| Machine { name: name.into(), units };
    Drain { name: name.into(), record, machines: machines.into_iter().map(machine).collect() }
}

fn limits(moves: usize, now_ms: u64) -> Limits {
    Limits { moves, capacity_attempt_timeout: Duration::from_secs(60), paused: None, now_ms }
}

/// A ledger of services with two replicas each, all of which are up.
fn ledger<'b>(budgets: &'b Budgets, jobs: &[&str]) -> Ledger<'b> {
    let health = |job: &&str| ServiceHealth {
        job: (*job).into(),
        team: "t".into(),
        replicas: 2,
        up: [0, 1].into(),
        starting: false,
    };
    Ledger::new(budgets, jobs.iter().map(health), [], 99)
}

fn moved_tasks(decision: &Decision) -> Vec<(&str, u32)> {
    decision.moves.iter().map(|m| (&*m.unit.id.job, m.unit.id.task)).collect()
}

fn obstacle_kind(decision: &Decision, drain: &str) -> Option<ObstacleKind> {
    let record = decision.records.iter().find(|(name, _)| name == drain)?;
    record.1.obstacle.as_ref().map(|o| o.kind)
}

#[test]
fn two_drains_share_a_services_budget() {
    let replica = |task| unit("j-1", task, WorkKind::Replica);
    let drains =
        [drain("d-1", vec![("m-1", vec![replica(0)])]), drain("d-2", vec![("m-2", vec![replica(1)])])];
    let budgets = Budgets::default();
    let decision = decide(&drains, &mut ledger(&budgets, &["j-1"]), &mut UnitSlots(9), &limits(9, 1000));
    assert_eq!(moved_tasks(&decision), [("j-1", 0)]);
    assert_eq!(obstacle_kind(&decision, "d-2"), Some(ObstacleKind::ServiceBudget));
}

#[test]
fn nothing_is_stopped_without_capacity_elsewhere() {
    let drains =
        [drain("d", vec![("m", vec![unit("j-1", 0, WorkKind::Replica), unit("j-2", 0, WorkKind::Replica)])])];
    let budgets = Budgets::default();
    let mut ledger = ledger(&budgets, &["j-1", "j-2"]);
    let decision = decide(&drains, &mut ledger, &mut UnitSlots(0), &limits(9, 1000));
    assert!(decision.moves.is_empty());
    assert_eq!(obstacle_kind(&decision, "d"), Some(ObstacleKind::NoCapacity));
    // Capacity is requested from the next step on, but not in the pause between two attempts.
    let mut next_step = drains.clone();
    next_step[0].record = decision.records[0].1.clone();
    let decision = decide(&next_step, &mut ledger, &mut UnitSlots(0), &limits(9, 2000));
    assert_eq!(decision.machines_awaiting_capacity, ["m".into()]);
    next_step[0].record.capacity_search = sched::drain_records::CapacitySearch { failed: 1, since_ms: 9000 };
    let decision = decide(&next_step, &mut ledger, &mut UnitSlots(0), &limits(9, 2000));
    assert!(decision.machines_awaiting_capacity.is_empty());
}

#[test]
fn unsaved_work_is_stopped_only_after_the_patience_and_if_the_operator_wants_it() {
    let mut drains = [drain("d", vec![("m", vec![unit("j-1", 0, WorkKind::Unsaved)])])];
    let budgets = Budgets::default();
    let decide_at = |drains: &[Drain], now| {
        decide(drains, &mut ledger(&budgets, &[]), &mut UnitSlots(9), &limits(9, now))
    };
    let decision = decide_at(&drains, 5000);
    assert!(decision.moves.is_empty() && decision.records[0].1.is_active());
    let decision = decide_at(&drains, 11_000);
    let ended = sched::drain_records::DrainPhase::Closing(sched::drain_records::DrainEnd::WorkLeft);
    assert!(decision.moves.is_empty() && decision.records[0].1.phase == ended);
    drains[0].record.unsaved = UnsavedWork::Stop;
    assert_eq!(moved_tasks(&decide_at(&drains, 11_000)), [("j-1", 0)]);
    assert!(decide_at(&drains, 10_999).moves.is_empty());
}

#[test]
fn a_gang_on_two_machines_is_stopped_once() {
    let gang = || unit("j-1", 0, WorkKind::Checkpointing);
    let drains = [drain("d", vec![("m-1", vec![gang()]), ("m-2", vec![gang()])])];
    let budgets = Budgets::default();
    let decision = decide(&drains, &mut ledger(&budgets, &[]), &mut UnitSlots(9), &limits(9, 1000));
    assert_eq!(moved_tasks(&decision), [("j-1", 0)]);
}

#[test]
fn nothing_is_stopped_while_a_controller_does_not_support_drains() {
    let drains = [drain("d", vec![("m", vec![unit("j-1", 0, WorkKind::Replica)])])];
    let paused = Obstacle {
        kind: ObstacleKind::OldController,
        team: String::new(),
        job: "n-2".into(),
        machine: String::new(),
        since_ms: 0,
    };
    let budgets = Budgets::default();
    let limits = Limits { paused: Some(paused), ..limits(9, 1000) };
    let decision = decide(&drains, &mut ledger(&budgets, &["j-1"]), &mut UnitSlots(9), &limits);
    assert!(decision.moves.is_empty());
    assert_eq!(obstacle_kind(&decision, "d"), Some(ObstacleKind::OldController));
}

#[test]
fn drains_share_the_moves_of_a_step_and_a_drain_without_machines_finishes() {
    let units = |job: &str| (0..4).map(|t| unit(job, t, WorkKind::Checkpointing)).collect();
    let drains = [drain("d-1", vec![("m-1", units("j-1"))]), drain("d-2", vec![("m-2", units("j-2"))])];
    let budgets = Budgets::default();
    let decision = decide(&drains, &mut ledger(&budgets, &[]), &mut UnitSlots(9), &limits(4, 1000));
    assert_eq!(moved_tasks(&decision), [("j-1", 0), ("j-1", 1), ("j-2", 0), ("j-2", 1)]);
    let drains = [drain("d", vec![])];
    let decision = decide(&drains, &mut ledger(&budgets, &[]), &mut UnitSlots(0), &limits(4, 1000));
    let ended = sched::drain_records::DrainPhase::Closing(sched::drain_records::DrainEnd::Finished);
    assert_eq!(decision.records[0].1.phase, ended);
}

//! The texts that `sageloom drain` prints.

use std::fmt::Write;

use drain::budget::Budgets;
use drain::capacity::InventoryCapacity;
use drain::feasibility::Blocker;
use drain::step::{FindCapacity, Machine};
use drain::waves::{self, Method, SolverLimits};
use sched::drain_records::{DrainEnd, DrainPhase, DrainRecord, Obstacle, ObstacleKind};
use sched::drains::Drains;
use sched::placement::Inventory;
use sched::replica::{Replica, Team};

use crate::controller::wall_ms;

/// The most waves that a plan lists.
const MAX_WAVES_SHOWN: usize = 20;

fn elapsed_s(from_ms: u64, now_ms: u64) -> u64 {
    now_ms.saturating_sub(from_ms) / 1000
}

fn end_text(end: DrainEnd) -> &'static str {
    match end {
        DrainEnd::Finished => "finished",
        DrainEnd::ByOperator => "stopped by the operator",
        DrainEnd::NoCapacity => "stopped: no capacity was found for the remaining work",
        DrainEnd::WorkLeft => "stopped: the remaining work cannot save its progress and keeps running",
        DrainEnd::GaveUp => "stopped: an obstacle lasted for too long",
    }
}

fn phase_text(phase: DrainPhase) -> String {
    match phase {
        DrainPhase::Active => "active".into(),
        DrainPhase::Closing(end) => format!("{} (cordons are being lifted)", end_text(end)),
        DrainPhase::Closed(end) => end_text(end).into(),
    }
}

fn obstacle_kind_text(kind: ObstacleKind) -> &'static str {
    match kind {
        ObstacleKind::ServiceBudget => "the service's budget",
        ObstacleKind::TeamBudget => "the team's budget",
        ObstacleKind::NoCapacity => "capacity on other machines",
        ObstacleKind::CannotSave => "work that cannot save its progress",
        ObstacleKind::Stopping => "a task that is stopping",
        ObstacleKind::OldController => "a controller that does not support drains",
        ObstacleKind::ScalingIn => "an empty machine to be released",
    }
}

fn obstacle_text(o: &Obstacle, now_ms: u64) -> String {
    let mut text = obstacle_kind_text(o.kind).to_owned();
    let named = match o.kind {
        ObstacleKind::OldController => [("controller", &o.job), ("", &o.team), ("", &o.machine)],
        _ => [("team", &o.team), ("job", &o.job), ("machine", &o.machine)],
    };
    for (label, name) in named.into_iter().filter(|(_, name)| !name.is_empty()) {
        let _ = write!(text, ", {label} {name}");
    }
    let _ = write!(text, ", since {} s", elapsed_s(o.since_ms, now_ms));
    text
}

/// How many of a drain's machines were released, lost, and are left.
struct MachineCounts {
    released: usize,
    lost: usize,
    left: usize,
}

impl MachineCounts {
    fn of(drains: &Drains, name: &str) -> Self {
        let mut counts = Self { released: 0, lost: 0, left: 0 };
        for (_, cordon) in drains.cordons_of(name) {
            let gone = cordon.value.gone();
            let emptied = gone.iter().filter(|m| cordon.value.emptied().contains(m)).count();
            counts.released += emptied;
            counts.lost += gone.len() - emptied;
            counts.left += cordon.value.remaining().count();
        }
        counts
    }
}

/// A drain in one line, without a line break at the end.
pub fn summary(replica: &Replica, name: &str, record: &DrainRecord, now_ms: u64) -> String {
    let MachineCounts { released, lost, left } = MachineCounts::of(&replica.drains, name);
    let mut text = format!(
        "{name}: {}; of {} machines {released} released, {lost} lost, {left} left; {} moved",
        phase_text(record.phase),
        record.machines,
        record.moved
    );
    if let Some(o) = &record.obstacle {
        let _ = write!(text, "; waits for {}", obstacle_text(o, now_ms));
    }
    text
}

/// The full status of a drain, in several lines.
pub fn status(replica: &Replica, name: &str, record: &DrainRecord, now_ms: u64) -> String {
    let mut text = summary(replica, name, record, now_ms) + "\n";
    let _ = writeln!(text, "started {} s ago", elapsed_s(record.started_ms, now_ms));
    if record.capacity_search.failed > 0 {
        let _ = writeln!(text, "{} attempts to get capacity have failed", record.capacity_search.failed);
    }
    for (_, cordon) in replica.drains.cordons_of(name) {
        let c = &cordon.value;
        for machine in c.machines() {
            let state = match (c.gone().contains(machine), c.emptied().contains(machine)) {
                (true, true) => "released",
                (true, false) => "lost",
                (false, true) => "empty",
                (false, false) if c.active => "cordoned",
                (false, false) => "kept",
            };
            let tasks = replica.assignments(machine).count();
            let _ = writeln!(text, "  {machine}: {state}, {tasks} tasks");
        }
    }
    let open_disruptions = drain::view::open_disruptions_by_team(&replica.drains);
    for (team, d) in open_disruptions {
        let _ = writeln!(
            text,
            "voluntary disruption: team {team}, {}/{}, since {} s",
            d.job,
            d.task,
            elapsed_s(d.since_ms, now_ms)
        );
    }
    text
}

/// The plan of a drain of these machines, and its blockers.
pub fn plan(replica: &Replica, machines: &[Machine], budgets: &Budgets, blockers: &[Blocker]) -> String {
    let problem = waves::problem(replica, machines, budgets);
    let (order, waves, method) = waves::plan(&problem, &SolverLimits::PLAN);
    let after = waves::emptied_after(&problem, &waves);
    let mut text = String::new();
    let _ = writeln!(
        text,
        "{} machines, {} to move in {} waves (order by {})",
        machines.len(),
        problem.units.len(),
        waves.len(),
        match method {
            Method::Greedy => "number of units per price",
            Method::Solver => "a linear program",
        }
    );
    for wave in 0..=waves.len().min(MAX_WAVES_SHOWN) {
        let emptied: Vec<&str> =
            order.iter().filter(|m| after[**m] == wave).map(|m| &*machines[*m].name).collect();
        let moved = wave.checked_sub(1).and_then(|w| waves.get(w)).map_or(0, Vec::len);
        if moved + emptied.len() > 0 {
            let when = if wave == 0 { "at once".to_owned() } else { format!("wave {wave}") };
            let _ =
                writeln!(text, "  {when}: {moved} moved, empty after it: {}", sample_names_or_none(&emptied));
        }
    }
    if waves.len() > MAX_WAVES_SHOWN {
        let _ = writeln!(text, "  and {} more waves", waves.len() - MAX_WAVES_SHOWN);
    }
    let missing = units_without_capacity(replica, machines);
    if missing > 0 {
        let _ = writeln!(
            text,
            "{missing} have no capacity on other machines now: machines will be rented for them"
        );
    }
    for blocker in blockers {
        let _ = writeln!(text, "could never finish: {blocker}");
    }
    text
}

fn sample_names_or_none(list: &[&str]) -> String {
    if list.is_empty() { "none".into() } else { crate::load::sample_names(list) }
}

/// The number of units to be moved that do not fit on the machines that are not drained.
fn units_without_capacity(replica: &Replica, machines: &[Machine]) -> usize {
    let drained: Vec<&str> = machines.iter().map(|m| &*m.name).collect();
    let mut inventory = Inventory::new(replica, |id| !drained.contains(&id));
    let teams: Vec<Team> = unlimited_teams(replica);
    let mut capacity = InventoryCapacity {
        records: replica,
        inventory: &mut inventory,
        teams: &teams,
        gang_wait_s: 0.0,
        now_ms: wall_ms(),
    };
    let mut units: Vec<_> = machines.iter().flat_map(|m| &m.units).filter(|u| !u.stopping).collect();
    units.sort_by(|a, b| a.id.cmp(&b.id));
    units.dedup_by(|a, b| a.id == b.id);
    units.into_iter().filter(|u| capacity.find(&u.id).is_none()).count()
}

/// All teams without quotas: a unit that is moved takes no more of its team's quota than before.
fn unlimited_teams(replica: &Replica) -> Vec<Team> {
    let names: std::collections::BTreeSet<&str> =
        replica.open_jobs().filter_map(|(_, job)| job.spec.as_deref()).map(|s| s.team.as_str()).collect();
    let limit = f64::INFINITY;
    let team =
        |name: &str| Team { name: name.into(), cpus: 0.0, cpus_max: limit, gpus: 0.0, gpus_max: limit };
    names.into_iter().map(team).collect()
}

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

/// Most waves that a plan shows one by one.
const MAX_WAVES_SHOWN: usize = 20;

fn elapsed_s(from_ms: u64, now_ms: u64) -> u64 {
    now_ms.saturating_sub(from_ms) / 1000
}

fn end_text(end: DrainEnd) -> &'static str {
    match end {
        DrainEnd::Finished => "finished",
        DrainEnd::ByOperator => "stopped by its operator",
        DrainEnd::NoCapacity => "stopped: no room was found for what is left",
        DrainEnd::WorkLeft => "stopped: what is left cannot save its progress and runs on",
        DrainEnd::GaveUp => "stopped: an obstacle stood for too long",
    }
}

fn phase_text(phase: DrainPhase) -> String {
    match phase {
        DrainPhase::Active => "active".into(),
        DrainPhase::Closing(how) => format!("{} (cordons are being lifted)", end_text(how)),
        DrainPhase::Closed(how) => end_text(how).into(),
    }
}

fn obstacle_kind_text(kind: ObstacleKind) -> &'static str {
    match kind {
        ObstacleKind::ServiceBudget => "the service's budget",
        ObstacleKind::TeamBudget => "the team's budget",
        ObstacleKind::NoCapacity => "room elsewhere",
        ObstacleKind::CannotSave => "work that cannot save its progress",
        ObstacleKind::Stopping => "what was told to stop",
        ObstacleKind::OldController => "a controller that knows no drains",
        ObstacleKind::ScalingIn => "an empty machine to be given back",
    }
}

fn obstacle_text(o: &Obstacle, now_ms: u64) -> String {
    let mut text = obstacle_kind_text(o.kind).to_owned();
    let named = match o.kind {
        ObstacleKind::OldController => [("controller", &o.job), ("", &o.team), ("", &o.machine)],
        _ => [("team", &o.team), ("job", &o.job), ("machine", &o.machine)],
    };
    for (what, name) in named.into_iter().filter(|(_, name)| !name.is_empty()) {
        let _ = write!(text, ", {what} {name}");
    }
    let _ = write!(text, ", since {} s", elapsed_s(o.since_ms, now_ms));
    text
}

/// How many of a drain's machines were released, were lost, and are left.
struct MachineCounts {
    given_back: usize,
    lost: usize,
    left: usize,
}

impl MachineCounts {
    fn of(drains: &Drains, name: &str) -> Self {
        let mut of = Self { given_back: 0, lost: 0, left: 0 };
        for (_, cordon) in drains.cordons_of(name) {
            let gone = cordon.value.gone();
            let emptied = gone.iter().filter(|m| cordon.value.emptied().contains(m)).count();
            of.given_back += emptied;
            of.lost += gone.len() - emptied;
            of.left += cordon.value.remaining().count();
        }
        of
    }
}

/// A drain in one line, without its end.
pub fn summary(replica: &Replica, name: &str, record: &DrainRecord, now_ms: u64) -> String {
    let MachineCounts { given_back, lost, left } = MachineCounts::of(&replica.drains, name);
    let mut text = format!(
        "{name}: {}; of {} machines {given_back} given back, {lost} lost, {left} left; {} moved",
        phase_text(record.phase),
        record.machines,
        record.moved
    );
    if let Some(o) = &record.obstacle {
        let _ = write!(text, "; waits for {}", obstacle_text(o, now_ms));
    }
    text
}

/// All about a drain, in lines.
pub fn status(replica: &Replica, name: &str, record: &DrainRecord, now_ms: u64) -> String {
    let mut text = summary(replica, name, record, now_ms) + "\n";
    let _ = writeln!(text, "started {} s ago", elapsed_s(record.started_ms, now_ms));
    if record.capacity_search.failed > 0 {
        let _ = writeln!(text, "{} attempts to get room have failed", record.capacity_search.failed);
    }
    for (_, cordon) in replica.drains.cordons_of(name) {
        let c = &cordon.value;
        for machine in c.machines() {
            let what = match (c.gone().contains(machine), c.emptied().contains(machine)) {
                (true, true) => "given back",
                (true, false) => "lost",
                (false, true) => "empty",
                (false, false) if c.active => "cordoned",
                (false, false) => "kept",
            };
            let tasks = replica.assignments(machine).count();
            let _ = writeln!(text, "  {machine}: {what}, {tasks} tasks");
        }
    }
    let by_choice = drain::view::open_disruptions_by_team(&replica.drains);
    for (team, d) in by_choice {
        let _ = writeln!(
            text,
            "down by choice: team {team}, {}/{}, since {} s",
            d.job,
            d.task,
            elapsed_s(d.since_ms, now_ms)
        );
    }
    text
}

/// What a drain of these machines would do, and what stands in its way.
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
            Method::Greedy => "what is on the machines for their price",
            Method::Solver => "a linear programme",
        }
    );
    for wave in 0..=waves.len().min(MAX_WAVES_SHOWN) {
        let emptied: Vec<&str> =
            order.iter().filter(|m| after[**m] == wave).map(|m| &*machines[*m].name).collect();
        let moved = wave.checked_sub(1).and_then(|w| waves.get(w)).map_or(0, Vec::len);
        if moved + emptied.len() > 0 {
            let when = if wave == 0 { "at once".to_owned() } else { format!("wave {wave}") };
            let _ = writeln!(text, "  {when}: {moved} moved, empty then: {}", names(&emptied));
        }
    }
    if waves.len() > MAX_WAVES_SHOWN {
        let _ = writeln!(text, "  and {} waves more", waves.len() - MAX_WAVES_SHOWN);
    }
    let missing = units_without_capacity(replica, machines);
    if missing > 0 {
        let _ = writeln!(text, "{missing} find no room now: machines will be rented for them");
    }
    for blocker in blockers {
        let _ = writeln!(text, "could never finish: {blocker}");
    }
    text
}

fn names(list: &[&str]) -> String {
    if list.is_empty() { "none".into() } else { crate::load::sample_names(list) }
}

/// The number of units to be moved that do not fit on the machines that stay.
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

/// The teams without limits: what is moved takes no more of its team's quota than before.
fn unlimited_teams(replica: &Replica) -> Vec<Team> {
    let names: std::collections::BTreeSet<&str> =
        replica.open_jobs().filter_map(|(_, job)| job.spec.as_deref()).map(|s| s.team.as_str()).collect();
    let limit = f64::INFINITY;
    let team =
        |name: &str| Team { name: name.into(), cpus: 0.0, cpus_max: limit, gpus: 0.0, gpus_max: limit };
    names.into_iter().map(team).collect()
}

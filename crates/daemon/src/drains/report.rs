//! What operators are told of drains.

use std::fmt::Write;

use drain::budget::Budgets;
use drain::feasibility::Blocker;
use drain::room::InventoryRoom;
use drain::step::{FindRoom, Machine};
use drain::waves::{self, Effort, Method};
use sched::drain_records::{DrainEnd, DrainPhase, DrainRecord, Obstacle, ObstacleKind};
use sched::drains::Drains;
use sched::placement::Inventory;
use sched::replica::{Replica, Team};

use crate::controller::wall_ms;

/// Most waves that a plan shows one by one.
const WAVES_SHOWN: usize = 20;

fn seconds(from_ms: u64, now_ms: u64) -> u64 {
    now_ms.saturating_sub(from_ms) / 1000
}

fn end(end: DrainEnd) -> &'static str {
    match end {
        DrainEnd::Finished => "finished",
        DrainEnd::ByOperator => "stopped by its operator",
        DrainEnd::NoCapacity => "stopped: no room was found for what is left",
        DrainEnd::WorkLeft => "stopped: what is left cannot save its progress and runs on",
        DrainEnd::GaveUp => "stopped: an obstacle stood for too long",
    }
}

fn phase(phase: DrainPhase) -> String {
    match phase {
        DrainPhase::Active => "active".into(),
        DrainPhase::Closing(how) => format!("{} (cordons are being lifted)", end(how)),
        DrainPhase::Closed(how) => end(how).into(),
    }
}

fn kind(kind: ObstacleKind) -> &'static str {
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

fn obstacle(o: &Obstacle, now_ms: u64) -> String {
    let mut text = kind(o.kind).to_owned();
    let named = match o.kind {
        ObstacleKind::OldController => [("controller", &o.job), ("", &o.team), ("", &o.machine)],
        _ => [("team", &o.team), ("job", &o.job), ("machine", &o.machine)],
    };
    for (what, name) in named.into_iter().filter(|(_, name)| !name.is_empty()) {
        let _ = write!(text, ", {what} {name}");
    }
    let _ = write!(text, ", since {} s", seconds(o.since_ms, now_ms));
    text
}

/// How many of a drain's machines there are of each kind.
struct Machines {
    given_back: usize,
    lost: usize,
    left: usize,
}

impl Machines {
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

/// A drain in one line.
pub fn line(world: &Replica, name: &str, record: &DrainRecord, now_ms: u64) -> String {
    let Machines { given_back, lost, left } = Machines::of(&world.drains, name);
    let mut text = format!(
        "{name}: {}; of {} machines {given_back} given back, {lost} lost, {left} left; {} moved",
        phase(record.phase),
        record.machines,
        record.moved
    );
    if let Some(o) = &record.obstacle {
        let _ = write!(text, "; waits for {}", obstacle(o, now_ms));
    }
    text
}

/// All about a drain.
pub fn status(world: &Replica, name: &str, record: &DrainRecord, now_ms: u64) -> String {
    let mut text = line(world, name, record, now_ms) + "\n";
    let _ = writeln!(text, "started {} s ago", seconds(record.started_ms, now_ms));
    if record.capacity_search.failed > 0 {
        let _ = writeln!(text, "{} attempts to get room have failed", record.capacity_search.failed);
    }
    for (_, cordon) in world.drains.cordons_of(name) {
        let c = &cordon.value;
        for machine in c.machines() {
            let what = match (c.gone().contains(machine), c.emptied().contains(machine)) {
                (true, true) => "given back",
                (true, false) => "lost",
                (false, true) => "empty",
                (false, false) if c.active => "cordoned",
                (false, false) => "kept",
            };
            let tasks = world.assignments(machine).count();
            let _ = writeln!(text, "  {machine}: {what}, {tasks} tasks");
        }
    }
    let by_choice = drain::view::all_open(&world.drains);
    for (team, d) in by_choice {
        let _ = writeln!(
            text,
            "down by choice: team {team}, {}/{}, since {} s",
            d.job,
            d.task,
            seconds(d.since_ms, now_ms)
        );
    }
    text
}

/// What a drain of these machines would do, and what stands in its way.
pub fn plan(world: &Replica, machines: &[Machine], budgets: &Budgets, blockers: &[Blocker]) -> String {
    let problem = waves::problem(world, machines, budgets);
    let (order, waves, method) = waves::plan(&problem, &Effort::PLAN);
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
    for wave in 0..=waves.len().min(WAVES_SHOWN) {
        let emptied: Vec<&str> =
            order.iter().filter(|m| after[**m] == wave).map(|m| &*machines[*m].name).collect();
        let moved = wave.checked_sub(1).and_then(|w| waves.get(w)).map_or(0, Vec::len);
        if moved + emptied.len() > 0 {
            let when = if wave == 0 { "at once".to_owned() } else { format!("wave {wave}") };
            let _ = writeln!(text, "  {when}: {moved} moved, empty then: {}", names(&emptied));
        }
    }
    if waves.len() > WAVES_SHOWN {
        let _ = writeln!(text, "  and {} waves more", waves.len() - WAVES_SHOWN);
    }
    let missing = without_room(world, machines);
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

/// How many of what is to be moved has no room on the machines that stay.
fn without_room(world: &Replica, machines: &[Machine]) -> usize {
    let drained: Vec<&str> = machines.iter().map(|m| &*m.name).collect();
    let mut inventory = Inventory::new(world, |id| !drained.contains(&id));
    let teams: Vec<Team> = unlimited_teams(world);
    let mut room = InventoryRoom {
        world,
        inventory: &mut inventory,
        teams: &teams,
        gang_wait_s: 0.0,
        now_ms: wall_ms(),
    };
    let mut units: Vec<_> = machines.iter().flat_map(|m| &m.units).filter(|u| !u.stopping).collect();
    units.sort_by(|a, b| a.id.cmp(&b.id));
    units.dedup_by(|a, b| a.id == b.id);
    units.into_iter().filter(|u| room.find(&u.id).is_none()).count()
}

/// What is moved takes no more of its team's limit than before.
fn unlimited_teams(world: &Replica) -> Vec<Team> {
    let names: std::collections::BTreeSet<&str> =
        world.open_jobs().filter_map(|(_, job)| job.spec.as_deref()).map(|s| s.team.as_str()).collect();
    let limit = f64::INFINITY;
    let team =
        |name: &str| Team { name: name.into(), cpus: 0.0, cpus_max: limit, gpus: 0.0, gpus_max: limit };
    names.into_iter().map(team).collect()
}

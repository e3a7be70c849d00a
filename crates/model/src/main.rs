//! Explores one size, or all, and prints the shortest way to a broken rule.

use std::process::ExitCode;

use clap::{Parser, ValueEnum};
use model::budget;
use model::explore::{Limits, explore};
use model::mechanism::{Mechanism, Without};
use model::size::{ALL, Size};
use model::steps::World;

#[derive(Parser)]
#[command(about = "Explores a model of what keeps the rules", version)]
struct Arguments {
    /// The size to explore; all of them without it.
    #[arg(long, value_parser = size)]
    size: Option<Size>,
    /// A mechanism to take away; may be repeated.
    #[arg(long, value_enum)]
    without: Vec<Mechanism>,
    /// Threads.
    #[arg(long, default_value_t = 3)]
    threads: usize,
    /// Explore the disruption budget's world instead, with or without one of its mechanisms.
    #[arg(long, num_args = 0..=1, default_missing_value = "none", value_name = "WITHOUT")]
    budget: Option<String>,
    /// Most states to explore for each size.
    #[arg(long, default_value_t = 60_000_000)]
    states: usize,
}

fn size(name: &str) -> Result<Size, String> {
    let names: Vec<&str> = ALL.iter().map(|s| s.name).collect();
    Size::named(name).ok_or_else(|| format!("one of {}", names.join(", ")))
}

/// The budget's world. `without`: the name of a mechanism, or "none".
fn explore_budget(without: &str, limits: Limits) -> ExitCode {
    let without = budget::Mechanism::from_str(without, true).ok();
    let outcome = explore(budget::Budget::whole(without), limits);
    let whole = if outcome.whole { "" } else { ", not all of them" };
    println!("budget: {} states{whole}, depth {}, {:?}", outcome.states, outcome.depth, outcome.took);
    let Some((rule, way)) = outcome.broken else { return ExitCode::SUCCESS };
    println!("{rule:?} is broken after {} steps:", way.len());
    way.iter().enumerate().for_each(|(n, (step, _))| println!("{:4}. {step}", n + 1));
    ExitCode::from(2)
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    if let Some(without) = &arguments.budget {
        return explore_budget(without, Limits { threads: arguments.threads, states: arguments.states });
    }
    let without = arguments.without.iter().fold(Without::default(), |all, m| all.and(*m));
    let sizes = arguments.size.map_or(ALL.to_vec(), |s| vec![s]);
    let limits = Limits { threads: arguments.threads, states: arguments.states };
    let mut code = ExitCode::SUCCESS;
    for size in sizes {
        let outcome = explore(World { size, without }, limits);
        let whole = if outcome.whole { "" } else { ", not all of them" };
        let (states, depth, took) = (outcome.states, outcome.depth, outcome.took.as_secs_f64());
        println!("{}: {states} states{whole}, depth {depth}, {took:.1} s", size.name);
        if let Some((rule, way)) = outcome.broken {
            code = ExitCode::from(2);
            println!("{rule:?} is broken after {} steps:", way.len());
            for (n, (step, state)) in way.iter().enumerate() {
                let told = state.told.map_or(String::new(), |t| format!("  [told {t} ticks ago]"));
                println!("{:4}. {step}{told}", n + 1);
            }
        }
    }
    code
}

//! Explores one size, or all, and prints the shortest way to a broken rule.

use std::process::ExitCode;

use clap::Parser;
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
    /// Most states to explore for each size.
    #[arg(long, default_value_t = 60_000_000)]
    states: usize,
}

fn size(name: &str) -> Result<Size, String> {
    let names: Vec<&str> = ALL.iter().map(|s| s.name).collect();
    Size::named(name).ok_or_else(|| format!("one of {}", names.join(", ")))
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
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

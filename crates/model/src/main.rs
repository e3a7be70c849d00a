//! Explores one size, or all of them, and prints the shortest trace to a violated invariant.

use std::process::ExitCode;

use clap::{Parser, ValueEnum};
use model::budget;
use model::explore::{Limits, explore};
use model::mechanism::{Mechanism, Mechanisms};
use model::size::{ALL_SIZES, Size};
use model::steps::ProtocolModel;

#[derive(Parser)]
#[command(about = "Checks a model of the protocol between controllers and workers", version)]
struct Arguments {
    /// The size to explore; all sizes if not given.
    #[arg(long, value_parser = parse_size)]
    size: Option<Size>,
    /// A mechanism to remove; may be repeated.
    #[arg(long, value_enum)]
    without: Vec<Mechanism>,
    /// Number of threads.
    #[arg(long, default_value_t = 3)]
    threads: usize,
    /// Explore the model of the disruption budget instead, with or without one of its mechanisms.
    #[arg(long, num_args = 0..=1, default_missing_value = "none", value_name = "WITHOUT")]
    budget: Option<String>,
    /// Number of states after which the exploration of a size stops.
    #[arg(long, default_value_t = 60_000_000)]
    states: usize,
}

fn parse_size(name: &str) -> Result<Size, String> {
    let names: Vec<&str> = ALL_SIZES.iter().map(|s| s.name).collect();
    Size::by_name(name).ok_or_else(|| format!("expected one of {}", names.join(", ")))
}

/// Explores the model of the disruption budget. `removed` is the name of a mechanism, or "none".
fn explore_budget(removed: &str, limits: Limits) -> ExitCode {
    let removed = budget::Mechanism::from_str(removed, true).ok();
    let outcome = explore(budget::BudgetModel::full(removed), limits);
    let note = if outcome.within_limit { "" } else { " (stopped at the limit)" };
    println!("budget: {} states{note}, depth {}, {:?}", outcome.states, outcome.depth, outcome.duration);
    let Some((invariant, trace)) = outcome.violation else { return ExitCode::SUCCESS };
    println!("{invariant:?} is violated after {} steps:", trace.len());
    trace.iter().enumerate().for_each(|(n, (step, _))| println!("{:4}. {step}", n + 1));
    ExitCode::from(2)
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    if let Some(removed) = &arguments.budget {
        return explore_budget(removed, Limits { threads: arguments.threads, states: arguments.states });
    }
    let mechanisms = arguments.without.iter().fold(Mechanisms::default(), |all, m| all.without(*m));
    let sizes = arguments.size.map_or(ALL_SIZES.to_vec(), |s| vec![s]);
    let limits = Limits { threads: arguments.threads, states: arguments.states };
    let mut code = ExitCode::SUCCESS;
    for size in sizes {
        let outcome = explore(ProtocolModel { size, mechanisms }, limits);
        let note = if outcome.within_limit { "" } else { " (stopped at the limit)" };
        let (states, depth, seconds) = (outcome.states, outcome.depth, outcome.duration.as_secs_f64());
        println!("{}: {states} states{note}, depth {depth}, {seconds:.1} s", size.name);
        if let Some((invariant, trace)) = outcome.violation {
            code = ExitCode::from(2);
            println!("{invariant:?} is violated after {} steps:", trace.len());
            for (n, (step, state)) in trace.iter().enumerate() {
                let cancel_ack = state
                    .cancel_ack_age
                    .map_or(String::new(), |t| format!("  [cancellation confirmed {t} ticks ago]"));
                println!("{:4}. {step}{cancel_ack}", n + 1);
            }
        }
    }
    code
}

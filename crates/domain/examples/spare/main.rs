//! Measures what the spare policy costs and keeps: buffer cost at rest, moves and requests in time
//! for both operators, beside splits without moves of the same total.
//!
//! `cargo run --release -p rosemaryscale-domain --example spare [seed]`

mod demand;
mod model;
mod operator;

use demand::Demand;
use model::{Figures, Model, Planner};
use operator::{KALAHARI, KARAMANLIS, Operator};
use rosemaryscale_domain::spare::SpareSettings;

const DEFAULT_SEED: u64 = 20_261_204;
const RUNS: u64 = 3;
const TOTALS_PERCENT: [u32; 4] = [80, 100, 120, 150];

fn main() {
    let argument = std::env::args().nth(1);
    let seed = argument.and_then(|text| text.parse().ok());
    let seed = seed.unwrap_or(DEFAULT_SEED);
    println!("seeds {seed} to {}, one hour each", seed + RUNS - 1);
    for operator in [KALAHARI, KARAMANLIS] {
        for percent in TOTALS_PERCENT {
            compare(&operator, percent, seed);
        }
    }
}

fn compare(operator: &Operator, percent: u32, seed: u64) {
    let total = operator.total() * percent / 100;
    println!("\n{}, {total} instances", operator.name);
    println!("  setting                          idle %  idle at rest %  moves/h  in time %");
    let line = |label: &str, planner: Planner| {
        let mut sum = Figures::default();
        for run in 0..RUNS {
            let demand = Demand::new(operator, seed + run);
            sum.add(&Model::new(operator, total, planner).run(&demand));
        }
        println!(
            "  {label:<32} {:>6.1}  {:>14.1}  {:>7.0}  {:>9.2}",
            sum.idle_percent(),
            sum.idle_at_rest_percent(),
            sum.moves_per_hour(),
            sum.in_time_percent()
        );
    };
    line("split as today, no moves", Planner::Today);
    line("even split, no moves", Planner::Even);
    for (hold_ms, window_ms, headroom_ppm) in [
        (500, 1_000, 250_000),
        (500, 3_000, 250_000),
        (500, 10_000, 250_000),
        (500, 30_000, 250_000),
        (500, 3_000, 0),
        (500, 3_000, 500_000),
        (0, 3_000, 250_000),
        (1_500, 3_000, 250_000),
    ] {
        let settings = SpareSettings {
            borrow_hold_ms: hold_ms,
            rest_window_ms: window_ms,
            headroom_ppm,
            ..SpareSettings::DEFAULT
        };
        let label = format!(
            "hold {hold_ms} rest {window_ms} headroom {}%",
            headroom_ppm / 10_000
        );
        line(&label, Planner::Policy(settings));
    }
    for (moves_max, refill_ms) in [(2, 1_000), (8, 1_000), (8, 500)] {
        let settings = SpareSettings {
            moves_max,
            refill_ms,
            ..SpareSettings::DEFAULT
        };
        let label = format!("default, {moves_max} at once, refill {refill_ms}");
        line(&label, Planner::Policy(settings));
    }
}

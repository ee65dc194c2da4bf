//! Measures the cost and benefit of the spare policy for both operators: idle instances outside bursts,
//! moves, and requests completed in time, compared with fixed splits of the same total.
//!
//! `cargo run --release -p rosemaryscale-domain --example spare [seed]`

mod demand;
mod model;
mod operator;

use demand::Demand;
use model::{Allocation, Measurements, Model};
use operator::{KALAHARI, KARAMANLIS, Operator};
use rosemaryscale_domain::spare::SpareSettings;

const DEFAULT_SEED: u64 = 20_261_204;
const RUNS: u64 = 3;
const TOTAL_PERCENTAGES: [u32; 4] = [80, 100, 120, 150];

fn main() {
    let argument = std::env::args().nth(1);
    let seed = argument.and_then(|text| text.parse().ok());
    let seed = seed.unwrap_or(DEFAULT_SEED);
    println!("seeds {seed} to {}, one hour each", seed + RUNS - 1);
    for operator in [KALAHARI, KARAMANLIS] {
        for percent in TOTAL_PERCENTAGES {
            compare(&operator, percent, seed);
        }
    }
}

fn compare(operator: &Operator, percent: u32, seed: u64) {
    let total = operator.total() * percent / 100;
    println!("\n{}, {total} instances", operator.name);
    println!(
        "  setting                              idle %  idle between bursts %  moves/h  in time %"
    );
    let print_row = |label: &str, allocation: Allocation| {
        let mut sum = Measurements::default();
        for run in 0..RUNS {
            let demand = Demand::new(operator, seed + run);
            sum.add(&Model::new(operator, total, allocation).run(&demand));
        }
        println!(
            "  {label:<36} {:>6.1}  {:>21.1}  {:>7.0}  {:>9.2}",
            sum.idle_percent(),
            sum.idle_between_bursts_percent(),
            sum.moves_per_hour(),
            sum.in_time_percent()
        );
    };
    print_row("current sizes, no moves", Allocation::CurrentSizes);
    print_row("equal sizes, no moves", Allocation::Even);
    for (delay_ms, window_ms, headroom_ppm) in [
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
            borrow_delay_ms: delay_ms,
            release_window_ms: window_ms,
            headroom_ppm,
            ..SpareSettings::DEFAULT
        };
        let label = format!(
            "delay {delay_ms} window {window_ms} headroom {}%",
            headroom_ppm / 10_000
        );
        print_row(&label, Allocation::Policy(settings));
    }
    for (max_concurrent_moves, refill_interval_ms) in [(2, 1_000), (8, 1_000), (8, 500)] {
        let settings = SpareSettings {
            max_concurrent_moves,
            refill_interval_ms,
            ..SpareSettings::DEFAULT
        };
        let label = format!("default, {max_concurrent_moves} at once, refill {refill_interval_ms}");
        print_row(&label, Allocation::Policy(settings));
    }
}

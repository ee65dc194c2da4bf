//! Measures how a flood of one class affects the others: the number of their requests answered in
//! time with the flood, divided by the number without it. A FIFO queue is the baseline for
//! comparison.
//!
//! `cargo run --release -p rosemaryscale-domain --example flood [seed]`

mod fifo;
mod model;
mod work;

use fifo::Fifo;
use model::{DispatcherQueue, Model, RequestQueue, RunResult};
use work::{BULK, Flood, NORMAL, URGENT, Workload};

const DEFAULT_SEED: u64 = 20_261_204;

/// One row of the result table.
struct Scenario {
    /// Number of usable slots in each phase of the run.
    slots: &'static [u32],
    /// Factor of the steady load.
    steady: f64,
    flood: Flood,
}

const fn scenario(slots: &'static [u32], steady: f64, class: usize, service_ms: u64) -> Scenario {
    let flood = Flood { class, service_ms };
    Scenario {
        slots,
        steady,
        flood,
    }
}

const SCENARIOS: [Scenario; 20] = [
    scenario(&[72], 1.0, BULK, 800),
    scenario(&[72], 1.0, BULK, 20),
    scenario(&[72], 1.0, BULK, 4_000),
    scenario(&[72], 1.0, URGENT, 20),
    scenario(&[72], 1.0, URGENT, 400),
    scenario(&[72], 1.0, NORMAL, 50),
    scenario(&[72], 2.0, BULK, 800),
    scenario(&[72], 2.0, BULK, 4_000),
    scenario(&[72], 2.5, BULK, 4_000),
    scenario(&[72], 2.0, URGENT, 20),
    scenario(&[8], 1.0, BULK, 800),
    scenario(&[8], 2.0, BULK, 800),
    scenario(&[8], 1.0, URGENT, 20),
    scenario(&[72, 16, 40], 1.0, BULK, 800),
    scenario(&[72, 16, 40], 1.0, URGENT, 20),
    scenario(&[2], 1.0, BULK, 800),
    scenario(&[2], 1.0, BULK, 4_000),
    scenario(&[2], 1.0, URGENT, 20),
    scenario(&[1], 1.0, BULK, 800),
    scenario(&[1], 1.0, URGENT, 20),
];

fn main() {
    let argument = std::env::args().nth(1);
    let seed = argument.and_then(|text| text.parse().ok());
    let seed = seed.unwrap_or(DEFAULT_SEED);
    println!("seed {seed}; ratio = other classes answered in time with flood / without flood");
    println!(
        "{:<17}{:>13}{:>8}{:>10}{:>8}{:>8}{:>13}{:>12}{:>12}",
        "flood",
        "slots",
        "steady",
        "no flood",
        "fair",
        "fifo",
        "worst class",
        "same class",
        "flood done"
    );
    for scenario in &SCENARIOS {
        report(scenario, seed);
    }
}

fn report(scenario: &Scenario, seed: u64) {
    let run = |flooded: bool, fair: bool| {
        let flood = flooded.then_some(scenario.flood);
        let workload = Workload::new(scenario, flood, seed);
        if fair {
            run_model(DispatcherQueue::new(work::policy()), &workload)
        } else {
            run_model(Fifo::new(work::QUEUE_LIMIT), &workload)
        }
    };
    let (baseline, flooded) = (run(false, true), run(true, true));
    let (baseline_fifo, flooded_fifo) = (run(false, false), run(true, false));
    let class = scenario.flood.class;
    let others = |result: &RunResult| {
        let counts = result.in_time.iter().enumerate();
        let others = counts.filter(|(index, _)| *index != class);
        others.map(|(_, count)| *count).sum::<u64>()
    };
    let worst_ratio = (0..work::CLASSES)
        .filter(|index| *index != class)
        .map(|index| ratio(flooded.in_time[index], baseline.in_time[index]))
        .fold(f64::INFINITY, f64::min);
    println!(
        "{:<17}{:>13}{:>8}{:>10.4}{:>8.4}{:>8.4}{:>13.4}{:>12.4}{:>12}",
        format!("{} {} ms", work::NAMES[class], scenario.flood.service_ms),
        format!("{:?}", scenario.slots),
        scenario.steady,
        ratio(others(&baseline), baseline.offered_except(class)),
        ratio(others(&flooded), others(&baseline)),
        ratio(others(&flooded_fifo), others(&baseline_fifo)),
        worst_ratio,
        ratio(flooded.in_time[class], baseline.in_time[class]),
        flooded.flood_in_time,
    );
}

fn run_model(queue: impl RequestQueue, workload: &Workload) -> RunResult {
    Model::new(queue, workload).run()
}

fn ratio(part: u64, whole: u64) -> f64 {
    let [part, whole] = [part, whole].map(|count| u32::try_from(count).unwrap_or(u32::MAX));
    f64::from(part) / f64::from(whole.max(1))
}

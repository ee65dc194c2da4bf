//! Simulates placement at the target size (970 workers, 1,400 accelerators, 21 teams) with
//! inaccurate declared sizes, delayed reports, worker restarts, a faulty worker, jobs that always
//! fail, bursts of submissions and a mass cancellation, and compares the planner with first-fit
//! FIFO scheduling.
//!
//! `cargo run --release -p rosemaryscale-domain --example placement [seed]`

#![allow(unreachable_pub, reason = "the modules of an example are private")]

mod fifo;
mod model;
mod work;
mod worker;

use model::{Measurements, Simulation};
use rosemaryscale_domain::Millis;
use rosemaryscale_domain::placement::{Planner, URGENT_START_MS};
use work::{GROUPS, PlannedJob, RUN_MS};

const DEFAULT_SEED: u64 = 20_261_204;

fn main() {
    let argument = std::env::args().nth(1);
    let seed = argument.and_then(|text| text.parse().ok());
    let seed = seed.unwrap_or(DEFAULT_SEED);
    let jobs = work::jobs(seed);
    println!("seed {seed}, {} jobs, {} s", jobs.len(), RUN_MS / 1_000);
    let planner = Simulation::new(Planner::new(1, Millis::ZERO), &jobs, seed).run();
    print("planner", &planner, &jobs);
    let fifo = Simulation::new(fifo::Fifo::default(), &jobs, seed).run();
    print("first-fit FIFO", &fifo, &jobs);
}

fn print(name: &str, result: &Measurements, jobs: &[PlannedJob]) {
    println!("\n{name}: seconds from submission to first start");
    println!(
        "{:<18}{:>8}{:>8}{:>10}{:>10}{:>10}{:>12}",
        "work", "jobs", "started", "p50", "p99", "max", "over 6.7 s"
    );
    for (group, label) in GROUPS {
        let in_group = jobs.iter().zip(&result.waits_ms);
        let in_group = in_group.filter(|(job, _)| job.group == group);
        let count = in_group.clone().count();
        let mut waits: Vec<u64> = in_group.filter_map(|(_, wait)| *wait).collect();
        waits.sort_unstable();
        let late = waits.iter().filter(|wait| **wait > URGENT_START_MS).count();
        println!(
            "{label:<18}{count:>8}{:>8}{:>10.1}{:>10.1}{:>10.1}{late:>12}",
            waits.len(),
            quantile(&waits, 50) as f64 / 1_000.0,
            quantile(&waits, 99) as f64 / 1_000.0,
            quantile(&waits, 100) as f64 / 1_000.0,
        );
    }
    let mut steps = result.step_us.clone();
    steps.sort_unstable();
    let run_ms = result.useful_run_ms + result.lost_run_ms;
    let share = |part: u64| 100.0 * part as f64 / run_ms.max(1) as f64;
    println!(
        "use: processors {:.1}%, accelerators {:.1}%",
        100.0 * result.processor_use,
        100.0 * result.accelerator_use
    );
    println!(
        "jobs: {} done, {} cancelled, {} failed or stopped, {} unknown, {} out of memory",
        result.done,
        result.cancelled,
        result.stopped_as_failing,
        result.unknown,
        result.out_of_memory
    );
    println!(
        "run time: {:.2}% lost, {:.3}% in {} checkpoints",
        share(result.lost_run_ms),
        share(result.checkpoint_ms),
        result.checkpoints
    );
    println!(
        "starts: {}, {} on the faulty worker, {} of the two faulty jobs; {} worker restarts",
        result.starts,
        result.starts_on_faulty_worker,
        result.starts_of_faulty,
        result.worker_restarts
    );
    println!(
        "writes: {} transactions, {} records; at most {} stops in a step",
        result.writes, result.records, result.most_stops_in_step
    );
    println!(
        "planner: {} decisions in {} ms ({:.0}/s of CPU time, {:.2}% of a core); step p50 {} us, p99 {} us, max {} us",
        result.decisions,
        result.planner_ms,
        result.decisions as f64 * 1_000.0 / result.planner_ms.max(1) as f64,
        100.0 * result.planner_ms as f64 / RUN_MS as f64,
        quantile(&steps, 50),
        quantile(&steps, 99),
        quantile(&steps, 100)
    );
}

fn quantile(sorted: &[u64], percent: usize) -> u64 {
    let last = sorted.len().saturating_sub(1);
    sorted.get(last * percent / 100).copied().unwrap_or(0)
}

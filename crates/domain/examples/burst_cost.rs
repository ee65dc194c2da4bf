//! Measures the cost of placement passes when the jobs of a burst wait for a large pool.
//!
//! `cargo run --release -p rosemaryscale-domain --example burst_cost`

#[path = "../tests/scheduler_harness/mod.rs"]
mod scheduler_harness;

use std::time::{Duration, Instant};

use rosemaryscale_domain::job::StepSpec;
use rosemaryscale_domain::schedule::order::RunEndKind;
use scheduler_harness::{SchedulerHarness, job, step};

const WORKERS: usize = 800;
/// Jobs beyond those that the workers run; each has one step of eight tasks.
const WAITING: usize = 1_000;
const TASKS_PER_JOB: u32 = 8;
const PASSES: u32 = 200;
/// Runs that end between two passes.
const ENDS: usize = 40;

/// Submits a job. `spread_percent` of the jobs allow only one task on each worker.
fn submit(harness: &mut SchedulerHarness, index: usize, spread_percent: usize) {
    let spread = index % 100 < spread_percent;
    let spec = StepSpec {
        processors_milli: 801 + (index * 37 % 200) as u64,
        memory_mb: 801 + (index * 53 % 200) as u64,
        per_worker_max: u32::from(spread),
        ..step(TASKS_PER_JOB)
    };
    harness.submit(&format!("{index:016x}"), job(vec![spec], 3));
}

/// Mean and longest time of the scheduler's work when some runs have ended.
fn measure(spread_percent: usize) -> (Duration, Duration) {
    let mut harness = SchedulerHarness::new(WORKERS);
    let mut submitted = WORKERS * 4 / TASKS_PER_JOB as usize + WAITING;
    for index in 0..submitted {
        submit(&mut harness, index, spread_percent);
    }
    harness.run_for(100);
    let (mut total, mut longest, mut ended) = (Duration::ZERO, Duration::ZERO, 0);
    for _ in 0..PASSES {
        let names: Vec<String> = harness.starts[ended..]
            .iter()
            .take(ENDS)
            .map(|(_, name, _)| name.clone())
            .collect();
        for name in names {
            harness.end_task(&name, RunEndKind::Done);
            ended += 1;
        }
        for _ in 0..ENDS / TASKS_PER_JOB as usize {
            submit(&mut harness, submitted, spread_percent);
            submitted += 1;
        }
        harness.now = harness.now.after_ms(10);
        let begin = Instant::now();
        let actions = harness.scheduler.advance(harness.now, harness.now);
        let took = begin.elapsed();
        total += took;
        longest = longest.max(took);
        for action in actions {
            harness.execute(action);
        }
        if let Some(batch) = harness.scheduler.take_batch(harness.now) {
            harness.scheduler.batch_written(&batch, harness.now);
        }
    }
    (total / PASSES, longest)
}

fn main() {
    println!("spread_percent  mean_us  longest_us");
    for spread_percent in [0, 15, 50] {
        let (mean, longest) = measure(spread_percent);
        println!(
            "{spread_percent:>14} {:>8} {:>11}",
            mean.as_micros(),
            longest.as_micros()
        );
    }
}

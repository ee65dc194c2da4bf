//! Measures the cost of placement passes with many workspaces and many waiting steps.
//!
//! `cargo run --release -p rosemaryscale-domain --example share_cost`

#[path = "../tests/scheduler_harness/mod.rs"]
mod scheduler_harness;

use std::time::{Duration, Instant};

use rosemaryscale_domain::placement::Resources;
use rosemaryscale_domain::schedule::order::RunEndKind;
use rosemaryscale_domain::workspace::Workspace;
use scheduler_harness::{SchedulerHarness, job, step};

const WORKERS: usize = 350;
/// Jobs beyond those that the workers run; each has one step of one task.
const WAITING: usize = 4_000;
const PASSES: u32 = 300;
/// Runs that end between two passes.
const ENDS: usize = 20;

fn submit(harness: &mut SchedulerHarness, index: usize, workspaces: usize) {
    let number = index % workspaces.max(1);
    let mut record = job(vec![step(1)], 3);
    record.workspace = (workspaces > 0).then(|| Workspace {
        name: format!("workspace{number:04}").into(),
        // Unequal weights, at which no job is beyond the rate.
        weight_milli: 1_000_000 + 1_000 * number as u64,
        priority: 0,
        quota: Resources::default(),
    });
    harness.submit(&format!("{index:016x}"), record);
}

/// Mean and longest time of the scheduler's work when some runs have ended.
fn measure(workspaces: usize) -> (Duration, Duration) {
    let mut harness = SchedulerHarness::new(WORKERS);
    let mut submitted = WORKERS * 4 + WAITING;
    for index in 0..submitted {
        submit(&mut harness, index, workspaces);
    }
    harness.run_for(500);
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
            submit(&mut harness, submitted, workspaces);
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
    }
    (total / PASSES, longest)
}

fn main() {
    println!("workspaces  mean_us  longest_us");
    for workspaces in [0, 20, 200, 2_000] {
        let (mean, longest) = measure(workspaces);
        println!(
            "{workspaces:>10} {:>8} {:>11}",
            mean.as_micros(),
            longest.as_micros()
        );
    }
}

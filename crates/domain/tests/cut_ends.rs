//! Answers that hold only the first of a worker's ends.

mod scheduler_harness;

use rosemaryscale_domain::schedule::order::{RunEndKind, SchedulerEvent};
use scheduler_harness::{SchedulerHarness, job, step};

const TASKS: [&str; 4] = ["a.0.0.0", "a.0.0.1", "a.0.0.2", "a.0.0.3"];

/// A worker runs four tasks and lists two ends at a time.
fn four_running_tasks() -> SchedulerHarness {
    let mut harness = SchedulerHarness::new(1);
    harness.ends_per_answer = 2;
    harness.submit("a", job(vec![step(4)], 3));
    harness.run_for(200);
    assert_eq!(harness.running(), TASKS);
    harness
}

/// Guards against a log that does not tell a worker with ends to be read from one that has none.
#[test]
fn ends_that_were_left_out_are_reported() {
    let mut harness = four_running_tasks();
    harness.end_all_runs(RunEndKind::Done);
    harness.run_for(2_000);
    let events = harness.scheduler.take_events();
    let is_cut = |event: &SchedulerEvent| {
        matches!(
            event,
            SchedulerEvent::WorkerEndsCut {
                ends: 2,
                unlisted_runs: 2,
                ..
            }
        )
    };
    let is_complete =
        |event: &SchedulerEvent| matches!(event, SchedulerEvent::WorkerEndsComplete { .. });
    assert_eq!(events.iter().filter(|event| is_cut(event)).count(), 1);
    assert_eq!(events.iter().filter(|event| is_complete(event)).count(), 1);
}

//! The cost of ends of tasks in wide steps, in which thousands of tasks wait for others.

mod scheduler_harness;

use std::time::{Duration, Instant};

use rosemaryscale_domain::job::StepSpec;
use rosemaryscale_domain::schedule::order::RunEndKind;
use scheduler_harness::{SchedulerHarness, job, step};

/// Tasks that run on a worker of the harness at the same time.
const TASKS_PER_WORKER: usize = 4;
const NARROW: usize = 100;
const WIDE: usize = 800;
/// The cost of an end may grow with the number of workers and tasks, but not with its square.
const COST_RATIO_MAX: u32 = ((WIDE / NARROW) * (WIDE / NARROW)) as u32;

/// Time that the ends of the first of two steps take; they arrive at once.
fn cost_of_ends(tasks: usize) -> Duration {
    let mut harness = SchedulerHarness::new(tasks / TASKS_PER_WORKER);
    let first = step(tasks as u32);
    let second = StepSpec {
        after: vec![0],
        ..first.clone()
    };
    harness.submit("a", job(vec![first, second], 3));
    harness.run_for(100);
    assert_eq!(harness.running().len(), tasks);
    harness.end_all_runs(RunEndKind::Done);
    let began = Instant::now();
    harness.run_for(100);
    let cost = began.elapsed();
    assert_eq!(harness.running().len(), tasks, "the second step runs");
    cost
}

/// Guards against a leader that stands still for seconds when the tasks of a wide step end (review/12): the ends times the
/// waiting tasks times the tasks that they wait for. Eight times as many tasks took 115 times as long.
#[test]
fn the_cost_of_ends_does_not_grow_with_the_square_of_the_tasks() {
    let narrow = (0..3).map(|_| cost_of_ends(NARROW)).min();
    let wide = (0..3).map(|_| cost_of_ends(WIDE)).min();
    let (narrow, wide) = (narrow.unwrap_or_default(), wide.unwrap_or_default());
    assert!(
        wide < narrow * COST_RATIO_MAX,
        "{NARROW} tasks: {narrow:?}, {WIDE} tasks: {wide:?}"
    );
}

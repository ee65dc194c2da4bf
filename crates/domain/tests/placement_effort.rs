//! Effort of placement passes while the backlog of a burst waits for a full pool.

mod scheduler_harness;

use rosemaryscale_domain::job::StepSpec;
use rosemaryscale_domain::schedule::order::RunEndKind;
use scheduler_harness::{SchedulerHarness, job, step};

const WORKERS: usize = 40;
const WAITING_JOBS: usize = 400;
const TASKS_PER_JOB: u32 = 4;
const PASSES: usize = 20;

/// Returns a step whose needs are unlike those of most others: one needs more processors, another more memory. At
/// most four of its tasks fit on a worker.
fn unlike_step(index: usize, per_worker_max: u32) -> StepSpec {
    StepSpec {
        processors_milli: 801 + (index * 37 % 200) as u64,
        memory_mb: 801 + (index * 53 % 200) as u64,
        per_worker_max,
        ..step(TASKS_PER_JOB)
    }
}

/// Fills the pool, lets one run end before each of some passes, and returns the numbers of starts and of failed
/// searches in these passes.
fn play(per_worker_max: u32) -> (usize, u64) {
    let mut harness = SchedulerHarness::new(WORKERS);
    let running = WORKERS * 4 / TASKS_PER_JOB as usize;
    for index in 0..running + WAITING_JOBS {
        let spec = unlike_step(index, per_worker_max);
        harness.submit(&format!("{index:016x}"), job(vec![spec], 3));
    }
    harness.run_for(200);
    let starts = harness.starts.len();
    let failed = harness.scheduler.placement_effort().failed_searches;
    for index in 0..PASSES {
        let task = harness.starts[index].1.clone();
        harness.end_task(&task, RunEndKind::Done);
        harness.run_for(50);
    }
    let failed = harness.scheduler.placement_effort().failed_searches - failed;
    (harness.starts.len() - starts, failed)
}

// Guards against passes that search all workers for each waiting step, however little room is left: with thousands of
// waiting tasks the leader then had no time for anything else.
#[test]
fn steps_that_fit_nowhere_are_not_searched_for() {
    let (starts, failed_searches) = play(0);
    assert!(starts >= PASSES * 3 / 4, "{starts} starts");
    // A start takes room of one worker, after which the next search may find out that it was the last.
    let searches_max = (starts + 2 * PASSES) as u64;
    assert!(
        failed_searches <= searches_max,
        "{failed_searches} failed searches for {starts} starts"
    );
}

// Guards against the same for steps that limit their tasks on a worker, for which a failed search tells nothing about
// other steps.
#[test]
fn steps_with_a_limit_for_each_worker_are_not_searched_for_without_room() {
    let (starts, failed_searches) = play(4);
    assert!(starts >= PASSES * 3 / 4, "{starts} starts");
    let searches_max = (starts + 2 * PASSES) as u64;
    assert!(
        failed_searches <= searches_max,
        "{failed_searches} failed searches for {starts} starts"
    );
}

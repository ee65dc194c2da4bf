//! States from which a task that could run must not stay unplaced.

mod scheduler_harness;

use scheduler_harness::{SchedulerHarness, job, step};

/// Guards against a worker that takes no work for good: its entry expired and came back before the next
/// batch, so that the list of workers to record was the same as before and the batch omitted it.
#[test]
fn a_worker_that_is_listed_again_before_the_next_batch_takes_work() {
    let mut harness = SchedulerHarness::new(1);
    harness.run_for(1_000);
    harness.scheduler.worker_unlisted("w0");
    harness.run_for(50);
    let report = harness.workers[0].report.clone();
    harness.scheduler.worker_listed(report, harness.now);
    harness.run_for(500);
    harness.submit("job", job(vec![step(2)], 3));
    harness.run_for(500);
    assert_eq!(harness.running().len(), 2);
}

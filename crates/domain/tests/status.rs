//! The leader's status: why workers take no work, and what holds tasks back.

mod scheduler_harness;

use rosemaryscale_domain::job::JobState;
use rosemaryscale_domain::schedule::status::{Exclusion, SchedulerStatus};
use scheduler_harness::{SchedulerHarness, job, step};

fn status(harness: &SchedulerHarness) -> SchedulerStatus {
    harness.scheduler.status(harness.now)
}

fn excluded(harness: &SchedulerHarness) -> Vec<(Exclusion, usize)> {
    let pool = harness.scheduler.pool_uses(harness.now).next();
    pool.map(|pool| pool.excluded).unwrap_or_default()
}

/// Guards against a store that takes no batch and shows in no figure, while workers that register are not used.
#[test]
fn a_batch_that_is_not_stored_shows_with_the_workers_that_wait_for_it() {
    let mut harness = SchedulerHarness::new(2);
    assert_eq!(status(&harness).batch_age_ms, 0);
    assert_eq!(excluded(&harness), []);
    harness.stall_writes = true;
    harness.add_worker("new", "service");
    harness.run_for(1_500);
    assert!(status(&harness).batch_age_ms >= 1_000);
    assert_eq!(excluded(&harness), [(Exclusion::Unrecorded, 1)]);
}

/// Guards against starts whose result is lost and that show in no figure, while their tasks and room are taken.
#[test]
fn starts_without_a_result_are_counted() {
    let mut harness = SchedulerHarness::new(1);
    harness.hold_starts = true;
    harness.submit("j", job(vec![step(2)], 3));
    harness.run_for(1_000);
    assert_eq!(status(&harness).overdue_starts, 0);
    harness.run_for(1_500);
    assert_eq!(status(&harness).overdue_starts, 2);
    harness.deliver_starts();
    harness.run_for(50);
    assert_eq!(status(&harness).overdue_starts, 0);
}

/// Guards against workers whose exclusion has no reason in the log.
#[test]
fn unresponsive_and_new_workers_are_told_apart() {
    let mut harness = SchedulerHarness::new(3);
    harness.partition(1);
    harness.submit("j", job(vec![step(9)], 3));
    harness.run_for(400);
    harness.add_worker("silent", "service");
    harness.partition(3);
    harness.run_for(100);
    assert_eq!(
        excluded(&harness),
        [(Exclusion::Unsynced, 1), (Exclusion::Unresponsive, 1)]
    );
}

/// Guards against a job that is shown as running, and is left out of the jobs that wait, although its worker has refused
/// or not received every start (review/8).
#[test]
fn a_job_is_queued_until_a_run_of_it_has_begun() {
    let mut harness = SchedulerHarness::new(1);
    harness.refuse_starts = true;
    harness.submit("refused", job(vec![step(1)], 3));
    harness.run_for(2_000);
    assert!(harness.start_count("refused.0.0.0") > 1);
    assert_eq!(harness.state("refused"), JobState::Queued);
    harness.refuse_starts = false;
    harness.lose_starts = true;
    harness.run_for(2_000);
    assert_eq!(harness.state("refused"), JobState::Queued);
    harness.lose_starts = false;
    harness.run_for(2_000);
    assert_eq!(harness.running(), ["refused.0.0.0"]);
    assert_eq!(harness.state("refused"), JobState::Running);
}

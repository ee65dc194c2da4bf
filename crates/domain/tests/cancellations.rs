//! Ends and cancellations of jobs that still have runs, tested against simulated workers.

#![allow(clippy::expect_used, reason = "tests panic on failure")]

mod scheduler_harness;

use rosemaryscale_domain::job::{JobState, StepSpec};
use rosemaryscale_domain::schedule::order::RunEndKind;
use scheduler_harness::{SchedulerHarness, job, step};

/// Runs the first of two steps of job `a` on a worker that is cut off, which completes it unseen, and then
/// again on another. Returns the index of the worker that is cut off.
fn two_runs_of_the_first_step(attempts_max: u32) -> (SchedulerHarness, usize) {
    let mut harness = SchedulerHarness::new(2);
    let second = StepSpec {
        after: vec![0],
        ..step(1)
    };
    harness.submit("a", job(vec![step(1), second], attempts_max));
    harness.run_for(100);
    let cut_off = harness.worker_running("a.0.0.0").expect("it runs");
    harness.partition(cut_off);
    harness.end_runs_on_worker(cut_off, RunEndKind::Done);
    harness.run_for(8_000);
    assert_eq!(harness.running(), ["a.0.0.0"], "it was started again");
    (harness, cut_off)
}

/// Guards against a run that nobody stops: a worker that was cut off reports that an earlier run of a task
/// is done while a later run of it is active elsewhere. The later run is no longer needed, and a
/// cancellation of the job did not end it.
#[test]
fn a_late_end_of_an_earlier_run_stops_the_later_run() {
    let (mut harness, cut_off) = two_runs_of_the_first_step(3);
    harness.workers[cut_off].partitioned = false;
    harness.run_for(1_000);
    assert_eq!(harness.running(), ["a.0.1.0"], "the first step is done");
    harness.cancel("a");
    harness.run_for(1_000);
    assert!(harness.running().is_empty(), "{:?}", harness.running());
}

/// Guards against a run that nobody stops: the worker has crashed before the stop arrives, so that the stop
/// has no effect, and a start that is still in transit is carried out by the worker's next process.
#[test]
fn a_late_start_is_stopped_after_the_stop_met_no_listener() {
    let mut harness = SchedulerHarness::new(1);
    harness.hold_starts = true;
    harness.submit("a", job(vec![step(1)], 3));
    harness.run_for(20);
    harness.workers[0].listening = false;
    harness.cancel("a");
    harness.run_for(20);
    harness.restart(0);
    harness.deliver_starts();
    assert_eq!(
        harness.running(),
        ["a.0.0.0"],
        "the late start takes effect"
    );
    harness.run_for(1_000);
    assert!(harness.running().is_empty(), "{:?}", harness.running());
}

/// Guards against a run that nobody stops: the worker has accepted the stop, crashes, and its next process
/// carries out a start that was still in transit.
#[test]
fn a_run_that_outlasts_an_accepted_stop_is_stopped_again() {
    let mut harness = SchedulerHarness::new(1);
    harness.hold_starts = true;
    harness.submit("a", job(vec![step(1)], 3));
    harness.run_for(20);
    harness.cancel("a");
    harness.run_for(10);
    harness.restart(0);
    harness.deliver_starts();
    assert_eq!(
        harness.running(),
        ["a.0.0.0"],
        "the late start takes effect"
    );
    harness.run_for(3_000);
    assert!(harness.running().is_empty(), "{:?}", harness.running());
}

/// Guards against a second run of a job that has ended: a listing that was read before its records were
/// deleted reports it after the scheduler has removed it.
#[test]
fn a_removed_job_is_added_again_only_after_its_deletion() {
    const MAX_JOBS: usize = 10;
    let mut harness = SchedulerHarness::new(1);
    harness.submit("a", job(vec![step(1)], 3));
    harness.run_for(100);
    harness.end_all_runs(RunEndKind::Done);
    harness.run_for(1_000);
    let expired = harness.scheduler.take_expired(harness.now, 0, MAX_JOBS);
    assert_eq!(expired, ["a".into()]);
    let listed = std::iter::once("a".into()).collect();
    harness.scheduler.jobs_listed(&listed);
    harness.submit("a", job(vec![step(1)], 3));
    harness.run_for(100);
    assert!(harness.running().is_empty(), "{:?}", harness.running());
    harness.scheduler.job_deleted("a");
    harness.submit("a", job(vec![step(1)], 3));
    harness.run_for(100);
    assert_eq!(harness.running(), ["a.0.0.0"], "the id is used again");
}

/// Guards against a job that runs although its cancellation was acknowledged: the write that creates it takes
/// effect after the cancellation. Guards as well against remembering such cancellations for ever.
#[test]
fn a_cancellation_holds_for_a_job_that_becomes_known_later() {
    const KEEP_MS: u64 = 1_000;
    const MAX_CANCELLATIONS: usize = 10;
    let mut harness = SchedulerHarness::new(1);
    harness.cancel("a");
    harness.cancel("never submitted");
    harness.run_for(500);
    harness.submit("a", job(vec![step(1)], 3));
    harness.run_for(500);
    assert_eq!(harness.start_count("a.0.0.0"), 0);
    assert_eq!(harness.state("a"), JobState::Cancelled);
    let take_expired = |harness: &mut SchedulerHarness| {
        harness
            .scheduler
            .take_expired_cancellations(harness.now, KEEP_MS, MAX_CANCELLATIONS)
    };
    assert!(take_expired(&mut harness).is_empty());
    harness.run_for(500);
    assert_eq!(take_expired(&mut harness), ["never submitted".into()]);
    assert!(take_expired(&mut harness).is_empty());
}

/// Guards against a job that is shown as failed although its tasks are done: a later run of a task ends as
/// failed after an earlier one was reported as done.
#[test]
fn a_failed_run_of_a_task_that_is_done_does_not_count() {
    let (mut harness, cut_off) = two_runs_of_the_first_step(1);
    harness.workers[cut_off].partitioned = false;
    harness.lose_stops = true;
    harness.run_for(500);
    harness.end_task("a.0.0.0", RunEndKind::Failed);
    harness.run_for(500);
    assert_eq!(harness.state("a"), JobState::Running);
    assert_eq!(harness.running(), ["a.0.1.0"]);
}

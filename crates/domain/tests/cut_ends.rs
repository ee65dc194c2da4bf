//! Answers that hold only the first of a worker's ends.

mod scheduler_harness;

use rosemaryscale_domain::job::JobState;
use rosemaryscale_domain::schedule::order::{RunEndKind, SchedulerEvent};
use rosemaryscale_domain::schedule::stop_reason::StopReason;
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

fn assert_started_once(harness: &SchedulerHarness) {
    for task in TASKS {
        assert_eq!(harness.start_count(task), 1, "{task}");
    }
}

/// Guards against tasks that run again after a takeover because the first answer of a worker left their ends out
/// (review/6).
#[test]
fn a_new_leader_reads_all_ends_before_it_starts_tasks() {
    let mut harness = four_running_tasks();
    harness.end_all_runs(RunEndKind::Done);
    harness.change_leader();
    harness.run_for(2_000);
    assert_started_once(&harness);
    assert_eq!(harness.state("a"), JobState::Completed);
}

/// Guards against the same while the store is down: the ends that were left out are read only after it is back, which
/// may be later than the leases of the former leader.
#[test]
fn a_new_leader_without_the_store_waits_for_ends_that_were_left_out() {
    let mut harness = four_running_tasks();
    harness.end_all_runs(RunEndKind::Done);
    harness.change_leader();
    harness.stall_writes = true;
    harness.run_for(20_000);
    assert_started_once(&harness);
    assert!(harness.scheduler.is_recovering());
    harness.stall_writes = false;
    harness.run_for(2_000);
    assert_started_once(&harness);
    assert_eq!(harness.state("a"), JobState::Completed);
    assert!(!harness.scheduler.is_recovering());
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

/// Guards against tasks that run again while the store is down because an answer names neither their runs nor their ends
/// (review/2).
#[test]
fn a_run_is_kept_until_its_end_is_read() {
    let mut harness = four_running_tasks();
    harness.stall_writes = true;
    harness.end_all_runs(RunEndKind::Done);
    harness.run_for(5_000);
    assert_started_once(&harness);
    harness.stall_writes = false;
    harness.run_for(2_000);
    assert_started_once(&harness);
    assert_eq!(harness.state("a"), JobState::Completed);
}

/// Guards against the stop of a run that has ended, and a failure counted for its worker, because its progress does
/// not change any more.
#[test]
fn a_run_whose_end_was_left_out_does_not_count_as_stalled() {
    let mut harness = SchedulerHarness::new(1);
    harness.ends_per_answer = 2;
    for task in TASKS {
        harness.progress_reports.insert(task.to_owned(), (50, 0));
    }
    harness.submit("a", job(vec![step(4)], 3));
    harness.run_for(200);
    harness.stall_writes = true;
    harness.end_all_runs(RunEndKind::Done);
    harness.run_for(5_000);
    let mut causes = harness.stop_causes.iter().map(|(_, cause)| cause.reason);
    assert!(!causes.any(|reason| reason == StopReason::NoProgress));
}

/// Guards against tasks that run again because their worker was removed while the platform did not list it, with ends
/// that were still to be read.
#[test]
fn an_unlisted_worker_is_kept_until_its_ends_are_read() {
    let mut harness = four_running_tasks();
    harness.end_all_runs(RunEndKind::Done);
    harness.change_leader();
    harness.stall_writes = true;
    harness.run_for(500);
    harness.scheduler.worker_unlisted("w0");
    harness.run_for(500);
    let report = harness.workers[0].report.clone();
    harness.scheduler.worker_listed(report, harness.now);
    harness.run_for(500);
    harness.stall_writes = false;
    harness.run_for(2_000);
    assert_started_once(&harness);
    assert_eq!(harness.state("a"), JobState::Completed);
}

/// Guards against tasks that wait for ever behind an end that cannot be read: no end from it on is acknowledged, so that
/// the worker never lists the later ones.
#[test]
fn ends_behind_an_unreadable_one_are_not_waited_for() {
    let mut harness = four_running_tasks();
    harness.unreadable_tasks.insert(TASKS[0].to_owned());
    harness.end_all_runs(RunEndKind::Done);
    harness.run_for(2_000);
    harness.end_all_runs(RunEndKind::Done);
    harness.run_for(2_000);
    assert!(harness.start_count(TASKS[3]) > 1);
}

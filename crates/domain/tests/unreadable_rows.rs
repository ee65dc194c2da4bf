//! Answers of workers in which some rows cannot be decoded.

mod scheduler_harness;

use rosemaryscale_domain::job::{JobState, StepSpec};
use rosemaryscale_domain::schedule::order::{RunEndKind, SchedulerEvent};
use scheduler_harness::{RUN_LEASE_MS, SchedulerHarness, job, step};

const FIRST: &str = "j.0.0.0";
const SECOND: &str = "j.0.0.1";

fn two_tasks() -> SchedulerHarness {
    let mut harness = SchedulerHarness::new(1);
    harness.submit("j", job(vec![step(2)], 3));
    harness.run_for(500);
    assert_eq!(harness.running(), [FIRST, SECOND]);
    harness
}

/// Number of reported unreadable answers.
fn reports(harness: &mut SchedulerHarness) -> usize {
    let events = harness.scheduler.take_events();
    let is_report = |event: &SchedulerEvent| {
        matches!(event, SchedulerEvent::WorkerRowsUnreadable { runs: 1, reason, .. }
            if &**reason == "malformed")
    };
    events.iter().filter(|event| is_report(event)).count()
}

/// Guards against a task that runs twice, or is stopped as stalled, because its row cannot be read, and against
/// ends of other tasks that are not seen meanwhile.
#[test]
fn an_unreadable_run_goes_on_and_hides_no_other_row() {
    let mut harness = two_tasks();
    harness.progress_reports.insert(FIRST.into(), (50, 0));
    harness.run_for(500);
    harness.unreadable_tasks.insert(FIRST.into());
    harness.run_for(RUN_LEASE_MS * 2);
    harness.end_task(SECOND, RunEndKind::Done);
    harness.run_for(500);
    assert_eq!(harness.running(), [FIRST]);
    assert_eq!(reports(&mut harness), 1, "until it is readable again");
    harness.progress_reports.insert(FIRST.into(), (60, 0));
    harness.unreadable_tasks.clear();
    harness.run_for(500);
    harness.end_task(FIRST, RunEndKind::Done);
    harness.run_for(500);
    assert_eq!(harness.state("j"), JobState::Completed);
    assert_eq!(harness.start_count(FIRST), 1);
    assert_eq!(harness.start_count(SECOND), 1);
}

/// Guards against an end that is lost because a later one is acknowledged, and against later ends that are not
/// seen or are applied twice.
#[test]
fn no_end_behind_an_unreadable_one_is_acknowledged() {
    let mut harness = two_tasks();
    harness.unreadable_tasks.insert(FIRST.into());
    harness.end_task(FIRST, RunEndKind::Done);
    harness.end_task(SECOND, RunEndKind::Done);
    harness.run_for(3_000);
    assert_eq!(harness.workers[0].ended.len(), 2, "both are kept");
    let done = |harness: &SchedulerHarness| harness.store.progress["j"].done.len();
    assert_eq!(done(&harness), 1, "the second end is applied and stored");
    harness.unreadable_tasks.clear();
    harness.run_for(3_000);
    assert_eq!(harness.state("j"), JobState::Completed);
    assert_eq!(harness.start_count(SECOND), 1);
    assert!(harness.running().is_empty(), "{:?}", harness.running());
    assert!(harness.workers[0].ended.is_empty(), "all are acknowledged");
}

/// Guards against a failure that is counted again when the end before it has become readable.
#[test]
fn an_end_is_applied_once() {
    let mut harness = two_tasks();
    harness.unreadable_tasks.insert(FIRST.into());
    harness.end_task(FIRST, RunEndKind::Done);
    harness.end_task(SECOND, RunEndKind::Failed);
    harness.run_for(3_000);
    harness.unreadable_tasks.clear();
    harness.run_for(3_000);
    let ended = |event: &SchedulerEvent| {
        matches!(
            event,
            SchedulerEvent::RunEnded {
                kind: RunEndKind::Failed,
                ..
            }
        )
    };
    let events = harness.scheduler.take_events();
    assert_eq!(events.iter().filter(|event| ended(event)).count(), 1);
    assert_eq!(harness.store.failures("j"), 1);
}

/// Guards against a new leader that starts a task elsewhere because it could not read the row of its run: a worker
/// with such a row has not yet told all its runs.
#[test]
fn a_new_leader_does_not_start_the_task_of_an_unreadable_run() {
    let mut harness = SchedulerHarness::new(2);
    let long = StepSpec {
        estimate_ms: 60_000,
        ..step(1)
    };
    harness.submit("j", job(vec![long], 3));
    harness.run_for(500);
    harness.unreadable_tasks.insert(FIRST.into());
    harness.change_leader();
    harness.run_for(RUN_LEASE_MS / 2);
    assert_eq!(harness.start_count(FIRST), 1);
    harness.unreadable_tasks.clear();
    harness.run_for(RUN_LEASE_MS);
    assert_eq!(harness.start_count(FIRST), 1);
    assert_eq!(harness.running(), [FIRST]);
}

/// Guards against an end of a new process that is lost because the state of the former one is discarded together
/// with the finding that rows of the answer, the first of the new process, cannot be read.
#[test]
fn an_unreadable_end_of_a_new_process_is_not_acknowledged() {
    let mut harness = two_tasks();
    harness.end_task(FIRST, RunEndKind::Failed);
    harness.end_task(SECOND, RunEndKind::Failed);
    let ends = harness.workers[0].ended.clone();
    harness.restart_unlisted(0);
    harness.unreadable_tasks.insert(FIRST.into());
    harness.workers[0].ended = ends;
    harness.run_for(3_000);
    let kept = harness.workers[0].ended.iter();
    assert!(
        kept.filter(|end| end.number == 1).count() == 2,
        "both are kept"
    );
}

//! Ends that a worker lists for tasks that a new leader does not know yet.

mod scheduler_harness;

use rosemaryscale_domain::job::{JobRecord, JobState, Repeat, TaskName, TaskPosition};
use rosemaryscale_domain::schedule::order::{ListedEnd, RunEndKind};
use scheduler_harness::{SchedulerHarness, job, step};

/// Time for which the end of an unknown job is kept.
const UNKNOWN_JOB_GRACE_MS: u64 = 3_000;

/// Lists an end as done of the first run of the first task of an occurrence, which the former leader has started.
fn list_done(harness: &mut SchedulerHarness, job: &str, occurrence: u32) {
    let worker = &mut harness.workers[0];
    worker.sequence += 1;
    worker.ended.push(ListedEnd {
        sequence: worker.sequence,
        task: TaskName {
            job: job.into(),
            position: TaskPosition {
                occurrence,
                step: 0,
                index: 0,
            },
        },
        number: 1,
        kind: RunEndKind::Done,
        checkpoint: "".into(),
    });
}

/// A job of three occurrences that are due, each with more tasks than a leader creates at once.
fn repeated(harness: &SchedulerHarness) -> JobRecord {
    let mut record = job(vec![step(210)], 3);
    record.spec.repeat = Some(Repeat {
        count: 3,
        start_wall_ms: harness.now.as_ms(),
        interval_ms: 100,
    });
    record
}

/// Guards against a task that runs again because a new leader acknowledges its end before it has created the task's
/// occurrence: a backlog of them is created in portions (review/1).
#[test]
fn an_end_of_an_occurrence_that_is_not_created_yet_counts() {
    let mut harness = SchedulerHarness::new(1);
    let record = repeated(&harness);
    harness.submit("a", record);
    harness.run_for(1_000);
    list_done(&mut harness, "a", 2);
    harness.change_leader();
    harness.run_for(1_000);
    assert!(harness.workers[0].ended.is_empty(), "acknowledged");
    let done = &harness.store.progress["a"].done;
    assert!(done.iter().any(|task| task.occurrence == 2), "{done:?}");
}

/// Guards against the same by a wall clock behind that of the former leader: the occurrence is not due yet.
#[test]
fn an_end_of_an_occurrence_that_is_not_due_yet_counts() {
    let mut harness = SchedulerHarness::new(1);
    let mut record = job(vec![step(1)], 3);
    record.spec.repeat = Some(Repeat {
        count: 2,
        start_wall_ms: harness.now.after_ms(1_000).as_ms(),
        interval_ms: 100,
    });
    harness.submit("a", record);
    list_done(&mut harness, "a", 0);
    harness.change_leader();
    harness.run_for(2_000);
    assert_eq!(harness.start_count("a.0.0.0"), 0);
    assert_eq!(harness.running(), ["a.1.0.0"]);
}

/// Guards against a task that runs again because its end was acknowledged before the new leader knew its job.
#[test]
fn an_end_of_a_job_that_becomes_known_later_counts() {
    let mut harness = SchedulerHarness::new(1);
    list_done(&mut harness, "a", 0);
    harness.change_leader();
    harness.run_for(500);
    assert_eq!(harness.workers[0].ended.len(), 1, "kept");
    harness.submit_before_term("a", job(vec![step(2)], 3));
    harness.run_for(500);
    assert_eq!(harness.start_count("a.0.0.0"), 0);
    assert_eq!(harness.running(), ["a.0.0.1"]);
    assert!(harness.workers[0].ended.is_empty(), "acknowledged");
    harness.end_all_runs(RunEndKind::Done);
    harness.run_for(500);
    assert_eq!(harness.state("a"), JobState::Completed);
}

/// Guards against ends that are never acknowledged because the job of the first one was deleted.
#[test]
fn an_end_of_a_job_that_does_not_become_known_is_acknowledged() {
    let mut harness = SchedulerHarness::new(1);
    list_done(&mut harness, "deleted", 0);
    harness.change_leader();
    harness.submit("a", job(vec![step(1)], 3));
    harness.run_for(500);
    harness.end_all_runs(RunEndKind::Done);
    harness.run_for(500);
    assert_eq!(harness.state("a"), JobState::Completed, "applied meanwhile");
    assert_eq!(harness.workers[0].ended.len(), 2, "both are kept");
    harness.run_for(UNKNOWN_JOB_GRACE_MS);
    assert!(harness.workers[0].ended.is_empty(), "acknowledged");
}

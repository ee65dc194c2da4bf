//! Jobs beyond the limits, and backlogs of repeated jobs.

#![allow(clippy::expect_used, reason = "tests panic on failure")]

mod scheduler_harness;

use rosemaryscale_domain::job::{
    JobProgress, JobRecord, JobState, Repeat, TaskPosition, TaskProgress,
};
use rosemaryscale_domain::schedule::order::RunEndKind;
use scheduler_harness::{SchedulerHarness, job, step};

/// A job of one task whose occurrences are due since long ago.
fn repeated(count: u32, interval_ms: u64) -> JobRecord {
    let mut record = job(vec![step(1)], 3);
    record.spec.repeat = Some(Repeat {
        count,
        start_wall_ms: 0,
        interval_ms,
    });
    record
}

/// Guards against a leader that creates the whole backlog of a repeated job at once, with a cost that grows
/// with the square of the backlog, and against occurrences that are skipped or started twice.
#[test]
fn a_backlog_of_occurrences_is_created_in_portions() {
    const COUNT: u32 = 2_000;
    let mut harness = SchedulerHarness::new(25);
    harness.submit("jjj", repeated(COUNT, 1));
    harness.run_for(10);
    let waiting: usize = harness
        .scheduler
        .pool_uses(harness.now)
        .map(|pool| pool.tasks_waiting)
        .sum();
    assert!(
        (1..=200).contains(&waiting),
        "{waiting} tasks in the first cycle"
    );
    for _ in 0..200 {
        harness.run_for(100);
        harness.end_runs_of_job("jjj");
    }
    harness.run_for(500);
    assert_eq!(harness.state("jjj"), JobState::Completed);
    let mut started: Vec<_> = harness.starts.iter().map(|(_, task, _)| task).collect();
    started.sort();
    started.dedup();
    assert_eq!(
        (started.len(), harness.starts.len()),
        (COUNT as usize, COUNT as usize)
    );
}

/// Guards against a job that an earlier version accepted and has largely run, and which fails under the next leader
/// since it has more tasks than a new one may have; and against a leader that is busy with it alone.
#[test]
fn a_large_job_of_an_earlier_version_goes_on() {
    const TASKS: u32 = 15_000;
    const LEFT: u32 = 300;
    let mut harness = SchedulerHarness::new(25);
    let position = |index| TaskPosition {
        occurrence: 0,
        step: 0,
        index,
    };
    let progress = JobProgress {
        state: JobState::Running,
        done: (LEFT..TASKS).map(position).collect(),
        ..JobProgress::default()
    };
    let large = job(vec![step(TASKS)], 3);
    assert!(
        large.spec.validation_error().is_some(),
        "no new one is accepted"
    );
    harness.store.jobs.push(("jjj".into(), large));
    harness.store.progress.insert("jjj".into(), progress);
    harness.change_leader();
    harness.submit("other", job(vec![step(1)], 3));
    for _ in 0..6 {
        harness.run_for(500);
        harness.end_all_runs(RunEndKind::Done);
    }
    harness.run_for(500);
    assert_eq!(harness.state("other"), JobState::Completed);
    assert_eq!(harness.state("jjj"), JobState::Completed);
    assert_eq!(harness.starts.len(), LEFT as usize + 1);
}

/// Guards against a progress that the store rejects, so that completed tasks run again: that of the largest job,
/// with every other task completed and half of the rest failed once.
#[test]
fn the_progress_of_the_largest_stored_job_can_be_stored() {
    const TASKS: u32 = 15_000;
    assert_eq!(job(vec![step(TASKS)], 3).spec.stored_error(), None);
    assert!(job(vec![step(TASKS + 1)], 3).spec.stored_error().is_some());
    let position = |index| TaskPosition {
        occurrence: 0,
        step: 0,
        index,
    };
    let failed = |index| TaskProgress {
        position: position(index),
        failed_runs: vec![1_001],
        checkpoint: "".into(),
        early_crashes: 0,
        crashes: 0,
    };
    let progress = JobProgress {
        state: JobState::Running,
        done: (0..TASKS).step_by(2).map(position).collect(),
        tasks: (1..TASKS).step_by(4).map(failed).collect(),
        ..JobProgress::default()
    };
    let bytes = serde_json::to_vec(&progress).expect("it can be encoded");
    let value_bytes = bytes.len().div_ceil(3) * 4;
    assert!(value_bytes < 1_024 * 1_024, "{value_bytes} bytes as base64");
}

/// Guards against a job of an earlier version that is beyond the limits and stops each leader in turn: it fails,
/// and other jobs run.
#[test]
fn a_stored_job_beyond_the_limits_fails_alone() {
    let huge = |change: fn(&mut JobRecord)| {
        let mut record = repeated(1, 1_000);
        change(&mut record);
        record
    };
    let records = [
        huge(|record| record.spec.steps = vec![step(10_000); 2]),
        huge(|record| record.spec.steps[0].estimate_ms = u64::MAX),
        huge(|record| record.spec.steps[0].processors_milli = u64::MAX),
        repeated(20_000, 0),
        repeated(u32::MAX, u64::MAX),
    ];
    for record in records {
        let mut harness = SchedulerHarness::new(1);
        harness.submit("jjj", record);
        harness.submit("other", job(vec![step(1)], 3));
        harness.run_for(200);
        assert_eq!(harness.state("jjj"), JobState::Failed);
        harness.store.progress.remove("jjj");
        harness.change_leader();
        harness.run_for(200);
        assert_eq!(harness.state("jjj"), JobState::Failed);
        harness.end_runs_of_job("other");
        harness.run_for(500);
        assert_eq!(harness.state("other"), JobState::Completed);
    }
}

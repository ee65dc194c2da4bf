//! Bounds on the checkpoints of tasks.

#![allow(clippy::expect_used, reason = "tests panic on failure")]

mod scheduler_harness;

use rosemaryscale_domain::job::{JobProgress, JobState, StepSpec, TaskPosition, TaskProgress};
use rosemaryscale_domain::prelude::*;
use rosemaryscale_domain::schedule::order::RunEndKind;
use scheduler_harness::{SchedulerHarness, job, step};

/// Largest value that the store accepts, as base64.
const VALUE_BYTES_MAX: usize = 1_024 * 1_024;

fn checkpointing(count: u32) -> StepSpec {
    StepSpec {
        checkpointing: true,
        ..step(count)
    }
}

/// Bytes of the progress of a job as base64.
fn value_bytes(harness: &SchedulerHarness, id: &str) -> usize {
    let progress = &harness.store.progress[id];
    let bytes = serde_json::to_vec(progress).expect("it can be encoded");
    bytes.len().div_ceil(3) * 4
}

/// Guards against a progress above the limit of the store, so that completed tasks run again after a change of the
/// leader: one checkpoint is too long, also only when it is encoded. The task resumes from its last shorter one.
#[test]
fn a_long_checkpoint_is_dropped() {
    for long in ["c".repeat(VALUE_BYTES_MAX), "\u{1}".repeat(10_000)] {
        let mut harness = SchedulerHarness::new(2);
        harness.submit("a", job(vec![checkpointing(1)], 9));
        harness.checkpoints.insert("a.0.0.0".into(), "short".into());
        harness.run_for(200);
        harness.checkpoints.insert("a.0.0.0".into(), long.into());
        harness.run_for(200);
        harness.end_all_runs(RunEndKind::Failed);
        harness.run_for(1_000);
        assert_eq!(harness.start_count("a.0.0.0"), 2);
        assert_eq!(&*harness.started_from["a.0.0.0"], "short");
        assert!(value_bytes(&harness, "a") < VALUE_BYTES_MAX);
        harness.end_all_runs(RunEndKind::Done);
        harness.run_for(500);
        assert_eq!(harness.state("a"), JobState::Completed);
    }
}

/// Guards against a progress above the limit of the store by many checkpoints, none of which is too long, and
/// against completed tasks that count for ever.
#[test]
fn the_checkpoints_of_a_job_fit_into_its_progress() {
    const TASKS: u32 = 400;
    let mut harness = SchedulerHarness::new(25);
    harness.submit("a", job(vec![checkpointing(TASKS)], 9));
    for index in 0..TASKS {
        let checkpoint: Arc<str> = "c".repeat(16_000).into();
        harness
            .checkpoints
            .insert(format!("a.0.0.{index}"), checkpoint);
    }
    for _ in 0..4 {
        harness.run_for(300);
        harness.end_task("a.0.0.0", RunEndKind::Failed);
        harness.run_for(500);
        assert!(value_bytes(&harness, "a") < VALUE_BYTES_MAX);
        let tasks = &harness.store.progress["a"].tasks;
        let kept = tasks.iter().filter(|task| !task.checkpoint.is_empty());
        assert!((1..=8).contains(&kept.count()));
        harness.end_all_runs(RunEndKind::Done);
        harness.run_for(200);
    }
}

/// Guards against bounds that do not keep the progress of the largest job below the limit of the store: each of its
/// tasks has failed twice, and they have all the checkpoints that a job may have.
#[test]
fn the_largest_progress_with_checkpoints_can_be_stored() {
    const TASKS: u32 = 5_000;
    const CHECKPOINT_BYTES: usize = 128 * 1_024 / TASKS as usize;
    let mut harness = SchedulerHarness::new(0);
    let failed = |index| TaskProgress {
        position: TaskPosition {
            occurrence: 0,
            step: 0,
            index,
        },
        failed_runs: vec![1_001, 1_002],
        checkpoint: "c".repeat(CHECKPOINT_BYTES).into(),
        early_crashes: 0,
        crashes: 0,
    };
    let progress = JobProgress {
        state: JobState::Running,
        tasks: (0..TASKS).map(failed).collect(),
        ..JobProgress::default()
    };
    harness.store.progress.insert("a".into(), progress);
    let bytes = value_bytes(&harness, "a");
    assert!(bytes < VALUE_BYTES_MAX, "{bytes} bytes");
}

/// Guards against the members of a gang that together exceed the limit: each starts from the same checkpoint.
#[test]
fn the_checkpoint_of_a_gang_counts_for_each_member() {
    let gang = StepSpec {
        gang: true,
        ..checkpointing(80)
    };
    let mut harness = SchedulerHarness::new(25);
    harness.submit("a", job(vec![gang], 9));
    harness
        .checkpoints
        .insert("a.0.0.3".into(), "c".repeat(16_000).into());
    for runs in 2..4 {
        harness.run_for(300);
        harness.end_task("a.0.0.0", RunEndKind::Failed);
        harness.end_all_runs(RunEndKind::Broken);
        harness.run_for(1_000);
        assert_eq!(harness.start_count("a.0.0.0"), runs);
    }
    assert!(value_bytes(&harness, "a") < VALUE_BYTES_MAX);
}

//! Jobs whose stored progress cannot be decoded.

mod scheduler_harness;

use rosemaryscale_domain::job::{JobProgress, JobRecord, JobState, Repeat, StepSpec};
use rosemaryscale_domain::schedule::order::RunEndKind;
use scheduler_harness::{SchedulerHarness, job, step};

/// Longest recovery of the harness.
const RECOVERY_MS: u64 = 15_000;

/// A job of two tasks, then one.
fn two_steps() -> JobRecord {
    let later = StepSpec {
        after: vec![0],
        ..step(1)
    };
    job(vec![step(2), later], 3)
}

/// A leader that cannot decode the progress of `job`, some of whose tasks have run.
fn leader_without_progress(id: &str, record: JobRecord) -> (SchedulerHarness, JobProgress) {
    let mut harness = SchedulerHarness::new(2);
    harness.submit(id, record);
    harness.run_for(500);
    harness.end_task(&format!("{id}.0.0.0"), RunEndKind::Done);
    harness.run_for(500);
    let stored = harness.store.progress[id].clone();
    harness.store.unreadable.insert(id.into());
    harness.change_leader();
    (harness, stored)
}

/// Guards against completed tasks that run again because their record cannot be decoded, against a record that
/// is overwritten with less, and against the loss of the runs that go on.
#[test]
fn tasks_of_a_job_without_its_progress_do_not_start() {
    let (mut harness, stored) = leader_without_progress("a", two_steps());
    harness.submit("b", job(vec![step(1)], 3));
    harness.run_for(RECOVERY_MS);
    assert_eq!(harness.running(), ["a.0.0.1", "b.0.0.0"]);
    harness.end_all_runs(RunEndKind::Done);
    harness.run_for(1_000);
    assert_eq!(harness.state("b"), JobState::Completed);
    assert!(harness.workers.iter().all(|worker| worker.ended.is_empty()));
    assert_eq!(harness.starts.len(), 3, "{:?}", harness.starts);
    assert_eq!(harness.store.progress["a"], stored);
    let held: Vec<_> = harness.scheduler.held_jobs().map(|id| &**id).collect();
    assert_eq!(held, ["a"]);
    harness.cancel("a");
    harness.run_for(500);
    assert_eq!(harness.state("a"), JobState::Cancelled);
    assert_eq!(harness.scheduler.held_jobs().count(), 0);
}

/// Guards against a job that never ends after its record was restored.
#[test]
fn a_job_goes_on_once_its_progress_is_readable_again() {
    let (mut harness, _) = leader_without_progress("a", two_steps());
    harness.run_for(RECOVERY_MS);
    harness.store.unreadable.clear();
    harness.change_leader();
    for _ in 0..3 {
        harness.run_for(500);
        harness.end_all_runs(RunEndKind::Done);
    }
    harness.run_for(500);
    assert_eq!(harness.state("a"), JobState::Completed);
    assert_eq!(harness.start_count("a.0.0.0"), 1);
}

/// Guards against occurrences that are created again from the first one on.
#[test]
fn a_repeated_job_without_its_progress_creates_no_occurrences() {
    let mut record = job(vec![step(1)], 3);
    record.spec.repeat = Some(Repeat {
        count: 1_000,
        start_wall_ms: 0,
        interval_ms: 1_000,
    });
    let (mut harness, _) = leader_without_progress("a", record);
    let before = harness.starts.len();
    harness.run_for(RECOVERY_MS);
    harness.end_all_runs(RunEndKind::Done);
    harness.run_for(2_000);
    assert_eq!(harness.starts.len(), before);
}

/// Guards against a service that is not restarted: a long-running task is never done, so the progress of its job
/// is not needed.
#[test]
fn long_running_tasks_without_their_progress_run_on() {
    let service = StepSpec {
        long_running: true,
        ..step(1)
    };
    let (mut harness, _) = leader_without_progress("a", job(vec![service], 3));
    harness.run_for(RECOVERY_MS);
    let worker = harness.worker_running("a.0.0.0").expect("it runs");
    assert_eq!(harness.scheduler.held_jobs().count(), 0);
    let before = harness.start_count("a.0.0.0");
    harness.end_runs_on_worker(worker, RunEndKind::Failed);
    harness.run_for(1_000);
    assert_eq!(harness.start_count("a.0.0.0"), before + 1);
}

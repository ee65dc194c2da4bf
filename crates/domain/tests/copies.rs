//! Copies of stragglers: when they start, and that either run ends the task once.

#![allow(clippy::expect_used, reason = "tests panic on failure")]

mod scheduler_harness;

use rosemaryscale_domain::job::{JobState, StepSpec};
use rosemaryscale_domain::schedule::UnevenWork;
use rosemaryscale_domain::schedule::order::{CopyOutcome, RunEndKind, SchedulerEvent};
use scheduler_harness::{SchedulerHarness, job, step};

const STRAGGLER: &str = "j.0.0.3";

fn speculative(count: u32) -> StepSpec {
    StepSpec {
        speculative: true,
        ..step(count)
    }
}

fn with_copies(workers: usize) -> SchedulerHarness {
    let uneven_work = UnevenWork {
        copy_budget_percent: 50,
        ..UnevenWork::default()
    };
    SchedulerHarness::with_uneven_work(workers, uneven_work)
}

/// Runs a job of one step until only one of four tasks runs, long beyond the time of the others.
fn until_straggler(harness: &mut SchedulerHarness, step: StepSpec, attempts_max: u32) {
    harness.submit("j", job(vec![step], attempts_max));
    harness.run_for(500);
    for task in ["j.0.0.0", "j.0.0.1", "j.0.0.2"] {
        harness.end_task(task, RunEndKind::Done);
    }
    harness.run_for(1_500);
}

fn workers_of(harness: &SchedulerHarness, task: &str) -> Vec<usize> {
    let workers = harness.workers.iter().enumerate();
    let running = workers.filter(|(_, worker)| {
        let mut tasks = worker.running.iter();
        tasks.any(|(name, _)| task.ends_with(&format!(".{}", name.position.index)))
    });
    running.map(|(index, _)| index).collect()
}

fn outcomes(harness: &mut SchedulerHarness) -> Vec<CopyOutcome> {
    let events = harness.scheduler.take_events().into_iter();
    events
        .filter_map(|event| match event {
            SchedulerEvent::CopySettled { outcome, .. } => Some(outcome),
            _ => None,
        })
        .collect()
}

/// Guards against a straggler without a copy, a copy on the same worker or with a run number that the worker
/// refuses, and more than one copy.
#[test]
fn a_straggler_gets_one_copy_on_another_worker() {
    let mut harness = with_copies(2);
    until_straggler(&mut harness, speculative(4), 3);
    assert_eq!(workers_of(&harness, STRAGGLER).len(), 2);
    assert_eq!(harness.ordered_run_numbers(STRAGGLER), [1, 2]);
}

/// Guards against copies where the step or the settings do not allow them, where no attempt is left for a second
/// failure, or where the only room is on the same worker.
#[test]
fn no_copy_starts_where_it_is_not_allowed() {
    for (workers, step, attempts_max) in [
        (2, step(4), 3),
        (2, speculative(4), 1),
        (1, speculative(4), 3),
    ] {
        let mut harness = with_copies(workers);
        until_straggler(&mut harness, step, attempts_max);
        assert_eq!(harness.start_count(STRAGGLER), 1);
    }
    let mut harness = SchedulerHarness::new(2);
    until_straggler(&mut harness, speculative(4), 3);
    assert_eq!(harness.start_count(STRAGGLER), 1);
}

/// Guards against a loser that runs on, and against a task that is counted twice or started again.
#[test]
fn the_first_end_completes_the_task_and_stops_the_other_run() {
    for (winner, outcome) in [(0, CopyOutcome::Lost), (1, CopyOutcome::Won)] {
        let mut harness = with_copies(2);
        until_straggler(&mut harness, speculative(4), 3);
        let mut workers = workers_of(&harness, STRAGGLER);
        let number_on =
            |harness: &SchedulerHarness, worker: usize| harness.workers[worker].running[0].1;
        workers.sort_by_key(|worker| number_on(&harness, *worker));
        harness.end_runs_on_worker(workers[winner], RunEndKind::Done);
        harness.run_for(300);
        assert!(harness.running().is_empty());
        assert_eq!(harness.state("j"), JobState::Completed);
        assert_eq!(outcomes(&mut harness), [outcome]);
        assert_eq!(harness.start_count(STRAGGLER), 2);
    }
}

/// Guards against a restart of a task whose other run continues, and against a failure that counts twice.
#[test]
fn a_failed_run_leaves_the_other_one() {
    let mut harness = with_copies(2);
    until_straggler(&mut harness, speculative(4), 3);
    let workers = workers_of(&harness, STRAGGLER);
    harness.end_runs_on_worker(workers[0], RunEndKind::Failed);
    harness.run_for(30);
    assert_eq!(workers_of(&harness, STRAGGLER), [workers[1]]);
    harness.run_for(200);
    assert_eq!(harness.store.failures("j"), 1);
    assert_eq!(harness.concurrent_runs_max(STRAGGLER), 2);
    harness.end_all_runs(RunEndKind::Done);
    harness.run_for(300);
    assert_eq!(harness.state("j"), JobState::Completed);
}

/// Guards against a lost run that restarts its task although the other run continues.
#[test]
fn a_lost_worker_leaves_the_other_run() {
    let mut harness = with_copies(2);
    until_straggler(&mut harness, speculative(4), 3);
    let workers = workers_of(&harness, STRAGGLER);
    harness.crash(workers[0]);
    harness.run_for(7_000);
    assert_eq!(workers_of(&harness, STRAGGLER), [workers[1]]);
    assert_eq!(harness.start_count(STRAGGLER), 2);
    assert_eq!(outcomes(&mut harness).len(), 1);
}

/// Guards against a cancelled job whose second run continues.
#[test]
fn a_cancellation_stops_both_runs() {
    let mut harness = with_copies(2);
    until_straggler(&mut harness, speculative(4), 3);
    harness.cancel("j");
    harness.run_for(300);
    assert!(harness.running().is_empty());
}

/// Guards against a new leader that starts a third run, or restarts a task that has two.
#[test]
fn a_new_leader_keeps_both_runs() {
    let mut harness = with_copies(3);
    until_straggler(&mut harness, speculative(4), 3);
    harness.change_leader();
    harness.run_for(2_000);
    assert_eq!(workers_of(&harness, STRAGGLER).len(), 2);
    assert_eq!(harness.start_count(STRAGGLER), 2);
    harness.end_runs_on_worker(workers_of(&harness, STRAGGLER)[0], RunEndKind::Done);
    harness.run_for(300);
    assert!(harness.running().is_empty());
    assert_eq!(harness.state("j"), JobState::Completed);
}

/// Guards against the end of a task that is acknowledged while the start of its copy may still arrive: the copy
/// would then start after the task has ended.
#[test]
fn an_end_is_acknowledged_after_an_unanswered_copy_has_ended() {
    let mut harness = with_copies(2);
    harness.submit("j", job(vec![speculative(4)], 3));
    harness.run_for(500);
    let first = harness.worker_running(STRAGGLER).expect("it runs");
    for task in ["j.0.0.0", "j.0.0.1", "j.0.0.2"] {
        harness.end_task(task, RunEndKind::Done);
    }
    harness.hold_starts = true;
    harness.lose_stops = true;
    harness.run_for(1_500);
    harness.end_task(STRAGGLER, RunEndKind::Done);
    harness.run_for(1_000);
    assert_eq!(harness.state("j"), JobState::Completed);
    assert!(!harness.workers[first].ended.is_empty());
    harness.lose_stops = false;
    harness.deliver_starts();
    harness.run_for(1_500);
    assert!(harness.running().is_empty());
    assert!(harness.workers[first].ended.is_empty());
}

/// Guards against a copy that takes the room of a waiting task.
#[test]
fn no_copy_starts_while_a_step_of_better_rank_waits() {
    let mut harness = with_copies(2);
    harness.submit("j", job(vec![speculative(4)], 3));
    harness.run_for(500);
    let waiting = StepSpec {
        requirement: Some("missing".into()),
        ..step(1)
    };
    harness.submit("small", job(vec![waiting], 3));
    for task in ["j.0.0.0", "j.0.0.1", "j.0.0.2"] {
        harness.end_task(task, RunEndKind::Done);
    }
    harness.run_for(600);
    assert_eq!(harness.start_count(STRAGGLER), 1);
}

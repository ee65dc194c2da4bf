//! Quarantined workers and the tasks that no other worker can run.

mod scheduler_harness;

use rosemaryscale_domain::job::StepSpec;
use rosemaryscale_domain::schedule::order::RunEndKind;
use rosemaryscale_domain::schedule::status::Exclusion;
use scheduler_harness::{SchedulerHarness, job, step};

const TASK: &str = "lasting.0.0.0";

/// Three workers, the first of which has a label that no other one has.
fn labelled_worker() -> SchedulerHarness {
    let mut harness = SchedulerHarness::new(0);
    for index in 0..3 {
        harness.add_worker(&format!("w{index}"), "service");
    }
    let mut report = harness.workers[0].report.clone();
    report.labels.push("special".into());
    harness.workers[0].report = report.clone();
    harness.scheduler.worker_listed(report, harness.now);
    harness.run_for(100);
    harness
}

fn special(step: StepSpec) -> StepSpec {
    StepSpec {
        requirement: Some("special".into()),
        ..step
    }
}

/// Has all runs on the first worker fail soon after their start.
fn fail_runs(harness: &mut SchedulerHarness, ms: u64) {
    for _ in 0..ms / 100 {
        harness.run_for(100);
        harness.end_runs_on_worker(0, RunEndKind::Failed);
    }
}

fn is_quarantined(harness: &SchedulerHarness) -> bool {
    let mut pools = harness.scheduler.pool_uses(harness.now);
    pools.any(|pool| pool.excluded.contains(&(Exclusion::Quarantined, 1)))
}

/// Guards against a long-running task that waits for up to 30 s for the only worker with its label, which is sound again
/// (review/9), and against a restart of it every few milliseconds while the worker fails.
#[test]
fn a_long_running_task_is_tried_on_the_only_worker_for_it() {
    let mut harness = labelled_worker();
    let lasting = StepSpec {
        long_running: true,
        ..step(1)
    };
    harness.submit("lasting", job(vec![special(lasting)], 3));
    for _ in 0..2 {
        fail_runs(&mut harness, 6_500);
        assert!(is_quarantined(&harness));
        harness.run_for(1_500);
        assert_eq!(harness.running(), [TASK]);
        harness.run_for(6_500);
    }
    assert!(
        harness.start_count(TASK) < 40,
        "{}",
        harness.start_count(TASK)
    );
}

/// Guards against a long-running task that waits for the end of a quarantine because no worker outside it has any room that
/// would do (review/14), also after the quarantined worker has been sound for a while.
#[test]
fn a_long_running_task_is_tried_on_the_only_worker_with_room() {
    let lasting = |processors_milli| StepSpec {
        long_running: true,
        processors_milli,
        ..step(1)
    };
    let mut harness = SchedulerHarness::new(3);
    for worker in 1..3 {
        let id = format!("filler{worker}");
        harness.submit(&id, job(vec![lasting(2_600)], 3));
        harness.run_for(100);
    }
    harness.submit("lasting", job(vec![lasting(2_000)], 3));
    harness.run_for(100);
    let worker = harness.worker_running(TASK).expect("it runs");
    for _ in 0..65 {
        harness.run_for(100);
        harness.end_runs_on_worker(worker, RunEndKind::Failed);
    }
    harness.run_for(1_500);
    assert_eq!(harness.worker_running(TASK), Some(worker));
    harness.run_for(6_000);
    harness.end_runs_on_worker(worker, RunEndKind::Failed);
    harness.run_for(1_500);
    assert!(is_quarantined(&harness));
    assert_eq!(harness.worker_running(TASK), Some(worker));
    assert_eq!(harness.running().len(), 3);
}

/// Guards against tasks that start on a quarantined worker although another one has room for them, and against finite
/// tasks that use up their attempts there.
#[test]
fn no_other_task_starts_on_a_quarantined_worker() {
    let mut harness = labelled_worker();
    harness.submit("failing", job(vec![special(step(3))], 10));
    fail_runs(&mut harness, 400);
    assert!(is_quarantined(&harness));
    harness.end_runs_on_worker(0, RunEndKind::Failed);
    let lasting = StepSpec {
        long_running: true,
        ..step(4)
    };
    harness.submit("lasting", job(vec![lasting], 3));
    harness.submit("finite", job(vec![special(step(1))], 3));
    harness.run_for(500);
    assert!(is_quarantined(&harness));
    assert!(harness.workers[0].running.is_empty());
    assert_eq!(harness.running().len(), 4);
}

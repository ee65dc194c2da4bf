//! Quotas of workspaces, tested against simulated workers.

mod scheduler_harness;

use rosemaryscale_domain::job::{JobRecord, StepSpec};
use rosemaryscale_domain::placement::Resources;
use rosemaryscale_domain::prelude::*;
use rosemaryscale_domain::schedule::order::RunEndKind;
use rosemaryscale_domain::workspace::{Workspace, Workspaces};
use scheduler_harness::{SchedulerHarness, job, step};

/// Longest time until a task starts that has room and quota.
const START_MS: u64 = 3_000;

fn workspace(name: &str, tasks: u64) -> Workspace {
    Workspace {
        name: name.into(),
        weight_milli: 1_000,
        priority: 0,
        quota: Resources {
            processors_milli: tasks * 1_000,
            ..Resources::default()
        },
    }
}

/// A job of a workspace whose quota allows a number of tasks.
fn job_of(name: &str, tasks: u64, steps: Vec<StepSpec>) -> JobRecord {
    JobRecord {
        workspace: Some(workspace(name, tasks)),
        ..job(steps, 3)
    }
}

fn configure(harness: &mut SchedulerHarness, workspaces: &[Workspace]) {
    let mut configured = Workspaces::enabled();
    for workspace in workspaces {
        configured.add(workspace.clone(), []);
    }
    harness
        .scheduler
        .configure(&FastMap::default(), &configured);
}

/// Number of tasks of jobs with this prefix that run.
fn running(harness: &SchedulerHarness, prefix: &str) -> usize {
    let running = harness.running();
    running
        .iter()
        .filter(|task| task.starts_with(prefix))
        .count()
}

/// Guards against starts beyond the quota while the answers to starts and stops are lost.
#[test]
fn starts_without_an_answer_count() {
    let mut harness = SchedulerHarness::new(2);
    harness.lose_starts = true;
    harness.lose_stops = true;
    harness.submit("a", job_of("alpha", 2, vec![step(6)]));
    harness.run_for(4_000);
    let started: FastSet<&String> = harness.starts.iter().map(|(_, task, _)| task).collect();
    assert_eq!(started.len(), 2, "{started:?}");
}

/// Guards against a start beyond the quota while the next incarnation of a worker may still carry out a start
/// that got no answer.
#[test]
fn a_late_start_counts_after_its_incarnation_has_ended() {
    let mut harness = SchedulerHarness::new(1);
    harness.lose_next_starts = 2;
    harness.lose_stops = true;
    harness.submit("a", job_of("alpha", 1, vec![step(1)]));
    harness.run_for(50);
    harness.workers[0].listening = false;
    harness.add_worker("w9", "service");
    harness.submit("b", job_of("beta", 1, vec![step(1)]));
    harness.run_for(5_000);
    assert_eq!(harness.ordered_run_numbers("a.0.0.0"), [1]);
    assert_eq!(
        running(&harness, "b"),
        1,
        "another workspace is not held back"
    );
    harness.run_for(10_000);
    assert_eq!(running(&harness, "a"), 1, "the start has expired");
}

/// Guards against starts beyond the quota by a new leader that has not heard the worker on which the former one has
/// started tasks.
#[test]
fn runs_on_a_silent_worker_count_after_a_takeover() {
    let mut harness = SchedulerHarness::new(1);
    harness.submit("a", job_of("alpha", 2, vec![step(2)]));
    harness.run_for(100);
    assert_eq!(running(&harness, "a"), 2);
    harness.add_worker("w9", "service");
    harness.run_for(100);
    harness.partition(0);
    harness.change_leader();
    harness.submit("c", job_of("alpha", 2, vec![step(1)]));
    harness.submit("b", job_of("beta", 2, vec![step(1)]));
    for _ in 0..200 {
        harness.run_for(100);
        assert!(running(&harness, "a") + running(&harness, "c") <= 2);
    }
    assert_eq!(
        running(&harness, "b"),
        1,
        "another workspace is not held back"
    );
    assert_eq!(
        running(&harness, "a") + running(&harness, "c"),
        2,
        "the leases of the silent worker have expired"
    );
}

/// Guards against starts beyond the quota while a cancelled job of the former leader may still run on a silent
/// worker.
#[test]
fn runs_of_a_cancelled_job_on_a_silent_worker_count_after_a_takeover() {
    let mut harness = SchedulerHarness::new(1);
    harness.submit("a", job_of("alpha", 2, vec![step(2)]));
    harness.run_for(100);
    harness.add_worker("w9", "service");
    harness.run_for(100);
    harness.partition(0);
    harness.store.cancelled.insert("a".into());
    harness.change_leader();
    harness.submit("c", job_of("alpha", 2, vec![step(1)]));
    while running(&harness, "a") > 0 {
        harness.run_for(10);
        assert!(running(&harness, "a") + running(&harness, "c") <= 2);
    }
    harness.run_for(20_000);
    assert_eq!(running(&harness, "c"), 1);
}

/// Guards against runs that a lowered quota stops, starts above it, and waiting after it is raised again.
#[test]
fn a_lowered_quota_stops_nothing_and_starts_nothing_until_use_is_below() {
    let mut harness = SchedulerHarness::new(2);
    harness.submit("a", job_of("alpha", 4, vec![step(8)]));
    harness.run_for(100);
    configure(&mut harness, &[workspace("alpha", 2)]);
    harness.run_for(2_000);
    assert_eq!(running(&harness, "a"), 4);
    for left in [3, 2] {
        let first = harness.running()[0].clone();
        harness.end_task(&first, RunEndKind::Done);
        harness.run_for(500);
        assert_eq!(running(&harness, "a"), left);
    }
    let first = harness.running()[0].clone();
    harness.end_task(&first, RunEndKind::Done);
    harness.run_for(500);
    assert_eq!(running(&harness, "a"), 2);
    configure(&mut harness, &[workspace("alpha", 4)]);
    harness.run_for(50);
    assert_eq!(running(&harness, "a"), 4);
}

/// Guards against a workspace without a limit after it was removed from the configuration, and against jobs of it
/// that never end.
#[test]
fn a_removed_workspace_keeps_its_quota() {
    let mut harness = SchedulerHarness::new(2);
    configure(&mut harness, &[workspace("alpha", 2)]);
    harness.submit("a", job_of("alpha", 4, vec![step(4)]));
    harness.run_for(100);
    configure(&mut harness, &[]);
    harness.run_for(500);
    assert_eq!(running(&harness, "a"), 2);
    harness.end_all_runs(RunEndKind::Done);
    harness.run_for(500);
    assert_eq!(running(&harness, "a"), 2);
}

/// Guards against a gang that starts as soon as the quota allows one of its tasks.
#[test]
fn a_gang_starts_only_if_the_quota_allows_it_as_a_whole() {
    let mut harness = SchedulerHarness::new(2);
    let gang = StepSpec {
        gang: true,
        ..step(3)
    };
    harness.submit("a", job_of("alpha", 4, vec![step(2)]));
    harness.run_for(100);
    harness.submit("b", job_of("alpha", 4, vec![gang]));
    harness.run_for(500);
    assert_eq!(running(&harness, "b"), 0);
    harness.end_runs_of_job("a");
    harness.run_for(500);
    assert_eq!(running(&harness, "b"), 3);
}

/// Guards against long-running tasks that do not count, and against a workspace that holds others back.
#[test]
fn long_running_tasks_count() {
    let mut harness = SchedulerHarness::new(2);
    let long_running = StepSpec {
        long_running: true,
        ..step(2)
    };
    harness.submit("a", job_of("alpha", 2, vec![long_running]));
    harness.run_for(100);
    harness.submit("b", job_of("alpha", 2, vec![step(50)]));
    harness.submit("c", job_of("beta", 2, vec![step(2)]));
    harness.run_for(500);
    assert_eq!(running(&harness, "a"), 2);
    assert_eq!(running(&harness, "b"), 0);
    assert_eq!(running(&harness, "c"), 2);
}

/// Guards against a smaller step that waits behind a larger one of its workspace that does not fit its quota.
#[test]
fn a_smaller_step_starts_beside_a_larger_one_that_waits_for_quota() {
    let mut harness = SchedulerHarness::new(2);
    let large = StepSpec {
        processors_milli: 3_000,
        ..step(1)
    };
    harness.submit("a", job_of("alpha", 4, vec![step(2)]));
    harness.run_for(100);
    harness.submit("b", job_of("alpha", 4, vec![large]));
    harness.run_for(100);
    harness.submit("c", job_of("alpha", 4, vec![step(1)]));
    harness.run_for(200);
    assert_eq!(running(&harness, "b"), 0);
    assert_eq!(running(&harness, "c"), 1);
}

/// Guards against a job that waits although its quota was released by a run of another service.
#[test]
fn quota_released_by_a_run_of_another_service_is_used() {
    let mut harness = SchedulerHarness::new(1);
    harness.add_worker("w9", "other");
    harness.run_for(100);
    harness.submit("a", job_of("alpha", 4, vec![step(4)]));
    harness.run_for(100);
    let mut waiting = job_of("alpha", 4, vec![step(2)]);
    waiting.policy.service = "other".into();
    harness.submit("b", waiting);
    harness.run_for(1_000);
    assert_eq!(running(&harness, "b"), 0);
    harness.end_runs_of_job("a");
    harness.run_for(START_MS);
    assert_eq!(running(&harness, "b"), 2);
}

/// Guards against a run of an ended job that stops counting before it is gone.
#[test]
fn a_run_of_a_cancelled_job_counts_until_it_is_gone() {
    let mut harness = SchedulerHarness::new(2);
    harness.submit("a", job_of("alpha", 2, vec![step(2)]));
    harness.run_for(100);
    harness.submit("b", job_of("alpha", 2, vec![step(2)]));
    harness.lose_stops = true;
    harness.cancel("a");
    harness.run_for(1_000);
    assert_eq!(running(&harness, "a"), 2);
    assert_eq!(running(&harness, "b"), 0);
    harness.lose_stops = false;
    harness.run_for(START_MS);
    assert_eq!(running(&harness, "b"), 2);
}

/// Guards against instances that are moved to a pool for tasks that the quota of their workspace holds back.
#[test]
fn tasks_held_back_by_a_quota_ask_for_no_instances() {
    let moves = |tasks: u64| {
        let mut harness = SchedulerHarness::new(1);
        harness.scheduler.set_spare_services(&["spare".into()]);
        harness.add_instance("m0", "service", Some("w0"));
        for index in 1..8 {
            harness.add_instance(&format!("m{index}"), "spare", None);
        }
        harness.run_for(1_000);
        let long = StepSpec {
            estimate_ms: 2_000,
            ..step(24)
        };
        harness.submit("a", job_of("alpha", tasks, vec![long]));
        harness.run_for(3_000);
        harness.instance_orders.len()
    };
    assert!(moves(24) >= 5, "a workspace with quota gets instances");
    assert!(moves(4) <= 2, "{} moves for 4 of 24 tasks", moves(4));
}

/// Guards against reports that miss a workspace that is held back, or count what it uses wrongly.
#[test]
fn the_report_names_the_tasks_that_a_quota_holds_back() {
    let mut harness = SchedulerHarness::new(2);
    harness.submit("b", job_of("beta", 0, vec![step(1)]));
    harness.submit("a", job_of("alpha", 2, vec![step(6)]));
    harness.run_for(200);
    let uses = harness.scheduler.workspace_uses(harness.now);
    let summary: Vec<_> = uses
        .iter()
        .map(|entry| {
            let used = entry.used.processors_milli;
            (&*entry.name, used, entry.tasks_waiting, entry.tasks_held)
        })
        .collect();
    assert_eq!(summary, [("alpha", 2_000, 4, 4), ("beta", 1_000, 0, 0)]);
}

//! What shows that the runs of a worker are over: a refused connect, the list of instances, and the worker's answers.

mod scheduler_harness;

use rosemaryscale_domain::schedule::order::{InstanceReport, InstanceState, RunEndKind};
use scheduler_harness::{RUN_LEASE_MS, SchedulerHarness, job, step};

const TASK: &str = "a.0.0.0";

/// Two workers on instances, of which the first runs a task.
fn running() -> SchedulerHarness {
    let mut harness = SchedulerHarness::new(2);
    for worker in ["w0", "w1"] {
        harness.add_instance(&format!("machine-{worker}"), "service", Some(worker));
    }
    harness.run_for(1_100);
    harness.submit("a", job(vec![step(1)], 3));
    harness.run_for(300);
    assert_eq!(harness.worker_running(TASK), Some(0));
    harness
}

/// Guards against two runs of a task at the same time: something refuses connections for a worker that runs on (the users'
/// own machines; `a_worker_that_refuses_connections_keeps_its_runs` of the soak).
#[test]
fn a_refused_connect_alone_ends_no_run() {
    let mut harness = running();
    harness.workers[0].listening = false;
    harness.run_for(3_000);
    assert_eq!(harness.start_count(TASK), 1);
    harness.workers[0].listening = true;
    harness.run_for(500);
    harness.submit("b", job(vec![step(7)], 3));
    harness.run_for(500);
    assert_eq!(harness.running().len(), 8, "the worker is used again");
    assert_eq!(harness.start_count(TASK), 1);
}

/// Guards against a task that waits for the lease of a worker whose process has ended: the list shows it.
#[test]
fn a_refused_connect_and_the_list_end_the_runs() {
    let mut harness = running();
    harness.crash(0);
    harness.workers[0].partitioned = false;
    harness.workers[0].listening = false;
    harness.instances[0].worker = None;
    harness.instances[0].state = InstanceState::Down;
    harness.run_for(400);
    assert_eq!(harness.worker_running(TASK), Some(1));
}

/// Guards against a task that never runs again: neither the list nor another process shows that the worker has ended.
#[test]
fn a_worker_that_refuses_connects_is_given_up_after_its_lease() {
    let mut harness = running();
    harness.workers[0].listening = false;
    harness.run_for(RUN_LEASE_MS * 2);
    assert_eq!(harness.start_count(TASK), 2);
    assert_eq!(harness.concurrent_runs_max(TASK), 1);
}

/// The instances, with another worker on the first one.
fn with_another_worker(harness: &SchedulerHarness) -> Vec<InstanceReport> {
    let mut instances = harness.instances.clone();
    instances[0].worker = Some("w9".into());
    instances
}

/// Guards against two runs of a task at the same time: two reads of the list disagree, but the worker answers.
#[test]
fn a_list_ends_no_worker_that_answers() {
    let mut harness = running();
    let listed = harness.instances.clone();
    harness.instances = with_another_worker(&harness);
    harness.run_for(1_200);
    harness.instances = listed;
    harness.run_for(1_200);
    assert_eq!(harness.start_count(TASK), 1);
    assert_eq!(harness.worker_running(TASK), Some(0));
}

/// Guards against two runs of a task at the same time: the list lags behind, so it does not show a worker that has just
/// begun, and that does not answer now.
#[test]
fn a_list_that_lags_behind_ends_no_new_worker() {
    let mut harness = SchedulerHarness::new(1);
    harness.add_instance("machine-w0", "service", Some("w0"));
    harness.add_instance("machine-new", "service", None);
    harness.run_for(1_100);
    harness.add_worker("new", "service");
    harness.run_for(100);
    harness.submit("a", job(vec![step(8)], 3));
    harness.run_for(100);
    assert_eq!(harness.running().len(), 8);
    harness.end_runs_on_worker(0, RunEndKind::Done);
    harness.partition(1);
    harness.run_for(1_000);
    harness.instances[1].worker = Some("new".into());
    harness.run_for(1_000);
    harness.workers[1].partitioned = false;
    harness.run_for(500);
    assert_eq!(harness.running().len(), 4);
    let tasks = (0..8).map(|index| format!("a.0.0.{index}"));
    for task in tasks {
        assert_eq!(harness.start_count(&task), 1, "{task}");
    }
}

/// Guards against a task that waits for the lease of its worker, whose process has ended without a word: the list shows
/// another worker on the instance.
#[test]
fn a_list_ends_the_runs_of_a_worker_that_does_not_answer() {
    let mut harness = running();
    harness.crash(0);
    harness.instances = with_another_worker(&harness);
    harness.run_for(1_500);
    assert_eq!(harness.worker_running(TASK), Some(1));
}

/// Guards against two runs of a task at the same time: the list lags behind, so it shows that the former process of a worker
/// has ended, while the current one, under the same id, runs a task and is cut off for a moment.
#[test]
fn a_list_of_before_a_restart_ends_no_run_of_the_next_process() {
    let mut harness = running();
    harness.restart(0);
    harness.run_for(300);
    assert_eq!(harness.start_count(TASK), 2);
    harness.submit("b", job(vec![step(7)], 3));
    harness.run_for(100);
    assert_eq!(harness.workers[0].running.len(), 4);
    harness.end_runs_on_worker(1, RunEndKind::Done);
    harness.instances[0].worker = None;
    harness.instances[0].state = InstanceState::Down;
    harness.run_for(300);
    harness.partition(0);
    harness.run_for(500);
    harness.instances[0].worker = Some("w0".into());
    harness.instances[0].state = InstanceState::Up;
    harness.run_for(300);
    harness.workers[0].partitioned = false;
    harness.run_for(1_000);
    let runs = harness.starts.len();
    assert_eq!(runs, 2 + 7, "nothing is started again");
}

//! What shows that the runs of a worker are over: a refused connect, the list of instances, and the worker's answers.

mod scheduler_harness;

use rosemaryscale_domain::schedule::order::InstanceState;
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

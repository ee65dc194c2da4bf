//! Queues with an advisor, which decides the workers that may run a step.

mod scheduler_harness;

use rosemaryscale_domain::job::{JobRecord, StepSpec};
use rosemaryscale_domain::schedule::order::RunEndKind;
use scheduler_harness::{Advisor, SchedulerHarness, job, step};

/// Returns a job of a queue with an advisor.
fn advised_job(steps: Vec<StepSpec>) -> JobRecord {
    let mut record = job(steps, 3);
    record.policy.advice = Some(Advisor::POLICY);
    record
}

fn harness_with_allowed(allowed: &[&str]) -> SchedulerHarness {
    let mut harness = SchedulerHarness::new(3);
    harness.advisor.allowed = allowed.iter().map(|id| (*id).into()).collect();
    harness
}

/// Guards against starts without a ticket, and against tasks that wait although a worker is allowed to run
/// them.
#[test]
fn tasks_run_only_on_allowed_workers_with_their_tickets() {
    let mut harness = harness_with_allowed(&["w1"]);
    harness.submit("a", advised_job(vec![step(2)]));
    harness.run_for(300);
    assert_eq!(harness.running(), ["a.0.0.0", "a.0.0.1"]);
    assert_eq!(harness.worker_running("a.0.0.0"), Some(1));
    assert_eq!(harness.worker_running("a.0.0.1"), Some(1));
    assert_eq!(harness.advisor.invalid_tickets, 0);
    assert_eq!(
        harness.advisor.calls.len(),
        1,
        "one ticket covers all tasks of a step"
    );
}

/// Guards against a gang that starts only partly because its members get separate tickets.
#[test]
fn a_gang_starts_when_all_members_have_tickets() {
    let mut harness = harness_with_allowed(&["w0", "w2"]);
    let gang = StepSpec {
        gang: true,
        per_worker_max: 1,
        ..step(2)
    };
    harness.submit("a", advised_job(vec![gang]));
    harness.run_for(500);
    assert_eq!(harness.running().len(), 2);
    assert_eq!(harness.advisor.invalid_tickets, 0);
}

/// Guards against a step that starts with the ticket of another step, or with an expired one.
#[test]
fn an_expired_ticket_is_requested_again() {
    let mut harness = harness_with_allowed(&["w1"]);
    let second = StepSpec {
        after: vec![0],
        ..step(1)
    };
    harness.submit("a", advised_job(vec![step(5), second]));
    harness.run_for(300);
    assert_eq!(harness.running().len(), 4, "the worker is full");
    harness.run_for(2_000);
    harness.end_task("a.0.0.0", RunEndKind::Done);
    harness.run_for(300);
    assert_eq!(harness.running().len(), 4, "the fifth task has started");
    let last = harness
        .advisor
        .calls
        .last()
        .expect("the advisor was called again");
    assert_eq!(last.len(), 1, "only the allowed worker is requested again");
    harness.end_all_runs(RunEndKind::Done);
    harness.run_for(300);
    assert_eq!(harness.running(), ["a.0.1.0"]);
    assert_eq!(harness.advisor.invalid_tickets, 0);
}

/// Guards against a task that keeps using a ticket that its worker has refused.
#[test]
fn a_refused_ticket_is_requested_again() {
    let mut harness = harness_with_allowed(&["w1"]);
    harness.advisor.refuse_next_tickets = 1;
    harness.submit("a", advised_job(vec![step(1)]));
    harness.run_for(1_500);
    assert_eq!(harness.running(), ["a.0.0.0"]);
    assert_eq!(harness.advisor.calls.len(), 2);
}

/// Guards against work that waits forever after a lost response, and against a flood of calls.
#[test]
fn a_call_without_a_response_is_repeated_after_a_delay() {
    let mut harness = harness_with_allowed(&["w1"]);
    harness.advisor.lose_next_calls = 2;
    harness.submit("a", advised_job(vec![step(1)]));
    harness.run_for(500);
    assert_eq!(harness.advisor.calls.len(), 2);
    harness.run_for(500);
    assert_eq!(harness.running(), ["a.0.0.0"]);
}

/// Guards against other queues being blocked by a step whose advisor allows no worker.
#[test]
fn a_step_without_allowed_workers_does_not_block_other_work() {
    let mut harness = harness_with_allowed(&["elsewhere"]);
    harness.submit("a", advised_job(vec![step(1)]));
    harness.run_for(2_000);
    assert_eq!(
        harness.advisor.calls.len(),
        1,
        "a negative answer is not requested again"
    );
    harness.advisor.allowed.clear();
    harness.submit("b", job(vec![step(1)], 3));
    harness.run_for(300);
    assert_eq!(harness.running(), ["b.0.0.0"]);
}

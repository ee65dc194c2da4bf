//! Queues whose advisor names the workers that may run a step.

mod schedule_world;

use rosemaryscale_domain::job::{JobRecord, StepSpec};
use rosemaryscale_domain::schedule::order::RunEndKind;
use schedule_world::{Advisor, World, job, step};

/// A job of a queue with an advisor.
fn advised(steps: Vec<StepSpec>) -> JobRecord {
    let mut record = job(steps, 3);
    record.policy.advice = Some(Advisor::POLICY);
    record
}

fn world(allowed: &[&str]) -> World {
    let mut world = World::new(3);
    world.advisor.allowed = allowed.iter().map(|id| (*id).into()).collect();
    world
}

/// Guards against starts without a ticket, and against tasks that wait although a worker is allowed.
#[test]
fn tasks_run_only_on_allowed_workers_with_their_tickets() {
    let mut world = world(&["w1"]);
    world.submit("a", advised(vec![step(2)]));
    world.run_for(300);
    assert_eq!(world.running(), ["a.0.0.0", "a.0.0.1"]);
    assert_eq!(world.worker_of("a.0.0.0"), Some(1));
    assert_eq!(world.worker_of("a.0.0.1"), Some(1));
    assert_eq!(world.advisor.refused, 0);
    assert_eq!(
        world.advisor.calls.len(),
        1,
        "one ticket serves all tasks of a step"
    );
}

/// Guards against a gang that starts in part, since the tickets of its members come apart.
#[test]
fn a_gang_starts_when_all_members_have_tickets() {
    let mut world = world(&["w0", "w2"]);
    let gang = StepSpec {
        gang: true,
        per_worker_max: 1,
        ..step(2)
    };
    world.submit("a", advised(vec![gang]));
    world.run_for(500);
    assert_eq!(world.running().len(), 2);
    assert_eq!(world.advisor.refused, 0);
}

/// Guards against a step that starts with the ticket of another one, or with one that has ended.
#[test]
fn a_ticket_that_has_ended_is_asked_for_again() {
    let mut world = world(&["w1"]);
    let second = StepSpec {
        after: vec![0],
        ..step(1)
    };
    world.submit("a", advised(vec![step(5), second]));
    world.run_for(300);
    assert_eq!(world.running().len(), 4, "the worker is full");
    world.run_for(2_000);
    world.end_one("a.0.0.0", RunEndKind::Done);
    world.run_for(300);
    assert_eq!(world.running().len(), 4, "the fifth task has started");
    let last = world.advisor.calls.last().expect("it was asked again");
    assert_eq!(
        last.len(),
        1,
        "only the worker that is allowed is named again"
    );
    world.end_all(RunEndKind::Done);
    world.run_for(300);
    assert_eq!(world.running(), ["a.0.1.0"]);
    assert_eq!(world.advisor.refused, 0);
}

/// Guards against a task that is stuck with a ticket that its worker refuses.
#[test]
fn a_refused_ticket_is_asked_for_again() {
    let mut world = world(&["w1"]);
    world.advisor.refuse_starts = 1;
    world.submit("a", advised(vec![step(1)]));
    world.run_for(1_500);
    assert_eq!(world.running(), ["a.0.0.0"]);
    assert_eq!(world.advisor.calls.len(), 2);
}

/// Guards against work that waits for ever after a lost answer, and against a flood of calls.
#[test]
fn a_call_without_an_answer_is_repeated_after_a_pause() {
    let mut world = world(&["w1"]);
    world.advisor.lose_calls = 2;
    world.submit("a", advised(vec![step(1)]));
    world.run_for(500);
    assert_eq!(world.advisor.calls.len(), 2);
    world.run_for(500);
    assert_eq!(world.running(), ["a.0.0.0"]);
}

/// Guards against work of other queues that waits behind a step whose advisor allows no worker.
#[test]
fn a_step_without_allowed_workers_holds_up_no_other_work() {
    let mut world = world(&["elsewhere"]);
    world.submit("a", advised(vec![step(1)]));
    world.run_for(2_000);
    assert_eq!(
        world.advisor.calls.len(),
        1,
        "the advisor does not change its mind"
    );
    world.advisor.allowed.clear();
    world.submit("b", job(vec![step(1)], 3));
    world.run_for(300);
    assert_eq!(world.running(), ["b.0.0.0"]);
}

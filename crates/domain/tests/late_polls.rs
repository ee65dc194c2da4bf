//! Polls that are carried out by the next process of a worker, which has the same id and numbers its ends anew.

mod scheduler_harness;

use rosemaryscale_domain::job::{JobState, StepSpec};
use rosemaryscale_domain::schedule::order::{PollReception, RunEndKind};
use scheduler_harness::{SchedulerHarness, job, step};

/// Time for which an order without an answer may still be carried out.
const LATE_ORDER_MS: u64 = 12_500;

/// A worker that was restarted while an acknowledgement was due; the poll with it has reached the new process, was not
/// answered, and is still to be carried out. A second worker goes on.
fn restarted_before_an_acknowledgement() -> SchedulerHarness {
    let mut harness = SchedulerHarness::new(2);
    harness.submit("a", job(vec![step(4)], 3));
    harness.run_for(100);
    assert_eq!(harness.worker_running("a.0.0.0"), Some(0));
    harness.delay_next_acknowledgement = true;
    harness.end_all_runs(RunEndKind::Done);
    harness.run_for(60);
    assert!(harness.delay_next_acknowledgement, "not yet due");
    harness.restart_unlisted(0);
    harness.run_for(1_000);
    assert!(
        !harness.delay_next_acknowledgement,
        "sent to the new process"
    );
    harness
}

/// Guards against a task that runs again because a late poll has made the new process of its worker drop the end
/// that no leader has read (case 5 of the review, and seed 949 of `restarts_listed_late_keep_the_invariants`).
#[test]
fn a_late_acknowledgement_reaches_no_end_of_the_next_process() {
    let mut harness = restarted_before_an_acknowledgement();
    harness.submit("b", job(vec![step(8)], 3));
    harness.run_for(100);
    harness.end_all_runs(RunEndKind::Done);
    assert!(harness.deliver_delayed_poll());
    harness.run_for(300);
    harness.end_all_runs(RunEndKind::Done);
    harness.run_for(300);
    assert_eq!(harness.state("b"), JobState::Completed);
    for index in 0..8 {
        let task = format!("b.0.0.{index}");
        assert_eq!(harness.start_count(&task), 1, "{task}");
    }
}

/// Guards against a worker that is never used again after a poll was lost.
#[test]
fn a_worker_takes_tasks_again_when_the_late_poll_cannot_be_carried_out_any_more() {
    let mut harness = restarted_before_an_acknowledgement();
    harness.run_for(LATE_ORDER_MS);
    harness.submit("b", job(vec![step(8)], 3));
    harness.run_for(100);
    assert_eq!(harness.running().len(), 8, "both workers are used");
}

/// Guards against holding every worker that was restarted: a poll that the former process had received ended with it.
#[test]
fn a_poll_of_the_former_process_does_not_hold_the_next_one() {
    let mut harness = SchedulerHarness::new(1);
    harness.submit("a", job(vec![step(4)], 3));
    harness.run_for(100);
    harness.end_task("a.0.0.0", RunEndKind::Done);
    harness.delay_next_acknowledgement = true;
    harness.run_for(200);
    assert!(
        !harness.delay_next_acknowledgement,
        "sent to the former process"
    );
    harness.crash(0);
    harness.run_for(1_500);
    harness.restart(0);
    harness.run_for(500);
    assert_eq!(harness.running().len(), 3, "the tasks that were not done");
}

/// A worker whose power fails while polls that acknowledge ends are open, and is back under its id before they are given
/// up.
fn back_before_its_polls_are_given_up(reception: PollReception) -> SchedulerHarness {
    let mut harness = SchedulerHarness::new(1);
    harness.submit("a", job(vec![step(4)], 3));
    harness.run_for(100);
    harness.end_task("a.0.0.0", RunEndKind::Done);
    harness.run_for(60);
    harness.restart_unlisted(0);
    harness.poll_reception = reception;
    harness.delay_next_acknowledgement = true;
    harness.run_for(500);
    assert!(!harness.delay_next_acknowledgement, "given up");
    harness.submit("b", job(vec![step(1)], 3));
    harness.run_for(3_000);
    harness
}

/// Guards against a worker that gets no task for 12.5 s after it was without power for less than a second: its open polls
/// ended with the connections of the former process (review/7).
#[test]
fn polls_on_connections_of_the_former_process_do_not_hold_the_next_one() {
    let sent_before = PollReception::Connected { age_ms: 1_500 };
    let harness = back_before_its_polls_are_given_up(sent_before);
    assert_eq!(harness.start_count("b.0.0.0"), 1);
    let never_sent = back_before_its_polls_are_given_up(PollReception::Nowhere);
    assert_eq!(never_sent.start_count("b.0.0.0"), 1);
}

/// Guards against a new process that drops ends unread by a poll that it may have received.
#[test]
fn polls_on_connections_of_the_next_process_hold_it() {
    for reception in [
        PollReception::Unknown,
        PollReception::Connected { age_ms: 0 },
    ] {
        let harness = back_before_its_polls_are_given_up(reception);
        assert_eq!(harness.start_count("b.0.0.0"), 0, "{reception:?}");
    }
}

/// Guards against the end of a run that the new process has accepted before the leader knew of it: the run would end
/// unread.
#[test]
fn runs_of_the_next_process_are_stopped_before_a_late_poll() {
    let mut harness = SchedulerHarness::new(1);
    harness.submit("a", job(vec![step(2)], 3));
    harness.run_for(100);
    harness.delay_next_acknowledgement = true;
    harness.end_all_runs(RunEndKind::Done);
    harness.run_for(60);
    harness.restart_unlisted(0);
    while harness.delay_next_acknowledgement {
        harness.run_for(10);
    }
    let finite = StepSpec {
        estimate_ms: 60_000,
        ..step(1)
    };
    harness.submit("b", job(vec![finite], 3));
    harness.run_for(500);
    assert_eq!(
        harness.start_count("b.0.0.0"),
        1,
        "before the process was known"
    );
    assert!(harness.running().is_empty(), "{:?}", harness.running());
    harness.run_for(LATE_ORDER_MS);
    assert_eq!(harness.running(), ["b.0.0.0"]);
}

/// Guards against ends that are dropped unread because a poll repeats a cursor that the worker has already answered:
/// by then it may be another process, to which tasks were sent together with the poll.
#[test]
fn a_poll_acknowledges_nothing_twice() {
    let mut harness = SchedulerHarness::new(1);
    harness.submit("a", job(vec![step(4)], 3));
    harness.run_for(100);
    harness.end_all_runs(RunEndKind::Done);
    harness.run_for(1_500);
    assert!(harness.workers[0].ended.is_empty(), "acknowledged");
    harness.restart_unlisted(0);
    harness.delay_next_acknowledgement = true;
    harness.submit("b", job(vec![step(1)], 3));
    harness.run_for(200);
    harness.end_all_runs(RunEndKind::Done);
    harness.deliver_delayed_poll();
    harness.run_for(500);
    assert_eq!(harness.state("b"), JobState::Completed);
    assert_eq!(harness.start_count("b.0.0.0"), 1);
}

/// Guards against ends that are never acknowledged: the new process has answered the poll with the cursor of the former
/// one, which counts more ends.
#[test]
fn ends_of_a_process_that_answered_a_former_cursor_are_acknowledged() {
    let mut harness = SchedulerHarness::new(1);
    harness.submit("a", job(vec![step(4)], 3));
    harness.run_for(100);
    harness.end_all_runs(RunEndKind::Done);
    harness.run_for(60);
    harness.restart_unlisted(0);
    harness.run_for(1_000);
    harness.submit("b", job(vec![step(1)], 3));
    harness.run_for(200);
    harness.end_all_runs(RunEndKind::Done);
    harness.run_for(2_000);
    assert_eq!(harness.state("b"), JobState::Completed);
    assert!(harness.workers[0].ended.is_empty(), "acknowledged");
}

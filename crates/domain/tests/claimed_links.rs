//! Orders over a link to an address that only an entry of another writer names.

#![allow(clippy::expect_used, reason = "tests panic on failure")]

mod scheduler_harness;

use rosemaryscale_domain::job::JobState;
use rosemaryscale_domain::schedule::order::{Action, PollResult, Refusal, RunEndKind};
use scheduler_harness::{AddressAnswer, SchedulerHarness, job, step};

const CLAIMED_ADDRESS: &str = "10.0.0.250:1";
/// Starts of the process that an entry with another address may name: the known one, and one of no process.
const CLAIMED_STARTS: [u64; 2] = [1, u64::MAX];

/// Two workers, of which one runs `a`. Returns its index.
fn harness_with_run(answer: AddressAnswer) -> (SchedulerHarness, usize) {
    let mut harness = SchedulerHarness::new(2);
    harness.submit("a", job(vec![step(1)], 3));
    harness.run_for(500);
    let worker = harness.worker_running("a.0.0.0").expect("it runs");
    harness.address_without_worker = Some((CLAIMED_ADDRESS.into(), answer));
    (harness, worker)
}

fn claim_address(harness: &mut SchedulerHarness, worker: usize, started_wall_ms: u64) {
    let mut report = harness.workers[worker].report.clone();
    report.address = CLAIMED_ADDRESS.into();
    report.started_wall_ms = started_wall_ms;
    harness.scheduler.worker_listed(report, harness.now);
}

fn list_true_entry(harness: &mut SchedulerHarness, worker: usize) {
    let report = harness.workers[worker].report.clone();
    harness.scheduler.worker_listed(report, harness.now);
}

/// Checks that the run of `a` has gone on alone, and that both workers take tasks.
fn check_run_and_room(harness: &mut SchedulerHarness) {
    harness.submit("rest", job(vec![step(7)], 3));
    harness.run_for(1_000);
    assert!(!harness.scheduler.is_fenced());
    assert_eq!(harness.start_count("a.0.0.0"), 1);
    assert_eq!(harness.concurrent_runs_max("a.0.0.0"), 1);
    assert_eq!(harness.running().len(), 8, "both workers take tasks");
}

/// Guards against a leader that steps down, or ends runs, since polls to a claimed address are refused, find nobody
/// or get no answer.
#[test]
fn polls_to_a_claimed_address_decide_nothing() {
    for answer in AddressAnswer::ALL {
        for started_wall_ms in CLAIMED_STARTS {
            let (mut harness, worker) = harness_with_run(answer);
            claim_address(&mut harness, worker, started_wall_ms);
            harness.run_for(2_000);
            check_run_and_room(&mut harness);
        }
    }
}

/// Guards against the same by starts that were sent before the link was opened or are sent again over it, and
/// against two runs of their tasks.
#[test]
fn starts_to_a_claimed_address_decide_nothing() {
    for answer in AddressAnswer::ALL {
        for started_wall_ms in CLAIMED_STARTS {
            let (mut harness, worker) = harness_with_run(answer);
            harness.hold_starts = true;
            harness.submit("b", job(vec![step(7)], 3));
            harness.run_for(50);
            claim_address(&mut harness, worker, started_wall_ms);
            harness.deliver_starts();
            harness.run_for(3_000);
            assert!(!harness.scheduler.is_fenced(), "{answer:?}");
            assert_eq!(harness.start_count("a.0.0.0"), 1);
            for index in 0..7 {
                let task = format!("b.0.0.{index}");
                assert_eq!(harness.concurrent_runs_max(&task), 1, "{answer:?} {task}");
            }
            assert_eq!(harness.running().len(), 8, "{answer:?}");
            harness.end_all_runs(RunEndKind::Done);
            harness.run_for(500);
            assert_eq!(harness.state("b"), JobState::Completed);
        }
    }
}

/// Guards against the same by stops, and against a run that is not stopped since its stop met nobody.
#[test]
fn stops_to_a_claimed_address_decide_nothing() {
    for answer in AddressAnswer::ALL {
        for started_wall_ms in CLAIMED_STARTS {
            let (mut harness, worker) = harness_with_run(answer);
            harness.submit("b", job(vec![step(7)], 3));
            harness.run_for(100);
            claim_address(&mut harness, worker, started_wall_ms);
            harness.cancel("b");
            harness.run_for(2_000);
            assert_eq!(harness.running(), ["a.0.0.0"], "{answer:?}");
            check_run_and_room(&mut harness);
        }
    }
}

/// Sends the next orders without a result, and returns them.
fn take_orders(harness: &mut SchedulerHarness) -> Vec<Action> {
    harness.now = harness.now.after_ms(10);
    harness.scheduler.advance(harness.now, harness.now)
}

/// Guards against a leader that steps down since the refusal of an order to a claimed address arrives after the claim
/// has been refuted.
#[test]
fn a_refusal_at_a_claimed_address_that_arrives_late_does_not_fence() {
    for started_wall_ms in CLAIMED_STARTS {
        let (mut harness, worker) = harness_with_run(AddressAnswer::Fenced);
        harness.submit("b", job(vec![step(7)], 3));
        harness.run_for(100);
        claim_address(&mut harness, worker, started_wall_ms);
        harness.cancel("b");
        let orders = take_orders(&mut harness);
        list_true_entry(&mut harness, worker);
        let (mut polls, mut stops) = (0, 0);
        for order in orders {
            let id = match &order {
                Action::Poll(key, _) | Action::Stop(key, ..) => harness.scheduler.worker(*key),
                _ => None,
            };
            if id.is_none_or(|report| report.id != harness.workers[worker].report.id) {
                harness.execute(order);
                continue;
            }
            match order {
                Action::Poll(key, _) => {
                    polls += 1;
                    let result = PollResult::Refused(Refusal::Fenced);
                    harness
                        .scheduler
                        .poll_ended(key, result, harness.now, harness.now);
                }
                Action::Stop(key, stop, _) => {
                    stops += 1;
                    let result = AddressAnswer::Fenced.to_order();
                    harness
                        .scheduler
                        .stopped(key, stop.run, result, harness.now);
                }
                _ => {}
            }
        }
        assert!(polls > 0 && stops > 0, "{polls} polls, {stops} stops");
        assert!(!harness.scheduler.is_fenced());
        harness.run_for(2_000);
        assert_eq!(harness.running(), ["a.0.0.0"]);
        check_run_and_room(&mut harness);
    }
}

/// Guards against a leader that goes on after a worker has refused its orders at the known address.
#[test]
fn a_refusal_at_the_known_address_fences_despite_a_claim() {
    for is_refuted in [true, false] {
        let (mut harness, worker) = harness_with_run(AddressAnswer::Unanswered);
        claim_address(&mut harness, worker, 1);
        harness.run_for(50);
        if is_refuted {
            list_true_entry(&mut harness, worker);
            harness.run_for(50);
        }
        assert!(!harness.scheduler.is_fenced());
        harness.refuse_fencing_token = true;
        harness.run_for(500);
        assert!(harness.scheduler.is_fenced());
    }
}

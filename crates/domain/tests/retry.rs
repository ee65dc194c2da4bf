//! Tests of retries: budget, choice of another instance, and time limit of an attempt.

use quickcheck::{Gen, QuickCheck};
use rosemaryscale_domain::prelude::*;
use rosemaryscale_domain::retry::{AttemptTimeLimit, Retry, RetryBudget};

mod simulation;

use simulation::{Behaviour, RETRY_BUDGET_PPM, SLOTS, Simulation};

fn quickcheck_with_seed(seed: u64) -> QuickCheck {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, seed))
        .tests(100)
}

/// Guards against a retry storm: for any order of events, the number of retries is at most the
/// reserve plus the permitted fraction of the first attempts.
#[test]
fn retries_stay_within_the_budget() {
    fn property(ppm: u32, events: Vec<bool>) {
        let ppm = ppm % 1_000_001;
        let mut budget = RetryBudget::new(ppm);
        budget.set_slots(40);
        let (mut first_attempts, mut retries) = (0_u64, 0_u64);
        for retry in events {
            if retry {
                retries += u64::from(budget.try_spend());
            } else {
                budget.record_first_attempt();
                first_attempts += 1;
            }
            let limit = 40 + first_attempts * u64::from(ppm) / 1_000_000;
            assert!(retries <= limit, "{retries} retries, limit {limit}");
        }
    }
    quickcheck_with_seed(11).quickcheck(property as fn(u32, Vec<bool>));
}

/// Guards against retries that multiply the load when every instance refuses.
#[test]
fn a_refusing_pool_gets_only_the_budgeted_retries() {
    let mut simulation = Simulation::new(4, 7);
    for instance in simulation.instances.clone() {
        let lost = Behaviour::RefusesConnections;
        simulation.behaviour.insert(instance, lost);
    }
    simulation.submit_load(20_000, 5, true);
    let reserve = u64::from(SLOTS) * 4;
    let share = simulation.first_attempts * u64::from(RETRY_BUDGET_PPM) / 1_000_000;
    assert!(simulation.retries <= reserve + share);
    assert!(simulation.retries > share / 2, "the budget is not used");
}

/// Guards against a retry on the instance that has just refused while another one is available.
#[test]
fn a_retry_goes_to_another_instance() {
    let mut keys: SlotMap<InstanceKey, ()> = SlotMap::with_key();
    let (failed, other) = (keys.insert(()), keys.insert(()));
    let now = Millis::from_ms(1_000);
    for (failed_attempts, backoff_ms) in [(1, 20), (2, 40), (9, 320)] {
        let retry = Retry::after(RequestKey::default(), failed, failed_attempts, now);
        assert!(retry.allows(other, now));
        assert!(!retry.allows(failed, now.after_ms(backoff_ms - 1)));
        assert!(retry.allows(failed, now.after_ms(backoff_ms)));
    }
    let mut simulation = Simulation::new(2, 7);
    let busy = simulation.instances[0];
    simulation.behaviour.insert(busy, Behaviour::Overloaded);
    // The requests fill the slots of both instances, so the other one is full when the refusals
    // arrive.
    for _ in 0..2 * SLOTS {
        simulation.submit(false);
    }
    simulation.run(100);
    assert_eq!(simulation.answered, u64::from(2 * SLOTS));
    assert_eq!(simulation.sent[&busy], u64::from(SLOTS));
}

/// Guards against an unresponsive connection that uses up the deadline of a repeatable request.
#[test]
fn a_repeatable_request_is_retried_when_its_instance_is_unresponsive() {
    let mut simulation = Simulation::new(2, 7);
    simulation.submit_load(200, 5, true);
    simulation.run(10);
    let answered = simulation.answered;
    let silent = simulation.instances[0];
    simulation.behaviour.insert(silent, Behaviour::Silent);
    simulation.submit(true);
    simulation.submit(true);
    simulation.run(600);
    assert_eq!(simulation.answered, answered + 2);
}

/// Guards against slow requests that are cancelled on every attempt: a cancelled attempt raises the
/// next limit, and old responses no longer count after two periods.
#[test]
fn the_attempt_limit_follows_the_response_times() {
    let deadline = Millis::from_ms(1_000_000);
    let mut now = Millis::from_ms(1_000);
    let mut time = AttemptTimeLimit::default();
    assert_eq!(time.limit(deadline, now), deadline);
    time.record(10, now);
    assert_eq!(time.limit(deadline, now), now.after_ms(250));
    time.record(250, now);
    assert_eq!(time.limit(deadline, now), now.after_ms(750));
    now = now.after_ms(31_000);
    time.record(10, now);
    assert_eq!(time.limit(deadline, now), now.after_ms(750));
    now = now.after_ms(61_000);
    time.record(10, now);
    assert_eq!(time.limit(deadline, now), now.after_ms(250));
}

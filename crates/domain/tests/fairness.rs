//! Shares of classes and callers, and admission, in loops with measured service times.

#![allow(
    clippy::expect_used,
    clippy::panic,
    reason = "helpers of the tests stop at a failed step"
)]

use quickcheck::{Gen, QuickCheck};
use rosemaryscale_domain::Dispatcher;
use rosemaryscale_domain::callers::Callers;
use rosemaryscale_domain::class_share::ClassPolicy;
use rosemaryscale_domain::dispatch::{DispatchAction, DispatchPolicy};
use rosemaryscale_domain::health::FaultDomain;
use rosemaryscale_domain::outcome::NotRunReason;
use rosemaryscale_domain::prelude::*;
use rosemaryscale_domain::request::{ClassIndex, Refusal, RequestInfo};

const SEEDS: [u64; 3] = [5, 71, 20_261_204];
const RUNS_PER_SEED: u64 = 12;
const DEADLINE_MS: u64 = 1_000_000;
const TICK_MS: u64 = 20;

fn policy(queue_limit: u32) -> DispatchPolicy {
    let class = |name: &str, weight, floor_ppm| ClassPolicy {
        name: name.into(),
        weight,
        floor_ppm,
        queue_limit,
    };
    DispatchPolicy {
        queue_limit: 3 * queue_limit,
        queue_limit_per_caller: queue_limit,
        classes: vec![
            class("urgent", 4, 200_000),
            class("normal", 2, 300_000),
            class("bulk", 1, 100_000),
        ],
        fallback_class: ClassIndex(0),
        attempts_max: 4,
        retry_budget_ppm: 1_000_000,
    }
}

/// A dispatcher whose exchanges last as long as their caller's work does.
struct Loop {
    dispatcher: Dispatcher,
    instance: InstanceKey,
    now: Millis,
    callers: SlotMap<CallerKey, u64>,
    infos: SecondaryMap<RequestKey, RequestInfo>,
    ends: Vec<(Millis, RequestKey)>,
    /// Requests as they were sent.
    sent: Vec<(Millis, RequestInfo)>,
    refused: Vec<(RequestInfo, NotRunReason)>,
}

impl Loop {
    fn new(queue_limit: u32, slots: u32) -> Self {
        let mut instances: SlotMap<InstanceKey, ()> = SlotMap::with_key();
        let instance = instances.insert(());
        let mut dispatcher = Dispatcher::new(policy(queue_limit));
        let domain = FaultDomain {
            rack: "rack".into(),
            zone: "zone".into(),
        };
        dispatcher.join(instance, domain, false, Millis::ZERO);
        dispatcher.set_usable_slots(instance, slots, Millis::MAX);
        Self {
            dispatcher,
            instance,
            now: Millis::from_ms(1_000),
            callers: SlotMap::with_key(),
            infos: SecondaryMap::new(),
            ends: Vec::new(),
            sent: Vec::new(),
            refused: Vec::new(),
        }
    }

    fn submit(&mut self, class: u8, caller: CallerKey, deadline_ms: u64) -> Result<(), Refusal> {
        let info = RequestInfo {
            caller,
            class: ClassIndex(class),
            arrived: self.now,
            deadline: self.now.after_ms(deadline_ms),
            repeatable: false,
            keyed: false,
        };
        let key = self.dispatcher.submit(info)?;
        self.infos.insert(key, info);
        self.advance();
        Ok(())
    }

    fn advance(&mut self) {
        for action in self.dispatcher.advance(self.now) {
            match action {
                DispatchAction::Send { request, .. } => {
                    let info = self.infos[request];
                    let end = self.now.after_ms(self.callers[info.caller]);
                    self.ends.push((end, request));
                    self.sent.push((self.now, info));
                }
                DispatchAction::Refuse { request, refusal } => {
                    let Refusal::NotRun(proof) = refusal else {
                        panic!("nothing failed here");
                    };
                    self.refused.push((self.infos[request], proof.reason()));
                }
                DispatchAction::Probe { .. } | DispatchAction::Report { .. } => {
                    panic!("nothing failed here");
                }
            }
        }
    }

    /// Lets time pass from end to end, and in steps of the daemon's tick.
    fn run(&mut self, ms: u64) {
        let until = self.now.after_ms(ms);
        while self.now < until {
            let ends = self.ends.iter().map(|(end, _)| *end);
            let end = ends.min().unwrap_or(until);
            self.now = self.now.after_ms(TICK_MS).min(end).min(until);
            let now = self.now;
            let ended: Vec<RequestKey> = self
                .ends
                .extract_if(.., |(end, _)| *end <= now)
                .map(|(_, key)| key)
                .collect();
            for key in ended {
                self.dispatcher.answered(key, now);
            }
            self.advance();
        }
    }

    fn queued_of(&self, class: u8) -> usize {
        self.dispatcher.queued_of(ClassIndex(class))
    }

    fn sent_of(&self, class: u8) -> usize {
        let of_class = |(_, info): &&(Millis, RequestInfo)| info.class == ClassIndex(class);
        self.sent.iter().filter(of_class).count()
    }

    fn sent_by(&self, caller: CallerKey) -> usize {
        let by_caller = |(_, info): &&(Millis, RequestInfo)| info.caller == caller;
        self.sent.iter().filter(by_caller).count()
    }
}

fn check(runs: u64, property: fn(u8, [u8; 3]) -> bool) {
    for seed in SEEDS {
        QuickCheck::new()
            .rng(Gen::from_size_and_seed(256, seed))
            .tests(runs)
            .quickcheck(property as fn(u8, [u8; 3]) -> bool);
    }
}

/// Guards against a class that starves or stays under its floor while all classes have work, for
/// any number of slots and any service times, with one slot as well.
#[test]
fn every_class_keeps_its_floor_of_slot_time() {
    const RUN_MS: u64 = 10_000;
    fn holds(slots: u8, service: [u8; 3]) -> bool {
        let slots = [1, 2, 3, 8, 20][usize::from(slots) % 5];
        let mut run = Loop::new(64, slots);
        let service = service.map(|ms| 5 + u64::from(ms) % 120);
        let callers = service.map(|ms| run.callers.insert(ms));
        for _ in 0..RUN_MS {
            for (class, caller) in (0..).zip(callers) {
                while run.queued_of(class) < 4 {
                    run.submit(class, caller, DEADLINE_MS)
                        .expect("there is room");
                }
            }
            run.run(1);
        }
        let used = [0, 1, 2].map(|class| run.sent_of(class) as u64 * service[usize::from(class)]);
        let all = u64::from(slots) * RUN_MS;
        let floors = [200_000, 300_000, 100_000];
        (0..3).all(|class| used[class] * 1_000_000 >= all * floors[class] * 95 / 100)
    }
    check(RUNS_PER_SEED, holds);
}

/// Guards against a class that saves up slot time while it has no work and then keeps the others out.
#[test]
fn a_class_gains_no_credit_while_it_has_no_work() {
    let mut run = Loop::new(64, 1);
    let callers = [0, 1].map(|_| run.callers.insert(10));
    let keep_backlogged = |run: &mut Loop, classes: &[u8], ms: u64| {
        for _ in 0..ms {
            for class in classes {
                while run.queued_of(*class) < 4 {
                    let caller = callers[usize::from(*class)];
                    run.submit(*class, caller, DEADLINE_MS)
                        .expect("there is room");
                }
            }
            run.run(1);
        }
    };
    keep_backlogged(&mut run, &[0], 10_000);
    let before = run.sent_of(0);
    keep_backlogged(&mut run, &[0, 1], 1_000);
    let after = run.sent_of(0) - before;
    assert!((30..=70).contains(&after), "{after} of 100 requests");
}

/// Guards against a class without a floor that starves while the floors of the others take up all
/// slots.
#[test]
fn a_class_without_a_floor_is_served_beside_floors_of_all_slots() {
    for slots in [1, 2, 10, 40] {
        let mut run = Loop::new(64, slots);
        let mut policy = policy(64);
        for (class, floor_ppm) in policy.classes.iter_mut().zip([600_000, 400_000, 0]) {
            class.floor_ppm = floor_ppm;
        }
        run.dispatcher.configure(policy);
        let callers = [0, 1, 2].map(|_| run.callers.insert(10));
        for _ in 0..10_000 {
            for (class, caller) in (0..).zip(callers) {
                while run.queued_of(class) < 4 {
                    run.submit(class, caller, DEADLINE_MS)
                        .expect("there is room");
                }
            }
            run.run(1);
        }
        let used_ms = run.sent_of(2) as u32 * 10;
        // One of the weights' 7 parts of 5% of the slots, less the parts of a slot that are lost.
        assert!(
            used_ms >= slots * 10_000 * 5 / 1_000,
            "{slots} slots: {used_ms} ms"
        );
    }
}

/// Guards against head-of-line blocking through slots in use: long requests of any one class leave
/// the floors of the others free, so that their requests are sent on arrival.
#[test]
fn long_work_of_any_class_leaves_the_floors_of_the_others_free() {
    fn holds(slots: u8, _: [u8; 3]) -> bool {
        let slots = 10 + u32::from(slots) % 60;
        let floors = [0.2, 0.3, 0.1];
        (0..3_u8).all(|flooding| {
            let mut run = Loop::new(500, slots);
            let flooder = run.callers.insert(4_000);
            for _ in 0..300 {
                run.submit(flooding, flooder, DEADLINE_MS)
                    .expect("there is room");
            }
            run.run(9_000);
            let others = (0..3_u8).filter(|class| *class != flooding);
            others.into_iter().all(|class| {
                let caller = run.callers.insert(20);
                let floor = (floors[usize::from(class)] * f64::from(slots)).floor() as u32;
                (0..floor).all(|_| {
                    run.submit(class, caller, 1_000).expect("there is room");
                    run.queued_of(class) == 0
                })
            })
        })
    }
    check(RUNS_PER_SEED, holds);
}

/// Guards against idle slots beside a queue of short work, and against borrowed slots that are not
/// given back within one service time.
#[test]
fn short_work_borrows_every_slot_and_gives_it_back_within_one_service_time() {
    fn holds(slots: u8, service: [u8; 3]) -> bool {
        let slots = 5 + u32::from(slots) % 60;
        let service_ms = 20 + u64::from(service[0]) % 40;
        (0..3_u8).all(|flooding| {
            let mut run = Loop::new(2_000, slots);
            let flooder = run.callers.insert(service_ms);
            for _ in 0..1_500 {
                run.submit(flooding, flooder, DEADLINE_MS)
                    .expect("there is room");
            }
            run.run(6 * service_ms);
            let is_borrowed = run.ends.len() == slots as usize;
            let other = (flooding + 1) % 3;
            let caller = run.callers.insert(service_ms);
            run.submit(other, caller, DEADLINE_MS)
                .expect("there is room");
            run.run(service_ms);
            is_borrowed && run.sent_of(other) == 1
        })
    }
    check(RUNS_PER_SEED, holds);
}

/// Guards against a caller that takes all turns of its class with many or with long requests, and
/// against one that keeps the others out by filling the queue.
#[test]
fn callers_of_a_class_take_turns_by_slot_time() {
    let mut run = Loop::new(40, 1);
    let [many, long, few] = [10, 50, 10].map(|ms| run.callers.insert(ms));
    let mut displaced = 0;
    for _ in 0..40 {
        run.submit(1, many, DEADLINE_MS)
            .expect("the queue has room");
    }
    for _ in 0..20_000 {
        for caller in [many, long, few] {
            while run.dispatcher.queued_of_caller(caller) < 3 {
                run.submit(1, caller, DEADLINE_MS)
                    .expect("a caller with less has a place");
            }
        }
        displaced = run.refused.len();
        run.run(1);
    }
    assert!(displaced > 0, "the full queue kept the other callers out");
    assert!(run.refused.iter().all(|(info, _)| info.caller == many));
    let used = [(many, 10), (long, 50), (few, 10)].map(|(caller, ms)| run.sent_by(caller) * ms);
    let fair = 20_000 / 3;
    assert!(used.iter().all(|used| *used > fair * 9 / 10), "{used:?}");
}

/// Guards against refusals at rest: a request that finds a free slot is sent, however slow the ones
/// before it were.
#[test]
fn at_rest_every_deadline_is_admitted() {
    fn holds(deadline: u8, service: [u8; 3]) -> bool {
        let mut run = Loop::new(64, 1);
        for ms in service.into_iter().cycle().take(40) {
            let caller = run.callers.insert(1 + 20 * u64::from(ms));
            let deadline_ms = 1 + u64::from(deadline);
            run.submit(0, caller, deadline_ms)
                .expect("nothing is in front");
            run.run(6_000);
        }
        run.sent_of(0) == 40 && run.refused.is_empty()
    }
    check(RUNS_PER_SEED, holds);
}

/// Guards against work that waits for an answer which cannot come: the refusal comes on arrival,
/// names the reason and says when the queue will have gone.
#[test]
fn an_unreachable_deadline_is_refused_on_arrival() {
    let mut run = Loop::new(64, 1);
    let caller = run.callers.insert(100);
    for _ in 0..50 {
        run.submit(0, caller, DEADLINE_MS).expect("there is room");
    }
    run.run(1_000);
    let refusal = run
        .submit(0, caller, 2_000)
        .expect_err("40 requests of 100 ms are in front");
    let Refusal::NotRun(proof) = refusal else {
        panic!("{refusal:?}");
    };
    assert_eq!(proof.reason(), NotRunReason::DeadlineUnreachable);
    let retry_after_ms = proof.retry_after_ms().expect("the queue is measured");
    assert!(
        (3_000..=5_000).contains(&retry_after_ms),
        "{retry_after_ms}"
    );
    run.submit(0, caller, 6_000)
        .expect("the deadline can be met");
}

/// Guards against an estimate that goes on refusing after a slow upstream has recovered.
#[test]
fn the_estimate_recovers_after_slow_service_and_a_burst() {
    let mut run = Loop::new(64, 2);
    let slow = run.callers.insert(3_000);
    for _ in 0..20 {
        run.submit(0, slow, 10_000).expect("there is room");
    }
    run.run(20_000);
    assert!(
        !run.refused.is_empty(),
        "the burst was too long for its deadlines"
    );
    let fast = run.callers.insert(10);
    let before = run.refused.len();
    for _ in 0..200 {
        for _ in 0..3 {
            run.submit(0, fast, 500).expect("the queue is short again");
        }
        run.run(50);
    }
    assert_eq!(run.refused.len(), before);
}

/// Guards against sending work that cannot be answered in time any more, and against refusing it
/// before that point.
#[test]
fn queued_work_is_refused_once_the_shortest_answer_would_be_late() {
    let mut run = Loop::new(64, 1);
    let caller = run.callers.insert(200);
    run.submit(0, caller, 1_000).expect("nothing is in front");
    run.run(200);
    let long = run.callers.insert(5_000);
    run.submit(0, long, DEADLINE_MS)
        .expect("nothing is in front");
    run.submit(0, caller, 1_000)
        .expect("the queue has not stood");
    run.run(799);
    assert!(run.refused.is_empty());
    run.run(1);
    let reasons: Vec<NotRunReason> = run.refused.iter().map(|(_, reason)| *reason).collect();
    assert_eq!(reasons, [NotRunReason::DeadlineUnreachable]);
}

/// Guards against a full queue of two flooding classes that keeps the third out.
#[test]
fn each_class_keeps_places_in_a_full_service_queue() {
    let mut instances: SlotMap<InstanceKey, ()> = SlotMap::with_key();
    let mut run = Loop::new(60, 1);
    let policy = DispatchPolicy {
        queue_limit: 90,
        ..policy(60)
    };
    run.dispatcher = Dispatcher::new(policy);
    run.instance = instances.insert(());
    for class in [0, 1] {
        let caller = run.callers.insert(100);
        while run.submit(class, caller, DEADLINE_MS).is_ok() {}
    }
    assert_eq!(run.dispatcher.queued(), 60);
    let other = run.callers.insert(100);
    for _ in 0..30 {
        run.submit(2, other, DEADLINE_MS).expect("places are kept");
    }
    assert_eq!(run.dispatcher.queued(), 90);
}

/// Guards against caller entries that grow with every name ever seen.
#[test]
fn a_caller_is_forgotten_with_its_last_request() {
    let mut callers = Callers::default();
    for round in 0..100 {
        let name: Arc<str> = format!("caller-{round}").into();
        let keys = [callers.acquire(&name), callers.acquire(&name)];
        assert_eq!(keys[0], keys[1]);
        callers.release(keys[0]);
        assert_eq!(callers.len(), 1, "a request is left");
        callers.release(keys[1]);
        assert!(callers.is_empty());
    }
}

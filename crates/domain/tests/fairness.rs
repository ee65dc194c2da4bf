//! Tests of class shares, caller fairness and admission with simulated service times.

#![allow(
    clippy::expect_used,
    clippy::panic,
    reason = "test helpers panic on failure"
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

/// A dispatcher in simulated time. Each caller has a fixed service time.
struct DispatcherSimulation {
    dispatcher: Dispatcher,
    instance: InstanceKey,
    now: Millis,
    callers: SlotMap<CallerKey, u64>,
    infos: SecondaryMap<RequestKey, RequestInfo>,
    pending_ends: Vec<(Millis, RequestKey)>,
    /// Sent requests in the order of dispatch.
    sent: Vec<(Millis, RequestInfo)>,
    refused: Vec<(RequestInfo, NotRunReason)>,
}

impl DispatcherSimulation {
    fn new(queue_limit: u32, slots: u32) -> Self {
        let mut instances: SlotMap<InstanceKey, ()> = SlotMap::with_key();
        let instance = instances.insert(());
        let mut dispatcher = Dispatcher::new(policy(queue_limit));
        let domain = FaultDomain {
            rack: "rack".into(),
            zone: "zone".into(),
        };
        dispatcher.add_instance(instance, domain, false, Millis::ZERO);
        dispatcher.set_usable_slots(instance, slots, Millis::MAX);
        Self {
            dispatcher,
            instance,
            now: Millis::from_ms(1_000),
            callers: SlotMap::with_key(),
            infos: SecondaryMap::new(),
            pending_ends: Vec::new(),
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
                    self.pending_ends.push((end, request));
                    self.sent.push((self.now, info));
                }
                DispatchAction::Refuse { request, refusal } => {
                    let Refusal::NotRun(proof) = refusal else {
                        panic!("no request fails in this test");
                    };
                    self.refused.push((self.infos[request], proof.reason()));
                }
                DispatchAction::Probe { .. } | DispatchAction::Report { .. } => {
                    panic!("no request fails in this test");
                }
            }
        }
    }

    /// Advances the time to each end of an exchange, and at least by one tick of the daemon.
    fn run(&mut self, ms: u64) {
        let until = self.now.after_ms(ms);
        while self.now < until {
            let pending_ends = self.pending_ends.iter().map(|(end, _)| *end);
            let end = pending_ends.min().unwrap_or(until);
            self.now = self.now.after_ms(TICK_MS).min(end).min(until);
            let now = self.now;
            let ended: Vec<RequestKey> = self
                .pending_ends
                .extract_if(.., |(end, _)| *end <= now)
                .map(|(_, key)| key)
                .collect();
            for key in ended {
                self.dispatcher.record_response(key, now);
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

/// With all classes backlogged, each one must get at least its floor of the slot time, for any
/// number of slots, including one, and any service times.
#[test]
fn every_class_gets_its_floor_of_slot_time() {
    const RUN_MS: u64 = 10_000;
    fn property(slots: u8, service: [u8; 3]) -> bool {
        let slots = [1, 2, 3, 8, 20][usize::from(slots) % 5];
        let mut sim = DispatcherSimulation::new(64, slots);
        let service = service.map(|ms| 5 + u64::from(ms) % 120);
        let callers = service.map(|ms| sim.callers.insert(ms));
        for _ in 0..RUN_MS {
            for (class, caller) in (0..).zip(callers) {
                while sim.queued_of(class) < 4 {
                    sim.submit(class, caller, DEADLINE_MS)
                        .expect("the queue has room");
                }
            }
            sim.run(1);
        }
        let used = [0, 1, 2].map(|class| sim.sent_of(class) as u64 * service[usize::from(class)]);
        let all = u64::from(slots) * RUN_MS;
        let floors = [200_000, 300_000, 100_000];
        (0..3).all(|class| used[class] * 1_000_000 >= all * floors[class] * 95 / 100)
    }
    check(RUNS_PER_SEED, property);
}

/// A class must not accumulate slot time while it is idle and then starve the others.
#[test]
fn an_idle_class_accumulates_no_credit() {
    let mut sim = DispatcherSimulation::new(64, 1);
    let callers = [0, 1].map(|_| sim.callers.insert(10));
    let keep_backlogged = |sim: &mut DispatcherSimulation, classes: &[u8], ms: u64| {
        for _ in 0..ms {
            for class in classes {
                while sim.queued_of(*class) < 4 {
                    let caller = callers[usize::from(*class)];
                    sim.submit(*class, caller, DEADLINE_MS)
                        .expect("the queue has room");
                }
            }
            sim.run(1);
        }
    };
    keep_backlogged(&mut sim, &[0], 10_000);
    let before = sim.sent_of(0);
    keep_backlogged(&mut sim, &[0, 1], 1_000);
    let after = sim.sent_of(0) - before;
    assert!((30..=70).contains(&after), "{after} of 100 requests");
}

/// A class without a floor must be served even if the floors of the others add up to all slots.
#[test]
fn a_class_without_a_floor_does_not_starve() {
    for slots in [1, 2, 10, 40] {
        let mut sim = DispatcherSimulation::new(64, slots);
        let mut policy = policy(64);
        for (class, floor_ppm) in policy.classes.iter_mut().zip([600_000, 400_000, 0]) {
            class.floor_ppm = floor_ppm;
        }
        sim.dispatcher.configure(policy);
        let callers = [0, 1, 2].map(|_| sim.callers.insert(10));
        for _ in 0..10_000 {
            for (class, caller) in (0..).zip(callers) {
                while sim.queued_of(class) < 4 {
                    sim.submit(class, caller, DEADLINE_MS)
                        .expect("the queue has room");
                }
            }
            sim.run(1);
        }
        let used_ms = sim.sent_of(2) as u32 * 10;
        // The class has 1/7 of the weights, and 5% of the slots are shared by weight. The limit is
        // lower because of rounding to whole slots.
        assert!(
            used_ms >= slots * 10_000 * 5 / 1_000,
            "{slots} slots: {used_ms} ms"
        );
    }
}

/// Long requests of one class must not block the others by holding the slots: they must leave the
/// floors of the other classes free, so that requests of those are sent on arrival.
#[test]
fn long_requests_of_a_class_leave_the_floors_of_other_classes_free() {
    fn property(slots: u8, _: [u8; 3]) -> bool {
        let slots = 10 + u32::from(slots) % 60;
        let floors = [0.2, 0.3, 0.1];
        (0..3_u8).all(|flooding_class| {
            let mut sim = DispatcherSimulation::new(500, slots);
            let flooding_caller = sim.callers.insert(4_000);
            for _ in 0..300 {
                sim.submit(flooding_class, flooding_caller, DEADLINE_MS)
                    .expect("the queue has room");
            }
            sim.run(9_000);
            let others = (0..3_u8).filter(|class| *class != flooding_class);
            others.into_iter().all(|class| {
                let caller = sim.callers.insert(20);
                let floor = (floors[usize::from(class)] * f64::from(slots)).floor() as u32;
                (0..floor).all(|_| {
                    sim.submit(class, caller, 1_000)
                        .expect("the queue has room");
                    sim.queued_of(class) == 0
                })
            })
        })
    }
    check(RUNS_PER_SEED, property);
}

/// No slot may stay idle while short requests are queued, and borrowed slots must be returned
/// within one service time.
#[test]
fn short_requests_borrow_all_slots_and_return_them_within_one_service_time() {
    fn property(slots: u8, service: [u8; 3]) -> bool {
        let slots = 5 + u32::from(slots) % 60;
        let service_ms = 20 + u64::from(service[0]) % 40;
        (0..3_u8).all(|flooding_class| {
            let mut sim = DispatcherSimulation::new(2_000, slots);
            let flooding_caller = sim.callers.insert(service_ms);
            for _ in 0..1_500 {
                sim.submit(flooding_class, flooding_caller, DEADLINE_MS)
                    .expect("the queue has room");
            }
            sim.run(6 * service_ms);
            let is_borrowed = sim.pending_ends.len() == slots as usize;
            let other = (flooding_class + 1) % 3;
            let caller = sim.callers.insert(service_ms);
            sim.submit(other, caller, DEADLINE_MS)
                .expect("the queue has room");
            sim.run(service_ms);
            is_borrowed && sim.sent_of(other) == 1
        })
    }
    check(RUNS_PER_SEED, property);
}

/// A caller must not monopolise its class with many or long requests, or lock out others by filling
/// the queue.
#[test]
fn callers_of_a_class_share_slot_time_equally() {
    let mut sim = DispatcherSimulation::new(40, 1);
    let [many, long, few] = [10, 50, 10].map(|ms| sim.callers.insert(ms));
    let mut evicted = 0;
    for _ in 0..40 {
        sim.submit(1, many, DEADLINE_MS)
            .expect("the queue has room");
    }
    for _ in 0..20_000 {
        for caller in [many, long, few] {
            while sim.dispatcher.queued_of_caller(caller) < 3 {
                sim.submit(1, caller, DEADLINE_MS)
                    .expect("a caller with fewer requests is admitted");
            }
        }
        evicted = sim.refused.len();
        sim.run(1);
    }
    assert!(evicted > 0, "no request was evicted from the full queue");
    assert!(sim.refused.iter().all(|(info, _)| info.caller == many));
    let used = [(many, 10), (long, 50), (few, 10)].map(|(caller, ms)| sim.sent_by(caller) * ms);
    let fair = 20_000 / 3;
    assert!(used.iter().all(|used| *used > fair * 9 / 10), "{used:?}");
}

/// A request that finds a free slot must be sent, however slow the previous requests were.
#[test]
fn an_idle_service_admits_every_deadline() {
    fn property(deadline: u8, service: [u8; 3]) -> bool {
        let mut sim = DispatcherSimulation::new(64, 1);
        for ms in service.into_iter().cycle().take(40) {
            let caller = sim.callers.insert(1 + 20 * u64::from(ms));
            let deadline_ms = 1 + u64::from(deadline);
            sim.submit(0, caller, deadline_ms)
                .expect("the queue is empty");
            sim.run(6_000);
        }
        sim.sent_of(0) == 40 && sim.refused.is_empty()
    }
    check(RUNS_PER_SEED, property);
}

/// A request whose deadline cannot be met must be refused on arrival instead of waiting. The
/// refusal has the reason and a retry time based on the queue length.
#[test]
fn an_unreachable_deadline_is_refused_on_arrival() {
    let mut sim = DispatcherSimulation::new(64, 1);
    let caller = sim.callers.insert(100);
    for _ in 0..50 {
        sim.submit(0, caller, DEADLINE_MS)
            .expect("the queue has room");
    }
    sim.run(1_000);
    let refusal = sim
        .submit(0, caller, 2_000)
        .expect_err("40 requests of 100 ms are queued ahead");
    let Refusal::NotRun(proof) = refusal else {
        panic!("{refusal:?}");
    };
    assert_eq!(proof.reason(), NotRunReason::DeadlineUnreachable);
    let retry_after_ms = proof.retry_after_ms().expect("the queue is measured");
    assert!(
        (3_000..=5_000).contains(&retry_after_ms),
        "{retry_after_ms}"
    );
    sim.submit(0, caller, 6_000)
        .expect("the deadline can be met");
}

/// The wait estimate must not cause refusals after a slow upstream has recovered.
#[test]
fn the_estimate_recovers_after_slow_service_and_a_burst() {
    let mut sim = DispatcherSimulation::new(64, 2);
    let slow = sim.callers.insert(3_000);
    for _ in 0..20 {
        sim.submit(0, slow, 10_000).expect("the queue has room");
    }
    sim.run(20_000);
    assert!(
        !sim.refused.is_empty(),
        "the burst was too long for its deadlines"
    );
    let fast = sim.callers.insert(10);
    let before = sim.refused.len();
    for _ in 0..200 {
        for _ in 0..3 {
            sim.submit(0, fast, 500).expect("the queue is short again");
        }
        sim.run(50);
    }
    assert_eq!(sim.refused.len(), before);
}

/// A queued request must be refused as soon as, but not before, it can no longer be answered in
/// time.
#[test]
fn queued_requests_are_refused_once_the_fastest_response_would_be_late() {
    let mut sim = DispatcherSimulation::new(64, 1);
    let caller = sim.callers.insert(200);
    sim.submit(0, caller, 1_000).expect("the queue is empty");
    sim.run(200);
    let long = sim.callers.insert(5_000);
    sim.submit(0, long, DEADLINE_MS)
        .expect("the queue is empty");
    sim.submit(0, caller, 1_000)
        .expect("the queue has not been standing long enough");
    sim.run(799);
    assert!(sim.refused.is_empty());
    sim.run(1);
    let reasons: Vec<NotRunReason> = sim.refused.iter().map(|(_, reason)| *reason).collect();
    assert_eq!(reasons, [NotRunReason::DeadlineUnreachable]);
}

/// Two flooding classes must not fill the queue places of the third one.
#[test]
fn each_class_has_reserved_places_in_a_full_service_queue() {
    let mut instances: SlotMap<InstanceKey, ()> = SlotMap::with_key();
    let mut sim = DispatcherSimulation::new(60, 1);
    let policy = DispatchPolicy {
        queue_limit: 90,
        ..policy(60)
    };
    sim.dispatcher = Dispatcher::new(policy);
    sim.instance = instances.insert(());
    for class in [0, 1] {
        let caller = sim.callers.insert(100);
        while sim.submit(class, caller, DEADLINE_MS).is_ok() {}
    }
    assert_eq!(sim.dispatcher.queued(), 60);
    let other = sim.callers.insert(100);
    for _ in 0..30 {
        sim.submit(2, other, DEADLINE_MS)
            .expect("the reserved places are free");
    }
    assert_eq!(sim.dispatcher.queued(), 90);
}

/// Caller entries must not accumulate for every name ever seen.
#[test]
fn a_caller_is_removed_with_its_last_request() {
    let mut callers = Callers::default();
    for round in 0..100 {
        let name: Arc<str> = format!("caller-{round}").into();
        let keys = [callers.acquire(&name), callers.acquire(&name)];
        assert_eq!(keys[0], keys[1]);
        callers.release(keys[0]);
        assert_eq!(callers.len(), 1, "one request is still active");
        callers.release(keys[1]);
        assert!(callers.is_empty());
    }
}

//! Property tests of the dispatcher: queue limits, request completion and class floors under random
//! event sequences.

#![allow(
    clippy::expect_used,
    clippy::panic,
    reason = "test helpers panic on failure"
)]

use std::collections::{BTreeMap, BTreeSet};

use quickcheck::{Arbitrary, Gen, QuickCheck};
use rosemaryscale_domain::Dispatcher;
use rosemaryscale_domain::class_share::ClassPolicy;
use rosemaryscale_domain::dispatch::{DispatchAction, DispatchPolicy};
use rosemaryscale_domain::health::FaultDomain;
use rosemaryscale_domain::outcome::UnknownReason;
use rosemaryscale_domain::prelude::*;
use rosemaryscale_domain::request::{ClassIndex, FailureEvidence, Refusal, RequestInfo};
use rosemaryscale_domain::retry::Retry;

const SEEDS: [u64; 4] = [3, 17, 20_261_204, 0x5eed];
const SCHEDULES_PER_SEED: u64 = 150;
const STEPS: usize = 250;
const NAMES: [&str; 3] = ["urgent", "normal", "bulk"];
const CLASS_LIMITS: [u32; 3] = [3, 10, 10];
const FLOORS_PPM: [u32; 3] = [200_000, 300_000, 100_000];
const WEIGHTS: [u32; 3] = [4, 2, 1];
const SERVICE_LIMIT: u32 = 20;
const CALLER_LIMIT: u32 = 5;
const INSTANCES: usize = 2;
const CALLERS: usize = 6;

#[derive(Clone, Copy, Debug)]
enum Step {
    Submit {
        caller: usize,
        class: usize,
        deadline_ms: u64,
        repeatable: bool,
    },
    Cancel(usize),
    Answer(usize),
    Fail(usize, FailureEvidence),
    Wait(u64),
    Slots(usize, u32),
    RemoveInstance(usize),
    /// Rotates the order of the classes.
    Renumber(usize),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let random_below = |g: &mut Gen, bound: usize| usize::arbitrary(g) % bound;
        match random_below(g, 20) {
            0..=8 => Self::Submit {
                caller: random_below(g, CALLERS),
                class: random_below(g, NAMES.len()),
                deadline_ms: 1 + random_below(g, 800) as u64,
                repeatable: bool::arbitrary(g),
            },
            9 => Self::Cancel(random_below(g, 64)),
            10..=12 => Self::Answer(random_below(g, 64)),
            13..=14 => {
                let evidence = [
                    FailureEvidence::NothingWritten,
                    FailureEvidence::RefusedNotRun,
                    FailureEvidence::MayHaveRun(UnknownReason::ConnectionLost),
                ];
                Self::Fail(random_below(g, 64), evidence[random_below(g, 3)])
            }
            15..=17 => Self::Wait(random_below(g, 120) as u64),
            18 if bool::arbitrary(g) => Self::Renumber(random_below(g, NAMES.len())),
            18 => Self::RemoveInstance(random_below(g, INSTANCES)),
            _ => Self::Slots(random_below(g, INSTANCES), random_below(g, 12) as u32),
        }
    }
}

#[derive(Clone, Debug)]
struct Schedule(Vec<Step>);

impl Arbitrary for Schedule {
    fn arbitrary(g: &mut Gen) -> Self {
        Self((0..STEPS).map(|_| Step::arbitrary(g)).collect())
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let steps = self.0.clone();
        let prefixes = [..steps.len() / 2, ..steps.len().saturating_sub(1)];
        Box::new(prefixes.into_iter().filter_map(move |prefix| {
            let kept = steps[prefix].to_vec();
            (kept.len() < steps.len()).then_some(Self(kept))
        }))
    }
}

fn class(class: usize) -> ClassPolicy {
    ClassPolicy {
        name: NAMES[class].into(),
        weight: WEIGHTS[class],
        floor_ppm: FLOORS_PPM[class],
        queue_limit: CLASS_LIMITS[class],
    }
}

fn fault_domain() -> FaultDomain {
    FaultDomain {
        rack: "rack".into(),
        zone: "zone".into(),
    }
}

fn policy(class_offset: usize) -> DispatchPolicy {
    DispatchPolicy {
        queue_limit: SERVICE_LIMIT,
        queue_limit_per_caller: CALLER_LIMIT,
        classes: (0..NAMES.len())
            .map(|offset| class((class_offset + offset) % NAMES.len()))
            .collect(),
        fallback_class: ClassIndex(0),
        attempts_max: 3,
        retry_budget_ppm: 1_000_000,
    }
}

/// Expected state of a request.
#[derive(Clone, Copy, Debug)]
struct TrackedRequest {
    class: usize,
    caller: usize,
    instance: Option<InstanceKey>,
    requeued: bool,
    failed_attempts: u32,
    /// The retry rule that excludes the instance of the failed attempt for a while.
    retry: Option<Retry>,
    repeatable: bool,
    may_have_run: bool,
}

impl TrackedRequest {
    /// Whether the request is waiting and may be sent to the instance.
    fn may_take(&self, instance: InstanceKey, now: Millis) -> bool {
        self.instance.is_none() && self.retry.is_none_or(|retry| retry.allows(instance, now))
    }
}

struct CheckedDispatcher {
    dispatcher: Dispatcher,
    now: Millis,
    class_offset: usize,
    callers: Vec<CallerKey>,
    instances: Vec<InstanceKey>,
    usable: SecondaryMap<InstanceKey, u32>,
    requests: BTreeMap<RequestKey, TrackedRequest>,
}

impl CheckedDispatcher {
    fn new() -> Self {
        let mut callers: SlotMap<CallerKey, ()> = SlotMap::with_key();
        let mut instances: SlotMap<InstanceKey, ()> = SlotMap::with_key();
        Self {
            dispatcher: Dispatcher::new(policy(0)),
            now: Millis::from_ms(1_000),
            class_offset: 0,
            callers: (0..CALLERS).map(|_| callers.insert(())).collect(),
            instances: (0..INSTANCES).map(|_| instances.insert(())).collect(),
            usable: SecondaryMap::new(),
            requests: BTreeMap::new(),
        }
    }

    fn index(&self, class: usize) -> ClassIndex {
        ClassIndex(((class + NAMES.len() - self.class_offset) % NAMES.len()) as u8)
    }

    fn nth_request(&self, sent: bool, number: usize) -> Option<RequestKey> {
        let mut keys = self.requests.iter();
        let keys: Vec<RequestKey> = keys
            .by_ref()
            .filter(|(_, tracked)| tracked.instance.is_some() == sent)
            .map(|(key, _)| *key)
            .collect();
        (!keys.is_empty()).then(|| keys[number % keys.len()])
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Submit {
                caller,
                class,
                deadline_ms,
                repeatable,
            } => {
                let info = RequestInfo {
                    caller: self.callers[caller],
                    class: self.index(class),
                    arrived: self.now,
                    deadline: self.now.after_ms(deadline_ms),
                    repeatable,
                    keyed: false,
                };
                match self.dispatcher.submit(info) {
                    Ok(key) => {
                        let tracked = TrackedRequest {
                            class,
                            caller,
                            instance: None,
                            requeued: false,
                            failed_attempts: 0,
                            retry: None,
                            repeatable,
                            may_have_run: false,
                        };
                        assert!(self.requests.insert(key, tracked).is_none());
                    }
                    Err(refusal) => assert!(matches!(refusal, Refusal::NotRun(_))),
                }
            }
            Step::Cancel(number) => {
                if let Some(key) = self.nth_request(false, number) {
                    self.dispatcher.cancel(key);
                    if !self.dispatcher.contains(key) {
                        self.requests.remove(&key);
                    }
                }
            }
            Step::Answer(number) => {
                if let Some(key) = self.nth_request(true, number) {
                    self.dispatcher.record_response(key, self.now);
                    self.requests.remove(&key);
                }
            }
            Step::Fail(number, evidence) => self.fail(number, evidence),
            Step::Wait(ms) => self.now = self.now.after_ms(ms),
            Step::Slots(instance, slots) => {
                let instance = self.instances[instance];
                self.dispatcher
                    .add_instance(instance, fault_domain(), false, self.now);
                self.dispatcher
                    .set_usable_slots(instance, slots, Millis::MAX);
                self.usable.insert(instance, slots);
            }
            Step::RemoveInstance(instance) => {
                self.dispatcher
                    .retire_instance(self.instances[instance], self.now);
                self.usable.remove(self.instances[instance]);
                self.end_exchanges_of(self.instances[instance]);
                self.dispatcher.remove_idle();
            }
            Step::Renumber(class_offset) => {
                self.class_offset = class_offset;
                self.dispatcher.configure(policy(class_offset));
            }
        }
    }

    /// Ends the exchanges of a removed instance. An instance that is removed and added again starts
    /// with free slots. The daemon never reuses the key, but this test does.
    fn end_exchanges_of(&mut self, instance: InstanceKey) {
        let keys: Vec<RequestKey> = self
            .requests
            .iter()
            .filter(|(_, tracked)| tracked.instance == Some(instance))
            .map(|(key, _)| *key)
            .collect();
        for key in keys {
            self.dispatcher.record_response(key, self.now);
            self.requests.remove(&key);
        }
    }

    fn fail(&mut self, number: usize, evidence: FailureEvidence) {
        let Some(key) = self.nth_request(true, number) else {
            return;
        };
        let refusal = self.dispatcher.record_failure(key, evidence, self.now);
        let mut tracked = self.requests[&key];
        tracked.may_have_run |= matches!(evidence, FailureEvidence::MayHaveRun(_));
        tracked.failed_attempts += 1;
        tracked.retry = tracked
            .instance
            .map(|instance| Retry::after(key, instance, tracked.failed_attempts, self.now));
        tracked.instance = None;
        tracked.requeued = true;
        if let Some(refusal) = refusal {
            self.check_refusal(tracked, refusal);
            self.requests.remove(&key);
        } else {
            assert!(!tracked.may_have_run || tracked.repeatable, "repeated");
            self.requests.insert(key, tracked);
        }
    }

    fn check_refusal(&self, tracked: TrackedRequest, refusal: Refusal) {
        let is_not_run = matches!(refusal, Refusal::NotRun(_));
        assert_eq!(
            is_not_run, !tracked.may_have_run,
            "{tracked:?}: {refusal:?}"
        );
    }

    fn in_flight(&self, is_counted: impl Fn(&TrackedRequest) -> bool) -> u32 {
        let sent = self
            .requests
            .values()
            .filter(|tracked| tracked.instance.is_some());
        sent.filter(|tracked| is_counted(tracked)).count() as u32
    }

    fn floor(&self, class: usize) -> u32 {
        let usable: u32 = self.usable.values().sum();
        usable * FLOORS_PPM[class] / 1_000_000
    }

    /// Executes the actions of the dispatcher and checks each of them.
    fn advance(&mut self) {
        let mut above_floor = BTreeSet::new();
        for action in self.dispatcher.advance(self.now) {
            match action {
                DispatchAction::Send {
                    request,
                    instance,
                    deadline,
                    prefer_recently_used,
                } => {
                    assert!(self.now < deadline, "sent too late");
                    let busy = self.in_flight(|tracked| tracked.instance == Some(instance));
                    assert!(busy < self.usable[instance], "no slot was free");
                    let class = self.requests[&request].class;
                    let of_class = self.in_flight(|tracked| tracked.class == class);
                    if of_class >= self.floor(class) {
                        above_floor.insert(instance);
                    }
                    let tracked = self.requests.get_mut(&request).expect("a tracked request");
                    assert!(tracked.instance.is_none(), "sent while in flight");
                    assert!(tracked.may_take(instance, self.now), "retried too early");
                    assert_eq!(prefer_recently_used, !tracked.repeatable);
                    tracked.instance = Some(instance);
                }
                DispatchAction::Refuse { request, refusal } => {
                    let tracked = self.requests.remove(&request).expect("a tracked request");
                    assert!(tracked.instance.is_none(), "refused while in flight");
                    self.check_refusal(tracked, refusal);
                }
                DispatchAction::Probe { .. } | DispatchAction::Report { .. } => {
                    panic!("no health observation was recorded");
                }
            }
        }
        self.check_queues(&above_floor);
    }

    fn check_queues(&self, above_floor: &BTreeSet<InstanceKey>) {
        assert_eq!(
            self.dispatcher.len(),
            self.requests.len(),
            "a request was lost"
        );
        let queued = |is_counted: &dyn Fn(&TrackedRequest) -> bool| {
            let queued = self
                .requests
                .values()
                .filter(|tracked| tracked.instance.is_none());
            queued.filter(|tracked| is_counted(tracked)).count()
        };
        let requeued = queued(&|tracked| tracked.requeued);
        assert!(self.dispatcher.queued() <= SERVICE_LIMIT as usize + requeued);
        for caller in &self.callers {
            let queued = self.dispatcher.queued_of_caller(*caller) as usize;
            assert!(
                queued <= CALLER_LIMIT as usize + requeued,
                "caller over its limit"
            );
        }
        let free_instances: BTreeSet<InstanceKey> = self.free_instances().collect();
        for (class, limit) in CLASS_LIMITS.into_iter().enumerate() {
            let index = self.index(class);
            let of_class = queued(&|tracked| tracked.class == class);
            assert_eq!(self.dispatcher.queued_of(index), of_class);
            let in_flight = self.in_flight(|tracked| tracked.class == class);
            assert_eq!(self.dispatcher.in_flight_of(index), in_flight);
            let class_requests = self
                .requests
                .values()
                .filter(|tracked| tracked.class == class);
            let callers: BTreeSet<usize> = class_requests.map(|tracked| tracked.caller).collect();
            assert_eq!(self.dispatcher.caller_count(index), callers.len());
            let requeued = queued(&|tracked| tracked.class == class && tracked.requeued);
            assert!(of_class <= limit as usize + requeued);
            let is_below_floor = |instances: &BTreeSet<InstanceKey>| {
                in_flight < self.floor(class) && self.may_take_any(class, instances)
            };
            assert!(
                !is_below_floor(above_floor),
                "a class above its floor was served before a class below its floor"
            );
            assert!(
                !(is_below_floor(&free_instances) && self.all_within_slots()),
                "a class below its floor did not get a free slot"
            );
        }
    }

    fn free_instances(&self) -> impl Iterator<Item = InstanceKey> {
        let free_instances = self.usable.iter().filter(|(instance, usable)| {
            self.in_flight(|tracked| tracked.instance == Some(*instance)) < **usable
        });
        free_instances.map(|(instance, _)| instance)
    }

    /// Whether a waiting request of the class may be sent to one of the instances. A retry must not
    /// be sent to the instance that failed it during its pause.
    fn may_take_any(&self, class: usize, instances: &BTreeSet<InstanceKey>) -> bool {
        let mut of_class = self
            .requests
            .values()
            .filter(|tracked| tracked.class == class);
        of_class.any(|tracked| {
            let mut instances = instances.iter();
            instances.any(|instance| tracked.may_take(*instance, self.now))
        })
    }

    /// Whether no instance exceeds its slots. Otherwise the excess on one instance offsets free
    /// slots of another.
    fn all_within_slots(&self) -> bool {
        self.usable.iter().all(|(instance, usable)| {
            self.in_flight(|tracked| tracked.instance == Some(instance)) <= *usable
        })
    }

    /// Ends all requests and checks that no state is left.
    fn finish(&mut self) {
        for instance in self.instances.clone() {
            self.dispatcher
                .add_instance(instance, fault_domain(), false, self.now);
            self.dispatcher.set_usable_slots(instance, 4, Millis::MAX);
            self.usable.insert(instance, 4);
        }
        for _ in 0..=(SERVICE_LIMIT + 64) {
            self.advance();
            while let Some(key) = self.nth_request(true, 0) {
                self.dispatcher.record_response(key, self.now);
                self.requests.remove(&key);
            }
            self.now = self.now.after_ms(10);
        }
        assert!(self.requests.is_empty(), "never ended: {:?}", self.requests);
        assert!(self.dispatcher.is_empty());
        for class in 0..NAMES.len() {
            assert_eq!(
                self.dispatcher.caller_count(self.index(class)),
                0,
                "caller state was leaked"
            );
        }
    }
}

/// Checks random schedules against these errors: queues over their limits, requests that end twice
/// or never, a "not run" refusal for a request that may have run, more exchanges than slots,
/// ignored class floors, and leaked caller state.
#[test]
fn invariants_hold_and_each_request_ends_once_under_any_schedule() {
    fn holds(schedule: Schedule) -> bool {
        let mut checker = CheckedDispatcher::new();
        for step in schedule.0 {
            checker.step(step);
            checker.advance();
        }
        checker.finish();
        true
    }
    for seed in SEEDS {
        QuickCheck::new()
            .rng(Gen::from_size_and_seed(STEPS, seed))
            .tests(SCHEDULES_PER_SEED)
            .quickcheck(holds as fn(Schedule) -> bool);
    }
}

//! Schedules over the dispatcher's queue: bounds, ends and floors under any order of events.

#![allow(
    clippy::expect_used,
    clippy::panic,
    reason = "helpers of the tests stop at a failed step"
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
        name: usize,
        deadline_ms: u64,
        repeatable: bool,
    },
    Cancel(usize),
    Answer(usize),
    Fail(usize, FailureEvidence),
    Wait(u64),
    Slots(usize, u32),
    RemoveInstance(usize),
    /// Puts the classes into another order.
    Renumber(usize),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let pick = |g: &mut Gen, below: usize| usize::arbitrary(g) % below;
        match pick(g, 20) {
            0..=8 => Self::Submit {
                caller: pick(g, CALLERS),
                name: pick(g, NAMES.len()),
                deadline_ms: 1 + pick(g, 800) as u64,
                repeatable: bool::arbitrary(g),
            },
            9 => Self::Cancel(pick(g, 64)),
            10..=12 => Self::Answer(pick(g, 64)),
            13..=14 => {
                let evidence = [
                    FailureEvidence::NothingWritten,
                    FailureEvidence::RefusedNotRun,
                    FailureEvidence::MayHaveRun(UnknownReason::ConnectionLost),
                ];
                Self::Fail(pick(g, 64), evidence[pick(g, 3)])
            }
            15..=17 => Self::Wait(pick(g, 120) as u64),
            18 if bool::arbitrary(g) => Self::Renumber(pick(g, NAMES.len())),
            18 => Self::RemoveInstance(pick(g, INSTANCES)),
            _ => Self::Slots(pick(g, INSTANCES), pick(g, 12) as u32),
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
        let halves = [..steps.len() / 2, ..steps.len().saturating_sub(1)];
        Box::new(halves.into_iter().filter_map(move |half| {
            let kept = steps[half].to_vec();
            (kept.len() < steps.len()).then_some(Self(kept))
        }))
    }
}

fn class(name: usize) -> ClassPolicy {
    ClassPolicy {
        name: NAMES[name].into(),
        weight: WEIGHTS[name],
        floor_ppm: FLOORS_PPM[name],
        queue_limit: CLASS_LIMITS[name],
    }
}

fn domain() -> FaultDomain {
    FaultDomain {
        rack: "rack".into(),
        zone: "zone".into(),
    }
}

fn policy(first: usize) -> DispatchPolicy {
    DispatchPolicy {
        queue_limit: SERVICE_LIMIT,
        queue_limit_per_caller: CALLER_LIMIT,
        classes: (0..NAMES.len())
            .map(|offset| class((first + offset) % NAMES.len()))
            .collect(),
        fallback_class: ClassIndex(0),
        attempts_max: 3,
        retry_budget_ppm: 1_000_000,
    }
}

/// What the test knows of a request.
#[derive(Clone, Copy, Debug)]
struct Known {
    name: usize,
    caller: usize,
    instance: Option<InstanceKey>,
    returned: bool,
    failed_attempts: u32,
    /// The pause on the instance of the failed attempt, which the rules of retries ask for.
    retry: Option<Retry>,
    repeatable: bool,
    may_have_run: bool,
}

impl Known {
    /// Whether the request waits and may be sent to the instance.
    fn may_take(&self, instance: InstanceKey, now: Millis) -> bool {
        self.instance.is_none() && self.retry.is_none_or(|retry| retry.allows(instance, now))
    }
}

struct Checker {
    dispatcher: Dispatcher,
    now: Millis,
    first: usize,
    callers: Vec<CallerKey>,
    instances: Vec<InstanceKey>,
    usable: SecondaryMap<InstanceKey, u32>,
    requests: BTreeMap<RequestKey, Known>,
}

impl Checker {
    fn new() -> Self {
        let mut callers: SlotMap<CallerKey, ()> = SlotMap::with_key();
        let mut instances: SlotMap<InstanceKey, ()> = SlotMap::with_key();
        Self {
            dispatcher: Dispatcher::new(policy(0)),
            now: Millis::from_ms(1_000),
            first: 0,
            callers: (0..CALLERS).map(|_| callers.insert(())).collect(),
            instances: (0..INSTANCES).map(|_| instances.insert(())).collect(),
            usable: SecondaryMap::new(),
            requests: BTreeMap::new(),
        }
    }

    fn index(&self, name: usize) -> ClassIndex {
        ClassIndex(((name + NAMES.len() - self.first) % NAMES.len()) as u8)
    }

    fn nth(&self, sent: bool, number: usize) -> Option<RequestKey> {
        let mut keys = self.requests.iter();
        let keys: Vec<RequestKey> = keys
            .by_ref()
            .filter(|(_, known)| known.instance.is_some() == sent)
            .map(|(key, _)| *key)
            .collect();
        (!keys.is_empty()).then(|| keys[number % keys.len()])
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Submit {
                caller,
                name,
                deadline_ms,
                repeatable,
            } => {
                let info = RequestInfo {
                    caller: self.callers[caller],
                    class: self.index(name),
                    arrived: self.now,
                    deadline: self.now.after_ms(deadline_ms),
                    repeatable,
                    keyed: false,
                };
                match self.dispatcher.submit(info) {
                    Ok(key) => {
                        let known = Known {
                            name,
                            caller,
                            instance: None,
                            returned: false,
                            failed_attempts: 0,
                            retry: None,
                            repeatable,
                            may_have_run: false,
                        };
                        assert!(self.requests.insert(key, known).is_none());
                    }
                    Err(refusal) => assert!(matches!(refusal, Refusal::NotRun(_))),
                }
            }
            Step::Cancel(number) => {
                if let Some(key) = self.nth(false, number) {
                    self.dispatcher.cancel(key);
                    if !self.dispatcher.contains(key) {
                        self.requests.remove(&key);
                    }
                }
            }
            Step::Answer(number) => {
                if let Some(key) = self.nth(true, number) {
                    self.dispatcher.answered(key, self.now);
                    self.requests.remove(&key);
                }
            }
            Step::Fail(number, evidence) => self.fail(number, evidence),
            Step::Wait(ms) => self.now = self.now.after_ms(ms),
            Step::Slots(instance, slots) => {
                let instance = self.instances[instance];
                self.dispatcher.join(instance, domain(), false, self.now);
                self.dispatcher
                    .set_usable_slots(instance, slots, Millis::MAX);
                self.usable.insert(instance, slots);
            }
            Step::RemoveInstance(instance) => {
                self.dispatcher.leave(self.instances[instance], self.now);
                self.usable.remove(self.instances[instance]);
                self.forget_in_flight(self.instances[instance]);
                self.dispatcher.remove_idle();
            }
            Step::Renumber(first) => {
                self.first = first;
                self.dispatcher.configure(policy(first));
            }
        }
    }

    /// An instance that was removed and added again starts with its slots free; its key is not
    /// reused by the daemon, so the test ends the old exchanges first.
    fn forget_in_flight(&mut self, instance: InstanceKey) {
        let keys: Vec<RequestKey> = self
            .requests
            .iter()
            .filter(|(_, known)| known.instance == Some(instance))
            .map(|(key, _)| *key)
            .collect();
        for key in keys {
            self.dispatcher.answered(key, self.now);
            self.requests.remove(&key);
        }
    }

    fn fail(&mut self, number: usize, evidence: FailureEvidence) {
        let Some(key) = self.nth(true, number) else {
            return;
        };
        let refusal = self.dispatcher.failed(key, evidence, self.now);
        let mut known = self.requests[&key];
        known.may_have_run |= matches!(evidence, FailureEvidence::MayHaveRun(_));
        known.failed_attempts += 1;
        known.retry = known
            .instance
            .map(|instance| Retry::after(key, instance, known.failed_attempts, self.now));
        known.instance = None;
        known.returned = true;
        if let Some(refusal) = refusal {
            self.check_refusal(known, refusal);
            self.requests.remove(&key);
        } else {
            assert!(!known.may_have_run || known.repeatable, "repeated");
            self.requests.insert(key, known);
        }
    }

    fn check_refusal(&self, known: Known, refusal: Refusal) {
        let is_not_run = matches!(refusal, Refusal::NotRun(_));
        assert_eq!(is_not_run, !known.may_have_run, "{known:?}: {refusal:?}");
    }

    fn in_flight(&self, is_counted: impl Fn(&Known) -> bool) -> u32 {
        let sent = self
            .requests
            .values()
            .filter(|known| known.instance.is_some());
        sent.filter(|known| is_counted(known)).count() as u32
    }

    fn floor(&self, name: usize) -> u32 {
        let usable: u32 = self.usable.values().sum();
        usable * FLOORS_PPM[name] / 1_000_000
    }

    /// Carries out the actions and checks each of them.
    fn advance(&mut self) {
        let mut beyond_floor = BTreeSet::new();
        for action in self.dispatcher.advance(self.now) {
            match action {
                DispatchAction::Send {
                    request,
                    instance,
                    deadline,
                    prefer_proven,
                } => {
                    assert!(self.now < deadline, "sent too late");
                    let busy = self.in_flight(|known| known.instance == Some(instance));
                    assert!(busy < self.usable[instance], "no slot was free");
                    let name = self.requests[&request].name;
                    let of_class = self.in_flight(|known| known.name == name);
                    if of_class >= self.floor(name) {
                        beyond_floor.insert(instance);
                    }
                    let known = self.requests.get_mut(&request).expect("a live request");
                    assert!(known.instance.is_none(), "sent twice at once");
                    assert!(known.may_take(instance, self.now), "retried too early");
                    assert_eq!(prefer_proven, !known.repeatable);
                    known.instance = Some(instance);
                }
                DispatchAction::Refuse { request, refusal } => {
                    let known = self.requests.remove(&request).expect("a live request");
                    assert!(known.instance.is_none(), "refused while in flight");
                    self.check_refusal(known, refusal);
                }
                DispatchAction::Probe { .. } | DispatchAction::Report { .. } => {
                    panic!("nothing was observed of an instance");
                }
            }
        }
        self.check_queues(&beyond_floor);
    }

    fn check_queues(&self, beyond_floor: &BTreeSet<InstanceKey>) {
        assert_eq!(
            self.dispatcher.len(),
            self.requests.len(),
            "a request was lost"
        );
        let queued = |is_counted: &dyn Fn(&Known) -> bool| {
            let queued = self
                .requests
                .values()
                .filter(|known| known.instance.is_none());
            queued.filter(|known| is_counted(known)).count()
        };
        let returned = queued(&|known| known.returned);
        assert!(self.dispatcher.queued() <= SERVICE_LIMIT as usize + returned);
        for caller in &self.callers {
            let queued = self.dispatcher.queued_of_caller(*caller) as usize;
            assert!(
                queued <= CALLER_LIMIT as usize + returned,
                "caller over its bound"
            );
        }
        let free: BTreeSet<InstanceKey> = self.free_instances().collect();
        for (name, limit) in CLASS_LIMITS.into_iter().enumerate() {
            let index = self.index(name);
            let of_class = queued(&|known| known.name == name);
            assert_eq!(self.dispatcher.queued_of(index), of_class);
            let in_flight = self.in_flight(|known| known.name == name);
            assert_eq!(self.dispatcher.in_flight_of(index), in_flight);
            let of_name = self.requests.values().filter(|known| known.name == name);
            let callers: BTreeSet<usize> = of_name.map(|known| known.caller).collect();
            assert_eq!(self.dispatcher.callers_of(index), callers.len());
            let returned = queued(&|known| known.name == name && known.returned);
            assert!(of_class <= limit as usize + returned);
            let is_denied = |instances: &BTreeSet<InstanceKey>| {
                in_flight < self.floor(name) && self.may_take_any(name, instances)
            };
            assert!(
                !is_denied(beyond_floor),
                "a class beyond its floor went first"
            );
            assert!(
                !(is_denied(&free) && self.all_fit()),
                "a floor was denied a free slot"
            );
        }
    }

    fn free_instances(&self) -> impl Iterator<Item = InstanceKey> {
        let free = self.usable.iter().filter(|(instance, usable)| {
            self.in_flight(|known| known.instance == Some(*instance)) < **usable
        });
        free.map(|(instance, _)| instance)
    }

    /// Whether a waiting request of the class may be sent to one of the instances. A retry may not
    /// during its pause on the instance that failed it.
    fn may_take_any(&self, name: usize, instances: &BTreeSet<InstanceKey>) -> bool {
        let mut of_class = self.requests.values().filter(|known| known.name == name);
        of_class.any(|known| {
            let mut instances = instances.iter();
            instances.any(|instance| known.may_take(*instance, self.now))
        })
    }

    /// Whether every instance is within its slots; else a free slot of one makes up for another.
    fn all_fit(&self) -> bool {
        self.usable.iter().all(|(instance, usable)| {
            self.in_flight(|known| known.instance == Some(instance)) <= *usable
        })
    }

    /// Ends everything and checks that nothing is kept.
    fn finish(&mut self) {
        for instance in self.instances.clone() {
            self.dispatcher.join(instance, domain(), false, self.now);
            self.dispatcher.set_usable_slots(instance, 4, Millis::MAX);
            self.usable.insert(instance, 4);
        }
        for _ in 0..=(SERVICE_LIMIT + 64) {
            self.advance();
            while let Some(key) = self.nth(true, 0) {
                self.dispatcher.answered(key, self.now);
                self.requests.remove(&key);
            }
            self.now = self.now.after_ms(10);
        }
        assert!(self.requests.is_empty(), "never ended: {:?}", self.requests);
        assert!(self.dispatcher.is_empty());
        for name in 0..NAMES.len() {
            assert_eq!(
                self.dispatcher.callers_of(self.index(name)),
                0,
                "a caller was kept"
            );
        }
    }
}

/// Guards against queues over their bounds, requests that end twice or never, a "not run" for a
/// request that may have run, slots over their number, floors passed over, and callers kept for ever.
#[test]
fn every_schedule_keeps_bounds_and_ends_each_request_once() {
    fn holds(schedule: Schedule) -> bool {
        let mut checker = Checker::new();
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

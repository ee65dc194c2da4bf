//! Slots that class shares count while instances are left out of the choice.

#![allow(
    clippy::expect_used,
    reason = "helpers of the tests stop at a failed step"
)]

use rosemaryscale_domain::Dispatcher;
use rosemaryscale_domain::class_share::ClassPolicy;
use rosemaryscale_domain::dispatch::{DispatchAction, DispatchPolicy};
use rosemaryscale_domain::health::{FaultDomain, Observation};
use rosemaryscale_domain::prelude::*;
use rosemaryscale_domain::request::{ClassIndex, FailureEvidence, RequestInfo};

const SLOTS: u32 = 4;
const BULK: ClassIndex = ClassIndex(1);
const LONG_MS: u64 = 5_000;

fn policy() -> DispatchPolicy {
    let class = |name: &str, floor_ppm| ClassPolicy {
        name: name.into(),
        weight: 1,
        floor_ppm,
        queue_limit: 100,
    };
    DispatchPolicy {
        queue_limit: 200,
        queue_limit_per_caller: 100,
        classes: vec![class("urgent", 500_000), class("bulk", 0)],
        fallback_class: ClassIndex(0),
        tries_max: 1,
        retry_budget_ppm: 0,
    }
}

/// A service with one good instance and one that is left out.
struct Service {
    dispatcher: Dispatcher,
    now: Millis,
    good: InstanceKey,
    ill: InstanceKey,
}

impl Service {
    fn new() -> Self {
        let mut keys: SlotMap<InstanceKey, ()> = SlotMap::with_key();
        let (good, ill) = (keys.insert(()), keys.insert(()));
        let mut service = Self {
            dispatcher: Dispatcher::new(policy()),
            now: Millis::from_ms(1_000),
            good,
            ill,
        };
        // The measured time of bulk work is then longer than urgent work can wait.
        service.join(good);
        service.submit();
        let sent = service.advance();
        service.now = service.now.after_ms(LONG_MS);
        service.dispatcher.answered(sent[0].0, service.now);
        service
    }

    fn join(&mut self, instance: InstanceKey) {
        let domain = FaultDomain {
            rack: format!("{instance:?}").into(),
            zone: "zone".into(),
        };
        self.dispatcher.join(instance, domain, false, self.now);
        self.dispatcher
            .set_usable_slots(instance, SLOTS, Millis::MAX);
    }

    fn submit(&mut self) {
        let info = RequestInfo {
            caller: CallerKey::default(),
            class: BULK,
            arrived: self.now,
            deadline: self.now.after_ms(1_000_000),
            repeatable: false,
            keyed: false,
        };
        self.dispatcher.submit(info).expect("a place");
    }

    fn advance(&mut self) -> Vec<(RequestKey, InstanceKey)> {
        let actions = self.dispatcher.advance(self.now).into_iter();
        let sent = actions.filter_map(|action| match action {
            DispatchAction::Send {
                request, instance, ..
            } => Some((request, instance)),
            _ => None,
        });
        sent.collect()
    }

    /// Adds the other instance and lets its next exchanges fail.
    fn fail(&mut self, times: u32, observation: Observation, evidence: FailureEvidence) {
        self.dispatcher.set_usable_slots(self.good, 0, Millis::MAX);
        self.join(self.ill);
        for _ in 0..times {
            self.submit();
            for (request, instance) in self.advance() {
                assert_eq!(instance, self.ill);
                self.dispatcher.observe(request, observation, self.now);
                self.dispatcher.failed(request, evidence, self.now);
            }
        }
        self.dispatcher
            .set_usable_slots(self.good, SLOTS, Millis::MAX);
    }

    /// Sends bulk work and checks that it leaves the floor of urgent work free on the good instance.
    fn assert_floor_is_kept(&mut self) {
        for _ in 0..20 {
            self.submit();
        }
        let sent = self.advance();
        assert!(sent.iter().all(|(_, instance)| *instance == self.good));
        assert_eq!(sent.len(), 2, "half of the slots is the floor");
    }
}

/// Guards against long work on the slots of a floor, while the free slots of an instance that pauses
/// after a refusal count as kept free.
#[test]
fn slots_of_a_pausing_instance_keep_no_floor() {
    let mut service = Service::new();
    let refused = FailureEvidence::RefusedNotRun;
    service.fail(1, Observation::Overloaded, refused);
    service.assert_floor_is_kept();
}

/// Guards against long work on the slots of a floor, while the free slots of an ejected instance
/// count as kept free.
#[test]
fn slots_of_an_ejected_instance_keep_no_floor() {
    let mut service = Service::new();
    let nothing = FailureEvidence::NothingWritten;
    service.fail(3, Observation::ConnectFailed, nothing);
    service.assert_floor_is_kept();
}

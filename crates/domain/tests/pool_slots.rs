//! Class shares must not count the slots of instances that are excluded from selection.

#![allow(clippy::expect_used, reason = "test helpers panic on failure")]

use rosemaryscale_domain::Dispatcher;
use rosemaryscale_domain::class_share::ClassPolicy;
use rosemaryscale_domain::dispatch::{DispatchAction, DispatchPolicy};
use rosemaryscale_domain::health::{FaultDomain, Observation};
use rosemaryscale_domain::prelude::*;
use rosemaryscale_domain::request::{ClassIndex, FailureEvidence, RequestInfo};

const SLOTS: u32 = 4;
const BULK: ClassIndex = ClassIndex(1);
const BULK_DURATION_MS: u64 = 5_000;

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
        attempts_max: 1,
        retry_budget_ppm: 0,
    }
}

/// A service with one healthy instance and one that is excluded from selection.
struct Service {
    dispatcher: Dispatcher,
    now: Millis,
    healthy: InstanceKey,
    excluded: InstanceKey,
}

impl Service {
    fn new() -> Self {
        let mut keys: SlotMap<InstanceKey, ()> = SlotMap::with_key();
        let (healthy, excluded) = (keys.insert(()), keys.insert(()));
        let mut service = Self {
            dispatcher: Dispatcher::new(policy()),
            now: Millis::from_ms(1_000),
            healthy,
            excluded,
        };
        // One long bulk request raises the measured execution time above what urgent work can wait.
        service.add_instance(healthy);
        service.submit();
        let sent = service.advance();
        service.now = service.now.after_ms(BULK_DURATION_MS);
        service.dispatcher.record_response(sent[0].0, service.now);
        service
    }

    fn add_instance(&mut self, instance: InstanceKey) {
        let domain = FaultDomain {
            rack: format!("{instance:?}").into(),
            zone: "zone".into(),
        };
        self.dispatcher
            .add_instance(instance, domain, false, self.now);
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
        self.dispatcher.submit(info).expect("space in the queue");
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

    /// Adds the second instance and lets its next exchanges fail.
    fn add_failing_instance(
        &mut self,
        failures: u32,
        observation: Observation,
        evidence: FailureEvidence,
    ) {
        self.dispatcher
            .set_usable_slots(self.healthy, 0, Millis::MAX);
        self.add_instance(self.excluded);
        for _ in 0..failures {
            self.submit();
            for (request, instance) in self.advance() {
                assert_eq!(instance, self.excluded);
                self.dispatcher
                    .record_observation(request, observation, self.now);
                self.dispatcher.record_failure(request, evidence, self.now);
            }
        }
        self.dispatcher
            .set_usable_slots(self.healthy, SLOTS, Millis::MAX);
    }

    /// Submits bulk requests and checks that they leave the floor of urgent work free on the
    /// healthy instance.
    fn assert_floor_is_reserved(&mut self) {
        for _ in 0..20 {
            self.submit();
        }
        let sent = self.advance();
        assert!(sent.iter().all(|(_, instance)| *instance == self.healthy));
        assert_eq!(sent.len(), 2, "the floor reserves half of the slots");
    }
}

/// Guards against bulk requests that occupy the slots of a floor, because the free slots of an
/// instance that is paused after a refusal count toward the floor.
#[test]
fn slots_of_a_paused_instance_do_not_count_toward_the_floor() {
    let mut service = Service::new();
    let refused = FailureEvidence::RefusedNotRun;
    service.add_failing_instance(1, Observation::Overloaded, refused);
    service.assert_floor_is_reserved();
}

/// Guards against bulk requests that occupy the slots of a floor, because the free slots of an
/// ejected instance count toward the floor.
#[test]
fn slots_of_an_ejected_instance_do_not_count_toward_the_floor() {
    let mut service = Service::new();
    let not_written = FailureEvidence::NothingWritten;
    service.add_failing_instance(3, Observation::ConnectFailed, not_written);
    service.assert_floor_is_reserved();
}

//! Simulation of a dispatcher and its instances in simulated time.

#![allow(
    dead_code,
    unreachable_pub,
    reason = "each test file uses some of the items"
)]
#![allow(
    clippy::expect_used,
    clippy::panic,
    reason = "test helpers panic on failure"
)]

use std::collections::BTreeMap;

use quickcheck::{Arbitrary, Gen};
use rosemaryscale_domain::Dispatcher;
use rosemaryscale_domain::dispatch::{DispatchAction, DispatchPolicy};
use rosemaryscale_domain::health::{FaultDomain, HealthChange, Observation};
use rosemaryscale_domain::outcome::UnknownReason;
use rosemaryscale_domain::prelude::*;
use rosemaryscale_domain::request::{ClassIndex, FailureEvidence, Refusal, RequestInfo};

pub const SLOTS: u32 = 8;
pub const RETRY_BUDGET_PPM: u32 = 100_000;
const RUN_MS: u64 = 5;
const DEADLINE_MS: u64 = 2_000;

/// Behaviour of a simulated instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    Healthy,
    /// Runs requests and answers this percentage of them with a server error.
    Errors(u8),
    RefusesConnections,
    Overloaded,
    /// Runs requests but never responds.
    Silent,
    /// Runs requests but loses the connection before the response.
    LosesConnections,
}

impl Arbitrary for Behaviour {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 8 {
            0 | 1 => Self::Healthy,
            2 => Self::Errors(100),
            3 => Self::Errors(u8::arbitrary(g) % 101),
            4 => Self::RefusesConnections,
            5 => Self::Overloaded,
            6 => Self::Silent,
            _ => Self::LosesConnections,
        }
    }
}

/// An exchange in flight.
struct PendingExchange {
    ends_at: Millis,
    request: RequestKey,
    observation: Observation,
    evidence: Option<FailureEvidence>,
}

#[derive(Clone, Copy, Debug)]
struct Tracked {
    repeatable: bool,
    deadline: Millis,
    runs: u32,
    sends: u32,
}

pub struct Simulation {
    pub dispatcher: Dispatcher,
    pub now: Millis,
    pub instances: Vec<InstanceKey>,
    pub behaviour: BTreeMap<InstanceKey, Behaviour>,
    pub changes: Vec<(Millis, InstanceKey, HealthChange)>,
    pub sent: BTreeMap<InstanceKey, u64>,
    pub first_attempts: u64,
    pub retries: u64,
    pub answered: u64,
    pub refused: u64,
    /// Whether probes succeed on instances that fail requests.
    pub probe_always_succeeds: bool,
    ejected: Vec<InstanceKey>,
    pending_exchanges: Vec<PendingExchange>,
    requests: BTreeMap<RequestKey, Tracked>,
    seed: u64,
}

impl Simulation {
    /// Creates a simulation with instances in three availability zones.
    pub fn new(count: usize, seed: u64) -> Self {
        let mut keys: SlotMap<InstanceKey, ()> = SlotMap::with_key();
        let instances: Vec<InstanceKey> = (0..count).map(|_| keys.insert(())).collect();
        let mut dispatcher = Dispatcher::new(DispatchPolicy::with_single_class(
            1_000,
            4,
            RETRY_BUDGET_PPM,
        ));
        for (number, instance) in instances.iter().enumerate() {
            dispatcher.add_instance(*instance, domain(number), false, Millis::ZERO);
            dispatcher.set_usable_slots(*instance, SLOTS, Millis::MAX);
        }
        let all_healthy = instances.iter().map(|key| (*key, Behaviour::Healthy));
        Self {
            dispatcher,
            now: Millis::ZERO,
            behaviour: all_healthy.collect(),
            instances,
            changes: Vec::new(),
            sent: BTreeMap::new(),
            first_attempts: 0,
            retries: 0,
            answered: 0,
            refused: 0,
            probe_always_succeeds: false,
            ejected: Vec::new(),
            pending_exchanges: Vec::new(),
            requests: BTreeMap::new(),
            seed: seed | 1,
        }
    }

    pub fn ejected(&self) -> usize {
        self.ejected.len()
    }

    pub fn is_ejected(&self, instance: InstanceKey) -> bool {
        self.ejected.contains(&instance)
    }

    pub fn ejections(&self) -> usize {
        let ejected = |change: &HealthChange| matches!(change, HealthChange::Ejected { .. });
        self.changes.iter().filter(|(_, _, c)| ejected(c)).count()
    }

    pub fn submit(&mut self, repeatable: bool) {
        let deadline = self.now.after_ms(DEADLINE_MS);
        let info = RequestInfo {
            caller: CallerKey::default(),
            class: ClassIndex(0),
            arrived: self.now,
            deadline,
            repeatable,
            keyed: false,
        };
        if let Ok(key) = self.dispatcher.submit(info) {
            let tracked = Tracked {
                repeatable,
                deadline,
                runs: 0,
                sends: 0,
            };
            self.requests.insert(key, tracked);
        }
    }

    /// Advances the time in steps of 1 ms.
    pub fn run(&mut self, ms: u64) {
        for _ in 0..ms {
            self.now = self.now.after_ms(1);
            self.finish_due_exchanges();
            for action in self.dispatcher.advance(self.now) {
                self.execute(action);
            }
            let half = self.instances.len() / 2;
            assert!(
                self.ejected.len() <= half,
                "more than half of the pool is ejected"
            );
        }
    }

    /// Submits a request every `every_ms` for `ms`.
    pub fn submit_load(&mut self, ms: u64, every_ms: u64, repeatable: bool) {
        for _ in 0..ms / every_ms {
            self.submit(repeatable);
            self.run(every_ms);
        }
    }

    fn finish_due_exchanges(&mut self) {
        let now = self.now;
        let pending_exchanges = std::mem::take(&mut self.pending_exchanges);
        let (due, rest) = pending_exchanges
            .into_iter()
            .partition(|exchange| exchange.ends_at <= now);
        self.pending_exchanges = rest;
        let due: Vec<PendingExchange> = due;
        for exchange in due {
            let key = exchange.request;
            self.dispatcher
                .record_observation(key, exchange.observation, now);
            match exchange.evidence {
                None => {
                    self.dispatcher.record_response(key, now);
                    self.requests.remove(&key);
                    self.answered += 1;
                }
                Some(evidence) => {
                    if let Some(refusal) = self.dispatcher.record_failure(key, evidence, now) {
                        self.end(key, refusal);
                    }
                }
            }
        }
    }

    fn end(&mut self, key: RequestKey, refusal: Refusal) {
        let tracked = self.requests.remove(&key).expect("a request ends once");
        if matches!(refusal, Refusal::NotRun(_)) {
            assert_eq!(tracked.runs, 0, "refused as not run, but it ran");
        }
        self.refused += 1;
    }

    fn execute(&mut self, action: DispatchAction) {
        match action {
            DispatchAction::Send {
                request,
                instance,
                deadline,
                prefer_recently_used,
            } => {
                let repeatable = self.requests[&request].repeatable;
                assert_eq!(
                    prefer_recently_used, !repeatable,
                    "wrong connection preference"
                );
                self.send(request, instance, deadline);
            }
            DispatchAction::Refuse { request, refusal } => self.end(request, refusal),
            DispatchAction::Probe { instance } => {
                let is_healthy = self.behaviour[&instance] == Behaviour::Healthy;
                let healthy = is_healthy || self.probe_always_succeeds;
                self.dispatcher.record_probe(instance, healthy, self.now);
            }
            DispatchAction::Report { instance, change } => {
                match change {
                    HealthChange::Ejected { .. } => self.ejected.push(instance),
                    _ => self.ejected.retain(|other| *other != instance),
                }
                self.changes.push((self.now, instance, change));
            }
        }
    }

    fn send(&mut self, request: RequestKey, instance: InstanceKey, deadline: Millis) {
        let behaviour = self.behaviour[&instance];
        let random_percent = self.random_percent();
        let tracked = self.requests.get_mut(&request).expect("sent while tracked");
        assert!(self.now < tracked.deadline, "sent after its deadline");
        assert!(
            !self.ejected.contains(&instance),
            "sent to an ejected instance"
        );
        tracked.sends += 1;
        *self.sent.entry(instance).or_default() += 1;
        if tracked.sends == 1 {
            self.first_attempts += 1;
        } else {
            self.retries += 1;
        }
        let after_run = self.now.after_ms(RUN_MS);
        let next_ms = self.now.after_ms(1);
        let lost = FailureEvidence::MayHaveRun(UnknownReason::ConnectionLost);
        let timed_out = FailureEvidence::MayHaveRun(UnknownReason::TimedOut);
        let (ends_at, observation, evidence) = match behaviour {
            Behaviour::Healthy => (after_run, Observation::Answered, None),
            Behaviour::Errors(percent) if random_percent < percent => {
                (next_ms, Observation::ErrorResponse, None)
            }
            Behaviour::Errors(_) => (after_run, Observation::Answered, None),
            Behaviour::RefusesConnections => {
                let nothing = FailureEvidence::NothingWritten;
                (next_ms, Observation::ConnectFailed, Some(nothing))
            }
            Behaviour::Overloaded => {
                let refused = FailureEvidence::RefusedNotRun;
                (next_ms, Observation::Overloaded, Some(refused))
            }
            Behaviour::Silent => (deadline, Observation::TimedOut, Some(timed_out)),
            Behaviour::LosesConnections => (after_run, Observation::ConnectionLost, Some(lost)),
        };
        let not_run = matches!(
            evidence,
            Some(FailureEvidence::NothingWritten | FailureEvidence::RefusedNotRun)
        );
        tracked.runs += u32::from(!not_run);
        let repeated = tracked.runs > 1 && !tracked.repeatable;
        assert!(!repeated, "a request that must not be repeated ran twice");
        self.pending_exchanges.push(PendingExchange {
            ends_at,
            request,
            observation,
            evidence,
        });
    }

    /// Returns a pseudorandom number below 100 (xorshift). The sequence depends only on the seed.
    fn random_percent(&mut self) -> u8 {
        self.seed ^= self.seed << 13;
        self.seed ^= self.seed >> 7;
        self.seed ^= self.seed << 17;
        (self.seed % 100) as u8
    }
}

pub fn domain(number: usize) -> FaultDomain {
    FaultDomain {
        rack: format!("rack-{}", number / 4).into(),
        zone: format!("zone-{}", number % 3).into(),
    }
}

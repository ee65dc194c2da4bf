//! Decisions of one service's dispatcher: queueing, choice of instance, retries.
//!
//! The dispatcher takes events with the current time and returns [`DispatchAction`]s. The task
//! around it keeps request bodies and carries the actions out.

use crate::admission::Admission;
use crate::class_share::{Charge, ClassPolicy, ClassShares};
use crate::fair_queue::{FairQueue, QueueLimits};
use crate::health::{HealthChange, PoolHealth};
use crate::outcome::{NotRunReason, OutcomeUnknown};
use crate::prelude::*;
use crate::request::{
    ClassIndex, Dispatched, FailureEvidence, FailureOutcome, Queued, Refusal, Request,
};
use crate::retry::{AttemptTimeLimit, Retry, RetryBudget, RetryQueue};
use crate::spare::ServiceUsage;

mod instances;
mod queueing;

use instances::InstanceAccount;

/// Limits of a service that the dispatcher applies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DispatchPolicy {
    /// Requests that are queued at most.
    pub queue_limit: u32,
    /// Requests of one caller that are queued at most.
    pub queue_limit_per_caller: u32,
    /// Work classes, in the order of [`ClassIndex`].
    pub classes: Vec<ClassPolicy>,
    /// Class of requests whose own class is no longer in the document.
    pub fallback_class: ClassIndex,
    /// Attempts of one request at most.
    pub attempts_max: u32,
    /// Retries allowed for each million first attempts.
    pub retry_budget_ppm: u32,
}

/// What the task around the dispatcher must do.
#[derive(Clone, Copy, Debug)]
pub enum DispatchAction {
    /// Send the request to the instance.
    Send {
        /// The request.
        request: RequestKey,
        /// Where to send it.
        instance: InstanceKey,
        /// When the exchange must have ended.
        deadline: Millis,
        /// Whether it must not be repeated, so that a proven connection is preferred.
        prefer_proven: bool,
    },
    /// Ask the instance for its health; [`Dispatcher::probed`] follows.
    Probe {
        /// The instance.
        instance: InstanceKey,
    },
    /// Tell operators that the health of an instance changed.
    Report {
        /// The instance.
        instance: InstanceKey,
        /// The change.
        change: HealthChange,
    },
    /// Tell the caller that the request ended without a response; the key is free afterwards.
    Refuse {
        /// The request.
        request: RequestKey,
        /// What the caller is told.
        refusal: Refusal,
    },
}

/// A request in the arena.
#[derive(Clone, Copy, Debug)]
enum Entry {
    Queued(Request<Queued>),
    Dispatched(Request<Dispatched>),
}

/// The request that is sent next.
#[derive(Clone, Copy, Debug)]
struct Next {
    key: RequestKey,
    request: Request<Queued>,
    instance: InstanceKey,
}

/// What the end of an exchange says about service times.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SlotUse {
    /// The complete response arrived.
    Complete,
    /// The request may have run, without a complete response.
    Held,
    /// The request did not run.
    Unused,
}

impl SlotUse {
    const fn of(evidence: FailureEvidence) -> Self {
        match evidence {
            FailureEvidence::MayHaveRun(_) => Self::Held,
            FailureEvidence::NothingWritten | FailureEvidence::RefusedNotRun => Self::Unused,
        }
    }
}

/// Queue and slot accounts of one service.
#[derive(Debug)]
pub struct Dispatcher {
    policy: DispatchPolicy,
    requests: SlotMap<RequestKey, Entry>,
    queue: FairQueue,
    shares: ClassShares,
    admission: Admission,
    /// Slot time charged for the requests in flight.
    charges: SecondaryMap<RequestKey, Charge>,
    /// Requests that gave way to others. They stay in the arena until the next [`Self::advance`], so
    /// that their place in the maps of the task around the dispatcher is not reused before it has
    /// answered their callers.
    displaced: Vec<RequestKey>,
    instances: SecondaryMap<InstanceKey, InstanceAccount>,
    dispatches: u64,
    health: PoolHealth,
    retries: RetryQueue,
    budget: RetryBudget,
    attempt_time_limit: AttemptTimeLimit,
    stopping: bool,
}

impl Dispatcher {
    /// A dispatcher without instances.
    #[must_use]
    pub fn new(policy: DispatchPolicy) -> Self {
        let limits = QueueLimits::of(&policy);
        Self {
            budget: RetryBudget::new(policy.retry_budget_ppm),
            requests: SlotMap::with_key(),
            queue: FairQueue::new(limits, &policy.classes),
            shares: ClassShares::new(&policy.classes),
            admission: Admission::new(policy.classes.len()),
            charges: SecondaryMap::new(),
            displaced: Vec::new(),
            policy,
            instances: SecondaryMap::new(),
            dispatches: 0,
            health: PoolHealth::default(),
            retries: RetryQueue::default(),
            attempt_time_limit: AttemptTimeLimit::default(),
            stopping: false,
        }
    }

    /// Admits no further requests.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Whether it was stopped and every request has ended.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.stopping && self.is_empty()
    }

    /// Requests that are queued or in flight.
    #[must_use]
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether the request is queued or in flight.
    #[must_use]
    pub fn contains(&self, key: RequestKey) -> bool {
        self.requests.contains_key(key)
    }

    /// Requests in flight and queued.
    #[must_use]
    pub fn usage(&self) -> ServiceUsage {
        let queued = self.queued();
        let busy = self.requests.len() - queued.min(self.requests.len());
        let count = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
        ServiceUsage {
            busy: count(busy.saturating_sub(self.displaced.len())),
            queued: count(queued),
        }
    }

    /// Whether no request is queued or in flight.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Records a complete response. The key is free afterwards.
    pub fn answered(&mut self, key: RequestKey, now: Millis) {
        if let Some(Entry::Dispatched(request)) = self.requests.get(key).copied() {
            self.requests.remove(key);
            self.release(request.state.instance);
            self.settle(key, SlotUse::Complete, now);
            self.queue.ended(&request.info);
        }
    }

    /// Records a failed exchange and returns the refusal if the request ends here.
    pub fn failed(
        &mut self,
        key: RequestKey,
        evidence: FailureEvidence,
        now: Millis,
    ) -> Option<Refusal> {
        let Some(Entry::Dispatched(request)) = self.requests.get(key).copied() else {
            return None;
        };
        let instance = request.state.instance;
        self.release(instance);
        self.settle(key, SlotUse::of(evidence), now);
        match request.fail(evidence) {
            FailureOutcome::Unknown(unknown) => self.end(key, Refusal::Unknown(unknown)),
            FailureOutcome::Queued(again) => {
                if now >= again.info.deadline {
                    return self.end(key, again.refuse(NotRunReason::DeadlinePassed));
                }
                let attempts = again.state.failed_attempts;
                if attempts >= self.policy.attempts_max || !self.budget.try_spend() {
                    return self.end(key, again.refuse(NotRunReason::UpstreamRefused));
                }
                self.requests[key] = Entry::Queued(again);
                self.retries
                    .push(Retry::after(key, instance, attempts, now));
                None
            }
        }
    }

    /// Sends what fits, refuses what is too late, and starts probes.
    pub fn advance(&mut self, now: Millis) -> Vec<DispatchAction> {
        let mut actions = self.expire(now);
        self.report_health(now, &mut actions);
        self.shares.observe_running(self.charges.values(), now);
        while let Some(next) = self.next_request(now, &mut actions) {
            actions.push(self.send(next, now));
        }
        self.observe_queues(now);
        actions
    }

    fn send(&mut self, next: Next, now: Millis) -> DispatchAction {
        let Next {
            key,
            request,
            instance,
        } = next;
        let usable = self.slots(now).usable;
        let charge = self.shares.dispatched(request.info, usable, now);
        self.charges.insert(key, charge);
        self.requests[key] = Entry::Dispatched(request.dispatch(instance, now));
        self.occupy(instance, now);
        if request.state.failed_attempts == 0 {
            self.budget.record_first_attempt();
        }
        let last = request.state.failed_attempts + 1 >= self.policy.attempts_max;
        let deadline = if request.info.repeatable && !last && self.budget.has_retry() {
            self.attempt_time_limit.limit(request.info.deadline, now)
        } else {
            request.info.deadline
        };
        DispatchAction::Send {
            request: key,
            instance,
            deadline,
            prefer_proven: !request.info.repeatable,
        }
    }

    fn end(&mut self, key: RequestKey, refusal: Refusal) -> Option<Refusal> {
        if let Some(Entry::Dispatched(request)) = self.requests.remove(key) {
            self.queue.ended(&request.info);
        }
        Some(refusal)
    }
}

impl From<OutcomeUnknown> for Refusal {
    fn from(unknown: OutcomeUnknown) -> Self {
        Self::Unknown(unknown)
    }
}

//! Dispatcher of one service: queueing, instance selection and retries.
//!
//! The dispatcher is a state machine without I/O. It takes events with the current time and returns
//! [`DispatchAction`]s. The task that owns it stores the request bodies and executes the actions.

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

use instances::InstanceUsage;

/// Dispatch limits of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DispatchPolicy {
    /// Maximum number of queued requests.
    pub queue_limit: u32,
    /// Maximum number of queued requests of one caller.
    pub queue_limit_per_caller: u32,
    /// Work classes, in the order of [`ClassIndex`].
    pub classes: Vec<ClassPolicy>,
    /// Class of requests whose class was removed from the document.
    pub fallback_class: ClassIndex,
    /// Maximum number of attempts of one request.
    pub attempts_max: u32,
    /// Retries allowed per million first attempts.
    pub retry_budget_ppm: u32,
}

/// An action for the task that owns the dispatcher.
#[derive(Clone, Copy, Debug)]
pub enum DispatchAction {
    /// Send the request to the instance.
    Send {
        /// The request.
        request: RequestKey,
        /// The instance to send it to.
        instance: InstanceKey,
        /// Time at which the exchange is aborted.
        deadline: Millis,
        /// Whether to prefer a new connection or one with a recent response, because the request must
        /// not be repeated.
        prefer_recently_used: bool,
    },
    /// Send a health probe to the instance and pass its result to [`Dispatcher::record_probe`].
    Probe {
        /// The instance.
        instance: InstanceKey,
    },
    /// Report a health change of an instance to the operators.
    Report {
        /// The instance.
        instance: InstanceKey,
        /// The change.
        change: HealthChange,
    },
    /// Tell the caller that the request ended without a response. The key may be reused afterwards.
    Refuse {
        /// The request.
        request: RequestKey,
        /// The refusal to return to the caller.
        refusal: Refusal,
    },
}

/// A request in the arena, in its current state.
#[derive(Clone, Copy, Debug)]
enum Entry {
    Queued(Request<Queued>),
    Dispatched(Request<Dispatched>),
}

/// The next request to send and its instance.
#[derive(Clone, Copy, Debug)]
struct NextDispatch {
    key: RequestKey,
    request: Request<Queued>,
    instance: InstanceKey,
}

/// How the end of an exchange counts in the service time estimate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ServiceSample {
    /// A complete response arrived.
    Complete,
    /// The request may have run, without a complete response.
    Incomplete,
    /// The request did not run.
    NotRun,
}

impl ServiceSample {
    const fn from_evidence(evidence: FailureEvidence) -> Self {
        match evidence {
            FailureEvidence::MayHaveRun(_) => Self::Incomplete,
            FailureEvidence::NothingWritten | FailureEvidence::RefusedNotRun => Self::NotRun,
        }
    }
}

/// Queues, slot usage and instance health of one service.
#[derive(Debug)]
pub struct Dispatcher {
    policy: DispatchPolicy,
    requests: SlotMap<RequestKey, Entry>,
    queue: FairQueue,
    shares: ClassShares,
    admission: Admission,
    /// Slot time charged for the requests in flight.
    charges: SecondaryMap<RequestKey, Charge>,
    /// Requests evicted from a full queue. They stay in the arena until the next [`Self::advance`],
    /// so that their keys are not reused before the owning task has answered their callers.
    evicted: Vec<RequestKey>,
    instances: SecondaryMap<InstanceKey, InstanceUsage>,
    dispatch_count: u64,
    health: PoolHealth,
    pending_retries: RetryQueue,
    retry_budget: RetryBudget,
    attempt_time_limit: AttemptTimeLimit,
    stopping: bool,
}

impl Dispatcher {
    /// Creates a dispatcher without instances.
    #[must_use]
    pub fn new(policy: DispatchPolicy) -> Self {
        let limits = QueueLimits::from_policy(&policy);
        Self {
            retry_budget: RetryBudget::new(policy.retry_budget_ppm),
            requests: SlotMap::with_key(),
            queue: FairQueue::new(limits, &policy.classes),
            shares: ClassShares::new(&policy.classes),
            admission: Admission::new(policy.classes.len()),
            charges: SecondaryMap::new(),
            evicted: Vec::new(),
            policy,
            instances: SecondaryMap::new(),
            dispatch_count: 0,
            health: PoolHealth::default(),
            pending_retries: RetryQueue::default(),
            attempt_time_limit: AttemptTimeLimit::default(),
            stopping: false,
        }
    }

    /// Stops the admission of new requests.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Whether the dispatcher was stopped and all requests have ended.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.stopping && self.is_empty()
    }

    /// Number of requests that are queued or in flight.
    #[must_use]
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether the request is queued or in flight.
    #[must_use]
    pub fn contains(&self, key: RequestKey) -> bool {
        self.requests.contains_key(key)
    }

    /// Numbers of requests in flight and queued.
    #[must_use]
    pub fn usage(&self) -> ServiceUsage {
        let queued = self.queued();
        let busy = self.requests.len() - queued.min(self.requests.len());
        let count = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
        ServiceUsage {
            busy: count(busy.saturating_sub(self.evicted.len())),
            queued: count(queued),
        }
    }

    /// Whether no request is queued or in flight.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Records a complete response. The key may be reused afterwards.
    pub fn record_response(&mut self, key: RequestKey, now: Millis) {
        if let Some(Entry::Dispatched(request)) = self.requests.get(key).copied() {
            self.requests.remove(key);
            self.release_slot(request.state.instance);
            self.settle_charge(key, ServiceSample::Complete, now);
            self.queue.finish_request(&request.info);
        }
    }

    /// Records a failed exchange. Returns the refusal if the request is not retried.
    pub fn record_failure(
        &mut self,
        key: RequestKey,
        evidence: FailureEvidence,
        now: Millis,
    ) -> Option<Refusal> {
        let Some(Entry::Dispatched(request)) = self.requests.get(key).copied() else {
            return None;
        };
        let instance = request.state.instance;
        self.release_slot(instance);
        self.settle_charge(key, ServiceSample::from_evidence(evidence), now);
        match request.fail(evidence) {
            FailureOutcome::Unknown(unknown) => self.end_request(key, Refusal::Unknown(unknown)),
            FailureOutcome::Queued(requeued) => {
                if now >= requeued.info.deadline {
                    return self.end_request(key, requeued.refuse(NotRunReason::DeadlinePassed));
                }
                let attempts = requeued.state.failed_attempts;
                if attempts >= self.policy.attempts_max || !self.retry_budget.try_spend() {
                    return self.end_request(key, requeued.refuse(NotRunReason::UpstreamRefused));
                }
                self.requests[key] = Entry::Queued(requeued);
                self.pending_retries
                    .push(Retry::after(key, instance, attempts, now));
                None
            }
        }
    }

    /// Dispatches requests to free slots, refuses late requests and starts health probes.
    pub fn advance(&mut self, now: Millis) -> Vec<DispatchAction> {
        let mut actions = self.refuse_late(now);
        self.push_health_actions(now, &mut actions);
        self.shares.observe_running(self.charges.values(), now);
        while let Some(next) = self.next_request(now, &mut actions) {
            actions.push(self.send(next, now));
        }
        self.observe_queues(now);
        actions
    }

    fn send(&mut self, next: NextDispatch, now: Millis) -> DispatchAction {
        let NextDispatch {
            key,
            request,
            instance,
        } = next;
        let usable = self.slot_count(now).usable;
        let charge = self.shares.charge_dispatch(request.info, usable, now);
        self.charges.insert(key, charge);
        self.requests[key] = Entry::Dispatched(request.dispatch(instance, now));
        self.occupy_slot(instance, now);
        if request.state.failed_attempts == 0 {
            self.retry_budget.record_first_attempt();
        }
        let is_last_attempt = request.state.failed_attempts + 1 >= self.policy.attempts_max;
        let deadline =
            if request.info.repeatable && !is_last_attempt && self.retry_budget.has_retry() {
                self.attempt_time_limit.limit(request.info.deadline, now)
            } else {
                request.info.deadline
            };
        DispatchAction::Send {
            request: key,
            instance,
            deadline,
            prefer_recently_used: !request.info.repeatable,
        }
    }

    fn end_request(&mut self, key: RequestKey, refusal: Refusal) -> Option<Refusal> {
        if let Some(Entry::Dispatched(request)) = self.requests.remove(key) {
            self.queue.finish_request(&request.info);
        }
        Some(refusal)
    }
}

impl From<OutcomeUnknown> for Refusal {
    fn from(unknown: OutcomeUnknown) -> Self {
        Self::Unknown(unknown)
    }
}

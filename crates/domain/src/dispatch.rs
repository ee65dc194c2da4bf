//! Decisions of one service's dispatcher: queueing, choice of instance, retries.
//!
//! The dispatcher takes events with the current time and returns [`DispatchAction`]s. The task
//! around it keeps request bodies and carries the actions out.

use std::collections::VecDeque;

use crate::health::{FaultDomain, HealthChange, Observation, PoolHealth};
use crate::outcome::{NotRunReason, OutcomeUnknown};
use crate::prelude::*;
use crate::request::{
    AfterFailure, Dispatched, FailureEvidence, Queued, Refusal, Request, RequestInfo,
};
use crate::retry::{Retries, Retry, RetryBudget, TryTime};

/// Limits of a service that the dispatcher applies.
#[derive(Clone, Debug)]
pub struct DispatchPolicy {
    /// Requests that are queued at most.
    pub queue_limit: u32,
    /// Tries of one request at most.
    pub tries_max: u32,
    /// Retries allowed for each million first tries.
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

/// Use of one instance.
#[derive(Clone, Copy, Debug, Default)]
struct InstanceAccount {
    /// Slots that this daemon may use now.
    usable_slots: u32,
    /// Exchanges in flight.
    in_flight: u32,
    /// Whether it gets no new work.
    leaving: bool,
    /// Position of its last dispatch, so that equal instances take turns.
    last_used: u64,
}

/// Queue and slot accounts of one service.
#[derive(Debug)]
pub struct Dispatcher {
    policy: DispatchPolicy,
    requests: SlotMap<RequestKey, Entry>,
    queue: VecDeque<RequestKey>,
    instances: SecondaryMap<InstanceKey, InstanceAccount>,
    dispatches: u64,
    health: PoolHealth,
    retries: Retries,
    budget: RetryBudget,
    try_time: TryTime,
    stopping: bool,
}

impl Dispatcher {
    /// A dispatcher without instances.
    #[must_use]
    pub fn new(policy: DispatchPolicy) -> Self {
        Self {
            budget: RetryBudget::new(policy.retry_budget_ppm),
            policy,
            requests: SlotMap::with_key(),
            queue: VecDeque::new(),
            instances: SecondaryMap::new(),
            dispatches: 0,
            health: PoolHealth::default(),
            retries: Retries::default(),
            try_time: TryTime::default(),
            stopping: false,
        }
    }

    /// Replaces the limits; queued requests stay.
    pub fn configure(&mut self, policy: DispatchPolicy) {
        self.budget.set_share(policy.retry_budget_ppm);
        self.policy = policy;
    }

    /// Adds an instance to the pool, or takes a leaving one back. `absent` says that the platform's
    /// last list lacked it.
    pub fn join(&mut self, instance: InstanceKey, domain: FaultDomain, absent: bool, now: Millis) {
        self.health.insert(instance, domain, now);
        self.health.set_absent(instance, absent);
        if let Some(account) = self.instances.get_mut(instance) {
            account.leaving = false;
        } else {
            self.instances.insert(instance, InstanceAccount::default());
        }
    }

    /// Sets the slots of an instance that this daemon may use.
    pub fn set_usable_slots(&mut self, instance: InstanceKey, slots: u32) {
        if let Some(account) = self.instances.get_mut(instance) {
            account.usable_slots = slots;
        }
        let slots = self.instances.values().map(|account| account.usable_slots);
        self.budget.set_slots(slots.map(u64::from).sum());
    }

    /// Gives an instance no new work. Its exchanges in flight go on, and it keeps its account until
    /// [`Self::remove_idle`], so that its slots are counted once if it comes back.
    pub fn leave(&mut self, instance: InstanceKey, now: Millis) {
        if let Some(account) = self.instances.get_mut(instance) {
            account.leaving = true;
            account.usable_slots = 0;
        }
        self.health.remove(instance, now);
    }

    /// Forgets the leaving instances that have no exchange in flight, and returns them.
    pub fn remove_idle(&mut self) -> Vec<InstanceKey> {
        let idle = |account: &InstanceAccount| account.leaving && account.in_flight == 0;
        let instances = self.instances.iter();
        let done: Vec<InstanceKey> = instances
            .filter(|(_, account)| idle(account))
            .map(|(key, _)| key)
            .collect();
        for instance in &done {
            self.instances.remove(*instance);
        }
        done
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

    /// Whether no request is queued or in flight.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Admits a request.
    ///
    /// # Errors
    ///
    /// Returns the refusal when the queue is full or the dispatcher is stopping.
    pub fn submit(&mut self, info: RequestInfo) -> Result<RequestKey, Refusal> {
        let request = Request::new(info);
        if self.stopping {
            return Err(request.refuse(NotRunReason::Stopping));
        }
        if self.queue.len() >= self.policy.queue_limit as usize {
            return Err(request.refuse(NotRunReason::QueueFull));
        }
        let key = self.requests.insert(Entry::Queued(request));
        self.queue.push_back(key);
        Ok(key)
    }

    /// Removes a queued request whose caller went away; requests in flight run on.
    pub fn cancel(&mut self, key: RequestKey) {
        if let Some(Entry::Queued(_)) = self.requests.get(key) {
            self.requests.remove(key);
            self.queue.retain(|queued| *queued != key);
            self.retries.remove(key);
        }
    }

    /// Records what an exchange showed of its instance. Call it before [`Self::answered`] or
    /// [`Self::failed`].
    pub fn observe(&mut self, key: RequestKey, observation: Observation, now: Millis) {
        if let Some(Entry::Dispatched(request)) = self.requests.get(key) {
            let Dispatched { instance, at, .. } = request.state;
            self.health.observe(instance, observation, at, now);
            // A timeout at the caller's deadline tells nothing of the run time.
            let cut = observation == Observation::TimedOut && now < request.info.deadline;
            if cut || observation == Observation::Answered {
                self.try_time.record(now.ms_since(at), now);
            }
        }
    }

    /// Records the result of a probe.
    pub fn probed(&mut self, instance: InstanceKey, healthy: bool, now: Millis) {
        self.health.probed(instance, healthy, now);
    }

    /// Records that the instance refused the connections of a peer.
    pub fn peer_refused(&mut self, instance: InstanceKey, peer: Arc<str>, now: Millis) {
        self.health.peer_refused(instance, peer, now);
    }

    /// Records a complete response. The key is free afterwards.
    pub fn answered(&mut self, key: RequestKey) {
        if let Some(Entry::Dispatched(request)) = self.requests.remove(key) {
            self.release(request.state.instance);
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
        match request.fail(evidence) {
            AfterFailure::Unknown(unknown) => self.end(key, Refusal::Unknown(unknown)),
            AfterFailure::Queued(again) => {
                if now >= again.info.deadline {
                    return self.end(key, again.refuse(NotRunReason::DeadlinePassed));
                }
                let tries = again.state.failed_tries;
                if tries >= self.policy.tries_max || !self.budget.take() {
                    return self.end(key, again.refuse(NotRunReason::UpstreamRefused));
                }
                self.requests[key] = Entry::Queued(again);
                self.retries.push(Retry::after(key, instance, tries, now));
                None
            }
        }
    }

    /// Sends what fits, refuses what is too late, and starts probes.
    pub fn advance(&mut self, now: Millis) -> Vec<DispatchAction> {
        let mut actions = self.expire(now);
        self.report_health(now, &mut actions);
        self.send_retries(now, &mut actions);
        while self.least_loaded(now, true, None).is_some() {
            let Some(key) = self.queue.pop_front() else {
                break;
            };
            let Some(Entry::Queued(request)) = self.requests.get(key).copied() else {
                continue;
            };
            let repeatable = request.info.repeatable;
            let Some(instance) = self.least_loaded(now, repeatable, None) else {
                self.queue.push_front(key);
                break;
            };
            self.budget.first_try();
            actions.push(self.send(key, request, instance, now));
        }
        actions
    }

    fn send_retries(&mut self, now: Millis, actions: &mut Vec<DispatchAction>) {
        let waiting: Vec<Retry> = self.retries.iter().copied().collect();
        for retry in waiting {
            let Some(Entry::Queued(request)) = self.requests.get(retry.request).copied() else {
                self.retries.remove(retry.request);
                continue;
            };
            let repeatable = request.info.repeatable;
            if let Some(instance) = self.least_loaded(now, repeatable, Some(&retry)) {
                self.retries.remove(retry.request);
                actions.push(self.send(retry.request, request, instance, now));
            }
        }
    }

    fn send(
        &mut self,
        key: RequestKey,
        request: Request<Queued>,
        instance: InstanceKey,
        now: Millis,
    ) -> DispatchAction {
        self.requests[key] = Entry::Dispatched(request.dispatch(instance, now));
        self.dispatches += 1;
        if let Some(account) = self.instances.get_mut(instance) {
            account.in_flight += 1;
            account.last_used = self.dispatches;
        }
        self.health.sent(instance, now);
        let last = request.state.failed_tries + 1 >= self.policy.tries_max;
        let deadline = if request.info.repeatable && !last && self.budget.has_retry() {
            self.try_time.limit(request.info.deadline, now)
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

    fn report_health(&mut self, now: Millis, actions: &mut Vec<DispatchAction>) {
        self.health.eject_ill(now);
        let due = self.health.due_probes(now).into_iter();
        actions.extend(due.map(|instance| DispatchAction::Probe { instance }));
        let changes = self.health.take_changes().into_iter();
        actions
            .extend(changes.map(|(instance, change)| DispatchAction::Report { instance, change }));
    }

    fn expire(&mut self, now: Millis) -> Vec<DispatchAction> {
        let mut actions = Vec::new();
        let requests = &mut self.requests;
        let mut in_time = |key: RequestKey| {
            let Some(Entry::Queued(request)) = requests.get(key).copied() else {
                return false;
            };
            if now < request.info.deadline {
                return true;
            }
            requests.remove(key);
            let refusal = request.refuse(NotRunReason::DeadlinePassed);
            actions.push(DispatchAction::Refuse {
                request: key,
                refusal,
            });
            false
        };
        self.queue.retain(|key| in_time(*key));
        self.retries.retain(|retry| in_time(retry.request));
        actions
    }

    /// The healthiest and then least loaded instance with a free slot that the request may use.
    fn least_loaded(
        &self,
        now: Millis,
        repeatable: bool,
        retry: Option<&Retry>,
    ) -> Option<InstanceKey> {
        self.instances
            .iter()
            .filter(|(_, account)| !account.leaving && account.in_flight < account.usable_slots)
            .filter(|(key, _)| retry.is_none_or(|retry| retry.allows(*key, now)))
            .filter_map(|(key, account)| {
                let health = &self.health;
                let preference = health.preference(key, account.in_flight, repeatable, now)?;
                let rank = (preference, account.in_flight, account.last_used);
                Some((rank, key))
            })
            .min_by_key(|(rank, _)| *rank)
            .map(|(_, key)| key)
    }

    fn release(&mut self, instance: InstanceKey) {
        if let Some(account) = self.instances.get_mut(instance) {
            account.in_flight = account.in_flight.saturating_sub(1);
        }
    }

    fn end(&mut self, key: RequestKey, refusal: Refusal) -> Option<Refusal> {
        self.requests.remove(key);
        Some(refusal)
    }
}

impl From<OutcomeUnknown> for Refusal {
    fn from(unknown: OutcomeUnknown) -> Self {
        Self::Unknown(unknown)
    }
}

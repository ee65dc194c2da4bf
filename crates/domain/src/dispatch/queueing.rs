//! Admission, cancellation and selection of the next request.

use super::{DispatchAction, DispatchPolicy, Dispatcher, Entry, NextDispatch, ServiceSample};
use crate::admission::{self, Admission, Load};
use crate::class_share::ClassPolicy;
use crate::fair_queue::{FairQueue, QueueFull, QueueLimits};
use crate::outcome::NotRunReason;
use crate::prelude::*;
use crate::request::{ClassIndex, Queued, Refusal, Request, RequestInfo};
use crate::retry::Retry;

impl QueueLimits {
    /// Takes the queue limits from a policy.
    #[must_use]
    pub const fn from_policy(policy: &DispatchPolicy) -> Self {
        Self {
            service: policy.queue_limit,
            caller: policy.queue_limit_per_caller,
        }
    }
}

impl DispatchPolicy {
    /// Creates the limits of a service with a single work class.
    #[must_use]
    pub fn with_single_class(queue_limit: u32, attempts_max: u32, retry_budget_ppm: u32) -> Self {
        let class = ClassPolicy {
            name: "all".into(),
            weight: 1,
            floor_ppm: 0,
            queue_limit,
        };
        Self {
            queue_limit,
            queue_limit_per_caller: queue_limit,
            classes: vec![class],
            fallback_class: ClassIndex(0),
            attempts_max,
            retry_budget_ppm,
        }
    }

    fn class_index(&self, name: &str) -> ClassIndex {
        let named = (0..)
            .map(ClassIndex)
            .zip(&self.classes)
            .find(|(_, class)| &*class.name == name);
        named.map_or(self.fallback_class, |(index, _)| index)
    }
}

impl Dispatcher {
    /// Replaces the limits. Existing requests are kept and matched to the new classes by name.
    pub fn configure(&mut self, policy: DispatchPolicy) {
        if policy == self.policy {
            return;
        }
        let classes = std::mem::take(&mut self.policy.classes);
        let new_indices: Vec<ClassIndex> = classes
            .iter()
            .map(|class| policy.class_index(&class.name))
            .collect();
        let remap_class = |info: &mut RequestInfo| {
            let class = new_indices.get(usize::from(info.class.0)).copied();
            info.class = class.unwrap_or(policy.fallback_class);
        };
        let queued = self.queue.drain();
        self.queue = FairQueue::new(QueueLimits::from_policy(&policy), &policy.classes);
        self.shares.configure(&policy.classes);
        self.admission = Admission::new(policy.classes.len());
        self.retry_budget.set_share(policy.retry_budget_ppm);
        for entry in self.requests.values_mut() {
            match entry {
                Entry::Queued(request) => remap_class(&mut request.info),
                Entry::Dispatched(request) => {
                    remap_class(&mut request.info);
                    self.shares.restore_in_flight(request.info.class);
                    self.queue.restore_in_flight(&request.info);
                }
            }
        }
        for charge in self.charges.values_mut() {
            remap_class(&mut charge.info);
        }
        for key in queued {
            if let Some(Entry::Queued(request)) = self.requests.get(key) {
                self.queue.push(key, &request.info);
            }
        }
        for retry in self.pending_retries.iter() {
            if let Some(Entry::Queued(request)) = self.requests.get(retry.request) {
                self.queue.restore_in_flight(&request.info);
            }
        }
        self.policy = policy;
    }

    /// Admits a request that arrives now.
    ///
    /// # Errors
    ///
    /// Returns the refusal when the queue is full, the deadline cannot be met or the dispatcher is
    /// stopping.
    pub fn submit(&mut self, info: RequestInfo) -> Result<RequestKey, Refusal> {
        let now = info.arrived;
        let request = Request::new(info);
        if self.stopping {
            return Err(request.refuse(NotRunReason::Stopping));
        }
        let evicted = match self.queue.check_capacity(&info) {
            Ok(evicted) => evicted,
            Err(QueueFull) => return Err(self.refusal(request, NotRunReason::QueueFull, now)),
        };
        let requests_ahead = self.queue.requests_ahead(info.class, info.caller);
        let load = self.class_load(info.class, requests_ahead, now);
        if !self.admission.is_reachable(&info, &load, now) {
            return Err(self.refusal(request, NotRunReason::DeadlineUnreachable, now));
        }
        if let Some(evicted) = evicted {
            self.evict(evicted);
        }
        let key = self.requests.insert(Entry::Queued(request));
        self.queue.push(key, &info);
        let queued = self.queue.class_len(info.class);
        self.shares.record_arrival(&info, queued);
        Ok(key)
    }

    /// Removes a queued request whose caller has disconnected. Requests in flight continue.
    pub fn cancel(&mut self, key: RequestKey) {
        if let Some(Entry::Queued(request)) = self.requests.get(key).copied() {
            self.requests.remove(key);
            self.remove_waiting(key, &request.info);
        }
    }

    /// Removes a request from the queue or from the pending retries.
    fn remove_waiting(&mut self, key: RequestKey, info: &RequestInfo) {
        if !self.queue.remove(key, info) && self.pending_retries.remove(key) {
            self.queue.finish_request(info);
        }
    }

    /// Whether the request waits for a slot.
    #[must_use]
    pub fn is_queued(&self, key: RequestKey) -> bool {
        matches!(self.requests.get(key), Some(Entry::Queued(_)))
    }

    /// Number of requests that wait for a slot, including pending retries.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queue.len() + self.pending_retries.len()
    }

    /// Number of requests of a class that wait for a slot, including pending retries.
    #[must_use]
    pub fn queued_of(&self, class: ClassIndex) -> usize {
        let retries = self.waiting_retries();
        self.queue.class_len(class) + retries.filter(|info| info.class == class).count()
    }

    /// Number of requests of a caller that wait for a slot, including pending retries.
    #[must_use]
    pub fn queued_of_caller(&self, caller: CallerKey) -> u32 {
        let retries = self.waiting_retries();
        let retries = retries.filter(|info| info.caller == caller).count();
        self.queue.caller_len(caller) + u32::try_from(retries).unwrap_or(u32::MAX)
    }

    fn waiting_retries(&self) -> impl Iterator<Item = RequestInfo> {
        let entries = self
            .pending_retries
            .iter()
            .map(|retry| self.requests.get(retry.request));
        entries.filter_map(|entry| match entry {
            Some(Entry::Queued(request)) => Some(request.info),
            _ => None,
        })
    }

    /// Number of requests of a class in flight.
    #[must_use]
    pub fn in_flight_of(&self, class: ClassIndex) -> u32 {
        self.shares.in_flight(class)
    }

    /// Number of callers with a request queued or in flight in a class.
    #[must_use]
    pub fn caller_count(&self, class: ClassIndex) -> usize {
        self.queue.caller_count(class)
    }

    /// Evicts a queued request to make room for one of another caller.
    fn evict(&mut self, key: RequestKey) {
        if let Some(Entry::Queued(request)) = self.requests.get(key) {
            self.queue.remove(key, &request.info);
            self.evicted.push(key);
        }
    }

    fn refuse_evicted(&mut self, now: Millis) -> Vec<DispatchAction> {
        let mut actions = Vec::new();
        for key in std::mem::take(&mut self.evicted) {
            if let Some(Entry::Queued(request)) = self.requests.get(key).copied() {
                actions.push(self.refuse_queued(key, request, NotRunReason::QueueFull, now));
            }
        }
        actions
    }

    /// Refuses queued requests and pending retries that can no longer be answered in time.
    pub(super) fn refuse_late(&mut self, now: Millis) -> Vec<DispatchAction> {
        let mut actions = self.refuse_evicted(now);
        for class in self.queue.classes() {
            while let Some(key) = self.queue.earliest_deadline(class) {
                let Some(Entry::Queued(request)) = self.requests.get(key).copied() else {
                    break;
                };
                let Some(reason) = self.late_reason(&request.info, now) else {
                    break;
                };
                actions.push(self.refuse_queued(key, request, reason, now));
            }
        }
        let waiting: Vec<RequestKey> = self
            .pending_retries
            .iter()
            .map(|retry| retry.request)
            .collect();
        for key in waiting {
            let Some(Entry::Queued(request)) = self.requests.get(key).copied() else {
                continue;
            };
            if let Some(reason) = self.late_reason(&request.info, now) {
                actions.push(self.refuse_queued(key, request, reason, now));
            }
        }
        actions
    }

    fn late_reason(&self, info: &RequestInfo, now: Millis) -> Option<NotRunReason> {
        if now >= info.deadline {
            return Some(NotRunReason::DeadlinePassed);
        }
        let min_response_ms = self.shares.service_time(info.class).min_response_ms(now);
        let is_late = now >= admission::latest_start(info, min_response_ms);
        is_late.then_some(NotRunReason::DeadlineUnreachable)
    }

    /// Removes and returns the request for the next free slot. Pending retries count as queued
    /// requests when the class is selected, and go first within their class. A request judged by a
    /// longer service time than its neighbours can be late without having the earliest deadline. It
    /// is refused here.
    pub(super) fn next_request(
        &mut self,
        now: Millis,
        actions: &mut Vec<DispatchAction>,
    ) -> Option<NextDispatch> {
        let for_repeatable = self.select_instance(now, true, None)?;
        let for_others = self.select_instance(now, false, None)?;
        let slots = self.slot_count(now);
        let retries = self.ready_retries(now);
        loop {
            let queue = &self.queue;
            let retry_for = |class| {
                retries
                    .iter()
                    .find(|retry| retry.request.info.class == class)
                    .copied()
            };
            let has_work = |class| queue.class_len(class) > 0 || retry_for(class).is_some();
            let class = self.shares.next_class(has_work, slots)?;
            if let Some(retry) = retry_for(class) {
                self.take_retry(&retry);
                return Some(retry);
            }
            let quantum_ms = self.shares.service_time(class).mean_ms();
            let key = self.queue.pop(class, quantum_ms)?;
            let Some(Entry::Queued(request)) = self.requests.get(key).copied() else {
                continue;
            };
            let Some(reason) = self.late_reason(&request.info, now) else {
                let repeatable = request.info.repeatable;
                let instance = if repeatable {
                    for_repeatable
                } else {
                    for_others
                };
                return Some(NextDispatch {
                    key,
                    request,
                    instance,
                });
            };
            self.queue
                .charge_caller(&request.info, -quantum_ms, quantum_ms);
            self.queue.finish_request(&request.info);
            actions.push(self.refuse_queued(key, request, reason, now));
        }
    }

    /// Pending retries that can be sent to an instance with a free slot now, oldest first.
    fn ready_retries(&self, now: Millis) -> Vec<NextDispatch> {
        let next = |retry: &Retry| {
            let Some(Entry::Queued(request)) = self.requests.get(retry.request).copied() else {
                return None;
            };
            let instance = self.select_instance(now, request.info.repeatable, Some(retry))?;
            Some(NextDispatch {
                key: retry.request,
                request,
                instance,
            })
        };
        self.pending_retries.iter().filter_map(next).collect()
    }

    /// Removes a pending retry. Each attempt is charged to its caller.
    fn take_retry(&mut self, retry: &NextDispatch) {
        let info = &retry.request.info;
        self.pending_retries.remove(retry.key);
        let quantum_ms = self.shares.service_time(info.class).mean_ms();
        self.queue.charge_caller(info, quantum_ms, quantum_ms);
    }

    fn refuse_queued(
        &mut self,
        key: RequestKey,
        request: Request<Queued>,
        reason: NotRunReason,
        now: Millis,
    ) -> DispatchAction {
        self.requests.remove(key);
        self.remove_waiting(key, &request.info);
        let refusal = self.refusal(request, reason, now);
        DispatchAction::Refuse {
            request: key,
            refusal,
        }
    }

    fn refusal(&self, request: Request<Queued>, reason: NotRunReason, now: Millis) -> Refusal {
        let class = request.info.class;
        let load = self.class_load(class, self.queue.class_len(class), now);
        let retry_after_ms = self.admission.retry_after_ms(&load, now);
        request.refuse(reason).with_retry_after_ms(retry_after_ms)
    }

    fn class_load(&self, class: ClassIndex, requests_ahead: usize, now: Millis) -> Load {
        let service = self.shares.service_time(class);
        let queue = &self.queue;
        let slot_fraction = self
            .shares
            .active_share(class, |other| queue.class_len(other) > 0);
        Load {
            requests_ahead,
            slot_fraction,
            mean_ms: service.mean_ms(),
            min_response_ms: service.min_response_ms(now),
        }
    }

    /// Replaces the expected slot time of a request by its measured slot time.
    pub(super) fn settle_charge(&mut self, key: RequestKey, sample: ServiceSample, now: Millis) {
        let Some(charge) = self.charges.remove(key) else {
            return;
        };
        self.shares.settle_charge(&charge, now);
        match sample {
            ServiceSample::Complete => self.shares.record_complete(&charge, now),
            ServiceSample::Incomplete => self.shares.record_incomplete(&charge, now),
            ServiceSample::NotRun => {}
        }
        let quantum_ms = self.shares.service_time(charge.info.class).mean_ms();
        let excess_ms = charge.excess_ms(now);
        self.queue
            .charge_caller(&charge.info, excess_ms, quantum_ms);
    }

    pub(super) fn observe_queues(&mut self, now: Millis) {
        let usable = self.slot_count(now).usable;
        for class in self.queue.classes() {
            let queued = self.queue.class_len(class);
            self.admission.observe(class, queued, usable, now);
        }
    }
}

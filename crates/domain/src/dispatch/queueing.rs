//! Admission, cancellation and the choice of the next request.

use super::{DispatchAction, DispatchPolicy, Dispatcher, Entry, Next, SlotUse};
use crate::admission::{self, Admission, Load};
use crate::class_share::ClassPolicy;
use crate::fair_queue::{FairQueue, Full, QueueLimits};
use crate::outcome::NotRunReason;
use crate::prelude::*;
use crate::request::{ClassIndex, Queued, Refusal, Request, RequestInfo};
use crate::retry::Retry;

impl QueueLimits {
    /// The bounds that a policy states.
    #[must_use]
    pub const fn of(policy: &DispatchPolicy) -> Self {
        Self {
            service: policy.queue_limit,
            caller: policy.queue_limit_per_caller,
        }
    }
}

impl DispatchPolicy {
    /// Limits of a service whose requests are all of one class.
    #[must_use]
    pub fn of_one_class(queue_limit: u32, attempts_max: u32, retry_budget_ppm: u32) -> Self {
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

    fn index_of(&self, name: &str) -> ClassIndex {
        let named = (0..)
            .map(ClassIndex)
            .zip(&self.classes)
            .find(|(_, class)| &*class.name == name);
        named.map_or(self.fallback_class, |(index, _)| index)
    }
}

impl Dispatcher {
    /// Replaces the limits. Requests stay, and keep their class by its name.
    pub fn configure(&mut self, policy: DispatchPolicy) {
        if policy == self.policy {
            return;
        }
        let classes = std::mem::take(&mut self.policy.classes);
        let renumbered: Vec<ClassIndex> = classes
            .iter()
            .map(|class| policy.index_of(&class.name))
            .collect();
        let renumber = |info: &mut RequestInfo| {
            let class = renumbered.get(usize::from(info.class.0)).copied();
            info.class = class.unwrap_or(policy.fallback_class);
        };
        let queued = self.queue.drain();
        self.queue = FairQueue::new(QueueLimits::of(&policy), &policy.classes);
        self.shares.configure(&policy.classes);
        self.admission = Admission::new(policy.classes.len());
        self.budget.set_share(policy.retry_budget_ppm);
        for entry in self.requests.values_mut() {
            match entry {
                Entry::Queued(request) => renumber(&mut request.info),
                Entry::Dispatched(request) => {
                    renumber(&mut request.info);
                    self.shares.restore(request.info.class);
                    self.queue.restore_in_flight(&request.info);
                }
            }
        }
        for charge in self.charges.values_mut() {
            renumber(&mut charge.info);
        }
        for key in queued {
            if let Some(Entry::Queued(request)) = self.requests.get(key) {
                self.queue.push(key, &request.info);
            }
        }
        for retry in self.retries.iter() {
            if let Some(Entry::Queued(request)) = self.requests.get(retry.request) {
                self.queue.restore_in_flight(&request.info);
            }
        }
        self.policy = policy;
    }

    /// Admits a request, which arrives now.
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
        let displaced = match self.queue.place(&info) {
            Ok(displaced) => displaced,
            Err(Full) => return Err(self.refusal(request, NotRunReason::QueueFull, now)),
        };
        let requests_ahead = self.queue.ahead(info.class, info.caller);
        let load = self.load(info.class, requests_ahead, now);
        if !self.admission.is_reachable(&info, &load, now) {
            return Err(self.refusal(request, NotRunReason::DeadlineUnreachable, now));
        }
        if let Some(displaced) = displaced {
            self.displace(displaced);
        }
        let key = self.requests.insert(Entry::Queued(request));
        self.queue.push(key, &info);
        let queued = self.queue.len_of(info.class);
        self.shares.arrived(&info, queued);
        Ok(key)
    }

    /// Removes a queued request whose caller went away; requests in flight run on.
    pub fn cancel(&mut self, key: RequestKey) {
        if let Some(Entry::Queued(request)) = self.requests.get(key).copied() {
            self.requests.remove(key);
            self.withdraw(key, &request.info);
        }
    }

    /// Takes a request out of the queue or the waiting retries.
    fn withdraw(&mut self, key: RequestKey, info: &RequestInfo) {
        if !self.queue.remove(key, info) && self.retries.remove(key) {
            self.queue.ended(info);
        }
    }

    /// Whether the request waits for a slot.
    #[must_use]
    pub fn is_queued(&self, key: RequestKey) -> bool {
        matches!(self.requests.get(key), Some(Entry::Queued(_)))
    }

    /// Requests that wait for a slot, with those that wait for a retry.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queue.len() + self.retries.len()
    }

    /// Requests of a class that wait for a slot, with those that wait for a retry.
    #[must_use]
    pub fn queued_of(&self, class: ClassIndex) -> usize {
        let retries = self.waiting_retries();
        self.queue.len_of(class) + retries.filter(|info| info.class == class).count()
    }

    /// Requests of a caller that wait for a slot, with those that wait for a retry.
    #[must_use]
    pub fn queued_of_caller(&self, caller: CallerKey) -> u32 {
        let retries = self.waiting_retries();
        let retries = retries.filter(|info| info.caller == caller).count();
        self.queue.len_of_caller(caller) + u32::try_from(retries).unwrap_or(u32::MAX)
    }

    fn waiting_retries(&self) -> impl Iterator<Item = RequestInfo> {
        let entries = self
            .retries
            .iter()
            .map(|retry| self.requests.get(retry.request));
        entries.filter_map(|entry| match entry {
            Some(Entry::Queued(request)) => Some(request.info),
            _ => None,
        })
    }

    /// Requests of a class that are in flight.
    #[must_use]
    pub fn in_flight_of(&self, class: ClassIndex) -> u32 {
        self.shares.in_flight(class)
    }

    /// Callers whose turns are kept for a class.
    #[must_use]
    pub fn callers_of(&self, class: ClassIndex) -> usize {
        self.queue.callers_of(class)
    }

    /// Takes a request of a caller that fills the queue of its class out of the queue.
    fn displace(&mut self, key: RequestKey) {
        if let Some(Entry::Queued(request)) = self.requests.get(key) {
            self.queue.remove(key, &request.info);
            self.displaced.push(key);
        }
    }

    fn refuse_displaced(&mut self, now: Millis) -> Vec<DispatchAction> {
        let mut actions = Vec::new();
        for key in std::mem::take(&mut self.displaced) {
            if let Some(Entry::Queued(request)) = self.requests.get(key).copied() {
                actions.push(self.refuse_queued(key, request, NotRunReason::QueueFull, now));
            }
        }
        actions
    }

    /// Refuses requests that can no longer be answered in time, in the queue and among the retries.
    pub(super) fn expire(&mut self, now: Millis) -> Vec<DispatchAction> {
        let mut actions = self.refuse_displaced(now);
        for class in self.queue.classes() {
            while let Some(key) = self.queue.most_urgent(class) {
                let Some(Entry::Queued(request)) = self.requests.get(key).copied() else {
                    break;
                };
                let Some(reason) = self.lateness(&request.info, now) else {
                    break;
                };
                actions.push(self.refuse_queued(key, request, reason, now));
            }
        }
        let waiting: Vec<RequestKey> = self.retries.iter().map(|retry| retry.request).collect();
        for key in waiting {
            let Some(Entry::Queued(request)) = self.requests.get(key).copied() else {
                continue;
            };
            if let Some(reason) = self.lateness(&request.info, now) {
                actions.push(self.refuse_queued(key, request, reason, now));
            }
        }
        actions
    }

    fn lateness(&self, info: &RequestInfo, now: Millis) -> Option<NotRunReason> {
        if now >= info.deadline {
            return Some(NotRunReason::DeadlinePassed);
        }
        let min_response_ms = self.shares.service(info.class).min_response_ms(now);
        let is_late = now >= admission::latest_start(info, min_response_ms);
        is_late.then_some(NotRunReason::DeadlineUnreachable)
    }

    /// Takes the request that gets the next free slot. Retries count for the choice of the class as
    /// queued requests do, and go first within their class. A queued request that was measured
    /// against a longer service time than its neighbours can be late without having the first
    /// deadline; it is refused here.
    pub(super) fn next_request(
        &mut self,
        now: Millis,
        actions: &mut Vec<DispatchAction>,
    ) -> Option<Next> {
        let for_repeatable = self.least_loaded(now, true, None)?;
        let for_others = self.least_loaded(now, false, None)?;
        let slots = self.slots(now);
        let retries = self.sendable_retries(now);
        loop {
            let queue = &self.queue;
            let retry_of = |class| {
                retries
                    .iter()
                    .find(|retry| retry.request.info.class == class)
                    .copied()
            };
            let has_work = |class| queue.len_of(class) > 0 || retry_of(class).is_some();
            let class = self.shares.choose(has_work, slots)?;
            if let Some(retry) = retry_of(class) {
                self.take_retry(&retry);
                return Some(retry);
            }
            let turn_ms = self.shares.service(class).mean_ms();
            let key = self.queue.pop(class, turn_ms)?;
            let Some(Entry::Queued(request)) = self.requests.get(key).copied() else {
                continue;
            };
            let Some(reason) = self.lateness(&request.info, now) else {
                let repeatable = request.info.repeatable;
                let instance = if repeatable {
                    for_repeatable
                } else {
                    for_others
                };
                return Some(Next {
                    key,
                    request,
                    instance,
                });
            };
            self.queue.settle(&request.info, -turn_ms, turn_ms);
            self.queue.ended(&request.info);
            actions.push(self.refuse_queued(key, request, reason, now));
        }
    }

    /// Retries that an instance with a free slot can take now, oldest first.
    fn sendable_retries(&self, now: Millis) -> Vec<Next> {
        let next = |retry: &Retry| {
            let Some(Entry::Queued(request)) = self.requests.get(retry.request).copied() else {
                return None;
            };
            let instance = self.least_loaded(now, request.info.repeatable, Some(retry))?;
            Some(Next {
                key: retry.request,
                request,
                instance,
            })
        };
        self.retries.iter().filter_map(next).collect()
    }

    /// Takes a retry out of those that wait. Its caller pays for each of its attempts.
    fn take_retry(&mut self, retry: &Next) {
        let info = &retry.request.info;
        self.retries.remove(retry.key);
        let turn_ms = self.shares.service(info.class).mean_ms();
        self.queue.settle(info, turn_ms, turn_ms);
    }

    fn refuse_queued(
        &mut self,
        key: RequestKey,
        request: Request<Queued>,
        reason: NotRunReason,
        now: Millis,
    ) -> DispatchAction {
        self.requests.remove(key);
        self.withdraw(key, &request.info);
        let refusal = self.refusal(request, reason, now);
        DispatchAction::Refuse {
            request: key,
            refusal,
        }
    }

    fn refusal(&self, request: Request<Queued>, reason: NotRunReason, now: Millis) -> Refusal {
        let class = request.info.class;
        let load = self.load(class, self.queue.len_of(class), now);
        let retry_after_ms = self.admission.retry_after_ms(&load, now);
        request.refuse(reason).with_retry_after_ms(retry_after_ms)
    }

    fn load(&self, class: ClassIndex, requests_ahead: usize, now: Millis) -> Load {
        let service = self.shares.service(class);
        let queue = &self.queue;
        let slot_fraction = self.shares.part(class, |other| queue.len_of(other) > 0);
        Load {
            requests_ahead,
            slot_fraction,
            mean_ms: service.mean_ms(),
            min_response_ms: service.min_response_ms(now),
        }
    }

    /// Replaces the expected slot time of a request by the time that it held its slot.
    pub(super) fn settle(&mut self, key: RequestKey, slot_use: SlotUse, now: Millis) {
        let Some(charge) = self.charges.remove(key) else {
            return;
        };
        self.shares.released(&charge, now);
        match slot_use {
            SlotUse::Complete => self.shares.completed(&charge, now),
            SlotUse::Held => self.shares.held(&charge, now),
            SlotUse::Unused => {}
        }
        let turn_ms = self.shares.service(charge.info.class).mean_ms();
        let excess_ms = charge.excess_ms(now);
        self.queue.settle(&charge.info, excess_ms, turn_ms);
    }

    pub(super) fn observe_queues(&mut self, now: Millis) {
        let usable = self.slots(now).usable;
        for class in self.queue.classes() {
            let queued = self.queue.len_of(class);
            self.admission.observe(class, queued, usable, now);
        }
    }
}

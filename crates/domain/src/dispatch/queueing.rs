//! Admission, cancellation and the choice of the next request.

use super::{DispatchAction, DispatchPolicy, Dispatcher, Entry, SlotUse};
use crate::admission::{self, Admission, Load};
use crate::class_share::{ClassPolicy, SlotCount};
use crate::fair_queue::{FairQueue, Full, QueueLimits};
use crate::outcome::NotRunReason;
use crate::prelude::*;
use crate::request::{ClassIndex, Queued, Refusal, Request, RequestInfo};

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
    pub fn of_one_class(queue_limit: u32, tries_max: u32) -> Self {
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
            tries_max,
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
        self.policy = policy;
    }

    /// Admits a request, which arrives now.
    ///
    /// # Errors
    ///
    /// Returns the refusal when the queue is full or the deadline cannot be met.
    pub fn submit(&mut self, info: RequestInfo) -> Result<RequestKey, Refusal> {
        let now = info.arrived;
        let request = Request::new(info);
        let displaced = match self.queue.place(&info) {
            Ok(displaced) => displaced,
            Err(Full) => return Err(self.refusal(request, NotRunReason::QueueFull, now)),
        };
        let ahead = self.queue.ahead(info.class, info.caller);
        let load = self.load(info.class, ahead, now);
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
            self.queue.remove(key, &request.info);
        }
    }

    /// Whether the request waits for a slot.
    #[must_use]
    pub fn is_queued(&self, key: RequestKey) -> bool {
        matches!(self.requests.get(key), Some(Entry::Queued(_)))
    }

    /// Requests that are queued.
    #[must_use]
    pub const fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Requests of a class that are queued.
    #[must_use]
    pub fn queued_of(&self, class: ClassIndex) -> usize {
        self.queue.len_of(class)
    }

    /// Requests of a caller that are queued.
    #[must_use]
    pub fn queued_of_caller(&self, caller: CallerKey) -> u32 {
        self.queue.len_of_caller(caller)
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

    /// Refuses queued requests that can no longer be answered in time.
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
        actions
    }

    fn lateness(&self, info: &RequestInfo, now: Millis) -> Option<NotRunReason> {
        if now >= info.deadline {
            return Some(NotRunReason::DeadlinePassed);
        }
        let low_ms = self.shares.service(info.class).low_ms(now);
        let is_late = now >= admission::latest_start(info, low_ms);
        is_late.then_some(NotRunReason::DeadlineUnreachable)
    }

    /// Takes the request that gets the next free slot. A request that was measured against a longer
    /// service time than its neighbours can be late without having the first deadline; it is
    /// refused here.
    pub(super) fn next_queued(
        &mut self,
        slots: SlotCount,
        now: Millis,
        actions: &mut Vec<DispatchAction>,
    ) -> Option<(RequestKey, Request<Queued>)> {
        loop {
            let queue = &self.queue;
            let has_queue = |class| queue.len_of(class) > 0;
            let class = self.shares.choose(has_queue, slots)?;
            let turn_ms = self.shares.service(class).mean_ms();
            let key = self.queue.pop(class, turn_ms)?;
            let Some(Entry::Queued(request)) = self.requests.get(key).copied() else {
                continue;
            };
            let Some(reason) = self.lateness(&request.info, now) else {
                return Some((key, request));
            };
            self.queue.settle(&request.info, -turn_ms, turn_ms);
            self.queue.ended(&request.info);
            actions.push(self.refuse_queued(key, request, reason, now));
        }
    }

    fn refuse_queued(
        &mut self,
        key: RequestKey,
        request: Request<Queued>,
        reason: NotRunReason,
        now: Millis,
    ) -> DispatchAction {
        self.requests.remove(key);
        self.queue.remove(key, &request.info);
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

    fn load(&self, class: ClassIndex, ahead: usize, now: Millis) -> Load {
        let service = self.shares.service(class);
        let queue = &self.queue;
        let part = self.shares.part(class, |other| queue.len_of(other) > 0);
        Load {
            ahead,
            part,
            mean_ms: service.mean_ms(),
            low_ms: service.low_ms(now),
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

//! Decisions of one service's dispatcher: queueing, choice of instance, retries.
//!
//! The dispatcher takes events with the current time and returns [`DispatchAction`]s. The task
//! around it keeps request bodies and carries the actions out.

use crate::admission::Admission;
use crate::class_share::{Charge, ClassPolicy, ClassShares, SlotCount};
use crate::fair_queue::{FairQueue, QueueLimits};
use crate::outcome::{NotRunReason, OutcomeUnknown};
use crate::prelude::*;
use crate::request::{
    AfterFailure, ClassIndex, Dispatched, FailureEvidence, Queued, Refusal, Request,
};
use crate::spare::ServiceUsage;

mod queueing;

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
    /// Tries of one request at most.
    pub tries_max: u32,
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
}

impl Dispatcher {
    /// A dispatcher without instances.
    #[must_use]
    pub fn new(policy: DispatchPolicy) -> Self {
        let limits = QueueLimits::of(&policy);
        Self {
            requests: SlotMap::with_key(),
            queue: FairQueue::new(limits, &policy.classes),
            shares: ClassShares::new(&policy.classes),
            admission: Admission::new(policy.classes.len()),
            charges: SecondaryMap::new(),
            displaced: Vec::new(),
            policy,
            instances: SecondaryMap::new(),
        }
    }

    /// Sets the slots of an instance that this daemon may use.
    pub fn set_usable_slots(&mut self, instance: InstanceKey, slots: u32) {
        if let Some(account) = self.instances.get_mut(instance) {
            account.usable_slots = slots;
        } else {
            let account = InstanceAccount {
                usable_slots: slots,
                in_flight: 0,
            };
            self.instances.insert(instance, account);
        }
    }

    /// Forgets an instance. Its exchanges in flight still end through [`Self::failed`] or
    /// [`Self::answered`].
    pub fn remove_instance(&mut self, instance: InstanceKey) {
        self.instances.remove(instance);
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

    /// Requests in flight on an instance, also on one that was removed.
    #[must_use]
    pub fn in_flight(&self, instance: InstanceKey) -> u32 {
        let in_flight = self.requests.values().filter(|entry| {
            matches!(entry, Entry::Dispatched(request) if request.state.instance == instance)
        });
        u32::try_from(in_flight.count()).unwrap_or(u32::MAX)
    }

    /// Requests in flight and queued.
    #[must_use]
    pub fn usage(&self) -> ServiceUsage {
        let queued = self.queue.len();
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
        self.release(request.state.instance);
        self.settle(key, SlotUse::of(evidence), now);
        match request.fail(evidence) {
            AfterFailure::Unknown(unknown) => self.end(key, Refusal::Unknown(unknown)),
            AfterFailure::Queued(again) => {
                if now >= again.info.deadline {
                    return self.end(key, again.refuse(NotRunReason::DeadlinePassed));
                }
                if again.state.failed_tries >= self.policy.tries_max {
                    return self.end(key, again.refuse(NotRunReason::UpstreamRefused));
                }
                self.requests[key] = Entry::Queued(again);
                self.queue.push_returned(key, &again.info);
                None
            }
        }
    }

    /// Sends what fits and refuses what is too late.
    pub fn advance(&mut self, now: Millis) -> Vec<DispatchAction> {
        let mut actions = self.expire(now);
        self.shares.observe_running(self.charges.values(), now);
        while let Some(instance) = self.least_loaded() {
            let slots = self.slots();
            let Some((key, request)) = self.next_queued(slots, now, &mut actions) else {
                break;
            };
            self.requests[key] = Entry::Dispatched(request.dispatch(instance, now));
            if let Some(account) = self.instances.get_mut(instance) {
                account.in_flight += 1;
            }
            let charge = self.shares.dispatched(request.info, slots.usable, now);
            self.charges.insert(key, charge);
            let deadline = request.info.deadline;
            actions.push(DispatchAction::Send {
                request: key,
                instance,
                deadline,
            });
        }
        self.observe_queues(now);
        actions
    }

    /// Slots of all instances.
    fn slots(&self) -> SlotCount {
        let mut slots = SlotCount::default();
        for account in self.instances.values() {
            slots.usable += account.usable_slots;
            slots.free += account.usable_slots.saturating_sub(account.in_flight);
        }
        slots
    }

    fn least_loaded(&self) -> Option<InstanceKey> {
        self.instances
            .iter()
            .filter(|(_, account)| account.in_flight < account.usable_slots)
            .min_by_key(|(_, account)| account.in_flight)
            .map(|(key, _)| key)
    }

    fn release(&mut self, instance: InstanceKey) {
        if let Some(account) = self.instances.get_mut(instance) {
            account.in_flight = account.in_flight.saturating_sub(1);
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

//! Decisions of one service's dispatcher: queueing, choice of instance, retries.
//!
//! The dispatcher takes events with the current time and returns [`DispatchAction`]s. The task
//! around it keeps request bodies and carries the actions out.

use std::collections::VecDeque;

use crate::outcome::{NotRunReason, OutcomeUnknown};
use crate::prelude::*;
use crate::request::{
    AfterFailure, Dispatched, FailureEvidence, Queued, Refusal, Request, RequestInfo,
};

/// Limits of a service that the dispatcher applies.
#[derive(Clone, Debug)]
pub struct DispatchPolicy {
    /// Requests that are queued at most.
    pub queue_limit: u32,
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
    /// When this daemon must stop using them.
    usable_until: Millis,
    /// Exchanges in flight.
    in_flight: u32,
}

/// Queue and slot accounts of one service.
#[derive(Debug)]
pub struct Dispatcher {
    policy: DispatchPolicy,
    requests: SlotMap<RequestKey, Entry>,
    queue: VecDeque<RequestKey>,
    instances: SecondaryMap<InstanceKey, InstanceAccount>,
}

impl Dispatcher {
    /// A dispatcher without instances.
    #[must_use]
    pub fn new(policy: DispatchPolicy) -> Self {
        Self {
            policy,
            requests: SlotMap::with_key(),
            queue: VecDeque::new(),
            instances: SecondaryMap::new(),
        }
    }

    /// Replaces the limits; queued requests stay.
    pub fn configure(&mut self, policy: DispatchPolicy) {
        self.policy = policy;
    }

    /// Sets the slots of an instance that this daemon may use before `until`.
    pub fn set_usable_slots(&mut self, instance: InstanceKey, slots: u32, until: Millis) {
        if !self.instances.contains_key(instance) {
            self.instances.insert(instance, InstanceAccount::default());
        }
        if let Some(account) = self.instances.get_mut(instance) {
            account.usable_slots = slots;
            account.usable_until = until;
        }
    }

    /// Whether an exchange may start on an instance at `now`, as far as its lease is concerned.
    #[must_use]
    pub fn is_usable(&self, instance: InstanceKey, now: Millis) -> bool {
        let account = self.instances.get(instance);
        account.is_some_and(|account| now < account.usable_until)
    }

    /// Exchanges in flight by instance.
    pub fn in_flight(&self) -> impl Iterator<Item = (InstanceKey, u32)> {
        let accounts = self.instances.iter();
        accounts.map(|(instance, account)| (instance, account.in_flight))
    }

    /// Requests that wait for a slot.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queue.len()
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

    /// Whether no request is queued or in flight.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Admits a request.
    ///
    /// # Errors
    ///
    /// Returns the refusal when the queue is full.
    pub fn submit(&mut self, info: RequestInfo) -> Result<RequestKey, Refusal> {
        let request = Request::new(info);
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
        }
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
        self.release(request.state.instance);
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
                self.queue.push_front(key);
                None
            }
        }
    }

    /// Sends what fits and refuses what is too late.
    pub fn advance(&mut self, now: Millis) -> Vec<DispatchAction> {
        let mut actions = self.expire(now);
        while let Some(instance) = self.least_loaded(now) {
            let Some(key) = self.queue.pop_front() else {
                break;
            };
            let Some(Entry::Queued(request)) = self.requests.get(key).copied() else {
                continue;
            };
            self.requests[key] = Entry::Dispatched(request.dispatch(instance, now));
            if let Some(account) = self.instances.get_mut(instance) {
                account.in_flight += 1;
            }
            let deadline = request.info.deadline;
            actions.push(DispatchAction::Send {
                request: key,
                instance,
                deadline,
            });
        }
        actions
    }

    fn expire(&mut self, now: Millis) -> Vec<DispatchAction> {
        let mut actions = Vec::new();
        let requests = &mut self.requests;
        self.queue.retain(|key| {
            let Some(Entry::Queued(request)) = requests.get(*key).copied() else {
                return false;
            };
            if now < request.info.deadline {
                return true;
            }
            requests.remove(*key);
            let refusal = request.refuse(NotRunReason::DeadlinePassed);
            actions.push(DispatchAction::Refuse {
                request: *key,
                refusal,
            });
            false
        });
        actions
    }

    fn least_loaded(&self, now: Millis) -> Option<InstanceKey> {
        self.instances
            .iter()
            .filter(|(_, account)| now < account.usable_until)
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
        self.requests.remove(key);
        Some(refusal)
    }
}

impl From<OutcomeUnknown> for Refusal {
    fn from(unknown: OutcomeUnknown) -> Self {
        Self::Unknown(unknown)
    }
}

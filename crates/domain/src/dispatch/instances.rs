//! Instances of the pool: their accounts, their health and the choice among them.

use super::{DispatchAction, Dispatcher, Entry};
use crate::class_share::SlotCount;
use crate::health::{FaultDomain, Observation};
use crate::prelude::*;
use crate::request::Dispatched;
use crate::retry::Retry;

/// Use of one instance.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct InstanceAccount {
    /// Slots that this daemon may use now.
    usable_slots: u32,
    /// When this daemon must stop using them.
    usable_until: Millis,
    /// Exchanges in flight.
    in_flight: u32,
    /// Whether it gets no new work.
    leaving: bool,
    /// Position of its last dispatch, so that equal instances take turns.
    last_used: u64,
}

impl Dispatcher {
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

    /// Sets the slots of an instance that this daemon may use before `until`.
    pub fn set_usable_slots(&mut self, instance: InstanceKey, slots: u32, until: Millis) {
        if let Some(account) = self.instances.get_mut(instance) {
            account.usable_slots = slots;
            account.usable_until = until;
        }
        let slots = self.instances.values().map(|account| account.usable_slots);
        self.budget.set_slots(slots.map(u64::from).sum());
    }

    /// Whether an exchange may start on an instance at `now`, as far as its lease is concerned.
    #[must_use]
    pub fn is_usable(&self, instance: InstanceKey, now: Millis) -> bool {
        let account = self.instances.get(instance);
        account.is_some_and(|account| now < account.usable_until)
    }

    /// Instances that get no more exchanges at `now`, whatever slots they have.
    pub fn blocked(&self, now: Millis) -> impl Iterator<Item = InstanceKey> {
        let accounts = self.instances.iter();
        let blocked = accounts.filter(move |(key, account)| {
            account.leaving
                || self.health.exchanges_max(*key, account.in_flight, now) <= account.in_flight
        });
        blocked.map(|(key, _)| key)
    }

    /// Exchanges in flight by instance.
    pub fn exchanges(&self) -> impl Iterator<Item = (InstanceKey, u32)> {
        let accounts = self.instances.iter();
        accounts.map(|(instance, account)| (instance, account.in_flight))
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

    /// Requests in flight on an instance, also on one that was removed.
    #[must_use]
    pub fn in_flight(&self, instance: InstanceKey) -> u32 {
        let in_flight = self.requests.values().filter(|entry| {
            matches!(entry, Entry::Dispatched(request) if request.state.instance == instance)
        });
        u32::try_from(in_flight.count()).unwrap_or(u32::MAX)
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
                self.attempt_time_limit.record(now.ms_since(at), now);
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

    pub(super) fn report_health(&mut self, now: Millis, actions: &mut Vec<DispatchAction>) {
        self.health.eject_ill(now);
        let due = self.health.due_probes(now).into_iter();
        actions.extend(due.map(|instance| DispatchAction::Probe { instance }));
        let changes = self.health.take_changes().into_iter();
        actions
            .extend(changes.map(|(instance, change)| DispatchAction::Report { instance, change }));
    }

    /// Slots of the instances that the choice of instance does not leave out. A free slot that
    /// nothing may be sent to would else count as a floor that is kept free.
    pub(super) fn slots(&self, now: Millis) -> SlotCount {
        let mut slots = SlotCount::default();
        for (key, account) in &self.instances {
            if account.leaving || now >= account.usable_until {
                continue;
            }
            let limit = self.health.exchanges_max(key, account.in_flight, now);
            let usable = account.usable_slots.min(limit);
            slots.usable += usable;
            slots.free += usable.saturating_sub(account.in_flight);
        }
        slots
    }

    /// Counts an exchange that starts now.
    pub(super) fn occupy(&mut self, instance: InstanceKey, now: Millis) {
        self.dispatches += 1;
        if let Some(account) = self.instances.get_mut(instance) {
            account.in_flight += 1;
            account.last_used = self.dispatches;
        }
        self.health.sent(instance, now);
    }

    /// The healthiest and then least loaded instance with a free slot that the request may use.
    pub(super) fn least_loaded(
        &self,
        now: Millis,
        repeatable: bool,
        retry: Option<&Retry>,
    ) -> Option<InstanceKey> {
        self.instances
            .iter()
            .filter(|(_, account)| !account.leaving && now < account.usable_until)
            .filter(|(_, account)| account.in_flight < account.usable_slots)
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

    pub(super) fn release(&mut self, instance: InstanceKey) {
        if let Some(account) = self.instances.get_mut(instance) {
            account.in_flight = account.in_flight.saturating_sub(1);
        }
    }
}

//! Instances of the pool: slot usage, health and selection.

use super::{DispatchAction, Dispatcher, Entry};
use crate::class_share::SlotCount;
use crate::health::{FaultDomain, Observation};
use crate::prelude::*;
use crate::request::Dispatched;
use crate::retry::Retry;

/// Slot usage of one instance.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct InstanceUsage {
    /// Slots that this daemon may use now.
    usable_slots: u32,
    /// Time at which the lease of these slots ends.
    usable_until: Millis,
    /// Exchanges in flight.
    in_flight: u32,
    /// Whether the instance is retired, so that it gets no new requests.
    retired: bool,
    /// Sequence number of its last dispatch. Breaks ties between equally loaded instances.
    last_used: u64,
}

impl Dispatcher {
    /// Adds an instance to the pool, or reinstates a retired one. `unlisted` means that the
    /// platform's last list did not contain it.
    pub fn add_instance(
        &mut self,
        instance: InstanceKey,
        domain: FaultDomain,
        unlisted: bool,
        now: Millis,
    ) {
        self.health.insert(instance, domain, now);
        self.health.set_unlisted(instance, unlisted);
        if let Some(usage) = self.instances.get_mut(instance) {
            usage.retired = false;
        } else {
            self.instances.insert(instance, InstanceUsage::default());
        }
    }

    /// Sets the number of slots of an instance that this daemon may use until `until`.
    pub fn set_usable_slots(&mut self, instance: InstanceKey, slots: u32, until: Millis) {
        if let Some(usage) = self.instances.get_mut(instance) {
            usage.usable_slots = slots;
            usage.usable_until = until;
        }
        let slots = self.instances.values().map(|usage| usage.usable_slots);
        self.retry_budget.set_slots(slots.map(u64::from).sum());
    }

    /// Whether the slot lease of the instance is valid at `now`.
    #[must_use]
    pub fn is_usable(&self, instance: InstanceKey, now: Millis) -> bool {
        let usage = self.instances.get(instance);
        usage.is_some_and(|usage| now < usage.usable_until)
    }

    /// Instances that accept no further exchange at `now`, regardless of their slots.
    pub fn blocked_instances(&self, now: Millis) -> impl Iterator<Item = InstanceKey> {
        let usages = self.instances.iter();
        let blocked = usages.filter(move |(key, usage)| {
            usage.retired
                || self.health.exchanges_max(*key, usage.in_flight, now) <= usage.in_flight
        });
        blocked.map(|(key, _)| key)
    }

    /// Number of exchanges in flight for each instance.
    pub fn exchanges_by_instance(&self) -> impl Iterator<Item = (InstanceKey, u32)> {
        let usages = self.instances.iter();
        usages.map(|(instance, usage)| (instance, usage.in_flight))
    }

    /// Stops sending requests to an instance. Its exchanges in flight continue. Its usage is kept
    /// until [`Self::remove_idle`], so that its busy slots still count if it is added again.
    pub fn retire_instance(&mut self, instance: InstanceKey, now: Millis) {
        if let Some(usage) = self.instances.get_mut(instance) {
            usage.retired = true;
            usage.usable_slots = 0;
        }
        self.health.remove(instance, now);
    }

    /// Removes and returns the retired instances without exchanges in flight.
    pub fn remove_idle(&mut self) -> Vec<InstanceKey> {
        let idle = |usage: &InstanceUsage| usage.retired && usage.in_flight == 0;
        let instances = self.instances.iter();
        let removed: Vec<InstanceKey> = instances
            .filter(|(_, usage)| idle(usage))
            .map(|(key, _)| key)
            .collect();
        for instance in &removed {
            self.instances.remove(*instance);
        }
        removed
    }

    /// Number of requests in flight on an instance, including a removed one.
    #[must_use]
    pub fn in_flight(&self, instance: InstanceKey) -> u32 {
        let in_flight = self.requests.values().filter(|entry| {
            matches!(entry, Entry::Dispatched(request) if request.state.instance == instance)
        });
        u32::try_from(in_flight.count()).unwrap_or(u32::MAX)
    }

    /// Records the health observation of an exchange. Must be called before
    /// [`Self::record_response`] or [`Self::record_failure`].
    pub fn record_observation(&mut self, key: RequestKey, observation: Observation, now: Millis) {
        if let Some(Entry::Dispatched(request)) = self.requests.get(key) {
            let Dispatched { instance, at, .. } = request.state;
            self.health.record_exchange(instance, observation, at, now);
            // A timeout at the caller's deadline says nothing about the response time.
            let gave_up_early = observation == Observation::TimedOut && now < request.info.deadline;
            if gave_up_early || observation == Observation::Answered {
                self.attempt_time_limit.record(now.ms_since(at), now);
            }
        }
    }

    /// Records the result of a health probe.
    pub fn record_probe(&mut self, instance: InstanceKey, healthy: bool, now: Millis) {
        self.health.record_probe(instance, healthy, now);
    }

    /// Records that a peer reported refused connections to the instance.
    pub fn record_peer_refusal(&mut self, instance: InstanceKey, peer: Arc<str>, now: Millis) {
        self.health.record_peer_refusal(instance, peer, now);
    }

    pub(super) fn push_health_actions(&mut self, now: Millis, actions: &mut Vec<DispatchAction>) {
        self.health.eject_unhealthy(now);
        let probes = self.health.due_probes(now).into_iter();
        actions.extend(probes.map(|instance| DispatchAction::Probe { instance }));
        let changes = self.health.take_changes().into_iter();
        actions
            .extend(changes.map(|(instance, change)| DispatchAction::Report { instance, change }));
    }

    /// Counts the slots of all selectable instances. Slots of other instances are excluded, since
    /// they would count towards the floors of the classes although nothing can be sent to them.
    pub(super) fn slot_count(&self, now: Millis) -> SlotCount {
        let mut slots = SlotCount::default();
        for (key, usage) in &self.instances {
            if usage.retired || now >= usage.usable_until {
                continue;
            }
            let limit = self.health.exchanges_max(key, usage.in_flight, now);
            let usable = usage.usable_slots.min(limit);
            slots.usable += usable;
            slots.free += usable.saturating_sub(usage.in_flight);
        }
        slots
    }

    /// Takes a slot of the instance for an exchange that starts now.
    pub(super) fn occupy_slot(&mut self, instance: InstanceKey, now: Millis) {
        self.dispatch_count += 1;
        if let Some(usage) = self.instances.get_mut(instance) {
            usage.in_flight += 1;
            usage.last_used = self.dispatch_count;
        }
        self.health.record_dispatch(instance, now);
    }

    /// Selects an instance with a free slot by health, then by load, then by least recent use.
    pub(super) fn select_instance(
        &self,
        now: Millis,
        repeatable: bool,
        retry: Option<&Retry>,
    ) -> Option<InstanceKey> {
        self.instances
            .iter()
            .filter(|(_, usage)| !usage.retired && now < usage.usable_until)
            .filter(|(_, usage)| usage.in_flight < usage.usable_slots)
            .filter(|(key, _)| retry.is_none_or(|retry| retry.allows(*key, now)))
            .filter_map(|(key, usage)| {
                let health = &self.health;
                let preference = health.preference(key, usage.in_flight, repeatable, now)?;
                let rank = (preference, usage.in_flight, usage.last_used);
                Some((rank, key))
            })
            .min_by_key(|(rank, _)| *rank)
            .map(|(_, key)| key)
    }

    pub(super) fn release_slot(&mut self, instance: InstanceKey) {
        if let Some(usage) = self.instances.get_mut(instance) {
            usage.in_flight = usage.in_flight.saturating_sub(1);
        }
    }
}

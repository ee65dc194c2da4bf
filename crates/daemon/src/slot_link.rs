//! The connection of a dispatcher to the slot task.

use std::sync::Arc;

use rosemaryscale_domain::Dispatcher;
use rosemaryscale_domain::slots::SlotCapacity;
use rosemaryscale_ports::dispatch::DispatchMessage;
use rosemaryscale_ports::instance::ServiceView;
use rosemaryscale_ports::prelude::*;
use rosemaryscale_ports::slots::{InstanceSlotLimit, SlotMessage, SlotSender, SlotUsage};

/// Reports the slot usage of a dispatcher to the slot task, without a message for each request.
pub struct SlotLink {
    messages: SlotSender,
    service: Arc<str>,
    applied_version: u64,
    reported: SlotUsage,
    /// Newest limits of slots and connections by instance.
    limits: FastMap<Arc<str>, (u32, u32)>,
    /// Whether the next update reports any change rather than only an urgent one.
    report_due: bool,
}

impl SlotLink {
    /// Creates the link of a service's dispatcher.
    #[must_use]
    pub fn new(messages: SlotSender, service: Arc<str>) -> Self {
        Self {
            messages,
            service,
            applied_version: 0,
            reported: SlotUsage::default(),
            limits: FastMap::default(),
            report_due: false,
        }
    }

    /// Sends the capacity and the instances of the service to the slot task.
    pub async fn configure(
        &mut self,
        view: &ServiceView,
        dispatcher: mpsc::Sender<DispatchMessage>,
    ) {
        // Links of new instances have not received their connection limits yet.
        self.limits.clear();
        let instances = view.instances.iter();
        let message = SlotMessage::Configure {
            service: Arc::clone(&view.name),
            capacity: SlotCapacity {
                slots: view.fields.slots_per_instance,
                connections: view.fields.connections_per_instance,
                request_limit_ms: view.fields.request_limit_ms,
            },
            instances: instances.map(|record| Arc::clone(&record.name)).collect(),
            dispatcher,
        };
        let _ = self.messages.send(message).await;
    }

    /// Records a limit. Returns whether the connection limit must be sent to the upstream link.
    pub fn record_limit(&mut self, limit: &InstanceSlotLimit) -> bool {
        let new = (limit.slots, limit.connections);
        let old = self.limits.insert(Arc::clone(&limit.instance), new);
        old.is_none_or(|(_, connections)| connections != limit.connections)
    }

    /// Removes the limit of an instance, so that its connection limit is sent to the link again.
    pub fn forget_limit(&mut self, instance: &str) {
        self.limits.remove(instance);
    }

    /// Records the version of the applied limits, which the next update acknowledges.
    pub fn set_applied_version(&mut self, version: u64) {
        self.applied_version = version;
        self.report_due = true;
    }

    /// Makes the next update report any change.
    pub fn tick(&mut self) {
        self.report_due = true;
    }

    /// Reports a changed usage if a report is pending or the change is urgent. Urgent changes are
    /// the first queued request and the release of a slot that was recalled while in use.
    pub fn update(
        &mut self,
        dispatcher: &Dispatcher,
        name: impl Fn(InstanceKey) -> Option<Arc<str>>,
        now: Millis,
    ) {
        let queued = u32::try_from(dispatcher.queued()).unwrap_or(u32::MAX);
        let queueing_starts = queued > 0 && self.reported.queued == 0;
        let urgent = queueing_starts || self.has_released_recalled_slot(dispatcher, &name);
        if !(self.report_due || urgent) {
            return;
        }
        let busy = dispatcher
            .exchanges_by_instance()
            .filter(|(_, count)| *count > 0);
        let usage = SlotUsage {
            service: Arc::clone(&self.service),
            applied_version: self.applied_version,
            queued,
            in_flight: busy
                .filter_map(|(key, count)| Some((name(key)?, count)))
                .collect(),
            blocked: dispatcher
                .blocked_instances(now)
                .filter_map(&name)
                .collect(),
        };
        self.report_due = false;
        if usage == self.reported {
            return;
        }
        match self.messages.try_send(SlotMessage::Usage(usage.clone())) {
            Ok(()) => self.reported = usage,
            // The channel is full; the update after the next tick retries.
            Err(_) => self.report_due = false,
        }
    }

    fn has_released_recalled_slot(
        &self,
        dispatcher: &Dispatcher,
        name: &impl Fn(InstanceKey) -> Option<Arc<str>>,
    ) -> bool {
        let exceeds_limit = |instance: &Arc<str>, count: u32| {
            let limit = self.limits.get(instance).map_or(0, |(slots, _)| *slots);
            count > limit
        };
        if !self
            .reported
            .in_flight
            .iter()
            .any(|(instance, count)| exceeds_limit(instance, *count))
        {
            return false;
        }
        let current: FastMap<Arc<str>, u32> = dispatcher
            .exchanges_by_instance()
            .filter_map(|(key, count)| Some((name(key)?, count)))
            .collect();
        self.reported.in_flight.iter().any(|(instance, count)| {
            exceeds_limit(instance, *count)
                && current.get(instance).copied().unwrap_or_default() < *count
        })
    }

    /// Notifies the slot task that the dispatcher has ended.
    pub async fn remove(&self) {
        let service = Arc::clone(&self.service);
        let _ = self.messages.send(SlotMessage::Remove { service }).await;
    }
}

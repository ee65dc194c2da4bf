//! A dispatcher's side of its relation to the slot task.

use std::sync::Arc;

use rosemaryscale_domain::Dispatcher;
use rosemaryscale_domain::slots::SlotCapacity;
use rosemaryscale_ports::dispatch::DispatchMessage;
use rosemaryscale_ports::instance::ServiceView;
use rosemaryscale_ports::prelude::*;
use rosemaryscale_ports::slots::{InstanceSlotLimit, SlotMessage, SlotSender, SlotUsage};

/// Tells the slot task what the dispatcher uses, without a message for each request.
pub struct SlotLink {
    messages: SlotSender,
    service: Arc<str>,
    applied_version: u64,
    said: SlotUsage,
    /// Slots and connections as last told to the dispatcher.
    limits: FastMap<Arc<str>, (u32, u32)>,
    /// Whether any change is said, not only an urgent one.
    due: bool,
}

impl SlotLink {
    /// The link of a service's dispatcher.
    #[must_use]
    pub fn new(messages: SlotSender, service: Arc<str>) -> Self {
        Self {
            messages,
            service,
            applied_version: 0,
            said: SlotUsage::default(),
            limits: FastMap::default(),
            due: false,
        }
    }

    /// Passes the instances of the service on.
    pub async fn configure(
        &mut self,
        view: &ServiceView,
        dispatcher: mpsc::Sender<DispatchMessage>,
    ) {
        // Links of new instances have not been told of their connections.
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

    /// Records a limit; returns whether the link must be told of its connections.
    pub fn connections_changed(&mut self, limit: &InstanceSlotLimit) -> bool {
        let new = (limit.slots, limit.connections);
        let old = self.limits.insert(Arc::clone(&limit.instance), new);
        old.is_none_or(|(_, connections)| connections != limit.connections)
    }

    /// Forgets the limit of an instance, so that its link is told of its connections again.
    pub fn forget(&mut self, instance: &str) {
        self.limits.remove(instance);
    }

    /// Acknowledges limits.
    pub fn set_applied_version(&mut self, version: u64) {
        self.applied_version = version;
        self.due = true;
    }

    /// Lets the next update say any change.
    pub fn tick(&mut self) {
        self.due = true;
    }

    /// Says what changed, if it is due or cannot wait: requests begin to wait, or a slot that was
    /// recalled while it was in use is free.
    pub fn update(
        &mut self,
        dispatcher: &Dispatcher,
        name: impl Fn(InstanceKey) -> Option<Arc<str>>,
        now: Millis,
    ) {
        let queued = u32::try_from(dispatcher.queued()).unwrap_or(u32::MAX);
        let begins = queued > 0 && self.said.queued == 0;
        let urgent = begins || self.releases(dispatcher, &name);
        if !(self.due || urgent) {
            return;
        }
        let busy = dispatcher
            .exchanges_by_instance()
            .filter(|(_, count)| *count > 0);
        let news = SlotUsage {
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
        self.due = false;
        if news == self.said {
            return;
        }
        match self.messages.try_send(SlotMessage::Usage(news.clone())) {
            Ok(()) => self.said = news,
            // The channel is full; the next tick tries again.
            Err(_) => self.due = false,
        }
    }

    fn releases(
        &self,
        dispatcher: &Dispatcher,
        name: &impl Fn(InstanceKey) -> Option<Arc<str>>,
    ) -> bool {
        let over = |instance: &Arc<str>, count: u32| {
            let limit = self.limits.get(instance).map_or(0, |(slots, _)| *slots);
            count > limit
        };
        if !self
            .said
            .in_flight
            .iter()
            .any(|(instance, count)| over(instance, *count))
        {
            return false;
        }
        let now: FastMap<Arc<str>, u32> = dispatcher
            .exchanges_by_instance()
            .filter_map(|(key, count)| Some((name(key)?, count)))
            .collect();
        self.said.in_flight.iter().any(|(instance, count)| {
            over(instance, *count) && now.get(instance).copied().unwrap_or_default() < *count
        })
    }

    /// The dispatcher has ended.
    pub async fn remove(&self) {
        let service = Arc::clone(&self.service);
        let _ = self.messages.send(SlotMessage::Remove { service }).await;
    }
}

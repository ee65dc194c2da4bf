//! Handling of the instances of a service: their links, slot limits and health.

use std::sync::Arc;

use rosemaryscale_adapters::upstream_link::{self, LinkOptions};
use rosemaryscale_domain::health::{EjectionEvidence, FaultDomain, HealthChange};
use rosemaryscale_ports::clock::ClockHandle;
use rosemaryscale_ports::dispatch::DispatchMessage;
use rosemaryscale_ports::instance::{InstanceRecord, ServiceView};
use rosemaryscale_ports::link::{Link, LinkMessage};
use rosemaryscale_ports::peer::{PeerObservation, RefusingInstance};
use rosemaryscale_ports::prelude::*;
use rosemaryscale_ports::slots::SlotLimits;

use super::{DispatcherTask, dispatch_policy};

/// An instance and the link to it.
pub(super) struct Target {
    pub(super) record: InstanceRecord,
    pub(super) link: Link,
}

impl Target {
    /// Whether the record describes this instance. Only the name and the address are compared,
    /// since the labels of an instance may change.
    fn is_same_instance(&self, record: &InstanceRecord) -> bool {
        self.record.name == record.name && self.record.address == record.address
    }

    fn refusing_instance(&self) -> RefusingInstance {
        RefusingInstance {
            name: Arc::clone(&self.record.name),
            address: self.record.address,
        }
    }
}

impl DispatcherTask {
    pub(super) fn apply_limits(&mut self, limits: &SlotLimits) {
        for limit in &limits.limits {
            let listed = &self.view.instances;
            let target = self.targets.iter().find(|(_, target)| {
                target.record.name == limit.instance
                    && listed.iter().any(|record| target.is_same_instance(record))
            });
            let Some((key, _)) = target else {
                continue;
            };
            self.dispatcher
                .set_usable_slots(key, limit.slots, limit.until);
            if self.slots.record_limit(limit)
                && !self.send_to_link(key, LinkMessage::SetConnectionLimit(limit.connections))
            {
                self.slots.forget_limit(&limit.instance);
            }
        }
        self.slots.set_applied_version(limits.version);
    }

    pub(super) fn send_to_link(&self, instance: InstanceKey, message: LinkMessage) -> bool {
        let target = self.targets.get(instance);
        target.is_some_and(|target| target.link.messages.try_send(message).is_ok())
    }

    pub(super) fn send_probe(&mut self, instance: InstanceKey) {
        if !self.send_to_link(instance, LinkMessage::Probe) {
            let now = self.options.clock.now();
            self.dispatcher.record_probe(instance, false, now);
        }
    }

    pub(super) fn report_health_change(&self, instance: InstanceKey, change: HealthChange) {
        let Some(target) = self.targets.get(instance) else {
            return;
        };
        let record = &target.record;
        let detail = match change {
            HealthChange::Ejected { pause_ms, evidence } => {
                self.options.metrics.count("health.ejections", 1);
                let EjectionEvidence {
                    failures,
                    connect_failures,
                    peer_reports,
                } = evidence;
                if connect_failures > 0 {
                    let _ = self.options.refusals.try_send(target.refusing_instance());
                }
                let (rack, zone) = (&record.rack, &record.zone);
                format!(
                    "ejected, probed in {pause_ms} ms (rack {rack}, zone {zone}, {failures} failures, \
                     {connect_failures} failed connects, {peer_reports} peer reports)"
                )
            }
            HealthChange::OnTrial => "on trial with one request at a time".into(),
            HealthChange::Returned => "returned to full use".into(),
        };
        let name = Arc::clone(&record.name);
        self.options
            .events
            .record(EventKind::Instance, name, detail);
    }

    pub(super) fn apply_peer_observation(&mut self, observation: PeerObservation) {
        let PeerObservation { peer, refusing } = observation;
        let mut targets = self.targets.iter();
        let known = targets.find(|(_, target)| target.refusing_instance() == refusing);
        if let Some((key, _)) = known {
            let now = self.options.clock.now();
            self.dispatcher.record_peer_refusal(key, peer, now);
        }
    }

    pub(super) async fn configure(&mut self, view: Arc<ServiceView>) {
        let now = self.options.clock.now();
        self.view = view;
        self.dispatcher.configure(dispatch_policy(&self.view));
        let listed = &self.view.instances;
        for (key, target) in &self.targets {
            if !listed.iter().any(|record| target.is_same_instance(record)) {
                self.dispatcher.retire_instance(key, now);
            }
        }
        for record in self.view.instances.clone() {
            let known = self
                .targets
                .iter()
                .find(|(_, target)| target.is_same_instance(&record));
            let key = known.map(|(key, _)| key);
            let key = key.unwrap_or_else(|| self.add_target(record.clone()));
            let domain = FaultDomain {
                rack: Arc::clone(&record.rack),
                zone: Arc::clone(&record.zone),
            };
            let unlisted = self.view.unlisted.contains(&record.name);
            self.dispatcher.add_instance(key, domain, unlisted, now);
            if let Some(target) = self.targets.get_mut(key) {
                target.record = record;
            }
        }
        self.slots
            .configure(&self.view, self.own_sender.clone())
            .await;
    }

    /// Number of requests in flight on an instance, summed over all its keys: a retired instance
    /// keeps its key until its last exchange has ended, and gets a new one if its address changed.
    pub(super) fn in_flight(&self, instance: &str) -> u32 {
        let targets = self.targets.iter();
        targets
            .filter(|(_, target)| &*target.record.name == instance)
            .map(|(key, _)| self.dispatcher.in_flight(key))
            .sum()
    }

    pub(super) fn add_target(&mut self, record: InstanceRecord) -> InstanceKey {
        let Self {
            options,
            view,
            own_sender,
            links,
            targets,
            ..
        } = self;
        targets.insert_with_key(|instance| {
            let (link, task) = upstream_link::create(LinkOptions {
                instance,
                address: record.address,
                connections: view.fields.connections_per_instance,
                clock: ClockHandle::clone(&options.clock),
                exchange_ends: own_sender.clone(),
            });
            links.spawn(task);
            Target { record, link }
        })
    }

    /// Closes the links of retired instances that have no exchange in flight.
    pub(super) fn retire_idle_links(&mut self) {
        for key in self.dispatcher.remove_idle() {
            if let Some(target) = self.targets.remove(key) {
                let _ = target.link.messages.try_send(LinkMessage::Shutdown);
            }
        }
    }

    pub(super) async fn shut_down(&mut self) {
        self.targets.clear();
        self.messages.close();
        while let Some(message) = self.messages.recv().await {
            if let DispatchMessage::Submit(submission) = message {
                // It was sent before the service was removed from the routes.
                self.submit(submission);
            }
        }
        while self.links.join_next().await.is_some() {}
        while self.caller_watches.join_next().await.is_some() {}
    }
}

//! The slot task. It keeps the ledgers of the instances that this daemon owns, and the slots that
//! this daemon holds on all instances.

use rosemaryscale_domain::member::MemberId;
use std::sync::Arc;
use std::time::Duration;

use rosemaryscale_domain::slots::{
    HolderAction, MembershipView, NamedGrantList, NamedReport, ReportAnswer, ServiceUsage,
    SlotAction, SlotCapacity, SlotDirectory, SlotLimit, SlotManager, owner_of, search_start,
};
use rosemaryscale_ports::clock::ClockHandle;
use rosemaryscale_ports::dispatch::DispatchMessage;
use rosemaryscale_ports::member::MemberWatch;
use rosemaryscale_ports::peer::{PeerError, PeerReply, PeerRequest, Peers};
use rosemaryscale_ports::prelude::*;
use rosemaryscale_ports::slots::{
    InstanceSlotLimit, LiveMembers, SlotLimits, SlotMessage, SlotSender, SlotUsage,
};
use tokio::task::JoinSet;

use crate::slot_members::{MemberChange, SlotMembers};

const CHANNEL_CAPACITY: usize = 1_024;
/// Upper bound on the delay until leases, recalls and idle grants are handled.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Longest time for which a stopping task waits for the reports that return its grants.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(500);

/// Dependencies of the slot task.
pub struct SlotTaskOptions {
    /// Name and incarnation of this daemon.
    pub own: MemberId,
    /// Clock of the process.
    pub clock: ClockHandle,
    /// The current members.
    pub members: MemberWatch,
    /// Calls to the other daemons.
    pub peers: Peers,
    /// The event log.
    pub events: EventSink,
    /// Metrics of the process.
    pub metrics: Metrics,
}

/// A service and its dispatcher.
struct Service {
    name: Arc<str>,
    dispatcher: mpsc::Sender<DispatchMessage>,
    /// Limits that have not been sent yet, for example because the dispatcher's channel was full.
    unsent: Option<SlotLimits>,
}

/// A call to a peer that has ended.
struct CallEnd {
    peer: DaemonKey,
    /// Sequence number of the report; `None` for a grant list.
    seq: Option<u64>,
    result: Result<PeerReply, PeerError>,
}

/// The slot task.
pub struct SlotTask {
    options: SlotTaskOptions,
    own: DaemonKey,
    directory: SlotDirectory,
    members: SlotMembers,
    owners: SecondaryMap<SlotKey, DaemonKey>,
    slots: SlotManager,
    services: SlotMap<ServiceKey, Service>,
    calls: JoinSet<CallEnd>,
    withheld: u32,
}

impl SlotTask {
    /// Creates the task with the sender and the receiver of its messages.
    #[must_use]
    pub fn new(options: SlotTaskOptions) -> (Self, SlotSender, mpsc::Receiver<SlotMessage>) {
        let (sender, messages) = mpsc::channel(CHANNEL_CAPACITY);
        let mut directory = SlotDirectory::default();
        let own = directory.intern_member(&options.own);
        let start = search_start(&options.own.name);
        let task = Self {
            slots: SlotManager::new(own, start, options.clock.now()),
            own,
            directory,
            members: SlotMembers::default(),
            owners: SecondaryMap::new(),
            services: SlotMap::with_key(),
            calls: JoinSet::new(),
            withheld: 0,
            options,
        };
        (task, sender, messages)
    }

    /// Serves messages until every sender is dropped, then returns the slots that it holds.
    pub async fn serve(mut self, mut messages: mpsc::Receiver<SlotMessage>) {
        let mut tick = tokio::time::interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                message = messages.recv() => match message {
                    Some(message) => self.handle(message),
                    None => break,
                },
                Ok(()) = self.options.members.changed() => self.update_members(),
                Some(Ok(end)) = self.calls.join_next() => self.finish_call(end),
                _ = tick.tick() => self.report_withheld(),
            }
            self.advance();
        }
        let pending_calls = async { while self.calls.join_next().await.is_some() {} };
        let _ = tokio::time::timeout(SHUTDOWN_TIMEOUT, pending_calls).await;
        self.calls.shutdown().await;
    }

    fn now(&self) -> Millis {
        self.options.clock.now()
    }

    fn handle(&mut self, message: SlotMessage) {
        match message {
            SlotMessage::Configure {
                service,
                capacity,
                instances,
                dispatcher,
            } => self.configure(&service, capacity, &instances, dispatcher),
            SlotMessage::Remove { service } => self.remove(&service),
            SlotMessage::Usage(slot_usage) => self.record_usage(&slot_usage),
            SlotMessage::Report {
                from,
                report,
                reply,
            } => {
                let _ = reply.send(self.handle_report(from, &report));
            }
            SlotMessage::Grants { from, list } => self.accept_list(&from, &list),
        }
    }

    fn configure(
        &mut self,
        name: &Arc<str>,
        capacity: SlotCapacity,
        instances: &[Arc<str>],
        dispatcher: mpsc::Sender<DispatchMessage>,
    ) {
        let service = self.find_service(name).unwrap_or_else(|| {
            self.services.insert(Service {
                name: Arc::clone(name),
                dispatcher,
                unsent: None,
            })
        });
        let mut slots = Vec::with_capacity(instances.len());
        for instance in instances {
            let slot = self.directory.intern_slot(name, instance);
            let owner = self.find_owner(instance);
            if let Some(owner) = owner {
                self.owners.insert(slot, owner);
            }
            slots.push((slot, owner));
        }
        let now = self.now();
        self.slots.set_service(service, capacity, slots, now);
    }

    fn remove(&mut self, name: &Arc<str>) {
        if let Some(service) = self.find_service(name) {
            let now = self.now();
            let no_capacity = SlotCapacity::default();
            self.slots
                .set_service(service, no_capacity, Vec::new(), now);
            self.services.remove(service);
        }
    }

    fn find_service(&self, name: &Arc<str>) -> Option<ServiceKey> {
        let mut services = self.services.iter();
        let known = services.find(|(_, service)| service.name == *name);
        known.map(|(key, _)| key)
    }

    fn record_usage(&mut self, slot_usage: &SlotUsage) {
        let Some(service) = self.find_service(&slot_usage.service) else {
            return;
        };
        let in_flight = slot_usage.in_flight.iter();
        let in_flight = in_flight
            .map(|(name, count)| {
                (
                    self.directory.intern_slot(&slot_usage.service, name),
                    *count,
                )
            })
            .collect();
        let blocked = slot_usage.blocked.iter();
        let blocked = blocked
            .map(|name| self.directory.intern_slot(&slot_usage.service, name))
            .collect();
        let service_usage = ServiceUsage {
            applied_version: slot_usage.applied_version,
            queued: slot_usage.queued,
            in_flight,
            blocked,
        };
        self.slots.record_usage(service, &service_usage);
    }

    fn handle_report(&mut self, from: Arc<str>, message: &NamedReport) -> PeerReply {
        self.options.metrics.count("slots.reports", 1);
        let from = self.directory.intern_member(&MemberId {
            name: from,
            incarnation: Arc::clone(&message.incarnation),
        });
        let report = self.directory.from_named_report(message);
        let now = self.now();
        match self.slots.apply_report(from, &report, now) {
            ReportAnswer::Grants(list) => {
                PeerReply::SlotGrants(self.directory.to_named_grant_list(self.own, from, &list))
            }
            ReportAnswer::Stale => PeerReply::Refused("a newer report was processed".into()),
            ReportAnswer::ViewMismatch => PeerReply::OtherMembers(self.members.current().clone()),
        }
    }

    fn accept_list(&mut self, from: &str, message: &NamedGrantList) {
        let Some(sender) = self.members.find(from) else {
            return;
        };
        if message.holder != self.options.own.incarnation || message.home != sender.incarnation {
            return;
        }
        let from = self.directory.intern_member(&MemberId {
            name: Arc::clone(&sender.name),
            incarnation: Arc::clone(&sender.incarnation),
        });
        let list = self.directory.from_named_grant_list(message);
        let now = self.now();
        self.slots.accept_list(from, &list, now);
    }

    fn finish_call(&mut self, end: CallEnd) {
        let CallEnd { peer, seq, result } = end;
        let refused = match result {
            Ok(PeerReply::SlotGrants(list)) => {
                let name = self
                    .directory
                    .member_id(peer)
                    .map(|id| Arc::clone(&id.name));
                if let Some(name) = name {
                    self.accept_list(&name, &list);
                }
                false
            }
            Ok(PeerReply::Received) => false,
            Ok(PeerReply::OtherMembers(members)) => {
                self.adopt_peer_members(members);
                true
            }
            Ok(_) | Err(_) => true,
        };
        if refused && let Some(seq) = seq {
            self.options.metrics.count("slots.refused_reports", 1);
            let now = self.now();
            self.slots.report_failed(peer, seq, now);
        }
    }

    fn update_members(&mut self) {
        let view = self.options.members.borrow_and_update().clone();
        if let Some(change) = self.members.adopt_platform_list(&view, &self.options.own) {
            self.apply_member_change(change);
        }
    }

    fn adopt_peer_members(&mut self, members: LiveMembers) {
        if let Some(change) = self.members.adopt_peer_list(members, &self.options.own) {
            let detail = "adopted a newer member list from a peer";
            let own = Arc::clone(&self.options.own.name);
            self.options.events.record(EventKind::Slots, own, detail);
            self.apply_member_change(change);
        }
    }

    fn apply_member_change(&mut self, change: MemberChange) {
        let live: Vec<MemberId> = self
            .members
            .current()
            .live
            .iter()
            .map(|member| MemberId {
                name: Arc::clone(&member.name),
                incarnation: Arc::clone(&member.incarnation),
            })
            .collect();
        let live = live
            .iter()
            .map(|id| self.directory.intern_member(id))
            .collect();
        let names: Vec<(SlotKey, Arc<str>)> = self
            .directory
            .slots()
            .map(|(slot, id)| (slot, Arc::clone(&id.instance)))
            .collect();
        self.owners.clear();
        for (slot, instance) in names {
            if let Some(owner) = self.find_owner(&instance) {
                self.owners.insert(slot, owner);
            }
        }
        let view = MembershipView {
            id: self.members.view_id(),
            live,
            owners: &self.owners,
            was_continuously_live: change.was_continuously_live,
            vanished: change.vanished,
        };
        let now = self.options.clock.now();
        self.slots.set_view(view, now);
    }

    fn find_owner(&mut self, instance: &str) -> Option<DaemonKey> {
        let live = self.members.current().live.iter();
        let names: Vec<Arc<str>> = live.map(|member| Arc::clone(&member.name)).collect();
        let owner = self.members.find(owner_of(instance, &names)?)?;
        let id = MemberId {
            name: Arc::clone(&owner.name),
            incarnation: Arc::clone(&owner.incarnation),
        };
        Some(self.directory.intern_member(&id))
    }

    fn advance(&mut self) {
        let now = self.now();
        for action in self.slots.advance(now) {
            match action {
                SlotAction::Holder(HolderAction::Report { to, report }) => {
                    let seq = Some(report.seq);
                    let message = self.directory.to_named_report(self.own, &report);
                    self.call_peer(to, seq, PeerRequest::SlotReport(message));
                }
                SlotAction::Holder(HolderAction::Limits {
                    service,
                    version,
                    limits,
                }) => self.queue_limits(service, version, &limits),
                SlotAction::SendGrantList { to, list } => {
                    let message = self.directory.to_named_grant_list(self.own, to, &list);
                    self.call_peer(to, None, PeerRequest::SlotGrants(message));
                }
            }
        }
        self.send_limits();
    }

    fn call_peer(&mut self, peer: DaemonKey, seq: Option<u64>, request: PeerRequest) {
        let Some(id) = self.directory.member_id(peer) else {
            return;
        };
        self.options.metrics.count("slots.sent", 1);
        let name = Arc::clone(&id.name);
        let peers = self.options.peers.clone();
        self.calls.spawn(async move {
            let result = peers.call(name, request).await;
            CallEnd { peer, seq, result }
        });
    }

    fn queue_limits(&mut self, service: ServiceKey, version: u64, limits: &[SlotLimit]) {
        let named = limits.iter().filter_map(|limit| {
            let id = self.directory.slot_id(limit.slot)?;
            Some(InstanceSlotLimit {
                instance: Arc::clone(&id.instance),
                slots: limit.slots,
                connections: limit.connections,
                until: limit.until,
            })
        });
        let limits = named.collect();
        if let Some(service) = self.services.get_mut(service) {
            service.unsent = Some(SlotLimits { version, limits });
        }
    }

    /// Sends the queued limits without waiting, since a dispatcher may be waiting for this task.
    fn send_limits(&mut self) {
        for service in self.services.values_mut() {
            if let Some(limits) = service.unsent.take()
                && let Err(mpsc::error::TrySendError::Full(DispatchMessage::Slots(limits))) =
                    service.dispatcher.try_send(DispatchMessage::Slots(limits))
            {
                service.unsent = Some(limits);
            }
        }
    }

    fn report_withheld(&mut self) {
        let ledgers = self
            .owners
            .keys()
            .filter_map(|slot| self.slots.owner().ledger(slot));
        let withheld = ledgers.map(|ledger| ledger.withheld()).sum();
        if withheld != self.withheld {
            self.withheld = withheld;
            self.options
                .metrics
                .gauge("slots.withheld", u64::from(withheld));
            let own = Arc::clone(&self.options.own.name);
            let detail = format!("{withheld} slots are withheld");
            self.options.events.record(EventKind::Slots, own, detail);
        }
    }
}

//! The controller task: follows the assignments, and plans them while it holds the lease.
//!
//! Every daemon runs this task. Calls to the store and to peers run beside it, so that a slow
//! platform never delays an assignment on its way to the router.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rosemaryscale_domain::assignment::ZoneAssignments;
use rosemaryscale_domain::drain::{DrainReport, MemberId};
use rosemaryscale_domain::fleet::{
    FleetAction, FleetController, FleetRequest, FleetSnapshot, ListedInstance, StoredZone,
};
use rosemaryscale_ports::clock::ClockHandle;
use rosemaryscale_ports::config::ConfigWatch;
use rosemaryscale_ports::fleet::{
    AssignmentView, AssignmentWatch, FleetError, FleetMessage, FleetOperation, PoolsReport,
};
use rosemaryscale_ports::instance::InstanceList;
use rosemaryscale_ports::kv::{
    Change, Compare, KeyValue, KvEntry, KvError, KvResult, Transaction, TransactionResult, Update,
    WatchEvent,
};
use rosemaryscale_ports::member::MemberRecord;
use rosemaryscale_ports::peer::{PeerReply, PeerRequest, Peers};
use rosemaryscale_ports::prelude::*;
use tokio::sync::watch;
use tokio::task::JoinSet;

mod lease;
mod report;

use lease::{ControllerLease, LeaseOutcome};

const TICK: Duration = Duration::from_millis(200);
const OPERATE_TRIES: u32 = 3;
/// Limit that applies before the first document, for requests of an earlier one.
const REQUEST_LIMIT_DEFAULT_MS: u64 = 60_000;

/// What the controller task needs.
#[derive(Clone)]
pub struct ControllerOptions {
    /// Name of this daemon.
    pub name: Arc<str>,
    /// Incarnation of this daemon.
    pub incarnation: Arc<str>,
    /// Environment of the daemon.
    pub environment: Arc<str>,
    /// The platform's store.
    pub kv: KeyValue,
    /// Calls to peers.
    pub peers: Peers,
    /// The platform's instance list.
    pub instances: InstanceList,
    /// The document in force.
    pub config: ConfigWatch,
    /// Clock of the process.
    pub clock: ClockHandle,
    /// The event log.
    pub events: EventSink,
    /// Counters.
    pub metrics: Metrics,
}

type OperateReply = oneshot::Sender<Result<(), FleetError>>;

/// A request of an operator that waits for its write.
struct Operating {
    operation: FleetOperation,
    reply: OperateReply,
    tries: u32,
}

/// What ran beside the task.
enum Completed {
    Wrote {
        zone: Arc<str>,
        result: KvResult<TransactionResult>,
        operating: Option<Operating>,
    },
    Asked {
        instance: Arc<str>,
        member: MemberId,
        report: Option<DrainReport>,
    },
    Lease(LeaseOutcome),
    Forwarded,
}

/// State of the controller task.
pub struct Controller {
    options: ControllerOptions,
    prefix: String,
    members_prefix: String,
    /// Members from the same watch as the assignments: whoever is missing at the revision of a
    /// leaving record sees that record before it uses an instance.
    members: BTreeMap<Arc<str>, MemberId>,
    view: AssignmentView,
    published: watch::Sender<Arc<AssignmentView>>,
    lease: ControllerLease,
    fleet: Option<FleetController>,
    running: JoinSet<Completed>,
    writing: bool,
    /// Revision that the view must reach before the next decision.
    barrier: u64,
}

impl Controller {
    /// Makes the task's state and the watch on the assignments.
    #[must_use]
    pub fn new(options: ControllerOptions) -> (Self, AssignmentWatch) {
        let (published, receiver) = watch::channel(Arc::default());
        let environment = &options.environment;
        let prefix = format!("/rosemaryscale/{environment}/assignments/");
        let members_prefix = format!("/rosemaryscale/{environment}/members/");
        let lease = ControllerLease::new(environment, &options.name, &options.incarnation);
        let controller = Self {
            options,
            prefix,
            members_prefix,
            members: BTreeMap::new(),
            view: AssignmentView::default(),
            published,
            lease,
            fleet: None,
            running: JoinSet::new(),
            writing: false,
            barrier: 0,
        };
        (controller, receiver)
    }

    /// Follows the store and serves operators until `stop` resolves, then gives the lease back.
    pub async fn serve(
        mut self,
        mut messages: mpsc::Receiver<FleetMessage>,
        mut watched: mpsc::Receiver<Arc<WatchEvent>>,
        mut stop: oneshot::Receiver<()>,
    ) {
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = &mut stop => break,
                Some(event) = watched.recv() => self.observe(&event),
                Some(message) = messages.recv() => self.answer(message),
                Some(Ok(completed)) = self.running.join_next() => self.complete(completed),
                _ = tick.tick() => self.step(),
            }
        }
        self.running.shutdown().await;
        if let Some(lease) = self.lease.held() {
            let _ = self.options.kv.revoke(lease).await;
        }
    }

    fn now(&self) -> Millis {
        self.options.clock.now()
    }

    fn observe(&mut self, event: &WatchEvent) {
        match event {
            WatchEvent::Snapshot { revision, entries } => {
                self.view.zones.clear();
                self.members.clear();
                self.lease.clear_holder();
                entries.iter().for_each(|entry| self.put(entry));
                self.view.revision = *revision;
            }
            WatchEvent::Changed { revision, updates } => {
                for update in updates {
                    match update {
                        Update::Put(entry) => self.put(entry),
                        Update::Deleted(key) => self.delete(key),
                    }
                }
                self.view.revision = *revision;
            }
            WatchEvent::Disconnected { .. } => return,
        }
        self.publish();
    }

    fn put(&mut self, entry: &KvEntry) {
        if self.lease.observe_put(entry) {
            return;
        }
        if let Some(name) = entry.key.strip_prefix(&*self.members_prefix) {
            if let Ok(MemberRecord {
                name: own,
                incarnation,
                ..
            }) = serde_json::from_slice(&entry.value)
            {
                self.members.insert(
                    name.into(),
                    MemberId {
                        name: own,
                        incarnation,
                    },
                );
            }
        } else if let Some(zone) = entry.key.strip_prefix(&*self.prefix) {
            let Ok(assignments) = serde_json::from_slice::<ZoneAssignments>(&entry.value) else {
                let detail = "the stored assignments are malformed and were ignored";
                self.options.events.record(EventKind::Move, zone, detail);
                return;
            };
            let stored = StoredZone {
                mod_revision: entry.mod_revision,
                assignments,
            };
            self.record_changes(zone, &stored);
            self.view.zones.insert(zone.into(), stored);
        }
    }

    fn delete(&mut self, key: &str) {
        if self.lease.observe_delete(key) {
            return;
        }
        if let Some(name) = key.strip_prefix(&*self.members_prefix) {
            self.members.remove(name);
        } else if let Some(zone) = key.strip_prefix(&*self.prefix) {
            self.view.zones.remove(zone);
        }
    }

    fn record_changes(&self, zone: &str, new: &StoredZone) {
        let old = self.view.zones.get(zone);
        for (instance, record) in &new.assignments.instances {
            let before = old.and_then(|old| old.assignments.instances.get(instance));
            if before.is_none_or(|before| before.epoch != record.epoch) {
                let detail = format!(
                    "{} in {} at epoch {}",
                    record.phase.as_str(),
                    record.pool,
                    record.epoch
                );
                self.options
                    .events
                    .record(EventKind::Move, Arc::clone(instance), detail);
            }
        }
    }

    fn publish(&mut self) {
        let own = self.members.get(&self.options.name);
        self.view.registered = own.is_some_and(|own| own.incarnation == self.options.incarnation);
        self.published.send_replace(Arc::new(self.view.clone()));
    }

    fn step(&mut self) {
        let now = self.now();
        if let Some(call) = self.lease.next_call(now, self.view.registered) {
            let kv = self.options.kv.clone();
            let clock = ClockHandle::clone(&self.options.clock);
            self.running
                .spawn(async move { Completed::Lease(call.run(&kv, &clock).await) });
        }
        if !self.lease.is_held(now) {
            self.fleet = None;
            return;
        }
        if self.fleet.is_none() {
            self.fleet = Some(FleetController::new(now));
            let name = Arc::clone(&self.options.name);
            self.options
                .events
                .record(EventKind::Controller, name, "plans from now on");
        }
        if !self.writing && self.view.revision >= self.barrier {
            self.advance(now);
        }
    }

    fn advance(&mut self, now: Millis) {
        let Some(mut fleet) = self.fleet.take() else {
            return;
        };
        let inputs = Inputs::read(&self.options, &self.members);
        for action in fleet.advance(&inputs.snapshot(&self.view.zones), now) {
            self.carry_out(action, None);
        }
        self.fleet = Some(fleet);
    }

    fn carry_out(&mut self, action: FleetAction, operating: Option<Operating>) {
        match action {
            FleetAction::Write {
                zone,
                mod_revision,
                assignments,
            } => {
                self.write(zone, mod_revision, &assignments, operating);
            }
            FleetAction::Ask {
                member, instance, ..
            } => self.ask(member, instance),
        }
    }

    /// Writes the records of a zone if neither they nor the controller have changed.
    fn write(
        &mut self,
        zone: Arc<str>,
        mod_revision: u64,
        assignments: &ZoneAssignments,
        operating: Option<Operating>,
    ) {
        let Some(fence) = self.lease.fence(self.now()) else {
            return;
        };
        let Ok(value) = serde_json::to_vec(assignments) else {
            return;
        };
        let key: Arc<str> = format!("{}{zone}", self.prefix).into();
        let compare = Compare {
            key: Arc::clone(&key),
            mod_revision,
        };
        let transaction = Transaction {
            compares: vec![compare, fence],
            changes: vec![Change::Put {
                key,
                value: value.into(),
                lease: 0,
            }],
        };
        let kv = self.options.kv.clone();
        self.writing = true;
        self.options.metrics.count("controller.writes", 1);
        self.running.spawn(async move {
            let result = kv.transact(transaction).await;
            Completed::Wrote {
                zone,
                result,
                operating,
            }
        });
    }

    fn ask(&mut self, member: MemberId, instance: Arc<str>) {
        let peers = self.options.peers.clone();
        self.running.spawn(async move {
            let request = PeerRequest::InFlight {
                instance: Arc::clone(&instance),
            };
            let result = peers.call(Arc::clone(&member.name), request).await;
            let report = match result {
                Ok(PeerReply::InFlight {
                    incarnation,
                    report: Some(report),
                }) if incarnation == member.incarnation => Some(DrainReport {
                    epoch: report.epoch,
                    in_flight: report.in_flight,
                }),
                _ => None,
            };
            Completed::Asked {
                instance,
                member,
                report,
            }
        });
    }

    fn complete(&mut self, completed: Completed) {
        match completed {
            Completed::Wrote {
                zone,
                result,
                operating,
            } => self.wrote(&zone, result, operating),
            Completed::Asked {
                instance,
                member,
                report,
            } => {
                if let (Some(fleet), Some(report)) = (&mut self.fleet, report) {
                    fleet.report(&instance, member, report);
                }
            }
            Completed::Lease(outcome) => self.lease.complete(outcome),
            Completed::Forwarded => {}
        }
    }

    fn wrote(
        &mut self,
        zone: &Arc<str>,
        result: KvResult<TransactionResult>,
        operating: Option<Operating>,
    ) {
        self.writing = false;
        let reply = match result {
            Ok(TransactionResult {
                succeeded: true,
                revision,
            }) => {
                self.barrier = revision;
                Ok(())
            }
            Ok(TransactionResult { revision, .. }) => {
                self.options.metrics.count("controller.conflicts", 1);
                self.barrier = revision;
                if let Some(operating) = operating {
                    self.operate(Operating {
                        tries: operating.tries + 1,
                        ..operating
                    });
                }
                return;
            }
            Err(KvError::OutcomeUnknown { reason }) => Err(FleetError::Unknown { reason }),
            Err(error) => Err(FleetError::NoController {
                reason: error.to_string(),
            }),
        };
        if let Err(error) = &reply {
            let detail = format!("the assignments could not be written: {error}");
            self.options
                .events
                .record(EventKind::Controller, Arc::clone(zone), detail);
        }
        if let Some(operating) = operating {
            let _ = operating.reply.send(reply);
        }
    }

    fn answer(&mut self, message: FleetMessage) {
        match message {
            FleetMessage::Operate {
                operation,
                forwarded,
                reply,
            } => {
                if self.lease.is_held(self.now()) || forwarded {
                    self.operate(Operating {
                        operation,
                        reply,
                        tries: 0,
                    });
                } else {
                    self.forward(operation, reply);
                }
            }
            FleetMessage::Report { forwarded, reply } => self.report(forwarded, reply),
        }
    }

    fn operate(&mut self, operating: Operating) {
        let refuse = |operating: Operating, error| {
            let _ = operating.reply.send(Err(error));
        };
        let Some(fleet) = self.fleet.take() else {
            let reason = "this daemon does not plan".into();
            return refuse(operating, FleetError::NoController { reason });
        };
        if operating.tries >= OPERATE_TRIES || self.writing {
            self.fleet = Some(fleet);
            let reason = "another change is being written; try again".into();
            return refuse(operating, FleetError::Refused { reason });
        }
        let inputs = Inputs::read(&self.options, &self.members);
        let decided = inputs.check(&operating.operation).and_then(|request| {
            let snapshot = inputs.snapshot(&self.view.zones);
            fleet
                .request(&request, &snapshot)
                .map_err(|error| error.to_string())
        });
        self.fleet = Some(fleet);
        match decided {
            Ok(action) => self.carry_out(action, Some(operating)),
            Err(reason) => refuse(operating, FleetError::Refused { reason }),
        }
    }

    fn forward(&mut self, operation: FleetOperation, reply: OperateReply) {
        let Some(holder) = self.lease.holder() else {
            let reason = "no daemon holds the controller lease".into();
            let _ = reply.send(Err(FleetError::NoController { reason }));
            return;
        };
        let peers = self.options.peers.clone();
        self.running.spawn(async move {
            let result = match peers.call(holder, PeerRequest::Operate(operation)).await {
                Ok(PeerReply::Operated(result)) => result,
                Ok(_) => Err(FleetError::Unknown {
                    reason: "the controller's reply is odd".into(),
                }),
                Err(error) => Err(FleetError::Unknown {
                    reason: error.to_string(),
                }),
            };
            let _ = reply.send(result);
            Completed::Forwarded
        });
    }

    fn report(&mut self, forwarded: bool, reply: oneshot::Sender<PoolsReport>) {
        let now = self.now();
        let inputs = Inputs::read(&self.options, &self.members);
        let snapshot = inputs.snapshot(&self.view.zones);
        let moves = self
            .fleet
            .as_ref()
            .map(|fleet| fleet.status(&snapshot, now));
        let own = report::pools(&self.view, self.lease.holder(), moves.as_deref());
        let holder = self
            .lease
            .holder()
            .filter(|_| moves.is_none() && !forwarded);
        let Some(holder) = holder else {
            let _ = reply.send(own);
            return;
        };
        let peers = self.options.peers.clone();
        self.running.spawn(async move {
            let report = match peers.call(holder, PeerRequest::Pools).await {
                Ok(PeerReply::Pools(report)) => report,
                _ => own,
            };
            let _ = reply.send(report);
            Completed::Forwarded
        });
    }
}

/// What the controller decides from, besides the assignments.
struct Inputs {
    members: Vec<MemberId>,
    listed: Option<Vec<ListedInstance>>,
    pools: FastSet<Arc<str>>,
    request_limit_ms: u64,
}

impl Inputs {
    fn read(options: &ControllerOptions, members: &BTreeMap<Arc<str>, MemberId>) -> Self {
        let members = members.values().cloned().collect();
        let list = options.instances.borrow().clone();
        let listed = (list.reads > 0).then(|| {
            let listed = list.instances.iter().map(|record| ListedInstance {
                name: Arc::clone(&record.name),
                zone: Arc::clone(&record.zone),
                pool_hint: Arc::clone(&record.pool_hint),
            });
            listed.collect()
        });
        let document = options.config.borrow().clone();
        let fields = document.as_ref().map(|document| &document.fields);
        let pools = fields.map(|fields| fields.pools.keys().cloned().collect());
        let limits = fields
            .into_iter()
            .flat_map(|fields| fields.services.values());
        let request_limit_ms = limits.map(|service| service.request_limit_ms).max();
        Self {
            members,
            listed,
            pools: pools.unwrap_or_default(),
            request_limit_ms: request_limit_ms.unwrap_or(REQUEST_LIMIT_DEFAULT_MS),
        }
    }

    fn snapshot<'a>(&'a self, zones: &'a BTreeMap<Arc<str>, StoredZone>) -> FleetSnapshot<'a> {
        FleetSnapshot {
            zones,
            members: &self.members,
            listed: self.listed.as_deref(),
            pools: &self.pools,
            request_limit_ms: self.request_limit_ms,
        }
    }

    /// The request for the domain, if it fits the document.
    fn check(&self, operation: &FleetOperation) -> Result<FleetRequest, String> {
        Ok(match operation.clone() {
            FleetOperation::Drain { instance } => FleetRequest::Drain { instance },
            FleetOperation::Undrain { instance } => FleetRequest::Undrain { instance },
            FleetOperation::Move { instance, to } if self.pools.contains(&to) => {
                FleetRequest::Move { instance, to }
            }
            FleetOperation::Move { to, .. } => {
                return Err(format!(
                    "pool {to} is not in the document; name one of its pools"
                ));
            }
        })
    }
}

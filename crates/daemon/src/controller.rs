//! The controller task: watches the instance assignments, and plans them while it holds the
//! controller lease.
//!
//! Every daemon runs this task. Calls to the store and to peers are spawned, so that a slow platform
//! never delays the delivery of an assignment to the router.

use rosemaryscale_domain::member::MemberId;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rosemaryscale_domain::drain::DrainReport;
use rosemaryscale_domain::fleet::FleetController;
use rosemaryscale_ports::clock::ClockHandle;
use rosemaryscale_ports::config::ConfigWatch;
use rosemaryscale_ports::fleet::{
    AssignmentView, AssignmentWatch, FleetError, FleetMessage, FleetOperation,
};
use rosemaryscale_ports::instance::InstanceList;
use rosemaryscale_ports::kv::{KeyValue, KvResult, TransactionResult, WatchEvent};
use rosemaryscale_ports::peer::Peers;
use rosemaryscale_ports::prelude::*;
use tokio::sync::watch;
use tokio::task::JoinSet;

mod inputs;
mod lease;
mod observe;
mod operate;
mod report;
mod spare;
mod write;

use inputs::Inputs;
use lease::{ControllerLease, LeaseOutcome};
use spare::SparePlanner;

const TICK_INTERVAL: Duration = Duration::from_millis(200);
const MAX_WRITE_ATTEMPTS: u32 = 3;
/// Request limit assumed before the first document; requests accepted under an earlier document may
/// still be in flight.
const DEFAULT_REQUEST_LIMIT_MS: u64 = 60_000;

/// Options of the controller task.
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
    /// Client for calls to peers.
    pub peers: Peers,
    /// The platform's instance list.
    pub instances: InstanceList,
    /// The document in force.
    pub config: ConfigWatch,
    /// Clock of the process.
    pub clock: ClockHandle,
    /// The event log.
    pub events: EventSink,
    /// Metrics.
    pub metrics: Metrics,
}

type OperationReply = oneshot::Sender<Result<(), FleetError>>;

/// An operator's request whose write is pending.
struct PendingOperation {
    operation: FleetOperation,
    reply: OperationReply,
    attempts: u32,
}

/// Result of a spawned call.
enum Completion {
    Written {
        zone: Arc<str>,
        result: KvResult<TransactionResult>,
        pending: Option<PendingOperation>,
    },
    Polled {
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
    assignments_prefix: String,
    members_prefix: String,
    /// Members, read from the same watch as the assignments: a daemon that is not yet a member at the
    /// revision of a leaving record reads that record before it uses an instance.
    members: BTreeMap<Arc<str>, MemberId>,
    view: AssignmentView,
    view_sender: watch::Sender<Arc<AssignmentView>>,
    lease: ControllerLease,
    fleet: Option<FleetController>,
    /// Present if and only if `fleet` is.
    spare: Option<SparePlanner>,
    calls: JoinSet<Completion>,
    write_in_progress: bool,
    /// Revision that the view must reach before the next decision; that of the last write.
    min_revision: u64,
}

impl Controller {
    /// Creates the task and the watch on the assignments.
    #[must_use]
    pub fn new(options: ControllerOptions) -> (Self, AssignmentWatch) {
        let (view_sender, receiver) = watch::channel(Arc::default());
        let environment = &options.environment;
        let assignments_prefix = format!("/rosemaryscale/{environment}/assignments/");
        let members_prefix = format!("/rosemaryscale/{environment}/members/");
        let lease = ControllerLease::new(environment, &options.name, &options.incarnation);
        let controller = Self {
            options,
            assignments_prefix,
            members_prefix,
            members: BTreeMap::new(),
            view: AssignmentView::default(),
            view_sender,
            lease,
            fleet: None,
            spare: None,
            calls: JoinSet::new(),
            write_in_progress: false,
            min_revision: 0,
        };
        (controller, receiver)
    }

    /// Watches the store and serves operators until `stop` resolves, then revokes the lease.
    pub async fn serve(
        mut self,
        mut messages: mpsc::Receiver<FleetMessage>,
        mut watched: mpsc::Receiver<Arc<WatchEvent>>,
        mut stop: oneshot::Receiver<()>,
    ) {
        let mut interval = tokio::time::interval(TICK_INTERVAL);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = &mut stop => break,
                Some(event) = watched.recv() => self.handle_event(&event),
                Some(message) = messages.recv() => self.handle_message(message),
                Some(Ok(completion)) = self.calls.join_next() => self.complete(completion),
                _ = interval.tick() => self.tick(),
            }
        }
        self.calls.shutdown().await;
        if let Some(lease) = self.lease.held_lease() {
            let _ = self.options.kv.revoke(lease).await;
        }
    }

    fn now(&self) -> Millis {
        self.options.clock.now()
    }

    fn tick(&mut self) {
        let now = self.now();
        if let Some(call) = self.lease.next_call(now, self.view.registered) {
            let kv = self.options.kv.clone();
            let clock = ClockHandle::clone(&self.options.clock);
            self.calls
                .spawn(async move { Completion::Lease(call.run(&kv, &clock).await) });
        }
        if !self.lease.is_held(now) {
            self.fleet = None;
            self.spare = None;
            return;
        }
        if self.fleet.is_none() {
            self.fleet = Some(FleetController::new(now));
            self.spare = Some(SparePlanner::new(now));
            let name = Arc::clone(&self.options.name);
            self.options
                .events
                .record(EventKind::Controller, name, "became the controller");
        }
        if !self.write_in_progress && self.view.revision >= self.min_revision {
            self.advance(now);
        }
        if !self.write_in_progress && self.view.revision >= self.min_revision {
            self.balance_pools(now);
        }
    }

    fn advance(&mut self, now: Millis) {
        let Some(mut fleet) = self.fleet.take() else {
            return;
        };
        let inputs = Inputs::read(&self.options, &self.members);
        for action in fleet.advance(&inputs.snapshot(&self.view.zones), now) {
            self.execute(action, None);
        }
        self.fleet = Some(fleet);
    }

    fn complete(&mut self, completion: Completion) {
        match completion {
            Completion::Written {
                zone,
                result,
                pending,
            } => self.finish_write(&zone, result, pending),
            Completion::Polled {
                instance,
                member,
                report,
            } => {
                if let (Some(fleet), Some(report)) = (&mut self.fleet, report) {
                    fleet.record_report(&instance, member, report);
                }
            }
            Completion::Lease(outcome) => self.lease.complete(outcome),
            Completion::Forwarded => {}
        }
    }
}

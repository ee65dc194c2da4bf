//! The controller task: follows the assignments, and plans them while it holds the lease.
//!
//! Every daemon runs this task. Calls to the store and to peers run beside it, so that a slow
//! platform never delays an assignment on its way to the router.

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

const TICK: Duration = Duration::from_millis(200);
const OPERATE_ATTEMPTS: u32 = 3;
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
    attempts: u32,
}

/// What ran beside the task.
enum Completed {
    Wrote {
        zone: Arc<str>,
        result: KvResult<TransactionResult>,
        operating: Option<Operating>,
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
    prefix: String,
    members_prefix: String,
    /// Members from the same watch as the assignments: whoever is missing at the revision of a
    /// leaving record sees that record before it uses an instance.
    members: BTreeMap<Arc<str>, MemberId>,
    view: AssignmentView,
    published: watch::Sender<Arc<AssignmentView>>,
    lease: ControllerLease,
    fleet: Option<FleetController>,
    /// Present whenever `fleet` is.
    spare: Option<SparePlanner>,
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
            spare: None,
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
            self.spare = None;
            return;
        }
        if self.fleet.is_none() {
            self.fleet = Some(FleetController::new(now));
            self.spare = Some(SparePlanner::new(now));
            let name = Arc::clone(&self.options.name);
            self.options
                .events
                .record(EventKind::Controller, name, "plans from now on");
        }
        if !self.writing && self.view.revision >= self.barrier {
            self.advance(now);
        }
        if !self.writing && self.view.revision >= self.barrier {
            self.balance(now);
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

    fn complete(&mut self, completed: Completed) {
        match completed {
            Completed::Wrote {
                zone,
                result,
                operating,
            } => self.wrote(&zone, result, operating),
            Completed::Polled {
                instance,
                member,
                report,
            } => {
                if let (Some(fleet), Some(report)) = (&mut self.fleet, report) {
                    fleet.record_report(&instance, member, report);
                }
            }
            Completed::Lease(outcome) => self.lease.complete(outcome),
            Completed::Forwarded => {}
        }
    }
}

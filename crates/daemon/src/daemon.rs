//! The daemon: starts the tasks, joins them, and goes through its life cycle.

use std::sync::Arc;
use std::time::Duration;

use rosemaryscale_adapters::caller_api::{CallerContext, Readiness, ServerError};
use rosemaryscale_adapters::operator_api::OperatorContext;
use rosemaryscale_adapters::peer_link::{self, PeerLinkError, PeerLinkOptions, PeerServer};
use rosemaryscale_adapters::{
    CallerApi, OperatorApi, SystemClock, event_log, instance_poller, kv_client, log, metrics,
};
use rosemaryscale_domain::slots::MemberId;
use rosemaryscale_ports::claim::ClaimStore;
use rosemaryscale_ports::clock::ClockHandle;
use rosemaryscale_ports::config::{ConfigStore, ConfigWatch};
use rosemaryscale_ports::fleet::Fleet;
use rosemaryscale_ports::kv::KeyRange;
use rosemaryscale_ports::member::MemberRecord;
use rosemaryscale_ports::operator::DaemonStatus;
use rosemaryscale_ports::prelude::*;
use slog::Level;
use snafu::{ResultExt, Snafu};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use uuid::Uuid;

use crate::claims::{ClaimTask, ClaimTaskOptions};
use crate::config::Config;
use crate::controller::{Controller, ControllerOptions};
use crate::fan_out::FanOut;
use crate::membership::{Membership, MembershipOptions};
use crate::observations::Observations;
use crate::peer_service::{PeerService, PeerServiceOptions};
use crate::rollout::{Rollout, RolloutOptions, RolloutStatus};
use crate::router::{Router, RouterOptions};
use crate::slots::{SlotTask, SlotTaskOptions};
use crate::usage::{UsageTask, UsageTaskOptions};

const CLAIM_MESSAGES: usize = 1_024;
const CONFIG_MESSAGES: usize = 16;
const INBOUND_CALLS: usize = 256;
const OBSERVATIONS: usize = 64;
/// A stopping daemon waits this much longer than its longest request. A caller that never sends
/// the end of its body would hold up the stop for good; its request was not run.
const BODY_GRACE: Duration = Duration::from_secs(5);
const FLEET_MESSAGES: usize = 16;
const QUESTIONS: usize = 64;

/// Why the daemon failed.
#[derive(Debug)]
#[derive(Snafu)]
pub enum DaemonError {
    /// A server did not start.
    #[snafu(display("{source}"))]
    Server {
        /// Which one and why.
        source: ServerError,
    },
    /// The operating system refused a resource.
    #[snafu(display("cannot open {what}: {source}; check the limits of the process"))]
    Resource {
        /// What was asked for.
        what: &'static str,
        /// What failed.
        source: std::io::Error,
    },
    /// The peer server did not start.
    #[snafu(display("{source}"))]
    Peer {
        /// What failed.
        source: PeerLinkError,
    },
    /// The platform client ended.
    #[snafu(display("{source}"))]
    Platform {
        /// What failed.
        source: rosemaryscale_ports::kv::KvError,
    },
}

/// State of a daemon that waits for its first document.
#[derive(Clone, Copy, Debug)]
pub struct Starting;

/// State of a daemon that accepts requests.
#[derive(Clone, Copy, Debug)]
pub struct Ready;

/// State of a daemon that finishes its requests.
#[derive(Clone, Copy, Debug)]
pub struct Draining;

/// State of a daemon whose tasks have ended.
#[derive(Clone, Copy, Debug)]
pub struct Stopped;

/// A daemon in one state of its life cycle.
pub struct Daemon<S> {
    tasks: Tasks,
    #[expect(dead_code, reason = "the state has no data")]
    state: S,
}

/// The tasks of a daemon and the handles that end them.
struct Tasks {
    callers: Option<CallerApi>,
    operators: Option<OperatorApi>,
    peer_server: Option<PeerServer>,
    readiness: watch::Sender<Readiness>,
    status: watch::Sender<DaemonStatus>,
    config: ConfigWatch,
    rollout: watch::Receiver<RolloutStatus>,
    events: Option<EventSink>,
    stop_claims: Option<oneshot::Sender<()>>,
    claims: Option<JoinHandle<()>>,
    stop_router: Option<oneshot::Sender<()>>,
    router: Option<JoinHandle<()>>,
    stop_membership: Option<oneshot::Sender<()>>,
    stop_controller: Option<oneshot::Sender<()>>,
    stop_usage: Option<oneshot::Sender<()>>,
    joined: Vec<JoinHandle<()>>,
    signals: StopSignals,
}

/// Signals that ask for a stop.
struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    fn open() -> Result<Self, DaemonError> {
        Ok(Self {
            terminate: stop_signal(SignalKind::terminate())?,
            interrupt: stop_signal(SignalKind::interrupt())?,
        })
    }

    async fn received(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

impl Daemon<Starting> {
    /// Starts every task.
    ///
    /// # Errors
    ///
    /// Fails when an address or a resource cannot be had.
    pub async fn start(settings: Config) -> Result<Self, DaemonError> {
        let log = log::open(settings.log.format, Level::Info);
        let clock: ClockHandle = Arc::new(SystemClock::new());
        let metrics = metrics::open(settings.statsd_address).context(ResourceSnafu {
            what: "the metrics socket",
        })?;
        let (events, event_task) = event_log::start(
            Arc::clone(&settings.name),
            ClockHandle::clone(&clock),
            log.clone(),
        );
        let (kv, kv_task) =
            kv_client::start(settings.platform.kv_address, Metrics::clone(&metrics));
        let (instances, poller) = instance_poller::start(
            settings.platform.instances_address,
            Metrics::clone(&metrics),
        );
        let incarnation: Arc<str> = Uuid::now_v7().to_string().into();
        let mut joined = vec![kv_task, poller];
        let mut fan_out = FanOut::default();

        let record = member_record(&settings, &incarnation);
        let slot_member = MemberId {
            name: Arc::clone(&record.name),
            incarnation: Arc::clone(&record.incarnation),
        };
        let (membership, members) = Membership::new(MembershipOptions {
            environment: Arc::clone(&settings.environment),
            record: record.clone(),
            kv: kv.clone(),
            events: events.clone(),
            metrics: Metrics::clone(&metrics),
        });
        let (stop_membership, stopped) = oneshot::channel();
        joined.push(tokio::spawn(membership.serve(fan_out.subscribe(), stopped)));

        let reason = Arc::from("no document is in force yet");
        let (readiness, ready) = watch::channel(Err(Arc::clone(&reason)));
        let (status, status_receiver) = watch::channel(first_status(&settings, reason));

        let link_options = PeerLinkOptions {
            name: Arc::clone(&settings.name),
            clock: ClockHandle::clone(&clock),
            events: events.clone(),
            metrics: Metrics::clone(&metrics),
        };
        let (peers, peer_task) = peer_link::start(link_options.clone(), members.clone());
        joined.push(peer_task);
        let (rollout, watches) = Rollout::new(RolloutOptions {
            name: Arc::clone(&settings.name),
            environment: Arc::clone(&settings.environment),
            kv: kv.clone(),
            clock: ClockHandle::clone(&clock),
            events: events.clone(),
            metrics: Metrics::clone(&metrics),
            peers: peers.clone(),
            members: members.clone(),
            peer_addresses: settings.peers.clone(),
        });
        let config = watches.config;
        let (config_store, config_messages) = ConfigStore::channel(CONFIG_MESSAGES);
        joined.push(tokio::spawn(
            rollout.serve(config_messages, fan_out.subscribe()),
        ));
        let (fleet, fleet_messages) = Fleet::channel(FLEET_MESSAGES);
        let (controller, assignments) = Controller::new(ControllerOptions {
            name: Arc::clone(&settings.name),
            incarnation: Arc::clone(&incarnation),
            environment: Arc::clone(&settings.environment),
            kv: kv.clone(),
            peers: peers.clone(),
            instances: instances.clone(),
            config: config.clone(),
            clock: ClockHandle::clone(&clock),
            events: events.clone(),
            metrics: Metrics::clone(&metrics),
        });
        let (stop_controller, stopped) = oneshot::channel();
        let controller_events = fan_out.subscribe();
        joined.push(tokio::spawn(controller.serve(
            fleet_messages,
            controller_events,
            stopped,
        )));

        let prefix = format!("/rosemaryscale/{}/", settings.environment);
        let watched = kv
            .watch(KeyRange::Prefix(prefix.into()))
            .await
            .context(PlatformSnafu)?;
        joined.push(tokio::spawn(fan_out.serve(watched)));

        let (questions, question_receiver) = mpsc::channel(QUESTIONS);
        let (claims, claim_messages) = ClaimStore::channel(CLAIM_MESSAGES);
        let claim_task = ClaimTask::new(ClaimTaskOptions {
            environment: Arc::clone(&settings.environment),
            record,
            kv: kv.clone(),
            peers: peers.clone(),
            members: members.clone(),
            clock: ClockHandle::clone(&clock),
            metrics: Metrics::clone(&metrics),
        });
        let (stop_claims, stopped) = oneshot::channel();
        let claim_task = tokio::spawn(claim_task.serve(claim_messages, stopped));
        let (inbound, inbound_calls) = mpsc::channel(INBOUND_CALLS);
        let (slot_task, slots, slot_messages) = SlotTask::new(SlotTaskOptions {
            own: slot_member,
            clock: ClockHandle::clone(&clock),
            members: members.clone(),
            peers: peers.clone(),
            events: events.clone(),
            metrics: Metrics::clone(&metrics),
        });
        joined.push(tokio::spawn(slot_task.serve(slot_messages)));
        let (observations, observed) = mpsc::channel(OBSERVATIONS);
        let (refusing, refusing_receiver) = mpsc::channel(OBSERVATIONS);
        let name = Arc::clone(&settings.name);
        let tell_peers = Observations::new(name, members.clone(), peers.clone());
        joined.push(tokio::spawn(tell_peers.serve(refusing_receiver)));
        let peer_service = PeerService::new(PeerServiceOptions {
            environment: Arc::clone(&settings.environment),
            store: config_store.clone(),
            config: config.clone(),
            status: status_receiver.clone(),
            events: events.clone(),
            observations,
            incarnation: Arc::clone(&incarnation),
            fleet: fleet.clone(),
            questions,
            claims: claims.clone(),
            slots: slots.clone(),
        });
        joined.push(tokio::spawn(peer_service.serve(inbound_calls)));
        let peer_server = PeerServer::start(settings.peer_address, link_options, inbound)
            .await
            .context(PeerSnafu)?;

        let (router, routes) = Router::new(RouterOptions {
            config: config.clone(),
            instances,
            assignments,
            questions: question_receiver,
            clock: ClockHandle::clone(&clock),
            events: events.clone(),
            metrics: Metrics::clone(&metrics),
            slots,
            refusing,
            observed,
        });
        let (stop_router, stopped) = oneshot::channel();
        let router_task = tokio::spawn(router.serve(stopped));

        let usage = UsageTask::new(UsageTaskOptions {
            incarnation,
            routes: routes.clone(),
            fleet: fleet.clone(),
            clock,
        });
        let (stop_usage, stopped) = oneshot::channel();
        joined.push(tokio::spawn(usage.serve(stopped)));

        let context = CallerContext {
            routes,
            claims,
            readiness: ready,
            metrics,
        };
        let callers =
            CallerApi::start(settings.caller_address, context, &log).context(ServerSnafu)?;
        let context = OperatorContext {
            name: Arc::clone(&settings.name),
            config: config_store,
            status: status_receiver,
            events: events.clone(),
            members,
            peers,
            fleet,
        };
        let operators =
            OperatorApi::start(settings.operator_address, context, &log).context(ServerSnafu)?;
        events.record(EventKind::Daemon, Arc::clone(&settings.name), "starting");
        joined.push(event_task);
        let tasks = Tasks {
            callers: Some(callers),
            operators: Some(operators),
            peer_server: Some(peer_server),
            readiness,
            status,
            config,
            rollout: watches.status,
            events: Some(events),
            stop_claims: Some(stop_claims),
            claims: Some(claim_task),
            stop_router: Some(stop_router),
            router: Some(router_task),
            stop_membership: Some(stop_membership),
            stop_controller: Some(stop_controller),
            stop_usage: Some(stop_usage),
            joined,
            signals: StopSignals::open()?,
        };
        Ok(Self {
            tasks,
            state: Starting,
        })
    }

    /// Runs until a signal asks for a stop, then finishes every request.
    ///
    /// # Errors
    ///
    /// Fails when a server's task failed.
    pub async fn run(mut self) -> Result<Daemon<Stopped>, DaemonError> {
        while self.tasks.config.borrow_and_update().is_none() {
            tokio::select! {
                Ok(()) = self.tasks.config.changed() => {}
                Ok(()) = self.tasks.rollout.changed() => self.tasks.update_reason(),
                () = self.tasks.signals.received() => return Ok(self.drain().finish().await),
            }
        }
        let mut daemon = self.ready();
        daemon.serve().await;
        Ok(daemon.drain().finish().await)
    }

    fn ready(self) -> Daemon<Ready> {
        let _ = self.tasks.readiness.send_replace(Ok(()));
        self.tasks.update_status();
        Daemon {
            tasks: self.tasks,
            state: Ready,
        }
    }

    fn drain(self) -> Daemon<Draining> {
        self.tasks.drain()
    }
}

impl Daemon<Ready> {
    async fn serve(&mut self) {
        loop {
            tokio::select! {
                Ok(()) = self.tasks.config.changed() => self.tasks.update_status(),
                Ok(()) = self.tasks.rollout.changed() => self.tasks.update_status(),
                () = self.tasks.signals.received() => return,
            }
        }
    }

    fn drain(self) -> Daemon<Draining> {
        self.tasks.drain()
    }
}

impl Daemon<Draining> {
    /// Finishes every request, then ends the tasks from the outside in.
    async fn finish(mut self) -> Daemon<Stopped> {
        let tasks = &mut self.tasks;
        if let Some(callers) = tasks.callers.take() {
            let limit = tasks.longest_request() + BODY_GRACE;
            let _ = tokio::time::timeout(limit, callers.stop()).await;
        }
        if let Some(stop) = tasks.stop_claims.take() {
            let _ = stop.send(());
        }
        if let Some(claims) = tasks.claims.take() {
            let _ = claims.await;
        }
        if let Some(stop) = tasks.stop_router.take() {
            let _ = stop.send(());
        }
        if let Some(router) = tasks.router.take() {
            let _ = router.await;
        }
        if let Some(stop) = tasks.stop_usage.take() {
            let _ = stop.send(());
        }
        if let Some(stop) = tasks.stop_controller.take() {
            let _ = stop.send(());
        }
        if let Some(stop) = tasks.stop_membership.take() {
            let _ = stop.send(());
        }
        if let Some(operators) = tasks.operators.take() {
            let _ = operators.stop().await;
        }
        if let Some(server) = tasks.peer_server.take() {
            server.stop().await;
        }
        tasks.events = None;
        for task in tasks.joined.drain(..) {
            let _ = task.await;
        }
        Daemon {
            tasks: self.tasks,
            state: Stopped,
        }
    }
}

impl Tasks {
    /// Longest time that an accepted request may take.
    fn longest_request(&self) -> Duration {
        let document = self.config.borrow().clone();
        let services = document
            .iter()
            .flat_map(|known| known.fields.services.values());
        let longest_ms = services.map(|service| service.request_limit_ms).max();
        Duration::from_millis(longest_ms.unwrap_or_default())
    }

    /// Passes on why there is no document yet.
    fn update_reason(&mut self) {
        let reason = Arc::clone(&self.rollout.borrow_and_update().reason);
        if !reason.is_empty() {
            let _ = self.readiness.send_replace(Err(reason));
        }
        self.update_status();
    }

    fn update_status(&self) {
        let readiness = self.readiness.borrow().clone();
        let platform_reachable = self.rollout.borrow().platform_reachable;
        let document = self.config.borrow().clone();
        self.status.send_modify(|status| {
            status.ready = readiness.is_ok();
            status.platform_reachable = platform_reachable;
            status.reason = readiness.err().unwrap_or_default();
            if let Some(document) = document {
                status.version = document.state.version;
                status.digest = Arc::clone(&document.digest);
            }
        });
    }

    fn drain(self) -> Daemon<Draining> {
        let _ = self
            .readiness
            .send_replace(Err("the daemon is stopping".into()));
        self.update_status();
        if let Some(events) = &self.events {
            events.record(EventKind::Daemon, "daemon", "draining");
        }
        Daemon {
            tasks: self,
            state: Draining,
        }
    }
}

fn member_record(settings: &Config, incarnation: &Arc<str>) -> MemberRecord {
    MemberRecord {
        name: Arc::clone(&settings.name),
        availability_zone: Arc::clone(&settings.availability_zone),
        operator_address: settings.operator_address,
        peer_address: settings.peer_address,
        incarnation: Arc::clone(incarnation),
    }
}

fn first_status(settings: &Config, reason: Arc<str>) -> DaemonStatus {
    DaemonStatus {
        name: Arc::clone(&settings.name),
        environment: Arc::clone(&settings.environment),
        availability_zone: Arc::clone(&settings.availability_zone),
        ready: false,
        reason,
        version: 0,
        digest: Arc::default(),
        platform_reachable: false,
    }
}

fn stop_signal(kind: SignalKind) -> Result<Signal, DaemonError> {
    signal(kind).context(ResourceSnafu {
        what: "a signal handler",
    })
}

//! Starts the tasks of a daemon and connects their channels.

use rosemaryscale_domain::member::MemberId;
use std::sync::Arc;

use rosemaryscale_adapters::caller_api::{CallerContext, Readiness, Routes};
use rosemaryscale_adapters::operator_api::OperatorContext;
use rosemaryscale_adapters::peer_link::{self, PeerLinkOptions, PeerServer};
use rosemaryscale_adapters::{
    CallerApi, OperatorApi, SystemClock, event_log, instance_poller, kv_client, log, metrics,
};
use rosemaryscale_ports::claim::ClaimHandle;
use rosemaryscale_ports::clock::ClockHandle;
use rosemaryscale_ports::config::{ConfigHandle, ConfigWatch};
use rosemaryscale_ports::fleet::{AssignmentWatch, FleetHandle, InFlightQuery};
use rosemaryscale_ports::instance::InstanceList;
use rosemaryscale_ports::kv::{KeyRange, KeyValue};
use rosemaryscale_ports::member::{MemberRecord, MemberWatch};
use rosemaryscale_ports::operator::DaemonStatus;
use rosemaryscale_ports::peer::{InboundCall, PeerObservation, Peers};
use rosemaryscale_ports::prelude::*;
use rosemaryscale_ports::slots::SlotSender;
use slog::{Level, Logger};
use snafu::ResultExt;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use uuid::Uuid;

use crate::claims::{ClaimTask, ClaimTaskOptions};
use crate::config::Config;
use crate::controller::{Controller, ControllerOptions};
use crate::daemon::{DaemonError, PeerSnafu, PlatformSnafu, ResourceSnafu, ServerSnafu};
use crate::fan_out::FanOut;
use crate::membership::{Membership, MembershipOptions};
use crate::observations::RefusalReporter;
use crate::peer_service::{PeerService, PeerServiceOptions};
use crate::rollout::{Rollout, RolloutOptions, RolloutWatches};
use crate::router::{Router, RouterOptions};
use crate::slots::{SlotTask, SlotTaskOptions};
use crate::tasks::{OrderedTasks, Running, Servers, StopSignals, StoppableTask, Tasks};
use crate::usage::{UsageTask, UsageTaskOptions};

const CLAIM_CHANNEL_CAPACITY: usize = 1_024;
const CONFIG_CHANNEL_CAPACITY: usize = 16;
const INBOUND_CALL_CAPACITY: usize = 256;
const OBSERVATION_CHANNEL_CAPACITY: usize = 64;
const FLEET_CHANNEL_CAPACITY: usize = 16;
const QUERY_CHANNEL_CAPACITY: usize = 64;

/// Starts every task of a daemon.
///
/// # Errors
///
/// Fails when a server cannot listen on its address or a resource is unavailable.
pub(crate) async fn start(settings: Config) -> Result<Tasks, DaemonError> {
    let mut wiring = Wiring::open(settings)?;
    let mut fan_out = FanOut::default();
    let (membership, members) = wiring.start_membership(&mut fan_out);
    let peers = wiring.start_peers(members.clone());
    let (config_handle, watches) = wiring.start_rollout(&mut fan_out, &peers, &members);
    let config = watches.config.clone();
    let (controller, fleet, assignments) = wiring.start_controller(&mut fan_out, &peers, &config);
    wiring.start_watch(fan_out).await?;
    let (claim_task, claims) = wiring.start_claims(&peers, &members);
    let slots = wiring.start_slots(&peers, &members);

    let reason: Arc<str> = "no document is in force yet".into();
    let (readiness, ready) = watch::channel(Err(Arc::clone(&reason)));
    let (status, status_receiver) = watch::channel(wiring.initial_status(reason));
    let (queries, query_receiver) = mpsc::channel(QUERY_CHANNEL_CAPACITY);
    let (observations, observed) = mpsc::channel(OBSERVATION_CHANNEL_CAPACITY);
    let service = PeerServiceOptions {
        environment: Arc::clone(&wiring.settings.environment),
        store: config_handle.clone(),
        config: config.clone(),
        status: status_receiver.clone(),
        events: wiring.events.clone(),
        observations,
        incarnation: Arc::clone(&wiring.record.incarnation),
        fleet: fleet.clone(),
        queries,
        claims: claims.clone(),
        slots: slots.clone(),
    };
    let peer_server = wiring.start_peer_server(service).await?;
    let inputs = RouterInputs {
        config: config.clone(),
        assignments,
        queries: query_receiver,
        slots,
        observed,
    };
    let (router, routes) = wiring.start_router(inputs, &members, &peers);
    let usage = wiring.start_usage(routes.clone(), &fleet);
    let callers = wiring.start_callers(routes, claims, ready)?;
    let operators = wiring.start_operators(OperatorContext {
        name: Arc::clone(&wiring.settings.name),
        config: config_handle,
        status: status_receiver,
        events: wiring.events.clone(),
        members,
        peers,
        fleet,
    })?;
    let signals = StopSignals::open()?;
    let name = Arc::clone(&wiring.settings.name);
    wiring.events.record(EventKind::Daemon, name, "starting");
    let Wiring {
        events,
        background_tasks,
        ..
    } = wiring;
    Ok(Tasks {
        running: Some(Running {
            servers: Servers {
                callers,
                operators,
                peers: peer_server,
            },
            ordered: OrderedTasks {
                claims: claim_task,
                router,
                usage,
                controller,
                membership,
            },
            background_tasks,
        }),
        readiness,
        status,
        config,
        rollout: watches.status,
        events: Some(events),
        signals,
    })
}

/// Values that the tasks share while they are started.
struct Wiring {
    settings: Config,
    record: MemberRecord,
    log: Logger,
    clock: ClockHandle,
    metrics: Metrics,
    events: EventSink,
    kv: KeyValue,
    instances: InstanceList,
    background_tasks: Vec<JoinHandle<()>>,
}

/// Inputs of the router that are not shared with other tasks.
struct RouterInputs {
    config: ConfigWatch,
    assignments: AssignmentWatch,
    queries: mpsc::Receiver<InFlightQuery>,
    slots: SlotSender,
    observed: mpsc::Receiver<PeerObservation>,
}

impl Wiring {
    fn open(settings: Config) -> Result<Self, DaemonError> {
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
        let platform = settings.platform;
        let (kv, kv_task) = kv_client::start(platform.kv_address, Metrics::clone(&metrics));
        let (instances, poller) = instance_poller::start(
            platform.instances_address,
            Metrics::clone(&metrics),
            events.clone(),
        );
        Ok(Self {
            record: member_record(&settings),
            settings,
            log,
            clock,
            metrics,
            events,
            kv,
            instances,
            background_tasks: vec![kv_task, poller, event_task],
        })
    }

    fn spawn(&mut self, task: impl Future<Output = ()> + Send + 'static) {
        self.background_tasks.push(tokio::spawn(task));
    }

    fn start_membership(&self, fan_out: &mut FanOut) -> (StoppableTask, MemberWatch) {
        let (membership, members) = Membership::new(MembershipOptions {
            environment: Arc::clone(&self.settings.environment),
            record: self.record.clone(),
            kv: self.kv.clone(),
            events: self.events.clone(),
            metrics: Metrics::clone(&self.metrics),
        });
        let watched = fan_out.subscribe();
        let task = StoppableTask::spawn(|stop| membership.serve(watched, stop));
        (task, members)
    }

    fn link_options(&self) -> PeerLinkOptions {
        PeerLinkOptions {
            name: Arc::clone(&self.settings.name),
            clock: ClockHandle::clone(&self.clock),
            events: self.events.clone(),
            metrics: Metrics::clone(&self.metrics),
        }
    }

    fn start_peers(&mut self, members: MemberWatch) -> Peers {
        let (peers, task) = peer_link::start(self.link_options(), members);
        self.background_tasks.push(task);
        peers
    }

    fn start_rollout(
        &mut self,
        fan_out: &mut FanOut,
        peers: &Peers,
        members: &MemberWatch,
    ) -> (ConfigHandle, RolloutWatches) {
        let (rollout, watches) = Rollout::new(RolloutOptions {
            name: Arc::clone(&self.settings.name),
            environment: Arc::clone(&self.settings.environment),
            kv: self.kv.clone(),
            clock: ClockHandle::clone(&self.clock),
            events: self.events.clone(),
            metrics: Metrics::clone(&self.metrics),
            peers: peers.clone(),
            members: members.clone(),
            peer_addresses: self.settings.peers.clone(),
        });
        let (config_handle, messages) = ConfigHandle::channel(CONFIG_CHANNEL_CAPACITY);
        self.spawn(rollout.serve(messages, fan_out.subscribe()));
        (config_handle, watches)
    }

    fn start_controller(
        &self,
        fan_out: &mut FanOut,
        peers: &Peers,
        config: &ConfigWatch,
    ) -> (StoppableTask, FleetHandle, AssignmentWatch) {
        let (fleet, messages) = FleetHandle::channel(FLEET_CHANNEL_CAPACITY);
        let (controller, assignments) = Controller::new(ControllerOptions {
            name: Arc::clone(&self.settings.name),
            incarnation: Arc::clone(&self.record.incarnation),
            environment: Arc::clone(&self.settings.environment),
            kv: self.kv.clone(),
            peers: peers.clone(),
            instances: self.instances.clone(),
            config: config.clone(),
            clock: ClockHandle::clone(&self.clock),
            events: self.events.clone(),
            metrics: Metrics::clone(&self.metrics),
        });
        let watched = fan_out.subscribe();
        let task = StoppableTask::spawn(|stop| controller.serve(messages, watched, stop));
        (task, fleet, assignments)
    }

    /// Starts the single watch that carries configuration, members and assignments.
    async fn start_watch(&mut self, fan_out: FanOut) -> Result<(), DaemonError> {
        let prefix = format!("/rosemaryscale/{}/", self.settings.environment);
        let range = KeyRange::Prefix(prefix.into());
        let watched = self.kv.watch(range).await.context(PlatformSnafu)?;
        self.spawn(fan_out.serve(watched));
        Ok(())
    }

    fn start_claims(&self, peers: &Peers, members: &MemberWatch) -> (StoppableTask, ClaimHandle) {
        let (claims, messages) = ClaimHandle::channel(CLAIM_CHANNEL_CAPACITY);
        let task = ClaimTask::new(ClaimTaskOptions {
            environment: Arc::clone(&self.settings.environment),
            record: self.record.clone(),
            kv: self.kv.clone(),
            peers: peers.clone(),
            members: members.clone(),
            clock: ClockHandle::clone(&self.clock),
            metrics: Metrics::clone(&self.metrics),
        });
        let task = StoppableTask::spawn(|stop| task.serve(messages, stop));
        (task, claims)
    }

    fn start_slots(&mut self, peers: &Peers, members: &MemberWatch) -> SlotSender {
        let (task, slots, messages) = SlotTask::new(SlotTaskOptions {
            own: MemberId {
                name: Arc::clone(&self.record.name),
                incarnation: Arc::clone(&self.record.incarnation),
            },
            clock: ClockHandle::clone(&self.clock),
            members: members.clone(),
            peers: peers.clone(),
            events: self.events.clone(),
            metrics: Metrics::clone(&self.metrics),
        });
        self.spawn(task.serve(messages));
        slots
    }

    async fn start_peer_server(
        &mut self,
        service: PeerServiceOptions,
    ) -> Result<PeerServer, DaemonError> {
        let (inbound, calls): (mpsc::Sender<InboundCall>, _) = mpsc::channel(INBOUND_CALL_CAPACITY);
        self.spawn(PeerService::new(service).serve(calls));
        PeerServer::start(self.settings.peer_address, self.link_options(), inbound)
            .await
            .context(PeerSnafu)
    }

    fn start_router(
        &mut self,
        inputs: RouterInputs,
        members: &MemberWatch,
        peers: &Peers,
    ) -> (StoppableTask, watch::Receiver<Routes>) {
        let (refusals, refusing_receiver) = mpsc::channel(OBSERVATION_CHANNEL_CAPACITY);
        let name = Arc::clone(&self.settings.name);
        let observations = RefusalReporter::new(name, members.clone(), peers.clone());
        self.spawn(observations.serve(refusing_receiver));
        let (router, routes) = Router::new(RouterOptions {
            config: inputs.config,
            instances: self.instances.clone(),
            assignments: inputs.assignments,
            queries: inputs.queries,
            clock: ClockHandle::clone(&self.clock),
            events: self.events.clone(),
            metrics: Metrics::clone(&self.metrics),
            slots: inputs.slots,
            refusals,
            peer_observations: inputs.observed,
        });
        (StoppableTask::spawn(|stop| router.serve(stop)), routes)
    }

    fn start_usage(&self, routes: watch::Receiver<Routes>, fleet: &FleetHandle) -> StoppableTask {
        let usage = UsageTask::new(UsageTaskOptions {
            incarnation: Arc::clone(&self.record.incarnation),
            routes,
            fleet: fleet.clone(),
            clock: ClockHandle::clone(&self.clock),
        });
        StoppableTask::spawn(|stop| usage.serve(stop))
    }

    fn start_callers(
        &self,
        routes: watch::Receiver<Routes>,
        claims: ClaimHandle,
        readiness: watch::Receiver<Readiness>,
    ) -> Result<CallerApi, DaemonError> {
        let context = CallerContext {
            routes,
            claims,
            readiness,
            metrics: Metrics::clone(&self.metrics),
        };
        CallerApi::start(self.settings.caller_address, context, &self.log).context(ServerSnafu)
    }

    fn start_operators(&self, context: OperatorContext) -> Result<OperatorApi, DaemonError> {
        OperatorApi::start(self.settings.operator_address, context, &self.log).context(ServerSnafu)
    }

    fn initial_status(&self, reason: Arc<str>) -> DaemonStatus {
        DaemonStatus {
            name: Arc::clone(&self.settings.name),
            environment: Arc::clone(&self.settings.environment),
            availability_zone: Arc::clone(&self.settings.availability_zone),
            ready: false,
            reason,
            version: 0,
            digest: Arc::default(),
            platform_reachable: false,
        }
    }
}

fn member_record(settings: &Config) -> MemberRecord {
    MemberRecord {
        name: Arc::clone(&settings.name),
        availability_zone: Arc::clone(&settings.availability_zone),
        operator_address: settings.operator_address,
        peer_address: settings.peer_address,
        incarnation: Uuid::now_v7().to_string().into(),
    }
}

//! Starts and joins the tasks of the job service.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rosemaryscale_adapters::config_link::{self, ConfigServer, ConfigServerError};
use rosemaryscale_adapters::log::DroppedLines;
use rosemaryscale_adapters::worker_gateway::{GatewayOptions, GatewayServer};
use rosemaryscale_adapters::{SystemClock, log, metrics_registry};
use rosemaryscale_domain::config_source::{Confirmation, RevocationBound};
use rosemaryscale_domain::schedule::locality::PlacementWait;
use rosemaryscale_platform::frontend::{FrontendError, FrontendServer};
use rosemaryscale_platform::{
    CONFIG_KEY, WAVE_PREFIX, WORKER_PREFIX, advisor, instances, queue_config, store, wave,
    worker_entry, worker_link,
};
use rosemaryscale_ports::clock::ClockHandle;
use rosemaryscale_ports::job::QueueConfig;
use rosemaryscale_ports::kv::{KeyRange, KvError};
use rosemaryscale_ports::prelude::*;
use slog::{Level, Logger, info};
use snafu::{ResultExt, Snafu};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use uuid::Uuid;

use super::config::JobServiceConfig;
use super::config_sync::{ConfigSync, ConfigSyncOptions, PeerAddresses};
use super::election;
use super::frontend::{JobFrontend, JobFrontendOptions, LeaderStatus};
use super::leader::{LeaderOptions, PlatformAdapters};
use super::offers::{OfferOptions, Offers};
use super::records::{GatewayRecord, LeaderRecord, PeerRecord, VIEW_PREFIX};

const FRONTEND_CALL_CAPACITY: usize = 1_024;
/// Questions of peers about the configuration that may wait.
const QUESTION_CAPACITY: usize = 64;
/// Bounds the delay before a job's state is visible. The platform charges for each read of the watch.
const STATE_WATCH_INTERVAL_MS: u64 = 100;
/// Lease of a run. Covers the wait of a poll, the expiry of a leader's lease and the next election.
const RUN_LEASE_MS: u64 = 5_000;
/// Longest time that a poll waits for a run to end.
const POLL_WAIT_MS: u64 = 1_000;
/// Longest time for which a draining daemon serves callers. The load balancer probes once a second and
/// takes a daemon out of rotation after two failures.
const MAX_DRAIN_TIME: Duration = Duration::from_millis(2_500);

/// Processor share of a daemon that takes the scheduler key without delay: a burst in a pool of 50
/// workers takes a tenth of a processor.
const AMPLE_PROCESSOR_SHARE: f64 = 0.25;
/// Bandwidth of a daemon that takes the scheduler key without delay, in megabits a second.
const AMPLE_LINK_MBPS: f64 = 100.0;

/// Formats and clients of the users' platform.
const PLATFORM: PlatformAdapters = PlatformAdapters {
    worker_prefix: WORKER_PREFIX,
    read_worker: worker_entry::decode,
    wave_prefix: WAVE_PREFIX,
    read_wave: wave::decode,
    wave_state: wave::encode_state,
    start_links: worker_link::start,
    start_instance_orders: instances::start,
    start_advisor: advisor::start,
};

/// Error that prevents the job service from starting or running.
#[derive(Debug)]
#[derive(Snafu)]
pub enum JobServiceError {
    /// An HTTP server did not start.
    #[snafu(display("{source}"))]
    Server {
        /// The underlying error.
        source: FrontendError,
    },
    /// The server for the leader did not start.
    #[snafu(display(
        "cannot listen on {address}: {source}; set gateway_address to a free address of this instance"
    ))]
    Gateway {
        /// The address.
        address: SocketAddr,
        /// The underlying error.
        source: std::io::Error,
    },
    /// The server for peers did not start.
    #[snafu(display("{source}"))]
    Peers {
        /// The underlying error.
        source: ConfigServerError,
    },
    /// The client of the platform's store has stopped.
    #[snafu(display("{source}"))]
    Store {
        /// The underlying error.
        source: KvError,
    },
    /// A signal handler cannot be installed.
    #[snafu(display("cannot install a signal handler: {source}; check the resource limits"))]
    Resource {
        /// The underlying error.
        source: std::io::Error,
    },
}

/// A daemon of the job service.
pub struct JobService {
    log: Logger,
    frontend_server: JoinHandle<()>,
    ready_server: JoinHandle<()>,
    frontend: JoinHandle<()>,
    election: JoinHandle<()>,
    config: JoinHandle<()>,
    /// Server for the leader, if this daemon is a gateway.
    gateway: Option<JoinHandle<()>>,
    /// Task that offers this daemon to the leader and to its peers.
    offers: JoinHandle<()>,
    /// Server for questions of peers about the configuration and the task that asks them.
    peers: Option<(ConfigServer, JoinHandle<()>)>,
    store: JoinHandle<()>,
    metrics_server: Option<JoinHandle<()>>,
    metrics: JoinHandle<()>,
    draining: watch::Sender<bool>,
    stop_frontend: watch::Sender<bool>,
    stop_probes: watch::Sender<bool>,
    /// How long callers are still served after the readiness probe has begun to fail.
    drain_time: Duration,
}

impl JobService {
    /// Starts all tasks.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be used or the store's client has stopped.
    pub async fn start(settings: JobServiceConfig) -> Result<Self, JobServiceError> {
        let log = log::open_stdout(settings.log_format, Level::Info);
        Self::start_with_log(settings, log).await
    }

    /// Starts all tasks, which write to the given log; the metrics count the lines that it drops.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be used or the store's client has stopped.
    pub async fn start_with_log(
        settings: JobServiceConfig,
        (log, dropped_lines): (Logger, DroppedLines),
    ) -> Result<Self, JobServiceError> {
        let clock: ClockHandle = Arc::new(SystemClock::new());
        let (metrics, metrics_reader, metrics_task) = metrics_registry::start(dropped_lines);
        let (kv, store) = store::start(settings.store_address, Arc::clone(&metrics));
        let (config_sender, config_watch) = watch::channel(Arc::new(QueueConfig::default()));
        let config_key = KeyRange::Prefix(CONFIG_KEY.into());
        let config_events = kv.watch(config_key).await.context(StoreSnafu)?;
        let view = KeyRange::Prefix(VIEW_PREFIX.into());
        let view = kv
            .watch_every(view, STATE_WATCH_INTERVAL_MS)
            .await
            .context(StoreSnafu)?;
        let (draining, draining_watch) = watch::channel(false);
        let (stop_frontend, stop_frontend_watch) = watch::channel(false);
        let (stop_probes, stop_probes_watch) = watch::channel(false);
        let (calls, call_receiver) = mpsc::channel(FRONTEND_CALL_CAPACITY);
        let (leader, leader_watch) = watch::channel(LeaderStatus::Unknown);
        let (ready, ready_watch) = watch::channel(Err("starting".into()));
        let frontend_server = FrontendServer::jobs(
            settings.caller_address,
            calls,
            config_watch.clone(),
            draining_watch.clone(),
            stop_frontend_watch.clone(),
        );
        let frontend_server = frontend_server.await.context(ServerSnafu)?;
        let ready_server =
            FrontendServer::ready(settings.ready_address, ready_watch, stop_probes_watch);
        let ready_server = ready_server.await.context(ServerSnafu)?;
        let metrics_server = match settings.metrics_address {
            Some(address) => {
                let server =
                    FrontendServer::metrics(address, metrics_reader, stop_probes.subscribe());
                Some(tokio::spawn(server.await.context(ServerSnafu)?.run()))
            }
            None => None,
        };
        let gateway = match settings.gateway_address {
            Some(address) => {
                let options = GatewayOptions {
                    start_links: PLATFORM.start_links,
                    clock: Arc::clone(&clock),
                    metrics: Arc::clone(&metrics),
                    log: log.clone(),
                };
                let server = GatewayServer::bind(address, options);
                let server = server.await.context(GatewaySnafu { address })?;
                Some(tokio::spawn(server.run(draining_watch.clone())))
            }
            None => None,
        };
        let (inbound, questions) = mpsc::channel(QUESTION_CAPACITY);
        let (link, peers) = match settings.peer_address {
            Some(address) => {
                let server = ConfigServer::start(address, inbound);
                let server = server.await.context(PeersSnafu)?;
                let (link, client) = config_link::start(Arc::clone(&metrics));
                (Some(link), Some((server, client)))
            }
            None => (None, None),
        };
        let offers = Offers::new(OfferOptions {
            kv: kv.clone(),
            daemon: Arc::clone(&settings.name),
            gateway: gateway_record(&settings),
            peer: settings.peer_address.map(|address| PeerRecord { address }),
            config: config_watch.clone(),
            stop: draining_watch.clone(),
            log: log.clone(),
        });
        let (confirmation, confirmation_watch) = watch::channel(Confirmation::default());
        let (peer_addresses, peer_addresses_watch) = watch::channel(PeerAddresses::default());
        let config = ConfigSync::new(ConfigSyncOptions {
            daemon: Arc::clone(&settings.name),
            key: CONFIG_KEY,
            decode: queue_config::decode,
            events: config_events,
            config: config_sender,
            confirmation,
            peers: peer_addresses_watch,
            questions,
            link,
            clock: Arc::clone(&clock),
            metrics: Arc::clone(&metrics),
            log: log.clone(),
        });
        let identity = LeaderRecord {
            daemon: Arc::clone(&settings.name),
            incarnation: Uuid::new_v4().to_string().into(),
        };
        let frontend = JobFrontend::new(JobFrontendOptions {
            kv: kv.clone(),
            clock: Arc::clone(&clock),
            config: config_watch.clone(),
            confirmation: confirmation_watch,
            revocation: RevocationBound {
                revoke_ms: settings.revoke_ms,
                is_strict: settings.strict_revoke,
            },
            peers: peer_addresses,
            identity: identity.clone(),
            has_advisor: settings.advisor_address.is_some(),
            view,
            calls: call_receiver,
            leader,
            ready,
            stopping: draining_watch.clone(),
            metrics: Arc::clone(&metrics),
            log: log.clone(),
        });
        let options = LeaderOptions {
            kv,
            clock,
            config: config_watch,
            identity,
            run_lease_ms: RUN_LEASE_MS.min(settings.run_lease_max_ms),
            run_lease_max_ms: settings.run_lease_max_ms,
            poll_wait_ms: POLL_WAIT_MS,
            stop_grace_ms: settings.stop_grace_ms,
            uneven_work: settings.uneven_work(),
            placement_wait: settings
                .remote_factor
                .map_or(PlacementWait::Off, PlacementWait::from_factor),
            status_kept_ms: settings.status_kept_ms,
            platform: PLATFORM,
            has_ample_resources: settings.processor_share >= AMPLE_PROCESSOR_SHARE
                && settings.link_mbps >= AMPLE_LINK_MBPS,
            machines_address: settings.machines_address,
            advisor_address: settings.advisor_address,
            metrics,
            log: log.clone(),
        };
        info!(log, "started"; "daemon" => &*settings.name, "zone" => &*settings.availability_zone);
        Ok(Self {
            frontend_server: tokio::spawn(frontend_server.run()),
            ready_server: tokio::spawn(ready_server.run()),
            frontend: tokio::spawn(frontend.run()),
            election: tokio::spawn(election::run(options, leader_watch, draining_watch)),
            config: tokio::spawn(config.run(stop_frontend_watch)),
            gateway,
            offers: tokio::spawn(offers.run()),
            peers,
            store,
            metrics_server,
            metrics: metrics_task,
            draining,
            stop_frontend,
            stop_probes,
            // The other half is left for requests in flight.
            drain_time: MAX_DRAIN_TIME.min(Duration::from_millis(settings.stop_ms / 2)),
            log,
        })
    }

    /// Serves until SIGTERM, then drains and joins all tasks.
    ///
    /// # Errors
    ///
    /// Fails when signals cannot be received.
    pub async fn run(self) -> Result<(), JobServiceError> {
        let mut terminate = open_signal(SignalKind::terminate())?;
        let mut interrupt = open_signal(SignalKind::interrupt())?;
        let mut reload = open_signal(SignalKind::hangup())?;
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = interrupt.recv() => break,
                _ = reload.recv() => {
                    // Settings are read only at the start of the process.
                    info!(self.log, "reload: no setting of a running daemon has changed");
                }
            }
        }
        info!(self.log, "stopping");
        self.draining.send_replace(true);
        let _ = self.election.await;
        tokio::time::sleep(self.drain_time).await;
        self.stop_frontend.send_replace(true);
        let _ = self.frontend_server.await;
        let _ = self.frontend.await;
        let _ = self.config.await;
        if let Some((server, client)) = self.peers {
            server.stop().await;
            let _ = client.await;
        }
        if let Some(server) = self.gateway {
            let _ = server.await;
        }
        let _ = self.offers.await;
        self.stop_probes.send_replace(true);
        let _ = self.ready_server.await;
        if let Some(server) = self.metrics_server {
            let _ = server.await;
        }
        let _ = self.store.await;
        let _ = self.metrics.await;
        info!(self.log, "stopped");
        Ok(())
    }
}

/// What the daemon offers to the leader, if it is a gateway.
fn gateway_record(settings: &JobServiceConfig) -> Option<GatewayRecord> {
    let address = settings.gateway_address?;
    Some(GatewayRecord {
        address: address.to_string().into(),
        zone: Arc::clone(&settings.availability_zone),
        processor_milli: (settings.processor_share * 1_000.0) as u64,
    })
}

fn open_signal(kind: SignalKind) -> Result<Signal, JobServiceError> {
    signal(kind).context(ResourceSnafu)
}

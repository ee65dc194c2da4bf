//! Starts the tasks of the job service, and joins them.

use std::sync::Arc;
use std::time::Duration;

use rosemaryscale_adapters::{SystemClock, log, metrics_board};
use rosemaryscale_platform::front::{FrontError, FrontServer};
use rosemaryscale_platform::{
    CONFIG_KEY, WAVE_PREFIX, WORKER_PREFIX, advisor, machines, queue_config, store, wave,
    worker_entry, worker_link,
};
use rosemaryscale_ports::clock::ClockHandle;
use rosemaryscale_ports::job::QueueConfig;
use rosemaryscale_ports::kv::{KeyRange, KvError, Update, WatchEvent};
use rosemaryscale_ports::prelude::*;
use slog::{Level, Logger, info, warn};
use snafu::{ResultExt, Snafu};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use uuid::Uuid;

use super::config::JobServiceConfig;
use super::election;
use super::front::{Front, FrontOptions, LeaderSeen};
use super::leader::{LeaderOptions, PlatformFormats};
use super::records::{LeaderRecord, VIEW_PREFIX};

const FRONT_CALLS: usize = 1_024;
/// States of jobs are shown within this time; each read of the watch is a priced call.
const STATE_WATCH_INTERVAL_MS: u64 = 100;
/// Length of the lease of runs: covers a poll's wait, the lapse of a leader and its replacement.
const RUN_LEASE_MS: u64 = 5_000;
/// Longest wait of a poll for an end.
const POLL_WAIT_MS: u64 = 1_000;
/// The load balancer asks each second and needs two misses before it sends callers elsewhere.
const LEAVE: Duration = Duration::from_millis(2_500);

/// The formats and clients of the users' platform.
const PLATFORM: PlatformFormats = PlatformFormats {
    worker_prefix: WORKER_PREFIX,
    read_worker: worker_entry::decode,
    wave_prefix: WAVE_PREFIX,
    read_wave: wave::decode,
    wave_state: wave::state,
    start_links: worker_link::start,
    start_machines: machines::start,
    start_advisor: advisor::start,
};

/// Why the job service did not start or run.
#[derive(Debug)]
#[derive(Snafu)]
pub enum JobServiceError {
    /// A server did not start.
    #[snafu(display("{source}"))]
    Server {
        /// Why.
        source: FrontError,
    },
    /// The platform's client has stopped.
    #[snafu(display("{source}"))]
    Store {
        /// Why.
        source: KvError,
    },
    /// Signals cannot be received.
    #[snafu(display("cannot have a resource of the system: {source}; check the limits"))]
    Resource {
        /// Why.
        source: std::io::Error,
    },
}

/// A daemon of the job service.
pub struct JobService {
    log: Logger,
    front_server: JoinHandle<()>,
    ready_server: JoinHandle<()>,
    front: JoinHandle<()>,
    election: JoinHandle<()>,
    config: JoinHandle<()>,
    store: JoinHandle<()>,
    metrics_server: Option<JoinHandle<()>>,
    metrics: JoinHandle<()>,
    leaving: watch::Sender<bool>,
    stop: watch::Sender<bool>,
    end: watch::Sender<bool>,
    /// How long callers are served after the daemon has said that it leaves.
    leave: Duration,
}

impl JobService {
    /// Starts all tasks.
    ///
    /// # Errors
    ///
    /// Fails when an address or a resource cannot be had.
    pub async fn start(settings: JobServiceConfig) -> Result<Self, JobServiceError> {
        let log = log::open_stdout(settings.log_format, Level::Info);
        let clock: ClockHandle = Arc::new(SystemClock::new());
        let (metrics, metrics_reader, metrics_task) = metrics_board::start();
        let (kv, store) = store::start(settings.store_address, Arc::clone(&metrics));
        let (config_sender, config_watch) = watch::channel(Arc::new(QueueConfig::default()));
        let config_key = KeyRange::Prefix(CONFIG_KEY.into());
        let config_events = kv.watch(config_key).await.context(StoreSnafu)?;
        let view = KeyRange::Prefix(VIEW_PREFIX.into());
        let view = kv
            .watch_every(view, STATE_WATCH_INTERVAL_MS)
            .await
            .context(StoreSnafu)?;
        let (leaving, leaving_watch) = watch::channel(false);
        let (stop, stop_watch) = watch::channel(false);
        let (end, end_watch) = watch::channel(false);
        let (calls, call_receiver) = mpsc::channel(FRONT_CALLS);
        let (leader, leader_watch) = watch::channel(LeaderSeen::Unknown);
        let (ready, ready_watch) = watch::channel(Err("starting".into()));
        let front_server = FrontServer::jobs(settings.caller_address, calls, stop_watch.clone());
        let front_server = front_server.await.context(ServerSnafu)?;
        let ready_server = FrontServer::ready(settings.ready_address, ready_watch, end_watch);
        let ready_server = ready_server.await.context(ServerSnafu)?;
        let metrics_server = match settings.metrics_address {
            Some(address) => {
                let server = FrontServer::metrics(address, metrics_reader, end.subscribe());
                Some(tokio::spawn(server.await.context(ServerSnafu)?.run()))
            }
            None => None,
        };
        let own = LeaderRecord {
            daemon: Arc::clone(&settings.name),
            incarnation: Uuid::new_v4().to_string().into(),
        };
        let front = Front::new(FrontOptions {
            kv: kv.clone(),
            clock: Arc::clone(&clock),
            config: config_watch.clone(),
            own: own.clone(),
            has_advisor: settings.advisor_address.is_some(),
            view,
            calls: call_receiver,
            leader,
            ready,
            stopping: leaving_watch.clone(),
            metrics: Arc::clone(&metrics),
            log: log.clone(),
        });
        let options = LeaderOptions {
            kv,
            clock,
            config: config_watch,
            own,
            run_lease_ms: RUN_LEASE_MS.min(settings.run_lease_max_ms),
            poll_wait_ms: POLL_WAIT_MS,
            stop_grace_ms: settings.stop_grace_ms,
            status_kept_ms: settings.status_kept_ms,
            platform: PLATFORM,
            machines_address: settings.machines_address,
            advisor_address: settings.advisor_address,
            metrics,
            log: log.clone(),
        };
        info!(log, "started"; "daemon" => &*settings.name, "zone" => &*settings.availability_zone);
        Ok(Self {
            front_server: tokio::spawn(front_server.run()),
            ready_server: tokio::spawn(ready_server.run()),
            front: tokio::spawn(front.run()),
            election: tokio::spawn(election::run(options, leader_watch, leaving_watch)),
            config: tokio::spawn(follow_config(
                config_events,
                config_sender,
                stop_watch,
                log.clone(),
            )),
            store,
            metrics_server,
            metrics: metrics_task,
            leaving,
            stop,
            end,
            // The other half is for exchanges that are under way.
            leave: LEAVE.min(Duration::from_millis(settings.stop_ms / 2)),
            log,
        })
    }

    /// Serves until SIGTERM, then leaves gracefully and joins all tasks.
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
                    // Addresses of a process do not change while it runs.
                    info!(self.log, "reload: no setting of a running daemon has changed");
                }
            }
        }
        info!(self.log, "stopping");
        self.leaving.send_replace(true);
        let _ = self.election.await;
        tokio::time::sleep(self.leave).await;
        self.stop.send_replace(true);
        let _ = self.front_server.await;
        let _ = self.front.await;
        let _ = self.config.await;
        self.end.send_replace(true);
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

fn open_signal(kind: SignalKind) -> Result<Signal, JobServiceError> {
    signal(kind).context(ResourceSnafu)
}

/// Keeps the newest configuration; an older one never replaces it.
async fn follow_config(
    mut events: mpsc::Receiver<WatchEvent>,
    config: watch::Sender<Arc<QueueConfig>>,
    mut stop: watch::Receiver<bool>,
    log: Logger,
) {
    let mut received = false;
    loop {
        let event = tokio::select! {
            event = events.recv() => event,
            _ = stop.wait_for(|stop| *stop) => return,
        };
        let entries = match event {
            None => return,
            Some(WatchEvent::Snapshot { entries, .. }) => entries,
            Some(WatchEvent::Changed { updates, .. }) => updates
                .into_iter()
                .filter_map(|update| match update {
                    Update::Put(entry) => Some(entry),
                    Update::Deleted(_) => None,
                })
                .collect(),
            Some(WatchEvent::Disconnected { reason }) => {
                if received {
                    warn!(log, "the configuration is not heard"; "reason" => reason);
                }
                received = false;
                continue;
            }
        };
        if !received {
            info!(log, "the configuration is heard");
            received = true;
        }
        for entry in entries.iter().filter(|entry| &*entry.key == CONFIG_KEY) {
            match queue_config::decode(&entry.value) {
                Ok(newer) if newer.version > config.borrow().version => {
                    info!(log, "configuration in force"; "version" => newer.version);
                    config.send_replace(Arc::new(newer));
                }
                Ok(_) => {}
                Err(reason) => warn!(log, "configuration skipped"; "reason" => &*reason),
            }
        }
    }
}

//! The leader, which runs the scheduler for as long as this daemon holds the scheduler key.

mod actions;
mod events;
mod held_jobs;
mod load;
mod pressure;
mod share_status;
mod start;
mod workspaces;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rosemaryscale_adapters::worker_gateway::ORDER_AGE_MAX_MS;
use rosemaryscale_domain::schedule::locality::PlacementWait;
use rosemaryscale_domain::schedule::order::{WaveRequest, WorkerReport};
use rosemaryscale_domain::schedule::{Batch, Scheduler, UnevenWork};
use rosemaryscale_domain::worker_route::{GatewayOffer, LOCAL_WORKERS_MAX};
use rosemaryscale_ports::advice::{AdviceCalls, AdviceEvents};
use rosemaryscale_ports::clock::ClockHandle;
use rosemaryscale_ports::instance_order::{InstanceOrderCalls, InstanceOrderEvents, OrderPermit};
use rosemaryscale_ports::job::{QueueConfig, QueueConfigWatch};
use rosemaryscale_ports::kv::{KeyValue, WatchEvent};
use rosemaryscale_ports::prelude::*;
use rosemaryscale_ports::worker::{StartLinks, WorkerCalls, WorkerEvents};
use slog::{Logger, error, info};
use tokio::sync::watch;
use tokio::task::{JoinError, JoinHandle, JoinSet};
use tokio::time::MissedTickBehavior;

use self::actions::StartedRuns;
use self::load::{LeaderLoad, LeaderWork};
use self::pressure::PublishedPressure;
use super::batch::{BatchWriter, ExpiredRecords, LeadershipLost, WaveStateFormat};
use super::lease::{self, LEADER_GRACE_MS, LeaderLease, RENEW_INTERVAL_MS, Renewal};
use super::records::{LeaderRecord, WORKERS_KEY};

/// Interval at which time-driven work runs when no event arrives.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between log lines about pool usage and awaited workers.
const STATUS_INTERVAL_MS: u64 = 1_000;
/// Maximum number of worker events that are applied before the scheduler runs again.
const MAX_EVENTS_PER_CYCLE: usize = 256;
/// Time limit for the final batch of a stopping leader, and for the revocation of its lease.
const FINAL_WRITE_TIMEOUT: Duration = Duration::from_millis(600);

/// Reason of the end of a term without a watch. The daemon may lead again with new watches.
const WATCH_ENDED: &str = "a watch of the store has ended";

/// Handle and event stream of the instance order port, and the task that serves them.
type InstanceOrderPort = (InstanceOrderCalls, InstanceOrderEvents, JoinHandle<()>);

/// Handle and event stream of the advice port, and the task that serves them.
type AdvicePort = (AdviceCalls, AdviceEvents, JoinHandle<()>);

/// The platform's formats and clients, as the leader uses them.
#[derive(Clone, Copy)]
pub(super) struct PlatformAdapters {
    /// Key prefix of worker entries.
    pub(super) worker_prefix: &'static str,
    /// Decodes a worker entry.
    pub(super) read_worker: fn(&str, &[u8]) -> Result<WorkerReport, Arc<str>>,
    /// Key prefix of the operators' maintenance waves.
    pub(super) wave_prefix: &'static str,
    /// Decodes a maintenance wave.
    pub(super) read_wave: fn(&[u8]) -> Result<WaveRequest, Arc<str>>,
    /// Encodes the state of a maintenance wave as key and value.
    pub(super) wave_state: WaveStateFormat,
    /// Starts the client of the workers.
    pub(super) start_links: StartLinks,
    /// Starts the client of the instance list.
    pub(super) start_instance_orders: fn(SocketAddr, Arc<str>, OrderPermit) -> InstanceOrderPort,
    /// Starts the client of the advisor.
    pub(super) start_advisor: fn(SocketAddr, Logger) -> AdvicePort,
}

/// Dependencies and settings of the leader.
#[derive(Clone)]
pub(super) struct LeaderOptions {
    pub(super) kv: KeyValue,
    pub(super) clock: ClockHandle,
    pub(super) config: QueueConfigWatch,
    /// Record that identifies this process when it becomes the leader.
    pub(super) identity: LeaderRecord,
    pub(super) run_lease_ms: u64,
    pub(super) run_lease_max_ms: u64,
    pub(super) poll_wait_ms: u64,
    pub(super) stop_grace_ms: u64,
    pub(super) uneven_work: UnevenWork,
    pub(super) placement_wait: PlacementWait,
    pub(super) status_kept_ms: u64,
    pub(super) platform: PlatformAdapters,
    /// Whether the instance has the processor share and bandwidth to lead a large fleet.
    pub(super) has_ample_resources: bool,
    pub(super) machines_address: SocketAddr,
    /// Address of the advisor, if one is configured.
    pub(super) advisor_address: Option<SocketAddr>,
    pub(super) metrics: Metrics,
    pub(super) log: Logger,
}

/// Why a leader's term ended.
#[derive(Debug)]
pub(super) enum LeaderEnd {
    /// The daemon is stopping.
    Stopped,
    /// The key is lost or no longer certain: another daemon may hold it.
    Lost {
        /// The reason.
        reason: &'static str,
        /// Time since the lease was last confirmed.
        lease_age_ms: u64,
    },
}

/// Streams of events that the leader consumes.
struct EventSources {
    jobs: mpsc::Receiver<WatchEvent>,
    workers: mpsc::Receiver<WatchEvent>,
    waves: mpsc::Receiver<WatchEvent>,
    gateways: mpsc::Receiver<WatchEvent>,
    worker_events: WorkerEvents,
    instance_events: InstanceOrderEvents,
    advice_events: AdviceEvents,
}

/// Handles of the ports that the leader calls.
struct PortHandles {
    links: WorkerCalls,
    gateways: GatewayOffers,
    instances: InstanceOrderCalls,
    /// Prolongs the permit for orders to instances.
    orders_valid_until: watch::Sender<Millis>,
    advisor: Option<AdviceCalls>,
}

/// Daemons that offer to hold links to workers. They are used for a large fleet, and only after the store
/// says so: the next leader then waits for orders that a gateway still holds.
struct GatewayOffers {
    offers: FastMap<Arc<str>, GatewayOffer>,
    router: watch::Sender<Vec<GatewayOffer>>,
    /// Whether the stored record allows gateways.
    allowed: bool,
}

impl GatewayOffers {
    fn publish(&self) {
        if self.allowed {
            self.router
                .send_replace(self.offers.values().cloned().collect());
        }
    }
}

/// Result of a task that ran in the background of the scheduler.
enum BackgroundResult {
    Renewed(Renewal),
    Written(Result<BatchWriter, LeadershipLost>, Option<Batch>),
    PressureWritten,
}

/// The leader: the scheduler, its lease and its ports.
pub(super) struct Leader {
    options: LeaderOptions,
    lease: LeaderLease,
    scheduler: Scheduler,
    writer: Option<BatchWriter>,
    calls: PortHandles,
    background: JoinSet<BackgroundResult>,
    is_renewing: bool,
    next_renewal_at: Millis,
    next_status_at: Millis,
    pressure: PublishedPressure,
    load: LeaderLoad,
    /// Ids of the worker entries that could not be read last, each of which has been logged.
    refused_workers: FastSet<Arc<str>>,
    /// When the platform's list of instances was last read.
    instances_listed_at: Option<Millis>,
    /// Whether the last list of instances had unreadable rows, which has been logged.
    instance_rows_unreadable: bool,
}

impl Leader {
    async fn run(
        mut self,
        mut sources: EventSources,
        mut stop: watch::Receiver<bool>,
    ) -> LeaderEnd {
        let mut tick = tokio::time::interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut config = self.options.config.clone();
        let end = loop {
            self.load.enter(LeaderWork::Waiting);
            tokio::select! {
                event = sources.jobs.recv() => match event {
                    Some(event) => {
                        self.load.enter(LeaderWork::Changes);
                        if let Err(reason) = self.apply_job_changes(event) {
                            break self.lost(reason);
                        }
                    }
                    None => break self.lost(WATCH_ENDED),
                },
                event = sources.workers.recv() => match event {
                    Some(event) => {
                        self.load.enter(LeaderWork::Changes);
                        self.apply_worker_changes(event);
                    }
                    None => break self.lost(WATCH_ENDED),
                },
                event = sources.waves.recv() => match event {
                    Some(event) => {
                        self.load.enter(LeaderWork::Changes);
                        self.apply_wave_changes(event);
                    }
                    None => break self.lost(WATCH_ENDED),
                },
                event = sources.gateways.recv() => match event {
                    Some(event) => {
                        self.load.enter(LeaderWork::Changes);
                        self.apply_gateway_changes(event);
                    }
                    None => break self.lost(WATCH_ENDED),
                },
                Some(event) = sources.instance_events.recv() => {
                    self.load.enter(LeaderWork::Changes);
                    self.apply_instance_event(event);
                }
                Some(result) = sources.advice_events.recv() => {
                    self.load.enter(LeaderWork::Changes);
                    self.apply_advice(result);
                }
                Some(event) = sources.worker_events.recv() => {
                    self.load.enter(LeaderWork::WorkerEvents);
                    self.apply_worker_event(event);
                    for _ in 0..MAX_EVENTS_PER_CYCLE {
                        let Ok(event) = sources.worker_events.try_recv() else { break };
                        self.apply_worker_event(event);
                    }
                }
                Ok(()) = config.changed() => {
                    self.load.enter(LeaderWork::Changes);
                    let latest = Arc::clone(&config.borrow_and_update());
                    apply_config(&mut self.scheduler, &latest);
                }
                Some(finished) = self.background.join_next() => {
                    self.load.enter(LeaderWork::Changes);
                    if let Err(reason) = self.apply_background(finished) {
                        break self.lost(reason);
                    }
                    self.allow_gateways();
                }
                _ = tick.tick() => {}
                _ = stop.wait_for(|stop| *stop) => break LeaderEnd::Stopped,
            }
            if let Err(reason) = self.run_cycle().await {
                break self.lost(reason);
            }
        };
        self.clear_workspace_gauges();
        self.set_held_job_gauge(Vec::new());
        if let LeaderEnd::Stopped = end {
            self.write_final_batch().await;
        }
        self.background.shutdown().await;
        end
    }

    /// Time since the store last confirmed the lease.
    fn lease_age_ms(&self) -> u64 {
        self.options.clock.now().ms_since(self.lease.confirmed_at)
    }

    fn lost(&self, reason: &'static str) -> LeaderEnd {
        LeaderEnd::Lost {
            reason,
            lease_age_ms: self.lease_age_ms(),
        }
    }

    /// Advances the scheduler, carries out its actions, and starts writes and renewals that are due.
    async fn run_cycle(&mut self) -> Result<(), &'static str> {
        self.load.enter(LeaderWork::Scheduling);
        let (now, wall) = (self.options.clock.now(), self.options.clock.wall());
        if now.ms_since(self.lease.confirmed_at) > LEADER_GRACE_MS {
            return Err("the lease was not renewed in time");
        }
        if self.scheduler.is_fenced() {
            return Err("a worker has accepted a higher fencing token");
        }
        let unconfirmed = now > self.lease.certain_until();
        self.scheduler.set_leadership_unconfirmed(unconfirmed);
        if now >= self.next_status_at {
            self.next_status_at = now.after_ms(STATUS_INTERVAL_MS);
            self.log_status();
            let effort = self.scheduler.placement_effort();
            self.load
                .report(effort, &self.options.metrics, &self.options.log);
            self.report_workspaces();
        }
        let recovering = self.scheduler.is_recovering();
        let actions = self.scheduler.advance(now, wall);
        self.log_scheduler_events();
        if recovering && !self.scheduler.is_recovering() {
            info!(self.options.log, "recovery ended"; "lease_age_ms" => self.lease_age_ms());
        }
        self.load.enter(LeaderWork::Orders);
        let mut started = StartedRuns::new(self.lease_age_ms());
        for action in actions {
            self.send(action, &mut started).await?;
        }
        started.flush(&self.options);
        self.load.enter(LeaderWork::Batches);
        self.write_batch(now);
        self.publish_pressure(now);
        if !self.is_renewing && now >= self.next_renewal_at {
            self.is_renewing = true;
            self.next_renewal_at = now.after_ms(RENEW_INTERVAL_MS);
            let renewal = lease::renew(
                self.options.kv.clone(),
                Arc::clone(&self.options.clock),
                self.lease.id,
            );
            self.background
                .spawn(async { BackgroundResult::Renewed(renewal.await) });
        }
        Ok(())
    }

    fn write_batch(&mut self, now: Millis) {
        if self.writer.is_none() {
            return;
        }
        let Some(batch) = self.scheduler.take_batch(now) else {
            return;
        };
        let Some(mut writer) = self.writer.take() else {
            return;
        };
        if self.scheduler.worker_count() > LOCAL_WORKERS_MAX {
            writer.order_age_max_ms = ORDER_AGE_MAX_MS;
        }
        self.log_job_states(&batch);
        let kv = self.options.kv.clone();
        let wave_state = self.options.platform.wave_state;
        self.background.spawn(async move {
            let writer = writer.write(&kv, &batch, wave_state).await;
            BackgroundResult::Written(writer, Some(batch))
        });
    }

    /// Releases the term and writes the final batch before the daemon stops.
    async fn write_final_batch(&mut self) {
        self.scheduler.release(self.options.clock.now());
        let write = async {
            while self.writer.is_none() {
                let Some(finished) = self.background.join_next().await else {
                    return;
                };
                if self.apply_background(finished).is_err() {
                    return;
                }
            }
            let now = self.options.clock.now();
            if let (Some(batch), Some(writer)) =
                (self.scheduler.take_batch(now), self.writer.take())
            {
                self.log_job_states(&batch);
                let _ = writer
                    .write(&self.options.kv, &batch, self.options.platform.wave_state)
                    .await;
            }
        };
        let _ = tokio::time::timeout(FINAL_WRITE_TIMEOUT, write).await;
    }

    /// Applies the result of a background task. Without one, the batch writer or the state of a renewal is
    /// lost with the task, so that the term cannot go on.
    fn apply_background(
        &mut self,
        finished: Result<BackgroundResult, JoinError>,
    ) -> Result<(), &'static str> {
        let finished = finished.map_err(|error| {
            error!(self.options.log, "background task of the leader failed"; "reason" => %error);
            "a background task of the leader failed"
        })?;
        match finished {
            BackgroundResult::Renewed(renewal) => {
                self.is_renewing = false;
                match renewal {
                    Renewal::Confirmed(at) => {
                        self.lease.confirmed_at = self.lease.confirmed_at.max(at);
                        let valid_until = self.lease.certain_until();
                        self.calls.orders_valid_until.send_replace(valid_until);
                    }
                    Renewal::Expired => return Err("the lease has expired"),
                    Renewal::Unanswered => {}
                }
            }
            BackgroundResult::PressureWritten => self.pressure.written(),
            BackgroundResult::Written(Err(LeadershipLost), _) => {
                return Err("this daemon no longer holds the scheduler key");
            }
            BackgroundResult::Written(Ok(mut writer), batch) => {
                let now = self.options.clock.now();
                let wall = self.options.clock.wall();
                let rejected = writer.take_rejected();
                if let Some(mut batch) = batch {
                    if rejected.iter().any(|key| &**key == WORKERS_KEY) {
                        batch.workers = None;
                        self.scheduler.workers_not_stored(now);
                    }
                    self.scheduler.batch_written(&batch, now);
                }
                self.delete_expired(writer, now, wall);
            }
        }
        Ok(())
    }

    /// Uses gateways once a written record allows them.
    fn allow_gateways(&mut self) {
        let is_written = self
            .writer
            .as_ref()
            .is_some_and(|writer| writer.order_age_max_ms > 0);
        if is_written && !self.calls.gateways.allowed {
            self.calls.gateways.allowed = true;
            self.calls.gateways.publish();
        }
    }

    fn delete_expired(&mut self, writer: BatchWriter, now: Millis, wall: Millis) {
        const MAX_DELETED: usize = 70;
        let kept_ms = self.options.status_kept_ms;
        let scheduler = &mut self.scheduler;
        let expired = ExpiredRecords {
            jobs: scheduler.take_expired(wall, kept_ms, MAX_DELETED),
            cancellations: scheduler.take_expired_cancellations(now, kept_ms, MAX_DELETED),
        };
        if expired.is_empty() {
            self.writer = Some(writer);
            return;
        }
        let kv = self.options.kv.clone();
        self.background.spawn(async move {
            let writer = writer.delete_expired(&kv, &expired).await;
            BackgroundResult::Written(writer, None)
        });
    }
}

fn apply_config(scheduler: &mut Scheduler, config: &QueueConfig) {
    scheduler.configure(&config.policies, &config.workspaces);
    scheduler.set_spare_services(&config.spare_services);
}

//! The leader: runs the scheduler while its key is held.

mod actions;
mod events;
mod start;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rosemaryscale_domain::schedule::order::{WaveRequest, WorkerReport};
use rosemaryscale_domain::schedule::{Batch, Scheduler};
use rosemaryscale_ports::advice::{AdviceCalls, AdviceEvents};
use rosemaryscale_ports::clock::ClockHandle;
use rosemaryscale_ports::job::{QueueConfig, QueueConfigWatch};
use rosemaryscale_ports::kv::{KeyValue, WatchEvent};
use rosemaryscale_ports::machine::{MachineCalls, MachineEvents};
use rosemaryscale_ports::prelude::*;
use rosemaryscale_ports::worker::{WorkerCalls, WorkerEvents};
use slog::{Logger, info};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::MissedTickBehavior;

use super::batch::{Chain, LeadershipLost, WaveStateFormat};
use super::lease::{self, HeldLease, LEADER_GRACE_MS, LEADER_TTL_MS, RENEW_MS, Renewal};
use super::records::LeaderRecord;

/// Time between two rounds of what is due without an event.
const TICK: Duration = Duration::from_millis(20);
/// Time between two reports of the pools' use.
const REPORT_MS: u64 = 1_000;
/// Results of orders that are applied before the scheduler decides anew.
const EVENTS_PER_ROUND: usize = 256;
/// Longest time that a stopping leader takes to write what it knows.
const LAST_BATCH: Duration = Duration::from_millis(600);

/// Both ends of the machine port, and the task behind them.
type MachinePort = (MachineCalls, MachineEvents, JoinHandle<()>);

/// Both ends of the advice port, and the task behind them.
type AdvicePort = (AdviceCalls, AdviceEvents, JoinHandle<()>);

/// How the platform writes what the leader reads, and its clients.
#[derive(Clone, Copy)]
pub(super) struct PlatformFormats {
    /// Prefix of the entries of workers.
    pub(super) worker_prefix: &'static str,
    /// Reads the entry of a worker.
    pub(super) read_worker: fn(&str, &[u8]) -> Result<WorkerReport, Arc<str>>,
    /// Prefix of the operators' waves.
    pub(super) wave_prefix: &'static str,
    /// Reads a wave.
    pub(super) read_wave: fn(&[u8]) -> Result<WaveRequest, Arc<str>>,
    /// Key and value of the state of a wave.
    pub(super) wave_state: WaveStateFormat,
    /// Starts the links to workers.
    pub(super) start_links: fn() -> (WorkerCalls, WorkerEvents, JoinHandle<()>),
    /// Starts the client of the list of instances.
    pub(super) start_machines: fn(SocketAddr, Arc<str>) -> MachinePort,
    /// Starts the client of the advisor.
    pub(super) start_advisor: fn(SocketAddr, Logger) -> AdvicePort,
}

/// What the leader is given.
#[derive(Clone)]
pub(super) struct LeaderOptions {
    pub(super) kv: KeyValue,
    pub(super) clock: ClockHandle,
    pub(super) config: QueueConfigWatch,
    pub(super) own: LeaderRecord,
    pub(super) run_lease_ms: u64,
    pub(super) poll_wait_ms: u64,
    pub(super) stop_grace_ms: u64,
    pub(super) status_kept_ms: u64,
    pub(super) platform: PlatformFormats,
    pub(super) machines_address: SocketAddr,
    /// The advisor, if the settings name one.
    pub(super) advisor_address: Option<SocketAddr>,
    pub(super) metrics: Metrics,
    pub(super) log: Logger,
}

/// Why a leader ended.
#[derive(Debug)]
pub(super) enum LeaderEnd {
    /// The daemon stops.
    Stopped,
    /// Another daemon may hold the key.
    Lost(&'static str),
}

/// What the leader receives.
struct Inputs {
    jobs: mpsc::Receiver<WatchEvent>,
    workers: mpsc::Receiver<WatchEvent>,
    waves: mpsc::Receiver<WatchEvent>,
    worker_events: WorkerEvents,
    machine_events: MachineEvents,
    advice_events: AdviceEvents,
}

/// Ends of the ports that the leader calls.
struct Calls {
    links: WorkerCalls,
    machines: MachineCalls,
    advisor: Option<AdviceCalls>,
}

/// What ran beside the scheduler.
enum Background {
    Renewed(Renewal),
    Written(Result<Chain, LeadershipLost>, Option<Batch>),
}

/// The leader.
pub(super) struct Leader {
    options: LeaderOptions,
    held: HeldLease,
    scheduler: Scheduler,
    chain: Option<Chain>,
    calls: Calls,
    background: JoinSet<Background>,
    renewing: bool,
    next_renewal: Millis,
    next_report: Millis,
}

impl Leader {
    async fn run(mut self, mut inputs: Inputs, mut stop: watch::Receiver<bool>) -> LeaderEnd {
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut config = self.options.config.clone();
        let end = loop {
            tokio::select! {
                event = inputs.jobs.recv() => match event {
                    Some(event) => {
                        if let Err(reason) = self.apply_jobs(event) {
                            break LeaderEnd::Lost(reason);
                        }
                    }
                    None => break LeaderEnd::Stopped,
                },
                event = inputs.workers.recv() => match event {
                    Some(event) => self.apply_workers(event),
                    None => break LeaderEnd::Stopped,
                },
                event = inputs.waves.recv() => match event {
                    Some(event) => self.apply_waves(event),
                    None => break LeaderEnd::Stopped,
                },
                Some(event) = inputs.machine_events.recv() => self.apply_machine_event(event),
                Some(result) = inputs.advice_events.recv() => self.apply_advice(result),
                Some(event) = inputs.worker_events.recv() => {
                    self.apply_worker_event(event);
                    for _ in 0..EVENTS_PER_ROUND {
                        let Ok(event) = inputs.worker_events.try_recv() else { break };
                        self.apply_worker_event(event);
                    }
                }
                Ok(()) = config.changed() => {
                    let newest = Arc::clone(&config.borrow_and_update());
                    configure(&mut self.scheduler, &newest);
                }
                Some(ended) = self.background.join_next() => {
                    if let Ok(ended) = ended
                        && let Err(reason) = self.apply_background(ended)
                    {
                        break LeaderEnd::Lost(reason);
                    }
                }
                _ = tick.tick() => {}
                _ = stop.wait_for(|stop| *stop) => break LeaderEnd::Stopped,
            }
            if let Err(reason) = self.round().await {
                break LeaderEnd::Lost(reason);
            }
        };
        if let LeaderEnd::Stopped = end {
            self.write_last().await;
        }
        self.background.shutdown().await;
        end
    }

    /// Does what is due after an event.
    async fn round(&mut self) -> Result<(), &'static str> {
        let (now, wall) = (self.options.clock.now(), self.options.clock.wall());
        if now.ms_since(self.held.proved_at) > LEADER_GRACE_MS {
            return Err("the lease was not renewed in time");
        }
        if self.scheduler.is_fenced() {
            return Err("a worker has seen a higher fence number");
        }
        let unconfirmed = now.ms_since(self.held.proved_at) > LEADER_TTL_MS;
        self.scheduler.set_leadership_unconfirmed(unconfirmed);
        if now >= self.next_report {
            self.next_report = now.after_ms(REPORT_MS);
            self.report();
        }
        let recovering = self.scheduler.is_recovering();
        let actions = self.scheduler.advance(now, wall);
        self.log_events();
        if recovering && !self.scheduler.is_recovering() {
            info!(self.options.log, "recovery ended");
        }
        for action in actions {
            self.send(action).await?;
        }
        self.write_batch(now);
        if !self.renewing && now >= self.next_renewal {
            self.renewing = true;
            self.next_renewal = now.after_ms(RENEW_MS);
            let renewal = lease::renew(
                self.options.kv.clone(),
                Arc::clone(&self.options.clock),
                self.held.lease,
            );
            self.background
                .spawn(async { Background::Renewed(renewal.await) });
        }
        Ok(())
    }

    fn write_batch(&mut self, now: Millis) {
        if self.chain.is_none() {
            return;
        }
        let Some(batch) = self.scheduler.take_batch(now) else {
            return;
        };
        let Some(chain) = self.chain.take() else {
            return;
        };
        for job in batch.jobs.iter().filter(|job| job.state.is_some()) {
            info!(self.options.log, "job state"; "job" => &*job.id, "state" => ?job.progress.state);
        }
        let kv = self.options.kv.clone();
        let wave_state = self.options.platform.wave_state;
        self.background.spawn(async move {
            let chain = chain.write(&kv, &batch, wave_state).await;
            Background::Written(chain, Some(batch))
        });
    }

    /// Writes what is known before the daemon stops.
    async fn write_last(&mut self) {
        self.scheduler.release(self.options.clock.now());
        let last = async {
            while self.chain.is_none() {
                let Some(Ok(ended)) = self.background.join_next().await else {
                    return;
                };
                if self.apply_background(ended).is_err() {
                    return;
                }
            }
            if let (Some(batch), Some(chain)) =
                (self.scheduler.take_batch(Millis::MAX), self.chain.take())
            {
                let _ = chain
                    .write(&self.options.kv, &batch, self.options.platform.wave_state)
                    .await;
            }
        };
        let _ = tokio::time::timeout(LAST_BATCH, last).await;
    }

    fn apply_background(&mut self, ended: Background) -> Result<(), &'static str> {
        match ended {
            Background::Renewed(renewal) => {
                self.renewing = false;
                match renewal {
                    Renewal::Proved(at) => self.held.proved_at = self.held.proved_at.max(at),
                    Renewal::Lost => return Err("the lease has ended"),
                    Renewal::Unanswered => {}
                }
            }
            Background::Written(Err(LeadershipLost), _) => {
                return Err("another daemon holds the key");
            }
            Background::Written(Ok(chain), batch) => {
                let now = self.options.clock.now();
                let wall = self.options.clock.wall();
                if let Some(batch) = batch {
                    self.scheduler.batch_written(&batch, now);
                }
                self.forget_expired(chain, wall);
            }
        }
        Ok(())
    }

    fn forget_expired(&mut self, chain: Chain, wall: Millis) {
        const JOBS_FORGOTTEN_MAX: usize = 70;
        let kept_ms = self.options.status_kept_ms;
        let expired = self
            .scheduler
            .take_expired(wall, kept_ms, JOBS_FORGOTTEN_MAX);
        if expired.is_empty() {
            self.chain = Some(chain);
            return;
        }
        let kv = self.options.kv.clone();
        self.background.spawn(async move {
            let chain = chain.forget(&kv, &expired).await;
            Background::Written(chain, None)
        });
    }
}

fn configure(scheduler: &mut Scheduler, config: &QueueConfig) {
    scheduler.configure(&config.policies);
    scheduler.set_spare_services(&config.spare_services);
}

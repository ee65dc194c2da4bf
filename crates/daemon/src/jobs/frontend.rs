//! The callers' frontend: accepts jobs, reports their states, and cancels them.

mod calls;
mod inputs;
mod refusal;
mod store_calls;
mod view;

use std::sync::Arc;

use rosemaryscale_domain::config_source::{Confirmation, RevocationBound};
use rosemaryscale_domain::job::JobState;
use rosemaryscale_domain::schedule::pressure::Pressure;
use rosemaryscale_ports::clock::ClockHandle;
use rosemaryscale_ports::job::{JobCall, JobReply, QueueConfig, QueueConfigWatch};
use rosemaryscale_ports::kv::{KeyValue, WatchEvent};
use rosemaryscale_ports::prelude::*;
use slog::{Logger, info, warn};
use tokio::sync::watch;
use tokio::task::JoinSet;

use self::inputs::DecisionInputs;
use self::store_calls::StoreCalls;
use super::config_sync::PeerAddresses;
use super::records::{LeaderRecord, StateRecord};

/// Margin before the caller's deadline within which it is answered.
const REPLY_MARGIN_MS: u64 = 400;
/// Shortest `Retry-After`: the time in which the load balancer takes this daemon out of rotation.
const MIN_RETRY_AFTER_MS: u64 = 1_000;
/// Longest `Retry-After`. Callers make five attempts, and outages of the store last 4 to 9 s.
const MAX_RETRY_AFTER_MS: u64 = 3_000;
/// The view counts as current if the store answered within this time.
const VIEW_MAX_AGE_MS: u64 = 2_500;

/// Age after which a published pressure is ignored; it is written every 300 ms while there is any.
const PRESSURE_MAX_AGE_MS: u64 = 1_200;

/// Who holds the scheduler key, according to the watched view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LeaderStatus {
    /// Not known, since the store does not answer.
    Unknown,
    /// No daemon holds the key.
    None,
    /// A daemon has held the key since this revision.
    Held(u64),
    /// An earlier process of this daemon, which has ended, still holds the key under this lease.
    FormerProcess(u64),
}

/// Dependencies and channels of the frontend.
pub(super) struct JobFrontendOptions {
    pub(super) kv: KeyValue,
    pub(super) clock: ClockHandle,
    pub(super) config: QueueConfigWatch,
    /// How current the configuration is.
    pub(super) confirmation: watch::Receiver<Confirmation>,
    /// Bound on the time for which keys are honoured without a confirmation.
    pub(super) revocation: RevocationBound,
    /// Receives the daemons that can be asked for the configuration.
    pub(super) peers: watch::Sender<PeerAddresses>,
    /// Record that identifies this process when it becomes the leader.
    pub(super) identity: LeaderRecord,
    /// Whether an advisor is configured.
    pub(super) has_advisor: bool,
    pub(super) view: mpsc::Receiver<WatchEvent>,
    pub(super) calls: mpsc::Receiver<JobCall>,
    pub(super) leader: watch::Sender<LeaderStatus>,
    pub(super) ready: watch::Sender<Result<(), Arc<str>>>,
    pub(super) stopping: watch::Receiver<bool>,
    pub(super) metrics: Metrics,
    pub(super) log: Logger,
}

/// Result of a call to the store: a job state to add to the view.
struct StoreCallResult {
    state: Option<(Arc<str>, StateRecord)>,
}

/// Task that serves callers from a view of all job states.
pub(super) struct JobFrontend {
    options: JobFrontendOptions,
    states: FastMap<Arc<str>, StateRecord>,
    /// Where daemons answer questions about the configuration, by name.
    peers: PeerAddresses,
    /// Whether the configuration was confirmed within the bound at the last check.
    was_confirmed: bool,
    last_answer_at: Option<Millis>,
    /// Revision of the store up to which the view is complete.
    view_revision: u64,
    /// Whether the most recent read of the store was answered; no write is attempted otherwise.
    store_reachable: watch::Sender<bool>,
    /// Time since which reads of the store have failed.
    unreachable_since: Option<Millis>,
    /// Pressure that the leader has published, and when it was received.
    pressure: Option<(Pressure, Millis)>,
    calls: JoinSet<StoreCallResult>,
}

impl JobFrontend {
    pub(super) fn new(options: JobFrontendOptions) -> Self {
        Self {
            options,
            states: FastMap::default(),
            peers: PeerAddresses::default(),
            was_confirmed: true,
            last_answer_at: None,
            view_revision: 0,
            store_reachable: watch::Sender::new(false),
            unreachable_since: None,
            pressure: None,
            calls: JoinSet::new(),
        }
    }

    /// Serves until the callers' server stops, then waits for the calls in flight.
    pub(super) async fn run(mut self) {
        let mut check = tokio::time::interval(std::time::Duration::from_millis(500));
        loop {
            tokio::select! {
                call = self.options.calls.recv() => match call {
                    Some(call) => self.handle_call(call),
                    None => break,
                },
                event = self.options.view.recv() => match event {
                    Some(event) => self.apply(event),
                    None => break,
                },
                Some(Ok(result)) = self.calls.join_next() => self.apply_store_result(result),
                _ = check.tick() => {
                    self.update_readiness();
                    self.check_confirmation();
                }
            }
        }
        while self.calls.join_next().await.is_some() {}
    }

    fn apply_store_result(&mut self, result: StoreCallResult) {
        if let Some((id, record)) = result.state {
            // A state that the watch has delivered in the meantime is newer and is kept.
            self.states.entry(id).or_insert(record);
        }
    }

    /// The published pressure and its age, unless it is too old to be taken into account.
    fn current_pressure(&self) -> Option<(&Pressure, u64)> {
        let (pressure, received_at) = self.pressure.as_ref()?;
        let age_ms = self.options.clock.now().ms_since(*received_at);
        (age_ms <= PRESSURE_MAX_AGE_MS).then_some((pressure, age_ms))
    }

    /// Inputs of a decision that does not depend on the pressure.
    fn inputs(&self, config: &QueueConfig) -> DecisionInputs {
        let now = self.options.clock.now();
        DecisionInputs {
            config_version: config.version,
            config_age_ms: self.config_age_ms(config, now),
            view_revision: self.view_revision,
            view_age_ms: self.last_answer_at.map(|at| now.ms_since(at)),
            pressure_age_ms: None,
        }
    }

    /// Time since the configuration was confirmed, if it has keys that may be withdrawn.
    fn config_age_ms(&self, config: &QueueConfig, now: Millis) -> Option<u64> {
        let confirmed_at = self.options.confirmation.borrow().confirmed_at?;
        let has_keys = config.workspaces.is_enabled();
        has_keys.then(|| now.ms_since(confirmed_at))
    }

    fn update_readiness(&mut self) {
        let reason = self.unready_reason();
        let was_ready = self.options.ready.borrow().is_ok();
        match reason {
            None if !was_ready => {
                info!(self.options.log, "ready");
                let _ = self.options.ready.send_replace(Ok(()));
            }
            Some(reason) if was_ready => {
                warn!(self.options.log, "not ready"; "reason" => reason);
                let _ = self.options.ready.send_replace(Err(reason.into()));
            }
            _ => {}
        }
    }

    fn unready_reason(&self) -> Option<&'static str> {
        if *self.options.stopping.borrow() {
            return Some("the daemon is stopping");
        }
        if self.options.config.borrow().version == 0 {
            return Some("no configuration has been received");
        }
        (!self.is_view_current()).then_some("the platform's store is not reachable")
    }

    /// Logs when the configuration is no longer confirmed within the bound, and when it is again.
    fn check_confirmation(&mut self) {
        let config = self.options.config.borrow();
        if config.version == 0 || !config.workspaces.is_enabled() {
            return;
        }
        let now = self.options.clock.now();
        let confirmation = *self.options.confirmation.borrow();
        let age_ms = confirmation.confirmed_at.map(|at| now.ms_since(at));
        if let Some(age_ms) = age_ms {
            self.options.metrics.gauge("config.age_ms", age_ms);
        }
        let log = &self.options.log;
        let is_confirmed = !self.options.revocation.is_exceeded(confirmation, now);
        if self.was_confirmed && !is_confirmed {
            let consequence = if self.options.revocation.is_strict {
                "calls that need a key are refused"
            } else {
                "the last known keys are honoured"
            };
            warn!(log, "configuration not confirmed"; "version" => config.version,
                "age_ms" => age_ms, "consequence" => consequence);
        } else if !self.was_confirmed && is_confirmed {
            info!(log, "configuration confirmed again"; "version" => config.version,
                "age_ms" => age_ms);
        }
        self.was_confirmed = is_confirmed;
    }

    fn is_view_current(&self) -> bool {
        let now = self.options.clock.now();
        self.last_answer_at
            .is_some_and(|at| now.ms_since(at) < VIEW_MAX_AGE_MS)
    }

    fn store_calls(&self, deadline_ms: u64) -> StoreCalls {
        let wait_ms = deadline_ms.saturating_sub(REPLY_MARGIN_MS);
        StoreCalls {
            kv: self.options.kv.clone(),
            clock: Arc::clone(&self.options.clock),
            deadline: self.options.clock.now().after_ms(wait_ms),
            store_reachable: self.store_reachable.subscribe(),
        }
    }

    /// Refusal while the store is unreachable. `Retry-After` grows with the length of the outage, so that
    /// callers' attempts outlast a long one and a short one delays them little.
    fn refuse_unreachable(&self) -> JobReply {
        let now = self.options.clock.now();
        let outage_ms = self
            .unreachable_since
            .map_or(0, |since| now.ms_since(since));
        JobReply::Unavailable {
            reason: "the platform's store is not reachable".into(),
            retry_after_ms: outage_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS),
        }
    }

    fn queued_count(&self, queue: &str) -> u64 {
        let is_queued =
            |record: &&StateRecord| record.state == JobState::Queued && &*record.queue == queue;
        self.states.values().filter(is_queued).count() as u64
    }
}

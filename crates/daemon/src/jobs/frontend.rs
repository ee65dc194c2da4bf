//! The callers' frontend: accepts jobs, reports their states, and cancels them.

mod inputs;
mod refusal;
mod store_calls;

use std::sync::Arc;

use rosemaryscale_domain::job::JobState;
use rosemaryscale_domain::route;
use rosemaryscale_domain::schedule::pressure::Pressure;
use rosemaryscale_domain::workspace::{Access, Caller, Workspace};
use rosemaryscale_ports::clock::ClockHandle;
use rosemaryscale_ports::job::{JobCall, JobReply, JobRequest, QueueConfig, QueueConfigWatch};
use rosemaryscale_ports::kv::{KeyValue, KvEntry, Update, WatchEvent};
use rosemaryscale_ports::prelude::*;
use slog::{Logger, info, warn};
use tokio::sync::watch;
use tokio::task::JoinSet;

use self::inputs::DecisionInputs;
use self::refusal::{PressureRefusal, refuse_above_quota, refuse_hopeless, unavailable};
use self::store_calls::{StoreCalls, Submission};
use super::records::{self, LEADER_KEY, LeaderRecord, PRESSURE_KEY, StateRecord};

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

/// Maximum number of characters of a refused request's job id that the log repeats; any text may stand in
/// the place of an id.
const MAX_LOGGED_ID_CHARS: usize = 32;

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
                _ = check.tick() => self.update_readiness(),
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

    fn apply(&mut self, event: WatchEvent) {
        match event {
            WatchEvent::Snapshot { revision, entries } => {
                self.view_revision = revision;
                self.states.clear();
                let mut leader = LeaderStatus::None;
                // A pressure in a listing may have been left by a former leader.
                let current = entries
                    .into_iter()
                    .filter(|entry| &*entry.key != PRESSURE_KEY);
                for entry in current {
                    self.apply_entry(entry, &mut leader);
                }
                self.options.leader.send_replace(leader);
                self.mark_store_reachable();
            }
            WatchEvent::Changed { revision, updates } => {
                self.view_revision = revision;
                let before = *self.options.leader.borrow();
                let mut leader = if before == LeaderStatus::Unknown {
                    LeaderStatus::None
                } else {
                    before
                };
                for update in updates {
                    match update {
                        Update::Put(entry) => self.apply_entry(entry, &mut leader),
                        Update::Deleted(key) if &*key == LEADER_KEY => leader = LeaderStatus::None,
                        Update::Deleted(key) => {
                            if let Some(id) = records::state_id(&key) {
                                self.states.remove(id);
                            }
                        }
                    }
                }
                if leader != before {
                    self.options.leader.send_replace(leader);
                }
                self.mark_store_reachable();
            }
            WatchEvent::Disconnected { reason } => {
                self.store_reachable.send_replace(false);
                let now = self.options.clock.now();
                self.unreachable_since = self.unreachable_since.or(Some(now));
                if *self.options.leader.borrow() != LeaderStatus::Unknown {
                    warn!(self.options.log, "the store is not heard"; "reason" => reason);
                }
                self.options.leader.send_replace(LeaderStatus::Unknown);
            }
        }
    }

    fn mark_store_reachable(&mut self) {
        self.last_answer_at = Some(self.options.clock.now());
        self.store_reachable.send_replace(true);
        self.unreachable_since = None;
        self.update_readiness();
    }

    fn apply_entry(&mut self, entry: KvEntry, leader: &mut LeaderStatus) {
        if &*entry.key == LEADER_KEY {
            *leader = self.leader_status(&entry);
            return;
        }
        if &*entry.key == PRESSURE_KEY {
            self.apply_pressure(&entry);
            return;
        }
        let Some(id) = records::state_id(&entry.key) else {
            return;
        };
        match records::decode::<StateRecord>(&entry.value) {
            Ok(record) => {
                self.states.insert(id.into(), record);
            }
            Err(error) => {
                warn!(self.options.log, "state skipped"; "job" => id, "reason" => %error);
            }
        }
    }

    fn apply_pressure(&mut self, entry: &KvEntry) {
        match records::decode::<Pressure>(&entry.value) {
            Ok(pressure) => self.pressure = Some((pressure, self.options.clock.now())),
            Err(error) => {
                warn!(self.options.log, "pressure skipped"; "reason" => %error);
            }
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
            view_revision: self.view_revision,
            view_age_ms: self.last_answer_at.map(|at| now.ms_since(at)),
            pressure_age_ms: None,
        }
    }

    fn leader_status(&self, entry: &KvEntry) -> LeaderStatus {
        let identity = &self.options.identity;
        match records::decode::<LeaderRecord>(&entry.value) {
            Ok(record)
                if record.daemon == identity.daemon
                    && record.incarnation != identity.incarnation =>
            {
                LeaderStatus::FormerProcess(entry.lease)
            }
            _ => LeaderStatus::Held(entry.mod_revision),
        }
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

    fn is_view_current(&self) -> bool {
        let now = self.options.clock.now();
        self.last_answer_at
            .is_some_and(|at| now.ms_since(at) < VIEW_MAX_AGE_MS)
    }

    fn handle_call(&mut self, call: JobCall) {
        let config = Arc::clone(&self.options.config.borrow());
        let inputs = self.inputs(&config);
        if config.version == 0 {
            let reply = unavailable("no configuration has been received");
            self.refuse(call, reply, inputs);
            return;
        }
        let Some((route_match, rest)) = route::find(&config.routes, &call.host, &call.path) else {
            self.refuse(call, JobReply::NoSuchQueue, inputs);
            return;
        };
        let queue = Arc::clone(&route_match.queue);
        let access = config
            .workspaces
            .access(route_match.is_public, call.api_key);
        if access == Access::Denied {
            self.options.metrics.count("calls.unauthorized", 1);
            self.refuse(call, JobReply::Unauthorized, inputs);
            return;
        }
        let (caller, workspace) = caller_of(&config, access, &queue);
        if rest.is_empty() && matches!(call.request, JobRequest::Read) {
            let _ = call
                .reply
                .send(JobReply::Waiting(self.queued_count(&queue)));
            return;
        }
        if !route::is_job_id(rest) {
            let reason = "the path must end with a job id of 16 hexadecimal digits";
            self.refuse(call, JobReply::Malformed(reason.into()), inputs);
            return;
        }
        let id: Arc<str> = rest.into();
        let known = self.states.get(&id);
        let is_open = known.is_none_or(|record| record.is_open_to(&caller));
        let known_state = known.map(|record| record.state);
        match (call.request, known_state) {
            (JobRequest::Submit(Ok(_)), Some(_)) if !is_open => {
                let reply = JobReply::IdTaken;
                info!(self.options.log, "submit"; "job" => &*id, "queue" => &*queue,
                    "outcome" => %reply, inputs);
                let _ = call.reply.send(reply);
            }
            (JobRequest::Read | JobRequest::Cancel, Some(_)) if !is_open => {
                let _ = call.reply.send(JobReply::NoSuchJob);
            }
            (JobRequest::Submit(Ok(_)), Some(_)) => {
                let _ = call.reply.send(JobReply::Accepted);
            }
            (JobRequest::Submit(Ok(_)), None)
                if !self.options.has_advisor && is_advised(&config, &queue) =>
            {
                let reply = unavailable(
                    "the queue requires an advisor and none is configured; set advisor_address",
                );
                info!(self.options.log, "submit"; "job" => &*id, "queue" => &*queue,
                    "outcome" => %reply, inputs);
                let _ = call.reply.send(reply);
            }
            (JobRequest::Submit(Ok(_)), None) if !*self.store_reachable.borrow() => {
                let reply = self.refuse_unreachable();
                info!(self.options.log, "submit"; "job" => &*id, "queue" => &*queue,
                    "outcome" => %reply, inputs);
                self.options.metrics.count(submit_metric(&reply), 1);
                let _ = call.reply.send(reply);
            }
            (JobRequest::Submit(Ok(spec)), None) => {
                let store = self.store_calls(call.deadline_ms);
                match Submission::new(&store.clock, &config, id, queue, workspace, spec) {
                    Some(job) => {
                        if let Some(reply) = refuse_above_quota(&job.record) {
                            if let Some(workspace) = job.record.workspace_name() {
                                let metrics = &self.options.metrics;
                                metrics.count_of("submit.refused_quota", workspace, 1);
                            }
                            info!(self.options.log, "submit"; "job" => &*job.id,
                                "queue" => &*job.record.queue, "outcome" => %reply, inputs);
                            self.options.metrics.count(submit_metric(&reply), 1);
                            let _ = call.reply.send(reply);
                            return;
                        }
                        let pressure = self.current_pressure();
                        let refusal =
                            pressure.and_then(|(pressure, _)| refuse_hopeless(pressure, &job));
                        let inputs = DecisionInputs {
                            pressure_age_ms: pressure.map(|(_, age_ms)| age_ms),
                            ..inputs
                        };
                        self.spawn(call.reply, store, (job, caller), refusal, inputs);
                    }
                    None => {
                        let reply = JobReply::NoSuchQueue;
                        info!(self.options.log, "submit"; "outcome" => %reply, inputs);
                        let _ = call.reply.send(reply);
                    }
                }
            }
            (JobRequest::Submit(Err(reason)), _) => {
                let reply = JobReply::Malformed(reason);
                info!(self.options.log, "submit"; "job" => &*id, "queue" => &*queue,
                    "outcome" => %reply, inputs);
                let _ = call.reply.send(reply);
            }
            (JobRequest::Read, Some(state)) => {
                let _ = call.reply.send(JobReply::State(state));
            }
            (JobRequest::Read, None) => {
                let store = self.store_calls(call.deadline_ms);
                self.calls.spawn(async move {
                    let (reply, state) = store.read(id, &caller).await;
                    let _ = call.reply.send(reply);
                    StoreCallResult { state }
                });
            }
            (JobRequest::Cancel, Some(state)) if state.is_final() => {
                let reply = JobReply::Cancelled;
                info!(self.options.log, "cancel"; "job" => &*id, "outcome" => %reply,
                    "state" => %state, inputs);
                let _ = call.reply.send(reply);
            }
            (JobRequest::Cancel, known_state) => {
                let store = self.store_calls(call.deadline_ms);
                let log = self.options.log.clone();
                self.calls.spawn(async move {
                    let reply = store.cancel(&id, &caller, known_state.is_some()).await;
                    info!(log, "cancel"; "job" => &*id, "outcome" => %reply, inputs);
                    let _ = call.reply.send(reply);
                    StoreCallResult { state: None }
                });
            }
            (JobRequest::Other, _) => {
                let _ = call
                    .reply
                    .send(JobReply::Malformed("use POST, GET or DELETE".into()));
            }
        }
    }

    /// Refuses a request whose job or queue is not known. Only refused submissions and cancellations are
    /// logged: callers read states much more often.
    fn refuse(&self, call: JobCall, reply: JobReply, inputs: DecisionInputs) {
        let line = match call.request {
            JobRequest::Submit(_) => Some("submit"),
            JobRequest::Cancel => Some("cancel"),
            JobRequest::Read | JobRequest::Other => None,
        };
        if let Some(line) = line {
            let id = call.path.rsplit('/').next().unwrap_or_default();
            let id: String = id.chars().take(MAX_LOGGED_ID_CHARS).collect();
            info!(self.options.log, "{line}"; "job" => id, "outcome" => %reply, inputs);
        }
        let _ = call.reply.send(reply);
    }

    /// Stores a job, or refuses it unless an earlier attempt has stored it.
    fn spawn(
        &mut self,
        reply: oneshot::Sender<JobReply>,
        store: StoreCalls,
        (job, caller): (Submission, Caller),
        refusal: Option<PressureRefusal>,
        inputs: DecisionInputs,
    ) {
        let log = self.options.log.clone();
        let metrics = Arc::clone(&self.options.metrics);
        self.calls.spawn(async move {
            let started_at = store.clock.now();
            let outcome = match refusal {
                Some(refusal) if store.is_absent(&job.id).await => {
                    if let Some(workspace) = job.record.workspace_name() {
                        metrics.count_of(refusal.metric, workspace, 1);
                    }
                    refusal.reply
                }
                _ => store.submit(&job, &caller).await,
            };
            metrics.time_ms("submit.ms", store.clock.now().ms_since(started_at));
            metrics.count(submit_metric(&outcome), 1);
            info!(log, "submit"; "job" => &*job.id, "queue" => &*job.record.queue,
                "outcome" => %outcome, inputs);
            let accepted = outcome == JobReply::Accepted;
            let _ = reply.send(outcome);
            let state = StateRecord::of_job(&job.record, JobState::Queued);
            StoreCallResult {
                state: accepted.then_some((job.id, state)),
            }
        });
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

/// The caller of a call, and the workspace that a job submitted by it belongs to.
fn caller_of(
    config: &QueueConfig,
    access: Access,
    queue: &Arc<str>,
) -> (Caller, Option<Workspace>) {
    let workspace = match access {
        Access::Workspace(key) => config.workspaces.get(key).cloned(),
        Access::Public | Access::Denied => None,
    };
    let is_public = config.workspaces.is_enabled() && workspace.is_none();
    let caller = Caller {
        workspace: workspace
            .as_ref()
            .map(|workspace| Arc::clone(&workspace.name)),
        public_queue: is_public.then(|| Arc::clone(queue)),
    };
    (caller, workspace)
}

/// Whether workers refuse the queue's tasks without a ticket of the advisor.
fn is_advised(config: &QueueConfig, queue: &str) -> bool {
    config
        .policies
        .get(queue)
        .is_some_and(|policy| policy.advice.is_some())
}

fn submit_metric(outcome: &JobReply) -> &'static str {
    match outcome {
        JobReply::Accepted => "submit.accepted",
        JobReply::OutcomeUnknown => "submit.outcome_unknown",
        _ => "submit.refused",
    }
}

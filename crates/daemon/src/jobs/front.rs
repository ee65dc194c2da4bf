//! The front: accepts jobs, says what state they are in, and cancels them.

mod store_calls;

use std::sync::Arc;

use rosemaryscale_domain::job::JobState;
use rosemaryscale_domain::route;
use rosemaryscale_ports::clock::ClockHandle;
use rosemaryscale_ports::job::{FrontCall, FrontReply, JobRequest, QueueConfig, QueueConfigWatch};
use rosemaryscale_ports::kv::{KeyValue, KvEntry, Update, WatchEvent};
use rosemaryscale_ports::prelude::*;
use slog::{Logger, info, warn};
use tokio::sync::watch;
use tokio::task::JoinSet;

use self::store_calls::{StoreCalls, Submission};
use super::records::{self, LEADER_KEY, LeaderRecord, StateRecord};

/// The caller gets an answer this long before it stops to wait.
const REPLY_MARGIN_MS: u64 = 400;
/// When a refused caller may come back, at the earliest: the time after which the load balancer leaves
/// this daemon.
const RETRY_AFTER_MS: u64 = 1_000;
/// When a refused caller may come back, at the latest. Callers try five times, and outages of the store
/// last 4 to 9 s.
const RETRY_AFTER_MAX_MS: u64 = 3_000;
/// The view is up to date if the store answered within this time.
const VIEW_FRESH_MS: u64 = 2_500;

/// Whether a daemon schedules, as the view shows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LeaderSeen {
    /// Nothing is known, since the store does not answer.
    Unknown,
    /// Nobody does.
    None,
    /// A daemon does, since this revision.
    Held(u64),
    /// An earlier process of this daemon did, which has ended: its lease.
    FormerProcess(u64),
}

/// What the front is given.
pub(super) struct FrontOptions {
    pub(super) kv: KeyValue,
    pub(super) clock: ClockHandle,
    pub(super) config: QueueConfigWatch,
    /// This process, as it is recorded when it schedules.
    pub(super) own: LeaderRecord,
    /// Whether the settings name an advisor.
    pub(super) has_advisor: bool,
    pub(super) view: mpsc::Receiver<WatchEvent>,
    pub(super) calls: mpsc::Receiver<FrontCall>,
    pub(super) leader: watch::Sender<LeaderSeen>,
    pub(super) ready: watch::Sender<Result<(), Arc<str>>>,
    pub(super) stopping: watch::Receiver<bool>,
    pub(super) metrics: Metrics,
    pub(super) log: Logger,
}

/// What a call to the store changed in the view.
struct Done {
    known: Option<(Arc<str>, StateRecord)>,
}

/// The task of the front.
pub(super) struct Front {
    options: FrontOptions,
    states: FastMap<Arc<str>, StateRecord>,
    answered_at: Option<Millis>,
    /// Whether the newest read of the store was answered. Writes are not tried while it is not.
    store_answers: watch::Sender<bool>,
    /// Since when reads of the store are not answered.
    unanswered_since: Option<Millis>,
    calls: JoinSet<Done>,
}

impl Front {
    pub(super) fn new(options: FrontOptions) -> Self {
        Self {
            options,
            states: FastMap::default(),
            answered_at: None,
            store_answers: watch::Sender::new(false),
            unanswered_since: None,
            calls: JoinSet::new(),
        }
    }

    /// Serves until the callers' server has ended.
    pub(super) async fn run(mut self) {
        let mut check = tokio::time::interval(std::time::Duration::from_millis(500));
        loop {
            tokio::select! {
                call = self.options.calls.recv() => match call {
                    Some(call) => self.answer(call),
                    None => break,
                },
                event = self.options.view.recv() => match event {
                    Some(event) => self.apply(event),
                    None => break,
                },
                Some(Ok(done)) = self.calls.join_next() => self.note(done),
                _ = check.tick() => self.check_ready(),
            }
        }
        while self.calls.join_next().await.is_some() {}
    }

    fn note(&mut self, done: Done) {
        if let Some((id, record)) = done.known {
            // The view may have moved on since.
            self.states.entry(id).or_insert(record);
        }
    }

    fn apply(&mut self, event: WatchEvent) {
        match event {
            WatchEvent::Snapshot { entries, .. } => {
                self.states.clear();
                let mut leader = LeaderSeen::None;
                for entry in entries {
                    self.apply_entry(entry, &mut leader);
                }
                self.options.leader.send_replace(leader);
                self.store_answered();
            }
            WatchEvent::Changed { updates, .. } => {
                let before = *self.options.leader.borrow();
                let mut leader = if before == LeaderSeen::Unknown {
                    LeaderSeen::None
                } else {
                    before
                };
                for update in updates {
                    match update {
                        Update::Put(entry) => self.apply_entry(entry, &mut leader),
                        Update::Deleted(key) if &*key == LEADER_KEY => leader = LeaderSeen::None,
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
                self.store_answered();
            }
            WatchEvent::Disconnected { reason } => {
                self.store_answers.send_replace(false);
                let now = self.options.clock.now();
                self.unanswered_since = self.unanswered_since.or(Some(now));
                if *self.options.leader.borrow() != LeaderSeen::Unknown {
                    warn!(self.options.log, "the store is not heard"; "reason" => reason);
                }
                self.options.leader.send_replace(LeaderSeen::Unknown);
            }
        }
    }

    fn store_answered(&mut self) {
        self.answered_at = Some(self.options.clock.now());
        self.store_answers.send_replace(true);
        self.unanswered_since = None;
        self.check_ready();
    }

    fn apply_entry(&mut self, entry: KvEntry, leader: &mut LeaderSeen) {
        if &*entry.key == LEADER_KEY {
            *leader = self.leader_seen(&entry);
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

    fn leader_seen(&self, entry: &KvEntry) -> LeaderSeen {
        let own = &self.options.own;
        match records::decode::<LeaderRecord>(&entry.value) {
            Ok(record) if record.daemon == own.daemon && record.incarnation != own.incarnation => {
                LeaderSeen::FormerProcess(entry.lease)
            }
            _ => LeaderSeen::Held(entry.mod_revision),
        }
    }

    fn check_ready(&mut self) {
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
            return Some("no configuration is known");
        }
        (!self.is_fresh()).then_some("the platform's store is not heard")
    }

    fn is_fresh(&self) -> bool {
        let now = self.options.clock.now();
        self.answered_at
            .is_some_and(|at| now.ms_since(at) < VIEW_FRESH_MS)
    }

    fn answer(&mut self, call: FrontCall) {
        let config = Arc::clone(&self.options.config.borrow());
        if config.version == 0 {
            let reply = unavailable("no configuration is known");
            let _ = call.reply.send(reply);
            return;
        }
        let Some((found, rest)) = route::find(&config.routes, &call.host, &call.path) else {
            let _ = call.reply.send(FrontReply::NoSuchQueue);
            return;
        };
        let queue = Arc::clone(&found.queue);
        if rest.is_empty() && matches!(call.request, JobRequest::Read) {
            let _ = call.reply.send(FrontReply::Waiting(self.waiting(&queue)));
            return;
        }
        if !route::is_job_id(rest) {
            let reason = "the path must end with a job's id of 16 hexadecimal digits";
            let _ = call.reply.send(FrontReply::Malformed(reason.into()));
            return;
        }
        let id: Arc<str> = rest.into();
        let known = self.states.get(&id).map(|record| record.state);
        match (call.request, known) {
            (JobRequest::Submit(Ok(_)), Some(_)) => {
                let _ = call.reply.send(FrontReply::Accepted);
            }
            (JobRequest::Submit(Ok(_)), None)
                if !self.options.has_advisor && is_advised(&config, &queue) =>
            {
                let reply = unavailable("the queue's tasks need tickets; set advisor_address");
                info!(self.options.log, "submit"; "job" => &*id, "queue" => &*queue,
                    "outcome" => ?reply);
                let _ = call.reply.send(reply);
            }
            (JobRequest::Submit(Ok(_)), None) if !*self.store_answers.borrow() => {
                let reply = self.refuse_unanswered();
                info!(self.options.log, "submit"; "job" => &*id, "queue" => &*queue,
                    "outcome" => ?reply);
                self.options.metrics.count(submit_counter(&reply), 1);
                let _ = call.reply.send(reply);
            }
            (JobRequest::Submit(Ok(spec)), None) => {
                let store = self.store(call.deadline_ms);
                match Submission::new(&store.clock, &config, id, queue, spec) {
                    Some(job) => self.spawn(call.reply, store, job),
                    None => {
                        let _ = call.reply.send(FrontReply::NoSuchQueue);
                    }
                }
            }
            (JobRequest::Submit(Err(reason)), _) => {
                let _ = call.reply.send(FrontReply::Malformed(reason));
            }
            (JobRequest::Read, Some(state)) => {
                let _ = call.reply.send(FrontReply::State(state));
            }
            (JobRequest::Read, None) => {
                let store = self.store(call.deadline_ms);
                self.calls.spawn(async move {
                    let (reply, known) = store.read(id).await;
                    let _ = call.reply.send(reply);
                    Done { known }
                });
            }
            (JobRequest::Cancel, Some(state)) if state.is_final() => {
                let _ = call.reply.send(FrontReply::Cancelled);
            }
            (JobRequest::Cancel, known) => {
                let store = self.store(call.deadline_ms);
                let log = self.options.log.clone();
                self.calls.spawn(async move {
                    let reply = store.cancel(&id, known.is_some()).await;
                    info!(log, "cancel"; "job" => &*id, "outcome" => ?reply);
                    let _ = call.reply.send(reply);
                    Done { known: None }
                });
            }
            (JobRequest::Other, _) => {
                let _ = call
                    .reply
                    .send(FrontReply::Malformed("use POST, GET or DELETE".into()));
            }
        }
    }

    fn spawn(&mut self, reply: oneshot::Sender<FrontReply>, store: StoreCalls, job: Submission) {
        let log = self.options.log.clone();
        let metrics = Arc::clone(&self.options.metrics);
        self.calls.spawn(async move {
            let began = store.clock.now();
            let outcome = store.submit(&job).await;
            metrics.time_ms("submit.ms", store.clock.now().ms_since(began));
            metrics.count(submit_counter(&outcome), 1);
            info!(log, "submit"; "job" => &*job.id, "queue" => &*job.record.queue, "outcome" => ?outcome);
            let accepted = outcome == FrontReply::Accepted;
            let _ = reply.send(outcome);
            let state = StateRecord {
                queue: Arc::clone(&job.record.queue),
                state: JobState::Queued,
            };
            Done {
                known: accepted.then_some((job.id, state)),
            }
        });
    }

    fn store(&self, deadline_ms: u64) -> StoreCalls {
        let wait_ms = deadline_ms.saturating_sub(REPLY_MARGIN_MS);
        StoreCalls {
            kv: self.options.kv.clone(),
            clock: Arc::clone(&self.options.clock),
            deadline: self.options.clock.now().after_ms(wait_ms),
            store_answers: self.store_answers.subscribe(),
        }
    }

    /// A refusal while the store is away. Callers wait as long as the outage has lasted, so that their
    /// attempts outlast it, and one that ends soon delays them little.
    fn refuse_unanswered(&self) -> FrontReply {
        let now = self.options.clock.now();
        let away_ms = self.unanswered_since.map_or(0, |since| now.ms_since(since));
        FrontReply::Unavailable {
            reason: "the platform's store is not heard".into(),
            retry_after_ms: away_ms.clamp(RETRY_AFTER_MS, RETRY_AFTER_MAX_MS),
        }
    }

    fn waiting(&self, queue: &str) -> u64 {
        let waits =
            |record: &&StateRecord| record.state == JobState::Queued && &*record.queue == queue;
        self.states.values().filter(waits).count() as u64
    }
}

/// Whether workers refuse the queue's tasks unless an advisor has given a ticket.
fn is_advised(config: &QueueConfig, queue: &str) -> bool {
    config
        .policies
        .get(queue)
        .is_some_and(|policy| policy.advice.is_some())
}

fn submit_counter(outcome: &FrontReply) -> &'static str {
    match outcome {
        FrontReply::Accepted => "submit.accepted",
        FrontReply::OutcomeUnknown => "submit.outcome_unknown",
        _ => "submit.refused",
    }
}

fn unavailable(reason: &str) -> FrontReply {
    FrontReply::Unavailable {
        reason: reason.into(),
        retry_after_ms: RETRY_AFTER_MS,
    }
}

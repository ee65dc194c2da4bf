//! Calls of callers: who may make them, and what they do.

use rosemaryscale_domain::config_source::KeyRefusal;
use rosemaryscale_domain::job::{JobRecord, JobSpec, JobState};
use rosemaryscale_domain::route;
use rosemaryscale_domain::workspace::{Access, Caller, Workspace};
use rosemaryscale_ports::job::{JobCall, JobReply, JobRequest, QueueConfig};
use rosemaryscale_ports::prelude::*;
use slog::info;

use super::inputs::DecisionInputs;
use super::refusal::{Refusal, refuse_above_quota, refuse_hopeless, unavailable, unconfirmed};
use super::store_calls::{StoreCalls, Submission};
use super::{JobFrontend, StoreCallResult};
use crate::jobs::records::StateRecord;

/// Maximum number of characters of a refused request's job id that the log repeats; any text may stand in
/// the place of an id.
const MAX_LOGGED_ID_CHARS: usize = 32;

/// What the route and the key of a call allow.
struct Permit<'p> {
    queue: Arc<str>,
    caller: Caller,
    workspace: Option<Workspace>,
    /// Path after the prefix of the route.
    rest: &'p str,
}

/// An allowed call about one job.
struct AllowedCall {
    config: Arc<QueueConfig>,
    id: Arc<str>,
    queue: Arc<str>,
    caller: Caller,
    workspace: Option<Workspace>,
    /// State of the job in the view.
    known: Option<KnownJob>,
    deadline_ms: u64,
    reply: oneshot::Sender<JobReply>,
    inputs: DecisionInputs,
}

/// A job in the view.
#[derive(Clone, Copy)]
struct KnownJob {
    state: JobState,
    /// Whether the caller may access it.
    is_open: bool,
}

impl JobFrontend {
    /// Answers a call, or starts the store calls that answer it.
    pub(super) fn handle_call(&mut self, call: JobCall) {
        let config = Arc::clone(&self.options.config.borrow());
        let inputs = self.inputs(&config);
        let permit = match self.permit(&config, &call) {
            Ok(permit) => permit,
            Err(reply) => return self.refuse(call, reply, inputs),
        };
        if permit.rest.is_empty() && matches!(call.request, JobRequest::Read) {
            let waiting = JobReply::Waiting(self.queued_count(&permit.queue));
            let _ = call.reply.send(waiting);
            return;
        }
        if !route::is_job_id(permit.rest) {
            let reason = "the path must end with a job id of 16 hexadecimal digits";
            return self.refuse(call, JobReply::Malformed(reason.into()), inputs);
        }
        let id: Arc<str> = permit.rest.into();
        let known = self.states.get(&id).map(|record| KnownJob {
            state: record.state,
            is_open: record.is_open_to(&permit.caller),
        });
        let allowed = AllowedCall {
            config,
            id,
            queue: permit.queue,
            caller: permit.caller,
            workspace: permit.workspace,
            known,
            deadline_ms: call.deadline_ms,
            reply: call.reply,
            inputs,
        };
        self.carry_out(call.request, allowed);
    }

    /// Whether the route and the key of a call allow it.
    fn permit<'p>(&self, config: &QueueConfig, call: &'p JobCall) -> Result<Permit<'p>, JobReply> {
        if config.version == 0 {
            return Err(unavailable("no configuration has been received"));
        }
        let (route, rest) =
            route::find(&config.routes, &call.host, &call.path).ok_or(JobReply::NoSuchQueue)?;
        let needs_key = config.workspaces.is_enabled() && !route.is_public;
        if needs_key && let Some(refusal) = self.key_refusal() {
            self.options.metrics.count("calls.unconfirmed", 1);
            return Err(unconfirmed(refusal));
        }
        let access = config.workspaces.access(route.is_public, call.api_key);
        if access == Access::Denied {
            self.options.metrics.count("calls.unauthorized", 1);
            return Err(JobReply::Unauthorized);
        }
        if matches!(call.request, JobRequest::SubmitUnread) {
            return Err(unavailable(
                "the configuration changed while the request was received",
            ));
        }
        let (caller, workspace) = caller_of(config, access, &route.queue);
        Ok(Permit {
            queue: Arc::clone(&route.queue),
            caller,
            workspace,
            rest,
        })
    }

    /// Why calls that need a key are refused, if they are: the key may have been withdrawn meanwhile.
    fn key_refusal(&self) -> Option<KeyRefusal> {
        let confirmation = *self.options.confirmation.borrow();
        let now = self.options.clock.now();
        self.options.revocation.refusal(confirmation, now)
    }

    fn carry_out(&mut self, request: JobRequest, call: AllowedCall) {
        match request {
            JobRequest::Submit(Ok(spec)) => self.submit(spec, call),
            JobRequest::Submit(Err(reason)) => {
                self.answer_submission(call, JobReply::Malformed(reason));
            }
            JobRequest::Read => self.read(call),
            JobRequest::Cancel => self.cancel(call),
            JobRequest::SubmitUnread | JobRequest::Other => {
                let reply = JobReply::Malformed("use POST, GET or DELETE".into());
                let _ = call.reply.send(reply);
            }
        }
    }

    fn submit(&mut self, spec: JobSpec, call: AllowedCall) {
        if let Some(known) = call.known {
            if known.is_open {
                let _ = call.reply.send(JobReply::Accepted);
            } else {
                self.answer_submission(call, JobReply::IdTaken);
            }
            return;
        }
        if !self.options.has_advisor && is_advised(&call.config, &call.queue) {
            let reply = unavailable(
                "the queue requires an advisor and none is configured; set advisor_address",
            );
            return self.answer_submission(call, reply);
        }
        if !*self.store_reachable.borrow() {
            let reply = self.refuse_unreachable();
            self.options.metrics.count(submit_metric(&reply), 1);
            return self.answer_submission(call, reply);
        }
        self.store_submission(spec, call);
    }

    /// Stores a job, or refuses it unless an earlier attempt has stored it.
    fn store_submission(&mut self, spec: JobSpec, call: AllowedCall) {
        let store = self.store_calls(call.deadline_ms);
        let Some(policy) = call.config.policies.get(&call.queue).cloned() else {
            return self.answer_submission(call, JobReply::NoSuchQueue);
        };
        let job = Submission {
            id: call.id,
            record: JobRecord {
                queue: call.queue,
                policy,
                received_wall_ms: store.clock.wall().as_ms(),
                workspace: call.workspace,
                spec,
            },
        };
        let pressure = self.current_pressure();
        let refusal = refuse_above_quota(&job.record)
            .or_else(|| pressure.and_then(|(pressure, _)| refuse_hopeless(pressure, &job)));
        let inputs = DecisionInputs {
            pressure_age_ms: pressure.map(|(_, age_ms)| age_ms),
            ..call.inputs
        };
        self.spawn_submission(call.reply, store, (job, call.caller), refusal, inputs);
    }

    fn spawn_submission(
        &mut self,
        reply: oneshot::Sender<JobReply>,
        store: StoreCalls,
        (job, caller): (Submission, Caller),
        refusal: Option<Refusal>,
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

    fn read(&mut self, call: AllowedCall) {
        match call.known {
            Some(known) if known.is_open => {
                let _ = call.reply.send(JobReply::State(known.state));
            }
            Some(_) => {
                let _ = call.reply.send(JobReply::NoSuchJob);
            }
            None => {
                let store = self.store_calls(call.deadline_ms);
                self.calls.spawn(async move {
                    let (reply, state) = store.read(call.id, &call.caller).await;
                    let _ = call.reply.send(reply);
                    StoreCallResult { state }
                });
            }
        }
    }

    fn cancel(&mut self, call: AllowedCall) {
        let log = self.options.log.clone();
        match call.known {
            Some(known) if !known.is_open => {
                let reply = JobReply::NoSuchJob;
                info!(log, "cancel"; "job" => &*call.id, "outcome" => %reply, call.inputs);
                let _ = call.reply.send(reply);
            }
            Some(known) if known.state.is_final() => {
                let reply = JobReply::Cancelled;
                info!(log, "cancel"; "job" => &*call.id, "outcome" => %reply,
                    "state" => %known.state, call.inputs);
                let _ = call.reply.send(reply);
            }
            known => {
                let store = self.store_calls(call.deadline_ms);
                self.calls.spawn(async move {
                    let reply = store.cancel(&call.id, &call.caller, known.is_some()).await;
                    info!(log, "cancel"; "job" => &*call.id, "outcome" => %reply, call.inputs);
                    let _ = call.reply.send(reply);
                    StoreCallResult { state: None }
                });
            }
        }
    }

    /// Answers a submission without a call to the store.
    fn answer_submission(&self, call: AllowedCall, reply: JobReply) {
        info!(self.options.log, "submit"; "job" => &*call.id, "queue" => &*call.queue,
            "outcome" => %reply, call.inputs);
        let _ = call.reply.send(reply);
    }

    /// Refuses a request whose job or queue is not known. Only refused submissions and cancellations are
    /// logged: callers read states much more often.
    fn refuse(&self, call: JobCall, reply: JobReply, inputs: DecisionInputs) {
        let line = match call.request {
            JobRequest::Submit(_) | JobRequest::SubmitUnread => Some("submit"),
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

//! The task that runs the dispatcher of one service. It keeps the request payloads and the upstream
//! links, and carries out the decisions of the domain's [`Dispatcher`].

use std::sync::Arc;
use std::time::Duration;

use rosemaryscale_domain::Dispatcher;
use rosemaryscale_domain::callers::Callers;
use rosemaryscale_domain::class_share::ClassPolicy;
use rosemaryscale_domain::dispatch::{DispatchAction, DispatchPolicy};
use rosemaryscale_domain::health::Observation;
use rosemaryscale_domain::request::{ClassIndex, FailureEvidence, Refusal, RequestInfo};
use rosemaryscale_ports::clock::ClockHandle;
use rosemaryscale_ports::dispatch::{DispatchMessage, InvalidRequest, Outcome, Submission};
use rosemaryscale_ports::instance::ServiceView;
use rosemaryscale_ports::link::{
    Exchange, ExchangeEnd, ExchangeResult, LinkMessage, OutboundRequest,
};
use rosemaryscale_ports::peer::RefusingInstance;
use rosemaryscale_ports::prelude::*;
use rosemaryscale_ports::slots::SlotSender;
use tokio::task::JoinSet;

use crate::reply::Reply;
use crate::slot_link::SlotLink;

mod instances;

use instances::Target;

const CHANNEL_CAPACITY: usize = 1_024;
/// Upper bound on the delay until the expired deadline of a queued request is noticed.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
const ATTEMPTS_MAX: u32 = 4;

/// Dependencies of a dispatcher task.
pub struct DispatcherOptions {
    /// Clock of the process.
    pub clock: ClockHandle,
    /// The event log.
    pub events: EventSink,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// The slot task.
    pub slots: SlotSender,
    /// Channel for the instances that refuse connections of this daemon, which are reported to its
    /// peers.
    pub refusals: mpsc::Sender<RefusingInstance>,
}

/// The parts of a request that the domain does not need.
struct Payload {
    caller: CallerKey,
    outbound: OutboundRequest,
    reply: Reply,
}

/// The dispatcher task of one service.
pub struct DispatcherTask {
    options: DispatcherOptions,
    view: Arc<ServiceView>,
    messages: mpsc::Receiver<DispatchMessage>,
    own_sender: mpsc::Sender<DispatchMessage>,
    dispatcher: Dispatcher,
    payloads: SecondaryMap<RequestKey, Payload>,
    targets: SlotMap<InstanceKey, Target>,
    callers: Callers,
    /// Requests that were queued since the dispatcher was last advanced.
    newly_queued: Vec<RequestKey>,
    links: JoinSet<()>,
    /// Tasks that wait for callers of queued requests to disconnect.
    caller_watches: JoinSet<Option<RequestKey>>,
    slots: SlotLink,
}

/// Creates the dispatcher task of a service and the sender of its messages.
#[must_use]
pub fn make(
    options: DispatcherOptions,
    view: ServiceView,
) -> (mpsc::Sender<DispatchMessage>, DispatcherTask) {
    let (sender, messages) = mpsc::channel(CHANNEL_CAPACITY);
    let task = DispatcherTask {
        slots: SlotLink::new(options.slots.clone(), Arc::clone(&view.name)),
        options,
        dispatcher: Dispatcher::new(dispatch_policy(&view)),
        view: Arc::new(view),
        messages,
        own_sender: sender.clone(),
        payloads: SecondaryMap::new(),
        targets: SlotMap::with_key(),
        callers: Callers::default(),
        newly_queued: Vec::new(),
        links: JoinSet::new(),
        caller_watches: JoinSet::new(),
    };
    (sender, task)
}

fn dispatch_policy(view: &ServiceView) -> DispatchPolicy {
    let fields = &view.fields;
    let classes = fields.classes.iter().map(|(name, class)| ClassPolicy {
        name: Arc::clone(name),
        weight: class.weight,
        floor_ppm: class.floor_ppm,
        queue_limit: class.queue_limit,
    });
    DispatchPolicy {
        queue_limit: fields.queue_limit,
        queue_limit_per_caller: fields.queue_limit_per_caller,
        classes: classes.collect(),
        fallback_class: class_index(view, &fields.default_class).unwrap_or_default(),
        attempts_max: ATTEMPTS_MAX,
        retry_budget_ppm: view.fields.retry_budget_ppm,
    }
}

fn class_index(view: &ServiceView, name: &str) -> Option<ClassIndex> {
    let mut names = view.fields.classes.keys();
    let position = names.position(|class| &**class == name)?;
    u8::try_from(position).ok().map(ClassIndex)
}

impl DispatcherTask {
    /// Serves messages until [`DispatchMessage::Stop`] arrives and every request has ended.
    pub async fn serve(mut self) {
        let mut tick = tokio::time::interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        while !self.dispatcher.is_finished() {
            tokio::select! {
                message = self.messages.recv() => match message {
                    Some(message) => self.handle(message).await,
                    None => break,
                },
                _ = tick.tick() => self.slots.tick(),
                Some(watched) = self.caller_watches.join_next() => {
                    if let Ok(Some(key)) = watched {
                        self.cancel(key);
                    }
                }
                Some(_) = self.links.join_next() => {}
            }
            self.advance();
            self.retire_idle_links();
            let now = self.options.clock.now();
            self.slots.update(
                &self.dispatcher,
                |key| instance_name(&self.targets, key),
                now,
            );
        }
        self.shut_down().await;
        self.slots.remove().await;
    }

    async fn handle(&mut self, message: DispatchMessage) {
        match message {
            DispatchMessage::Submit(submission) => self.submit(submission),
            DispatchMessage::ExchangeEnded(end) => self.handle_exchange_end(end),
            DispatchMessage::Slots(limits) => self.apply_limits(&limits),
            DispatchMessage::ProbeEnded { instance, healthy } => {
                let now = self.options.clock.now();
                self.dispatcher.record_probe(instance, healthy, now);
            }
            DispatchMessage::PeerObserved(observation) => self.apply_peer_observation(observation),
            DispatchMessage::Configure(view) => self.configure(view).await,
            DispatchMessage::InFlight { instance, reply } => {
                let _ = reply.send(self.in_flight(&instance));
            }
            DispatchMessage::Usage { reply } => {
                let _ = reply.send(self.dispatcher.usage());
            }
            DispatchMessage::Stop => self.dispatcher.stop(),
        }
    }

    fn submit(&mut self, submission: Submission) {
        let now = self.options.clock.now();
        let Submission {
            caller,
            class,
            deadline_ms,
            idempotency_key,
            outbound,
            reply,
        } = submission;
        let fields = &self.view.fields;
        let class = class.unwrap_or_else(|| Arc::clone(&fields.default_class));
        let Some(class_index) = class_index(&self.view, &class) else {
            let _ = reply.send(Outcome::Invalid(InvalidRequest::UnknownClass(class)));
            return;
        };
        let wait_ms = deadline_ms
            .unwrap_or(fields.default_deadline_ms)
            .min(fields.request_limit_ms);
        let path = outbound.path.split('?').next().unwrap_or_default();
        let repeatable = fields.is_repeatable(outbound.method.as_str(), path);
        let caller = self.callers.acquire(&caller);
        let info = RequestInfo {
            caller,
            class: class_index,
            arrived: now,
            deadline: now.after_ms(wait_ms),
            repeatable,
            keyed: idempotency_key.is_some(),
        };
        match self.dispatcher.submit(info) {
            Ok(key) => {
                let reply = Reply::Direct(reply);
                let payload = Payload {
                    caller,
                    outbound,
                    reply,
                };
                self.payloads.insert(key, payload);
                self.newly_queued.push(key);
            }
            Err(refusal) => {
                self.callers.release(caller);
                self.options.metrics.count("dispatch.refused", 1);
                let _ = reply.send(refusal_outcome(refusal));
            }
        }
    }

    fn handle_exchange_end(&mut self, end: ExchangeEnd) {
        let now = self.options.clock.now();
        self.dispatcher
            .record_observation(end.request, end.observation, now);
        match end.result {
            ExchangeResult::Complete(response) => {
                self.dispatcher.record_response(end.request, now);
                self.send_outcome(end.request, Outcome::Answered(response));
            }
            ExchangeResult::ResponseTooLarge => {
                self.dispatcher.record_response(end.request, now);
                let limit_bytes = self.view.fields.response_limit_bytes;
                self.send_outcome(end.request, Outcome::ResponseTooLarge { limit_bytes });
            }
            ExchangeResult::Failed(evidence) => {
                self.options.metrics.count("dispatch.failed_exchanges", 1);
                match self.dispatcher.record_failure(end.request, evidence, now) {
                    Some(refusal) => self.send_outcome(end.request, refusal_outcome(refusal)),
                    None => self.handle_requeued(end.request),
                }
            }
        }
    }

    fn send_outcome(&mut self, key: RequestKey, outcome: Outcome) {
        if let Some(payload) = self.payloads.remove(key) {
            self.callers.release(payload.caller);
            payload.reply.send(outcome);
        }
    }

    /// Cancels a request whose caller has disconnected, unless it has already been sent.
    fn cancel(&mut self, key: RequestKey) {
        self.dispatcher.cancel(key);
        if self.dispatcher.contains(key) {
            return;
        }
        if let Some(payload) = self.payloads.remove(key) {
            self.options.metrics.count("dispatch.cancelled", 1);
            self.callers.release(payload.caller);
        }
    }

    /// Cancels a requeued request if its caller disconnected while it was in flight.
    fn handle_requeued(&mut self, key: RequestKey) {
        let payload = self.payloads.get(key);
        if payload.is_some_and(|payload| payload.reply.is_closed()) {
            self.cancel(key);
        } else {
            self.newly_queued.push(key);
        }
    }

    /// Starts to watch the callers of requests that were not sent on arrival.
    fn watch_queued_callers(&mut self) {
        for key in std::mem::take(&mut self.newly_queued) {
            if self.dispatcher.is_queued(key)
                && let Some(payload) = self.payloads.get_mut(key)
            {
                payload.reply.watch(key, &mut self.caller_watches);
            }
        }
    }

    fn advance(&mut self) {
        let now = self.options.clock.now();
        for action in self.dispatcher.advance(now) {
            match action {
                DispatchAction::Send {
                    request,
                    instance,
                    deadline,
                    prefer_recently_used,
                } => {
                    self.send(request, instance, deadline, prefer_recently_used);
                }
                DispatchAction::Probe { instance } => self.send_probe(instance),
                DispatchAction::Report { instance, change } => {
                    self.report_health_change(instance, change)
                }
                DispatchAction::Refuse { request, refusal } => {
                    self.options.metrics.count("dispatch.refused", 1);
                    self.send_outcome(request, refusal_outcome(refusal));
                }
            }
        }
        self.watch_queued_callers();
    }

    fn send(
        &mut self,
        request: RequestKey,
        instance: InstanceKey,
        deadline: Millis,
        prefer_recently_used: bool,
    ) {
        let Some(payload) = self.payloads.get(request) else {
            return;
        };
        let exchange = Exchange {
            request,
            outbound: payload.outbound.clone(),
            deadline,
            prefer_recently_used,
            response_limit_bytes: self.view.fields.response_limit_bytes,
        };
        // The process may have been suspended since the slot was chosen, so that the lease has
        // expired.
        let usable = self
            .dispatcher
            .is_usable(instance, self.options.clock.now());
        // Waiting here would deadlock with a link that waits to report to this task.
        if !usable || !self.send_to_link(instance, LinkMessage::Exchange(exchange)) {
            self.handle_exchange_end(ExchangeEnd {
                request,
                instance,
                result: ExchangeResult::Failed(FailureEvidence::NothingWritten),
                observation: Observation::Inconclusive,
            });
        }
    }
}

fn instance_name(targets: &SlotMap<InstanceKey, Target>, key: InstanceKey) -> Option<Arc<str>> {
    targets
        .get(key)
        .map(|target| Arc::clone(&target.record.name))
}

fn refusal_outcome(refusal: Refusal) -> Outcome {
    match refusal {
        Refusal::NotRun(proof) => Outcome::NotRun(proof),
        Refusal::Unknown(unknown) => Outcome::Unknown(unknown),
    }
}

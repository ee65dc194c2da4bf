//! The dispatcher task of one service: request payloads, links and the decisions around them.

use std::sync::Arc;
use std::time::Duration;

use rosemaryscale_adapters::upstream_link::{self, LinkOptions};
use rosemaryscale_domain::Dispatcher;
use rosemaryscale_domain::callers::Callers;
use rosemaryscale_domain::class_share::ClassPolicy;
use rosemaryscale_domain::dispatch::{DispatchAction, DispatchPolicy};
use rosemaryscale_domain::request::{ClassIndex, FailureEvidence, Refusal, RequestInfo};
use rosemaryscale_ports::clock::ClockHandle;
use rosemaryscale_ports::dispatch::{DispatchMessage, Invalid, Outcome, Submission};
use rosemaryscale_ports::instance::{InstanceRecord, ServiceView};
use rosemaryscale_ports::link::{
    Exchange, ExchangeEnd, ExchangeResult, Link, LinkMessage, OutboundRequest,
};
use rosemaryscale_ports::prelude::*;
use tokio::task::JoinSet;

use crate::reply::Reply;

const MESSAGES: usize = 1_024;
/// Deadlines of queued requests are noticed this late at most.
const TICK: Duration = Duration::from_millis(20);
const TRIES_MAX: u32 = 4;

/// What a dispatcher's task needs.
pub struct DispatcherOptions {
    /// Clock of the process.
    pub clock: ClockHandle,
    /// The event log.
    pub events: EventSink,
    /// Counters.
    pub metrics: Metrics,
}

/// What the task keeps of a request.
struct Payload {
    caller: CallerKey,
    outbound: OutboundRequest,
    reply: Reply,
}

/// An instance and its link.
struct Target {
    record: InstanceRecord,
    link: Link,
}

/// State of a dispatcher's task.
pub struct DispatcherTask {
    options: DispatcherOptions,
    view: Arc<ServiceView>,
    messages: mpsc::Receiver<DispatchMessage>,
    ends: mpsc::Sender<DispatchMessage>,
    dispatcher: Dispatcher,
    payloads: SecondaryMap<RequestKey, Payload>,
    targets: SlotMap<InstanceKey, Target>,
    /// Removed instances whose exchanges have not ended.
    retired: FastMap<InstanceKey, Arc<str>>,
    callers: Callers,
    /// Requests that were queued since the queue was last advanced.
    arrivals: Vec<RequestKey>,
    links: JoinSet<()>,
    /// Waits for callers of queued requests to go away.
    watches: JoinSet<Option<RequestKey>>,
    stopping: bool,
}

/// Makes the task of a service's dispatcher.
#[must_use]
pub fn make(
    options: DispatcherOptions,
    view: ServiceView,
) -> (mpsc::Sender<DispatchMessage>, DispatcherTask) {
    let (sender, messages) = mpsc::channel(MESSAGES);
    let task = DispatcherTask {
        options,
        dispatcher: Dispatcher::new(policy(&view)),
        view: Arc::new(view),
        messages,
        ends: sender.clone(),
        payloads: SecondaryMap::new(),
        targets: SlotMap::with_key(),
        retired: FastMap::default(),
        callers: Callers::default(),
        arrivals: Vec::new(),
        links: JoinSet::new(),
        watches: JoinSet::new(),
        stopping: false,
    };
    (sender, task)
}

fn policy(view: &ServiceView) -> DispatchPolicy {
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
        tries_max: TRIES_MAX,
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
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        while !(self.stopping && self.dispatcher.is_empty()) {
            tokio::select! {
                message = self.messages.recv() => match message {
                    Some(message) => self.handle(message).await,
                    None => break,
                },
                _ = tick.tick() => {}
                Some(watched) = self.watches.join_next() => {
                    if let Ok(Some(key)) = watched {
                        self.cancel(key);
                    }
                }
                Some(_) = self.links.join_next() => {}
            }
            self.advance().await;
        }
        self.retire_all().await;
    }

    async fn handle(&mut self, message: DispatchMessage) {
        match message {
            DispatchMessage::Submit(submission) => self.submit(submission),
            DispatchMessage::Exchanged(end) => self.exchanged(end),
            DispatchMessage::Configure(view) => self.configure(view).await,
            DispatchMessage::InFlight { instance, reply } => {
                let _ = reply.send(self.in_flight(&instance));
            }
            DispatchMessage::Usage { reply } => {
                let _ = reply.send(self.dispatcher.usage());
            }
            DispatchMessage::Stop => self.stopping = true,
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
            let _ = reply.send(Outcome::Invalid(Invalid::UnknownClass(class)));
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
                self.arrivals.push(key);
            }
            Err(refusal) => {
                self.callers.release(caller);
                self.options.metrics.count("dispatch.refused", 1);
                let _ = reply.send(outcome(refusal));
            }
        }
    }

    fn exchanged(&mut self, end: ExchangeEnd) {
        let now = self.options.clock.now();
        match end.result {
            ExchangeResult::Complete(response) => {
                self.dispatcher.answered(end.request, now);
                self.reply(end.request, Outcome::Answered(response));
            }
            ExchangeResult::ResponseTooLarge => {
                self.dispatcher.answered(end.request, now);
                let limit_bytes = self.view.fields.response_limit_bytes;
                self.reply(end.request, Outcome::ResponseTooLarge { limit_bytes });
            }
            ExchangeResult::Failed(evidence) => {
                self.options.metrics.count("dispatch.failed_exchanges", 1);
                match self.dispatcher.failed(end.request, evidence, now) {
                    Some(refusal) => self.reply(end.request, outcome(refusal)),
                    None => self.queued_again(end.request),
                }
            }
        }
    }

    fn reply(&mut self, key: RequestKey, outcome: Outcome) {
        if let Some(payload) = self.payloads.remove(key) {
            self.callers.release(payload.caller);
            payload.reply.send(outcome);
        }
    }

    /// Drops a request whose caller went away, unless it was sent.
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

    /// A caller may have gone away while its request was in flight.
    fn queued_again(&mut self, key: RequestKey) {
        let payload = self.payloads.get(key);
        if payload.is_some_and(|payload| payload.reply.is_closed()) {
            self.cancel(key);
        } else {
            self.arrivals.push(key);
        }
    }

    /// Watches the callers of requests that were not sent at once.
    fn watch_arrivals(&mut self) {
        for key in std::mem::take(&mut self.arrivals) {
            if self.dispatcher.is_queued(key)
                && let Some(payload) = self.payloads.get_mut(key)
            {
                payload.reply.watch(key, &mut self.watches);
            }
        }
    }

    async fn advance(&mut self) {
        let now = self.options.clock.now();
        for action in self.dispatcher.advance(now) {
            match action {
                DispatchAction::Send {
                    request,
                    instance,
                    deadline,
                } => {
                    self.send(request, instance, deadline).await;
                }
                DispatchAction::Refuse { request, refusal } => {
                    self.options.metrics.count("dispatch.refused", 1);
                    self.reply(request, outcome(refusal));
                }
            }
        }
        self.watch_arrivals();
    }

    async fn send(&mut self, request: RequestKey, instance: InstanceKey, deadline: Millis) {
        let Some(payload) = self.payloads.get(request) else {
            return;
        };
        let exchange = Exchange {
            request,
            outbound: payload.outbound.clone(),
            deadline,
            prefer_proven: false,
            response_limit_bytes: self.view.fields.response_limit_bytes,
        };
        let sent = match self.targets.get(instance) {
            Some(target) => target
                .link
                .messages
                .send(LinkMessage::Exchange(exchange))
                .await
                .is_ok(),
            None => false,
        };
        if !sent {
            let result = ExchangeResult::Failed(FailureEvidence::NothingWritten);
            self.exchanged(ExchangeEnd {
                request,
                instance,
                result,
            });
        }
    }

    async fn configure(&mut self, view: Arc<ServiceView>) {
        self.view = view;
        self.dispatcher.configure(policy(&self.view));
        let gone: Vec<InstanceKey> = self
            .targets
            .iter()
            .filter(|(_, target)| !self.view.instances.contains(&target.record))
            .map(|(key, _)| key)
            .collect();
        for key in gone {
            self.dispatcher.remove_instance(key);
            if let Some(target) = self.targets.remove(key) {
                self.retired.insert(key, Arc::clone(&target.record.name));
                let _ = target.link.messages.send(LinkMessage::Retire).await;
            }
        }
        let records: Vec<InstanceRecord> = self.view.instances.clone();
        for record in records {
            if !self.targets.values().any(|target| target.record == record) {
                self.add_target(record);
            }
        }
        let slots = self.view.fields.slots_per_instance;
        for key in self.targets.keys() {
            self.dispatcher.set_usable_slots(key, slots);
        }
    }

    /// Requests in flight on an instance, over all keys that it has had.
    fn in_flight(&mut self, instance: &str) -> u32 {
        let Self {
            dispatcher,
            retired,
            targets,
            ..
        } = self;
        retired.retain(|key, _| dispatcher.in_flight(*key) > 0);
        let current = targets
            .iter()
            .map(|(key, target)| (key, &target.record.name));
        let retired = retired.iter().map(|(key, name)| (*key, name));
        current
            .chain(retired)
            .filter(|(_, name)| &***name == instance)
            .map(|(key, _)| dispatcher.in_flight(key))
            .sum()
    }

    fn add_target(&mut self, record: InstanceRecord) {
        let Self {
            options,
            ends,
            links,
            targets,
            ..
        } = self;
        targets.insert_with_key(|instance| {
            let (link, task) = upstream_link::make(LinkOptions {
                instance,
                address: record.address,
                clock: ClockHandle::clone(&options.clock),
                ends: ends.clone(),
            });
            links.spawn(task);
            Target { record, link }
        });
    }

    async fn retire_all(&mut self) {
        for target in self.targets.values() {
            let _ = target.link.messages.send(LinkMessage::Retire).await;
        }
        self.messages.close();
        while self.links.join_next().await.is_some() {}
        while self.watches.join_next().await.is_some() {}
    }
}

fn outcome(refusal: Refusal) -> Outcome {
    match refusal {
        Refusal::NotRun(proof) => Outcome::NotRun(proof),
        Refusal::Unknown(unknown) => Outcome::Unknown(unknown),
    }
}

//! The leader's side: routes the calls to workers to its own links or to gateways.

use std::sync::Arc;

use rosemaryscale_domain::schedule::order::{OrderResult, PollResult};
use rosemaryscale_domain::worker_route::{GatewayOffer, Route, RoutePlan};
use rosemaryscale_ports::prelude::*;
use rosemaryscale_ports::worker::{StartLinks, WorkerCall, WorkerCalls, WorkerEvent, WorkerEvents};
use slog::{Logger, o, warn};
use tokio::sync::watch;
use tokio::task::{AbortHandle, Id, JoinHandle, JoinSet};

use super::pending::{PendingCall, PendingKind};
use super::session::{Connection, SessionEvent};
use super::wire::{GatewayOrder, GatewayResult, Hello, PROTOCOL_VERSION};

const CALL_CAPACITY: usize = 1_024;

/// Settings of a router, fixed for a term of the leader.
pub struct RouterOptions {
    /// Starts the leader's own links.
    pub start_links: StartLinks,
    /// Name of the leader's daemon.
    pub leader: Arc<str>,
    /// Fencing token of the term.
    pub fencing_token: u64,
    /// Counters.
    pub metrics: Metrics,
    /// Log of gained and lost gateways.
    pub log: Logger,
}

/// Handles of a running router.
pub struct Router {
    /// Calls to workers.
    pub calls: WorkerCalls,
    /// Results of the calls.
    pub events: WorkerEvents,
    /// Current offers of gateways; without any, the leader holds all links itself.
    pub offers: watch::Sender<Vec<GatewayOffer>>,
    /// The task, which ends when the call handle is dropped.
    pub task: JoinHandle<()>,
}

impl Router {
    /// Starts the router and the leader's own links.
    #[must_use]
    pub fn start(options: RouterOptions) -> Self {
        let (calls, call_receiver) = mpsc::channel(CALL_CAPACITY);
        let (events, results) = mpsc::unbounded_channel();
        let (offers, offer_receiver) = watch::channel(Vec::new());
        let (local, local_events, local_task) = (options.start_links)();
        let (session_events, session_receiver) = mpsc::unbounded_channel();
        let router = RouterTask {
            options,
            plan: RoutePlan::default(),
            local,
            events,
            session_events,
            sessions: FastMap::default(),
            tasks: JoinSet::new(),
            links: FastMap::default(),
            pending: FastMap::default(),
            next_call: 0,
        };
        let sources = Sources {
            calls: call_receiver,
            offers: offer_receiver,
            local_events,
            session_events: session_receiver,
        };
        let task = tokio::spawn(router.run(sources, local_task));
        Self {
            calls,
            events: results,
            offers,
            task,
        }
    }
}

struct Sources {
    calls: mpsc::Receiver<WorkerCall>,
    offers: watch::Receiver<Vec<GatewayOffer>>,
    local_events: WorkerEvents,
    session_events: mpsc::UnboundedReceiver<(GatewayKey, SessionEvent)>,
}

/// Connection to a gateway.
struct Session {
    /// Takes orders while the gateway is connected.
    orders: Option<mpsc::UnboundedSender<GatewayOrder>>,
    connection: Connection,
    task: AbortHandle,
}

/// A worker whose link is open.
struct Link {
    id: Arc<str>,
    address: Arc<str>,
    availability_zone: Arc<str>,
    /// Calls without a result.
    outstanding: usize,
}

struct RouterTask {
    options: RouterOptions,
    plan: RoutePlan,
    local: WorkerCalls,
    events: mpsc::UnboundedSender<WorkerEvent>,
    session_events: mpsc::UnboundedSender<(GatewayKey, SessionEvent)>,
    sessions: FastMap<GatewayKey, Session>,
    tasks: JoinSet<()>,
    links: FastMap<WorkerKey, Link>,
    pending: FastMap<u64, PendingCall>,
    next_call: u64,
}

impl RouterTask {
    async fn run(mut self, mut sources: Sources, local_task: JoinHandle<()>) {
        let mut calls = Vec::new();
        loop {
            tokio::select! {
                count = sources.calls.recv_many(&mut calls, CALL_CAPACITY) => {
                    if count == 0 {
                        break;
                    }
                    for call in calls.drain(..) {
                        self.handle(call).await;
                    }
                }
                Some(event) = sources.local_events.recv() => {
                    self.report(worker_of(&event), event);
                }
                Some((key, event)) = sources.session_events.recv() => {
                    self.apply_session_event(key, event).await;
                }
                Ok(()) = sources.offers.changed() => {
                    let offers = sources.offers.borrow_and_update().clone();
                    self.apply_offers(offers);
                }
                Some(finished) = self.tasks.join_next_with_id() => {
                    if let Err(error) = finished {
                        self.replace_session(error.id()).await;
                    }
                }
            }
        }
        drop(self.local);
        self.tasks.shutdown().await;
        let _ = local_task.await;
    }

    async fn handle(&mut self, call: WorkerCall) {
        match call {
            WorkerCall::Open {
                worker,
                id,
                address,
                availability_zone,
                ..
            } => {
                let zone = Arc::clone(&availability_zone);
                let route = self.plan.open(worker, Arc::clone(&address), zone);
                let link = Link {
                    id,
                    address,
                    availability_zone,
                    outstanding: 0,
                };
                self.links.insert(worker, link);
                self.open(worker, route).await;
            }
            WorkerCall::Close(worker) => {
                self.close(worker).await;
                self.plan.close(worker);
                self.links.remove(&worker);
            }
            WorkerCall::Poll(worker, _) => {
                self.move_if_idle(worker).await;
                self.forward(worker, call).await;
            }
            WorkerCall::Start(worker, _)
            | WorkerCall::Stop(worker, _)
            | WorkerCall::Pace(worker, _) => self.forward(worker, call).await,
        }
    }

    /// Moves the link of a worker to a better place while no call is outstanding.
    async fn move_if_idle(&mut self, worker: WorkerKey) {
        let idle = self
            .links
            .get(&worker)
            .is_some_and(|link| link.outstanding == 0);
        if !idle || !self.plan.should_reroute(worker) {
            return;
        }
        self.close(worker).await;
        if let Some(route) = self.plan.reroute(worker) {
            self.open(worker, route).await;
        }
    }

    async fn open(&mut self, worker: WorkerKey, route: Route) {
        let Some(link) = self.links.get(&worker) else {
            return;
        };
        match route {
            Route::Local => {
                let call = WorkerCall::Open {
                    worker,
                    id: Arc::clone(&link.id),
                    address: Arc::clone(&link.address),
                    availability_zone: Arc::clone(&link.availability_zone),
                    fencing_token: self.options.fencing_token,
                };
                let _ = self.local.send(call).await;
            }
            Route::Gateway(key) => {
                let order = GatewayOrder::Open {
                    worker: Arc::clone(&link.id),
                    address: Arc::clone(&link.address),
                };
                self.send(key, order);
            }
        }
    }

    async fn close(&mut self, worker: WorkerKey) {
        let Some(link) = self.links.get(&worker) else {
            return;
        };
        match self.plan.route(worker) {
            Some(Route::Local) => {
                let _ = self.local.send(WorkerCall::Close(worker)).await;
            }
            Some(Route::Gateway(key)) => {
                let order = GatewayOrder::Close {
                    worker: Arc::clone(&link.id),
                };
                self.send(key, order);
            }
            None => {}
        }
    }

    async fn forward(&mut self, worker: WorkerKey, call: WorkerCall) {
        let (Some(link), Some(route)) = (self.links.get_mut(&worker), self.plan.route(worker))
        else {
            // The scheduler waits for one result of each call.
            if let Some(event) = call.ended_with(OrderResult::NotSent) {
                let _ = self.events.send(event);
            }
            return;
        };
        link.outstanding += 1;
        match route {
            Route::Local => {
                let _ = self.local.send(call).await;
            }
            Route::Gateway(gateway) => {
                let id = Arc::clone(&link.id);
                self.forward_to_gateway(gateway, worker, id, call);
            }
        }
    }

    fn forward_to_gateway(
        &mut self,
        gateway: GatewayKey,
        worker: WorkerKey,
        id: Arc<str>,
        worker_call: WorkerCall,
    ) {
        self.next_call += 1;
        let call = self.next_call;
        let (order, kind) = match worker_call {
            WorkerCall::Start(_, order) => {
                let kind = PendingKind::Start(order.run);
                let order = GatewayOrder::Start {
                    call,
                    worker: id,
                    task: order.task,
                    number: order.number,
                    text: order.text,
                    deadline_ms: order.deadline_ms,
                    checkpoint: order.checkpoint,
                    ticket: order.ticket,
                };
                (order, kind)
            }
            WorkerCall::Stop(_, order) => {
                let kind = PendingKind::Stop(order.run);
                let order = GatewayOrder::Stop {
                    call,
                    worker: id,
                    task: order.task,
                    number: order.number,
                };
                (order, kind)
            }
            WorkerCall::Pace(_, pace) => {
                let order = GatewayOrder::Pace {
                    call,
                    worker: id,
                    task: pace.task.clone(),
                    number: pace.number,
                    percent: pace.percent,
                };
                (order, PendingKind::Pace(pace))
            }
            WorkerCall::Poll(_, order) => {
                let order = GatewayOrder::Poll {
                    call,
                    worker: id,
                    order,
                };
                (order, PendingKind::Poll)
            }
            WorkerCall::Open { .. } | WorkerCall::Close(_) => return,
        };
        let pending = PendingCall {
            gateway,
            worker,
            kind,
        };
        if self.send(gateway, order) {
            self.pending.insert(call, pending);
        } else {
            self.report(pending.worker, pending.order_event(OrderResult::NotSent));
        }
    }

    /// Sends an order to a gateway. Returns `false` if the gateway is not connected.
    fn send(&self, key: GatewayKey, order: GatewayOrder) -> bool {
        let orders = self
            .sessions
            .get(&key)
            .and_then(|session| session.orders.as_ref());
        orders.is_some_and(|orders| orders.send(order).is_ok())
    }

    fn report(&mut self, worker: WorkerKey, event: WorkerEvent) {
        self.count_result(worker);
        // The end of a link says nothing about the worker.
        if let WorkerEvent::Polled { result, .. } = &event
            && !matches!(result, PollResult::LinkClosed(_))
        {
            let is_answered = !matches!(result, PollResult::Unanswered(_));
            self.plan.polled(worker, is_answered);
        }
        let _ = self.events.send(event);
    }

    fn count_result(&mut self, worker: WorkerKey) {
        if let Some(link) = self.links.get_mut(&worker) {
            link.outstanding = link.outstanding.saturating_sub(1);
        }
    }

    async fn apply_session_event(&mut self, key: GatewayKey, event: SessionEvent) {
        match event {
            // The task may have failed since.
            SessionEvent::Connected(orders) if orders.is_closed() => {}
            SessionEvent::Connected(orders) => {
                if let Some(session) = self.sessions.get_mut(&key) {
                    session.orders = Some(orders);
                    self.plan.connected(key);
                }
            }
            SessionEvent::Results(results, leaving) => {
                if leaving {
                    self.plan.leaving(key);
                }
                for result in results {
                    self.apply_result(result);
                }
            }
            SessionEvent::Lost(reason) => self.lose_gateway(key, &reason).await,
        }
    }

    fn apply_result(&mut self, result: GatewayResult) {
        let (GatewayResult::Order { call, .. } | GatewayResult::Poll { call, .. }) = &result;
        let Some(pending) = self.pending.remove(call) else {
            return;
        };
        let worker = pending.worker;
        let event = match result {
            GatewayResult::Order { result, .. } => pending.order_event(result),
            GatewayResult::Poll { result, .. } => pending.poll_event(result),
        };
        self.report(worker, event);
    }

    /// Moves the links of a lost gateway. Its orders may have been carried out.
    async fn lose_gateway(&mut self, key: GatewayKey, reason: &str) {
        if let Some(session) = self.sessions.get_mut(&key) {
            session.orders = None;
        }
        let rerouted = self.plan.lost(key);
        let name = self.plan.offer(key).map(|offer| offer.name.to_string());
        warn!(self.options.log, "gateway lost"; "gateway" => name, "workers" => rerouted.len(),
            "reason" => reason);
        self.options.metrics.count("gateways.lost", 1);
        for (worker, route) in rerouted {
            self.open(worker, route).await;
        }
        let unanswered: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, pending)| pending.gateway == key)
            .map(|(call, _)| *call)
            .collect();
        for call in unanswered {
            if let Some(pending) = self.pending.remove(&call) {
                let worker = pending.worker;
                self.report(worker, pending.order_event(OrderResult::Unanswered));
            }
        }
    }

    /// Replaces the failed task of a session. One that was aborted belongs to no session any more.
    async fn replace_session(&mut self, task: Id) {
        let mut sessions = self.sessions.iter_mut();
        let Some((key, session)) = sessions.find(|(_, session)| session.task.id() == task) else {
            return;
        };
        let connection = session.connection.clone();
        session.task = self.tasks.spawn(connection.run_after_failure());
        let key = *key;
        self.lose_gateway(key, "its task failed").await;
    }

    fn apply_offers(&mut self, mut offers: Vec<GatewayOffer>) {
        offers.retain(|offer| offer.name != self.options.leader);
        let changes = self.plan.offered(offers);
        for key in changes.removed {
            if let Some(session) = self.sessions.remove(&key) {
                session.task.abort();
            }
        }
        for key in changes.added {
            let Some(offer) = self.plan.offer(key) else {
                continue;
            };
            let Ok(address) = offer.address.parse() else {
                continue;
            };
            let name = offer.name.to_string();
            let connection = Connection {
                key,
                address,
                hello: Hello {
                    version: PROTOCOL_VERSION,
                    leader: Arc::clone(&self.options.leader),
                    fencing_token: self.options.fencing_token,
                },
                events: self.session_events.clone(),
                log: self.options.log.new(o!("gateway" => name)),
            };
            let session = Session {
                orders: None,
                task: self.tasks.spawn(connection.clone().run()),
                connection,
            };
            self.sessions.insert(key, session);
        }
    }
}

fn worker_of(event: &WorkerEvent) -> WorkerKey {
    match event {
        WorkerEvent::Started { worker, .. }
        | WorkerEvent::Stopped { worker, .. }
        | WorkerEvent::Paced { worker, .. }
        | WorkerEvent::Polled { worker, .. } => *worker,
    }
}

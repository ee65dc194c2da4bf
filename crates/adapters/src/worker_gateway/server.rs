//! The gateway's side: makes the requests to workers for a leader.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use rosemaryscale_domain::schedule::order::{
    OrderResult, PaceOrder, PollReception, PollResult, StartOrder, StopOrder,
};
use rosemaryscale_ports::clock::ClockHandle;
use rosemaryscale_ports::prelude::*;
use rosemaryscale_ports::worker::{StartLinks, WorkerCall, WorkerCalls, WorkerEvent, WorkerEvents};
use slog::{Logger, info, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep, sleep_until, timeout};

use super::wire::{
    self, FrameStream, GatewayOrder, GatewayResult, HEARTBEAT_INTERVAL_MS, Hello,
    LEADER_TIMEOUT_MS, ORDER_AGE_MAX_MS, OrderFrame, PROTOCOL_VERSION, ResultFrame,
};

/// Delay before results are sent, so that one frame carries several.
const RESULT_DELAY: Duration = Duration::from_millis(3);
const LEADER_TIMEOUT: Duration = Duration::from_millis(LEADER_TIMEOUT_MS);
/// Time for which a stopping gateway waits for the leader to move the links elsewhere.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(1_500);
const RESULTS_PER_FRAME: usize = 512;

/// Settings of a gateway.
#[derive(Clone)]
pub struct GatewayOptions {
    /// Starts the links to workers.
    pub start_links: StartLinks,
    /// Clock that runs while the process is stopped.
    pub clock: ClockHandle,
    /// Counters.
    pub metrics: Metrics,
    /// Log of connected and lost leaders.
    pub log: Logger,
}

/// Serves leaders. A leader with a higher fencing token ends the connections of earlier ones.
pub struct GatewayServer {
    listener: TcpListener,
    options: GatewayOptions,
}

impl GatewayServer {
    /// Binds the address.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be used.
    pub async fn bind(address: SocketAddr, options: GatewayOptions) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        Ok(Self { listener, options })
    }

    /// The bound address.
    ///
    /// # Errors
    ///
    /// Fails when the system does not tell the address.
    pub fn local_address(&self) -> std::io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves until `stop` becomes true, then until the leaders have moved their links elsewhere.
    pub async fn run(self, mut stop: watch::Receiver<bool>) {
        let highest_token = watch::Sender::new(0);
        let session_stop = stop.clone();
        let mut sessions = JoinSet::new();
        loop {
            tokio::select! {
                accepted = self.listener.accept() => {
                    if let Ok((stream, _)) = accepted {
                        let session = serve(
                            stream,
                            self.options.clone(),
                            highest_token.clone(),
                            session_stop.clone(),
                        );
                        sessions.spawn(session);
                    }
                }
                Some(_) = sessions.join_next() => {}
                _ = stop.wait_for(|stop| *stop) => break,
            }
        }
        drop(self.listener);
        let all_left = async { while sessions.join_next().await.is_some() {} };
        let _ = timeout(LEAVE_TIMEOUT, all_left).await;
        sessions.shutdown().await;
    }
}

async fn serve(
    stream: TcpStream,
    options: GatewayOptions,
    highest_token: watch::Sender<u64>,
    stop: watch::Receiver<bool>,
) {
    let _ = stream.set_nodelay(true);
    let mut frames = wire::frames(stream);
    let Some(hello) = receive_hello(&mut frames).await else {
        return;
    };
    if hello.version != PROTOCOL_VERSION {
        warn!(options.log, "leader refused"; "leader" => &*hello.leader,
            "version" => hello.version, "expected" => PROTOCOL_VERSION);
        return;
    }
    highest_token.send_if_modified(|highest| {
        let is_newer = *highest < hello.fencing_token;
        *highest = hello.fencing_token.max(*highest);
        is_newer
    });
    info!(options.log, "leader connected"; "leader" => &*hello.leader,
        "fence" => hello.fencing_token);
    let log = options.log.clone();
    let (calls, events, link_task) = (options.start_links)();
    let session = Session {
        frames,
        options,
        links: Links::new(calls),
        leaving: false,
    };
    let token = (highest_token.subscribe(), hello.fencing_token);
    let reason = session.run(events, token, stop).await;
    let _ = link_task.await;
    info!(log, "leader disconnected"; "leader" => &*hello.leader, "reason" => &*reason);
}

async fn receive_hello(frames: &mut FrameStream) -> Option<Hello> {
    let frame = timeout(LEADER_TIMEOUT, frames.next()).await.ok()??.ok()?;
    wire::decode(&frame).ok()
}

/// Waits until the condition holds, or the sender is gone. The guard of the value is not held.
async fn reaches<T>(watched: &mut watch::Receiver<T>, condition: impl FnMut(&T) -> bool) {
    let _ = watched.wait_for(condition).await;
}

/// Links to the workers of one leader, and the calls in flight.
struct Links {
    calls: WorkerCalls,
    by_id: FastMap<Arc<str>, WorkerKey>,
    workers: SlotMap<WorkerKey, ()>,
    /// Call of each start and stop in flight.
    runs: SlotMap<RunKey, u64>,
    polls: FastMap<WorkerKey, u64>,
    paces: Vec<(WorkerKey, PaceOrder, u64)>,
    results: Vec<GatewayResult>,
}

impl Links {
    fn new(calls: WorkerCalls) -> Self {
        Self {
            calls,
            by_id: FastMap::default(),
            workers: SlotMap::with_key(),
            runs: SlotMap::with_key(),
            polls: FastMap::default(),
            paces: Vec::new(),
            results: Vec::new(),
        }
    }

    /// Carries out an order. An order that is too old is answered without a request.
    async fn execute(&mut self, order: GatewayOrder, is_too_old: bool, fencing_token: u64) {
        let call = match order {
            GatewayOrder::Open { worker, address } => {
                self.open(worker, address, fencing_token).await;
                return;
            }
            GatewayOrder::Close { worker } => {
                self.close(&worker).await;
                return;
            }
            order if is_too_old => {
                self.refuse(&order);
                return;
            }
            order => match self.worker_call(order) {
                Some(call) => call,
                None => return,
            },
        };
        // The client of the workers accepts calls at any time; it ends after this session.
        let _ = self.calls.send(call).await;
    }

    async fn open(&mut self, id: Arc<str>, address: Arc<str>, fencing_token: u64) {
        self.close(&id).await;
        let worker = self.workers.insert(());
        self.by_id.insert(Arc::clone(&id), worker);
        let call = WorkerCall::Open {
            worker,
            id,
            address,
            availability_zone: "".into(),
            fencing_token,
        };
        let _ = self.calls.send(call).await;
    }

    async fn close(&mut self, id: &str) {
        if let Some(worker) = self.by_id.remove(id) {
            self.workers.remove(worker);
            let _ = self.calls.send(WorkerCall::Close(worker)).await;
        }
    }

    /// Translates an order; one for a worker without a link is refused.
    fn worker_call(&mut self, order: GatewayOrder) -> Option<WorkerCall> {
        let id = match &order {
            GatewayOrder::Start { worker, .. }
            | GatewayOrder::Stop { worker, .. }
            | GatewayOrder::Pace { worker, .. }
            | GatewayOrder::Poll { worker, .. } => worker,
            GatewayOrder::Open { .. } | GatewayOrder::Close { .. } => return None,
        };
        let Some(worker) = self.by_id.get(id).copied() else {
            self.refuse(&order);
            return None;
        };
        Some(match order {
            GatewayOrder::Start {
                call,
                task,
                number,
                text,
                deadline_ms,
                checkpoint,
                ticket,
                ..
            } => WorkerCall::Start(
                worker,
                StartOrder {
                    run: self.runs.insert(call),
                    task,
                    number,
                    text,
                    deadline_ms,
                    checkpoint,
                    ticket,
                },
            ),
            GatewayOrder::Stop {
                call, task, number, ..
            } => WorkerCall::Stop(
                worker,
                StopOrder {
                    run: Some(self.runs.insert(call)),
                    task,
                    number,
                },
            ),
            GatewayOrder::Pace {
                call,
                task,
                number,
                percent,
                ..
            } => {
                let order = PaceOrder {
                    task,
                    number,
                    percent,
                };
                self.paces.push((worker, order.clone(), call));
                WorkerCall::Pace(worker, order)
            }
            GatewayOrder::Poll { call, order, .. } => {
                self.polls.insert(worker, call);
                WorkerCall::Poll(worker, order)
            }
            GatewayOrder::Open { .. } | GatewayOrder::Close { .. } => return None,
        })
    }

    fn refuse(&mut self, order: &GatewayOrder) {
        let result = match order {
            GatewayOrder::Start { call, .. }
            | GatewayOrder::Stop { call, .. }
            | GatewayOrder::Pace { call, .. } => GatewayResult::Order {
                call: *call,
                result: OrderResult::NotSent,
            },
            GatewayOrder::Poll { call, .. } => GatewayResult::Poll {
                call: *call,
                result: PollResult::LinkClosed(PollReception::Nowhere),
            },
            GatewayOrder::Open { .. } | GatewayOrder::Close { .. } => return,
        };
        self.results.push(result);
    }

    fn apply(&mut self, event: WorkerEvent) {
        let result = match event {
            WorkerEvent::Started { run, result, .. } => self.order_result(Some(run), result),
            WorkerEvent::Stopped { run, result, .. } => self.order_result(run, result),
            WorkerEvent::Paced {
                worker,
                order,
                result,
            } => {
                let is_same =
                    |pace: &(WorkerKey, PaceOrder, u64)| pace.0 == worker && pace.1 == order;
                let index = self.paces.iter().position(is_same);
                index.map(|index| GatewayResult::Order {
                    call: self.paces.swap_remove(index).2,
                    result,
                })
            }
            WorkerEvent::Polled { worker, result } => {
                let call = self.polls.remove(&worker);
                call.map(|call| GatewayResult::Poll { call, result })
            }
        };
        self.results.extend(result);
    }

    fn order_result(&mut self, run: Option<RunKey>, result: OrderResult) -> Option<GatewayResult> {
        let call = self.runs.remove(run?)?;
        Some(GatewayResult::Order { call, result })
    }
}

/// Connection of one leader.
struct Session {
    frames: FrameStream,
    options: GatewayOptions,
    links: Links,
    leaving: bool,
}

impl Session {
    /// Serves the leader until it disconnects or is replaced, and returns the reason of the end.
    async fn run(
        mut self,
        mut events: WorkerEvents,
        (mut highest_token, fencing_token): (watch::Receiver<u64>, u64),
        mut stop: watch::Receiver<bool>,
    ) -> Arc<str> {
        let mut heartbeat = interval(Duration::from_millis(HEARTBEAT_INTERVAL_MS));
        heartbeat.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let silence = sleep(LEADER_TIMEOUT);
        tokio::pin!(silence);
        let mut batch = Vec::new();
        let mut flush_at: Option<Instant> = None;
        loop {
            let flush = async {
                match flush_at {
                    Some(at) => sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                () = reaches(&mut highest_token, |highest| *highest > fencing_token) => {
                    return "a newer leader has connected".into();
                }
                frame = self.frames.next() => {
                    silence.as_mut().reset(Instant::now() + LEADER_TIMEOUT);
                    let Some(Ok(frame)) = frame else {
                        return "closed by the leader".into();
                    };
                    let frame: OrderFrame = match wire::decode(&frame) {
                        Ok(frame) => frame,
                        Err(error) => return format!("a frame cannot be decoded: {error}").into(),
                    };
                    self.execute(frame, fencing_token).await;
                }
                count = events.recv_many(&mut batch, RESULTS_PER_FRAME) => {
                    if count == 0 {
                        return "the client of the workers has stopped".into();
                    }
                    for event in batch.drain(..) {
                        self.links.apply(event);
                    }
                }
                () = flush => {
                    flush_at = None;
                    if let Err(reason) = self.send_results().await {
                        return reason;
                    }
                }
                _ = heartbeat.tick() => {
                    flush_at = None;
                    if let Err(reason) = self.send_results().await {
                        return reason;
                    }
                }
                () = reaches(&mut stop, |stop| *stop), if !self.leaving => self.leaving = true,
                () = &mut silence => return "no frame in time".into(),
            }
            if self.leaving && self.links.by_id.is_empty() && self.links.results.is_empty() {
                return "the daemon is stopping".into();
            }
            if !self.links.results.is_empty() {
                flush_at = flush_at.or_else(|| Some(Instant::now() + RESULT_DELAY));
            }
        }
    }

    async fn execute(&mut self, frame: OrderFrame, fencing_token: u64) {
        let now = self.options.clock.now();
        let age_ms = now.ms_since(Millis::from_ms(frame.seen_ms));
        let is_too_old = age_ms > ORDER_AGE_MAX_MS;
        if is_too_old && !frame.orders.is_empty() {
            warn!(self.options.log, "old orders not carried out"; "orders" => frame.orders.len(),
                "age_ms" => age_ms);
        }
        let count = i64::try_from(frame.orders.len()).unwrap_or(i64::MAX);
        self.options.metrics.count("gateway.orders", count);
        for order in frame.orders {
            self.links.execute(order, is_too_old, fencing_token).await;
        }
    }

    async fn send_results(&mut self) -> Result<(), Arc<str>> {
        let results = std::mem::take(&mut self.links.results);
        for results in wire::result_frames(results) {
            self.send_frame(results).await?;
        }
        Ok(())
    }

    async fn send_frame(&mut self, results: Vec<GatewayResult>) -> Result<(), Arc<str>> {
        let frame = ResultFrame {
            sent_at_ms: self.options.clock.now().as_ms(),
            leaving: self.leaving,
            results,
        };
        let frame = wire::encode(&frame).map_err(|error| Arc::from(error.to_string()))?;
        match timeout(LEADER_TIMEOUT, self.frames.send(frame)).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(error)) => Err(error.to_string().into()),
            Err(_) => Err("a frame was not sent in time".into()),
        }
    }
}

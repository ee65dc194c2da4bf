//! Upstream links: one task per instance owns the connections to it.
//!
//! A link keeps no queue. An exchange that finds as many connections in use as are allowed ends at
//! once as not written, and the dispatcher decides what becomes of it.

use std::net::SocketAddr;
use std::time::Duration;

use rosemaryscale_domain::connection::{ConnectionPool, Lease};
use rosemaryscale_domain::health::Observation;
use rosemaryscale_domain::outcome::UnknownReason;
use rosemaryscale_domain::request::FailureEvidence;
use rosemaryscale_ports::clock::ClockHandle;
use rosemaryscale_ports::dispatch::DispatchMessage;
use rosemaryscale_ports::link::{Exchange, ExchangeEnd, ExchangeResult, Link, LinkMessage};
use rosemaryscale_ports::prelude::*;
use tokio::task::{Id, JoinError, JoinSet};

mod counting;
mod exchange;
pub(crate) mod transport;

use exchange::Finished;
pub(crate) use transport::end_to_end;
use transport::{Exchanged, Transport};

const MESSAGES: usize = 256;
const IDLE_CHECK: Duration = Duration::from_secs(1);

/// What a link's task needs.
pub struct LinkOptions {
    /// Key of the instance in its dispatcher.
    pub instance: InstanceKey,
    /// Where the instance accepts connections.
    pub address: SocketAddr,
    /// Connections that may be open, until [`LinkMessage::AllowConnections`] says otherwise.
    pub connections: u32,
    /// Clock of the process.
    pub clock: ClockHandle,
    /// Where ends of exchanges go.
    pub ends: mpsc::Sender<DispatchMessage>,
}

/// Makes a link and its task. The task ends after [`LinkMessage::Retire`], or when the handle is
/// dropped, once its exchanges have ended.
pub fn make(options: LinkOptions) -> (Link, impl Future<Output = ()> + Send) {
    let (messages, receiver) = mpsc::channel(MESSAGES);
    let task = LinkTask {
        connections: ConnectionPool::new(options.connections),
        options,
        running: JoinSet::new(),
        requests: FastMap::default(),
    };
    (Link { messages }, task.serve(receiver))
}

/// What a task of the link ended with.
enum Done {
    Exchange(Box<Finished>),
    Probe { healthy: bool },
}

/// State of a link.
struct LinkTask {
    options: LinkOptions,
    connections: ConnectionPool<Transport>,
    running: JoinSet<Done>,
    /// Requests by the task that carries their exchange out.
    requests: FastMap<Id, RequestKey>,
}

impl LinkTask {
    async fn serve(mut self, mut messages: mpsc::Receiver<LinkMessage>) {
        loop {
            tokio::select! {
                message = messages.recv() => match message {
                    Some(LinkMessage::Exchange(exchange)) => self.start_exchange(exchange).await,
                    Some(LinkMessage::AllowConnections(count)) => self.connections.set_limit(count),
                    Some(LinkMessage::Probe) => self.start_probe().await,
                    Some(LinkMessage::Retire) | None => break,
                },
                Some(done) = self.running.join_next_with_id() => self.finish(done).await,
                () = tokio::time::sleep(IDLE_CHECK), if self.connections.has_idle() => {
                    self.connections.close_expired(self.options.clock.now());
                }
            }
        }
        self.connections.close_idle();
        while let Some(done) = self.running.join_next_with_id().await {
            self.finish(done).await;
            self.connections.close_idle();
        }
    }

    async fn start_exchange(&mut self, exchange: Exchange) {
        let now = self.options.clock.now();
        let request = exchange.request;
        let idle = match self.connections.acquire(exchange.prefer_proven, now) {
            Lease::Reuse(connection) => Some(connection),
            Lease::Open => None,
            Lease::Full => return self.report(request, Exchanged::not_sent()).await,
        };
        let clock = ClockHandle::clone(&self.options.clock);
        let address = self.options.address;
        let task = self.running.spawn(async move {
            let finished = exchange::run(exchange, idle, address, &clock).await;
            Done::Exchange(Box::new(finished))
        });
        self.requests.insert(task.id(), request);
    }

    async fn start_probe(&mut self) {
        if matches!(self.connections.acquire_new(), Lease::Full) {
            return self.report_probe(false).await;
        }
        let address = self.options.address;
        self.running.spawn(async move {
            let healthy = exchange::probe(address).await;
            Done::Probe { healthy }
        });
    }

    async fn finish(&mut self, done: Result<(Id, Done), JoinError>) {
        let id = match &done {
            Ok((id, _)) => *id,
            Err(error) => error.id(),
        };
        let request = self.requests.remove(&id);
        match (request, done) {
            (Some(request), Ok((_, Done::Exchange(finished)))) => {
                if finished.exchanged.observation == Observation::TimedOut {
                    self.connections.mark_suspect(self.options.clock.now());
                }
                self.connections.release(finished.connection);
                self.report(request, finished.exchanged).await;
            }
            (Some(request), _) => {
                // The task failed, and what it had written is not known.
                self.connections.release(None);
                let evidence = FailureEvidence::MayHaveRun(UnknownReason::ConnectionLost);
                let exchanged = Exchanged {
                    result: ExchangeResult::Failed(evidence),
                    observation: Observation::Inconclusive,
                };
                self.report(request, exchanged).await;
            }
            (None, done) => {
                self.connections.release(None);
                let healthy = matches!(done, Ok((_, Done::Probe { healthy: true })));
                self.report_probe(healthy).await;
            }
        }
    }

    async fn report(&self, request: RequestKey, exchanged: Exchanged) {
        let end = ExchangeEnd {
            request,
            instance: self.options.instance,
            result: exchanged.result,
            observation: exchanged.observation,
        };
        let message = DispatchMessage::Exchanged(end);
        let _ = self.options.ends.send(message).await;
    }

    async fn report_probe(&self, healthy: bool) {
        let instance = self.options.instance;
        let message = DispatchMessage::Probed { instance, healthy };
        let _ = self.options.ends.send(message).await;
    }
}

//! Upstream links: one task per instance, which owns the connections to it.
//!
//! A link has no queue. If the maximum number of connections is in use, an exchange fails at once
//! with nothing written, and the dispatcher decides whether to retry it.

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

use exchange::FinishedExchange;
pub(crate) use transport::remove_hop_by_hop_headers;
use transport::{ExchangeOutcome, Transport};

const QUEUE_CAPACITY: usize = 256;
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Parameters of a link.
pub struct LinkOptions {
    /// Key of the instance in its dispatcher.
    pub instance: InstanceKey,
    /// Address at which the instance accepts connections.
    pub address: SocketAddr,
    /// Maximum number of open connections until [`LinkMessage::SetConnectionLimit`] changes it.
    pub connections: u32,
    /// Clock of the process.
    pub clock: ClockHandle,
    /// Receives the results of exchanges and probes.
    pub exchange_ends: mpsc::Sender<DispatchMessage>,
}

/// Creates a link and its task. After [`LinkMessage::Shutdown`], or when the handle is dropped, the
/// task completes its exchanges and ends.
pub fn create(options: LinkOptions) -> (Link, impl Future<Output = ()> + Send) {
    let (messages, receiver) = mpsc::channel(QUEUE_CAPACITY);
    let task = LinkTask {
        connections: ConnectionPool::new(options.connections),
        options,
        tasks: JoinSet::new(),
        requests: FastMap::default(),
    };
    (Link { messages }, task.run(receiver))
}

/// Result of a task that the link spawned.
enum TaskOutput {
    Exchange(Box<FinishedExchange>),
    Probe { healthy: bool },
}

/// State of a link's task.
struct LinkTask {
    options: LinkOptions,
    connections: ConnectionPool<Transport>,
    tasks: JoinSet<TaskOutput>,
    /// Requests by the id of the task that performs their exchange.
    requests: FastMap<Id, RequestKey>,
}

impl LinkTask {
    async fn run(mut self, mut messages: mpsc::Receiver<LinkMessage>) {
        loop {
            tokio::select! {
                message = messages.recv() => match message {
                    Some(LinkMessage::Exchange(exchange)) => self.start_exchange(exchange).await,
                    Some(LinkMessage::SetConnectionLimit(count)) => self.connections.set_limit(count),
                    Some(LinkMessage::Probe) => self.start_probe().await,
                    Some(LinkMessage::Shutdown) | None => break,
                },
                Some(output) = self.tasks.join_next_with_id() => self.finish(output).await,
                () = tokio::time::sleep(IDLE_CHECK_INTERVAL), if self.connections.has_idle() => {
                    self.connections.close_expired(self.options.clock.now());
                }
            }
        }
        self.connections.close_idle();
        while let Some(output) = self.tasks.join_next_with_id().await {
            self.finish(output).await;
            self.connections.close_idle();
        }
    }

    async fn start_exchange(&mut self, exchange: Exchange) {
        let now = self.options.clock.now();
        let request = exchange.request;
        let idle = match self.connections.acquire(exchange.prefer_recently_used, now) {
            Lease::Reuse(connection) => Some(connection),
            Lease::Open => None,
            Lease::Full => return self.report(request, ExchangeOutcome::not_sent()).await,
        };
        let clock = ClockHandle::clone(&self.options.clock);
        let address = self.options.address;
        let task = self.tasks.spawn(async move {
            let finished = exchange::run(exchange, idle, address, &clock).await;
            TaskOutput::Exchange(Box::new(finished))
        });
        self.requests.insert(task.id(), request);
    }

    async fn start_probe(&mut self) {
        if matches!(self.connections.acquire_new(), Lease::Full) {
            return self.report_probe(false).await;
        }
        let address = self.options.address;
        self.tasks.spawn(async move {
            let healthy = exchange::probe(address).await;
            TaskOutput::Probe { healthy }
        });
    }

    async fn finish(&mut self, output: Result<(Id, TaskOutput), JoinError>) {
        let id = match &output {
            Ok((id, _)) => *id,
            Err(error) => error.id(),
        };
        let request = self.requests.remove(&id);
        match (request, output) {
            (Some(request), Ok((_, TaskOutput::Exchange(finished)))) => {
                if finished.exchanged.observation == Observation::TimedOut {
                    self.connections.mark_suspect(self.options.clock.now());
                }
                self.connections.release(finished.connection);
                self.report(request, finished.exchanged).await;
            }
            (Some(request), _) => {
                // The task failed, and it is not known what it had written.
                self.connections.release(None);
                let evidence = FailureEvidence::MayHaveRun(UnknownReason::ConnectionLost);
                let exchanged = ExchangeOutcome {
                    result: ExchangeResult::Failed(evidence),
                    observation: Observation::Inconclusive,
                };
                self.report(request, exchanged).await;
            }
            (None, output) => {
                self.connections.release(None);
                let healthy = matches!(output, Ok((_, TaskOutput::Probe { healthy: true })));
                self.report_probe(healthy).await;
            }
        }
    }

    async fn report(&self, request: RequestKey, exchanged: ExchangeOutcome) {
        let end = ExchangeEnd {
            request,
            instance: self.options.instance,
            result: exchanged.result,
            observation: exchanged.observation,
        };
        let message = DispatchMessage::ExchangeEnded(end);
        let _ = self.options.exchange_ends.send(message).await;
    }

    async fn report_probe(&self, healthy: bool) {
        let instance = self.options.instance;
        let message = DispatchMessage::ProbeEnded { instance, healthy };
        let _ = self.options.exchange_ends.send(message).await;
    }
}

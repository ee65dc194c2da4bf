//! Upstream links: one task per instance owns the connections to it.

use std::net::SocketAddr;
use std::time::Duration;

use rosemaryscale_domain::connection::{Connection, Idle};
use rosemaryscale_domain::request::FailureEvidence;
use rosemaryscale_ports::clock::ClockHandle;
use rosemaryscale_ports::dispatch::DispatchMessage;
use rosemaryscale_ports::link::{Exchange, ExchangeEnd, ExchangeResult, Link, LinkMessage};
use rosemaryscale_ports::prelude::*;
use tokio::task::JoinSet;

mod counting;
pub(crate) mod transport;

use transport::Transport;
pub(crate) use transport::end_to_end;

const MESSAGES: usize = 256;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// What a link's task needs.
pub struct LinkOptions {
    /// Key of the instance in its dispatcher.
    pub instance: InstanceKey,
    /// Where the instance accepts connections.
    pub address: SocketAddr,
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
        options,
        idle: Vec::new(),
        running: JoinSet::new(),
    };
    (Link { messages }, task.serve(receiver))
}

type IdleConnection = Connection<Idle, Transport>;

/// End of an exchange together with its connection, if that can carry another one.
struct Finished {
    end: ExchangeEnd,
    connection: Option<IdleConnection>,
}

/// State of a link.
struct LinkTask {
    options: LinkOptions,
    idle: Vec<IdleConnection>,
    running: JoinSet<Finished>,
}

impl LinkTask {
    async fn serve(mut self, mut messages: mpsc::Receiver<LinkMessage>) {
        loop {
            tokio::select! {
                message = messages.recv() => match message {
                    Some(LinkMessage::Exchange(exchange)) => self.start_exchange(exchange),
                    Some(LinkMessage::AllowConnections(_)) => {}
                    Some(LinkMessage::Retire) | None => break,
                },
                Some(finished) = self.running.join_next() => self.finish(finished).await,
            }
        }
        while let Some(finished) = self.running.join_next().await {
            self.finish(finished).await;
        }
    }

    fn start_exchange(&mut self, exchange: Exchange) {
        let idle = self.idle.pop();
        let clock = ClockHandle::clone(&self.options.clock);
        let instance = self.options.instance;
        let address = self.options.address;
        self.running.spawn(async move {
            let request = exchange.request;
            let (result, connection) = run(exchange, idle, address, &clock).await;
            Finished {
                end: ExchangeEnd {
                    request,
                    instance,
                    result,
                },
                connection,
            }
        });
    }

    async fn finish(&mut self, finished: Result<Finished, tokio::task::JoinError>) {
        let Ok(Finished { end, connection }) = finished else {
            return;
        };
        self.idle.extend(connection);
        let _ = self
            .options
            .ends
            .send(DispatchMessage::Exchanged(end))
            .await;
    }
}

/// Carries out an exchange on an idle connection, or on a fresh one if there is none or it turns
/// out to be closed.
async fn run(
    exchange: Exchange,
    idle: Option<IdleConnection>,
    address: SocketAddr,
    clock: &ClockHandle,
) -> (ExchangeResult, Option<IdleConnection>) {
    let time_left = Duration::from_millis(exchange.deadline.ms_since(clock.now()));
    let deadline = tokio::time::Instant::now() + time_left;
    let connection = match reuse(idle).await {
        Some(connection) => connection,
        None => match connect(address, deadline).await {
            Some(transport) => Connection::open(transport, clock.now()),
            None => {
                return (
                    ExchangeResult::Failed(FailureEvidence::NothingWritten),
                    None,
                );
            }
        },
    };
    let mut busy = connection.start(exchange.request);
    let result = busy.transport.exchange(&exchange, deadline).await;
    match result {
        ExchangeResult::Complete(_) => {
            let idle = busy.complete(clock.now());
            (result, Some(idle))
        }
        _ => (result, None),
    }
}

async fn reuse(idle: Option<IdleConnection>) -> Option<IdleConnection> {
    let mut connection = idle?;
    connection.transport.is_usable().await.then_some(connection)
}

async fn connect(address: SocketAddr, deadline: tokio::time::Instant) -> Option<Transport> {
    let connect = tokio::time::timeout(CONNECT_TIMEOUT, Transport::open(address));
    tokio::time::timeout_at(deadline, connect)
        .await
        .ok()?
        .ok()?
        .ok()
}

//! Performs a single exchange or probe on a connection.

use std::net::SocketAddr;
use std::time::Duration;

use http::{HeaderMap, Method};
use rosemaryscale_domain::connection::{Connection, Idle};
use rosemaryscale_domain::health::Observation;
use rosemaryscale_domain::request::FailureEvidence;
use rosemaryscale_ports::clock::ClockHandle;
use rosemaryscale_ports::link::{Exchange, ExchangeResult, OutboundRequest};
use rosemaryscale_ports::prelude::*;
use tokio::time::Instant;

use super::transport::{ExchangeOutcome, Transport};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
const PROBE_PATH: &str = "/health";
const PROBE_RESPONSE_LIMIT_BYTES: u64 = 64 << 10;

pub(super) type IdleConnection = Connection<Idle, Transport>;

/// Outcome of an exchange, with its connection if that can be reused.
pub(super) struct FinishedExchange {
    pub(super) exchanged: ExchangeOutcome,
    pub(super) connection: Option<IdleConnection>,
}

impl FinishedExchange {
    const fn without_connection(exchanged: ExchangeOutcome) -> Self {
        Self {
            exchanged,
            connection: None,
        }
    }

    /// Returns whether the connection was closed before anything of the request was written.
    const fn was_stale(&self) -> bool {
        let nothing_written = matches!(
            self.exchanged.result,
            ExchangeResult::Failed(FailureEvidence::NothingWritten)
        );
        nothing_written && matches!(self.exchanged.observation, Observation::ConnectionLost)
    }
}

/// Performs an exchange on an idle connection. Uses a new connection if there is no idle one or if
/// it was closed before anything was written.
pub(super) async fn run(
    exchange: Exchange,
    idle: Option<IdleConnection>,
    address: SocketAddr,
    clock: &ClockHandle,
) -> FinishedExchange {
    let remaining_ms = exchange.deadline.ms_since(clock.now());
    if remaining_ms == 0 {
        return FinishedExchange::without_connection(ExchangeOutcome::not_sent());
    }
    let deadline = Instant::now() + Duration::from_millis(remaining_ms);
    if let Some(connection) = check_still_idle(idle).await {
        let finished = run_on(connection, &exchange, deadline, clock).await;
        if !finished.was_stale() {
            return finished;
        }
    }
    match connect(address, deadline).await {
        Ok(transport) => {
            let connection = Connection::open(transport, clock.now());
            run_on(connection, &exchange, deadline, clock).await
        }
        Err(observation) => FinishedExchange::without_connection(ExchangeOutcome {
            result: ExchangeResult::Failed(FailureEvidence::NothingWritten),
            observation,
        }),
    }
}

async fn run_on(
    connection: IdleConnection,
    exchange: &Exchange,
    deadline: Instant,
    clock: &ClockHandle,
) -> FinishedExchange {
    let mut busy = connection.start(exchange.request);
    let exchanged = busy.transport.exchange(exchange, deadline).await;
    let reusable = match exchanged.result {
        ExchangeResult::Complete(_) | ExchangeResult::Failed(FailureEvidence::RefusedNotRun) => {
            busy.transport.is_idle().await
        }
        _ => false,
    };
    let connection = reusable.then(|| busy.complete(clock.now()));
    FinishedExchange {
        exchanged,
        connection,
    }
}

async fn check_still_idle(idle: Option<IdleConnection>) -> Option<IdleConnection> {
    let mut connection = idle?;
    // Lets the runtime process a close or unexpected bytes that have arrived in the meantime.
    tokio::task::yield_now().await;
    connection.transport.is_idle().await.then_some(connection)
}

/// Opens a connection. If the caller's deadline passes first, that indicates nothing about the
/// health of the instance.
async fn connect(address: SocketAddr, deadline: Instant) -> Result<Transport, Observation> {
    let connect = tokio::time::timeout(CONNECT_TIMEOUT, Transport::open(address));
    match tokio::time::timeout_at(deadline, connect).await {
        Ok(Ok(Ok(transport))) => Ok(transport),
        Ok(_) => Err(Observation::ConnectFailed),
        Err(_) => Err(Observation::Inconclusive),
    }
}

/// Returns whether the instance responds to `GET /health` on a new connection with a success
/// status.
pub(super) async fn probe(address: SocketAddr) -> bool {
    let deadline = Instant::now() + PROBE_TIMEOUT;
    let Ok(mut transport) = connect(address, deadline).await else {
        return false;
    };
    let exchange = Exchange {
        request: RequestKey::default(),
        outbound: OutboundRequest {
            method: Method::GET,
            path: PROBE_PATH.into(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
        },
        deadline: Millis::MAX,
        prefer_recently_used: false,
        response_limit_bytes: PROBE_RESPONSE_LIMIT_BYTES,
    };
    let exchanged = transport.exchange(&exchange, deadline).await;
    matches!(exchanged.result, ExchangeResult::Complete(response) if response.status.is_success())
}

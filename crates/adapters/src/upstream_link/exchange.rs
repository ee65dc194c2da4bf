//! Carries out one exchange or one probe on a connection.

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

use super::transport::{Exchanged, Transport};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
const PROBE_PATH: &str = "/health";
const PROBE_RESPONSE_LIMIT_BYTES: u64 = 64 << 10;

pub(super) type IdleConnection = Connection<Idle, Transport>;

/// End of an exchange together with its connection, if that can carry another one.
pub(super) struct Finished {
    pub(super) exchanged: Exchanged,
    pub(super) connection: Option<IdleConnection>,
}

impl Finished {
    const fn without_connection(exchanged: Exchanged) -> Self {
        Self {
            exchanged,
            connection: None,
        }
    }

    /// Whether the connection was closed before the request reached it.
    const fn was_stale(&self) -> bool {
        let nothing_written = matches!(
            self.exchanged.result,
            ExchangeResult::Failed(FailureEvidence::NothingWritten)
        );
        nothing_written && matches!(self.exchanged.observation, Observation::ConnectionLost)
    }
}

/// Carries out an exchange on an idle connection, or on a fresh one if there is none or it turns
/// out to be closed before anything was written.
pub(super) async fn run(
    exchange: Exchange,
    idle: Option<IdleConnection>,
    address: SocketAddr,
    clock: &ClockHandle,
) -> Finished {
    let left_ms = exchange.deadline.ms_since(clock.now());
    if left_ms == 0 {
        return Finished::without_connection(Exchanged::not_sent());
    }
    let deadline = Instant::now() + Duration::from_millis(left_ms);
    if let Some(connection) = reuse(idle).await {
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
        Err(observation) => Finished::without_connection(Exchanged {
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
) -> Finished {
    let mut busy = connection.start(exchange.request);
    let exchanged = busy.transport.exchange(exchange, deadline).await;
    let reusable = match exchanged.result {
        ExchangeResult::Complete(_) | ExchangeResult::Failed(FailureEvidence::RefusedNotRun) => {
            busy.transport.is_idle().await
        }
        _ => false,
    };
    let connection = reusable.then(|| busy.complete(clock.now()));
    Finished {
        exchanged,
        connection,
    }
}

async fn reuse(idle: Option<IdleConnection>) -> Option<IdleConnection> {
    let mut connection = idle?;
    // Lets the runtime see a close or stray bytes that have arrived in the meantime.
    tokio::task::yield_now().await;
    connection.transport.is_idle().await.then_some(connection)
}

/// Opens a connection. A caller's short deadline says nothing of the instance.
async fn connect(address: SocketAddr, deadline: Instant) -> Result<Transport, Observation> {
    let connect = tokio::time::timeout(CONNECT_TIMEOUT, Transport::open(address));
    match tokio::time::timeout_at(deadline, connect).await {
        Ok(Ok(Ok(transport))) => Ok(transport),
        Ok(_) => Err(Observation::ConnectFailed),
        Err(_) => Err(Observation::Inconclusive),
    }
}

/// Whether the instance answers `GET /health` with success on a fresh connection.
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
        prefer_proven: false,
        response_limit_bytes: PROBE_RESPONSE_LIMIT_BYTES,
    };
    let exchanged = transport.exchange(&exchange, deadline).await;
    matches!(exchanged.result, ExchangeResult::Complete(response) if response.status.is_success())
}

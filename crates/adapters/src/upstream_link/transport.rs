//! A single HTTP/1.1 connection to an upstream.
//!
//! The connection is polled only by the exchange that uses it. When an exchange is abandoned, its
//! socket is closed, so the count of written bytes is final and a late response is never read.

use std::future::{Future, poll_fn};
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::task::Poll;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use rosemaryscale_domain::health::Observation;
use rosemaryscale_domain::outcome::UnknownReason;
use rosemaryscale_domain::request::FailureEvidence;
use rosemaryscale_ports::link::{self, Exchange, ExchangeResult, OutboundRequest};
use tokio::net::TcpStream;
use tokio::time::Instant;

use super::counting::{CountingStream, WrittenBytes};

const NOT_RUN_HEADER: &str = "x-not-run";
const RESPONSE_HEADERS_MAX: usize = 256;
/// Limits the size of a response head and the read buffer of a connection.
const BUFFER_MAX_BYTES: usize = 64 << 10;
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(100);
/// Headers that apply to a single connection and are not forwarded.
pub(crate) const HOP_BY_HOP_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

type Driver = http1::Connection<TokioIo<CountingStream>, Full<Bytes>>;

/// A connection: the sender of requests and the future that performs the I/O.
pub(super) struct Transport {
    sender: SendRequest<Full<Bytes>>,
    driver: Option<Driver>,
    written: WrittenBytes,
    host: SocketAddr,
}

impl Transport {
    /// Opens a connection.
    pub(super) async fn open(address: SocketAddr) -> std::io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (stream, written) = CountingStream::new(stream);
        let (sender, driver) = http1::Builder::new()
            .max_headers(RESPONSE_HEADERS_MAX)
            .max_buf_size(BUFFER_MAX_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(std::io::Error::other)?;
        Ok(Self {
            sender,
            driver: Some(driver),
            written,
            host: address,
        })
    }

    /// Returns whether the connection can be reused: the last request was written in full, its
    /// response was read in full, and the upstream has neither closed the connection nor sent
    /// further bytes.
    pub(super) async fn is_idle(&mut self) -> bool {
        let Self { sender, driver, .. } = self;
        drive(driver, std::future::ready(())).await;
        driver.is_some() && sender.is_ready()
    }

    /// Sends a request and reads the complete response.
    pub(super) async fn exchange(
        &mut self,
        exchange: &Exchange,
        deadline: Instant,
    ) -> ExchangeOutcome {
        let written_before = self.written.get();
        let future = self.send_and_read(exchange);
        let failure = match tokio::time::timeout_at(deadline, future).await {
            Ok(Ok(exchanged)) => return exchanged,
            Ok(Err(reason)) => reason,
            Err(_) => UnknownReason::TimedOut,
        };
        self.driver = None;
        let evidence = if self.written.get() == written_before {
            FailureEvidence::NothingWritten
        } else {
            FailureEvidence::MayHaveRun(failure)
        };
        ExchangeOutcome {
            result: ExchangeResult::Failed(evidence),
            observation: match failure {
                UnknownReason::TimedOut => Observation::TimedOut,
                UnknownReason::Malformed => Observation::ErrorResponse,
                _ => Observation::ConnectionLost,
            },
        }
    }

    async fn send_and_read(
        &mut self,
        exchange: &Exchange,
    ) -> Result<ExchangeOutcome, UnknownReason> {
        let Some(request) = build_request(&exchange.outbound, self.host) else {
            return Ok(ExchangeOutcome::not_sent());
        };
        let Self { sender, driver, .. } = self;
        let response = drive(driver, sender.send_request(request))
            .await
            .map_err(|error| classify_head_error(&error))?;
        let refused = response.status() == StatusCode::SERVICE_UNAVAILABLE
            && response
                .headers()
                .get(NOT_RUN_HEADER)
                .is_some_and(|value| value == "true");
        let limit_bytes = exchange.response_limit_bytes;
        if refused {
            // The head alone proves the refusal. The body is read only to allow reuse of the
            // connection.
            let body = drive(driver, read_body(response.into_body(), limit_bytes));
            let read_result = tokio::time::timeout(REFUSAL_BODY_TIMEOUT, body).await;
            if !matches!(read_result, Ok(Ok(Some(_)))) {
                *driver = None;
            }
            return Ok(ExchangeOutcome {
                result: ExchangeResult::Failed(FailureEvidence::RefusedNotRun),
                observation: Observation::Overloaded,
            });
        }
        if !is_self_delimited(&response) {
            return Err(UnknownReason::Malformed);
        }
        let (head, body) = response.into_parts();
        let Some(body) = drive(driver, read_body(body, limit_bytes)).await? else {
            *driver = None;
            return Ok(ExchangeOutcome {
                result: ExchangeResult::ResponseTooLarge,
                observation: Observation::Answered,
            });
        };
        let observation = if head.status.is_server_error() {
            Observation::ErrorResponse
        } else {
            Observation::Answered
        };
        Ok(ExchangeOutcome {
            result: ExchangeResult::Complete(into_link_response(Response::from_parts(head, body))),
            observation,
        })
    }
}

/// Outcome of an exchange on a connection.
pub(super) struct ExchangeOutcome {
    pub(super) result: ExchangeResult,
    pub(super) observation: Observation,
}

impl ExchangeOutcome {
    /// Nothing was sent, for a reason internal to the daemon.
    pub(super) const fn not_sent() -> Self {
        Self {
            result: ExchangeResult::Failed(FailureEvidence::NothingWritten),
            observation: Observation::Inconclusive,
        }
    }
}

fn classify_head_error(error: &hyper::Error) -> UnknownReason {
    if error.is_parse() || error.is_parse_too_large() {
        UnknownReason::Malformed
    } else {
        UnknownReason::ConnectionLost
    }
}

/// Returns whether the response defines its own length. A response that ends when the connection
/// closes may have been truncated anywhere. A switch of protocols is not accepted, because none was
/// requested.
fn is_self_delimited(response: &Response<Incoming>) -> bool {
    if response.status() == StatusCode::SWITCHING_PROTOCOLS {
        return false;
    }
    let chunked = response
        .headers()
        .get_all(http::header::TRANSFER_ENCODING)
        .iter()
        .next_back()
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.rsplit(',').next())
        .is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"));
    // The length is known to be zero if the status or the method does not allow a body.
    chunked || response.body().size_hint().exact().is_some()
}

/// Polls the connection together with a future that depends on it.
async fn drive<T>(driver: &mut Option<Driver>, future: impl Future<Output = T>) -> T {
    let mut future = pin!(future);
    poll_fn(|context| {
        let ended = driver
            .as_mut()
            .is_some_and(|driver| Pin::new(driver).poll(context).is_ready());
        if ended {
            // Dropping the driver completes the future that waits for the connection.
            *driver = None;
        }
        match future.as_mut().poll(context) {
            Poll::Ready(output) => Poll::Ready(output),
            Poll::Pending if ended => future.as_mut().poll(context),
            Poll::Pending => Poll::Pending,
        }
    })
    .await
}

fn build_request(outbound: &OutboundRequest, host: SocketAddr) -> Option<Request<Full<Bytes>>> {
    let uri: Uri = outbound.path.parse().ok()?;
    let mut request = Request::new(Full::new(outbound.body.clone()));
    *request.method_mut() = outbound.method.clone();
    *request.uri_mut() = uri;
    *request.headers_mut() = outbound.headers.clone();
    let host = host.to_string().parse().ok()?;
    request.headers_mut().insert(http::header::HOST, host);
    Some(request)
}

/// Reads a body. Returns `None` if it exceeds the limit.
async fn read_body(mut body: Incoming, limit_bytes: u64) -> Result<Option<Bytes>, UnknownReason> {
    if body.size_hint().lower() > limit_bytes {
        return Ok(None);
    }
    let mut buffer = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| UnknownReason::Truncated)?.into_data() else {
            continue;
        };
        if (buffer.len() + data.len()) as u64 > limit_bytes {
            return Ok(None);
        }
        buffer.extend_from_slice(&data);
    }
    Ok(Some(buffer.freeze()))
}

fn into_link_response(response: Response<Bytes>) -> link::Response {
    let (head, body) = response.into_parts();
    link::Response {
        status: head.status,
        headers: remove_hop_by_hop_headers(head.headers),
        body,
    }
}

/// Removes the headers that apply to a single connection, including those listed in `Connection`.
pub(crate) fn remove_hop_by_hop_headers(mut headers: HeaderMap) -> HeaderMap {
    let listed: Vec<String> = headers
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in HOP_BY_HOP_HEADERS
        .into_iter()
        .chain(listed.iter().map(String::as_str))
    {
        headers.remove(name);
    }
    headers
}

//! One HTTP/1.1 connection to an upstream.
//!
//! The connection is driven only by the exchange that uses it. When an exchange is given up, the
//! socket is dropped with it, so the count of written bytes is final and a late response has no
//! reader.

use std::future::{Future, poll_fn};
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::task::Poll;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use rosemaryscale_domain::outcome::UnknownReason;
use rosemaryscale_domain::request::FailureEvidence;
use rosemaryscale_ports::link::{self, Exchange, ExchangeResult, OutboundRequest};
use tokio::net::TcpStream;
use tokio::time::Instant;

use super::counting::{CountingStream, WrittenBytes};

const NOT_RUN_HEADER: &str = "x-not-run";
/// Headers that concern one connection and are not passed on.
pub(crate) const HOP_HEADERS: [&str; 9] = [
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

/// A connection and the half that drives it.
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
        let (sender, driver) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(std::io::Error::other)?;
        Ok(Self {
            sender,
            driver: Some(driver),
            written,
            host: address,
        })
    }

    /// Whether the connection can carry another exchange. A close by the upstream is seen here.
    pub(super) async fn is_usable(&mut self) -> bool {
        let Self { sender, driver, .. } = self;
        drive(driver, sender.ready()).await.is_ok() && driver.is_some()
    }

    /// Sends a request and reads the whole response.
    pub(super) async fn exchange(
        &mut self,
        exchange: &Exchange,
        deadline: Instant,
    ) -> ExchangeResult {
        let before = self.written.get();
        let work = self.send_and_read(exchange);
        let failure = match tokio::time::timeout_at(deadline, work).await {
            Ok(Ok(result)) => return result,
            Ok(Err(reason)) => reason,
            Err(_) => UnknownReason::TimedOut,
        };
        self.driver = None;
        if self.written.get() == before {
            ExchangeResult::Failed(FailureEvidence::NothingWritten)
        } else {
            ExchangeResult::Failed(FailureEvidence::MayHaveRun(failure))
        }
    }

    async fn send_and_read(
        &mut self,
        exchange: &Exchange,
    ) -> Result<ExchangeResult, UnknownReason> {
        let Some(request) = request(&exchange.outbound, self.host) else {
            return Ok(ExchangeResult::Failed(FailureEvidence::NothingWritten));
        };
        let Self { sender, driver, .. } = self;
        let response = drive(driver, sender.send_request(request))
            .await
            .map_err(|_| UnknownReason::ConnectionLost)?;
        let refused = response.status() == StatusCode::SERVICE_UNAVAILABLE
            && response.headers().contains_key(NOT_RUN_HEADER);
        let (head, body) = response.into_parts();
        let Some(body) = drive(driver, read(body, exchange.response_limit_bytes)).await? else {
            return Ok(ExchangeResult::ResponseTooLarge);
        };
        if refused {
            return Ok(ExchangeResult::Failed(FailureEvidence::RefusedNotRun));
        }
        let response = Response::from_parts(head, body);
        Ok(ExchangeResult::Complete(complete(response)))
    }
}

/// Polls the connection together with the work that waits for it.
async fn drive<T>(driver: &mut Option<Driver>, work: impl Future<Output = T>) -> T {
    let mut work = pin!(work);
    poll_fn(|context| {
        let ended = driver
            .as_mut()
            .is_some_and(|driver| Pin::new(driver).poll(context).is_ready());
        if ended {
            // Dropping the driver ends work that waits for the connection.
            *driver = None;
        }
        match work.as_mut().poll(context) {
            Poll::Ready(output) => Poll::Ready(output),
            Poll::Pending if ended => work.as_mut().poll(context),
            Poll::Pending => Poll::Pending,
        }
    })
    .await
}

fn request(outbound: &OutboundRequest, host: SocketAddr) -> Option<Request<Full<Bytes>>> {
    let uri: Uri = outbound.path.parse().ok()?;
    let mut request = Request::new(Full::new(outbound.body.clone()));
    *request.method_mut() = outbound.method.clone();
    *request.uri_mut() = uri;
    *request.headers_mut() = outbound.headers.clone();
    let host = host.to_string().parse().ok()?;
    request.headers_mut().insert(http::header::HOST, host);
    Some(request)
}

/// Reads a body; `None` if it is over the limit.
async fn read(mut body: Incoming, limit_bytes: u64) -> Result<Option<Bytes>, UnknownReason> {
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| UnknownReason::Truncated)?.into_data() else {
            continue;
        };
        if (whole.len() + data.len()) as u64 > limit_bytes {
            return Ok(None);
        }
        whole.extend_from_slice(&data);
    }
    Ok(Some(whole.freeze()))
}

fn complete(response: Response<Bytes>) -> link::Response {
    let (head, body) = response.into_parts();
    link::Response {
        status: head.status,
        headers: end_to_end(head.headers),
        body,
    }
}

/// Removes headers that concern one connection.
pub(crate) fn end_to_end(mut headers: HeaderMap) -> HeaderMap {
    let named: Vec<String> = headers
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in HOP_HEADERS
        .into_iter()
        .chain(named.iter().map(String::as_str))
    {
        headers.remove(name);
    }
    headers
}

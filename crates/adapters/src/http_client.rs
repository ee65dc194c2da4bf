//! An HTTP client for the services of the platform, with bounds on the silence of a server in each call.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::{ETAG, IF_NONE_MATCH};
use http::{HeaderValue, Method, Request, Response, StatusCode, Uri};
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::{HttpConnector, capture_connection};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use snafu::Snafu;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::reply::{ReplyBounds, ReplyError, read_body};

/// Idle connections are closed after this time, before a firewall drops their state.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// A range of the store can contain a few values of up to 1 MB each, encoded in base64.
const RESPONSE_MAX_BYTES: usize = 32 << 20;

/// Why a call failed.
#[derive(Debug)]
#[derive(Snafu)]
pub enum HttpError {
    /// No connection could be opened, so nothing was sent.
    #[snafu(display("cannot connect: {reason}"))]
    NotConnected {
        /// Description of the failure.
        reason: String,
    },
    /// The connection was refused, so nothing was sent.
    #[snafu(display("nothing listens at the address: {reason}"))]
    NotListening {
        /// Description of the failure.
        reason: String,
    },
    /// No complete reply arrived; the server may have received the call.
    #[snafu(display("no complete reply: {reason}"))]
    NoReply {
        /// Description of the failure.
        reason: String,
        /// Bytes of the reply's body that had arrived.
        received_bytes: u64,
        /// Time since the call got its connection; `None` if it had none.
        connection_age_ms: Option<u64>,
    },
}

impl From<ReplyError> for HttpError {
    fn from(error: ReplyError) -> Self {
        Self::NoReply {
            reason: error.to_string(),
            received_bytes: error.received_bytes(),
            connection_age_ms: None,
        }
    }
}

impl HttpError {
    /// Adds when the call got its connection.
    fn with_connection(mut self, connected_at: Option<Instant>) -> Self {
        if let Self::NoReply {
            connection_age_ms, ..
        } = &mut self
        {
            let age_ms = |at: Instant| u64::try_from(at.elapsed().as_millis()).unwrap_or(u64::MAX);
            *connection_age_ms = connected_at.map(age_ms);
        }
        self
    }
}

/// A complete reply.
#[derive(Clone, Debug)]
pub struct HttpReply {
    /// Status.
    pub status: StatusCode,
    /// Body.
    pub body: Bytes,
    /// Entity tag, if the server sent one.
    pub etag: Option<HeaderValue>,
}

/// Client of one server.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    bounds: ReplyBounds,
}

impl HttpClient {
    /// Creates a client; `bounds` limit the silence of the server in each call.
    #[must_use]
    pub fn new(address: SocketAddr, bounds: impl Into<ReplyBounds>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .retry_canceled_requests(false)
            .build(connector);
        Self {
            client,
            address,
            bounds: bounds.into(),
        }
    }

    /// Makes a call and reads the complete reply.
    ///
    /// # Errors
    ///
    /// Fails when the server is silent for too long before or during its reply.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<HttpReply, HttpError> {
        let request = self.request(method, path, body)?;
        self.exchange(self.bounds, request).await
    }

    /// Makes a call with additional headers and its own bounds.
    ///
    /// # Errors
    ///
    /// Fails when the server is silent for too long before or during its reply.
    pub async fn call_with_bounds(
        &self,
        bounds: impl Into<ReplyBounds>,
        (method, path): (Method, &str),
        headers: &[(&'static str, HeaderValue)],
        body: Bytes,
    ) -> Result<HttpReply, HttpError> {
        let mut request = self.request(method, path, body)?;
        for (name, value) in headers {
            request.headers_mut().insert(*name, value.clone());
        }
        self.exchange(bounds.into(), request).await
    }

    /// Reads a resource, and publishes the number of bytes received so far. Returns `None` if the server states a
    /// length above `max_bytes`; such a body is not read.
    ///
    /// # Errors
    ///
    /// Fails when the server is silent for too long before or during its reply.
    pub async fn read_at_most(
        &self,
        max_bytes: u64,
        bounds: ReplyBounds,
        path: &str,
        progress: &watch::Sender<u64>,
    ) -> Result<Option<HttpReply>, HttpError> {
        let request = self.request(Method::GET, path, Bytes::new())?;
        let response = self.open(bounds, request, &mut None).await?;
        let length_bytes = response.body().size_hint().lower();
        if length_bytes > max_bytes {
            return Ok(None);
        }
        let reply = complete(response, bounds, Some(progress)).await?;
        Ok(Some(reply))
    }

    /// Creates a client for the same server that shares no connections with this one.
    #[must_use]
    pub fn with_new_connections(&self) -> Self {
        Self::new(self.address, self.bounds)
    }

    /// Reads a resource. If its entity tag still matches `etag`, the reply has status 304 and no
    /// body.
    ///
    /// # Errors
    ///
    /// Fails when the server is silent for too long before or during its reply.
    pub async fn read_if_changed(
        &self,
        path: &str,
        etag: Option<HeaderValue>,
    ) -> Result<HttpReply, HttpError> {
        let mut request = self.request(Method::GET, path, Bytes::new())?;
        if let Some(etag) = etag {
            request.headers_mut().insert(IF_NONE_MATCH, etag);
        }
        self.exchange(self.bounds, request).await
    }

    async fn exchange(
        &self,
        bounds: ReplyBounds,
        request: Request<Full<Bytes>>,
    ) -> Result<HttpReply, HttpError> {
        let mut connected_at = None;
        let reply = async {
            let response = self.open(bounds, request, &mut connected_at).await?;
            complete(response, bounds, None).await
        };
        let reply = reply.await;
        reply.map_err(|error| error.with_connection(connected_at))
    }

    /// Sends a request and waits until the reply begins. Notes when the request got its connection.
    async fn open(
        &self,
        bounds: ReplyBounds,
        mut request: Request<Full<Bytes>>,
        connected_at: &mut Option<Instant>,
    ) -> Result<Response<Incoming>, HttpError> {
        let upload_bytes = request.body().size_hint().lower();
        let bounds = bounds.with_upload(upload_bytes);
        let mut connection = capture_connection(&mut request);
        let response = async {
            let response = self.send(request);
            tokio::pin!(response);
            tokio::select! {
                result = &mut response => return result,
                connected = connection.wait_for_connection_metadata() => {
                    *connected_at = connected.as_ref().map(|_| Instant::now());
                }
            }
            response.await
        };
        let response = tokio::time::timeout(bounds.head(), response).await;
        response.map_err(|_| ReplyError::NotBegun {
            waited_ms: bounds.head_ms,
        })?
    }

    /// Makes a call and returns the response when its head has arrived, for bodies that are
    /// streamed.
    ///
    /// # Errors
    ///
    /// Fails when no response head arrives. Only the timeout for connecting applies.
    pub async fn call_streaming(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Response<Incoming>, HttpError> {
        self.send(self.request(method, path, body)?).await
    }

    fn request(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Request<Full<Bytes>>, HttpError> {
        let uri: Uri = format!("http://{}{path}", self.address)
            .parse()
            .map_err(|_| HttpError::NotConnected {
                reason: format!("bad path {path}"),
            })?;
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = method;
        *request.uri_mut() = uri;
        Ok(request)
    }

    async fn send(&self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, HttpError> {
        self.client.request(request).await.map_err(|error| {
            let (reason, refused) = root_cause(&error);
            if error.is_connect() && refused {
                HttpError::NotListening { reason }
            } else if error.is_connect() {
                HttpError::NotConnected { reason }
            } else {
                HttpError::NoReply {
                    reason,
                    received_bytes: 0,
                    connection_age_ms: None,
                }
            }
        })
    }
}

/// Reads the rest of a reply.
async fn complete(
    response: Response<Incoming>,
    bounds: ReplyBounds,
    progress: Option<&watch::Sender<u64>>,
) -> Result<HttpReply, HttpError> {
    let status = response.status();
    let etag = response.headers().get(ETAG).cloned();
    let body = response.into_body();
    let body = read_body(body, bounds, RESPONSE_MAX_BYTES, progress).await?;
    Ok(HttpReply { status, body, etag })
}

/// Returns the text of the innermost cause, which names the failed system call, and whether the
/// connection was refused.
fn root_cause(error: &(dyn std::error::Error + 'static)) -> (String, bool) {
    let mut cause = error;
    while let Some(source) = cause.source() {
        cause = source;
    }
    let refused = cause
        .downcast_ref::<std::io::Error>()
        .is_some_and(|error| error.kind() == std::io::ErrorKind::ConnectionRefused);
    (cause.to_string(), refused)
}

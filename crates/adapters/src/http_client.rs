//! An HTTP client for the services of the platform, with a timeout for each call.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::{ETAG, IF_NONE_MATCH};
use http::{HeaderValue, Method, Request, StatusCode, Uri};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use snafu::Snafu;

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
    },
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
    timeout: Duration,
}

impl HttpClient {
    /// Creates a client; `timeout` limits the duration of each call.
    #[must_use]
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
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
            timeout,
        }
    }

    /// Makes a call and reads the complete reply.
    ///
    /// # Errors
    ///
    /// Fails when no complete reply arrives within the timeout.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<HttpReply, HttpError> {
        self.exchange(self.request(method, path, body)?).await
    }

    /// Makes a call with additional headers and its own timeout.
    ///
    /// # Errors
    ///
    /// Fails when no complete reply arrives within the timeout.
    pub async fn call_with_timeout(
        &self,
        timeout: Duration,
        (method, path): (Method, &str),
        headers: &[(&'static str, HeaderValue)],
        body: Bytes,
    ) -> Result<HttpReply, HttpError> {
        let mut request = self.request(method, path, body)?;
        for (name, value) in headers {
            request.headers_mut().insert(*name, value.clone());
        }
        self.exchange_with_timeout(timeout, request).await
    }

    /// Creates a client for the same server that shares no connections with this one.
    #[must_use]
    pub fn with_new_connections(&self) -> Self {
        Self::new(self.address, self.timeout)
    }

    /// Reads a resource. If its entity tag still matches `etag`, the reply has status 304 and no
    /// body.
    ///
    /// # Errors
    ///
    /// Fails when no complete reply arrives within the timeout.
    pub async fn read_if_changed(
        &self,
        path: &str,
        etag: Option<HeaderValue>,
    ) -> Result<HttpReply, HttpError> {
        let mut request = self.request(Method::GET, path, Bytes::new())?;
        if let Some(etag) = etag {
            request.headers_mut().insert(IF_NONE_MATCH, etag);
        }
        self.exchange(request).await
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<HttpReply, HttpError> {
        self.exchange_with_timeout(self.timeout, request).await
    }

    async fn exchange_with_timeout(
        &self,
        timeout: Duration,
        request: Request<Full<Bytes>>,
    ) -> Result<HttpReply, HttpError> {
        let mut received_bytes = 0;
        let mut expected_bytes = None;
        let exchange = async {
            let response = self.send(request).await?;
            let status = response.status();
            let etag = response.headers().get(ETAG).cloned();
            expected_bytes = response.body().size_hint().exact();
            let mut body = Limited::new(response.into_body(), RESPONSE_MAX_BYTES);
            let mut content = BytesMut::new();
            while let Some(frame) = body.frame().await {
                let frame = frame.map_err(|error| HttpError::NoReply {
                    reason: error.to_string(),
                    received_bytes,
                })?;
                if let Ok(data) = frame.into_data() {
                    received_bytes += data.len() as u64;
                    content.extend_from_slice(&data);
                }
            }
            let body = content.freeze();
            Ok(HttpReply { status, body, etag })
        };
        let result = tokio::time::timeout(timeout, exchange).await;
        result.unwrap_or_else(|_| {
            Err(HttpError::NoReply {
                reason: timeout_reason(timeout, received_bytes, expected_bytes),
                received_bytes,
            })
        })
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
    ) -> Result<http::Response<Incoming>, HttpError> {
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

    async fn send(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<http::Response<Incoming>, HttpError> {
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
                }
            }
        })
    }
}

/// Tells a server that is silent from one whose reply is slow.
fn timeout_reason(timeout: Duration, received_bytes: u64, expected_bytes: Option<u64>) -> String {
    let timeout_ms = timeout.as_millis();
    match expected_bytes {
        Some(expected) => {
            format!("timeout after {timeout_ms} ms, {received_bytes} of {expected} bytes received")
        }
        None => format!("timeout after {timeout_ms} ms, {received_bytes} bytes received"),
    }
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

//! The JSON-RPC client for calls between daemons. A reply is bounded by its silences, not by its duration.

use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Body;
use jsonrpsee::core::client::Error as ClientError;
use jsonrpsee::core::http_helpers::HttpError;
use jsonrpsee::http_client::transport::Error as TransportError;
use jsonrpsee::http_client::{
    HttpBackend, HttpClient, HttpClientBuilder, HttpRequest, HttpResponse, RpcLogger, RpcService,
};
use tower::{Layer, Service, ServiceBuilder};

use crate::reply::{ReplyBounds, ReplyError, read_body};

/// Maximum size of a message: leaves room for a configuration of 1 MiB or a document of 900,000 bytes, which grow when
/// they are escaped as JSON strings.
pub(crate) const MESSAGE_MAX_BYTES: u32 = 4 << 20;
/// The client's own bound on a whole call. The bounds on silence end a call that makes no progress long before.
const CALL_MAX: Duration = Duration::from_secs(60);

/// A client of one daemon.
pub(crate) type RpcClient = HttpClient<RpcLogger<RpcService<BoundedReplies<HttpBackend>>>>;

/// Creates a client. No connection is opened before the first call.
pub(crate) fn connect(address: SocketAddr, bounds: ReplyBounds) -> Result<RpcClient, ClientError> {
    HttpClientBuilder::default()
        .request_timeout(CALL_MAX)
        .max_request_size(MESSAGE_MAX_BYTES)
        .max_response_size(MESSAGE_MAX_BYTES)
        .set_http_middleware(ServiceBuilder::new().layer(BoundedReplyLayer(bounds)))
        .build(format!("http://{address}"))
}

/// Whether a call failed since the server was silent for too long.
pub(crate) fn is_timeout(error: &ClientError) -> bool {
    let ClientError::Transport(error) = error else {
        return matches!(error, ClientError::RequestTimeout);
    };
    let Some(TransportError::Http(HttpError::Stream(cause))) = error.downcast_ref() else {
        return false;
    };
    matches!(
        cause.downcast_ref(),
        Some(ReplyError::NotBegun { .. } | ReplyError::Paused { .. })
    )
}

/// Adds the bounds to a transport.
#[derive(Clone, Copy)]
struct BoundedReplyLayer(ReplyBounds);

impl<S> Layer<S> for BoundedReplyLayer {
    type Service = BoundedReplies<S>;

    fn layer(&self, inner: S) -> Self::Service {
        BoundedReplies {
            inner,
            bounds: self.0,
        }
    }
}

/// A transport that reads whole replies within bounds on their silences.
#[derive(Clone)]
pub(crate) struct BoundedReplies<S> {
    inner: S,
    bounds: ReplyBounds,
}

impl<S, B> Service<HttpRequest> for BoundedReplies<S>
where
    S: Service<HttpRequest, Response = HttpResponse<B>, Error = TransportError>,
    S::Future: Send + 'static,
    B: Body<Data = Bytes> + Send + Unpin + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    type Response = HttpResponse<Full<Bytes>>;
    type Error = TransportError;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>> + Send>>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.inner.poll_ready(context)
    }

    fn call(&mut self, request: HttpRequest) -> Self::Future {
        let upload_bytes = request.body().size_hint().lower();
        let bounds = self.bounds.with_upload(upload_bytes);
        let reply = self.inner.call(request);
        Box::pin(async move {
            let reply = tokio::time::timeout(bounds.head(), reply).await;
            let not_begun = |_| {
                transport_error(ReplyError::NotBegun {
                    waited_ms: bounds.head_ms,
                })
            };
            let (head, body) = reply.map_err(not_begun)??.into_parts();
            let body = read_body(body, bounds, MESSAGE_MAX_BYTES as usize, None).await;
            let body = body.map_err(transport_error)?;
            Ok(HttpResponse::from_parts(head, Full::new(body)))
        })
    }
}

fn transport_error(error: ReplyError) -> TransportError {
    TransportError::Http(HttpError::Stream(error.into()))
}

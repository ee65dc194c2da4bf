//! A minimal HTTP/1.1 server that owns its connection tasks and joins them when it stops.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::task::{JoinHandle, JoinSet};

/// Body of a reply; an error in it aborts the connection in the middle of the reply.
pub type ReplyBody = BoxBody<Bytes, std::io::Error>;

/// Result of a handler; `None` closes the connection without a reply.
pub type Reply = Option<Response<ReplyBody>>;

/// A running server.
#[derive(Debug)]
pub struct HttpServer {
    address: SocketAddr,
    stop: oneshot::Sender<()>,
    task: JoinHandle<()>,
}

/// Number of a connection, counted from 1 in order of opening.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionNumber(pub u64);

impl HttpServer {
    /// Starts a server; port 0 picks a free port.
    ///
    /// # Errors
    ///
    /// Fails when the address is taken.
    pub async fn start<H, F>(address: SocketAddr, handler: H) -> std::io::Result<Self>
    where
        H: Fn(ConnectionNumber, Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Reply> + Send + 'static,
    {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (stop, stop_requested) = oneshot::channel();
        let task = tokio::spawn(accept_connections(listener, handler, stop_requested));
        Ok(Self {
            address,
            stop,
            task,
        })
    }

    /// Address on which the server listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes every connection and waits for their tasks.
    pub async fn stop(self) {
        let _ = self.stop.send(());
        let _ = self.task.await;
    }
}

async fn accept_connections<H, F>(
    listener: TcpListener,
    handler: H,
    mut stop_requested: oneshot::Receiver<()>,
) where
    H: Fn(ConnectionNumber, Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    let mut connections = JoinSet::new();
    let mut last_number = 0;
    loop {
        tokio::select! {
            _ = &mut stop_requested => break,
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                let _ = stream.set_nodelay(true);
                last_number += 1;
                let number = ConnectionNumber(last_number);
                let handler = handler.clone();
                connections.spawn(async move {
                    let service = service_fn(move |request| {
                        let reply = handler(number, request);
                        async move {
                            reply.await.ok_or_else(|| std::io::Error::other("injected fault"))
                        }
                    });
                    let _ = hyper::server::conn::http1::Builder::new()
                        .serve_connection(TokioIo::new(stream), service)
                        .await;
                });
            }
        }
    }
    connections.shutdown().await;
}

/// Builds a response with a JSON body.
#[must_use]
pub fn json_response(status: StatusCode, body: &impl serde::Serialize) -> Response<ReplyBody> {
    let bytes = serde_json::to_vec(body).expect("response types can be serialized");
    let mut response = Response::new(full_body(Bytes::from(bytes)));
    *response.status_mut() = status;
    response.headers_mut().insert(
        http::header::CONTENT_TYPE,
        http::HeaderValue::from_static("application/json"),
    );
    response
}

/// Builds a body from bytes that are all available.
#[must_use]
pub fn full_body(bytes: Bytes) -> ReplyBody {
    Full::new(bytes)
        .map_err(|never: Infallible| match never {})
        .boxed()
}

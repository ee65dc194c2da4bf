//! The upstream link port: request and response exchanges with one upstream instance.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use rosemaryscale_domain::health::Observation;
use rosemaryscale_domain::prelude::*;
use rosemaryscale_domain::request::FailureEvidence;
use tokio::sync::mpsc;

/// A request to an upstream.
#[derive(Clone, Debug)]
pub struct OutboundRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query below the service, with the leading slash.
    pub path: Arc<str>,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct Response {
    /// HTTP status.
    pub status: StatusCode,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

/// One exchange for a link to perform.
#[derive(Debug)]
pub struct Exchange {
    /// Key of the request in its dispatcher.
    pub request: RequestKey,
    /// The request to send.
    pub outbound: OutboundRequest,
    /// Time by which the exchange must end.
    pub deadline: Millis,
    /// Whether to prefer a connection that is new or was recently used with success.
    pub prefer_recently_used: bool,
    /// Maximum size of the response body.
    pub response_limit_bytes: u64,
}

/// Result of an exchange.
#[derive(Debug)]
pub enum ExchangeResult {
    /// The complete response.
    Complete(Response),
    /// The response exceeded the limit, whether or not it arrived in full.
    ResponseTooLarge,
    /// No complete response arrived.
    Failed(FailureEvidence),
}

/// Reports the end of an exchange to the dispatcher.
#[derive(Debug)]
pub struct ExchangeEnd {
    /// Key of the request in its dispatcher.
    pub request: RequestKey,
    /// The instance.
    pub instance: InstanceKey,
    /// The result.
    pub result: ExchangeResult,
    /// What the exchange indicates about the health of the instance.
    pub observation: Observation,
}

/// A message to a link.
#[derive(Debug)]
pub enum LinkMessage {
    /// Perform an exchange.
    Exchange(Exchange),
    /// Set the maximum number of open connections. Exchanges on connections above the limit are
    /// completed first.
    SetConnectionLimit(u32),
    /// Probe the health of the instance on a new connection and report the result to the
    /// dispatcher.
    Probe,
    /// Complete the exchanges in flight and stop.
    Shutdown,
}

/// Handle to a link.
#[derive(Clone, Debug)]
pub struct Link {
    /// Messages to the link's task.
    pub messages: mpsc::Sender<LinkMessage>,
}

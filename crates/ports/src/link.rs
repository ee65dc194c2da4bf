//! The upstream link port: exchanges with one upstream instance.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use rosemaryscale_domain::health::Observation;
use rosemaryscale_domain::prelude::*;
use rosemaryscale_domain::request::FailureEvidence;
use tokio::sync::mpsc;

/// A request as it is sent to an upstream.
#[derive(Clone, Debug)]
pub struct OutboundRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query below the service, with the leading slash.
    pub path: Arc<str>,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct Response {
    /// HTTP status.
    pub status: StatusCode,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// One exchange for a link to carry out.
#[derive(Debug)]
pub struct Exchange {
    /// Key of the request in its dispatcher.
    pub request: RequestKey,
    /// What to send.
    pub outbound: OutboundRequest,
    /// When the exchange must have ended.
    pub deadline: Millis,
    /// Whether a fresh or recently proven connection is preferred.
    pub prefer_proven: bool,
    /// Longest response body.
    pub response_limit_bytes: u64,
}

/// How an exchange ended.
#[derive(Debug)]
pub enum ExchangeResult {
    /// The complete response.
    Complete(Response),
    /// The response was complete or on its way but over the limit.
    ResponseTooLarge,
    /// No complete response.
    Failed(FailureEvidence),
}

/// End of an exchange, sent to the dispatcher.
#[derive(Debug)]
pub struct ExchangeEnd {
    /// Key of the request in its dispatcher.
    pub request: RequestKey,
    /// The instance.
    pub instance: InstanceKey,
    /// How it ended.
    pub result: ExchangeResult,
    /// What it showed of the instance.
    pub observation: Observation,
}

/// Message to a link.
#[derive(Debug)]
pub enum LinkMessage {
    /// Carry out an exchange.
    Exchange(Exchange),
    /// Set how many connections may be open. Those that carry an exchange beyond it finish it.
    AllowConnections(u32),
    /// Ask the instance for its health on a fresh connection; the result goes to the dispatcher.
    Probe,
    /// Finish the exchanges in flight and stop.
    Retire,
}

/// Handle of a link.
#[derive(Clone, Debug)]
pub struct Link {
    /// Messages to the link's task.
    pub messages: mpsc::Sender<LinkMessage>,
}

//! The dispatch port: hands requests of callers to the dispatcher of a service.

use std::sync::Arc;

use rosemaryscale_domain::key::InstanceKey;
use rosemaryscale_domain::outcome::{NotRun, OutcomeUnknown};
use rosemaryscale_domain::spare::ServiceUsage;
use tokio::sync::{mpsc, oneshot};

use crate::instance::ServiceView;
use crate::link::{ExchangeEnd, OutboundRequest, Response};
use crate::peer::PeerObservation;
use crate::slots::SlotLimits;

/// A request that a front end submits.
#[derive(Debug)]
pub struct Submission {
    /// Name of the caller.
    pub caller: Arc<str>,
    /// Work class; the service's default if `None`.
    pub class: Option<Arc<str>>,
    /// Time that the caller waits, in milliseconds; the service's default if `None`.
    pub deadline_ms: Option<u64>,
    /// Idempotency key.
    pub idempotency_key: Option<Arc<str>>,
    /// The request to send to the upstream.
    pub outbound: OutboundRequest,
    /// Receives the outcome. If the receiver is dropped while the request is queued, the request is
    /// cancelled.
    pub reply: oneshot::Sender<Outcome>,
}

/// Outcome of a request.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// The complete response of the upstream.
    Answered(Response),
    /// The request is proven not to have run.
    NotRun(NotRun),
    /// The request may have run.
    Unknown(OutcomeUnknown),
    /// The request ran, but its response exceeds the limit.
    ResponseTooLarge {
        /// The limit.
        limit_bytes: u64,
    },
    /// The request was malformed and did not run.
    Invalid(InvalidRequest),
}

/// Why a request was malformed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InvalidRequest {
    /// The work class is not defined in the document.
    UnknownClass(Arc<str>),
    /// The idempotency key is not a version 7 UUID or is older than the retention period.
    KeyExpired,
    /// The idempotency key was already used with a different body.
    KeyReused,
}

/// A message to a dispatcher.
#[derive(Debug)]
pub enum DispatchMessage {
    /// Dispatch a request.
    Submit(Submission),
    /// An exchange ended.
    ExchangeEnded(ExchangeEnd),
    /// Apply new slot limits.
    Slots(SlotLimits),
    /// A probe ended.
    ProbeEnded {
        /// The instance.
        instance: InstanceKey,
        /// Whether the instance responded with a success status.
        healthy: bool,
    },
    /// A peer observed a refusing instance, which may belong to another service.
    PeerObserved(PeerObservation),
    /// The service's limits or instances changed.
    Configure(Arc<ServiceView>),
    /// Report the number of requests in flight on an instance.
    InFlight {
        /// The instance.
        instance: Arc<str>,
        /// Receives the number.
        reply: oneshot::Sender<u32>,
    },
    /// Report the numbers of requests in flight and queued.
    Usage {
        /// Receives the usage.
        reply: oneshot::Sender<ServiceUsage>,
    },
    /// Accept no new requests, complete the accepted ones and stop.
    Stop,
}

/// Handle to the dispatcher of a service.
#[derive(Clone, Debug)]
pub struct DispatcherHandle {
    /// Messages to the dispatcher's task.
    pub messages: mpsc::Sender<DispatchMessage>,
    /// Maximum size of a request body, enforced by the front end.
    pub body_limit_bytes: u64,
    /// Time that a caller waits if it states no deadline, in milliseconds.
    pub default_deadline_ms: u64,
    /// Maximum time that a caller may wait, in milliseconds.
    pub request_limit_ms: u64,
}

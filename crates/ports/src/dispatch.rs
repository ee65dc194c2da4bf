//! The dispatch port: from callers to the dispatcher of a service.

use std::sync::Arc;

use rosemaryscale_domain::key::InstanceKey;
use rosemaryscale_domain::outcome::{NotRun, OutcomeUnknown};
use rosemaryscale_domain::spare::ServiceUsage;
use tokio::sync::{mpsc, oneshot};

use crate::instance::ServiceView;
use crate::link::{ExchangeEnd, OutboundRequest, Response};
use crate::peer::PeerObservation;
use crate::slots::SlotLimits;

/// A request as a front end hands it over.
#[derive(Debug)]
pub struct Submission {
    /// Name of the caller.
    pub caller: Arc<str>,
    /// Work class; the service's default if none.
    pub class: Option<Arc<str>>,
    /// How long the caller waits, in milliseconds; the service's default if none.
    pub deadline_ms: Option<u64>,
    /// Idempotency key.
    pub idempotency_key: Option<Arc<str>>,
    /// What to send to the upstream.
    pub outbound: OutboundRequest,
    /// Where the outcome goes. The request is cancelled when the receiver is dropped while it is
    /// queued.
    pub reply: oneshot::Sender<Outcome>,
}

/// What the caller is told.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// The complete response of the upstream.
    Answered(Response),
    /// The request certainly did not run.
    NotRun(NotRun),
    /// The request may have run.
    Unknown(OutcomeUnknown),
    /// The request ran but its response is over the limit.
    ResponseTooLarge {
        /// The limit.
        limit_bytes: u64,
    },
    /// The request was malformed and did not run.
    Invalid(Invalid),
}

/// Why a request was malformed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Invalid {
    /// The work class is not in the document.
    UnknownClass(Arc<str>),
    /// The idempotency key is not a UUID of version 7 or is older than the retention.
    KeyExpired,
    /// The idempotency key was used with another body.
    KeyReused,
}

/// Message to a dispatcher.
#[derive(Debug)]
pub enum DispatchMessage {
    /// A request.
    Submit(Submission),
    /// An exchange ended.
    Exchanged(ExchangeEnd),
    /// Slots that the dispatcher may use.
    Slots(SlotLimits),
    /// A probe ended.
    Probed {
        /// The instance.
        instance: InstanceKey,
        /// Whether it answered its probe with success.
        healthy: bool,
    },
    /// A peer observed an instance, of this service or of another one.
    PeerObserved(PeerObservation),
    /// The service's limits or instances changed.
    Configure(Arc<ServiceView>),
    /// Report the requests in flight on an instance.
    InFlight {
        /// The instance.
        instance: Arc<str>,
        /// Where the number goes.
        reply: oneshot::Sender<u32>,
    },
    /// Report the requests in flight and queued.
    Usage {
        /// Where the usage goes.
        reply: oneshot::Sender<ServiceUsage>,
    },
    /// Accept nothing new, finish everything, stop.
    Stop,
}

/// Handle of a service's dispatcher.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// Messages to the dispatcher's task.
    pub messages: mpsc::Sender<DispatchMessage>,
    /// Longest request body, for the front end.
    pub body_limit_bytes: u64,
    /// How long a caller waits if it does not say, in milliseconds.
    pub default_deadline_ms: u64,
    /// Longest wait of a caller, in milliseconds.
    pub request_limit_ms: u64,
}

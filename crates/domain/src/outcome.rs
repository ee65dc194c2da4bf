//! Outcomes of requests that have no response: not run, or unknown.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Reason why a request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NotRunReason {
    /// The queue limit of the service, the work class or the caller is reached.
    QueueFull,
    /// The deadline cannot be met.
    DeadlineUnreachable,
    /// The deadline passed while the request was queued.
    DeadlinePassed,
    /// No instance of the service accepts connections.
    NoInstance,
    /// The idempotency key could not be claimed before the deadline.
    ClaimUnavailable,
    /// The caller disconnected while the request was queued.
    Cancelled,
    /// The daemon is stopping and accepts no new requests.
    Stopping,
    /// On every attempt, the upstream refused the request without running it or was unreachable.
    UpstreamRefused,
}

impl fmt::Display for NotRunReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::QueueFull => "the queue is full",
            Self::DeadlineUnreachable => "the deadline cannot be met",
            Self::DeadlinePassed => "the deadline passed while the request was queued",
            Self::NoInstance => "no instance of the service accepts connections",
            Self::ClaimUnavailable => "the idempotency key could not be claimed in time",
            Self::Cancelled => "the caller disconnected",
            Self::Stopping => "the daemon is stopping",
            Self::UpstreamRefused => "no upstream accepted the request",
        })
    }
}

/// Proof that a request was not run.
///
/// Only [`crate::request::Request`] and [`crate::claim::Claim`] can create one, in states in which
/// the request cannot have been run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotRun {
    reason: NotRunReason,
    retry_after_ms: Option<u64>,
}

impl NotRun {
    pub(crate) const fn new(reason: NotRunReason) -> Self {
        Self {
            reason,
            retry_after_ms: None,
        }
    }

    /// Sets the expected duration of the queue ahead of such a request.
    pub(crate) const fn with_retry_after_ms(self, retry_after_ms: u64) -> Self {
        Self {
            reason: self.reason,
            retry_after_ms: Some(retry_after_ms),
        }
    }

    /// Returns the time after which the caller should resend the request, in milliseconds, if
    /// known.
    #[must_use]
    pub const fn retry_after_ms(&self) -> Option<u64> {
        self.retry_after_ms
    }

    /// Returns why the request was not run.
    #[must_use]
    pub const fn reason(&self) -> NotRunReason {
        self.reason
    }
}

/// Reason why the outcome of a dispatched request is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UnknownReason {
    /// The connection failed after part of the request was written.
    ConnectionLost,
    /// The response did not arrive before the deadline.
    TimedOut,
    /// The response was truncated.
    Truncated,
    /// The response was not valid HTTP, or had neither a content length nor chunked encoding, so
    /// its completeness cannot be verified.
    Malformed,
    /// The daemon that dispatched the request has terminated or no longer has the response.
    HolderGone,
}

impl fmt::Display for UnknownReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::ConnectionLost => "the connection to the upstream was lost",
            Self::TimedOut => "the upstream did not answer before the deadline",
            Self::Truncated => "the response of the upstream was truncated",
            Self::Malformed => {
                "the response of the upstream was malformed, or had neither a content length nor chunked encoding"
            }
            Self::HolderGone => "the daemon that sent the request no longer has the response",
        })
    }
}

/// The outcome of a request that was dispatched and may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutcomeUnknown {
    /// Why the outcome is unknown.
    pub reason: UnknownReason,
}

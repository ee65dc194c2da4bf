//! What becomes of a request.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Why a request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NotRunReason {
    /// The queue of the service, of the class or of the caller is full.
    QueueFull,
    /// The deadline cannot be met.
    DeadlineUnreachable,
    /// The deadline passed while the request was queued.
    DeadlinePassed,
    /// No instance of the service accepts connections.
    NoInstance,
    /// The idempotency key could not be claimed before the deadline.
    ClaimUnavailable,
    /// The caller went away while the request was queued.
    Cancelled,
    /// The daemon is stopping and accepts no new requests.
    Stopping,
    /// The upstream refused the request without running it, or could not be reached, on every try.
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
            Self::Cancelled => "the caller went away",
            Self::Stopping => "the daemon is stopping",
            Self::UpstreamRefused => "no upstream accepted the request",
        })
    }
}

/// Proof that a request was not run.
///
/// Only [`crate::request::Request`] and [`crate::claim::Claim`] can make one, in a state that rules
/// out execution.
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

    /// Adds how long the queue in front of such a request is expected to last.
    pub(crate) const fn with_retry_after_ms(self, retry_after_ms: u64) -> Self {
        Self {
            reason: self.reason,
            retry_after_ms: Some(retry_after_ms),
        }
    }

    /// When the caller should send the request again, in milliseconds from now, if known.
    #[must_use]
    pub const fn retry_after_ms(&self) -> Option<u64> {
        self.retry_after_ms
    }

    /// Why the request was not run.
    #[must_use]
    pub const fn reason(&self) -> NotRunReason {
        self.reason
    }
}

/// Why the outcome of a dispatched request is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UnknownReason {
    /// The connection failed after part of the request was written.
    ConnectionLost,
    /// The response did not arrive before the deadline.
    TimedOut,
    /// The response was cut short.
    Truncated,
    /// The response was no valid HTTP, or had neither a length nor chunks, so that its completeness
    /// cannot be proved.
    Malformed,
    /// The request was dispatched by a daemon that is gone or no longer has the response.
    HolderGone,
}

impl fmt::Display for UnknownReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::ConnectionLost => "the connection to the upstream was lost",
            Self::TimedOut => "the upstream did not answer before the deadline",
            Self::Truncated => "the response of the upstream was cut short",
            Self::Malformed => {
                "the response of the upstream was malformed, or had neither a length nor chunks"
            }
            Self::HolderGone => "the daemon that sent the request no longer has the response",
        })
    }
}

/// A request was dispatched and may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutcomeUnknown {
    /// Why the outcome is not known.
    pub reason: UnknownReason,
}

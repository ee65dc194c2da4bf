//! Life cycle of a request as typestates: `Queued`, `Dispatched`, `Answered`.

use serde::{Deserialize, Serialize};

use crate::outcome::{NotRun, NotRunReason, OutcomeUnknown, UnknownReason};
use crate::prelude::*;

/// Index of a work class in the class list of its service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ClassIndex(pub u8);

/// Properties of a request that scheduling decisions depend on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestInfo {
    /// Caller that sent it.
    pub caller: CallerKey,
    /// Work class within the service.
    pub class: ClassIndex,
    /// Time at which the daemon received it.
    pub arrived: Millis,
    /// Time at which the caller stops waiting.
    pub deadline: Millis,
    /// Whether the document declares the route repeatable.
    pub repeatable: bool,
    /// Whether the request has an idempotency key, which must be claimed before dispatch.
    pub keyed: bool,
}

/// State of a request that waits for a slot.
#[derive(Clone, Copy, Debug)]
pub struct Queued {
    /// Number of dispatches that ended without a response.
    pub failed_attempts: u32,
    may_have_run: Option<UnknownReason>,
}

/// State of a request that was passed to an upstream link.
#[derive(Clone, Copy, Debug)]
pub struct Dispatched {
    /// Instance that it was sent to.
    pub instance: InstanceKey,
    /// Time at which it was passed to the link.
    pub at: Millis,
    failed_attempts: u32,
    may_have_run: Option<UnknownReason>,
}

/// State of a request whose complete response was received.
#[derive(Clone, Copy, Debug)]
pub struct Answered {
    /// Instance that answered.
    pub instance: InstanceKey,
    /// Time at which the response was received.
    pub at: Millis,
}

/// Evidence of whether a request was executed, after its exchange failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureEvidence {
    /// No byte of the request was written.
    NothingWritten,
    /// The upstream refused the request and stated that it did not run it.
    RefusedNotRun,
    /// At least one byte was written and no complete response was received.
    MayHaveRun(UnknownReason),
}

/// A request in one state of its life cycle.
#[derive(Clone, Copy, Debug)]
pub struct Request<S> {
    /// Properties of the request.
    pub info: RequestInfo,
    /// Data of the current state.
    pub state: S,
}

/// Result of a request that ends without a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// It definitely was not run.
    NotRun(NotRun),
    /// An earlier attempt may have run it.
    Unknown(OutcomeUnknown),
}

impl Refusal {
    /// Sets when the caller should resend a request that was not run.
    #[must_use]
    pub const fn with_retry_after_ms(self, retry_after_ms: u64) -> Self {
        match self {
            Self::NotRun(proof) => Self::NotRun(proof.with_retry_after_ms(retry_after_ms)),
            Self::Unknown(unknown) => Self::Unknown(unknown),
        }
    }
}

/// State of a request after a failed exchange.
#[derive(Clone, Copy, Debug)]
pub enum FailureOutcome {
    /// It may be sent again, because it was not run or is repeatable.
    Queued(Request<Queued>),
    /// It may have run and must not be repeated.
    Unknown(OutcomeUnknown),
}

impl Request<Queued> {
    /// Creates a request that has just arrived.
    #[must_use]
    pub const fn new(info: RequestInfo) -> Self {
        Self {
            info,
            state: Queued {
                failed_attempts: 0,
                may_have_run: None,
            },
        }
    }

    /// Passes the request to the link of `instance`.
    #[must_use]
    pub const fn dispatch(self, instance: InstanceKey, now: Millis) -> Request<Dispatched> {
        let Queued {
            failed_attempts,
            may_have_run,
        } = self.state;
        let state = Dispatched {
            instance,
            at: now,
            failed_attempts,
            may_have_run,
        };
        Request {
            info: self.info,
            state,
        }
    }

    /// Ends the request without another dispatch. A repeatable request that an earlier attempt may
    /// have run ends with an unknown outcome.
    #[must_use]
    pub const fn refuse(self, reason: NotRunReason) -> Refusal {
        match self.state.may_have_run {
            None => Refusal::NotRun(NotRun::new(reason)),
            Some(reason) => Refusal::Unknown(OutcomeUnknown { reason }),
        }
    }
}

impl Request<Dispatched> {
    /// Records the complete response.
    #[must_use]
    pub const fn answer(self, now: Millis) -> Request<Answered> {
        Request {
            info: self.info,
            state: Answered {
                instance: self.state.instance,
                at: now,
            },
        }
    }

    /// Records that the exchange failed.
    #[must_use]
    pub const fn fail(self, evidence: FailureEvidence) -> FailureOutcome {
        let may_have_run = match evidence {
            FailureEvidence::MayHaveRun(reason) if !self.info.repeatable => {
                return FailureOutcome::Unknown(OutcomeUnknown { reason });
            }
            FailureEvidence::MayHaveRun(reason) => Some(reason),
            FailureEvidence::NothingWritten | FailureEvidence::RefusedNotRun => {
                self.state.may_have_run
            }
        };
        let state = Queued {
            failed_attempts: self.state.failed_attempts + 1,
            may_have_run,
        };
        FailureOutcome::Queued(Request {
            info: self.info,
            state,
        })
    }
}

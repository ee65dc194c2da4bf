//! The life cycle of a request: `Queued`, `Dispatched`, `Answered`.

use serde::{Deserialize, Serialize};

use crate::outcome::{NotRun, NotRunReason, OutcomeUnknown, UnknownReason};
use crate::prelude::*;

/// Position of a work class in its service's list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ClassIndex(pub u8);

/// What the decisions need to know of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestInfo {
    /// Who asks.
    pub caller: CallerKey,
    /// Work class within the service.
    pub class: ClassIndex,
    /// When the daemon received it.
    pub arrived: Millis,
    /// When the caller stops waiting.
    pub deadline: Millis,
    /// Whether the document declares the route repeatable.
    pub repeatable: bool,
    /// Whether the request carries an idempotency key and must be claimed before dispatch.
    pub keyed: bool,
}

/// State of a request that waits for a slot.
#[derive(Clone, Copy, Debug)]
pub struct Queued {
    /// Dispatches that ended without a response so far.
    pub failed_tries: u32,
    may_have_run: Option<UnknownReason>,
}

/// State of a request that was handed to an upstream link.
#[derive(Clone, Copy, Debug)]
pub struct Dispatched {
    /// The instance it was sent to.
    pub instance: InstanceKey,
    /// When it was handed over.
    pub at: Millis,
    failed_tries: u32,
    may_have_run: Option<UnknownReason>,
}

/// State of a request whose complete response arrived.
#[derive(Clone, Copy, Debug)]
pub struct Answered {
    /// The instance that answered.
    pub instance: InstanceKey,
    /// When the response arrived.
    pub at: Millis,
}

/// What is known of execution after an exchange failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureEvidence {
    /// No byte of the request was written.
    NothingWritten,
    /// The upstream refused the request and stated that it did not run it.
    RefusedNotRun,
    /// At least one byte was written and no complete response arrived.
    MayHaveRun(UnknownReason),
}

/// A request in one state of its life cycle.
#[derive(Clone, Copy, Debug)]
pub struct Request<S> {
    /// What the decisions need to know of it.
    pub info: RequestInfo,
    /// Data of the current state.
    pub state: S,
}

/// How a request ends without a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// It certainly did not run.
    NotRun(NotRun),
    /// An earlier try may have run it.
    Unknown(OutcomeUnknown),
}

impl Refusal {
    /// Adds when the caller should send a request again that did not run.
    #[must_use]
    pub const fn with_retry_after_ms(self, retry_after_ms: u64) -> Self {
        match self {
            Self::NotRun(proof) => Self::NotRun(proof.with_retry_after_ms(retry_after_ms)),
            Self::Unknown(unknown) => Self::Unknown(unknown),
        }
    }
}

/// Where a failed exchange leaves a request.
#[derive(Clone, Copy, Debug)]
pub enum AfterFailure {
    /// It may be sent again, since it did not run or may be repeated.
    Queued(Request<Queued>),
    /// It may have run and must not be repeated.
    Unknown(OutcomeUnknown),
}

impl Request<Queued> {
    /// A request that has just arrived.
    #[must_use]
    pub const fn new(info: RequestInfo) -> Self {
        Self {
            info,
            state: Queued {
                failed_tries: 0,
                may_have_run: None,
            },
        }
    }

    /// Hands the request to the link of `instance`.
    #[must_use]
    pub const fn dispatch(self, instance: InstanceKey, now: Millis) -> Request<Dispatched> {
        let Queued {
            failed_tries,
            may_have_run,
        } = self.state;
        let state = Dispatched {
            instance,
            at: now,
            failed_tries,
            may_have_run,
        };
        Request {
            info: self.info,
            state,
        }
    }

    /// Ends the request without another dispatch. A repeatable request that an earlier try may have
    /// run ends with an unknown outcome.
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
    pub const fn fail(self, evidence: FailureEvidence) -> AfterFailure {
        let may_have_run = match evidence {
            FailureEvidence::MayHaveRun(reason) if !self.info.repeatable => {
                return AfterFailure::Unknown(OutcomeUnknown { reason });
            }
            FailureEvidence::MayHaveRun(reason) => Some(reason),
            FailureEvidence::NothingWritten | FailureEvidence::RefusedNotRun => {
                self.state.may_have_run
            }
        };
        let state = Queued {
            failed_tries: self.state.failed_tries + 1,
            may_have_run,
        };
        AfterFailure::Queued(Request {
            info: self.info,
            state,
        })
    }
}

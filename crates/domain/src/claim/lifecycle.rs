//! Life cycle of a claim as typestates: `Requested`, then `Held` or `Following`, then `Settled`.

use super::key::IdempotencyKey;
use super::record::{BodyDigest, Holder, Nonce, Record};
use crate::outcome::{NotRun, NotRunReason, OutcomeUnknown};
use crate::prelude::*;

/// State of a claim that is not known to be in the store.
#[derive(Clone, Copy, Debug)]
pub struct Requested {
    /// Nonce of the record to be stored.
    pub nonce: Nonce,
    /// Whether a write with the record was sent, so the record may be in the store.
    pub written: bool,
    /// Nonce of a peer's claim that may be replaced, because the peer promised not to dispatch it.
    pub given_up_by_peer: Option<Nonce>,
}

/// State of a claim that is in the store; its request was passed to the dispatcher.
#[derive(Clone, Copy, Debug)]
pub struct Held {
    /// Nonce of the record.
    pub nonce: Nonce,
}

/// State of a request whose key is claimed by another daemon.
#[derive(Clone, Debug)]
pub struct Following {
    /// The other daemon.
    pub holder: Holder,
    /// Nonce of its claim.
    pub nonce: Nonce,
    /// Time of the next query; `None` while one is in flight.
    pub ask_at: Option<Millis>,
}

/// Outcome of a claim.
#[derive(Clone, Copy, Debug)]
pub enum ClaimOutcome {
    /// The request ran and has an outcome of this size.
    Ran {
        /// Size of the outcome.
        bytes: u64,
    },
    /// It may have run.
    Unknown(OutcomeUnknown),
    /// It was not run, and the claim is given up.
    NotRun(NotRun),
}

/// State of a claim whose outcome is known, or will never be known.
#[derive(Clone, Copy, Debug)]
pub struct Settled {
    /// Nonce of the record.
    pub nonce: Nonce,
    /// The outcome.
    pub outcome: ClaimOutcome,
}

/// A claim in one state of its life cycle.
#[derive(Clone, Debug)]
pub struct Claim<S> {
    /// The key.
    pub key: IdempotencyKey,
    /// Digest of the request.
    pub digest: BodyDigest,
    /// Deadline of the first caller; the request is not dispatched after it.
    pub deadline: Millis,
    /// Time by which the claim must be stored: the deadline, or earlier so that the bucket still
    /// exists.
    pub claim_by: Millis,
    /// Data of the current state.
    pub state: S,
}

impl<S> Claim<S> {
    fn with_state<T>(self, state: T) -> Claim<T> {
        Claim {
            key: self.key,
            digest: self.digest,
            deadline: self.deadline,
            claim_by: self.claim_by,
            state,
        }
    }
}

impl Claim<Requested> {
    /// Records that the claim is in the store. This transition is the only one that dispatches the
    /// request, so it is dispatched once.
    #[must_use]
    pub fn hold(self) -> Claim<Held> {
        let nonce = self.state.nonce;
        self.with_state(Held { nonce })
    }

    /// Refuses a request before its claim is enqueued.
    #[must_use]
    pub const fn refuse(&self) -> NotRun {
        NotRun::new(NotRunReason::QueueFull)
    }

    /// Gives up a claim whose request was not dispatched.
    #[must_use]
    pub fn abandon(self, reason: NotRunReason) -> Claim<Settled> {
        let nonce = self.state.nonce;
        let outcome = ClaimOutcome::NotRun(NotRun::new(reason));
        self.with_state(Settled { nonce, outcome })
    }

    /// Records that another daemon holds the key.
    #[must_use]
    pub fn follow(self, record: &Record, now: Millis) -> Claim<Following> {
        self.with_state(Following {
            holder: record.holder.clone(),
            nonce: record.nonce,
            ask_at: Some(now),
        })
    }

    /// Records that the request may have been dispatched under an earlier claim whose outcome is
    /// lost.
    #[must_use]
    pub fn lost(self, earlier: Nonce, unknown: OutcomeUnknown) -> Claim<Settled> {
        let outcome = ClaimOutcome::Unknown(unknown);
        self.with_state(Settled {
            nonce: earlier,
            outcome,
        })
    }
}

impl Claim<Held> {
    /// Records the outcome of the request.
    #[must_use]
    pub fn settle(self, outcome: ClaimOutcome) -> Claim<Settled> {
        let nonce = self.state.nonce;
        self.with_state(Settled { nonce, outcome })
    }

    /// Gives up the claim because the request did not reach a dispatcher.
    #[must_use]
    pub fn withdraw(self, reason: NotRunReason) -> Claim<Settled> {
        self.settle(ClaimOutcome::NotRun(NotRun::new(reason)))
    }
}

impl Claim<Following> {
    /// Claims the key again after the other daemon promised not to dispatch its request.
    #[must_use]
    pub fn request_again(self, nonce: Nonce) -> Claim<Requested> {
        let given_up_by_peer = Some(self.state.nonce);
        self.with_state(Requested {
            nonce,
            written: false,
            given_up_by_peer,
        })
    }

    /// Adopts the outcome reported by the other daemon.
    #[must_use]
    pub fn settle(self, outcome: ClaimOutcome) -> Claim<Settled> {
        let nonce = self.state.nonce;
        self.with_state(Settled { nonce, outcome })
    }
}

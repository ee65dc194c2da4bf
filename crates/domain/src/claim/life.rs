//! The life cycle of a claim: `Requested`, `Held` or `Following`, `Settled`.

use super::key::IdempotencyKey;
use super::record::{BodyDigest, Holder, Nonce, Record};
use crate::outcome::{NotRun, NotRunReason, OutcomeUnknown};
use crate::prelude::*;

/// State of a claim that is not known to be in the store.
#[derive(Clone, Copy, Debug)]
pub struct Requested {
    /// Nonce that the record carries.
    pub nonce: Nonce,
    /// Whether a write that contains the record was sent, so that it may be in the store.
    pub written: bool,
    /// Claim of a peer that promised not to dispatch it; it may be replaced.
    pub given_up_by_peer: Option<Nonce>,
}

/// State of a claim that is in the store; its request was handed to the dispatcher.
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
    /// Its claim.
    pub nonce: Nonce,
    /// When to ask it next; none while a call is in flight.
    pub ask_at: Option<Millis>,
}

/// How a claim ended.
#[derive(Clone, Copy, Debug)]
pub enum End {
    /// The request ran; its outcome takes so much memory.
    Ran {
        /// Size of the outcome.
        bytes: u64,
    },
    /// It may have run.
    Unknown(OutcomeUnknown),
    /// It was not run and the claim is given up.
    NotRun(NotRun),
}

/// State of a claim whose outcome is known or certain to stay unknown.
#[derive(Clone, Copy, Debug)]
pub struct Settled {
    /// Nonce of the record.
    pub nonce: Nonce,
    /// How it ended.
    pub end: End,
}

/// A claim in one state of its life cycle.
#[derive(Clone, Debug)]
pub struct Claim<S> {
    /// The key.
    pub key: IdempotencyKey,
    /// What was requested.
    pub digest: BodyDigest,
    /// When the first caller stops waiting; the request is not dispatched later.
    pub deadline: Millis,
    /// When the claim must be in the store: the deadline, or earlier so that the bucket still exists.
    pub claim_by: Millis,
    /// Data of the current state.
    pub state: S,
}

impl<S> Claim<S> {
    fn with<T>(self, state: T) -> Claim<T> {
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
    /// Records that the claim is in the store. The request is dispatched once, at this transition.
    #[must_use]
    pub fn hold(self) -> Claim<Held> {
        let nonce = self.state.nonce;
        self.with(Held { nonce })
    }

    /// Refuses a request whose claim was not started.
    #[must_use]
    pub const fn refuse(&self) -> NotRun {
        NotRun::new(NotRunReason::QueueFull)
    }

    /// Gives the claim up before it allowed a dispatch.
    #[must_use]
    pub fn abandon(self, reason: NotRunReason) -> Claim<Settled> {
        let nonce = self.state.nonce;
        let end = End::NotRun(NotRun::new(reason));
        self.with(Settled { nonce, end })
    }

    /// Records that another daemon holds the key.
    #[must_use]
    pub fn follow(self, record: &Record, now: Millis) -> Claim<Following> {
        self.with(Following {
            holder: record.holder.clone(),
            nonce: record.nonce,
            ask_at: Some(now),
        })
    }

    /// Records that an earlier claim of the key allowed a dispatch whose outcome is lost.
    #[must_use]
    pub fn lost(self, earlier: Nonce, unknown: OutcomeUnknown) -> Claim<Settled> {
        let end = End::Unknown(unknown);
        self.with(Settled {
            nonce: earlier,
            end,
        })
    }
}

impl Claim<Held> {
    /// Records how the request ended.
    #[must_use]
    pub fn settle(self, end: End) -> Claim<Settled> {
        let nonce = self.state.nonce;
        self.with(Settled { nonce, end })
    }

    /// Gives the claim up, since the request did not reach a dispatcher.
    #[must_use]
    pub fn withdraw(self, reason: NotRunReason) -> Claim<Settled> {
        self.settle(End::NotRun(NotRun::new(reason)))
    }
}

impl Claim<Following> {
    /// Tries to claim the key, since the other daemon promised not to dispatch its request.
    #[must_use]
    pub fn request_again(self, nonce: Nonce) -> Claim<Requested> {
        let given_up_by_peer = Some(self.state.nonce);
        self.with(Requested {
            nonce,
            written: false,
            given_up_by_peer,
        })
    }

    /// Takes over the outcome of the other daemon.
    #[must_use]
    pub fn settle(self, end: End) -> Claim<Settled> {
        let nonce = self.state.nonce;
        self.with(Settled { nonce, end })
    }
}

//! Inputs, results and actions of the claim table.

use super::key::{IdempotencyKey, KeyRefusal, ShardId};
use super::record::{Holder, Nonce};
use crate::outcome::{NotRun, NotRunReason, OutcomeUnknown};
use crate::prelude::*;

/// The kind of party that waits for an outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaiterKind {
    /// The caller whose request is dispatched; the dispatcher reports the outcome.
    First,
    /// A caller whose request joined an earlier one with the same key.
    Joined,
    /// A peer daemon, which asks again when the wait ends.
    Peer,
}

/// The answer to a waiter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The outcome stored for this claim.
    Outcome(ClaimKey),
    /// The request was not run, and the claim will not be dispatched.
    NotRun {
        /// The claim.
        claim: ClaimKey,
        /// Why it was not run.
        proof: NotRun,
    },
    /// The request may have run.
    Unknown(OutcomeUnknown),
    /// The key was used with another body.
    KeyReused,
    /// Sent to peers only: the request is still running, ask again.
    StillRunning,
}

/// An action for the task that owns the claim table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimAction {
    /// Read the value of a shard.
    Read {
        /// Which value.
        shard: ShardId,
    },
    /// Write the value of a shard if its last write was at `revision`.
    Write {
        /// Which value.
        shard: ShardId,
        /// Expected revision; 0 if there is no value yet.
        revision: u64,
        /// The encoded value.
        value: Vec<u8>,
    },
    /// Hand the request to the dispatcher of its service, once.
    Dispatch {
        /// The claim.
        claim: ClaimKey,
        /// Time by which the request must have ended.
        deadline: Millis,
    },
    /// Ask another daemon for the outcome of its claim.
    AskPeer {
        /// The local claim that follows the other daemon's claim.
        claim: ClaimKey,
        /// The other daemon.
        holder: Holder,
        /// The key.
        key: IdempotencyKey,
        /// The other daemon's claim.
        nonce: Nonce,
    },
    /// Answer a waiter.
    Answer {
        /// The waiter.
        waiter: WaiterKey,
        /// The answer.
        answer: Answer,
    },
    /// Drop the stored request of a claim that will not be dispatched any more.
    DropRequest {
        /// The claim.
        claim: ClaimKey,
    },
    /// Drop the stored request and outcome of a claim.
    Drop {
        /// The claim.
        claim: ClaimKey,
    },
}

/// Context of a submitted request.
#[derive(Clone, Copy, Debug)]
pub struct SubmitContext {
    /// Monotonic time of arrival.
    pub now: Millis,
    /// Wall-clock time of arrival.
    pub wall: Millis,
    /// Memory used by the requests that wait for their claim.
    pub waiting_bytes: u64,
}

/// Result of submitting a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Submitted {
    /// It waits for its claim; the task stores its payload under `claim`.
    New {
        /// The claim.
        claim: ClaimKey,
        /// Who waits.
        waiter: WaiterKey,
    },
    /// It waits for the outcome of an earlier request.
    Joined {
        /// Who waits.
        waiter: WaiterKey,
    },
    /// The key is refused.
    Refused(KeyRefusal),
    /// The key was used with another body.
    KeyReused,
    /// Too many requests wait for their claim.
    MemoryLimitReached(NotRun),
}

/// Result of a peer's query for a claim of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// An [`Answer`] for this waiter will be sent later.
    Waiting(WaiterKey),
    /// The claim will not be dispatched, now or later.
    NotRun,
    /// This process does not have the outcome and never will.
    Lost,
}

/// Result of a dispatched request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchResult {
    /// It ran and has an outcome of this size.
    Ran {
        /// Size of the outcome.
        bytes: u64,
    },
    /// It may have run.
    Unknown(OutcomeUnknown),
    /// The dispatcher did not run it.
    NotRun(NotRun),
    /// It did not reach the dispatcher, or the dispatcher rejected it as malformed.
    Withdrawn(NotRunReason),
}

//! What goes into the claim table and what comes out of it.

use super::key::{IdempotencyKey, KeyRefusal, ShardId};
use super::record::{Holder, Nonce};
use crate::outcome::{NotRun, NotRunReason, OutcomeUnknown};
use crate::prelude::*;

/// Who waits for an outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaiterKind {
    /// The caller whose request is dispatched; it learns the outcome from the dispatcher.
    First,
    /// A caller that joined.
    Joined,
    /// A peer, which asks again when the wait ends.
    Peer,
}

/// What a waiter is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The outcome that was kept for the claim.
    Outcome(ClaimKey),
    /// The request was not run, and the claim will not be dispatched.
    NotRun {
        /// The claim.
        claim: ClaimKey,
        /// Why it was not run.
        proof: NotRun,
    },
    /// It may have run.
    Unknown(OutcomeUnknown),
    /// The key was used with another body.
    KeyReused,
    /// Only for peers: ask again.
    StillRunning,
}

/// What the task around the table must do.
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
        /// When the request must have ended.
        deadline: Millis,
    },
    /// Ask another daemon for the outcome of its claim.
    AskPeer {
        /// The claim that follows.
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
        /// What it is told.
        answer: Answer,
    },
    /// Drop the request that is kept for a claim, since it will not be dispatched any more.
    DropRequest {
        /// The claim.
        claim: ClaimKey,
    },
    /// Drop the request and the outcome that are kept for a claim.
    Drop {
        /// The claim.
        claim: ClaimKey,
    },
}

/// Circumstances of a submitted request.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// When it arrived.
    pub now: Millis,
    /// The daemon's wall clock at that time.
    pub wall: Millis,
    /// Memory of the requests that wait for their claim.
    pub waiting_bytes: u64,
}

/// What became of a submitted request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Submitted {
    /// It waits for its claim; keep its payload under `claim`.
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
    Full(NotRun),
}

/// What a peer that follows a claim is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// An [`Answer`] for this waiter follows.
    Waiting(WaiterKey),
    /// The claim will not be dispatched, now or later.
    NotRun,
    /// This process does not have the outcome and will never have it.
    Lost,
}

/// How a dispatched request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// It ran; its outcome takes so much memory.
    Ran {
        /// Size of the outcome.
        bytes: u64,
    },
    /// It may have run.
    Unknown(OutcomeUnknown),
    /// The dispatcher did not run it.
    NotRun(NotRun),
    /// It did not reach the dispatcher, or the dispatcher found it malformed.
    Withdrawn(NotRunReason),
}

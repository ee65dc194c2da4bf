//! Claim table of one daemon: requests that wait for a claim, claims that the daemon holds or
//! follows, and outcomes that are shared with later requests with the same key.

use std::collections::VecDeque;

use super::action::{
    Answer, ClaimAction, DispatchResult, Lookup, SubmitContext, Submitted, WaiterKind,
};
use super::commit::{Shard, StorePacing};
use super::key::{IdempotencyKey, ShardId};
use super::lifecycle::{Claim, ClaimOutcome, Following, Held, Requested, Settled};
use super::record::{BodyDigest, Holder, Nonce};
use super::{
    CLAIM_WAIT_MAX_MS, GIVEN_UP_MAX, OUTCOMES_MAX_BYTES, RELEASE_WAIT_MS, RETENTION_MS,
    WAITING_MAX_BYTES,
};
use crate::outcome::{NotRunReason, OutcomeUnknown, UnknownReason};
use crate::prelude::*;

/// Memory accounted for a settled claim in addition to its outcome.
const SETTLED_ENTRY_BYTES: u64 = 512;

/// A claim in any state of its life cycle.
#[derive(Clone, Debug)]
pub(super) enum ClaimState {
    Requested(Claim<Requested>),
    Held(Claim<Held>),
    Following(Claim<Following>),
    Settled(Claim<Settled>),
}

#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) state: ClaimState,
    pub(super) waiters: Vec<WaiterKey>,
    /// Time at which the caller is told that the request was not run, even if the release is not
    /// stored yet.
    answer_by: Millis,
}

#[derive(Clone, Copy, Debug)]
struct Waiter {
    claim: ClaimKey,
    kind: WaiterKind,
    until: Millis,
}

/// The claim table of one daemon.
#[derive(Debug)]
pub struct Claims {
    pub(super) holder: Holder,
    pub(super) entries: SlotMap<ClaimKey, Entry>,
    by_key: FastMap<IdempotencyKey, ClaimKey>,
    waiters: SlotMap<WaiterKey, Waiter>,
    pub(super) shards: FastMap<ShardId, Shard>,
    pub(super) following: Vec<ClaimKey>,
    pub(super) given_up: FastMap<Nonce, Millis>,
    given_up_order: VecDeque<Nonce>,
    settled_order: VecDeque<(ClaimKey, Millis)>,
    outcome_bytes: u64,
    pub(super) store_pacing: StorePacing,
    pub(super) actions: Vec<ClaimAction>,
}

impl Claims {
    /// Creates an empty table for this process.
    #[must_use]
    pub fn new(holder: Holder) -> Self {
        Self {
            holder,
            entries: SlotMap::with_key(),
            by_key: FastMap::default(),
            waiters: SlotMap::with_key(),
            shards: FastMap::default(),
            following: Vec::new(),
            given_up: FastMap::default(),
            given_up_order: VecDeque::new(),
            settled_order: VecDeque::new(),
            outcome_bytes: 0,
            store_pacing: StorePacing::default(),
            actions: Vec::new(),
        }
    }

    /// Submits a request. `nonce` must be random.
    pub fn submit(
        &mut self,
        key: IdempotencyKey,
        digest: BodyDigest,
        nonce: Nonce,
        deadline: Millis,
        context: SubmitContext,
    ) -> Submitted {
        let now = context.now;
        if let Err(refusal) = key.check(context.wall) {
            return Submitted::Refused(refusal);
        }
        if let Some(claim) = self.by_key.get(&key).copied() {
            return self.join(claim, digest, deadline);
        }
        let requested = Claim {
            key,
            digest,
            deadline,
            claim_by: deadline.min(now.after_ms(CLAIM_WAIT_MAX_MS)),
            state: Requested {
                nonce,
                written: false,
                given_up_by_peer: None,
            },
        };
        if context.waiting_bytes >= WAITING_MAX_BYTES {
            return Submitted::MemoryLimitReached(requested.refuse());
        }
        let claim = self.entries.insert(Entry {
            state: ClaimState::Requested(requested),
            waiters: Vec::new(),
            answer_by: Millis::MAX,
        });
        self.by_key.insert(key, claim);
        let waiter = self.add_waiter(claim, WaiterKind::First, deadline);
        self.enqueue(key.shard_id(), claim, now);
        Submitted::New { claim, waiter }
    }

    fn join(&mut self, claim: ClaimKey, digest: BodyDigest, deadline: Millis) -> Submitted {
        let entry = &self.entries[claim];
        if entry.digest() != digest {
            return Submitted::KeyReused;
        }
        let settled = match &entry.state {
            ClaimState::Settled(settled) => Some(settled.state.outcome),
            _ => None,
        };
        let waiter = self.add_waiter(claim, WaiterKind::Joined, deadline);
        match settled {
            Some(ClaimOutcome::Ran { .. }) => self.answer(waiter, Answer::Outcome(claim)),
            Some(ClaimOutcome::Unknown(unknown)) => self.answer(waiter, Answer::Unknown(unknown)),
            Some(ClaimOutcome::NotRun(_)) | None => {}
        }
        Submitted::Joined { waiter }
    }

    /// Answers a peer that follows a claim of this process; the peer waits until `until` at most.
    pub fn look_up(
        &mut self,
        incarnation: &str,
        key: IdempotencyKey,
        nonce: Nonce,
        until: Millis,
    ) -> Lookup {
        if *self.holder.incarnation != *incarnation {
            return Lookup::Lost;
        }
        if self.given_up.contains_key(&nonce) {
            return Lookup::NotRun;
        }
        let Some(claim) = self.by_key.get(&key).copied() else {
            return Lookup::Lost;
        };
        let answer = match &self.entries[claim].state {
            ClaimState::Requested(requested) if requested.state.nonce == nonce => None,
            ClaimState::Held(held) if held.state.nonce == nonce => None,
            ClaimState::Settled(settled) if settled.state.nonce == nonce => {
                match settled.state.outcome {
                    ClaimOutcome::Ran { .. } => Some(Answer::Outcome(claim)),
                    ClaimOutcome::Unknown(unknown) => Some(Answer::Unknown(unknown)),
                    ClaimOutcome::NotRun(proof) => Some(Answer::NotRun { claim, proof }),
                }
            }
            _ => return Lookup::Lost,
        };
        let waiter = self.add_waiter(claim, WaiterKind::Peer, until);
        if let Some(answer) = answer {
            self.answer(waiter, answer);
        }
        Lookup::Waiting(waiter)
    }

    /// Removes a waiter that disconnected. A claim without waiters is given up if its request was
    /// not dispatched yet; a dispatched request keeps running so that a retry finds its outcome.
    pub fn waiter_disconnected(&mut self, waiter: WaiterKey, now: Millis) {
        let Some(gone) = self.waiters.remove(waiter) else {
            return;
        };
        let Some(entry) = self.entries.get_mut(gone.claim) else {
            return;
        };
        entry.waiters.retain(|kept| *kept != waiter);
        if entry.waiters.is_empty() && matches!(entry.state, ClaimState::Requested(_)) {
            self.abandon(gone.claim, NotRunReason::Cancelled, now);
        }
    }

    /// Records the result of a dispatched request. The task stores the outcome under the claim.
    pub fn dispatch_ended(
        &mut self,
        claim: ClaimKey,
        dispatch_result: DispatchResult,
        now: Millis,
    ) {
        let Some(ClaimState::Held(held)) = self.entries.get(claim).map(|entry| entry.state.clone())
        else {
            return;
        };
        let settled = match dispatch_result {
            DispatchResult::Ran { bytes } => held.settle(ClaimOutcome::Ran { bytes }),
            DispatchResult::Unknown(unknown) => held.settle(ClaimOutcome::Unknown(unknown)),
            DispatchResult::NotRun(proof) => held.settle(ClaimOutcome::NotRun(proof)),
            DispatchResult::Withdrawn(reason) => held.withdraw(reason),
        };
        if matches!(settled.state.outcome, ClaimOutcome::NotRun(_)) {
            self.give_up(claim, settled, true, now);
        } else {
            self.settle(claim, settled, now);
        }
    }

    /// Advances time and returns the actions to perform. `live_members` daemons share the write
    /// budget.
    pub fn advance(&mut self, now: Millis, live_members: u64) -> Vec<ClaimAction> {
        self.expire_waiters(now);
        self.expire_claims(now);
        self.ask_peers(now);
        self.start_batches(now, live_members);
        self.evict_expired(now);
        std::mem::take(&mut self.actions)
    }

    /// Returns whether the passing of time alone can change the state.
    #[must_use]
    pub fn needs_timer(&self) -> bool {
        !self.waiters.is_empty() || self.has_pending_store_calls()
    }

    /// Returns whether any dispatched request is still running.
    #[must_use]
    pub fn has_dispatched(&self) -> bool {
        let held = |entry: &Entry| matches!(entry.state, ClaimState::Held(_));
        self.entries.values().any(held)
    }

    fn add_waiter(&mut self, claim: ClaimKey, kind: WaiterKind, until: Millis) -> WaiterKey {
        let waiter = self.waiters.insert(Waiter { claim, kind, until });
        self.entries[claim].waiters.push(waiter);
        waiter
    }

    fn answer(&mut self, waiter: WaiterKey, answer: Answer) {
        let Some(Waiter { claim, .. }) = self.waiters.remove(waiter) else {
            return;
        };
        if let Some(entry) = self.entries.get_mut(claim) {
            entry.waiters.retain(|kept| *kept != waiter);
        }
        self.actions.push(ClaimAction::Answer { waiter, answer });
    }

    pub(super) fn answer_all(&mut self, claim: ClaimKey, answer: Answer) {
        let Some(entry) = self.entries.get_mut(claim) else {
            return;
        };
        for waiter in std::mem::take(&mut entry.waiters) {
            self.waiters.remove(waiter);
            self.actions.push(ClaimAction::Answer { waiter, answer });
        }
    }

    /// Ends waits whose deadline has passed. The first caller of a dispatched request is excluded:
    /// the dispatcher ends every request by its deadline.
    fn expire_waiters(&mut self, now: Millis) {
        let overdue: Vec<(WaiterKey, Waiter)> = self
            .waiters
            .iter()
            .filter(|(_, waiter)| now >= waiter.until)
            .map(|(key, waiter)| (key, *waiter))
            .collect();
        for (key, waiter) in overdue {
            let Some(entry) = self.entries.get(waiter.claim) else {
                continue;
            };
            let answer = match (&entry.state, waiter.kind) {
                (ClaimState::Requested(_) | ClaimState::Held(_), WaiterKind::First) => continue,
                (ClaimState::Settled(_), _) => continue,
                (_, WaiterKind::Peer) => Answer::StillRunning,
                (_, WaiterKind::First | WaiterKind::Joined) => Answer::Unknown(TIMED_OUT),
            };
            self.answer(key, answer);
        }
    }

    fn expire_claims(&mut self, now: Millis) {
        let waiting: Vec<ClaimKey> = self.requested();
        for claim in waiting {
            if let ClaimState::Requested(requested) = &self.entries[claim].state
                && now >= requested.claim_by
            {
                self.abandon(claim, NotRunReason::ClaimUnavailable, now);
            }
        }
        let following = std::mem::take(&mut self.following);
        for claim in following {
            match self.entries.get(claim) {
                Some(entry) if entry.waiters.is_empty() => self.remove(claim),
                Some(entry) if matches!(entry.state, ClaimState::Following(_)) => {
                    self.following.push(claim);
                }
                _ => {}
            }
        }
        self.answer_overdue_releases(now);
    }

    fn answer_overdue_releases(&mut self, now: Millis) {
        let overdue: Vec<ClaimKey> = self
            .releasing()
            .filter(|claim| {
                let entry = self.entries.get(*claim);
                entry.is_some_and(|entry| now >= entry.answer_by)
            })
            .collect();
        for claim in overdue {
            self.answer_not_run(claim);
        }
    }

    /// Gives up a claim whose request was not dispatched.
    pub(super) fn abandon(&mut self, claim: ClaimKey, reason: NotRunReason, now: Millis) {
        let Some(ClaimState::Requested(requested)) =
            self.entries.get(claim).map(|entry| entry.state.clone())
        else {
            return;
        };
        let written = requested.state.written;
        self.give_up(claim, requested.abandon(reason), written, now);
        self.answer_not_run(claim);
    }

    /// Records that the claim will never be dispatched, and releases it if it may be in the store.
    fn give_up(&mut self, claim: ClaimKey, settled: Claim<Settled>, stored: bool, now: Millis) {
        let (key, nonce) = (settled.key, settled.state.nonce);
        self.record_given_up(nonce, now);
        let entry = &mut self.entries[claim];
        entry.state = ClaimState::Settled(settled);
        entry.answer_by = now.after_ms(RELEASE_WAIT_MS);
        if stored {
            self.enqueue_release(key, nonce, claim, now);
        } else {
            self.answer_not_run(claim);
        }
    }

    fn record_given_up(&mut self, nonce: Nonce, now: Millis) {
        self.given_up.insert(nonce, now);
        self.given_up_order.push_back(nonce);
        if self.given_up_order.len() > GIVEN_UP_MAX
            && let Some(oldest) = self.given_up_order.pop_front()
        {
            self.given_up.remove(&oldest);
        }
    }

    /// Tells the waiters that the request was not run and frees the key for a retry.
    pub(super) fn answer_not_run(&mut self, claim: ClaimKey) {
        let Some(ClaimState::Settled(settled)) = self.entries.get(claim).map(|entry| &entry.state)
        else {
            return;
        };
        if let ClaimOutcome::NotRun(proof) = settled.state.outcome {
            self.answer_all(claim, Answer::NotRun { claim, proof });
            self.remove(claim);
        }
    }

    /// Stores a final outcome and answers all waiters.
    pub(super) fn settle(&mut self, claim: ClaimKey, settled: Claim<Settled>, now: Millis) {
        let (bytes, answer) = match settled.state.outcome {
            ClaimOutcome::Ran { bytes } => (bytes, Answer::Outcome(claim)),
            ClaimOutcome::Unknown(unknown) => (0, Answer::Unknown(unknown)),
            ClaimOutcome::NotRun(proof) => (0, Answer::NotRun { claim, proof }),
        };
        self.entries[claim].state = ClaimState::Settled(settled);
        self.actions.push(ClaimAction::DropRequest { claim });
        self.answer_all(claim, answer);
        self.outcome_bytes += bytes + SETTLED_ENTRY_BYTES;
        self.settled_order.push_back((claim, now));
    }

    /// Drops the oldest outcomes. A later request with the key finds the claim in the store and
    /// gets an unknown outcome.
    fn evict_expired(&mut self, now: Millis) {
        while let Some((claim, since)) = self.settled_order.front().copied() {
            let old = now.ms_since(since) > RETENTION_MS;
            if !old && self.outcome_bytes <= OUTCOMES_MAX_BYTES {
                break;
            }
            self.settled_order.pop_front();
            if let Some(ClaimState::Settled(settled)) =
                self.entries.get(claim).map(|entry| &entry.state)
            {
                let bytes = match settled.state.outcome {
                    ClaimOutcome::Ran { bytes } => bytes,
                    ClaimOutcome::Unknown(_) | ClaimOutcome::NotRun(_) => 0,
                };
                self.outcome_bytes -= bytes + SETTLED_ENTRY_BYTES;
                self.remove(claim);
            }
        }
        while let Some(oldest) = self.given_up_order.front() {
            let since = self.given_up.get(oldest).copied().unwrap_or_default();
            if now.ms_since(since) <= RETENTION_MS + CLAIM_WAIT_MAX_MS {
                break;
            }
            self.given_up.remove(oldest);
            self.given_up_order.pop_front();
        }
    }

    pub(super) fn remove(&mut self, claim: ClaimKey) {
        if let Some(entry) = self.entries.remove(claim) {
            self.by_key.remove(&entry.key());
            self.actions.push(ClaimAction::Drop { claim });
        }
    }
}

impl Entry {
    pub(super) fn digest(&self) -> BodyDigest {
        match &self.state {
            ClaimState::Requested(claim) => claim.digest,
            ClaimState::Held(claim) => claim.digest,
            ClaimState::Following(claim) => claim.digest,
            ClaimState::Settled(claim) => claim.digest,
        }
    }

    fn key(&self) -> IdempotencyKey {
        match &self.state {
            ClaimState::Requested(claim) => claim.key,
            ClaimState::Held(claim) => claim.key,
            ClaimState::Following(claim) => claim.key,
            ClaimState::Settled(claim) => claim.key,
        }
    }
}

/// Outcome of a claim whose holder cannot report a result.
pub(super) const HOLDER_GONE: OutcomeUnknown = OutcomeUnknown {
    reason: UnknownReason::HolderGone,
};

/// The earlier request with the same key is still running.
const TIMED_OUT: OutcomeUnknown = OutcomeUnknown {
    reason: UnknownReason::TimedOut,
};

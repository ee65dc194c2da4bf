//! The claims of one daemon: requests that wait for a claim, claims that it holds or follows, and
//! outcomes that later requests with the same key join.

use std::collections::VecDeque;

use super::action::{Answer, Arrival, ClaimAction, Ended, Lookup, Submitted, WaiterKind};
use super::commit::{Shard, StoreAccess};
use super::key::{IdempotencyKey, ShardId};
use super::life::{Claim, End, Following, Held, Requested, Settled};
use super::record::{BodyDigest, Holder, Nonce};
use super::{
    CLAIM_WAIT_MAX_MS, GIVEN_UP_MAX, OUTCOMES_MAX_BYTES, RELEASE_WAIT_MS, RETENTION_MS,
    WAITING_MAX_BYTES,
};
use crate::outcome::{NotRunReason, OutcomeUnknown, UnknownReason};
use crate::prelude::*;

/// Memory of a settled claim besides its outcome.
const ENTRY_BYTES: u64 = 512;

/// A claim in the table.
#[derive(Clone, Debug)]
pub(super) enum Life {
    Requested(Claim<Requested>),
    Held(Claim<Held>),
    Following(Claim<Following>),
    Settled(Claim<Settled>),
}

#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) life: Life,
    pub(super) waiters: Vec<WaiterKey>,
    /// When the caller is told that the request was not run, even if the release is not stored yet.
    answer_by: Millis,
}

#[derive(Clone, Copy, Debug)]
struct Waiter {
    claim: ClaimKey,
    kind: WaiterKind,
    until: Millis,
}

/// The claims of one daemon.
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
    pub(super) store: StoreAccess,
    pub(super) actions: Vec<ClaimAction>,
}

impl Claims {
    /// An empty table of this process.
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
            store: StoreAccess::default(),
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
        arrival: Arrival,
    ) -> Submitted {
        let now = arrival.now;
        if let Err(refusal) = key.check(arrival.wall) {
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
        if arrival.waiting_bytes >= WAITING_MAX_BYTES {
            return Submitted::Full(requested.refuse());
        }
        let claim = self.entries.insert(Entry {
            life: Life::Requested(requested),
            waiters: Vec::new(),
            answer_by: Millis::MAX,
        });
        self.by_key.insert(key, claim);
        let waiter = self.wait(claim, WaiterKind::First, deadline);
        self.enqueue(key.shard_id(), claim, now);
        Submitted::New { claim, waiter }
    }

    fn join(&mut self, claim: ClaimKey, digest: BodyDigest, deadline: Millis) -> Submitted {
        let entry = &self.entries[claim];
        if entry.digest() != digest {
            return Submitted::KeyReused;
        }
        let settled = match &entry.life {
            Life::Settled(settled) => Some(settled.state.end),
            _ => None,
        };
        let waiter = self.wait(claim, WaiterKind::Joined, deadline);
        match settled {
            Some(End::Ran { .. }) => self.answer(waiter, Answer::Outcome(claim)),
            Some(End::Unknown(unknown)) => self.answer(waiter, Answer::Unknown(unknown)),
            Some(End::NotRun(_)) | None => {}
        }
        Submitted::Joined { waiter }
    }

    /// Answers a peer that follows a claim of this process; it waits until `until` at most.
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
        let answer = match &self.entries[claim].life {
            Life::Requested(requested) if requested.state.nonce == nonce => None,
            Life::Held(held) if held.state.nonce == nonce => None,
            Life::Settled(settled) if settled.state.nonce == nonce => match settled.state.end {
                End::Ran { .. } => Some(Answer::Outcome(claim)),
                End::Unknown(unknown) => Some(Answer::Unknown(unknown)),
                End::NotRun(proof) => Some(Answer::NotRun { claim, proof }),
            },
            _ => return Lookup::Lost,
        };
        let waiter = self.wait(claim, WaiterKind::Peer, until);
        if let Some(answer) = answer {
            self.answer(waiter, answer);
        }
        Lookup::Waiting(waiter)
    }

    /// Forgets a waiter that went away. A claim that nobody waits for is given up before dispatch;
    /// a dispatched request runs on, so that a retry finds its outcome.
    pub fn waiter_gone(&mut self, waiter: WaiterKey, now: Millis) {
        let Some(gone) = self.waiters.remove(waiter) else {
            return;
        };
        let Some(entry) = self.entries.get_mut(gone.claim) else {
            return;
        };
        entry.waiters.retain(|kept| *kept != waiter);
        if entry.waiters.is_empty() && matches!(entry.life, Life::Requested(_)) {
            self.abandon(gone.claim, NotRunReason::Cancelled, now);
        }
    }

    /// Records how a dispatched request ended. The task keeps the outcome under the claim.
    pub fn ended(&mut self, claim: ClaimKey, ended: Ended, now: Millis) {
        let Some(Life::Held(held)) = self.entries.get(claim).map(|entry| entry.life.clone()) else {
            return;
        };
        let settled = match ended {
            Ended::Ran { bytes } => held.settle(End::Ran { bytes }),
            Ended::Unknown(unknown) => held.settle(End::Unknown(unknown)),
            Ended::NotRun(proof) => held.settle(End::NotRun(proof)),
            Ended::Withdrawn(reason) => held.withdraw(reason),
        };
        if matches!(settled.state.end, End::NotRun(_)) {
            self.give_up(claim, settled, true, now);
        } else {
            self.settle(claim, settled, now);
        }
    }

    /// Advances time and returns what is to be done. `live_members` share the write budget.
    pub fn advance(&mut self, now: Millis, live_members: u64) -> Vec<ClaimAction> {
        self.expire_waiters(now);
        self.expire_claims(now);
        self.ask_peers(now);
        self.start_batches(now, live_members);
        self.evict(now);
        std::mem::take(&mut self.actions)
    }

    /// Whether time alone can change anything.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        !self.waiters.is_empty() || self.has_store_work()
    }

    /// Whether a dispatched request has not ended.
    #[must_use]
    pub fn has_dispatched(&self) -> bool {
        let held = |entry: &Entry| matches!(entry.life, Life::Held(_));
        self.entries.values().any(held)
    }

    fn wait(&mut self, claim: ClaimKey, kind: WaiterKind, until: Millis) -> WaiterKey {
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

    /// Ends waits at their deadline. The first caller of a dispatched request waits for the
    /// dispatcher, which ends every request by its deadline.
    fn expire_waiters(&mut self, now: Millis) {
        let late: Vec<(WaiterKey, Waiter)> = self
            .waiters
            .iter()
            .filter(|(_, waiter)| now >= waiter.until)
            .map(|(key, waiter)| (key, *waiter))
            .collect();
        for (key, waiter) in late {
            let Some(entry) = self.entries.get(waiter.claim) else {
                continue;
            };
            let answer = match (&entry.life, waiter.kind) {
                (Life::Requested(_) | Life::Held(_), WaiterKind::First) => continue,
                (Life::Settled(_), _) => continue,
                (_, WaiterKind::Peer) => Answer::StillRunning,
                (_, WaiterKind::First | WaiterKind::Joined) => Answer::Unknown(TIMED_OUT),
            };
            self.answer(key, answer);
        }
    }

    fn expire_claims(&mut self, now: Millis) {
        let waiting: Vec<ClaimKey> = self.requested();
        for claim in waiting {
            if let Life::Requested(requested) = &self.entries[claim].life
                && now >= requested.claim_by
            {
                self.abandon(claim, NotRunReason::ClaimUnavailable, now);
            }
        }
        let following = std::mem::take(&mut self.following);
        for claim in following {
            match self.entries.get(claim) {
                Some(entry) if entry.waiters.is_empty() => self.remove(claim),
                Some(entry) if matches!(entry.life, Life::Following(_)) => {
                    self.following.push(claim);
                }
                _ => {}
            }
        }
        self.answer_late_releases(now);
    }

    fn answer_late_releases(&mut self, now: Millis) {
        let late: Vec<ClaimKey> = self
            .releasing()
            .filter(|claim| {
                let entry = self.entries.get(*claim);
                entry.is_some_and(|entry| now >= entry.answer_by)
            })
            .collect();
        for claim in late {
            self.answer_not_run(claim);
        }
    }

    /// Gives up a claim that did not allow a dispatch.
    pub(super) fn abandon(&mut self, claim: ClaimKey, reason: NotRunReason, now: Millis) {
        let Some(Life::Requested(requested)) =
            self.entries.get(claim).map(|entry| entry.life.clone())
        else {
            return;
        };
        let written = requested.state.written;
        self.give_up(claim, requested.abandon(reason), written, now);
        self.answer_not_run(claim);
    }

    /// Promises that the claim is never dispatched, and releases it in the store if it may be there.
    fn give_up(&mut self, claim: ClaimKey, settled: Claim<Settled>, stored: bool, now: Millis) {
        let (key, nonce) = (settled.key, settled.state.nonce);
        self.remember_given_up(nonce, now);
        let entry = &mut self.entries[claim];
        entry.life = Life::Settled(settled);
        entry.answer_by = now.after_ms(RELEASE_WAIT_MS);
        if stored {
            self.enqueue_release(key, nonce, claim, now);
        } else {
            self.answer_not_run(claim);
        }
    }

    fn remember_given_up(&mut self, nonce: Nonce, now: Millis) {
        self.given_up.insert(nonce, now);
        self.given_up_order.push_back(nonce);
        if self.given_up_order.len() > GIVEN_UP_MAX
            && let Some(oldest) = self.given_up_order.pop_front()
        {
            self.given_up.remove(&oldest);
        }
    }

    /// Answers that the request was not run and frees the key for a retry.
    pub(super) fn answer_not_run(&mut self, claim: ClaimKey) {
        let Some(Life::Settled(settled)) = self.entries.get(claim).map(|entry| &entry.life) else {
            return;
        };
        if let End::NotRun(proof) = settled.state.end {
            self.answer_all(claim, Answer::NotRun { claim, proof });
            self.remove(claim);
        }
    }

    /// Keeps a final outcome and answers everyone who waits for it.
    pub(super) fn settle(&mut self, claim: ClaimKey, settled: Claim<Settled>, now: Millis) {
        let (bytes, answer) = match settled.state.end {
            End::Ran { bytes } => (bytes, Answer::Outcome(claim)),
            End::Unknown(unknown) => (0, Answer::Unknown(unknown)),
            End::NotRun(proof) => (0, Answer::NotRun { claim, proof }),
        };
        self.entries[claim].life = Life::Settled(settled);
        self.actions.push(ClaimAction::DropRequest { claim });
        self.answer_all(claim, answer);
        self.outcome_bytes += bytes + ENTRY_BYTES;
        self.settled_order.push_back((claim, now));
    }

    /// Drops the oldest outcomes. A later request with the key finds the claim in the store and
    /// answers with an unknown outcome.
    fn evict(&mut self, now: Millis) {
        while let Some((claim, since)) = self.settled_order.front().copied() {
            let old = now.ms_since(since) > RETENTION_MS;
            if !old && self.outcome_bytes <= OUTCOMES_MAX_BYTES {
                break;
            }
            self.settled_order.pop_front();
            if let Some(Life::Settled(settled)) = self.entries.get(claim).map(|entry| &entry.life) {
                let bytes = match settled.state.end {
                    End::Ran { bytes } => bytes,
                    End::Unknown(_) | End::NotRun(_) => 0,
                };
                self.outcome_bytes -= bytes + ENTRY_BYTES;
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
        match &self.life {
            Life::Requested(claim) => claim.digest,
            Life::Held(claim) => claim.digest,
            Life::Following(claim) => claim.digest,
            Life::Settled(claim) => claim.digest,
        }
    }

    fn key(&self) -> IdempotencyKey {
        match &self.life {
            Life::Requested(claim) => claim.key,
            Life::Held(claim) => claim.key,
            Life::Following(claim) => claim.key,
            Life::Settled(claim) => claim.key,
        }
    }
}

/// The daemon that holds the claim cannot tell the outcome.
pub(super) const HOLDER_GONE: OutcomeUnknown = OutcomeUnknown {
    reason: UnknownReason::HolderGone,
};

/// The request that was joined is still running.
const TIMED_OUT: OutcomeUnknown = OutcomeUnknown {
    reason: UnknownReason::TimedOut,
};

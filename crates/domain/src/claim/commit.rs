//! Group commit: each shard has one batch in flight while the next one is collected.

use super::action::{Answer, ClaimAction};
use super::key::{IdempotencyKey, ShardId};
use super::lifecycle::{Claim, Requested};
use super::record::{Nonce, Record, RecordState, ShardValue};
use super::table::{ClaimState, Claims, HOLDER_GONE};
use super::{VALUE_MAX_BYTES, WRITE_BURST, WRITES_PER_S};
use crate::outcome::NotRunReason;
use crate::prelude::*;

const BACKOFF_MIN_MS: u64 = 100;
const BACKOFF_MAX_MS: u64 = 1_000;
/// The cached value of a shard is dropped after this idle time.
const SHARD_IDLE_MS: u64 = 5_000;
const MS_PER_S: u64 = 1_000;

/// Result of a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadResult {
    /// The value and the revision of its last write.
    Found(u64, ShardValue),
    /// There is no value.
    Absent,
    /// The store did not answer.
    Failed,
    /// The value cannot be decoded, so no claim of the shard can be resolved.
    Malformed,
}

/// Result of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// It took effect at this revision.
    Written(u64),
    /// Another write came first; nothing changed.
    Conflict,
    /// It definitely had no effect.
    Failed,
    /// It may have taken effect, or may do so later.
    Unknown,
}

/// A claim to release.
#[derive(Clone, Copy, Debug)]
struct Release {
    key: IdempotencyKey,
    nonce: Nonce,
    /// Claim whose waiters are answered once the release is stored.
    claim: ClaimKey,
}

#[derive(Clone, Debug, Default)]
enum Operation {
    #[default]
    Idle,
    Reading,
    Writing {
        value: ShardValue,
        claims: Vec<(ClaimKey, Nonce)>,
        releases: Vec<Release>,
    },
}

#[derive(Clone, Debug, Default)]
struct Cached {
    revision: u64,
    value: ShardValue,
}

/// State of one shard.
#[derive(Clone, Debug, Default)]
pub(super) struct Shard {
    pending: Vec<ClaimKey>,
    releases: Vec<Release>,
    operation: Operation,
    cached: Option<Cached>,
    /// Whether the last two reads returned the same revision. In that case no other daemon wrote in
    /// between, so the next write can use the cached value without a read.
    unchanged_by_others: bool,
    /// Time since which work is pending; the shard that has waited longest is written first.
    waiting_since: Millis,
    last_used: Millis,
}

impl Shard {
    fn has_work(&self) -> bool {
        !self.pending.is_empty() || !self.releases.is_empty()
    }

    fn is_idle(&self) -> bool {
        matches!(self.operation, Operation::Idle)
    }
}

/// Rate limit and failure backoff for calls to the store.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StorePacing {
    /// Time up to which the write budget is spent; a later time than now means that it is
    /// exhausted.
    spent_until: Millis,
    /// No call is made before this time, after a failed one.
    paused_until: Millis,
    backoff_ms: u64,
}

impl StorePacing {
    /// Takes one write out of this daemon's share of the budget; returns false if it is exhausted.
    fn try_spend_write(&mut self, now: Millis, live_members: u64) -> bool {
        let cost_ms = (live_members.max(1) * MS_PER_S).div_ceil(WRITES_PER_S);
        let earliest = Millis::from_ms(now.as_ms().saturating_sub(WRITE_BURST * cost_ms));
        let spent_until = self.spent_until.max(earliest);
        if spent_until > now {
            return false;
        }
        self.spent_until = spent_until.after_ms(cost_ms);
        true
    }

    fn succeeded(&mut self) {
        self.backoff_ms = 0;
    }

    fn failed(&mut self, now: Millis) {
        self.backoff_ms = (self.backoff_ms * 2).clamp(BACKOFF_MIN_MS, BACKOFF_MAX_MS);
        self.paused_until = now.after_ms(self.backoff_ms);
    }
}

/// State of a requested key in the stored value.
enum StoredKeyState {
    /// The key is free: write the record.
    Free,
    /// The record of this claim is stored, so an earlier write took effect.
    Own,
    /// Another daemon holds the key.
    HeldByPeer(Record),
    /// An earlier claim of this process holds the key, and its outcome is no longer in memory.
    OutcomeLost(Nonce),
    /// The key was used with another body.
    BodyMismatch,
}

impl Claims {
    pub(super) fn enqueue(&mut self, id: ShardId, claim: ClaimKey, now: Millis) {
        let shard = self.shards.entry(id).or_default();
        if !shard.has_work() {
            shard.waiting_since = now;
        }
        shard.pending.push(claim);
    }

    pub(super) fn enqueue_release(
        &mut self,
        key: IdempotencyKey,
        nonce: Nonce,
        claim: ClaimKey,
        now: Millis,
    ) {
        let shard = self.shards.entry(key.shard_id()).or_default();
        if !shard.has_work() {
            shard.waiting_since = now;
        }
        shard.releases.push(Release { key, nonce, claim });
    }

    /// Returns the claims that are not known to be in the store.
    pub(super) fn requested(&self) -> Vec<ClaimKey> {
        let mut requested = Vec::new();
        for shard in self.shards.values() {
            requested.extend(&shard.pending);
            if let Operation::Writing { claims, .. } = &shard.operation {
                requested.extend(claims.iter().map(|(claim, _)| *claim));
            }
        }
        requested.retain(|claim| self.entries.contains_key(*claim));
        requested
    }

    /// Returns the claims whose release is not stored yet.
    pub(super) fn releasing(&self) -> impl Iterator<Item = ClaimKey> {
        self.shards.values().flat_map(|shard| {
            let in_flight: &[Release] = match &shard.operation {
                Operation::Writing { releases, .. } => releases,
                _ => &[],
            };
            shard
                .releases
                .iter()
                .chain(in_flight)
                .map(|release| release.claim)
        })
    }

    /// Returns whether any claim or release is not stored yet.
    #[must_use]
    pub fn has_pending_store_calls(&self) -> bool {
        let working = |shard: &Shard| shard.has_work() || !shard.is_idle();
        self.shards.values().any(working)
    }

    /// Starts a batch in every idle shard with pending work, oldest first, within the write budget.
    pub(super) fn start_batches(&mut self, now: Millis, live_members: u64) {
        self.shards.retain(|_, shard| {
            shard.has_work() || !shard.is_idle() || now.ms_since(shard.last_used) < SHARD_IDLE_MS
        });
        if now < self.store_pacing.paused_until {
            return;
        }
        let mut ready: Vec<(Millis, ShardId)> = self
            .shards
            .iter()
            .filter(|(_, shard)| shard.is_idle() && shard.has_work())
            .map(|(id, shard)| (shard.waiting_since, *id))
            .collect();
        ready.sort_unstable();
        for (_, id) in ready {
            let shard = &self.shards[&id];
            let cache_is_current =
                shard.cached.is_some() && (live_members == 1 || shard.unchanged_by_others);
            if !self.store_pacing.try_spend_write(now, live_members) {
                return;
            }
            if cache_is_current {
                self.write(id, now);
            } else {
                self.read(id, now);
            }
        }
    }

    fn read(&mut self, id: ShardId, now: Millis) {
        let shard = self.shards.entry(id).or_default();
        shard.operation = Operation::Reading;
        shard.last_used = now;
        self.actions.push(ClaimAction::Read { shard: id });
    }

    /// Records the result of a read and writes the batch.
    pub fn read_done(&mut self, id: ShardId, result: ReadResult, now: Millis) {
        let Some(shard) = self.shards.get_mut(&id) else {
            return;
        };
        shard.operation = Operation::Idle;
        let (revision, value) = match result {
            ReadResult::Found(revision, value) => (revision, value),
            ReadResult::Absent => (0, ShardValue::default()),
            ReadResult::Failed => return self.store_pacing.failed(now),
            ReadResult::Malformed => return self.refuse_batch(id, now),
        };
        let same = |cached: &Cached| cached.revision == revision;
        shard.unchanged_by_others = shard.cached.as_ref().is_some_and(same);
        shard.cached = Some(Cached { revision, value });
        self.store_pacing.succeeded();
        self.write(id, now);
    }

    fn refuse_batch(&mut self, id: ShardId, now: Millis) {
        let Some(shard) = self.shards.get_mut(&id) else {
            return;
        };
        let pending = std::mem::take(&mut shard.pending);
        let releases = std::mem::take(&mut shard.releases);
        for release in releases {
            self.answer_not_run(release.claim);
        }
        for claim in pending {
            self.abandon(claim, NotRunReason::ClaimUnavailable, now);
        }
        // Releases of the claims above cannot be stored either.
        if let Some(shard) = self.shards.get_mut(&id) {
            shard.releases.clear();
        }
    }

    /// Applies all pending claims and releases to the cached value and writes it if it changed.
    fn write(&mut self, id: ShardId, now: Millis) {
        let Some(shard) = self.shards.get_mut(&id) else {
            return;
        };
        let Some(cached) = shard.cached.clone() else {
            return;
        };
        shard.last_used = now;
        let (pending, releases) = (
            std::mem::take(&mut shard.pending),
            std::mem::take(&mut shard.releases),
        );
        let mut value = cached.value;
        let mut released = Vec::new();
        for release in releases {
            if release_record(&mut value, release) {
                released.push(release);
            } else {
                self.answer_not_run(release.claim);
            }
        }
        // A claim that `resolve_claim` abandons here adds its release to the next batch.
        let mut claims = Vec::new();
        for claim in pending {
            if let Some(nonce) = self.resolve_claim(claim, &mut value, now) {
                claims.push((claim, nonce));
            }
        }
        if claims.is_empty() && released.is_empty() {
            return;
        }
        let encoded = value.encode();
        if let Some(shard) = self.shards.get_mut(&id) {
            shard.operation = Operation::Writing {
                value,
                claims,
                releases: released,
            };
        }
        self.actions.push(ClaimAction::Write {
            shard: id,
            revision: cached.revision,
            value: encoded,
        });
    }

    /// Inserts the record of a claim into the value if the key is free; otherwise resolves the
    /// claim.
    fn resolve_claim(
        &mut self,
        claim: ClaimKey,
        value: &mut ShardValue,
        now: Millis,
    ) -> Option<Nonce> {
        let Some(ClaimState::Requested(requested)) =
            self.entries.get(claim).map(|entry| entry.state.clone())
        else {
            return None;
        };
        match self.stored_key_state(&requested, value) {
            StoredKeyState::Free if value.size_bytes(1) > VALUE_MAX_BYTES => {
                self.abandon(claim, NotRunReason::ClaimUnavailable, now);
                None
            }
            StoredKeyState::Free => Some(self.insert_record(claim, requested, value)),
            StoredKeyState::Own => {
                self.hold_claim(claim, requested, now);
                None
            }
            StoredKeyState::HeldByPeer(record) => {
                let following = requested.follow(&record, now);
                self.entries[claim].state = ClaimState::Following(following);
                self.following.push(claim);
                None
            }
            StoredKeyState::OutcomeLost(nonce) => {
                self.settle(claim, requested.lost(nonce, HOLDER_GONE), now);
                None
            }
            StoredKeyState::BodyMismatch => {
                self.answer_all(claim, Answer::KeyReused);
                self.remove(claim);
                None
            }
        }
    }

    fn stored_key_state(&self, requested: &Claim<Requested>, value: &ShardValue) -> StoredKeyState {
        let Some(record) = value.records.get(&requested.key) else {
            return StoredKeyState::Free;
        };
        let own = record.holder == self.holder;
        if record.digest != requested.digest {
            StoredKeyState::BodyMismatch
        } else if record.state == RecordState::Released
            || requested.state.given_up_by_peer == Some(record.nonce)
            || (own && self.given_up.contains_key(&record.nonce))
        {
            StoredKeyState::Free
        } else if record.nonce == requested.state.nonce {
            StoredKeyState::Own
        } else if own {
            StoredKeyState::OutcomeLost(record.nonce)
        } else {
            StoredKeyState::HeldByPeer(record.clone())
        }
    }

    fn insert_record(
        &mut self,
        claim: ClaimKey,
        mut requested: Claim<Requested>,
        value: &mut ShardValue,
    ) -> Nonce {
        let nonce = requested.state.nonce;
        let record = Record {
            holder: self.holder.clone(),
            digest: requested.digest,
            nonce,
            state: RecordState::Held,
        };
        value.records.insert(requested.key, record);
        requested.state.written = true;
        self.entries[claim].state = ClaimState::Requested(requested);
        nonce
    }

    /// Dispatches a request whose claim is in the store, unless its time limit has passed.
    fn hold_claim(&mut self, claim: ClaimKey, requested: Claim<Requested>, now: Millis) {
        if now >= requested.claim_by {
            self.abandon(claim, NotRunReason::DeadlinePassed, now);
            return;
        }
        let deadline = requested.deadline;
        self.entries[claim].state = ClaimState::Held(requested.hold());
        self.actions.push(ClaimAction::Dispatch { claim, deadline });
    }

    /// Records the result of a write.
    pub fn write_done(&mut self, id: ShardId, result: WriteResult, now: Millis) {
        let Some(shard) = self.shards.get_mut(&id) else {
            return;
        };
        let Operation::Writing {
            value,
            claims,
            releases,
        } = std::mem::take(&mut shard.operation)
        else {
            return;
        };
        if let WriteResult::Written(revision) = result {
            shard.cached = Some(Cached { revision, value });
            self.store_pacing.succeeded();
            self.batch_written(claims, releases, now);
            return;
        }
        shard.cached = shard
            .cached
            .take()
            .filter(|_| result == WriteResult::Failed);
        shard.releases.extend(releases);
        shard.pending.extend(claims.iter().map(|(claim, _)| *claim));
        match result {
            WriteResult::Failed | WriteResult::Unknown => self.store_pacing.failed(now),
            WriteResult::Conflict | WriteResult::Written(_) => self.store_pacing.succeeded(),
        }
    }

    fn batch_written(
        &mut self,
        claims: Vec<(ClaimKey, Nonce)>,
        releases: Vec<Release>,
        now: Millis,
    ) {
        for release in releases {
            self.answer_not_run(release.claim);
        }
        for (claim, nonce) in claims {
            // A claim that was given up in the meantime already has its release enqueued.
            if let Some(ClaimState::Requested(requested)) =
                self.entries.get(claim).map(|entry| entry.state.clone())
                && requested.state.nonce == nonce
            {
                self.hold_claim(claim, requested, now);
            }
        }
    }
}

/// Marks the record of a given-up claim as released; returns false if it is not in the store.
fn release_record(value: &mut ShardValue, release: Release) -> bool {
    match value.records.get_mut(&release.key) {
        Some(record) if record.nonce == release.nonce && record.state == RecordState::Held => {
            record.state = RecordState::Released;
            true
        }
        _ => false,
    }
}

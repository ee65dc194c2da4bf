//! At-most-once execution of requests with an idempotency key: claims, group commit and outcomes.
//!
//! A keyed request is dispatched only by the daemon whose claim is in the store, and only once per
//! claim. A claim is replaced only after its holder has given it up, either by releasing it in the
//! store or by promising a peer never to dispatch it. A holder that is suspended, unreachable or
//! terminated can do neither, so its claim stays and other daemons answer with an unknown outcome.

mod action;
mod commit;
mod follow;
mod key;
mod lifecycle;
mod record;
mod sweep;
mod table;

pub use action::{
    Answer, ClaimAction, DispatchResult, Lookup, SubmitContext, Submitted, WaiterKind,
};
pub use commit::{ReadResult, WriteResult};
pub use follow::{PeerAnswer, PeerState};
pub use key::{IdempotencyKey, KeyRefusal, ShardId};
pub use lifecycle::{Claim, ClaimOutcome, Following, Held, Requested, Settled};
pub use record::{BodyDigest, Holder, Nonce, Record, RecordState, ShardValue};
pub use sweep::Sweep;
pub use table::Claims;

/// Keys older than this are refused.
pub const RETENTION_MS: u64 = 600_000;

/// Maximum difference between the wall clocks of any two daemons, and how far the timestamp of a
/// key may be ahead of a daemon's clock. Operators must keep clocks within this bound; at-most-once
/// execution depends on it only for keys about as old as [`RETENTION_MS`].
pub const CLOCK_DIFFERENCE_MAX_MS: u64 = 60_000;

/// Maximum time from the age check of a key to the write of its claim. No claim is dispatched after
/// that, so an expired bucket can be deleted safely.
pub const CLAIM_WAIT_MAX_MS: u64 = 60_000;

/// Number of shards per bucket. Every batch rewrites the whole value of a shard. More shards cause
/// fewer write conflicts; fewer shards shorten the wait for a daemon's next write.
pub const SHARDS: u8 = 8;

/// Time span of a bucket. Short buckets keep the rewritten values small.
pub const BUCKET_MS: u64 = 2_000;

/// Claim writes per second over all daemons. The platform's store accepts several hundred writes
/// per second from all its users.
pub const WRITES_PER_S: u64 = 300;

/// Writes that a daemon may issue in a burst after an idle period.
pub const WRITE_BURST: u64 = 8;

/// Maximum size of a stored value; the store rejects values above 1 MB.
pub const VALUE_MAX_BYTES: usize = 900_000;

/// Maximum wait for a release to be stored before the caller is told that its request was not run.
pub const RELEASE_WAIT_MS: u64 = 1_000;

/// Memory limit for outcomes kept for later requests with the same key.
pub const OUTCOMES_MAX_BYTES: u64 = 8 << 20;

/// Memory limit for requests that wait for their claim, which accumulate during a store outage.
pub const WAITING_MAX_BYTES: u64 = 32 << 20;

/// Maximum number of given-up claims kept in memory.
pub const GIVEN_UP_MAX: usize = 65_536;

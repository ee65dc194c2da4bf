//! At-most-once execution of keyed requests: claims, their group commit and their outcomes.
//!
//! A keyed request is dispatched only by the daemon whose claim is in the store, and only once per
//! claim. A claim is replaced only after its holder has given it up: the holder released it in the
//! store, or promised a peer never to dispatch it. A holder that is frozen, unreachable or gone can
//! do neither, so its claim stays and others answer with an unknown outcome.

mod action;
mod commit;
mod follow;
mod key;
mod life;
mod record;
mod sweep;
mod table;

pub use action::{Answer, Arrival, ClaimAction, Ended, Lookup, Submitted, WaiterKind};
pub use commit::{ReadResult, WriteResult};
pub use follow::{PeerAnswer, PeerState};
pub use key::{IdempotencyKey, KeyRefusal, ShardId};
pub use life::{Claim, End, Following, Held, Requested, Settled};
pub use record::{BodyDigest, Holder, Nonce, Record, RecordState, ShardValue};
pub use sweep::Sweep;
pub use table::Claims;

/// Age from which a key is refused.
pub const RETENTION_MS: u64 = 600_000;

/// Largest difference between the wall clocks of any two daemons, and how far ahead of a daemon's
/// clock a key may be. Operators must keep the clocks within it; at-most-once depends on it only
/// for keys that are as old as the retention.
pub const CLOCK_DIFFERENCE_MAX_MS: u64 = 60_000;

/// Longest time from the age check of a key to the write of its claim. No claim is dispatched later,
/// so a deleted bucket is not needed any more.
pub const CLAIM_WAIT_MAX_MS: u64 = 60_000;

/// Values that the claims of one bucket are spread over. Each is rewritten as a whole by every
/// batch: more shards mean fewer conflicts, fewer shards mean shorter waits for a daemon's next
/// write.
pub const SHARDS: u8 = 8;

/// Length of a bucket. Short buckets keep the rewritten values small.
pub const BUCKET_MS: u64 = 2_000;

/// Claim writes per second of all daemons together; the platform takes several hundred from all its
/// users.
pub const WRITES_PER_S: u64 = 300;

/// Writes that a daemon may do at once after a pause.
pub const WRITE_BURST: u64 = 8;

/// Largest value that is written; the store's limit is 1 MB.
pub const VALUE_MAX_BYTES: usize = 900_000;

/// Longest wait for the write of a release before the caller learns that its request was not run.
pub const RELEASE_WAIT_MS: u64 = 1_000;

/// Memory for outcomes that later requests with the same key may ask for.
pub const OUTCOMES_MAX_BYTES: u64 = 8 << 20;

/// Memory for requests that wait for their claim. It bounds what piles up in an outage of the store.
pub const WAITING_MAX_BYTES: u64 = 32 << 20;

/// Given-up claims that are remembered.
pub const GIVEN_UP_MAX: usize = 65_536;

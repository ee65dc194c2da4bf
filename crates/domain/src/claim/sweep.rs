//! Deletion of expired buckets.

use std::ops::Range;

use super::{BUCKET_MS, CLAIM_WAIT_MAX_MS, CLOCK_DIFFERENCE_MAX_MS, RETENTION_MS, SHARDS};
use crate::prelude::*;

/// The store accepts at most 128 operations per transaction.
const BUCKETS_PER_SWEEP: u64 = 128 / SHARDS as u64;
/// How far back a daemon searches for expired buckets when it starts sweeping.
const SWEEP_LOOKBACK_MS: u64 = 24 * 3_600_000;

/// Tracks which buckets were deleted. One member sweeps; a second one would only repeat harmless
/// deletions.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sweep {
    next_bucket: Option<u64>,
}

impl Sweep {
    /// Returns the first bucket that must be kept. Within the permitted clock difference, every
    /// daemon refuses keys of older buckets, and did so for at least [`CLAIM_WAIT_MAX_MS`].
    #[must_use]
    pub const fn first_kept(wall: Millis) -> u64 {
        let kept_ms = RETENTION_MS + CLOCK_DIFFERENCE_MAX_MS + CLAIM_WAIT_MAX_MS + BUCKET_MS;
        wall.as_ms().saturating_sub(kept_ms) / BUCKET_MS
    }

    /// Returns the buckets to delete next, or `None` until enough have expired to fill a
    /// transaction.
    #[must_use]
    pub fn due(&self, wall: Millis) -> Option<Range<u64>> {
        let oldest = wall.as_ms().saturating_sub(SWEEP_LOOKBACK_MS) / BUCKET_MS;
        let next_bucket = self.next_bucket.unwrap_or(oldest).max(oldest);
        let end = next_bucket + BUCKETS_PER_SWEEP;
        (end <= Self::first_kept(wall)).then_some(next_bucket..end)
    }

    /// Records that the buckets before `end` were deleted.
    pub const fn swept(&mut self, end: u64) {
        self.next_bucket = Some(end);
    }
}

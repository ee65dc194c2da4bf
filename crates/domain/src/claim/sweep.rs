//! Deletion of expired buckets.

use std::ops::Range;

use super::{BUCKET_MS, CLAIM_WAIT_MAX_MS, CLOCK_DIFFERENCE_MAX_MS, RETENTION_MS, SHARDS};
use crate::prelude::*;

/// A transaction of the store has at most 128 operations.
const BUCKETS_PER_SWEEP: u64 = 128 / SHARDS as u64;
/// Buckets this old are looked for when a daemon begins to sweep.
const HORIZON_MS: u64 = 24 * 3_600_000;

/// Which buckets were deleted. One member sweeps; a second one would repeat harmless deletions.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sweep {
    next: Option<u64>,
}

impl Sweep {
    /// The first bucket that must be kept. A key of an older bucket is refused by every daemon,
    /// however far their clocks are apart, and was refused before the longest wait for a claim.
    #[must_use]
    pub const fn first_kept(wall: Millis) -> u64 {
        let kept_ms = RETENTION_MS + CLOCK_DIFFERENCE_MAX_MS + CLAIM_WAIT_MAX_MS + BUCKET_MS;
        wall.as_ms().saturating_sub(kept_ms) / BUCKET_MS
    }

    /// Buckets to delete next; none until a whole transaction is due.
    #[must_use]
    pub fn due(&self, wall: Millis) -> Option<Range<u64>> {
        let oldest = wall.as_ms().saturating_sub(HORIZON_MS) / BUCKET_MS;
        let next = self.next.unwrap_or(oldest).max(oldest);
        let end = next + BUCKETS_PER_SWEEP;
        (end <= Self::first_kept(wall)).then_some(next..end)
    }

    /// Records that the buckets before `end` were deleted.
    pub const fn swept(&mut self, end: u64) {
        self.next = Some(end);
    }
}

//! Idempotency keys and the location of their claims in the store.

use super::{BUCKET_MS, CLOCK_DIFFERENCE_MAX_MS, RETENTION_MS, SHARDS};
use crate::prelude::*;

const UUID_TEXT_LEN: usize = 36;
const HYPHEN_POSITIONS: [usize; 4] = [8, 13, 18, 23];
const UUID_VERSION: u128 = 7;
const UUID_VARIANT: u128 = 0b10;

/// An idempotency key: a version 7 UUID.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IdempotencyKey(u128);

/// Why a key is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyRefusal {
    /// It is not a version 7 UUID.
    Malformed,
    /// It is older than [`RETENTION_MS`], so an earlier claim may have been deleted.
    TooOld,
    /// Its timestamp is ahead of the wall clock by more than [`CLOCK_DIFFERENCE_MAX_MS`].
    InFuture,
}

/// Identifies a stored value, which holds the claims of one shard in one bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShardId {
    /// Bucket number, derived from the timestamp in the keys.
    pub bucket: u64,
    /// Shard within the bucket.
    pub shard: u8,
}

impl IdempotencyKey {
    /// Parses the hyphenated form.
    ///
    /// # Errors
    ///
    /// Fails if the text is not a version 7 UUID.
    pub fn parse(text: &str) -> Result<Self, KeyRefusal> {
        let mut bits = 0;
        if text.len() != UUID_TEXT_LEN {
            return Err(KeyRefusal::Malformed);
        }
        for (position, character) in text.chars().enumerate() {
            if HYPHEN_POSITIONS.contains(&position) {
                if character != '-' {
                    return Err(KeyRefusal::Malformed);
                }
                continue;
            }
            let digit = character.to_digit(16).ok_or(KeyRefusal::Malformed)?;
            bits = bits << 4 | u128::from(digit);
        }
        if bits >> 76 & 0xf != UUID_VERSION || bits >> 62 & 0b11 != UUID_VARIANT {
            return Err(KeyRefusal::Malformed);
        }
        Ok(Self(bits))
    }

    /// Restores a key from the bits that [`Self::bits`] returned.
    #[must_use]
    pub const fn from_bits(bits: u128) -> Self {
        Self(bits)
    }

    /// Returns the 128 bits of the key.
    #[must_use]
    pub const fn bits(self) -> u128 {
        self.0
    }

    /// Returns the wall-clock time at which the caller created the key.
    #[must_use]
    pub const fn wall(self) -> Millis {
        Millis::from_ms((self.0 >> 80) as u64)
    }

    /// Checks the age of the key against the daemon's wall clock.
    ///
    /// # Errors
    ///
    /// Fails if the key is too old or too far in the future.
    pub fn check(self, wall: Millis) -> Result<(), KeyRefusal> {
        if self.wall().after_ms(RETENTION_MS) < wall {
            Err(KeyRefusal::TooOld)
        } else if self.wall() > wall.after_ms(CLOCK_DIFFERENCE_MAX_MS) {
            Err(KeyRefusal::InFuture)
        } else {
            Ok(())
        }
    }

    /// Returns where the claim is stored. The location depends only on the key, so every daemon
    /// uses the same one.
    #[must_use]
    pub const fn shard_id(self) -> ShardId {
        ShardId {
            bucket: self.wall().as_ms() / BUCKET_MS,
            shard: (self.0 as u64 % SHARDS as u64) as u8,
        }
    }
}

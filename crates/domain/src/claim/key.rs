//! The idempotency key and where its claim is stored.

use super::{BUCKET_MS, CLOCK_DIFFERENCE_MAX_MS, RETENTION_MS, SHARDS};
use crate::prelude::*;

const TEXT_LEN: usize = 36;
const HYPHENS: [usize; 4] = [8, 13, 18, 23];
const VERSION: u128 = 7;
const VARIANT: u128 = 0b10;

/// A UUID of version 7.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IdempotencyKey(u128);

/// Why a key is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyRefusal {
    /// It is no UUID of version 7.
    Malformed,
    /// It is older than the retention, so an earlier claim may have been deleted.
    TooOld,
    /// Its time is further ahead than clocks may differ.
    InFuture,
}

/// A value of the store: the claims of one shard in one bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShardId {
    /// Bucket, by the time in the keys.
    pub bucket: u64,
    /// Shard within the bucket.
    pub shard: u8,
}

impl IdempotencyKey {
    /// Reads the hyphenated form.
    ///
    /// # Errors
    ///
    /// Fails when the text is no UUID of version 7.
    pub fn parse(text: &str) -> Result<Self, KeyRefusal> {
        let mut bits = 0;
        if text.len() != TEXT_LEN {
            return Err(KeyRefusal::Malformed);
        }
        for (position, character) in text.chars().enumerate() {
            if HYPHENS.contains(&position) {
                if character != '-' {
                    return Err(KeyRefusal::Malformed);
                }
                continue;
            }
            let digit = character.to_digit(16).ok_or(KeyRefusal::Malformed)?;
            bits = bits << 4 | u128::from(digit);
        }
        if bits >> 76 & 0xf != VERSION || bits >> 62 & 0b11 != VARIANT {
            return Err(KeyRefusal::Malformed);
        }
        Ok(Self(bits))
    }

    /// Restores a key from the bits that [`Self::bits`] returned.
    #[must_use]
    pub const fn from_bits(bits: u128) -> Self {
        Self(bits)
    }

    /// The 128 bits of the key.
    #[must_use]
    pub const fn bits(self) -> u128 {
        self.0
    }

    /// Wall-clock time at which the caller made the key.
    #[must_use]
    pub const fn wall(self) -> Millis {
        Millis::from_ms((self.0 >> 80) as u64)
    }

    /// Checks the age against the daemon's wall clock.
    ///
    /// # Errors
    ///
    /// Fails when the key is too old or too far ahead.
    pub fn check(self, wall: Millis) -> Result<(), KeyRefusal> {
        if self.wall().after_ms(RETENTION_MS) < wall {
            Err(KeyRefusal::TooOld)
        } else if self.wall() > wall.after_ms(CLOCK_DIFFERENCE_MAX_MS) {
            Err(KeyRefusal::InFuture)
        } else {
            Ok(())
        }
    }

    /// Where the claim is stored. It depends on the key alone, so every daemon finds the same value.
    #[must_use]
    pub const fn shard_id(self) -> ShardId {
        ShardId {
            bucket: self.wall().as_ms() / BUCKET_MS,
            shard: (self.0 as u64 % SHARDS as u64) as u8,
        }
    }
}

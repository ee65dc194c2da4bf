//! Amounts of processors, memory and accelerators.

use serde::{Deserialize, Serialize};

/// An amount of each resource.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Resources {
    /// Processors, in thousandths.
    pub processors_milli: u64,
    /// Memory in megabytes.
    pub memory_mb: u64,
    /// Number of accelerators.
    pub accelerators: u64,
}

impl Resources {
    /// Whether no resource exceeds its available amount.
    #[must_use]
    pub const fn fits(self, available: Self) -> bool {
        self.processors_milli <= available.processors_milli
            && self.memory_mb <= available.memory_mb
            && self.accelerators <= available.accelerators
    }

    /// The saturating sum of two amounts.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self {
            processors_milli: self.processors_milli.saturating_add(other.processors_milli),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// The saturating product of an amount and a number.
    #[must_use]
    pub const fn times(self, factor: u64) -> Self {
        Self {
            processors_milli: self.processors_milli.saturating_mul(factor),
            memory_mb: self.memory_mb.saturating_mul(factor),
            accelerators: self.accelerators.saturating_mul(factor),
        }
    }

    /// The saturating difference of two amounts.
    #[must_use]
    pub const fn minus(self, other: Self) -> Self {
        Self {
            processors_milli: self.processors_milli.saturating_sub(other.processors_milli),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// How many times `part` fits, one after the other; `None` if it is nothing.
    #[must_use]
    pub fn divided_by(self, part: Self) -> Option<u64> {
        let quotients = [
            self.processors_milli.checked_div(part.processors_milli),
            self.memory_mb.checked_div(part.memory_mb),
            self.accelerators.checked_div(part.accelerators),
        ];
        quotients.into_iter().flatten().min()
    }

    /// The larger amount of each resource.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        Self {
            processors_milli: self.processors_milli.max(other.processors_milli),
            memory_mb: self.memory_mb.max(other.memory_mb),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// The smaller amount of each resource.
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        Self {
            processors_milli: self.processors_milli.min(other.processors_milli),
            memory_mb: self.memory_mb.min(other.memory_mb),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }

    /// The largest share of any limited resource, in parts per million; a limit of 0 means no limit.
    #[must_use]
    pub fn dominant_share_of_limits_ppm(self, limits: Self) -> u64 {
        let share = |part, limit| {
            if limit == 0 {
                0
            } else {
                share_ppm(part, limit)
            }
        };
        share(self.processors_milli, limits.processors_milli)
            .max(share(self.memory_mb, limits.memory_mb))
            .max(share(self.accelerators, limits.accelerators))
    }

    /// The dominant share of `whole`: the largest share of any resource, in parts per million.
    #[must_use]
    pub fn dominant_share_ppm(self, whole: Self) -> u64 {
        share_ppm(self.processors_milli, whole.processors_milli)
            .max(share_ppm(self.memory_mb, whole.memory_mb))
            .max(share_ppm(self.accelerators, whole.accelerators))
    }
}

/// Share of `whole`, in parts per million, up to the largest number. A whole of 0 counts as 1.
fn share_ppm(part: u64, whole: u64) -> u64 {
    let ppm = u128::from(part) * 1_000_000 / u128::from(whole.max(1));
    u64::try_from(ppm).unwrap_or(u64::MAX)
}

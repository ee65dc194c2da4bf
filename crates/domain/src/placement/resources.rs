//! Amounts of processors, memory and accelerators.

/// An amount of each resource.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Resources {
    /// Processors in thousandths.
    pub processors_milli: u64,
    /// Memory.
    pub memory_mb: u64,
    /// Whole accelerators.
    pub accelerators: u64,
}

impl Resources {
    /// Whether this amount fits into another.
    #[must_use]
    pub const fn fits(self, room: Self) -> bool {
        self.processors_milli <= room.processors_milli
            && self.memory_mb <= room.memory_mb
            && self.accelerators <= room.accelerators
    }

    /// The sum of both.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self {
            processors_milli: self.processors_milli + other.processors_milli,
            memory_mb: self.memory_mb + other.memory_mb,
            accelerators: self.accelerators + other.accelerators,
        }
    }

    /// What is left; 0 where `other` is larger.
    #[must_use]
    pub const fn minus(self, other: Self) -> Self {
        Self {
            processors_milli: self.processors_milli.saturating_sub(other.processors_milli),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
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

    /// The largest share of `whole` that any resource takes, in parts per million.
    #[must_use]
    pub fn dominant_share_ppm(self, whole: Self) -> u64 {
        let share = |part: u64, whole: u64| part * 1_000_000 / whole.max(1);
        share(self.processors_milli, whole.processors_milli)
            .max(share(self.memory_mb, whole.memory_mb))
            .max(share(self.accelerators, whole.accelerators))
    }
}

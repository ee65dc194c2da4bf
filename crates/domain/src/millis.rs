//! Points in time.

use serde::{Deserialize, Serialize};

/// A point in time in milliseconds.
///
/// Decisions use the monotonic clock of the process. Times that are sent between processes use the
/// wall clock, and their field names contain `wall`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Millis(u64);

impl Millis {
    /// The origin of the clock.
    pub const ZERO: Self = Self(0);

    /// The latest representable time, used where no limit applies.
    pub const MAX: Self = Self(u64::MAX);

    /// Creates a time from milliseconds since the origin.
    #[must_use]
    pub const fn from_ms(ms: u64) -> Self {
        Self(ms)
    }

    /// Returns the milliseconds since the origin.
    #[must_use]
    pub const fn as_ms(self) -> u64 {
        self.0
    }

    /// Returns the time `ms` later; saturates at [`Millis::MAX`].
    #[must_use]
    pub const fn after_ms(self, ms: u64) -> Self {
        Self(self.0.saturating_add(ms))
    }

    /// Returns the milliseconds from `earlier` to this time; 0 if `earlier` is later.
    #[must_use]
    pub const fn ms_since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

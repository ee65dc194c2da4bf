//! Life cycle of a grant at its owner, as a typestate.
//!
//! A grant alternates between `Held` and `Recalled`. It becomes `Withheld` when the lease of its
//! holder expires before the slots were returned.

use crate::prelude::*;

/// State of a grant that its holder may use in full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Held;

/// State of a grant of which the owner has recalled a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Recalled {
    /// Slots that the holder may keep.
    pub keep: u32,
}

/// State of a grant whose lease has expired while requests of the holder may still be running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Withheld {
    /// Time by which the last request sent under the lease must have ended.
    pub until: Millis,
}

/// Slots granted to one holder, in state `S` of the life cycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant<S> {
    /// Slots that the holder may be using.
    pub committed: u32,
    /// Data of the current state.
    pub state: S,
}

impl Grant<Held> {
    /// Creates a grant with the count that the holder reported.
    #[must_use]
    pub const fn reported(committed: u32) -> Self {
        Self {
            committed,
            state: Held,
        }
    }

    /// Grants `slots` more.
    #[must_use]
    pub const fn raise(self, slots: u32) -> Self {
        Self::reported(self.committed + slots)
    }

    /// Recalls all slots above `keep`. They count as used until the holder reports their return.
    #[must_use]
    pub const fn recall(self, keep: u32) -> Grant<Recalled> {
        Grant {
            committed: self.committed,
            state: Recalled { keep },
        }
    }
}

impl Grant<Recalled> {
    /// Applies a report of the holder. The recall stays open while the holder uses more than
    /// `keep`.
    ///
    /// # Errors
    ///
    /// Returns the recalled grant if the recall is still open.
    pub const fn report(self, committed: u32) -> Result<Grant<Held>, Self> {
        if committed > self.state.keep {
            Err(Self { committed, ..self })
        } else {
            Ok(Grant::reported(committed))
        }
    }

    /// Cancels the recall, so the holder may keep all slots.
    #[must_use]
    pub const fn cancel(self) -> Grant<Held> {
        Grant::reported(self.committed)
    }
}

impl<S> Grant<S> {
    /// Withholds the slots until `until`, after the lease of the holder has expired.
    #[must_use]
    pub fn expire(self, until: Millis) -> Grant<Withheld> {
        Grant {
            committed: self.committed,
            state: Withheld { until },
        }
    }
}

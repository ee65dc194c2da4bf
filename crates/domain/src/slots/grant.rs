//! The life cycle of a grant at its home: `Held`, `Recalled`, `Held`, and `Withheld` after its
//! holder's lease ended without a return.

use crate::prelude::*;

/// State of a grant that its holder may use in full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Held;

/// State of a grant of which its home wants a part back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Recalled {
    /// Slots that the holder may keep.
    pub keep: u32,
}

/// State of a grant whose holder's lease has ended; its requests may still run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Withheld {
    /// When the last request that was sent under the lease has ended.
    pub until: Millis,
}

/// A grant in one state of its life cycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant<S> {
    /// Slots that the holder may be using.
    pub committed: u32,
    /// Data of the current state.
    pub state: S,
}

impl Grant<Held> {
    /// A grant as its holder reported it.
    #[must_use]
    pub const fn reported(committed: u32) -> Self {
        Self {
            committed,
            state: Held,
        }
    }

    /// Grants more.
    #[must_use]
    pub const fn raise(self, slots: u32) -> Self {
        Self::reported(self.committed + slots)
    }

    /// Asks for everything above `keep` back. The slots count as used until the holder reports.
    #[must_use]
    pub const fn recall(self, keep: u32) -> Grant<Recalled> {
        Grant {
            committed: self.committed,
            state: Recalled { keep },
        }
    }
}

impl Grant<Recalled> {
    /// The holder reported; the recall stays open while it still uses more than it may keep.
    ///
    /// # Errors
    ///
    /// Returns the open recall.
    pub const fn report(self, committed: u32) -> Result<Grant<Held>, Self> {
        if committed > self.state.keep {
            Err(Self { committed, ..self })
        } else {
            Ok(Grant::reported(committed))
        }
    }

    /// Lets the holder keep everything.
    #[must_use]
    pub const fn cancel(self) -> Grant<Held> {
        Grant::reported(self.committed)
    }
}

impl<S> Grant<S> {
    /// The holder's lease ended.
    #[must_use]
    pub fn expire(self, until: Millis) -> Grant<Withheld> {
        Grant {
            committed: self.committed,
            state: Withheld { until },
        }
    }
}

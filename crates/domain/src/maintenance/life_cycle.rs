//! The life cycle of one instance's maintenance: `Draining`, `Rebooting`, `Verified`.

use crate::prelude::*;

/// A returned instance must be healthy for this time before it serves again.
pub const VERIFY_MS: u64 = 300_000;

/// State of an instance that finishes its requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Draining;

/// State of an instance whose reboot was requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rebooting {
    /// Whether it was seen down since. Before that, its health says nothing about the reboot.
    pub seen_down: bool,
    /// Since when it is healthy again.
    pub healthy_since: Option<Millis>,
}

/// State of an instance that returned from its reboot and stayed healthy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verified;

/// Maintenance of one instance in one state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Maintenance<S> {
    /// When the state began, on the wall clock.
    pub since: Millis,
    /// Data of the state.
    pub state: S,
}

impl Maintenance<Draining> {
    /// Starts to drain.
    #[must_use]
    pub const fn start(now: Millis) -> Self {
        Self {
            since: now,
            state: Draining,
        }
    }

    /// The instance has no requests in flight; its reboot is requested next.
    #[must_use]
    pub const fn drained(self, now: Millis) -> Maintenance<Rebooting> {
        Maintenance {
            since: now,
            state: Rebooting {
                seen_down: false,
                healthy_since: None,
            },
        }
    }
}

impl Maintenance<Rebooting> {
    /// Records the health of the instance; it is verified once it has been down and then healthy
    /// for [`VERIFY_MS`].
    ///
    /// # Errors
    ///
    /// Returns the maintenance, still rebooting, while it must wait.
    pub fn observe(mut self, healthy: bool, now: Millis) -> Result<Maintenance<Verified>, Self> {
        if !healthy {
            self.state.seen_down = true;
            self.state.healthy_since = None;
            return Err(self);
        }
        if !self.state.seen_down {
            return Err(self);
        }
        let since = *self.state.healthy_since.get_or_insert(now);
        if now.ms_since(since) < VERIFY_MS {
            return Err(self);
        }
        Ok(Maintenance {
            since: now,
            state: Verified,
        })
    }
}

//! Typestate for the maintenance of one instance: `Draining`, `Rebooting`, `Verified`.

use crate::prelude::*;

/// An instance must stay healthy for this time after its reboot before it serves again.
pub const VERIFICATION_MS: u64 = 300_000;

/// State of an instance that finishes its requests in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Draining;

/// State of an instance whose reboot was requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rebooting {
    /// Whether the instance was observed down since. Before that, a healthy instance may not have
    /// rebooted yet.
    pub seen_down: bool,
    /// Start of the current healthy period after the reboot.
    pub healthy_since: Option<Millis>,
}

/// State of an instance that returned from its reboot and stayed healthy for [`VERIFICATION_MS`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verified;

/// Maintenance of one instance; `S` is its state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Maintenance<S> {
    /// Wall-clock time at which the state began.
    pub since: Millis,
    /// Data of the current state.
    pub state: S,
}

impl Maintenance<Draining> {
    /// Starts the maintenance with the drain.
    #[must_use]
    pub const fn start(now: Millis) -> Self {
        Self {
            since: now,
            state: Draining,
        }
    }

    /// Records that the instance has no requests in flight; its reboot is requested next.
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
    /// Records the health of the instance. It is verified once it has been down and then healthy for
    /// [`VERIFICATION_MS`].
    ///
    /// # Errors
    ///
    /// Returns the maintenance, still in `Rebooting`, until the instance is verified.
    pub fn observe_health(
        mut self,
        healthy: bool,
        now: Millis,
    ) -> Result<Maintenance<Verified>, Self> {
        if !healthy {
            self.state.seen_down = true;
            self.state.healthy_since = None;
            return Err(self);
        }
        if !self.state.seen_down {
            return Err(self);
        }
        let since = *self.state.healthy_since.get_or_insert(now);
        if now.ms_since(since) < VERIFICATION_MS {
            return Err(self);
        }
        Ok(Maintenance {
            since: now,
            state: Verified,
        })
    }
}

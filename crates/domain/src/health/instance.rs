//! Health of one instance.

use super::FaultDomain;
use crate::prelude::*;

/// Failures in a row that make an instance suspect.
pub(super) const SUSPECT_STREAK: u32 = 3;
/// Suspicion ends this long after the last failure.
const SUSPECT_MS: u64 = 2_000;
const FIRST_PAUSE_MS: u64 = 1_000;
const PAUSE_MAX_MS: u64 = 60_000;
/// After a refusal as overloaded, an instance gets one exchange per pause until it answers one.
const OVERLOAD_PAUSE_MS: u64 = 10;
const OVERLOAD_PAUSE_MAX_MS: u64 = 320;

#[derive(Clone, Copy, Debug)]
pub(super) enum State {
    InUse,
    Ejected { probe_at: Millis, probing: bool },
    OnTrial { successes: u32 },
}

/// Results of exchanges, counted from the start.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Results {
    pub(super) attempts: u64,
    pub(super) failures: u64,
}

impl Results {
    pub(super) fn add(&mut self, failed: bool) {
        self.attempts += 1;
        self.failures += u64::from(failed);
    }

    pub(super) fn since(self, earlier: Self) -> Self {
        Self {
            attempts: self.attempts.saturating_sub(earlier.attempts),
            failures: self.failures.saturating_sub(earlier.failures),
        }
    }
}

#[derive(Clone, Debug)]
pub(super) struct InstanceHealth {
    pub(super) domain: FaultDomain,
    pub(super) absent: bool,
    pub(super) peers: Vec<(Arc<str>, Millis)>,
    pub(super) state: State,
    /// When the state began; failures of exchanges that started earlier do not count in it.
    pub(super) since: Millis,
    pub(super) streak: u32,
    pub(super) connects: u32,
    pub(super) last_failure: Millis,
    /// Refusals as overloaded without an answer in between.
    pub(super) refusals: u32,
    pub(super) refused_at: Millis,
    /// No work before this time, since the instance refused some.
    pub(super) paused_until: Millis,
    /// Ejections without a stable time in between.
    pub(super) level: u32,
    pub(super) returned: Option<Millis>,
    pub(super) own: Results,
    pub(super) own_at_streak: Results,
    pub(super) pool_at_streak: Results,
}

impl InstanceHealth {
    /// An instance in full use.
    pub(super) fn new(domain: FaultDomain, now: Millis) -> Self {
        Self {
            domain,
            absent: false,
            peers: Vec::new(),
            state: State::InUse,
            since: now,
            streak: 0,
            connects: 0,
            last_failure: Millis::ZERO,
            refusals: 0,
            refused_at: Millis::ZERO,
            paused_until: Millis::ZERO,
            level: 0,
            returned: None,
            own: Results::default(),
            own_at_streak: Results::default(),
            pool_at_streak: Results::default(),
        }
    }

    pub(super) fn is_ejected(&self) -> bool {
        matches!(self.state, State::Ejected { .. })
    }

    pub(super) fn is_suspect(&self, now: Millis) -> bool {
        self.streak >= SUSPECT_STREAK && now.ms_since(self.last_failure) < SUSPECT_MS
    }

    pub(super) fn refuses_connections(&self) -> bool {
        self.connects >= SUSPECT_STREAK
    }

    pub(super) fn pause_ms(&self) -> u64 {
        let doublings = self.level.saturating_sub(1).min(16);
        (FIRST_PAUSE_MS << doublings).min(PAUSE_MAX_MS)
    }

    pub(super) fn pause_work(&mut self, now: Millis) {
        let doublings = self.refusals.saturating_sub(1).min(8);
        let pause_ms = (OVERLOAD_PAUSE_MS << doublings).min(OVERLOAD_PAUSE_MAX_MS);
        self.paused_until = now.after_ms(pause_ms);
    }

    pub(super) fn clear_streak(&mut self) {
        self.streak = 0;
        self.connects = 0;
    }
}

//! Health of one instance.

use super::FaultDomain;
use crate::prelude::*;

/// Number of consecutive failures that make an instance suspect.
pub(super) const SUSPECT_STREAK: u32 = 3;
/// Time after the last failure at which an instance is no longer suspect.
const SUSPECT_MS: u64 = 2_000;
const INITIAL_PROBE_PAUSE_MS: u64 = 1_000;
const MAX_PROBE_PAUSE_MS: u64 = 60_000;
/// Initial pause after an overload refusal. The instance gets one exchange per pause until it
/// answers one.
const INITIAL_OVERLOAD_PAUSE_MS: u64 = 10;
const MAX_OVERLOAD_PAUSE_MS: u64 = 320;

#[derive(Clone, Copy, Debug)]
pub(super) enum HealthState {
    InUse,
    Ejected { probe_at: Millis, probing: bool },
    OnTrial { successes: u32 },
}

/// Cumulative counts of exchanges and failures.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ExchangeCounts {
    pub(super) total: u64,
    pub(super) failures: u64,
}

impl ExchangeCounts {
    pub(super) fn add(&mut self, failed: bool) {
        self.total += 1;
        self.failures += u64::from(failed);
    }

    pub(super) fn since(self, earlier: Self) -> Self {
        Self {
            total: self.total.saturating_sub(earlier.total),
            failures: self.failures.saturating_sub(earlier.failures),
        }
    }
}

#[derive(Clone, Debug)]
pub(super) struct InstanceHealth {
    pub(super) domain: FaultDomain,
    pub(super) unlisted: bool,
    pub(super) peer_reports: Vec<(Arc<str>, Millis)>,
    pub(super) state: HealthState,
    /// Start of the current state. Failures of exchanges that started earlier are ignored.
    pub(super) state_since: Millis,
    pub(super) failure_streak: u32,
    pub(super) connect_failures: u32,
    pub(super) last_failure: Millis,
    /// Consecutive overload refusals.
    pub(super) overload_refusals: u32,
    pub(super) last_refusal: Millis,
    /// End of the pause after an overload refusal.
    pub(super) paused_until: Millis,
    /// Exponent of the probe pause: ejections and failed probes since the last stable period.
    pub(super) backoff_level: u32,
    pub(super) returned_at: Option<Millis>,
    pub(super) counts: ExchangeCounts,
    pub(super) counts_at_streak: ExchangeCounts,
    pub(super) pool_counts_at_streak: ExchangeCounts,
}

impl InstanceHealth {
    /// Creates the state of an instance in full use.
    pub(super) fn new(domain: FaultDomain, now: Millis) -> Self {
        Self {
            domain,
            unlisted: false,
            peer_reports: Vec::new(),
            state: HealthState::InUse,
            state_since: now,
            failure_streak: 0,
            connect_failures: 0,
            last_failure: Millis::ZERO,
            overload_refusals: 0,
            last_refusal: Millis::ZERO,
            paused_until: Millis::ZERO,
            backoff_level: 0,
            returned_at: None,
            counts: ExchangeCounts::default(),
            counts_at_streak: ExchangeCounts::default(),
            pool_counts_at_streak: ExchangeCounts::default(),
        }
    }

    pub(super) fn is_ejected(&self) -> bool {
        matches!(self.state, HealthState::Ejected { .. })
    }

    pub(super) fn is_suspect(&self, now: Millis) -> bool {
        self.failure_streak >= SUSPECT_STREAK && now.ms_since(self.last_failure) < SUSPECT_MS
    }

    pub(super) fn refuses_connections(&self) -> bool {
        self.connect_failures >= SUSPECT_STREAK
    }

    pub(super) fn probe_pause_ms(&self) -> u64 {
        let doublings = self.backoff_level.saturating_sub(1).min(16);
        (INITIAL_PROBE_PAUSE_MS << doublings).min(MAX_PROBE_PAUSE_MS)
    }

    pub(super) fn pause_after_refusal(&mut self, now: Millis) {
        let doublings = self.overload_refusals.saturating_sub(1).min(8);
        let pause_ms = (INITIAL_OVERLOAD_PAUSE_MS << doublings).min(MAX_OVERLOAD_PAUSE_MS);
        self.paused_until = now.after_ms(pause_ms);
    }

    pub(super) fn reset_failure_streak(&mut self) {
        self.failure_streak = 0;
        self.connect_failures = 0;
    }
}

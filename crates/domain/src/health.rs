//! Outlier detection for the instances of one pool: suspicion, ejection, probing and return.
//!
//! Consecutive failures make an instance *suspect*: it gets requests only if no other instance has
//! a free slot. An instance is *ejected* when it refuses connections, or when its failure streak is
//! very improbable given the failure rate of the rest of the pool in the same period. A fault of
//! the whole service therefore ejects no instance. An ejected instance gets no requests and is
//! probed. After a successful probe it is *on trial* with one exchange at a time, since an instance
//! that fails all requests may still answer its probe.

use crate::prelude::*;

mod change;
mod instance;

pub use change::{EjectionEvidence, HealthChange};
use instance::{ExchangeCounts, HealthState, InstanceHealth, SUSPECT_STREAK};

/// Score at which an instance counts as unreachable and is ejected without a comparison with the
/// pool. Each consecutive connect failure adds one.
const EJECT_SCORE: u32 = 3;
/// Score added when the instance's rack or availability zone is down.
const DOMAIN_DOWN_SCORE: u32 = 2;
/// Score added when the platform's last list did not contain the instance.
const UNLISTED_SCORE: u32 = 2;
/// Maximum score added by reports of peers, one per peer. A network partition can make these
/// reports wrong, so they count only together with a connect failure of this daemon.
const MAX_PEER_SCORE: usize = 2;
/// Time for which a peer's report counts.
const PEER_REPORT_TTL_MS: u64 = 10_000;
/// Maximum number of peer reports kept for an instance. More than the number of daemons.
const MAX_PEER_REPORTS: usize = 16;
/// Negative natural logarithm of the probability (one in a million) at which a failure streak
/// ejects an instance.
const EJECT_NEG_LOG_PROBABILITY: f64 = 13.8;
/// Time on trial during which repeatable requests are preferred. After it, any request is accepted,
/// so that an instance also returns in a service without repeatable requests.
const TRIAL_REPEATABLE_ONLY_MS: u64 = 2_000;
/// Number of complete responses on trial after which an instance returns to full use.
const TRIAL_SUCCESSES: u32 = 3;
/// An instance that is ejected again within this time of its return keeps increasing its probe
/// pause.
const STABLE_AFTER_RETURN_MS: u64 = 60_000;
/// Time after which a probe without a result is repeated.
const PROBE_TIMEOUT_MS: u64 = 5_000;

/// Health observation from an exchange with an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// A complete response without a server error.
    Answered,
    /// A complete response with a server error, which is passed to the caller, or a malformed
    /// response.
    ErrorResponse,
    /// No response before the deadline. The caller may have set the deadline too short.
    TimedOut,
    /// The connection was lost or the response was truncated.
    ConnectionLost,
    /// No connection could be opened.
    ConnectFailed,
    /// The instance refused the request without running it. This indicates overload, not a fault.
    Overloaded,
    /// No observation, because the exchange ended for a reason within the daemon.
    Inconclusive,
}

/// Rack and availability zone of an instance. Instances that share one of them can fail together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FaultDomain {
    /// Rack.
    pub rack: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
}

/// Rank of an instance in the selection. Lower is better.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Preference {
    /// No known fault.
    Normal,
    /// On trial, for a request that must not be repeated.
    OnTrial,
    /// Suspect.
    Suspect,
}

/// Health of the instances of one pool.
#[derive(Clone, Debug, Default)]
pub struct PoolHealth {
    instances: SecondaryMap<InstanceKey, InstanceHealth>,
    counts: ExchangeCounts,
    changes: Vec<(InstanceKey, HealthChange)>,
}

impl PoolHealth {
    /// Adds an instance in full use, or updates the fault domain of an existing one.
    pub fn insert(&mut self, instance: InstanceKey, domain: FaultDomain, now: Millis) {
        if let Some(health) = self.instances.get_mut(instance) {
            health.domain = domain;
            return;
        }
        let health = InstanceHealth::new(domain, now);
        self.instances.insert(instance, health);
    }

    /// Removes an instance from the pool. If more than half of the remaining pool is then ejected,
    /// the instances ejected longest ago are put on trial.
    pub fn remove(&mut self, instance: InstanceKey, now: Millis) {
        self.instances.remove(instance);
        while self.ejected() > self.ejected_max() {
            let oldest = self
                .instances
                .iter()
                .filter(|(_, health)| health.is_ejected())
                .min_by_key(|(_, health)| health.state_since)
                .map(|(key, _)| key);
            let Some(oldest) = oldest else { return };
            self.start_trial(oldest, now);
        }
    }

    /// Records whether the instance was missing from the platform's last list. If so, a connect
    /// failure has more weight.
    pub fn set_unlisted(&mut self, instance: InstanceKey, unlisted: bool) {
        if let Some(health) = self.instances.get_mut(instance) {
            health.unlisted = unlisted;
        }
    }

    /// Records that a peer reported refused connections to the instance.
    pub fn record_peer_refusal(&mut self, instance: InstanceKey, peer: Arc<str>, now: Millis) {
        if let Some(health) = self.instances.get_mut(instance) {
            health
                .peer_reports
                .retain(|(other, at)| *other != peer && now.ms_since(*at) < PEER_REPORT_TTL_MS);
            if health.peer_reports.len() < MAX_PEER_REPORTS {
                health.peer_reports.push((peer, now));
            }
        }
    }

    /// Number of ejected instances.
    #[must_use]
    pub fn ejected(&self) -> usize {
        self.instances
            .values()
            .filter(|health| health.is_ejected())
            .count()
    }

    /// Maximum number of ejected instances: half of the pool.
    #[must_use]
    pub fn ejected_max(&self) -> usize {
        self.instances.len() / 2
    }

    /// Whether the instance is ejected.
    #[must_use]
    pub fn is_ejected(&self, instance: InstanceKey) -> bool {
        self.instances
            .get(instance)
            .is_some_and(InstanceHealth::is_ejected)
    }

    /// Records that a request is sent to the instance.
    pub fn record_dispatch(&mut self, instance: InstanceKey, now: Millis) {
        if let Some(health) = self.instances.get_mut(instance)
            && health.overload_refusals > 0
        {
            health.pause_after_refusal(now);
        }
    }

    /// Records the result of an exchange that started at `started`.
    pub fn record_exchange(
        &mut self,
        instance: InstanceKey,
        observation: Observation,
        started: Millis,
        now: Millis,
    ) {
        match observation {
            Observation::Answered => self.record_success(instance, started, now),
            Observation::Overloaded => {
                if let Some(health) = self.instances.get_mut(instance) {
                    // The instance accepted a connection and replied.
                    health.connect_failures = 0;
                    // Concurrent refusals count once.
                    if started >= health.last_refusal {
                        health.overload_refusals += 1;
                        health.last_refusal = now;
                        health.pause_after_refusal(now);
                    }
                }
            }
            Observation::Inconclusive => {}
            Observation::ConnectFailed => self.record_failure(instance, true, started, now),
            Observation::ErrorResponse | Observation::TimedOut | Observation::ConnectionLost => {
                self.record_failure(instance, false, started, now);
            }
        }
    }

    fn record_success(&mut self, instance: InstanceKey, started: Millis, now: Millis) {
        let Some(health) = self.instances.get_mut(instance) else {
            return;
        };
        self.counts.add(false);
        health.counts.add(false);
        health.overload_refusals = 0;
        health.paused_until = Millis::ZERO;
        match &mut health.state {
            HealthState::InUse => health.reset_failure_streak(),
            HealthState::Ejected {
                probe_at,
                probing: false,
            } => *probe_at = now,
            HealthState::Ejected { .. } => {}
            HealthState::OnTrial { .. } if started < health.state_since => {}
            HealthState::OnTrial { successes } => {
                *successes += 1;
                let trial_passed = *successes >= TRIAL_SUCCESSES;
                health.reset_failure_streak();
                if trial_passed {
                    health.state = HealthState::InUse;
                    health.state_since = now;
                    health.returned_at = Some(now);
                    self.changes.push((instance, HealthChange::Returned));
                }
            }
        }
    }

    fn record_failure(
        &mut self,
        instance: InstanceKey,
        is_connect_failure: bool,
        started: Millis,
        now: Millis,
    ) {
        let pool_counts = self.counts;
        let Some(health) = self.instances.get_mut(instance) else {
            return;
        };
        if started < health.state_since || health.is_ejected() {
            return;
        }
        if health.failure_streak == 0 {
            health.counts_at_streak = health.counts;
            health.pool_counts_at_streak = pool_counts;
        }
        health.counts.add(true);
        self.counts.add(true);
        health.failure_streak += 1;
        health.connect_failures = if is_connect_failure {
            health.connect_failures + 1
        } else {
            0
        };
        health.last_failure = now;
        let on_trial = matches!(health.state, HealthState::OnTrial { .. });
        if on_trial {
            self.eject(instance, now);
        }
    }

    /// Whether connect failures, the platform's list, reports of peers and the state of the fault
    /// domain together reach the score of an unreachable instance.
    fn is_unreachable(&self, health: &InstanceHealth, now: Millis) -> bool {
        if health.connect_failures == 0 {
            return false;
        }
        let peer_count = recent_peer_reports(health, now);
        let mut score = health.connect_failures + peer_count.min(MAX_PEER_SCORE) as u32;
        if health.unlisted {
            score += UNLISTED_SCORE;
        }
        if self.is_domain_down(&health.domain) {
            score += DOMAIN_DOWN_SCORE;
        }
        score >= EJECT_SCORE
    }

    /// Whether at least two instances, and at least half, of the rack or the availability zone are
    /// ejected.
    fn is_domain_down(&self, domain: &FaultDomain) -> bool {
        let is_mostly_ejected = |same: &dyn Fn(&FaultDomain) -> bool| {
            let members = self.instances.values().filter(|other| same(&other.domain));
            let (all, ejected) = members.fold((0, 0), |(all, ejected), other| {
                (all + 1, ejected + u32::from(other.is_ejected()))
            });
            ejected >= 2 && ejected * 2 >= all
        };
        is_mostly_ejected(&|other| other.rack == domain.rack && other.zone == domain.zone)
            || is_mostly_ejected(&|other| other.zone == domain.zone)
    }

    /// Whether the failure streak is improbable under the failure rate of the rest of the pool in
    /// the same period.
    fn is_outlier(&self, health: &InstanceHealth) -> bool {
        if health.failure_streak < SUSPECT_STREAK {
            return false;
        }
        let own = health.counts.since(health.counts_at_streak);
        let others = self.counts.since(health.pool_counts_at_streak).since(own);
        if others.total == 0 {
            return false;
        }
        let failure_share = (others.failures + 1) as f64 / (others.total + 2) as f64;
        f64::from(health.failure_streak) * -failure_share.ln() >= EJECT_NEG_LOG_PROBABILITY
    }

    fn eject(&mut self, instance: InstanceKey, now: Millis) {
        if self.ejected() >= self.ejected_max() {
            return;
        }
        let Some(health) = self.instances.get_mut(instance) else {
            return;
        };
        let was_stable = health
            .returned_at
            .is_some_and(|returned_at| now.ms_since(returned_at) >= STABLE_AFTER_RETURN_MS);
        health.backoff_level = if was_stable {
            1
        } else {
            health.backoff_level + 1
        };
        health.returned_at = None;
        let pause_ms = health.probe_pause_ms();
        health.state_since = now;
        health.state = HealthState::Ejected {
            probe_at: now.after_ms(pause_ms),
            probing: false,
        };
        let evidence = EjectionEvidence {
            failures: health.failure_streak,
            connect_failures: health.connect_failures,
            peer_reports: recent_peer_reports(health, now),
        };
        let change = HealthChange::Ejected { pause_ms, evidence };
        self.changes.push((instance, change));
    }

    /// Ejects unreachable instances and outliers. All instances are checked, not only those with
    /// new results: a suspect gets too few requests to extend its streak, but results of the rest
    /// of the pool can make it an outlier.
    pub fn eject_unhealthy(&mut self, now: Millis) {
        let in_use = |health: &InstanceHealth| matches!(health.state, HealthState::InUse);
        // Evaluate one instance at a time, since an ejection can mark a rack or zone as down.
        for instance in self.instances.keys().collect::<Vec<_>>() {
            let health = self.instances.get(instance);
            let unhealthy = health.is_some_and(|health| {
                in_use(health) && (self.is_unreachable(health, now) || self.is_outlier(health))
            });
            if unhealthy {
                self.eject(instance, now);
            }
        }
    }

    /// Instances to probe now. The result of each probe must be passed to [`Self::record_probe`].
    pub fn due_probes(&mut self, now: Millis) -> Vec<InstanceKey> {
        let mut due = Vec::new();
        for (instance, health) in &mut self.instances {
            let HealthState::Ejected { probe_at, probing } = &mut health.state else {
                continue;
            };
            if now >= *probe_at {
                // A probe that is still marked as running has timed out.
                *probing = true;
                *probe_at = now.after_ms(PROBE_TIMEOUT_MS);
                due.push(instance);
            }
        }
        due
    }

    /// Records the result of a probe. After a success, the other ejected instances of the
    /// availability zone are probed at once, since the instances of a zone often recover together.
    pub fn record_probe(&mut self, instance: InstanceKey, healthy: bool, now: Millis) {
        let Some(health) = self.instances.get_mut(instance) else {
            return;
        };
        if !matches!(health.state, HealthState::Ejected { probing: true, .. }) {
            return;
        }
        if !healthy {
            health.backoff_level += 1;
            health.state = HealthState::Ejected {
                probe_at: now.after_ms(health.probe_pause_ms()),
                probing: false,
            };
            return;
        }
        let domain = health.domain.clone();
        self.start_trial(instance, now);
        for health in self.instances.values_mut() {
            if let HealthState::Ejected { probe_at, probing } = &mut health.state
                && health.domain.zone == domain.zone
                && !*probing
            {
                *probe_at = now;
            }
        }
    }

    fn start_trial(&mut self, instance: InstanceKey, now: Millis) {
        if let Some(health) = self.instances.get_mut(instance) {
            health.state = HealthState::OnTrial { successes: 0 };
            health.state_since = now;
            health.reset_failure_streak();
            self.changes.push((instance, HealthChange::OnTrial));
        }
    }

    /// Rank of the instance for a request, given its exchanges in flight. Returns `None` if it must
    /// not be used now.
    #[must_use]
    pub fn preference(
        &self,
        instance: InstanceKey,
        in_flight: u32,
        repeatable: bool,
        now: Millis,
    ) -> Option<Preference> {
        let Some(health) = self.instances.get(instance) else {
            return Some(Preference::Normal);
        };
        match health.state {
            HealthState::Ejected { .. } => None,
            _ if now < health.paused_until => None,
            HealthState::OnTrial { .. } if in_flight > 0 => None,
            // A failure on trial did not eject it, because half of the pool is already ejected.
            HealthState::OnTrial { .. } if health.failure_streak > 0 => Some(Preference::Suspect),
            HealthState::OnTrial { .. }
                if repeatable || now.ms_since(health.state_since) >= TRIAL_REPEATABLE_ONLY_MS =>
            {
                Some(Preference::Normal)
            }
            HealthState::OnTrial { .. } => Some(Preference::OnTrial),
            HealthState::InUse if !health.is_suspect(now) => Some(Preference::Normal),
            // An unreachable instance beyond the ejection limit gets one exchange at a time, unless
            // the whole pool looks unreachable and the fault may be in this daemon.
            HealthState::InUse if in_flight > 0 && self.refuses_while_others_serve(health, now) => {
                None
            }
            HealthState::InUse => Some(Preference::Suspect),
        }
    }

    /// Maximum number of concurrent exchanges of the instance, given those in flight.
    #[must_use]
    pub fn exchanges_max(&self, instance: InstanceKey, in_flight: u32, now: Millis) -> u32 {
        let Some(health) = self.instances.get(instance) else {
            return u32::MAX;
        };
        match health.state {
            HealthState::Ejected { .. } => 0,
            _ if now < health.paused_until => 0,
            HealthState::OnTrial { .. } => 1,
            HealthState::InUse if self.refuses_while_others_serve(health, now) => 1,
            // The next dispatch starts another pause.
            HealthState::InUse if health.overload_refusals > 0 => in_flight.saturating_add(1),
            HealthState::InUse => u32::MAX,
        }
    }

    /// Whether the instance refuses connections while others of the pool are healthy.
    fn refuses_while_others_serve(&self, health: &InstanceHealth, now: Millis) -> bool {
        health.is_suspect(now) && health.refuses_connections() && self.has_healthy_instance(now)
    }

    fn has_healthy_instance(&self, now: Millis) -> bool {
        self.instances
            .values()
            .any(|health| matches!(health.state, HealthState::InUse) && !health.is_suspect(now))
    }

    /// Returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<(InstanceKey, HealthChange)> {
        std::mem::take(&mut self.changes)
    }
}

fn recent_peer_reports(health: &InstanceHealth, now: Millis) -> usize {
    let reports = health.peer_reports.iter();
    reports
        .filter(|(_, at)| now.ms_since(*at) < PEER_REPORT_TTL_MS)
        .count()
}

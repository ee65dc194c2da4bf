//! Health of the instances of one pool: suspicion, ejection, probing and return.
//!
//! A failure streak makes an instance *suspect*: it gets work only when no other instance has a
//! free slot. A suspect is *ejected* when it refuses connections, or when its streak is very
//! unlikely given what the rest of the pool did in the same period. A fault of the whole service
//! therefore ejects nothing. An ejected instance gets no work and is probed; after a successful
//! probe it is *on trial* with one exchange at a time, since an instance that fails everything may
//! still answer its probe.

use crate::prelude::*;

mod instance;

use instance::{InstanceHealth, Results, SUSPECT_STREAK, State};

/// Evidence that ejects an instance without comparison. Each failed connect in a row counts one.
const EJECT_EVIDENCE: u32 = 3;
/// Evidence in the loss of most of the instance's rack or availability zone.
const CORRELATED_EVIDENCE: u32 = 2;
/// Evidence in the lack of the instance in the platform's last list.
const ABSENT_EVIDENCE: u32 = 2;
/// Evidence in peers' observations at most, one for each peer. A partition can mislead them, so
/// they do not suffice without a failed connect of this daemon.
const PEERS_EVIDENCE_MAX: usize = 2;
/// A peer's observation counts for this time.
const PEER_REPORT_MS: u64 = 10_000;
/// Peers' observations kept for an instance, above the number of daemons.
const PEER_REPORTS_MAX: usize = 16;
/// Natural logarithm of the improbability (one in a million) at which a streak ejects.
const EJECT_LOG_ODDS: f64 = 13.8;
/// On trial, an instance gets only repeatable work at first, and any work after this time, so that
/// it comes back to a service without repeatable work.
const TRIAL_REPEATABLE_MS: u64 = 2_000;
/// Complete responses on trial that return an instance to full use.
const TRIAL_SUCCESSES: u32 = 3;
/// An instance ejected again within this time of its return continues with the longer pause.
const STABLE_MS: u64 = 60_000;
/// A probe without a result counts as failed after this time.
const PROBE_LIMIT_MS: u64 = 5_000;

/// What an exchange showed of its instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// A complete response that is no server error.
    Answered,
    /// A complete response with a server error, or a malformed one. The caller gets the former.
    ErrorResponse,
    /// The response did not arrive before the deadline, which the caller may have set too short.
    TimedOut,
    /// The connection was lost or the response was cut short.
    ConnectionLost,
    /// No connection could be opened.
    ConnectFailed,
    /// The instance refused the request without running it; this is overload, not illness.
    Overloaded,
    /// Nothing, since the exchange ended for a reason within the daemon.
    Nothing,
}

/// Where an instance runs; instances that share one of these can fail together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FaultDomain {
    /// Rack.
    pub rack: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
}

/// A change that operators see on the timeline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthChange {
    /// The instance gets no work and is probed after the pause.
    Ejected {
        /// Time until the probe.
        pause_ms: u64,
        /// Whether it refuses this daemon's connections, which peers want to know.
        refuses: bool,
    },
    /// The instance gets one exchange at a time.
    OnTrial,
    /// The instance is in full use again.
    Returned,
}

/// How much an instance is preferred for work; lower is better.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Preference {
    /// No known fault.
    Normal,
    /// On trial, for work that must not be repeated.
    OnTrial,
    /// Suspect.
    Suspect,
}

/// Health of the instances of one pool.
#[derive(Clone, Debug, Default)]
pub struct PoolHealth {
    instances: SecondaryMap<InstanceKey, InstanceHealth>,
    results: Results,
    changes: Vec<(InstanceKey, HealthChange)>,
}

impl PoolHealth {
    /// Adds an instance in full use, or updates where it runs.
    pub fn insert(&mut self, instance: InstanceKey, domain: FaultDomain, now: Millis) {
        if let Some(health) = self.instances.get_mut(instance) {
            health.domain = domain;
            return;
        }
        let health = InstanceHealth::new(domain, now);
        self.instances.insert(instance, health);
    }

    /// Removes an instance from the pool. If more than half of the rest is ejected then, those
    /// ejected first are put on trial.
    pub fn remove(&mut self, instance: InstanceKey, now: Millis) {
        self.instances.remove(instance);
        while self.ejected() > self.ejected_max() {
            let oldest = self
                .instances
                .iter()
                .filter(|(_, health)| health.is_ejected())
                .min_by_key(|(_, health)| health.since)
                .map(|(key, _)| key);
            let Some(oldest) = oldest else { return };
            self.start_trial(oldest, now);
        }
    }

    /// Records whether the platform's last list lacked the instance. A failed connect then weighs
    /// more.
    pub fn set_absent(&mut self, instance: InstanceKey, absent: bool) {
        if let Some(health) = self.instances.get_mut(instance) {
            health.absent = absent;
        }
    }

    /// Records that the instance refused the connections of a peer.
    pub fn peer_refused(&mut self, instance: InstanceKey, peer: Arc<str>, now: Millis) {
        if let Some(health) = self.instances.get_mut(instance) {
            health
                .peers
                .retain(|(other, at)| *other != peer && now.ms_since(*at) < PEER_REPORT_MS);
            if health.peers.len() < PEER_REPORTS_MAX {
                health.peers.push((peer, now));
            }
        }
    }

    /// Instances that are ejected now.
    #[must_use]
    pub fn ejected(&self) -> usize {
        self.instances
            .values()
            .filter(|health| health.is_ejected())
            .count()
    }

    /// Instances that may be ejected at once: half of the pool.
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

    /// Records that work is sent to the instance.
    pub fn sent(&mut self, instance: InstanceKey, now: Millis) {
        if let Some(health) = self.instances.get_mut(instance)
            && health.refusals > 0
        {
            health.pause_work(now);
        }
    }

    /// Records the result of an exchange that started at `started`.
    pub fn observe(
        &mut self,
        instance: InstanceKey,
        observation: Observation,
        started: Millis,
        now: Millis,
    ) {
        match observation {
            Observation::Answered => self.succeeded(instance, started, now),
            Observation::Overloaded => {
                if let Some(health) = self.instances.get_mut(instance) {
                    // The instance accepted a connection and replied.
                    health.connects = 0;
                    // Exchanges that were refused together count once.
                    if started >= health.refused_at {
                        health.refusals += 1;
                        health.refused_at = now;
                        health.pause_work(now);
                    }
                }
            }
            Observation::Nothing => {}
            Observation::ConnectFailed => self.failed(instance, true, started, now),
            Observation::ErrorResponse | Observation::TimedOut | Observation::ConnectionLost => {
                self.failed(instance, false, started, now);
            }
        }
    }

    fn succeeded(&mut self, instance: InstanceKey, started: Millis, now: Millis) {
        let Some(health) = self.instances.get_mut(instance) else {
            return;
        };
        self.results.add(false);
        health.own.add(false);
        health.refusals = 0;
        health.paused_until = Millis::ZERO;
        match &mut health.state {
            State::InUse => health.clear_streak(),
            State::Ejected {
                probe_at,
                probing: false,
            } => *probe_at = now,
            State::Ejected { .. } => {}
            State::OnTrial { .. } if started < health.since => {}
            State::OnTrial { successes } => {
                *successes += 1;
                let trial_passed = *successes >= TRIAL_SUCCESSES;
                health.clear_streak();
                if trial_passed {
                    health.state = State::InUse;
                    health.since = now;
                    health.returned = Some(now);
                    self.changes.push((instance, HealthChange::Returned));
                }
            }
        }
    }

    fn failed(&mut self, instance: InstanceKey, connect: bool, started: Millis, now: Millis) {
        let pool = self.results;
        let Some(health) = self.instances.get_mut(instance) else {
            return;
        };
        if started < health.since || health.is_ejected() {
            return;
        }
        if health.streak == 0 {
            health.own_at_streak = health.own;
            health.pool_at_streak = pool;
        }
        health.own.add(true);
        self.results.add(true);
        health.streak += 1;
        health.connects = if connect { health.connects + 1 } else { 0 };
        health.last_failure = now;
        let on_trial = matches!(health.state, State::OnTrial { .. });
        if on_trial {
            self.eject(instance, now);
        }
    }

    /// Whether the failed connects, the platform's list, the peers and the rest of the rack and the
    /// availability zone together show that the instance is gone.
    fn is_gone(&self, health: &InstanceHealth, now: Millis) -> bool {
        if health.connects == 0 {
            return false;
        }
        let recent = |at: Millis| now.ms_since(at) < PEER_REPORT_MS;
        let peers = health.peers.iter().filter(|(_, at)| recent(*at)).count();
        let mut evidence = health.connects + peers.min(PEERS_EVIDENCE_MAX) as u32;
        if health.absent {
            evidence += ABSENT_EVIDENCE;
        }
        if self.domain_is_lost(&health.domain) {
            evidence += CORRELATED_EVIDENCE;
        }
        evidence >= EJECT_EVIDENCE
    }

    /// Whether at least half of a rack or an availability zone, and more than one instance of it,
    /// is ejected.
    fn domain_is_lost(&self, domain: &FaultDomain) -> bool {
        let lost = |same: &dyn Fn(&FaultDomain) -> bool| {
            let members = self.instances.values().filter(|other| same(&other.domain));
            let (all, ejected) = members.fold((0, 0), |(all, ejected), other| {
                (all + 1, ejected + u32::from(other.is_ejected()))
            });
            ejected >= 2 && ejected * 2 >= all
        };
        lost(&|other| other.rack == domain.rack && other.zone == domain.zone)
            || lost(&|other| other.zone == domain.zone)
    }

    /// Whether a streak of this length is improbable if the instance were like the rest of the
    /// pool, whose failure share is estimated from the same period.
    fn is_outlier(&self, health: &InstanceHealth) -> bool {
        if health.streak < SUSPECT_STREAK {
            return false;
        }
        let own = health.own.since(health.own_at_streak);
        let others = self.results.since(health.pool_at_streak).since(own);
        if others.attempts == 0 {
            return false;
        }
        let share = (others.failures + 1) as f64 / (others.attempts + 2) as f64;
        f64::from(health.streak) * -share.ln() >= EJECT_LOG_ODDS
    }

    fn eject(&mut self, instance: InstanceKey, now: Millis) {
        if self.ejected() >= self.ejected_max() {
            return;
        }
        let Some(health) = self.instances.get_mut(instance) else {
            return;
        };
        let stable = health
            .returned
            .is_some_and(|returned| now.ms_since(returned) >= STABLE_MS);
        health.level = if stable { 1 } else { health.level + 1 };
        health.returned = None;
        let pause_ms = health.pause_ms();
        health.since = now;
        health.state = State::Ejected {
            probe_at: now.after_ms(pause_ms),
            probing: false,
        };
        let refuses = health.connects > 0;
        let change = HealthChange::Ejected { pause_ms, refuses };
        self.changes.push((instance, change));
    }

    /// Ejects the instances that are gone, and those whose streak is improbable. The latter can
    /// become so by what the rest of the pool does, since a suspect gets too little work to lengthen
    /// its streak.
    pub fn eject_ill(&mut self, now: Millis) {
        let in_use = |health: &InstanceHealth| matches!(health.state, State::InUse);
        // One after the other, since an ejection can show that a rack or zone is lost.
        for instance in self.instances.keys().collect::<Vec<_>>() {
            let health = self.instances.get(instance);
            let ill = health.is_some_and(|health| {
                in_use(health) && (self.is_gone(health, now) || self.is_outlier(health))
            });
            if ill {
                self.eject(instance, now);
            }
        }
    }

    /// Instances to probe now. Each must be followed by [`Self::probed`].
    pub fn due_probes(&mut self, now: Millis) -> Vec<InstanceKey> {
        let mut due = Vec::new();
        for (instance, health) in &mut self.instances {
            let State::Ejected { probe_at, probing } = &mut health.state else {
                continue;
            };
            if now >= *probe_at {
                // A probe that is still running here has lost its result.
                *probing = true;
                *probe_at = now.after_ms(PROBE_LIMIT_MS);
                due.push(instance);
            }
        }
        due
    }

    /// Records the result of a probe. After a success, the rest of the instance's rack and
    /// availability zone is probed at once, since they come back together.
    pub fn probed(&mut self, instance: InstanceKey, healthy: bool, now: Millis) {
        let Some(health) = self.instances.get_mut(instance) else {
            return;
        };
        if !matches!(health.state, State::Ejected { probing: true, .. }) {
            return;
        }
        if !healthy {
            health.level += 1;
            health.state = State::Ejected {
                probe_at: now.after_ms(health.pause_ms()),
                probing: false,
            };
            return;
        }
        let domain = health.domain.clone();
        self.start_trial(instance, now);
        for health in self.instances.values_mut() {
            if let State::Ejected { probe_at, probing } = &mut health.state
                && health.domain.zone == domain.zone
                && !*probing
            {
                *probe_at = now;
            }
        }
    }

    fn start_trial(&mut self, instance: InstanceKey, now: Millis) {
        if let Some(health) = self.instances.get_mut(instance) {
            health.state = State::OnTrial { successes: 0 };
            health.since = now;
            health.clear_streak();
            self.changes.push((instance, HealthChange::OnTrial));
        }
    }

    /// How much the instance is preferred for a request, given its exchanges in flight; `None` if
    /// it must not be used now.
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
            State::Ejected { .. } => None,
            _ if now < health.paused_until => None,
            State::OnTrial { .. } if in_flight > 0 => None,
            // Its failure on trial did not eject it, since half of the pool is ejected.
            State::OnTrial { .. } if health.streak > 0 => Some(Preference::Suspect),
            State::OnTrial { .. }
                if repeatable || now.ms_since(health.since) >= TRIAL_REPEATABLE_MS =>
            {
                Some(Preference::Normal)
            }
            State::OnTrial { .. } => Some(Preference::OnTrial),
            State::InUse if !health.is_suspect(now) => Some(Preference::Normal),
            // Beyond the ejection limit, a lost instance costs one exchange at a time, unless the
            // whole pool looks lost and the fault may be this daemon's own.
            State::InUse if in_flight > 0 && self.is_lost(health, now) => None,
            State::InUse => Some(Preference::Suspect),
        }
    }

    /// Exchanges that the instance may have at once, given those in flight.
    #[must_use]
    pub fn exchanges_max(&self, instance: InstanceKey, in_flight: u32, now: Millis) -> u32 {
        let Some(health) = self.instances.get(instance) else {
            return u32::MAX;
        };
        match health.state {
            State::Ejected { .. } => 0,
            _ if now < health.paused_until => 0,
            State::OnTrial { .. } => 1,
            State::InUse if self.is_lost(health, now) => 1,
            // The next exchange starts a pause.
            State::InUse if health.refusals > 0 => in_flight.saturating_add(1),
            State::InUse => u32::MAX,
        }
    }

    /// Whether the instance refuses connections while others of the pool work.
    fn is_lost(&self, health: &InstanceHealth, now: Millis) -> bool {
        health.is_suspect(now) && health.refuses_connections() && self.has_unsuspected(now)
    }

    fn has_unsuspected(&self, now: Millis) -> bool {
        self.instances
            .values()
            .any(|health| matches!(health.state, State::InUse) && !health.is_suspect(now))
    }

    /// Takes the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<(InstanceKey, HealthChange)> {
        std::mem::take(&mut self.changes)
    }
}

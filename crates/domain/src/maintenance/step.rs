//! Stage transitions of each instance, and failures that stop the wave.

use super::capacity::Capacity;
use super::life_cycle::{self, Draining, Maintenance, Rebooting};
use super::{
    FAILURE_WINDOW_MS, FleetInstance, InstancePhase, InstanceRecord, MaintenanceAction,
    MaintenancePlanner, MaintenanceSnapshot, OBSERVATION_MS, RACK_FAILURE_LIMIT, RESTART_GRACE_MS,
    RETRY_DELAY_MS, Stage, StopReason, WaveFailure, over_budget,
};
use crate::prelude::*;

impl MaintenancePlanner {
    fn abandon_attempt(&mut self, name: &str, now: Millis) {
        if let Some(record) = self.state.instances.get_mut(name) {
            record.running = Some((Stage::Returning, now));
            record.retry_wall_ms = Some(now.after_ms(RETRY_DELAY_MS));
        }
    }

    /// Records a failure if the instance failed after its reboot. An outage of its rack or zone counts
    /// against neither the instance nor the wave.
    pub(super) fn detect_failure(
        &mut self,
        instance: &FleetInstance,
        capacity: &Capacity,
        snapshot: &MaintenanceSnapshot<'_>,
        now: Millis,
    ) {
        let Some((stage, since)) = self.running(&instance.name) else {
            return;
        };
        let overdue = now.ms_since(since) >= self.fields.return_limit_ms;
        let failed = match stage {
            // If the instance was never observed down, the reboot request may have been lost.
            Stage::Rebooting { seen_down } => overdue && (seen_down || !instance.healthy),
            Stage::Verified => self.exceeds_restart_grace(instance, now),
            Stage::Draining | Stage::Failed | Stage::Returning => false,
        };
        if !failed || capacity.explains_failure(instance) {
            return;
        }
        self.set_running(&instance.name, Some((Stage::Failed, now)));
        self.healthy_since.remove(&instance.name);
        self.unhealthy_since.remove(&instance.name);
        let rack = snapshot.racks.get(instance.rack).unwrap_or(&instance.name);
        self.record_failure(Arc::clone(&instance.name), Arc::clone(rack), now);
    }

    /// Returns whether an instance under observation has been down for longer than a restart takes.
    fn exceeds_restart_grace(&mut self, instance: &FleetInstance, now: Millis) -> bool {
        if instance.healthy {
            self.unhealthy_since.remove(&instance.name);
            return false;
        }
        let name = Arc::clone(&instance.name);
        let since = *self.unhealthy_since.entry(name).or_insert(now);
        now.ms_since(since) >= RESTART_GRACE_MS
    }

    pub(super) fn record_failure(&mut self, instance: Arc<str>, rack: Arc<str>, now: Millis) {
        self.state.wave.passed_since_failure = false;
        self.state.wave.failures.push(WaveFailure {
            instance,
            rack,
            at_wall_ms: now,
        });
    }

    /// Drops failures outside the window and stops the wave if too many remain, or several in one rack.
    pub(super) fn stop_on_failures(&mut self, now: Millis) {
        let wave = &mut self.state.wave;
        // A small fleet has few reboots a day, so failures also count until an instance has completed
        // its observation period.
        if wave.passed_since_failure {
            wave.failures
                .retain(|failure| now.ms_since(failure.at_wall_ms) < FAILURE_WINDOW_MS);
        }
        if wave.stopped.is_some() {
            return;
        }
        let failures_in_rack =
            |rack: &str| wave.failures.iter().filter(|f| &*f.rack == rack).count();
        if wave
            .failures
            .iter()
            .any(|failure| failures_in_rack(&failure.rack) >= RACK_FAILURE_LIMIT)
        {
            wave.stopped = Some(StopReason::SameRack);
        } else if wave.failures.len() >= self.fields.stop_failures as usize {
            wave.stopped = Some(StopReason::Failures);
        }
    }

    /// Advances the maintenance of one instance and returns the action to carry out, if any.
    pub(super) fn advance_instance(
        &mut self,
        key: InstanceKey,
        instance: &FleetInstance,
        capacity: &Capacity,
        snapshot: &MaintenanceSnapshot<'_>,
        now: Millis,
    ) -> Option<MaintenanceAction> {
        let (stage, since) = self.running(&instance.name)?;
        match stage {
            Stage::Draining => {
                let draining = Maintenance {
                    since,
                    state: Draining,
                };
                let may_continue = !over_budget(&self.fields, snapshot, instance)
                    && capacity.meets_demand(snapshot, instance.pool);
                self.advance_draining(key, instance, may_continue, draining, now)
            }
            Stage::Rebooting { seen_down } => {
                let healthy_since = self.healthy_since.get(&instance.name).copied();
                let state = Rebooting {
                    seen_down,
                    healthy_since,
                };
                self.advance_rebooting(key, instance, Maintenance { since, state }, now)
            }
            Stage::Verified => self.advance_verified(key, instance, since, now),
            Stage::Failed => self.advance_failed(key, instance, now),
            Stage::Returning if instance.phase == InstancePhase::Serving => {
                self.set_running(&instance.name, None);
                None
            }
            Stage::Returning => Some(MaintenanceAction::Undrain(key)),
        }
    }

    fn advance_draining(
        &mut self,
        key: InstanceKey,
        instance: &FleetInstance,
        may_continue: bool,
        draining: Maintenance<Draining>,
        now: Millis,
    ) -> Option<MaintenanceAction> {
        let waited_ms = now.ms_since(draining.since);
        let abandons = self.state.wave.stopped.is_some()
            || !may_continue
            || waited_ms >= self.fields.drain_limit_ms;
        if abandons {
            self.abandon_attempt(&instance.name, now);
            return Some(MaintenanceAction::Undrain(key));
        }
        match instance.phase {
            // The previous controller may have ended between storing the stage and requesting the drain.
            InstancePhase::Serving => Some(MaintenanceAction::Drain(key)),
            InstancePhase::Leaving => None,
            InstancePhase::Drained => {
                let rebooting = draining.drained(now);
                let stage = Stage::Rebooting { seen_down: false };
                self.set_running(&instance.name, Some((stage, rebooting.since)));
                Some(MaintenanceAction::Reboot(key))
            }
        }
    }

    fn advance_rebooting(
        &mut self,
        key: InstanceKey,
        instance: &FleetInstance,
        rebooting: Maintenance<Rebooting>,
        now: Millis,
    ) -> Option<MaintenanceAction> {
        match rebooting.observe_health(instance.healthy, now) {
            Ok(verified) => {
                self.healthy_since.remove(&instance.name);
                self.set_running(&instance.name, Some((Stage::Verified, verified.since)));
                Some(MaintenanceAction::Undrain(key))
            }
            Err(rebooting) => {
                let Rebooting {
                    seen_down,
                    healthy_since,
                } = rebooting.state;
                match healthy_since {
                    Some(at) => self.healthy_since.insert(Arc::clone(&instance.name), at),
                    None => self.healthy_since.remove(&instance.name),
                };
                if !seen_down && now.ms_since(rebooting.since) >= self.fields.return_limit_ms {
                    // No reboot was observed, so a later attempt repeats the maintenance.
                    self.abandon_attempt(&instance.name, now);
                    return Some(MaintenanceAction::Undrain(key));
                }
                let stage = Stage::Rebooting { seen_down };
                self.set_running(&instance.name, Some((stage, rebooting.since)));
                None
            }
        }
    }

    fn advance_verified(
        &mut self,
        key: InstanceKey,
        instance: &FleetInstance,
        since: Millis,
        now: Millis,
    ) -> Option<MaintenanceAction> {
        if instance.phase == InstancePhase::Drained {
            return Some(MaintenanceAction::Undrain(key));
        }
        if now.ms_since(since) >= OBSERVATION_MS && instance.healthy {
            let latest_failure = self.state.wave.failures.last();
            // Only an instance that returned after the latest failure shows that the fault is gone.
            self.unhealthy_since.remove(&instance.name);
            if latest_failure.is_none_or(|failure| failure.at_wall_ms < since) {
                self.state.wave.passed_since_failure = true;
            }
            if let Some(record) = self.state.instances.get_mut(&instance.name) {
                *record = InstanceRecord {
                    last_wall_ms: since,
                    maintained: true,
                    running: None,
                    retry_wall_ms: None,
                };
            }
        }
        None
    }

    /// Returns a failed instance to service once it is healthy again, unless the wave has stopped.
    fn advance_failed(
        &mut self,
        key: InstanceKey,
        instance: &FleetInstance,
        now: Millis,
    ) -> Option<MaintenanceAction> {
        if !instance.healthy {
            self.healthy_since.remove(&instance.name);
            return None;
        }
        let since = *self
            .healthy_since
            .entry(Arc::clone(&instance.name))
            .or_insert(now);
        if self.state.wave.stopped.is_some() || now.ms_since(since) < life_cycle::VERIFICATION_MS {
            return None;
        }
        self.healthy_since.remove(&instance.name);
        self.set_running(&instance.name, Some((Stage::Verified, now)));
        (instance.phase == InstancePhase::Drained).then_some(MaintenanceAction::Undrain(key))
    }
}

//! The steps of each instance, and the failures that stop a wave.

use super::capacity::Capacity;
use super::life_cycle::{self, Draining, Maintenance, Rebooting};
use super::{
    FAILURES_KEPT_MS, FleetInstance, InstancePhase, InstanceRecord, MaintenanceAction,
    MaintenancePlanner, MaintenanceSnapshot, RACK_FAILURES, RESTART_MS, RETRY_MS, Stage,
    StopReason, WATCH_MS, WaveFailure, over_budget,
};
use crate::prelude::*;

impl MaintenancePlanner {
    fn give_up(&mut self, name: &str, now: Millis) {
        if let Some(record) = self.state.instances.get_mut(name) {
            record.running = Some((Stage::Returning, now));
            record.retry_wall_ms = Some(now.after_ms(RETRY_MS));
        }
    }

    /// Notes an instance that failed after its reboot. The loss of its rack or zone counts against
    /// neither the instance nor the wave.
    pub(super) fn note_failure(
        &mut self,
        instance: &FleetInstance,
        capacity: &Capacity,
        snapshot: &MaintenanceSnapshot<'_>,
        now: Millis,
    ) {
        let Some((stage, since)) = self.running(&instance.name) else {
            return;
        };
        let late = now.ms_since(since) >= self.fields.return_limit_ms;
        let failed = match stage {
            // Without a sight of it down, the request for the reboot may have been lost.
            Stage::Rebooting { seen_down } => late && (seen_down || !instance.healthy),
            Stage::Verified => self.stays_down(instance, now),
            Stage::Draining | Stage::Failed | Stage::Returning => false,
        };
        if !failed || capacity.explains(instance) {
            return;
        }
        self.set_running(&instance.name, Some((Stage::Failed, now)));
        self.healthy_since.remove(&instance.name);
        self.unhealthy_since.remove(&instance.name);
        let rack = snapshot.racks.get(instance.rack).unwrap_or(&instance.name);
        self.add_failure(Arc::clone(&instance.name), Arc::clone(rack), now);
    }

    /// Whether an instance under watch has been down for longer than a restart takes.
    fn stays_down(&mut self, instance: &FleetInstance, now: Millis) -> bool {
        if instance.healthy {
            self.unhealthy_since.remove(&instance.name);
            return false;
        }
        let name = Arc::clone(&instance.name);
        let since = *self.unhealthy_since.entry(name).or_insert(now);
        now.ms_since(since) >= RESTART_MS
    }

    pub(super) fn add_failure(&mut self, instance: Arc<str>, rack: Arc<str>, now: Millis) {
        self.state.wave.passed_since_failure = false;
        self.state.wave.failures.push(WaveFailure {
            instance,
            rack,
            at_wall_ms: now,
        });
    }

    /// Stops the wave on correlated failures.
    pub(super) fn judge(&mut self, now: Millis) {
        let wave = &mut self.state.wave;
        // In a small fleet a day has few reboots, so failures count until an instance has passed.
        if wave.passed_since_failure {
            wave.failures
                .retain(|failure| now.ms_since(failure.at_wall_ms) < FAILURES_KEPT_MS);
        }
        if wave.stopped.is_some() {
            return;
        }
        let of_rack = |rack: &str| wave.failures.iter().filter(|f| &*f.rack == rack).count();
        if wave
            .failures
            .iter()
            .any(|failure| of_rack(&failure.rack) >= RACK_FAILURES)
        {
            wave.stopped = Some(StopReason::SameRack);
        } else if wave.failures.len() >= self.fields.stop_failures as usize {
            wave.stopped = Some(StopReason::Failures);
        }
    }

    /// Takes one instance a step further.
    pub(super) fn step(
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
                let may_go_on = !over_budget(&self.fields, snapshot, instance)
                    && capacity.carries(snapshot, instance.pool);
                self.step_draining(key, instance, may_go_on, draining, now)
            }
            Stage::Rebooting { seen_down } => {
                let healthy_since = self.healthy_since.get(&instance.name).copied();
                let state = Rebooting {
                    seen_down,
                    healthy_since,
                };
                self.step_rebooting(key, instance, Maintenance { since, state }, now)
            }
            Stage::Verified => self.step_verified(key, instance, since, now),
            Stage::Failed => self.step_failed(key, instance, now),
            Stage::Returning if instance.phase == InstancePhase::Serving => {
                self.set_running(&instance.name, None);
                None
            }
            Stage::Returning => Some(MaintenanceAction::Undrain(key)),
        }
    }

    fn step_draining(
        &mut self,
        key: InstanceKey,
        instance: &FleetInstance,
        may_go_on: bool,
        draining: Maintenance<Draining>,
        now: Millis,
    ) -> Option<MaintenanceAction> {
        let waited_ms = now.ms_since(draining.since);
        let gives_up = self.state.wave.stopped.is_some()
            || !may_go_on
            || waited_ms >= self.fields.drain_limit_ms;
        if gives_up {
            self.give_up(&instance.name, now);
            return Some(MaintenanceAction::Undrain(key));
        }
        match instance.phase {
            // The previous controller may have ended between the record and the request.
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

    fn step_rebooting(
        &mut self,
        key: InstanceKey,
        instance: &FleetInstance,
        rebooting: Maintenance<Rebooting>,
        now: Millis,
    ) -> Option<MaintenanceAction> {
        match rebooting.observe(instance.healthy, now) {
            Ok(verified) => {
                self.healthy_since.remove(&instance.name);
                self.set_running(&instance.name, Some((Stage::Verified, verified.since)));
                Some(MaintenanceAction::Undrain(key))
            }
            Err(waiting) => {
                let Rebooting {
                    seen_down,
                    healthy_since,
                } = waiting.state;
                match healthy_since {
                    Some(at) => self.healthy_since.insert(Arc::clone(&instance.name), at),
                    None => self.healthy_since.remove(&instance.name),
                };
                if !seen_down && now.ms_since(waiting.since) >= self.fields.return_limit_ms {
                    // The reboot was never seen, so it is tried again in a later attempt.
                    self.give_up(&instance.name, now);
                    return Some(MaintenanceAction::Undrain(key));
                }
                let stage = Stage::Rebooting { seen_down };
                self.set_running(&instance.name, Some((stage, waiting.since)));
                None
            }
        }
    }

    fn step_verified(
        &mut self,
        key: InstanceKey,
        instance: &FleetInstance,
        since: Millis,
        now: Millis,
    ) -> Option<MaintenanceAction> {
        if instance.phase == InstancePhase::Drained {
            return Some(MaintenanceAction::Undrain(key));
        }
        if now.ms_since(since) >= WATCH_MS && instance.healthy {
            let newest = self.state.wave.failures.last();
            // Only an instance that returned after the newest failure says that the fault is gone.
            self.unhealthy_since.remove(&instance.name);
            if newest.is_none_or(|failure| failure.at_wall_ms < since) {
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

    /// A failed instance that is healthy again serves again, unless the wave has stopped.
    fn step_failed(
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
        if self.state.wave.stopped.is_some() || now.ms_since(since) < life_cycle::VERIFY_MS {
            return None;
        }
        self.healthy_since.remove(&instance.name);
        self.set_running(&instance.name, Some((Stage::Verified, now)));
        (instance.phase == InstancePhase::Drained).then_some(MaintenanceAction::Undrain(key))
    }
}

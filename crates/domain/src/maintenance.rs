//! Maintenance waves: selects the next instance to drain, and pauses or stops the wave.
//!
//! All times are wall-clock times, because the stored state outlives the controller process.

use crate::document::MaintenanceFields;
use crate::prelude::*;

mod capacity;
pub mod life_cycle;
mod pace;
pub mod state;
mod step;

use capacity::Capacity;
pub use state::{InstanceRecord, MaintenanceState, Stage, StopReason, Wave, WaveFailure};

/// A failure within this time after an instance returns to service is attributed to its maintenance.
/// At 19 failures a day among 970 instances, only 0.06 of the 35 instances maintained in a day fail
/// by chance within 2 h.
pub const OBSERVATION_MS: u64 = 7_200_000;
/// Length of the window over which failures after maintenance are counted.
const FAILURE_WINDOW_MS: u64 = 86_400_000;
/// Delay before an abandoned attempt is repeated.
const RETRY_DELAY_MS: u64 = 86_400_000;
/// An instance that is back within this time has restarted, not failed; 89 instances restart a day.
const RESTART_GRACE_MS: u64 = 900_000;
/// Number of failures in one rack at which the wave stops.
const RACK_FAILURE_LIMIT: usize = 2;

/// Whether an instance gets work, derived from its assignment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstancePhase {
    /// It serves its pool.
    Serving,
    /// It finishes its requests in flight and gets no new ones.
    Leaving,
    /// It has no requests in flight and gets no new ones.
    Drained,
}

/// An instance in the planner's input.
#[derive(Clone, Debug)]
pub struct FleetInstance {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Pool that it is assigned to.
    pub pool: PoolKey,
    /// Rack that it runs in.
    pub rack: RackKey,
    /// Availability zone that it runs in.
    pub zone: ZoneKey,
    /// Whether it gets work, and how far a drain has come.
    pub phase: InstancePhase,
    /// Whether the platform lists it as live and its health probe passes.
    pub healthy: bool,
}

impl FleetInstance {
    fn available(&self) -> bool {
        self.healthy && self.phase == InstancePhase::Serving
    }
}

/// A pool in the planner's input. Failures are counted over the rolling period of the service's
/// availability budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolDemand {
    /// Number of instances that must remain available during a planned change.
    pub min_instances: u32,
    /// Number of instances that the current demand requires.
    pub demand_instances: u32,
    /// Share of requests that may fail, in parts per million.
    pub budget_ppm: u32,
    /// Share of requests that failed, in parts per million.
    pub failed_ppm: u32,
}

impl PoolDemand {
    fn required_instances(&self) -> u32 {
        self.min_instances.max(self.demand_instances)
    }
}

/// Input of the planner. It already reflects the actions that were carried out before.
#[derive(Clone, Copy, Debug)]
pub struct MaintenanceSnapshot<'a> {
    /// All instances of the fleet.
    pub instances: &'a SlotMap<InstanceKey, FleetInstance>,
    /// All pools of the fleet.
    pub pools: &'a SlotMap<PoolKey, PoolDemand>,
    /// Names of the racks.
    pub racks: &'a SlotMap<RackKey, Arc<str>>,
}

/// An action for the task that runs the planner. Actions are carried out in the order returned. If
/// the store rejects the state, the remaining actions are dropped and the planner is restored from
/// the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MaintenanceAction {
    /// Write the planner's state to the store.
    Store,
    /// Ask the fleet controller to drain the instance.
    Drain(InstanceKey),
    /// Ask the platform to reboot the instance; the request is never repeated.
    Reboot(InstanceKey),
    /// Ask the fleet controller to return the instance to service.
    Undrain(InstanceKey),
}

/// Reason why no drain starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PauseReason {
    /// The wave has stopped until an operator resumes it.
    Stopped(StopReason),
    /// The time of day is outside the maintenance window.
    OutsideWindow,
    /// A rack is down.
    RackLost,
    /// An availability zone is down.
    ZoneLost,
    /// An instance failed after its reboot; instances are maintained one at a time until one of them
    /// completes its observation period.
    Probation,
    /// The limit on parallel maintenance is reached.
    ParallelLimit,
    /// The interval since the last start has not passed yet.
    Paced,
    /// In every pool with eligible instances, failures have used too much of the availability budget.
    Budget,
    /// No pool has enough capacity to drain an instance.
    Capacity,
    /// No instance needs maintenance.
    Idle,
}

/// Plans the maintenance of all instances of the fleet.
#[derive(Debug)]
pub struct MaintenancePlanner {
    fields: MaintenanceFields,
    state: MaintenanceState,
    healthy_since: FastMap<Arc<str>, Millis>,
    unhealthy_since: FastMap<Arc<str>, Millis>,
    pause: Option<PauseReason>,
    resumed: bool,
}

impl MaintenancePlanner {
    /// Creates a planner that continues from the stored state.
    #[must_use]
    pub fn restore(fields: MaintenanceFields, state: MaintenanceState) -> Self {
        Self {
            fields,
            state,
            healthy_since: FastMap::default(),
            unhealthy_since: FastMap::default(),
            pause: None,
            resumed: false,
        }
    }

    /// Returns the state to store.
    #[must_use]
    pub const fn state(&self) -> &MaintenanceState {
        &self.state
    }

    /// Returns why the last call of [`Self::advance`] started no drain, or none if it started one.
    #[must_use]
    pub const fn pause(&self) -> Option<PauseReason> {
        self.pause
    }

    /// Resumes a stopped wave for an operator; the next call of [`Self::advance`] stores the state.
    pub fn resume(&mut self) {
        self.state.wave.stopped = None;
        self.state.wave.failures.clear();
        self.resumed = true;
    }

    /// Updates the state from the snapshot and returns the actions to carry out.
    pub fn advance(
        &mut self,
        snapshot: &MaintenanceSnapshot<'_>,
        now: Millis,
    ) -> Vec<MaintenanceAction> {
        let previous = self.state.clone();
        let mut actions = Vec::new();
        self.reconcile_instances(snapshot, now);
        let capacity = self.capacity(snapshot);
        for instance in snapshot.instances.values() {
            self.detect_failure(instance, &capacity, snapshot, now);
        }
        self.stop_on_failures(now);
        for (key, instance) in snapshot.instances {
            actions.extend(self.advance_instance(key, instance, &capacity, snapshot, now));
        }
        match self.next_to_drain(snapshot, now) {
            Ok(key) => {
                let name = &snapshot.instances[key].name;
                self.set_running(name, Some((Stage::Draining, now)));
                self.state.wave.started_wall_ms = Some(now);
                self.pause = None;
                actions.push(MaintenanceAction::Drain(key));
            }
            Err(reason) => self.pause = Some(reason),
        }
        if std::mem::take(&mut self.resumed) || self.state != previous {
            actions.insert(0, MaintenanceAction::Store);
        }
        actions
    }

    /// Adds records of new instances, which count as just maintained, and removes those of instances
    /// that no longer exist. An empty list is treated as a faulty read and ignored.
    fn reconcile_instances(&mut self, snapshot: &MaintenanceSnapshot<'_>, now: Millis) {
        if snapshot.instances.is_empty() {
            return;
        }
        let listed: FastSet<&Arc<str>> = snapshot
            .instances
            .values()
            .map(|instance| &instance.name)
            .collect();
        let mut failures = Vec::new();
        let unhealthy = &self.unhealthy_since;
        self.state.instances.retain(|name, record| {
            let is_listed = listed.contains(name);
            // The platform may replace an instance that does not return before it is recorded as
            // failed.
            let failed = match record.running {
                Some((Stage::Rebooting { .. }, _)) => true,
                Some((Stage::Verified, _)) => unhealthy.contains_key(name),
                _ => false,
            };
            if !is_listed && failed {
                failures.push(Arc::clone(name));
            }
            is_listed
        });
        for name in listed {
            let new = InstanceRecord {
                last_wall_ms: now,
                maintained: false,
                running: None,
                retry_wall_ms: None,
            };
            let instances = &mut self.state.instances;
            instances.entry(Arc::clone(name)).or_insert(new);
        }
        for name in failures {
            self.unhealthy_since.remove(&name);
            self.record_failure(Arc::clone(&name), name, now);
        }
    }

    fn running(&self, name: &str) -> Option<(Stage, Millis)> {
        self.state.instances.get(name)?.running
    }

    fn set_running(&mut self, name: &str, running: Option<(Stage, Millis)>) {
        if let Some(record) = self.state.instances.get_mut(name) {
            record.running = running;
        }
    }

    /// Selects the next instance to drain, or returns why there is none.
    fn next_to_drain(
        &self,
        snapshot: &MaintenanceSnapshot<'_>,
        now: Millis,
    ) -> Result<InstanceKey, PauseReason> {
        if let Some(reason) = self.state.wave.stopped {
            return Err(PauseReason::Stopped(reason));
        }
        if !pace::in_window(&self.fields, now) {
            return Err(PauseReason::OutsideWindow);
        }
        let capacity = self.capacity(snapshot);
        if let Some(outage) = capacity.outage() {
            return Err(outage);
        }
        self.check_parallel_limit()?;
        let eligible = self.eligible(snapshot, &capacity, now)?;
        let last: Vec<Millis> = eligible.iter().map(|(last, _)| *last).collect();
        let count = snapshot.instances.len();
        let interval_ms = pace::interval_ms(&self.fields, &last, count, now);
        let started = self.state.wave.started_wall_ms;
        if !pace::interval_passed(&self.fields, started, interval_ms, now) {
            return Err(PauseReason::Paced);
        }
        eligible
            .first()
            .map(|(_, key)| *key)
            .ok_or(PauseReason::Idle)
    }

    fn capacity(&self, snapshot: &MaintenanceSnapshot<'_>) -> Capacity {
        Capacity::count(snapshot, |instance| {
            self.running(&instance.name).map(|(stage, _)| stage)
        })
    }

    fn check_parallel_limit(&self) -> Result<(), PauseReason> {
        let stages = self.state.instances.values();
        let stages: Vec<Stage> = stages
            .filter_map(|record| Some(record.running?.0))
            .collect();
        let wave = &self.state.wave;
        let under_way = stages.iter().any(|stage| *stage != Stage::Failed);
        let observed_unhealthy = !self.unhealthy_since.is_empty();
        let on_probation = !wave.failures.is_empty() && !wave.passed_since_failure;
        if observed_unhealthy || (on_probation && under_way) {
            return Err(PauseReason::Probation);
        }
        let down = stages.iter().filter(|stage| **stage != Stage::Verified);
        if down.count() >= self.fields.parallel_instances as usize {
            return Err(PauseReason::ParallelLimit);
        }
        Ok(())
    }

    /// Returns the instances that may be drained now, each with the time of its last maintenance,
    /// oldest first.
    fn eligible(
        &self,
        snapshot: &MaintenanceSnapshot<'_>,
        capacity: &Capacity,
        now: Millis,
    ) -> Result<Vec<(Millis, InstanceKey)>, PauseReason> {
        let mut reason = PauseReason::Idle;
        let mut eligible = Vec::new();
        for (key, instance) in snapshot.instances {
            let Some(record) = self.state.instances.get(&instance.name) else {
                continue;
            };
            let awaits_retry = record.retry_wall_ms.is_some_and(|at| now < at);
            let is_repeatable = pace::is_repeatable(&self.fields, record, now);
            let blocked = record.running.is_some() || awaits_retry || !is_repeatable;
            if blocked || !instance.available() {
                continue;
            }
            if over_budget(&self.fields, snapshot, instance) {
                reason = PauseReason::Budget;
            } else if !capacity.may_drain(snapshot, instance, self.fields.parallel_per_pool) {
                reason = PauseReason::Capacity;
            } else {
                eligible.push((record.last_wall_ms, key));
            }
        }
        eligible.sort();
        if eligible.is_empty() {
            return Err(reason);
        }
        Ok(eligible)
    }
}

/// Returns whether failures have used so much of the pool's availability budget that none of its
/// instances may be drained.
fn over_budget(
    fields: &MaintenanceFields,
    snapshot: &MaintenanceSnapshot<'_>,
    instance: &FleetInstance,
) -> bool {
    snapshot.pools.get(instance.pool).is_none_or(|pool| {
        let used = u64::from(pool.failed_ppm) * 1_000_000;
        let limit = u64::from(pool.budget_ppm) * u64::from(fields.pause_budget_ppm);
        pool.failed_ppm > 0 && used >= limit
    })
}

//! Maintenance waves: which instance is drained next, and when a wave pauses or stops.
//!
//! Times are points of the wall clock, since they outlive the controller.

use crate::document::MaintenanceFields;
use crate::prelude::*;

mod capacity;
pub mod life_cycle;
mod pace;
pub mod state;
mod step;

use capacity::Capacity;
pub use state::{InstanceRecord, MaintenanceState, Stage, StopReason, Wave, WaveFailure};

/// An instance that fails within this time after its return fails because of its maintenance. With
/// 19 failures a day among 970 instances, 0.06 of 35 maintained in a day fail by chance in 2 h.
pub const WATCH_MS: u64 = 7_200_000;
/// Failures are counted over this time.
const FAILURES_KEPT_MS: u64 = 86_400_000;
/// An attempt that was given up is repeated after this time.
const RETRY_MS: u64 = 86_400_000;
/// A restarted instance is back within this time; 89 a day are no failures.
const RESTART_MS: u64 = 900_000;
/// Failures of one rack that stop the wave.
const RACK_FAILURES: usize = 2;

/// Whether an instance gets work, from its assignment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstancePhase {
    /// It serves its pool.
    Serving,
    /// It finishes its requests.
    Leaving,
    /// It has none and gets none.
    Drained,
}

/// An instance as the planner sees it.
#[derive(Clone, Debug)]
pub struct FleetInstance {
    /// Name.
    pub name: Arc<str>,
    /// Its pool.
    pub pool: PoolKey,
    /// Its rack.
    pub rack: RackKey,
    /// Its availability zone.
    pub zone: ZoneKey,
    /// Whether it gets work.
    pub phase: InstancePhase,
    /// Whether the platform lists it as live and its probe passes.
    pub healthy: bool,
}

impl FleetInstance {
    fn available(&self) -> bool {
        self.healthy && self.phase == InstancePhase::Serving
    }
}

/// A pool as the planner sees it. The failures are those of the rolling time of the service's
/// availability budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolState {
    /// Instances that a planned change always leaves.
    pub min_instances: u32,
    /// Instances that the demand needs now.
    pub demand_instances: u32,
    /// Share of requests that may fail.
    pub budget_ppm: u32,
    /// Share of requests that failed.
    pub failed_ppm: u32,
}

impl PoolState {
    fn needed(&self) -> u32 {
        self.min_instances.max(self.demand_instances)
    }
}

/// What the planner decides from. It reflects the actions that were carried out before.
#[derive(Clone, Copy, Debug)]
pub struct MaintenanceSnapshot<'a> {
    /// The instances.
    pub instances: &'a SlotMap<InstanceKey, FleetInstance>,
    /// The pools.
    pub pools: &'a SlotMap<PoolKey, PoolState>,
    /// Names of the racks.
    pub racks: &'a SlotMap<RackKey, Arc<str>>,
}

/// What the task around the planner must do, in this order. If the store refuses the state, the
/// other actions are dropped and the planner is restored from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MaintenanceAction {
    /// Write the state.
    Store,
    /// Ask the fleet controller to drain the instance.
    Drain(InstanceKey),
    /// Ask the platform to reboot the instance; never repeated.
    Reboot(InstanceKey),
    /// Ask the fleet controller to return the instance to service.
    Undrain(InstanceKey),
}

/// Why no drain begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PauseReason {
    /// The wave has stopped; an operator resumes it.
    Stopped(StopReason),
    /// It is outside the window of the day.
    OutsideWindow,
    /// A rack is lost.
    RackLost,
    /// A zone is lost.
    ZoneLost,
    /// An instance has failed after its reboot; one at a time until one passes.
    Probation,
    /// The parallel limit is reached.
    ParallelLimit,
    /// The next start is later.
    Paced,
    /// Failures have used too much of the budgets of all pools that have instances left.
    Budget,
    /// No pool can spare an instance.
    Capacity,
    /// There is nothing to maintain.
    Idle,
}

/// Plans the maintenance of all instances.
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
    /// A planner that goes on from the stored state.
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

    /// The state to store.
    #[must_use]
    pub const fn state(&self) -> &MaintenanceState {
        &self.state
    }

    /// Why no drain began at the last look; none if one began.
    #[must_use]
    pub const fn pause(&self) -> Option<PauseReason> {
        self.pause
    }

    /// An operator lets a stopped wave go on; the state is stored at the next look.
    pub fn resume(&mut self) {
        self.state.wave.stopped = None;
        self.state.wave.failures.clear();
        self.resumed = true;
    }

    /// Looks at the fleet and returns what to do next.
    pub fn advance(
        &mut self,
        snapshot: &MaintenanceSnapshot<'_>,
        now: Millis,
    ) -> Vec<MaintenanceAction> {
        let before = self.state.clone();
        let mut actions = Vec::new();
        self.follow_fleet(snapshot, now);
        let capacity = self.capacity(snapshot);
        for instance in snapshot.instances.values() {
            self.note_failure(instance, &capacity, snapshot, now);
        }
        self.judge(now);
        for (key, instance) in snapshot.instances {
            actions.extend(self.step(key, instance, &capacity, snapshot, now));
        }
        match self.next(snapshot, now) {
            Ok(key) => {
                let name = &snapshot.instances[key].name;
                self.set_running(name, Some((Stage::Draining, now)));
                self.state.wave.started_wall_ms = Some(now);
                self.pause = None;
                actions.push(MaintenanceAction::Drain(key));
            }
            Err(reason) => self.pause = Some(reason),
        }
        if std::mem::take(&mut self.resumed) || self.state != before {
            actions.insert(0, MaintenanceAction::Store);
        }
        actions
    }

    /// Adds new instances, which count as just maintained, and forgets those that are gone. An empty
    /// list is a fault of the list.
    fn follow_fleet(&mut self, snapshot: &MaintenanceSnapshot<'_>, now: Millis) {
        if snapshot.instances.is_empty() {
            return;
        }
        let present: FastSet<&Arc<str>> = snapshot
            .instances
            .values()
            .map(|instance| &instance.name)
            .collect();
        let mut failures = Vec::new();
        let unhealthy = &self.unhealthy_since;
        self.state.instances.retain(|name, record| {
            let kept = present.contains(name);
            // The platform may replace an instance that does not return before it counts as failed.
            let failed = match record.running {
                Some((Stage::Rebooting { .. }, _)) => true,
                Some((Stage::Verified, _)) => unhealthy.contains_key(name),
                _ => false,
            };
            if !kept && failed {
                failures.push(Arc::clone(name));
            }
            kept
        });
        for name in present {
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
            self.add_failure(Arc::clone(&name), name, now);
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

    /// The instance that is drained next, or why there is none.
    fn next(
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
        if let Some(lost) = capacity.lost() {
            return Err(lost);
        }
        self.check_parallel()?;
        let eligible = self.eligible(snapshot, &capacity, now)?;
        let last: Vec<Millis> = eligible.iter().map(|(last, _)| *last).collect();
        let count = snapshot.instances.len();
        let interval_ms = pace::interval_ms(&self.fields, &last, count, now);
        let started = self.state.wave.started_wall_ms;
        if !pace::may_start(&self.fields, started, interval_ms, now) {
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

    fn check_parallel(&self) -> Result<(), PauseReason> {
        let stages = self.state.instances.values();
        let stages: Vec<Stage> = stages
            .filter_map(|record| Some(record.running?.0))
            .collect();
        let wave = &self.state.wave;
        let under_way = stages.iter().any(|stage| *stage != Stage::Failed);
        let suspect = !self.unhealthy_since.is_empty();
        let failing = !wave.failures.is_empty() && !wave.passed_since_failure;
        if suspect || (failing && under_way) {
            return Err(PauseReason::Probation);
        }
        let down = stages.iter().filter(|stage| **stage != Stage::Verified);
        if down.count() >= self.fields.parallel_instances as usize {
            return Err(PauseReason::ParallelLimit);
        }
        Ok(())
    }

    /// Instances that may be drained now with the time of their last maintenance, oldest first.
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
            let retries_later = record.retry_wall_ms.is_some_and(|at| now < at);
            let is_ripe = pace::is_ripe(&self.fields, record, now);
            let blocked = record.running.is_some() || retries_later || !is_ripe;
            if blocked || !instance.available() {
                continue;
            }
            if over_budget(&self.fields, snapshot, instance) {
                reason = PauseReason::Budget;
            } else if !capacity.allows(snapshot, instance, self.fields.parallel_per_pool) {
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

/// Whether failures have used so much of the budget that the pool keeps all its instances.
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

//! Model of a fleet that advances in steps of two minutes. It covers drains, reboots, failures and the
//! availability budget.

use std::collections::VecDeque;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rosemaryscale_domain::maintenance::{
    FleetInstance, InstancePhase, MaintenanceAction, MaintenanceSnapshot, PoolDemand,
};
use rosemaryscale_domain::prelude::*;

pub(crate) const STEP_MS: u64 = 120_000;
pub(crate) const HOUR_MS: u64 = 3_600_000;
pub(crate) const DAY_MS: u64 = 24 * HOUR_MS;
const PERIOD_DAYS: u64 = 28;
/// Requests per step for each instance of demand: 40 a second at half load.
const REQUESTS_PER_STEP: f64 = 2_400.0;
/// Requests in flight that are lost when an instance fails.
const LOST_PER_FAILURE: f64 = 8.0;

/// A strategy that decides on maintenance.
pub(crate) trait Policy {
    fn advance(
        &mut self,
        snapshot: &MaintenanceSnapshot<'_>,
        now: Millis,
    ) -> Vec<MaintenanceAction>;
}

/// Sizes and fault rates of a fleet.
#[derive(Clone, Debug)]
pub(crate) struct Fleet {
    pub(crate) name: &'static str,
    /// Number of instances and minimum of each pool.
    pub(crate) pools: Vec<(u32, u32)>,
    pub(crate) zones: usize,
    pub(crate) failures_per_day: f64,
    pub(crate) restarts_per_day: f64,
    pub(crate) rack_failures_per_day: f64,
    pub(crate) zone_failures_per_day: f64,
}

/// Fault that every reboot of a bad wave causes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BadReboot {
    /// The instance does not return.
    NoReturn,
    /// The instance fails 20 minutes after its return.
    FailLater,
}

/// Statistics of a run.
#[derive(Clone, Debug, Default)]
pub(crate) struct Statistics {
    pub(crate) reboots: u32,
    /// Completed maintenance, and the part of it within 28 days of the previous one or of the
    /// creation of the instance.
    pub(crate) maintained: u32,
    pub(crate) in_time: u32,
    /// Instances that went more than 28 days without maintenance.
    pub(crate) overdue: u32,
    pub(crate) longest_gap_ms: u64,
    /// Largest numbers of instances under maintenance at once.
    pub(crate) max_down_in_pool: u32,
    pub(crate) max_down_in_rack: u32,
    pub(crate) max_down_in_zone: u32,
    pub(crate) max_down: u32,
    pub(crate) max_starts_in_day: u32,
    /// Steps with maintenance in progress in a pool that did not meet its demand, counted per pool.
    pub(crate) shortage_steps: u32,
    /// Largest used share of the availability budget of any pool, in percent.
    pub(crate) budget_used_percent: f64,
    /// Reboots during the bad wave.
    pub(crate) bad_reboots: u32,
    pub(crate) bad_reboots_first_day: u32,
}

/// Simulated state of one instance.
#[derive(Clone, Debug)]
struct InstanceState {
    last: Millis,
    overdue: bool,
    drained_at: Option<Millis>,
    down_until: Option<Millis>,
    /// Time of a failure that a bad reboot has already caused.
    fails_at: Option<Millis>,
    rebooted: bool,
    drain_until: Millis,
}

pub(crate) struct Model {
    pub(crate) instances: SlotMap<InstanceKey, FleetInstance>,
    pub(crate) pools: SlotMap<PoolKey, PoolDemand>,
    pub(crate) racks: SlotMap<RackKey, Arc<str>>,
    pub(crate) now: Millis,
    pub(crate) seen: Statistics,
    /// Duration of a drain.
    pub(crate) drain_ms: u64,
    pub(crate) bad: Option<(Millis, BadReboot)>,
    /// Share of failed requests reported for every pool, in place of the counted one.
    pub(crate) failed_ppm_override: Option<u32>,
    pub(crate) reboots_by_name: FastMap<Arc<str>, Vec<Millis>>,
    fleet: Fleet,
    states: SecondaryMap<InstanceKey, InstanceState>,
    pool_sizes: SecondaryMap<PoolKey, u32>,
    /// Requests and failed requests of each pool by day.
    days: SecondaryMap<PoolKey, VecDeque<(f64, f64)>>,
    zones: Vec<ZoneKey>,
    rng: StdRng,
    replacements: u32,
    starts_today: u32,
}

impl Model {
    pub(crate) fn new(fleet: &Fleet, budget_ppm: u32, seed: u64) -> Self {
        let mut zones: SlotMap<ZoneKey, ()> = SlotMap::with_key();
        let mut model = Self {
            instances: SlotMap::with_key(),
            pools: SlotMap::with_key(),
            racks: SlotMap::with_key(),
            now: Millis::from_ms(DAY_MS),
            seen: Statistics::default(),
            drain_ms: STEP_MS,
            bad: None,
            failed_ppm_override: None,
            reboots_by_name: FastMap::default(),
            fleet: fleet.clone(),
            states: SecondaryMap::new(),
            pool_sizes: SecondaryMap::new(),
            days: SecondaryMap::new(),
            zones: (0..fleet.zones).map(|_| zones.insert(())).collect(),
            rng: StdRng::seed_from_u64(seed),
            replacements: 0,
            starts_today: 0,
        };
        let mut open_racks: Vec<Option<(RackKey, u32)>> = vec![None; fleet.zones];
        let mut index = 0;
        for (size, min_instances) in &fleet.pools {
            let pool = model.pools.insert(PoolDemand {
                min_instances: *min_instances,
                demand_instances: 0,
                budget_ppm,
                failed_ppm: 0,
            });
            model.pool_sizes.insert(pool, *size);
            model.days.insert(pool, VecDeque::from([(0.0, 0.0)]));
            for _ in 0..*size {
                let zone = index % fleet.zones;
                let rack = match open_racks[zone] {
                    Some((rack, count)) if count < 4 => {
                        open_racks[zone] = Some((rack, count + 1));
                        rack
                    }
                    _ => {
                        let name: Arc<str> = format!("rack-{}", model.racks.len()).into();
                        let rack = model.racks.insert(name);
                        open_racks[zone] = Some((rack, 1));
                        rack
                    }
                };
                let zone = model.zones[zone];
                model.add(FleetInstance {
                    name: format!("instance-{index}").into(),
                    pool,
                    rack,
                    zone,
                    phase: InstancePhase::Serving,
                    healthy: true,
                });
                index += 1;
            }
        }
        model
    }

    fn add(&mut self, instance: FleetInstance) {
        let key = self.instances.insert(instance);
        let state = InstanceState {
            last: self.now,
            overdue: false,
            drained_at: None,
            down_until: None,
            fails_at: None,
            rebooted: false,
            drain_until: Millis::ZERO,
        };
        self.states.insert(key, state);
    }

    pub(crate) fn snapshot(&self) -> MaintenanceSnapshot<'_> {
        MaintenanceSnapshot {
            instances: &self.instances,
            pools: &self.pools,
            racks: &self.racks,
        }
    }

    /// Advances the model by one step: demand and faults, decisions, statistics.
    pub(crate) fn step(&mut self, policy: &mut dyn Policy) {
        self.advance_fleet();
        let actions = policy.advance(&self.snapshot(), self.now);
        for action in actions {
            self.carry_out(action);
        }
        self.observe();
    }

    /// Advances time, faults, demand and the state of the instances.
    pub(crate) fn advance_fleet(&mut self) {
        self.now = self.now.after_ms(STEP_MS);
        if self.now.as_ms().is_multiple_of(DAY_MS) {
            self.seen.max_starts_in_day = self.seen.max_starts_in_day.max(self.starts_today);
            self.starts_today = 0;
            for (_, days) in &mut self.days {
                days.push_back((0.0, 0.0));
                if days.len() > PERIOD_DAYS as usize {
                    days.pop_front();
                }
            }
        }
        self.inject_faults();
        let now = self.now;
        let day = now.as_ms() as f64 / DAY_MS as f64;
        let daily_cycle = (day * std::f64::consts::TAU).sin();
        for (pool, state) in &mut self.pools {
            let size = f64::from(self.pool_sizes[pool]);
            state.demand_instances = (size * 0.2_f64.mul_add(daily_cycle, 0.45)).ceil() as u32;
        }
        for (key, state) in &mut self.states {
            let instance = &mut self.instances[key];
            if instance.phase == InstancePhase::Leaving && now >= state.drain_until {
                instance.phase = InstancePhase::Drained;
            }
            if state.fails_at.is_some_and(|at| now >= at) {
                state.fails_at = None;
                state.down_until = Some(now.after_ms(90 * DAY_MS));
            }
            if state.down_until.is_some_and(|until| now >= until) {
                state.down_until = None;
            }
            instance.healthy = state.down_until.is_none();
        }
    }

    fn occurs(&mut self, per_day: f64) -> bool {
        self.rng
            .random_bool(per_day * STEP_MS as f64 / DAY_MS as f64)
    }

    fn inject_faults(&mut self) {
        let keys: Vec<InstanceKey> = self.instances.keys().collect();
        if self.occurs(self.fleet.failures_per_day) {
            let key = keys[self.rng.random_range(0..keys.len())];
            let hours = self.rng.random_range(1..8);
            self.fail(key, hours * HOUR_MS);
        }
        if self.occurs(self.fleet.restarts_per_day) {
            let key = keys[self.rng.random_range(0..keys.len())];
            if self.rng.random_bool(0.3) && self.instances[key].phase == InstancePhase::Serving {
                self.replace(key);
            } else if self.states[key].down_until.is_none() {
                self.states[key].down_until = Some(self.now.after_ms(600_000));
            }
        }
        if self.occurs(self.fleet.rack_failures_per_day) {
            let rack = self.instances[keys[self.rng.random_range(0..keys.len())]].rack;
            self.fail_matching(&keys, 4 * HOUR_MS, |instance| instance.rack == rack);
        }
        if self.occurs(self.fleet.zone_failures_per_day) {
            let zone = self.zones[self.rng.random_range(0..self.zones.len())];
            self.fail_matching(&keys, 2 * HOUR_MS, |instance| instance.zone == zone);
        }
    }

    fn fail_matching(
        &mut self,
        keys: &[InstanceKey],
        ms: u64,
        matches: impl Fn(&FleetInstance) -> bool,
    ) {
        for key in keys {
            // The instance may have been replaced.
            if self.instances.get(*key).is_some_and(&matches) {
                self.fail(*key, ms);
            }
        }
    }

    pub(crate) fn fail(&mut self, key: InstanceKey, ms: u64) {
        if self.instances[key].phase != InstancePhase::Drained {
            let pool = self.instances[key].pool;
            self.record_failed_requests(pool, LOST_PER_FAILURE);
        }
        let until = self.now.after_ms(ms);
        let state = &mut self.states[key];
        state.down_until = Some(state.down_until.map_or(until, |known| known.max(until)));
    }

    /// Replaces an instance as the platform does: the new one has a new name and counts as just
    /// maintained.
    fn replace(&mut self, key: InstanceKey) {
        let Some(mut instance) = self.instances.remove(key) else {
            return;
        };
        self.states.remove(key);
        self.replacements += 1;
        instance.name = format!("replaced-{}", self.replacements).into();
        instance.healthy = true;
        self.add(instance);
    }

    fn record_failed_requests(&mut self, pool: PoolKey, requests: f64) {
        if let Some(day) = self.days[pool].back_mut() {
            day.1 += requests;
        }
    }

    pub(crate) fn carry_out(&mut self, action: MaintenanceAction) {
        let now = self.now;
        match action {
            MaintenanceAction::Store => {}
            MaintenanceAction::Drain(key) => {
                if self.instances[key].phase == InstancePhase::Serving {
                    self.instances[key].phase = InstancePhase::Leaving;
                    self.states[key].drained_at = Some(now);
                    self.states[key].drain_until = now.after_ms(self.drain_ms);
                    self.starts_today += 1;
                }
            }
            MaintenanceAction::Reboot(key) => self.reboot(key),
            MaintenanceAction::Undrain(key) => {
                let state = &mut self.states[key];
                if state.rebooted {
                    let gap_ms = now.ms_since(state.last);
                    self.seen.maintained += 1;
                    self.seen.in_time += u32::from(gap_ms <= PERIOD_DAYS * DAY_MS);
                    self.seen.longest_gap_ms = self.seen.longest_gap_ms.max(gap_ms);
                    state.last = now;
                    state.overdue = false;
                }
                state.rebooted = false;
                state.drained_at = None;
                self.instances[key].phase = InstancePhase::Serving;
            }
        }
    }

    fn reboot(&mut self, key: InstanceKey) {
        let now = self.now;
        let name = Arc::clone(&self.instances[key].name);
        self.reboots_by_name.entry(name).or_default().push(now);
        self.seen.reboots += 1;
        let minutes = self.rng.random_range(5..12);
        let state = &mut self.states[key];
        state.rebooted = true;
        state.down_until = Some(now.after_ms(minutes * 60_000));
        let Some((from, bad)) = self.bad.filter(|(from, _)| now >= *from) else {
            return;
        };
        self.seen.bad_reboots += 1;
        self.seen.bad_reboots_first_day += u32::from(now.ms_since(from) < DAY_MS);
        match bad {
            BadReboot::NoReturn => state.down_until = Some(now.after_ms(90 * DAY_MS)),
            BadReboot::FailLater => state.fails_at = Some(now.after_ms((minutes + 20) * 60_000)),
        }
    }

    /// Updates the statistics: instances under maintenance, and requests that exceed a pool's capacity.
    pub(crate) fn observe(&mut self) {
        let mut pools: SecondaryMap<PoolKey, (u32, u32)> = SecondaryMap::new();
        let mut racks: SecondaryMap<RackKey, u32> = SecondaryMap::new();
        let mut zones: SecondaryMap<ZoneKey, u32> = SecondaryMap::new();
        let mut total_down = 0;
        for (key, instance) in &self.instances {
            let state = &mut self.states[key];
            let pool = pools.entry(instance.pool).expect("a live key").or_default();
            if state.drained_at.is_some() {
                pool.1 += 1;
                total_down += 1;
                *racks.entry(instance.rack).expect("a live key").or_default() += 1;
                *zones.entry(instance.zone).expect("a live key").or_default() += 1;
            } else if instance.healthy {
                pool.0 += 1;
            }
            if self.now.ms_since(state.last) > PERIOD_DAYS * DAY_MS && !state.overdue {
                state.overdue = true;
                self.seen.overdue += 1;
            }
        }
        let seen = &mut self.seen;
        seen.max_down = seen.max_down.max(total_down);
        seen.max_down_in_rack = seen
            .max_down_in_rack
            .max(racks.values().copied().max().unwrap_or(0));
        seen.max_down_in_zone = seen
            .max_down_in_zone
            .max(zones.values().copied().max().unwrap_or(0));
        for (pool, (available, maintained)) in pools {
            let state = &mut self.pools[pool];
            let shortage = state.demand_instances.saturating_sub(available);
            seen.max_down_in_pool = seen.max_down_in_pool.max(maintained);
            seen.shortage_steps += u32::from(shortage > 0 && maintained > 0);
            let days = &mut self.days[pool];
            if let Some(day) = days.back_mut() {
                day.0 += f64::from(state.demand_instances) * REQUESTS_PER_STEP;
                day.1 += f64::from(shortage) * REQUESTS_PER_STEP;
            }
            let failed: f64 = days.iter().map(|day| day.1).sum();
            // A window that is not yet full is scaled up to the whole period.
            let mean_per_day = days.iter().map(|day| day.0).sum::<f64>() / days.len() as f64;
            let requests = (mean_per_day * PERIOD_DAYS as f64).max(1.0);
            state.failed_ppm = (failed / requests * 1e6) as u32;
            if let Some(failed_ppm) = self.failed_ppm_override {
                state.failed_ppm = failed_ppm;
            }
            let used_percent = f64::from(state.failed_ppm) / f64::from(state.budget_ppm) * 100.0;
            seen.budget_used_percent = seen.budget_used_percent.max(used_percent);
        }
    }
}

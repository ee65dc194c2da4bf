//! A model of a fleet in steps of two minutes: drains, reboots, failures and the availability budget.

use std::collections::VecDeque;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rosemaryscale_domain::maintenance::{
    FleetInstance, InstancePhase, MaintenanceAction, MaintenanceSnapshot, PoolState,
};
use rosemaryscale_domain::prelude::*;

pub(crate) const STEP_MS: u64 = 120_000;
pub(crate) const HOUR_MS: u64 = 3_600_000;
pub(crate) const DAY_MS: u64 = 24 * HOUR_MS;
const PERIOD_DAYS: u64 = 28;
/// Requests that one instance of demand stands for in a step: 40 a second at half load.
const REQUESTS_PER_STEP: f64 = 2_400.0;
/// Requests in flight that are lost when an instance fails.
const LOST_PER_FAILURE: f64 = 8.0;

/// What decides on maintenance.
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
    /// Instances and minimum of each pool.
    pub(crate) pools: Vec<(u32, u32)>,
    pub(crate) zones: usize,
    pub(crate) failures_per_day: f64,
    pub(crate) restarts_per_day: f64,
    pub(crate) rack_failures_per_day: f64,
    pub(crate) zone_failures_per_day: f64,
}

/// What the reboots of a bad wave do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Bad {
    /// Instances do not return.
    NoReturn,
    /// Instances fail 20 minutes after their return.
    FailLater,
}

/// What was seen.
#[derive(Clone, Debug, Default)]
pub(crate) struct Seen {
    pub(crate) reboots: u32,
    /// Maintenance that ended, and the part of it within 28 days of the last one or the creation.
    pub(crate) maintained: u32,
    pub(crate) in_time: u32,
    /// Instances that passed 28 days without maintenance.
    pub(crate) overdue: u32,
    pub(crate) longest_gap_ms: u64,
    /// Most instances under maintenance at once.
    pub(crate) most_of_pool: u32,
    pub(crate) most_of_rack: u32,
    pub(crate) most_of_zone: u32,
    pub(crate) most: u32,
    pub(crate) most_starts_in_day: u32,
    /// Steps in which maintenance was under way in a pool that did not carry its demand.
    pub(crate) short_steps: u32,
    /// Largest share of a budget that was used, in percent.
    pub(crate) budget_used_percent: f64,
    /// Reboots of the bad wave.
    pub(crate) bad_reboots: u32,
    pub(crate) bad_reboots_first_day: u32,
}

#[derive(Clone, Debug)]
struct Live {
    last: Millis,
    overdue: bool,
    drained_at: Option<Millis>,
    down_until: Option<Millis>,
    /// Another failure that is already certain.
    fails_at: Option<Millis>,
    rebooted: bool,
    drain_until: Millis,
}

pub(crate) struct Model {
    pub(crate) instances: SlotMap<InstanceKey, FleetInstance>,
    pub(crate) pools: SlotMap<PoolKey, PoolState>,
    pub(crate) racks: SlotMap<RackKey, Arc<str>>,
    pub(crate) now: Millis,
    pub(crate) seen: Seen,
    /// Time in which a drain ends.
    pub(crate) drain_ms: u64,
    pub(crate) bad: Option<(Millis, Bad)>,
    /// Failed requests of every pool, in place of those counted.
    pub(crate) forced_failed_ppm: Option<u32>,
    pub(crate) reboots_by_name: FastMap<Arc<str>, Vec<Millis>>,
    fleet: Fleet,
    live: SecondaryMap<InstanceKey, Live>,
    sizes: SecondaryMap<PoolKey, u32>,
    /// Requests and failed requests by day.
    days: SecondaryMap<PoolKey, VecDeque<(f64, f64)>>,
    zones: Vec<ZoneKey>,
    random: StdRng,
    replaced: u32,
    starts: u32,
}

impl Model {
    pub(crate) fn new(fleet: &Fleet, budget_ppm: u32, seed: u64) -> Self {
        let mut zones: SlotMap<ZoneKey, ()> = SlotMap::with_key();
        let mut model = Self {
            instances: SlotMap::with_key(),
            pools: SlotMap::with_key(),
            racks: SlotMap::with_key(),
            now: Millis::from_ms(DAY_MS),
            seen: Seen::default(),
            drain_ms: STEP_MS,
            bad: None,
            forced_failed_ppm: None,
            reboots_by_name: FastMap::default(),
            fleet: fleet.clone(),
            live: SecondaryMap::new(),
            sizes: SecondaryMap::new(),
            days: SecondaryMap::new(),
            zones: (0..fleet.zones).map(|_| zones.insert(())).collect(),
            random: StdRng::seed_from_u64(seed),
            replaced: 0,
            starts: 0,
        };
        let mut open: Vec<Option<(RackKey, u32)>> = vec![None; fleet.zones];
        let mut index = 0;
        for (size, min_instances) in &fleet.pools {
            let pool = model.pools.insert(PoolState {
                min_instances: *min_instances,
                demand_instances: 0,
                budget_ppm,
                failed_ppm: 0,
            });
            model.sizes.insert(pool, *size);
            model.days.insert(pool, VecDeque::from([(0.0, 0.0)]));
            for _ in 0..*size {
                let zone = index % fleet.zones;
                let rack = match open[zone] {
                    Some((rack, used)) if used < 4 => {
                        open[zone] = Some((rack, used + 1));
                        rack
                    }
                    _ => {
                        let name: Arc<str> = format!("rack-{}", model.racks.len()).into();
                        let rack = model.racks.insert(name);
                        open[zone] = Some((rack, 1));
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
        let live = Live {
            last: self.now,
            overdue: false,
            drained_at: None,
            down_until: None,
            fails_at: None,
            rebooted: false,
            drain_until: Millis::ZERO,
        };
        self.live.insert(key, live);
    }

    pub(crate) fn snapshot(&self) -> MaintenanceSnapshot<'_> {
        MaintenanceSnapshot {
            instances: &self.instances,
            pools: &self.pools,
            racks: &self.racks,
        }
    }

    /// One step: faults, decisions, demand.
    pub(crate) fn step(&mut self, policy: &mut dyn Policy) {
        self.advance_fleet();
        let actions = policy.advance(&self.snapshot(), self.now);
        for action in actions {
            self.carry_out(action);
        }
        self.observe();
    }

    /// Time and faults.
    pub(crate) fn advance_fleet(&mut self) {
        self.now = self.now.after_ms(STEP_MS);
        if self.now.as_ms().is_multiple_of(DAY_MS) {
            self.seen.most_starts_in_day = self.seen.most_starts_in_day.max(self.starts);
            self.starts = 0;
            for (_, days) in &mut self.days {
                days.push_back((0.0, 0.0));
                if days.len() > PERIOD_DAYS as usize {
                    days.pop_front();
                }
            }
        }
        self.faults();
        let now = self.now;
        let day = now.as_ms() as f64 / DAY_MS as f64;
        let wave = (day * std::f64::consts::TAU).sin();
        for (pool, state) in &mut self.pools {
            let size = f64::from(self.sizes[pool]);
            state.demand_instances = (size * 0.2_f64.mul_add(wave, 0.45)).ceil() as u32;
        }
        for (key, live) in &mut self.live {
            let instance = &mut self.instances[key];
            if instance.phase == InstancePhase::Leaving && now >= live.drain_until {
                instance.phase = InstancePhase::Drained;
            }
            if live.fails_at.is_some_and(|at| now >= at) {
                live.fails_at = None;
                live.down_until = Some(now.after_ms(90 * DAY_MS));
            }
            if live.down_until.is_some_and(|until| now >= until) {
                live.down_until = None;
            }
            instance.healthy = live.down_until.is_none();
        }
    }

    fn happens(&mut self, per_day: f64) -> bool {
        self.random
            .random_bool(per_day * STEP_MS as f64 / DAY_MS as f64)
    }

    fn faults(&mut self) {
        let keys: Vec<InstanceKey> = self.instances.keys().collect();
        if self.happens(self.fleet.failures_per_day) {
            let key = keys[self.random.random_range(0..keys.len())];
            let hours = self.random.random_range(1..8);
            self.fail(key, hours * HOUR_MS);
        }
        if self.happens(self.fleet.restarts_per_day) {
            let key = keys[self.random.random_range(0..keys.len())];
            if self.random.random_bool(0.3) && self.instances[key].phase == InstancePhase::Serving {
                self.replace(key);
            } else if self.live[key].down_until.is_none() {
                self.live[key].down_until = Some(self.now.after_ms(600_000));
            }
        }
        if self.happens(self.fleet.rack_failures_per_day) {
            let rack = self.instances[keys[self.random.random_range(0..keys.len())]].rack;
            self.fail_all(&keys, 4 * HOUR_MS, |instance| instance.rack == rack);
        }
        if self.happens(self.fleet.zone_failures_per_day) {
            let zone = self.zones[self.random.random_range(0..self.zones.len())];
            self.fail_all(&keys, 2 * HOUR_MS, |instance| instance.zone == zone);
        }
    }

    fn fail_all(&mut self, keys: &[InstanceKey], ms: u64, of: impl Fn(&FleetInstance) -> bool) {
        for key in keys {
            // A replaced instance is gone.
            if self.instances.get(*key).is_some_and(&of) {
                self.fail(*key, ms);
            }
        }
    }

    pub(crate) fn fail(&mut self, key: InstanceKey, ms: u64) {
        if self.instances[key].phase != InstancePhase::Drained {
            let pool = self.instances[key].pool;
            self.lose(pool, LOST_PER_FAILURE);
        }
        let until = self.now.after_ms(ms);
        let live = &mut self.live[key];
        live.down_until = Some(live.down_until.map_or(until, |known| known.max(until)));
    }

    /// The platform replaces an instance: a new name, fresh from maintenance.
    fn replace(&mut self, key: InstanceKey) {
        let Some(mut instance) = self.instances.remove(key) else {
            return;
        };
        self.live.remove(key);
        self.replaced += 1;
        instance.name = format!("replaced-{}", self.replaced).into();
        instance.healthy = true;
        self.add(instance);
    }

    fn lose(&mut self, pool: PoolKey, requests: f64) {
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
                    self.live[key].drained_at = Some(now);
                    self.live[key].drain_until = now.after_ms(self.drain_ms);
                    self.starts += 1;
                }
            }
            MaintenanceAction::Reboot(key) => self.reboot(key),
            MaintenanceAction::Undrain(key) => {
                let live = &mut self.live[key];
                if live.rebooted {
                    let gap_ms = now.ms_since(live.last);
                    self.seen.maintained += 1;
                    self.seen.in_time += u32::from(gap_ms <= PERIOD_DAYS * DAY_MS);
                    self.seen.longest_gap_ms = self.seen.longest_gap_ms.max(gap_ms);
                    live.last = now;
                    live.overdue = false;
                }
                live.rebooted = false;
                live.drained_at = None;
                self.instances[key].phase = InstancePhase::Serving;
            }
        }
    }

    fn reboot(&mut self, key: InstanceKey) {
        let now = self.now;
        let name = Arc::clone(&self.instances[key].name);
        self.reboots_by_name.entry(name).or_default().push(now);
        self.seen.reboots += 1;
        let minutes = self.random.random_range(5..12);
        let live = &mut self.live[key];
        live.rebooted = true;
        live.down_until = Some(now.after_ms(minutes * 60_000));
        let Some((from, bad)) = self.bad.filter(|(from, _)| now >= *from) else {
            return;
        };
        self.seen.bad_reboots += 1;
        self.seen.bad_reboots_first_day += u32::from(now.ms_since(from) < DAY_MS);
        match bad {
            Bad::NoReturn => live.down_until = Some(now.after_ms(90 * DAY_MS)),
            Bad::FailLater => live.fails_at = Some(now.after_ms((minutes + 20) * 60_000)),
        }
    }

    /// Counts what is down, and the requests that a pool cannot carry.
    pub(crate) fn observe(&mut self) {
        let mut pools: SecondaryMap<PoolKey, (u32, u32)> = SecondaryMap::new();
        let mut racks: SecondaryMap<RackKey, u32> = SecondaryMap::new();
        let mut zones: SecondaryMap<ZoneKey, u32> = SecondaryMap::new();
        let mut all = 0;
        for (key, instance) in &self.instances {
            let live = &mut self.live[key];
            let pool = pools.entry(instance.pool).expect("a live key").or_default();
            if live.drained_at.is_some() {
                pool.1 += 1;
                all += 1;
                *racks.entry(instance.rack).expect("a live key").or_default() += 1;
                *zones.entry(instance.zone).expect("a live key").or_default() += 1;
            } else if instance.healthy {
                pool.0 += 1;
            }
            if self.now.ms_since(live.last) > PERIOD_DAYS * DAY_MS && !live.overdue {
                live.overdue = true;
                self.seen.overdue += 1;
            }
        }
        let seen = &mut self.seen;
        seen.most = seen.most.max(all);
        seen.most_of_rack = seen
            .most_of_rack
            .max(racks.values().copied().max().unwrap_or(0));
        seen.most_of_zone = seen
            .most_of_zone
            .max(zones.values().copied().max().unwrap_or(0));
        for (pool, (available, maintained)) in pools {
            let state = &mut self.pools[pool];
            let short = state.demand_instances.saturating_sub(available);
            seen.most_of_pool = seen.most_of_pool.max(maintained);
            seen.short_steps += u32::from(short > 0 && maintained > 0);
            let days = &mut self.days[pool];
            if let Some(day) = days.back_mut() {
                day.0 += f64::from(state.demand_instances) * REQUESTS_PER_STEP;
                day.1 += f64::from(short) * REQUESTS_PER_STEP;
            }
            let failed: f64 = days.iter().map(|day| day.1).sum();
            // A young window counts as if it had its usual requests.
            let usual = days.iter().map(|day| day.0).sum::<f64>() / days.len() as f64;
            let requests = (usual * PERIOD_DAYS as f64).max(1.0);
            state.failed_ppm = (failed / requests * 1e6) as u32;
            if let Some(forced) = self.forced_failed_ppm {
                state.failed_ppm = forced;
            }
            let used = f64::from(state.failed_ppm) / f64::from(state.budget_ppm) * 100.0;
            seen.budget_used_percent = seen.budget_used_percent.max(used);
        }
    }
}

//! Moves between pools: how many instances each pool needs, and which instances can be moved.

use super::{
    IDLE_TIMEOUT_MS, Operation, OperationState, TARGET_UTILIZATION_PERCENT, TrackedInstance,
};
use crate::job::StepSpec;
use crate::placement::Resources;
use crate::prelude::*;
use crate::schedule::Scheduler;
use crate::schedule::order::{InstanceState, StepKey};
use crate::schedule::quota::QuotaBudget;
use crate::schedule::worker::Worker;

/// Time in which an instance is emptied, its long-running tasks start elsewhere, and it is maintained.
const EVACUATION_DURATION_MS: u64 = 3_000;

/// Instances that a pool needs and has.
#[derive(Clone, Copy, Debug)]
struct PoolNeed {
    pool: ServiceKey,
    needed: usize,
    /// Usable ones, including those that are on their way to the pool.
    present: usize,
    /// How many of the missing ones are for waiting tasks that no worker of the pool has room for.
    for_unplaceable: usize,
}

impl PoolNeed {
    const fn missing(&self) -> usize {
        self.needed.saturating_sub(self.present)
    }

    const fn surplus(&self) -> usize {
        self.present.saturating_sub(self.needed)
    }
}

/// Instances that a pool still lacks in a planning pass.
#[derive(Clone, Copy, Debug)]
struct MissingInstances {
    pool: ServiceKey,
    count: usize,
    for_unplaceable: usize,
}

impl Scheduler {
    pub(super) fn is_spare(&self, instance: &TrackedInstance) -> bool {
        self.fleet.spare_services.contains(&instance.pool)
    }

    /// Moves instances to pools that need more, and returns idle ones to the spare pool.
    pub(super) fn plan_moves(&mut self, now: Millis) {
        let pools: Vec<ServiceKey> = self
            .services
            .keys()
            .filter(|key| !self.fleet.spare_services.contains(key))
            .collect();
        let needs: Vec<PoolNeed> = pools
            .into_iter()
            .map(|pool| self.pool_need(pool, now))
            .collect();
        let mut missing: Vec<MissingInstances> = needs
            .iter()
            .filter(|need| need.missing() > 0)
            .map(|need| MissingInstances {
                pool: need.pool,
                count: need.missing(),
                for_unplaceable: need.for_unplaceable.min(need.missing()),
            })
            .collect();
        if !missing.is_empty() {
            let movable = self.movable_instances(&needs, now);
            self.assign(movable, &mut missing, |key, pool, scheduler| {
                scheduler.order_instance(key, Operation::Move(pool), now);
            });
        }
        for entry in &mut missing {
            entry.count = entry.count.min(entry.for_unplaceable);
        }
        missing.retain(|entry| entry.count > 0);
        if !missing.is_empty() {
            let drainable = self.drainable_instances(&needs, &missing, now);
            self.assign(drainable, &mut missing, |key, pool, scheduler| {
                scheduler.fleet.instances[key].operation_state =
                    OperationState::Evacuating(Operation::Move(pool));
                scheduler.set_cordon(key, true);
            });
        }
        self.fleet.pool_demand = needs
            .iter()
            .map(|need| (need.pool, need.needed.min(need.present)))
            .collect();
        for need in needs {
            self.return_idle_instances(need.pool, need.surplus(), now);
        }
    }

    fn pool_need(&mut self, pool: ServiceKey, now: Millis) -> PoolNeed {
        let for_unplaceable = self.instances_missing_for_unplaceable(pool, now);
        PoolNeed {
            pool,
            needed: self.instances_needed(pool, for_unplaceable, now),
            present: self.instance_count(pool, now),
            for_unplaceable,
        }
    }

    /// Gives the instances to the pools in turn, so that none waits for another when there are too few.
    fn assign(
        &mut self,
        instances: Vec<FleetInstanceKey>,
        missing: &mut Vec<MissingInstances>,
        order: impl Fn(FleetInstanceKey, ServiceKey, &mut Self),
    ) {
        let mut instances = instances.into_iter();
        while !missing.is_empty() {
            for entry in missing.iter_mut() {
                let Some(key) = instances.next() else {
                    return;
                };
                order(key, entry.pool, self);
                entry.count -= 1;
                entry.for_unplaceable = entry.for_unplaceable.saturating_sub(1);
            }
            missing.retain(|entry| entry.count > 0);
        }
    }

    /// Instances of the largest pool that are emptied for waiting long-running tasks of other pools. None
    /// of them runs a long-running task itself, so they are empty as soon as their finite tasks have
    /// ended.
    fn drainable_instances(
        &self,
        needs: &[PoolNeed],
        missing: &[MissingInstances],
        now: Millis,
    ) -> Vec<FleetInstanceKey> {
        let wanted: usize = missing.iter().map(|entry| entry.count).sum();
        let largest = needs
            .iter()
            .filter(|need| !missing.iter().any(|entry| entry.pool == need.pool))
            .max_by_key(|need| need.present);
        let Some(largest) = largest else {
            return Vec::new();
        };
        let mut candidates: Vec<(u64, FleetInstanceKey)> = self
            .fleet
            .instances
            .iter()
            .filter(|(key, instance)| {
                instance.pool == largest.pool
                    && self.is_movable(instance, now)
                    && self.is_usable(instance)
                    && self.long_running_runs(*key).is_empty()
            })
            .filter_map(|(key, _)| {
                let worker = self.workers.get(self.worker_on(key)?)?;
                Some((
                    worker
                        .bookings
                        .used()
                        .dominant_share_ppm(worker.report.capacity),
                    key,
                ))
            })
            .collect();
        candidates.sort_unstable();
        candidates.truncate(wanted);
        candidates.into_iter().map(|(_, key)| key).collect()
    }

    /// Number of usable instances of a pool, including those that are moving to it.
    pub(super) fn instance_count(&self, service: ServiceKey, now: Millis) -> usize {
        let of_pool = |instance: &&TrackedInstance| match &instance.operation_state {
            OperationState::Ordered {
                operation: Operation::Move(to),
                ..
            }
            | OperationState::Evacuating(Operation::Move(to)) => *to == service,
            _ => {
                instance.pool == service
                    && (self.is_usable(instance) || instance.arrival_deadline > now)
            }
        };
        self.fleet.instances.values().filter(of_pool).count()
    }

    /// Whether the instance's worker accepts tasks, so that its capacity counts.
    pub(super) fn is_usable(&self, instance: &TrackedInstance) -> bool {
        let worker = instance
            .report
            .worker
            .as_ref()
            .and_then(|id| self.workers_by_id.get(id));
        worker
            .and_then(|key| self.workers.get(*key))
            .is_some_and(|worker| {
                worker.listed
                    && !worker.unresponsive
                    && !worker.report.draining
                    && !worker.entry.is_in_other_pool
            })
    }

    /// Number of instances that a service needs for its running, waiting and expected tasks.
    fn instances_needed(
        &mut self,
        service: ServiceKey,
        missing_for_unplaceable: usize,
        now: Millis,
    ) -> usize {
        let forecast = self.forecast_within_quotas(service, now);
        let long_running = self.long_running_demand(service);
        let mut budget = QuotaBudget::new(self.view(now));
        let waiting = self.services[service]
            .ready
            .steps()
            .filter(|(step, _)| self.is_still_useful(*step, now))
            .filter_map(|(step, tasks)| {
                let spec = self.job_table.jobs.get(step.job)?.step(step.step)?;
                Some(
                    spec.need()
                        .times(budget.grant(step, self.ready_count(tasks))),
                )
            })
            .fold(Resources::default(), Resources::plus);
        let running = self.finite_demand(service);
        // Expected tasks reuse the capacity of finite tasks that end, so the two are not added up.
        let sum = long_running.plus(running.plus(waiting).max(forecast));
        // Instances are counted as whole ones, so room that their workers have lost counts as used.
        let sum = sum.plus(self.lost_room(service));
        let share_ppm = sum.dominant_share_ppm(self.largest_capacity());
        let for_capacity = usize::try_from(
            (share_ppm.saturating_mul(100) / TARGET_UTILIZATION_PERCENT).div_ceil(1_000_000),
        )
        .unwrap_or(0);
        for_capacity
            .max(self.instances_for_evacuation(service, now))
            .max(self.instances_for_spread(service, now))
            .max(match missing_for_unplaceable {
                0 => 0,
                missing => self.usable_workers(service, now).count() + missing,
            })
    }

    /// Number of workers that a service has once it has all instances that other services do not use.
    pub(in crate::schedule) fn reachable_workers(&self, service: ServiceKey) -> usize {
        let of_others: usize = self
            .fleet
            .pool_demand
            .iter()
            .filter(|(pool, _)| **pool != service)
            .map(|(_, demand)| demand)
            .sum();
        let reachable = self.fleet.instances.len().saturating_sub(of_others);
        reachable.max(self.services[service].workers.len())
    }

    /// Room that the workers of a pool have lost: what they had of the capacity of their instances, and no longer
    /// report.
    fn lost_room(&self, service: ServiceKey) -> Resources {
        let of_pool = self.fleet.instances.iter();
        of_pool
            .filter(|(_, instance)| instance.pool == service)
            .filter_map(|(key, instance)| {
                let worker = self.workers.get(self.worker_on(key)?)?;
                worker
                    .listed
                    .then(|| worker.lost_room(instance.report.capacity))
            })
            .fold(Resources::default(), Resources::plus)
    }

    fn usable_workers(&self, service: ServiceKey, now: Millis) -> impl Iterator<Item = &Worker> {
        self.services[service]
            .workers
            .iter()
            .filter_map(|key| self.workers.get(*key))
            .filter(move |worker| worker.takes_work(now))
    }

    /// Number of instances missing for waiting long-running tasks that fit on no worker, and for finite ones
    /// that fit on none even when it is empty. Their needs are large, so the sum of the pool's free
    /// resources does not tell whether one of them fits anywhere.
    fn instances_missing_for_unplaceable(&self, service: ServiceKey, now: Millis) -> usize {
        let (free, capacities): (Vec<Resources>, Vec<Resources>) = self
            .usable_workers(service, now)
            .map(|worker| (worker.free(), worker.report.capacity))
            .unzip();
        let capacity = self.largest_capacity();
        let mut additional: Vec<Resources> = Vec::new();
        let mut budget = QuotaBudget::new(self.view(now));
        for (step, tasks) in self.services[service].ready.steps() {
            let job = self.job_table.jobs.get(step.job);
            let Some(spec) = job.and_then(|job| job.step(step.step)) else {
                continue;
            };
            let need = spec.need();
            let rooms = if spec.long_running {
                &free
            } else {
                &capacities
            };
            let fits_nowhere = need.fits(capacity) && !rooms.iter().any(|room| need.fits(*room));
            // A pool without usable workers grows with its demand.
            let is_pool_usable = spec.long_running || !rooms.is_empty();
            if !fits_nowhere || !is_pool_usable {
                continue;
            }
            for _ in 0..budget.grant(step, self.ready_count(tasks)) {
                match additional.iter_mut().find(|free| need.fits(**free)) {
                    Some(free) => *free = free.minus(need),
                    None => additional.push(capacity.minus(need)),
                }
            }
        }
        additional.len()
    }

    /// Number of instances needed for waiting tasks whose step limits the tasks per worker.
    pub(super) fn instances_for_spread(&self, service: ServiceKey, now: Millis) -> usize {
        let steps = self.services[service].ready.steps();
        let additional = steps.filter_map(|(step, tasks)| {
            let spec = self.job_table.jobs.get(step.job)?.step(step.step)?;
            if spec.per_worker_max == 0 || !self.is_still_useful(step, now) {
                return None;
            }
            let count = QuotaBudget::new(self.view(now)).grant(step, self.ready_count(tasks));
            Some(count.div_ceil(u64::from(spec.per_worker_max)))
        });
        let Some(additional) = additional.max().filter(|count| *count > 0) else {
            return 0;
        };
        self.usable_workers(service, now).count() + additional as usize
    }

    /// Number of instances that a pool needs while some of them await maintenance: more than are in use,
    /// to take over the tasks of the next ones. How many more follows from the time that is left.
    fn instances_for_evacuation(&self, service: ServiceKey, now: Millis) -> usize {
        let of_pool = |instance: &TrackedInstance| instance.pool == service;
        let awaiting = self
            .fleet
            .instances
            .values()
            .filter(|instance| of_pool(instance));
        let deadlines: Vec<Millis> = awaiting
            .filter_map(|instance| self.maintenance_deadline(instance))
            .collect();
        let Some(first) = deadlines.iter().min() else {
            return 0;
        };
        let rounds = (first.ms_since(now) / EVACUATION_DURATION_MS).max(1);
        let at_once = deadlines
            .len()
            .div_ceil(usize::try_from(rounds).unwrap_or(usize::MAX));
        let working = self.fleet.instances.iter().filter(|(key, instance)| {
            of_pool(instance) && self.is_usable(instance) && !self.runs_nothing(*key)
        });
        working.count() + at_once
    }

    /// Whether the step's result would still be useful, so that capacity is acquired for it.
    fn is_still_useful(&self, step: StepKey, now: Millis) -> bool {
        let job = self.job_table.jobs.get(step.job);
        job.is_some_and(|job| job.is_useful(now))
    }

    fn ready_count(&self, tasks: &[TaskKey]) -> u64 {
        let ready = tasks.iter().filter(|task| self.job_table.is_ready(**task));
        ready.count() as u64
    }

    /// Resources used by runs of the service's finite tasks.
    pub(super) fn finite_demand(&self, service: ServiceKey) -> Resources {
        self.demand_of_runs(service, |step| !step.long_running)
    }

    pub(in crate::schedule) fn long_running_demand(&self, service: ServiceKey) -> Resources {
        self.demand_of_runs(service, |step| step.long_running)
    }

    pub(super) fn demand_of_runs(
        &self,
        service: ServiceKey,
        matches_step: fn(&StepSpec) -> bool,
    ) -> Resources {
        let workers = self.services[service]
            .workers
            .iter()
            .filter_map(|key| self.workers.get(*key));
        workers
            .flat_map(|worker| worker.runs())
            .filter_map(|run| self.runs.get(*run))
            .filter(|run| {
                self.job_table
                    .step_of(run.info().task)
                    .is_some_and(matches_step)
            })
            .map(|run| run.info().need)
            .fold(Resources::default(), Resources::plus)
    }

    /// Instances that run nothing, in a spare pool or in excess of what their pool needs. Spare
    /// instances and those that await no maintenance come first.
    fn movable_instances(&self, needs: &[PoolNeed], now: Millis) -> Vec<FleetInstanceKey> {
        let mut surplus: FastMap<ServiceKey, usize> = needs
            .iter()
            .map(|need| (need.pool, need.surplus()))
            .collect();
        let mut candidates: Vec<(bool, bool, FleetInstanceKey)> = self
            .fleet
            .instances
            .iter()
            .filter(|(key, instance)| {
                self.is_movable(instance, now)
                    && (self.is_spare(instance)
                        || (self.worker_on(*key).is_some() && self.runs_nothing(*key)))
            })
            .map(|(key, instance)| {
                let spare = self.is_spare(instance);
                (self.awaits_maintenance(instance), !spare, key)
            })
            .collect();
        candidates.sort_unstable();
        let is_available = |(_, not_spare, key): &(bool, bool, FleetInstanceKey)| {
            if !not_spare {
                return true;
            }
            let left = surplus.get_mut(&self.fleet.instances[*key].pool);
            left.is_some_and(|left| {
                let available = *left > 0;
                *left = left.saturating_sub(1);
                available
            })
        };
        candidates.retain(is_available);
        candidates.into_iter().map(|(.., key)| key).collect()
    }

    pub(super) fn is_movable(&self, instance: &TrackedInstance, now: Millis) -> bool {
        instance.operation_state == OperationState::Inactive
            && instance.report.state == InstanceState::Up
            && instance.not_before <= now
    }

    fn awaits_maintenance(&self, instance: &TrackedInstance) -> bool {
        self.maintenance_deadline(instance).is_some()
    }

    /// Until when the instance must have been maintained, if a wave still waits for it.
    fn maintenance_deadline(&self, instance: &TrackedInstance) -> Option<Millis> {
        let name = &instance.report.name;
        let waiting = self.fleet.waves.iter().filter(|wave| {
            !wave.completed && wave.instances.contains(name) && !wave.begun.contains(name)
        });
        waiting.map(|wave| wave.deadline).min()
    }

    pub(super) fn return_idle_instances(
        &mut self,
        service: ServiceKey,
        count_max: usize,
        now: Millis,
    ) {
        let Some(spare_pool) = self.fleet.spare_services.iter().next().copied() else {
            return;
        };
        let idle: Vec<FleetInstanceKey> = self
            .fleet
            .instances
            .iter()
            .filter(|(key, instance)| {
                self.is_movable(instance, now)
                    && instance.pool == service
                    && self.worker_on(*key).is_some()
                    && instance
                        .idle_since
                        .is_some_and(|since| now.ms_since(since) >= IDLE_TIMEOUT_MS)
            })
            .map(|(key, _)| key)
            .take(count_max)
            .collect();
        for key in idle {
            self.order_instance(key, Operation::Move(spare_pool), now);
        }
    }
}

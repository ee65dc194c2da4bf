//! Moves between pools: how many instances each pool needs, and which instances can be moved.

use super::{
    IDLE_TIMEOUT_MS, Operation, OperationState, TARGET_UTILIZATION_PERCENT, TrackedInstance,
};
use crate::job::StepSpec;
use crate::placement::Resources;
use crate::prelude::*;
use crate::schedule::Scheduler;
use crate::schedule::job_table::TaskStatus;
use crate::schedule::load::multiply;
use crate::schedule::order::{InstanceState, StepKey};
use crate::schedule::worker::Worker;

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
        let needs: Vec<(ServiceKey, usize, usize)> = pools
            .into_iter()
            .map(|pool| {
                (
                    pool,
                    self.instances_needed(pool, now),
                    self.instance_count(pool, now),
                )
            })
            .collect();
        let missing: usize = needs
            .iter()
            .map(|(_, needed, present)| needed.saturating_sub(*present))
            .sum();
        if missing > 0 {
            self.fill_pools(&needs, now);
        }
        for (pool, needed, present) in needs {
            self.return_idle_instances(pool, present.saturating_sub(needed), now);
        }
    }

    /// Moves instances to the pools that have fewer than they need, in turn, so that none waits for
    /// another when there are too few.
    fn fill_pools(&mut self, needs: &[(ServiceKey, usize, usize)], now: Millis) {
        let mut missing: Vec<(ServiceKey, usize)> = needs
            .iter()
            .map(|(pool, needed, present)| (*pool, needed.saturating_sub(*present)))
            .filter(|(_, missing)| *missing > 0)
            .collect();
        let mut movable = self.movable_instances(needs, now).into_iter();
        while !missing.is_empty() {
            for (pool, count) in &mut missing {
                let Some(key) = movable.next() else {
                    return;
                };
                self.order_instance(key, Operation::Move(*pool), now);
                *count -= 1;
            }
            missing.retain(|(_, count)| *count > 0);
        }
    }

    /// Number of usable instances of a pool, including those that are moving to it.
    pub(super) fn instance_count(&self, service: ServiceKey, now: Millis) -> usize {
        let of_pool = |instance: &&TrackedInstance| match &instance.operation_state {
            OperationState::Ordered {
                operation: Operation::Move(to),
                ..
            } => *to == service,
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
            .is_some_and(|worker| worker.listed && !worker.unresponsive && !worker.report.draining)
    }

    /// Number of instances that a service needs for its running, waiting and expected tasks.
    pub(super) fn instances_needed(&mut self, service: ServiceKey, now: Millis) -> usize {
        let forecast = self.services[service].load.forecast(now);
        let long_running = self.long_running_demand(service);
        let waiting = self.services[service]
            .ready
            .steps()
            .filter(|(step, _)| self.is_still_useful(*step, now))
            .filter_map(|(step, tasks)| {
                let spec = self.job_table.jobs.get(step.job)?.step(step.step)?;
                Some(multiply(spec.need(), self.ready_count(tasks)))
            })
            .fold(Resources::default(), Resources::plus);
        let running = self.finite_demand(service);
        // Expected tasks reuse the capacity of finite tasks that end, so the two are not added up.
        let sum = long_running.plus(running.plus(waiting).max(forecast));
        let share_ppm = sum.dominant_share_ppm(self.largest_capacity());
        let for_capacity =
            usize::try_from((share_ppm * 100 / TARGET_UTILIZATION_PERCENT).div_ceil(1_000_000))
                .unwrap_or(0);
        for_capacity
            .max(self.instances_for_evacuation(service))
            .max(self.instances_for_spread(service, now))
            .max(self.instances_for_long_running(service, now))
    }

    /// Number of instances needed for waiting long-running tasks that fit on no worker. Their needs are
    /// large, so the sum of the pool's free resources does not tell whether one of them fits anywhere.
    fn instances_for_long_running(&self, service: ServiceKey, now: Millis) -> usize {
        let workers: Vec<Resources> = self.services[service]
            .workers
            .iter()
            .filter_map(|key| self.workers.get(*key))
            .filter(|worker| worker.takes_work(now))
            .map(Worker::free)
            .collect();
        let capacity = self.largest_capacity();
        let mut additional: Vec<Resources> = Vec::new();
        for (step, tasks) in self.services[service].ready.steps() {
            let job = self.job_table.jobs.get(step.job);
            let Some(spec) = job.and_then(|job| job.step(step.step)) else {
                continue;
            };
            let need = spec.need();
            let fits_nowhere = need.fits(capacity) && !workers.iter().any(|free| need.fits(*free));
            if !spec.long_running || !fits_nowhere {
                continue;
            }
            for _ in 0..self.ready_count(tasks) {
                match additional.iter_mut().find(|free| need.fits(**free)) {
                    Some(free) => *free = free.minus(need),
                    None => additional.push(capacity.minus(need)),
                }
            }
        }
        if additional.is_empty() {
            return 0;
        }
        workers.len() + additional.len()
    }

    /// Number of instances needed for waiting tasks whose step limits the tasks per worker.
    pub(super) fn instances_for_spread(&self, service: ServiceKey, now: Millis) -> usize {
        let steps = self.services[service].ready.steps();
        let additional = steps.filter_map(|(step, tasks)| {
            let spec = self.job_table.jobs.get(step.job)?.step(step.step)?;
            if spec.per_worker_max == 0 || !self.is_still_useful(step, now) {
                return None;
            }
            Some(
                self.ready_count(tasks)
                    .div_ceil(u64::from(spec.per_worker_max)),
            )
        });
        let Some(additional) = additional.max().filter(|count| *count > 0) else {
            return 0;
        };
        let workers = self.services[service]
            .workers
            .iter()
            .filter_map(|key| self.workers.get(*key));
        workers.filter(|worker| worker.takes_work(now)).count() + additional as usize
    }

    /// Number of instances that a pool needs while some of them await maintenance: one more than are
    /// in use, to take over the tasks of the next one.
    pub(super) fn instances_for_evacuation(&self, service: ServiceKey) -> usize {
        let of_pool = |instance: &TrackedInstance| instance.pool == service;
        let mut members = self
            .fleet
            .instances
            .iter()
            .filter(|(_, instance)| of_pool(instance));
        if !members.any(|(_, instance)| self.awaits_maintenance(instance)) {
            return 0;
        }
        let working = self.fleet.instances.iter().filter(|(key, instance)| {
            of_pool(instance) && self.is_usable(instance) && !self.runs_nothing(*key)
        });
        working.count() + 1
    }

    /// Whether the step's result would still be useful, so that capacity is acquired for it.
    fn is_still_useful(&self, step: StepKey, now: Millis) -> bool {
        let job = self.job_table.jobs.get(step.job);
        job.is_some_and(|job| job.is_useful(now))
    }

    fn ready_count(&self, tasks: &[TaskKey]) -> u64 {
        let is_ready = |task: &&TaskKey| {
            let task = self.job_table.tasks.get(**task);
            task.is_some_and(|task| task.status == TaskStatus::Ready)
        };
        tasks.iter().filter(is_ready).count() as u64
    }

    /// Resources used by runs of the service's finite tasks.
    pub(super) fn finite_demand(&self, service: ServiceKey) -> Resources {
        self.demand_of_runs(service, |step| !step.long_running)
    }

    pub(super) fn long_running_demand(&self, service: ServiceKey) -> Resources {
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
            .flat_map(|worker| &worker.runs)
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
    fn movable_instances(
        &self,
        needs: &[(ServiceKey, usize, usize)],
        now: Millis,
    ) -> Vec<FleetInstanceKey> {
        let mut surplus: FastMap<ServiceKey, usize> = needs
            .iter()
            .map(|(pool, needed, present)| (*pool, present.saturating_sub(*needed)))
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

    pub(super) fn awaits_maintenance(&self, instance: &TrackedInstance) -> bool {
        self.fleet.waves.iter().any(|wave| {
            !wave.completed
                && wave.instances.contains(&instance.report.name)
                && !wave.begun.contains(&instance.report.name)
        })
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

//! Moves between pools: how many instances each pool needs, and which instances can be moved.

use super::{
    IDLE_TIMEOUT_MS, Operation, OperationState, TARGET_UTILIZATION_PERCENT, TrackedInstance,
};
use crate::job::StepSpec;
use crate::placement::Resources;
use crate::prelude::*;
use crate::schedule::Scheduler;
use crate::schedule::job_table::TaskStatus;
use crate::schedule::order::InstanceState;

impl Scheduler {
    pub(super) fn is_spare(&self, instance: &TrackedInstance) -> bool {
        let pool = self.services_by_name.get(&instance.report.pool);
        pool.is_some_and(|pool| self.fleet.spare_services.contains(pool))
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
        let surplus_pools: FastSet<ServiceKey> = needs
            .iter()
            .filter(|(_, needed, present)| present > needed)
            .map(|(pool, ..)| *pool)
            .collect();
        for (pool, needed, present) in &needs {
            for _ in *present..*needed {
                let Some(key) = self.find_movable_instance(&surplus_pools, now) else {
                    break;
                };
                self.order_instance(key, Operation::Move(*pool), now);
            }
        }
        for (pool, needed, present) in needs {
            self.return_idle_instances(pool, present.saturating_sub(needed), now);
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
                self.services_by_name.get(&instance.report.pool) == Some(&service)
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
        let waiting = self
            .ready
            .iter()
            .filter(|key| {
                self.service_of(**key) == Some(service) && self.needs_capacity(**key, now)
            })
            .filter_map(|key| self.job_table.step_of(*key))
            .map(StepSpec::need)
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
    }

    /// Number of instances needed for waiting tasks whose step limits the tasks per worker.
    pub(super) fn instances_for_spread(&self, service: ServiceKey, now: Millis) -> usize {
        let mut waiting: FastMap<(JobKey, u16), u32> = FastMap::default();
        for key in &self.ready {
            let Some(task) = self.job_table.tasks.get(*key) else {
                continue;
            };
            let spread = self
                .job_table
                .step_of(*key)
                .is_some_and(|step| step.per_worker_max > 0);
            if spread && self.service_of(*key) == Some(service) && self.needs_capacity(*key, now) {
                *waiting.entry((task.job, task.position.step)).or_default() += 1;
            }
        }
        let additional = waiting.into_iter().filter_map(|((job, step), count)| {
            let step = self.job_table.jobs.get(job)?.step(step)?;
            Some(count.div_ceil(step.per_worker_max))
        });
        let Some(additional) = additional.max() else {
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
        let of_pool = |instance: &TrackedInstance| {
            self.services_by_name.get(&instance.report.pool) == Some(&service)
        };
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

    pub(super) fn needs_capacity(&self, key: TaskKey, now: Millis) -> bool {
        self.job_table.tasks.get(key).is_some_and(|task| {
            task.status == TaskStatus::Ready
                && self
                    .job_table
                    .jobs
                    .get(task.job)
                    .is_some_and(|job| job.is_useful(now))
        })
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

    /// Finds an instance that runs nothing, in a spare pool or in a pool with more instances than it
    /// needs. Spare instances and those that await no maintenance are preferred.
    pub(super) fn find_movable_instance(
        &self,
        surplus_pools: &FastSet<ServiceKey>,
        now: Millis,
    ) -> Option<FleetInstanceKey> {
        self.fleet
            .instances
            .iter()
            .filter(|(key, instance)| {
                self.is_movable(instance, now)
                    && (self.is_spare(instance) || self.is_surplus(*key, instance, surplus_pools))
            })
            .min_by_key(|(_, instance)| {
                (self.awaits_maintenance(instance), !self.is_spare(instance))
            })
            .map(|(key, _)| key)
    }

    pub(super) fn is_surplus(
        &self,
        key: FleetInstanceKey,
        instance: &TrackedInstance,
        surplus_pools: &FastSet<ServiceKey>,
    ) -> bool {
        let pool = self.services_by_name.get(&instance.report.pool);
        pool.is_some_and(|pool| surplus_pools.contains(pool))
            && self.worker_on(key).is_some()
            && self.runs_nothing(key)
    }

    pub(super) fn is_movable(&self, instance: &TrackedInstance, now: Millis) -> bool {
        instance.operation_state == OperationState::Inactive
            && instance.report.state == InstanceState::Up
            && instance.not_before <= now
    }

    pub(super) fn awaits_maintenance(&self, instance: &TrackedInstance) -> bool {
        self.fleet.waves.iter().any(|wave| {
            !wave.completed
                && wave.request.instances.contains(&instance.report.name)
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
                    && self.services_by_name.get(&instance.report.pool) == Some(&service)
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
